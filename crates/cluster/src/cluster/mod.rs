//! One member of a fleet: its public operations and its state.
//!
//! Datagrams are handled in `receive`, probes in `probing`, suspicions in `suspicions`, periodic
//! messages in `gossip`, sending in `send`, and the lease manager is connected in `lease_control`.

mod gossip;
mod lease_control;
mod probing;
mod receive;
mod send;
mod suspicions;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use nanorand::{Rng, WyRand};

use crate::Micros;
use crate::config::MemberConfig;
use crate::datagram::{DropReason, Key, ReplayFilter};
use crate::fault_injection::InjectedFault;
use crate::incarnation::Incarnation;
use crate::leases::LeaseManager;
use crate::membership::dissemination::Dissemination;
use crate::membership::events::MembershipEvent;
use crate::membership::failure_detector::FailureDetector;
use crate::membership::table::MemberTable;
use crate::messages::{MemberRecord, MemberState, Message};
use crate::timers::{Timer, Timers};

/// A timer that runs later than this shows that the process was paused or starved, and that the
/// replies it waits for may still be unread in its socket.
const PAUSE_THRESHOLD_US: Micros = 300_000;
/// The number of members to which a leaving member announces it. They disseminate it to the others.
const LEAVE_FANOUT: usize = 12;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The sealed bytes.
    pub bytes: Vec<u8>,
}

/// Counters of datagrams since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct TrafficCounters {
    /// The number of datagrams sent.
    pub sent: u64,
    /// The number of bytes in the datagrams sent.
    pub sent_bytes: u64,
    /// The number of datagrams accepted.
    pub accepted: u64,
    /// The number of datagrams and records rejected, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

/// The state of one member.
pub struct Cluster {
    config: MemberConfig,
    key: Key,
    incarnation: Incarnation,
    rng: WyRand,
    /// The table of members.
    pub table: MemberTable,
    failure_detector: FailureDetector,
    dissemination: Dissemination,
    timers: Timers,
    replay_filter: ReplayFilter,
    started_at: Micros,
    sequence_number: u64,
    outgoing: Vec<OutgoingDatagram>,
    traffic: TrafficCounters,
    /// The latest time that the caller passed in.
    now: Micros,
    /// Set after a pause of this process: no member is suspected until there is a reply to a probe
    /// with this number or a later one.
    min_confirming_probe: Option<u32>,
    pause_count: u64,
    /// The index in the table of the last record considered for a part.
    sync_cursor: usize,
    /// The lease manager, if leases are configured.
    lease_manager: Option<LeaseManager>,
    /// The time for which the lease manager's timer is scheduled.
    lease_timer_at: Micros,
    /// The time of the last reply by `reply_to_old_incarnation` to each sender, by name.
    old_incarnation_replies: BTreeMap<String, Micros>,
    /// No datagram is sent before this time, because an earlier-started process has the same name.
    send_disabled_until: Micros,
}

impl Cluster {
    /// Creates a member at local time `now`. `seed` determines all random choices of the member.
    pub fn new(config: MemberConfig, key: Key, seed: u64, now: Micros) -> Self {
        let mut rng = WyRand::new_seed(seed);
        let incarnation = Incarnation {
            started_at_us: config.started_at_us,
            random_id: rng.generate::<u64>().max(1),
        };
        let own =
            MemberRecord::for_new_process(&config.name, &config.zone, config.address, incarnation);
        let mut table = MemberTable::new(own);
        table.set_confirmed_dead(&config.confirmed_dead);
        let mut cluster = Self {
            config,
            key,
            incarnation,
            rng,
            table,
            failure_detector: FailureDetector::default(),
            dissemination: Dissemination::default(),
            timers: Timers::default(),
            replay_filter: ReplayFilter::default(),
            started_at: now,
            sequence_number: 0,
            outgoing: Vec::new(),
            traffic: TrafficCounters::default(),
            now,
            min_confirming_probe: None,
            pause_count: 0,
            sync_cursor: 0,
            lease_manager: None,
            lease_timer_at: Micros::MAX,
            old_incarnation_replies: BTreeMap::new(),
            send_disabled_until: 0,
        };
        cluster.schedule_first_timers();
        cluster
    }

    /// Schedules the periodic timers at random times within their intervals, so that members that
    /// start together do not send at the same time.
    fn schedule_first_timers(&mut self) {
        for (interval, timer) in [
            (self.config.probe_interval, Timer::ProbeRound),
            (gossip::GOSSIP_INTERVAL_US, Timer::Gossip),
            (gossip::SYNC_INTERVAL_US, Timer::TableSync),
            (0, Timer::Seeds),
            (gossip::DEAD_PROBE_INTERVAL_US, Timer::DeadProbe),
        ] {
            let delay = self.rng.generate_range(0..=interval);
            self.timers.schedule(self.now + delay, timer);
        }
    }

