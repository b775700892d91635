use proptest::prelude::*;

use super::*;

const SHAPE: Shape = Shape {
    seconds: 20,
    balancers: None,
    rate: 200.0,
    with: Vec::new(),
};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    #[test]
    fn every_seed_draws_a_scenario_that_can_be_run(seed in any::<u64>()) {
        let text = schedule::draw(seed, &SHAPE);
        let scenario = parse_schedule(&text);
        prop_assert!(scenario.is_ok(), "{:?}\n{text}", scenario.err());
        prop_assert_eq!(schedule::draw(seed, &SHAPE), text);
    }
}

#[test]
fn faults_overlap_in_most_scenarios() {
    let scenarios: Vec<_> = (0..50)
        .map(|seed| PlayedScenario {
            scenario: parse_schedule(&schedule::draw(seed, &SHAPE)).unwrap(),
            requests: 0,
        })
        .collect();
    let overlaps =
        |scenario: &&PlayedScenario| !coverage::pairs(std::slice::from_ref(*scenario)).is_empty();
    assert!(scenarios.iter().filter(overlaps).count() >= 45);
}

#[test]
fn shrinking_keeps_what_makes_it_fail() {
    let parts = ["head", "a", "b", "c", "d"];
    let fails = |parts: &[&str]| parts.contains(&"b") && parts.contains(&"d");
    assert_eq!(shrink::remove_needless(&parts, fails), ["head", "b", "d"]);
}
