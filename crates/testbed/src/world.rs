//! The world of a day on sockets: the model's servers and discovery behind locks, the judge, and the timeline that
//! moves them. Stand-ins on sockets call in here; nothing here speaks on a socket.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};

use pinefront_model::Micros;
use pinefront_model::call_queue::CallQueue;
use pinefront_model::chance::Chance;
use pinefront_model::day::{Day, Effect, Fault, Group, Kind};
use pinefront_model::discovery::{Entry, Registry, State};
use pinefront_model::faults::{Timeline, What};
use pinefront_model::fleet;
use pinefront_model::judge::{Ledger, Place, Seen};
use pinefront_model::server::{Arrival, Done, How, REPEAT_WORK, Repeats, Report, Server, Spec};
use pinefront_model::traffic::Ticket;
use tokio::sync::{Notify, oneshot, watch};

use crate::clock::Clock;

/// How long after its wait a ticket is known to servers.
const KNOWN_FOR: Micros = 15_000_000;

/// One server with those who wait for its answers.
pub struct Stand {
    state: Mutex<StandState>,
    /// Told when the timer should look again.
    pub look: Notify,
    /// Counts its lives: connections of an earlier one are reset.
    pub life: watch::Sender<u64>,
    /// Dispatches that came whole.
    pub sends: AtomicU64,
}

struct StandState {
    server: Server,
    waiting: HashMap<u64, Waiter>,
    address: Option<SocketAddr>,
}

struct Waiter {
    ticket: Option<u64>,
    answer: oneshot::Sender<How>,
}

/// Tickets by number, and until when each is known.
#[derive(Default)]
struct Known {
    tickets: HashMap<u64, Ticket>,
    until: VecDeque<(Micros, u64)>,
}

pub struct World {
    pub day: Day,
    pub seed: u64,
    pub clock: Clock,
    line: RwLock<Timeline>,
    /// Told when a fault was added by hand.
    pub added: Notify,
    stands: RwLock<Vec<Arc<Stand>>>,
    registry: Mutex<Registry>,
    pub call_queue: Mutex<CallQueue>,
    /// Told when the list changes.
    pub listed: watch::Sender<u64>,
    pub ledger: Mutex<Ledger>,
    /// Calls that discovery took.
    pub calls: AtomicU64,
    tickets: Mutex<Known>,
    repeats: Mutex<Repeats>,
    jobs: AtomicU64,
    chance: Mutex<Chance>,
    /// By balancer: its lives so far and whether it runs, and until when a silent watch excuses it.
    lives: Mutex<HashMap<usize, (u64, bool)>>,
    excused: Mutex<HashMap<usize, Micros>>,
    /// When each was last stopped, killed, stalled or started: what it was doing then is nobody's fault.
    disturbed: Mutex<HashMap<usize, Micros>>,
}

