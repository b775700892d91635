//! Who held which duty when: the truth beside what processes say of themselves. One ledger for the explorer, the virtual
//! clock and real processes, each telling it moments of one clock.

use std::collections::BTreeMap;

use crate::Micros;

/// A term as the ledger compares it.
pub type LeaseTerm = (u64, u64);

#[derive(Clone, Debug)]
struct Span {
    who: usize,
    turn: LeaseTerm,
    from: Micros,
    to: Option<Micros>,
    /// How it ended, where it matters to what is measured.
    how: Option<&'static str>,
}

/// All spans in which duties were held, by duty.
#[derive(Clone, Debug, Default)]
pub struct LeaseHistory {
    by_duty: BTreeMap<String, Vec<Span>>,
    /// The greatest term that each process has taken acts of, by process (a number of the carrier's) and duty.
    taken: BTreeMap<(u64, String), LeaseTerm>,
    pub old_taken: Vec<String>,
}

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// Two that held one duty at one instant.
    pub overlaps: Vec<String>,
    /// A later turn with an earlier term.
    pub fallen: Vec<String>,
    /// From the end of each span to the beginning of the next, with how the first ended.
    pub without: Vec<(Micros, &'static str)>,
    /// Times that a duty passed from one to another.
    pub changes: usize,
    /// The most changes of one duty's hands in any minute.
    pub most_a_minute: usize,
}

const MINUTE: Micros = 60_000_000;

impl LeaseHistory {
    /// From then on that one may act in the duty's name.
    pub fn begins(&mut self, now: Micros, who: usize, lease: &str, turn: LeaseTerm) {
        let span = Span {
            who,
            turn,
            from: now,
            to: None,
            how: None,
        };
        self.by_duty.entry(lease.to_owned()).or_default().push(span);
    }

    /// Up to then it might; a span that has ended already stays as it is.
    pub fn ends(
        &mut self,
        until: Micros,
        who: usize,
        lease: &str,
        turn: LeaseTerm,
        how: &'static str,
    ) {
        let spans = self.by_duty.get_mut(lease).into_iter().flatten();
        let mine = |span: &&mut Span| span.who == who && span.turn == turn && span.to.is_none();
        for span in spans.filter(mine) {
            (span.to, span.how) = (Some(until.max(span.from)), Some(how));
        }
    }

    /// A process is gone, and with it all that it held. Deaths may be told late: spans that began after it stay.
    pub fn dies(&mut self, now: Micros, who: usize) {
        let open = |span: &&mut Span| span.who == who && span.to.is_none() && span.from <= now;
        for span in self.by_duty.values_mut().flatten().filter(open) {
            (span.to, span.how) = (Some(now), Some("killed"));
        }
    }

    /// Duties that were ever held.
    pub fn count(&self) -> usize {
        self.by_duty.len()
    }

    /// A process took an act of that term.
    pub fn acted(&mut self, process: u64, lease: &str, turn: LeaseTerm) {
        let known = self
            .taken
            .entry((process, lease.to_owned()))
            .or_insert(turn);
        if turn < *known {
            self.old_taken.push(format!(
                "{lease}: an act of term {turn:?} after one of {known:?}"
            ));
        }
        *known = (*known).max(turn);
    }

    /// Spans of one duty that meet, gaps between them, and how often it changed hands.
    pub fn found(&self, now: Micros) -> Held {
        let mut found = Held::default();
        for (lease, spans) in &self.by_duty {
            let mut spans: Vec<&Span> = spans.iter().collect();
            spans.sort_by_key(|span| span.from);
            // The span that reaches farthest so far: a later one may lie wholly inside it.
            let mut reach: Option<&Span> = None;
            let mut changes = Vec::new();
            for span in spans {
                if let Some(before) = reach {
                    let ended = before.to.unwrap_or(now);
                    if span.from < ended && span.who != before.who {
                        found.overlaps.push(format!(
                            "{lease}: b{} holds it until {ended}, b{} from {}",
                            before.who, span.who, span.from
                        ));
                    }
                    if span.turn < before.turn {
                        found.fallen.push(format!(
                            "{lease}: term {:?} after {:?}",
                            span.turn, before.turn
                        ));
                    }
                    if let Some(how) = before.how {
                        found.without.push((span.from.saturating_sub(ended), how));
                    }
                    if span.who != before.who {
                        changes.push(span.from);
                    }
                }
                let ends = |span: &Span| span.to.unwrap_or(Micros::MAX);
                if reach.is_none_or(|before| ends(span) >= ends(before)) {
                    reach = Some(span);
                }
            }
            found.changes += changes.len();
            let within = |at: &Micros| {
                changes
                    .iter()
                    .filter(|other| (*at..*at + MINUTE).contains(other))
                    .count()
            };
            found.most_a_minute = found
                .most_a_minute
                .max(changes.iter().map(within).max().unwrap_or(0));
        }
        found
    }

    /// Duties that nobody held at that moment, of all that were ever held.
    pub fn vacant(&self, now: Micros) -> Vec<&str> {
        let held = |span: &Span| span.from <= now && span.to.is_none_or(|to| now < to);
        let all = self
            .by_duty
            .iter()
            .filter(|(_, spans)| !spans.iter().any(held));
        all.map(|(lease, _)| lease.as_str()).collect()
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::one_after_the_other(20, 25, 0, 5)]
    #[case::at_once(20, 20, 0, 0)]
    #[case::overlapping(20, 19, 1, 0)]
    fn spans_of_one_duty_must_not_meet(
        #[case] ends: Micros,
        #[case] begins: Micros,
        #[case] overlaps: usize,
        #[case] gap: Micros,
    ) {
        let mut lease_history = LeaseHistory::default();
        lease_history.begins(10, 0, "d", (1, 1));
        lease_history.ends(ends, 0, "d", (1, 1), "ran out");
        lease_history.begins(begins, 1, "d", (2, 2));
        lease_history.begins(begins, 1, "another", (2, 2));
        let found = lease_history.found(100);
        assert_eq!(
            (found.overlaps.len(), found.changes, found.fallen.len()),
            (overlaps, 1, 0)
        );
        assert_eq!(found.without, [(gap, "ran out")]);
        assert!(lease_history.vacant(100).is_empty());
    }

    #[test]
    fn who_never_says_that_it_lost_a_duty_holds_it_to_its_death() {
        let mut lease_history = LeaseHistory::default();
        lease_history.begins(10, 0, "d", (5, 1));
        lease_history.begins(50, 1, "d", (4, 2));
        assert_eq!(
            (
                lease_history.found(100).overlaps.len(),
                lease_history.found(100).fallen.len()
            ),
            (1, 1)
        );
        lease_history.dies(40, 0);
        assert_eq!(lease_history.found(100).overlaps.len(), 0);
        lease_history.dies(60, 1);
        assert_eq!(lease_history.vacant(70), ["d"]);
    }

    #[test]
    fn an_act_of_an_older_term_after_a_newer_one_is_seen() {
        let mut lease_history = LeaseHistory::default();
        lease_history.acted(1, "d", (5, 1));
        lease_history.acted(2, "d", (4, 1));
        assert!(lease_history.old_taken.is_empty());
        lease_history.acted(1, "d", (4, 9));
        assert_eq!(lease_history.old_taken.len(), 1);
    }
}
