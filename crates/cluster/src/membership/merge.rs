//! Merging of received records into the member table.

use std::rc::Rc;

use super::events::{MembershipEvent, MergeOutcome};
use super::member::{EarlierIncarnation, Member, Suspicion};
use super::table::{MAX_MEMBERS, MemberTable, NAME_CONFLICT_THRESHOLD};
use crate::messages::{MemberRecord, MemberState};
use crate::{InjectedFault, Micros};

/// The largest number of earlier processes listed for one member; further ones are only counted.
const MAX_EARLIER_INCARNATIONS: usize = 8;
/// The largest number of independent suspicions counted for one member.
const MAX_SUSPECTING_IDS: usize = 3;

impl MemberTable {
    /// Merges a record that was received or created by this process.
    pub fn merge(&mut self, now: Micros, record: &MemberRecord) -> MergeOutcome {
        if record.name == self.own_record.name {
            return self.merge_own(record);
        }
        let Some(index) = self.index(&record.name) else {
            return self.insert(now, record);
        };
        if !record.supersedes(&self.members[index].record) {
            return self.merge_superseded(index, record);
        }
        let member = &mut self.members[index];
        let before = std::mem::replace(&mut member.record, record.clone());
        if record.incarnation != before.incarnation {
            member.keep_earlier(&before);
        }
        if record.state != before.state || record.incarnation != before.incarnation {
            member.state_since = now;
        }
        member.suspicion = (record.state == MemberState::Suspected).then(|| Suspicion {
            started_at: now,
            suspecting_ids: [record.suspected_by]
                .into_iter()
                .filter(|by| *by != 0)
                .collect(),
        });
        self.events.extend(event_of_change(&before, record));
        MergeOutcome::Changed
    }

    /// Merges a record that does not supersede the known one. It may be a further suspicion.
    fn merge_superseded(&mut self, index: usize, record: &MemberRecord) -> MergeOutcome {
        let accepts_old = self.has_fault(InjectedFault::AcceptsOldRecords);
        let member = &mut self.members[index];
        if accepts_old
            && record.state == MemberState::Dead
            && member.record.state != MemberState::Dead
        {
            member.record.state = MemberState::Dead;
            return MergeOutcome::Changed;
        }
        let is_same_suspicion = record.is_same_process_and_counter(&member.record)
            && record.state == MemberState::Suspected
            && member.record.state == MemberState::Suspected;
        if !is_same_suspicion || record.suspected_by == 0 {
            return MergeOutcome::Unchanged;
        }
        let Some(suspicion) = &mut member.suspicion else {
            return MergeOutcome::Unchanged;
        };
        if suspicion.suspecting_ids.len() >= MAX_SUSPECTING_IDS
            || suspicion.suspecting_ids.contains(&record.suspected_by)
        {
            return MergeOutcome::Unchanged;
        }
        suspicion.suspecting_ids.push(record.suspected_by);
        member.record.suspected_by = record.suspected_by;
        MergeOutcome::SuspicionConfirmed
    }

    fn insert(&mut self, now: Micros, record: &MemberRecord) -> MergeOutcome {
        let member = Member::new(now, record);
        let index = if self.members.len() + 1 < MAX_MEMBERS {
            self.members.push(member);
            self.members.len() - 1
        } else {
            let Some(index) = self.oldest_replaceable() else {
                return MergeOutcome::TableFull;
            };
            let name = Rc::clone(&self.members[index].record.name);
            self.by_name.remove(&name);
            self.members[index] = member;
            index
        };
        self.by_name.insert(Rc::clone(&record.name), index);
        let name = Rc::clone(&record.name);
        self.events.extend(match record.state {
            MemberState::Alive => Some(MembershipEvent::Joined(name)),
            MemberState::Suspected => Some(MembershipEvent::Suspected(name)),
            MemberState::Dead => Some(MembershipEvent::Dead(name)),
            MemberState::Left => None,
        });
        MergeOutcome::Changed
    }

    /// Returns the index of the member to replace: among the members none of whose processes may
    /// serve, the one whose state changed first.
    fn oldest_replaceable(&self) -> Option<usize> {
        let is_replaceable = |member: &Member| {
            member.record.state >= MemberState::Dead && self.count_possibly_serving_of(member) == 0
        };
        (0..self.members.len())
            .filter(|&index| is_replaceable(&self.members[index]))
            .min_by_key(|&index| self.members[index].state_since)
    }

    /// Merges a record with this member's name. If it states that this process is not alive, or is
    /// about another process, it is refuted with a greater refutation counter, as only this process
    /// decides its state. Records of another process are counted as name conflicts. A record with a
    /// smaller counter is ignored, and a member that has left refutes nothing.
    fn merge_own(&mut self, record: &MemberRecord) -> MergeOutcome {
        let is_other_process = record.incarnation != self.own_record.incarnation;
        let is_wrong = record.state != MemberState::Alive || is_other_process;
        if self.own_record.state == MemberState::Left
            || !is_wrong
            || record.refutation_counter < self.own_record.refutation_counter
        {
            return MergeOutcome::Unchanged;
        }
        if is_other_process {
            // An ended process does not react to refutations, while a running one keeps superseding
            // this process.
            self.name_conflicts += 1;
            if self.name_conflicts == NAME_CONFLICT_THRESHOLD {
                self.events.push(MembershipEvent::NameConflict);
            }
        }
        if self.has_fault(InjectedFault::NoRefutation) && !is_other_process {
            return MergeOutcome::Unchanged;
        }
        self.own_record.refutation_counter = record.refutation_counter.saturating_add(1);
        if self.has_fault(InjectedFault::RefutationCounterDecreases) {
            self.own_record.refutation_counter = record.refutation_counter.saturating_sub(1);
        }
        if !is_other_process {
            self.refutations += 1;
            self.events.push(MembershipEvent::Refuted);
        }
        MergeOutcome::Refuted
    }
}

impl Member {
    /// Adds the previous process to the earlier ones, unless it is known to have ended.
    fn keep_earlier(&mut self, before: &MemberRecord) {
        // A process keeps its socket until it ends, so a process whose address is used by another
        // one has ended.
        let address = self.record.address;
        let has_ended = before.state == MemberState::Left || address == before.address;
        if !has_ended {
            if self.earlier_processes.len() < MAX_EARLIER_INCARNATIONS {
                self.earlier_processes.push(EarlierIncarnation {
                    incarnation: before.incarnation,
                    address: before.address,
                });
            } else {
                self.unlisted_earlier_count += 1;
            }
        }
        // This applies only to processes of the same name: the records of two names have no order,
        // so it is unknown which of two processes is the later one.
        self.earlier_processes
            .retain(|earlier| earlier.address != address);
        self.last_received_at = None;
    }
}

fn event_of_change(before: &MemberRecord, after: &MemberRecord) -> Option<MembershipEvent> {
    let name = Rc::clone(&after.name);
    let is_same_process = before.incarnation == after.incarnation;
    match (before.state, after.state) {
        (MemberState::Alive, MemberState::Alive) if is_same_process => None,
        (MemberState::Alive | MemberState::Left, MemberState::Alive) => {
            Some(MembershipEvent::Joined(name))
        }
        (_, MemberState::Alive) => Some(MembershipEvent::Recovered(name)),
        (before, after) if before == after => None,
        (_, MemberState::Suspected) => Some(MembershipEvent::Suspected(name)),
        (_, MemberState::Dead) => Some(MembershipEvent::Dead(name)),
        (_, MemberState::Left) => Some(MembershipEvent::Left(name)),
    }
}
