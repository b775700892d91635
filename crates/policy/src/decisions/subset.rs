//! This balancer's subset of the endpoints; see `state/subset.rs`.

use crate::Host;
use crate::balancer::Balancer;
use crate::state::subset::SubsetSize;

impl<H: Host> Balancer<H> {
    /// Builds the preference order anew where the ready endpoints have changed.
    pub(crate) fn rebuild_preference_order(&mut self) {
        self.subset.rebuild(&self.endpoints, &self.settings);
    }

    /// The size of this balancer's subset.
    pub(crate) fn subset_size(&self) -> SubsetSize {
        self.subset.size(&self.settings)
    }
}
