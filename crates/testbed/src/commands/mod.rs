//! The commands of `pinefront-testbed`: their arguments, and what each does with the rest of the lab.

pub mod agreement;
pub mod measuring;
pub mod scenarios;
pub mod soaking;

use std::path::{Path, PathBuf};
use std::time::Duration;

use pinefront_model::scenario::Scenario;
use pinefront_model::validation;

use crate::balancers;
use crate::figures::Figures;
use crate::play::{Who, Wishes, play};
use crate::report;

/// Why the lab ends with an error.
pub enum Failure {
    /// A day or an argument is wrong: exit 2.
    Wrong(String),
    /// The lab could not do its work, or what it found is not sound: exit 1.
    Failed(String),
}

pub fn read_day(path: &Path) -> Result<Scenario, Failure> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|problem| Failure::Wrong(format!("{name}: {problem}")))?;
    check_day(&text, &name)
}

pub fn check_day(text: &str, name: &str) -> Result<Scenario, Failure> {
    validation::read(text, name).map_err(|problems| {
        Failure::Wrong(
            problems
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n"),
        )
    })
}

pub fn write_json(path: Option<&Path>, value: &impl serde::Serialize) -> Result<(), Failure> {
    let Some(path) = path else { return Ok(()) };
    let text = serde_json::to_string_pretty(value)
        .map_err(|problem| Failure::Failed(problem.to_string()))?;
    std::fs::write(path, text + "\n")
        .map_err(|problem| Failure::Failed(format!("{}: {problem}", path.display())))
}

pub fn played(
    scenario: &Scenario,
    seed: u64,
    who: &Who,
    wishes: &Wishes,
) -> Result<Figures, Failure> {
    let figures = play(scenario, seed, who, wishes).map_err(Failure::Failed)?;
    println!(
        "{} with {}, seed {seed}:\n{}",
        scenario.name,
        who.name(),
        figures.table()
    );
    Ok(figures)
}

pub fn sound(figures: &[&Figures]) -> Result<(), Failure> {
    match figures.iter().all(|figures| figures.is_sound()) {
        true => Ok(()),
        false => Err(Failure::Failed(
            "a rule was broken or a balancer died; see above".into(),
        )),
    }
}

/// The balancers named, or the one beside this program.
pub fn binaries(named: &[PathBuf]) -> Vec<PathBuf> {
    if named.is_empty() {
        vec![balancers::own_binary()]
    } else {
        named.to_vec()
    }
}

pub fn write_report(
    folder: Option<&Path>,
    scenario: &Scenario,
    runs: &[&Figures],
) -> Result<(), Failure> {
    let Some(folder) = folder else { return Ok(()) };
    let path = report::write(folder, scenario, runs).map_err(Failure::Failed)?;
    println!("report: {}", path.display());
    Ok(())
}

pub fn seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("is no range such as 0..500")?;
    let number = |text: &str| text.parse::<u64>().map_err(|problem| problem.to_string());
    let range = number(from)?..number(to)?;
    if range.is_empty() {
        Err("holds no seed".into())
    } else {
        Ok(range)
    }
}

pub fn part(text: &str) -> Result<f64, String> {
    let part = text.parse::<f64>().map_err(|problem| problem.to_string())?;
    if (0.0..1.0).contains(&part) {
        Ok(part)
    } else {
        Err("must be from 0 up to 1".into())
    }
}

pub fn span(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|problem| problem.to_string())
}
