//! Every decision of the balancer: a method for each thing that happens, acting through the [`Host`]. The
//! ordinary path is `place`, or `ask` and `place_asked`; `permitted` keeps the rules for `send`. Beside it
//! stand six mechanisms (`docs/design.md`), and order by key, which is a rule (`turns.rs`).

use std::rc::Rc;

use nanorand::{Rng, WyRand};

use crate::arithmetic::{clipped_step, dot, mixed, project, relative, scattered, softplus};
use crate::known::{Alarm, Attempt, Balancer, Endpoint, FEATURES, Request, Scene};
use crate::margin::begin_before;
use crate::measures::{LASTING, RECENT, SECOND};
use crate::words::{Fate, Word};
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
const PUMP_EVERY: Micros = 10_000;
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

pub(crate) const FOLLOW_ALARM: u64 = 0;
const PUMP_ALARM: u64 = 1;

impl<H: Host> Balancer<H> {
    pub fn start(host: H, seed: u64, settings: Settings, now: Micros) -> Self {
        let mut balancer = Self::blank(host, WyRand::new_seed(seed), settings, START, now);
        (balancer.salt, balancer.let_through) = (mixed(seed, 0), THROUGH.1);
        balancer.begin_following();
        balancer
    }

    /// Balancers that see little keep to a few endpoints, from evenly spread starts on the common ring.
    pub(crate) fn draw_order(&mut self) {
        let mut ring: Vec<usize> = (0..self.endpoints.len())
            .filter(|&u| self.endpoints[u].ready)
            .collect();
        if ring.len() == self.order.len() && self.order.iter().all(|&u| self.endpoints[u].ready) {
            return;
        }
        ring.sort_by_key(|&u| (self.endpoints[u].hash, u));
        // A far one costs the way there; where loads are asked for, the drawing weighs that against the load.
        let is_near = |u: &usize| self.asks() || self.endpoints[*u].zone == self.settings.zone;
        let (near, far): (Vec<_>, Vec<_>) = ring.into_iter().partition(is_near);
        let own = self.settings.own_index as f64 * RING;
        let [near, far] = [near, far].map(|ring| scattered(ring, own));
        (self.near_first, self.order) = ([near.as_slice(), &far].concat(), Vec::new());
        let (mut near, mut far) = (near.into_iter(), far.into_iter());
        while near.len() + far.len() > 0 {
            self.order
                .extend(near.by_ref().take(MIX).chain(far.by_ref().take(1)));
        }
    }

    /// The order to go by now: near ones may bear less than comes there, and leave requests without room then.
    fn present_order(&self, now: Micros) -> &[usize] {
        if now < self.crowded_until {
            &self.order
        } else {
            &self.near_first
        }
    }

