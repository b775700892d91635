//! One simulated server, and the connections that wait for its responses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use pinefront_model::Micros;
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::Scenario;
use pinefront_model::server::{JobOutcome, LoadReport, Server, ServerSpec};
use tokio::sync::{Notify, oneshot, watch};

use super::locked;

/// A simulated server behind a lock, shared by the connections of its stand-in.
pub struct ServerHost {
    pub(super) state: Mutex<HostState>,
    /// Wakes the timer of the stand-in, which then reads the time of the server's next event.
    pub wake_timer: Notify,
    /// Number of times that the server was killed or crashed. Connections of an earlier incarnation
    /// are reset.
    pub incarnation: watch::Sender<u64>,
    /// Number of complete attempts received.
    pub attempts: AtomicU64,
}

/// The state of a [`ServerHost`] that its lock protects.
pub(super) struct HostState {
    pub(super) server: Server,
    /// The waiting connections, by job.
    pub(super) waiters: HashMap<u64, Waiter>,
    pub(super) address: Option<SocketAddr>,
}

/// The connection that waits for the outcome of a job.
pub(super) struct Waiter {
    pub(super) request: Option<u64>,
    pub(super) outcome: oneshot::Sender<JobOutcome>,
}

impl ServerHost {
    pub(super) fn new(scenario: &Scenario, seed: u64, spec: ServerSpec) -> Self {
        let random = RandomSource::split(seed, "server", spec.number as u64);
        let server = Server::new(spec, &scenario.fleet, &scenario.rules, random);
        Self {
            state: Mutex::new(HostState {
                server,
                waiters: HashMap::new(),
                address: None,
            }),
            wake_timer: Notify::new(),
            incarnation: watch::Sender::new(0),
            attempts: AtomicU64::new(0),
        }
    }

    /// Calls a function with the locked server.
    pub fn with_server<T>(&self, call: impl FnOnce(&mut Server) -> T) -> T {
        call(&mut locked(&self.state).server)
    }

    /// The address of the stand-in; none until it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        locked(&self.state).address
    }

    /// The load that a response sent at `now` reports; none where the server reports no load.
    pub fn load_report(&self, now: Micros) -> Option<LoadReport> {
        self.with_server(|server| server.load_report(now))
    }

    /// Ends the current incarnation.
    pub(super) fn end_incarnation(&self) {
        self.incarnation
            .send_modify(|incarnation| *incarnation += 1);
    }
}
