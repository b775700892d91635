use super::*;
use crate::{fleet, timeline::Timeline, traffic::Arrivals, validation};

/// Returns the score if each request succeeds with the latency that `latency` returns for it, or is
/// rejected where `latency` returns `None`.
fn score(latency: impl Fn(&Request) -> Option<Micros>) -> ServiceScore {
    let scenario =
        validation::decode_scenario("name = 'test'\nlength = '20s'", "scenario.toml").unwrap();
    let timeline = Timeline::new(&scenario, &fleet::specs(&scenario, 1), 1);
    let mut tally = Tally::new();
    for request in Arrivals::new(&scenario, &timeline, 1) {
        match latency(&request) {
            Some(latency) => tally.record_outcome(
                &request,
                request.scheduled_at + latency,
                Some(Outcome::Succeeded),
            ),
            None => tally.record_outcome(&request, request.scheduled_at, Some(Outcome::Rejected)),
        }
    }
    tally.service_score(&scenario)
}

#[test]
fn score_is_1_if_all_requests_meet_the_objective_and_0_if_none_does() {
    let score_with = |latency| score(move |_| Some(latency));
    assert_eq!(
        (score_with(10).total, score_with(10 * SECOND).total),
        (1.0, 0.0)
    );
}

#[test]
fn worst_window_and_worst_class_are_scored() {
    let bad_window = score(|request| (request.scheduled_at < 10 * SECOND).then_some(10));
    assert!(
        (bad_window.overall - 0.5).abs() < 0.05 && bad_window.worst_10s < 0.01,
        "{bad_window:?}"
    );
    assert_eq!(
        bad_window.tail, 1.0,
        "rejected requests do not count as late"
    );
    let bad_class = score(|request| (request.class != 2).then_some(10));
    assert_eq!(bad_class.worst_class, 0.0);
}

#[test]
fn retries_count_towards_the_first_attempt() {
    let scenario =
        validation::decode_scenario("name = 'test'\nlength = '20s'", "scenario.toml").unwrap();
    let timeline = Timeline::new(&scenario, &fleet::specs(&scenario, 1), 1);
    let mut tally = Tally::new();
    for (number, request) in Arrivals::new(&scenario, &timeline, 1).enumerate() {
        tally.record_outcome(&request, request.scheduled_at, Some(Outcome::Rejected));
        let second = Request {
            number: 1_000_000 + number as u64,
            ..request
        };
        tally.record_outcome(
            &second,
            request.scheduled_at + 1000,
            Some(Outcome::Succeeded),
        );
    }
    assert_eq!(tally.service_score(&scenario).overall, 1.0);
}
