//! Soak tests: scenarios drawn from seeds, with faults that overlap, run with real processes and
//! checked from outside.

pub mod coverage;
pub mod schedule;
mod shrink;

use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use pinefront_model::scenario::Scenario;
use pinefront_model::validation;
use serde::Serialize;

use crate::error::{Context, Error};
use crate::figures::Figures;
use crate::runner::{RunOptions, Subject, run};
use crate::soak::coverage::{FaultPair, ScenarioRun};
use crate::soak::schedule::ScheduleParameters;
use crate::world::locked;

/// Number of rule violations that are printed for each seed.
const MAX_PRINTED_VIOLATIONS: usize = 3;

/// Options of a soak.
pub struct Options {
    pub seeds: Range<u64>,
    pub schedule_parameters: ScheduleParameters,
    /// Number of scenarios that run at the same time.
    pub parallel: usize,
    /// Folder for the schedules of failing seeds.
    pub schedule_folder: PathBuf,
    /// Whether failing schedules are reduced before they are saved.
    pub shrinks: bool,
    pub subject: Subject,
}

/// The result of one seed.
#[derive(Clone, Debug, Serialize)]
pub struct SeedResult {
    pub seed: u64,
    #[serde(rename = "troubles")]
    pub faults: Vec<String>,
    #[serde(rename = "asked")]
    pub sent: u64,
    pub succeeded: u64,
    /// False if the machine was too slow. Failures of such a seed are shown, and do not count.
    pub valid: bool,
    #[serde(rename = "why_invalid")]
    pub invalid_reasons: Vec<String>,
    #[serde(rename = "broken")]
    pub rule_violations: Vec<String>,
    #[serde(rename = "broken_count")]
    pub rule_violation_count: usize,
    /// Number of violated invariants that the balancers logged.
    #[serde(rename = "violations")]
    pub invariant_violations: u64,
    #[serde(rename = "deaths")]
    pub unexpected_exits: Vec<String>,
    /// The command that repeats the run, where it failed.
    #[serde(rename = "again")]
    pub rerun_command: Option<String>,
}

impl SeedResult {
    fn new(seed: u64, scenario: &Scenario, figures: &Figures) -> Self {
        Self {
            seed,
            faults: schedule::fault_names(scenario),
            sent: figures.counts.sent,
            succeeded: figures.counts.succeeded,
            valid: figures.valid,
            invalid_reasons: figures.why_invalid.clone(),
            rule_violations: figures.rule_violations.clone(),
            rule_violation_count: figures.rule_violation_count,
            invariant_violations: figures.violations,
            unexpected_exits: figures.unexpected_ends.clone(),
            rerun_command: None,
        }
    }

    /// Whether no rule and no invariant was violated, and no balancer exited unexpectedly.
    pub fn has_passed(&self) -> bool {
        self.rule_violation_count == 0
            && self.invariant_violations == 0
            && self.unexpected_exits.is_empty()
    }

    fn print(&self) {
        let verdict = match (self.has_passed(), self.valid) {
            (true, true) => "passed",
            (true, false) => "passed, slow",
            (false, _) => "FAILED",
        };
        println!(
            "seed {:>5}  {verdict:<12} {:>5} sent {:>5} succeeded  {}",
            self.seed,
            self.sent,
            self.succeeded,
            self.faults.join(" + ")
        );
        for violation in self.rule_violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            println!("    {violation}");
        }
        if self.invariant_violations > 0 {
            println!(
                "    {} violated invariants in the logs of balancers",
                self.invariant_violations
            );
        }
        for exit in &self.unexpected_exits {
            println!("    {exit}");
        }
        if let Some(command) = &self.rerun_command {
            println!("    to repeat: {command}");
        }
    }
}

