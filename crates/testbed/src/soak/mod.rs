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
use crate::soak::coverage::{Pair, PlayedScenario};
use crate::soak::schedule::Shape;
use crate::world::locked;

/// Violations that are printed of each seed.
const MAX_PRINTED_VIOLATIONS: usize = 3;

/// What is run.
pub struct Options {
    pub seeds: Range<u64>,
    pub shape: Shape,
    /// Number of scenarios that run at the same time.
    pub parallel: usize,
    /// Folder for the schedules of failing seeds.
    pub save: PathBuf,
    /// Whether failing schedules are reduced.
    pub shrinks: bool,
    pub subject: Subject,
}

/// The result of one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    pub seed: u64,
    #[serde(rename = "troubles")]
    pub faults: Vec<String>,
    #[serde(rename = "asked")]
    pub sent: u64,
    pub succeeded: u64,
    /// False where the machine was too slow: failures are shown and do not count.
    pub valid: bool,
    pub why_invalid: Vec<String>,
    #[serde(rename = "broken")]
    pub rule_violations: Vec<String>,
    #[serde(rename = "broken_count")]
    pub rule_violation_count: usize,
    pub violations: u64,
    #[serde(rename = "deaths")]
    pub unexpected_ends: Vec<String>,
    /// The command that runs it again, where it failed.
    #[serde(rename = "again")]
    pub rerun_command: Option<String>,
}

impl Played {
    fn new(seed: u64, scenario: &Scenario, figures: &Figures) -> Self {
        Self {
            seed,
            faults: schedule::fault_names(scenario),
            sent: figures.counts.sent,
            succeeded: figures.counts.succeeded,
            valid: figures.valid,
            why_invalid: figures.why_invalid.clone(),
            rule_violations: figures.rule_violations.clone(),
            rule_violation_count: figures.rule_violation_count,
            violations: figures.violations,
            unexpected_ends: figures.unexpected_ends.clone(),
            rerun_command: None,
        }
    }

    /// Whether no rule was violated and no balancer failed.
    pub fn is_sound(&self) -> bool {
        self.rule_violation_count == 0 && self.violations == 0 && self.unexpected_ends.is_empty()
    }

    fn print(&self) {
        let verdict = match (self.is_sound(), self.valid) {
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
        if self.violations > 0 {
            println!(
                "    {} violations of balancers' invariants",
                self.violations
            );
        }
        for end in &self.unexpected_ends {
            println!("    {end}");
        }
        if let Some(command) = &self.rerun_command {
            println!("    again: {command}");
        }
    }
}

/// The results of all seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Found {
    pub played: Vec<Played>,
    /// Number of failures on a machine that was fast enough.
    pub failed: usize,
    /// Number of failures on a machine that was too slow, for which the testbed may be the cause.
    pub doubtful: usize,
    pub invalid: usize,
    pub pairs: Vec<Pair>,
    /// Seeds that could not be run, and why.
    pub not_played: Vec<String>,
}

/// Parses the text of a schedule.
pub fn parse_schedule(text: &str) -> Result<Scenario, Error> {
    validation::decode_scenario(text, "soak").map_err(|problems| {
        let problems: Vec<_> = problems.iter().map(ToString::to_string).collect();
        Error::new(problems.join("; "))
    })
}

/// Results that the threads of a soak share.
#[derive(Default)]
struct Shared {
    found: Mutex<Found>,
    scenarios: Mutex<Vec<PlayedScenario>>,
}

impl Shared {
    fn add(&self, played: Played, scenario: Scenario) {
        played.print();
        locked(&self.scenarios).push(PlayedScenario {
            scenario,
            requests: played.sent,
        });
        locked(&self.found).played.push(played);
    }

    fn add_error(&self, seed: u64, problem: &Error) {
        println!("seed {seed:>5}  not played: {problem}");
        let text = format!("seed {seed}: {problem}");
        locked(&self.found).not_played.push(text);
    }

    fn into_found(self) -> Found {
        let mut found = self.found.into_inner().unwrap_or_default();
        found.played.sort_by_key(|played| played.seed);
        let count = |selects: &dyn Fn(&Played) -> bool| {
            let played = found.played.iter();
            played.filter(|played| selects(played)).count()
        };
        let failed = count(&|played| !played.is_sound() && played.valid);
        let doubtful = count(&|played| !played.is_sound() && !played.valid);
        let invalid = count(&|played| !played.valid);
        Found {
            failed,
            doubtful,
            invalid,
            pairs: coverage::pairs(&locked(&self.scenarios)),
            ..found
        }
    }
}

/// Runs all seeds, some at the same time.
pub fn soak(options: &Options, stop: &Arc<AtomicBool>) -> Found {
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
                        Ok((played, scenario)) => shared.add(played, scenario),
                        Err(problem) => shared.add_error(seed, &problem),
                    }
                }
            });
        }
    });
    shared.into_found()
}

/// Runs one seed. The schedule of a failing one is saved.
fn run_seed(
    options: &Options,
    seed: u64,
    stop: &Arc<AtomicBool>,
) -> Result<(Played, Scenario), Error> {
    let text = schedule::draw(seed, &options.shape);
    let scenario = parse_schedule(&text)?;
    let run_options = RunOptions {
        stop: Arc::clone(stop),
        ..RunOptions::default()
    };
    let figures = run(&scenario, seed, &options.subject, &run_options)?;
    let mut played = Played::new(seed, &scenario, &figures);
    if !played.is_sound() {
        let text = if options.shrinks {
            shrink::shrink(&text, seed, &options.subject, stop)
        } else {
            text
        };
        let path = save(&options.save, seed, &text)?;
        let path = path.display();
        played.rerun_command = Some(format!("pinefront-testbed run {path} --seed {seed}"));
    }
    Ok((played, scenario))
}

fn save(folder: &Path, seed: u64, text: &str) -> Result<PathBuf, Error> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(format!("soak-{seed}.toml"));
    std::fs::write(&path, text).context(path.display())?;
    Ok(path)
}

#[cfg(test)]
mod tests;
