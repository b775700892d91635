//! Tests of the polling schedule with a virtual clock.

use super::*;

mod bound;
mod fleet;
mod lost_responses;
mod simulation;
mod versions;
mod watches;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
const TICK: Micros = 5 * MILLISECOND;
const POLL_INTERVAL: Micros = 10 * SECOND;

/// Access to the schedule for tests, also for those that use sockets.
impl PollingSchedule {
    /// Makes the current poll older by `age` microseconds.
    pub fn backdate_current_poll(&mut self, age: Micros) {
        let current = self.polls.current.iter_mut();
        current.for_each(|poll| poll.sent_at -= age);
    }

    /// Returns when the current poll was sent, in microseconds; 0 if none is current.
    pub fn current_poll_sent_at(&self) -> Micros {
        self.polls.current.map_or(0, |poll| poll.sent_at)
    }
}

fn settings(balancers: usize) -> PollingSettings {
    PollingSettings {
        max_poll_interval: Some(POLL_INTERVAL),
        balancers,
    }
}

fn changes(version: u64, has_entries: bool) -> ListSummary {
    ListSummary {
        version,
        is_complete: false,
        has_entries,
    }
}

fn complete_list(version: u64) -> ListSummary {
    ListSummary {
        version,
        is_complete: true,
        has_entries: true,
    }
}

/// Sends the next poll of a schedule. Returns its connection and its query.
fn send_next_poll(
    schedule: &mut PollingSchedule,
    now: Micros,
    balancers: usize,
) -> (ConnectionId, ListQuery) {
    match schedule.next_action(now, settings(balancers)) {
        Some(PollAction::Open(id, query) | PollAction::Reuse(id, query)) => {
            schedule.connected(id);
            (id, query)
        }
        other => panic!("{other:?}"),
    }
}
