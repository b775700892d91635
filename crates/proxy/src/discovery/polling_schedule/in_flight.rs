//! The polls in flight: the current one, and superseded ones whose responses are still accepted.

use pinefront_policy::Micros;

use super::poll::{ConnectionId, Poll, PollStage};

/// Superseded polls that are kept at most, each on a connection of its own.
pub(super) const MAX_SUPERSEDED_POLLS: usize = 2;

/// The polls in flight. A connection carries at most one of them.
#[derive(Default)]
pub(super) struct PollsInFlight {
    /// The poll whose response is awaited.
    pub current: Option<Poll>,
    /// Polls that were superseded, the oldest first.
    pub superseded: Vec<Poll>,
}

/// A poll that was taken out, as it was answered or failed.
pub(super) struct TakenPoll {
    /// The poll.
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

    /// Whether the current poll is on that connection.
    pub fn is_current(&self, connection: ConnectionId) -> bool {
        self.current
            .is_some_and(|poll| poll.connection == connection)
    }

    /// Whether a watch is established at discovery.
    pub fn is_watching(&self) -> bool {
        self.current
            .is_some_and(|poll| poll.is_watch && poll.stage == PollStage::Sent)
    }

    /// Whether a superseded poll waits in discovery's queue.
    pub fn has_queued_superseded(&self) -> bool {
        self.superseded.iter().any(Poll::is_queued)
    }

    /// When the current poll is superseded. While another waits in discovery's queue, a further one
    /// would only wait behind it.
    pub fn supersede_at(&self, poll: &Poll) -> Micros {
        let queued = self
            .superseded
            .iter()
            .filter(|superseded| superseded.is_queued() && poll.is_queued());
        queued
            .map(Poll::expires_at)
            .fold(poll.superseded_at(), Micros::max)
    }

    /// Whether the current poll is to be superseded now.
    pub fn is_current_overdue(&self, now: Micros) -> bool {
        self.current
            .is_some_and(|poll| now >= self.supersede_at(&poll))
    }

    /// Moves the current poll, if any, among the superseded ones. Returns the oldest of these where
    /// there are too many.
    pub fn supersede_current(&mut self) -> Option<Poll> {
        let poll = self.current.take()?;
        let is_full = self.superseded.len() >= MAX_SUPERSEDED_POLLS;
        let oldest = is_full.then(|| self.superseded.remove(0));
        self.superseded.push(poll);
        oldest
    }

    /// Takes out a superseded poll that is accepted no longer.
    pub fn take_expired(&mut self, now: Micros) -> Option<Poll> {
        let expired = |poll: &Poll| now >= poll.expires_at();
        let index = self.superseded.iter().position(expired)?;
        Some(self.superseded.remove(index))
    }

    /// Takes out the poll on a connection.
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

    /// Takes out all polls whose connections are not established yet.
    pub fn take_connecting(&mut self) -> Vec<Poll> {
        let current = self.current.take_if(|poll| poll.is_connecting());
        let superseded = self.superseded.extract_if(.., |poll| poll.is_connecting());
        current.into_iter().chain(superseded).collect()
    }

    /// Takes out superseded polls that were sent to an earlier discovery.
    pub fn take_former(&mut self, generation: u32) -> Vec<Poll> {
        self.superseded
            .extract_if(.., |poll| poll.generation != generation)
            .collect()
    }

    /// Marks the poll on a connection that was just established as sent. Returns it, or none where
    /// no poll waited for that connection.
    pub fn mark_sent(&mut self, connection: ConnectionId) -> Option<Poll> {
        let mut polls = self.current.iter_mut().chain(&mut self.superseded);
        let poll = polls.find(|poll| poll.connection == connection && poll.is_connecting())?;
        poll.stage = PollStage::Sent;
        Some(*poll)
    }

    /// Makes a superseded poll the current one again where no other is.
    pub fn resume(&mut self, connection: ConnectionId) {
        let on_connection = |poll: &Poll| poll.connection == connection;
        if self.current.is_none()
            && let Some(index) = self.superseded.iter().position(on_connection)
        {
            self.current = Some(self.superseded.remove(index));
        }
    }
}
