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

pub mod assignment;
pub mod fencing;
pub mod messages;
pub mod state;
pub mod term;
pub mod voter;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::Micros;
use assignment::{Candidate, assign};
use fencing::FencingTokens;
use messages::{LeaseMessage, MAX_BODY_BYTES, MAX_LEASES_PER_MESSAGE};
use state::{Bid, Held, LeaseState, Query};
use term::{LeaseId, Term};
use voter::{GrantStatus, Voter};

#[cfg(test)]
mod tests;

/// The most by which the rates of any two clocks may differ, as a part: 1 % off the true one each, to either side, with
/// room for rounding.
pub const MAX_CLOCK_RATE_DIFFERENCE: f64 = 0.025;
/// The longest lease that a file may name; a voter that starts is silent for as long.
pub const MAX_LEASE_US: Micros = 2_000_000;
pub const MIN_LEASE_US: Micros = 200_000;
pub const DEFAULT_LEASE_US: Micros = 1_500_000;
/// Voters at most.
pub const MAX_VOTERS: usize = 7;
/// Duties at most.
pub const MAX_LEASES: usize = 4_096;
/// Renewals in one lease: two may be lost.
const RENEWALS_PER_LEASE: u64 = 3;
/// How long a round of voters may take before what is missing counts as not said.
const ROUND_TIMEOUT: Micros = 250_000;
/// Between those who ask for one duty by their rank, so that they don't claim at once.
const RANK_DELAY: Micros = 60_000;
/// First and longest wait after voters did not answer.
const BACK_OFF: (Micros, Micros) = (200_000, 4_000_000);
/// How long one that lost or let go a duty leaves it to others. With [`plan::RANKS`] members that ask, a duty changes
/// hands that many times in this span at most.
const REST_AFTER_LOSS: Micros = 10_000_000;
/// A better placed member must be there for so long, and one's own turn as old, before it is handed on by free will;
/// then one every so often.
const MIN_HOLD_BEFORE_TRANSFER: Micros = 10_000_000;
const TRANSFER_INTERVAL: Micros = 500_000;
/// The plan is made anew so often at most.
const REASSIGN_INTERVAL: Micros = 300_000;
/// Pauses of its own after which a member lets all go, within this span, and for how long it then takes none.
const PAUSES: (usize, Micros) = (3, 30_000_000);

/// A span counted so that it covers a span of the same length by any clock within the bound.
pub fn with_clock_margin(span: Micros) -> Micros {
    span + (span as f64 * MAX_CLOCK_RATE_DIFFERENCE).ceil() as Micros
}

/// Faults planted by tests. Nothing else ever sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// The lease counts from the grant, not from the asking.
    CountsFromGrant,
    /// A voter grants at once after it lost its memory.
    NoStartupSilence,
    /// Voters count no longer than holders.
    NoClockMargin,
    /// A term is told from another by its number alone.
    EqualTermNumbersGranted,
    /// A release frees the duty whatever its term.
    ReleaseOfAnyTerm,
    /// Acts of older config are taken.
    NoFencing,
}

impl InjectedFault {
    pub const ALL: [(&str, Self); 6] = [
        ("counts-from-grant", Self::CountsFromGrant),
        ("no-silence", Self::NoStartupSilence),
        ("no-guard", Self::NoClockMargin),
        ("equal-config-twice", Self::EqualTermNumbersGranted),
        ("release-replayed", Self::ReleaseOfAnyTerm),
        ("no-fence", Self::NoFencing),
    ];
}

/// A duty by name; near a zone where it names one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    pub id: LeaseId,
    pub name: Rc<str>,
    pub zone: Option<Rc<str>>,
}

impl Lease {
    pub fn new(name: &str, zone: Option<Rc<str>>) -> Self {
        Self {
            id: LeaseId::of(name),
            name: name.into(),
            zone,
        }
    }
}

/// How duties are held in a fleet; the same in all files.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// 1, 3, 5 or 7 members, by name.
    pub voters: Vec<Rc<str>>,
    pub duration: Micros,
}

impl LeaseConfig {
    /// By what voters tell that a claimant has the same voters in its file.
    fn fingerprint(&self) -> u32 {
        let mut names: Vec<_> = self.voters.iter().map(|name| &**name).collect();
        names.sort_unstable();
        LeaseId::of(&names.join("\n")).0
    }

