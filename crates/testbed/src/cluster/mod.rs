//! `pinefront-testbed accord`: the cluster protocol of many members on a virtual clock, under
//! faults drawn from seeds.

mod checker;
pub mod fault_plan;
mod lease_checks;
mod process;
mod report;
mod simulation;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use pinefront_cluster::InjectedFault;

pub use report::{Report, distribution};
use simulation::Outcome;

use crate::world::locked;

/// The options of a simulation of several seeds.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seeds, each of which is one run.
    pub seeds: std::ops::Range<u64>,
    pub members: usize,
    /// A fault that is injected into every member, to test that the checks find it.
    pub injected_fault: Option<InjectedFault>,
    /// The kind of all fault plans; drawn from the seed if `None`.
    pub kind: Option<fault_plan::PlanKind>,
    /// The loss rate of all datagrams as a fraction of 1; replaces the rate drawn from the seed.
    pub loss: Option<f64>,
    /// The number of leases; 0 runs the cluster without leases.
    pub leases: usize,
    /// Whether to stop after the first seed with a violation.
    pub stop_at_first_violation: bool,
}

/// The outcome of one seed.
pub struct SeedOutcome {
    seed: u64,
    outcome: Outcome,
}

/// Runs all seeds on all cores, or as many as start before `cancelled` is set.
pub fn run(options: &Options, cancelled: &AtomicBool) -> Report {
    let next_seed = AtomicU64::new(options.seeds.start);
    let outcomes = Mutex::new(Vec::new());
    let is_finished = AtomicBool::new(false);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= options.seeds.end
                        || cancelled.load(Ordering::Relaxed)
                        || is_finished.load(Ordering::Relaxed)
                    {
                        return;
                    }
                    let outcome = simulation::run(seed, options);
                    if options.stop_at_first_violation && !outcome.violations.is_empty() {
                        is_finished.store(true, Ordering::Relaxed);
                    }
                    locked(&outcomes).push(SeedOutcome { seed, outcome });
                }
            });
        }
    });
    let mut outcomes = std::mem::take(&mut *locked(&outcomes));
    outcomes.sort_by_key(|outcome| outcome.seed);
    Report::new(options, &outcomes)
}

#[cfg(test)]
mod tests;
