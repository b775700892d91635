//! Many accords on one virtual clock: each with a clock of its own that runs up to 1 % fast or slow, and a network that
//! does to datagrams what the scenario says. One seed, one run.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use pinefront_cluster::datagram::Key;
use pinefront_cluster::leases::{DEFAULT_LEASE_US, Lease, LeaseConfig, LeaseEvent, LossReason};
use pinefront_cluster::membership::events::MembershipEvent;
use pinefront_cluster::{Cluster, Incarnation, InjectedFault, MemberConfig, OutgoingDatagram};
use pinefront_model::lease_history::{Held, LeaseHistory};
use pinefront_model::random::RandomSource;
use pinefront_model::{Micros, SECOND};

use super::Wish;
use super::checker::Judge;
use super::scenario::{Deed, Scenario};

/// How far clock rates lie apart, as a part of 1 to either side.
const RATES_APART: f64 = 0.01;
/// How often all views are looked at.
const LOOKS_EVERY: Micros = 250_000;
/// Members that all others know from their files.
const SEEDS: usize = 3;
/// Members that vote on duties: the first.
const VOTERS: usize = 3;
const SENT_KEPT: usize = 256;
/// The last part of a run.
pub const LATE: Micros = 10 * SECOND;

/// What one seed came to.
#[derive(Debug, Default)]
pub struct Played {
    pub broken: Vec<String>,
    pub seconds: f64,
    pub member_seconds: f64,
    pub sent: u64,
    pub sent_bytes: u64,
    /// The same in the last ten seconds, when the start and, in most scenarios, the faults are long over.
    pub late: (u64, u64),
    pub detected_ms: Vec<f64>,
    pub one_view_ms: Option<f64>,
    pub wrong_doubts: u64,
    /// Who held which duty, where there were any.
    pub leases: Held,
    pub vacant: usize,
    /// Of all that was sent, in its order: equal for equal runs.
    pub trace: u64,
}

enum What {
    Deed(Deed),
    Comes {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Wakes {
        member: usize,
        turn: u64,
    },
    Look,
    /// The last span begins, whose traffic is counted apart.
    Late,
}

/// One process of a member, or the place where the next one will run.
pub struct Process {
    pub cluster: Option<Cluster>,
    pub address: SocketAddr,
    pub incarnation: Option<Incarnation>,
    pub stopped: bool,
    waiting: VecDeque<Vec<u8>>,
    /// Local time at the start of the run, and how fast it runs.
    began: Micros,
    rate: f64,
    turn: u64,
    starts: u64,
}

impl Process {
    fn local(&self, now: Micros) -> Micros {
        self.began + (now as f64 * self.rate) as Micros
    }

    fn global(&self, local: Micros) -> Micros {
        (local.saturating_sub(self.began) as f64 / self.rate).ceil() as Micros
    }
}

pub fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8 + 1], 7_000))
}

pub fn name(member: usize) -> String {
    format!("b{member}")
}

struct Run {
    now: Micros,
    order: u64,
    queue: BTreeMap<(Micros, u64), What>,
    processes: Vec<Process>,
    at_address: BTreeMap<SocketAddr, usize>,
    scenario: Scenario,
    chance: RandomSource,
    key: Key,
    seed: u64,
    injected_fault: Option<InjectedFault>,
    judge: Judge,
    leases: Vec<Lease>,
    lease_history: LeaseHistory,
    /// Datagrams that somebody listened to, to be sent again.
    listened: VecDeque<(SocketAddr, Vec<u8>)>,
    played: Played,
}