    fn majority(&self) -> u32 {
        self.voters.len() as u32 / 2 + 1
    }
}

/// Why a duty is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// Its lease ran out: no majority renewed it in time, or the process was not run.
    Expired,
    /// Let go in order: told to stop, or another is better placed.
    Released,
    /// This process was stopped too often to be trusted with it.
    ProcessPaused,
    /// Somebody knows a later term.
    Superseded,
}

impl LossReason {
    pub fn word(self) -> &'static str {
        match self {
            Self::Expired => "ran_out",
            Self::Released => "let_go",
            Self::ProcessPaused => "pauses",
            Self::Superseded => "later",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    Acquired {
        lease: Rc<str>,
        term: Term,
        until: Micros,
    },
    /// Held up to that moment at the latest.
    Lost {
        lease: Rc<str>,
        term: Term,
        until: Micros,
        reason: LossReason,
    },
    /// No majority of voters answers; each does for itself what it would do without duties.
    QuorumLost,
    QuorumRestored,
    /// A member has other voters in its file.
    VotersDiffer(Rc<str>),
    /// An act to be done as its receiver sees fit: its term is the greatest known of that duty.
    CommandReceived {
        from: Rc<str>,
        lease: LeaseId,
        term: Term,
        body: Vec<u8>,
    },
    /// Said about a duty by one who need not hold it.
    NoteReceived {
        from: Rc<str>,
        lease: LeaseId,
        body: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TrackedLease {
    pub lease: Lease,
    pub state: LeaseState,
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

impl TrackedLease {
    /// It is not held any more; whoever stands by goes first for a while, where anybody does.
    fn rest(&mut self, now: Micros) {
        self.rests_until = if self.order.len() > 1 {
            now + REST_AFTER_LOSS
        } else {
            now
        };
        self.state = LeaseState::Idle {
            next: self.rests_until,
        };
    }

    /// Asks again after that and its turn by rank.
    fn wait(&mut self, now: Micros, wait: Micros) {
        let rank = self.rank.unwrap_or(assignment::CANDIDATES_PER_LEASE) as Micros;
        self.state = LeaseState::Idle {
            next: now + wait + rank * RANK_DELAY,
        };
    }

    /// A voter told its greatest term: a number to go beyond, no more, as who was granted that term there need not have
    /// held the duty.
    fn observe_number(&mut self, told: &GrantStatus) {
        self.number = self.number.max(told.term.map_or(0, |term| term.number));
    }
}

/// One member's part in who does what.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    config: LeaseConfig,
    /// Of the voters, as it goes with each ask and claim.
    fingerprint: u32,
    own_name: Rc<str>,
    incarnation: u64,
    /// Unix milliseconds at local time 0, by its own clock.
    wall_clock_offset_ms: u64,
    voter: Option<Voter>,
    pub(crate) tracked: BTreeMap<LeaseId, TrackedLease>,
    fencing_tokens: FencingTokens,
    round: u32,
    /// When each of the last rounds was sent.
    sent: BTreeMap<u32, Micros>,
    renews_at: Micros,
    assigned: (Micros, Vec<Candidate>),
    moves_at: Micros,
    pauses: VecDeque<Micros>,
    rests_until: Micros,
    stopping: bool,
    /// Numbers that an earlier one of this process may have used.
    numbers_from: u64,
    majority_missing: bool,
    /// Rounds in a row that no majority answered.
    unanswered: u32,
    differing_members: Vec<Rc<str>>,
    pub old_commands_refused: u64,
    out: Vec<(Rc<str>, LeaseMessage)>,
    events: Vec<LeaseEvent>,
    injected_fault: Option<InjectedFault>,
}

impl Leases {
    /// `wall` is Unix milliseconds at local time 0: what a fleet that forgot all config begins with.
    pub fn new(
        now: Micros,
        config: LeaseConfig,
        own_name: Rc<str>,
        incarnation: u64,
        wall_clock_offset_ms: u64,
    ) -> Self {
        Self::injected_fault(
            now,
            config,
            own_name,
            incarnation,
            wall_clock_offset_ms,
            None,
        )
    }

    pub fn injected_fault(
        now: Micros,
        config: LeaseConfig,
        own_name: Rc<str>,
        incarnation: u64,
        wall_clock_offset_ms: u64,
        injected_fault: Option<InjectedFault>,
    ) -> Self {
        let voter = config
            .voters
            .contains(&own_name)
            .then(|| Voter::new(now, injected_fault));
        Self {
            fingerprint: config.fingerprint(),
            config,
            own_name,
            incarnation,
            wall_clock_offset_ms,
            voter,
            tracked: BTreeMap::new(),
            fencing_tokens: FencingTokens::new(injected_fault),
            round: 0,
            sent: BTreeMap::new(),
            renews_at: 0,
            assigned: (0, Vec::new()),
            moves_at: 0,
            pauses: VecDeque::new(),
            rests_until: 0,
            stopping: false,
            numbers_from: 0,
            majority_missing: false,
            unanswered: 0,
            differing_members: Vec::new(),
            old_commands_refused: 0,
            out: Vec::new(),
            events: Vec::new(),
            injected_fault,
        }
    }

    /// Follows one that this same process had before: answers to its rounds and its numbers must not pass for new ones.
    pub fn following(mut self, before: &Self) -> Self {
        self.round = before.round;
        self.numbers_from = before
            .tracked
            .values()
            .map(|tracked| tracked.number)
            .max()
            .unwrap_or(0);
        self.numbers_from = self.numbers_from.max(before.numbers_from);
        self
    }

    /// Whether it was told to stop, and takes nothing more.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    pub fn config(&self) -> &LeaseConfig {
        &self.config
    }

    /// The duties that this fleet has, in place of those before. What is held and no longer wanted is let go.
    pub fn track(&mut self, now: Micros, leases: Vec<Lease>) {
        let ids: Vec<LeaseId> = leases.iter().map(|lease| lease.id).collect();
        let gone: Vec<LeaseId> = self
            .tracked
            .keys()
            .filter(|id| !ids.contains(id))
            .copied()
            .collect();
        self.release(now, &gone, LossReason::Released);
        for tracked in gone.iter().filter_map(|id| self.tracked.remove(id)) {
            self.numbers_from = self.numbers_from.max(tracked.number);
        }
        for lease in leases.into_iter().take(MAX_LEASES) {
            self.tracked.entry(lease.id).or_insert(TrackedLease {
                lease,
                state: LeaseState::Idle { next: now },
                order: Vec::new(),
                rank: None,
                number: self.numbers_from,
                better_since: None,
                backing_off: 0,
                rests_until: 0,
            });
        }
        self.assigned.1.clear();
    }

    /// Whether it holds a duty now and for so long yet: asked at the act itself. Nothing else entitles to act.
    pub fn holds(&self, now: Micros, lease: LeaseId, takes: Micros) -> Option<Term> {
        match &self.tracked.get(&lease)?.state {
            LeaseState::Held(held) if now + takes < held.until => Some(held.term),
            _ => None,
        }
    }

    /// The greatest term known of a duty, whoever has it.
    pub fn known(&self, lease: LeaseId) -> Option<Term> {
        self.fencing_tokens.known(lease)
    }

    pub fn has_majority(&self) -> bool {
        !self.majority_missing
    }

    /// Duties with their config held at that moment: name, term, since when and until when.
    pub fn held(&self, now: Micros) -> impl Iterator<Item = (&Lease, Term, Micros, Micros)> {
        self.tracked
            .values()
            .filter_map(move |tracked| match &tracked.state {
                LeaseState::Held(held) if now < held.until => {
                    Some((&tracked.lease, held.term, held.from, held.until))
                }
                _ => None,
            })
    }

    /// All that was taken and not said to be lost, run out or not: up to when each was held at the latest.
    pub fn open(&self) -> impl Iterator<Item = (&Lease, Term, Micros)> {
        self.tracked
            .values()
            .filter_map(|tracked| match &tracked.state {
                LeaseState::Held(held) => Some((&tracked.lease, held.term, held.until)),
                _ => None,
            })
    }

    pub fn tracked(&self) -> impl Iterator<Item = &Lease> {
        self.tracked.values().map(|tracked| &tracked.lease)
    }

    /// Whether this member is a voter that keeps silent, as it has just started.
    pub fn is_silent_voter(&self, now: Micros) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|voter| voter.is_silent(now))
    }

