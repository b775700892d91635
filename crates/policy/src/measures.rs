//! Estimates from what a balancer was told and has seen, with the horizons and priors that they rest on.

use crate::known::{Attempt, Balancer, Endpoint, Pace, Request};
use crate::{Host, Micros};

pub(crate) const SECOND: f64 = 1e6;
/// Horizons of the present and of what describes a machine.
pub(crate) const RECENT: f64 = 2.0 * SECOND;
pub(crate) const LASTING: f64 = 15.0 * SECOND;
/// How long others' attempts and how they ended are believed: longer than requests take.
pub(crate) const HEARSAY: f64 = 4.0 * SECOND;
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
    pub(crate) fn each(&self, now: Micros, u: usize) -> f64 {
        let objective_at = self.settings.shortest_latency_objective() as f64;
        let [sum, count] =
            [&self.seen.each.total, &self.seen.each.weight].map(|part| part.read(now, LASTING));
        (sum + EACH.0 * EACH.1 * objective_at)
            / (count + EACH.0)
            / self.capacity(u)
            / self.grown(now, u)
    }

    pub(crate) fn capacity(&self, u: usize) -> f64 {
        let listed = self.endpoints[u]
            .weight
            .read()
            .filter(|w| self.settings.weights_listed && *w > 0.0);
        listed.unwrap_or(1.0)
    }

    pub(crate) fn is_cold(&self, now: Micros, u: usize) -> bool {
        let launched = self.endpoints[u].launched;
        launched > 0 && now < launched + self.settings.slow_start.duration
    }

    /// How far a cold endpoint has grown at least; 1 where it is warm.
    pub(crate) fn grown(&self, now: Micros, u: usize) -> f64 {
        if !self.is_cold(now, u) {
            return 1.0;
        }
        let (slow_start, age) = (
            &self.settings.slow_start,
            now.saturating_sub(self.endpoints[u].launched),
        );
        slow_start.initial_capacity
            + (1.0 - slow_start.initial_capacity) * age as f64 / slow_start.duration as f64
    }

    /// The horizon of what is heard of one endpoint: some answers from each, or chance would pass for load.
    pub(crate) fn heard_within(&self, now: Micros) -> f64 {
        let rate = self.seen.arrivals.read(now, LASTING) / self.lived(now);
        (HEARD_EACH * self.circle().0 as f64 / rate.max(1e-9)).clamp(RECENT, LASTING)
    }

    /// The span that sums over `LASTING` stand for.
    pub(crate) fn lived(&self, now: Micros) -> f64 {
        (now.saturating_sub(self.started) as f64).clamp(RECENT, LASTING)
    }

    /// The span that sums over `RECENT` stand for: taken as filled, queues would look endless at first.
    pub(crate) fn watched(&self, now: Micros) -> f64 {
        RECENT
            .min(now.saturating_sub(self.started) as f64)
            .max(RECENT / 4.0)
    }

    /// Answer time expected at present for a usual request of the class.
    pub(crate) fn expected(&self, class: usize) -> f64 {
        let objective_at = self.settings.classes[class].latency_objective as f64;
        self.paces[class]
            .present
            .read()
            .unwrap_or(objective_at / 4.0)
    }

    /// Takes in what a success tells of the endpoint and the class.
    pub(crate) fn learn(
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
        let (seen, pace) = (&mut self.seen, &mut self.paces[request.class]);
        if let Some(held) = before {
            seen.each.add(
                now,
                LASTING,
                took * request.work * capacity / (held + request.work),
                1.0,
            );
        }
        seen.succeeded.add(now, RECENT, 1.0);
        pace.present.add(now, RECENT, took, request.work);
        pace.lasting.add(now, LASTING, took, request.work);
        pace.squares.add(now, LASTING, took * took, request.work);
        seen.answers.add(now, LASTING, took, request.work);
        seen.served
            .add(now, LASTING, if cold { 0.0 } else { request.work });
        let endpoint = &mut self.endpoints[*u];
        follow_shortest(&mut pace.shortest, pace.lasting.read().unwrap_or(took));
        follow_shortest(
            &mut endpoint.shortest,
            endpoint.lasting_answers.read().unwrap_or(answer),
        );
        endpoint.kept.add(now, RECENT, took * request.work);
    }
}

impl Endpoint {
    /// Smoothed answer time, or the silence if that is more: a hung endpoint must not look idle.
    pub(crate) fn latency(&self, now: Micros) -> Option<f64> {
        self.answers
            .read()
            .map(|answers| answers.max(self.silent_for(now)))
    }
}

impl Pace {
    /// Whether what is overdue is lost, not slow, and little of all is: of much, repeats would add to harm.
    pub(crate) fn loses(&self, now: Micros) -> bool {
        let (lost, served) = (
            self.overdue.total.read(now, RECENT),
            self.present.weight.read(now, RECENT),
        );
        lost > LOSES.0 && self.overdue.read() > Some(LOSES.1) && lost < LOSES.2 * served
    }

    /// Standard deviation of answer times over their mean; where none is known, as wide as may be.
    pub(crate) fn scatter(&self) -> f64 {
        let known = self.squares.read().zip(self.lasting.read());
        known.map_or(f64::INFINITY, |(squares, mean)| {
            (squares / (mean * mean) - 1.0).max(0.0).sqrt()
        })
    }

    /// The scatter to reckon with where no hint tells the work, twice the usual at most. Before an answer was
    /// heard none: a new balancer would else never send and never learn.
    pub(crate) fn margin(&self) -> f64 {
        let unhinted = self.hint.read().is_none() && self.lasting.read().is_some();
        if unhinted {
            self.scatter().min(2.0)
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
