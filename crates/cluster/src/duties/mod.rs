//! Duties: work that is right once in a fleet. Each is held by one member at most, at every instant, by a lease that a
//! majority of named voters grants (as Gray and Cheriton's leases, 1989, made safe without a disk as in PaxosLease,
//! Trencseni, Gazso, Reinhardt, 2012).
//!
//! Why never two at one instant: to hold, a claimant needs grants of its term from a majority, and counts its lease from
//! before it asked. A voter grants another term only when the grant has run out by its own clock, for which it counts
//! longer by [`RATES_APART`]. Two majorities share a voter; that one granted the second term after the first lease was
//! over by the clock of its holder. A voter that lost its memory grants nothing for the longest lease.
//!
//! No I/O, no clock: told times, frames and who is present, it gives frames, events and one next deadline.

pub mod fence;
pub mod frames;
pub mod plan;
pub mod tenure;
pub mod term;
pub mod voter;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::Micros;
use fence::Fence;
use frames::{BODY_MOST, DutyFrame, NAMED_MOST};
use plan::{Place, plan};
use tenure::{Asked, Claimed, Held, Tenure};
use term::{DutyId, Term};
use voter::{Told, Voter};

#[cfg(test)]
mod tests;

/// The most by which the rates of any two clocks may differ, as a part: 1 % off the true one each, to either side, with
/// room for rounding.
pub const RATES_APART: f64 = 0.025;
/// The longest lease that a file may name; a voter that starts is silent for as long.
pub const LEASE_MOST: Micros = 2_000_000;
pub const LEASE_LEAST: Micros = 200_000;
pub const LEASE_USUAL: Micros = 1_500_000;
/// Voters at most.
pub const VOTERS_MOST: usize = 7;
/// Duties at most.
pub const DUTIES_MOST: usize = 4_096;
/// Renewals in one lease: two may be lost.
const RENEWALS: u64 = 3;
/// How long a round of voters may take before what is missing counts as not said.
const ROUND: Micros = 250_000;
/// Between those who ask for one duty by their rank, so that they don't claim at once.
const STEP: Micros = 60_000;
/// First and longest wait after voters did not answer.
const BACK_OFF: (Micros, Micros) = (200_000, 4_000_000);
/// How long one that lost or let go a duty leaves it to others. With [`plan::RANKS`] members that ask, a duty changes
/// hands that many times in this span at most.
const RESTS: Micros = 10_000_000;
/// A better placed member must be there for so long, and one's own turn as old, before it is handed on by free will;
/// then one every so often.
const SETTLED: Micros = 10_000_000;
const MOVES_EVERY: Micros = 500_000;
/// The plan is made anew so often at most.
const PLANS_APART: Micros = 300_000;
/// Pauses of its own after which a member lets all go, within this span, and for how long it then takes none.
const PAUSES: (usize, Micros) = (3, 30_000_000);

/// A span counted so that it covers a span of the same length by any clock within the bound.
pub fn guarded(span: Micros) -> Micros {
    span + (span as f64 * RATES_APART).ceil() as Micros
}

/// Faults planted by tests. Nothing else ever sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Planted {
    /// The lease counts from the grant, not from the asking.
    CountsFromGrant,
    /// A voter grants at once after it lost its memory.
    NoSilence,
    /// Voters count no longer than holders.
    NoGuard,
    /// A term is told from another by its number alone.
    EqualTermsTwice,
    /// A release frees the duty whatever its term.
    ReleaseReplayed,
    /// Acts of older terms are taken.
    NoFence,
}

impl Planted {
    pub const ALL: [(&str, Self); 6] = [
        ("counts-from-grant", Self::CountsFromGrant),
        ("no-silence", Self::NoSilence),
        ("no-guard", Self::NoGuard),
        ("equal-terms-twice", Self::EqualTermsTwice),
        ("release-replayed", Self::ReleaseReplayed),
        ("no-fence", Self::NoFence),
    ];
}

/// A duty by name; near a zone where it names one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Duty {
    pub id: DutyId,
    pub name: Rc<str>,
    pub zone: Option<Rc<str>>,
}

impl Duty {
    pub fn new(name: &str, zone: Option<Rc<str>>) -> Self {
        Self {
            id: DutyId::of(name),
            name: name.into(),
            zone,
        }
    }
}

