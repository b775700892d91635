//! Decides when to poll discovery for the endpoint list, on which connection, and how long to await
//! each response. This module does no I/O and reads no clock.
//!
//! One poll is current at a time. An overdue poll is superseded by another poll on a new
//! connection. Its response is still accepted until it expires, if its list is newer than the known
//! one: closing the connection would waste the poll's position in discovery's queue, which is
//! processed whether a client is still connected or not, and everything written to a connection
//! counts as delivered. Only a few superseded polls are kept; the oldest one beyond that is closed.

use nanorand::{Rng, WyRand};
use pinefront_policy::Micros;

use backoff::Backoff;
use in_flight::PollsInFlight;
use list_state::ListState;
use poll::{Poll, PollStage};
use watch::WatchState;

pub use poll::{ConnectionId, ListQuery, ListSummary, PollAction, PollFailure};
pub use settings::PollingSettings;

mod backoff;
mod in_flight;
mod list_state;
mod poll;
mod settings;
#[cfg(test)]
mod tests;
mod watch;

/// Wait of the queued poll that precedes a watch, in microseconds. If that poll itself were the
/// watch, the end of its wait would be unknown, as its time in discovery's queue is unknown.
const QUEUED_POLL_WAIT_US: Micros = 1_000;
/// Minimum time between two polls, in microseconds, for a discovery that responds immediately.
const MIN_POLL_INTERVAL_US: Micros = 100_000;

/// A connection that is no longer used and has to be closed.
struct ConnectionToClose {
    connection: ConnectionId,
    may_hold_response: bool,
}

/// How long a poll has been in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollAge {
    /// Time since the poll was sent, in microseconds.
    pub waited: Micros,
    /// Whether another poll has superseded this one.
    pub is_superseded: bool,
}

/// Decides when to poll discovery. It is the only owner of the list version, the polls in flight
/// and the time of the next poll.
///
/// It guarantees that a change is received at the latest **6 s after it was made and discovery
/// accepts polls**. If a watch was open and timed out, the limit is **2 s after the end of that
/// watch's wait**, if that is later. Both limits assume that discovery responds to a poll within
/// 1.7 s of accepting it. `docs/network.md` derives the bound for each path; tests cover all paths.
pub struct PollingSchedule {
    list: ListState,
    polls: PollsInFlight,
    backoff: Backoff,
    watch: WatchState,
    /// The connection of the last response, until the next poll is sent on it.
    idle: Option<ConnectionId>,
    to_close: Vec<ConnectionToClose>,
    /// When the next poll is sent if none is current, in microseconds.
    next_poll_at: Option<Micros>,
    /// Whether a poll failed or was overdue and no response was received since.
    is_unreachable: bool,
    /// Number of changes of discovery's address.
    generation: u32,
    /// Whether a response was received since the last change of discovery's address.
    has_responded: bool,
    /// Id of the connection that was created last.
    last_connection: u64,
    random: WyRand,
}

impl PollingSchedule {
    /// Creates a schedule that sends no poll until [`Self::start`] or [`Self::resume`] is called.
    /// `seed` randomizes its waits.
    pub fn new(seed: u64) -> Self {
        Self {
            list: ListState::new(),
            polls: PollsInFlight::default(),
            backoff: Backoff::default(),
            watch: WatchState::default(),
            idle: None,
            to_close: Vec::new(),
            next_poll_at: None,
            is_unreachable: false,
            generation: 0,
            has_responded: false,
            last_connection: 0,
            random: WyRand::new_seed(!seed),
        }
    }

    /// Schedules the first poll of a process: soon, as the cached list may be out of date, and
    /// after a random delay in a large fleet.
    pub fn start(&mut self, now: Micros, settings: PollingSettings) {
        let delay = settings.max_first_poll_delay();
        self.next_poll_at = Some(now + self.random.generate_range(0..=delay));
    }

    /// Records that the process started with a cached list of this version. Only later changes are
    /// polled, which spares discovery sending complete lists while a fleet starts.
    pub fn set_cached_version(&mut self, version: u64) {
        self.list.set_cached_version(version);
    }

    /// Schedules a poll for now, unless a poll is current or scheduled.
    pub fn resume(&mut self, now: Micros) {
        if self.polls.current.is_none() && self.next_poll_at.is_none() {
            self.next_poll_at = Some(now);
        }
    }

    /// Delays the next poll to `until` plus a random part of `spread` (µs), as a peer sends lists.
    pub fn pause_until(&mut self, until: Micros, spread: Micros) {
        self.next_poll_at = Some(until + self.random.generate_range(0..=spread));
    }

    /// Records a list that another balancer forwarded.
    pub fn updated_by_peer(&mut self, summary: ListSummary) {
        self.list.receive(summary);
    }

    /// Handles a new address of discovery, which may count versions differently: polls the complete
    /// list now. Responses from the previous address are accepted until the first from the new one.
    pub fn discovery_changed(&mut self, now: Micros) {
        self.supersede_current();
        self.close_idle_connection();
        self.generation += 1;
        self.has_responded = false;
        self.list = ListState::new();
        self.watch.answered_at = None;
        self.next_poll_at = Some(now);
    }

