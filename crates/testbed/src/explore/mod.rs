//! Exploration of the lease protocol in every order of events, for a few members and one lease up
//! to a given depth: the state machines as they ship, with loss, repetition, reordering, restarts
//! without memory, pauses, and clocks at the bounds of their rates. States are told apart by a hash
//! of all that they hold.

mod search;
mod state;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use pinefront_cluster::leases::InjectedFault;
use serde::Serialize;

use state::State;

/// The largest depth of the exhaustive search.
const MAX_DEPTH: u32 = 30;

/// What is explored.
#[derive(Clone, Debug)]
pub struct Options {
    /// The depth of the exhaustive search, in steps.
    pub depth: u32,
    /// The number of random walks.
    pub walks: u64,
    /// The number of candidates for the lease.
    pub candidates: usize,
    pub injected_fault: Option<InjectedFault>,
    /// Set from outside to end early.
    pub cancelled: Arc<AtomicBool>,
}

impl Options {
    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }
}

/// What the exploration found.
#[derive(Debug, Default, Serialize)]
pub struct Findings {
    pub states: u64,
    pub depth: u32,
    /// Whether every state up to that depth was seen.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    pub walks: u64,
    pub walk_steps: u64,
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Tries every order of steps from the start and from where a candidate holds the lease, to
/// increasing depths, so that the first violation found is a shortest one; then random walks, whose
/// violations are shortened.
pub fn explore(options: &Options) -> Findings {
    let mut findings = Findings {
        depth: options.depth,
        is_complete: true,
        ..Findings::default()
    };
    let depth = options.depth.min(MAX_DEPTH) as u8;
    for (root, from) in [
        (State::first(options), "the start"),
        (State::with_holder(options), "where c0 holds it"),
    ] {
        let result = search::search_to_depth(&root, depth, options);
        if let Some(violation) = result.violation {
            findings
                .violations
                .push(format!("from {from}: {violation}"));
            return findings;
        }
        findings.is_complete &= result.is_complete;
        findings.states += result.states;
    }
    for walk in 0..options.walks {
        if !findings.violations.is_empty() || options.is_cancelled() {
            break;
        }
        findings.walks += 1;
        let walked = search::walk(walk, options);
        findings.walk_steps += walked.steps;
        findings.violations.extend(walked.violation);
    }
    findings
}

#[cfg(test)]
mod tests;
