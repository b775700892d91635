//! Every decision of the balancer: a method for each thing that happens, acting through the [`Host`]. The
//! ordinary path is `place`, or `ask` and `place_asked`; `permitted` keeps the rules for `send`. Beside it
//! stand six mechanisms (`docs/design.md`), and order by key, which is a rule (`turns.rs`).

use std::rc::Rc;

use nanorand::{Rng, WyRand};

use crate::arithmetic::{clipped_step, dot, mixed, project, relative, scattered, softplus};
use crate::estimates::{LONG_TERM_US, RECENT_US, SECOND_US};
use crate::gossip::{GossipMessage, PeerOutcome};
use crate::known::{Attempt, Balancer, DecisionSample, Endpoint, FEATURES, Request, TimerPurpose};
use crate::time_margin::begin_before;
use crate::{AttemptOutcome, Host, Idempotency, IdempotencyScope, Micros, Settings};

#[cfg(test)]
pub(crate) mod tests;

/// The constant puts an average endpoint on the bent part of softplus, where weights act as exponents.
const START: [f64; FEATURES] = [-4.0, -3.0, -0.3, -3.0, 1.0, 0.4, -0.3];
/// Part of its start value that a weight keeps, and the inverse of how far it grows: none changes sign.
const FLOOR: f64 = 0.4;
/// Bound of ratios' logarithms and of payoffs over the usual: no single reading decides alone.
const WIDEST: f64 = 3.0;
/// Fewest balancers that keep to an endpoint and endpoints that one keeps to, also where loads are asked for;
/// balancers for which that many more keep to an endpoint; part of a ring between neighbours' starts.
const CIRCLE: (usize, usize, usize, usize) = (2, 2, 6, 4);
const RING: f64 = 0.618_033_988_749_895;
/// Near ones for each far one where the near ones are full: a part of what the way costs is saved.
const MIX: usize = 2;
const STEP: f64 = 0.1;
const CLIP: f64 = 0.2; // the paper's ε
const EPOCHS: usize = 2;
const ANCHOR: f64 = 0.02; // share of the way back to the start at each update: no drift
const OUTCOMES_AN_UPDATE: usize = 256;
/// Candidates up to which every outcome teaches, or what is kept of an attempt would grow with the fleet.
const TEACHING: usize = 32;
const UPDATE_EVERY: Micros = 2_000_000;

/// An answer this many times later than expected makes an endpoint silent: beyond the spread of usual work.
const SILENT: f64 = 4.0;
/// Part of a usual answer time that an endpoint rests after a refusal.
const REST: f64 = 0.5;
/// A failure counts as an answer this many times as late as usual, or as late as it was.
const FAILURE_LATENCY: f64 = 3.0;

/// Where answers get lost: hundredth parts told of one endpoint beyond which that is believed; parts of its
/// time that an attempt then waits at least and at most, and the expected answer times that it usually does.
const LONE: (u64, f64, f64, f64) = (10, 0.5, 0.85, 3.0);

/// In flight against what the shortest answer times would need, and what all may always have at an endpoint.
const STRETCH: f64 = 1.5;
const LEAST: (f64, f64) = (2.0, 2.0);
/// Roots of a limit that chance may take up beyond it where answers are quick.
const CHANCE: f64 = 6.0;
/// Where a limit counts as one request more: above a half, a limit of one could never grow.
const ROUNDING: f64 = 0.4;
/// Answer time over the shortest before fewer requests are let through, within parts of the latency objective: a
/// fleet may never be seen at ease. How quickly a request moves the share; the most an answer counts, as a
/// refusal does; the least share and that at the start, when no speeds are known; answers to leave it.
const AT_EASE: (f64, f64, f64) = (2.5, 0.4, 0.7);
const THINNING: (f64, f64) = (0.3, 3.0);
const THROUGH: (f64, f64) = (0.1, 0.5);
const HEARD_PRIOR: f64 = 0.5;
/// How often held requests are looked at.
const QUEUE_INTERVAL_US: Micros = 10_000;
/// Endpoints for each balancer from which on requests are held: the places that come free are then its own.
const HOLDS: usize = 3;
/// Part of a request's spare time that the queue before it may take, also beyond its share: longer ones stand.
const HELD_PART: (f64, f64) = (0.15, 0.04);
/// Expected answer times after which a dismissed request may come back, and left to a held one when sent.
const COME_BACK: f64 = 0.5;
const TIME_LEFT: f64 = 2.0;

/// Part of a cold endpoint's budget that is used, its capacity being a guess, and what a request may go over.
const COLD: (f64, f64) = (0.5, 0.5);

/// Endpoints asked for each request, and the part of the latency objective to wait for answers.
const ASKED: usize = 5;
/// What an endpoint that holds nothing counts as holding.
const IDLE: f64 = 0.2;
const ASK_PART: Micros = 20;
/// Waits for answers that loads stand after a request found none in time.
const STANDS: Micros = 4;
/// Part of its time that a request that earns nothing may take; one that earns most may take all.
const WORTHLESS_PART: f64 = 0.3;
/// How long dropped connections are believed in, the rest that a dropped one had at least, and part of the
/// latency objective within which it is found: a crash takes longer.
const DROPPED: (Micros, Micros, Micros) = (15_000_000, 200_000, 100);

