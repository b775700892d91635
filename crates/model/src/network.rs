//! Model of the network links between balancers: loss, delay, duplication and corruption of
//! datagrams. The caller passes the time, so that socket relays and simulations with a virtual
//! clock use the same model.

use crate::Micros;
use crate::random::RandomSource;
use crate::scenario::FaultKind;

/// Maximum additional delay of the second copy of a duplicated datagram, in microseconds.
const MAX_DUPLICATE_DELAY_US: Micros = 500_000;

/// A fault of some links. It is active from `from` (inclusive) to `to` (exclusive).
#[derive(Clone, Debug)]
pub struct LinkFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// Start of the fault.
    pub from: Micros,
    /// End of the fault.
    pub to: Micros,
    /// The balancers at one end of the links.
    pub balancers: Vec<usize>,
    /// The balancers at the other end; all others if it is `None`.
    pub against: Option<Vec<usize>>,
    /// Whether only datagrams sent by `balancers` are affected.
    pub one_way: bool,
    /// Fraction of the datagrams that the fault affects; for [`FaultKind::LinkFlood`], datagrams
    /// per second.
    pub factor: f64,
    /// Maximum additional delay, in microseconds.
    pub by: Micros,
}

impl LinkFault {
    /// Whether the fault affects datagrams from one balancer to another.
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

/// The outcome of the transmission of one datagram.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transmission {
    /// Delay of each copy that arrives, in microseconds; empty if the datagram is lost.
    pub copies: Vec<Micros>,
    /// Position of a flipped bit, as a fraction of the datagram's length.
    pub corrupted_at: Option<f64>,
}

impl Transmission {
    /// Flips the corrupted bit in the bytes of the datagram, if it is corrupted.
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
    /// Minimum and maximum delay of a link without a fault, in microseconds.
    pub base_delay: [Micros; 2],
}

impl NetworkLinks {
    /// Draws the outcome of the transmission of a datagram that is sent at `now`.
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

    /// Whether no fault affects the link from one balancer to another at any time in `between`.
    pub fn has_no_fault(&self, from: usize, to: usize, between: [Micros; 2]) -> bool {
        let is_outside = |fault: &LinkFault| fault.to <= between[0] || fault.from >= between[1];
        self.faults
            .iter()
            .all(|fault| is_outside(fault) || !fault.affects_link(from, to))
    }

    /// End of the last fault; 0 without faults.
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
                // A random delay from half of the maximum upwards reorders the datagrams.
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
