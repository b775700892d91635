//! Words between balancers, taken down and passed on: who sent what where, and how it ended.

use crate::arithmetic::mixed;
use crate::known::{Balancer, Endpoint};
use crate::measures::HEARSAY;
use crate::words::{Fate, Word};
use crate::{Host, Micros};

/// Attempts that a book holds at most.
const BOOK_MOST: usize = 1024;

impl<H: Host> Balancer<H> {
    /// What another balancer tells. All of it is hearsay that fades; what can't be read is passed over.
    pub fn gossip_received(&mut self, now: Micros, from: usize, words: &str) {
        let Some(word) = Word::read(words) else {
            return;
        };
        let named = |short| {
            self.endpoints
                .iter()
                .position(|up| up.short() == short && !up.id.is_empty())
        };
        match (word, word.endpoint().and_then(named)) {
            (Word::Dropped(rested), _) => self.believe_dropped(now, rested),
            (Word::Sent(_), Some(u)) => self.endpoints[u].note(from, now),
            (Word::Ended(_, _, fate), Some(u)) => self.endpoints[u].strike(from, now, fate),
            (Word::Asks(short), Some(u)) => {
                let (held, lost) = (
                    self.endpoints[u].read_book(now) as u64,
                    self.endpoints[u].lost,
                );
                self.host
                    .send_gossip(Some(from), &Word::Holds(short, held, lost).text());
            }
            (Word::Holds(_, held, lost), Some(u)) if from == self.keeper(u) => {
                let endpoint = &mut self.endpoints[u];
                (endpoint.held, endpoint.reported, endpoint.lost) = (Some(held as f64), now, lost);
                self.heard(now, u, true);
            }
            _ => {}
        }
    }

    /// Tells who keeps an endpoint's book what was sent there or how it ended.
    pub(crate) fn tell_keeper(&mut self, now: Micros, u: usize, ended: Option<(usize, Fate)>) {
        let (keeper, own, short) = (
            self.keeper(u),
            self.settings.own_index,
            self.endpoints[u].short(),
        );
        let word = ended.map_or(Word::Sent(short), |(class, fate)| {
            Word::Ended(short, class, fate)
        });
        match ended {
            _ if !self.settings.gossip_allowed
                || (ended.is_none() && !self.settings.load_unreported) => {}
            _ if keeper != own => self.host.send_gossip(Some(keeper), &word.text()),
            None => self.endpoints[u].note(own, now),
            Some((_, fate)) => self.endpoints[u].strike(own, now, fate),
        }
    }

    /// Which balancer keeps the book of an endpoint: all know without a word.
    pub(crate) fn keeper(&self, u: usize) -> usize {
        (mixed(self.endpoints[u].hash, 0) % self.settings.balancers as u64) as usize
    }
}

impl Endpoint {
    /// Its name in messages between balancers.
    pub(crate) fn short(&self) -> u64 {
        self.hash >> 40
    }

    /// Another balancer's attempt, where this one keeps the book.
    pub(crate) fn note(&mut self, from: usize, now: Micros) {
        if self.book.len() < BOOK_MOST {
            self.book.push((from, now));
        }
    }

    /// Another balancer's attempt ended.
    pub(crate) fn strike(&mut self, from: usize, now: Micros, fate: Fate) {
        if let Some(at) = self.book.iter().position(|entry| entry.0 == from) {
            self.book.remove(at);
        }
        match fate {
            Fate::Passed => self.fame.1.add(now, HEARSAY, 1.0),
            Fate::Failed => self.fame.0.add(now, HEARSAY, 1.0),
            Fate::Neither => {}
        }
    }

    /// Hundredth parts of what the book tells of that failed. One failure among few is no sign.
    pub(crate) fn booked_lost(&self, now: Micros) -> u64 {
        let (failed, succeeded) = (
            self.fame.0.read(now, HEARSAY),
            self.fame.1.read(now, HEARSAY),
        );
        (100.0 * failed / (failed + succeeded + 1.0)) as u64
    }

    /// What it holds by the book. A word that was lost must not count for ever.
    pub(crate) fn read_book(&mut self, now: Micros) -> usize {
        self.book.retain(|entry| entry.1 + HEARSAY as Micros > now);
        (self.held, self.reported, self.lost) =
            (Some(self.book.len() as f64), now, self.booked_lost(now));
        self.book.len()
    }
}