/// How duties are held in a fleet; the same in all files.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DutyTerms {
    /// 1, 3, 5 or 7 members, by name.
    pub voters: Vec<Rc<str>>,
    pub lease: Micros,
}

impl DutyTerms {
    /// By what voters tell that a claimant has the same voters in its file.
    fn fingerprint(&self) -> u32 {
        let mut names: Vec<_> = self.voters.iter().map(|name| &**name).collect();
        names.sort_unstable();
        DutyId::of(&names.join("\n")).0
    }

    fn majority(&self) -> u32 {
        self.voters.len() as u32 / 2 + 1
    }
}

/// Why a duty is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// Its lease ran out: no majority renewed it in time, or the process was not run.
    RanOut,
    /// Let go in order: told to stop, or another is better placed.
    LetGo,
    /// This process was stopped too often to be trusted with it.
    Pauses,
    /// Somebody knows a later term.
    Later,
}

impl Why {
    pub fn word(self) -> &'static str {
        match self {
            Self::RanOut => "ran_out",
            Self::LetGo => "let_go",
            Self::Pauses => "pauses",
            Self::Later => "later",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DutyEvent {
    Taken {
        duty: Rc<str>,
        term: Term,
        until: Micros,
    },
    /// Held up to that moment at the latest.
    Lost {
        duty: Rc<str>,
        term: Term,
        until: Micros,
        why: Why,
    },
    /// No majority of voters answers; each does for itself what it would do without duties.
    NoMajority,
    Majority,
    /// A member has other voters in its file.
    VotersDiffer(Rc<str>),
    /// An act to be done as its receiver sees fit: its term is the greatest known of that duty.
    Acted {
        from: Rc<str>,
        duty: DutyId,
        term: Term,
        body: Vec<u8>,
    },
    /// Said about a duty by one who need not hold it.
    Said {
        from: Rc<str>,
        duty: DutyId,
        body: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Wanted {
    pub duty: Duty,
    pub tenure: Tenure,
    /// Members that may ask for it, best first; none where this one is not among them.
    order: Vec<Rc<str>>,
    rank: Option<usize>,
    /// The greatest number used here or heard of.
    number: u64,
    /// Since when a better placed member has been there.
    better_since: Option<Micros>,
    backing_off: Micros,
    /// It had it not long ago, and leaves it to others.
    rests_until: Micros,
}

impl Wanted {
    /// It is not held any more; whoever stands by goes first for a while, where anybody does.
    fn rest(&mut self, now: Micros) {
        self.rests_until = if self.order.len() > 1 {
            now + RESTS
        } else {
            now
        };
        self.tenure = Tenure::Idle {
            next: self.rests_until,
        };
    }

    /// Asks again after that and its turn by rank.
    fn wait(&mut self, now: Micros, wait: Micros) {
        let rank = self.rank.unwrap_or(plan::RANKS) as Micros;
        self.tenure = Tenure::Idle {
            next: now + wait + rank * STEP,
        };
    }

    /// A voter told its greatest term: a number to go beyond, no more, as who was granted that term there need not have
    /// held the duty.
    fn hears_of(&mut self, told: &Told) {
        self.number = self.number.max(told.term.map_or(0, |term| term.number));
    }
}

/// One member's part in who does what.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Duties {
    terms: DutyTerms,
    /// Of the voters, as it goes with each ask and claim.
    fingerprint: u32,
    me: Rc<str>,
    life: u64,
    /// Unix milliseconds at local time 0, by its own clock.
    wall: u64,
    voter: Option<Voter>,
    pub(crate) wanted: BTreeMap<DutyId, Wanted>,
    fence: Fence,
    round: u32,
    /// When each of the last rounds was sent.
    sent: BTreeMap<u32, Micros>,
    renews_at: Micros,
    planned: (Micros, Vec<Place>),
    moves_at: Micros,
    pauses: VecDeque<Micros>,
    rests_until: Micros,
    stopping: bool,
    /// Numbers that an earlier one of this process may have used.
    numbers_from: u64,
    majority_missing: bool,
    /// Rounds in a row that no majority answered.
    unanswered: u32,
    differ: Vec<Rc<str>>,
    pub old_refused: u64,
    out: Vec<(Rc<str>, DutyFrame)>,
    events: Vec<DutyEvent>,
    planted: Option<Planted>,
}

impl Duties {
    /// `wall` is Unix milliseconds at local time 0: what a fleet that forgot all terms begins with.
    pub fn new(now: Micros, terms: DutyTerms, me: Rc<str>, life: u64, wall: u64) -> Self {
        Self::planted(now, terms, me, life, wall, None)
    }

    pub fn planted(
        now: Micros,
        terms: DutyTerms,
        me: Rc<str>,
        life: u64,
        wall: u64,
        planted: Option<Planted>,
    ) -> Self {
        let voter = terms.voters.contains(&me).then(|| Voter::new(now, planted));
        Self {
            fingerprint: terms.fingerprint(),
            terms,
            me,
            life,
            wall,
            voter,
            wanted: BTreeMap::new(),
            fence: Fence::new(planted),
            round: 0,
            sent: BTreeMap::new(),
            renews_at: 0,
            planned: (0, Vec::new()),
            moves_at: 0,
            pauses: VecDeque::new(),
            rests_until: 0,
            stopping: false,
            numbers_from: 0,
            majority_missing: false,
            unanswered: 0,
            differ: Vec::new(),
            old_refused: 0,
            out: Vec::new(),
            events: Vec::new(),
            planted,
        }
    }

    /// Follows one that this same process had before: answers to its rounds and its numbers must not pass for new ones.
    pub fn following(mut self, before: &Self) -> Self {
        self.round = before.round;
        self.numbers_from = before
            .wanted
            .values()
            .map(|wanted| wanted.number)
            .max()
            .unwrap_or(0);
        self.numbers_from = self.numbers_from.max(before.numbers_from);
        self
    }

    /// Whether it was told to stop, and takes nothing more.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    pub fn terms(&self) -> &DutyTerms {
        &self.terms
    }

    /// The duties that this fleet has, in place of those before. What is held and no longer wanted is let go.
    pub fn want(&mut self, now: Micros, duties: Vec<Duty>) {
        let ids: Vec<DutyId> = duties.iter().map(|duty| duty.id).collect();
        let gone: Vec<DutyId> = self
            .wanted
            .keys()
            .filter(|id| !ids.contains(id))
            .copied()
            .collect();
        self.let_go(now, &gone, Why::LetGo);
        for wanted in gone.iter().filter_map(|id| self.wanted.remove(id)) {
            self.numbers_from = self.numbers_from.max(wanted.number);
        }
        for duty in duties.into_iter().take(DUTIES_MOST) {
            self.wanted.entry(duty.id).or_insert(Wanted {
                duty,
                tenure: Tenure::Idle { next: now },
                order: Vec::new(),
                rank: None,
                number: self.numbers_from,
                better_since: None,
                backing_off: 0,
                rests_until: 0,
            });
        }
        self.planned.1.clear();
    }

    /// Whether it holds a duty now and for so long yet: asked at the act itself. Nothing else entitles to act.
    pub fn holds(&self, now: Micros, duty: DutyId, takes: Micros) -> Option<Term> {
        match &self.wanted.get(&duty)?.tenure {
            Tenure::Holding(held) if now + takes < held.until => Some(held.term),
            _ => None,
        }
    }

    /// The greatest term known of a duty, whoever has it.
    pub fn known(&self, duty: DutyId) -> Option<Term> {
        self.fence.known(duty)
    }

    pub fn has_majority(&self) -> bool {
        !self.majority_missing
    }

    /// Duties with their terms held at that moment: name, term, since when and until when.
    pub fn held(&self, now: Micros) -> impl Iterator<Item = (&Duty, Term, Micros, Micros)> {
        self.wanted
            .values()
            .filter_map(move |wanted| match &wanted.tenure {
                Tenure::Holding(held) if now < held.until => {
                    Some((&wanted.duty, held.term, held.from, held.until))
                }
                _ => None,
            })
    }

    /// All that was taken and not said to be lost, run out or not: up to when each was held at the latest.
    pub fn open(&self) -> impl Iterator<Item = (&Duty, Term, Micros)> {
        self.wanted
            .values()
            .filter_map(|wanted| match &wanted.tenure {
                Tenure::Holding(held) => Some((&wanted.duty, held.term, held.until)),
                _ => None,
            })
    }

    pub fn wanted(&self) -> impl Iterator<Item = &Duty> {
        self.wanted.values().map(|wanted| &wanted.duty)
    }

    /// Whether this member is a voter that keeps silent, as it has just started.
    pub fn is_silent_voter(&self, now: Micros) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|voter| voter.is_silent(now))
    }