pub(crate) const LIST_POLL_TIMER: u64 = 0;
const QUEUE_TIMER: u64 = 1;

impl<H: Host> Balancer<H> {
    pub fn start(host: H, seed: u64, settings: Settings, now: Micros) -> Self {
        let mut balancer = Self::blank(host, WyRand::new_seed(seed), settings, START, now);
        (balancer.instance_seed, balancer.admitted_share) = (mixed(seed, 0), THROUGH.1);
        balancer.start_polling_list();
        balancer
    }

    /// Balancers that see little keep to a few endpoints, from evenly spread starts on the common ring.
    pub(crate) fn rebuild_preference_order(&mut self) {
        let mut ring: Vec<usize> = (0..self.endpoints.len())
            .filter(|&u| self.endpoints[u].ready)
            .collect();
        if ring.len() == self.preference_order.len()
            && self
                .preference_order
                .iter()
                .all(|&u| self.endpoints[u].ready)
        {
            return;
        }
        ring.sort_by_key(|&u| (self.endpoints[u].hash, u));
        // A far one costs the way there; where loads are asked for, the drawing weighs that against the load.
        let is_near =
            |u: &usize| self.polls_loads() || self.endpoints[*u].zone == self.settings.zone;
        let (near, far): (Vec<_>, Vec<_>) = ring.into_iter().partition(is_near);
        let own = self.settings.own_index as f64 * RING;
        let [near, far] = [near, far].map(|ring| scattered(ring, own));
        (self.zone_first_order, self.preference_order) =
            ([near.as_slice(), &far].concat(), Vec::new());
        let (mut near, mut far) = (near.into_iter(), far.into_iter());
        while near.len() + far.len() > 0 {
            self.preference_order
                .extend(near.by_ref().take(MIX).chain(far.by_ref().take(1)));
        }
    }

    /// The order to go by now: near ones may bear less than comes there, and leave requests without room then.
    fn current_order(&self, now: Micros) -> &[usize] {
        if now < self.zone_crowded_until {
            &self.preference_order
        } else {
            &self.zone_first_order
        }
    }

    /// How many endpoints this balancer keeps to, and how many balancers keep to each.
    pub(crate) fn subset(&self) -> (usize, f64) {
        let (ready, balancers) = (self.preference_order.len(), self.settings.balancers);
        let least = if self.polls_loads() {
            CIRCLE.2
        } else {
            CIRCLE.1
        };
        let kept = ((CIRCLE.0 * balancers + CIRCLE.3) * ready).div_ceil(balancers * balancers);
        let kept = kept.max(least).min(ready);
        (kept, (kept * balancers) as f64 / ready.max(1) as f64)
    }

    #[allow(clippy::too_many_arguments)]
    pub fn request_arrived(
        &mut self,
        now: Micros,
        id: &str,
        class: usize,
        tenant: usize,
        deadline: Micros,
        hint: Option<Micros>,
        key: Option<u64>,
    ) {
        let Some(objective_at) = self
            .settings
            .classes
            .get(class)
            .map(|c| now + c.latency_objective)
        else {
            return self.host.reject(id, 0);
        };
        self.fleet.arrivals.add(now, LONG_TERM_US, 1.0);
        let work = hint.map_or(1.0, |hint| {
            let usual = &mut self.class_latency[class].hint;
            usual.add(now, LONG_TERM_US, hint as f64, 1.0);
            (hint as f64 / usual.read().unwrap_or(1.0).max(1.0)).clamp(0.1, 10.0)
        });
        let within_quota = self.within_quota(now, tenant);
        let key_queue = key.filter(|_| self.settings.classes[class].ordered_by_key);
        let blank = Request::new(
            Rc::from(id),
            class,
            objective_at,
            deadline,
            work,
            within_quota,
        );
        let request = Request {
            tenant,
            key_queue,
            ..blank
        };
        let [late, heard] = [&self.fleet.pressure.total, &self.fleet.pressure.weight]
            .map(|s| s.read(now, SECOND_US));
        self.headroom = 1.0 - (late + HEARD_PRIOR) / (heard + HEARD_PRIOR);
        self.admitted_share =
            (self.admitted_share * (1.0 + THINNING.0 * self.headroom)).clamp(THROUGH.0, 1.0);
        // With several endpoints to itself, or loads to ask for, a balancer needs no guess.
        let own = if self.polls_loads() {
            usize::MAX
        } else {
            self.preference_order.len()
        } as f64;
        let admitted_share = 1.0
            - (1.0 - self.admitted_share) / (1.0 + (own / self.settings.balancers as f64).powi(4));
        // Beyond the share gives way first.
        let part = if within_quota {
            admitted_share
        } else {
            2.0 * admitted_share - 1.0
        };
        if self.random.generate::<f64>() > part || self.excluded_as_outlier(now, &request) {
            return self.reject_or_fail(now, request);
        }
        self.enter_key_queue(now, request);
    }

    /// The ordinary path of a request.
    fn place(&mut self, now: Micros, request: &mut Request) -> bool {
        let ready = self.candidates(now, request);
        self.select_and_send(now, request, &ready)
    }

