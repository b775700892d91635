//! The table of members, how records of others are merged into it, and the three questions that it answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::Serialize;

use crate::Micros;
use crate::datagram::{Incarnation, VERSION};
use crate::messages::{MemberRecord, MemberState};

/// Members at most, this one included. Who comes beyond them is not taken in, and counted.
pub const MAX_MEMBERS: usize = 1_024;
/// Earlier processes of one name that are kept by name; more are only counted.
const MAX_EARLIER_INCARNATIONS: usize = 8;
/// Doubters of one member that are told apart.
const MAX_SUSPECTERS: usize = 3;
/// Times that another process of our name overtook our incarnation after we had answered it, before we say that the
/// name is taken twice: what an earlier process of ours left behind runs out before that.
const NAME_CONFLICT_THRESHOLD: u32 = 4;

/// An earlier process of a member's name of which no end is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierIncarnation {
    pub incarnation: Incarnation,
    pub address: SocketAddr,
}

/// What one member of the fleet is known to be.
#[derive(Clone, Debug)]
pub struct Member {
    pub record: MemberRecord,
    /// When this process was last heard itself.
    pub heard: Option<Micros>,
    /// When it came to stand as it does.
    pub since: Micros,
    /// Until when a doubt may be refuted, when it began, and whose doubts there are.
    pub suspicion: Option<Suspicion>,
    pub earlier: Vec<EarlierIncarnation>,
    pub earlier_uncounted: usize,
}

#[derive(Clone, Debug)]
pub struct Suspicion {
    pub began: Micros,
    pub suspecters: Vec<u64>,
}

/// Why somebody who is not heard may serve all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MayServeReason {
    /// It is there as far as anybody knows.
    #[serde(rename = "present")]
    Alive,
    #[serde(rename = "doubted")]
    Suspected,
    /// Silent for long: dead, cut off or stalled, nobody can tell which.
    #[serde(rename = "silent")]
    Unresponsive,
    /// Another process bears its name since, at another address.
    #[serde(rename = "followed")]
    Superseded,
}

/// How it is known that a process serves no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopProof {
    /// It said so itself when it had served its last ticket.
    #[serde(rename = "said_so")]
    Announced,
    /// The operators say so, and it was never heard since.
    #[serde(rename = "struck")]
    ConfirmedDead,
}

/// All that can be said of a process. There is no further case: silence proves nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServingStatus {
    MayServe(MayServeReason),
    #[serde(rename = "proven_gone")]
    ProvenStopped(StopProof),
}

/// A change worth telling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    Joined(Rc<str>),
    Suspected(Rc<str>),
    /// It refuted a doubt, or came back from being gone.
    Recovered(Rc<str>),
    Dead(Rc<str>),
    Left(Rc<str>),
    /// Others held us for doubted or gone, and we said otherwise.
    Refuted,
    /// This process was not run for so long, and doubts nobody until it is heard again.
    Paused(Micros),
    Reconnected,
    /// Another living process bears our name.
    NameConflict,
    /// A process that the operators struck was heard all the same: their word of it is void.
    ConfirmedDeadAlive(Rc<str>),
    /// A member could not be taken in.
    TableFull,
}

/// What merging a record came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing new.
    Unchanged,
    /// To be told on.
    Changed,
    /// About us and wrong: our record is to be told at once.
    Refuted,
    /// One more doubts what is doubted.
    SuspicionConfirmed,
    TableFull,
}

pub struct MemberTable {
    pub own: MemberRecord,
    pub members: Vec<Member>,
    by_name: BTreeMap<Rc<str>, usize>,
    pub events: Vec<MembershipEvent>,
    /// Processes that have ended by the operators' word, and those of them that were heard all the same.
    confirmed_dead: BTreeSet<(Rc<str>, Incarnation)>,
    revoked_confirmations: BTreeSet<(Rc<str>, Incarnation)>,
    /// How often this process had to say that it is there: each time somebody was wrong, or it had been stopped.
    pub refutations: u64,
    /// Our incarnation was overtaken by another process of our name so often.
    name_conflicts: u32,
    #[cfg(feature = "planted")]
    pub(crate) injected_fault: Option<crate::InjectedFault>,
}