    pub fn take_frames(&mut self) -> Vec<(Rc<str>, DutyFrame)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_events(&mut self) -> Vec<DutyEvent> {
        std::mem::take(&mut self.events)
    }

    /// Sends an act in a duty's name to a member, if it is held now and for as long as sending may take.
    pub fn act(
        &mut self,
        now: Micros,
        duty: DutyId,
        to: &Rc<str>,
        takes: Micros,
        body: Vec<u8>,
    ) -> bool {
        let Some(term) = self
            .holds(now, duty, takes)
            .filter(|_| body.len() <= BODY_MOST)
        else {
            return false;
        };
        self.out
            .push((Rc::clone(to), DutyFrame::Act { duty, term, body }));
        true
    }

    /// Says something about a duty to a member, held or not.
    pub fn say(&mut self, duty: DutyId, to: &Rc<str>, body: Vec<u8>) {
        if body.len() <= BODY_MOST {
            self.out
                .push((Rc::clone(to), DutyFrame::Say { duty, body }));
        }
    }

    /// Told to stop: lets all go and takes nothing more.
    pub fn stop(&mut self, now: Micros) {
        self.stopping = true;
        self.let_all_go(now, Why::LetGo);
    }

    fn let_all_go(&mut self, now: Micros, why: Why) {
        let all: Vec<DutyId> = self.wanted.keys().copied().collect();
        self.let_go(now, &all, why);
    }

