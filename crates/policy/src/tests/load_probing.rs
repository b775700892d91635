//! Tests of load probing.

use super::*;

/// Creates one of 1,000 balancers, which polls loads by probes or by gossip.
pub(super) fn probing_balancer(
    idempotency: Idempotency,
    by_probes: bool,
) -> (Balancer<RecordingHost>, RecordingHost) {
    let (mut balancer, recorder) = balancer(idempotency, 4);
    balancer.settings.gossip_allowed = true;
    (
        balancer.settings.load_from_probes,
        balancer.settings.load_unreported,
    ) = (by_probes, !by_probes);
    (balancer.settings.balancers, balancer.settings.own_index) = (1_000, 1_000);
    (balancer, recorder)
}

/// Delivers the load of an endpoint from a probe or from its ledger owner.
fn receive_load(balancer: &mut Balancer<RecordingHost>, now: Micros, index: usize, in_flight: u64) {
    let (id, gossip_id) = (
        Rc::clone(&balancer.endpoints[index].id),
        balancer.endpoints[index].gossip_id(),
    );
    if balancer.settings.load_from_probes {
        balancer.load_reported(now, &id, in_flight_report(in_flight as f64));
        balancer.probe_completed(now, &id, true);
    } else {
        balancer.gossip_received(
            now,
            balancer.ledger_owner(index),
            &format!("= {gossip_id:x} {in_flight:x}"),
        );
    }
}

#[rstest]
#[case::by_probes(true, "probe")]
#[case::by_gossip(false, "gossip")]
fn request_goes_to_the_endpoint_with_the_least_load(#[case] by_probes: bool, #[case] call: &str) {
    let (mut balancer, recorder) = probing_balancer(Idempotency::Idempotent, by_probes);
    for n in 0..20 {
        let now = START_AT + n * 1_000 * MS;
        arrive(&mut balancer, now, &n.to_string());
        (0..4).for_each(|u| receive_load(&mut balancer, now + MS, u, if u == 2 { 0 } else { 9 }));
    }
    assert!(recorder.count(call) >= 4 && recorder.count("attempt") == 20);
    let elsewhere = [0, 1, 3]
        .map(|u| balancer.endpoints[u].in_flight.len())
        .iter()
        .sum::<usize>();
    assert!(balancer.endpoints[2].in_flight.len() >= 18 && elsewhere <= 2);
}

#[rstest]
#[case::by_probes(true, 0, 1)]
#[case::by_gossip(false, 1, 0)]
fn request_is_answered_if_no_load_is_received(
    #[case] by_probes: bool,
    #[case] attempted: usize,
    #[case] rejected: usize,
) {
    let (mut balancer, recorder) = probing_balancer(Idempotency::Idempotent, by_probes);
    arrive(&mut balancer, START_AT, "a");
    for step in 1..100 {
        let now = START_AT + step * 20 * MS;
        balancer.timer_expired(now, QUEUE_TIMER);
        (QUEUE_TIMER + 1..=balancer.timers.last_id)
            .for_each(|timer| balancer.timer_expired(now, timer));
    }
    assert_eq!(
        (recorder.count("attempt"), recorder.count("reject")),
        (attempted, rejected)
    );
    assert!(balancer.load_polls.requests.is_empty() && balancer.queue.requests.is_empty());
}

/// Clients that retry immediately must not flood the balancers with gossip.
#[rstest]
fn loads_stay_fresh_longer_under_overload() {
    let (mut balancer, recorder) = probing_balancer(Idempotency::Idempotent, false);
    for n in 0..50 {
        let (now, before) = (START_AT + n * 5 * MS, recorder.count("gossip"));
        arrive(&mut balancer, now, &n.to_string());
        if recorder.count("gossip") > before {
            (0..4).for_each(|u| receive_load(&mut balancer, now + MS, u, 90));
        }
    }
    // In 250 ms the loads of four endpoints are requested every 80 ms, not every 20 ms.
    assert!(
        recorder.count("gossip") <= 16 && recorder.count("attempt") == 0,
        "{}",
        recorder.count("gossip")
    );
}

#[rstest]
fn one_slow_response_does_not_block_a_balancer_with_little_traffic() {
    let (mut balancer, recorder) = probing_balancer(Idempotency::Idempotent, true);
    balancer
        .fleet
        .latency_per_request
        .add(START_AT, LONG_TERM_HORIZON_US, 450.0 * MS as f64, 1.0);
    let now = START_AT + 30_000 * MS;
    arrive(&mut balancer, now, "a");
    (0..4).for_each(|u| receive_load(&mut balancer, now + MS, u, 0));
    assert_eq!(recorder.count("attempt"), 1);
}

#[rstest]
#[case::highest_weight(8.0, true, true)]
#[case::low_weight(1.0, true, false)]
fn priority_weight_bounds_the_wait(
    #[case] priority_weight: f64,
    #[case] within_quota: bool,
    #[case] meets_objective: bool,
) {
    let (mut balancer, _) = probing_balancer(Idempotency::Idempotent, true);
    let highest = RequestClass {
        latency_objective: 400 * MS,
        idempotency: Idempotency::Idempotent,
        priority_weight: 8.0,
        ordered_by_key: false,
    };
    balancer.settings.classes = vec![
        RequestClass {
            priority_weight,
            ..highest.clone()
        },
        highest,
    ];
    balancer.settings_changed(balancer.settings.clone());
    balancer
        .fleet
        .latency_per_request
        .add(START_AT, LONG_TERM_HORIZON_US, 60.0 * MS as f64, 1e6);
    balancer.endpoints[1].reported_in_flight = Some(3.0);
    balancer.class_latency[0]
        .work_hint
        .add(START_AT, LONG_TERM_HORIZON_US, 60.0, 1.0);
    let waiting = Request {
        within_quota,
        ..request(&[], false)
    };
    assert_eq!(
        balancer.meets_objective(START_AT, &waiting, 1),
        meets_objective
    );
}

/// A balancer that sends no requests never measures a latency.
#[rstest]
#[case::by_probes(true)]
#[case::by_gossip(false)]
fn balancer_sends_requests_before_its_first_response(#[case] by_probes: bool) {
    let (mut balancer, recorder) = probing_balancer(Idempotency::NonIdempotent, by_probes);
    arrive(&mut balancer, START_AT, "a");
    (0..4).for_each(|u| receive_load(&mut balancer, START_AT + MS, u, 2));
    assert_eq!(recorder.count("attempt"), 1);
}