    /// Whether loads are asked for, of endpoints or keepers: a balancer of a request a second can't know them.
    pub(crate) fn polls_loads(&self) -> bool {
        self.settings.load_from_probes
            || (self.settings.load_unreported && self.settings.gossip_allowed)
    }

    /// Asks some of the candidates what they hold; the request is placed when they have answered.
    fn poll_loads(&mut self, now: Micros, mut request: Request) {
        let ready = self.candidates(now, &request);
        if ready.is_empty() || request.objective_at.min(request.deadline) <= now {
            self.last_unplaced = now;
            return self.reject_or_fail(now, request);
        }
        let wait = self.settings.classes[request.class].latency_objective / ASK_PART;
        // Where none was in time of late, words about each request would flood all balancers.
        let flood = !self.settings.load_from_probes && now < self.last_unplaced + STANDS * wait;
        let fresh = if flood { STANDS * wait } else { wait };
        (request.waits, request.answered) = ready.into_iter().take(ASKED).partition(|&u| {
            let (ledger_owner, endpoint) = (self.ledger_owner(u), &mut self.endpoints[u]);
            if !self.settings.load_from_probes && ledger_owner == self.settings.own_index {
                endpoint.refresh_from_ledger(now);
            }
            endpoint.reported_in_flight.is_none() || now >= endpoint.reported_at + fresh
        });
        for &u in &request.waits {
            match self.settings.load_from_probes {
                true => self.host.probe(&self.endpoints[u].id),
                false => self.host.send_gossip(
                    Some(self.ledger_owner(u)),
                    &GossipMessage::Asks(self.endpoints[u].gossip_id()).text(),
                ),
            }
        }
        if request.waits.is_empty() {
            return self.place_by_load(now, request);
        }
        let wait = wait.min(request.deadline.saturating_sub(now) / 2);
        self.schedule_timer(wait, TimerPurpose::Asked(Rc::clone(&request.id)));
        self.awaiting_loads.push(request);
    }

    /// An endpoint that was asked has answered, or can't.
    pub(crate) fn heard(&mut self, now: Micros, u: usize, answered: bool) {
        for request in &mut self.awaiting_loads {
            if let Some(at) = request.waits.iter().position(|waits| *waits == u) {
                request.waits.swap_remove(at);
                request.answered.extend(answered.then_some(u));
            }
        }
        while let Some(at) = self
            .awaiting_loads
            .iter()
            .position(|request| request.waits.is_empty())
        {
            let request = self.awaiting_loads.remove(at);
            self.place_by_load(now, request);
        }
    }

    /// What came of a probe.
    pub fn probe_completed(&mut self, now: Micros, id: &str, answered: bool) {
        let known = self.index_by_id.get(id).copied();
        known.into_iter().for_each(|u| self.heard(now, u, answered));
    }

    /// Places a request among those that answered, as far as they would be in time; else it waits a little.
    fn place_by_load(&mut self, now: Micros, mut request: Request) {
        let mut ready = std::mem::take(&mut request.answered);
        if ready.is_empty() && !self.settings.load_from_probes {
            // Who keeps the book is gone or slow: better unasked than not at all.
            ready = std::mem::take(&mut request.waits);
        }
        ready.retain(|&u| {
            self.permitted(now, &request, u) && self.meets_objective(now, &request, u)
        });
        match !ready.is_empty() && self.select_and_send(now, &mut request, &ready) {
            true => _ = self.requests.insert(Rc::clone(&request.id), request),
            false => {
                self.last_unplaced = now;
                self.reject_or_fail(now, request);
            }
        }
    }

    /// Whether an endpoint would answer a request in the part of its time that its earnings are worth.
    fn meets_objective(&self, now: Micros, request: &Request, u: usize) -> bool {
        let (latency_per_request, Some(held)) = (
            self.latency_per_request(now, u),
            self.endpoints[u].reported_in_flight,
        ) else {
            return true;
        };
        let spare = request
            .objective_at
            .min(request.deadline)
            .saturating_sub(now) as f64;
        let worth = self.settings.classes[request.class].priority_weight
            / self.settings.highest_priority_weight();
        let part = WORTHLESS_PART + (1.0 - WORTHLESS_PART) * worth;
        // With no hint of its work a request may be one of the long ones; once sent there is less to lose.
        let unsent = request.attempts.is_empty();
        let relative_spread = if unsent {
            self.class_latency[request.class].spread_margin()
        } else {
            0.0
        };
        latency_per_request * held * (1.0 + relative_spread)
            <= part * (spare - latency_per_request * request.work * (1.0 + relative_spread))
    }

    /// Idle connections that rested so long are not used for a while.
    pub(crate) fn assume_idle_drops(&mut self, now: Micros, idle_for: Micros) {
        let least = if now < self.idle_drops.1 {
            self.idle_drops.0.min(idle_for)
        } else {
            idle_for
        };
        self.idle_drops = (least, now + DROPPED.0);
    }

