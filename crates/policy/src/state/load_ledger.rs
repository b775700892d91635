//! Load of an endpoint as reported by the other balancers to the owner of its ledger.
//!
//! Invariant: gossip may be lost, so an entry and an outcome count only for `GOSSIP_HORIZON_US`.

use crate::Micros;
use crate::gossip_message::PeerOutcome;
use crate::state::decaying::{DecayingSum, SECOND_US};

/// How long other balancers' reports count: longer than requests take.
const GOSSIP_HORIZON_US: f64 = 4.0 * SECOND_US;
/// Most attempts in one ledger.
const MAX_LEDGER_ENTRIES: usize = 1024;

/// An attempt that a balancer has reported as started and not as ended.
struct LedgerEntry {
    balancer: usize,
    started_at: Micros,
}

/// The reports on one endpoint.
#[derive(Default)]
pub(crate) struct LoadLedger {
    entries: Vec<LedgerEntry>,
    failed: DecayingSum,
    succeeded: DecayingSum,
}

impl LoadLedger {
    /// Records that a balancer has started an attempt.
    pub(crate) fn attempt_started(&mut self, balancer: usize, now: Micros) {
        if self.entries.len() < MAX_LEDGER_ENTRIES {
            self.entries.push(LedgerEntry {
                balancer,
                started_at: now,
            });
        }
    }

    /// Records that an attempt of a balancer has ended.
    pub(crate) fn attempt_ended(&mut self, balancer: usize, now: Micros, outcome: PeerOutcome) {
        let of_balancer = |entry: &LedgerEntry| entry.balancer == balancer;
        if let Some(oldest) = self.entries.iter().position(of_balancer) {
            self.entries.remove(oldest);
        }
        match outcome {
            PeerOutcome::Succeeded => self.succeeded.add(now, GOSSIP_HORIZON_US, 1.0),
            PeerOutcome::Failed => self.failed.add(now, GOSSIP_HORIZON_US, 1.0),
            PeerOutcome::Neutral => {}
        }
    }

    /// Percentage of the reported attempts that failed. The added 1 keeps one failure among few
    /// from counting.
    pub(crate) fn failure_percent(&self, now: Micros) -> u64 {
        let failed = self.failed.read(now, GOSSIP_HORIZON_US);
        let succeeded = self.succeeded.read(now, GOSSIP_HORIZON_US);
        (100.0 * failed / (failed + succeeded + 1.0)) as u64
    }

    /// Number of attempts in flight, without those whose end may have been lost.
    pub(crate) fn in_flight(&mut self, now: Micros) -> usize {
        self.entries
            .retain(|entry| entry.started_at + GOSSIP_HORIZON_US as Micros > now);
        self.entries.len()
    }
}
