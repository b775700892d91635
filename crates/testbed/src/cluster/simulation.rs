//! A run of many members on one virtual clock, each with a clock of its own, in a simulated
//! network. One seed gives one run.

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

/// How often all views are checked.
const CHECK_INTERVAL_US: Micros = 250_000;
/// How many members are seeds in every configuration.
const SEEDS: usize = 3;
/// How many members vote on leases.
const VOTERS: usize = 3;
/// How many datagrams are recorded for replay.
const MAX_RECORDED_DATAGRAMS: usize = 256;
/// The longest time until a recorded datagram is replayed.
const MAX_REPLAY_DELAY: Micros = 3 * SECOND;
/// The last part of a run, whose traffic is counted apart.
pub const LATE_SPAN: Micros = 10 * SECOND;

/// Datagrams and bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub datagrams: u64,
    pub bytes: u64,
}

/// The results of one seed.
#[derive(Debug, Default)]
pub struct Outcome {
    pub violations: Vec<String>,
    pub seconds: f64,
    pub member_seconds: f64,
    pub sent: Traffic,
    /// What was sent in the last ten seconds, when start and, in most plans, faults are long over.
    pub late: Traffic,
    pub detected_ms: Vec<f64>,
    pub views_agree_after_ms: Option<f64>,
    pub wrong_suspicions: u64,
    pub leases: LeaseFindings,
    pub vacant_leases: usize,
    /// A hash of all that was sent in its order, equal for equal runs.
    pub trace: u64,
}

enum Event {
    Action(Action),
    Arrival { to: SocketAddr, bytes: Vec<u8> },
    WakeUp { member: usize, number: u64 },
    CheckViews,
    LateSpanBegins,
}

/// The time of an event; events of one time happen in the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    order: u64,
}

struct RecordedDatagram {
    to: SocketAddr,
    bytes: Vec<u8>,
}

pub(super) struct Simulation<'a> {
    pub(super) now: Micros,
    last_order: u64,
    queue: BTreeMap<EventKey, Event>,
    pub(super) processes: Vec<Process>,
    member_at: BTreeMap<SocketAddr, usize>,
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

/// Runs one seed.
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
        member_at: (0..members)
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
        let late_from = self.plan.ends_at.saturating_sub(LATE_SPAN);
        self.schedule(late_from, Event::LateSpanBegins);
        while let Some((key, event)) = self.queue.pop_first() {
            if key.at > self.plan.ends_at {
                break;
            }
            self.now = key.at;
            self.handle(event);
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
        let before_late = self.outcome.late;
        let seconds = self.now as f64 / SECOND as f64;
        Outcome {
            violations: self.checker.violations,
            seconds,
            member_seconds: seconds * self.processes.len() as f64,
            sent,
            late: Traffic {
                datagrams: sent.datagrams.saturating_sub(before_late.datagrams),
                bytes: sent.bytes.saturating_sub(before_late.bytes),
            },
            detected_ms: self.checker.detected_ms,
            views_agree_after_ms: self.checker.views_agree_after_ms,
            wrong_suspicions: self.checker.wrong_suspicions,
            ..self.outcome
        }
    }

    /// What the running processes have sent.
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

    fn handle(&mut self, event: Event) {
        match event {
            Event::LateSpanBegins => self.outcome.late = self.sent(),
            Event::Action(action) => self.act(action),
            Event::Arrival { to, bytes } => self.deliver(to, bytes),
            Event::WakeUp { member, number } => {
                let process = &self.processes[member];
                if process.wake_up == number && !process.is_paused {
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
        let Some(&member) = self.member_at.get(&to) else {
            return;
        };
        let process = &mut self.processes[member];
        if process.address != to || process.cluster.is_none() {
            return;
        }
        if process.is_paused {
            process.waiting.push_back(bytes);
            return;
        }
        self.receive(member, &bytes);
        self.process_output(member, false);
    }

    fn receive(&mut self, member: usize, bytes: &[u8]) {
        self.checker.datagram_arrived(member, bytes);
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

    fn act(&mut self, action: Action) {
        match action {
            Action::Start { member } => self.start(member, member),
            Action::StartAt { member, address } => self.start(member, address),
            Action::Kill { member } => {
                let process = &mut self.processes[member];
                process.cluster = None;
                process.waiting.clear();
                self.checker.killed(self.now, member);
                self.lease_history.process_ended(self.now, member);
            }
            Action::Leave { member } => {
                self.checker.left(self.now, member);
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
        let waiting = std::mem::take(&mut process.waiting);
        // Whether expired timers or waiting datagrams come first is up to the event loop.
        if self.random.happens(0.5) && self.processes[member].cluster.is_some() {
            self.run_timers(member);
            let events = self.take_events(member);
            self.check_events(member, &events, true);
        }
        for bytes in waiting {
            self.receive(member, &bytes);
        }
        self.run_timers(member);
        self.process_output(member, true);
    }

    fn start(&mut self, member: usize, address: usize) {
        let now = self.now;
        let process = &mut self.processes[member];
        process.starts += 1;
        process.address = member_address(address);
        process.is_paused = false;
        process.waiting.clear();
        let stream = member as u64 * 1_000 + process.starts;
        let mut random = RandomSource::split(self.seed, "process", stream);
        // Clocks of machines differ by seconds, and one may have been set back before a restart.
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
        self.member_at.insert(process.address, member);
        let incarnation = process.incarnation;
        self.checker.started(now, member, incarnation);
        self.process_output(member, false);
    }

    /// Sends and checks what a process has made, and schedules its next wake-up.
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
        process.wake_up += 1;
        let number = process.wake_up;
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
            self.outcome.trace = hash_bytes(self.outcome.trace, &bytes);
            let Some(&other) = self.member_at.get(&to) else {
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

    /// Records a datagram, and schedules a recorded one to arrive again.
    fn record_and_replay(&mut self, to: SocketAddr, bytes: &[u8]) {
        let bytes = bytes.to_vec();
        self.recorded.push_back(RecordedDatagram { to, bytes });
        if self.recorded.len() > MAX_RECORDED_DATAGRAMS {
            self.recorded.pop_front();
        }
        let index = self.random.below(self.recorded.len());
        let RecordedDatagram { to, bytes } = &self.recorded[index];
        let (to, bytes) = (*to, bytes.clone());
        let at = self.now + self.random.duration_below(MAX_REPLAY_DELAY);
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

/// Continues an FNV-1a hash.
fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
