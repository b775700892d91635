//! What goes wrong on one seed: who is stopped, killed, started anew, cut off, and what the ways are like.

use pinefront_model::network::{LinkFault, NetworkLinks};
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::FaultKind as Fault;
use pinefront_model::{Micros, SECOND};

/// When faults begin at the earliest: all know each other by then.
pub const FAULTS_FROM: Micros = 8 * SECOND;
const FAULTS_TO: Micros = 24 * SECOND;
/// After the last fault so long until all must agree.
pub const SETTLES: Micros = 20 * SECOND;
/// A calm minute.
const CALM: Micros = 60 * SECOND;

/// What kind of scenario a seed plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Kind {
    /// Up to four faults of any kind, overlapping, on ways that lose, repeat and delay.
    Any,
    /// Two members can't reach each other; all others can reach both.
    Pair,
    /// One is stopped for long while it doubts another, on calm ways.
    Sleep,
    /// One leaves in order, on calm ways.
    Leave,
    /// One is killed, on calm ways.
    Death,
    /// Two halves are cut apart for 20 s.
    Halves,
    /// Nothing but lost datagrams, up to 30 %.
    Lossy,
    /// One is cut off and back again, again and again.
    Flaps,
    /// Nothing at all goes wrong, for a minute.
    Calm,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    Start(usize),
    /// Started anew at another address, or the same.
    StartAt(usize, usize),
    Kill(usize),
    Leave(usize),
    Stop(usize),
    GoOn(usize),
}

pub struct Scenario {
    pub kind: Kind,
    pub ways: NetworkLinks,
    /// In order of time.
    pub deeds: Vec<(Micros, Deed)>,
    /// Part of what is sent that is sent again later by somebody who listened.
    pub replayed: f64,
    pub ends: Micros,
}

impl Scenario {
    pub fn draw(seed: u64, members: usize, kind: Option<Kind>, loss: Option<f64>) -> Self {
        let mut chance = RandomSource::split(seed, "scenario", 0);
        let kinds = [
            Kind::Any,
            Kind::Any,
            Kind::Any,
            Kind::Pair,
            Kind::Sleep,
            Kind::Leave,
            Kind::Halves,
            Kind::Lossy,
            Kind::Flaps,
        ];
        let kind = kind.unwrap_or_else(|| kinds[chance.below(kinds.len())]);
        let mut scenario = Self {
            kind,
            ways: NetworkLinks {
                faults: Vec::new(),
                base_delay: [500, 3_000],
            },
            deeds: Vec::new(),
            replayed: 0.0,
            ends: 0,
        };
        // All start within a second, in no order.
        for member in 0..members {
            let at = chance.span(SECOND);
            scenario.deeds.push((at, Deed::Start(member)));
        }
        scenario.faults(&mut chance, members);
        if let Some(loss) = loss {
            scenario
                .ways
                .faults
                .retain(|trouble| trouble.kind != Fault::LinkLossy);
            scenario.on_all(Fault::LinkLossy, members, loss, 0);
        }
        scenario.deeds.sort_by_key(|(at, _)| *at);
        let last = scenario
            .deeds
            .last()
            .map_or(0, |(at, _)| *at)
            .max(scenario.ways.last_fault_end());
        scenario.ends = last.max(FAULTS_FROM) + if kind == Kind::Calm { CALM } else { SETTLES };
        scenario
    }

    fn trouble(
        &mut self,
        kind: Fault,
        from: Micros,
        to: Micros,
        side: Vec<usize>,
        factor: f64,
        by: Micros,
    ) {
        let (against, one_way) = (None, false);
        self.ways.faults.push(LinkFault {
            kind,
            from,
            to,
            side,
            against,
            one_way,
            factor,
            by,
        });
    }

    /// A trouble on every way until faults are over.
    fn on_all(&mut self, kind: Fault, members: usize, factor: f64, by: Micros) {
        let side: Vec<usize> = (0..members).collect();
        let (from, to, against, one_way) = (0, FAULTS_TO, Some(side.clone()), false);
        self.ways.faults.push(LinkFault {
            kind,
            from,
            to,
            side,
            against,
            one_way,
            factor,
            by,
        });
    }