impl MemberTable {
    pub fn new(own: MemberRecord) -> Self {
        Self {
            own,
            members: Vec::new(),
            by_name: BTreeMap::new(),
            events: Vec::new(),
            confirmed_dead: BTreeSet::new(),
            revoked_confirmations: BTreeSet::new(),
            refutations: 0,
            name_conflicts: 0,
            #[cfg(feature = "planted")]
            injected_fault: None,
        }
    }

    /// Whether that fault is planted: never without the feature.
    pub(crate) fn injected_fault(&self, _fault: crate::InjectedFault) -> bool {
        #[cfg(feature = "planted")]
        return self.injected_fault == Some(_fault);
        #[cfg(not(feature = "planted"))]
        false
    }

    pub fn index(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub fn named(&self, name: &str) -> Option<&Member> {
        self.index(name).map(|index| &self.members[index])
    }

    /// Merges what was told of a member.
    pub fn merge(&mut self, now: Micros, record: &MemberRecord) -> MergeOutcome {
        if record.name == self.own.name {
            return self.merge_own(record);
        }
        let Some(index) = self.index(&record.name) else {
            return self.insert(now, record);
        };
        let member = &mut self.members[index];
        let before = member.record.clone();
        if !record.supersedes(&before) {
            let keeps_old = self.injected_fault(crate::InjectedFault::AcceptsOldRecords)
                && record.state == MemberState::Dead
                && before.state != MemberState::Dead;
            let member = &mut self.members[index];
            if keeps_old {
                member.record.state = MemberState::Dead;
                return MergeOutcome::Changed;
            }
            let same = (record.refutation_counter, record.incarnation)
                == (before.refutation_counter, before.incarnation);
            let both =
                record.state == MemberState::Suspected && before.state == MemberState::Suspected;
            if let Some(suspicion) = member
                .suspicion
                .as_mut()
                .filter(|_| same && both && record.by != 0)
                && suspicion.suspecters.len() < MAX_SUSPECTERS
                && !suspicion.suspecters.contains(&record.by)
            {
                suspicion.suspecters.push(record.by);
                member.record.by = record.by;
                return MergeOutcome::SuspicionConfirmed;
            }
            return MergeOutcome::Unchanged;
        }
        if record.incarnation != before.incarnation {
            // Who speaks from its address holds its socket, which a process keeps to its end: that one has ended.
            let ended = before.state == MemberState::Left || record.address == before.address;
            if !ended {
                match member.earlier.len() < MAX_EARLIER_INCARNATIONS {
                    true => member.earlier.push(EarlierIncarnation {
                        incarnation: before.incarnation,
                        address: before.address,
                    }),
                    false => member.earlier_uncounted += 1,
                }
            }
            // Only of one name: of two names nobody knows whose record is the later one.
            member
                .earlier
                .retain(|earlier| earlier.address != record.address);
            member.heard = None;
        }
        member.record = record.clone();
        if record.state != before.state || record.incarnation != before.incarnation {
            member.since = now;
        }
        member.suspicion = (record.state == MemberState::Suspected).then(|| Suspicion {
            began: now,
            suspecters: [record.by].into_iter().filter(|by| *by != 0).collect(),
        });
        let name = Rc::clone(&record.name);
        let event = match (before.state, record.state) {
            (MemberState::Alive, MemberState::Alive)
                if record.incarnation == before.incarnation =>
            {
                None
            }
            (MemberState::Left, MemberState::Alive) => Some(MembershipEvent::Joined(name)),
            (MemberState::Suspected | MemberState::Dead, MemberState::Alive) => {
                Some(MembershipEvent::Recovered(name))
            }
            (MemberState::Alive, MemberState::Alive) => Some(MembershipEvent::Joined(name)),
            (MemberState::Suspected, MemberState::Suspected)
            | (MemberState::Dead, MemberState::Dead)
            | (MemberState::Left, MemberState::Left) => None,
            (_, MemberState::Suspected) => Some(MembershipEvent::Suspected(name)),
            (_, MemberState::Dead) => Some(MembershipEvent::Dead(name)),
            (_, MemberState::Left) => Some(MembershipEvent::Left(name)),
        };
        self.events.extend(event);
        MergeOutcome::Changed
    }

    fn insert(&mut self, now: Micros, record: &MemberRecord) -> MergeOutcome {
        let member = Member {
            record: record.clone(),
            heard: None,
            since: now,
            suspicion: (record.state == MemberState::Suspected).then(|| Suspicion {
                began: now,
                suspecters: vec![record.by],
            }),
            earlier: Vec::new(),
            earlier_uncounted: 0,
        };
        let index = if self.members.len() + 1 < MAX_MEMBERS {
            self.members.push(member);
            self.members.len() - 1
        } else {
            // Only those give way of whom nothing is left to be known.
            let left = |member: &Member| {
                member.record.state >= MemberState::Dead && self.may_serve(member) == 0
            };
            let oldest = (0..self.members.len()).filter(|&index| left(&self.members[index]));
            let Some(index) = oldest.min_by_key(|&index| self.members[index].since) else {
                return MergeOutcome::TableFull;
            };
            let name = Rc::clone(&self.members[index].record.name);
            self.by_name.remove(&name);
            self.members[index] = member;
            index
        };
        self.by_name.insert(Rc::clone(&record.name), index);
        let name = Rc::clone(&record.name);
        match record.state {
            MemberState::Alive => self.events.push(MembershipEvent::Joined(name)),
            MemberState::Suspected => self.events.push(MembershipEvent::Suspected(name)),
            MemberState::Dead => self.events.push(MembershipEvent::Dead(name)),
            MemberState::Left => {}
        }
        MergeOutcome::Changed
    }

    /// What others hold of us. Only we say how we stand: what is wrong is overtaken by a greater incarnation.
    fn merge_own(&mut self, record: &MemberRecord) -> MergeOutcome {
        let other = record.incarnation != self.own.incarnation;
        let wrong = record.state != MemberState::Alive || other;
        if self.own.state == MemberState::Left
            || !wrong
            || record.refutation_counter < self.own.refutation_counter
        {
            return MergeOutcome::Unchanged;
        }
        if other {
            // An earlier process of ours can't answer what we say; one that lives overtakes us again and again.
            self.name_conflicts += 1;
            if self.name_conflicts == NAME_CONFLICT_THRESHOLD {
                self.events.push(MembershipEvent::NameConflict);
            }
        }
        if self.injected_fault(crate::InjectedFault::NoRefutation) && !other {
            return MergeOutcome::Unchanged;
        }
        self.own.refutation_counter = record.refutation_counter.saturating_add(1);
        if self.injected_fault(crate::InjectedFault::RefutationCounterDecreases) {
            self.own.refutation_counter = record.refutation_counter.saturating_sub(1);
        }
        if !other {
            self.refutations += 1;
            self.events.push(MembershipEvent::Refuted);
        }
        MergeOutcome::Refuted
    }

    /// Whether another living process bears our name: of the two the one that began later keeps quiet.
    pub fn has_name_conflict(&self) -> bool {
        self.name_conflicts >= NAME_CONFLICT_THRESHOLD
    }

    /// Those that nobody doubts, by name.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.record.state == MemberState::Alive)
    }

