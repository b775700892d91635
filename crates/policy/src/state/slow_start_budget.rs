//! Budget of work for an endpoint in slow start.

/// What a request may exceed a budget by.
const MAX_BUDGET_OVERRUN: f64 = 0.5;

/// Work sent to an endpoint in one interval of its slow start.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartUsage {
    /// Number of the interval since the endpoint's start.
    pub(crate) interval: u64,
    pub(crate) work: f64,
}

/// The budget of the present interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowStartBudget {
    /// Number of the interval since the endpoint's start.
    pub(crate) interval: u64,
    /// Work already sent in it.
    pub(crate) used: f64,
    /// Work that may be sent in it, in whole requests.
    pub(crate) limit: f64,
}

impl SlowStartBudget {
    /// The budget of an endpoint that is not in slow start.
    pub(crate) const UNLIMITED: Self = Self {
        interval: u64::MAX,
        used: 0.0,
        limit: f64::INFINITY,
    };

    /// Whether a request of that work fits. Without any budget the overrun is not granted either:
    /// those of many balancers would add up.
    pub(crate) fn allows(&self, work: f64) -> bool {
        self.limit >= 1.0 && self.used + work <= self.limit + MAX_BUDGET_OVERRUN
    }

    /// What is spent after a request of that work.
    pub(crate) fn usage_after(&self, work: f64) -> SlowStartUsage {
        SlowStartUsage {
            interval: self.interval,
            work: self.used + work,
        }
    }
}
