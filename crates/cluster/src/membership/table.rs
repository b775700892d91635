//! The table of members and its queries.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::events::MembershipEvent;
use super::member::{EarlierIncarnation, MayServeReason, Member, ServingStatus, StopProof};
use crate::messages::{MemberRecord, MemberState};
use crate::{Incarnation, InjectedFault};

/// The largest number of members, this one included. Further members are not added, but counted.
pub const MAX_MEMBERS: usize = 1_024;
/// The number of times that another process of this name must have superseded this one, in spite of
/// refutations, before a name conflict is reported. Records that remain of an earlier process
/// supersede this one fewer times.
pub(super) const NAME_CONFLICT_THRESHOLD: u32 = 4;

/// The members of a fleet in the view of this process.
pub struct MemberTable {
    /// The record of this process.
    pub own_record: MemberRecord,
    /// All other members.
    pub members: Vec<Member>,
    pub(super) by_name: BTreeMap<Rc<str>, usize>,
    /// Events not yet reported.
    pub events: Vec<MembershipEvent>,
    /// Processes that the operators confirmed dead.
    confirmed_dead: BTreeSet<(Rc<str>, Incarnation)>,
    /// Processes that the operators confirmed dead, but from which a datagram arrived later.
    revoked_confirmations: BTreeSet<(Rc<str>, Incarnation)>,
    /// The number of times that this process refuted a record that it is suspected or dead.
    pub refutations: u64,
    /// The number of times that another process of this name superseded this one.
    pub(super) name_conflicts: u32,
    #[cfg(feature = "planted")]
    pub(crate) injected_fault: Option<InjectedFault>,
}

impl MemberTable {
    /// Creates a table that contains only this process.
    pub fn new(own_record: MemberRecord) -> Self {
        Self {
            own_record,
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

    /// Whether the given fault is injected; always false without the feature `planted`.
    pub(crate) fn has_fault(&self, _fault: InjectedFault) -> bool {
        #[cfg(feature = "planted")]
        return self.injected_fault == Some(_fault);
        #[cfg(not(feature = "planted"))]
        false
    }

    /// The index of the member with the given name.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// The member with the given name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.index(name).map(|index| &self.members[index])
    }

    /// Whether another running process has this member's name. Of the two processes, the one that
    /// started later stops sending.
    pub fn has_name_conflict(&self) -> bool {
        self.name_conflicts >= NAME_CONFLICT_THRESHOLD
    }

    /// The other members that are alive and not suspected.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.record.state == MemberState::Alive)
    }

    /// The number of processes besides this one that may serve. An unresponsive process is still
    /// counted.
    pub fn count_possibly_serving(&self) -> usize {
        self.members
            .iter()
            .map(|member| self.reported_possibly_serving_of(member))
            .sum()
    }

    fn reported_possibly_serving_of(&self, member: &Member) -> usize {
        let is_ignored = self.has_fault(InjectedFault::UnresponsiveCountsAsStopped)
            && member.record.state == MemberState::Dead;
        if is_ignored {
            0
        } else {
            self.count_possibly_serving_of(member)
        }
    }

    /// Replaces the processes that the operators confirmed dead. Revoked confirmations are not
    /// accepted again.
    pub fn set_confirmed_dead(&mut self, processes: &BTreeSet<(Rc<str>, Incarnation)>) {
        self.confirmed_dead = processes
            .difference(&self.revoked_confirmations)
            .cloned()
            .collect();
    }

    /// Records that a datagram of a process arrived, which revokes a confirmation of its death.
    pub fn record_received(&mut self, name: &Rc<str>, incarnation: Incarnation) {
        if self.is_confirmed_dead(name, incarnation) {
            let process = (Rc::clone(name), incarnation);
            self.confirmed_dead.remove(&process);
            self.revoked_confirmations.insert(process);
            self.events
                .push(MembershipEvent::ConfirmationRevoked(Rc::clone(name)));
        }
    }

    fn is_confirmed_dead(&self, name: &Rc<str>, incarnation: Incarnation) -> bool {
        !self.confirmed_dead.is_empty()
            && self
                .confirmed_dead
                .contains(&(Rc::clone(name), incarnation))
    }

    /// Whether the current process of a member may serve. A confirmation by the operators applies
    /// only to dead members.
    pub fn serving_status_of(&self, member: &Member) -> ServingStatus {
        let record = &member.record;
        match record.state {
            MemberState::Alive => ServingStatus::MayServe(MayServeReason::Alive),
            MemberState::Suspected => ServingStatus::MayServe(MayServeReason::Suspected),
            MemberState::Dead if self.is_confirmed_dead(&record.name, record.incarnation) => {
                ServingStatus::ProvenStopped(StopProof::ConfirmedDead)
            }
            MemberState::Dead => ServingStatus::MayServe(MayServeReason::Unresponsive),
            MemberState::Left => ServingStatus::ProvenStopped(StopProof::Announced),
        }
    }

    /// The earlier processes of a member that may serve.
    pub fn possibly_serving_earlier<'a>(
        &'a self,
        member: &'a Member,
    ) -> impl Iterator<Item = &'a EarlierIncarnation> {
        member
            .earlier_processes
            .iter()
            .filter(|earlier| !self.is_confirmed_dead(&member.record.name, earlier.incarnation))
    }

    /// The number of processes of a member that may serve, earlier ones included.
    pub fn count_possibly_serving_of(&self, member: &Member) -> usize {
        let current = usize::from(matches!(
            self.serving_status_of(member),
            ServingStatus::MayServe(_)
        ));
        current + self.possibly_serving_earlier(member).count() + member.unlisted_earlier_count
    }

    /// Whether a process may serve; `None` if this member has no record of the process.
    pub fn serving_status(&self, name: &str, incarnation: Incarnation) -> Option<ServingStatus> {
        let member = self.member(name)?;
        if member.record.incarnation == incarnation {
            let is_ignored = self.reported_possibly_serving_of(member) == 0
                && self.count_possibly_serving_of(member) > 0;
            return Some(if is_ignored {
                ServingStatus::ProvenStopped(StopProof::Announced)
            } else {
                self.serving_status_of(member)
            });
        }
        member
            .earlier_processes
            .iter()
            .find(|earlier| earlier.incarnation == incarnation)?;
        Some(
            if self.is_confirmed_dead(&member.record.name, incarnation) {
                ServingStatus::ProvenStopped(StopProof::ConfirmedDead)
            } else {
                ServingStatus::MayServe(MayServeReason::Superseded)
            },
        )
    }
}

#[cfg(test)]
mod tests;
