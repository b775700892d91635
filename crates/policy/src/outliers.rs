//! Classes and tenants whose requests drag wherever they are sent. Slow at all endpoints is no sign against
//! any, and what holds places for longer than its latency objective keeps others from theirs.

use crate::decaying::DecayingSum;
use crate::known::{Balancer, Request};
use crate::{Host, Micros};

/// How long outcomes count, the late ones needed, and the late share of what the other requests leave.
const HORIZON: f64 = 4e6;
const DRAGS: (f64, f64) = (2.0, 0.5);
/// Promised times between two requests that are let through to see whether it still drags.
const TRIAL: u64 = 4;

/// How the requests of one class or tenant counts.
#[derive(Clone, Default)]
pub(crate) struct OutcomeCounts {
    late: DecayingSum,
    total: DecayingSum,
    trial_at: Micros,
}

impl<H: Host> Balancer<H> {
    /// Places of a request's class and tenant among the groups.
    fn outlier_group_indices(&self, request: &Request) -> [usize; 2] {
        [request.class, self.settings.classes.len() + request.tenant]
    }

    /// Whether a group is late far more often than the requests outside it.
    fn is_outlier_group(&self, now: Micros, group: usize) -> bool {
        let Some(counts) = self.outlier_groups.get(group) else {
            return false;
        };
        let late = counts.late.read(now, HORIZON);
        if late < DRAGS.0 {
            return false;
        }
        let seen = counts.total.read(now, HORIZON);
        let (all_late, all) = (
            self.all_outcomes.late.read(now, HORIZON),
            self.all_outcomes.total.read(now, HORIZON),
        );
        // Where nothing is known of others, they may be as late.
        let others = (all_late - late + 1.0) / (all - seen + 1.0);
        late / seen > DRAGS.1 + (1.0 - DRAGS.1) * others
    }

    /// Which of its groups, if one, has a request drag at any endpoint.
    pub(crate) fn outlier_group(&self, now: Micros, request: &Request) -> Option<usize> {
        self.outlier_group_indices(request)
            .into_iter()
            .find(|&group| self.is_outlier_group(now, group))
    }

    /// Whether a request is kept out as one that drags; now and then one is let through to see the end.
    pub(crate) fn excluded_as_outlier(&mut self, now: Micros, request: &Request) -> bool {
        let Some(group) = self.outlier_group(now, request) else {
            return false;
        };
        let counts = &mut self.outlier_groups[group];
        let out = now < counts.trial_at;
        if !out {
            counts.trial_at = now + TRIAL * self.settings.classes[request.class].latency_objective;
        }
        out
    }

    /// Takes in whether an attempt took longer than the latency objective.
    pub(crate) fn record_outcome(&mut self, now: Micros, request: &Request, took: Micros) {
        let late = f64::from(u8::from(
            took >= self.settings.classes[request.class].latency_objective,
        ));
        let [class, tenant] = self.outlier_group_indices(request);
        let mut count = |counts: &mut OutcomeCounts| {
            counts.late.add(now, HORIZON, late);
            counts.total.add(now, HORIZON, 1.0);
        };
        [class, tenant]
            .into_iter()
            .filter_map(|g| self.outlier_groups.get_mut(g).map(&mut count))
            .count();
        count(&mut self.all_outcomes);
    }
}

#[cfg(test)]
mod tests;
