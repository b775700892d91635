//! Service: the earnings answered within the promised time over the earnings asked for, with its parts weighed as
//! the day says. A client's later tries count as part of its first.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::Micros;
use crate::SECOND;
use crate::day::Day;
use crate::judge::Outcome;
use crate::traffic::Ticket;

/// Spans over which the worst stretch and the tail are looked at.
const STRETCH: Micros = 10 * SECOND;
const TAIL_SPAN: Micros = 5 * SECOND;
/// Fewer first tries than this in a span tell nothing.
const FEWEST: usize = 10;
/// At so many times the free part of late answers the tail counts nothing.
const TAIL_END: f64 = 5.0;

/// What became of a first try.
#[derive(Clone, Copy, Debug)]
struct Fate {
    due: Micros,
    use_case: usize,
    tenant: usize,
    /// When it succeeded, counted from when it was due.
    took: Option<Micros>,
    dismissed: bool,
}

/// Collects what became of tickets.
pub struct Tally {
    fates: BTreeMap<u64, Fate>,
}

/// Parts of service, each of 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Parts {
    pub whole: f64,
    pub worst_10s: f64,
    pub worst_use_case: f64,
    pub worst_tenant: f64,
    pub tail: f64,
    /// All of them as the day weighs them; told beside its parts, not among them.
    #[serde(skip)]
    pub total: f64,
}

impl Tally {
    pub fn new() -> Self {
        Self {
            fates: BTreeMap::new(),
        }
    }

    /// A first try was due.
    pub fn asked(&mut self, ticket: &Ticket) {
        let Ticket {
            first_due: due,
            use_case,
            tenant,
            ..
        } = *ticket;
        self.fates.entry(ticket.first).or_insert(Fate {
            due,
            use_case,
            tenant,
            took: None,
            dismissed: false,
        });
    }

    /// A try ended so, at that moment.
    pub fn ended(&mut self, ticket: &Ticket, at: Micros, outcome: Option<Outcome>) {
        self.asked(ticket);
        let Some(fate) = self.fates.get_mut(&ticket.first) else {
            return;
        };
        match outcome {
            Some(Outcome::Succeeded) if fate.took.is_none() => {
                fate.took = Some(at.saturating_sub(fate.due))
            }
            Some(Outcome::Dismissed) => fate.dismissed = true,
            _ => {}
        }
    }

    /// Earned over asked of those that fit; nothing where too few do.
    fn share(&self, day: &Day, fits: impl Fn(&Fate) -> bool) -> Option<f64> {
        let (mut asked, mut earned, mut count) = (0.0, 0.0, 0);
        for fate in self.fates.values().filter(|fate| fits(fate)) {
            let use_case = day.use_cases[fate.use_case].get_ref();
            asked += use_case.earnings;
            count += 1;
            if fate
                .took
                .is_some_and(|took| took <= use_case.promised_time.0)
            {
                earned += use_case.earnings;
            }
        }
        (count >= FEWEST && asked > 0.0).then(|| earned / asked)
    }

    fn worst(shares: impl Iterator<Item = Option<f64>>, otherwise: f64) -> f64 {
        shares.flatten().reduce(f64::min).unwrap_or(otherwise)
    }

    /// By use case and span: all of it while few answers are late, nothing at five times that.
    fn tail(&self, day: &Day) -> f64 {
        let mut cells: BTreeMap<(usize, Micros), (usize, usize)> = BTreeMap::new();
        for fate in self
            .fates
            .values()
            .filter(|fate| fate.took.is_some() || !fate.dismissed)
        {
            let promised = day.use_cases[fate.use_case].get_ref().promised_time.0;
            let cell = cells
                .entry((fate.use_case, fate.due / TAIL_SPAN))
                .or_default();
            cell.0 += 1;
            cell.1 += usize::from(fate.took.is_none_or(|took| took > promised));
        }
        let free = day.service.late_free.max(1e-9);
        let full = |late: f64| (1.0 - (late - free) / ((TAIL_END - 1.0) * free)).clamp(0.0, 1.0);
        let told: Vec<f64> = cells
            .values()
            .filter(|(count, _)| *count >= FEWEST)
            .map(|(count, late)| full(*late as f64 / *count as f64))
            .collect();
        if told.is_empty() {
            1.0
        } else {
            told.iter().sum::<f64>() / told.len() as f64
        }
    }

