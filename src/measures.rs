//! What follows from what a balancer was told and has seen: estimates, with the horizons and priors that they rest on.

use crate::arithmetic::mixed;
use crate::fading::Mean;
use crate::known::{Balancer, Ticket};
use crate::{Host, Micros};

pub(crate) const SECOND: f64 = 1e6;
/// Horizons of the present and of what describes a machine.
pub(crate) const RECENT: f64 = 2.0 * SECOND;
pub(crate) const LASTING: f64 = 15.0 * SECOND;
/// Answers that tell of an upstream's present state.
pub(crate) const HEARD_EACH: f64 = 4.0;
/// Answers that what is expected unheard counts as, and the part of the promised time that is expected then.
pub(crate) const EACH: (f64, f64) = (3.0, 0.2);
/// How the shortest answer time follows quicker and slower means: a jam is not taken for the usual.
const FOLLOWS: (f64, f64) = (0.1, 0.0003);

/// Answers that what is usual for the machine type counts as, and where loads are asked for: own ones tell little.
const KIND_ANSWERS: f64 = 1.0;
const KIND_ASKED: f64 = 8.0;
impl<H: Host> Balancer<H> {
    /// What is usual for each machine type, looked up once and not for each candidate.
    pub(crate) fn usual_by_kind(&self, ready: &[usize]) -> Vec<(u64, Option<f64>)> {
        let mut usual: Vec<(u64, Option<f64>)> = Vec::new();
        for &u in ready {
            let kind = self.upstreams[u].kind;
            if usual.iter().all(|known| known.0 != kind) {
                let of_kind = self.kinds.get(&kind).and_then(Mean::read);
                usual.push((kind, of_kind.or(self.seen.answers.read())));
            }
        }
        usual
    }

    /// Few answers tell little: they pull what is usual for the machine type their way by their number.
    pub(crate) fn shrunk(
        &self,
        usual: &[(u64, Option<f64>)],
        kind: u64,
        own: Option<f64>,
        count: f64,
    ) -> Option<f64> {
        let prior = if self.asks() { KIND_ASKED } else { KIND_ANSWERS };
        let usual = usual.iter().find(|known| known.0 == kind).and_then(|known| known.1).or(own)?;
        Some((count * own.unwrap_or(usual) + prior * usual) / (count + prior))
    }

    /// Answer time for each ticket that an upstream holds, as is usual for its capacity. Few or old answers count
    /// little: one long ticket would else look as if none could be in time, and nothing more would be learned.
    pub(crate) fn each(&self, now: Micros, u: usize) -> f64 {
        let promised = self.terms.shortest_promise() as f64;
        let [sum, count] =
            [&self.seen.each.total, &self.seen.each.weight].map(|part| part.read(now, LASTING));
        let usual = (sum + EACH.0 * EACH.1 * promised) / (count + EACH.0) / self.capacity(u);
        usual / self.grown(now, u)
    }

    pub(crate) fn capacity(&self, u: usize) -> f64 {
        let listed = self.upstreams[u].weight.read().filter(|w| self.terms.weights_listed && *w > 0.0);
        listed.unwrap_or(1.0)
    }

    /// Whether two dispatches of a ticket may be out: under the terms now, and those that it was taken under.
    pub(crate) fn copies(&self, ticket: &Ticket) -> bool {
        self.terms.second_copies && ticket.second_copies
    }

    /// Which balancer keeps the book of an upstream: all know without a word.
    pub(crate) fn keeper(&self, u: usize) -> usize {
        (mixed(self.upstreams[u].hash, 0) % self.terms.balancers as u64) as usize
    }

    pub(crate) fn is_cold(&self, now: Micros, u: usize) -> bool {
        let launched = self.upstreams[u].launched;
        launched > 0 && now < launched + self.terms.warming.warm_after
    }

    /// How far a cold upstream has grown at least; 1 where it is warm.
    pub(crate) fn grown(&self, now: Micros, u: usize) -> f64 {
        if !self.is_cold(now, u) {
            return 1.0;
        }
        let (warming, age) = (&self.terms.warming, now.saturating_sub(self.upstreams[u].launched));
        warming.starts_at + (1.0 - warming.starts_at) * age as f64 / warming.warm_after as f64
    }

    /// The horizon of what is heard of one upstream: some answers from each, or chance would pass for load.
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
        RECENT.min(now.saturating_sub(self.started) as f64).max(RECENT / 4.0)
    }

    /// Answer time expected at present for a usual ticket of the use case.
    pub(crate) fn expected(&self, use_case: usize) -> f64 {
        let promised = self.terms.use_cases[use_case].promised_time as f64;
        self.paces[use_case].present.read().unwrap_or(promised / 4.0)
    }

    /// Takes in what a success tells of the upstream, its machine type and the use case.
    pub(crate) fn learn(
        &mut self,
        now: Micros,
        ticket: &Ticket,
        number: usize,
        took: f64,
        answer: f64,
        cold: bool,
    ) {
        let Some(dispatch) = ticket.dispatches.get(number) else { return };
        let capacity = self.capacity(dispatch.upstream);
        let before = dispatch.before;
        let (upstream, pace) = (&mut self.upstreams[dispatch.upstream], &mut self.paces[ticket.use_case]);
        let (seen, kinds) = (&mut self.seen, &mut self.kinds);
        seen.succeeded.add(now, RECENT, 1.0);
        if let Some(held) = before {
            let each = took * ticket.work * capacity / (held + ticket.work);
            seen.each.add(now, LASTING, each, 1.0);
        }
        pace.present.add(now, RECENT, took, ticket.work);
        pace.lasting.add(now, LASTING, took, ticket.work);
        pace.squares.add(now, LASTING, took * took, ticket.work);
        seen.answers.add(now, LASTING, took, ticket.work);
        if !cold {
            seen.served.add(now, LASTING, ticket.work);
        }
        kinds.entry(upstream.kind).or_default().add(now, LASTING, answer, ticket.work);
        follow_shortest(&mut pace.shortest, pace.lasting.read().unwrap_or(took));
        follow_shortest(&mut upstream.shortest, upstream.lasting_answers.read().unwrap_or(answer));
        upstream.kept.add(now, RECENT, took * ticket.work);
    }
}

fn follow_shortest(shortest: &mut Option<f64>, mean: f64) {
    let shortest = shortest.get_or_insert(mean);
    *shortest += if mean < *shortest { FOLLOWS.0 } else { FOLLOWS.1 } * (mean - *shortest);
}
