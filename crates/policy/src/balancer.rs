//! A balancer and the events that it handles, in the order in which a request meets them. Each
//! event is a few calls of the modules in `decisions`. The events of the endpoint list are in
//! `decisions/endpoint_list.rs`.

use std::collections::HashMap;
use std::rc::Rc;

use nanorand::WyRand;

use crate::hashing::hash_pair;
use crate::scoring::learning::Learning;
use crate::state::admission::Admission;
use crate::state::class_latency::ClassLatency;
use crate::state::decaying::{DecayingSum, LONG_TERM_US};
use crate::state::endpoint_table::EndpointTable;
use crate::state::fleet_statistics::FleetStatistics;
use crate::state::idle_drops::IdleDrops;
use crate::state::key_queue::KeyQueues;
use crate::state::load_polls::LoadPolls;
use crate::state::outliers::Outliers;
use crate::state::request::Request;
use crate::state::request_queue::RequestQueue;
use crate::state::subset::Subset;
use crate::state::timers::{LIST_POLL_TIMER, QUEUE_TIMER, TimerPurpose, Timers};
use crate::{AttemptOutcome, Host, Micros, Settings};

/// Bounds of a request's work relative to an average one.
const MIN_RELATIVE_WORK: f64 = 0.1;
const MAX_RELATIVE_WORK: f64 = 10.0;

/// A request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival<'a> {
    /// Unique name of the request.
    pub id: &'a str,
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// Index of its tenant in [`Settings::tenant_quotas`]; one beyond the list has no quota.
    pub tenant: usize,
    /// Time after which the client no longer waits.
    pub deadline: Micros,
    /// Expected time in microseconds to serve it, where the client gives one.
    pub work_hint: Option<Micros>,
    /// Key by which it is ordered, where its class asks for that.
    pub key: Option<u64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Position of the attempt among those of its request, counted from 0.
    pub number: usize,
    /// Whether the request has its answer.
    pub is_final: bool,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Duration of the attempt in microseconds.
    pub elapsed: Micros,
}

/// Load of an endpoint as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Busy fraction of its capacity.
    pub utilisation: Option<f64>,
    /// Requests that wait there.
    pub queue: Option<f64>,
    /// Requests in flight there.
    pub in_flight: Option<f64>,
}

/// A balancer: the decisions of one instance of the proxy.
pub struct Balancer<H: Host> {
    pub(crate) host: H,
    pub(crate) settings: Settings,
    pub(crate) random: WyRand,
    /// Random number of this instance, constant for its whole run.
    pub(crate) instance_seed: u64,
    pub(crate) started_at: Micros,
    pub(crate) endpoints: EndpointTable,
    pub(crate) subset: Subset,
    /// Ready endpoints that are not in slow start, when last counted.
    pub(crate) warm_endpoints: usize,
    /// Polls of the endpoint list that failed since the last success.
    pub(crate) failed_list_polls: u32,
    /// Requests with an attempt in flight.
    pub(crate) requests: HashMap<Rc<str>, Request>,
    /// Requests that wait for capacity.
    pub(crate) queue: RequestQueue,
    /// Requests that wait for the loads of endpoints.
    pub(crate) load_polls: LoadPolls,
    pub(crate) key_queues: KeyQueues,
    pub(crate) timers: Timers,
    pub(crate) admission: Admission,
    pub(crate) learning: Learning,
    pub(crate) outliers: Outliers,
    pub(crate) idle_drops: IdleDrops,
    /// Latency by class.
    pub(crate) class_latency: Vec<ClassLatency>,
    pub(crate) fleet: FleetStatistics,
}

