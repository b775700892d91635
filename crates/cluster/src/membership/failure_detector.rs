//! The state of the failure detector: the probe in progress, the members to probe in this round,
//! and the probes relayed for other members.

use std::net::SocketAddr;
use std::rc::Rc;

use nanorand::{Rng, WyRand};

use crate::{Incarnation, Micros};

/// The largest health penalty (Lifeguard's local health multiplier).
const MAX_HEALTH_PENALTY: u32 = 8;
/// The largest number of probes relayed for other members at once.
const MAX_RELAYED_PROBES: usize = 256;

/// The probe in progress.
pub struct Probe {
    /// The number of the probe.
    pub number: u32,
    /// The name of the member that is probed.
    pub target: Rc<str>,
    /// The incarnation of the probed process.
    pub incarnation: Incarnation,
    /// Whether a direct or relayed reply has arrived.
    pub is_answered: bool,
    /// The number of members that were requested to relay the probe.
    pub relays_requested: u32,
    /// The number of members that reported the result of relaying the probe.
    pub relays_reported: u32,
}

/// A probe relayed for another member.
pub struct RelayedProbe {
    /// This process's number for the probe.
    pub number: u32,
    /// The address of the member that requested it.
    pub requester: SocketAddr,
    /// The requester's number for the probe.
    pub requester_number: u32,
}

/// The state of the failure detector.
#[derive(Default)]
pub struct FailureDetector {
    /// The probe of this round.
    pub current_probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    /// The members still to be probed before any member is probed again.
    remaining_targets: Vec<Rc<str>>,
    /// The degree by which timeouts are lengthened, since the fault may be in this process. It
    /// rises by 1 with each refutation, each pause of this process, and each probe that got neither
    /// a reply nor the reports of all requested relays. Each answered probe lowers it by 1, down to
    /// 0.
    health_penalty: u32,
    /// The number of the last probe.
    pub last_number: u32,
}

impl FailureDetector {
    /// Returns the number for a new probe.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Returns the next member to probe. All of `names` are probed in random order before any is
    /// probed again.
    pub fn next_target(
        &mut self,
        rng: &mut WyRand,
        names: impl Fn() -> Vec<Rc<str>>,
    ) -> Option<Rc<str>> {
        if self.remaining_targets.is_empty() {
            self.remaining_targets = names();
            rng.shuffle(&mut self.remaining_targets);
        }
        self.remaining_targets.pop()
    }

    /// Lengthens timeouts by one step, up to `MAX_HEALTH_PENALTY` steps.
    pub fn increase_health_penalty(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }

    /// Shortens lengthened timeouts by one step.
    pub fn decrease_health_penalty(&mut self) {
        self.health_penalty = self.health_penalty.saturating_sub(1);
    }

    /// Lengthens a duration by the health penalty.
    pub fn scaled(&self, duration: Micros) -> Micros {
        duration * (2 + u64::from(self.health_penalty)) / 2
    }

    /// Accepts a probe to relay and returns this process's number for it, or `None` if too many
    /// probes are being relayed.
    pub fn relay_probe(&mut self, requester: SocketAddr, requester_number: u32) -> Option<u32> {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return None;
        }
        let number = self.next_number();
        self.relayed_probes.push(RelayedProbe {
            number,
            requester,
            requester_number,
        });
        Some(number)
    }

    /// Removes and returns the relayed probe for which this process uses the given number.
    pub fn take_relayed_probe(&mut self, number: u32) -> Option<RelayedProbe> {
        let index = self
            .relayed_probes
            .iter()
            .position(|probe| probe.number == number)?;
        Some(self.relayed_probes.swap_remove(index))
    }
}
