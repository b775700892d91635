//! The subset of endpoints to which this balancer sends: the first endpoints of its preference
//! order.
//!
//! The order takes endpoints from a hash ring common to all balancers, in irrational steps from a
//! start that depends on the balancer's index.
//!
//! Invariant: every endpoint is in the subsets of about the same number of balancers.

use crate::state::endpoint::Endpoint;
use crate::{Micros, Settings};

/// Minimum number of balancers that share an endpoint.
const MIN_SHARING_BALANCERS: usize = 2;
/// Minimum number of endpoints in a subset.
const MIN_SUBSET_SIZE: usize = 2;
/// Minimum number of endpoints in a subset if loads are polled before each selection.
const MIN_POLLED_SUBSET_SIZE: usize = 6;
/// Divided by the number of balancers, this is the number of balancers that share an endpoint in
/// addition to `MIN_SHARING_BALANCERS`: one in a fleet of this size, and fewer in a larger fleet.
const EXTRA_SHARING_FLEET_SIZE: usize = 4;
/// Distance between the starts of neighbouring balancers as a fraction of the ring: the inverse of
/// the golden ratio.
const RING_START_STEP: f64 = 0.618_033_988_749_895;
/// Step between endpoints as a fraction of the ring. An irrational step spreads evenly on a ring of
/// any size.
const RING_STEP: f64 = std::f64::consts::SQRT_2;
/// Number of endpoints of the own zone for each endpoint of another zone while the own zone has no
/// capacity left.
const SAME_ZONE_PER_REMOTE: usize = 2;

/// This balancer's order of preference over the ready endpoints.
#[derive(Default)]
pub(crate) struct Subset {
    /// All ready endpoints, with those of other zones interleaved.
    pub(crate) preference_order: Vec<usize>,
    /// All ready endpoints, those of the own zone first.
    pub(crate) zone_first_order: Vec<usize>,
    /// Time until which the own zone counts as having no capacity left.
    pub(crate) zone_saturated_until: Micros,
}

/// Size of a subset.
pub(crate) struct SubsetSize {
    pub(crate) endpoints: usize,
    /// Average number of balancers that share an endpoint.
    pub(crate) sharing_balancers: f64,
}

impl Subset {
    /// Returns the preference order in use at `now`.
    pub(crate) fn current_order(&self, now: Micros) -> &[usize] {
        if now < self.zone_saturated_until {
            &self.preference_order
        } else {
            &self.zone_first_order
        }
    }

    /// Clears both orders, which forces the next rebuild even if the ready endpoints are the same,
    /// as after a change of settings.
    pub(crate) fn clear(&mut self) {
        self.preference_order.clear();
        self.zone_first_order.clear();
    }

    /// Returns the smallest size at which every endpoint is shared by enough balancers (see
    /// `MIN_SHARING_BALANCERS` and `EXTRA_SHARING_FLEET_SIZE`), but at least the minimum size and
    /// at most the number of ready endpoints.
    pub(crate) fn size(&self, settings: &Settings) -> SubsetSize {
        let (ready, balancers) = (self.preference_order.len(), settings.balancers);
        let least = if settings.polls_loads() {
            MIN_POLLED_SUBSET_SIZE
        } else {
            MIN_SUBSET_SIZE
        };
        let shares = MIN_SHARING_BALANCERS * balancers + EXTRA_SHARING_FLEET_SIZE;
        let size = (shares * ready).div_ceil(balancers * balancers);
        let endpoints = size.max(least).min(ready);
        SubsetSize {
            endpoints,
            sharing_balancers: (endpoints * balancers) as f64 / ready.max(1) as f64,
        }
    }

    /// Rebuilds both orders if the set of ready endpoints has changed.
    pub(crate) fn rebuild(&mut self, endpoints: &[Endpoint], settings: &Settings) {
        let mut ring: Vec<usize> = (0..endpoints.len())
            .filter(|&index| endpoints[index].ready)
            .collect();
        let all_ready = |order: &[usize]| order.iter().all(|&index| endpoints[index].ready);
        if ring.len() == self.preference_order.len() && all_ready(&self.preference_order) {
            return;
        }
        ring.sort_by_key(|&index| (endpoints[index].hash, index));
        // If loads are polled, all zones count as the own one, because the score weighs the zone
        // against the load.
        let same_zone = |index: &usize| {
            settings.polls_loads() || endpoints[*index].location.zone == settings.zone
        };
        let (same, remote): (Vec<_>, Vec<_>) = ring.into_iter().partition(same_zone);
        let start = settings.own_index as f64 * RING_START_STEP;
        let [same, remote] = [same, remote].map(|ring| order_from(&ring, start));
        self.zone_first_order = [same.as_slice(), &remote].concat();
        self.preference_order = interleave(same, remote);
    }
}

/// Returns an order with `SAME_ZONE_PER_REMOTE` endpoints of the own zone before each remote one.
fn interleave(same_zone: Vec<usize>, remote: Vec<usize>) -> Vec<usize> {
    let mut order = Vec::new();
    let (mut same_zone, mut remote) = (same_zone.into_iter(), remote.into_iter());
    while same_zone.len() + remote.len() > 0 {
        order.extend(same_zone.by_ref().take(SAME_ZONE_PER_REMOTE));
        order.extend(remote.by_ref().take(1));
    }
    order
}

/// Returns the endpoints of the ring from a starting point on, in irrational steps.
fn order_from(ring: &[usize], start: f64) -> Vec<usize> {
    let mut remaining: Vec<Option<usize>> = ring.iter().map(|&index| Some(index)).collect();
    let position = |n: usize| ((start + n as f64 * RING_STEP).fract() * ring.len() as f64) as usize;
    let mut order: Vec<usize> = (0..2 * ring.len())
        .filter_map(|n| remaining[position(n)].take())
        .collect();
    order.extend(remaining.into_iter().flatten());
    order
}