    /// How many processes beside this one may be serving. Never fewer because somebody fell silent.
    pub fn count_may_serve(&self) -> usize {
        self.members.iter().map(|member| self.counted(member)).sum()
    }

    fn counted(&self, member: &Member) -> usize {
        let forgotten = self.injected_fault(crate::InjectedFault::UnresponsiveCountsAsStopped)
            && member.record.state == MemberState::Dead;
        if forgotten { 0 } else { self.may_serve(member) }
    }

    /// Takes the operators' word for which processes have ended, in place of what they said before. Of one that was
    /// heard after such a word no such word is taken again.
    pub fn set_confirmed_dead(&mut self, confirmed_dead: BTreeSet<(Rc<str>, Incarnation)>) {
        self.confirmed_dead = confirmed_dead
            .difference(&self.revoked_confirmations)
            .cloned()
            .collect();
    }

    /// A process was heard itself: if the operators had said that it has ended, their word is void.
    pub fn receive(&mut self, name: &Rc<str>, incarnation: Incarnation) {
        if self.is_confirmed_dead(name, incarnation) {
            let one = (Rc::clone(name), incarnation);
            self.confirmed_dead.remove(&one);
            self.revoked_confirmations.insert(one);
            self.events
                .push(MembershipEvent::ConfirmedDeadAlive(Rc::clone(name)));
        }
    }

