//! The soak: days drawn from seeds, with two or three troubles that overlap in time on purpose, played with real
//! processes and judged from what clients, servers and discovery saw.

pub mod coverage;
pub mod schedule;
mod shrink;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use pinefront_model::scenario::Scenario;
use pinefront_model::validation;
use serde::Serialize;

use crate::figures::Figures;
use crate::play::{Who, Wishes, play};
use crate::soak::coverage::Pair;
use crate::soak::schedule::Shape;
use crate::world::locked;

/// What is wanted.
pub struct Wish {
    pub seeds: std::ops::Range<u64>,
    pub shape: Shape,
    /// Days that are played side by side.
    pub parallel: usize,
    /// Where schedules of failing seeds are kept.
    pub save: PathBuf,
    pub shrinks: bool,
    pub who: Who,
}

/// One seed's day.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    pub seed: u64,
    pub troubles: Vec<String>,
    pub asked: u64,
    pub succeeded: u64,
    /// False where the machine lagged: what it found is shown and does not count for it.
    pub valid: bool,
    pub why_invalid: Vec<String>,
    #[serde(rename = "broken")]
    pub violated_rules: Vec<String>,
    pub broken_count: usize,
    pub violations: u64,
    pub deaths: Vec<String>,
    /// The command that plays it again, where it failed.
    #[serde(rename = "again")]
    pub retry: Option<String>,
}

impl Played {
    pub fn is_sound(&self) -> bool {
        self.broken_count == 0 && self.violations == 0 && self.deaths.is_empty()
    }
}

/// All of them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Found {
    pub played: Vec<Played>,
    /// Days that broke something, on a machine that kept up.
    pub failed: usize,
    /// Days that broke something on a machine that was late: the lab itself may have been late to see it.
    pub doubtful: usize,
    pub invalid: usize,
    pub pairs: Vec<Pair>,
    /// Seeds that the lab itself could not play, and why.
    pub not_played: Vec<String>,
}

/// Reads a schedule that was drawn.
pub fn day_of(text: &str) -> Result<Scenario, String> {
    validation::read(text, "soak").map_err(|problems| {
        problems
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("; ")
    })
}

fn played(seed: u64, scenario: &Scenario, figures: &Figures) -> Played {
    Played {
        seed,
        troubles: schedule::troubles(scenario),
        asked: figures.requests.asked,
        succeeded: figures.requests.succeeded,
        valid: figures.valid,
        why_invalid: figures.why_invalid.clone(),
        violated_rules: figures.rules_broken.clone(),
        broken_count: figures.rules_broken_count,
        violations: figures.violations,
        deaths: figures.deaths.clone(),
        retry: None,
    }
}

/// Plays one seed. A failing one is kept as a file, as small as it can be made where that is wanted.
fn one(wish: &Wish, seed: u64, over: &Arc<AtomicBool>) -> Result<(Played, Scenario), String> {
    let text = schedule::draw(seed, &wish.shape);
    let scenario = day_of(&text)?;
    let wishes = Wishes {
        over: Arc::clone(over),
        ..Wishes::default()
    };
    let figures = play(&scenario, seed, &wish.who, &wishes)?;
    let mut played = played(seed, &scenario, &figures);
    if !played.is_sound() {
        let text = if wish.shrinks {
            shrink::shrink(&text, seed, &wish.who, over)
        } else {
            text
        };
        std::fs::create_dir_all(&wish.save).map_err(|problem| problem.to_string())?;
        let path = wish.save.join(format!("soak-{seed}.toml"));
        std::fs::write(&path, text).map_err(|problem| format!("{}: {problem}", path.display()))?;
        played.retry = Some(format!(
            "pinefront-testbed run {} --seed {seed}",
            path.display()
        ));
    }
    Ok((played, scenario))
}

fn say(played: &Played) {
    let verdict = match (played.is_sound(), played.valid) {
        (true, true) => "kept",
        (true, false) => "kept, machine late",
        (false, _) => "BROKEN",
    };
    println!(
        "seed {:>5}  {verdict:<18} {:>5} asked {:>5} served  {}",
        played.seed,
        played.asked,
        played.succeeded,
        played.troubles.join(" + ")
    );
    played
        .violated_rules
        .iter()
        .take(3)
        .for_each(|record_violation| println!("    {record_violation}"));
    if played.violations > 0 {
        println!("    {} violations of balancers' guards", played.violations);
    }
    played
        .deaths
        .iter()
        .for_each(|death| println!("    {death}"));
    played
        .retry
        .iter()
        .for_each(|retry| println!("    again: {retry}"));
}

/// Plays all seeds, some side by side.
pub fn soak(wish: &Wish, over: &Arc<AtomicBool>) -> Found {
    let next = AtomicU64::new(wish.seeds.start);
    let (found, scenarios) = (Mutex::new(Found::default()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..wish.parallel.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= wish.seeds.end || over.load(Ordering::Relaxed) {
                        return;
                    }
                    match one(wish, seed, over) {
                        Ok((played, scenario)) => {
                            say(&played);
                            locked(&scenarios).push((played.asked, scenario));
                            locked(&found).played.push(played);
                        }
                        Err(problem) => {
                            println!("seed {seed:>5}  not played: {problem}");
                            locked(&found)
                                .not_played
                                .push(format!("seed {seed}: {problem}"));
                        }
                    }
                }
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_default();
    found.played.sort_by_key(|played| played.seed);
    let broke = |valid: bool| {
        found
            .played
            .iter()
            .filter(|one| !one.is_sound() && one.valid == valid)
            .count()
    };
    (found.failed, found.doubtful) = (broke(true), broke(false));
    found.invalid = found.played.iter().filter(|played| !played.valid).count();
    found.pairs = coverage::pairs(&locked(&scenarios));
    found
}

#[cfg(test)]
mod tests;
