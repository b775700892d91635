//! The true history of leases: which member held which lease when, as the state explorer, the
//! virtual clock and real processes report it by one clock.

use std::collections::BTreeMap;

use crate::Micros;

/// The term of a lease, in the order in which terms are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseTerm {
    /// The number that increases from term to term.
    pub number: u64,
    /// The random identifier of the holder's process.
    pub incarnation_id: u64,
}

/// A span in which a member held a lease.
#[derive(Clone, Debug)]
struct LeaseHolding {
    member: usize,
    term: LeaseTerm,
    from: Micros,
    to: Option<Micros>,
    /// How it ended, where the measurement asks for it.
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
    /// The greatest term of which each process accepted a command, by process and lease.
    accepted: BTreeMap<(u64, String), LeaseTerm>,
    /// Commands that were accepted although one of a later term had been accepted before.
    pub stale_commands: Vec<String>,
}

/// A span without holder between two holdings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vacancy {
    /// How long it lasted.
    pub duration: Micros,
    /// How the holding before it ended.
    pub cause: &'static str,
}

/// What an analysis of the history found.
#[derive(Clone, Debug, Default)]
pub struct LeaseFindings {
    /// Times that two members held one lease at once.
    pub overlaps: Vec<String>,
    /// Holdings under an earlier term than the one before.
    pub decreased_terms: Vec<String>,
    /// The spans without holder.
    pub vacancies: Vec<Vacancy>,
    /// How often a lease passed from one member to another.
    pub changes: usize,
    /// The largest number of changes of one lease in any minute.
    pub max_changes_per_minute: usize,
}

const MINUTE_US: Micros = 60_000_000;

impl LeaseHistory {
    /// Records that a member holds a lease from now on.
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

    /// Records that a member held a lease until then at the latest. A holding that has ended stays
    /// as it is.
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

    /// Records that the process of a member ended, and with it all that it held by then. Deaths may
    /// be reported late: what was acquired afterwards stays.
    pub fn process_ended(&mut self, now: Micros, member: usize) {
        let is_open = |holding: &&mut LeaseHolding| {
            holding.member == member && holding.to.is_none() && holding.from <= now
        };
        for holding in self.by_lease.values_mut().flatten().filter(is_open) {
            holding.to = Some(now);
            holding.end = Some("killed");
        }
    }

    /// The number of leases that were ever held.
    pub fn lease_count(&self) -> usize {
        self.by_lease.len()
    }

    /// Records that a process accepted a command of that term.
    pub fn command_accepted(&mut self, process: u64, lease: &str, term: LeaseTerm) {
        let key = (process, lease.to_owned());
        let known = self.accepted.entry(key).or_insert(term);
        if term < *known {
            self.stale_commands.push(format!(
                "{lease}: a command of term {term:?} after one of {known:?}"
            ));
        }
        *known = (*known).max(term);
    }

    /// Analyses all holdings; those that have not ended last until now.
    pub fn analyze(&self, now: Micros) -> LeaseFindings {
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

    /// The leases that nobody held at that moment, of all that were ever held.
    pub fn vacant_leases(&self, now: Micros) -> Vec<&str> {
        self.by_lease
            .iter()
            .filter(|(_, holdings)| !holdings.iter().any(|holding| holding.holds_at(now)))
            .map(|(lease, _)| lease.as_str())
            .collect()
    }
}

impl LeaseFindings {
    /// Adds the holdings of a lease in the order of their beginnings. Returns the times at which
    /// the holder changed.
    fn add_holdings(
        &mut self,
        lease: &str,
        holdings: &[&LeaseHolding],
        now: Micros,
    ) -> Vec<Micros> {
        let mut changes = Vec::new();
        // The holding that ends last so far: a later one may lie within it.
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
                "{lease}: b{} holds it until {ended}, b{} from {}",
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

/// The largest number of times within a minute from any of them.
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
