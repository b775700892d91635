//! The versioned endpoint list of discovery. A change becomes visible with a delay.

use crate::Micros;
use crate::random::RandomSource;
use crate::scenario::Discovery;

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts requests.
    Active,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server no longer exists.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Number of the server.
    pub server: usize,
    /// State of the server.
    pub state: EndpointState,
    /// Time of the last start of the server; `None` if it started long before the scenario.
    pub started_at: Option<Micros>,
}

/// Entries of the endpoint list and the version of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedEntries {
    /// The version of the list.
    pub version: u64,
    /// The entries in ascending order of the server numbers.
    pub entries: Vec<EndpointEntry>,
}

/// A change of the endpoint list and the time at which it becomes visible.
struct Change {
    visible_at: Micros,
    entry: EndpointEntry,
}

/// The endpoint list as a chronological log of all changes. Version `n` of the list contains the
/// first `n` changes.
pub struct EndpointRegistry {
    changes: Vec<Change>,
    /// Minimum and maximum delay until a change becomes visible, in microseconds.
    propagation_delay: [Micros; 2],
    random: RandomSource,
}

impl EndpointRegistry {
    /// Creates a list of `servers` active servers.
    pub fn new(discovery: &Discovery, servers: usize, seed: u64) -> Self {
        let active = |server| Change {
            visible_at: 0,
            entry: EndpointEntry {
                server,
                state: EndpointState::Active,
                started_at: None,
            },
        };
        Self {
            changes: (0..servers).map(active).collect(),
            propagation_delay: discovery.propagation_delay.map(|span| span.0),
            random: RandomSource::split(seed, "discovery", 0),
        }
    }

    /// Records a change and returns the time at which it becomes visible. The delay is random, and
    /// no change becomes visible before an earlier one.
    pub fn change(&mut self, now: Micros, entry: EndpointEntry) -> Micros {
        let [min, max] = self.propagation_delay.map(|delay| delay as f64);
        let delay = self.random.between(min, max) as Micros;
        let previous = self.changes.last().map_or(0, |last| last.visible_at);
        let visible_at = previous.max(now + delay);
        self.changes.push(Change { visible_at, entry });
        visible_at
    }

    /// Returns the version that is visible at `now`.
    pub fn version(&self, now: Micros) -> u64 {
        let visible = |change: &Change| change.visible_at <= now;
        self.changes.partition_point(visible) as u64
    }

    /// Returns the complete list that is visible at `now`, without removed servers.
    pub fn list(&self, now: Micros) -> VersionedEntries {
        let version = self.version(now);
        let mut entries = latest_entries(&self.changes[..version as usize]);
        entries.retain(|entry| entry.state != EndpointState::Removed);
        VersionedEntries { version, entries }
    }

    /// Returns the latest entry of each server that changed between version `since` and the visible
    /// version.
    pub fn changes_since(&self, now: Micros, since: u64) -> VersionedEntries {
        let version = self.version(now);
        let from = since.min(version) as usize;
        let entries = latest_entries(&self.changes[from..version as usize]);
        VersionedEntries { version, entries }
    }

    /// Returns the time at which the version after `version` becomes visible, or `None` if there is
    /// no later version.
    pub fn next_change(&self, version: u64) -> Option<Micros> {
        self.changes
            .get(version as usize)
            .map(|change| change.visible_at)
    }
}

/// Returns the last entry of each server, in ascending order of the server numbers.
fn latest_entries(changes: &[Change]) -> Vec<EndpointEntry> {
    let mut entries: Vec<EndpointEntry> =
        changes.iter().map(|change| change.entry.clone()).collect();
    // The sort is stable and keeps the entries of one server in chronological order. Since
    // `dedup_by_key` keeps the first entry of a server, it is applied to the reversed list.
    entries.sort_by_key(|entry| entry.server);
    entries.reverse();
    entries.dedup_by_key(|entry| entry.server);
    entries.reverse();
    entries
}

#[cfg(test)]
mod tests;
