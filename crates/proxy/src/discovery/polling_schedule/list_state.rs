//! The version of the endpoint list that this balancer has, and whether it has to be verified.

use nanorand::{Rng, WyRand};
use pinefront_policy::Micros;

use super::poll::ListSummary;
use super::settings::PollingSettings;

/// Delay before a cached list is verified by polling the complete list, in microseconds. The
/// version of a cached list may come from another discovery that counts versions differently.
const VERIFY_DELAY_US: Micros = 10_000_000;

/// The version of the endpoint list and its verification.
pub(super) struct ListState {
    /// The known version; `None` if the complete list has to be polled.
    pub version: Option<u64>,
    /// Whether the version is based on the cached list and was not confirmed by a complete list
    /// yet.
    pub is_unverified: bool,
    /// When the complete list is polled to verify the version, in microseconds.
    pub verify_at: Option<Micros>,
    /// Whether the last update had entries, so that other balancers received it at the same time.
    pub last_had_entries: bool,
}

impl ListState {
    /// Creates the state without a list.
    pub fn new() -> Self {
        Self {
            version: None,
            is_unverified: false,
            verify_at: None,
            last_had_entries: true,
        }
    }

    /// Records that the process started with a cached list of this version.
    pub fn set_cached_version(&mut self, version: u64) {
        self.version = Some(version);
        self.is_unverified = true;
    }

    /// Whether a version is newer than the known one.
    pub fn is_newer(&self, version: u64, is_complete: bool) -> bool {
        self.version
            .is_none_or(|known| version > known || (is_complete && version == known))
    }

    /// Records a list from another balancer or from a connection that is being closed.
    pub fn receive(&mut self, summary: ListSummary) {
        self.version = Some(summary.version);
        self.last_had_entries = summary.has_entries;
        self.is_unverified &= !summary.is_complete;
    }

    /// Records the accepted list of a response. Changes to a cached list that is not verified yet
    /// schedule its verification.
    pub fn update(
        &mut self,
        now: Micros,
        summary: ListSummary,
        was_current: bool,
        settings: PollingSettings,
        random: &mut WyRand,
    ) {
        self.last_had_entries = summary.has_entries;
        let has_version_decreased = self.version.is_some_and(|known| summary.version < known);
        if has_version_decreased && !summary.is_complete && was_current {
            // Discovery counts versions differently now, so its changes since the known version are
            // incomplete.
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
