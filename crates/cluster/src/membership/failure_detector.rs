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
    /// Its number.
    pub number: u32,
    /// The name of the member that is probed.
    pub target: Rc<str>,
    /// The process of that member.
    pub incarnation: Incarnation,
    /// Whether a reply came, direct or relayed.
    pub is_answered: bool,
    /// How many members were asked to relay it.
    pub relays_requested: u32,
    /// How many of them reported a result.
    pub relays_reported: u32,
}

/// A probe relayed for another member.
pub struct RelayedProbe {
    /// The number of the probe here.
    pub number: u32,
    /// The address of the member that requested it.
    pub requester: SocketAddr,
    /// The number of the probe there.
    pub requester_number: u32,
}

/// The state of the failure detector.
#[derive(Default)]
pub struct FailureDetector {
    /// The probe of this round.
    pub current_probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    /// The members still to probe before any is probed again.
    remaining_targets: Vec<Rc<str>>,
    /// Scales timeouts up while replies fail, as the fault may be with this process; 0 while all is
    /// well.
    health_penalty: u32,
    /// The number of the last probe.
    pub last_number: u32,
}

impl FailureDetector {
    /// The number of a new probe.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// The next member to probe. All of `names` are probed in random order before any is probed
    /// again.
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

    /// Increases the health penalty.
    pub fn increase_health_penalty(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }

    /// Decreases the health penalty.
    pub fn decrease_health_penalty(&mut self) {
        self.health_penalty = self.health_penalty.saturating_sub(1);
    }

    /// Scales a span by the health penalty.
    pub fn scaled(&self, span: Micros) -> Micros {
        span * (2 + u64::from(self.health_penalty)) / 2
    }

    /// Accepts a probe to relay and returns its number here; nothing if there are too many.
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

    /// Ends a relayed probe.
    pub fn take_relayed_probe(&mut self, number: u32) -> Option<RelayedProbe> {
        let index = self
            .relayed_probes
            .iter()
            .position(|probe| probe.number == number)?;
        Some(self.relayed_probes.swap_remove(index))
    }
}
