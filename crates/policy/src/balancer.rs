//! A balancer and its event handlers, in the order in which a request triggers them. Each handler
//! makes a few calls to the modules in `decisions`. The handlers for the endpoint list are in
//! `decisions/endpoint_list.rs`.

use std::collections::HashMap;
use std::rc::Rc;

use nanorand::WyRand;

use crate::hashing::hash_pair;
use crate::scoring::learning::Learning;
use crate::state::admission::Admission;
use crate::state::class_latency::ClassLatency;
use crate::state::decaying::{DecayingSum, LONG_TERM_HORIZON_US};
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

/// Lower bound of a request's work relative to the average of its class.
const MIN_RELATIVE_WORK: f64 = 0.1;
/// Upper bound of a request's work relative to the average of its class.
const MAX_RELATIVE_WORK: f64 = 10.0;

/// An arriving request.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival<'a> {
    /// Unique name of the request.
    pub id: &'a str,
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// Index of its tenant in [`Settings::tenant_quotas`]; an index beyond the end of that list has
    /// no quota.
    pub tenant: usize,
    /// Time in microseconds at which the client stops waiting.
    pub deadline: Micros,
    /// Expected service time in microseconds, if the client gives one.
    pub work_hint: Option<Micros>,
    /// Key by which the request is ordered if its class has
    /// [`RequestClass::ordered_by_key`](crate::RequestClass::ordered_by_key) set.
    pub key: Option<u64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Position of the attempt among the attempts of its request, counted from 0.
    pub number: usize,
    /// Whether the request is complete, so that no attempt follows.
    pub is_final: bool,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Duration of the attempt in microseconds.
    pub elapsed: Micros,
}

/// Load of an endpoint as reported by the endpoint itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Busy fraction of the endpoint's capacity.
    pub utilisation: Option<f64>,
    /// Number of requests queued at the endpoint.
    pub queue: Option<f64>,
    /// Number of requests in flight at the endpoint.
    pub in_flight: Option<f64>,
}

/// Load balancer of one proxy instance.
pub struct Balancer<H: Host> {
    pub(crate) host: H,
    pub(crate) settings: Settings,
    pub(crate) random: WyRand,
    /// Random number of this instance, constant until the process ends.
    pub(crate) instance_seed: u64,
    pub(crate) started_at: Micros,
    pub(crate) endpoints: EndpointTable,
    pub(crate) subset: Subset,
    /// Number of ready endpoints outside slow start, as of the last count.
    pub(crate) warm_endpoints: usize,
    /// Number of failed polls of the endpoint list since the last successful one.
    pub(crate) failed_list_polls: u32,
    /// Requests with an attempt in flight.
    pub(crate) requests: HashMap<Rc<str>, Request>,
    /// Requests that wait for capacity.
    pub(crate) queue: RequestQueue,
    /// Requests that wait for the loads of endpoints to be reported.
    pub(crate) load_polls: LoadPolls,
    pub(crate) key_queues: KeyQueues,
    pub(crate) timers: Timers,
    pub(crate) admission: Admission,
    pub(crate) learning: Learning,
    pub(crate) outliers: Outliers,
    pub(crate) idle_drops: IdleDrops,
    /// Latency statistics by class index.
    pub(crate) class_latency: Vec<ClassLatency>,
    pub(crate) fleet: FleetStatistics,
}

impl<H: Host> Balancer<H> {
    /// Starts a balancer with an empty endpoint list. `seed` makes its random decisions
    /// reproducible.
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

    /// Returns the current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Applies new settings. Open requests keep their class and latency objective, and the lower of
    /// the old and the new limit of attempts.
    ///
    /// Classes keep their indices: the existing classes come first, and each is unchanged,
    /// stricter, or has a priority weight of 0 if clients can no longer request it.
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
        if !settings.unlisted_stay_usable {
            self.endpoints.withdraw_unlisted();
        }
        self.settings = settings;
        self.queue.sort();
        self.subset.clear();
        self.rebuild_preference_order();
    }

    /// Handles an arriving request: sheds it, queues it behind others with its key, queues it for
    /// capacity, or sends it.
    pub fn request_arrived(&mut self, now: Micros, arrival: RequestArrival<'_>) {
        let Some(class) = self.settings.classes.get(arrival.class) else {
            return self.host.reject(arrival.id, 0);
        };
        let objective_at = now + class.latency_objective;
        let order_key = arrival.key.filter(|_| class.ordered_by_key);
        self.fleet.arrivals.add(now, LONG_TERM_HORIZON_US, 1.0);
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

    /// Returns the work of a request relative to the average of its class; 1 without a hint.
    fn relative_work(&mut self, now: Micros, class: usize, hint: Option<Micros>) -> f64 {
        let Some(hint) = hint.map(|hint| hint as f64) else {
            return 1.0;
        };
        let average = &mut self.class_latency[class].work_hint;
        average.add(now, LONG_TERM_HORIZON_US, hint, 1.0);
        (hint / average.read().unwrap_or(1.0).max(1.0)).clamp(MIN_RELATIVE_WORK, MAX_RELATIVE_WORK)
    }

    /// Handles a load report of an endpoint. The report may be late.
    pub fn load_reported(&mut self, now: Micros, id: &str, report: LoadReport) {
        let valid = |value: Option<f64>| value.filter(|value| *value >= 0.0);
        if let Some(endpoint) = self.endpoints.find_mut(id) {
            endpoint.reported_utilisation = valid(report.utilisation);
            endpoint.reported_in_flight = valid(report.in_flight);
            endpoint.reported_queue = valid(report.queue).or(endpoint.reported_in_flight);
            endpoint.reported_at = now;
        }
    }

    /// Handles the end of a probe; `answered` is false if the endpoint did not respond.
    pub fn probe_completed(&mut self, now: Micros, id: &str, answered: bool) {
        if let Some(index) = self.endpoints.index_of(id) {
            self.load_received(now, index, answered);
        }
    }

    /// Handles the start of a response, after which no further attempt of the request may follow.
    pub fn response_started(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.response_started = true;
        }
    }

    /// Handles the end of an attempt: records its outcome, then closes the request, places it for
    /// another attempt, or answers it as not served.
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

    /// Handles the disconnection of a request's client.
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

    /// Handles the expiry of a timer set by [`Host::set_timer`].
    pub fn timer_expired(&mut self, now: Micros, timer: u64) {
        match timer {
            LIST_POLL_TIMER => self.host.poll_endpoint_list(),
            QUEUE_TIMER => {
                self.queue.timer_scheduled = false;
                self.process_queue(now);
            }
            _ => match self.timers.take_expired(timer) {
                Some(TimerPurpose::LoadPollTimeout(id)) => self.load_poll_timed_out(now, &id),
                Some(TimerPurpose::KeyQueue(key)) => self.advance_key_queue(now, key),
                None => {}
            },
        }
    }

    /// Returns the lists of requests that wait for capacity, for loads or for their key.
    pub(crate) fn waiting_lists(&mut self) -> impl Iterator<Item = &mut Vec<Request>> {
        let key_queues = self.key_queues.queues.values_mut();
        [&mut self.queue.requests, &mut self.load_polls.requests]
            .into_iter()
            .chain(key_queues.map(|queue| &mut queue.waiting))
    }
}
