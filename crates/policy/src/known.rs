//! What a balancer keeps of endpoints, requests and the fleet: types, no decisions.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use nanorand::WyRand;

use crate::decaying::{DecayingAverage, DecayingSum};
use crate::outliers::OutcomeCounts;
use crate::{Host, Micros, Settings};

/// Features of an endpoint for one request, each about 0 for an average one: constant, own latency, reported
/// utilisation, own in flight, capacity, same zone, reported queue.
pub(crate) const FEATURES: usize = 7;

/// One endpoint as this balancer knows it. Answer times are per usual request.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) id: Rc<str>,
    pub(crate) hash: u64,
    pub(crate) zone: u64,
    /// Machine type.
    pub(crate) machine_type: u64,
    pub(crate) cell: u64,
    pub(crate) ready: bool,
    /// Since when the list no longer names it though it did not drain, where that does not bind.
    pub(crate) unlisted_since: Option<Micros>,
    pub(crate) weight: DecayingAverage,
    pub(crate) started_at: Micros,
    /// Attempts that are out: when they were sent, and their work.
    pub(crate) in_flight: Vec<(Micros, f64)>,
    pub(crate) recent_latency: DecayingAverage,
    pub(crate) long_term_latency: DecayingAverage,
    pub(crate) shortest: Option<f64>,
    /// Time that succeeded attempts were in flight.
    pub(crate) busy_time: DecayingSum,
    pub(crate) unanswered_since: Option<Micros>,
    /// Until when requests may be open that were sent here.
    pub(crate) latest_deadline: Micros,
    /// Failed or turned a request away: nothing more until then, or failures would come in storms.
    pub(crate) backoff_until: Micros,
    pub(crate) reported_utilisation: Option<f64>,
    pub(crate) reported_queue: Option<f64>,
    /// What it holds in all, as far as it was told.
    pub(crate) reported_in_flight: Option<f64>,
    /// Hundredth parts of all attempts there that failed of late, as its keeper tells.
    pub(crate) failure_percent: u64,
    pub(crate) reported_at: Micros,
    /// When it last answered a request.
    pub(crate) last_success: Micros,
    /// When something was last sent there or came from it.
    pub(crate) last_used: Option<Micros>,
    /// What others told of their attempts here, where this balancer keeps its book: who sent, and when.
    pub(crate) load_ledger: Vec<(usize, Micros)>,
    /// What others told of how their attempts here ended: so many failed, so many succeeded.
    pub(crate) peer_outcomes: (DecayingSum, DecayingSum),
    /// Work sent in the span of its cold life with this number.
    pub(crate) slow_start_spent: (u64, f64),
}

/// What the mechanism saw when it drew: candidates by falling priority, and which was drawn.
pub(crate) struct DecisionSample {
    pub(crate) rows: Vec<[f64; FEATURES]>,
    pub(crate) drawn: usize,
    pub(crate) chance: f64,
}

/// What an alarm was set for.
pub(crate) enum TimerPurpose {
    /// A request that asked.
    Asked(Rc<str>),
    /// Whoever stands in the line of a key.
    KeyQueue(u64),
}

/// The requests of one key, of classes in order.
#[derive(Default)]
pub(crate) struct KeyQueue {
    /// The request that has the turn, until it is over.
    pub(crate) turn: Option<Rc<str>>,
    /// Those taken after it, in their order; nothing was ever sent for them.
    pub(crate) waiting: Vec<Request>,
    /// Attempts of which no end was told, also of requests that are over.
    pub(crate) out: usize,
    pub(crate) cooldown_until: Micros,
    /// When it is looked at next.
    pub(crate) next_check_at: Micros,
}

pub(crate) struct Attempt {
    pub(crate) endpoint: usize,
    pub(crate) sent: Micros,
    pub(crate) out: bool,
    pub(crate) may_have_run: bool,
    /// When its connection broke under it.
    pub(crate) connection_lost_at: Option<Micros>,
    /// How long its connection had rested, and what the endpoint held then, where that is known.
    pub(crate) idle_for: Option<Micros>,
    pub(crate) before: Option<f64>,
    pub(crate) sample: Option<DecisionSample>,
}

impl Attempt {
    pub(crate) fn new(endpoint: usize, sent: Micros, sample: Option<DecisionSample>) -> Self {
        let (connection_lost_at, idle_for, before) = (None, None, None);
        Self {
            endpoint,
            sent,
            out: true,
            may_have_run: true,
            connection_lost_at,
            idle_for,
            before,
            sample,
        }
    }
}

