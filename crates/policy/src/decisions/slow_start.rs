//! Slow start: the budget of work for an endpoint whose process has just started.
//!
//! Invariant: the budgets of all balancers for one endpoint sum to less than the load that would
//! overload it, in each overload window of its slow start.

use crate::balancer::Balancer;
use crate::hashing::hash_pair;
use crate::state::decaying::LONG_TERM_US;
use crate::state::slow_start_budget::SlowStartBudget;
use crate::{Host, Micros};

/// Fraction of an endpoint's budget that is used, as its capacity is an estimate.
const BUDGET_FRACTION: f64 = 0.5;

impl<H: Host> Balancer<H> {
    /// Whether an endpoint is in slow start.
    pub(crate) fn in_slow_start(&self, now: Micros, index: usize) -> bool {
        let started_at = self.endpoints[index].started_at;
        started_at > 0 && now < started_at + self.settings.slow_start.duration
    }

    /// Least capacity of an endpoint, as a fraction of its full capacity; 1 after slow start.
    pub(crate) fn slow_start_capacity(&self, now: Micros, index: usize) -> f64 {
        if !self.in_slow_start(now, index) {
            return 1.0;
        }
        let slow_start = &self.settings.slow_start;
        let age = now.saturating_sub(self.endpoints[index].started_at);
        slow_start.initial_capacity
            + (1.0 - slow_start.initial_capacity) * age as f64 / slow_start.duration as f64
    }

    /// The budget of an endpoint in the present interval of its slow start. What is not spent
    /// expires.
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
        // A budget of part of a request is granted to some of the balancers, so lone requests never
        // add up.
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

    /// Work per microsecond that each warm endpoint serves for this balancer. The capacity of a new
    /// endpoint is not known: it is taken to be the same, or the initial part of the arrivals where
    /// no endpoint is warm.
    fn warm_throughput(&self, now: Micros) -> f64 {
        let served = match self.warm_endpoints {
            0 => {
                let arrivals = self.fleet.arrivals.read(now, LONG_TERM_US);
                self.settings.slow_start.initial_capacity * arrivals
            }
            _ => self.fleet.served_work.read(now, LONG_TERM_US),
        };
        let endpoints = self.subset_size().endpoints.min(self.warm_endpoints);
        served / self.long_term_span(now) / endpoints.max(1) as f64
    }

    /// Fraction of the budget that this balancer has: the balancers with the endpoint in their
    /// subset share one half of what it bears, all the others the other half.
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
