//! Outlier groups: classes and tenants whose requests are late far more often than all others, at
//! any endpoint.

use crate::Micros;
use crate::state::decaying::DecayingSum;

/// Horizon of outcome counts, in microseconds.
const OUTCOME_HORIZON_US: f64 = 4e6;
/// Minimum number of late attempts of an outlier.
const MIN_LATE_ATTEMPTS: f64 = 2.0;
/// Fraction of late attempts above which a group is an outlier if no other requests are late.
const MIN_LATE_FRACTION: f64 = 0.5;

/// Counts of the late attempts and of all attempts of a group.
#[derive(Clone, Default)]
pub(crate) struct OutcomeCounts {
    late: DecayingSum,
    total: DecayingSum,
    /// Time at which the next request is admitted as a trial.
    pub(crate) next_trial_at: Micros,
}

impl OutcomeCounts {
    fn record(&mut self, now: Micros, late: f64) {
        self.late.add(now, OUTCOME_HORIZON_US, late);
        self.total.add(now, OUTCOME_HORIZON_US, 1.0);
    }
}

/// Outcome counts of the groups, and of all requests together.
pub(crate) struct Outliers {
    /// Outcome counts by group: first the classes, then the tenants.
    pub(crate) groups: Vec<OutcomeCounts>,
    all: OutcomeCounts,
}

impl Outliers {
    pub(crate) fn new(groups: usize) -> Self {
        Self {
            groups: vec![OutcomeCounts::default(); groups],
            all: OutcomeCounts::default(),
        }
    }

    /// Clears the groups after a change of settings; the counts of all requests remain.
    pub(crate) fn reset_groups(&mut self, groups: usize) {
        self.groups = vec![OutcomeCounts::default(); groups];
    }

    /// Records whether an attempt of these groups was late.
    pub(crate) fn record(&mut self, now: Micros, groups: [usize; 2], late: bool) {
        let late = f64::from(u8::from(late));
        for group in groups {
            if let Some(counts) = self.groups.get_mut(group) {
                counts.record(now, late);
            }
        }
        self.all.record(now, late);
    }

    /// Returns whether a group is late far more often than the requests outside it.
    pub(crate) fn is_outlier(&self, now: Micros, group: usize) -> bool {
        let Some(counts) = self.groups.get(group) else {
            return false;
        };
        let late = counts.late.read(now, OUTCOME_HORIZON_US);
        if late < MIN_LATE_ATTEMPTS {
            return false;
        }
        let total = counts.total.read(now, OUTCOME_HORIZON_US);
        let all_late = self.all.late.read(now, OUTCOME_HORIZON_US);
        let all = self.all.total.read(now, OUTCOME_HORIZON_US);
        // Without outcomes outside the group the fraction is 1, because the other requests may be
        // late as often.
        let others = (all_late - late + 1.0) / (all - total + 1.0);
        late / total > MIN_LATE_FRACTION + (1.0 - MIN_LATE_FRACTION) * others
    }
}
