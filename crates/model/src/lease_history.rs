//! The actual history of leases: the spans in which each member held each lease, on a common clock.
//! The state explorer, simulations with a virtual clock and tests with real processes record it.

use std::collections::BTreeMap;

use crate::Micros;

/// The term of a lease. Terms are compared by number first, then by incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseTerm {
    /// Number of the term, which increases from term to term.
    pub number: u64,
    /// Random identifier of the process that holds the lease.
    pub incarnation_id: u64,
}

/// A span in which a member held a lease.
#[derive(Clone, Debug)]
struct LeaseHolding {
    member: usize,
    term: LeaseTerm,
    from: Micros,
    to: Option<Micros>,
    /// Cause of the end; `None` while the lease is held.
    end: Option<&'static str>,
}

impl LeaseHolding {
    fn end_or(&self, now: Micros) -> Micros {
        self.to.unwrap_or(now)
    }

    fn holds_at(&self, now: Micros) -> bool {
        self.from <= now && self.to.is_none_or(|to| now < to)
    }
}

/// All spans in which leases were held.
#[derive(Clone, Debug, Default)]
pub struct LeaseHistory {
    by_lease: BTreeMap<String, Vec<LeaseHolding>>,
    /// Highest term of which a process has accepted a command, by process and lease.
    accepted: BTreeMap<(u64, String), LeaseTerm>,
    /// Descriptions of commands that were accepted after a command of a higher term.
    pub stale_commands: Vec<String>,
}

/// A span between two holdings in which the lease had no holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vacancy {
    /// Duration of the span in microseconds.
    pub duration: Micros,
    /// Cause of the end of the previous holding.
    pub cause: &'static str,
}

/// The results of an analysis of the history.
#[derive(Clone, Debug, Default)]
pub struct LeaseFindings {
    /// Descriptions of spans in which two members held the same lease.
    pub overlaps: Vec<String>,
    /// Descriptions of holdings whose term is lower than that of the previous holding.
    pub decreased_terms: Vec<String>,
    /// The spans in which a lease had no holder.
    pub vacancies: Vec<Vacancy>,
    /// Number of changes of a lease from one member to another.
    pub changes: usize,
    /// The largest number of changes of one lease in any minute.
    pub max_changes_per_minute: usize,
}

const MINUTE_US: Micros = 60_000_000;

impl LeaseHistory {
    /// Records that a member acquired a lease.
    pub fn acquired(&mut self, now: Micros, member: usize, lease: &str, term: LeaseTerm) {
        let holding = LeaseHolding {
            member,
            term,
            from: now,
            to: None,
            end: None,
        };
        self.by_lease
            .entry(lease.to_owned())
            .or_default()
            .push(holding);
    }

    /// Records that a member lost a lease at the time `until` at the latest. A holding that has
    /// already ended is not changed.
    pub fn lost(
        &mut self,
        until: Micros,
        member: usize,
        lease: &str,
        term: LeaseTerm,
        cause: &'static str,
    ) {
        let holdings = self.by_lease.get_mut(lease).into_iter().flatten();
        let is_open = |holding: &&mut LeaseHolding| {
            holding.member == member && holding.term == term && holding.to.is_none()
        };
        for holding in holdings.filter(is_open) {
            holding.to = Some(until.max(holding.from));
            holding.end = Some(cause);
        }
    }

    /// Records that the process of a member was killed, which ends all its holdings. Since the end
    /// of a process can be reported late, leases acquired afterwards are not affected.
    pub fn process_ended(&mut self, now: Micros, member: usize) {
        let is_open = |holding: &&mut LeaseHolding| {
            holding.member == member && holding.to.is_none() && holding.from <= now
        };
        for holding in self.by_lease.values_mut().flatten().filter(is_open) {
            holding.to = Some(now);
            holding.end = Some("killed");
        }
    }

    /// Returns the number of leases that were held at any time.
    pub fn lease_count(&self) -> usize {
        self.by_lease.len()
    }

    /// Records that a process accepted a command of a lease holder under a term.
    pub fn command_accepted(&mut self, process: u64, lease: &str, term: LeaseTerm) {
        let key = (process, lease.to_owned());
        let known = self.accepted.entry(key).or_insert(term);
        if term < *known {
            self.stale_commands.push(format!(
                "{lease}: accepted a command of term {term:?} after one of term {known:?}"
            ));
        }
        *known = (*known).max(term);
    }

    /// Analyses all holdings. Holdings that have not ended are treated as lasting until `now`.
    pub fn analyse(&self, now: Micros) -> LeaseFindings {
        let mut findings = LeaseFindings::default();
        for (lease, holdings) in &self.by_lease {
            let mut holdings: Vec<&LeaseHolding> = holdings.iter().collect();
            holdings.sort_by_key(|holding| holding.from);
            let changes = findings.add_holdings(lease, &holdings, now);
            findings.changes += changes.len();
            findings.max_changes_per_minute = findings
                .max_changes_per_minute
                .max(max_events_per_minute(&changes));
        }
        findings
    }

    /// Returns the leases that had a holder at some time but none at `now`.
    pub fn vacant_leases(&self, now: Micros) -> Vec<&str> {
        self.by_lease
            .iter()
            .filter(|(_, holdings)| !holdings.iter().any(|holding| holding.holds_at(now)))
            .map(|(lease, _)| lease.as_str())
            .collect()
    }
}

impl LeaseFindings {
    /// Adds the holdings of a lease, which are sorted by their start. Returns the times at which
    /// the holder changed.
    fn add_holdings(
        &mut self,
        lease: &str,
        holdings: &[&LeaseHolding],
        now: Micros,
    ) -> Vec<Micros> {
        let mut changes = Vec::new();
        // The holding with the latest end so far, since a holding can lie within an earlier one.
        let mut latest: Option<&LeaseHolding> = None;
        for holding in holdings {
            if let Some(before) = latest {
                self.add_pair(lease, before, holding, now);
                if holding.member != before.member {
                    changes.push(holding.from);
                }
            }
            let ends_last =
                |before: &LeaseHolding| holding.end_or(Micros::MAX) >= before.end_or(Micros::MAX);
            if latest.is_none_or(ends_last) {
                latest = Some(holding);
            }
        }
        changes
    }

    fn add_pair(&mut self, lease: &str, before: &LeaseHolding, after: &LeaseHolding, now: Micros) {
        let ended = before.end_or(now);
        if after.from < ended && after.member != before.member {
            self.overlaps.push(format!(
                "{lease}: b{} holds the lease until {ended} us, b{} from {} us",
                before.member, after.member, after.from
            ));
        }
        if after.term < before.term {
            self.decreased_terms.push(format!(
                "{lease}: term {:?} after {:?}",
                after.term, before.term
            ));
        }
        if let Some(cause) = before.end {
            self.vacancies.push(Vacancy {
                duration: after.from.saturating_sub(ended),
                cause,
            });
        }
    }
}

/// Returns the largest number of events in any span of one minute.
fn max_events_per_minute(times: &[Micros]) -> usize {
    let in_minute_from = |start: &Micros| {
        times
            .iter()
            .filter(|time| (*start..*start + MINUTE_US).contains(time))
            .count()
    };
    times.iter().map(in_minute_from).max().unwrap_or(0)
}

#[cfg(test)]
mod tests;