    /// This process was not run for a while. What ran out meanwhile is lost; one that is stopped again and again lets
    /// all go by itself.
    pub fn paused(&mut self, now: Micros) {
        self.lapse(now);
        self.pauses.push_back(now);
        while self.pauses.front().is_some_and(|at| at + PAUSES.1 < now) {
            self.pauses.pop_front();
        }
        if self.pauses.len() >= PAUSES.0 {
            self.pauses.clear();
            self.rests_until = now + PAUSES.1;
            self.let_all_go(now, Why::Pauses);
        }
    }

    /// When [`Duties::due`] is to be called at the latest.
    pub fn next_due(&self) -> Micros {
        let of = |wanted: &Wanted| match &wanted.tenure {
            Tenure::Idle { next } if wanted.rank.is_some() => Some(*next),
            Tenure::Idle { .. } => None,
            Tenure::Asking(asked) => Some(asked.since + ROUND),
            Tenure::Claiming(claimed) => Some(claimed.since + ROUND),
            Tenure::Holding(held) => Some(held.until.min(self.renews_at)),
        };
        let first = self.wanted.values().filter_map(of).min();
        let plans = if self.wanted.is_empty() {
            Micros::MAX
        } else {
            self.planned.0 + PLANS_APART
        };
        first.unwrap_or(Micros::MAX).min(plans)
    }

    /// Does what has fallen due. `present` are all members that nobody doubts, this one with them; one that is not `fit`
    /// (not heard since it slept) asks for nothing.
    pub fn due(&mut self, now: Micros, present: &[Place], fit: bool) {
        self.lapse(now);
        self.replan(now, present);
        self.judge_rounds(now);
        if fit && !self.stopping && now >= self.rests_until {
            self.ask(now);
        }
        if now >= self.renews_at {
            self.renew(now);
        }
        self.hand_on(now);
    }

    fn lapse(&mut self, now: Micros) {
        let mut lost = Vec::new();
        for wanted in self.wanted.values_mut() {
            if let Tenure::Holding(held) = &wanted.tenure
                && now >= held.until
            {
                let (term, until) = (held.term, held.until);
                lost.push(DutyEvent::Lost {
                    duty: Rc::clone(&wanted.duty.name),
                    term,
                    until,
                    why: Why::RanOut,
                });
                wanted.rest(now);
            }
        }
        self.events.extend(lost);
    }

