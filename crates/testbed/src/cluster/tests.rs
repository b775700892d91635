use std::sync::atomic::AtomicBool;

use pinefront_cluster::InjectedFault;
use rstest::rstest;

use super::fault_plan::PlanKind;
use super::*;

fn options(seeds: std::ops::Range<u64>, injected_fault: Option<InjectedFault>) -> Options {
    Options {
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
fn no_rule_is_broken() {
    let report = run(&options(0..12, None), &AtomicBool::new(false));
    assert_eq!(
        (
            report.seeds,
            report
                .violations
                .first()
                .map(|violation| violation.what.clone())
        ),
        (12, None)
    );
}

/// Four of the eight; all eight: `cargo run --release -p pinefront-testbed --features planted --
/// accord --plant NAME`.
#[rstest]
#[case::incarnation(InjectedFault::RefutationCounterDecreases)]
#[case::silent(InjectedFault::UnresponsiveCountsAsStopped)]
#[case::asking(InjectedFault::SuspectsWithoutProbeRequests)]
#[case::sleep(InjectedFault::PauseUndetected)]
fn injected_fault_is_found(#[case] injected_fault: InjectedFault) {
    let report = run(
        &options(0..400, Some(injected_fault)),
        &AtomicBool::new(false),
    );
    assert!(
        !report.violations.is_empty(),
        "none of {} seeds found it",
        report.seeds
    );
}

#[test]
fn one_seed_is_one_run() {
    let options = Options {
        members: 10,
        kind: Some(PlanKind::Any),
        leases: 20,
        ..options(0..1, None)
    };
    let trace = || simulation::run(7, &options).trace;
    assert_eq!(trace(), trace());
}

/// No two members hold one lease and no stale command is accepted, whatever fails; and every lease
/// has a holder at the end.
#[test]
fn leases_have_one_holder_at_most() {
    let report = run(
        &Options {
            members: 10,
            leases: 30,
            ..options(0..24, None)
        },
        &AtomicBool::new(false),
    );
    assert_eq!(
        report
            .violations
            .first()
            .map(|violation| violation.what.clone()),
        None
    );
    assert!(
        report
            .without_holder_ms
            .values()
            .map(|distribution| distribution.count)
            .sum::<usize>()
            > 100
    );
}
