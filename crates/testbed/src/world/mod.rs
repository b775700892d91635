//! The simulated environment of a run: servers, discovery and the checker, each behind a lock, and
//! the timeline of faults that changes them. The stand-ins call this module, which uses no socket
//! itself.

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
pub use requests::RequestLookup;
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
    /// Notified when a fault is injected by hand.
    pub fault_added: Notify,
    servers: RwLock<Vec<Arc<ServerHost>>>,
    registry: Mutex<EndpointRegistry>,
    pub call_queue: Mutex<CallQueue>,
    /// Number of changes of the endpoint list; each change wakes the watches.
    pub list_changed: watch::Sender<u64>,
    pub checker: Mutex<Checker>,
    /// Number of polls and watches that discovery received.
    pub discovery_calls: AtomicU64,
    sent_requests: Mutex<SentRequests>,
    duplicates: Mutex<DuplicateFilter>,
    next_job: AtomicU64,
    random: Mutex<RandomSource>,
    balancers: Mutex<BalancerStates>,
}

/// Locks a mutex, even after a panic of another holder: no change leaves inconsistent state behind.
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

    /// Adds a fault to the timeline during the run.
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

    /// Draws a random integer below `end`.
    pub fn draw_below(&self, end: usize) -> usize {
        locked(&self.random).below(end)
    }

    /// Returns true with that probability. Draws no random number where the probability is 0.
    pub fn draw_bool(&self, probability: f64) -> bool {
        probability > 0.0 && locked(&self.random).happens(probability)
    }

    /// Returns true if a fault of that kind is active, with its factor as the probability.
    pub fn draw_fault(&self, kind: FaultKind) -> bool {
        let strength = self.timeline().active_global_fault(kind, self.now());
        strength.is_some_and(|strength| self.draw_bool(strength.factor))
    }

    /// Records that a balancer process was started or is about to exit.
    pub fn set_balancer_running(&self, balancer: usize, is_running: bool) {
        locked(&self.balancers).set_running(balancer, is_running, self.now());
    }

    /// The number of starts of a balancer so far; none if it is not running.
    pub fn running_incarnation(&self, balancer: usize) -> Option<u64> {
        locked(&self.balancers).running_incarnation(balancer)
    }

    /// Records that a balancer process was suspended or resumed.
    pub fn record_balancer_intervention(&self, balancer: usize) {
        locked(&self.balancers).record_intervention(balancer, self.now());
    }

    /// Whether a balancer process was not started, stopped, killed, suspended or resumed at `since`
    /// or later.
    pub fn has_no_intervention_since(&self, balancer: usize, since: Micros) -> bool {
        locked(&self.balancers).has_no_intervention_since(balancer, since)
    }

    /// Allows a balancer to use an old endpoint list until that time, since its watch became
    /// silent.
    pub fn exempt_balancer(&self, balancer: usize, until: Micros) {
        locked(&self.balancers).exempt(balancer, until);
    }

    /// The time until which a balancer may use an old endpoint list; 0 if it never may.
    pub fn exempt_until(&self, balancer: usize) -> Micros {
        locked(&self.balancers).exempt_until(balancer)
    }

    /// The current endpoint list as JSON, in the form in which a balancer is given it at its start.
    pub fn endpoint_list_json(&self) -> serde_json::Value {
        let now = self.now();
        let list = self.with_registry(|registry| registry.list(now));
        let targets: Vec<_> = list
            .entries
            .iter()
            .filter_map(|entry| self.endpoint_entry_json(entry))
            .collect();
        serde_json::json!({"rev": list.version, "all": true, "targets": targets})
    }

    /// An entry of the endpoint list as JSON; none where the server has no address yet.
    pub fn endpoint_entry_json(&self, entry: &EndpointEntry) -> Option<serde_json::Value> {
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

    /// Records a request that a client is about to send, so that servers can look it up.
    pub fn register_request(&self, request: &Request) {
        locked(&self.sent_requests).add(self.now(), request);
    }

    /// The request with that identifier. If no client sent it, a default request of the class that
    /// the path names; none if that class does not exist.
    pub fn find_request(&self, id: &str, path: &str) -> Option<RequestLookup> {
        locked(&self.sent_requests).find(&self.scenario, id, path)
    }

    /// Records the address of a server's stand-in. With `announce`, the server is added to the
    /// endpoint list.
    pub fn set_server_address(&self, number: usize, address: SocketAddr, announce: bool) {
        if let Some(host) = self.server(number) {
            locked(&host.state).address = Some(address);
        }
        if announce {
            self.change_list(number, EndpointState::Active);
        }
    }

    /// Adds a change to the endpoint list, and notifies the watches.
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
