use super::*;
use crate::{fleet, validation};

fn scenario(rest: &str) -> (Scenario, Timeline) {
    let scenario = validation::decode_scenario(
        &format!("name = 'test'\nlength = '20s'\n{rest}"),
        "scenario.toml",
    )
    .unwrap();
    let timeline = Timeline::new(&scenario, &fleet::specs(&scenario, 1), 1);
    (scenario, timeline)
}

#[test]
fn same_seed_produces_the_same_requests_at_the_configured_rates() {
    let (scenario, timeline) = scenario(
        "[traffic]\nrate = 500.0\ncurve = [['0s', 1.0], ['10s', 1.0], ['10001ms', 2.0]]\n\
         [[faults]]\nkind = 'burst'\nat = '4s'\nfor = '2s'\nfactor = 3.0",
    );
    let requests: Vec<_> = Arrivals::new(&scenario, &timeline, 9).collect();
    assert_eq!(
        requests,
        Arrivals::new(&scenario, &timeline, 9).collect::<Vec<_>>()
    );
    assert_ne!(
        requests.len(),
        Arrivals::new(&scenario, &timeline, 10).count()
    );
    let rate_between = |from: u64, to: u64| {
        requests
            .iter()
            .filter(|request| (from * SECOND..to * SECOND).contains(&request.scheduled_at))
            .count() as f64
            / (to - from) as f64
    };
    for (from, to, rate) in [
        (0, 4, 500.0),
        (4, 6, 1500.0),
        (6, 10, 500.0),
        (11, 20, 1000.0),
    ] {
        let actual_rate = rate_between(from, to);
        assert!(
            (actual_rate / rate - 1.0).abs() < 0.1,
            "{actual_rate} requests per second from {from} s to {to} s"
        );
    }
    assert!(
        requests
            .windows(2)
            .all(|pair| pair[0].scheduled_at <= pair[1].scheduled_at)
    );
}

#[test]
fn clients_retry_up_to_the_configured_number_and_not_before_retry_after() {
    let (scenario, timeline) = scenario("[traffic]\nretries = 1\nretry_wait = '100ms'");
    let first = Arrivals::new(&scenario, &timeline, 1)
        .find(|request| request.disconnects_after.is_none())
        .unwrap();
    let second = retry(&scenario, &first, 99, SECOND, Some(300_000)).unwrap();
    assert_eq!(
        (second.first, second.number, second.scheduled_at),
        (first.number, 99, SECOND + 300_000)
    );
    assert_eq!(
        (second.idempotency_key, second.work),
        (first.idempotency_key, first.work)
    );
    assert_eq!(retry(&scenario, &second, 100, 2 * SECOND, None), None);
}
