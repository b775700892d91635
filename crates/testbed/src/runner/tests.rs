use rstest::rstest;

use super::*;
use crate::baseline::Policy;

fn scenario(settings: &str) -> Scenario {
    pinefront_model::validation::decode_scenario(
        &format!("name = 'test'\nlength = '1500ms'\n{settings}"),
        "scenario.toml",
    )
    .unwrap()
}

/// Guards against attempts that are counted twice or never: in a complete run on sockets with a
/// stand-in balancer, every attempt has exactly one result.
#[rstest]
#[case::no_fault("")]
#[case::crash("[[faults]]\nkind = 'crash'\nat = '300ms'\nfor = '500ms'\npart = 0.5")]
#[case::corrupted_then_reset(
    "[[faults]]\nkind = 'spoilt'\nat = '0s'\nfor = '1s'\n\
     [[faults]]\nkind = 'reset'\nat = '1s'\nfor = '500ms'"
)]
#[case::clients_disconnect(
    "[traffic]\nleaves = 0.5\nretries = 0\n\
     [[faults]]\nkind = 'silent'\nat = '0s'\nfor = '1500ms'\npart = 0.5"
)]
fn every_attempt_has_exactly_one_result(#[case] settings: &str) {
    let figures = run(
        &scenario(settings),
        1,
        &Subject::Policy(Policy::TwoChoices),
        &RunOptions::default(),
    )
    .unwrap();
    let counts = &figures.counts;
    let results = counts.succeeded
        + counts.rejected
        + counts.failed
        + counts.unanswered
        + counts.disconnected
        + counts.unreachable;
    assert!(counts.sent > 100 && counts.succeeded > 0, "{counts:?}");
    assert_eq!(counts.sent, results, "{counts:?}");
    assert_eq!(counts.disconnected > 0, settings.contains("leaves"));
}

#[test]
fn a_drained_server_gets_fewer_attempts_and_its_replacement_gets_some() {
    let settings = "[discovery]\ndelay = ['1ms', '2ms']\n\
                    [[faults]]\nkind = 'drain'\nat = '300ms'\nfor = '600ms'\nservers = [0]";
    let figures = run(
        &scenario(settings),
        1,
        &Subject::Policy(Policy::RoundRobin),
        &RunOptions::default(),
    )
    .unwrap();
    assert_eq!(figures.servers, 13);
    assert!(
        figures.attempts_by_server[12] > 0,
        "the replacement server gets no attempts: {:?}",
        figures.attempts_by_server
    );
    assert!(
        figures.attempts_by_server[0] < figures.attempts_by_server[1],
        "the drained server gets as many attempts as another: {:?}",
        figures.attempts_by_server
    );
}

/// Guards against a run that hangs because a balancer exits during its start: the run fails with
/// the exit status and the log.
#[rstest]
#[case("/bin/false", "balancer 0 exited unexpectedly (exit status: 1)")]
#[case("/does/not/exist", "cannot start balancer 0: /does/not/exist")]
fn a_balancer_that_does_not_start_fails_the_run(#[case] binary: &str, #[case] expected: &str) {
    let error = run(
        &scenario(""),
        1,
        &Subject::Binary(binary.into()),
        &RunOptions::default(),
    )
    .unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn a_run_that_is_stopped_early_returns_its_figures() {
    let options = RunOptions::default();
    options.stop.store(true, Ordering::Relaxed);
    let figures = run(&scenario(""), 1, &Subject::Policy(Policy::Random), &options).unwrap();
    assert!(figures.interrupted && figures.counts.sent == 0);
}