    fn replan(&mut self, now: Micros, present: &[Place]) {
        if now < self.planned.0 + PLANS_APART && !self.planned.1.is_empty() {
            return;
        }
        self.planned.0 = now;
        let mut members = present.to_vec();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        if members == self.planned.1 {
            return;
        }
        let duties: Vec<Duty> = self
            .wanted
            .values()
            .map(|wanted| wanted.duty.clone())
            .collect();
        for (wanted, order) in self.wanted.values_mut().zip(plan(&duties, &members)) {
            wanted.order = order
                .into_iter()
                .map(|place| Rc::clone(&members[place].name))
                .collect();
            let rank = wanted.order.iter().position(|name| *name == self.me);
            // Who has moved up need not wait for what it would have waited for before.
            let up = rank.is_some_and(|rank| wanted.rank.is_none_or(|before| rank < before));
            if let (Tenure::Idle { next }, true) = (&mut wanted.tenure, up) {
                *next = (*next)
                    .min(now + rank.unwrap_or(0) as Micros * STEP)
                    .max(wanted.rests_until);
            }
            wanted.rank = rank;
            wanted.better_since = if rank == Some(0) {
                None
            } else {
                wanted.better_since.or(Some(now))
            };
        }
        self.planned.1 = members;
    }

    fn next_round(&mut self, now: Micros) -> u32 {
        self.round = self.round.wrapping_add(1);
        self.sent.insert(self.round, now);
        // What is older than a lease can give nothing any more.
        self.sent.retain(|_, sent| *sent + LEASE_MOST >= now);
        self.round
    }

    /// Says the same to all voters, and hears itself at once where it is one.
    fn tell_voters(&mut self, now: Micros, frame: &DutyFrame) {
        let others = self.terms.voters.iter().filter(|voter| **voter != self.me);
        self.out
            .extend(others.map(|voter| (Rc::clone(voter), frame.clone())));
        if self.voter.is_some() {
            let me = Rc::clone(&self.me);
            self.heard(now, &me, self.life, frame);
        }
    }

    fn reply(&mut self, now: Micros, to: &Rc<str>, frame: DutyFrame) {
        if *to == self.me {
            let me = Rc::clone(&self.me);
            self.heard(now, &me, self.life, &frame);
        } else {
            self.out.push((Rc::clone(to), frame));
        }
    }

    fn ask(&mut self, now: Micros) {
        let due = |wanted: &&mut Wanted| {
            wanted.rank.is_some() && matches!(wanted.tenure, Tenure::Idle { next } if next <= now)
        };
        let ids: Vec<DutyId> = self
            .wanted
            .values_mut()
            .filter(due)
            .map(|wanted| wanted.duty.id)
            .collect();
        for duties in ids.chunks(NAMED_MOST) {
            let round = self.next_round(now);
            for id in duties {
                if let Some(wanted) = self.wanted.get_mut(id) {
                    wanted.tenure = Tenure::Asking(Asked::new(round, now));
                }
            }
            let voters = self.fingerprint;
            self.tell_voters(
                now,
                &DutyFrame::Ask {
                    round,
                    voters,
                    duties: duties.to_vec(),
                },
            );
        }
    }

    fn claim(&mut self, now: Micros, ids: &[DutyId]) {
        let floor = self.wall + now / 1_000;
        for ids in ids.chunks(NAMED_MOST) {
            let round = self.next_round(now);
            let mut claims = Vec::new();
            for id in ids {
                let known = self.fence.known(*id).map_or(0, |term| term.number);
                let Some(wanted) = self.wanted.get_mut(id) else {
                    continue;
                };
                wanted.number = wanted.number.max(known).saturating_add(1).max(floor);
                let term = Term {
                    number: wanted.number,
                    life: self.life,
                };
                wanted.tenure = Tenure::Claiming(Claimed::new(term, round, now));
                claims.push((*id, term.number));
            }
            self.send_claims(now, round, claims);
        }
    }

    fn renew(&mut self, now: Micros) {
        self.renews_at = now + self.terms.lease / RENEWALS;
        let holding = |wanted: &&Wanted| matches!(wanted.tenure, Tenure::Holding(_));
        let ids: Vec<DutyId> = self
            .wanted
            .values()
            .filter(holding)
            .map(|wanted| wanted.duty.id)
            .collect();
        for ids in ids.chunks(NAMED_MOST) {
            let round = self.next_round(now);
            let mut claims = Vec::new();
            for id in ids {
                if let Some(Tenure::Holding(held)) =
                    self.wanted.get_mut(id).map(|wanted| &mut wanted.tenure)
                {
                    held.begin_round(round);
                    claims.push((*id, held.term.number));
                }
            }
            self.send_claims(now, round, claims);
        }
    }