pub(crate) struct Request {
    pub(crate) id: Rc<str>,
    pub(crate) class: usize,
    pub(crate) objective_at: Micros,
    pub(crate) deadline: Micros,
    /// Work against a usual request of its class.
    pub(crate) work: f64,
    pub(crate) within_quota: bool,
    pub(crate) tenant: usize,
    pub(crate) streaming: bool,
    /// What the settings that it was taken under allow: attempts, and two out at once. The stricter ones hold.
    pub(crate) max_attempts: usize,
    pub(crate) attempts: Vec<Attempt>,
    /// The key whose line it stands in, where its class is in order.
    pub(crate) key_queue: Option<u64>,
    /// Of its last attempt no end was told; never are two out.
    pub(crate) outcome_pending: bool,
    /// Endpoints asked for their load that have not answered, and those that have.
    pub(crate) waits: Vec<usize>,
    pub(crate) answered: Vec<usize>,
}

impl Request {
    pub(crate) fn new(
        id: Rc<str>,
        class: usize,
        objective_at: Micros,
        deadline: Micros,
        work: f64,
        within_quota: bool,
    ) -> Self {
        let (streaming, attempts, waits, answered) = (false, Vec::new(), Vec::new(), Vec::new());
        Self {
            id,
            class,
            objective_at,
            deadline,
            work,
            within_quota,
            streaming,
            max_attempts: usize::MAX,
            attempts,
            tenant: 0,
            key_queue: None,
            outcome_pending: false,
            waits,
            answered,
        }
    }
}

/// What is known of one class.
#[derive(Clone, Default)]
pub(crate) struct ClassLatency {
    pub(crate) present: DecayingAverage,
    pub(crate) long_term: DecayingAverage,
    /// Squares of what `lasting` holds.
    pub(crate) squares: DecayingAverage,
    pub(crate) shortest: Option<f64>,
    pub(crate) hint: DecayingAverage,
    /// Of what was out for longer than silence, the part that was never answered.
    pub(crate) overdue: DecayingAverage,
}

/// What is seen of the fleet and of the traffic as a whole.
#[derive(Default)]
pub(crate) struct FleetStatistics {
    pub(crate) latency: DecayingAverage,
    pub(crate) rewards: DecayingAverage,
    pub(crate) pressure: DecayingAverage,
    /// Answer time for each request that an endpoint of weight 1 holds, the own one included.
    pub(crate) latency_per_request: DecayingAverage,
    pub(crate) succeeded: DecayingSum,
    pub(crate) arrivals: DecayingSum,
    pub(crate) served: DecayingSum,
}

/// One balancer: what it was told, and all that it keeps.
pub struct Balancer<H: Host> {
    pub(crate) host: H,
    pub(crate) settings: Settings,
    pub(crate) random: WyRand,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) index_by_id: HashMap<Rc<str>, usize>,
    /// All ready endpoints in this balancer's own order, the first of which it keeps to.
    pub(crate) preference_order: Vec<usize>,
    /// The same with those of the own zone first, and until when there was no room in them.
    pub(crate) zone_first_order: Vec<usize>,
    pub(crate) zone_crowded_until: Micros,
    pub(crate) requests: HashMap<Rc<str>, Request>,
    pub(crate) queue: Vec<Request>,
    /// Requests that wait for what endpoints hold.
    pub(crate) awaiting_loads: Vec<Request>,
    /// Requests in order by key, and those that are answered but have attempts of which no end was told.
    pub(crate) key_queues: BTreeMap<u64, KeyQueue>,
    pub(crate) trailing: HashMap<Rc<str>, u64>,
    /// When a request last found no endpoint in time.
    pub(crate) last_unplaced: Micros,
    /// Idle connections were found idle_drops: after how long a rest, and until when that is believed.
    pub(crate) idle_drops: (Micros, Micros),
    pub(crate) timers: HashMap<u64, TimerPurpose>,
    pub(crate) last_timer: u64,
    pub(crate) queue_timer_scheduled: bool,
    pub(crate) failed_list_polls: u32,
    /// Warm ready endpoints when last counted.
    pub(crate) warm_endpoints: usize,
    /// Own chance that stays for the whole life.
    pub(crate) instance_seed: u64,
    /// Share of requests let through.
    pub(crate) admitted_share: f64,
    /// How far recent answers stay under what counts as late, 0 to 1.
    pub(crate) headroom: f64,
    pub(crate) weights: [f64; FEATURES],
    pub(crate) samples: Vec<(DecisionSample, f64)>,
    pub(crate) updated: Micros,
    pub(crate) started: Micros,
    pub(crate) class_latency: Vec<ClassLatency>,
    pub(crate) fleet: FleetStatistics,
    pub(crate) admitted: Vec<DecayingSum>,
    /// How classes, then tenants fared, and all together.
    pub(crate) outlier_groups: Vec<OutcomeCounts>,
    pub(crate) all_outcomes: OutcomeCounts,
}

