//! All that falls due, in one ordered structure.

use std::collections::BTreeMap;

use pinefront_policy::{AttemptOutcome, Micros};

use crate::memory::slots::{ClientSlot, LinkSlot, TicketSlot, UpstreamSlot};

#[cfg(test)]
mod tests;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// An alarm that the module asked for.
    Alarm(u64),
    /// A client's connection: what for follows from its state.
    Client(ClientSlot),
    /// A client's next request may already lie in its inbox.
    NextMessage(ClientSlot),
    /// A connection to an upstream, likewise.
    Link(LinkSlot),
    /// A connection to an upstream may have failed as it was written to.
    LinkTurn(LinkSlot),
    /// A dispatch that never got a connection.
    Unsent(TicketSlot, usize, AttemptOutcome),
    /// A probe that never got a connection.
    Unprobed(UpstreamSlot),
    /// Time to ask discovery, or to stop waiting for it.
    Discovery,
    /// Accepting was paused for want of descriptors.
    Accept,
    /// The next step of an orderly stop.
    Stop,
    /// A configuration that could not be read is tried again.
    Reread,
}

/// A deadline's place: its time, and a number that keeps those of one moment in their order.
pub type Place = (Micros, u64);

#[derive(Default)]
pub struct Deadlines {
    ordered: BTreeMap<Place, Due>,
    last: u64,
}

impl Deadlines {
    pub fn hang(&mut self, at: Micros, due: Due) -> Place {
        self.last += 1;
        self.ordered.insert((at, self.last), due);
        (at, self.last)
    }

    pub fn take_down(&mut self, place: Place) {
        self.ordered.remove(&place);
    }

    /// Puts a deadline in the place of an earlier one.
    pub fn move_to(&mut self, place: &mut Option<Place>, at: Micros, due: Due) {
        self.clear(place);
        *place = Some(self.hang(at, due));
    }

    pub fn clear(&mut self, place: &mut Option<Place>) {
        if let Some(place) = place.take() {
            self.take_down(place);
        }
    }

    pub fn next(&self) -> Option<Micros> {
        self.ordered.first_key_value().map(|(place, _)| place.0)
    }

    /// The number of the last one hung: with [`Self::due`] it keeps what a turn hangs for a later turn.
    pub fn mark(&self) -> u64 {
        self.last
    }

    pub fn due(&mut self, now: Micros, mark: u64) -> Option<Due> {
        let first = self.ordered.first_entry()?;
        (first.key().0 <= now && first.key().1 <= mark).then(|| first.remove())
    }
}
