//! Share of the arriving requests that is admitted, and the tenants' quotas.
//!
//! Invariant: the share stays between `MIN_ADMITTED_SHARE` and 1, and moves only with arrivals.

use crate::state::decaying::{DecayingAverage, DecayingSum, RECENT_US, SECOND_US};
use crate::{Micros, Settings};

/// Share before the first responses, when no latency is known.
pub(crate) const INITIAL_ADMITTED_SHARE: f64 = 0.5;
const MIN_ADMITTED_SHARE: f64 = 0.1;
/// How fast one arrival moves the share.
const ADMITTED_SHARE_GAIN: f64 = 0.3;
/// Most that a late response counts as pressure.
pub(crate) const MAX_PRESSURE: f64 = 3.0;
/// Pressure of a rejection.
pub(crate) const REJECTION_PRESSURE: f64 = 3.0 * MAX_PRESSURE;
/// Responses of neutral pressure that are assumed beside the measured ones.
const PRIOR_RESPONSES: f64 = 0.5;

/// The admitted share and its inputs.
pub(crate) struct Admission {
    pub(crate) admitted_share: f64,
    /// How far latencies stay below what counts as late; 1 at most, negative under pressure.
    pub(crate) headroom: f64,
    /// Recently admitted requests of each tenant.
    pub(crate) tenants: Vec<DecayingSum>,
}

impl Admission {
    pub(crate) fn new(tenants: usize) -> Self {
        Self {
            admitted_share: INITIAL_ADMITTED_SHARE,
            headroom: 0.0,
            tenants: vec![DecayingSum::default(); tenants],
        }
    }

    /// Moves the admitted share by the pressure of the last second.
    pub(crate) fn update(&mut self, now: Micros, pressure: &DecayingAverage) {
        let late = pressure.total.read(now, SECOND_US);
        let responses = pressure.weight.read(now, SECOND_US);
        self.headroom = 1.0 - (late + PRIOR_RESPONSES) / (responses + PRIOR_RESPONSES);
        self.admitted_share = (self.admitted_share * (1.0 + ADMITTED_SHARE_GAIN * self.headroom))
            .clamp(MIN_ADMITTED_SHARE, 1.0);
    }

    /// Probability of admitting a request. A balancer with several endpoints to itself knows their
    /// load and needs no share; requests beyond their tenant's quota are shed first.
    pub(crate) fn probability(&self, endpoints_per_balancer: f64, within_quota: bool) -> f64 {
        let shed = (1.0 - self.admitted_share) / (1.0 + endpoints_per_balancer.powi(4));
        let admitted = 1.0 - shed;
        if within_quota {
            admitted
        } else {
            2.0 * admitted - 1.0
        }
    }

    /// Whether a request is within this balancer's part of its tenant's quota.
    pub(crate) fn count_against_quota(
        &mut self,
        now: Micros,
        tenant: usize,
        settings: &Settings,
    ) -> bool {
        let Some(admitted) = self.tenants.get_mut(tenant) else {
            return true;
        };
        let quota_per_second = settings.tenant_quotas[tenant] / settings.balancers as f64;
        let quota = quota_per_second * RECENT_US / SECOND_US;
        let within = admitted.read(now, RECENT_US) < quota + quota.sqrt();
        admitted.add(now, RECENT_US, f64::from(u8::from(within)));
        within
    }
}
