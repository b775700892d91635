//! The world of a day on sockets: the model's servers and discovery behind locks, the judge, and the timeline that
//! moves them. Stand-ins on sockets call in here; nothing here speaks on a socket.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};

use pinefront_model::Micros;
use pinefront_model::call_queue::CallQueue;
use pinefront_model::checker::{AttemptTarget, Checker, Observation};
use pinefront_model::discovery::{Entry, Registry, State};
use pinefront_model::fleet;
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::{Fault, FaultKind, Idempotency, IdempotencyScope, Scenario};
use pinefront_model::server::{
    DUPLICATE_WORK_US, DuplicateFilter, FinishedJob, Job, JobOutcome, Report, Server, ServerSpec,
};
use pinefront_model::timeline::{Timeline, TimelineEvent};
use pinefront_model::traffic::Request;
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
    request: Option<u64>,
    answer: oneshot::Sender<JobOutcome>,
}

/// Tickets by number, and until when each is known.
#[derive(Default)]
struct Known {
    requests: HashMap<u64, Request>,
    until: VecDeque<(Micros, u64)>,
}

pub struct World {
    pub scenario: Scenario,
    pub seed: u64,
    pub clock: Clock,
    timeline: RwLock<Timeline>,
    /// Told when a fault was added by hand.
    pub added: Notify,
    stands: RwLock<Vec<Arc<Stand>>>,
    registry: Mutex<Registry>,
    pub call_queue: Mutex<CallQueue>,
    /// Told when the list changes.
    pub listed: watch::Sender<u64>,
    pub checker: Mutex<Checker>,
    /// Calls that discovery took.
    pub calls: AtomicU64,
    requests: Mutex<Known>,
    duplicates: Mutex<DuplicateFilter>,
    jobs: AtomicU64,
    chance: Mutex<RandomSource>,
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
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let specs = fleet::specs(&scenario, seed);
        let timeline = Timeline::new(&scenario, &specs, seed);
        let registry = Registry::new(&scenario.discovery, specs.len(), seed);
        let stands = specs
            .into_iter()
            .map(|spec| Arc::new(Stand::new(&scenario, seed, spec)))
            .collect();
        Self {
            checker: Mutex::new(Checker::new(&scenario)),
            seed,
            clock: Clock::default(),
            timeline: RwLock::new(timeline),
            added: Notify::new(),
            stands: RwLock::new(stands),
            registry: Mutex::new(registry),
            call_queue: Mutex::new(CallQueue::new(&scenario.discovery)),
            listed: watch::Sender::new(0),
            requests: Mutex::default(),
            duplicates: Mutex::default(),
            calls: AtomicU64::new(0),
            jobs: AtomicU64::new(0),
            chance: Mutex::new(RandomSource::split(seed, "spoilt", 0)),
            lives: Mutex::default(),
            excused: Mutex::default(),
            disturbed: Mutex::default(),
            scenario,
        }
    }

    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The timeline as it stands.
    pub fn timeline(&self) -> RwLockReadGuard<'_, Timeline> {
        self.timeline.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a fault by hand, from now on.
    pub fn add_fault(&self, fault: &Fault) {
        let specs: Vec<ServerSpec> = self
            .stands()
            .iter()
            .map(|stand| stand.with(|server| server.spec.clone()))
            .collect();
        let mut timeline = self
            .timeline
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let index = timeline.server_faults().len() + self.scenario.faults.len();
        timeline.add(&self.scenario, &specs, self.seed, index, fault);
        drop(timeline);
        self.added.notify_one();
    }

    /// Brings what faults do to each server up to now.
    pub fn apply_conditions(&self) {
        let now = self.now();
        for (number, stand) in self.stands().iter().enumerate() {
            let condition = self.timeline().condition(number, now);
            if stand.with(|server| *server.condition() != condition) {
                self.change(stand, |server, now, out| {
                    server.set_condition(now, condition, out)
                });
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

    pub fn record(&self, at: Micros, seen: Observation) {
        locked(&self.checker).record(at, seen);
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
    pub fn strikes(&self, kind: FaultKind) -> bool {
        let wide = self.timeline().global_fault(kind, self.now());
        wide.is_some_and(|strength| self.drawn(strength.factor))
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
    pub fn expect(&self, request: &Request) {
        let now = self.now();
        let mut requests = locked(&self.requests);
        while requests
            .until
            .front()
            .is_some_and(|(until, _)| *until < now)
        {
            if let Some((_, number)) = requests.until.pop_front() {
                requests.requests.remove(&number);
            }
        }
        requests.requests.insert(request.number, request.clone());
        requests
            .until
            .push_back((now + request.timeout + KNOWN_FOR, request.number));
    }

    /// A ticket by its id; of one that the lab did not send, what a usual ticket of that path would be.
    pub fn request(&self, id: &str, path: &str) -> (Option<u64>, Option<Request>) {
        let known = u64::from_str_radix(id, 16).ok();
        let found = known.and_then(|number| locked(&self.requests).requests.get(&number).cloned());
        if found.is_some() {
            return (known, found);
        }
        let name = path
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()
            .unwrap_or("");
        let class = self
            .scenario
            .classes
            .iter()
            .position(|class| class.get_ref().name == name);
        let request = class.map(|class| {
            let settings = self.scenario.classes[class].get_ref();
            Request {
                attempt: 1,
                class,
                work: settings.work.0 as f64,
                off_core_time: settings.off_core_time.0,
                timeout: settings.deadline.0,
                ..Request::default()
            }
        });
        (None, request)
    }

    /// A dispatch came whole to a server. What comes of it is sent when it is known.
    pub fn sent(
        &self,
        stand: &Stand,
        known: Option<u64>,
        request: &Request,
        started_at: Micros,
        extra: f64,
    ) -> (u64, oneshot::Receiver<JobOutcome>) {
        let now = self.now();
        let job = self.jobs.fetch_add(1, Ordering::Relaxed);
        let (answer, receiver) = oneshot::channel();
        stand.sends.fetch_add(1, Ordering::Relaxed);
        let class = self.scenario.classes[request.class].get_ref();
        let mut state = locked(&stand.state);
        let spec = &state.server.spec;
        let slow_start_capacity =
            (state.server.slow_start_factor(now) < 1.0).then(|| state.server.capacity(now));
        let target = AttemptTarget {
            server: spec.number,
            zone: spec.zone,
            cell: spec.cell,
            slow_start_capacity,
        };
        let group = match class.scope {
            IdempotencyScope::All => 0,
            IdempotencyScope::Zone => 1 + spec.zone,
            IdempotencyScope::Cell => 1000 + spec.cell,
        };
        if let Some(number) = known {
            self.record(
                now,
                Observation::AttemptReceived {
                    request: number,
                    target,
                    started_at,
                    work: request.work,
                },
            );
        }
        let has_idempotency_key =
            known.is_some() && class.idempotency == Idempotency::IdempotencyKey;
        let duplicate = has_idempotency_key
            && locked(&self.duplicates).is_duplicate(
                now,
                group,
                request.idempotency_key,
                class.idempotency_window.0,
            );
        let work = extra
            + if duplicate {
                DUPLICATE_WORK_US
            } else {
                request.work
            };
        state.waiting.insert(
            job,
            Waiter {
                request: known,
                answer,
            },
        );
        let mut out = Vec::new();
        let had_crashed = state.server.crashed_in_slow_start();
        state.server.receive(
            now,
            Job {
                id: job,
                work,
                off_core_time: request.off_core_time,
                key: Some(request.key),
            },
            &mut out,
        );
        if state.server.crashed_in_slow_start() && !had_crashed {
            let server = state.server.spec.number;
            self.record(now, Observation::ServerOverloaded { server });
            stand.life.send_modify(|life| *life += 1);
        }
        self.deliver(&mut state, now, out);
        drop(state);
        stand.look.notify_one();
        (job, receiver)
    }

    /// Changes a server and delivers what came of it.
    pub fn change(
        &self,
        stand: &Stand,
        change: impl FnOnce(&mut Server, Micros, &mut Vec<FinishedJob>),
    ) {
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
        state.server.next_event()
    }

    fn deliver(&self, state: &mut StandState, now: Micros, out: Vec<FinishedJob>) {
        let server = state.server.spec.number;
        for done in out {
            let Some(waiter) = state.waiting.remove(&done.id) else {
                continue;
            };
            if let Some(request) = waiter.request {
                if done.outcome.ran() {
                    self.record(now, Observation::AttemptRan { request, server });
                } else if done.outcome == JobOutcome::Rejected {
                    self.record(now, Observation::AttemptNotRun { request, server });
                }
            }
            // Whoever waited may be gone.
            let _ = waiter.answer.send(done.outcome);
        }
    }

    /// Nobody waits for a dispatch any more.
    pub fn cancelled(&self, stand: &Stand, job: u64) {
        self.change(stand, |server, now, out| server.cancel(now, job, out));
        locked(&stand.state).waiting.remove(&job);
    }

    /// What a fault or the day's plan does to a server or the fleet. Returns servers that need a stand-in on sockets.
    pub fn happens(&self, what: TimelineEvent) -> Vec<usize> {
        match what {
            TimelineEvent::DrainStarted(server) => {
                self.list(server, State::Draining);
                Vec::new()
            }
            TimelineEvent::DrainFinished(server) => {
                self.kill(server);
                self.list(server, State::Removed);
                self.newcomers(1, Some(server))
            }
            TimelineEvent::ServerCrashed(server) => {
                self.kill(server);
                self.list(server, State::Removed);
                Vec::new()
            }
            TimelineEvent::ServerRestored(server) | TimelineEvent::ServerRestarted(server) => {
                self.kill(server);
                self.start_again(server);
                vec![server]
            }
            TimelineEvent::ServersAdded(count) => self.newcomers(count, None),
            TimelineEvent::BalancerKilled(_)
            | TimelineEvent::BalancerStopped(_)
            | TimelineEvent::BalancerStarted(_)
            | TimelineEvent::BalancerMoved { .. }
            | TimelineEvent::BalancerReloaded(_)
            | TimelineEvent::BalancerPaused(_)
            | TimelineEvent::BalancerResumed(_) => Vec::new(),
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
        let spec = ServerSpec {
            started_at: Some(now),
            ..state.server.spec.clone()
        };
        let life = *stand.life.borrow();
        let chance = RandomSource::split(self.seed, "server", number as u64 + (life << 32));
        state.server = Server::new(spec, &self.scenario.fleet, &self.scenario.rules, chance);
    }

    fn newcomers(&self, count: usize, like: Option<usize>) -> Vec<usize> {
        let like = like
            .and_then(|number| self.stand(number))
            .map(|stand| locked(&stand.state).server.spec.clone());
        let now = self.now();
        let mut stands = self.stands.write().unwrap_or_else(PoisonError::into_inner);
        let first = stands.len();
        for number in first..first + count {
            let spec = fleet::new_server(&self.scenario, self.seed, number, like.as_ref(), now);
            stands.push(Arc::new(Stand::new(&self.scenario, self.seed, spec)));
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
        let started_at = self
            .stand(server)
            .and_then(|stand| locked(&stand.state).server.spec.started_at);
        locked(&self.registry).change(
            self.now(),
            Entry {
                server,
                state,
                started_at,
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
            State::Draining => "leaving",
            State::Removed => "left",
        };
        Some(serde_json::json!({
            "uid": spec.id, "endpoint": state.address?.to_string(), "az": self.scenario.fleet.zones.get(spec.zone)?,
            "model": self.scenario.machines.get(spec.machine)?.get_ref().name, "pod_group": spec.cell, "state": word,
            "capacity_hint": 1.0, "boot_ms": entry.started_at.map_or(0, |started_at| self.clock.unix_ms(started_at)),
        }))
    }
}

impl Stand {
    fn new(scenario: &Scenario, seed: u64, spec: ServerSpec) -> Self {
        let chance = RandomSource::split(seed, "server", spec.number as u64);
        let server = Server::new(spec, &scenario.fleet, &scenario.rules, chance);
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
