//! What balancers say of one another, held against the truth: who ran, who said that it serves no more, who died. The
//! same question on the virtual clock, where a view is of one moment, and on real processes, where it was true at some
//! moment of a span.

use std::collections::BTreeSet;

use crate::Micros;

/// What one says of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimedStatus {
    MayServe,
    ProvenStopped,
}

/// What one balancer holds of one process of another.
#[derive(Clone, Debug)]
pub struct ViewEntry<Id> {
    pub incarnation: Id,
    pub claimed: ClaimedStatus,
}

/// A process as it truly is.
#[derive(Clone, Debug)]
struct Truth<Id> {
    member: usize,
    incarnation: Id,
    from: Micros,
    /// When it served no more, for whatever reason.
    to: Option<Micros>,
    /// Whether it said so itself.
    left: bool,
    noticed: BTreeSet<usize>,
}

/// All processes that there were, and who has ever known of which.
#[derive(Clone, Debug)]
pub struct ProcessHistory<Id> {
    incarnations: Vec<Truth<Id>>,
    /// The latest process of each balancer, as a place in `lives`.
    latest: Vec<Option<usize>>,
    /// By balancer, places in `lives` that its running process has known of.
    knew: Vec<BTreeSet<usize>>,
}

impl<Id: PartialEq + Clone> ProcessHistory<Id> {
    pub fn new(balancers: usize) -> Self {
        Self {
            incarnations: Vec::new(),
            latest: vec![None; balancers],
            knew: vec![BTreeSet::new(); balancers],
        }
    }

    /// A process of a balancer serves from then on, and knows of nobody.
    pub fn starts(&mut self, now: Micros, member: usize, incarnation: Id) {
        self.latest[member] = Some(self.incarnations.len());
        self.knew[member].clear();
        let noticed = BTreeSet::new();
        self.incarnations.push(Truth {
            member,
            incarnation,
            from: now,
            to: None,
            left: false,
            noticed,
        });
    }

    /// The latest process of a balancer serves no more: killed, or gone in order (`left`).
    pub fn ends(&mut self, now: Micros, member: usize, left: bool) {
        let latest = self.latest[member].map(|at| &mut self.incarnations[at]);
        if let Some(truth) = latest.filter(|truth| truth.to.is_none()) {
            (truth.to, truth.left) = (Some(now), left);
        }
    }

    /// The balancer whose process that is, and when that died unless it was told to go: noticed by each once.
    pub fn notices(&mut self, who: usize, incarnation: &Id) -> Option<Micros> {
        let truth = self
            .incarnations
            .iter_mut()
            .find(|truth| truth.incarnation == *incarnation)?;
        let died = truth.to.filter(|_| !truth.left)?;
        truth.noticed.insert(who).then_some(died)
    }

    pub fn owner(&self, incarnation: &Id) -> Option<usize> {
        self.incarnations
            .iter()
            .find(|truth| truth.incarnation == *incarnation)
            .map(|truth| truth.member)
    }

    pub fn serves(&self, incarnation: &Id) -> bool {
        self.incarnations
            .iter()
            .any(|truth| truth.incarnation == *incarnation && truth.to.is_none())
    }

    /// The latest process of each balancer: whose, which, whether it serves and whether it left in order.
    pub fn latest(&self) -> impl Iterator<Item = (usize, &Id, bool, bool)> {
        let all = self
            .latest
            .iter()
            .flatten()
            .map(|at| &self.incarnations[*at]);
        all.map(|truth| {
            (
                truth.member,
                &truth.incarnation,
                truth.to.is_none(),
                truth.left,
            )
        })
    }

    /// What is wrong in a view that one had at some moment of a span: a process that served throughout taken for gone,
    /// forgotten, or not counted among those that may serve.
    pub fn view(
        &mut self,
        who: usize,
        span: [Micros; 2],
        held: &[ViewEntry<Id>],
        counted: usize,
    ) -> Vec<String> {
        let mut wrong = Vec::new();
        let mut serving = 0;
        for (place, truth) in self
            .incarnations
            .iter()
            .enumerate()
            .filter(|(_, truth)| truth.member != who)
        {
            let held = held
                .iter()
                .find(|held| held.incarnation == truth.incarnation);
            if held.is_some() {
                self.knew[who].insert(place);
            }
            let throughout = truth.from <= span[0] && truth.to.is_none_or(|to| to > span[1]);
            if !throughout || !self.knew[who].contains(&place) {
                continue;
            }
            serving += 1;
            match held.map(|held| held.claimed) {
                Some(ClaimedStatus::MayServe) => {}
                Some(ClaimedStatus::ProvenStopped) => {
                    wrong.push(format!(
                        "b{who} takes b{} for proven gone, which serves",
                        truth.member
                    ));
                }
                None => wrong.push(format!("b{who} forgot b{}, which serves", truth.member)),
            }
        }
        if counted < serving {
            wrong.push(format!(
                "b{who} counts {counted} that may serve, and knows {serving} that do"
            ));
        }
        wrong
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn process_history() -> ProcessHistory<char> {
        let mut process_history = ProcessHistory::new(3);
        [(0, 'a'), (1, 'b'), (2, 'c')]
            .into_iter()
            .for_each(|(member, incarnation)| process_history.starts(10, member, incarnation));
        process_history
    }

    fn held(all: &[(char, ClaimedStatus)]) -> Vec<ViewEntry<char>> {
        all.iter()
            .map(|&(incarnation, claimed)| ViewEntry {
                incarnation,
                claimed,
            })
            .collect()
    }

    #[rstest]
    #[case::right(&[('b', ClaimedStatus::MayServe), ('c', ClaimedStatus::MayServe)], 2, 0)]
    #[case::one_not_known_yet(&[('b', ClaimedStatus::MayServe)], 1, 0)]
    #[case::taken_for_gone(&[('b', ClaimedStatus::ProvenStopped), ('c', ClaimedStatus::MayServe)], 2, 1)]
    #[case::not_counted(&[('b', ClaimedStatus::MayServe), ('c', ClaimedStatus::MayServe)], 1, 1)]
    fn a_view_is_held_against_who_serves(
        #[case] all: &[(char, ClaimedStatus)],
        #[case] counted: usize,
        #[case] wrong: usize,
    ) {
        assert_eq!(
            process_history()
                .view(0, [20, 30], &held(all), counted)
                .len(),
            wrong
        );
    }

    #[test]
    fn who_was_known_must_not_be_forgotten_while_it_serves() {
        let mut process_history = process_history();
        let both = held(&[
            ('b', ClaimedStatus::MayServe),
            ('c', ClaimedStatus::MayServe),
        ]);
        process_history.view(0, [20, 20], &both, 2);
        assert_eq!(process_history.view(0, [30, 30], &both[..1], 2).len(), 1);
        // It ended inside the span of the view: either is true of some moment.
        process_history.ends(45, 2, false);
        assert_eq!(process_history.view(0, [40, 50], &both[..1], 1).len(), 0);
        process_history.starts(60, 0, 'd');
        assert_eq!(process_history.view(0, [70, 70], &[], 0).len(), 0);
    }

    #[test]
    fn a_death_is_noticed_by_each_once() {
        let mut process_history = process_history();
        process_history.ends(100, 2, false);
        assert_eq!(
            [0, 0, 1].map(|who| process_history.notices(who, &'c')),
            [Some(100), None, Some(100)]
        );
        process_history.ends(100, 1, true);
        assert_eq!(process_history.notices(0, &'b'), None);
    }
}
