//! The command that runs scenarios drawn from seeds.

use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use clap::Args;

use crate::commands::{Failure, binary_subject, parse_duration, parse_seed_range, write_json};
use crate::soak;

/// The shortest scenario, in seconds; a shorter `--for` is raised to it.
const MIN_SCENARIO_SECONDS: u64 = 8;

#[derive(Args)]
pub struct Soak {
    /// Range of seeds; the end is not included
    #[arg(long, default_value = "0..10", value_parser = parse_seed_range)]
    seeds: Range<u64>,
    /// Length of each scenario, at least 8s
    #[arg(long = "for", default_value = "20s", value_parser = parse_duration)]
    duration: Duration,
    /// Number of scenarios that run at the same time
    #[arg(long, default_value_t = 3)]
    parallel: usize,
    /// Number of balancers in each scenario, instead of a drawn number
    #[arg(long)]
    balancers: Option<usize>,
    /// Requests per second
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Kind of fault that every scenario contains in addition to the drawn ones; can be repeated
    #[arg(long = "with", value_name = "WITH")]
    additional_faults: Vec<String>,
    /// Folder for the schedules of failing seeds
    #[arg(long = "save", value_name = "SAVE", default_value = "target/soak")]
    schedule_folder: PathBuf,
    /// Remove the faults from a failing schedule that it does not need in order to fail
    #[arg(long)]
    shrink: bool,
    /// Balancer program; by default the one in the folder of this program
    #[arg(long)]
    binary: Option<PathBuf>,
    /// Write the results to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs scenarios drawn from seeds, and prints the number of failures.
pub fn run_soak(options: &Soak, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let schedule_parameters = soak::schedule::ScheduleParameters {
        length_seconds: options.duration.as_secs().max(MIN_SCENARIO_SECONDS),
        balancers: options.balancers,
        requests_per_second: options.rate,
        required_faults: options.additional_faults.clone(),
    };
    let soak_options = soak::Options {
        seeds: options.seeds.clone(),
        schedule_parameters,
        parallel: options.parallel,
        schedule_folder: options.schedule_folder.clone(),
        shrinks: options.shrink,
        subject: binary_subject(options.binary.as_ref()),
    };
    let results = soak::soak(&soak_options, stop);
    println!(
        "{} scenarios run: {} violated a rule, {} more did on a machine that was too slow \
         ({} runs in all were too slow); {} not run; {} pairs of faults overlapped",
        results.seeds.len(),
        results.failed,
        results.failed_invalid,
        results.invalid,
        results.run_errors.len(),
        results.fault_pairs.len()
    );
    write_json(options.json.as_deref(), &results)?;
    if results.failed + results.run_errors.len() > 0 {
        let text = "a rule was violated or a scenario could not be run; see above";
        return Err(Failure::Failed(text.into()));
    }
    if results.invalid == results.seeds.len() {
        let text = "no valid result: the machine was too slow in every scenario";
        return Err(Failure::Failed(text.into()));
    }
    Ok(())
}