/// A lock whose holder panicked still holds what is true: every change here is whole before anything can fail.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    pub fn new(day: Day, seed: u64) -> Self {
        let specs = fleet::specs(&day, seed);
        let line = Timeline::new(&day, &specs, seed);
        let registry = Registry::new(&day.discovery, specs.len(), seed);
        let stands = specs
            .into_iter()
            .map(|spec| Arc::new(Stand::new(&day, seed, spec)))
            .collect();
        Self {
            ledger: Mutex::new(Ledger::new(&day)),
            seed,
            clock: Clock::default(),
            line: RwLock::new(line),
            added: Notify::new(),
            stands: RwLock::new(stands),
            registry: Mutex::new(registry),
            call_queue: Mutex::new(CallQueue::new(&day.discovery)),
            listed: watch::Sender::new(0),
            tickets: Mutex::default(),
            repeats: Mutex::default(),
            calls: AtomicU64::new(0),
            jobs: AtomicU64::new(0),
            chance: Mutex::new(Chance::split(seed, "spoilt", 0)),
            lives: Mutex::default(),
            excused: Mutex::default(),
            disturbed: Mutex::default(),
            day,
        }
    }

    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The timeline as it stands.
    pub fn line(&self) -> RwLockReadGuard<'_, Timeline> {
        self.line.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a fault by hand, from now on.
    pub fn add_fault(&self, fault: &Fault) {
        let specs: Vec<Spec> = self
            .stands()
            .iter()
            .map(|stand| stand.with(|server| server.spec.clone()))
            .collect();
        let mut line = self.line.write().unwrap_or_else(PoisonError::into_inner);
        let place = line.hits().len() + self.day.faults.len();
        line.add(&self.day, &specs, self.seed, place, fault);
        drop(line);
        self.added.notify_one();
    }

    /// Brings what faults do to each server up to now.
    pub fn apply_conditions(&self) {
        let now = self.now();
        for (number, stand) in self.stands().iter().enumerate() {
            let condition = self.line().condition(number, now);
            if stand.with(|server| *server.condition() != condition) {
                self.change(stand, |server, now, out| server.set(now, condition, out));
            }
        }
    }

    pub fn stands(&self) -> Vec<Arc<Stand>> {
        self.stands
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub fn stand(&self, number: usize) -> Option<Arc<Stand>> {
        self.stands
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(number)
            .cloned()
    }

    pub fn note(&self, at: Micros, seen: Seen) {
        locked(&self.ledger).note(at, seen);
    }

    /// A draw for spoilt answers.
    pub fn draw(&self, end: usize) -> usize {
        locked(&self.chance).below(end)
    }

    /// Whether something that comes with that chance does.
    pub fn drawn(&self, part: f64) -> bool {
        part > 0.0 && locked(&self.chance).happens(part)
    }

    /// Whether a fault of that kind holds now and hits this time.
    pub fn strikes(&self, kind: Kind) -> bool {
        let wide = self.line().wide(kind, self.now());
        wide.is_some_and(|(factor, _)| self.drawn(factor))
    }

    /// A balancer's process began or ended.
    pub fn lives(&self, balancer: usize, runs: bool) {
        let mut lives = locked(&self.lives);
        let life = lives.entry(balancer).or_insert((0, false));
        *life = (life.0 + u64::from(runs), runs);
        self.disturb(balancer);
    }

    /// Which of its lives a balancer is in, if it runs.
    pub fn life_of(&self, balancer: usize) -> Option<u64> {
        locked(&self.lives)
            .get(&balancer)
            .filter(|life| life.1)
            .map(|life| life.0)
    }

    pub fn disturb(&self, balancer: usize) {
        locked(&self.disturbed).insert(balancer, self.now());
    }

    pub fn undisturbed_since(&self, balancer: usize, since: Micros) -> bool {
        locked(&self.disturbed)
            .get(&balancer)
            .is_none_or(|at| *at < since)
    }

    /// A watch of a balancer fell silent: what it misses counts from then on.
    pub fn excuse(&self, balancer: usize, until: Micros) {
        let mut excused = locked(&self.excused);
        let at = excused.entry(balancer).or_insert(0);
        *at = (*at).max(until);
    }

    pub fn excused_until(&self, balancer: usize) -> Micros {
        locked(&self.excused).get(&balancer).copied().unwrap_or(0)
    }

    /// The list as discovery has it now, as a balancer is given it at its start.
    pub fn list_now(&self) -> serde_json::Value {
        let now = self.now();
        let (version, entries) = self.with_registry(|registry| registry.list(now));
        let targets: Vec<_> = entries
            .iter()
            .filter_map(|entry| self.entry(entry))
            .collect();
        serde_json::json!({"rev": version, "all": true, "targets": targets})
    }

    /// A ticket goes out: servers that get it know what it is.
    pub fn expect(&self, ticket: &Ticket) {
        let now = self.now();
        let mut tickets = locked(&self.tickets);
        while tickets.until.front().is_some_and(|(until, _)| *until < now) {
            if let Some((_, number)) = tickets.until.pop_front() {
                tickets.tickets.remove(&number);
            }
        }
        tickets.tickets.insert(ticket.number, ticket.clone());
        tickets
            .until
            .push_back((now + ticket.wait + KNOWN_FOR, ticket.number));
    }

    /// A ticket by its id; of one that the lab did not send, what a usual ticket of that path would be.
    pub fn ticket(&self, id: &str, path: &str) -> (Option<u64>, Option<Ticket>) {
        let known = u64::from_str_radix(id, 16).ok();
        let found = known.and_then(|number| locked(&self.tickets).tickets.get(&number).cloned());
        if found.is_some() {
            return (known, found);
        }
        let name = path
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()
            .unwrap_or("");
        let use_case = self
            .day
            .use_cases
            .iter()
            .position(|use_case| use_case.get_ref().name == name);
        let ticket = use_case.map(|use_case| {
            let class = self.day.use_cases[use_case].get_ref();
            let (work, waits, wait) = (class.work.0 as f64, class.waits.0, class.hard_stop.0);
            Ticket {
                tries: 1,
                use_case,
                work,
                waits,
                wait,
                ..Ticket::default()
            }
        });
        (None, ticket)
    }

    /// A dispatch came whole to a server. What comes of it is sent when it is known.
    pub fn sent(
        &self,
        stand: &Stand,
        known: Option<u64>,
        ticket: &Ticket,
        began: Micros,
        extra: f64,
    ) -> (u64, oneshot::Receiver<How>) {
        let now = self.now();
        let job = self.jobs.fetch_add(1, Ordering::Relaxed);
        let (answer, receiver) = oneshot::channel();
        stand.sends.fetch_add(1, Ordering::Relaxed);
        let class = self.day.use_cases[ticket.use_case].get_ref();
        let mut state = locked(&stand.state);
        let spec = &state.server.spec;
        let cold = (state.server.warmth(now) < 1.0).then(|| state.server.capacity(now));
        let place = Place {
            server: spec.number,
            zone: spec.zone,
            cell: spec.cell,
            cold,
        };
        let group = match class.group {
            Group::All => 0,
            Group::Zone => 1 + spec.zone,
            Group::Cell => 1000 + spec.cell,
        };
        if let Some(number) = known {
            self.note(
                now,
                Seen::Sent {
                    ticket: number,
                    place,
                    began,
                    work: ticket.work,
                },
            );
        }
        let labelled = known.is_some() && class.effect == Effect::Labelled;
        let repeat =
            labelled && locked(&self.repeats).is_repeat(now, group, ticket.label, class.window.0);
        let work = extra + if repeat { REPEAT_WORK } else { ticket.work };
        state.waiting.insert(
            job,
            Waiter {
                ticket: known,
                answer,
            },
        );
        let mut out = Vec::new();
        let fell = state.server.fell();
        state.server.arrive(
            now,
            Arrival {
                job,
                work,
                waits: ticket.waits,
                key: Some(ticket.key),
            },
            &mut out,
        );
        if state.server.fell() && !fell {
            let server = state.server.spec.number;
            self.note(now, Seen::Fell { server });
            stand.life.send_modify(|life| *life += 1);
        }
        self.deliver(&mut state, now, out);
        drop(state);
        stand.look.notify_one();
        (job, receiver)
    }

    /// Changes a server and delivers what came of it.
    pub fn change(&self, stand: &Stand, change: impl FnOnce(&mut Server, Micros, &mut Vec<Done>)) {
        let now = self.now();
        let mut state = locked(&stand.state);
        let mut out = Vec::new();
        change(&mut state.server, now, &mut out);
        self.deliver(&mut state, now, out);
        drop(state);
        stand.look.notify_one();
    }

    /// Lets a server work up to now; when it wants to be looked at again.
    pub fn advance(&self, stand: &Stand) -> Option<Micros> {
        let now = self.now();
        let mut state = locked(&stand.state);
        let mut out = Vec::new();
        state.server.advance(now, &mut out);
        self.deliver(&mut state, now, out);
        state.server.next()
    }

    fn deliver(&self, state: &mut StandState, now: Micros, out: Vec<Done>) {
        let server = state.server.spec.number;
        for done in out {
            let Some(waiter) = state.waiting.remove(&done.job) else {
                continue;
            };
            if let Some(ticket) = waiter.ticket {
                if done.how.ran() {
                    self.note(now, Seen::Ran { ticket, server });
                } else if done.how == How::Full {
                    self.note(now, Seen::NotRun { ticket, server });
                }
            }
            // Whoever waited may be gone.
            let _ = waiter.answer.send(done.how);
        }
    }

    /// Nobody waits for a dispatch any more.
    pub fn called_off(&self, stand: &Stand, job: u64) {
        self.change(stand, |server, now, out| server.call_off(now, job, out));
        locked(&stand.state).waiting.remove(&job);
    }

    /// What a fault or the day's plan does to a server or the fleet. Returns servers that need a stand-in on sockets.
    pub fn happens(&self, what: What) -> Vec<usize> {
        match what {
            What::Drains(server) => {
                self.list(server, State::Leaving);
                Vec::new()
            }
            What::Leaves(server) => {
                self.kill(server);
                self.list(server, State::Left);
                self.newcomers(1, Some(server))
            }
            What::Dies(server) => {
                self.kill(server);
                self.list(server, State::Left);
                Vec::new()
            }
            What::Returns(server) | What::StartsAnew(server) => {
                self.kill(server);
                self.start_again(server);
                vec![server]
            }
            What::Grow(count) => self.newcomers(count, None),
            What::BalancerKilled(_)
            | What::BalancerStopped(_)
            | What::BalancerStarts(_)
            | What::BalancerTakesPlace(..)
            | What::BalancerReloads(_)
            | What::BalancerPauses(_)
            | What::BalancerGoesOn(_) => Vec::new(),
        }
    }

    fn kill(&self, number: usize) {
        let Some(stand) = self.stand(number) else {
            return;
        };
        self.change(&stand, |server, now, out| server.kill(now, out));
        stand.life.send_modify(|life| *life += 1);
    }

    fn start_again(&self, number: usize) {
        let Some(stand) = self.stand(number) else {
            return;
        };
        let now = self.now();
        let mut state = locked(&stand.state);
        let spec = Spec {
            born: Some(now),
            ..state.server.spec.clone()
        };
        let life = *stand.life.borrow();
        let chance = Chance::split(self.seed, "server", number as u64 + (life << 32));
        state.server = Server::new(spec, &self.day.fleet, &self.day.rules, chance);
    }

    fn newcomers(&self, count: usize, like: Option<usize>) -> Vec<usize> {
        let like = like
            .and_then(|number| self.stand(number))
            .map(|stand| locked(&stand.state).server.spec.clone());
        let now = self.now();
        let mut stands = self.stands.write().unwrap_or_else(PoisonError::into_inner);
        let first = stands.len();
        for number in first..first + count {
            let spec = fleet::newcomer(&self.day, self.seed, number, like.as_ref(), now);
            stands.push(Arc::new(Stand::new(&self.day, self.seed, spec)));
        }
        (first..first + count).collect()
    }

    /// A stand-in of a server that came or came back listens there.
    pub fn listens(&self, number: usize, address: SocketAddr, told: bool) {
        if let Some(stand) = self.stand(number) {
            locked(&stand.state).address = Some(address);
        }
        if told {
            self.list(number, State::Active);
        }
    }

    fn list(&self, server: usize, state: State) {
        let born = self
            .stand(server)
            .and_then(|stand| locked(&stand.state).server.spec.born);
        locked(&self.registry).change(
            self.now(),
            Entry {
                server,
                state,
                born,
            },
        );
        self.listed.send_modify(|count| *count += 1);
    }

    pub fn with_registry<T>(&self, look: impl FnOnce(&Registry) -> T) -> T {
        look(&locked(&self.registry))
    }

    /// An entry as discovery words it.
    pub fn entry(&self, entry: &Entry) -> Option<serde_json::Value> {
        let stand = self.stand(entry.server)?;
        let state = locked(&stand.state);
        let spec = &state.server.spec;
        let word = match entry.state {
            State::Active => "active",
            State::Leaving => "leaving",
            State::Left => "left",
        };
        Some(serde_json::json!({
            "uid": spec.id, "endpoint": state.address?.to_string(), "az": self.day.fleet.zones.get(spec.zone)?,
            "model": self.day.machines.get(spec.machine)?.get_ref().name, "pod_group": spec.cell, "state": word,
            "capacity_hint": 1.0, "boot_ms": entry.born.map_or(0, |born| self.clock.unix_ms(born)),
        }))
    }
}

impl Stand {
    fn new(day: &Day, seed: u64, spec: Spec) -> Self {
        let chance = Chance::split(seed, "server", spec.number as u64);
        let server = Server::new(spec, &day.fleet, &day.rules, chance);
        Self {
            state: Mutex::new(StandState {
                server,
                waiting: HashMap::new(),
                address: None,
            }),
            look: Notify::new(),
            life: watch::Sender::new(0),
            sends: AtomicU64::new(0),
        }
    }

    pub fn with<T>(&self, look: impl FnOnce(&mut Server) -> T) -> T {
        look(&mut locked(&self.state).server)
    }

    pub fn address(&self) -> Option<SocketAddr> {
        locked(&self.state).address
    }

    /// Its load as an answer words it.
    pub fn report(&self, now: Micros) -> Option<Report> {
        self.with(|server| server.report(now))
    }
}