    /// How many endpoints this balancer keeps to, and how many balancers keep to each.
    pub(crate) fn circle(&self) -> (usize, f64) {
        let (ready, balancers) = (self.order.len(), self.settings.balancers);
        let least = if self.asks() { CIRCLE.2 } else { CIRCLE.1 };
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
        self.seen.arrivals.add(now, LASTING, 1.0);
        let work = hint.map_or(1.0, |hint| {
            let usual = &mut self.paces[class].hint;
            usual.add(now, LASTING, hint as f64, 1.0);
            (hint as f64 / usual.read().unwrap_or(1.0).max(1.0)).clamp(0.1, 10.0)
        });
        let within_quota = self.within_quota(now, tenant);
        let line = key.filter(|_| self.settings.classes[class].ordered_by_key);
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
            line,
            ..blank
        };
        let [late, heard] =
            [&self.seen.pressure.total, &self.seen.pressure.weight].map(|s| s.read(now, SECOND));
        self.ease = 1.0 - (late + HEARD_PRIOR) / (heard + HEARD_PRIOR);
        self.let_through =
            (self.let_through * (1.0 + THINNING.0 * self.ease)).clamp(THROUGH.0, 1.0);
        // With several endpoints to itself, or loads to ask for, a balancer needs no guess.
        let own = if self.asks() {
            usize::MAX
        } else {
            self.order.len()
        } as f64;
        let let_through =
            1.0 - (1.0 - self.let_through) / (1.0 + (own / self.settings.balancers as f64).powi(4));
        // Beyond the share gives way first.
        let part = if within_quota {
            let_through
        } else {
            2.0 * let_through - 1.0
        };
        if self.chance.generate::<f64>() > part || self.kept_out(now, &request) {
            return self.give_up(now, request);
        }
        self.take_turn(now, request);
    }

    /// The ordinary path of a request.
    fn place(&mut self, now: Micros, request: &mut Request) -> bool {
        let ready = self.candidates(now, request);
        self.draw(now, request, &ready)
    }

    /// Whether loads are asked for, of endpoints or keepers: a balancer of a request a second can't know them.
    pub(crate) fn asks(&self) -> bool {
        self.settings.load_from_probes
            || (self.settings.load_unreported && self.settings.gossip_allowed)
    }

    /// Asks some of the candidates what they hold; the request is placed when they have answered.
    fn ask(&mut self, now: Micros, mut request: Request) {
        let ready = self.candidates(now, &request);
        if ready.is_empty() || request.objective_at.min(request.deadline) <= now {
            self.in_vain = now;
            return self.give_up(now, request);
        }
        let wait = self.settings.classes[request.class].latency_objective / ASK_PART;
        // Where none was in time of late, words about each request would flood all balancers.
        let flood = !self.settings.load_from_probes && now < self.in_vain + STANDS * wait;
        let fresh = if flood { STANDS * wait } else { wait };
        (request.waits, request.answered) = ready.into_iter().take(ASKED).partition(|&u| {
            let (keeper, endpoint) = (self.keeper(u), &mut self.endpoints[u]);
            if !self.settings.load_from_probes && keeper == self.settings.own_index {
                endpoint.read_book(now);
            }
            endpoint.held.is_none() || now >= endpoint.reported + fresh
        });
        for &u in &request.waits {
            match self.settings.load_from_probes {
                true => self.host.probe(&self.endpoints[u].id),
                false => self.host.send_gossip(
                    Some(self.keeper(u)),
                    &Word::Asks(self.endpoints[u].short()).text(),
                ),
            }
        }
        if request.waits.is_empty() {
            return self.place_asked(now, request);
        }
        let wait = wait.min(request.deadline.saturating_sub(now) / 2);
        self.set_alarm(wait, Alarm::Asked(Rc::clone(&request.id)));
        self.asking.push(request);
    }

    /// An endpoint that was asked has answered, or can't.
    pub(crate) fn heard(&mut self, now: Micros, u: usize, answered: bool) {
        for request in &mut self.asking {
            if let Some(at) = request.waits.iter().position(|waits| *waits == u) {
                request.waits.swap_remove(at);
                request.answered.extend(answered.then_some(u));
            }
        }
        while let Some(at) = self
            .asking
            .iter()
            .position(|request| request.waits.is_empty())
        {
            let request = self.asking.remove(at);
            self.place_asked(now, request);
        }
    }

    /// What came of a probe.
    pub fn probe_completed(&mut self, now: Micros, id: &str, answered: bool) {
        let known = self.by_id.get(id).copied();
        known.into_iter().for_each(|u| self.heard(now, u, answered));
    }

    /// Places a request among those that answered, as far as they would be in time; else it waits a little.
    fn place_asked(&mut self, now: Micros, mut request: Request) {
        let mut ready = std::mem::take(&mut request.answered);
        if ready.is_empty() && !self.settings.load_from_probes {
            // Who keeps the book is gone or slow: better unasked than not at all.
            ready = std::mem::take(&mut request.waits);
        }
        ready.retain(|&u| self.permitted(now, &request, u) && self.in_time(now, &request, u));
        match !ready.is_empty() && self.draw(now, &mut request, &ready) {
            true => _ = self.requests.insert(Rc::clone(&request.id), request),
            false => {
                self.in_vain = now;
                self.give_up(now, request);
            }
        }
    }

    /// Whether an endpoint would answer a request in the part of its time that its earnings are worth.
    fn in_time(&self, now: Micros, request: &Request, u: usize) -> bool {
        let (each, Some(held)) = (self.each(now, u), self.endpoints[u].held) else {
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
        let scatter = if unsent {
            self.paces[request.class].margin()
        } else {
            0.0
        };
        each * held * (1.0 + scatter) <= part * (spare - each * request.work * (1.0 + scatter))
    }

    /// Idle connections that rested so long are not used for a while.
    pub(crate) fn believe_dropped(&mut self, now: Micros, rested: Micros) {
        let least = if now < self.dropped.1 {
            self.dropped.0.min(rested)
        } else {
            rested
        };
        self.dropped = (least, now + DROPPED.0);
    }

    /// Draws one of the candidates by the scoring function and sends the request there.
    fn draw(&mut self, now: Micros, request: &mut Request, ready: &[usize]) -> bool {
        let rows = self.features(now, ready);
        let score = |row| softplus(dot(&self.weights, row));
        let mut scored: Vec<(f64, usize)> = rows.iter().map(score).zip(0..).collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        let chances = project(
            &scored.iter().map(|s| s.0).collect::<Vec<_>>(),
            top(scored.len()),
        );
        let mut left = self.chance.generate::<f64>();
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
            rows.len() <= TEACHING || self.chance.generate_range(0..rows.len()) < TEACHING;
        let scene = teaches.then(|| Scene {
            rows: scored.iter().map(|s| rows[s.1]).collect(),
            drawn,
            chance,
        });
        self.send(now, request, u, scene)
    }

    /// What the mechanism knows of each candidate. Ratios to the candidates' mean make one weight vector
    /// serve endpoints of any speed and fleets of any size; what was never heard is the others' mean, 0.
    fn features(&self, now: Micros, ready: &[usize]) -> Vec<[f64; FEATURES]> {
        let ups = &self.endpoints;
        let gather = |known: &dyn Fn(usize, &Endpoint) -> Option<f64>| -> Vec<f64> {
            let each = ready.iter().enumerate().map(|(i, &u)| known(i, &ups[u]));
            relative(&each.collect::<Vec<_>>(), WIDEST)
        };
        let (heard, (_, sharers)) = (self.heard_within(now), self.circle());
        let latency = gather(&|_, up| up.latency(now));
        // Served rate per own request in flight is the inverse of the answer time.
        let rate = |up: &Endpoint| up.lasting_answers.read().map(f64::recip);
        let capacity = gather(&|_, up| {
            if self.settings.weights_listed {
                up.weight.read()
            } else {
                rate(up)
            }
        });
        // An old report speaks of a load that is gone.
        let weight = |u: &usize| (-2.0 * now.saturating_sub(ups[*u].reported) as f64 / heard).exp();
        let fresh: Vec<f64> = ready.iter().map(weight).collect();
        let queue = gather(&|_, up| up.queue.map(|queue| queue + 1.0));
        let busy = gather(&|_, up| up.utilisation.map(|busy| busy + 0.1));
        let since = self.unheard_since(now);
        // Own work in flight, and of what is reported the part that is the other balancers'.
        let others =
            |i: usize, up: &Endpoint| (1.0 - 1.0 / sharers) * fresh[i] * up.queue.unwrap_or(0.0);
        let in_flight = gather(&|i, up| match up.held.filter(|_| self.asks()) {
            Some(held) => Some(IDLE + held * fresh[i]),
            None => Some(0.5 + up.out_since(since).1 + others(i, up)),
        });
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
    fn send(&mut self, now: Micros, request: &mut Request, u: usize, scene: Option<Scene>) -> bool {
        if !self.permitted(now, request, u) {
            return false;
        }
        let (span, spent, _) = self.cold_budget(now, u);
        self.endpoints[u].cold_spent = (span, spent + request.work);
        let endpoint = &mut self.endpoints[u];
        let before = endpoint.held;
        endpoint.outs.push((now, request.work));
        endpoint.held = endpoint.held.map(|held| held + 1.0);
        endpoint.unanswered_since.get_or_insert(now);
        endpoint.met_until = endpoint.met_until.max(request.deadline);
        let rested = endpoint.used.map(|used| now.saturating_sub(used));
        endpoint.used = Some(now);
        // What is sent on a connection dropped unseen is lost, and may not be sent again.
        if now < self.dropped.1 && rested.is_some_and(|rested| rested >= self.dropped.0) {
            self.host.close_idle_connections(&endpoint.id);
        }
        request.untold = true;
        if let Some(line) = request.line.and_then(|key| self.lines.get_mut(&key)) {
            line.out += 1;
        }
        request.attempts.push(Attempt {
            rested,
            before,
            ..Attempt::new(u, now, scene)
        });
        let id = Rc::clone(&endpoint.id);
        // Where answers get lost an attempt ends by itself in time for another.
        let told = self.endpoints[u].lost > LONE.0 && !self.settings.can_cancel;
        let lone = (told || self.paces[request.class].loses(now))
            && self.settings.classes[request.class].idempotency.repeats();
        let spare = request.objective_at.saturating_sub(now) as f64;
        let patience =
            (LONE.3 * self.expected(request.class)).clamp(LONE.1 * spare, LONE.2 * spare) as Micros;
        let until = if lone {
            now + patience.max(PUMP_EVERY)
        } else {
            Micros::MAX
        };
        self.host
            .start_attempt(&request.id, &id, until.min(request.deadline));
        self.tell_keeper(now, u, None);
        true
    }

    /// Asks to be woken.
    pub(crate) fn set_alarm(&mut self, wait: Micros, alarm: Alarm) {
        self.last_alarm = self.last_alarm.max(PUMP_ALARM) + 1;
        self.alarms.insert(self.last_alarm, alarm);
        self.host.set_timer(wait, self.last_alarm);
    }

    /// The four rules for one more attempt of a request to an endpoint.
    fn permitted(&self, now: Micros, request: &Request, u: usize) -> bool {
        let (endpoint, (_, spent, budget)) = (&self.endpoints[u], self.cold_budget(now, u));
        // Two that went down under a request may do so by it: no third, unless one of them has answered since.
        let down = |d: &&Attempt| {
            d.broke
                .is_some_and(|at| self.endpoints[d.endpoint].answered <= at)
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
        open && in_group && self.may_go_on(now, request)
    }

    /// Whether a request may be sent to any endpoint at all, now or later: what may not is given up at once.
    fn may_go_on(&self, now: Micros, request: &Request) -> bool {
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
            return self.end_trailing(now, id, how);
        };
        request.untold = false;
        request
            .line
            .into_iter()
            .for_each(|key| self.end_in_line(now, key, how));
        self.ended(now, &mut request, n, how, took);
        if last {
            self.close(now, request);
        } else if request.attempts.iter().any(|d| d.out) {
            self.requests.insert(Rc::clone(&request.id), request);
        } else {
            match self.may_go_on(now, &request) {
                true => self.admit(now, request),
                false => self.give_up(now, request),
            }
        }
        self.pump(now);
    }

    pub fn response_started(&mut self, id: &str) {
        self.requests
            .entry(Rc::from(id))
            .and_modify(|request| request.streaming = true);
    }

    pub fn client_disconnected(&mut self, now: Micros, id: &str) {
        let lines = self.lines.values_mut().map(|line| &mut line.waiting);
        let lists = [&mut self.held, &mut self.asking].into_iter().chain(lines);
        let waiting = lists
            .flat_map(|list| list.extract_if(.., |request| *request.id == *id))
            .next();
        if let Some(request) = self.requests.remove(id).or(waiting) {
            self.close(now, request);
            self.pump(now);
        }
    }

    /// The final answer, as good as the rules allow: a dismissal promises that trying again is harmless.
    pub(crate) fn give_up(&mut self, now: Micros, request: Request) {
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
        let soon = (COME_BACK * self.expected(request.class)) as Micros;
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
        self.leave_line(now, &request);
    }

    pub fn timer_expired(&mut self, now: Micros, alarm: u64) {
        match alarm {
            FOLLOW_ALARM => self.host.poll_endpoint_list(),
            PUMP_ALARM => {
                self.pump_set = false;
                self.pump(now);
            }
            _ => match self.alarms.remove(&alarm) {
                Some(Alarm::Asked(id)) => {
                    let asked = self
                        .asking
                        .extract_if(.., |request| request.id == id)
                        .next();
                    asked
                        .into_iter()
                        .for_each(|request| self.place_asked(now, request));
                }
                Some(Alarm::Line(key)) => self.move_line(now, key),
                None => {}
            },
        }
    }

    /// The span of an endpoint's life that the present belongs to, what was sent in it and what may be while
    /// it is cold. Its capacity is not told; it is taken to be what this balancer's warm endpoints bear, or a
    /// part of what arrives where none is warm. Where that is less than a request, own chance, drawn for each
    /// span, lets some balancers send one: what is not used is gone, so lone requests never come together.
    fn cold_budget(&self, now: Micros, u: usize) -> (u64, f64, f64) {
        if !self.is_cold(now, u) {
            return (u64::MAX, 0.0, f64::INFINITY);
        }
        let (slow_start, endpoint) = (&self.settings.slow_start, &self.endpoints[u]);
        let (kept, all) = (self.circle().0, self.order.len().max(1));
        let age = now.saturating_sub(endpoint.launched);
        let borne = match self.warm {
            0 => slow_start.initial_capacity * self.seen.arrivals.read(now, LASTING),
            _ => self.seen.served.read(now, LASTING),
        };
        let each = borne / self.lived(now) / kept.min(self.warm).max(1) as f64;
        let span = age / slow_start.overload_window.max(1);
        let chance = mixed(mixed(self.salt, endpoint.hash), span) as f64 / u64::MAX as f64;
        // All budgets add up to what it bears: those of its circles to one half, all the others' to another.
        let keeps = self.asks() || self.order.iter().take(kept).any(|&kept| kept == u);
        let part = if keeps { 1.0 } else { kept as f64 / all as f64 };
        let budget = part
            * COLD.0
            * slow_start.overload_multiple
            * self.grown(now, u)
            * each
            * slow_start.overload_window as f64;
        let (spent_in, spent) = endpoint.cold_spent;
        (
            span,
            if spent_in == span { spent } else { 0.0 },
            (budget + chance).floor(),
        )
    }

    /// The candidates to draw from: the first of the own order that are open.
    fn candidates(&mut self, now: Micros, request: &Request) -> Vec<usize> {
        self.warm = self
            .order
            .iter()
            .filter(|&&u| !self.is_cold(now, u))
            .count();
        let silence = self.silence();
        let open = |u: &usize| {
            let up = &self.endpoints[*u];
            // Of what is silent one at a time shows whether it still is.
            let tried = up.silent_for(now) > silence
                && up.used.is_some_and(|at| now < at + silence as Micros);
            let met = request.attempts.iter().any(|d| d.endpoint == *u);
            !tried && !met && self.has_room(now, *u) && self.permitted(now, request, *u)
        };
        let mut ready: Vec<_> = self
            .present_order(now)
            .iter()
            .copied()
            .filter(open)
            .take(self.circle().0)
            .collect();
        // Ties would fall to whoever comes first, again and again.
        let turn = self.chance.generate_range(0..ready.len().max(1));
        ready.rotate_left(turn);
        ready
    }

    /// Beyond this nothing having come is no accident; what is out may be of the slowest class.
    fn silence(&self) -> f64 {
        let in_use =
            (0..self.paces.len()).filter(|&c| self.settings.classes[c].priority_weight > 0.0);
        SILENT * in_use.map(|c| self.expected(c)).fold(0.0, f64::max)
    }

    /// What was sent before takes up no place: a lost attempt would close an endpoint whose limit is one.
    fn unheard_since(&self, now: Micros) -> Micros {
        now.saturating_sub(self.silence() as Micros)
    }

    /// What an endpoint may hold of ours: what its served rate needs × shortest ÷ present answer time.
    fn limit(&self, now: Micros, u: usize) -> f64 {
        let endpoint = &self.endpoints[u];
        let kept = endpoint.kept.read(now, RECENT) / self.watched(now);
        let known = endpoint.shortest.zip(endpoint.latency(now));
        let ratio = known.map_or(1.0, |(shortest, present)| (shortest / present).min(1.0));
        (LEAST.0 / self.circle().1).max(STRETCH * kept * ratio)
    }

    fn has_room(&self, now: Micros, u: usize) -> bool {
        let (up, (held, _)) = (
            &self.endpoints[u],
            self.endpoints[u].out_since(self.unheard_since(now)),
        );
        up.full_until <= now && (self.asks() || held == 0.0 || held + ROUNDING < self.limit(now, u))
    }

    /// Whether all limits together leave room, with their root for chance: each may be less than a request.
    fn pool_has_room(&self, now: Micros) -> bool {
        let since = self.unheard_since(now);
        let heard = || {
            self.present_order(now)
                .iter()
                .filter(|&&u| !self.endpoints[u].silent_since(since))
        };
        let held: f64 = heard().map(|&u| self.endpoints[u].out_since(since).0).sum();
        let limit: f64 = heard()
            .take(self.circle().0)
            .map(|&u| self.limit(now, u))
            .sum();
        let root = CHANCE * self.ease.max(0.0) + (1.0 / self.settings.balancers as f64).sqrt();
        held < LEAST.1.max(limit + root * limit.sqrt())
    }

    /// The moment after which an answer would likely come too late.
    pub(crate) fn last_start(&self, request: &Request) -> Micros {
        let needed = TIME_LEFT * self.expected(request.class) * request.work.max(1.0);
        request
            .objective_at
            .min(request.deadline.saturating_sub(PUMP_EVERY))
            .saturating_sub(needed as Micros)
    }

    /// Places a request, holds it where it would be sent soon, or gives it up at once.
    pub(crate) fn admit(&mut self, now: Micros, mut request: Request) {
        if self.asks() {
            return self.ask(now, request);
        }
        // What was sent may only go on to some: it must not stand in the way of those that may go anywhere.
        let first = self.held.iter().all(|held| !held.attempts.is_empty());
        if first && self.pool_has_room(now) && self.place(now, &mut request) {
            self.requests.insert(Rc::clone(&request.id), request);
            return;
        }
        self.crowded_until = now + LASTING as Micros;
        let rate = self.seen.succeeded.read(now, RECENT) / self.watched(now);
        let place = self
            .held
            .partition_point(|held| held.objective_at <= request.objective_at);
        let ahead = self.held[..place]
            .iter()
            .filter(|held| held.attempts.is_empty())
            .count();
        let wait = ahead as f64 / rate.max(1.0 / SECOND);
        // With nothing to spare a request is not even held until the next look: its deadline may come first.
        let slack = self.last_start(&request) as f64 - now as f64;
        let part = if request.within_quota {
            HELD_PART.0
        } else {
            HELD_PART.1
        };
        // Where others fill the places that come free, holding only makes for later ones.
        if slack <= 0.0 || wait > part * slack || self.order.len() < HOLDS * self.settings.balancers
        {
            return self.give_up(now, request);
        }
        self.held.insert(place, request);
        self.set_pump();
    }

    fn set_pump(&mut self) {
        if !self.pump_set && !self.held.is_empty() {
            self.pump_set = true;
            self.host.set_timer(PUMP_EVERY, PUMP_ALARM);
        }
    }

    /// Sends held requests while there is room, the most pressing first, and dismisses what is too late.
    pub(crate) fn pump(&mut self, now: Micros) {
        for mut request in std::mem::take(&mut self.held) {
            if self.last_start(&request) < now || !self.may_go_on(now, &request) {
                self.give_up(now, request);
            } else if self.pool_has_room(now) && self.place(now, &mut request) {
                self.requests.insert(Rc::clone(&request.id), request);
            } else {
                self.held.push(request);
            }
        }
        self.set_pump();
    }

    /// Whether a request lies within this balancer's part of its tenant's allowance.
    fn within_quota(&mut self, now: Micros, tenant: usize) -> bool {
        let Some(admitted) = self.admitted.get_mut(tenant) else {
            return true;
        };
        let usual =
            self.settings.tenant_quotas[tenant] / self.settings.balancers as f64 * RECENT / SECOND;
        let within = admitted.read(now, RECENT) < usual + usual.sqrt();
        admitted.add(now, RECENT, f64::from(u8::from(within)));
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
        let (heard, cold) = (self.heard_within(now), self.is_cold(now, attempt.endpoint));
        attempt.out = false;
        attempt.may_have_run = !ending.proves_not_run();
        attempt.broke = (ending == AttemptOutcome::ConnectionLost).then_some(now);
        let (u, rested, sent) = (attempt.endpoint, attempt.rested, attempt.sent);
        self.endpoints[u].release(sent, request.work);
        self.endpoints[u].used = Some(now);
        let objective_at = self.settings.classes[request.class].latency_objective;
        self.tell_keeper(now, u, Some((request.class, Fate::of(ending))));
        let unknown = |rested: &Micros| now >= self.dropped.1 || *rested < self.dropped.0;
        let at_once = ending == AttemptOutcome::ConnectionLost && took < objective_at / DROPPED.2;
        if let Some(rested) = rested
            .filter(unknown)
            .filter(|rested| at_once && *rested >= DROPPED.1)
        {
            self.believe_dropped(now, rested / 2);
            if self.settings.gossip_allowed {
                self.host
                    .send_gossip(None, &Word::Dropped(rested / 2).text());
            }
        }
        let told = took as f64 > self.silence()
            && matches!(ending, AttemptOutcome::TimedOut | AttemptOutcome::Succeeded);
        let [told, lost] =
            [told, ending == AttemptOutcome::TimedOut].map(|is| f64::from(u8::from(is)));
        self.paces[request.class]
            .overdue
            .add(now, RECENT, lost, told);
        if took >= objective_at || ending == AttemptOutcome::Succeeded {
            self.fared(now, request, took);
        }
        let dragging = took >= objective_at && self.dragging(now, request).is_some();
        let endpoint = &mut self.endpoints[u];
        if dragging || ending == AttemptOutcome::Cancelled || ending == AttemptOutcome::NotSent {
            // A client that left early says nothing of the endpoint.
            endpoint.unanswered_since = endpoint.unanswered_since.filter(|_| endpoint.any_out());
            return;
        }
        // Classes are put on one scale by how their usual answer times compare.
        let pace = &mut self.paces[request.class];
        let took = took.max(1) as f64 / request.work;
        // A hung or broken endpoint says nothing of the others' load.
        if matches!(ending, AttemptOutcome::Succeeded | AttemptOutcome::Rejected) {
            let (objective_at, ease) = (
                objective_at as f64,
                AT_EASE.0 * pace.shortest.unwrap_or(f64::INFINITY),
            );
            let late = took / ease.clamp(AT_EASE.1 * objective_at, AT_EASE.2 * objective_at);
            let late = if ending == AttemptOutcome::Succeeded {
                late.min(THINNING.1)
            } else {
                3.0 * THINNING.1
            };
            self.seen.pressure.add(now, SECOND, late, request.work);
        }
        let all = self.seen.answers.read().unwrap_or(took);
        let mut answer = took * all / pace.lasting.read().unwrap_or(took).max(1.0);
        endpoint.unanswered_since = endpoint
            .unanswered_since
            .filter(|_| ending == AttemptOutcome::TimedOut);
        let mut payoff = 0.0;
        if ending == AttemptOutcome::Succeeded {
            (endpoint.left, endpoint.answered) = (None, now);
            self.learn(now, request, number, took, answer, cold);
            payoff = (all / answer).min(WIDEST);
        } else {
            let rest = if ending.proves_not_run() { REST } else { 0.0 };
            endpoint.full_until = now + (rest * pace.present.read().unwrap_or(0.0)) as Micros;
            // A fast failure must not make an endpoint look quick, nor a lost answer make it look slow.
            answer = if ending == AttemptOutcome::TimedOut {
                0.0
            } else {
                answer
            }
            .max(FAILURE_LATENCY * all);
        }
        let endpoint = &mut self.endpoints[u];
        endpoint.answers.add(now, heard, answer, request.work);
        endpoint
            .lasting_answers
            .add(now, LASTING, answer, request.work);
        self.samples.extend(
            request.attempts[number]
                .scene
                .take()
                .map(|scene| (scene, payoff)),
        );
        if self.samples.len() >= OUTCOMES_AN_UPDATE || now > self.updated + UPDATE_EVERY {
            self.update_weights(now);
        }
    }

    /// The clipped policy step over the outcomes since the last.
    fn update_weights(&mut self, now: Micros) {
        self.updated = now;
        let samples = std::mem::take(&mut self.samples);
        for (_, payoff) in &samples {
            self.seen.payoffs.add(now, LASTING, *payoff, 1.0);
        }
        let Some(usual) = self.seen.payoffs.read() else {
            return;
        };
        for _ in 0..EPOCHS {
            let step = clipped_step(&self.weights, &samples, usual, CLIP, top);
            for f in 1..FEATURES {
                let step = STEP * step[f] / OUTCOMES_AN_UPDATE as f64;
                let moved = self.weights[f] + step + ANCHOR * (START[f] - self.weights[f]);
                self.weights[f] = START[f] * (moved / START[f]).clamp(FLOOR, 1.0 / FLOOR);
            }
        }
    }
}

/// How many of the candidates may be drawn: all but the worst quarter, as the candidates themselves are few.
fn top(ready: usize) -> usize {
    (3 * ready).div_ceil(4).max(2).min(ready)
}
