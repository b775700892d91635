//! Tests of outlier groups. Each test records different latencies for two tenants.

use super::*;

/// Creates a balancer that has recorded these latencies for its two tenants.
fn balancer_of_two_tenants(first: Micros, others: Micros) -> Balancer<RecordingHost> {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 4);
    balancer.settings.tenant_quotas = vec![1e6, 1e6];
    balancer.settings_changed(balancer.settings.clone());
    for n in 0..20 {
        let [one, other] = [0, 1].map(|tenant| Request {
            tenant,
            ..request(&[], false)
        });
        balancer.record_outcome(START_AT + n * MS, &one, first);
        balancer.record_outcome(START_AT + n * MS, &other, others);
    }
    balancer
}

/// If all tenants are late the cause is elsewhere, and excluding one tenant would not help the
/// others.
#[rstest]
#[case::outlier(900, 20, true)]
#[case::in_time(300, 20, false)]
#[case::all_are_late(900, 900, false)]
fn outlier_is_excluded_except_for_trials(
    #[case] latency: Micros,
    #[case] others: Micros,
    #[case] excluded: bool,
) {
    let mut balancer = balancer_of_two_tenants(latency * MS, others * MS);
    let mut count_excluded = |tenant| {
        let waiting = Request {
            tenant,
            ..request(&[], false)
        };
        (0..8)
            .filter(|n| balancer.excluded_as_outlier(START_AT + (100 + n) * MS, &waiting))
            .count()
    };
    // One request passes as a trial.
    assert_eq!(
        (count_excluded(0), count_excluded(1)),
        (if excluded { 7 } else { 0 }, 0)
    );
}

#[rstest]
fn outlier_recovers_when_it_is_in_time_again() {
    let mut balancer = balancer_of_two_tenants(900 * MS, 20 * MS);
    let now = START_AT + 12_000 * MS;
    assert!(!balancer.excluded_as_outlier(START_AT + 60 * MS, &request(&[], false)));
    balancer.record_outcome(now, &request(&[], false), 20 * MS);
    assert!(balancer.outlier_group(now, &request(&[], false)).is_none());
}

/// A request that is slow at every endpoint provides no information about its endpoint.
#[rstest]
fn outlier_changes_no_estimate_of_its_endpoint() {
    let mut balancer = balancer_of_two_tenants(900 * MS, 20 * MS);
    let mut sent = request(&[2], true);
    sent.attempts[0].in_flight = true;
    balancer.record_attempt_end(
        START_AT + 60 * MS,
        &mut sent,
        attempt_end(0, false, AttemptOutcome::TimedOut, 900 * MS),
    );
    assert_eq!(
        (
            balancer.endpoints[2].backoff_until,
            balancer.endpoints[2].recent_latency.read()
        ),
        (0, None)
    );
}
