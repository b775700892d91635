//! `pinefront-testbed accord`: the accord of many members on a virtual clock, no process, under faults drawn from seeds.

pub mod checker;
pub mod scenario;
pub mod simulation;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use clap::ValueEnum;
use pinefront_cluster::InjectedFault;
use serde::Serialize;

use crate::world::locked;

/// Seeds that broke which are kept; more are only counted.
const BROKEN_KEPT: usize = 50;

/// One seed that broke a promise.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    pub seed: u64,
    pub what: String,
    /// The command that plays it again.
    pub replay: String,
}

#[derive(Debug, Serialize)]
pub struct Found {
    pub seeds: u64,
    pub members: usize,
    pub broken: Vec<Broken>,
    pub broken_count: u64,
    pub virtual_seconds: f64,
    /// Datagrams and bytes that a member sends in a second.
    pub datagrams_a_second: f64,
    pub bytes_a_second: f64,
    /// The same in the last ten seconds of each seed.
    pub datagrams_a_second_late: f64,
    pub bytes_a_second_late: f64,
    /// From a death to each of the others holding it for gone, in milliseconds.
    pub detected_ms: Spread,
    /// From the last fault's end to one view in all tables.
    pub one_view_ms: Spread,
    /// Doubts of members that were there and reachable, an hour of a fleet.
    pub wrong_doubts_an_hour: f64,
    /// From a duty's being lost to the next one's holding it, in milliseconds, by how it was lost.
    pub without_holder_ms: BTreeMap<&'static str, Spread>,
    /// Changes of one duty's hands, an hour; and the most of one duty in any minute.
    pub duty_changes_an_hour: f64,
    pub duty_changes_most_a_minute: usize,
    /// Turns that began with a term below the one before: no harm is done by one, as its acts are not taken.
    pub terms_fallen: usize,
    /// Duties that nobody held at the end of a seed.
    pub duties_vacant: usize,
}

#[derive(Debug, Default, Serialize)]
pub struct Spread {
    pub count: usize,
    pub p50: f64,
    pub p99: f64,
    pub worst: f64,
}

pub fn spread(mut values: Vec<f64>) -> Spread {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| {
        values
            .get(((values.len() as f64 - 1.0) * part).round() as usize)
            .copied()
    };
    Spread {
        count: values.len(),
        p50: at(0.5).unwrap_or(0.0),
        p99: at(0.99).unwrap_or(0.0),
        worst: at(1.0).unwrap_or(0.0),
    }
}

/// What is wanted.
#[derive(Clone, Debug)]
pub struct Wish {
    pub seeds: std::ops::Range<u64>,
    pub members: usize,
    pub injected_fault: Option<InjectedFault>,
    pub kind: Option<scenario::Kind>,
    /// Part of all datagrams that is lost, in place of what the seed says.
    pub loss: Option<f64>,
    /// Duties that the members hold; none where 0.
    pub leases: usize,
    /// Ends at the first seed that breaks.
    pub first_only: bool,
}

fn planted_name(injected_fault: InjectedFault) -> &'static str {
    InjectedFault::ALL
        .iter()
        .find(|(_, fault)| *fault == injected_fault)
        .map_or("", |(name, _)| name)
}

/// Plays all seeds on all cores.
pub fn play(wish: &Wish, over: &AtomicBool) -> Found {
    let next = AtomicU64::new(wish.seeds.start);
    let all = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= wish.seeds.end
                        || over.load(Ordering::Relaxed)
                        || ended.load(Ordering::Relaxed)
                    {
                        return;
                    }
                    let played = simulation::play(seed, wish);
                    if wish.first_only && !played.broken.is_empty() {
                        ended.store(true, Ordering::Relaxed);
                    }
                    locked(&all).push((seed, played));
                }
            });
        }
    });
    let mut all = std::mem::take(&mut *locked(&all));
    all.sort_by_key(|(seed, _)| *seed);
    gather(wish, &all)
}

fn gather(wish: &Wish, all: &[(u64, simulation::Played)]) -> Found {
    let total = |of: &dyn Fn(&simulation::Played) -> f64| {
        all.iter().map(|(_, played)| of(played)).sum::<f64>()
    };
    let seconds = total(&|played| played.seconds).max(1e-9);
    let member_seconds = total(&|played| played.member_seconds).max(1e-9);
    let late = all.len().max(1) as f64 * wish.members as f64 * simulation::LATE as f64 / 1e6;
    let list = |of: &dyn Fn(&simulation::Played) -> Vec<f64>| {
        spread(all.iter().flat_map(|(_, played)| of(played)).collect())
    };
    let mut without: BTreeMap<&'static str, Vec<f64>> = BTreeMap::new();
    for (span, how) in all.iter().flat_map(|(_, played)| &played.leases.without) {
        without.entry(how).or_default().push(*span as f64 / 1_000.0);
    }
    let mut broken = Vec::new();
    for (seed, played) in all {
        for what in &played.broken {
            let injected_fault = wish.injected_fault.map(planted_name);
            let injected_fault =
                injected_fault.map_or(String::new(), |name| format!(" --plant {name}"));
            let kind = wish.kind.and_then(|kind| kind.to_possible_value());
            let kind = kind.map_or(String::new(), |kind| format!(" --kind {}", kind.get_name()));
            let loss = wish
                .loss
                .map_or(String::new(), |loss| format!(" --loss {loss}"));
            let leases = if wish.leases > 0 {
                format!(" --duties {}", wish.leases)
            } else {
                String::new()
            };
            let replay = format!(
                "pinefront-testbed accord --seeds {seed}..{} --members {}{kind}{loss}{leases}{injected_fault}",
                seed + 1,
                wish.members
            );
            broken.push(Broken {
                seed: *seed,
                what: what.clone(),
                replay,
            });
        }
    }
    let broken_count = all
        .iter()
        .filter(|(_, played)| !played.broken.is_empty())
        .count() as u64;
    broken.truncate(BROKEN_KEPT);
    Found {
        seeds: all.len() as u64,
        members: wish.members,
        broken,
        broken_count,
        virtual_seconds: seconds,
        datagrams_a_second: total(&|played| played.sent as f64) / member_seconds,
        bytes_a_second: total(&|played| played.sent_bytes as f64) / member_seconds,
        datagrams_a_second_late: total(&|played| played.late.0 as f64) / late,
        bytes_a_second_late: total(&|played| played.late.1 as f64) / late,
        detected_ms: list(&|played| played.detected_ms.clone()),
        one_view_ms: list(&|played| played.one_view_ms.into_iter().collect()),
        without_holder_ms: without
            .into_iter()
            .map(|(how, list)| (how, spread(list)))
            .collect(),
        duty_changes_an_hour: total(&|played| played.leases.changes as f64)
            / (wish.leases.max(1) as f64 * seconds)
            * 3600.0,
        duty_changes_most_a_minute: all
            .iter()
            .map(|one| one.1.leases.most_a_minute)
            .max()
            .unwrap_or(0),
        terms_fallen: all.iter().map(|one| one.1.leases.fallen.len()).sum(),
        duties_vacant: all.iter().map(|one| one.1.vacant).sum(),
        wrong_doubts_an_hour: total(&|played| played.wrong_doubts as f64) / seconds * 3600.0,
    }
}

#[cfg(test)]
mod tests;
