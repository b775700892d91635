//! Overload state, work received in slow start, and load measurements of a server.

use std::collections::VecDeque;

use super::LoadReport;
use crate::Micros;
use crate::scenario::{Fleet, Rules};

/// Number of retained load measurements. Earlier measurements are retained because a fault can
/// delay load reports.
const MAX_MEASUREMENTS: usize = 64;
/// Maximum fraction of busy cores at which an overloaded server recovers.
const RECOVERY_BUSY_FRACTION: f64 = 0.5;

/// The overload state of a server. A server becomes overloaded when its queue has been too long for
/// some time, and recovers when it has been mostly idle for some time.
#[derive(Default)]
pub(super) struct Overload {
    is_overloaded: bool,
    /// Time since which the condition for the next change of state has been true.
    condition_since: Option<Micros>,
}

impl Overload {
    pub(super) fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Duration for which the condition for the next change of state must be true.
    fn required_duration(&self, fleet: &Fleet) -> Micros {
        if self.is_overloaded {
            fleet.overload_recovery.0
        } else {
            fleet.overload_after.0
        }
    }

    /// Time of the next change of state, provided that its condition remains true.
    pub(super) fn next_change(&self, fleet: &Fleet) -> Option<Micros> {
        Some(self.condition_since? + self.required_duration(fleet))
    }

    /// Updates the state for the numbers of running and waiting jobs.
    pub(super) fn update(
        &mut self,
        now: Micros,
        fleet: &Fleet,
        cores: usize,
        running: usize,
        waiting: usize,
    ) {
        if fleet.overload_queue_per_core <= 0.0 {
            return;
        }
        let cores = cores as f64;
        let is_condition_true = if self.is_overloaded {
            running as f64 <= RECOVERY_BUSY_FRACTION * cores && waiting == 0
        } else {
            waiting as f64 > fleet.overload_queue_per_core * cores
        };
        let since = is_condition_true.then(|| self.condition_since.unwrap_or(now));
        let required = self.required_duration(fleet);
        let changes = since.is_some_and(|since| now >= since + required);
        self.is_overloaded ^= changes;
        self.condition_since = since.filter(|_| !changes);
    }
}

/// Work received by a server in slow start.
struct ReceivedWork {
    at: Micros,
    work: f64,
}

/// The work received within the overload window of slow start.
#[derive(Default)]
pub(super) struct SlowStartWork {
    received: VecDeque<ReceivedWork>,
}

impl SlowStartWork {
    pub(super) fn clear(&mut self) {
        self.received.clear();
    }

    /// Adds received work. Returns whether the sum within the window exceeds the limit. `capacity`
    /// is in work per microsecond.
    pub(super) fn add(&mut self, now: Micros, work: f64, capacity: f64, rules: &Rules) -> bool {
        let window = rules.slow_start_overload_window.0;
        let received = &mut self.received;
        while received
            .front()
            .is_some_and(|first| first.at + window <= now)
        {
            received.pop_front();
        }
        received.push_back(ReceivedWork { at: now, work });
        let total: f64 = received.iter().map(|received| received.work).sum();
        total > rules.slow_start_overload_factor * capacity * window as f64
    }
}

/// A load report and the time of its measurement.
struct Measurement {
    at: Micros,
    report: LoadReport,
}

/// Load measurements at regular intervals.
pub(super) struct LoadMeter {
    /// Core time used since the last measurement, in microseconds.
    busy: f64,
    last_measured_at: Micros,
    measurements: VecDeque<Measurement>,
}

impl LoadMeter {
    pub(super) fn new(now: Micros) -> Self {
        Self {
            busy: 0.0,
            last_measured_at: now,
            measurements: VecDeque::new(),
        }
    }

    pub(super) fn add_busy(&mut self, core_time: f64) {
        self.busy += core_time;
    }

    /// Measures the load if the interval has passed. `jobs` is the number of all jobs, `waiting`
    /// the number of jobs that wait for a core.
    pub(super) fn measure(
        &mut self,
        now: Micros,
        interval: Micros,
        cores: usize,
        jobs: usize,
        waiting: usize,
    ) {
        if interval == 0 || now < self.last_measured_at + interval {
            return;
        }
        let core_time = (now - self.last_measured_at) as f64 * cores as f64;
        let report = LoadReport {
            in_flight: jobs,
            queue: waiting,
            utilisation: (self.busy / core_time).min(1.0),
        };
        if self.measurements.len() >= MAX_MEASUREMENTS {
            self.measurements.pop_front();
        }
        self.measurements.push_back(Measurement { at: now, report });
        self.busy = 0.0;
        self.last_measured_at = now;
    }

    /// Returns the latest measurement at or before a time.
    pub(super) fn latest(&self, until: Micros) -> Option<LoadReport> {
        let mut measurements = self.measurements.iter().rev();
        let latest = measurements.find(|measurement| measurement.at <= until);
        latest.map(|measurement| measurement.report)
    }
}