    fn send_claims(&mut self, now: Micros, round: u32, claims: Vec<(DutyId, u64)>) {
        let (voters, lease) = (self.fingerprint, self.terms.lease as u32);
        self.tell_voters(
            now,
            &DutyFrame::Claim {
                round,
                voters,
                lease,
                claims,
            },
        );
    }

    /// Judges rounds that have waited long enough.
    fn judge_rounds(&mut self, now: Micros) {
        let majority = self.terms.majority();
        let mut given_up = Vec::new();
        let mut missed = false;
        for wanted in self.wanted.values_mut() {
            match &wanted.tenure {
                Tenure::Asking(asked) if now >= asked.since + ROUND => {
                    let heard = asked.heard.count_ones() >= majority;
                    missed |= !heard;
                    wanted.backing_off = match heard {
                        true => 0,
                        false => (wanted.backing_off * 2).clamp(BACK_OFF.0, BACK_OFF.1),
                    };
                    let wait = if heard {
                        asked.free_in(majority).max(STEP)
                    } else {
                        wanted.backing_off
                    };
                    wanted.wait(now, wait);
                }
                Tenure::Claiming(claimed) if now >= claimed.since + ROUND => {
                    given_up.push((wanted.duty.id, claimed.term.number));
                    wanted.backing_off = (wanted.backing_off * 2).clamp(BACK_OFF.0, BACK_OFF.1);
                    wanted.wait(now, wanted.backing_off);
                }
                _ => {}
            }
        }
        if missed {
            self.answered(false);
        }
        self.release(now, &given_up);
    }

    /// Keeps whether a majority of voters is there, and says when that changes.
    fn answered(&mut self, majority: bool) {
        self.unanswered = if majority { 0 } else { self.unanswered + 1 };
        let missing = self.unanswered >= 2;
        if missing != self.majority_missing {
            self.majority_missing = missing;
            self.events.push(if missing {
                DutyEvent::NoMajority
            } else {
                DutyEvent::Majority
            });
        }
    }

    fn release(&mut self, now: Micros, turns: &[(DutyId, u64)]) {
        for turns in turns.chunks(NAMED_MOST) {
            self.tell_voters(
                now,
                &DutyFrame::Release {
                    turns: turns.to_vec(),
                },
            );
        }
    }

    /// Lets go of what is held or claimed of these, and tells the next in the order.
    fn let_go(&mut self, now: Micros, ids: &[DutyId], why: Why) {
        let (mut turns, mut next): (Vec<_>, BTreeMap<Rc<str>, Vec<DutyId>>) =
            (Vec::new(), BTreeMap::new());
        for id in ids {
            let Some(wanted) = self.wanted.get_mut(id) else {
                continue;
            };
            let before = wanted.tenure.clone();
            wanted.rest(now);
            match before {
                Tenure::Holding(held) => {
                    let duty = Rc::clone(&wanted.duty.name);
                    self.events.push(DutyEvent::Lost {
                        duty,
                        term: held.term,
                        until: held.until.min(now),
                        why,
                    });
                    turns.push((*id, held.term.number));
                    if let Some(other) = wanted.order.iter().find(|name| **name != self.me) {
                        next.entry(Rc::clone(other)).or_default().push(*id);
                    }
                }
                Tenure::Claiming(claimed) => turns.push((*id, claimed.term.number)),
                Tenure::Idle { .. } | Tenure::Asking(_) => {}
            }
        }
        self.release(now, &turns);
        for (name, duties) in next {
            for duties in duties.chunks(NAMED_MOST) {
                self.out.push((
                    Rc::clone(&name),
                    DutyFrame::Free {
                        duties: duties.to_vec(),
                    },
                ));
            }
        }
    }

