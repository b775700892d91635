//! A run of many members on one virtual clock in a simulated network. Each member also has its own
//! clock with an error in its rate. The same seed always gives the same run.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use pinefront_cluster::datagram::Key;
use pinefront_cluster::leases::{DEFAULT_LEASE_DURATION_US, Lease, LeaseConfig};
use pinefront_cluster::membership::events::MembershipEvent;
use pinefront_cluster::{Cluster, MemberConfig, OutgoingDatagram};
use pinefront_model::lease_history::{LeaseFindings, LeaseHistory};
use pinefront_model::random::RandomSource;
use pinefront_model::{Micros, SECOND};

use super::Options;
use super::checker::Checker;
use super::fault_plan::{Action, FaultPlan};
use super::process::{Process, member_address, member_name};

/// Interval between two checks of all views, in µs.
const CHECK_INTERVAL_US: Micros = 250_000;
/// The number of members that serve as seeds in the configuration of every member.
const SEEDS: usize = 3;
/// The number of members that vote on leases.
const VOTERS: usize = 3;
/// The largest number of datagrams that are recorded for replay.
const MAX_RECORDED_DATAGRAMS: usize = 256;
/// The longest delay until a recorded datagram is replayed, in µs.
const MAX_REPLAY_DELAY_US: Micros = 3 * SECOND;
/// Length of the last part of a run, whose traffic is counted separately, in µs.
pub const LATE_SPAN_US: Micros = 10 * SECOND;

/// Numbers of datagrams and of bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub datagrams: u64,
    pub bytes: u64,
}

/// The results of the run of one seed.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Descriptions of the violations.
    pub violations: Vec<String>,
    /// Virtual duration of the run.
    pub seconds: f64,
    /// Virtual duration of the run times the number of members.
    pub member_seconds: f64,
    /// The traffic that the processes running at the end of the run have sent.
    pub sent: Traffic,
    /// The part of `sent` in the last ten seconds, long after the start and, in most plans, after
    /// the end of all faults.
    pub late: Traffic,
    /// Times from the crash of a process until each other member detected it, in milliseconds.
    pub detection_times_ms: Vec<f64>,
    /// Time from the end of the last fault until all views agreed, in milliseconds.
    pub views_agree_after_ms: Option<f64>,
    /// Number of versions of members that were suspected while their process ran and was not
    /// paused.
    pub wrong_suspicions: u64,
    /// The findings on the history of the leases.
    pub leases: LeaseFindings,
    /// The number of leases without a holder at the end.
    pub vacant_leases: usize,
    /// A hash of all sent datagrams in order, which is equal for equal runs.
    pub trace_hash: u64,
}

/// An event of a simulation.
enum Event {
    Action(Action),
    Arrival { to: SocketAddr, bytes: Vec<u8> },
    WakeUp { member: usize, number: u64 },
    CheckViews,
    LateSpanStarted,
}

/// The order of events: by time, and at the same time in the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    order: u64,
}

/// A datagram that was recorded for replay.
struct RecordedDatagram {
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// The state of a run.
pub(super) struct Simulation<'a> {
    pub(super) now: Micros,
    last_order: u64,
    queue: BTreeMap<EventKey, Event>,
    pub(super) processes: Vec<Process>,
    member_by_address: BTreeMap<SocketAddr, usize>,
    pub(super) plan: FaultPlan,
    random: RandomSource,
    key: Key,
    seed: u64,
    options: &'a Options,
    pub(super) checker: Checker,
    leases: Vec<Lease>,
    pub(super) lease_history: LeaseHistory,
    recorded: VecDeque<RecordedDatagram>,
    pub(super) outcome: Outcome,
}

/// Runs one seed and returns its results.
pub fn run(seed: u64, options: &Options) -> Outcome {
    let members = options.members;
    let plan = FaultPlan::draw(seed, members, options.kind, options.loss);
    let mut random = RandomSource::split(seed, "clockwork", 0);
    let processes = (0..members)
        .map(|member| Process::new(member, &mut random))
        .collect();
    let Ok(key) = Key::new(b"a key for the virtual clock") else {
        return Outcome::default();
    };
    let simulation = Simulation {
        now: 0,
        last_order: 0,
        queue: BTreeMap::new(),
        processes,
        member_by_address: (0..members)
            .map(|member| (member_address(member), member))
            .collect(),
        checker: Checker::new(members, &plan),
        plan,
        random,
        key,
        seed,
        options,
        leases: (0..options.leases)
            .map(|number| Lease::new(&format!("duty-{number}"), None))
            .collect(),
        lease_history: LeaseHistory::default(),
        recorded: VecDeque::new(),
        outcome: Outcome::default(),
    };
    simulation.run()
}

