//! The simulated environment of a run: servers, discovery and the checker behind locks, and the
//! timeline of faults that changes them. Stand-ins on sockets call this module; nothing here uses a
//! socket.

mod balancers;
mod requests;
mod server_host;
mod servers;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};

use balancers::BalancerStates;
use pinefront_model::Micros;
use pinefront_model::call_queue::CallQueue;
use pinefront_model::checker::{Checker, Observation};
use pinefront_model::discovery::{EndpointEntry, EndpointRegistry, EndpointState};
use pinefront_model::fleet;
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::{Fault, FaultKind, Scenario};
use pinefront_model::server::{DuplicateFilter, ServerSpec};
use pinefront_model::timeline::Timeline;
use pinefront_model::traffic::Request;
pub use requests::FoundRequest;
use requests::SentRequests;
pub use server_host::ServerHost;
use tokio::sync::{Notify, watch};

use crate::clock::Clock;

/// The environment of one run.
pub struct World {
    pub scenario: Scenario,
    pub seed: u64,
    pub clock: Clock,
    timeline: RwLock<Timeline>,
    /// Notified when a fault was injected by hand.
    pub fault_added: Notify,
    servers: RwLock<Vec<Arc<ServerHost>>>,
    registry: Mutex<EndpointRegistry>,
    pub call_queue: Mutex<CallQueue>,
    /// Notified when the endpoint list changes.
    pub list_changed: watch::Sender<u64>,
    pub checker: Mutex<Checker>,
    /// Number of calls that discovery received.
    pub discovery_calls: AtomicU64,
    sent_requests: Mutex<SentRequests>,
    duplicates: Mutex<DuplicateFilter>,
    next_job: AtomicU64,
    random: Mutex<RandomSource>,
    balancers: Mutex<BalancerStates>,
}

