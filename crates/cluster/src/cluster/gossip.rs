//! Periodic messages: gossip, anti-entropy of the member table, probes of dead members, and seeds.

use std::net::SocketAddr;
use std::rc::Rc;

use nanorand::Rng;

use super::Cluster;
use crate::Micros;
use crate::messages::{MemberState, Message};
use crate::timers::Timer;

/// The interval at which changed records are sent.
pub(super) const GOSSIP_INTERVAL_US: Micros = 100_000;
/// The number of members to which changed records are sent at each interval.
const GOSSIP_FANOUT: usize = 3;
/// The interval at which a part of the table is sent to a member, so that records arrive eventually
/// even if all datagrams with them were lost.
pub(super) const SYNC_INTERVAL_US: Micros = 1_000_000;
/// The interval at which a dead member is probed, so that the sides of a network partition rejoin
/// after it.
pub(super) const DEAD_PROBE_INTERVAL_US: Micros = 500_000;
/// The shortest interval at which a seed is contacted while no other member is alive.
const SEED_INTERVAL_ALONE_US: Micros = 300_000;
/// The shortest interval at which a seed is contacted while a seed is not among the alive members.
const SEED_INTERVAL_US: Micros = 2_000_000;

impl Cluster {
    /// Sends changed records to random members that are alive or suspected.
    pub(super) fn gossip(&mut self) {
        self.timers
            .schedule(self.now + GOSSIP_INTERVAL_US, Timer::Gossip);
        if self.dissemination.is_empty() {
            return;
        }
        let receivers = self.random_members(GOSSIP_FANOUT, |member| {
            member.record.state < MemberState::Dead
        });
        for index in receivers {
            self.send_to_member(index, Message::Gossip);
        }
    }

    /// Exchanges a part of the table with a random member that is alive.
    pub(super) fn sync_table(&mut self) {
        self.timers
            .schedule(self.now + SYNC_INTERVAL_US, Timer::TableSync);
        let receivers = self.random_members(1, |member| member.record.state == MemberState::Alive);
        for index in receivers {
            self.send_table_part(index, true);
        }
    }

    /// Probes a random dead member.
    pub(super) fn probe_dead_member(&mut self) {
        self.timers
            .schedule(self.now + DEAD_PROBE_INTERVAL_US, Timer::DeadProbe);
        let receivers = self.random_members(1, |member| member.record.state == MemberState::Dead);
        for index in receivers {
            let record = self.table.members[index].record.clone();
            let number = self.failure_detector.next_number();
            let target = Some(Rc::clone(&record.name));
            let probe = Message::Probe { number, target };
            self.send(record.address, probe, vec![record]);
        }
    }

    /// Probes a random seed that is not among the alive members. This is how members find each
    /// other at the start, and after a partition whose other side is no longer in the table.
    pub(super) fn contact_seed(&mut self) {
        let is_alone = self.table.alive().next().is_none();
        let interval = if is_alone {
            SEED_INTERVAL_ALONE_US
        } else {
            SEED_INTERVAL_US
        };
        let delay = interval + self.rng.generate_range(0..=interval / 2);
        self.timers.schedule(self.now + delay, Timer::Seeds);
        let seeds: Vec<SocketAddr> = self
            .config
            .seeds
            .iter()
            .filter(|seed| !self.is_alive_seed(seed))
            .copied()
            .collect();
        if seeds.is_empty() {
            return;
        }
        let seed = seeds[self.rng.generate_range(0..seeds.len())];
        let probe = Message::Probe {
            number: self.failure_detector.next_number(),
            target: None,
        };
        self.send(seed, probe, Vec::new());
    }

    fn is_alive_seed(&self, seed: &SocketAddr) -> bool {
        *seed == self.config.address
            || self
                .table
                .alive()
                .any(|member| member.record.address == *seed)
    }
}
