//! Which version of the endpoint list this balancer has, and whether it still has to be verified.

use nanorand::{Rng, WyRand};
use pinefront_policy::Micros;

use super::poll::ListSummary;
use super::settings::PollingSettings;

/// When a cached list, whose versions another discovery may have counted, is verified by a complete
/// one.
const VERIFY_DELAY_US: Micros = 10_000_000;

/// The version of the endpoint list.
pub(super) struct ListState {
    /// The version that is known; none asks for the complete list.
    pub version: Option<u64>,
    /// The version is that of the cached list and of changes since, not confirmed by a complete
    /// list yet.
    pub is_unverified: bool,
    /// When the complete list is polled to verify it.
    pub verify_at: Option<Micros>,
    /// The last update named endpoints: other balancers received it at the same moment.
    pub last_had_entries: bool,
}

impl ListState {
    /// No list.
    pub fn new() -> Self {
        Self {
            version: None,
            is_unverified: false,
            verify_at: None,
            last_had_entries: true,
        }
    }

    /// The process was started with a list of that version.
    pub fn set_cached_version(&mut self, version: u64) {
        self.version = Some(version);
        self.is_unverified = true;
    }

    /// Whether a version is newer than the known one.
    pub fn is_newer(&self, version: u64, is_complete: bool) -> bool {
        self.version
            .is_none_or(|known| version > known || (is_complete && version == known))
    }

    /// A list was received from another balancer or from a connection that is being closed.
    pub fn receive(&mut self, summary: ListSummary) {
        self.version = Some(summary.version);
        self.last_had_entries = summary.has_entries;
        self.is_unverified &= !summary.is_complete;
    }

    /// A poll was answered with a list that was accepted.
    pub fn update(
        &mut self,
        now: Micros,
        summary: ListSummary,
        was_current: bool,
        settings: PollingSettings,
        random: &mut WyRand,
    ) {
        self.last_had_entries = summary.has_entries;
        let went_back = self.version.is_some_and(|known| summary.version < known);
        if went_back && !summary.is_complete && was_current {
            // Discovery counts differently now, so its changes since the known version are not all.
            self.version = None;
            return;
        }
        self.version = Some(summary.version);
        if summary.is_complete {
            self.is_unverified = false;
            self.verify_at = None;
        } else if self.is_unverified && self.verify_at.is_none() {
            let spread = random.generate_range(0..=settings.verify_spread());
            self.verify_at = Some(now + VERIFY_DELAY_US + spread);
        }
    }
}