    pub fn take_messages(&mut self) -> Vec<(Rc<str>, LeaseMessage)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// Sends an act in a duty's name to a member, if it is held now and for as long as sending may take.
    pub fn send_command(
        &mut self,
        now: Micros,
        lease: LeaseId,
        to: &Rc<str>,
        takes: Micros,
        body: Vec<u8>,
    ) -> bool {
        let Some(term) = self
            .holds(now, lease, takes)
            .filter(|_| body.len() <= MAX_BODY_BYTES)
        else {
            return false;
        };
        self.out
            .push((Rc::clone(to), LeaseMessage::Command { lease, term, body }));
        true
    }

    /// Says something about a duty to a member, held or not.
    pub fn say(&mut self, lease: LeaseId, to: &Rc<str>, body: Vec<u8>) {
        if body.len() <= MAX_BODY_BYTES {
            self.out
                .push((Rc::clone(to), LeaseMessage::Note { lease, body }));
        }
    }

    /// Told to stop: lets all go and takes nothing more.
    pub fn stop(&mut self, now: Micros) {
        self.stopping = true;
        self.release_all(now, LossReason::Released);
    }

    fn release_all(&mut self, now: Micros, reason: LossReason) {
        let all: Vec<LeaseId> = self.tracked.keys().copied().collect();
        self.release(now, &all, reason);
    }

