//! `pinefront-testbed`: runs balancers in front of stand-in servers on this machine, injects faults
//! and measures the balancers.

#![cfg_attr(
    test,
    // A test that lists its cases in sequence is easier to read as one function.
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
mod overload;
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
use crate::commands::measuring::{Load, Overhead, generate_load, measure_overhead};
use crate::commands::overloading::{Overload, measure_overload};
use crate::commands::scenarios::{
    Baseline, ClusterRun, Demo, Run, StandAlone, compare_policies, run_cluster, run_demo,
    run_from_file, run_stand_ins,
};
use crate::commands::soaking::{Soak, run_soak};

/// Runs pinefront in front of stand-in servers on this machine, injects faults and measures it.
///
/// Exit codes: 0 for success; 1 if a rule was violated, a balancer ended unexpectedly or the
/// testbed failed; 2 if a scenario or an argument is invalid.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the balancer in front of stand-in servers, at a constant request rate without faults
    Demo(Demo),
    /// Runs a scenario from a file, and prints its figures
    Run(Run),
    /// Starts stand-in servers and discovery without a balancer, and a page to inject faults by
    /// hand
    #[command(name = "stand")]
    StandAlone(StandAlone),
    /// Sends requests to an HTTP address of this machine at a given rate (open loop)
    Load(Load),
    /// Measures the overhead of a balancer: the same load sent to servers directly and through it
    Overhead(Overhead),
    /// Measures memory and service of a balancer under clients that misbehave
    Overload(Overload),
    /// Runs a scenario with balancers that form a cluster, with a relay on each link between two
    /// balancers
    #[command(name = "fleet")]
    ClusterRun(ClusterRun),
    /// Simulates the cluster protocol with many members on a virtual clock, under faults drawn from
    /// seeds
    #[command(name = "accord")]
    SimulateCluster(SimulateCluster),
    /// Explores every order of events for a few members and one lease, up to a depth
    Explore(Explore),
    /// Runs scenarios with overlapping faults that are drawn from seeds
    Soak(Soak),
    /// Runs a scenario with simple policies as stand-in balancers, for comparison
    Baseline(Baseline),
}

/// Sets `stop` at Ctrl-C or SIGTERM, which ends a run early. The figures of the run are still
/// printed.
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
    let command_line = CommandLine::parse();
    environment::raise_descriptor_limit();
    let stop = Arc::new(AtomicBool::new(false));
    watch_signals(&stop);
    let result = match &command_line.command {
        Command::Demo(options) => run_demo(options, &stop),
        Command::Run(options) => run_from_file(options, &stop),
        Command::StandAlone(options) => run_stand_ins(options, &stop),
        Command::Load(options) => generate_load(options, &stop),
        Command::Overhead(options) => measure_overhead(options, &stop),
        Command::Overload(options) => measure_overload(options, &stop),
        Command::ClusterRun(options) => run_cluster(options, &stop),
        Command::Explore(options) => explore(options, &stop),
        Command::Soak(options) => run_soak(options, &stop),
        Command::SimulateCluster(options) => simulate_cluster(options, &stop),
        Command::Baseline(options) => compare_policies(options, &stop),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::InvalidInput(error)) => {
            eprintln!("pinefront-testbed: {error}");
            ExitCode::from(2)
        }
        Err(Failure::Failed(error)) => {
            eprintln!("pinefront-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}
