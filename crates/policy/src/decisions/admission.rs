//! Load shedding: the decision whether an arriving request is admitted.

use nanorand::Rng;

use crate::balancer::Balancer;
use crate::state::request::Request;
use crate::{Host, Micros};

impl<H: Host> Balancer<H> {
    /// Decides randomly, with a probability that depends on the admitted share, whether a request
    /// is admitted. A request of an outlier group is admitted only as a trial.
    pub(crate) fn admit(&mut self, now: Micros, request: &Request) -> bool {
        self.admission.update(now, &self.fleet.pressure);
        let endpoints = if self.settings.polls_loads() {
            usize::MAX
        } else {
            self.subset.preference_order.len()
        };
        let endpoints_per_balancer = endpoints as f64 / self.settings.balancers as f64;
        let probability = self
            .admission
            .probability(endpoints_per_balancer, request.within_quota);
        let shed = self.random.generate::<f64>() > probability;
        !shed && !self.excluded_as_outlier(now, request)
    }
}
