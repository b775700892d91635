//! Idle connections that the network drops without notice, as seen from attempts that lost theirs
//! at once.

use crate::Micros;

/// How long drops are assumed after one was seen.
const DROP_ASSUMPTION_US: Micros = 15_000_000;
/// Shortest idle time of a connection that can have been dropped for it.
const MIN_DROPPED_IDLE_US: Micros = 200_000;
/// Part of the latency objective within which a dropped connection shows: a crash takes longer.
const DROP_OBJECTIVE_DIVISOR: Micros = 100;

/// The idle time from which on connections are taken to be dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct IdleDrops {
    pub(crate) min_idle: Micros,
    pub(crate) assumed_until: Micros,
}

impl IdleDrops {
    /// Whether a connection that was idle for so long is taken to be dropped.
    pub(crate) fn affects(&self, now: Micros, idle_for: Micros) -> bool {
        now < self.assumed_until && idle_for >= self.min_idle
    }

    /// Whether an attempt that lost its connection after `elapsed` shows a drop that is not assumed
    /// yet.
    pub(crate) fn indicates_new_drop(
        &self,
        now: Micros,
        idle_for: Micros,
        elapsed: Micros,
        latency_objective: Micros,
    ) -> bool {
        !self.affects(now, idle_for)
            && elapsed < latency_objective / DROP_OBJECTIVE_DIVISOR
            && idle_for >= MIN_DROPPED_IDLE_US
    }

    /// Assumes for a while that connections idle for that long are dropped.
    pub(crate) fn assume(&mut self, now: Micros, idle_for: Micros) {
        self.min_idle = if now < self.assumed_until {
            self.min_idle.min(idle_for)
        } else {
            idle_for
        };
        self.assumed_until = now + DROP_ASSUMPTION_US;
    }
}
