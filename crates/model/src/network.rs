//! Network links between balancers: whether, when and how a datagram arrives. The caller passes the
//! time, so that relays on sockets and simulations on a virtual clock use the same rules.

use crate::Micros;
use crate::random::RandomSource;
use crate::scenario::FaultKind;

/// How much later the second copy of a duplicated datagram arrives at most.
const MAX_DUPLICATE_DELAY_US: Micros = 500_000;

/// A fault of some links, from `from` until before `to`.
#[derive(Clone, Debug)]
pub struct LinkFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it starts.
    pub from: Micros,
    /// When it ends.
    pub to: Micros,
    /// The balancers at one end of the links.
    pub balancers: Vec<usize>,
    /// Those at the other end; all others where none are named.
    pub against: Option<Vec<usize>>,
    /// Whether only what `balancers` sends is affected.
    pub one_way: bool,
    /// Fraction of the datagrams that it affects.
    pub factor: f64,
    /// Maximum additional delay.
    pub by: Micros,
}

impl LinkFault {
    /// Whether it affects datagrams from one balancer to another.
    pub fn affects_link(&self, from: usize, to: usize) -> bool {
        let is_other_end = |balancer: usize| match &self.against {
            Some(against) => against.contains(&balancer),
            None => !self.balancers.contains(&balancer),
        };
        let is_forward = self.balancers.contains(&from) && is_other_end(to);
        let is_backward = self.balancers.contains(&to) && is_other_end(from);
        is_forward || (!self.one_way && is_backward)
    }

    fn is_active(&self, from: usize, to: usize, now: Micros) -> bool {
        self.from <= now && now < self.to && self.affects_link(from, to)
    }
}

/// What happens to one datagram.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transmission {
    /// The delay of each copy that arrives; empty where the datagram is lost.
    pub copies: Vec<Micros>,
    /// Position of a flipped bit, as a fraction of the datagram's length.
    pub corrupted_at: Option<f64>,
}

impl Transmission {
    /// Flips the corrupted bit in the datagram's bytes, if there is one.
    pub fn corrupt(&self, bytes: &mut [u8]) {
        if let Some(fraction) = self.corrupted_at {
            let bit = (fraction * bytes.len() as f64 * 8.0) as usize;
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
    }
}

/// The links between all balancers.
#[derive(Clone, Debug, Default)]
pub struct NetworkLinks {
    /// Faults, in the order in which they apply.
    pub faults: Vec<LinkFault>,
    /// Minimum and maximum delay of a link without a fault.
    pub base_delay: [Micros; 2],
}

impl NetworkLinks {
    /// Draws what happens to a datagram that is sent now.
    pub fn transmit(
        &self,
        from: usize,
        to: usize,
        now: Micros,
        random: &mut RandomSource,
    ) -> Transmission {
        let jitter = random.duration_below(self.base_delay[1] - self.base_delay[0]);
        let mut transmission = Transmission {
            copies: vec![self.base_delay[0] + jitter],
            corrupted_at: None,
        };
        let active = self.faults.iter();
        for fault in active.filter(|fault| fault.is_active(from, to, now)) {
            transmission.apply(fault, random);
        }
        transmission
    }

    /// Whether no fault affects that link at any time in `between`.
    pub fn has_no_fault(&self, from: usize, to: usize, between: [Micros; 2]) -> bool {
        let is_outside = |fault: &LinkFault| fault.to <= between[0] || fault.from >= between[1];
        self.faults
            .iter()
            .all(|fault| is_outside(fault) || !fault.affects_link(from, to))
    }

    /// When the last fault ends; 0 where there is none.
    pub fn last_fault_end(&self) -> Micros {
        self.faults.iter().map(|fault| fault.to).max().unwrap_or(0)
    }
}

impl Transmission {
    fn apply(&mut self, fault: &LinkFault, random: &mut RandomSource) {
        match fault.kind {
            FaultKind::LinkCut => self.copies.clear(),
            FaultKind::LinkLossy => self.copies.retain(|_| !random.happens(fault.factor)),
            FaultKind::LinkSlow => {
                // At least half of the delay, at random, so that datagrams are reordered.
                for delay in &mut self.copies {
                    *delay += fault.by / 2 + random.duration_below(fault.by / 2);
                }
            }
            FaultKind::LinkRepeats => {
                if let Some(delay) = self.copies.first().copied()
                    && random.happens(fault.factor)
                {
                    self.copies
                        .push(delay + random.duration_below(MAX_DUPLICATE_DELAY_US));
                }
            }
            FaultKind::LinkCorrupts => {
                let is_corrupted = random.happens(fault.factor);
                if is_corrupted {
                    self.corrupted_at = Some(random.unit());
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