impl Simulation<'_> {
    /// Adds an event to the queue.
    fn schedule(&mut self, at: Micros, event: Event) {
        self.last_order += 1;
        let order = self.last_order;
        self.queue.insert(EventKey { at, order }, event);
    }

    fn run(mut self) -> Outcome {
        for scheduled in self.plan.actions.clone() {
            self.schedule(scheduled.at, Event::Action(scheduled.action));
        }
        self.schedule(CHECK_INTERVAL_US, Event::CheckViews);
        let late_from = self.plan.ends_at.saturating_sub(LATE_SPAN_US);
        self.schedule(late_from, Event::LateSpanStarted);
        while let Some((key, event)) = self.queue.pop_first() {
            if key.at > self.plan.ends_at {
                break;
            }
            self.now = key.at;
            self.handle_event(event);
            if !self.checker.violations.is_empty() {
                break;
            }
        }
        self.checker.finish(self.now, &self.processes);
        self.finish_leases();
        self.into_outcome()
    }

    fn into_outcome(self) -> Outcome {
        let sent = self.sent();
        let sent_before_late_span = self.outcome.late;
        let seconds = self.now as f64 / SECOND as f64;
        Outcome {
            violations: self.checker.violations,
            seconds,
            member_seconds: seconds * self.processes.len() as f64,
            sent,
            late: Traffic {
                datagrams: sent
                    .datagrams
                    .saturating_sub(sent_before_late_span.datagrams),
                bytes: sent.bytes.saturating_sub(sent_before_late_span.bytes),
            },
            detection_times_ms: self.checker.detection_times_ms,
            views_agree_after_ms: self.checker.views_agree_after_ms,
            wrong_suspicions: self.checker.wrong_suspicions,
            ..self.outcome
        }
    }

    /// Returns the traffic that the running processes have sent since they started.
    fn sent(&self) -> Traffic {
        let running = self
            .processes
            .iter()
            .filter_map(|process| process.cluster.as_ref());
        running.fold(Traffic::default(), |sum, cluster| Traffic {
            datagrams: sum.datagrams + cluster.traffic().sent,
            bytes: sum.bytes + cluster.traffic().sent_bytes,
        })
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::LateSpanStarted => self.outcome.late = self.sent(),
            Event::Action(action) => self.apply_action(action),
            Event::Arrival { to, bytes } => self.deliver(to, bytes),
            Event::WakeUp { member, number } => {
                let process = &self.processes[member];
                if process.last_wake_up == number && !process.is_paused {
                    self.run_timers(member);
                    self.process_output(member, false);
                }
            }
            Event::CheckViews => {
                self.schedule(self.now + CHECK_INTERVAL_US, Event::CheckViews);
                self.checker.check_views(self.now, &self.processes);
            }
        }
    }

    fn deliver(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        let Some(&member) = self.member_by_address.get(&to) else {
            return;
        };
        let process = &mut self.processes[member];
        if process.address != to || process.cluster.is_none() {
            return;
        }
        if process.is_paused {
            process.buffered_datagrams.push_back(bytes);
            return;
        }
        self.receive(member, &bytes);
        self.process_output(member, false);
    }

    fn receive(&mut self, member: usize, bytes: &[u8]) {
        self.checker.record_arrival(member, bytes);
        let process = &mut self.processes[member];
        let local = process.local_time(self.now);
        if let Some(cluster) = &mut process.cluster {
            cluster.receive(local, bytes);
        }
    }

    fn run_timers(&mut self, member: usize) {
        let process = &mut self.processes[member];
        let local = process.local_time(self.now);
        if let Some(cluster) = &mut process.cluster {
            cluster.run_timers(local);
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Start { member } => self.start(member, member),
            Action::StartAt { member, address } => self.start(member, address),
            Action::Kill { member } => {
                let process = &mut self.processes[member];
                process.cluster = None;
                process.buffered_datagrams.clear();
                self.checker.record_kill(self.now, member);
                self.lease_history.process_ended(self.now, member);
            }
            Action::Leave { member } => {
                self.checker.record_leave(self.now, member);
                let process = &mut self.processes[member];
                let local = process.local_time(self.now);
                if let Some(cluster) = &mut process.cluster {
                    cluster.leave(local);
                }
                self.send(member);
                self.record_lease_events(member);
                self.processes[member].cluster = None;
            }
            Action::Pause { member } => self.processes[member].is_paused = true,
            Action::Resume { member } => self.resume(member),
        }
    }

    fn resume(&mut self, member: usize) {
        let process = &mut self.processes[member];
        process.is_paused = false;
        let buffered = std::mem::take(&mut process.buffered_datagrams);
        // The event loop of a real process may handle expired timers before or after the datagrams
        // that arrived during the pause.
        if self.random.happens(0.5) && self.processes[member].cluster.is_some() {
            self.run_timers(member);
            let events = self.take_events(member);
            self.check_events(member, &events, true);
        }
        for bytes in buffered {
            self.receive(member, &bytes);
        }
        self.run_timers(member);
        self.process_output(member, true);
    }

    fn start(&mut self, member: usize, address: usize) {
        let now = self.now;
        let process = &mut self.processes[member];
        process.start_count += 1;
        process.address = member_address(address);
        process.is_paused = false;
        process.buffered_datagrams.clear();
        let stream = member as u64 * 1_000 + process.start_count;
        let mut random = RandomSource::split(self.seed, "process", stream);
        // The clocks of machines differ by seconds, and a clock may have been set back before a
        // restart.
        let started_at_us = 1_000 * SECOND + now + random.duration_below(4 * SECOND);
        let config = member_config(member, process.address, started_at_us);
        let local = process.local_time(now);
        #[cfg_attr(not(any(test, feature = "planted")), allow(unused_mut))]
        let mut cluster = Cluster::new(config, self.key.clone(), random.next_u64(), local);
        if let Some(_fault) = self.options.injected_fault {
            #[cfg(any(test, feature = "planted"))]
            cluster.inject_fault(_fault);
        }
        if !self.leases.is_empty() {
            let config = LeaseConfig {
                voters: (0..VOTERS).map(|voter| member_name(voter).into()).collect(),
                duration: DEFAULT_LEASE_DURATION_US,
            };
            cluster.configure_leases(local, config, self.leases.clone());
        }
        process.incarnation = Some(cluster.incarnation());
        process.cluster = Some(cluster);
        self.member_by_address.insert(process.address, member);
        let incarnation = process.incarnation;
        self.checker.record_start(now, member, incarnation);
        self.process_output(member, false);
    }

    /// Sends the datagrams of a process, checks its events and schedules its next wake-up.
    fn process_output(&mut self, member: usize, has_resumed: bool) {
        self.send(member);
        self.record_lease_events(member);
        let process = &mut self.processes[member];
        let Some(cluster) = &mut process.cluster else {
            return;
        };
        let events = cluster.take_events();
        let next_timer = cluster.next_timer();
        let wake_up_at = process.true_time(next_timer).max(self.now + 1);
        process.last_wake_up += 1;
        let number = process.last_wake_up;
        self.schedule(wake_up_at, Event::WakeUp { member, number });
        self.check_events(member, &events, has_resumed);
    }

    fn take_events(&mut self, member: usize) -> Vec<MembershipEvent> {
        self.processes[member]
            .cluster
            .as_mut()
            .map(Cluster::take_events)
            .unwrap_or_default()
    }

    fn check_events(&mut self, member: usize, events: &[MembershipEvent], has_resumed: bool) {
        self.checker
            .check_events(self.now, member, events, has_resumed, &self.processes);
    }

    fn send(&mut self, member: usize) {
        let Some(cluster) = &mut self.processes[member].cluster else {
            return;
        };
        for OutgoingDatagram { to, mut bytes } in cluster.take_datagrams() {
            self.outcome.trace_hash = hash_bytes(self.outcome.trace_hash, &bytes);
            let Some(&other) = self.member_by_address.get(&to) else {
                continue;
            };
            let transmission = self
                .plan
                .links
                .transmit(member, other, self.now, &mut self.random);
            if self.random.happens(self.plan.replay_probability) {
                self.record_and_replay(to, &bytes);
            }
            transmission.corrupt(&mut bytes);
            for delay in transmission.copies {
                let bytes = bytes.clone();
                self.schedule(self.now + delay, Event::Arrival { to, bytes });
            }
        }
    }

    /// Records a datagram, and schedules a second arrival of a random recorded datagram.
    fn record_and_replay(&mut self, to: SocketAddr, bytes: &[u8]) {
        let bytes = bytes.to_vec();
        self.recorded.push_back(RecordedDatagram { to, bytes });
        if self.recorded.len() > MAX_RECORDED_DATAGRAMS {
            self.recorded.pop_front();
        }
        let index = self.random.below(self.recorded.len());
        let RecordedDatagram { to, bytes } = &self.recorded[index];
        let (to, bytes) = (*to, bytes.clone());
        let at = self.now + self.random.duration_below(MAX_REPLAY_DELAY_US);
        self.schedule(at, Event::Arrival { to, bytes });
    }
}

fn member_config(member: usize, address: SocketAddr, started_at_us: u64) -> MemberConfig {
    MemberConfig {
        fleet: "f".into(),
        name: member_name(member),
        zone: ["a", "b", "c"][member % 3].into(),
        address,
        seeds: (0..SEEDS).map(member_address).collect(),
        started_at_us,
        probe_interval: MemberConfig::DEFAULT_PROBE_INTERVAL,
        probe_timeout: MemberConfig::DEFAULT_PROBE_TIMEOUT,
        min_suspicion: MemberConfig::DEFAULT_MIN_SUSPICION,
        confirmed_dead: BTreeSet::default(),
    }
}

/// Extends an FNV-1a hash by the given bytes.
fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
