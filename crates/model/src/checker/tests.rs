use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::validation;

/// Creates a checker for the default classes: 0 is idempotent, 1 has an idempotency key with the
/// scope of a cell and a window of 2.5 s, 2 is non-idempotent.
fn checker() -> Checker {
    Checker::new(
        &validation::decode_scenario("name = 'test'\nlength = '20s'", "scenario.toml").unwrap(),
    )
}

fn target(server: usize) -> AttemptTarget {
    AttemptTarget {
        server,
        zone: server % 2,
        cell: server / 2,
        slow_start_capacity: None,
    }
}
fn received(class: usize) -> Observation {
    Observation::RequestReceived {
        request: 1,
        balancer: 0,
        class,
        deadline: SECOND,
    }
}
fn attempt(server: usize, started_at: Micros) -> Observation {
    Observation::AttemptReceived {
        request: 1,
        target: target(server),
        started_at,
        work: 10_000.0,
    }
}
fn answered(outcome: Outcome) -> Observation {
    Observation::ResponseReceived {
        request: 1,
        outcome,
        is_genuine: true,
    }
}
const NOT_PROCESSED: Observation = Observation::AttemptNotProcessed {
    request: 1,
    server: 0,
};
const DISCONNECTED: Observation = Observation::ClientDisconnected { request: 1 };
fn advertised(started_at: Micros, remaining: Micros) -> Observation {
    Observation::TimeoutAdvertised {
        request: 1,
        started_at,
        remaining,
    }
}
const DRAINING: Observation = Observation::EndpointReported {
    balancer: 0,
    server: 0,
    is_draining: true,
};
const ACTIVE: Observation = Observation::EndpointReported {
    balancer: 0,
    server: 0,
    is_draining: false,
};
const NOT_GENUINE: Observation = Observation::ResponseReceived {
    request: 1,
    outcome: Outcome::Succeeded,
    is_genuine: false,
};
use Outcome::{Failed, Rejected, Succeeded};

/// Each case has observations with their times, and the rules that they violate.
#[rstest]
#[case::answered(&[(0, received(2)), (9, attempt(0, 5)), (20, answered(Succeeded))], &[])]
#[case::unanswered(&[(0, received(0)), (9, attempt(0, 5))], &[1])]
#[case::connection_lost(
    &[(0, received(0)), (9, Observation::ConnectionLost { request: 1 })],
    &[1],
)]
#[case::client_disconnected(
    &[(0, received(0)), (9, Observation::ClientDisconnected { request: 1 })],
    &[],
)]
#[case::balancer_killed(&[(0, received(0)), (9, Observation::BalancerKilled { balancer: 0 })], &[])]
#[case::other_balancer_killed(
    &[(0, received(0)), (9, Observation::BalancerKilled { balancer: 1 })],
    &[1],
)]
#[case::attempt_at_the_end_of_the_disconnect_tolerance(
    &[(0, received(0)), (50_000, DISCONNECTED), (210_000, attempt(0, 200_000))],
    &[],
)]
#[case::attempt_after_the_disconnect_tolerance(
    &[(0, received(0)), (50_000, DISCONNECTED), (210_000, attempt(0, 200_001))],
    &[1],
)]
#[case::attempt_long_after_the_disconnect(
    &[(0, received(0)), (50_000, DISCONNECTED), (800_000, attempt(0, 800_000))],
    &[1],
)]
#[case::exact_timeout_advertised(
    &[(0, received(0)), (9, advertised(400_000, 600_000)), (20, answered(Succeeded))],
    &[],
)]
#[case::timeout_advertised_at_the_tolerance(
    &[(0, received(0)), (9, advertised(400_000, 800_000)), (20, answered(Succeeded))],
    &[],
)]
#[case::timeout_advertised_beyond_the_tolerance(
    &[(0, received(0)), (9, advertised(400_000, 800_001)), (20, answered(Succeeded))],
    &[1],
)]
#[case::excessive_timeout_recorded_before_the_request(
    &[(5, advertised(400_000, 900_000)), (6, received(0)), (20, answered(Succeeded))],
    &[1],
)]
#[case::response_within_the_slack(
    &[(0, received(0)), (1_050_000, answered(Succeeded))],
    &[],
)]
#[case::late_response(&[(0, received(0)), (1_050_001, answered(Succeeded))], &[1])]
#[case::late_response_recorded_before_the_request(
    &[(1_050_001, answered(Failed)), (0, received(0))],
    &[1],
)]
#[case::two_responses(
    &[(0, received(0)), (5, answered(Rejected)), (9, answered(Succeeded))],
    &[1],
)]
#[case::response_with_another_body(&[(0, received(0)), (5, NOT_GENUINE)], &[1])]
#[case::attempt_after_the_response(
    &[(0, received(0)), (5, answered(Rejected)), (60_009, attempt(0, 50_006))],
    &[1],
)]
#[case::non_idempotent_retried(
    &[(0, received(2)), (5, attempt(0, 5)), (9, attempt(1, 9)), (20, answered(Succeeded))],
    &[2],
)]
#[case::non_idempotent_retried_after_proven_rejection(
    &[
        (0, received(2)),
        (5, attempt(0, 5)),
        (6, NOT_PROCESSED),
        (9, attempt(1, 9)),
        (20, answered(Succeeded)),
    ],
    &[],
)]
#[case::non_idempotent_rejected(
    &[(0, received(2)), (5, attempt(0, 5)), (20, answered(Rejected))],
    &[2],
)]
#[case::non_idempotent_failed(
    &[(0, received(2)), (5, attempt(0, 5)), (20, answered(Failed))],
    &[],
)]
#[case::non_idempotent_rejected_without_processing(
    &[(0, received(2)), (5, attempt(0, 5)), (6, NOT_PROCESSED), (9, answered(Rejected))],
    &[],
)]
#[case::idempotent_retried_and_rejected(
    &[(0, received(0)), (5, attempt(0, 5)), (9, attempt(3, 9)), (20, answered(Rejected))],
    &[],
)]
#[case::idempotency_key_retried_within_its_scope(
    &[(0, received(1)), (5, attempt(0, 5)), (9, attempt(1, 9)), (20, answered(Succeeded))],
    &[],
)]
#[case::idempotency_key_retried_outside_its_scope(
    &[(0, received(1)), (5, attempt(0, 5)), (9, attempt(2, 9)), (20, answered(Succeeded))],
    &[2],
)]
#[case::idempotency_key_retried_after_its_window(
    &[
        (0, received(1)),
        (5, attempt(0, 5)),
        (2_600_000, attempt(1, 2_600_000)),
        (9, answered(Succeeded)),
    ],
    &[2],
)]
#[case::idempotency_key_rejected(
    &[(0, received(1)), (5, attempt(0, 5)), (9, answered(Rejected))],
    &[2],
)]
#[case::attempt_at_the_end_of_the_grace_period(
    &[(0, DRAINING), (0, received(0)), (5, attempt(0, 450_000)), (9, answered(Succeeded))],
    &[],
)]
#[case::attempt_after_the_grace_period(
    &[(0, DRAINING), (0, received(0)), (5, attempt(0, 450_001)), (9, answered(Succeeded))],
    &[3],
)]
#[case::grace_period_starts_at_the_first_notification(
    &[
        (0, DRAINING),
        (100, DRAINING),
        (0, received(0)),
        (5, attempt(0, 450_001)),
        (9, answered(Succeeded)),
    ],
    &[3],
)]
#[case::drain_ended(
    &[
        (0, DRAINING),
        (100, ACTIVE),
        (0, received(0)),
        (5, attempt(0, 450_001)),
        (9, answered(Succeeded)),
    ],
    &[],
)]
#[case::server_overloaded(&[(0, Observation::ServerOverloaded { server: 3 })], &[4])]
fn violations_are_detected(#[case] observations: &[(Micros, Observation)], #[case] rules: &[u8]) {
    let mut checker = checker();
    for (at, observation) in observations {
        checker.record(*at, *observation);
    }
    checker.finish(10 * SECOND);
    let violated: Vec<_> = checker
        .violations()
        .iter()
        .map(|violation| violation.rule)
        .collect();
    assert_eq!(
        violated,
        rules,
        "{}",
        checker
            .violations()
            .iter()
            .map(Violation::to_string)
            .collect::<String>()
    );
    for violation in checker
        .violations()
        .iter()
        .filter(|violation| violation.request.is_some())
    {
        let first = observations
            .iter()
            .find(|(_, observation)| observation.request().is_some());
        assert_eq!(
            violation.history.first(),
            first,
            "the history must start with the first observation of the request"
        );
    }
}

