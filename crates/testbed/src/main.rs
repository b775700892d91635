//! `pinefront-testbed`: runs pinefront before stand-in servers, plays days, measures.

mod balancers;
mod baseline;
mod clients;
mod clock;
mod cluster;
mod commands;
mod discovery;
mod explore;
mod figures;
mod fleet;
mod http;
mod load;
mod overhead;
mod pace;
mod play;
mod report;
mod soak;
mod stand;
mod standing;
mod stopping;
mod system;
#[cfg(test)]
mod tests;
mod told;
mod world;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use clap::{Parser, Subcommand};

use crate::commands::Failure;
use crate::commands::agreement::{AccordOf, Explore, accord_of, explore};
use crate::commands::measuring::{LoadAt, Overhead, load_at, overhead};
use crate::commands::scenarios::{
    Compare, Demo, FleetDay, Run, Standing, compare, demo, fleet_day, run, stand,
};
use crate::commands::soaking::{Soak, soak};
/// Runs pinefront before stand-in servers on this machine, plays days of trouble, and measures.
///
/// Exit codes: 0 all is well, 1 a rule was broken, a balancer died or the lab failed, 2 a day or an argument is wrong.
#[derive(Parser)]
#[command(version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves calm traffic with the real balancer before a stand-in fleet
    Demo(Demo),
    /// Plays a day from a file
    Run(Run),
    /// Starts a stand-in fleet and discovery alone, with a page to inject faults by hand
    Stand(Standing),
    /// Loads an HTTP address of this machine, open loop
    Load(LoadAt),
    /// Measures what a balancer costs: the same load straight to servers and through it
    Overhead(Overhead),
    /// Plays a day with balancers that know each other, a relay on each way between two of them
    Fleet(FleetDay),
    /// Plays the accord of many members on a virtual clock, under faults drawn from seeds
    Accord(AccordOf),
    /// Goes through every order of events of a few members and one duty, to a depth
    Explore(Explore),
    /// Plays days drawn from seeds, with troubles that overlap, until a rule is broken or all are played
    Soak(Soak),
    /// Plays a day with plain policies as stand-in balancers, to compare with
    Baseline(Compare),
}

/// Ctrl-C or SIGTERM ends the day early: what was found so far is told all the same.
fn watch_signals(over: &Arc<AtomicBool>) {
    let over = Arc::clone(over);
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
            over.store(true, Ordering::Relaxed);
        });
    });
}

fn main() -> ExitCode {
    let line = Line::parse();
    play::raise_descriptors();
    let over = Arc::new(AtomicBool::new(false));
    watch_signals(&over);
    let done = match &line.command {
        Command::Demo(options) => demo(options, &over),
        Command::Run(options) => run(options, &over),
        Command::Stand(options) => stand(options, &over),
        Command::Load(options) => load_at(options, &over),
        Command::Overhead(options) => overhead(options, &over),
        Command::Fleet(options) => fleet_day(options, &over),
        Command::Explore(options) => explore(options, &over),
        Command::Soak(options) => soak(options, &over),
        Command::Accord(options) => accord_of(options, &over),
        Command::Baseline(options) => compare(options, &over),
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