    /// This process was not run for a while. What ran out meanwhile is lost; one that is stopped again and again lets
    /// all go by itself.
    pub fn paused(&mut self, now: Micros) {
        self.expire_held(now);
        self.pauses.push_back(now);
        while self.pauses.front().is_some_and(|at| at + PAUSES.1 < now) {
            self.pauses.pop_front();
        }
        if self.pauses.len() >= PAUSES.0 {
            self.pauses.clear();
            self.rests_until = now + PAUSES.1;
            self.release_all(now, LossReason::ProcessPaused);
        }
    }

    /// When [`Duties::due`] is to be called at the latest.
    pub fn next_due(&self) -> Micros {
        let of = |tracked: &TrackedLease| match &tracked.state {
            LeaseState::Idle { next } if tracked.rank.is_some() => Some(*next),
            LeaseState::Idle { .. } => None,
            LeaseState::Querying(query) => Some(query.since + ROUND_TIMEOUT),
            LeaseState::Bidding(bid) => Some(bid.since + ROUND_TIMEOUT),
            LeaseState::Held(held) => Some(held.until.min(self.renews_at)),
        };
        let first = self.tracked.values().filter_map(of).min();
        let assignments = if self.tracked.is_empty() {
            Micros::MAX
        } else {
            self.assigned.0 + REASSIGN_INTERVAL
        };
        first.unwrap_or(Micros::MAX).min(assignments)
    }

    /// Does what has fallen due. `present` are all members that nobody doubts, this one with them; one that is not `fit`
    /// (not heard since it slept) asks for nothing.
    pub fn due(&mut self, now: Micros, alive: &[Candidate], fit: bool) {
        self.expire_held(now);
        self.reassign(now, alive);
        self.expire_rounds(now);
        if fit && !self.stopping && now >= self.rests_until {
            self.ask(now);
        }
        if now >= self.renews_at {
            self.renew(now);
        }
        self.transfer_one(now);
    }

    fn expire_held(&mut self, now: Micros) {
        let mut lost = Vec::new();
        for tracked in self.tracked.values_mut() {
            if let LeaseState::Held(held) = &tracked.state
                && now >= held.until
            {
                let (term, until) = (held.term, held.until);
                lost.push(LeaseEvent::Lost {
                    lease: Rc::clone(&tracked.lease.name),
                    term,
                    until,
                    reason: LossReason::Expired,
                });
                tracked.rest(now);
            }
        }
        self.events.extend(lost);
    }

    fn reassign(&mut self, now: Micros, alive: &[Candidate]) {
        if now < self.assigned.0 + REASSIGN_INTERVAL && !self.assigned.1.is_empty() {
            return;
        }
        self.assigned.0 = now;
        let mut members = alive.to_vec();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        if members == self.assigned.1 {
            return;
        }
        let leases: Vec<Lease> = self
            .tracked
            .values()
            .map(|tracked| tracked.lease.clone())
            .collect();
        for (tracked, order) in self.tracked.values_mut().zip(assign(&leases, &members)) {
            tracked.order = order
                .into_iter()
                .map(|index| Rc::clone(&members[index].name))
                .collect();
            let rank = tracked.order.iter().position(|name| *name == self.own_name);
            // Who has moved up need not wait for what it would have waited for before.
            let up = rank.is_some_and(|rank| tracked.rank.is_none_or(|before| rank < before));
            if let (LeaseState::Idle { next }, true) = (&mut tracked.state, up) {
                *next = (*next)
                    .min(now + rank.unwrap_or(0) as Micros * RANK_DELAY)
                    .max(tracked.rests_until);
            }
            tracked.rank = rank;
            tracked.better_since = if rank == Some(0) {
                None
            } else {
                tracked.better_since.or(Some(now))
            };
        }
        self.assigned.1 = members;
    }