    fn is_confirmed_dead(&self, name: &Rc<str>, incarnation: Incarnation) -> bool {
        !self.confirmed_dead.is_empty()
            && self
                .confirmed_dead
                .contains(&(Rc::clone(name), incarnation))
    }

    /// How a member stands. The operators' word goes only for one that nobody hears.
    pub fn serving_status_of(&self, member: &Member) -> ServingStatus {
        match member.record.state {
            MemberState::Alive => ServingStatus::MayServe(MayServeReason::Alive),
            MemberState::Suspected => ServingStatus::MayServe(MayServeReason::Suspected),
            MemberState::Dead
                if self.is_confirmed_dead(&member.record.name, member.record.incarnation) =>
            {
                ServingStatus::ProvenStopped(StopProof::ConfirmedDead)
            }
            MemberState::Dead => ServingStatus::MayServe(MayServeReason::Unresponsive),
            MemberState::Left => ServingStatus::ProvenStopped(StopProof::Announced),
        }
    }

    /// Earlier processes of a member's name that may be serving.
    pub fn earlier_of<'a>(
        &'a self,
        member: &'a Member,
    ) -> impl Iterator<Item = &'a EarlierIncarnation> {
        member
            .earlier
            .iter()
            .filter(|earlier| !self.is_confirmed_dead(&member.record.name, earlier.incarnation))
    }

    /// Processes of a member's name that may be serving.
    pub fn may_serve(&self, member: &Member) -> usize {
        let own = usize::from(matches!(
            self.serving_status_of(member),
            ServingStatus::MayServe(_)
        ));
        own + self.earlier_of(member).count() + member.earlier_uncounted
    }

    /// Whether a process of that name and life may be serving as far as is known here; nothing where it was never
    /// known.
    pub fn serving_status(&self, name: &str, incarnation: Incarnation) -> Option<ServingStatus> {
        let member = self.named(name)?;
        if member.record.incarnation == incarnation {
            let forgotten = self.counted(member) == 0 && self.may_serve(member) > 0;
            return Some(match forgotten {
                true => ServingStatus::ProvenStopped(StopProof::Announced),
                false => self.serving_status_of(member),
            });
        }
        member
            .earlier
            .iter()
            .find(|earlier| earlier.incarnation == incarnation)?;
        Some(
            match self.is_confirmed_dead(&member.record.name, incarnation) {
                true => ServingStatus::ProvenStopped(StopProof::ConfirmedDead),
                false => ServingStatus::MayServe(MayServeReason::Superseded),
            },
        )
    }
}

/// Our own record when a process begins.
pub fn own_record(
    name: &str,
    zone: &str,
    address: SocketAddr,
    incarnation: Incarnation,
) -> MemberRecord {
    MemberRecord {
        name: Rc::from(name),
        address,
        zone: Rc::from(zone),
        incarnation,
        // Above what earlier processes of the name used, if the clock is right; if not, they tell us.
        refutation_counter: incarnation.started_at_us,
        state: MemberState::Alive,
        by: 0,
        version: VERSION,
    }
}

#[cfg(test)]
mod tests;