    /// Draws one of the candidates by the scoring function and sends the request there.
    fn select_and_send(&mut self, now: Micros, request: &mut Request, ready: &[usize]) -> bool {
        let rows = self.features(now, ready);
        let score = |row| softplus(dot(&self.weights, row));
        let mut scored: Vec<(f64, usize)> = rows.iter().map(score).zip(0..).collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        let chances = project(
            &scored.iter().map(|s| s.0).collect::<Vec<_>>(),
            selectable(scored.len()),
        );
        let mut left = self.random.generate::<f64>();
        let beyond = |chance: &f64| {
            left -= chance;
            left < 0.0
        };
        let drawn = chances.iter().position(beyond).unwrap_or(0);
        let Some((chance, u)) = chances
            .get(drawn)
            .map(|chance| (*chance, ready[scored[drawn].1]))
        else {
            return false;
        };
        let teaches =
            rows.len() <= TEACHING || self.random.generate_range(0..rows.len()) < TEACHING;
        let sample = teaches.then(|| DecisionSample {
            rows: scored.iter().map(|s| rows[s.1]).collect(),
            drawn,
            chance,
        });
        self.send(now, request, u, sample)
    }

    /// What the mechanism knows of each candidate. Ratios to the candidates' mean make one weight vector
    /// serve endpoints of any speed and fleets of any size; what was never heard is the others' mean, 0.
    fn features(&self, now: Micros, ready: &[usize]) -> Vec<[f64; FEATURES]> {
        let ups = &self.endpoints;
        let gather = |known: &dyn Fn(usize, &Endpoint) -> Option<f64>| -> Vec<f64> {
            let latency_per_request = ready.iter().enumerate().map(|(i, &u)| known(i, &ups[u]));
            relative(&latency_per_request.collect::<Vec<_>>(), WIDEST)
        };
        let (heard, (_, sharers)) = (self.latency_horizon(now), self.subset());
        let latency = gather(&|_, up| up.latency(now));
        // Served rate per own request in flight is the inverse of the answer time.
        let rate = |up: &Endpoint| up.long_term_latency.read().map(f64::recip);
        let capacity = gather(&|_, up| {
            if self.settings.weights_listed {
                up.weight.read()
            } else {
                rate(up)
            }
        });
        // An old report speaks of a load that is gone.
        let weight =
            |u: &usize| (-2.0 * now.saturating_sub(ups[*u].reported_at) as f64 / heard).exp();
        let fresh: Vec<f64> = ready.iter().map(weight).collect();
        let queue = gather(&|_, up| up.reported_queue.map(|queue| queue + 1.0));
        let busy = gather(&|_, up| up.reported_utilisation.map(|busy| busy + 0.1));
        let since = self.lost_before(now);
        // Own work in flight, and of what is reported the part that is the other balancers'.
        let others = |i: usize, up: &Endpoint| {
            (1.0 - 1.0 / sharers) * fresh[i] * up.reported_queue.unwrap_or(0.0)
        };
        let in_flight = gather(
            &|i, up| match up.reported_in_flight.filter(|_| self.polls_loads()) {
                Some(held) => Some(IDLE + held * fresh[i]),
                None => Some(0.5 + up.in_flight_since(since).1 + others(i, up)),
            },
        );
        let near = |u: usize| f64::from(u8::from(ups[u].zone == self.settings.zone));
        let row = |(i, &u): (usize, &usize)| {
            let (busy, queue) = (busy[i] * fresh[i], queue[i] * fresh[i]);
            [
                1.0,
                latency[i],
                busy,
                in_flight[i] - capacity[i] / 2.0,
                capacity[i],
                near(u),
                queue,
            ]
        };
        ready.iter().enumerate().map(row).collect()
    }

    /// The one place that every attempt passes.
    fn send(
        &mut self,
        now: Micros,
        request: &mut Request,
        u: usize,
        sample: Option<DecisionSample>,
    ) -> bool {
        if !self.permitted(now, request, u) {
            return false;
        }
        let (span, spent, _) = self.slow_start_budget(now, u);
        self.endpoints[u].slow_start_spent = (span, spent + request.work);
        let endpoint = &mut self.endpoints[u];
        let before = endpoint.reported_in_flight;
        endpoint.in_flight.push((now, request.work));
        endpoint.reported_in_flight = endpoint.reported_in_flight.map(|held| held + 1.0);
        endpoint.unanswered_since.get_or_insert(now);
        endpoint.latest_deadline = endpoint.latest_deadline.max(request.deadline);
        let idle_for = endpoint
            .last_used
            .map(|last_used| now.saturating_sub(last_used));
        endpoint.last_used = Some(now);
        // What is sent on a connection dropped unseen is lost, and may not be sent again.
        if now < self.idle_drops.1 && idle_for.is_some_and(|idle_for| idle_for >= self.idle_drops.0)
        {
            self.host.close_idle_connections(&endpoint.id);
        }
        request.outcome_pending = true;
        if let Some(key_queue) = request
            .key_queue
            .and_then(|key| self.key_queues.get_mut(&key))
        {
            key_queue.out += 1;
        }
        request.attempts.push(Attempt {
            idle_for,
            before,
            ..Attempt::new(u, now, sample)
        });
        let id = Rc::clone(&endpoint.id);
        // Where answers get lost an attempt ends by itself in time for another.
        let told = self.endpoints[u].failure_percent > LONE.0 && !self.settings.can_cancel;
        let lone = (told || self.class_latency[request.class].loses_attempts(now))
            && self.settings.classes[request.class].idempotency.repeats();
        let spare = request.objective_at.saturating_sub(now) as f64;
        let patience = (LONE.3 * self.expected_latency(request.class))
            .clamp(LONE.1 * spare, LONE.2 * spare) as Micros;
        let until = if lone {
            now + patience.max(QUEUE_INTERVAL_US)
        } else {
            Micros::MAX
        };
        self.host
            .start_attempt(&request.id, &id, until.min(request.deadline));
        self.report_to_ledger_owner(now, u, None);
        true
    }

