//! Which pairs of troubles overlapped, in how many days, and how many requests were under way in the overlaps.

use std::collections::BTreeMap;

use pinefront_model::scenario::{Fault, Scenario};
use pinefront_model::{Micros, SECOND};
use serde::Serialize;

use crate::soak::schedule::name;

/// Two troubles that met.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pair {
    pub troubles: [String; 2],
    #[serde(rename = "days")]
    pub scenarios: usize,
    /// Requests asked while both held, by the mean rate of the day.
    pub requests: u64,
}

/// From its beginning to its end; what happens at one moment counts for a second.
fn span(fault: &Fault) -> (Micros, Micros) {
    (
        fault.at.0,
        fault.at.0 + fault.over.0 + fault.duration.0.max(SECOND),
    )
}

fn overlap(one: &Fault, other: &Fault) -> Micros {
    let (one, other) = (span(one), span(other));
    one.1.min(other.1).saturating_sub(one.0.max(other.0))
}

/// All pairs of all days, with how many requests each day had.
pub fn pairs(scenarios: &[(u64, Scenario)]) -> Vec<Pair> {
    let mut met: BTreeMap<[String; 2], (usize, u64)> = BTreeMap::new();
    for (asked, scenario) in scenarios {
        let faults: Vec<&Fault> = scenario
            .faults
            .iter()
            .map(|fault| fault.get_ref())
            .collect();
        for (place, one) in faults.iter().enumerate() {
            for other in &faults[..place] {
                let both = overlap(one, other);
                if both == 0 {
                    continue;
                }
                let mut troubles = [name(one.kind), name(other.kind)];
                troubles.sort();
                let pair = met.entry(troubles).or_default();
                pair.0 += 1;
                pair.1 += asked * both / scenario.length.get_ref().0.max(1);
            }
        }
    }
    met.into_iter()
        .map(|(troubles, (scenarios, requests))| Pair {
            troubles,
            scenarios,
            requests,
        })
        .collect()
}
