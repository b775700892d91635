//! The load ledger of an endpoint: a record of the attempts in flight and the outcomes that the
//! balancers, the owner of the ledger included, reported for the endpoint.
//!
//! Invariant: gossip may be lost, so an entry expires after `GOSSIP_HORIZON_US`, and outcomes decay
//! with that horizon.

use crate::Micros;
use crate::gossip_message::PeerOutcome;
use crate::state::decaying::{DecayingSum, MICROS_PER_SECOND};

/// Time in microseconds for which reports of balancers count; longer than requests take.
const GOSSIP_HORIZON_US: f64 = 4.0 * MICROS_PER_SECOND;
/// Maximum number of attempts in one ledger.
const MAX_LEDGER_ENTRIES: usize = 1024;

/// An attempt that a balancer reported as started and has not reported as ended.
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

    /// Returns the percentage of the reported attempts that failed. The added 1 limits the effect
    /// of one failure among few attempts.
    pub(crate) fn failure_percent(&self, now: Micros) -> u64 {
        let failed = self.failed.read(now, GOSSIP_HORIZON_US);
        let succeeded = self.succeeded.read(now, GOSSIP_HORIZON_US);
        (100.0 * failed / (failed + succeeded + 1.0)) as u64
    }

    /// Returns the number of attempts in flight, without those whose end report may have been lost.
    pub(crate) fn in_flight(&mut self, now: Micros) -> usize {
        self.entries
            .retain(|entry| entry.started_at + GOSSIP_HORIZON_US as Micros > now);
        self.entries.len()
    }
}
