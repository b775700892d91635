//! The command that runs scenarios drawn from seeds.

use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use clap::Args;

use crate::commands::{Failure, binary_subject, duration, seeds, write_json};
use crate::soak as soak_tests;

/// The shortest scenario, in seconds.
const MIN_SECONDS: u64 = 8;

#[derive(Args)]
pub struct Soak {
    /// From the first seed up to the last, which is left out
    #[arg(long, default_value = "0..10", value_parser = seeds)]
    seeds: Range<u64>,
    /// How long each scenario is
    #[arg(long = "for", default_value = "20s", value_parser = duration)]
    duration: Duration,
    /// Scenarios that run at the same time
    #[arg(long, default_value_t = 3)]
    parallel: usize,
    /// How many balancers, in place of a drawn number
    #[arg(long)]
    balancers: Option<usize>,
    /// Requests a second
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// A fault that every scenario has beside the drawn ones
    #[arg(long)]
    with: Vec<String>,
    /// Folder for the schedules of failing seeds
    #[arg(long, default_value = "target/soak")]
    save: PathBuf,
    /// Leave out what a failing schedule does not need
    #[arg(long)]
    shrink: bool,
    /// The balancer's program; the one beside this program where none is named
    #[arg(long)]
    binary: Option<PathBuf>,
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs scenarios drawn from seeds.
pub fn soak(options: &Soak, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let schedule_parameters = soak_tests::schedule::ScheduleParameters {
        length_seconds: options.duration.as_secs().max(MIN_SECONDS),
        balancers: options.balancers,
        requests_per_second: options.rate,
        required_faults: options.with.clone(),
    };
    let soak_options = soak_tests::Options {
        seeds: options.seeds.clone(),
        schedule_parameters,
        parallel: options.parallel,
        schedule_folder: options.save.clone(),
        shrinks: options.shrink,
        subject: binary_subject(options.binary.as_ref()),
    };
    let found = soak_tests::soak(&soak_options, stop);
    println!(
        "{} scenarios run, {} violated a rule, {} more on a machine that was too slow (as it was on {}), {} not run; {} pairs of faults met",
        found.seeds.len(),
        found.failed,
        found.failed_invalid,
        found.invalid,
        found.run_errors.len(),
        found.fault_pairs.len()
    );
    write_json(options.json.as_deref(), &found)?;
    if found.failed + found.run_errors.len() > 0 {
        let text = "a rule was violated or a scenario not run; see above";
        return Err(Failure::Failed(text.into()));
    }
    if found.invalid == found.seeds.len() {
        let text = "the machine was too slow in every scenario: there is no result";
        return Err(Failure::Failed(text.into()));
    }
    Ok(())
}
