//! Rejection of requests of outlier groups, except trials. A request that is slow at every endpoint
//! provides no information about any of them, and takes capacity from the others.

use crate::balancer::Balancer;
use crate::state::request::Request;
use crate::{Host, Micros};

/// Time between two trials of an outlier group, as a multiple of the latency objective.
const TRIAL_INTERVAL_OBJECTIVES: u64 = 4;

impl<H: Host> Balancer<H> {
    /// Returns the groups of a request: its class and its tenant.
    fn outlier_group_indices(&self, request: &Request) -> [usize; 2] {
        [request.class, self.settings.classes.len() + request.tenant]
    }

    /// Returns the first of a request's groups that is an outlier.
    pub(crate) fn outlier_group(&self, now: Micros, request: &Request) -> Option<usize> {
        self.outlier_group_indices(request)
            .into_iter()
            .find(|&group| self.outliers.is_outlier(now, group))
    }

    /// Returns whether a request is rejected because of its group. At intervals one request passes
    /// as a trial, to detect that the group has recovered.
    pub(crate) fn excluded_as_outlier(&mut self, now: Micros, request: &Request) -> bool {
        let Some(group) = self.outlier_group(now, request) else {
            return false;
        };
        let objective = self.settings.classes[request.class].latency_objective;
        let counts = &mut self.outliers.groups[group];
        let excluded = now < counts.next_trial_at;
        if !excluded {
            counts.next_trial_at = now + TRIAL_INTERVAL_OBJECTIVES * objective;
        }
        excluded
    }

    /// Records whether an attempt took longer than the latency objective.
    pub(crate) fn record_outcome(&mut self, now: Micros, request: &Request, elapsed: Micros) {
        let late = elapsed >= self.settings.classes[request.class].latency_objective;
        let groups = self.outlier_group_indices(request);
        self.outliers.record(now, groups, late);
    }
}
