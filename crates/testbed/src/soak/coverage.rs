//! Which pairs of faults overlapped, in how many scenarios, and how many requests were sent
//! meanwhile.

use std::collections::BTreeMap;

use pinefront_model::scenario::{Fault, Scenario};
use pinefront_model::{Micros, SECOND};
use serde::Serialize;

use crate::soak::schedule::fault_name;

/// Two kinds of faults that overlapped.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pair {
    #[serde(rename = "troubles")]
    pub faults: [String; 2],
    #[serde(rename = "days")]
    pub scenarios: usize,
    /// Requests sent while both were active, by the mean rate of the scenario.
    pub requests: u64,
}

/// A scenario and the number of requests sent in it.
pub struct PlayedScenario {
    pub scenario: Scenario,
    pub requests: u64,
}

/// When a fault starts and ends. An instant fault counts for a second.
fn active_time(fault: &Fault) -> std::ops::Range<Micros> {
    let end = fault.at.0 + fault.over.0 + fault.duration.0.max(SECOND);
    fault.at.0..end
}

/// How long two faults overlap.
fn overlap(first: &Fault, second: &Fault) -> Micros {
    let (first, second) = (active_time(first), active_time(second));
    let start = first.start.max(second.start);
    first.end.min(second.end).saturating_sub(start)
}

/// All pairs of faults in some scenarios.
pub fn pairs(played: &[PlayedScenario]) -> Vec<Pair> {
    let mut pairs: BTreeMap<[String; 2], Pair> = BTreeMap::new();
    for PlayedScenario { scenario, requests } in played {
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
                let pair = pairs.entry(names.clone()).or_insert(Pair {
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