    pub fn parts(&self, day: &Day) -> Parts {
        let whole = self.share(day, |_| true).unwrap_or(0.0);
        let last = self.fates.values().map(|fate| fate.due).max().unwrap_or(0);
        let stretch =
            |from: Micros| self.share(day, |fate| (from..from + STRETCH).contains(&fate.due));
        let worst_10s = Self::worst(
            (0..=last / SECOND).map(|second| stretch(second * SECOND)),
            whole,
        );
        let by_use_case = |number| self.share(day, |fate| fate.use_case == number);
        let worst_use_case = Self::worst((0..day.use_cases.len()).map(by_use_case), whole);
        let by_tenant = |number| self.share(day, |fate| fate.tenant == number);
        let worst_tenant = Self::worst((0..day.tenants.len()).map(by_tenant), whole);
        let tail = self.tail(day);
        let weights = &day.service;
        let parts = [
            (weights.whole, whole),
            (weights.worst_10s, worst_10s),
            (weights.worst_use_case, worst_use_case),
            (weights.worst_tenant, worst_tenant),
            (weights.tail, tail),
        ];
        let total = parts
            .iter()
            .map(|(weight, part)| weight * part)
            .sum::<f64>()
            / parts.iter().map(|(weight, _)| weight).sum::<f64>();
        Parts {
            whole,
            worst_10s,
            worst_use_case,
            worst_tenant,
            tail,
            total,
        }
    }

    /// Earned over asked by second of when tickets were due, for a plot.
    pub fn by_second(&self, day: &Day) -> Vec<f64> {
        let seconds = (day.length.get_ref().0.div_ceil(SECOND)) as usize;
        let mut sums = vec![(0.0, 0.0); seconds];
        for fate in self.fates.values() {
            let use_case = day.use_cases[fate.use_case].get_ref();
            if let Some(sum) = sums.get_mut((fate.due / SECOND) as usize) {
                sum.0 += use_case.earnings;
                if fate
                    .took
                    .is_some_and(|took| took <= use_case.promised_time.0)
                {
                    sum.1 += use_case.earnings;
                }
            }
        }
        sums.into_iter()
            .map(|(asked, earned)| if asked > 0.0 { earned / asked } else { 1.0 })
            .collect()
    }
}

impl Default for Tally {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{check, faults::Timeline, fleet, traffic::Arrivals};

    /// A day of which each ticket succeeds after what `took` says, or is dismissed.
    fn parts(took: impl Fn(&Ticket) -> Option<Micros>) -> Parts {
        let day = check::read("name = 'd'\nlength = '20s'", "d.toml").unwrap();
        let line = Timeline::new(&day, &fleet::specs(&day, 1), 1);
        let mut tally = Tally::new();
        for ticket in Arrivals::new(&day, &line, 1) {
            match took(&ticket) {
                Some(took) => tally.ended(&ticket, ticket.due + took, Some(Outcome::Succeeded)),
                None => tally.ended(&ticket, ticket.due, Some(Outcome::Dismissed)),
            }
        }
        tally.parts(&day)
    }

    #[test]
    fn all_in_time_is_all_of_it_and_all_late_nothing() {
        let parts_of = |took| parts(move |_| Some(took));
        assert_eq!(
            (parts_of(10).total, parts_of(10 * SECOND).total),
            (1.0, 0.0)
        );
    }

    #[test]
    fn the_worst_parts_are_found() {
        let bad_stretch = parts(|ticket| (ticket.due < 10 * SECOND).then_some(10));
        assert!(
            (bad_stretch.whole - 0.5).abs() < 0.05 && bad_stretch.worst_10s < 0.01,
            "{bad_stretch:?}"
        );
        assert_eq!(bad_stretch.tail, 1.0, "dismissals are no late answers");
        let bad_use_case = parts(|ticket| (ticket.use_case != 2).then_some(10));
        assert_eq!(bad_use_case.worst_use_case, 0.0);
    }

    #[test]
    fn later_tries_count_as_the_first() {
        let day = check::read("name = 'd'\nlength = '20s'", "d.toml").unwrap();
        let line = Timeline::new(&day, &fleet::specs(&day, 1), 1);
        let mut tally = Tally::new();
        for (number, ticket) in Arrivals::new(&day, &line, 1).enumerate() {
            tally.ended(&ticket, ticket.due, Some(Outcome::Dismissed));
            let second = Ticket {
                number: 1_000_000 + number as u64,
                ..ticket
            };
            tally.ended(&second, ticket.due + 1000, Some(Outcome::Succeeded));
        }
        assert_eq!(tally.parts(&day).whole, 1.0);
    }
}
