//! Exploration of the lease protocol: all orders of events up to a given depth, for a few members
//! and one lease. It runs the production state machines with lost, repeated and reordered messages,
//! restarts without stored state, pauses, and clocks at the limits of their rates. States are
//! distinguished by a hash of their whole contents.

mod search;
mod state;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use pinefront_cluster::leases::InjectedFault;
use serde::Serialize;

use state::State;

/// The largest depth of the exhaustive search, in steps.
const MAX_DEPTH: u32 = 30;

/// The options of an exploration.
#[derive(Clone, Debug)]
pub struct Options {
    /// The depth of the exhaustive search, in steps.
    pub depth: u32,
    /// The number of random walks.
    pub walks: u64,
    /// The number of candidates for the lease.
    pub candidates: usize,
    /// A fault that is injected into every member, to test that the exploration finds it.
    pub injected_fault: Option<InjectedFault>,
    /// Set by the caller to stop the exploration early.
    pub cancelled: Arc<AtomicBool>,
}

impl Options {
    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }
}

/// The results of an exploration.
#[derive(Debug, Default, Serialize)]
pub struct Findings {
    /// The number of distinct states that the exhaustive search visited.
    pub states: u64,
    /// The requested depth of the exhaustive search, in steps.
    pub depth: u32,
    /// Whether the exhaustive search visited every state up to the depth that it used.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The number of random walks that were started.
    pub walks: u64,
    /// The number of steps of all random walks together.
    pub walk_steps: u64,
    /// Descriptions of the violations, each with the steps that lead to it.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Searches all orders of steps from the initial state and from a state in which a candidate holds
/// the lease, to increasing depths, so that the first violation found has the fewest steps. Then
/// makes random walks, and removes the steps that a violation does not need.
pub fn explore(options: &Options) -> Findings {
    let mut findings = Findings {
        depth: options.depth,
        is_complete: true,
        ..Findings::default()
    };
    let depth = options.depth.min(MAX_DEPTH) as u8;
    for (root, root_name) in [
        (State::initial(options), "the initial state"),
        (
            State::with_holder(options),
            "the state where c0 holds the lease",
        ),
    ] {
        let result = search::search_to_depth(&root, depth, options);
        if let Some(violation) = result.violation {
            findings
                .violations
                .push(format!("from {root_name}: {violation}"));
            return findings;
        }
        findings.is_complete &= result.is_complete;
        findings.states += result.states;
    }
    for seed in 0..options.walks {
        if !findings.violations.is_empty() || options.is_cancelled() {
            break;
        }
        findings.walks += 1;
        let walk = search::walk(seed, options);
        findings.walk_steps += walk.steps;
        findings.violations.extend(walk.violation);
    }
    findings
}

#[cfg(test)]
mod tests;