pub fn play(seed: u64, wish: &Wish) -> Played {
    let (members, injected_fault) = (wish.members, wish.injected_fault);
    let scenario = Scenario::draw(seed, members, wish.kind, wish.loss);
    let mut chance = RandomSource::split(seed, "clockwork", 0);
    let processes: Vec<Process> = (0..members)
        .map(|member| Process {
            cluster: None,
            address: address(member),
            incarnation: None,
            stopped: false,
            waiting: VecDeque::new(),
            began: SECOND + chance.span(1_000 * SECOND),
            rate: 1.0 + RATES_APART * (2.0 * chance.unit() - 1.0),
            turn: 0,
            starts: 0,
        })
        .collect();
    let Ok(key) = Key::new(b"a key for the virtual clock") else {
        return Played::default();
    };
    let judge = Judge::new(members, &scenario);
    let mut run = Run {
        now: 0,
        order: 0,
        queue: BTreeMap::new(),
        at_address: (0..members)
            .map(|member| (address(member), member))
            .collect(),
        processes,
        scenario,
        chance,
        key,
        seed,
        injected_fault,
        judge,
        leases: (0..wish.leases)
            .map(|number| Lease::new(&format!("duty-{number}"), None))
            .collect(),
        lease_history: LeaseHistory::default(),
        listened: VecDeque::new(),
        played: Played::default(),
    };
    run.whole();
    run.played
}

impl Run {
    fn hang(&mut self, at: Micros, what: What) {
        self.order += 1;
        self.queue.insert((at, self.order), what);
    }

    fn whole(&mut self) {
        for (at, deed) in self.scenario.deeds.clone() {
            self.hang(at, What::Deed(deed));
        }
        self.hang(LOOKS_EVERY, What::Look);
        self.hang(self.scenario.ends.saturating_sub(LATE), What::Late);
        while let Some(((at, _), what)) = self.queue.pop_first() {
            if at > self.scenario.ends {
                break;
            }
            self.now = at;
            self.happens(what);
            if !self.judge.broken.is_empty() {
                break;
            }
        }
        self.judge.ends(self.now, &self.processes);
        self.end_duties();
        let members = self.processes.len() as f64;
        self.played.seconds = self.now as f64 / SECOND as f64;
        self.played.member_seconds = self.played.seconds * members;
        (self.played.sent, self.played.sent_bytes) = self.sent();
        let late = &mut self.played.late;
        *late = (
            self.played.sent.saturating_sub(late.0),
            self.played.sent_bytes.saturating_sub(late.1),
        );
        self.played.broken = std::mem::take(&mut self.judge.broken);
        self.played.detected_ms = std::mem::take(&mut self.judge.detected_ms);
        self.played.one_view_ms = self.judge.one_view_ms;
        self.played.wrong_doubts = self.judge.wrong_doubts;
    }