    /// Hands one duty on to a member that has been better placed for long.
    fn hand_on(&mut self, now: Micros) {
        if now < self.moves_at {
            return;
        }
        let old = |since: Micros| since + SETTLED <= now;
        let fits = |wanted: &&Wanted| match &wanted.tenure {
            Tenure::Holding(held) => {
                old(held.from) && wanted.better_since.is_some_and(old) && !wanted.order.is_empty()
            }
            _ => false,
        };
        let one = self.wanted.values().find(fits).map(|wanted| wanted.duty.id);
        if let Some(id) = one {
            self.moves_at = now + MOVES_EVERY;
            self.let_go(now, &[id], Why::LetGo);
        }
    }

    /// Somebody has held the duty by a later term: whoever holds an earlier one has lost it.
    fn learn(&mut self, now: Micros, duty: DutyId, term: Term) {
        self.fence.learn(duty, term);
        let Some(wanted) = self.wanted.get_mut(&duty) else {
            return;
        };
        wanted.number = wanted.number.max(term.number);
        if matches!(&wanted.tenure, Tenure::Holding(held) if held.term < term) {
            self.let_go(now, &[duty], Why::Later);
        }
    }

    /// A frame came from a member, of the life with that chance.
    pub fn heard(&mut self, now: Micros, sender: &Rc<str>, life: u64, frame: &DutyFrame) {
        match frame {
            DutyFrame::Ask {
                round,
                voters,
                duties,
            } => {
                if self.agrees(sender, *voters)
                    && let Some(voter) = &self.voter
                {
                    let told = duties
                        .iter()
                        .take(NAMED_MOST)
                        .map(|duty| voter.told(now, *duty))
                        .collect();
                    self.reply(
                        now,
                        sender,
                        DutyFrame::Told {
                            round: *round,
                            told,
                        },
                    );
                }
            }
            DutyFrame::Claim {
                round,
                voters,
                lease,
                claims,
            } => {
                if !self.agrees(sender, *voters) {
                    return;
                }
                let Some(voter) = &mut self.voter else { return };
                let (mut granted, mut refused) = (Vec::new(), Vec::new());
                for &(duty, number) in claims.iter().take(NAMED_MOST) {
                    match voter.claim(now, duty, Term { number, life }, Micros::from(*lease)) {
                        Ok(()) => granted.push((duty, number)),
                        Err(told) => refused.push(told),
                    }
                }
                self.reply(
                    now,
                    sender,
                    DutyFrame::Granted {
                        round: *round,
                        granted,
                        refused,
                    },
                );
            }
            DutyFrame::Release { turns } => {
                if let Some(voter) = &mut self.voter {
                    for &(duty, number) in turns.iter().take(NAMED_MOST) {
                        voter.release(now, duty, Term { number, life });
                    }
                }
            }
            DutyFrame::Told { round, told } => {
                if let Some(place) = self.voter_place(sender) {
                    self.told(now, place, *round, told);
                }
            }
            DutyFrame::Granted {
                round,
                granted,
                refused,
            } => {
                if let Some(place) = self.voter_place(sender) {
                    self.granted(now, place, *round, granted, refused);
                }
            }
            DutyFrame::Free { duties } => {
                for id in duties.iter().take(NAMED_MOST) {
                    let Some(wanted) = self.wanted.get_mut(id) else {
                        continue;
                    };
                    if let Tenure::Idle { next } = &mut wanted.tenure {
                        *next = now.max(wanted.rests_until);
                    }
                }
            }
            DutyFrame::Act { duty, term, body } => match self.fence.take(*duty, *term) {
                Ok(()) => {
                    self.learn(now, *duty, *term);
                    let (from, body) = (Rc::clone(sender), body.clone());
                    self.events.push(DutyEvent::Acted {
                        from,
                        duty: *duty,
                        term: *term,
                        body,
                    });
                }
                Err(known) => {
                    self.old_refused += 1;
                    self.out.push((
                        Rc::clone(sender),
                        DutyFrame::Old {
                            duty: *duty,
                            term: known,
                        },
                    ));
                }
            },
            DutyFrame::Say { duty, body } => {
                let (from, body) = (Rc::clone(sender), body.clone());
                self.events.push(DutyEvent::Said {
                    from,
                    duty: *duty,
                    body,
                });
            }
            DutyFrame::Old { duty, term } => self.learn(now, *duty, *term),
        }
    }

    fn voter_place(&self, name: &str) -> Option<usize> {
        self.terms
            .voters
            .iter()
            .position(|voter| **voter == *name)
            .filter(|place| *place < VOTERS_MOST)
    }