impl<H: Host> Balancer<H> {
    /// One that has seen nothing yet.
    pub(crate) fn blank(
        host: H,
        random: WyRand,
        settings: Settings,
        weights: [f64; FEATURES],
        now: Micros,
    ) -> Self {
        Self {
            host,
            random,
            endpoints: Vec::new(),
            index_by_id: HashMap::new(),
            preference_order: Vec::new(),
            zone_first_order: Vec::new(),
            zone_crowded_until: 0,
            requests: HashMap::new(),
            queue: Vec::new(),
            awaiting_loads: Vec::new(),
            key_queues: BTreeMap::new(),
            trailing: HashMap::new(),
            last_unplaced: 0,
            idle_drops: (0, 0),
            timers: HashMap::new(),
            last_timer: 0,
            queue_timer_scheduled: false,
            failed_list_polls: 0,
            warm_endpoints: 0,
            instance_seed: 0,
            admitted_share: 1.0,
            headroom: 0.0,
            weights,
            samples: Vec::new(),
            updated: now,
            started: now,
            class_latency: vec![ClassLatency::default(); settings.classes.len()],
            fleet: FleetStatistics::default(),
            admitted: vec![DecayingSum::default(); settings.tenant_quotas.len()],
            outlier_groups: vec![
                OutcomeCounts::default();
                settings.classes.len() + settings.tenant_quotas.len()
            ],
            all_outcomes: OutcomeCounts::default(),
            settings,
        }
    }
}

impl<H: Host> Balancer<H> {
    /// New settings hold from now on. Open requests keep their class and latency objective, and of attempts what
    /// the stricter settings allow. Classes keep their numbers: those of before stand first, as they were,
    /// stricter, or earning 0 where clients can't ask for them now.
    pub fn settings_changed(&mut self, settings: Settings) {
        let most = self.settings.max_attempts;
        let key_queues = self
            .key_queues
            .values_mut()
            .flat_map(|key_queue| &mut key_queue.waiting);
        let waiting = self
            .queue
            .iter_mut()
            .chain(&mut self.awaiting_loads)
            .chain(key_queues);
        for request in waiting.chain(self.requests.values_mut()) {
            request.max_attempts = request.max_attempts.min(most);
        }
        self.class_latency
            .resize(settings.classes.len(), ClassLatency::default());
        self.outlier_groups =
            vec![OutcomeCounts::default(); settings.classes.len() + settings.tenant_quotas.len()];
        self.admitted = vec![DecayingSum::default(); settings.tenant_quotas.len()];
        self.settings = settings;
        self.queue.sort_by_key(|request| request.objective_at);
        self.preference_order.clear();
        self.zone_first_order.clear();
        self.rebuild_preference_order();
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A place for an endpoint that has none yet.
    pub(crate) fn free_slot(&mut self) -> usize {
        self.endpoints
            .iter()
            .position(|endpoint| endpoint.id.is_empty())
            .unwrap_or_else(|| {
                self.endpoints.push(Endpoint::default());
                self.endpoints.len() - 1
            })
    }
}

impl Endpoint {
    /// No longer named. Where that does not bind, it may still be sent to, for a time.
    pub(crate) fn unlist(&mut self, now: Micros, stays_open: bool) {
        match stays_open {
            true => _ = self.unlisted_since.get_or_insert(now),
            false => self.ready = false,
        }
    }

    pub(crate) fn has_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Attempts that are out and were sent since then, and their work: what was sent before is lost, not slow.
    pub(crate) fn in_flight_since(&self, since: Micros) -> (f64, f64) {
        let young = self.in_flight.iter().filter(|out| out.0 >= since);
        young.fold((0.0, 0.0), |(count, work), out| (count + 1.0, work + out.1))
    }

    pub(crate) fn release(&mut self, sent: Micros, work: f64) {
        if let Some(at) = self.in_flight.iter().position(|out| *out == (sent, work)) {
            self.in_flight.remove(at);
        }
    }

    /// Whether nothing was heard of what was sent before then.
    pub(crate) fn unanswered_since_before(&self, since: Micros) -> bool {
        self.unanswered_since.is_some_and(|sent| sent < since)
    }

    pub(crate) fn unanswered_for(&self, now: Micros) -> f64 {
        self.unanswered_since
            .map_or(0.0, |since| now.saturating_sub(since) as f64)
    }
}
