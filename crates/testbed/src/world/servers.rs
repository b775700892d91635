//! Passes attempts and events of the timeline to the simulated servers.

use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use pinefront_model::checker::{AttemptTarget, Observation};
use pinefront_model::discovery::EndpointState;
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::{Idempotency, IdempotencyScope};
use pinefront_model::server::{
    DUPLICATE_WORK_US, FinishedJob, Job, JobOutcome, Server, ServerSpec,
};
use pinefront_model::timeline::TimelineEvent;
use pinefront_model::{Micros, fleet};
use tokio::sync::oneshot;

use super::server_host::{HostState, Waiter};
use super::{RequestLookup, ServerHost, World, locked};

/// The scope number of zone 0; further zones follow. Scope 0 covers all servers.
const FIRST_ZONE_SCOPE: usize = 1;
/// The scope number of cell 0, larger than the scope numbers of all zones.
const FIRST_CELL_SCOPE: usize = 1000;

/// An attempt that a server received.
pub struct ReceivedAttempt {
    /// The number of the job, unique in the run.
    pub job: u64,
    /// Receives the outcome of the job.
    pub outcome: oneshot::Receiver<JobOutcome>,
}

impl World {
    /// All servers that have existed in the run, by number.
    pub fn servers(&self) -> Vec<Arc<ServerHost>> {
        self.servers
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub fn server(&self, number: usize) -> Option<Arc<ServerHost>> {
        self.servers
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(number)
            .cloned()
    }

    /// Applies the active faults to all servers.
    pub fn apply_conditions(&self) {
        let now = self.now();
        for (number, host) in self.servers().iter().enumerate() {
            let condition = self.timeline().condition(number, now);
            if host.with_server(|server| *server.condition() != condition) {
                self.change_server(host, |server, now, finished| {
                    server.set_condition(now, condition, finished);
                });
            }
        }
    }

    /// Passes a complete attempt, whose first byte arrived at `started_at`, to a server.
    /// `extra_work`, in microseconds of CPU time, is added to the work of the request.
    pub fn receive_attempt(
        &self,
        host: &ServerHost,
        lookup: &RequestLookup,
        started_at: Micros,
        extra_work: f64,
    ) -> ReceivedAttempt {
        let now = self.now();
        let id = self.next_job.fetch_add(1, Ordering::Relaxed);
        let (sender, outcome) = oneshot::channel();
        host.attempts.fetch_add(1, Ordering::Relaxed);
        let mut state = locked(&host.state);
        if let Some(request) = lookup.number {
            let observation = Observation::AttemptReceived {
                request,
                target: attempt_target(&state.server, now),
                started_at,
                work: lookup.request.work,
            };
            self.record(now, observation);
        }
        let is_duplicate = self.is_duplicate(&state.server.spec, lookup, now);
        let request_work = if is_duplicate {
            DUPLICATE_WORK_US
        } else {
            lookup.request.work
        };
        let waiter = Waiter {
            request: lookup.number,
            outcome: sender,
        };
        state.waiters.insert(id, waiter);
        let job = Job {
            id,
            work: extra_work + request_work,
            off_core_time: lookup.request.off_core_time,
            key: Some(lookup.request.key),
        };
        self.run_job(host, &mut state, now, job);
        drop(state);
        host.wake_timer.notify_one();
        ReceivedAttempt { job: id, outcome }
    }

    /// Whether the server discards an attempt as a duplicate.
    fn is_duplicate(&self, spec: &ServerSpec, lookup: &RequestLookup, now: Micros) -> bool {
        let class = self.scenario.classes[lookup.request.class].get_ref();
        let has_key = lookup.number.is_some() && class.idempotency == Idempotency::IdempotencyKey;
        let scope = match class.scope {
            IdempotencyScope::All => 0,
            IdempotencyScope::Zone => FIRST_ZONE_SCOPE + spec.zone,
            IdempotencyScope::Cell => FIRST_CELL_SCOPE + spec.cell,
        };
        let (key, window) = (lookup.request.idempotency_key, class.idempotency_window.0);
        has_key && locked(&self.duplicates).is_duplicate(now, scope, key, window)
    }

    /// Passes a job to a server, and ends the incarnation of the server if the job overloads it
    /// during slow start.
    fn run_job(&self, host: &ServerHost, state: &mut HostState, now: Micros, job: Job) {
        let mut finished = Vec::new();
        let had_crashed = state.server.crashed_in_slow_start();
        state.server.receive(now, job, &mut finished);
        if state.server.crashed_in_slow_start() && !had_crashed {
            let server = state.server.spec.number;
            self.record(now, Observation::ServerOverloaded { server });
            host.end_incarnation();
        }
        self.deliver(state, now, finished);
    }

    /// Changes a server, and delivers the outcomes of the jobs that the change ends.
    pub fn change_server(
        &self,
        host: &ServerHost,
        change: impl FnOnce(&mut Server, Micros, &mut Vec<FinishedJob>),
    ) {
        let now = self.now();
        let mut state = locked(&host.state);
        let mut finished = Vec::new();
        change(&mut state.server, now, &mut finished);
        self.deliver(&mut state, now, finished);
        drop(state);
        host.wake_timer.notify_one();
    }

    /// Advances the simulation of a server to the current time. Returns the time of its next event.
    pub fn advance_server(&self, host: &ServerHost) -> Option<Micros> {
        let now = self.now();
        let mut state = locked(&host.state);
        let mut finished = Vec::new();
        state.server.advance(now, &mut finished);
        self.deliver(&mut state, now, finished);
        state.server.next_event()
    }

    /// Sends the outcomes of finished jobs to the waiting connections, and records them for the
    /// checker.
    fn deliver(&self, state: &mut HostState, now: Micros, finished: Vec<FinishedJob>) {
        let server = state.server.spec.number;
        for job in finished {
            let Some(waiter) = state.waiters.remove(&job.id) else {
                continue;
            };
            if let Some(request) = waiter.request {
                if job.outcome.was_processed() {
                    self.record(now, Observation::AttemptProcessed { request, server });
                } else if job.outcome == JobOutcome::Rejected {
                    self.record(now, Observation::AttemptNotProcessed { request, server });
                }
            }
            // Sending fails if the connection has closed in the meantime.
            let _ = waiter.outcome.send(job.outcome);
        }
    }

    /// Cancels an attempt whose connection was closed by the balancer.
    pub fn cancel_attempt(&self, host: &ServerHost, job: u64) {
        self.change_server(host, |server, now, finished| {
            server.cancel(now, job, finished);
        });
        locked(&host.state).waiters.remove(&job);
    }

    /// Applies an event to the servers; events that concern balancers have no effect. Returns the
    /// numbers of the servers that need a new stand-in.
    pub fn apply_event(&self, event: TimelineEvent) -> Vec<usize> {
        match event {
            TimelineEvent::DrainStarted(server) => {
                self.change_list(server, EndpointState::Draining);
                Vec::new()
            }
            TimelineEvent::DrainFinished(server) => {
                self.remove_server(server);
                self.add_servers(1, Some(server))
            }
            TimelineEvent::ServerCrashed(server) => {
                self.remove_server(server);
                Vec::new()
            }
            TimelineEvent::ServerRestored(server) | TimelineEvent::ServerRestarted(server) => {
                self.kill_server(server);
                self.restart_server(server);
                vec![server]
            }
            TimelineEvent::ServersAdded(count) => self.add_servers(count, None),
            TimelineEvent::BalancerKilled(_)
            | TimelineEvent::BalancerStopped(_)
            | TimelineEvent::BalancerStarted(_)
            | TimelineEvent::BalancerMoved { .. }
            | TimelineEvent::BalancerReloaded(_)
            | TimelineEvent::BalancerPaused(_)
            | TimelineEvent::BalancerResumed(_) => Vec::new(),
        }
    }

    /// Kills a server, and marks it as removed in the endpoint list.
    fn remove_server(&self, number: usize) {
        self.kill_server(number);
        self.change_list(number, EndpointState::Removed);
    }

    fn kill_server(&self, number: usize) {
        let Some(host) = self.server(number) else {
            return;
        };
        self.change_server(&host, pinefront_model::server::Server::kill);
        host.end_incarnation();
    }

    /// Replaces a killed server by a new one with the same specification and a new start time. Its
    /// random source depends on the incarnation.
    fn restart_server(&self, number: usize) {
        let Some(host) = self.server(number) else {
            return;
        };
        let now = self.now();
        let mut state = locked(&host.state);
        let spec = ServerSpec {
            started_at: Some(now),
            ..state.server.spec.clone()
        };
        let incarnation = *host.incarnation.borrow();
        let stream = number as u64 + (incarnation << 32);
        let random = RandomSource::split(self.seed, "server", stream);
        let (fleet, rules) = (&self.scenario.fleet, &self.scenario.rules);
        state.server = Server::new(spec, fleet, rules, random);
    }

    /// Adds servers and returns their numbers. Zone, cell, machine type and speed are those
    /// of `replaced`, where it is given.
    fn add_servers(&self, count: usize, replaced: Option<usize>) -> Vec<usize> {
        let replaced = replaced
            .and_then(|number| self.server(number))
            .map(|host| host.with_server(|server| server.spec.clone()));
        let now = self.now();
        let mut servers = self.servers.write().unwrap_or_else(PoisonError::into_inner);
        let first = servers.len();
        for number in first..first + count {
            let spec = fleet::new_server(&self.scenario, self.seed, number, replaced.as_ref(), now);
            servers.push(Arc::new(ServerHost::new(&self.scenario, self.seed, spec)));
        }
        (first..first + count).collect()
    }
}

fn attempt_target(server: &Server, now: Micros) -> AttemptTarget {
    let is_in_slow_start = server.slow_start_factor(now) < 1.0;
    AttemptTarget {
        server: server.spec.number,
        zone: server.spec.zone,
        cell: server.spec.cell,
        slow_start_capacity: is_in_slow_start.then(|| server.capacity(now)),
    }
}
