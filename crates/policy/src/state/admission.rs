//! Share of the arriving requests that is admitted, and the tenants' quotas.
//!
//! Invariant: the admitted share stays between `MIN_ADMITTED_SHARE` and 1, and changes only when a
//! request arrives.

use crate::state::decaying::{DecayingAverage, DecayingSum, MICROS_PER_SECOND, RECENT_HORIZON_US};
use crate::{Micros, Settings};

/// Admitted share before the first responses, while no latency is available.
pub(crate) const INITIAL_ADMITTED_SHARE: f64 = 0.5;
const MIN_ADMITTED_SHARE: f64 = 0.1;
/// Relative change of the admitted share by one arrival, per unit of headroom.
const ADMITTED_SHARE_GAIN: f64 = 0.3;
/// Upper bound of the pressure of one response, which is the ratio of its latency to the latency
/// that counts as late.
pub(crate) const MAX_PRESSURE: f64 = 3.0;
/// Pressure of a rejection by an endpoint.
pub(crate) const REJECTION_PRESSURE: f64 = 3.0 * MAX_PRESSURE;
/// Number of assumed responses with the neutral pressure of 1, added to the measured responses.
const PRIOR_RESPONSES: f64 = 0.5;

/// The admitted share and its inputs.
pub(crate) struct Admission {
    pub(crate) admitted_share: f64,
    /// Margin of latencies below the latency that counts as late: 1 minus the average pressure. At
    /// most 1, and negative under pressure.
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

    /// Adjusts the admitted share by the pressure of the last second.
    pub(crate) fn update(&mut self, now: Micros, pressure: &DecayingAverage) {
        let late = pressure.total.read(now, MICROS_PER_SECOND);
        let responses = pressure.weight.read(now, MICROS_PER_SECOND);
        self.headroom = 1.0 - (late + PRIOR_RESPONSES) / (responses + PRIOR_RESPONSES);
        self.admitted_share = (self.admitted_share * (1.0 + ADMITTED_SHARE_GAIN * self.headroom))
            .clamp(MIN_ADMITTED_SHARE, 1.0);
    }

    /// Returns the probability of admitting a request. A balancer with several endpoints to itself
    /// can measure their load and sheds almost nothing by the admitted share; requests beyond their
    /// tenant's quota are shed first.
    pub(crate) fn probability(&self, endpoints_per_balancer: f64, within_quota: bool) -> f64 {
        let shed = (1.0 - self.admitted_share) / (1.0 + endpoints_per_balancer.powi(4));
        let admitted = 1.0 - shed;
        if within_quota {
            admitted
        } else {
            2.0 * admitted - 1.0
        }
    }

    /// Returns whether an arriving request is within this balancer's part of its tenant's quota,
    /// and counts it if it is.
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
        let quota = quota_per_second * RECENT_HORIZON_US / MICROS_PER_SECOND;
        let within = admitted.read(now, RECENT_HORIZON_US) < quota + quota.sqrt();
        admitted.add(now, RECENT_HORIZON_US, f64::from(u8::from(within)));
        within
    }
}
