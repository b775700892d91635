//! `pinefront-testbed`: runs balancers before stand-in servers on this machine, with faults, and
//! measures them.

#![cfg_attr(
    test,
    // A test that lists its cases in a row reads better whole.
    allow(
        clippy::default_trait_access,
        clippy::needless_for_each,
        clippy::too_many_lines
    )
)]

mod assumed_notifications;
mod balancers;
mod baseline;
mod clients;
mod clock;
mod cluster;
mod commands;
mod discovery_stand_in;
mod environment;
mod error;
mod explore;
mod figures;
mod fleet;
mod http;
mod load;
mod overhead;
mod pace;
mod report;
mod runner;
mod server_stand_in;
mod soak;
mod stalled_clients;
mod stand_alone;
mod system_faults;
#[cfg(test)]
mod tests;
mod world;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use clap::{Parser, Subcommand};

use crate::commands::Failure;
use crate::commands::agreement::{Explore, SimulateCluster, explore, simulate_cluster};
use crate::commands::measuring::{LoadAt, Overhead, load_at, measure_overhead};
use crate::commands::scenarios::{
    ClusterRun, Compare, Demo, Run, StandAlone, compare, demo, run, run_cluster, stand,
};
use crate::commands::soaking::{Soak, soak};

/// Runs pinefront before stand-in servers on this machine, with faults, and measures it.
///
/// Exit codes: 0 success, 1 a rule was violated, a balancer died or the testbed failed, 2 a
/// scenario or an argument is wrong.
#[derive(Parser)]
#[command(version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves calm traffic with the balancer before stand-in servers
    Demo(Demo),
    /// Runs a scenario from a file
    Run(Run),
    /// Starts stand-in servers and discovery alone, with a page to inject faults by hand
    Stand(StandAlone),
    /// Loads an HTTP address of this machine, open loop
    Load(LoadAt),
    /// Measures the overhead of a balancer: the same load directly on servers and through it
    Overhead(Overhead),
    /// Runs a scenario with balancers that form a cluster, with a relay on each link between two of
    /// them
    Fleet(ClusterRun),
    /// Simulates the cluster protocol of many members on a virtual clock, under faults drawn from seeds
    Accord(SimulateCluster),
    /// Tries every order of events for a few members and one lease, up to a depth
    Explore(Explore),
    /// Runs scenarios drawn from seeds, with faults that overlap
    Soak(Soak),
    /// Runs a scenario with simple policies as stand-in balancers, for comparison
    Baseline(Compare),
}

/// Sets `stop` at Ctrl-C or SIGTERM, which ends a run early; its figures are printed all the same.
fn watch_signals(stop: &Arc<AtomicBool>) {
    let stop = Arc::clone(stop);
    std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        else {
            return;
        };
        runtime.block_on(async {
            let term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
            let Ok(mut term) = term else { return };
            tokio::select! {
                _ = tokio::signal::ctrl_c() => {}
                _ = term.recv() => {}
            }
            stop.store(true, Ordering::Relaxed);
        });
    });
}

fn main() -> ExitCode {
    let line = Line::parse();
    environment::raise_descriptor_limit();
    let stop = Arc::new(AtomicBool::new(false));
    watch_signals(&stop);
    let done = match &line.command {
        Command::Demo(options) => demo(options, &stop),
        Command::Run(options) => run(options, &stop),
        Command::Stand(options) => stand(options, &stop),
        Command::Load(options) => load_at(options, &stop),
        Command::Overhead(options) => measure_overhead(options, &stop),
        Command::Fleet(options) => run_cluster(options, &stop),
        Command::Explore(options) => explore(options, &stop),
        Command::Soak(options) => soak(options, &stop),
        Command::Accord(options) => simulate_cluster(options, &stop),
        Command::Baseline(options) => compare(options, &stop),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Wrong(problem)) => {
            eprintln!("pinefront-testbed: {problem}");
            ExitCode::from(2)
        }
        Err(Failure::Failed(problem)) => {
            eprintln!("pinefront-testbed: {problem}");
            ExitCode::FAILURE
        }
    }
}
