//! Many accords on one virtual clock: each with a clock of its own that runs up to 1 % fast or slow, and a network that
//! does to datagrams what the scenario says. One seed, one run.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use pinefront_cluster::duties::{Duty, DutyEvent, DutyTerms, LEASE_USUAL, Why};
use pinefront_cluster::envelope::{Key, Life};
use pinefront_cluster::membership::table::Event;
use pinefront_cluster::{Accord, Part, Planted};
use pinefront_model::random::RandomSource;
use pinefront_model::tenures::{Held, Tenures};
use pinefront_model::{Micros, SECOND};

use super::Wish;
use super::judge::Judge;
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
    pub duties: Held,
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
    pub accord: Option<Accord>,
    pub address: SocketAddr,
    pub life: Option<Life>,
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
    planted: Option<Planted>,
    judge: Judge,
    duties: Vec<Duty>,
    tenures: Tenures,
    /// Datagrams that somebody listened to, to be sent again.
    listened: VecDeque<(SocketAddr, Vec<u8>)>,
    played: Played,
}

pub fn play(seed: u64, wish: &Wish) -> Played {
    let (members, planted) = (wish.members, wish.planted);
    let scenario = Scenario::draw(seed, members, wish.kind, wish.loss);
    let mut chance = RandomSource::split(seed, "clockwork", 0);
    let processes: Vec<Process> = (0..members)
        .map(|member| Process {
            accord: None,
            address: address(member),
            life: None,
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
        planted,
        judge,
        duties: (0..wish.duties)
            .map(|number| Duty::new(&format!("duty-{number}"), None))
            .collect(),
        tenures: Tenures::default(),
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
            .filter_map(|process| Some(process.accord.as_ref()?.tally()));
        tallies.fold((0, 0), |sum, tally| {
            (sum.0 + tally.sent, sum.1 + tally.sent_bytes)
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
                if process.address != to || process.accord.is_none() {
                    return;
                }
                if process.stopped {
                    process.waiting.push_back(bytes);
                    return;
                }
                self.judge.comes(member, &bytes);
                let local = process.local(self.now);
                if let Some(accord) = process.accord.as_mut() {
                    accord.heard(local, &bytes);
                }
                self.after(member, false);
            }
            What::Wakes { member, turn } => {
                let process = &mut self.processes[member];
                if process.turn != turn || process.stopped {
                    return;
                }
                let local = process.local(self.now);
                if let Some(accord) = process.accord.as_mut() {
                    accord.due(local);
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
                process.accord = None;
                process.waiting.clear();
                self.judge.dies(self.now, member);
                self.tenures.dies(self.now, member);
            }
            Deed::Leave(member) => {
                let process = &mut self.processes[member];
                let local = process.local(self.now);
                self.judge.leaves(self.now, member);
                if let Some(accord) = process.accord.as_mut() {
                    accord.leave(local);
                }
                self.send(member);
                self.duty_events(member);
                self.processes[member].accord = None;
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
                    && let Some(accord) = self.processes[member].accord.as_mut()
                {
                    accord.due(local);
                    let events = accord.take_events();
                    self.told(member, &events, true);
                }
                for bytes in waiting {
                    self.judge.comes(member, &bytes);
                    if let Some(accord) = self.processes[member].accord.as_mut() {
                        accord.heard(local, &bytes);
                    }
                }
                if let Some(accord) = self.processes[member].accord.as_mut() {
                    accord.due(local);
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
        let born = 1_000 * SECOND + now + chance.span(4 * SECOND);
        #[cfg_attr(not(any(test, feature = "planted")), allow(unused_mut))]
        let mut accord = Accord::new(
            Part {
                fleet: "f".into(),
                name: name(member),
                zone: ["a", "b", "c"][member % 3].into(),
                address: process.address,
                seeds: (0..SEEDS).map(address).collect(),
                born,
                probe_every: Part::PROBE_EVERY,
                answer_within: Part::ANSWER_WITHIN,
                doubt_least: Part::DOUBT_LEAST,
                struck: Default::default(),
            },
            self.key.clone(),
            chance.next_u64(),
            process.local(now),
        );
        if let Some(_fault) = self.planted {
            #[cfg(any(test, feature = "planted"))]
            accord.plant(_fault);
        }
        if !self.duties.is_empty() {
            let voters = (0..VOTERS).map(|voter| name(voter).into()).collect();
            let terms = DutyTerms {
                voters,
                lease: LEASE_USUAL,
            };
            accord.take_duties(process.local(now), terms, self.duties.clone());
        }
        process.life = Some(accord.life());
        process.accord = Some(accord);
        self.at_address
            .insert(self.processes[member].address, member);
        let process = &self.processes[member];
        self.judge.starts(now, member, process.life);
        self.after(member, false);
    }

    /// Takes what a process has to say after it was told something, and hangs its next waking.
    fn after(&mut self, member: usize, woke: bool) {
        self.send(member);
        self.duty_events(member);
        let process = &mut self.processes[member];
        let Some(accord) = process.accord.as_mut() else {
            return;
        };
        let (events, next) = (accord.take_events(), accord.next_due());
        let next = process.global(next).max(self.now + 1);
        process.turn += 1;
        let turn = process.turn;
        self.hang(next, What::Wakes { member, turn });
        self.told(member, &events, woke);
    }

    /// Takes down what a process says of its duties, by the true clock.
    fn duty_events(&mut self, member: usize) {
        let (now, process) = (self.now, &mut self.processes[member]);
        let Some(accord) = process.accord.as_mut() else {
            return;
        };
        let events = accord.take_duty_events();
        let id = member as u64 * 1_000 + process.starts;
        for event in events {
            match event {
                DutyEvent::Taken { duty, term, .. } => {
                    self.tenures
                        .begins(now, member, &duty, (term.number, term.life));
                }
                DutyEvent::Lost {
                    duty,
                    term,
                    until,
                    why,
                } => {
                    let how = if why == Why::LetGo { "let go" } else { "lost" };
                    let until = process.global(until);
                    self.tenures
                        .ends(until, member, &duty, (term.number, term.life), how);
                }
                DutyEvent::Acted { duty, term, .. } => {
                    self.tenures
                        .acted(id, &format!("{duty:?}"), (term.number, term.life));
                }
                _ => {}
            }
        }
    }

    /// What is open at the end is held as long as its lease says: a process that is stopped can't say that it lost it.
    fn end_duties(&mut self) {
        for (member, process) in self.processes.iter().enumerate() {
            let duties = process.accord.as_ref().and_then(Accord::duties);
            for (duty, term, until) in duties.into_iter().flat_map(|duties| duties.open()) {
                let until = process.global(until);
                self.tenures
                    .ends(until, member, &duty.name, (term.number, term.life), "open");
            }
        }
        let ends = self.scenario.ends;
        let found = self.tenures.found(ends);
        let mut broken: Vec<String> = found.overlaps.iter().take(3).cloned().collect();
        broken.extend(self.tenures.old_taken.iter().take(3).cloned());
        self.judge.broken.extend(broken);
        self.played.vacant = self.tenures.vacant(ends).len();
        self.played.duties = found;
    }

    fn told(&mut self, member: usize, events: &[Event], woke: bool) {
        if !events.is_empty() {
            self.judge
                .told(self.now, member, events, woke, &self.processes);
        }
    }

    fn send(&mut self, member: usize) {
        let Some(accord) = self.processes[member].accord.as_mut() else {
            return;
        };
        for (to, mut bytes) in accord.take_datagrams() {
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
