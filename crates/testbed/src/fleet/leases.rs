//! The history of leases according to the logs of balancers. All processes of a machine share the
//! clock of these logs (`CLOCK_BOOTTIME`), so times of different processes are comparable to the
//! microsecond.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use pinefront_model::Micros;
use pinefront_model::lease_history::{LeaseHistory, LeaseTerm};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

use crate::world::locked;

/// The largest number of log lines that are kept, far more than a scenario with many changes of
/// holders produces.
const MAX_LINES: usize = 200_000;
/// The largest number of overlaps that are described.
const MAX_DETAILS: usize = 5;

/// The report on the leases of a scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseReport {
    /// Number of times that two balancers held one lease at the same time.
    pub overlaps: u64,
    /// Number of times that the term of a lease decreased in the views of one process.
    #[serde(rename = "old_terms_taken")]
    pub decreased_terms: u64,
    /// Durations for which a lease had no holder, in milliseconds.
    pub without_holder_ms: Vec<f64>,
    /// The same durations, by the cause for which the previous holder lost the lease.
    #[serde(rename = "without_holder_by")]
    pub without_holder_ms_by_cause: BTreeMap<&'static str, Vec<f64>>,
    /// Number of changes of the holder of a lease.
    pub changes: usize,
    /// The largest number of changes of the holder of one lease within a minute.
    #[serde(rename = "changes_most_a_minute")]
    pub max_changes_per_minute: usize,
    /// Number of leases without a holder at the end.
    #[serde(rename = "vacant")]
    pub vacant_leases: usize,
    /// Number of leases that had a holder at any time.
    #[serde(rename = "duties")]
    pub lease_count: usize,
    /// Descriptions of the first overlaps.
    #[serde(rename = "why")]
    pub details: Vec<String>,
}

impl LeaseReport {
    /// Whether no two balancers held one lease at the same time and no term decreased.
    pub fn is_sound(&self) -> bool {
        self.overlaps == 0 && self.decreased_terms == 0
    }
}

/// Returns the time of the clock that balancers use in their logs, in µs.
pub fn boot_time_now() -> Micros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Micros * 1_000_000 + now.tv_nsec as Micros / 1_000
}

/// An entry about a process of a balancer.
#[derive(Clone, Debug)]
enum Entry {
    /// A line of the log of the process.
    Line(String),
    /// The process was killed.
    Killed { at: Micros },
}

/// An entry and the balancer to which it belongs.
#[derive(Clone, Debug)]
struct BalancerEntry {
    balancer: usize,
    entry: Entry,
}

/// A log line about a lease.
enum LeaseLogLine<'a> {
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

/// The log lines of all balancers about leases and the kills of their processes, in the order in
/// which they were recorded.
#[derive(Clone, Default)]
pub struct LeaseLog(Arc<Mutex<Vec<BalancerEntry>>>);

impl LeaseLog {
    /// Records a line of a balancer's log if the line is about a lease.
    pub fn record(&self, balancer: usize, line: &str) {
        let is_about_lease = line.contains(" lease acquired ") || line.contains(" lease lost ");
        let mut entries = locked(&self.0);
        if is_about_lease && entries.len() < MAX_LINES {
            let entry = Entry::Line(line.to_owned());
            entries.push(BalancerEntry { balancer, entry });
        }
    }

    /// Records that the process of a balancer was killed, which leaves no log line.
    pub fn record_killed(&self, balancer: usize) {
        let entry = Entry::Killed {
            at: boot_time_now(),
        };
        locked(&self.0).push(BalancerEntry { balancer, entry });
    }

    /// Analyses all lease holdings. Every process must have ended or logged the loss of its leases
    /// by then.
    pub fn report(&self, now: Micros, decreased_terms: u64) -> LeaseReport {
        let history = build_history(&locked(&self.0));
        let findings = history.analyse(now);
        let mut report = LeaseReport {
            overlaps: findings.overlaps.len() as u64,
            decreased_terms,
            changes: findings.changes,
            max_changes_per_minute: findings.max_changes_per_minute,
            vacant_leases: history.vacant_leases(now).len(),
            lease_count: history.lease_count(),
            details: findings.overlaps.into_iter().take(MAX_DETAILS).collect(),
            ..LeaseReport::default()
        };
        for vacancy in findings.vacancies {
            let ms = vacancy.duration as f64 / 1_000.0;
            report.without_holder_ms.push(ms);
            report
                .without_holder_ms_by_cause
                .entry(vacancy.cause)
                .or_default()
                .push(ms);
        }
        report
    }
}

/// Builds the history of leases. Entries of one balancer are in order of time, but entries of
/// different balancers are not. Therefore all acquisitions are added in order of time, then all
/// losses, then all kills.
fn build_history(entries: &[BalancerEntry]) -> LeaseHistory {
    let mut history = LeaseHistory::default();
    let mut acquired = Vec::new();
    let mut lost = Vec::new();
    let mut killed = Vec::new();
    for BalancerEntry { balancer, entry } in entries {
        match entry {
            Entry::Killed { at } => killed.push((*at, *balancer)),
            Entry::Line(line) => match parse_line(line) {
                Some(LeaseLogLine::Acquired { at, lease, term }) => {
                    acquired.push((at, *balancer, lease, term));
                }
                Some(LeaseLogLine::Lost {
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

/// Parses a log line about the acquisition or the loss of a lease.
fn parse_line(line: &str) -> Option<LeaseLogLine<'_>> {
    let lease = field(line, "lease")?;
    let term = parse_term(field(line, "term")?)?;
    let acquired_at = field(line, "at_us").and_then(|text| text.parse().ok());
    let until = field(line, "until_us").and_then(|text| text.parse().ok());
    match (acquired_at, until) {
        (Some(at), None) => Some(LeaseLogLine::Acquired { at, lease, term }),
        (None, Some(until)) => Some(LeaseLogLine::Lost {
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

/// Returns the value of a field in a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Parses a term in the format of the log and of `GET /fleet`: two hexadecimal numbers, separated
/// by a hyphen.
pub fn parse_term(text: &str) -> Option<LeaseTerm> {
    let (number, incarnation_id) = text.split_once('-')?;
    Some(LeaseTerm {
        number: u64::from_str_radix(number, 16).ok()?,
        incarnation_id: u64::from_str_radix(incarnation_id, 16).ok()?,
    })
}

#[cfg(test)]
mod tests;