    /// Asks to be woken.
    pub(crate) fn schedule_timer(&mut self, wait: Micros, timer: TimerPurpose) {
        self.last_timer = self.last_timer.max(QUEUE_TIMER) + 1;
        self.timers.insert(self.last_timer, timer);
        self.host.set_timer(wait, self.last_timer);
    }

    /// The four rules for one more attempt of a request to an endpoint.
    fn permitted(&self, now: Micros, request: &Request, u: usize) -> bool {
        let (endpoint, (_, spent, budget)) = (&self.endpoints[u], self.slow_start_budget(now, u));
        // Two that went down under a request may do so by it: no third, unless one of them has answered since.
        let down = |d: &&Attempt| {
            d.connection_lost_at
                .is_some_and(|at| self.endpoints[d.endpoint].last_success <= at)
        };
        let open = endpoint.ready
            // What a request may go over is no allowance of its own: many balancers without one would add up.
            && budget >= 1.0
            && spent + request.work <= budget + COLD.1
            && request.attempts.iter().filter(down).count() <= 1;
        let mut ran = request.attempts.iter().filter(|d| d.may_have_run);
        let in_group = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent | Idempotency::NonIdempotent => true,
            Idempotency::IdempotencyKey { scope, .. } => ran.all(|d| {
                let first = &self.endpoints[d.endpoint];
                match scope {
                    IdempotencyScope::All => true,
                    IdempotencyScope::Zone => first.zone == endpoint.zone,
                    IdempotencyScope::Cell => first.cell == endpoint.cell,
                }
            }),
        };
        open && in_group && self.may_be_attempted(now, request)
    }

    /// Whether a request may be sent to any endpoint at all, now or later: what may not is given up at once.
    fn may_be_attempted(&self, now: Micros, request: &Request) -> bool {
        let mut ran = request.attempts.iter().filter(|d| d.may_have_run);
        let again = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            Idempotency::IdempotencyKey { window, .. } => {
                ran.all(|d| now < begin_before(d.sent, window))
            }
        };
        again
            && now < request.deadline
            && !request.streaming
            && request.attempts.len() < self.settings.max_attempts.min(request.max_attempts)
            && request.attempts.iter().all(|d| !d.out)
    }

    pub fn attempt_ended(
        &mut self,
        now: Micros,
        id: &str,
        n: usize,
        last: bool,
        how: AttemptOutcome,
        took: Micros,
    ) {
        let Some(mut request) = self.requests.remove(id) else {
            return self.trailing_attempt_ended(now, id, how);
        };
        request.outcome_pending = false;
        request
            .key_queue
            .into_iter()
            .for_each(|key| self.key_attempt_ended(now, key, how));
        self.ended(now, &mut request, n, how, took);
        if last {
            self.close(now, request);
        } else if request.attempts.iter().any(|d| d.out) {
            self.requests.insert(Rc::clone(&request.id), request);
        } else {
            match self.may_be_attempted(now, &request) {
                true => self.admit(now, request),
                false => self.reject_or_fail(now, request),
            }
        }
        self.process_queue(now);
    }

    pub fn response_started(&mut self, id: &str) {
        self.requests
            .entry(Rc::from(id))
            .and_modify(|request| request.streaming = true);
    }

    pub fn client_disconnected(&mut self, now: Micros, id: &str) {
        let key_queues = self
            .key_queues
            .values_mut()
            .map(|key_queue| &mut key_queue.waiting);
        let lists = [&mut self.queue, &mut self.awaiting_loads]
            .into_iter()
            .chain(key_queues);
        let waiting = lists
            .flat_map(|list| list.extract_if(.., |request| *request.id == *id))
            .next();
        if let Some(request) = self.requests.remove(id).or(waiting) {
            self.close(now, request);
            self.process_queue(now);
        }
    }

    /// The final answer, as good as the rules allow: a dismissal promises that trying again is harmless.
    pub(crate) fn reject_or_fail(&mut self, now: Micros, request: Request) {
        let ran = request.attempts.iter().any(|d| d.may_have_run);
        let idempotency = self.settings.classes[request.class].idempotency;
        let harmless = !ran
            || matches!(
                idempotency,
                Idempotency::Idempotent
                    | Idempotency::IdempotencyKey {
                        scope: IdempotencyScope::All,
                        ..
                    }
            );
        let soon = (COME_BACK * self.expected_latency(request.class)) as Micros;
        match harmless {
            true => self
                .host
                .reject(&request.id, soon.min(self.settings.max_retry_after)),
            false => self.host.fail(&request.id),
        }
        self.close(now, request);
    }

    /// Stops what is still out for a request that is answered.
    fn close(&mut self, now: Micros, mut request: Request) {
        if let Some(number) = request.attempts.iter().position(|d| d.out) {
            if self.settings.can_cancel {
                self.host.cancel_attempt(&request.id, number);
            }
            let waited = now.saturating_sub(request.attempts[number].sent);
            self.ended(now, &mut request, number, AttemptOutcome::Cancelled, waited);
        }
        self.release_key(now, &request);
    }

    pub fn timer_expired(&mut self, now: Micros, timer: u64) {
        match timer {
            LIST_POLL_TIMER => self.host.poll_endpoint_list(),
            QUEUE_TIMER => {
                self.queue_timer_scheduled = false;
                self.process_queue(now);
            }
            _ => match self.timers.remove(&timer) {
                Some(TimerPurpose::Asked(id)) => {
                    let polled = self
                        .awaiting_loads
                        .extract_if(.., |request| request.id == id)
                        .next();
                    polled
                        .into_iter()
                        .for_each(|request| self.place_by_load(now, request));
                }
                Some(TimerPurpose::KeyQueue(key)) => self.advance_key_queue(now, key),
                None => {}
            },
        }
    }

    /// The span of an endpoint's life that the present belongs to, what was sent in it and what may be while
    /// it is cold. Its capacity is not told; it is taken to be what this balancer's warm endpoints bear, or a
    /// part of what arrives where none is warm. Where that is less than a request, own chance, drawn for each
    /// span, lets some balancers send one: what is not used is gone, so lone requests never come together.
    fn slow_start_budget(&self, now: Micros, u: usize) -> (u64, f64, f64) {
        if !self.in_slow_start(now, u) {
            return (u64::MAX, 0.0, f64::INFINITY);
        }
        let (slow_start, endpoint) = (&self.settings.slow_start, &self.endpoints[u]);
        let (kept, all) = (self.subset().0, self.preference_order.len().max(1));
        let age = now.saturating_sub(endpoint.started_at);
        let borne = match self.warm_endpoints {
            0 => slow_start.initial_capacity * self.fleet.arrivals.read(now, LONG_TERM_US),
            _ => self.fleet.served.read(now, LONG_TERM_US),
        };
        let latency_per_request =
            borne / self.long_term_span(now) / kept.min(self.warm_endpoints).max(1) as f64;
        let span = age / slow_start.overload_window.max(1);
        let chance = mixed(mixed(self.instance_seed, endpoint.hash), span) as f64 / u64::MAX as f64;
        // All budgets add up to what it bears: those of its circles to one half, all the others' to another.
        let keeps = self.polls_loads()
            || self
                .preference_order
                .iter()
                .take(kept)
                .any(|&kept| kept == u);
        let part = if keeps { 1.0 } else { kept as f64 / all as f64 };
        let budget = part
            * COLD.0
            * slow_start.overload_multiple
            * self.slow_start_capacity(now, u)
            * latency_per_request
            * slow_start.overload_window as f64;
        let (spent_in, spent) = endpoint.slow_start_spent;
        (
            span,
            if spent_in == span { spent } else { 0.0 },
            (budget + chance).floor(),
        )
    }

    /// The candidates to draw from: the first of the own order that are open.
    fn candidates(&mut self, now: Micros, request: &Request) -> Vec<usize> {
        self.warm_endpoints = self
            .preference_order
            .iter()
            .filter(|&&u| !self.in_slow_start(now, u))
            .count();
        let unresponsive_after = self.unresponsive_after();
        let open = |u: &usize| {
            let up = &self.endpoints[*u];
            // Of what is silent one at a time shows whether it still is.
            let tried = up.unanswered_for(now) > unresponsive_after
                && up
                    .last_used
                    .is_some_and(|at| now < at + unresponsive_after as Micros);
            let met = request.attempts.iter().any(|d| d.endpoint == *u);
            !tried && !met && self.has_capacity(now, *u) && self.permitted(now, request, *u)
        };
        let mut ready: Vec<_> = self
            .current_order(now)
            .iter()
            .copied()
            .filter(open)
            .take(self.subset().0)
            .collect();
        // Ties would fall to whoever comes first, again and again.
        let turn = self.random.generate_range(0..ready.len().max(1));
        ready.rotate_left(turn);
        ready
    }

    /// Beyond this nothing having come is no accident; what is out may be of the slowest class.
    fn unresponsive_after(&self) -> f64 {
        let in_use = (0..self.class_latency.len())
            .filter(|&c| self.settings.classes[c].priority_weight > 0.0);
        SILENT * in_use.map(|c| self.expected_latency(c)).fold(0.0, f64::max)
    }

    /// What was sent before takes up no place: a lost attempt would close an endpoint whose limit is one.
    fn lost_before(&self, now: Micros) -> Micros {
        now.saturating_sub(self.unresponsive_after() as Micros)
    }

    /// What an endpoint may hold of ours: what its served rate needs × shortest ÷ present answer time.
    fn concurrency_limit(&self, now: Micros, u: usize) -> f64 {
        let endpoint = &self.endpoints[u];
        let kept = endpoint.busy_time.read(now, RECENT_US) / self.recent_span(now);
        let known = endpoint.shortest.zip(endpoint.latency(now));
        let ratio = known.map_or(1.0, |(shortest, present)| (shortest / present).min(1.0));
        (LEAST.0 / self.subset().1).max(STRETCH * kept * ratio)
    }

    fn has_capacity(&self, now: Micros, u: usize) -> bool {
        let (up, (held, _)) = (
            &self.endpoints[u],
            self.endpoints[u].in_flight_since(self.lost_before(now)),
        );
        up.backoff_until <= now
            && (self.polls_loads()
                || held == 0.0
                || held + ROUNDING < self.concurrency_limit(now, u))
    }

    /// Whether all limits together leave room, with their root for chance: each may be less than a request.
    fn subset_has_capacity(&self, now: Micros) -> bool {
        let since = self.lost_before(now);
        let heard = || {
            self.current_order(now)
                .iter()
                .filter(|&&u| !self.endpoints[u].unanswered_since_before(since))
        };
        let held: f64 = heard()
            .map(|&u| self.endpoints[u].in_flight_since(since).0)
            .sum();
        let concurrency_limit: f64 = heard()
            .take(self.subset().0)
            .map(|&u| self.concurrency_limit(now, u))
            .sum();
        let root = CHANCE * self.headroom.max(0.0) + (1.0 / self.settings.balancers as f64).sqrt();
        held < LEAST
            .1
            .max(concurrency_limit + root * concurrency_limit.sqrt())
    }

    /// The moment after which an answer would likely come too late.
    pub(crate) fn last_start(&self, request: &Request) -> Micros {
        let needed = TIME_LEFT * self.expected_latency(request.class) * request.work.max(1.0);
        request
            .objective_at
            .min(request.deadline.saturating_sub(QUEUE_INTERVAL_US))
            .saturating_sub(needed as Micros)
    }

    /// Places a request, holds it where it would be sent soon, or gives it up at once.
    pub(crate) fn admit(&mut self, now: Micros, mut request: Request) {
        if self.polls_loads() {
            return self.poll_loads(now, request);
        }
        // What was sent may only go on to some: it must not stand in the way of those that may go anywhere.
        let first = self.queue.iter().all(|held| !held.attempts.is_empty());
        if first && self.subset_has_capacity(now) && self.place(now, &mut request) {
            self.requests.insert(Rc::clone(&request.id), request);
            return;
        }
        self.zone_crowded_until = now + LONG_TERM_US as Micros;
        let rate = self.fleet.succeeded.read(now, RECENT_US) / self.recent_span(now);
        let place = self
            .queue
            .partition_point(|held| held.objective_at <= request.objective_at);
        let ahead = self.queue[..place]
            .iter()
            .filter(|held| held.attempts.is_empty())
            .count();
        let wait = ahead as f64 / rate.max(1.0 / SECOND_US);
        // With nothing to spare a request is not even held until the next look: its deadline may come first.
        let slack = self.last_start(&request) as f64 - now as f64;
        let part = if request.within_quota {
            HELD_PART.0
        } else {
            HELD_PART.1
        };
        // Where others fill the places that come free, holding only makes for later ones.
        if slack <= 0.0
            || wait > part * slack
            || self.preference_order.len() < HOLDS * self.settings.balancers
        {
            return self.reject_or_fail(now, request);
        }
        self.queue.insert(place, request);
        self.schedule_queue_timer();
    }

    fn schedule_queue_timer(&mut self) {
        if !self.queue_timer_scheduled && !self.queue.is_empty() {
            self.queue_timer_scheduled = true;
            self.host.set_timer(QUEUE_INTERVAL_US, QUEUE_TIMER);
        }
    }

    /// Sends held requests while there is room, the most pressing first, and dismisses what is too late.
    pub(crate) fn process_queue(&mut self, now: Micros) {
        for mut request in std::mem::take(&mut self.queue) {
            if self.last_start(&request) < now || !self.may_be_attempted(now, &request) {
                self.reject_or_fail(now, request);
            } else if self.subset_has_capacity(now) && self.place(now, &mut request) {
                self.requests.insert(Rc::clone(&request.id), request);
            } else {
                self.queue.push(request);
            }
        }
        self.schedule_queue_timer();
    }

    /// Whether a request lies within this balancer's part of its tenant's allowance.
    fn within_quota(&mut self, now: Micros, tenant: usize) -> bool {
        let Some(admitted) = self.admitted.get_mut(tenant) else {
            return true;
        };
        let usual = self.settings.tenant_quotas[tenant] / self.settings.balancers as f64
            * RECENT_US
            / SECOND_US;
        let within = admitted.read(now, RECENT_US) < usual + usual.sqrt();
        admitted.add(now, RECENT_US, f64::from(u8::from(within)));
        within
    }

    /// Takes in how an attempt ended.
    pub(crate) fn ended(
        &mut self,
        now: Micros,
        request: &mut Request,
        number: usize,
        ending: AttemptOutcome,
        took: Micros,
    ) {
        let Some(attempt) = request.attempts.get_mut(number).filter(|d| d.out) else {
            return;
        };
        let (heard, cold) = (
            self.latency_horizon(now),
            self.in_slow_start(now, attempt.endpoint),
        );
        attempt.out = false;
        attempt.may_have_run = !ending.proves_not_run();
        attempt.connection_lost_at = (ending == AttemptOutcome::ConnectionLost).then_some(now);
        let (u, idle_for, sent) = (attempt.endpoint, attempt.idle_for, attempt.sent);
        self.endpoints[u].release(sent, request.work);
        self.endpoints[u].last_used = Some(now);
        let objective_at = self.settings.classes[request.class].latency_objective;
        self.report_to_ledger_owner(now, u, Some((request.class, PeerOutcome::of(ending))));
        let unknown = |idle_for: &Micros| now >= self.idle_drops.1 || *idle_for < self.idle_drops.0;
        let at_once = ending == AttemptOutcome::ConnectionLost && took < objective_at / DROPPED.2;
        if let Some(idle_for) = idle_for
            .filter(unknown)
            .filter(|idle_for| at_once && *idle_for >= DROPPED.1)
        {
            self.assume_idle_drops(now, idle_for / 2);
            if self.settings.gossip_allowed {
                self.host
                    .send_gossip(None, &GossipMessage::Dropped(idle_for / 2).text());
            }
        }
        let told = took as f64 > self.unresponsive_after()
            && matches!(ending, AttemptOutcome::TimedOut | AttemptOutcome::Succeeded);
        let [told, lost] =
            [told, ending == AttemptOutcome::TimedOut].map(|is| f64::from(u8::from(is)));
        self.class_latency[request.class]
            .overdue
            .add(now, RECENT_US, lost, told);
        if took >= objective_at || ending == AttemptOutcome::Succeeded {
            self.record_outcome(now, request, took);
        }
        let outlier_group = took >= objective_at && self.outlier_group(now, request).is_some();
        let endpoint = &mut self.endpoints[u];
        if outlier_group || ending == AttemptOutcome::Cancelled || ending == AttemptOutcome::NotSent
        {
            // A client that left early says nothing of the endpoint.
            endpoint.unanswered_since = endpoint
                .unanswered_since
                .filter(|_| endpoint.has_in_flight());
            return;
        }
        // Classes are put on one scale by how their usual answer times compare.
        let latency = &mut self.class_latency[request.class];
        let took = took.max(1) as f64 / request.work;
        // A hung or broken endpoint says nothing of the others' load.
        if matches!(ending, AttemptOutcome::Succeeded | AttemptOutcome::Rejected) {
            let (objective_at, headroom) = (
                objective_at as f64,
                AT_EASE.0 * latency.shortest.unwrap_or(f64::INFINITY),
            );
            let late = took / headroom.clamp(AT_EASE.1 * objective_at, AT_EASE.2 * objective_at);
            let late = if ending == AttemptOutcome::Succeeded {
                late.min(THINNING.1)
            } else {
                3.0 * THINNING.1
            };
            self.fleet.pressure.add(now, SECOND_US, late, request.work);
        }
        let all = self.fleet.latency.read().unwrap_or(took);
        let mut answer = took * all / latency.long_term.read().unwrap_or(took).max(1.0);
        endpoint.unanswered_since = endpoint
            .unanswered_since
            .filter(|_| ending == AttemptOutcome::TimedOut);
        let mut reward = 0.0;
        if ending == AttemptOutcome::Succeeded {
            (endpoint.unlisted_since, endpoint.last_success) = (None, now);
            self.record_success(now, request, number, took, answer, cold);
            reward = (all / answer).min(WIDEST);
        } else {
            let rest = if ending.proves_not_run() { REST } else { 0.0 };
            endpoint.backoff_until = now + (rest * latency.present.read().unwrap_or(0.0)) as Micros;
            // A fast failure must not make an endpoint look quick, nor a lost answer make it look slow.
            answer = if ending == AttemptOutcome::TimedOut {
                0.0
            } else {
                answer
            }
            .max(FAILURE_LATENCY * all);
        }
        let endpoint = &mut self.endpoints[u];
        endpoint
            .recent_latency
            .add(now, heard, answer, request.work);
        endpoint
            .long_term_latency
            .add(now, LONG_TERM_US, answer, request.work);
        self.samples.extend(
            request.attempts[number]
                .sample
                .take()
                .map(|sample| (sample, reward)),
        );
        if self.samples.len() >= OUTCOMES_AN_UPDATE || now > self.updated + UPDATE_EVERY {
            self.update_weights(now);
        }
    }

    /// The clipped policy step over the outcomes since the last.
    fn update_weights(&mut self, now: Micros) {
        self.updated = now;
        let samples = std::mem::take(&mut self.samples);
        for (_, reward) in &samples {
            self.fleet.rewards.add(now, LONG_TERM_US, *reward, 1.0);
        }
        let Some(usual) = self.fleet.rewards.read() else {
            return;
        };
        for _ in 0..EPOCHS {
            let step = clipped_step(&self.weights, &samples, usual, CLIP, selectable);
            for f in 1..FEATURES {
                let step = STEP * step[f] / OUTCOMES_AN_UPDATE as f64;
                let moved = self.weights[f] + step + ANCHOR * (START[f] - self.weights[f]);
                self.weights[f] = START[f] * (moved / START[f]).clamp(FLOOR, 1.0 / FLOOR);
            }
        }
    }
}

/// How many of the candidates may be drawn: all but the worst quarter, as the candidates themselves are few.
fn selectable(ready: usize) -> usize {
    (3 * ready).div_ceil(4).max(2).min(ready)
}