#[test]
fn slow_start_overload_is_reported_once() {
    let mut checker = checker();
    let slow_start = AttemptTarget {
        slow_start_capacity: Some(0.3),
        ..target(0)
    };
    for request in 0..12 {
        // 99 ms of work every 100 ms is 0.99 of a core, and the limit is 3 * 0.3 = 0.9.
        let at = request * 100_000;
        checker.record(
            at,
            Observation::RequestReceived {
                request,
                balancer: 0,
                class: 0,
                deadline: at + SECOND,
            },
        );
        checker.record(
            at,
            Observation::AttemptReceived {
                request,
                target: slow_start,
                started_at: at,
                work: 99_000.0,
            },
        );
        checker.record(
            at,
            Observation::ResponseReceived {
                request,
                outcome: Succeeded,
                is_genuine: true,
            },
        );
    }
    checker.finish(20 * SECOND);
    assert_eq!(
        checker
            .violations()
            .iter()
            .map(|violation| (violation.rule, violation.request))
            .collect::<Vec<_>>(),
        [(4, Some(9))]
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(8))]
    /// Expired requests are removed, but a request without a response is still reported.
    #[test]
    fn expired_requests_are_removed_and_a_missing_response_is_reported(
        unanswered in 0_u64..20_000,
    ) {
        let mut checker = checker();
        for request in 0..20_000 {
            let at = request * 10_000;
            checker.record(
                at,
                Observation::RequestReceived {
                    request,
                    balancer: 0,
                    class: 0,
                    deadline: at + SECOND,
                },
            );
            if request != unanswered {
                checker.record(
                    at + 5,
                    Observation::ResponseReceived {
                        request,
                        outcome: Succeeded,
                        is_genuine: true,
                    },
                );
            }
        }
        prop_assert!(checker.retained() < 6_000, "{} retained", checker.retained());
        checker.finish(300 * SECOND);
        let violations = checker.violations().iter();
        prop_assert_eq!(
            violations.map(|violation| violation.request).collect::<Vec<_>>(),
            [Some(unanswered)]
        );
    }
}

/// The scenario key `late` extends the time after the deadline in which a response is accepted.
#[rstest]
#[case::within_the_limit(SECOND + 400_000, 0)]
#[case::beyond_the_limit(SECOND + 600_000, 1)]
fn late_response_violates_rule_1_only_beyond_the_limit_of_the_scenario(
    #[case] at: Micros,
    #[case] violations: usize,
) {
    let scenario = validation::decode_scenario(
        "name = 'test'\nlength = '20s'\n[rules]\nlate = '500ms'",
        "scenario.toml",
    )
    .unwrap();
    let mut checker = Checker::new(&scenario);
    checker.record(0, received(0));
    checker.record(at, answered(Failed));
    assert_eq!(checker.violations().len(), violations);
}
