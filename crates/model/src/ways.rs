//! The ways between balancers: what becomes of each datagram that one sends another. Moved by being told the time; the
//! relays on sockets and the virtual clock ask the same question.

use crate::Micros;
use crate::chance::Chance;
use crate::day::Kind;

/// One trouble on some ways for a span.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub kind: Kind,
    pub from: Micros,
    pub to: Micros,
    /// The balancers on the one side.
    pub side: Vec<usize>,
    /// Those on the other; all the rest where none are named.
    pub against: Option<Vec<usize>>,
    /// Only what the one side sends.
    pub one_way: bool,
    pub factor: f64,
    pub by: Micros,
}

impl Trouble {
    /// Whether it lies on the way from one to another.
    pub fn lies_on(&self, from: usize, to: usize) -> bool {
        let other = |balancer: usize| match &self.against {
            Some(against) => against.contains(&balancer),
            None => !self.side.contains(&balancer),
        };
        let there = self.side.contains(&from) && other(to);
        there || (!self.one_way && self.side.contains(&to) && other(from))
    }

    fn holds(&self, from: usize, to: usize, now: Micros) -> bool {
        self.from <= now && now < self.to && self.lies_on(from, to)
    }
}

/// What becomes of one datagram.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Carried {
    /// After how long each copy comes; none where it is lost.
    pub copies: Vec<Micros>,
    /// Which of its bits is turned, as a part of 1 of its length.
    pub spoilt: Option<f64>,
}

impl Carried {
    /// Turns the bit that is turned on the way, if one is.
    pub fn spoil(&self, bytes: &mut [u8]) {
        if let Some(part) = self.spoilt {
            let bit = (part * bytes.len() as f64 * 8.0) as usize;
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Ways {
    pub troubles: Vec<Trouble>,
    /// How long a calm way takes, from the least to the greatest.
    pub usual: [Micros; 2],
}

impl Ways {
    pub fn carry(&self, from: usize, to: usize, now: Micros, chance: &mut Chance) -> Carried {
        let mut delays = vec![self.usual[0] + chance.span(self.usual[1] - self.usual[0])];
        let mut spoilt = None;
        for trouble in self
            .troubles
            .iter()
            .filter(|trouble| trouble.holds(from, to, now))
        {
            match trouble.kind {
                Kind::LinkCut => delays.clear(),
                Kind::LinkLossy => delays.retain(|_| !chance.happens(trouble.factor)),
                // Each takes between a half and all of it more, so that they overtake one another.
                Kind::LinkSlow => delays
                    .iter_mut()
                    .for_each(|delay| *delay += trouble.by / 2 + chance.span(trouble.by / 2)),
                Kind::LinkRepeats => {
                    if let Some(delay) = delays
                        .first()
                        .copied()
                        .filter(|_| chance.happens(trouble.factor))
                    {
                        delays.push(delay + chance.span(500_000));
                    }
                }
                Kind::LinkSpoils => {
                    spoilt = chance
                        .happens(trouble.factor)
                        .then(|| chance.unit())
                        .or(spoilt);
                }
                _ => {}
            }
        }
        Carried {
            copies: delays,
            spoilt,
        }
    }

    /// Whether any trouble but the usual time lies on that way at any moment of a span.
    pub fn calm(&self, from: usize, to: usize, between: [Micros; 2]) -> bool {
        let over = |trouble: &Trouble| trouble.to <= between[0] || trouble.from >= between[1];
        self.troubles
            .iter()
            .all(|trouble| over(trouble) || !trouble.lies_on(from, to))
    }

    /// When the last trouble is over.
    pub fn over(&self) -> Micros {
        self.troubles
            .iter()
            .map(|trouble| trouble.to)
            .max()
            .unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn trouble(kind: Kind, one_way: bool, against: Option<Vec<usize>>) -> Trouble {
        Trouble {
            kind,
            from: 10,
            to: 20,
            side: vec![0, 1],
            against,
            one_way,
            factor: 1.0,
            by: 0,
        }
    }

    fn passes(trouble: Trouble, from: usize, to: usize, now: Micros) -> bool {
        let ways = Ways {
            troubles: vec![trouble],
            usual: [1, 2],
        };
        !ways
            .carry(from, to, now, &mut Chance::new(1))
            .copies
            .is_empty()
    }

    #[test]
    fn a_cut_keeps_two_sides_apart_and_nobody_else() {
        let cut = || trouble(Kind::LinkCut, false, None);
        let apart = [(0, 2), (2, 0), (3, 1)].map(|(from, to)| passes(cut(), from, to, 15));
        let together = [(0, 1), (2, 3)].map(|(from, to)| passes(cut(), from, to, 15));
        assert_eq!((apart, together), ([false; 3], [true; 2]));
        assert!(passes(cut(), 0, 2, 20) && passes(cut(), 0, 2, 9));
    }

    #[test]
    fn a_one_way_cut_lets_the_other_way_pass() {
        let cut = || trouble(Kind::LinkCut, true, Some(vec![2]));
        assert_eq!(
            [(0, 2), (2, 0), (0, 3)].map(|(a, b)| passes(cut(), a, b, 15)),
            [false, true, true]
        );
    }

    #[test]
    fn repeats_come_later_and_spoilt_ones_are_marked() {
        let troubles = vec![
            trouble(Kind::LinkRepeats, false, None),
            trouble(Kind::LinkSpoils, false, None),
        ];
        let carried = Ways {
            troubles,
            usual: [1, 2],
        }
        .carry(0, 2, 15, &mut Chance::new(1));
        assert!(carried.copies.len() == 2 && carried.copies[1] >= carried.copies[0]);
        assert!(
            carried
                .spoilt
                .is_some_and(|part| (0.0..1.0).contains(&part))
        );
    }
}