/// The results of a soak.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SoakResults {
    #[serde(rename = "played")]
    pub seeds: Vec<SeedResult>,
    /// Number of seeds that failed while the machine was fast enough.
    pub failed: usize,
    /// Number of seeds that failed while the machine was too slow, so that the testbed may be the
    /// cause.
    #[serde(rename = "doubtful")]
    pub failed_invalid: usize,
    /// Number of seeds that were run while the machine was too slow.
    pub invalid: usize,
    #[serde(rename = "pairs")]
    pub fault_pairs: Vec<FaultPair>,
    /// Seeds that could not be run, each with the error.
    #[serde(rename = "not_played")]
    pub run_errors: Vec<String>,
}

/// Parses the text of a schedule. The error lists all invalid settings.
pub fn parse_schedule(text: &str) -> Result<Scenario, Error> {
    validation::decode_scenario(text, "soak").map_err(|errors| {
        let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
        Error::new(errors.join("; "))
    })
}

/// The results of a soak, shared by its threads.
#[derive(Default)]
struct Shared {
    results: Mutex<SoakResults>,
    runs: Mutex<Vec<ScenarioRun>>,
}

impl Shared {
    fn add(&self, result: SeedResult, scenario: Scenario) {
        result.print();
        locked(&self.runs).push(ScenarioRun {
            scenario,
            requests: result.sent,
        });
        locked(&self.results).seeds.push(result);
    }

    fn add_error(&self, seed: u64, error: &Error) {
        println!("seed {seed:>5}  not run: {error}");
        let text = format!("seed {seed}: {error}");
        locked(&self.results).run_errors.push(text);
    }

    fn into_results(self) -> SoakResults {
        let mut results = self.results.into_inner().unwrap_or_default();
        results.seeds.sort_by_key(|result| result.seed);
        let count = |selects: &dyn Fn(&SeedResult) -> bool| {
            let seeds = results.seeds.iter();
            seeds.filter(|result| selects(result)).count()
        };
        let failed = count(&|result| !result.has_passed() && result.valid);
        let failed_invalid = count(&|result| !result.has_passed() && !result.valid);
        let invalid = count(&|result| !result.valid);
        SoakResults {
            failed,
            failed_invalid,
            invalid,
            fault_pairs: coverage::fault_pairs(&locked(&self.runs)),
            ..results
        }
    }
}

/// Runs all seeds, with `parallel` of them at the same time.
pub fn soak(options: &Options, stop: &Arc<AtomicBool>) -> SoakResults {
    let next_seed = AtomicU64::new(options.seeds.start);
    let shared = Shared::default();
    std::thread::scope(|scope| {
        for _ in 0..options.parallel.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= options.seeds.end || stop.load(Ordering::Relaxed) {
                        return;
                    }
                    match run_seed(options, seed, stop) {
                        Ok((result, scenario)) => shared.add(result, scenario),
                        Err(error) => shared.add_error(seed, &error),
                    }
                }
            });
        }
    });
    shared.into_results()
}

/// Runs one seed. If it fails, its schedule is saved.
fn run_seed(
    options: &Options,
    seed: u64,
    stop: &Arc<AtomicBool>,
) -> Result<(SeedResult, Scenario), Error> {
    let text = schedule::draw(seed, &options.schedule_parameters);
    let scenario = parse_schedule(&text)?;
    let run_options = RunOptions {
        stop: Arc::clone(stop),
        ..RunOptions::default()
    };
    let figures = run(&scenario, seed, &options.subject, &run_options)?;
    let mut result = SeedResult::new(seed, &scenario, &figures);
    if !result.has_passed() {
        let text = if options.shrinks {
            shrink::shrink(&text, seed, &options.subject, stop)
        } else {
            text
        };
        let path = save_schedule(&options.schedule_folder, seed, &text)?;
        let path = path.display();
        result.rerun_command = Some(format!("pinefront-testbed run {path} --seed {seed}"));
    }
    Ok((result, scenario))
}

fn save_schedule(folder: &Path, seed: u64, text: &str) -> Result<PathBuf, Error> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(format!("soak-{seed}.toml"));
    std::fs::write(&path, text).context(path.display())?;
    Ok(path)
}

#[cfg(test)]
mod tests;
