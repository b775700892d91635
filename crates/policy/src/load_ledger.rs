//! Words between balancers, taken down and passed on: who sent what where, and how it ended.

use crate::arithmetic::mixed;
use crate::estimates::GOSSIP_HORIZON_US;
use crate::gossip::{GossipMessage, PeerOutcome};
use crate::known::{Balancer, Endpoint};
use crate::{Host, Micros};

/// Attempts that a book holds at most.
const BOOK_MOST: usize = 1024;

impl<H: Host> Balancer<H> {
    /// What another balancer tells. All of it is hearsay that fades; what can't be read is passed over.
    pub fn gossip_received(&mut self, now: Micros, from: usize, words: &str) {
        let Some(word) = GossipMessage::read(words) else {
            return;
        };
        let named = |gossip_id| {
            self.endpoints
                .iter()
                .position(|up| up.gossip_id() == gossip_id && !up.id.is_empty())
        };
        match (word, word.endpoint().and_then(named)) {
            (GossipMessage::Dropped(idle_for), _) => self.assume_idle_drops(now, idle_for),
            (GossipMessage::Sent(_), Some(u)) => self.endpoints[u].record_peer_attempt(from, now),
            (GossipMessage::Ended(_, _, fate), Some(u)) => {
                self.endpoints[u].record_peer_outcome(from, now, fate)
            }
            (GossipMessage::Asks(gossip_id), Some(u)) => {
                let (held, lost) = (
                    self.endpoints[u].refresh_from_ledger(now) as u64,
                    self.endpoints[u].failure_percent,
                );
                self.host.send_gossip(
                    Some(from),
                    &GossipMessage::Holds(gossip_id, held, lost).text(),
                );
            }
            (GossipMessage::Holds(_, held, lost), Some(u)) if from == self.ledger_owner(u) => {
                let endpoint = &mut self.endpoints[u];
                (
                    endpoint.reported_in_flight,
                    endpoint.reported_at,
                    endpoint.failure_percent,
                ) = (Some(held as f64), now, lost);
                self.heard(now, u, true);
            }
            _ => {}
        }
    }

    /// Tells who keeps an endpoint's book what was sent there or how it ended.
    pub(crate) fn report_to_ledger_owner(
        &mut self,
        now: Micros,
        u: usize,
        ended: Option<(usize, PeerOutcome)>,
    ) {
        let (ledger_owner, own, gossip_id) = (
            self.ledger_owner(u),
            self.settings.own_index,
            self.endpoints[u].gossip_id(),
        );
        let word = ended.map_or(GossipMessage::Sent(gossip_id), |(class, fate)| {
            GossipMessage::Ended(gossip_id, class, fate)
        });
        match ended {
            _ if !self.settings.gossip_allowed
                || (ended.is_none() && !self.settings.load_unreported) => {}
            _ if ledger_owner != own => self.host.send_gossip(Some(ledger_owner), &word.text()),
            None => self.endpoints[u].record_peer_attempt(own, now),
            Some((_, fate)) => self.endpoints[u].record_peer_outcome(own, now, fate),
        }
    }

    /// Which balancer keeps the book of an endpoint: all know without a word.
    pub(crate) fn ledger_owner(&self, u: usize) -> usize {
        (mixed(self.endpoints[u].hash, 0) % self.settings.balancers as u64) as usize
    }
}

impl Endpoint {
    /// Its name in messages between balancers.
    pub(crate) fn gossip_id(&self) -> u64 {
        self.hash >> 40
    }

    /// Another balancer's attempt, where this one keeps the book.
    pub(crate) fn record_peer_attempt(&mut self, from: usize, now: Micros) {
        if self.load_ledger.len() < BOOK_MOST {
            self.load_ledger.push((from, now));
        }
    }

    /// Another balancer's attempt ended.
    pub(crate) fn record_peer_outcome(&mut self, from: usize, now: Micros, fate: PeerOutcome) {
        if let Some(at) = self.load_ledger.iter().position(|entry| entry.0 == from) {
            self.load_ledger.remove(at);
        }
        match fate {
            PeerOutcome::Passed => self.peer_outcomes.1.add(now, GOSSIP_HORIZON_US, 1.0),
            PeerOutcome::Failed => self.peer_outcomes.0.add(now, GOSSIP_HORIZON_US, 1.0),
            PeerOutcome::Neither => {}
        }
    }

    /// Hundredth parts of what the book tells of that failed. One failure among few is no sign.
    pub(crate) fn peer_failure_percent(&self, now: Micros) -> u64 {
        let (failed, succeeded) = (
            self.peer_outcomes.0.read(now, GOSSIP_HORIZON_US),
            self.peer_outcomes.1.read(now, GOSSIP_HORIZON_US),
        );
        (100.0 * failed / (failed + succeeded + 1.0)) as u64
    }

    /// What it holds by the book. A word that was lost must not count for ever.
    pub(crate) fn refresh_from_ledger(&mut self, now: Micros) -> usize {
        self.load_ledger
            .retain(|entry| entry.1 + GOSSIP_HORIZON_US as Micros > now);
        (
            self.reported_in_flight,
            self.reported_at,
            self.failure_percent,
        ) = (
            Some(self.load_ledger.len() as f64),
            now,
            self.peer_failure_percent(now),
        );
        self.load_ledger.len()
    }
}