    /// Whether a watch is open. Discovery responds to it as soon as the list changes.
    pub fn is_watching(&self) -> bool {
        self.polls.is_watching()
    }

    /// Whether a poll failed or was overdue since the last response of discovery.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Whether a poll has to be sent now.
    pub fn is_poll_due(&self, now: Micros) -> bool {
        self.polls.current.is_none() && self.next_poll_at.is_some_and(|at| now >= at)
    }

    /// Whether the poll on a connection requested changes only.
    pub fn requested_changes(&self, connection: ConnectionId) -> bool {
        self.polls
            .find(connection)
            .is_none_or(|poll| poll.query != ListQuery::CompleteList)
    }

    /// Whether a poll is in flight on a connection.
    pub fn has_poll_on(&self, connection: ConnectionId) -> bool {
        self.polls.find(connection).is_some()
    }

    /// Returns how long the poll on a connection has been in flight.
    pub fn poll_age(&self, connection: ConnectionId, now: Micros) -> Option<PollAge> {
        let poll = self.polls.find(connection)?;
        Some(PollAge {
            waited: now.saturating_sub(poll.sent_at),
            is_superseded: !self.polls.is_current(connection),
        })
    }

    /// Returns when [`Self::next_action`] has to be called next, in microseconds.
    pub fn next_action_at(&self) -> Option<Micros> {
        if !self.to_close.is_empty() {
            return Some(0);
        }
        let current = match &self.polls.current {
            Some(poll) => Some(self.polls.supersede_at(poll)),
            None => self.next_poll_at,
        };
        let expiries = self.polls.superseded.iter().map(Poll::expires_at);
        let verify = self.list.verify_at.filter(|_| self.may_verify());
        expiries.chain(current).chain(verify).min()
    }

    /// Returns the next due action: close a connection, send a poll, or verify the cached list. An
    /// overdue poll is superseded first. The caller repeats the call until it returns `None`.
    pub fn next_action(&mut self, now: Micros, settings: PollingSettings) -> Option<PollAction> {
        if let Some(expired) = self.polls.take_expired(now) {
            self.close_poll(&expired);
        }
        if self.polls.is_current_overdue(now) {
            self.is_unreachable |= !self.is_watching();
            self.supersede_current();
            // Changes count as delivered from now on, so the next poll is sent without backoff.
            self.next_poll_at = Some(now);
        }
        if let Some(closed) = self.to_close.pop() {
            return Some(PollAction::Close {
                connection: closed.connection,
                may_hold_response: closed.may_hold_response,
            });
        }
        if self.is_poll_due(now) {
            return Some(self.send_poll(now, settings));
        }
        if self.may_verify() && self.list.verify_at.is_some_and(|at| now >= at) {
            return Some(self.send_verification(now));
        }
        None
    }

    fn supersede_current(&mut self) {
        if let Some(oldest) = self.polls.supersede_current() {
            self.close_poll(&oldest);
        }
    }

    fn close_poll(&mut self, poll: &Poll) {
        let is_relevant = poll.generation == self.generation || !self.has_responded;
        self.to_close.push(ConnectionToClose {
            connection: poll.connection,
            may_hold_response: poll.stage == PollStage::Sent && is_relevant,
        });
    }

    fn close_unread(&mut self, connection: ConnectionId) {
        self.to_close.push(ConnectionToClose {
            connection,
            may_hold_response: false,
        });
    }

    fn close_idle_connection(&mut self) {
        if let Some(connection) = self.idle.take() {
            self.close_unread(connection);
        }
    }

    fn close_connecting(&mut self) {
        for poll in self.polls.take_connecting() {
            self.close_unread(poll.connection);
        }
    }

    fn send_poll(&mut self, now: Micros, settings: PollingSettings) -> PollAction {
        let continues = self.idle.is_some() || self.watch.continues(now);
        let query = self.next_query(continues, settings);
        let is_watch = continues && query != ListQuery::CompleteList;
        self.watch.has_watched |= is_watch;
        self.watch.answered_at = None;
        self.next_poll_at = None;
        let reused = self.idle.take();
        let connection = reused.unwrap_or_else(|| self.new_connection());
        let stage = match reused {
            Some(_) => PollStage::Sent,
            None => PollStage::Connecting,
        };
        self.polls.current = Some(Poll {
            connection,
            query,
            stage,
            sent_at: now,
            is_watch,
            generation: self.generation,
        });
        match reused {
            Some(_) => PollAction::Reuse(connection, query),
            None => PollAction::Open(connection, query),
        }
    }

    fn next_query(&mut self, continues: bool, settings: PollingSettings) -> ListQuery {
        let Some(since) = self.list.version else {
            return ListQuery::CompleteList;
        };
        let had_entries = self.list.last_had_entries;
        let wait = if continues {
            self.watch
                .next_wait(had_entries, settings, &mut self.random)
        } else {
            QUEUED_POLL_WAIT_US
        };
        ListQuery::Changes { since, wait }
    }

