//! This balancer's subset of the endpoints; see `state/subset.rs`.

use crate::Host;
use crate::balancer::Balancer;
use crate::state::subset::SubsetSize;

impl<H: Host> Balancer<H> {
    /// Rebuilds the preference order if the ready endpoints have changed.
    pub(crate) fn rebuild_preference_order(&mut self) {
        self.subset.rebuild(&self.endpoints, &self.settings);
    }

    /// Returns the size of this balancer's subset.
    pub(crate) fn subset_size(&self) -> SubsetSize {
        self.subset.size(&self.settings)
    }
}
