//! Rejection of replayed datagrams by their sequence numbers.

use std::collections::BTreeMap;

use super::{Datagram, DropReason};
use crate::Incarnation;

/// The largest accepted distance by which datagrams of one process overtake one another, in
/// sequence numbers. Datagrams that arrive later are rejected.
pub(super) const REPLAY_WINDOW_LENGTH: u64 = 128;
/// The largest number of senders whose sequence numbers are kept. It exceeds the largest number of
/// members.
pub(super) const MAX_REPLAY_WINDOWS: usize = 4_096;

/// The sequence numbers received from one process.
struct ReplayWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit n is set if `highest - n` was received.
    received: u128,
    last_used: u64,
}

impl ReplayWindow {
    fn new(datagram: &Datagram, last_used: u64) -> Self {
        Self {
            incarnation: datagram.incarnation,
            highest: datagram.sequence_number,
            received: 1,
            last_used,
        }
    }

    fn accept(&mut self, sequence_number: u64) -> Result<(), DropReason> {
        if sequence_number > self.highest {
            let ahead = sequence_number - self.highest;
            let shifted = if ahead < REPLAY_WINDOW_LENGTH {
                self.received << ahead
            } else {
                0
            };
            self.received = shifted | 1;
            self.highest = sequence_number;
            return Ok(());
        }
        let behind = self.highest - sequence_number;
        if behind >= REPLAY_WINDOW_LENGTH || self.received >> behind & 1 == 1 {
            return Err(DropReason::Replayed);
        }
        self.received |= 1 << behind;
        Ok(())
    }
}

/// The sequence numbers received from each sender. A new process of a sender starts a new window.
#[derive(Default)]
pub struct ReplayFilter {
    windows: BTreeMap<String, ReplayWindow>,
    uses: u64,
    #[cfg(feature = "planted")]
    pub(crate) accepts_replays: bool,
}

impl ReplayFilter {
    /// Accepts each sequence number of a sender's process once.
    ///
    /// # Errors
    ///
    /// Returns [`DropReason::Replayed`] if the sequence number was received before or is too old.
    pub fn accept(&mut self, datagram: &Datagram) -> Result<(), DropReason> {
        #[cfg(feature = "planted")]
        if self.accepts_replays {
            return Ok(());
        }
        self.uses += 1;
        let Some(window) = self.windows.get_mut(&datagram.sender) else {
            self.evict_if_full();
            let window = ReplayWindow::new(datagram, self.uses);
            self.windows.insert(datagram.sender.clone(), window);
            return Ok(());
        };
        window.last_used = self.uses;
        if window.incarnation != datagram.incarnation {
            *window = ReplayWindow::new(datagram, self.uses);
            return Ok(());
        }
        window.accept(datagram.sequence_number)
    }

    /// The number of senders whose sequence numbers are kept.
    #[cfg(test)]
    pub(super) fn window_count(&self) -> usize {
        self.windows.len()
    }

    /// Removes the least recently used window if there are [`MAX_REPLAY_WINDOWS`].
    fn evict_if_full(&mut self) {
        if self.windows.len() < MAX_REPLAY_WINDOWS {
            return;
        }
        let oldest = self
            .windows
            .iter()
            .min_by_key(|(_, window)| window.last_used);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.windows.remove(&name);
        }
    }
}
