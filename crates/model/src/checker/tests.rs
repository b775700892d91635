use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::validation;

/// Use cases: 0 redoable, 1 labelled within its cell for 2.5 s, 2 irreversible.
fn checker() -> Checker {
    Checker::new(&validation::decode_scenario("name = 'd'\nlength = '20s'", "d.toml").unwrap())
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
const NOT_RUN: Observation = Observation::AttemptNotProcessed {
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
const FORGED: Observation = Observation::ResponseReceived {
    request: 1,
    outcome: Outcome::Succeeded,
    is_genuine: false,
};
use Outcome::{Failed, Rejected, Succeeded};

/// Observations with their times, and the rules that they violate.
#[rstest]
#[case::fine(&[(0, received(2)), (9, attempt(0, 5)), (20, answered(Succeeded))], &[])]
#[case::no_answer(&[(0, received(0)), (9, attempt(0, 5))], &[1])]
#[case::lost(&[(0, received(0)), (9, Observation::ConnectionLost { request: 1 })], &[1])]
#[case::client_left(&[(0, received(0)), (9, Observation::ClientDisconnected { request: 1 })], &[])]
#[case::balancer_killed(&[(0, received(0)), (9, Observation::BalancerKilled { balancer: 0 })], &[])]
#[case::other_killed(&[(0, received(0)), (9, Observation::BalancerKilled { balancer: 1 })], &[1])]
#[case::begun_as_its_client_left(&[(0, received(0)), (50_000, DISCONNECTED), (210_000, attempt(0, 200_000))], &[])]
#[case::begun_after_its_client_left(&[(0, received(0)), (50_000, DISCONNECTED), (210_000, attempt(0, 200_001))], &[1])]
#[case::begun_long_after_that(&[(0, received(0)), (50_000, DISCONNECTED), (800_000, attempt(0, 800_000))], &[1])]
#[case::tells_what_is_left(&[(0, received(0)), (9, advertised(400_000, 600_000)), (20, answered(Succeeded))], &[])]
#[case::tells_a_little_more(&[(0, received(0)), (9, advertised(400_000, 800_000)), (20, answered(Succeeded))], &[])]
#[case::tells_too_much(&[(0, received(0)), (9, advertised(400_000, 800_001)), (20, answered(Succeeded))], &[1])]
#[case::tells_too_much_noted_first(&[(5, advertised(400_000, 900_000)), (6, received(0)), (20, answered(Succeeded))], &[1])]
#[case::within_slack(&[(0, received(0)), (1_050_000, answered(Succeeded))], &[])]
#[case::late(&[(0, received(0)), (1_050_001, answered(Succeeded))], &[1])]
#[case::late_noted_first(&[(1_050_001, answered(Failed)), (0, received(0))], &[1])]
#[case::twice(&[(0, received(0)), (5, answered(Rejected)), (9, answered(Succeeded))], &[1])]
#[case::forged(&[(0, received(0)), (5, FORGED)], &[1])]
#[case::sent_after(&[(0, received(0)), (5, answered(Rejected)), (60_009, attempt(0, 50_006))], &[1])]
#[case::irreversible_again(&[(0, received(2)), (5, attempt(0, 5)), (9, attempt(1, 9)), (20, answered(Succeeded))], &[2])]
#[case::irreversible_proven(
    &[(0, received(2)), (5, attempt(0, 5)), (6, NOT_RUN), (9, attempt(1, 9)), (20, answered(Succeeded))], &[])]
