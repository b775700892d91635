//! Estimates from what a balancer was told and has seen, with the horizons and priors that they rest on.

use crate::known::{Attempt, Balancer, ClassLatency, Endpoint, Request};
use crate::{Host, Micros};

pub(crate) const SECOND_US: f64 = 1e6;
/// Horizons of the present and of what describes a machine.
pub(crate) const RECENT_US: f64 = 2.0 * SECOND_US;
pub(crate) const LONG_TERM_US: f64 = 15.0 * SECOND_US;
/// How long others' attempts and how they ended are believed: longer than requests take.
pub(crate) const GOSSIP_HORIZON_US: f64 = 4.0 * SECOND_US;
/// Answers that tell of an endpoint's present state.
pub(crate) const HEARD_EACH: f64 = 4.0;
/// Answers that what is expected unheard counts as, and the part of the latency objective that is expected then.
pub(crate) const EACH: (f64, f64) = (3.0, 0.2);
/// Overdue attempts never answered before that is believed, their least part of all that is overdue, and the
/// most that they may be of those answered.
const LOSES: (f64, f64, f64) = (2.0, 0.7, 0.1);
/// How the shortest answer time follows quicker and slower means: a jam is not taken for the usual.
const FOLLOWS: (f64, f64) = (0.1, 0.0003);

impl<H: Host> Balancer<H> {
    /// Answer time for each request that an endpoint of its capacity holds. Few or old answers count little:
    /// after one long request none would else look to be in time, and nothing more would be learned.
    pub(crate) fn latency_per_request(&self, now: Micros, u: usize) -> f64 {
        let objective_at = self.settings.shortest_latency_objective() as f64;
        let [sum, count] = [
            &self.fleet.latency_per_request.total,
            &self.fleet.latency_per_request.weight,
        ]
        .map(|part| part.read(now, LONG_TERM_US));
        (sum + EACH.0 * EACH.1 * objective_at)
            / (count + EACH.0)
            / self.capacity(u)
            / self.slow_start_capacity(now, u)
    }

    pub(crate) fn capacity(&self, u: usize) -> f64 {
        let listed = self.endpoints[u]
            .weight
            .read()
            .filter(|w| self.settings.weights_listed && *w > 0.0);
        listed.unwrap_or(1.0)
    }

    pub(crate) fn in_slow_start(&self, now: Micros, u: usize) -> bool {
        let started_at = self.endpoints[u].started_at;
        started_at > 0 && now < started_at + self.settings.slow_start.duration
    }

    /// How far a cold endpoint has grown at least; 1 where it is warm.
    pub(crate) fn slow_start_capacity(&self, now: Micros, u: usize) -> f64 {
        if !self.in_slow_start(now, u) {
            return 1.0;
        }
        let (slow_start, age) = (
            &self.settings.slow_start,
            now.saturating_sub(self.endpoints[u].started_at),
        );
        slow_start.initial_capacity
            + (1.0 - slow_start.initial_capacity) * age as f64 / slow_start.duration as f64
    }

    /// The horizon of what is heard of one endpoint: some answers from each, or chance would pass for load.
    pub(crate) fn latency_horizon(&self, now: Micros) -> f64 {
        let rate = self.fleet.arrivals.read(now, LONG_TERM_US) / self.long_term_span(now);
        (HEARD_EACH * self.subset().0 as f64 / rate.max(1e-9)).clamp(RECENT_US, LONG_TERM_US)
    }

    /// The span that sums over `LASTING` stand for.
    pub(crate) fn long_term_span(&self, now: Micros) -> f64 {
        (now.saturating_sub(self.started) as f64).clamp(RECENT_US, LONG_TERM_US)
    }

    /// The span that sums over `RECENT` stand for: taken as filled, queues would look endless at first.
    pub(crate) fn recent_span(&self, now: Micros) -> f64 {
        RECENT_US
            .min(now.saturating_sub(self.started) as f64)
            .max(RECENT_US / 4.0)
    }

    /// Answer time expected at present for a usual request of the class.
    pub(crate) fn expected_latency(&self, class: usize) -> f64 {
        let objective_at = self.settings.classes[class].latency_objective as f64;
        self.class_latency[class]
            .present
            .read()
            .unwrap_or(objective_at / 4.0)
    }

    /// Takes in what a success tells of the endpoint and the class.
    pub(crate) fn record_success(
        &mut self,
        now: Micros,
        request: &Request,
        number: usize,
        took: f64,
        answer: f64,
        cold: bool,
    ) {
        let Some(Attempt {
            endpoint: u,
            before,
            ..
        }) = request.attempts.get(number)
        else {
            return;
        };
        let capacity = self.capacity(*u);
        let (fleet, latency) = (&mut self.fleet, &mut self.class_latency[request.class]);
        if let Some(held) = before {
            fleet.latency_per_request.add(
                now,
                LONG_TERM_US,
                took * request.work * capacity / (held + request.work),
                1.0,
            );
        }
        fleet.succeeded.add(now, RECENT_US, 1.0);
        latency.present.add(now, RECENT_US, took, request.work);
        latency.long_term.add(now, LONG_TERM_US, took, request.work);
        latency
            .squares
            .add(now, LONG_TERM_US, took * took, request.work);
        fleet.latency.add(now, LONG_TERM_US, took, request.work);
        fleet
            .served
            .add(now, LONG_TERM_US, if cold { 0.0 } else { request.work });
        let endpoint = &mut self.endpoints[*u];
        follow_shortest(
            &mut latency.shortest,
            latency.long_term.read().unwrap_or(took),
        );
        follow_shortest(
            &mut endpoint.shortest,
            endpoint.long_term_latency.read().unwrap_or(answer),
        );
        endpoint.busy_time.add(now, RECENT_US, took * request.work);
    }
}

impl Endpoint {
    /// Smoothed answer time, or the silence if that is more: a hung endpoint must not look idle.
    pub(crate) fn latency(&self, now: Micros) -> Option<f64> {
        self.recent_latency
            .read()
            .map(|answers| answers.max(self.unanswered_for(now)))
    }
}

impl ClassLatency {
    /// Whether what is overdue is lost, not slow, and little of all is: of much, repeats would add to harm.
    pub(crate) fn loses_attempts(&self, now: Micros) -> bool {
        let (lost, served) = (
            self.overdue.total.read(now, RECENT_US),
            self.present.weight.read(now, RECENT_US),
        );
        lost > LOSES.0 && self.overdue.read() > Some(LOSES.1) && lost < LOSES.2 * served
    }

    /// Standard deviation of answer times over their mean; where none is known, as wide as may be.
    pub(crate) fn relative_spread(&self) -> f64 {
        let known = self.squares.read().zip(self.long_term.read());
        known.map_or(f64::INFINITY, |(squares, mean)| {
            (squares / (mean * mean) - 1.0).max(0.0).sqrt()
        })
    }

    /// The scatter to reckon with where no hint tells the work, twice the usual at most. Before an answer was
    /// heard none: a new balancer would else never send and never learn.
    pub(crate) fn spread_margin(&self) -> f64 {
        let unhinted = self.hint.read().is_none() && self.long_term.read().is_some();
        if unhinted {
            self.relative_spread().min(2.0)
        } else {
            0.0
        }
    }
}

fn follow_shortest(shortest: &mut Option<f64>, mean: f64) {
    let shortest = shortest.get_or_insert(mean);
    *shortest += if mean < *shortest {
        FOLLOWS.0
    } else {
        FOLLOWS.1
    } * (mean - *shortest);
}
