//! Counts, for each pair of kinds of faults, the scenarios in which the two overlapped and the
//! requests that were sent during the overlap.

use std::collections::BTreeMap;

use pinefront_model::scenario::{Fault, Scenario};
use pinefront_model::{Micros, SECOND};
use serde::Serialize;

use crate::soak::schedule::fault_name;

/// Two kinds of faults that overlapped in at least one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultPair {
    #[serde(rename = "troubles")]
    pub faults: [String; 2],
    /// Number of scenarios in which the two overlapped.
    #[serde(rename = "days")]
    pub scenarios: usize,
    /// Estimated number of requests sent while both were active, from the mean rate of each
    /// scenario.
    pub requests: u64,
}

/// A scenario that was run, and the number of requests sent in it.
pub struct ScenarioRun {
    pub scenario: Scenario,
    pub requests: u64,
}

/// The time range in which a fault is active. A fault that is shorter than one second counts for
/// one second.
fn active_time(fault: &Fault) -> std::ops::Range<Micros> {
    let end = fault.at.0 + fault.over.0 + fault.duration.0.max(SECOND);
    fault.at.0..end
}

/// The time in which both faults are active, in microseconds.
fn overlap(first: &Fault, second: &Fault) -> Micros {
    let (first, second) = (active_time(first), active_time(second));
    let start = first.start.max(second.start);
    first.end.min(second.end).saturating_sub(start)
}

/// All pairs of faults that overlapped in the given runs, by name.
pub fn fault_pairs(runs: &[ScenarioRun]) -> Vec<FaultPair> {
    let mut pairs: BTreeMap<[String; 2], FaultPair> = BTreeMap::new();
    for ScenarioRun { scenario, requests } in runs {
        let length = scenario.length.get_ref().0.max(1);
        let faults: Vec<&Fault> = scenario.faults.iter().map(toml::Spanned::get_ref).collect();
        for (index, first) in faults.iter().enumerate() {
            for second in &faults[..index] {
                let overlap = overlap(first, second);
                if overlap == 0 {
                    continue;
                }
                let mut names = [first, second].map(|fault| fault_name(fault.kind).to_owned());
                names.sort();
                let pair = pairs.entry(names.clone()).or_insert(FaultPair {
                    faults: names,
                    scenarios: 0,
                    requests: 0,
                });
                pair.scenarios += 1;
                pair.requests += requests * overlap / length;
            }
        }
    }
    pairs.into_values().collect()
}
