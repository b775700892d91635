//! Whom to probe next, what became of it, and what was asked for others.

use std::net::SocketAddr;
use std::rc::Rc;

use nanorand::{Rng, WyRand};

use crate::Micros;
use crate::datagram::Incarnation;

/// The worst that this process thinks of itself (Lifeguard's local health).
const MAX_HEALTH_PENALTY: u32 = 8;
/// Errands for others at once; more are not taken.
const MAX_RELAYED_PROBES: usize = 256;

/// The probe under way.
pub struct Probe {
    pub number: u32,
    pub target: Rc<str>,
    pub incarnation: Incarnation,
    pub answered: bool,
    /// Members asked to probe for us, and how many said that they did.
    pub query: u32,
    pub told: u32,
}

/// A probe for another.
pub struct RelayedProbe {
    pub number: u32,
    pub for_whom: SocketAddr,
    pub their_number: u32,
}

#[derive(Default)]
pub struct FailureDetector {
    pub pending: Option<Probe>,
    pub relayed_probes: Vec<RelayedProbe>,
    /// Names in the order of this round; every member has its turn before one has a second.
    round: Vec<Rc<str>>,
    /// 0 is well: each step makes this process slower to doubt others, as it may be at fault itself.
    pub health: u32,
    pub last_number: u32,
}

impl FailureDetector {
    pub fn number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// The next name of the round; a new round is shuffled when one is over.
    pub fn next(&mut self, rng: &mut WyRand, names: impl Fn() -> Vec<Rc<str>>) -> Option<Rc<str>> {
        if self.round.is_empty() {
            self.round = names();
            rng.shuffle(&mut self.round);
        }
        self.round.pop()
    }

    pub fn degrade(&mut self) {
        self.health = (self.health + 1).min(MAX_HEALTH_PENALTY);
    }

    pub fn improve(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    pub fn scaled(&self, span: Micros) -> Micros {
        span * (2 + u64::from(self.health)) / 2
    }

    /// Takes on a probe for another; nothing where there are too many.
    pub fn relay_probe(&mut self, for_whom: SocketAddr, their_number: u32) -> Option<u32> {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return None;
        }
        let number = self.number();
        self.relayed_probes.push(RelayedProbe {
            number,
            for_whom,
            their_number,
        });
        Some(number)
    }

    pub fn take_relayed_probe(&mut self, number: u32) -> Option<RelayedProbe> {
        let at = self
            .relayed_probes
            .iter()
            .position(|relayed_probe| relayed_probe.number == number)?;
        Some(self.relayed_probes.swap_remove(at))
    }
}
