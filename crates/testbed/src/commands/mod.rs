//! The commands of `pinefront-testbed`: their arguments, and what each does.

pub mod agreement;
pub mod measuring;
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

/// Why a command failed.
pub enum Failure {
    /// A scenario or an argument is wrong: exit code 2.
    Wrong(String),
    /// The command could not be carried out, or a run is not sound: exit code 1.
    Failed(String),
}

impl From<Error> for Failure {
    fn from(problem: Error) -> Self {
        Self::Failed(problem.to_string())
    }
}

/// Reads and checks a scenario file.
pub fn read_scenario(path: &Path) -> Result<Scenario, Failure> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|problem| Failure::Wrong(format!("{name}: {problem}")))?;
    parse_scenario(&text, &name)
}

/// Parses and checks the text of a scenario.
pub fn parse_scenario(text: &str, name: &str) -> Result<Scenario, Failure> {
    validation::decode_scenario(text, name).map_err(|problems| {
        let problems: Vec<_> = problems.iter().map(ToString::to_string).collect();
        Failure::Wrong(problems.join("\n"))
    })
}

/// Replaces the number of balancers of a scenario, where one is given.
pub fn set_balancers(scenario: &mut Scenario, balancers: Option<usize>) -> Result<(), Failure> {
    let Some(balancers) = balancers else {
        return Ok(());
    };
    validation::set_balancer_count(scenario, balancers)
        .map_err(|reason| Failure::Wrong(format!("--balancers: {reason}")))
}

/// Writes a value as JSON, where a path is given.
pub fn write_json(path: Option<&Path>, value: &impl serde::Serialize) -> Result<(), Failure> {
    let Some(path) = path else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(value)
        .map_err(|problem| Failure::Failed(problem.to_string()))?;
    std::fs::write(path, text + "\n")
        .map_err(|problem| Failure::Failed(format!("{}: {problem}", path.display())))
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

/// Fails where a run is not sound.
pub fn require_sound(figures: &[&Figures]) -> Result<(), Failure> {
    if figures.iter().all(|figures| figures.is_sound()) {
        Ok(())
    } else {
        let text = "a rule was violated or a balancer died; see above";
        Err(Failure::Failed(text.into()))
    }
}

/// The balancers named, or the one beside this program.
pub fn binaries(named: &[PathBuf]) -> Vec<PathBuf> {
    if named.is_empty() {
        vec![balancers::default_binary()]
    } else {
        named.to_vec()
    }
}

/// The balancer named, or the one beside this program.
pub fn binary_subject(named: Option<&PathBuf>) -> Subject {
    Subject::Binary(named.cloned().unwrap_or_else(balancers::default_binary))
}

/// Writes a report into a folder, where one is given.
pub fn write_report(
    folder: Option<&Path>,
    scenario: &Scenario,
    runs: &[&Figures],
) -> Result<(), Failure> {
    let Some(folder) = folder else {
        return Ok(());
    };
    let path = report::write(folder, scenario, runs)?;
    println!("report: {}", path.display());
    Ok(())
}

/// Parses a range of seeds such as `0..500`.
pub fn seeds(text: &str) -> Result<Range<u64>, Error> {
    let (from, to) = text
        .split_once("..")
        .ok_or_else(|| Error::new("is no range such as 0..500"))?;
    let number = |text: &str| {
        text.parse::<u64>()
            .map_err(|problem| Error::new(problem.to_string()))
    };
    let range = number(from)?..number(to)?;
    if range.is_empty() {
        Err(Error::new("holds no seed"))
    } else {
        Ok(range)
    }
}

/// Parses a fraction from 0 to below 1.
pub fn part(text: &str) -> Result<f64, Error> {
    let part = text
        .parse::<f64>()
        .map_err(|problem| Error::new(problem.to_string()))?;
    if (0.0..1.0).contains(&part) {
        Ok(part)
    } else {
        Err(Error::new("must be from 0 up to 1"))
    }
}

/// Parses a duration such as `300ms`.
pub fn duration(text: &str) -> Result<Duration, humantime::DurationError> {
    humantime::parse_duration(text)
}
