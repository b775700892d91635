//! The versioned endpoint list of discovery. Each change becomes visible some time after it
//! happened.

use crate::Micros;
use crate::random::RandomSource;
use crate::scenario::Discovery;

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts requests.
    Active,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// No longer exists.
    Removed,
}

/// One server of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The server's number.
    pub server: usize,
    /// Its state.
    pub state: State,
    /// When it last started; none where that was long before the scenario.
    pub started_at: Option<Micros>,
}

/// A change and when it becomes visible.
struct Change {
    visible_at: Micros,
    entry: Entry,
}

/// All changes so far, in order of time. Version `n` of the list contains the first `n` changes.
pub struct Registry {
    changes: Vec<Change>,
    /// Minimum and maximum delay of a change.
    propagation_delay: [Micros; 2],
    random: RandomSource,
}

impl Registry {
    /// A list of that many active servers.
    pub fn new(discovery: &Discovery, servers: usize, seed: u64) -> Self {
        let active = |server| Change {
            visible_at: 0,
            entry: Entry {
                server,
                state: State::Active,
                started_at: None,
            },
        };
        Self {
            changes: (0..servers).map(active).collect(),
            propagation_delay: discovery.propagation_delay.map(|span| span.0),
            random: RandomSource::split(seed, "discovery", 0),
        }
    }

    /// Records a change. Returns when it becomes visible: after a random delay, and not before any
    /// earlier change.
    pub fn change(&mut self, now: Micros, entry: Entry) -> Micros {
        let [min, max] = self.propagation_delay.map(|delay| delay as f64);
        let delay = self.random.between(min, max) as Micros;
        let previous = self.changes.last().map_or(0, |last| last.visible_at);
        let visible_at = previous.max(now + delay);
        self.changes.push(Change { visible_at, entry });
        visible_at
    }

    /// The version that is visible now.
    pub fn version(&self, now: Micros) -> u64 {
        let visible = |change: &Change| change.visible_at <= now;
        self.changes.partition_point(visible) as u64
    }

    /// The visible version and the complete list, in order of the servers' numbers.
    pub fn list(&self, now: Micros) -> (u64, Vec<Entry>) {
        let version = self.version(now);
        let mut entries = latest_entries(&self.changes[..version as usize]);
        entries.retain(|entry| entry.state != State::Removed);
        (version, entries)
    }

    /// The visible version, and the latest entry of each server that changed since `version`.
    pub fn since(&self, now: Micros, version: u64) -> (u64, Vec<Entry>) {
        let visible = self.version(now);
        let from = version.min(visible) as usize;
        let changes = &self.changes[from..visible as usize];
        (visible, latest_entries(changes))
    }

    /// When a newer version than that becomes visible, if a change is pending or visible.
    pub fn next_change(&self, version: u64) -> Option<Micros> {
        self.changes
            .get(version as usize)
            .map(|change| change.visible_at)
    }
}

/// The last entry of each server, in order of the servers' numbers.
fn latest_entries(changes: &[Change]) -> Vec<Entry> {
    let mut entries: Vec<Entry> = changes.iter().map(|change| change.entry.clone()).collect();
    // The sort is stable, so the latest entry of a server stays behind its earlier ones.
    entries.sort_by_key(|entry| entry.server);
    entries.reverse();
    entries.dedup_by_key(|entry| entry.server);
    entries.reverse();
    entries
}

#[cfg(test)]
mod tests;
