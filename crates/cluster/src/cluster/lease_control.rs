//! The connection between membership and the lease manager.

use std::rc::Rc;

use super::Cluster;
use crate::Micros;
use crate::leases::assignment::Candidate;
use crate::leases::term::LeaseId;
use crate::leases::{AddressedMessage, Lease, LeaseConfig, LeaseEvent, LeaseManager};
use crate::messages::{MemberRecord, Message};
use crate::timers::Timer;

impl Cluster {
    /// Requests the given leases from now on, and votes if this member is a voter. With a changed
    /// configuration this process becomes a new voter, which grants nothing at first.
    pub fn configure_leases(&mut self, now: Micros, config: LeaseConfig, leases: Vec<Lease>) {
        self.now = self.now.max(now);
        let is_current = self
            .lease_manager
            .as_ref()
            .is_some_and(|current| *current.config() == config && !current.is_stopping());
        if !is_current {
            self.disable_leases(now);
            self.replace_leases(config);
        }
        if let Some(current) = &mut self.lease_manager {
            current.set_leases(self.now, leases);
        }
        self.send_lease_messages();
    }

    fn replace_leases(&mut self, config: LeaseConfig) {
        let wall_clock_offset_ms =
            (self.config.started_at_us / 1_000).saturating_sub(self.started_at / 1_000);
        let own_name = Rc::clone(&self.table.own_record.name);
        let own_incarnation_id = self.incarnation.random_id;
        let new = LeaseManager::new(
            self.now,
            config,
            own_name,
            own_incarnation_id,
            wall_clock_offset_ms,
        );
        self.lease_manager = Some(match &self.lease_manager {
            Some(before) => new.with_numbering_of(before),
            None => new,
        });
    }

    /// Releases all leases and requests none from now on.
    pub fn disable_leases(&mut self, now: Micros) {
        self.now = self.now.max(now);
        if let Some(leases) = &mut self.lease_manager {
            leases.stop(self.now);
            leases.set_leases(self.now, Vec::new());
        }
        self.send_lease_messages();
    }

    /// The lease manager, if leases have been configured.
    pub fn lease_manager(&self) -> Option<&LeaseManager> {
        self.lease_manager.as_ref()
    }

    /// Removes and returns the lease events since the last call.
    pub fn take_lease_events(&mut self) -> Vec<LeaseEvent> {
        self.lease_manager
            .as_mut()
            .map(LeaseManager::take_events)
            .unwrap_or_default()
    }

    /// Sends a command under a lease if this member holds the lease for at least `required` longer.
    /// Returns whether the command was sent.
    pub fn send_command(
        &mut self,
        now: Micros,
        lease: LeaseId,
        to: &Rc<str>,
        required: Micros,
        body: Vec<u8>,
    ) -> bool {
        self.now = self.now.max(now);
        let is_sent = self
            .lease_manager
            .as_mut()
            .is_some_and(|leases| leases.send_command(now, lease, to, required, body));
        self.send_lease_messages();
        is_sent
    }

    /// Sends a note about a lease to a member, whether this member holds the lease or not.
    pub fn send_lease_note(&mut self, now: Micros, lease: LeaseId, to: &Rc<str>, body: Vec<u8>) {
        self.now = self.now.max(now);
        if let Some(leases) = &mut self.lease_manager {
            leases.send_note(lease, to, body);
        }
        self.send_lease_messages();
    }

    /// Runs the lease manager's timers with the members that are alive.
    pub(super) fn run_lease_timers(&mut self) {
        let candidate = |record: &MemberRecord| Candidate {
            name: Rc::clone(&record.name),
            zone: Rc::clone(&record.zone),
        };
        let others = self.table.alive().map(|member| &member.record);
        let alive: Vec<Candidate> = [&self.table.own_record]
            .into_iter()
            .chain(others)
            .map(candidate)
            .collect();
        let can_request = self.is_reachable() && self.now >= self.send_disabled_until;
        if let Some(leases) = &mut self.lease_manager {
            leases.run_timers(self.now, &alive, can_request);
        }
        self.send_lease_messages();
    }

    /// Sends the lease manager's messages and schedules its next timer.
    pub(super) fn send_lease_messages(&mut self) {
        let Some(leases) = &mut self.lease_manager else {
            return;
        };
        let messages = leases.take_messages();
        let next_timer = leases.next_timer().max(self.now + 1);
        for AddressedMessage { to, message } in messages {
            if let Some(index) = self.table.index(&to) {
                self.send_to_member(index, Message::Lease(message));
            }
        }
        if next_timer < self.lease_timer_at || self.lease_timer_at <= self.now {
            self.lease_timer_at = next_timer;
            self.timers.schedule(next_timer, Timer::LeaseManager);
        }
    }
}