    fn next_round(&mut self, now: Micros) -> u32 {
        self.round = self.round.wrapping_add(1);
        self.sent.insert(self.round, now);
        // What is older than a lease can give nothing any more.
        self.sent.retain(|_, sent| *sent + MAX_LEASE_US >= now);
        self.round
    }

    /// Says the same to all voters, and hears itself at once where it is one.
    fn send_to_voters(&mut self, now: Micros, message: &LeaseMessage) {
        let others = self
            .config
            .voters
            .iter()
            .filter(|voter| **voter != self.own_name);
        self.out
            .extend(others.map(|voter| (Rc::clone(voter), message.clone())));
        if self.voter.is_some() {
            let own_name = Rc::clone(&self.own_name);
            self.receive(now, &own_name, self.incarnation, message);
        }
    }

    fn reply(&mut self, now: Micros, to: &Rc<str>, message: LeaseMessage) {
        if *to == self.own_name {
            let own_name = Rc::clone(&self.own_name);
            self.receive(now, &own_name, self.incarnation, &message);
        } else {
            self.out.push((Rc::clone(to), message));
        }
    }

    fn ask(&mut self, now: Micros) {
        let due = |tracked: &&mut TrackedLease| {
            tracked.rank.is_some()
                && matches!(tracked.state, LeaseState::Idle { next } if next <= now)
        };
        let ids: Vec<LeaseId> = self
            .tracked
            .values_mut()
            .filter(due)
            .map(|tracked| tracked.lease.id)
            .collect();
        for leases in ids.chunks(MAX_LEASES_PER_MESSAGE) {
            let round = self.next_round(now);
            for id in leases {
                if let Some(tracked) = self.tracked.get_mut(id) {
                    tracked.state = LeaseState::Querying(Query::new(round, now));
                }
            }
            let voters = self.fingerprint;
            self.send_to_voters(
                now,
                &LeaseMessage::Query {
                    round,
                    voters,
                    leases: leases.to_vec(),
                },
            );
        }
    }

    fn bid(&mut self, now: Micros, ids: &[LeaseId]) {
        let floor = self.wall_clock_offset_ms + now / 1_000;
        for ids in ids.chunks(MAX_LEASES_PER_MESSAGE) {
            let round = self.next_round(now);
            let mut bids = Vec::new();
            for id in ids {
                let known = self.fencing_tokens.known(*id).map_or(0, |term| term.number);
                let Some(tracked) = self.tracked.get_mut(id) else {
                    continue;
                };
                tracked.number = tracked.number.max(known).saturating_add(1).max(floor);
                let term = Term {
                    number: tracked.number,
                    incarnation: self.incarnation,
                };
                tracked.state = LeaseState::Bidding(Bid::new(term, round, now));
                bids.push((*id, term.number));
            }
            self.send_claims(now, round, bids);
        }
    }

    fn renew(&mut self, now: Micros) {
        self.renews_at = now + self.config.duration / RENEWALS_PER_LEASE;
        let holding = |tracked: &&TrackedLease| matches!(tracked.state, LeaseState::Held(_));
        let ids: Vec<LeaseId> = self
            .tracked
            .values()
            .filter(holding)
            .map(|tracked| tracked.lease.id)
            .collect();
        for ids in ids.chunks(MAX_LEASES_PER_MESSAGE) {
            let round = self.next_round(now);
            let mut bids = Vec::new();
            for id in ids {
                if let Some(LeaseState::Held(held)) =
                    self.tracked.get_mut(id).map(|tracked| &mut tracked.state)
                {
                    held.begin_round(round);
                    bids.push((*id, held.term.number));
                }
            }
            self.send_claims(now, round, bids);
        }
    }

    fn send_claims(&mut self, now: Micros, round: u32, bids: Vec<(LeaseId, u64)>) {
        let (voters, duration_us) = (self.fingerprint, self.config.duration as u32);
        self.send_to_voters(
            now,
            &LeaseMessage::Bid {
                round,
                voters,
                duration_us,
                bids,
            },
        );
    }

