//! Work budget of an endpoint in slow start.

/// Work by which a request may exceed a budget, relative to an average request. With a budget below
/// one request nothing is sent.
const MAX_BUDGET_OVERRUN: f64 = 0.5;

/// Work sent to an endpoint in one interval of its slow start.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartUsage {
    /// Number of the interval, counted from the endpoint's start.
    pub(crate) interval: u64,
    pub(crate) work: f64,
}

/// Budget of the current interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowStartBudget {
    /// Number of the interval, counted from the endpoint's start.
    pub(crate) interval: u64,
    /// Work already sent in the interval.
    pub(crate) used: f64,
    /// Work that may be sent in the interval, in whole requests.
    pub(crate) limit: f64,
}

impl SlowStartBudget {
    /// Budget of an endpoint that is not in slow start.
    pub(crate) const UNLIMITED: Self = Self {
        interval: u64::MAX,
        used: 0.0,
        limit: f64::INFINITY,
    };

    /// Returns whether a request of this work fits. With a limit below one request nothing fits:
    /// the overrun is not granted either, because the overruns of many balancers would add up.
    pub(crate) fn allows(&self, work: f64) -> bool {
        self.limit >= 1.0 && self.used + work <= self.limit + MAX_BUDGET_OVERRUN
    }

    /// Returns the usage after a request of this work.
    pub(crate) fn usage_after(&self, work: f64) -> SlowStartUsage {
        SlowStartUsage {
            interval: self.interval,
            work: self.used + work,
        }
    }
}