    /// Whether a claimant has the same voters in its file; else nothing is granted to it, as two majorities of
    /// different voters need not share one.
    fn agrees(&mut self, sender: &Rc<str>, voters: u32) -> bool {
        let same = voters == self.fingerprint;
        if !same && !self.differ.contains(sender) && self.differ.len() < DUTIES_MOST {
            self.differ.push(Rc::clone(sender));
            self.events.push(DutyEvent::VotersDiffer(Rc::clone(sender)));
        }
        same
    }

    fn told(&mut self, now: Micros, place: usize, round: u32, told: &[Told]) {
        let majority = self.terms.majority();
        let voters = self.terms.voters.len() as u32;
        let (mut claims, mut heard) = (Vec::new(), false);
        for told in told {
            let Some(wanted) = self.wanted.get_mut(&told.duty) else {
                continue;
            };
            wanted.hears_of(told);
            let Tenure::Asking(asked) = &mut wanted.tenure else {
                continue;
            };
            if asked.round != round {
                continue;
            }
            asked.told(place, Micros::from(told.left));
            heard |= asked.heard.count_ones() >= majority;
            if asked.free.count_ones() >= majority {
                claims.push(told.duty);
            } else if asked.free.count_ones() + voters - asked.heard.count_ones() < majority {
                // Held, whatever the rest says: asked again when enough grants have run out.
                let wait = asked.free_in(majority).max(STEP);
                wanted.backing_off = 0;
                wanted.wait(now, wait);
            }
        }
        if heard {
            self.answered(true);
        }
        if self.stopping {
            return;
        }
        self.claim(now, &claims);
    }

    fn granted(
        &mut self,
        now: Micros,
        place: usize,
        round: u32,
        granted: &[(DutyId, u64)],
        refused: &[Told],
    ) {
        let Some(&sent) = self.sent.get(&round) else {
            return;
        };
        let majority = self.terms.majority();
        let counted = if self.planted == Some(Planted::CountsFromGrant) {
            now
        } else {
            sent
        };
        let until = counted + self.terms.lease;
        for &(duty, number) in granted {
            let Some(wanted) = self.wanted.get_mut(&duty) else {
                continue;
            };
            match &mut wanted.tenure {
                Tenure::Claiming(claimed)
                    if (claimed.round, claimed.term.number) == (round, number) =>
                {
                    claimed.granted |= 1 << place;
                    if claimed.granted.count_ones() >= majority && until > now {
                        let term = claimed.term;
                        wanted.backing_off = 0;
                        wanted.tenure = Tenure::Holding(Held::new(term, now, until));
                        let duty_name = Rc::clone(&wanted.duty.name);
                        self.fence.learn(duty, term);
                        self.events.push(DutyEvent::Taken {
                            duty: duty_name,
                            term,
                            until,
                        });
                        // All hear who it is; an act of nothing that makes older ones void.
                        let others = self.planned.1.iter().filter(|place| place.name != self.me);
                        let body = Vec::new();
                        self.out.extend(others.map(|place| {
                            (
                                Rc::clone(&place.name),
                                DutyFrame::Act {
                                    duty,
                                    term,
                                    body: body.clone(),
                                },
                            )
                        }));
                        self.renews_at = self.renews_at.min(sent + self.terms.lease / RENEWALS);
                    }
                }
                // A renewal that comes when the lease has run out comes too late, whatever it would give.
                Tenure::Holding(held) if held.term.number == number && now < held.until => {
                    let granted = held.grants(round, place);
                    if granted >= majority {
                        held.until = held.until.max(until);
                    }
                }
                _ => {}
            }
        }
        let mut given_up = Vec::new();
        for told in refused {
            let Some(wanted) = self.wanted.get_mut(&told.duty) else {
                continue;
            };
            wanted.hears_of(told);
            if let Tenure::Claiming(claimed) = &mut wanted.tenure
                && claimed.round == round
            {
                claimed.refused |= 1 << place;
                let open = self.terms.voters.len() as u32 - claimed.refused.count_ones();
                if open < majority {
                    given_up.push((told.duty, claimed.term.number));
                    let wait = Micros::from(told.left).clamp(STEP, LEASE_MOST);
                    wanted.wait(now, wait);
                }
            }
        }
        self.release(now, &given_up);
    }
}