    /// Judges rounds that have waited long enough.
    fn expire_rounds(&mut self, now: Micros) {
        let majority = self.config.majority();
        let mut given_up = Vec::new();
        let mut missed = false;
        for tracked in self.tracked.values_mut() {
            match &tracked.state {
                LeaseState::Querying(query) if now >= query.since + ROUND_TIMEOUT => {
                    let heard = query.heard.count_ones() >= majority;
                    missed |= !heard;
                    tracked.backing_off = match heard {
                        true => 0,
                        false => (tracked.backing_off * 2).clamp(BACK_OFF.0, BACK_OFF.1),
                    };
                    let wait = if heard {
                        query.available_in(majority).max(RANK_DELAY)
                    } else {
                        tracked.backing_off
                    };
                    tracked.wait(now, wait);
                }
                LeaseState::Bidding(bid) if now >= bid.since + ROUND_TIMEOUT => {
                    given_up.push((tracked.lease.id, bid.term.number));
                    tracked.backing_off = (tracked.backing_off * 2).clamp(BACK_OFF.0, BACK_OFF.1);
                    tracked.wait(now, tracked.backing_off);
                }
                _ => {}
            }
        }
        if missed {
            self.answered(false);
        }
        self.send_release(now, &given_up);
    }

    /// Keeps whether a majority of voters is there, and says when that changes.
    fn answered(&mut self, majority: bool) {
        self.unanswered = if majority { 0 } else { self.unanswered + 1 };
        let missing = self.unanswered >= 2;
        if missing != self.majority_missing {
            self.majority_missing = missing;
            self.events.push(if missing {
                LeaseEvent::QuorumLost
            } else {
                LeaseEvent::QuorumRestored
            });
        }
    }

    fn send_release(&mut self, now: Micros, terms: &[(LeaseId, u64)]) {
        for terms in terms.chunks(MAX_LEASES_PER_MESSAGE) {
            self.send_to_voters(
                now,
                &LeaseMessage::Release {
                    terms: terms.to_vec(),
                },
            );
        }
    }

    /// Lets go of what is held or claimed of these, and tells the next in the order.
    fn release(&mut self, now: Micros, ids: &[LeaseId], reason: LossReason) {
        let (mut terms, mut next): (Vec<_>, BTreeMap<Rc<str>, Vec<LeaseId>>) =
            (Vec::new(), BTreeMap::new());
        for id in ids {
            let Some(tracked) = self.tracked.get_mut(id) else {
                continue;
            };
            let before = tracked.state.clone();
            tracked.rest(now);
            match before {
                LeaseState::Held(held) => {
                    let lease = Rc::clone(&tracked.lease.name);
                    self.events.push(LeaseEvent::Lost {
                        lease,
                        term: held.term,
                        until: held.until.min(now),
                        reason,
                    });
                    terms.push((*id, held.term.number));
                    if let Some(other) = tracked.order.iter().find(|name| **name != self.own_name) {
                        next.entry(Rc::clone(other)).or_default().push(*id);
                    }
                }
                LeaseState::Bidding(bid) => terms.push((*id, bid.term.number)),
                LeaseState::Idle { .. } | LeaseState::Querying(_) => {}
            }
        }
        self.send_release(now, &terms);
        for (name, leases) in next {
            for leases in leases.chunks(MAX_LEASES_PER_MESSAGE) {
                self.out.push((
                    Rc::clone(&name),
                    LeaseMessage::Vacated {
                        leases: leases.to_vec(),
                    },
                ));
            }
        }
    }

    /// Hands one duty on to a member that has been better placed for long.
    fn transfer_one(&mut self, now: Micros) {
        if now < self.moves_at {
            return;
        }
        let old = |since: Micros| since + MIN_HOLD_BEFORE_TRANSFER <= now;
        let fits = |tracked: &&TrackedLease| match &tracked.state {
            LeaseState::Held(held) => {
                old(held.from) && tracked.better_since.is_some_and(old) && !tracked.order.is_empty()
            }
            _ => false,
        };
        let one = self
            .tracked
            .values()
            .find(fits)
            .map(|tracked| tracked.lease.id);
        if let Some(id) = one {
            self.moves_at = now + TRANSFER_INTERVAL;
            self.release(now, &[id], LossReason::Released);
        }
    }

