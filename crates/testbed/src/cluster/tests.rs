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
        stop_at_first_violation: injected_fault.is_some(),
    }
}

#[test]
fn runs_without_an_injected_fault_have_no_violation() {
    let report = run(&options(0..12, None), &AtomicBool::new(false));
    assert_eq!(
        (
            report.seeds,
            report
                .violations
                .first()
                .map(|violation| violation.description.clone())
        ),
        (12, None)
    );
}

/// The checks find a violation for four of the eight injectable faults. The command
/// `cargo run --release -p pinefront-testbed --features planted -- accord --plant NAME` runs any of
/// the eight.
#[rstest]
#[case::refutation_counter_decreases(InjectedFault::RefutationCounterDecreases)]
#[case::unresponsive_counts_as_stopped(InjectedFault::UnresponsiveCountsAsStopped)]
#[case::suspects_without_probe_requests(InjectedFault::SuspectsWithoutProbeRequests)]
#[case::pause_undetected(InjectedFault::PauseUndetected)]
fn injected_fault_causes_a_violation(#[case] injected_fault: InjectedFault) {
    let report = run(
        &options(0..400, Some(injected_fault)),
        &AtomicBool::new(false),
    );
    assert!(
        !report.violations.is_empty(),
        "no violation in {} seeds",
        report.seeds
    );
}

#[test]
fn two_runs_of_one_seed_send_the_same_datagrams() {
    let options = Options {
        members: 10,
        kind: Some(PlanKind::Any),
        leases: 20,
        ..options(0..1, None)
    };
    let trace_hash = || simulation::run(7, &options).trace_hash;
    assert_eq!(trace_hash(), trace_hash());
}

/// Under all drawn faults, no two members hold one lease at the same time and no member accepts a
/// stale command. Leases are also lost and acquired again, so the checks have cases to examine.
#[test]
fn leases_never_have_two_holders_under_faults() {
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
            .map(|violation| violation.description.clone()),
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
