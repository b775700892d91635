//! Slow start: the work budget of an endpoint whose process has just started.
//!
//! Invariant: in each overload window of an endpoint's slow start, the budgets of all balancers sum
//! to less than the load that would overload the endpoint.

use crate::balancer::Balancer;
use crate::hashing::hash_pair;
use crate::state::decaying::LONG_TERM_HORIZON_US;
use crate::state::slow_start_budget::SlowStartBudget;
use crate::{Host, Micros};

/// Fraction of an endpoint's budget that is used, because its capacity is an estimate.
const BUDGET_FRACTION: f64 = 0.5;

impl<H: Host> Balancer<H> {
    /// Returns whether an endpoint is in slow start.
    pub(crate) fn in_slow_start(&self, now: Micros, index: usize) -> bool {
        let started_at = self.endpoints[index].started_at;
        started_at > 0 && now < started_at + self.settings.slow_start.duration
    }

    /// Returns the minimum capacity of an endpoint, as a fraction of its full capacity; 1 after
    /// slow start.
    pub(crate) fn slow_start_capacity(&self, now: Micros, index: usize) -> f64 {
        if !self.in_slow_start(now, index) {
            return 1.0;
        }
        let slow_start = &self.settings.slow_start;
        let age = now.saturating_sub(self.endpoints[index].started_at);
        slow_start.initial_capacity
            + (1.0 - slow_start.initial_capacity) * age as f64 / slow_start.duration as f64
    }

    /// Returns the work budget of an endpoint in the current interval; unlimited outside slow
    /// start. An interval lasts one overload window, counted from the start of the endpoint. Unused
    /// work expires at its end.
    pub(crate) fn slow_start_budget(&self, now: Micros, index: usize) -> SlowStartBudget {
        if !self.in_slow_start(now, index) {
            return SlowStartBudget::UNLIMITED;
        }
        let (slow_start, endpoint) = (&self.settings.slow_start, &self.endpoints[index]);
        let age = now.saturating_sub(endpoint.started_at);
        let interval = age / slow_start.overload_window.max(1);
        let budget = self.subset_fraction(index)
            * BUDGET_FRACTION
            * slow_start.overload_multiple
            * self.slow_start_capacity(now, index)
            * self.warm_throughput(now)
            * slow_start.overload_window as f64;
        // A budget of a fraction of a request is rounded up at some of the balancers and down at
        // the others, so that single requests of many balancers do not add up.
        let instance_hash = hash_pair(self.instance_seed, endpoint.hash);
        let rounding = hash_pair(instance_hash, interval) as f64 / u64::MAX as f64;
        let usage = endpoint.slow_start_usage;
        SlowStartBudget {
            interval,
            used: if usage.interval == interval {
                usage.work
            } else {
                0.0
            },
            limit: (budget + rounding).floor(),
        }
    }

    /// Returns the work per microsecond that each warm endpoint serves for this balancer. The
    /// capacity of a new endpoint is not known: it is assumed to be the same or, if no endpoint is
    /// warm, the initial fraction of the arrivals.
    fn warm_throughput(&self, now: Micros) -> f64 {
        let served = match self.warm_endpoints {
            0 => {
                let arrivals = self.fleet.arrivals.read(now, LONG_TERM_HORIZON_US);
                self.settings.slow_start.initial_capacity * arrivals
            }
            _ => self.fleet.served_work.read(now, LONG_TERM_HORIZON_US),
        };
        let endpoints = self.subset_size().endpoints.min(self.warm_endpoints);
        served / self.long_term_span(now) / endpoints.max(1) as f64
    }

    /// Returns the fraction of the budget that is available to this balancer: the balancers with
    /// the endpoint in their subset share one half of its load limit, and all others share the
    /// other half.
    fn subset_fraction(&self, index: usize) -> f64 {
        let (size, order) = (self.subset_size().endpoints, &self.subset.preference_order);
        let in_subset = || order.iter().take(size).any(|&member| member == index);
        if self.settings.polls_loads() || in_subset() {
            1.0
        } else {
            size as f64 / order.len().max(1) as f64
        }
    }
}