    /// Somebody has held the duty by a later term: whoever holds an earlier one has lost it.
    fn learn(&mut self, now: Micros, lease: LeaseId, term: Term) {
        self.fencing_tokens.learn(lease, term);
        let Some(tracked) = self.tracked.get_mut(&lease) else {
            return;
        };
        tracked.number = tracked.number.max(term.number);
        if matches!(&tracked.state, LeaseState::Held(held) if held.term < term) {
            self.release(now, &[lease], LossReason::Superseded);
        }
    }

    /// A frame came from a member, of the life with that chance.
    pub fn receive(
        &mut self,
        now: Micros,
        sender: &Rc<str>,
        incarnation: u64,
        message: &LeaseMessage,
    ) {
        match message {
            LeaseMessage::Query {
                round,
                voters,
                leases,
            } => {
                if self.has_same_voters(sender, *voters)
                    && let Some(voter) = &self.voter
                {
                    let told = leases
                        .iter()
                        .take(MAX_LEASES_PER_MESSAGE)
                        .map(|lease| voter.told(now, *lease))
                        .collect();
                    self.reply(
                        now,
                        sender,
                        LeaseMessage::QueryReply {
                            round: *round,
                            told,
                        },
                    );
                }
            }
            LeaseMessage::Bid {
                round,
                voters,
                duration_us,
                bids,
            } => {
                if !self.has_same_voters(sender, *voters) {
                    return;
                }
                let Some(voter) = &mut self.voter else { return };
                let (mut granted, mut refused) = (Vec::new(), Vec::new());
                for &(lease, number) in bids.iter().take(MAX_LEASES_PER_MESSAGE) {
                    match voter.bid(
                        now,
                        lease,
                        Term {
                            number,
                            incarnation,
                        },
                        Micros::from(*duration_us),
                    ) {
                        Ok(()) => granted.push((lease, number)),
                        Err(told) => refused.push(told),
                    }
                }
                self.reply(
                    now,
                    sender,
                    LeaseMessage::BidReply {
                        round: *round,
                        granted,
                        refused,
                    },
                );
            }
            LeaseMessage::Release { terms } => {
                if let Some(voter) = &mut self.voter {
                    for &(lease, number) in terms.iter().take(MAX_LEASES_PER_MESSAGE) {
                        voter.release(
                            now,
                            lease,
                            Term {
                                number,
                                incarnation,
                            },
                        );
                    }
                }
            }
            LeaseMessage::QueryReply { round, told } => {
                if let Some(index) = self.voter_place(sender) {
                    self.told(now, index, *round, told);
                }
            }
            LeaseMessage::BidReply {
                round,
                granted,
                refused,
            } => {
                if let Some(index) = self.voter_place(sender) {
                    self.granted(now, index, *round, granted, refused);
                }
            }
            LeaseMessage::Vacated { leases } => {
                for id in leases.iter().take(MAX_LEASES_PER_MESSAGE) {
                    let Some(tracked) = self.tracked.get_mut(id) else {
                        continue;
                    };
                    if let LeaseState::Idle { next } = &mut tracked.state {
                        *next = now.max(tracked.rests_until);
                    }
                }
            }
            LeaseMessage::Command { lease, term, body } => {
                match self.fencing_tokens.take(*lease, *term) {
                    Ok(()) => {
                        self.learn(now, *lease, *term);
                        let (from, body) = (Rc::clone(sender), body.clone());
                        self.events.push(LeaseEvent::CommandReceived {
                            from,
                            lease: *lease,
                            term: *term,
                            body,
                        });
                    }
                    Err(known) => {
                        self.old_commands_refused += 1;
                        self.out.push((
                            Rc::clone(sender),
                            LeaseMessage::StaleTerm {
                                lease: *lease,
                                term: known,
                            },
                        ));
                    }
                }
            }
            LeaseMessage::Note { lease, body } => {
                let (from, body) = (Rc::clone(sender), body.clone());
                self.events.push(LeaseEvent::NoteReceived {
                    from,
                    lease: *lease,
                    body,
                });
            }
            LeaseMessage::StaleTerm { lease, term } => self.learn(now, *lease, *term),
        }
    }

    fn voter_place(&self, name: &str) -> Option<usize> {
        self.config
            .voters
            .iter()
            .position(|voter| **voter == *name)
            .filter(|index| *index < MAX_VOTERS)
    }

