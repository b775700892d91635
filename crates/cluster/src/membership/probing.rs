//! Whom to probe next, what became of it, and what was asked for others.

use std::net::SocketAddr;
use std::rc::Rc;

use nanorand::{Rng, WyRand};

use crate::Micros;
use crate::envelope::Life;

/// The worst that this process thinks of itself (Lifeguard's local health).
const WORST: u32 = 8;
/// Errands for others at once; more are not taken.
const ERRANDS_MOST: usize = 256;

/// The probe under way.
pub struct Probe {
    pub number: u32,
    pub target: Rc<str>,
    pub life: Life,
    pub answered: bool,
    /// Members asked to probe for us, and how many said that they did.
    pub asked: u32,
    pub told: u32,
}

/// A probe for another.
pub struct Errand {
    pub number: u32,
    pub for_whom: SocketAddr,
    pub their_number: u32,
}

#[derive(Default)]
pub struct Probing {
    pub under_way: Option<Probe>,
    pub errands: Vec<Errand>,
    /// Names in the order of this round; every member has its turn before one has a second.
    round: Vec<Rc<str>>,
    /// 0 is well: each step makes this process slower to doubt others, as it may be at fault itself.
    pub health: u32,
    pub last_number: u32,
}

impl Probing {
    pub fn number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// The next name of the round; a new round is shuffled when one is over.
    pub fn next(
        &mut self,
        chance: &mut WyRand,
        names: impl Fn() -> Vec<Rc<str>>,
    ) -> Option<Rc<str>> {
        if self.round.is_empty() {
            self.round = names();
            chance.shuffle(&mut self.round);
        }
        self.round.pop()
    }

    pub fn worse(&mut self) {
        self.health = (self.health + 1).min(WORST);
    }

    pub fn better(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    pub fn slower(&self, span: Micros) -> Micros {
        span * (2 + u64::from(self.health)) / 2
    }

    /// Takes on a probe for another; nothing where there are too many.
    pub fn take_errand(&mut self, for_whom: SocketAddr, their_number: u32) -> Option<u32> {
        if self.errands.len() >= ERRANDS_MOST {
            return None;
        }
        let number = self.number();
        self.errands.push(Errand {
            number,
            for_whom,
            their_number,
        });
        Some(number)
    }

    pub fn end_errand(&mut self, number: u32) -> Option<Errand> {
        let at = self
            .errands
            .iter()
            .position(|errand| errand.number == number)?;
        Some(self.errands.swap_remove(at))
    }
}
