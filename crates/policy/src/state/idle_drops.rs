//! Detection of idle connections that the network drops without notice, from attempts that lose
//! their connection immediately.

use crate::Micros;

/// Time in microseconds for which drops are assumed after one was detected.
const DROP_ASSUMPTION_US: Micros = 15_000_000;
/// Shortest idle time in microseconds after which the loss of a connection can be an idle drop.
const MIN_DROPPED_IDLE_US: Micros = 200_000;
/// Divisor of the latency objective that gives the time within which a connection must be lost to
/// count as an idle drop. The loss of a connection through a crash of the endpoint takes longer to
/// arrive.
const DROP_OBJECTIVE_DIVISOR: Micros = 100;

/// Idle time in microseconds from which connections are assumed to be dropped, and the end of that
/// assumption.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct IdleDrops {
    pub(crate) min_idle: Micros,
    pub(crate) assumed_until: Micros,
}

impl IdleDrops {
    /// Returns whether a connection that was idle for `idle_for` microseconds is assumed to be
    /// dropped.
    pub(crate) fn is_assumed_dropped(&self, now: Micros, idle_for: Micros) -> bool {
        now < self.assumed_until && idle_for >= self.min_idle
    }

    /// Returns whether an attempt that lost its connection after `elapsed` microseconds indicates a
    /// drop that is not assumed yet.
    pub(crate) fn indicates_new_drop(
        &self,
        now: Micros,
        idle_for: Micros,
        elapsed: Micros,
        latency_objective: Micros,
    ) -> bool {
        !self.is_assumed_dropped(now, idle_for)
            && elapsed < latency_objective / DROP_OBJECTIVE_DIVISOR
            && idle_for >= MIN_DROPPED_IDLE_US
    }

    /// Assumes for `DROP_ASSUMPTION_US` that connections idle for `idle_for` microseconds or longer
    /// are dropped.
    pub(crate) fn assume(&mut self, now: Micros, idle_for: Micros) {
        self.min_idle = if now < self.assumed_until {
            self.min_idle.min(idle_for)
        } else {
            idle_for
        };
        self.assumed_until = now + DROP_ASSUMPTION_US;
    }
}
