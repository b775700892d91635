//! The history of leases as balancers log it. Their clock (`CLOCK_BOOTTIME`) is one for all processes
//! of a machine, so that times of different processes compare to the microsecond.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use pinefront_model::Micros;
use pinefront_model::lease_history::{LeaseHistory, LeaseTerm};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

use crate::world::locked;

/// The largest number of log lines kept, far above what a scenario with many changes writes.
const MAX_LINES: usize = 200_000;
/// How many overlaps are described.
const MAX_DETAILS: usize = 5;

/// What was found of leases in a scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseReport {
    /// Times that two balancers held one lease at once.
    pub overlaps: u64,
    /// Times that the greatest term a balancer knew of a lease decreased while it ran.
    pub old_terms_taken: u64,
    /// The spans without a holder.
    pub without_holder_ms: Vec<f64>,
    /// The same by how the holding before ended.
    pub without_holder_by: BTreeMap<&'static str, Vec<f64>>,
    /// Changes of holders.
    pub changes: usize,
    /// The largest number of changes of one lease in any minute.
    pub changes_most_a_minute: usize,
    /// Leases that nobody held at the end.
    pub vacant: usize,
    /// Leases that were ever held.
    #[serde(rename = "duties")]
    pub leases: usize,
    /// Descriptions of the first overlaps.
    #[serde(rename = "why")]
    pub details: Vec<String>,
}

impl LeaseReport {
    /// Whether no rule was broken.
    pub fn is_sound(&self) -> bool {
        self.overlaps == 0 && self.old_terms_taken == 0
    }
}

/// The time of the clock that balancers log.
pub fn machine_now() -> Micros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Micros * 1_000_000 + now.tv_nsec as Micros / 1_000
}

/// What a balancer did, as logged or observed.
#[derive(Clone, Debug)]
enum Entry {
    /// A line of its log.
    Line(String),
    /// Its process was killed.
    Killed { at: Micros },
}

#[derive(Clone, Debug)]
struct BalancerEntry {
    balancer: usize,
    entry: Entry,
}

/// A log line about a lease.
enum LeaseLine<'a> {
    Acquired {
        at: Micros,
        lease: &'a str,
        term: LeaseTerm,
    },
    Lost {
        until: Micros,
        lease: &'a str,
        term: LeaseTerm,
        cause: &'static str,
    },
}

/// The log lines of all balancers about leases, and the deaths of their processes, in order of
/// arrival.
#[derive(Clone, Default)]
pub struct LeaseLog(Arc<Mutex<Vec<BalancerEntry>>>);

impl LeaseLog {
    /// Keeps a line of a balancer's log if it is about a lease.
    pub fn record(&self, balancer: usize, line: &str) {
        let is_about_lease = line.contains(" lease acquired ") || line.contains(" lease lost ");
        let mut entries = locked(&self.0);
        if is_about_lease && entries.len() < MAX_LINES {
            let entry = Entry::Line(line.to_owned());
            entries.push(BalancerEntry { balancer, entry });
        }
    }

    /// Records that a process ended without a log line.
    pub fn record_killed(&self, balancer: usize) {
        let entry = Entry::Killed { at: machine_now() };
        locked(&self.0).push(BalancerEntry { balancer, entry });
    }

    /// Analyses all holdings at a moment when every process has ended or logged its losses.
    pub fn report(&self, now: Micros, decreased_terms: u64) -> LeaseReport {
        let history = history_of(&locked(&self.0));
        let findings = history.analyse(now);
        let mut report = LeaseReport {
            overlaps: findings.overlaps.len() as u64,
            old_terms_taken: decreased_terms,
            changes: findings.changes,
            changes_most_a_minute: findings.max_changes_per_minute,
            vacant: history.vacant_leases(now).len(),
            leases: history.lease_count(),
            details: findings.overlaps.into_iter().take(MAX_DETAILS).collect(),
            ..LeaseReport::default()
        };
        for vacancy in findings.vacancies {
            let ms = vacancy.duration as f64 / 1_000.0;
            report.without_holder_ms.push(ms);
            report
                .without_holder_by
                .entry(vacancy.cause)
                .or_default()
                .push(ms);
        }
        report
    }
}

/// Builds the history. Lines of one balancer are in order, those of several in any: acquisitions
/// are added first in order of time, then losses, then deaths.
fn history_of(entries: &[BalancerEntry]) -> LeaseHistory {
    let mut history = LeaseHistory::default();
    let mut acquired = Vec::new();
    let mut lost = Vec::new();
    let mut killed = Vec::new();
    for BalancerEntry { balancer, entry } in entries {
        match entry {
            Entry::Killed { at } => killed.push((*at, *balancer)),
            Entry::Line(line) => match parse_line(line) {
                Some(LeaseLine::Acquired { at, lease, term }) => {
                    acquired.push((at, *balancer, lease, term));
                }
                Some(LeaseLine::Lost {
                    until,
                    lease,
                    term,
                    cause,
                }) => lost.push((until, *balancer, lease, term, cause)),
                None => {}
            },
        }
    }
    acquired.sort_by_key(|(at, ..)| *at);
    for (at, balancer, lease, term) in acquired {
        history.acquired(at, balancer, lease, term);
    }
    lost.sort_by_key(|(until, ..)| *until);
    for (until, balancer, lease, term, cause) in lost {
        history.lost(until, balancer, lease, term, cause);
    }
    killed.sort_by_key(|(at, _)| *at);
    for (at, balancer) in killed {
        history.process_ended(at, balancer);
    }
    history
}

fn parse_line(line: &str) -> Option<LeaseLine<'_>> {
    let lease = field(line, "lease")?;
    let term = parse_term(field(line, "term")?)?;
    let acquired_at = field(line, "at_us").and_then(|text| text.parse().ok());
    let until = field(line, "until_us").and_then(|text| text.parse().ok());
    match (acquired_at, until) {
        (Some(at), None) => Some(LeaseLine::Acquired { at, lease, term }),
        (None, Some(until)) => Some(LeaseLine::Lost {
            until,
            lease,
            term,
            cause: match field(line, "reason") {
                Some("released") => "let go",
                Some("process_paused") => "pauses",
                Some("superseded") => "later term",
                _ => "ran out",
            },
        }),
        _ => None,
    }
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Parses a term as balancers log it.
pub fn parse_term(text: &str) -> Option<LeaseTerm> {
    let (number, incarnation_id) = text.split_once('-')?;
    Some(LeaseTerm {
        number: u64::from_str_radix(number, 16).ok()?,
        incarnation_id: u64::from_str_radix(incarnation_id, 16).ok()?,
    })
}

#[cfg(test)]
mod tests;
