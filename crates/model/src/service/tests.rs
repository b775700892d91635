use super::*;
use crate::{fleet, timeline::Timeline, traffic::Arrivals, validation};

/// The score where each request succeeds after the latency that `latency` gives, or is rejected.
fn parts(latency: impl Fn(&Request) -> Option<Micros>) -> ServiceScore {
    let scenario = validation::decode_scenario("name = 'd'\nlength = '20s'", "d.toml").unwrap();
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
fn all_in_time_scores_1_and_all_late_0() {
    let parts_of = |latency| parts(move |_| Some(latency));
    assert_eq!(
        (parts_of(10).total, parts_of(10 * SECOND).total),
        (1.0, 0.0)
    );
}

#[test]
fn the_worst_parts_are_found() {
    let bad_window = parts(|request| (request.scheduled_at < 10 * SECOND).then_some(10));
    assert!(
        (bad_window.overall - 0.5).abs() < 0.05 && bad_window.worst_10s < 0.01,
        "{bad_window:?}"
    );
    assert_eq!(bad_window.tail, 1.0, "rejections are no late responses");
    let bad_class = parts(|request| (request.class != 2).then_some(10));
    assert_eq!(bad_class.worst_class, 0.0);
}

#[test]
fn retries_count_towards_the_first_attempt() {
    let scenario = validation::decode_scenario("name = 'd'\nlength = '20s'", "d.toml").unwrap();
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