impl<H: Host> Balancer<H> {
    /// Starts a balancer that knows no endpoints. `seed` makes its random decisions reproducible.
    pub fn start(host: H, seed: u64, settings: Settings, now: Micros) -> Self {
        let mut balancer = Self {
            host,
            random: WyRand::new_seed(seed),
            instance_seed: hash_pair(seed, 0),
            started_at: now,
            endpoints: EndpointTable::default(),
            subset: Subset::default(),
            warm_endpoints: 0,
            failed_list_polls: 0,
            requests: HashMap::new(),
            queue: RequestQueue::default(),
            load_polls: LoadPolls::default(),
            key_queues: KeyQueues::default(),
            timers: Timers::default(),
            admission: Admission::new(settings.tenant_quotas.len()),
            learning: Learning::new(now),
            outliers: Outliers::new(settings.outlier_groups()),
            idle_drops: IdleDrops::default(),
            class_latency: vec![ClassLatency::default(); settings.classes.len()],
            fleet: FleetStatistics::default(),
            settings,
        };
        balancer.schedule_first_list_poll();
        balancer
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Puts new settings in force. Open requests keep their class and objective, and the lower
    /// limit of attempts.
    ///
    /// Classes keep their indices: the earlier ones come first, unchanged, stricter, or with a
    /// priority weight of 0 if clients can no longer request them.
    pub fn settings_changed(&mut self, settings: Settings) {
        let max_attempts = self.settings.max_attempts;
        for request in self.waiting_lists().flatten() {
            request.max_attempts = request.max_attempts.min(max_attempts);
        }
        for request in self.requests.values_mut() {
            request.max_attempts = request.max_attempts.min(max_attempts);
        }
        self.class_latency
            .resize(settings.classes.len(), ClassLatency::default());
        self.outliers.reset_groups(settings.outlier_groups());
        self.admission.tenants = vec![DecayingSum::default(); settings.tenant_quotas.len()];
        self.settings = settings;
        self.queue.sort();
        self.subset.clear();
        self.rebuild_preference_order();
    }

    /// A request arrived: it is shed, queued behind others of its key, queued for capacity, or
    /// sent.
    pub fn request_arrived(&mut self, now: Micros, arrival: RequestArrival<'_>) {
        let Some(class) = self.settings.classes.get(arrival.class) else {
            return self.host.reject(arrival.id, 0);
        };
        let objective_at = now + class.latency_objective;
        let order_key = arrival.key.filter(|_| class.ordered_by_key);
        self.fleet.arrivals.add(now, LONG_TERM_US, 1.0);
        let work = self.relative_work(now, arrival.class, arrival.work_hint);
        let within_quota = self
            .admission
            .count_against_quota(now, arrival.tenant, &self.settings);
        let (id, deadline) = (Rc::from(arrival.id), arrival.deadline);
        let request = Request {
            tenant: arrival.tenant,
            order_key,
            ..Request::new(
                id,
                arrival.class,
                objective_at,
                deadline,
                work,
                within_quota,
            )
        };
        if self.admit(now, &request) {
            self.enter_key_queue(now, request);
        } else {
            self.reject_or_fail(now, request);
        }
    }

    /// Work of a request relative to the average of its class; 1 without a hint.
    fn relative_work(&mut self, now: Micros, class: usize, hint: Option<Micros>) -> f64 {
        let Some(hint) = hint.map(|hint| hint as f64) else {
            return 1.0;
        };
        let average = &mut self.class_latency[class].work_hint;
        average.add(now, LONG_TERM_US, hint, 1.0);
        (hint / average.read().unwrap_or(1.0).max(1.0)).clamp(MIN_RELATIVE_WORK, MAX_RELATIVE_WORK)
    }

    /// An endpoint reported its load; the report may be late.
    pub fn load_reported(&mut self, now: Micros, id: &str, report: LoadReport) {
        let valid = |value: Option<f64>| value.filter(|value| *value >= 0.0);
        if let Some(endpoint) = self.endpoints.find_mut(id) {
            endpoint.reported_utilisation = valid(report.utilisation);
            endpoint.reported_in_flight = valid(report.in_flight);
            endpoint.reported_queue = valid(report.queue).or(endpoint.reported_in_flight);
            endpoint.reported_at = now;
        }
    }

    /// A probe of an endpoint ended, with an answer or without.
    pub fn probe_completed(&mut self, now: Micros, id: &str, answered: bool) {
        if let Some(index) = self.endpoints.index_of(id) {
            self.load_received(now, index, answered);
        }
    }

    /// The response of a request has started: no further attempt may follow.
    pub fn response_started(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.response_started = true;
        }
    }

    /// An attempt of a request ended.
    pub fn attempt_ended(&mut self, now: Micros, id: &str, end: AttemptEnd) {
        let Some(mut request) = self.requests.remove(id) else {
            return self.closed_request_attempt_ended(now, id, end.outcome);
        };
        request.outcome_pending = false;
        if let Some(key) = request.order_key {
            self.key_attempt_ended(now, key, end.outcome);
        }
        self.record_attempt_end(now, &mut request, end);
        if end.is_final {
            self.close(now, request);
        } else if request.attempt_in_flight().is_some() {
            self.requests.insert(Rc::clone(&request.id), request);
        } else if self.may_attempt(now, &request) {
            self.place_or_queue(now, request);
        } else {
            self.reject_or_fail(now, request);
        }
        self.process_queue(now);
    }

    /// The client of a request disconnected.
    pub fn client_disconnected(&mut self, now: Micros, id: &str) {
        let waiting = self
            .waiting_lists()
            .flat_map(|list| list.extract_if(.., |request| *request.id == *id))
            .next();
        if let Some(request) = self.requests.remove(id).or(waiting) {
            self.close(now, request);
            self.process_queue(now);
        }
    }

    /// A timer of [`Host::set_timer`] expired.
    pub fn timer_expired(&mut self, now: Micros, timer: u64) {
        match timer {
            LIST_POLL_TIMER => self.host.poll_endpoint_list(),
            QUEUE_TIMER => {
                self.queue.timer_scheduled = false;
                self.process_queue(now);
            }
            _ => match self.timers.expired(timer) {
                Some(TimerPurpose::LoadsPolled(id)) => self.load_poll_timed_out(now, &id),
                Some(TimerPurpose::KeyQueue(key)) => self.advance_key_queue(now, key),
                None => {}
            },
        }
    }

    /// The lists of requests that wait for capacity, for loads or for their key.
    fn waiting_lists(&mut self) -> impl Iterator<Item = &mut Vec<Request>> {
        let key_queues = self.key_queues.queues.values_mut();
        [&mut self.queue.requests, &mut self.load_polls.requests]
            .into_iter()
            .chain(key_queues.map(|queue| &mut queue.waiting))
    }
}
