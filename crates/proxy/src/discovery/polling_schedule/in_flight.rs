//! The polls in flight: the current one, and superseded ones whose responses are still accepted.

use pinefront_policy::Micros;

use super::poll::{ConnectionId, Poll, PollStage};

/// Maximum number of superseded polls in flight, each on a separate connection.
pub(super) const MAX_SUPERSEDED_POLLS: usize = 2;

/// The polls in flight. A connection carries at most one of them.
#[derive(Default)]
pub(super) struct PollsInFlight {
    /// The poll whose response is awaited.
    pub current: Option<Poll>,
    /// Superseded polls whose responses are still accepted, the oldest first.
    pub superseded: Vec<Poll>,
}

/// A poll that was removed because it got a response or failed.
pub(super) struct TakenPoll {
    /// The removed poll.
    pub poll: Poll,
    /// Whether it was the current one.
    pub was_current: bool,
}

impl PollsInFlight {
    /// All polls, the current one first.
    pub fn iter(&self) -> impl Iterator<Item = &Poll> {
        self.current.iter().chain(&self.superseded)
    }

    /// Returns the poll on a connection.
    pub fn find(&self, connection: ConnectionId) -> Option<&Poll> {
        self.iter().find(|poll| poll.connection == connection)
    }

    /// Whether the current poll is on this connection.
    pub fn is_current(&self, connection: ConnectionId) -> bool {
        self.current
            .is_some_and(|poll| poll.connection == connection)
    }

    /// Whether the current poll is a watch that was sent.
    pub fn is_watching(&self) -> bool {
        self.current
            .is_some_and(|poll| poll.is_watch && poll.stage == PollStage::Sent)
    }

    /// Whether a superseded poll may be queued at discovery.
    pub fn has_queued_superseded(&self) -> bool {
        self.superseded.iter().any(Poll::is_queued)
    }

    /// Returns when the current poll is superseded, in microseconds. While a superseded poll is
    /// queued at discovery, a further poll would only be queued behind it.
    pub fn supersede_at(&self, poll: &Poll) -> Micros {
        let queued = self
            .superseded
            .iter()
            .filter(|superseded| superseded.is_queued() && poll.is_queued());
        queued
            .map(Poll::expires_at)
            .fold(poll.superseded_at(), Micros::max)
    }

    /// Whether the current poll has to be superseded now.
    pub fn is_current_overdue(&self, now: Micros) -> bool {
        self.current
            .is_some_and(|poll| now >= self.supersede_at(&poll))
    }

    /// Moves the current poll, if any, to the superseded polls. Returns the oldest superseded poll
    /// if there are too many of them.
    pub fn supersede_current(&mut self) -> Option<Poll> {
        let poll = self.current.take()?;
        let is_full = self.superseded.len() >= MAX_SUPERSEDED_POLLS;
        let oldest = is_full.then(|| self.superseded.remove(0));
        self.superseded.push(poll);
        oldest
    }

    /// Removes and returns a superseded poll whose response is no longer accepted.
    pub fn take_expired(&mut self, now: Micros) -> Option<Poll> {
        let expired = |poll: &Poll| now >= poll.expires_at();
        let index = self.superseded.iter().position(expired)?;
        Some(self.superseded.remove(index))
    }

    /// Removes and returns the poll on a connection.
    pub fn take(&mut self, connection: ConnectionId) -> Option<TakenPoll> {
        let on_connection = |poll: &Poll| poll.connection == connection;
        if let Some(poll) = self.current.take_if(|poll| on_connection(poll)) {
            return Some(TakenPoll {
                poll,
                was_current: true,
            });
        }
        let index = self.superseded.iter().position(on_connection)?;
        Some(TakenPoll {
            poll: self.superseded.remove(index),
            was_current: false,
        })
    }

    /// Removes and returns all polls whose connections are not established yet.
    pub fn take_connecting(&mut self) -> Vec<Poll> {
        let current = self.current.take_if(|poll| poll.is_connecting());
        let superseded = self.superseded.extract_if(.., |poll| poll.is_connecting());
        current.into_iter().chain(superseded).collect()
    }

    /// Removes and returns the superseded polls that were sent before the last change of
    /// discovery's address.
    pub fn take_outdated(&mut self, generation: u32) -> Vec<Poll> {
        self.superseded
            .extract_if(.., |poll| poll.generation != generation)
            .collect()
    }

    /// Marks the poll on a newly established connection as sent. Returns that poll, or `None` if no
    /// poll was waiting for the connection.
    pub fn mark_sent(&mut self, connection: ConnectionId) -> Option<Poll> {
        let mut polls = self.current.iter_mut().chain(&mut self.superseded);
        let poll = polls.find(|poll| poll.connection == connection && poll.is_connecting())?;
        poll.stage = PollStage::Sent;
        Some(*poll)
    }

    /// Makes the superseded poll on a connection the current one again, unless there is another.
    pub fn resume(&mut self, connection: ConnectionId) {
        let on_connection = |poll: &Poll| poll.connection == connection;
        if self.current.is_none()
            && let Some(index) = self.superseded.iter().position(on_connection)
        {
            self.current = Some(self.superseded.remove(index));
        }
    }
}