/// Locks a mutex, also after a panic of another holder: no change leaves inconsistent state behind.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let specs = fleet::specs(&scenario, seed);
        let timeline = Timeline::new(&scenario, &specs, seed);
        let registry = EndpointRegistry::new(&scenario.discovery, specs.len(), seed);
        let servers = specs
            .into_iter()
            .map(|spec| Arc::new(ServerHost::new(&scenario, seed, spec)))
            .collect();
        Self {
            seed,
            clock: Clock::default(),
            timeline: RwLock::new(timeline),
            fault_added: Notify::new(),
            servers: RwLock::new(servers),
            registry: Mutex::new(registry),
            call_queue: Mutex::new(CallQueue::new(&scenario.discovery)),
            list_changed: watch::Sender::new(0),
            checker: Mutex::new(Checker::new(&scenario)),
            discovery_calls: AtomicU64::new(0),
            sent_requests: Mutex::default(),
            duplicates: Mutex::default(),
            next_job: AtomicU64::new(0),
            random: Mutex::new(RandomSource::split(seed, "spoilt", 0)),
            balancers: Mutex::default(),
            scenario,
        }
    }

    /// Microseconds since the run started.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    pub fn timeline(&self) -> RwLockReadGuard<'_, Timeline> {
        self.timeline.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Injects a fault by hand.
    pub fn add_fault(&self, fault: &Fault) {
        let specs: Vec<ServerSpec> = self
            .servers()
            .iter()
            .map(|host| host.with_server(|server| server.spec.clone()))
            .collect();
        let mut timeline = self
            .timeline
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let index = timeline.server_faults().len() + self.scenario.faults.len();
        timeline.add(&self.scenario, &specs, self.seed, index, fault);
        drop(timeline);
        self.fault_added.notify_one();
    }

    /// Records an observation for the checker.
    pub fn record(&self, at: Micros, observation: Observation) {
        locked(&self.checker).record(at, observation);
    }

    /// A random integer below `end`.
    pub fn draw_below(&self, end: usize) -> usize {
        locked(&self.random).below(end)
    }

    /// True with that probability. Draws nothing where it is 0.
    pub fn draw_happens(&self, probability: f64) -> bool {
        probability > 0.0 && locked(&self.random).happens(probability)
    }

    /// Whether a fault of that kind is active and strikes, with its factor as the probability.
    pub fn fault_strikes(&self, kind: FaultKind) -> bool {
        let strength = self.timeline().active_global_fault(kind, self.now());
        strength.is_some_and(|strength| self.draw_happens(strength.factor))
    }

    /// Records that a balancer's process started or ended.
    pub fn set_balancer_running(&self, balancer: usize, is_running: bool) {
        locked(&self.balancers).set_running(balancer, is_running, self.now());
    }

    /// How often a balancer has started; none where it does not run.
    pub fn running_incarnation(&self, balancer: usize) -> Option<u64> {
        locked(&self.balancers).running_incarnation(balancer)
    }

    /// Records that a balancer's process was interfered with.
    pub fn disturb_balancer(&self, balancer: usize) {
        locked(&self.balancers).disturb(balancer, self.now());
    }

    /// Whether nothing interfered with a balancer's process at `since` or later.
    pub fn undisturbed_since(&self, balancer: usize, since: Micros) -> bool {
        locked(&self.balancers).undisturbed_since(balancer, since)
    }

    /// Excuses a balancer from knowing the endpoint list, since its watch fell silent.
    pub fn excuse_balancer(&self, balancer: usize, until: Micros) {
        locked(&self.balancers).excuse(balancer, until);
    }

    pub fn excused_until(&self, balancer: usize) -> Micros {
        locked(&self.balancers).excused_until(balancer)
    }

    /// The current endpoint list as a JSON document, as a balancer gets it at its start.
    pub fn list_document(&self) -> serde_json::Value {
        let now = self.now();
        let list = self.with_registry(|registry| registry.list(now));
        let targets: Vec<_> = list
            .entries
            .iter()
            .filter_map(|entry| self.entry_document(entry))
            .collect();
        serde_json::json!({"rev": list.version, "all": true, "targets": targets})
    }

    /// An entry of the endpoint list as JSON; none where the server has no address yet.
    pub fn entry_document(&self, entry: &EndpointEntry) -> Option<serde_json::Value> {
        let host = self.server(entry.server)?;
        let address = host.address()?;
        let spec = host.with_server(|server| server.spec.clone());
        let state = match entry.state {
            EndpointState::Active => "active",
            EndpointState::Draining => "leaving",
            EndpointState::Removed => "left",
        };
        let started_at = entry.started_at;
        Some(serde_json::json!({
            "uid": spec.id,
            "endpoint": address.to_string(),
            "az": self.scenario.fleet.zones.get(spec.zone)?,
            "model": self.scenario.machines.get(spec.machine)?.get_ref().name,
            "pod_group": spec.cell,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": started_at.map_or(0, |started_at| self.clock.unix_ms(started_at)),
        }))
    }

    /// Calls a function with the locked registry.
    pub fn with_registry<T>(&self, call: impl FnOnce(&EndpointRegistry) -> T) -> T {
        call(&locked(&self.registry))
    }

    /// Records a request that a client is about to send, so that servers can find it.
    pub fn register_request(&self, request: &Request) {
        locked(&self.sent_requests).add(self.now(), request);
    }

    /// The request with that identity; where no client sent it, a usual request of the path's
    /// class.
    pub fn find_request(&self, id: &str, path: &str) -> Option<FoundRequest> {
        locked(&self.sent_requests).find(&self.scenario, id, path)
    }

    /// Records where a server's stand-in listens. `announce` adds the server to the endpoint list.
    pub fn set_server_address(&self, number: usize, address: SocketAddr, announce: bool) {
        if let Some(host) = self.server(number) {
            locked(&host.state).address = Some(address);
        }
        if announce {
            self.change_list(number, EndpointState::Active);
        }
    }

    fn change_list(&self, server: usize, state: EndpointState) {
        let host = self.server(server);
        let started_at = host.and_then(|host| host.with_server(|server| server.spec.started_at));
        let entry = EndpointEntry {
            server,
            state,
            started_at,
        };
        locked(&self.registry).change(self.now(), entry);
        self.list_changed.send_modify(|count| *count += 1);
    }
}
