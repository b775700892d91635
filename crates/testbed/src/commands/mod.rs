//! The commands of `pinefront-testbed`: their arguments and implementations.

pub mod agreement;
pub mod measuring;
pub mod overloading;
pub mod scenarios;
pub mod soaking;

use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

use pinefront_model::scenario::Scenario;
use pinefront_model::validation;

use crate::balancers;
use crate::error::Error;
use crate::figures::Figures;
use crate::report;
use crate::runner::{RunOptions, Subject, run};

/// The reason why a command failed, which decides the exit code.
pub enum Failure {
    /// A scenario or an argument is invalid: exit code 2.
    InvalidInput(String),
    /// The command could not be carried out, or a run violated a rule: exit code 1.
    Failed(String),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Reads and validates a scenario file.
pub fn read_scenario(path: &Path) -> Result<Scenario, Failure> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Failure::InvalidInput(format!("cannot read scenario {name}: {error}")))?;
    parse_scenario(&text, &name)
}

/// Parses and validates the text of a scenario; errors start with `name`.
pub fn parse_scenario(text: &str, name: &str) -> Result<Scenario, Failure> {
    validation::decode_scenario(text, name).map_err(|errors| {
        let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
        Failure::InvalidInput(errors.join("\n"))
    })
}

/// Replaces the number of balancers of a scenario where the command line gives one.
pub fn override_balancer_count(
    scenario: &mut Scenario,
    balancers: Option<usize>,
) -> Result<(), Failure> {
    let Some(balancers) = balancers else {
        return Ok(());
    };
    validation::set_balancer_count(scenario, balancers)
        .map_err(|reason| Failure::InvalidInput(format!("--balancers: {reason}")))
}

/// Writes a value as JSON to a file; does nothing without a path.
pub fn write_json(path: Option<&Path>, value: &impl serde::Serialize) -> Result<(), Failure> {
    let Some(path) = path else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Failure::Failed(format!("cannot convert figures to JSON: {error}")))?;
    std::fs::write(path, text + "\n")
        .map_err(|error| Failure::Failed(format!("cannot write {}: {error}", path.display())))
}

/// Runs a scenario and prints the table of its figures.
pub fn run_and_print(
    scenario: &Scenario,
    seed: u64,
    subject: &Subject,
    options: &RunOptions,
) -> Result<Figures, Failure> {
    let figures = run(scenario, seed, subject, options)?;
    println!(
        "{} with {}, seed {seed}:\n{}",
        scenario.name,
        subject.name(),
        figures.table()
    );
    Ok(figures)
}

/// Returns an error unless all runs are sound, see [`Figures::is_sound`].
pub fn require_sound(figures: &[&Figures]) -> Result<(), Failure> {
    if figures.iter().all(|figures| figures.is_sound()) {
        Ok(())
    } else {
        let text = "a rule was violated or a balancer ended unexpectedly; see the figures above";
        Err(Failure::Failed(text.into()))
    }
}

/// The given balancer programs; without any, the one in the folder of this program.
pub fn binaries_or_default(binaries: &[PathBuf]) -> Vec<PathBuf> {
    if binaries.is_empty() {
        vec![balancers::default_binary()]
    } else {
        binaries.to_vec()
    }
}

/// The given balancer program as the subject of a run; without one, the program in the folder of
/// this program.
pub fn binary_subject(binary: Option<&PathBuf>) -> Subject {
    Subject::Binary(binary.cloned().unwrap_or_else(balancers::default_binary))
}

/// Writes a report into a folder and prints its path; does nothing without a folder.
pub fn write_report(
    folder: Option<&Path>,
    scenario: &Scenario,
    runs: &[&Figures],
) -> Result<(), Failure> {
    let Some(folder) = folder else {
        return Ok(());
    };
    let path = report::write_page(folder, scenario, runs)?;
    println!("report: {}", path.display());
    Ok(())
}

/// Parses a range of seeds such as `0..500`.
pub fn parse_seed_range(text: &str) -> Result<Range<u64>, Error> {
    let (from, to) = text
        .split_once("..")
        .ok_or_else(|| Error::new("expected a range of seeds such as 0..500"))?;
    let number = |text: &str| {
        text.parse::<u64>()
            .map_err(|error| Error::new(format!("invalid seed '{text}': {error}")))
    };
    let range = number(from)?..number(to)?;
    if range.is_empty() {
        Err(Error::new(
            "the range is empty: expected a range such as 0..500",
        ))
    } else {
        Ok(range)
    }
}

/// Parses a fraction from 0 to below 1.
pub fn parse_fraction(text: &str) -> Result<f64, Error> {
    let fraction = text
        .parse::<f64>()
        .map_err(|error| Error::new(error.to_string()))?;
    if (0.0..1.0).contains(&fraction) {
        Ok(fraction)
    } else {
        Err(Error::new("expected a fraction from 0 to below 1"))
    }
}

/// Parses a duration such as `300ms`.
pub fn parse_duration(text: &str) -> Result<Duration, humantime::DurationError> {
    humantime::parse_duration(text)
}