    fn faults(&mut self, chance: &mut RandomSource, members: usize) {
        let from = FAULTS_FROM + chance.span(SECOND);
        match self.kind {
            Kind::Any => {
                if chance.happens(0.5) {
                    let loss = [0.02, 0.1, 0.2, 0.3][chance.below(4)];
                    self.on_all(Fault::LinkLossy, members, loss, 0);
                }
                if chance.happens(0.3) {
                    self.on_all(Fault::LinkRepeats, members, 0.1, 0);
                }
                if chance.happens(0.3) {
                    self.on_all(Fault::LinkCorrupts, members, 0.05, 0);
                }
                if chance.happens(0.3) {
                    let by = 1_000 + chance.span(200_000);
                    self.on_all(Fault::LinkSlow, members, 0.0, by);
                }
                self.replayed = if chance.happens(0.5) { 0.05 } else { 0.0 };
                for _ in 0..chance.below(5) {
                    self.one(chance, members);
                }
            }
            Kind::Pair => {
                let pair = chance.some_of(2, members);
                let (side, against) = (vec![pair[0]], Some(vec![pair[1]]));
                let (kind, one_way) = (Fault::LinkCut, chance.happens(0.5));
                let to = FAULTS_TO;
                self.ways.faults.push(LinkFault {
                    kind,
                    from,
                    to,
                    side,
                    against,
                    one_way,
                    factor: 0.0,
                    by: 0,
                });
            }
            Kind::Sleep => {
                // The one sleeps while it doubts the other, which goes on and says so meanwhile.
                let pair = chance.some_of(2, members);
                let (falls, lasts) = (
                    from + 900_000 + chance.span(SECOND),
                    3 * SECOND + chance.span(12 * SECOND),
                );
                self.deeds.push((from, Deed::Stop(pair[1])));
                self.deeds.push((falls + 200_000, Deed::GoOn(pair[1])));
                self.deeds.push((falls, Deed::Stop(pair[0])));
                self.deeds.push((falls + lasts, Deed::GoOn(pair[0])));
            }
            Kind::Leave => self.deeds.push((from, Deed::Leave(chance.below(members)))),
            Kind::Death => self.deeds.push((from, Deed::Kill(chance.below(members)))),
            Kind::Halves => {
                let half = chance.some_of(members / 2, members);
                self.trouble(
                    Fault::LinkCut,
                    from,
                    from + 20 * SECOND,
                    half.clone(),
                    0.0,
                    0,
                );
                if chance.happens(0.5) {
                    // Deaths on both sides meanwhile.
                    let other = (0..members).find(|member| !half.contains(member));
                    self.deeds.push((from + 8 * SECOND, Deed::Kill(half[0])));
                    self.deeds
                        .extend(other.map(|other| (from + 9 * SECOND, Deed::Kill(other))));
                }
            }
            Kind::Flaps => {
                let member = chance.below(members);
                let mut at = from;
                for _ in 0..6 + chance.below(6) {
                    let away = 200_000 + chance.span(3 * SECOND);
                    self.trouble(Fault::LinkCut, at, at + away, vec![member], 0.0, 0);
                    at += away + 200_000 + chance.span(2 * SECOND);
                }
            }
            Kind::Calm => {}
            Kind::Lossy => {
                let loss = [0.05, 0.1, 0.2, 0.3][chance.below(4)];
                self.on_all(Fault::LinkLossy, members, loss, 0);
            }
        }
    }

    /// One fault of any kind, on a member that no other fault has stopped or killed.
    fn one(&mut self, chance: &mut RandomSource, members: usize) {
        let from = FAULTS_FROM + chance.span(FAULTS_TO - FAULTS_FROM);
        let lasts = 200_000 + chance.span(10 * SECOND);
        let member = chance.below(members);
        let mine = |deed: &Deed| match *deed {
            Deed::Kill(one) | Deed::Leave(one) | Deed::Stop(one) => one == member,
            _ => false,
        };
        let free = !self.deeds.iter().any(|(_, deed)| mine(deed));
        match chance.below(8) {
            0 => {
                let count = 1 + chance.below(members / 2);
                let side = chance.some_of(count, members);
                self.trouble(Fault::LinkCut, from, from + lasts, side, 0.0, 0);
            }
            1 => {
                let side = vec![member];
                let one_way = LinkFault {
                    kind: Fault::LinkCut,
                    from,
                    to: from + lasts,
                    side,
                    against: None,
                    one_way: true,
                    factor: 0.0,
                    by: 0,
                };
                self.ways.faults.push(one_way);
            }
            2 => self.trouble(Fault::LinkLossy, from, from + lasts, vec![member], 0.3, 0),
            3 if free => {
                self.deeds.push((from, Deed::Stop(member)));
                self.deeds.push((from + lasts, Deed::GoOn(member)));
            }
            4 if free => self.deeds.push((from, Deed::Kill(member))),
            5 if free => {
                self.deeds.push((from, Deed::Kill(member)));
                // Back soon or late, on the same address.
                let away = if chance.happens(0.5) { 200_000 } else { lasts };
                self.deeds.push((from + away, Deed::Start(member)));
            }
            6 if free => {
                // Back with an address that nobody had.
                self.deeds.push((from, Deed::Kill(member)));
                self.deeds
                    .push((from + lasts, Deed::StartAt(member, members + member)));
            }
            7 if free => self.deeds.push((from, Deed::Leave(member))),
            _ => {
                // Hurt: stopped and run in quick turns.
                if free {
                    for turn in 0..(lasts / 100_000) {
                        let at = from + turn * 100_000;
                        self.deeds.push((at, Deed::Stop(member)));
                        self.deeds.push((at + 60_000, Deed::GoOn(member)));
                    }
                }
            }
        }
    }
}