#[case::irreversible_dismissed(&[(0, received(2)), (5, attempt(0, 5)), (20, answered(Rejected))], &[2])]
#[case::irreversible_abandoned(&[(0, received(2)), (5, attempt(0, 5)), (20, answered(Failed))], &[])]
#[case::irreversible_dismissed_unrun(&[(0, received(2)), (5, attempt(0, 5)), (6, NOT_RUN), (9, answered(Rejected))], &[])]
#[case::redoable_again(&[(0, received(0)), (5, attempt(0, 5)), (9, attempt(3, 9)), (20, answered(Rejected))], &[])]
#[case::labelled_in_group(&[(0, received(1)), (5, attempt(0, 5)), (9, attempt(1, 9)), (20, answered(Succeeded))], &[])]
#[case::labelled_elsewhere(&[(0, received(1)), (5, attempt(0, 5)), (9, attempt(2, 9)), (20, answered(Succeeded))], &[2])]
#[case::labelled_late(&[(0, received(1)), (5, attempt(0, 5)), (2_600_000, attempt(1, 2_600_000)), (9, answered(Succeeded))], &[2])]
#[case::labelled_dismissed(&[(0, received(1)), (5, attempt(0, 5)), (9, answered(Rejected))], &[2])]
#[case::in_grace(&[(0, DRAINING), (0, received(0)), (5, attempt(0, 450_000)), (9, answered(Succeeded))], &[])]
#[case::past_grace(&[(0, DRAINING), (0, received(0)), (5, attempt(0, 450_001)), (9, answered(Succeeded))], &[3])]
#[case::told_again_counts_from_the_first(
    &[(0, DRAINING), (100, DRAINING), (0, received(0)), (5, attempt(0, 450_001)), (9, answered(Succeeded))], &[3])]
#[case::serves_again(
    &[(0, DRAINING), (100, ACTIVE), (0, received(0)), (5, attempt(0, 450_001)), (9, answered(Succeeded))], &[])]
#[case::fell(&[(0, Observation::ServerOverloaded { server: 3 })], &[4])]
fn breaks_are_found(#[case] observations: &[(Micros, Observation)], #[case] rules: &[u8]) {
    let mut checker = checker();
    for (at, observation) in observations {
        checker.record(*at, *observation);
    }
    checker.finish(10 * SECOND);
    let found: Vec<_> = checker
        .violations()
        .iter()
        .map(|record_violation| record_violation.rule)
        .collect();
    assert_eq!(
        found,
        rules,
        "{}",
        checker
            .violations()
            .iter()
            .map(Violation::to_string)
            .collect::<String>()
    );
    for record_violation in checker
        .violations()
        .iter()
        .filter(|record_violation| record_violation.request.is_some())
    {
        let first = observations
            .iter()
            .find(|(_, observation)| observation.request().is_some());
        assert_eq!(
            record_violation.history.first(),
            first,
            "its history is remaining from the beginning"
        );
    }
}

#[test]
fn a_cold_server_over_its_multiple_is_found_once() {
    let mut checker = checker();
    let slow_start = AttemptTarget {
        slow_start_capacity: Some(0.3),
        ..target(0)
    };
    for request in 0..12 {
        // 100 ms of work every 100 ms is 1.0 of a core; three times 0.3 is less.
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
            .map(|record_violation| (record_violation.rule, record_violation.request))
            .collect::<Vec<_>>(),
        [(4, Some(9))]
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(8))]
    /// What is over is forgotten, and a ticket without an answer is found all the same.
    #[test]
    fn memory_is_bounded_and_nothing_owed_is_lost(owed in 0_u64..20_000) {
        let mut checker = checker();
        for request in 0..20_000 {
            let at = request * 10_000;
            checker.record(at, Observation::RequestReceived { request, balancer: 0, class: 0, deadline: at + SECOND });
            if request != owed {
                checker.record(at + 5, Observation::ResponseReceived { request, outcome: Succeeded, is_genuine: true });
            }
        }
        prop_assert!(checker.retained() < 6_000, "{} retained", checker.retained());
        checker.finish(300 * SECOND);
        prop_assert_eq!(checker.violations().iter().map(|record_violation| record_violation.request).collect::<Vec<_>>(), [Some(owed)]);
    }
}

/// Up to so late an answer earns nothing; later it is lost.
#[rstest]
#[case::late(SECOND + 400_000, 0)]
#[case::lost(SECOND + 600_000, 1)]
fn a_late_answer_is_lost_only_beyond_what_the_day_says(
    #[case] at: Micros,
    #[case] record_violation: usize,
) {
    let scenario = validation::decode_scenario(
        "name = 'd'\nlength = '20s'\n[rules]\nlate = '500ms'",
        "d.toml",
    )
    .unwrap();
    let mut checker = Checker::new(&scenario);
    checker.record(0, received(0));
    checker.record(at, answered(Failed));
    assert_eq!(checker.violations().len(), record_violation);
}
