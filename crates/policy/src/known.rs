//! What a balancer keeps of endpoints, requests and the fleet: types, no decisions.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use nanorand::WyRand;

use crate::fading::{Fading, Mean};
use crate::groups::Fared;
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
    pub(crate) kind: u64,
    pub(crate) cell: u64,
    pub(crate) ready: bool,
    /// Since when the list no longer names it though it did not drain, where that does not bind.
    pub(crate) left: Option<Micros>,
    pub(crate) weight: Mean,
    pub(crate) launched: Micros,
    /// Attempts that are out: when they were sent, and their work.
    pub(crate) outs: Vec<(Micros, f64)>,
    pub(crate) answers: Mean,
    pub(crate) lasting_answers: Mean,
    pub(crate) shortest: Option<f64>,
    /// Time that succeeded attempts were in flight.
    pub(crate) kept: Fading,
    pub(crate) unanswered_since: Option<Micros>,
    /// Until when requests may be open that were sent here.
    pub(crate) met_until: Micros,
    /// Failed or turned a request away: nothing more until then, or failures would come in storms.
    pub(crate) full_until: Micros,
    pub(crate) utilisation: Option<f64>,
    pub(crate) queue: Option<f64>,
    /// What it holds in all, as far as it was told.
    pub(crate) held: Option<f64>,
    /// Hundredth parts of all attempts there that failed of late, as its keeper tells.
    pub(crate) lost: u64,
    pub(crate) reported: Micros,
    /// When it last answered a request.
    pub(crate) answered: Micros,
    /// When something was last sent there or came from it.
    pub(crate) used: Option<Micros>,
    /// What others told of their attempts here, where this balancer keeps its book: who sent, and when.
    pub(crate) book: Vec<(usize, Micros)>,
    /// What others told of how their attempts here ended: so many failed, so many succeeded.
    pub(crate) fame: (Fading, Fading),
    /// Work sent in the span of its cold life with this number.
    pub(crate) cold_spent: (u64, f64),
}

/// What the mechanism saw when it drew: candidates by falling priority, and which was drawn.
pub(crate) struct Scene {
    pub(crate) rows: Vec<[f64; FEATURES]>,
    pub(crate) drawn: usize,
    pub(crate) chance: f64,
}

/// What an alarm was set for.
pub(crate) enum Alarm {
    /// A request that asked.
    Asked(Rc<str>),
    /// Whoever stands in the line of a key.
    Line(u64),
}

/// The requests of one key, of classes in order.
#[derive(Default)]
pub(crate) struct Line {
    /// The request that has the turn, until it is over.
    pub(crate) turn: Option<Rc<str>>,
    /// Those taken after it, in their order; nothing was ever sent for them.
    pub(crate) waiting: Vec<Request>,
    /// Attempts of which no end was told, also of requests that are over.
    pub(crate) out: usize,
    pub(crate) rests_until: Micros,
    /// When it is looked at next.
    pub(crate) looked_at: Micros,
}

pub(crate) struct Attempt {
    pub(crate) endpoint: usize,
    pub(crate) sent: Micros,
    pub(crate) out: bool,
    pub(crate) may_have_run: bool,
    /// When its connection broke under it.
    pub(crate) broke: Option<Micros>,
    /// How long its connection had rested, and what the endpoint held then, where that is known.
    pub(crate) rested: Option<Micros>,
    pub(crate) before: Option<f64>,
    pub(crate) scene: Option<Scene>,
}

impl Attempt {
    pub(crate) fn new(endpoint: usize, sent: Micros, scene: Option<Scene>) -> Self {
        let (broke, rested, before) = (None, None, None);
        Self {
            endpoint,
            sent,
            out: true,
            may_have_run: true,
            broke,
            rested,
            before,
            scene,
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
    pub(crate) line: Option<u64>,
    /// Of its last attempt no end was told; never are two out.
    pub(crate) untold: bool,
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
            line: None,
            untold: false,
            waits,
            answered,
        }
    }
}

/// What is known of one class.
#[derive(Clone, Default)]
pub(crate) struct Pace {
    pub(crate) present: Mean,
    pub(crate) lasting: Mean,
    /// Squares of what `lasting` holds.
    pub(crate) squares: Mean,
    pub(crate) shortest: Option<f64>,
    pub(crate) hint: Mean,
    /// Of what was out for longer than silence, the part that was never answered.
    pub(crate) overdue: Mean,
}

/// What is seen of the fleet and of the traffic as a whole.
#[derive(Default)]
pub(crate) struct Seen {
    pub(crate) answers: Mean,
    pub(crate) payoffs: Mean,
    pub(crate) pressure: Mean,
    /// Answer time for each request that an endpoint of weight 1 holds, the own one included.
    pub(crate) each: Mean,
    pub(crate) succeeded: Fading,
    pub(crate) arrivals: Fading,
    pub(crate) served: Fading,
}

