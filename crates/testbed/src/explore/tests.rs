use rstest::rstest;

use super::*;

#[test]
fn lease_never_has_two_holders_without_an_injected_fault() {
    let findings = explore(&Options {
        depth: 4,
        walks: 200,
        candidates: 2,
        injected_fault: None,
        cancelled: Arc::default(),
    });
    assert_eq!(findings.violations, Vec::<String>::new());
    assert!(
        findings.is_complete && findings.states > 1_000,
        "{findings:?}"
    );
}

#[rstest]
fn injected_fault_causes_a_violation(#[values(0, 1, 2, 3, 4, 5)] index: usize) {
    let (name, injected_fault) = InjectedFault::ALL[index];
    let findings = explore(&Options {
        depth: 1,
        walks: 3_000,
        candidates: 2,
        injected_fault: Some(injected_fault),
        cancelled: Arc::default(),
    });
    assert!(
        !findings.violations.is_empty(),
        "{name}: no violation in {} random walks",
        findings.walks
    );
}
