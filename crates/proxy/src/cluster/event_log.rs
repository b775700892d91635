//! Log lines of membership and lease events.

use std::rc::Rc;

use pinefront_cluster::leases::LeaseEvent;
use pinefront_cluster::membership::events::MembershipEvent;
use slog::{info, warn};

use super::lease_status::format_term;
use super::node::{ClusterNode, now};

impl ClusterNode {
    pub(super) fn log_lease_event(&self, event: &LeaseEvent) {
        let log = &self.log;
        match event {
            LeaseEvent::Acquired { lease, term, .. } => {
                info!(log, "lease acquired"; "lease" => &**lease, "term" => format_term(*term),
                    "at_us" => now());
            }
            LeaseEvent::Lost {
                lease,
                term,
                held_until,
                reason,
            } => {
                info!(log, "lease lost"; "lease" => &**lease, "term" => format_term(*term),
                    "until_us" => held_until, "reason" => reason.code());
            }
            LeaseEvent::QuorumLost => {
                warn!(log, "no majority of voters answers, leases are suspended");
            }
            LeaseEvent::QuorumRestored => info!(log, "a majority of voters answers"),
            LeaseEvent::VotersDiffer(name) => {
                warn!(log, "member has other voters in its file"; "member" => &**name);
            }
            // These events are not logged, only their effects.
            LeaseEvent::CommandReceived { .. } | LeaseEvent::NoteReceived { .. } => {}
        }
    }

    pub(super) fn log_membership_event(&self, event: &MembershipEvent) {
        let log = &self.log;
        match event {
            MembershipEvent::Joined(name) => self.log_member("member joined", name),
            MembershipEvent::Suspected(name) => self.log_member("member suspected", name),
            MembershipEvent::Recovered(name) => self.log_member("member recovered", name),
            MembershipEvent::Dead(name) => self.log_member("member dead, may still serve", name),
            MembershipEvent::Left(name) => self.log_member("member left", name),
            MembershipEvent::Refuted => info!(log, "refuted a suspicion of this member"),
            MembershipEvent::Paused(duration) => {
                warn!(log, "process was paused, suspects nobody until reachable";
                    "paused_ms" => duration / 1_000);
            }
            MembershipEvent::Reconnected => info!(log, "reachable again"),
            MembershipEvent::NameConflict => {
                warn!(log, "another process uses this member's name";
                    "member" => &self.settings.member.name);
            }
            MembershipEvent::ConfirmationRevoked(name) => {
                warn!(log, "member confirmed dead is alive, counted again"; "member" => &**name);
            }
            MembershipEvent::TableFull => warn!(log, "member table is full"),
        }
    }

    /// Logs a change of a member with the resulting counts, which include this balancer.
    fn log_member(&self, message: &'static str, name: &Rc<str>) {
        let table = &self.cluster.table;
        info!(self.log, "{}", message; "member" => &**name, "alive" => table.alive().count() + 1,
            "may_serve" => table.count_possibly_serving() + 1);
    }
}
