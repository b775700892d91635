use proptest::prelude::*;

use super::*;

const PARAMETERS: ScheduleParameters = ScheduleParameters {
    length_seconds: 20,
    balancers: None,
    requests_per_second: 200.0,
    required_faults: Vec::new(),
};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    #[test]
    fn every_seed_draws_a_valid_scenario_and_always_the_same(seed in any::<u64>()) {
        let text = schedule::draw(seed, &PARAMETERS);
        let scenario = parse_schedule(&text);
        prop_assert!(scenario.is_ok(), "{:?}\n{text}", scenario.err());
        prop_assert_eq!(schedule::draw(seed, &PARAMETERS), text);
    }
}

#[test]
fn faults_overlap_in_most_scenarios() {
    let scenarios: Vec<_> = (0..50)
        .map(|seed| ScenarioRun {
            scenario: parse_schedule(&schedule::draw(seed, &PARAMETERS)).unwrap(),
            requests: 0,
        })
        .collect();
    let has_overlap = |scenario: &&ScenarioRun| {
        !coverage::fault_pairs(std::slice::from_ref(*scenario)).is_empty()
    };
    assert!(scenarios.iter().filter(has_overlap).count() >= 45);
}

#[test]
fn shrinking_keeps_only_the_parts_that_make_the_run_fail() {
    let parts = ["settings", "a", "b", "c", "d"];
    let fails = |parts: &[&str]| parts.contains(&"b") && parts.contains(&"d");
    assert_eq!(
        shrink::remove_unneeded(&parts, fails),
        ["settings", "b", "d"]
    );
}
