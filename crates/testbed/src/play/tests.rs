use rstest::rstest;

use super::*;
use crate::baseline::Policy;

fn scenario(rest: &str) -> Scenario {
    pinefront_model::validation::read(&format!("name = 'd'\nlength = '1500ms'\n{rest}"), "d.toml")
        .unwrap()
}

/// The whole way on sockets, with a balancer of the lab's own: every try has exactly one end.
#[rstest]
#[case::calm("")]
#[case::crash("[[faults]]\nkind = 'crash'\nat = '300ms'\nfor = '500ms'\npart = 0.5")]
#[case::spoilt(
    "[[faults]]\nkind = 'spoilt'\nat = '0s'\nfor = '1s'\n[[faults]]\nkind = 'reset'\nat = '1s'\nfor = '500ms'"
)]
#[case::leaving(
    "[traffic]\nleaves = 0.5\nretries = 0\n[[faults]]\nkind = 'silent'\nat = '0s'\nfor = '1500ms'\npart = 0.5"
)]
fn every_try_has_one_end(#[case] rest: &str) {
    let found = play(
        &scenario(rest),
        1,
        &Who::Policy(Policy::TwoChoices),
        &Wishes::default(),
    )
    .unwrap();
    let requests = &found.requests;
    let ends = requests.succeeded
        + requests.rejected
        + requests.failed
        + requests.unanswered
        + requests.left
        + requests.unreached;
    assert!(
        requests.asked > 100 && requests.succeeded > 0,
        "{requests:?}"
    );
    assert_eq!(requests.asked, ends, "{requests:?}");
    assert_eq!(requests.left > 0, rest.contains("leaves"));
}

#[test]
fn a_drain_takes_a_server_away_and_brings_another() {
    let rest = "[discovery]\ndelay = ['1ms', '2ms']\n[[faults]]\nkind = 'drain'\nat = '300ms'\nfor = '600ms'\nservers = [0]";
    let found = play(
        &scenario(rest),
        1,
        &Who::Policy(Policy::RoundRobin),
        &Wishes::default(),
    )
    .unwrap();
    assert_eq!(found.servers, 13);
    assert!(
        found.sends[12] > 0,
        "the newcomer is sent tickets: {:?}",
        found.sends
    );
    assert!(
        found.sends[0] < found.sends[1],
        "the one that drained gets no more: {:?}",
        found.sends
    );
}

/// A balancer that ends by itself is told with what it said; nothing hangs.
#[rstest]
#[case("/bin/false", "balancer 0 ended by itself")]
#[case("/does/not/exist", "cannot start a balancer: /does/not/exist")]
fn a_balancer_that_does_not_start_is_told(#[case] binary: &str, #[case] wanted: &str) {
    let problem = play(
        &scenario(""),
        1,
        &Who::Binary(binary.into()),
        &Wishes::default(),
    )
    .unwrap_err();
    assert!(problem.contains(wanted), "{problem}");
}

#[test]
fn a_day_that_is_ended_early_tells_what_it_found() {
    let wishes = Wishes::default();
    wishes.over.store(true, Ordering::Relaxed);
    let found = play(&scenario(""), 1, &Who::Policy(Policy::Random), &wishes).unwrap();
    assert!(found.cut_short && found.requests.asked == 0);
}
