use rstest::rstest;

use super::*;
use crate::baseline::Policy;

fn scenario(rest: &str) -> Scenario {
    pinefront_model::validation::decode_scenario(
        &format!("name = 'd'\nlength = '1500ms'\n{rest}"),
        "d.toml",
    )
    .unwrap()
}

/// A complete run on sockets, with a stand-in balancer: every attempt ends exactly once.
#[rstest]
#[case::calm("")]
#[case::crash("[[faults]]\nkind = 'crash'\nat = '300ms'\nfor = '500ms'\npart = 0.5")]
#[case::spoilt(
    "[[faults]]\nkind = 'spoilt'\nat = '0s'\nfor = '1s'\n[[faults]]\nkind = 'reset'\nat = '1s'\nfor = '500ms'"
)]
#[case::leaving(
    "[traffic]\nleaves = 0.5\nretries = 0\n[[faults]]\nkind = 'silent'\nat = '0s'\nfor = '1500ms'\npart = 0.5"
)]
fn every_attempt_ends_once(#[case] rest: &str) {
    let found = run(
        &scenario(rest),
        1,
        &Subject::Policy(Policy::TwoChoices),
        &RunOptions::default(),
    )
    .unwrap();
    let counts = &found.counts;
    let ends = counts.succeeded
        + counts.rejected
        + counts.failed
        + counts.unanswered
        + counts.disconnected
        + counts.unreachable;
    assert!(counts.sent > 100 && counts.succeeded > 0, "{counts:?}");
    assert_eq!(counts.sent, ends, "{counts:?}");
    assert_eq!(counts.disconnected > 0, rest.contains("leaves"));
}

#[test]
fn a_drain_takes_a_server_away_and_brings_another() {
    let rest = "[discovery]\ndelay = ['1ms', '2ms']\n[[faults]]\nkind = 'drain'\nat = '300ms'\nfor = '600ms'\nservers = [0]";
    let found = run(
        &scenario(rest),
        1,
        &Subject::Policy(Policy::RoundRobin),
        &RunOptions::default(),
    )
    .unwrap();
    assert_eq!(found.servers, 13);
    assert!(
        found.attempts_by_server[12] > 0,
        "the new server gets requests: {:?}",
        found.attempts_by_server
    );
    assert!(
        found.attempts_by_server[0] < found.attempts_by_server[1],
        "the one that drained gets no more: {:?}",
        found.attempts_by_server
    );
}

/// A balancer that ends by itself is reported with its log; nothing hangs.
#[rstest]
#[case("/bin/false", "balancer 0 ended by itself")]
#[case("/does/not/exist", "cannot start a balancer: /does/not/exist")]
fn a_balancer_that_does_not_start_is_reported(#[case] binary: &str, #[case] wanted: &str) {
    let problem = run(
        &scenario(""),
        1,
        &Subject::Binary(binary.into()),
        &RunOptions::default(),
    )
    .unwrap_err();
    assert!(problem.to_string().contains(wanted), "{problem}");
}

#[test]
fn a_run_that_is_ended_early_returns_its_figures() {
    let options = RunOptions::default();
    options.stop.store(true, Ordering::Relaxed);
    let found = run(&scenario(""), 1, &Subject::Policy(Policy::Random), &options).unwrap();
    assert!(found.interrupted && found.counts.sent == 0);
}