    fn new_connection(&mut self) -> ConnectionId {
        self.last_connection += 1;
        ConnectionId(self.last_connection)
    }

    /// Whether the cached list may be verified now: in parallel with a watch, never instead of it.
    fn may_verify(&self) -> bool {
        self.list.is_unverified && self.is_watching() && self.polls.superseded.is_empty()
    }

    fn send_verification(&mut self, now: Micros) -> PollAction {
        self.list.verify_at = None;
        let connection = self.new_connection();
        let query = ListQuery::CompleteList;
        self.polls.superseded.push(Poll {
            connection,
            query,
            stage: PollStage::Connecting,
            sent_at: now,
            is_watch: false,
            generation: self.generation,
        });
        PollAction::Open(connection, query)
    }

    /// Handles a connection that was established, so that its poll is sent. Other connections that
    /// are being established are closed, as their polls would take further positions in the queue.
    pub fn connected(&mut self, connection: ConnectionId) {
        let Some(poll) = self.polls.mark_sent(connection) else {
            return;
        };
        let is_verification = poll.query == ListQuery::CompleteList && self.is_watching();
        if !is_verification {
            self.close_connecting();
            self.polls.resume(connection);
        }
    }

    /// Whether a list that was received on a connection may be applied to the known list.
    pub fn accepts(
        &self,
        connection: ConnectionId,
        version: Option<u64>,
        is_complete: bool,
    ) -> bool {
        let Some(poll) = self.polls.find(connection) else {
            return false;
        };
        if poll.generation != self.generation {
            return !self.has_responded;
        }
        match (version, self.list.version) {
            _ if self.polls.is_current(connection) => true,
            (Some(version), Some(_)) => self.is_newer(version, is_complete),
            // Changes whose version is not received yet apply only to the version in the query.
            (None, known) => {
                matches!(poll.query, ListQuery::Changes { since, .. } if known == Some(since))
            }
            (_, None) => true,
        }
    }

    /// Whether a version is newer than the known one.
    pub fn is_newer(&self, version: u64, is_complete: bool) -> bool {
        self.list.is_newer(version, is_complete)
    }

    /// Records a list that was read from a connection before it is closed.
    pub fn received_on_close(&mut self, summary: ListSummary) {
        self.list.receive(summary);
    }

    /// Handles the response to the poll on a connection, whose list was applied if it was accepted.
    /// `keep_alive` means that the connection can carry another poll.
    pub fn response_received(
        &mut self,
        connection: ConnectionId,
        now: Micros,
        summary: ListSummary,
        keep_alive: bool,
        settings: PollingSettings,
    ) {
        let accepted = self.accepts(connection, Some(summary.version), summary.is_complete);
        let Some(taken) = self.polls.take(connection) else {
            return;
        };
        if taken.poll.generation != self.generation {
            return self.close_unread(connection);
        }
        self.backoff.reset(now);
        self.is_unreachable = false;
        self.has_responded = true;
        for outdated in self.polls.take_outdated(self.generation) {
            self.close_unread(outdated.connection);
        }
        if accepted {
            self.list
                .update(now, summary, taken.was_current, settings, &mut self.random);
        }
        if !taken.was_current && self.is_watching() {
            return self.close_unread(connection);
        }
        self.schedule_next_poll(connection, &taken.poll, now, keep_alive);
    }

    /// Schedules the next poll on the connection of the last response. A poll that is queued at
    /// discovery meanwhile is superseded.
    fn schedule_next_poll(
        &mut self,
        connection: ConnectionId,
        poll: &Poll,
        now: Micros,
        keep_alive: bool,
    ) {
        self.close_connecting();
        self.supersede_current();
        self.close_idle_connection();
        let requested_changes = poll.query != ListQuery::CompleteList;
        self.watch.answered_at = requested_changes.then_some(now);
        if keep_alive {
            self.idle = Some(connection);
        } else {
            self.close_unread(connection);
        }
        self.next_poll_at = Some(now.max(poll.sent_at + MIN_POLL_INTERVAL_US));
    }

    /// Handles a poll that failed to return a list and whose connection is closed. Returns whether
    /// it was the current poll, which is repeated after a backoff.
    pub fn poll_failed(
        &mut self,
        connection: ConnectionId,
        now: Micros,
        failure: PollFailure,
        settings: PollingSettings,
    ) -> bool {
        if self.idle == Some(connection) {
            self.idle = None;
            return false;
        }
        let taken = self.polls.take(connection);
        let Some(taken) = taken.filter(|taken| taken.was_current) else {
            return false;
        };
        let is_watch_lost = failure == PollFailure::ConnectionLost && taken.poll.is_watch;
        if failure == PollFailure::Truncated || is_watch_lost {
            self.backoff.response_lost(now);
        }
        let is_queued = self.polls.has_queued_superseded();
        let wait = self
            .backoff
            .next_wait(now, failure, is_queued, settings, &mut self.random);
        self.is_unreachable = true;
        self.next_poll_at = Some(now + wait);
        true
    }
}