/// One balancer: what it was told, and all that it keeps.
pub struct Balancer<H: Host> {
    pub(crate) host: H,
    pub(crate) settings: Settings,
    pub(crate) chance: WyRand,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) by_id: HashMap<Rc<str>, usize>,
    /// All ready endpoints in this balancer's own order, the first of which it keeps to.
    pub(crate) order: Vec<usize>,
    /// The same with those of the own zone first, and until when there was no room in them.
    pub(crate) near_first: Vec<usize>,
    pub(crate) crowded_until: Micros,
    pub(crate) requests: HashMap<Rc<str>, Request>,
    pub(crate) held: Vec<Request>,
    /// Requests that wait for what endpoints hold.
    pub(crate) asking: Vec<Request>,
    /// Requests in order by key, and those that are answered but have attempts of which no end was told.
    pub(crate) lines: BTreeMap<u64, Line>,
    pub(crate) trailing: HashMap<Rc<str>, u64>,
    /// When a request last found no endpoint in time.
    pub(crate) in_vain: Micros,
    /// Idle connections were found dropped: after how long a rest, and until when that is believed.
    pub(crate) dropped: (Micros, Micros),
    pub(crate) alarms: HashMap<u64, Alarm>,
    pub(crate) last_alarm: u64,
    pub(crate) pump_set: bool,
    pub(crate) failed_follows: u32,
    /// Warm ready endpoints when last counted.
    pub(crate) warm: usize,
    /// Own chance that stays for the whole life.
    pub(crate) salt: u64,
    /// Share of requests let through.
    pub(crate) let_through: f64,
    /// How far recent answers stay under what counts as late, 0 to 1.
    pub(crate) ease: f64,
    pub(crate) weights: [f64; FEATURES],
    pub(crate) samples: Vec<(Scene, f64)>,
    pub(crate) updated: Micros,
    pub(crate) started: Micros,
    pub(crate) paces: Vec<Pace>,
    pub(crate) seen: Seen,
    pub(crate) admitted: Vec<Fading>,
    /// How classes, then tenants fared, and all together.
    pub(crate) groups: Vec<Fared>,
    pub(crate) fared: Fared,
}

impl<H: Host> Balancer<H> {
    /// One that has seen nothing yet.
    pub(crate) fn blank(
        host: H,
        chance: WyRand,
        settings: Settings,
        weights: [f64; FEATURES],
        now: Micros,
    ) -> Self {
        Self {
            host,
            chance,
            endpoints: Vec::new(),
            by_id: HashMap::new(),
            order: Vec::new(),
            near_first: Vec::new(),
            crowded_until: 0,
            requests: HashMap::new(),
            held: Vec::new(),
            asking: Vec::new(),
            lines: BTreeMap::new(),
            trailing: HashMap::new(),
            in_vain: 0,
            dropped: (0, 0),
            alarms: HashMap::new(),
            last_alarm: 0,
            pump_set: false,
            failed_follows: 0,
            warm: 0,
            salt: 0,
            let_through: 1.0,
            ease: 0.0,
            weights,
            samples: Vec::new(),
            updated: now,
            started: now,
            paces: vec![Pace::default(); settings.classes.len()],
            seen: Seen::default(),
            admitted: vec![Fading::default(); settings.tenant_quotas.len()],
            groups: vec![Fared::default(); settings.classes.len() + settings.tenant_quotas.len()],
            fared: Fared::default(),
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
        let lines = self.lines.values_mut().flat_map(|line| &mut line.waiting);
        let waiting = self.held.iter_mut().chain(&mut self.asking).chain(lines);
        for request in waiting.chain(self.requests.values_mut()) {
            request.max_attempts = request.max_attempts.min(most);
        }
        self.paces.resize(settings.classes.len(), Pace::default());
        self.groups = vec![Fared::default(); settings.classes.len() + settings.tenant_quotas.len()];
        self.admitted = vec![Fading::default(); settings.tenant_quotas.len()];
        self.settings = settings;
        self.held.sort_by_key(|request| request.objective_at);
        self.order.clear();
        self.near_first.clear();
        self.draw_order();
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A place for an endpoint that has none yet.
    pub(crate) fn blank_place(&mut self) -> usize {
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
    pub(crate) fn drop_out(&mut self, now: Micros, stays_open: bool) {
        match stays_open {
            true => _ = self.left.get_or_insert(now),
            false => self.ready = false,
        }
    }

    pub(crate) fn any_out(&self) -> bool {
        !self.outs.is_empty()
    }

    /// Attempts that are out and were sent since then, and their work: what was sent before is lost, not slow.
    pub(crate) fn out_since(&self, since: Micros) -> (f64, f64) {
        let young = self.outs.iter().filter(|out| out.0 >= since);
        young.fold((0.0, 0.0), |(count, work), out| (count + 1.0, work + out.1))
    }

    pub(crate) fn release(&mut self, sent: Micros, work: f64) {
        if let Some(at) = self.outs.iter().position(|out| *out == (sent, work)) {
            self.outs.remove(at);
        }
    }

    /// Whether nothing was heard of what was sent before then.
    pub(crate) fn silent_since(&self, since: Micros) -> bool {
        self.unanswered_since.is_some_and(|sent| sent < since)
    }

    pub(crate) fn silent_for(&self, now: Micros) -> f64 {
        self.unanswered_since
            .map_or(0.0, |since| now.saturating_sub(since) as f64)
    }
}
