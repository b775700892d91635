//! Tests of the decisions, one file for each module, and their common helpers: a recording host,
//! balancers and requests. Most tests build the state that they need and call one function.

use std::cell::RefCell;
use std::rc::Rc;

use rstest::rstest;

use crate::balancer::Balancer;
use crate::hashing::hash_pair;
use crate::state::decaying::{LONG_TERM_HORIZON_US, MICROS_PER_SECOND, RECENT_HORIZON_US};
use crate::state::endpoint::InFlightAttempt;
use crate::state::request::{Attempt, Request};
use crate::state::timers::QUEUE_TIMER;
use crate::{
    AttemptEnd, AttemptOutcome, EndpointLocation, Host, Idempotency, IdempotencyScope,
    ListedEndpoint, LoadReport, Micros, RequestArrival, RequestClass, Settings, SlowStart,
};

mod admission;
mod attempt_end;
mod concurrency;
mod endpoint_list;
mod gossip;
mod key_order;
mod latency;
mod learning;
mod load_probing;
mod outliers;
mod projection;
mod queueing;
mod retry;
mod scoring;
mod slow_start;
mod slow_start_fleet;
mod subset;

const MS: Micros = 1_000;
const START_AT: Micros = 1_000_000_000;

/// Records the calls of a balancer as lines of text.
#[derive(Clone, Default)]
struct RecordingHost {
    calls: Rc<RefCell<Vec<String>>>,
}

impl RecordingHost {
    /// Returns the number of calls whose line starts with `prefix`.
    fn count(&self, prefix: &str) -> usize {
        let calls = self.calls.borrow();
        calls.iter().filter(|call| call.starts_with(prefix)).count()
    }

    fn record(&self, call: String) {
        self.calls.borrow_mut().push(call);
    }

    /// Returns the time at which the first attempt times out, relative to the start of the test.
    fn first_attempt_deadline(&self) -> Option<Micros> {
        let calls = self.calls.borrow();
        calls
            .iter()
            .find_map(|call| call.split(" until ").nth(1)?.parse().ok())
    }
}

impl Host for RecordingHost {
    fn start_attempt(&mut self, request: &str, endpoint: &str, expire_at: Micros) {
        self.record(format!(
            "attempt {request} {endpoint} until {}",
            expire_at - START_AT
        ));
    }
    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        self.record(format!("cancel {request} {attempt}"));
    }
    fn reject(&mut self, request: &str, retry_after: Micros) {
        self.record(format!("reject {request} {retry_after}"));
    }
    fn fail(&mut self, request: &str) {
        self.record(format!("fail {request}"));
    }
    fn set_timer(&mut self, after: Micros, _: u64) {
        self.record(format!("timer {after}"));
    }
    fn poll_endpoint_list(&mut self) {
        self.record("poll list".into());
    }
    fn probe(&mut self, endpoint: &str) {
        self.record(format!("probe {endpoint}"));
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.record(format!("close {endpoint}"));
    }
    fn send_gossip(&mut self, balancer: Option<usize>, message: &str) {
        self.record(format!(
            "gossip {} {message}",
            balancer.map_or("all".to_owned(), |b| b.to_string())
        ));
    }
}

const CELL_SCOPED_KEY: Idempotency = Idempotency::IdempotencyKey {
    scope: IdempotencyScope::Cell,
    window: 2_000 * MS,
};

const ALL_SCOPED_KEY: Idempotency = Idempotency::IdempotencyKey {
    scope: IdempotencyScope::All,
    window: 2_000 * MS,
};

/// Creates one of two balancers, with warm endpoints in two cells.
fn balancer(
    idempotency: Idempotency,
    endpoints: usize,
) -> (Balancer<RecordingHost>, RecordingHost) {
    let recorder = RecordingHost::default();
    let settings = Settings {
        balancers: 2,
        own_index: 0,
        zone: 0,
        max_poll_interval: Some(8_000 * MS),
        weights_listed: false,
        can_cancel: true,
        load_from_probes: false,
        load_unreported: false,
        gossip_allowed: false,
        max_attempts: 3,
        max_retry_after: 0,
        key_cooldown: 300 * MS,
        unlisted_stay_usable: false,
        slow_start: SlowStart {
            initial_capacity: 0.2,
            duration: 10_000 * MS,
            overload_multiple: 3.0,
            overload_window: 2_000 * MS,
        },
        classes: vec![RequestClass {
            latency_objective: 400 * MS,
            idempotency,
            priority_weight: 1.0,
            ordered_by_key: false,
        }],
        tenant_quotas: vec![20.0],
    };
    let mut balancer = Balancer::start(recorder.clone(), 7, settings, START_AT);
    for u in 0..endpoints {
        balancer.endpoint_listed(listed(&format!("u{u}"), 0, u as u64 % 2, 0));
    }
    balancer.endpoint_list_ended(START_AT);
    balancer.admission.admitted_share = 1.0;
    (balancer, recorder)
}

/// Creates one of many balancers, with endpoints in one cell.
fn one_of_many(number: usize, balancers: usize, endpoints: usize) -> Balancer<RecordingHost> {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 0);
    (balancer.settings.own_index, balancer.settings.balancers) = (number, balancers);
    for u in 0..endpoints {
        balancer.endpoint_listed(listed(&format!("u{u}"), 0, 0, 0));
    }
    balancer.endpoint_list_ended(START_AT);
    balancer
}

/// Creates a list entry for an endpoint of weight 1.
fn listed(id: &str, zone: u64, cell: u64, started_at: Micros) -> ListedEndpoint<'_> {
    ListedEndpoint {
        id,
        zone,
        machine_type: 0,
        cell,
        weight: 1.0,
        started_at,
    }
}

/// Creates the arrival of a request of the first class and tenant.
fn arrival(id: &str, deadline: Micros) -> RequestArrival<'_> {
    RequestArrival {
        id,
        class: 0,
        tenant: 0,
        deadline,
        work_hint: None,
        key: None,
    }
}

fn attempt_end(
    number: usize,
    is_final: bool,
    outcome: AttemptOutcome,
    elapsed: Micros,
) -> AttemptEnd {
    AttemptEnd {
        number,
        is_final,
        outcome,
        elapsed,
    }
}

fn in_flight_report(in_flight: f64) -> LoadReport {
    LoadReport {
        in_flight: Some(in_flight),
        ..LoadReport::default()
    }
}

fn arrive(balancer: &mut Balancer<RecordingHost>, now: Micros, id: &str) {
    balancer.request_arrived(now, arrival(id, now + 1_000 * MS));
}

/// Creates an attempt in flight of average work.
fn in_flight(sent_at: Micros) -> InFlightAttempt {
    InFlightAttempt { sent_at, work: 1.0 }
}

/// Returns the location of an endpoint of [`balancer`].
fn location(index: usize) -> EndpointLocation {
    let cell = index as u64 % 2;
    EndpointLocation { zone: 0, cell }
}

/// Creates a request that was attempted at these endpoints of [`balancer`].
fn request(endpoints: &[usize], may_have_run: bool) -> Request {
    let sent = |&index| Attempt {
        in_flight: false,
        may_have_run,
        ..Attempt::new(index, Some(location(index)), START_AT, None)
    };
    let (objective_at, deadline) = (START_AT + 400 * MS, START_AT + 5_000 * MS);
    let attempts = endpoints.iter().map(sent).collect();
    Request {
        attempts,
        ..Request::new(Rc::from("t"), 0, objective_at, deadline, 1.0, true)
    }
}