    /// Whether a claimant has the same voters in its file; else nothing is granted to it, as two majorities of
    /// different voters need not share one.
    fn has_same_voters(&mut self, sender: &Rc<str>, voters: u32) -> bool {
        let same = voters == self.fingerprint;
        if !same
            && !self.differing_members.contains(sender)
            && self.differing_members.len() < MAX_LEASES
        {
            self.differing_members.push(Rc::clone(sender));
            self.events
                .push(LeaseEvent::VotersDiffer(Rc::clone(sender)));
        }
        same
    }

    fn told(&mut self, now: Micros, index: usize, round: u32, told: &[GrantStatus]) {
        let majority = self.config.majority();
        let voters = self.config.voters.len() as u32;
        let (mut bids, mut heard) = (Vec::new(), false);
        for told in told {
            let Some(tracked) = self.tracked.get_mut(&told.lease) else {
                continue;
            };
            tracked.observe_number(told);
            let LeaseState::Querying(query) = &mut tracked.state else {
                continue;
            };
            if query.round != round {
                continue;
            }
            query.told(index, Micros::from(told.left));
            heard |= query.heard.count_ones() >= majority;
            if query.available.count_ones() >= majority {
                bids.push(told.lease);
            } else if query.available.count_ones() + voters - query.heard.count_ones() < majority {
                // Held, whatever the rest says: asked again when enough grants have run out.
                let wait = query.available_in(majority).max(RANK_DELAY);
                tracked.backing_off = 0;
                tracked.wait(now, wait);
            }
        }
        if heard {
            self.answered(true);
        }
        if self.stopping {
            return;
        }
        self.bid(now, &bids);
    }

    fn granted(
        &mut self,
        now: Micros,
        index: usize,
        round: u32,
        granted: &[(LeaseId, u64)],
        refused: &[GrantStatus],
    ) {
        let Some(&sent) = self.sent.get(&round) else {
            return;
        };
        let majority = self.config.majority();
        let counted = if self.injected_fault == Some(InjectedFault::CountsFromGrant) {
            now
        } else {
            sent
        };
        let until = counted + self.config.duration;
        for &(lease, number) in granted {
            let Some(tracked) = self.tracked.get_mut(&lease) else {
                continue;
            };
            match &mut tracked.state {
                LeaseState::Bidding(bid) if (bid.round, bid.term.number) == (round, number) => {
                    bid.granted |= 1 << index;
                    if bid.granted.count_ones() >= majority && until > now {
                        let term = bid.term;
                        tracked.backing_off = 0;
                        tracked.state = LeaseState::Held(Held::new(term, now, until));
                        let name = Rc::clone(&tracked.lease.name);
                        self.fencing_tokens.learn(lease, term);
                        self.events.push(LeaseEvent::Acquired {
                            lease: name,
                            term,
                            until,
                        });
                        // All hear who it is; an act of nothing that makes older ones void.
                        let others = self
                            .assigned
                            .1
                            .iter()
                            .filter(|index| index.name != self.own_name);
                        let body = Vec::new();
                        self.out.extend(others.map(|index| {
                            (
                                Rc::clone(&index.name),
                                LeaseMessage::Command {
                                    lease,
                                    term,
                                    body: body.clone(),
                                },
                            )
                        }));
                        self.renews_at = self
                            .renews_at
                            .min(sent + self.config.duration / RENEWALS_PER_LEASE);
                    }
                }
                // A renewal that comes when the lease has run out comes too late, whatever it would give.
                LeaseState::Held(held) if held.term.number == number && now < held.until => {
                    let granted = held.grants(round, index);
                    if granted >= majority {
                        held.until = held.until.max(until);
                    }
                }
                _ => {}
            }
        }
        let mut given_up = Vec::new();
        for told in refused {
            let Some(tracked) = self.tracked.get_mut(&told.lease) else {
                continue;
            };
            tracked.observe_number(told);
            if let LeaseState::Bidding(bid) = &mut tracked.state
                && bid.round == round
            {
                bid.refused |= 1 << index;
                let open = self.config.voters.len() as u32 - bid.refused.count_ones();
                if open < majority {
                    given_up.push((told.lease, bid.term.number));
                    let wait = Micros::from(told.left).clamp(RANK_DELAY, MAX_LEASE_US);
                    tracked.wait(now, wait);
                }
            }
        }
        self.send_release(now, &given_up);
    }
}
