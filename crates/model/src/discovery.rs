//! Discovery: the list of servers with versions, each change told some time after it was true.

use crate::Micros;
use crate::chance::Chance;
use crate::day::Discovery;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Active,
    /// Finishes what it has, wants nothing new.
    Leaving,
    Left,
}

/// One server as the list tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub server: usize,
    pub state: State,
    /// When it last started; nothing for long ago.
    pub born: Option<Micros>,
}

/// All changes so far, in order; a version is a place among them.
pub struct Registry {
    /// When each change can be told.
    changes: Vec<(Micros, Entry)>,
    delay: [Micros; 2],
    chance: Chance,
}

impl Registry {
    pub fn new(discovery: &Discovery, servers: usize, seed: u64) -> Self {
        let first = |server| {
            (
                0,
                Entry {
                    server,
                    state: State::Active,
                    born: None,
                },
            )
        };
        let changes = (0..servers).map(first).collect();
        let delay = discovery.delay.map(|span| span.0);
        Self {
            changes,
            delay,
            chance: Chance::split(seed, "discovery", 0),
        }
    }

    /// Something changed now; it is told after a drawn delay, and never before what changed earlier. Says when.
    pub fn change(&mut self, now: Micros, entry: Entry) -> Micros {
        let delay = self
            .chance
            .between(self.delay[0] as f64, self.delay[1] as f64) as Micros;
        let at = self
            .changes
            .last()
            .map_or(0, |last| last.0)
            .max(now + delay);
        self.changes.push((at, entry));
        at
    }

    /// The version that can be told at that moment.
    pub fn version(&self, now: Micros) -> u64 {
        self.changes.partition_point(|(at, _)| *at <= now) as u64
    }

    /// The whole list at that moment: what is in it, in order of the servers' numbers.
    pub fn list(&self, now: Micros) -> (u64, Vec<Entry>) {
        let version = self.version(now);
        let mut entries = self.last_of(&self.changes[..version as usize]);
        entries.retain(|entry| entry.state != State::Left);
        (version, entries)
    }

    /// What changed after a version, each server once as it is now; nothing where that version is not behind.
    pub fn since(&self, now: Micros, version: u64) -> (u64, Vec<Entry>) {
        let present = self.version(now);
        let from = version.min(present) as usize;
        (present, self.last_of(&self.changes[from..present as usize]))
    }

    /// When something newer than that version can be told, as far as is known now.
    pub fn next(&self, version: u64) -> Option<Micros> {
        self.changes.get(version as usize).map(|(at, _)| *at)
    }

    fn last_of(&self, changes: &[(Micros, Entry)]) -> Vec<Entry> {
        let mut entries: Vec<Entry> = changes.iter().map(|(_, entry)| entry.clone()).collect();
        // Stable, so that of one server the last change stays last.
        entries.sort_by_key(|entry| entry.server);
        entries.reverse();
        entries.dedup_by_key(|entry| entry.server);
        entries.reverse();
        entries
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::day::Span;

    fn entry(server: usize, state: State) -> Entry {
        Entry {
            server,
            state,
            born: None,
        }
    }

    #[test]
    fn changes_are_told_late_in_order_and_each_server_once() {
        let delay = [Span(100), Span(1000)];
        let mut registry = Registry::new(
            &Discovery {
                delay,
                ..Discovery::default()
            },
            3,
            5,
        );
        assert_eq!(registry.list(0).0, 3);
        let first = registry.change(0, entry(1, State::Leaving));
        let second = registry.change(0, entry(1, State::Left));
        assert!((100..=1000).contains(&first) && second >= first);
        assert_eq!(
            (registry.version(first - 1), registry.next(3)),
            (3, Some(first))
        );
        assert_eq!(registry.since(second, 3), (5, vec![entry(1, State::Left)]));
        let (version, list) = registry.list(second);
        assert_eq!(
            (
                version,
                list.iter().map(|entry| entry.server).collect::<Vec<_>>()
            ),
            (5, vec![0, 2])
        );
        assert_eq!(
            registry.since(second, 9),
            (5, vec![]),
            "a version from elsewhere is not behind"
        );
        assert_eq!(registry.next(5), None);
    }
}
