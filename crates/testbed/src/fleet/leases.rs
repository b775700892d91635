//! Who held which duty, from what the balancers log of it: their clock (CLOCK_BOOTTIME) is one for all on a machine, so
//! that spans of different processes can be compared to the microsecond.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use pinefront_model::Micros;
use pinefront_model::lease_history::{LeaseHistory, LeaseTerm};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

use crate::world::locked;

/// Lines kept: far more than a day of many changes writes.
const LINES_MOST: usize = 200_000;

/// What was found of duties on a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DutiesFound {
    /// Spans of one duty at two balancers that meet.
    pub overlaps: u64,
    /// Balancers whose greatest known term of a duty fell while they ran.
    pub old_terms_taken: u64,
    /// From the end of each span to the beginning of the next.
    pub without_holder_ms: Vec<f64>,
    /// The same by how the first span ended.
    pub without_holder_by: BTreeMap<&'static str, Vec<f64>>,
    pub changes: usize,
    pub changes_most_a_minute: usize,
    /// Duties that nobody held when the day was over.
    pub vacant: usize,
    #[serde(rename = "duties")]
    pub leases: usize,
    #[serde(rename = "why")]
    pub details: Vec<String>,
}

impl DutiesFound {
    pub fn is_sound(&self) -> bool {
        self.overlaps == 0 && self.old_terms_taken == 0
    }
}

/// The time that balancers log.
pub fn machine_now() -> Micros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Micros * 1_000_000 + now.tv_nsec as Micros / 1_000
}

/// Lines of all balancers about duties, and the ends of their processes, in the order in which they came.
#[derive(Clone, Default)]
pub struct DutyLines(Arc<Mutex<Vec<(usize, String)>>>);

impl DutyLines {
    /// Keeps a line of a balancer's log if it is about a duty.
    pub fn take(&self, number: usize, line: &str) {
        let of_duty = line.contains(" lease acquired ") || line.contains(" lease lost ");
        let mut lines = locked(&self.0);
        if of_duty && lines.len() < LINES_MOST {
            lines.push((number, line.to_owned()));
        }
    }

    /// A process has ended without a word.
    pub fn died(&self, number: usize) {
        locked(&self.0).push((number, format!("died at_us={}", machine_now())));
    }

    /// Holds all spans against one another, at a moment when every process has ended or said what it lost.
    pub fn found(&self, ends: Micros, fallen: u64) -> DutiesFound {
        let mut lease_history = LeaseHistory::default();
        let mut lines = locked(&self.0).clone();
        // Each balancer's lines come in order; those of several in any: begins before ends of one term is what counts.
        lines.sort_by_key(|(_, line)| field(line, "at_us").or(field(line, "until_us")));
        let mut ended: Vec<(usize, String, LeaseTerm, Micros, &'static str)> = Vec::new();
        let mut deaths = Vec::new();
        for (number, line) in &lines {
            let (lease, term) = (text(line, "lease"), text(line, "term").and_then(turn));
            match (lease, term, field(line, "at_us"), field(line, "until_us")) {
                (Some(lease), Some(turn), Some(at), None) => {
                    lease_history.begins(at, *number, lease, turn)
                }
                (Some(lease), Some(turn), None, Some(until)) => {
                    let how = match text(line, "reason") {
                        Some("released") => "let go",
                        Some("process_paused") => "pauses",
                        Some("superseded") => "later term",
                        _ => "ran out",
                    };
                    ended.push((*number, lease.to_owned(), turn, until, how));
                }
                (None, _, Some(at), _) => deaths.push((*number, at)),
                _ => {}
            }
        }
        for (number, lease, turn, until, how) in ended {
            lease_history.ends(until, number, &lease, turn, how);
        }
        for (number, at) in deaths {
            lease_history.dies(at, number);
        }
        let held = lease_history.found(ends);
        let mut found = DutiesFound {
            overlaps: held.overlaps.len() as u64,
            old_terms_taken: fallen,
            changes: held.changes,
            changes_most_a_minute: held.most_a_minute,
            vacant: lease_history.vacant(ends).len(),
            leases: lease_history.count(),
            details: held.overlaps.into_iter().take(5).collect(),
            ..DutiesFound::default()
        };
        for (span, how) in held.without {
            let ms = span as f64 / 1_000.0;
            found.without_holder_ms.push(ms);
            found.without_holder_by.entry(how).or_default().push(ms);
        }
        found
    }
}

fn text<'a>(line: &'a str, field: &str) -> Option<&'a str> {
    let mut words = line.split_whitespace();
    words.find_map(|word| word.strip_prefix(field)?.strip_prefix('='))
}

fn field(line: &str, name: &str) -> Option<Micros> {
    text(line, name)?.parse().ok()
}

/// A term as it is logged.
pub fn turn(text: &str) -> Option<LeaseTerm> {
    let (number, incarnation) = text.split_once('-')?;
    Some((
        u64::from_str_radix(number, 16).ok()?,
        u64::from_str_radix(incarnation, 16).ok()?,
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_are_read_from_lines_and_held_against_each_other() {
        let lines = DutyLines::default();
        lines.take(
            0,
            "INFO lease acquired lease=a term=0000000000000005-00000000000000aa at_us=1000",
        );
        lines.take(
            1,
            "INFO lease acquired lease=a term=0000000000000006-00000000000000bb at_us=9000",
        );
        lines.take(0, "INFO member joined member=b2");
        // Said late by one that was stopped: it lost it long before.
        lines.take(
            0,
            "INFO lease lost lease=a term=0000000000000005-00000000000000aa until_us=8000 reason=expired",
        );
        let found = lines.found(20_000, 0);
        assert_eq!((found.overlaps, found.changes, found.vacant), (0, 1, 0));
        assert_eq!(found.without_holder_by["ran out"], [1.0]);
        lines.take(
            2,
            "INFO lease acquired lease=a term=0000000000000007-00000000000000cc at_us=9500",
        );
        assert_eq!(lines.found(20_000, 0).overlaps, 1);
    }
}