    /// Datagrams and bytes that those sent that run now.
    fn sent(&self) -> (u64, u64) {
        let tallies = self
            .processes
            .iter()
            .filter_map(|process| Some(process.cluster.as_ref()?.traffic()));
        tallies.fold((0, 0), |sum, traffic| {
            (sum.0 + traffic.sent, sum.1 + traffic.sent_bytes)
        })
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Late => self.played.late = self.sent(),
            What::Deed(deed) => self.deed(deed),
            What::Comes { to, bytes } => {
                let Some(&member) = self.at_address.get(&to) else {
                    return;
                };
                let process = &mut self.processes[member];
                if process.address != to || process.cluster.is_none() {
                    return;
                }
                if process.stopped {
                    process.waiting.push_back(bytes);
                    return;
                }
                self.judge.comes(member, &bytes);
                let local = process.local(self.now);
                if let Some(cluster) = process.cluster.as_mut() {
                    cluster.receive(local, &bytes);
                }
                self.after(member, false);
            }
            What::Wakes { member, turn } => {
                let process = &mut self.processes[member];
                if process.turn != turn || process.stopped {
                    return;
                }
                let local = process.local(self.now);
                if let Some(cluster) = process.cluster.as_mut() {
                    cluster.run_timers(local);
                }
                self.after(member, false);
            }
            What::Look => {
                self.hang(self.now + LOOKS_EVERY, What::Look);
                self.judge.look(self.now, &self.processes);
            }
        }
    }

    fn deed(&mut self, deed: Deed) {
        match deed {
            Deed::Start(member) => self.start(member, member),
            Deed::StartAt(member, place) => self.start(member, place),
            Deed::Kill(member) => {
                let process = &mut self.processes[member];
                process.cluster = None;
                process.waiting.clear();
                self.judge.dies(self.now, member);
                self.lease_history.dies(self.now, member);
            }
            Deed::Leave(member) => {
                let process = &mut self.processes[member];
                let local = process.local(self.now);
                self.judge.leaves(self.now, member);
                if let Some(cluster) = process.cluster.as_mut() {
                    cluster.leave(local);
                }
                self.send(member);
                self.duty_events(member);
                self.processes[member].cluster = None;
            }
            Deed::Stop(member) => self.processes[member].stopped = true,
            Deed::GoOn(member) => {
                let process = &mut self.processes[member];
                process.stopped = false;
                let (local, waiting) = (
                    process.local(self.now),
                    std::mem::take(&mut process.waiting),
                );
                // Which comes first, what fell due or what lies in the socket, is the carrier's affair.
                if self.chance.happens(0.5)
                    && let Some(cluster) = self.processes[member].cluster.as_mut()
                {
                    cluster.run_timers(local);
                    let events = cluster.take_events();
                    self.told(member, &events, true);
                }
                for bytes in waiting {
                    self.judge.comes(member, &bytes);
                    if let Some(cluster) = self.processes[member].cluster.as_mut() {
                        cluster.receive(local, &bytes);
                    }
                }
                if let Some(cluster) = self.processes[member].cluster.as_mut() {
                    cluster.run_timers(local);
                }
                self.after(member, true);
            }
        }
    }

    fn start(&mut self, member: usize, place: usize) {
        let now = self.now;
        let process = &mut self.processes[member];
        process.starts += 1;
        process.address = address(place);
        process.stopped = false;
        process.waiting.clear();
        let mut chance =
            RandomSource::split(self.seed, "process", member as u64 * 1_000 + process.starts);
        // Clocks of machines differ by seconds, and one may have been set back before a restart.
        let started_at_us = 1_000 * SECOND + now + chance.span(4 * SECOND);
        #[cfg_attr(not(any(test, feature = "planted")), allow(unused_mut))]
        let mut cluster = Cluster::new(
            MemberConfig {
                fleet: "f".into(),
                name: name(member),
                zone: ["a", "b", "c"][member % 3].into(),
                address: process.address,
                seeds: (0..SEEDS).map(address).collect(),
                started_at_us,
                probe_interval: MemberConfig::DEFAULT_PROBE_INTERVAL,
                probe_timeout: MemberConfig::DEFAULT_PROBE_TIMEOUT,
                min_suspicion: MemberConfig::DEFAULT_MIN_SUSPICION,
                confirmed_dead: Default::default(),
            },
            self.key.clone(),
            chance.next_u64(),
            process.local(now),
        );
        if let Some(_fault) = self.injected_fault {
            #[cfg(any(test, feature = "planted"))]
            cluster.inject_fault(_fault);
        }
        if !self.leases.is_empty() {
            let voters = (0..VOTERS).map(|voter| name(voter).into()).collect();
            let terms = LeaseConfig {
                voters,
                duration: DEFAULT_LEASE_US,
            };
            cluster.configure_leases(process.local(now), terms, self.leases.clone());
        }
        process.incarnation = Some(cluster.incarnation());
        process.cluster = Some(cluster);
        self.at_address
            .insert(self.processes[member].address, member);
        let process = &self.processes[member];
        self.judge.starts(now, member, process.incarnation);
        self.after(member, false);
    }

    /// Takes what a process has to say after it was told something, and hangs its next waking.
    fn after(&mut self, member: usize, woke: bool) {
        self.send(member);
        self.duty_events(member);
        let process = &mut self.processes[member];
        let Some(cluster) = process.cluster.as_mut() else {
            return;
        };
        let (events, next) = (cluster.take_events(), cluster.next_timer());
        let next = process.global(next).max(self.now + 1);
        process.turn += 1;
        let turn = process.turn;
        self.hang(next, What::Wakes { member, turn });
        self.told(member, &events, woke);
    }

    /// Takes down what a process says of its duties, by the true clock.
    fn duty_events(&mut self, member: usize) {
        let (now, process) = (self.now, &mut self.processes[member]);
        let Some(cluster) = process.cluster.as_mut() else {
            return;
        };
        let events = cluster.take_lease_events();
        let id = member as u64 * 1_000 + process.starts;
        for event in events {
            match event {
                LeaseEvent::Acquired { lease, term, .. } => {
                    self.lease_history.begins(
                        now,
                        member,
                        &lease,
                        (term.number, term.incarnation_id),
                    );
                }
                LeaseEvent::Lost {
                    lease,
                    term,
                    until,
                    reason,
                } => {
                    let how = if reason == LossReason::Released {
                        "let go"
                    } else {
                        "lost"
                    };
                    let until = process.global(until);
                    self.lease_history.ends(
                        until,
                        member,
                        &lease,
                        (term.number, term.incarnation_id),
                        how,
                    );
                }
                LeaseEvent::CommandReceived { lease, term, .. } => {
                    self.lease_history.acted(
                        id,
                        &format!("{lease:?}"),
                        (term.number, term.incarnation_id),
                    );
                }
                _ => {}
            }
        }
    }

    /// What is open at the end is held as long as its lease says: a process that is stopped can't say that it lost it.
    fn end_duties(&mut self) {
        for (member, process) in self.processes.iter().enumerate() {
            let leases = process.cluster.as_ref().and_then(Cluster::leases);
            for held in leases.into_iter().flat_map(|leases| leases.unreported()) {
                let (lease, term, until) = (held.lease, held.term, held.until);
                let until = process.global(until);
                self.lease_history.ends(
                    until,
                    member,
                    &lease.name,
                    (term.number, term.incarnation_id),
                    "open",
                );
            }
        }
        let ends = self.scenario.ends;
        let found = self.lease_history.found(ends);
        let mut broken: Vec<String> = found.overlaps.iter().take(3).cloned().collect();
        broken.extend(self.lease_history.old_taken.iter().take(3).cloned());
        self.judge.broken.extend(broken);
        self.played.vacant = self.lease_history.vacant(ends).len();
        self.played.leases = found;
    }

    fn told(&mut self, member: usize, events: &[MembershipEvent], woke: bool) {
        if !events.is_empty() {
            self.judge
                .told(self.now, member, events, woke, &self.processes);
        }
    }

    fn send(&mut self, member: usize) {
        let Some(cluster) = self.processes[member].cluster.as_mut() else {
            return;
        };
        for OutgoingDatagram { to, mut bytes } in cluster.take_datagrams() {
            for byte in &bytes {
                self.played.trace =
                    (self.played.trace ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
            let Some(&other) = self.at_address.get(&to) else {
                continue;
            };
            let carried = self
                .scenario
                .ways
                .transmit(member, other, self.now, &mut self.chance);
            let stolen = self.chance.happens(self.scenario.replayed);
            if stolen {
                self.listened.push_back((to, bytes.clone()));
                if self.listened.len() > SENT_KEPT {
                    self.listened.pop_front();
                }
                let again = self.chance.below(self.listened.len());
                let (to, bytes) = self.listened[again].clone();
                let at = self.now + self.chance.span(3 * SECOND);
                self.hang(at, What::Comes { to, bytes });
            }
            carried.corrupt(&mut bytes);
            for delay in carried.copies {
                self.hang(
                    self.now + delay,
                    What::Comes {
                        to,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
    }
}
