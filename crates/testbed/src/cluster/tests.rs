use std::sync::atomic::AtomicBool;

use pinefront_cluster::InjectedFault;
use rstest::rstest;

use super::scenario::Kind;
use super::*;

fn wish(seeds: std::ops::Range<u64>, injected_fault: Option<InjectedFault>) -> Wish {
    Wish {
        seeds,
        members: 8,
        injected_fault,
        kind: None,
        loss: None,
        leases: 0,
        first_only: injected_fault.is_some(),
    }
}

#[test]
fn no_promise_is_broken() {
    let found = play(&wish(0..12, None), &AtomicBool::new(false));
    assert_eq!(
        (
            found.seeds,
            found.broken.first().map(|broken| broken.what.clone())
        ),
        (12, None)
    );
}

/// Four of the eight; all eight: `cargo run --release -p pinefront-testbed --features planted -- accord --plant NAME`.
#[rstest]
#[case::incarnation(InjectedFault::RefutationCounterDecreases)]
#[case::silent(InjectedFault::UnresponsiveCountsAsStopped)]
#[case::asking(InjectedFault::SuspectsWithoutProbeRequests)]
#[case::sleep(InjectedFault::PauseUnnoticed)]
fn a_planted_fault_is_found(#[case] injected_fault: InjectedFault) {
    let found = play(&wish(0..400, Some(injected_fault)), &AtomicBool::new(false));
    assert!(
        !found.broken.is_empty(),
        "none of {} seeds found it",
        found.seeds
    );
}

#[test]
fn one_seed_is_one_run() {
    let wish = Wish {
        members: 10,
        kind: Some(Kind::Any),
        leases: 20,
        ..wish(0..1, None)
    };
    let trace = || simulation::play(7, &wish).trace;
    assert_eq!(trace(), trace());
}

/// No two hold one duty and no act of an older term is taken, whatever fails; and every duty has a holder at the end.
#[test]
fn duties_are_held_by_one_at_most() {
    let found = play(
        &Wish {
            members: 10,
            leases: 30,
            ..wish(0..24, None)
        },
        &AtomicBool::new(false),
    );
    assert_eq!(found.broken.first().map(|broken| broken.what.clone()), None);
    assert!(
        found
            .without_holder_ms
            .values()
            .map(|spread| spread.count)
            .sum::<usize>()
            > 100
    );
}
