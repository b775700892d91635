//! Gossip between balancers. Each endpoint has a load ledger: a record of the attempts in flight
//! and the outcomes that all balancers reported for the endpoint. The ledger is owned by one
//! balancer; the others report their attempts to the owner and request the endpoint's load from it.

use crate::balancer::Balancer;
use crate::gossip_message::{GossipMessage, PeerOutcome};
use crate::hashing::hash_pair;
use crate::{AttemptOutcome, Host, Micros};

impl<H: Host> Balancer<H> {
    /// Handles a gossip message of another balancer. A malformed message is ignored.
    pub fn gossip_received(&mut self, now: Micros, from: usize, message: &str) {
        let Some(message) = GossipMessage::parse(message) else {
            return;
        };
        if let GossipMessage::IdleDrops { idle_for } = message {
            return self.idle_drops.assume(now, idle_for);
        }
        let endpoint = message.endpoint();
        let Some(index) = endpoint.and_then(|id| self.endpoints.index_of_gossip_id(id)) else {
            return;
        };
        let ledger = &mut self.endpoints[index].ledger;
        match message {
            GossipMessage::AttemptStarted { .. } => ledger.attempt_started(from, now),
            GossipMessage::AttemptEnded { outcome, .. } => ledger.attempt_ended(from, now, outcome),
            GossipMessage::LoadRequest { endpoint } => self.report_load(now, from, index, endpoint),
            GossipMessage::LoadReport {
                in_flight,
                failure_percent,
                ..
            } if from == self.ledger_owner(index) => {
                let endpoint = &mut self.endpoints[index];
                endpoint.reported_in_flight = Some(in_flight as f64);
                endpoint.reported_at = now;
                endpoint.failure_percent = failure_percent;
                self.load_received(now, index, true);
            }
            GossipMessage::LoadReport { .. } | GossipMessage::IdleDrops { .. } => {}
        }
    }

    /// Sends the load of an endpoint according to this balancer's ledger.
    fn report_load(&mut self, now: Micros, to: usize, index: usize, endpoint: u64) {
        let in_flight = self.endpoints[index].refresh_from_ledger(now) as u64;
        let message = GossipMessage::LoadReport {
            endpoint,
            in_flight,
            failure_percent: self.endpoints[index].failure_percent,
        };
        self.host.send_gossip(Some(to), &message.to_text());
    }

    /// Reports the start of an attempt to the owner of the endpoint's ledger.
    pub(crate) fn report_attempt_started(&mut self, now: Micros, index: usize) {
        if !self.settings.gossip_allowed || !self.settings.load_unreported {
            return;
        }
        let (owner, own) = (self.ledger_owner(index), self.settings.own_index);
        if owner == own {
            let ledger = &mut self.endpoints[index].ledger;
            return ledger.attempt_started(own, now);
        }
        let endpoint = self.endpoints[index].gossip_id();
        let message = GossipMessage::AttemptStarted { endpoint };
        self.host.send_gossip(Some(owner), &message.to_text());
    }

    /// Reports the end of an attempt to the owner of the endpoint's ledger.
    pub(crate) fn report_attempt_ended(
        &mut self,
        now: Micros,
        index: usize,
        class: usize,
        outcome: AttemptOutcome,
    ) {
        if !self.settings.gossip_allowed {
            return;
        }
        let outcome = PeerOutcome::of(outcome);
        let (owner, own) = (self.ledger_owner(index), self.settings.own_index);
        if owner == own {
            let ledger = &mut self.endpoints[index].ledger;
            return ledger.attempt_ended(own, now, outcome);
        }
        let message = GossipMessage::AttemptEnded {
            endpoint: self.endpoints[index].gossip_id(),
            class,
            outcome,
        };
        self.host.send_gossip(Some(owner), &message.to_text());
    }

    /// Returns the balancer that owns the ledger of an endpoint. All balancers compute the same
    /// owner.
    pub(crate) fn ledger_owner(&self, index: usize) -> usize {
        (hash_pair(self.endpoints[index].hash, 0) % self.settings.balancers as u64) as usize
    }
}