    /// Injects a fault to verify that a check detects it.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: InjectedFault) {
        self.table.injected_fault = Some(fault);
        self.replay_filter.accepts_replays = fault == InjectedFault::AcceptsReplays;
    }

    /// The identity of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Counters of datagrams since the start of the process.
    pub fn traffic(&self) -> &TrafficCounters {
        &self.traffic
    }

    /// Whether a member has replied since the last pause of this process. Until then this process
    /// cannot determine which members are alive.
    pub fn is_reachable(&self) -> bool {
        self.min_confirming_probe.is_none()
    }

    /// The number of times that this process was paused.
    pub fn pause_count(&self) -> u64 {
        self.pause_count
    }

    /// The latest time at which [`Cluster::run_timers`] must be called.
    pub fn next_timer(&self) -> Micros {
        self.timers.next().unwrap_or(Micros::MAX)
    }

    /// Removes and returns the datagrams to send.
    pub fn take_datagrams(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Removes and returns the membership events since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.table.events)
    }

    /// Receives a datagram.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) {
        self.advance_time(now);
        if let Err(reason) = self.receive_datagram(bytes) {
            self.count_dropped(reason);
        }
    }

    /// Runs the timers that have expired.
    pub fn run_timers(&mut self, now: Micros) {
        self.advance_time(now);
        while let Some(timer) = self.timers.take_expired(self.now) {
            self.run_timer(timer);
        }
    }

    fn run_timer(&mut self, timer: Timer) {
        match timer {
            Timer::ProbeRound => self.end_probe_round(),
            Timer::ProbeRetry => self.retry_probe(),
            Timer::RelayedProbe(number) => self.report_relayed_probe(number, false),
            Timer::Suspicion(name) => self.expire_suspicion(&name),
            Timer::Gossip => self.gossip(),
            Timer::TableSync => self.sync_table(),
            Timer::DeadProbe => self.probe_dead_member(),
            Timer::Seeds => self.contact_seed(),
            // A timer that was replaced by one with an earlier time has no effect.
            Timer::LeaseManager if self.now >= self.lease_timer_at => self.run_lease_timers(),
            Timer::LeaseManager => {}
        }
    }

    /// Advances the time, and detects whether the process did not run in the meantime.
    fn advance_time(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let late = self.now.saturating_sub(self.next_timer());
        if late > PAUSE_THRESHOLD_US {
            self.timers.reschedule_missed(self.now);
            self.record_pause(now, late);
        }
    }

    /// Records that the process did not run for `duration`. The caller may detect a pause by other
    /// means, too.
    pub fn record_pause(&mut self, now: Micros, duration: Micros) {
        self.now = self.now.max(now);
        if self.table.has_fault(InjectedFault::PauseUndetected) {
            return;
        }
        self.pause_count += 1;
        self.table.events.push(MembershipEvent::Paused(duration));
        // Only a reply to a probe sent from now on shows that other members receive this one: older
        // replies waited in the socket.
        self.min_confirming_probe = Some(self.failure_detector.last_number.wrapping_add(1));
        self.failure_detector.current_probe = None;
        self.failure_detector.increase_health_penalty();
        self.restart_suspicions();
        if let Some(leases) = &mut self.lease_manager {
            leases.record_pause(self.now);
        }
        self.send_lease_messages();
    }

    /// Applies the seeds, intervals, confirmations and key of a new configuration. The identity of
    /// the member does not change.
    pub fn update_config(&mut self, config: &MemberConfig, key: Key) {
        self.key = key;
        self.config.seeds.clone_from(&config.seeds);
        self.config.probe_interval = config.probe_interval;
        self.config.probe_timeout = config.probe_timeout;
        self.config.min_suspicion = config.min_suspicion;
        self.table.set_confirmed_dead(&config.confirmed_dead);
    }

    /// Announces that this process has stopped serving, and releases its leases.
    pub fn leave(&mut self, now: Micros) {
        self.now = self.now.max(now);
        if self.table.own_record.state == MemberState::Left {
            return;
        }
        if let Some(leases) = &mut self.lease_manager {
            leases.stop(self.now);
        }
        self.send_lease_messages();
        self.table.own_record.state = MemberState::Left;
        if self.table.has_fault(InjectedFault::LeavesUnannounced) {
            return;
        }
        let has_not_left = |state: MemberState| state != MemberState::Left;
        for index in self.random_members(LEAVE_FANOUT, |member| has_not_left(member.record.state)) {
            self.send_to_member(index, Message::Gossip);
        }
    }

    /// Counts a rejected datagram or record, and returns the new count for the reason.
    fn count_dropped(&mut self, reason: DropReason) -> u64 {
        let count = self.traffic.dropped.entry(reason).or_default();
        *count += 1;
        *count
    }
}

#[cfg(test)]
mod tests;
