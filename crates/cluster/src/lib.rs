//! What balancers agree on. At the bottom stands membership: who is there, and what can't be known of who is not heard.
//! No I/O, no clock, no thread: [`Accord`] is told datagrams and times and gives datagrams, one next deadline and
//! events. The same events and seed give the same datagrams to the byte. Times are whole microseconds of any clock
//! that never goes back and goes on while the process is stopped.

pub mod duties;
pub mod envelope;
pub mod frames;
pub mod membership;
pub mod roster;
mod timers;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use nanorand::{Rng, WyRand};

use duties::plan::Place;
use duties::term::DutyId;
use duties::{Duties, Duty, DutyEvent, DutyTerms};
use envelope::{Counters, DATAGRAM_MOST, Drop, Key, Letter, Life};
use frames::{Frame, NAME_MOST, Record, State};
use membership::probing::{Probe, Probing};
use membership::spread::Spread;
use membership::table::{Event, MEMBERS_MOST, Member, Merged, Table, own_record};
use timers::{Due, Timers};

#[cfg(test)]
mod tests;

/// Microseconds.
pub type Micros = u64;

/// Late by more than this, a process was stopped or starved, and what it waited for may lie in its socket.
const SLEPT: Micros = 300_000;
/// Members that are asked to probe for us.
const ASKED: usize = 3;
/// How often news is sent where there is any, and to how many.
const NEWS_EVERY: Micros = 100_000;
const NEWS_TO: usize = 3;
/// How often a part of the table goes to somebody, so that what was lost on all ways arrives some day.
const SWAP_EVERY: Micros = 1_000_000;
/// How often seeds are asked while nobody is known, and else while one of them is not among the members.
const SEEDS_ALONE: Micros = 300_000;
const SEEDS_EVERY: Micros = 2_000_000;
/// How often somebody who is gone is probed: halves that were cut apart find each other by it.
const GONE_EVERY: Micros = 500_000;
/// Parts of the table that go to one who is new or came back, at once.
const PARTS_AT_ONCE: usize = 8;
/// A doubt's longest span over its shortest: several doubters bring it from the one to the other.
const DOUBT_RANGE: f64 = 3.0;
const DOUBTERS: f64 = 3.0;
/// How often at most one name is answered that comes back with an incarnation of before.
const OLD_EVERY: Micros = 500_000;
/// Leaving is told to so many at once; one that hears it tells it on.
const LEAVE_TO: usize = 12;
/// How long one whose name is taken keeps quiet.
const QUIET: Micros = 30_000_000;

/// How this process takes part.
#[derive(Clone, Debug)]
pub struct Part {
    pub fleet: String,
    pub name: String,
    pub zone: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Where others may be at the start.
    pub seeds: Vec<SocketAddr>,
    /// Unix time of the start, as far as is known.
    pub born: u64,
    /// How often one member is probed.
    pub probe_every: Micros,
    /// Within what a member answers, there and back.
    pub answer_within: Micros,
    /// The shortest span in which a doubt may be refuted.
    pub doubt_least: Micros,
    /// Processes, by name and life, that have ended by the operators' word.
    pub struck: BTreeSet<(Rc<str>, Life)>,
}

impl Part {
    /// Spans for members that reach one another within some tens of milliseconds.
    pub const PROBE_EVERY: Micros = 400_000;
    pub const ANSWER_WITHIN: Micros = 100_000;
    pub const DOUBT_LEAST: Micros = 800_000;
}

/// Faults planted by tests. Without the feature `planted` nothing ever asks for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    NoRefutation,
    IncarnationGoesBack,
    SilentCountsAsGone,
    TakesReplays,
    DoubtsWithoutAsking,
    LeavesUntold,
    KeepsOldIncarnation,
    SleepUnnoticed,
}

impl Planted {
    pub const ALL: [(&str, Self); 8] = [
        ("no-refutation", Self::NoRefutation),
        ("incarnation-goes-back", Self::IncarnationGoesBack),
        ("silent-counts-as-gone", Self::SilentCountsAsGone),
        ("takes-replays", Self::TakesReplays),
        ("doubts-without-asking", Self::DoubtsWithoutAsking),
        ("leaves-untold", Self::LeavesUntold),
        ("keeps-old-incarnation", Self::KeepsOldIncarnation),
        ("sleep-unnoticed", Self::SleepUnnoticed),
    ];
}

/// What was sent and heard since the start.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub sent: u64,
    pub sent_bytes: u64,
    pub taken: u64,
    pub dropped: BTreeMap<Drop, u64>,
}

/// One process's part in what all agree on.
pub struct Accord {
    part: Part,
    key: Key,
    life: Life,
    chance: WyRand,
    pub table: Table,
    probing: Probing,
    spread: Spread,
    timers: Timers,
    counters: Counters,
    /// Local time when it began.
    began: Micros,
    counter: u64,
    out: Vec<(SocketAddr, Vec<u8>)>,
    tally: Tally,
    /// The latest time told.
    now: Micros,
    /// Doubts nobody until a probe with this number or a later one is answered.
    deaf_until: Option<u32>,
    /// How often it was stopped.
    slept: u64,
    /// Where in the table the next part to swap begins.
    cursor: usize,
    /// Its part in what only one member does at a time, where the file names voters.
    duties: Option<Duties>,
    duties_due: Micros,
    /// When names were last told that they came back with too small an incarnation.
    old_told: BTreeMap<String, Micros>,
    quiet_until: Micros,
}

impl Accord {
    pub fn new(part: Part, key: Key, seed: u64, now: Micros) -> Self {
        let mut chance = WyRand::new_seed(seed);
        let life = Life {
            born: part.born,
            chance: chance.generate::<u64>().max(1),
        };
        let own = own_record(&part.name, &part.zone, part.address, life);
        let mut table = Table::new(own);
        table.strike(part.struck.clone());
        let mut accord = Self {
            part,
            key,
            life,
            chance,
            table,
            probing: Probing::default(),
            spread: Spread::default(),
            timers: Timers::default(),
            counters: Counters::default(),
            began: now,
            counter: 0,
            out: Vec::new(),
            tally: Tally::default(),
            now,
            deaf_until: None,
            slept: 0,
            cursor: 0,
            duties: None,
            duties_due: Micros::MAX,
            old_told: BTreeMap::new(),
            quiet_until: 0,
        };
        for (span, due) in [
            (accord.part.probe_every, Due::Round),
            (NEWS_EVERY, Due::News),
            (SWAP_EVERY, Due::Swap),
            (0, Due::Seeds),
            (GONE_EVERY, Due::Gone),
        ] {
            // Processes that start together would else all speak at once.
            let scatter = accord.chance.generate_range(0..=span);
            accord.timers.hang(now + scatter, due);
        }
        accord
    }

    /// Plants a fault, to show that a check finds it.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Planted) {
        self.table.planted = Some(fault);
        self.counters.takes_replays = fault == Planted::TakesReplays;
    }

    /// Takes part in these duties from now on. A fleet has them only where its file names voters; others than before
    /// make this process a new voter, which is silent at first.
    pub fn take_duties(&mut self, now: Micros, terms: DutyTerms, duties: Vec<Duty>) {
        self.now = self.now.max(now);
        if self
            .duties
            .as_ref()
            .is_none_or(|known| *known.terms() != terms || known.is_stopping())
        {
            self.leave_duties(now);
            // Where local time began, by the time of day at the start.
            let wall = (self.part.born / 1_000).saturating_sub(self.began / 1_000);
            let me = Rc::clone(&self.table.own.name);
            let new = Duties::new(self.now, terms, me, self.life.chance, wall);
            self.duties = Some(match &self.duties {
                Some(before) => new.following(before),
                None => new,
            });
        }
        if let Some(known) = &mut self.duties {
            known.want(self.now, duties);
        }
        self.say_duties();
    }

    /// The file names no voters any more: what is held is let go.
    pub fn leave_duties(&mut self, now: Micros) {
        self.now = self.now.max(now);
        if let Some(duties) = &mut self.duties {
            duties.stop(self.now);
            duties.want(self.now, Vec::new());
        }
        self.say_duties();
    }

    pub fn duties(&self) -> Option<&Duties> {
        self.duties.as_ref()
    }

    pub fn take_duty_events(&mut self) -> Vec<DutyEvent> {
        self.duties
            .as_mut()
            .map(Duties::take_events)
            .unwrap_or_default()
    }

    /// Sends an act in a duty's name to a member, if this one holds it now and for so long yet.
    pub fn act(
        &mut self,
        now: Micros,
        duty: DutyId,
        to: &Rc<str>,
        takes: Micros,
        body: Vec<u8>,
    ) -> bool {
        self.now = self.now.max(now);
        let done = self
            .duties
            .as_mut()
            .is_some_and(|duties| duties.act(now, duty, to, takes, body));
        self.say_duties();
        done
    }

    /// Says something about a duty to a member.
    pub fn say_of(&mut self, now: Micros, duty: DutyId, to: &Rc<str>, body: Vec<u8>) {
        self.now = self.now.max(now);
        if let Some(duties) = &mut self.duties {
            duties.say(duty, to, body);
        }
        self.say_duties();
    }

    /// Does what is due of duties.
    fn turn_duties(&mut self) {
        let own = &self.table.own;
        let of = |record: &Record| Place {
            name: Rc::clone(&record.name),
            zone: Rc::clone(&record.zone),
        };
        let present: Vec<Place> = [own]
            .into_iter()
            .chain(self.table.present().map(|member| &member.record))
            .map(of)
            .collect();
        let fit = self.deaf_until.is_none() && self.now >= self.quiet_until;
        if let Some(duties) = &mut self.duties {
            duties.due(self.now, &present, fit);
        }
        self.say_duties();
    }

    /// Sends what duties have to say, and hangs when they are next due.
    fn say_duties(&mut self) {
        let Some(duties) = &mut self.duties else {
            return;
        };
        let (frames, next) = (duties.take_frames(), duties.next_due().max(self.now + 1));
        for (name, frame) in frames {
            if let Some(place) = self.table.place(&name) {
                self.say(place, Frame::Duty(frame));
            }
        }
        if next < self.duties_due || self.duties_due <= self.now {
            self.duties_due = next;
            self.timers.hang(next, Due::Duties);
        }
    }

    pub fn life(&self) -> Life {
        self.life
    }

    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Whether it was heard since it last slept. Until then it knows of nobody whether they are there.
    pub fn is_heard(&self) -> bool {
        self.deaf_until.is_none()
    }

    pub fn slept(&self) -> u64 {
        self.slept
    }

    /// When `due` is to be called at the latest.
    pub fn next_due(&self) -> Micros {
        self.timers.next().unwrap_or(Micros::MAX)
    }

    /// Datagrams to send, each with whom it is for.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.table.events)
    }

    /// A datagram came.
    pub fn heard(&mut self, now: Micros, bytes: &[u8]) {
        self.notice(now);
        if let Err(cause) = self.take(bytes) {
            *self.tally.dropped.entry(cause).or_default() += 1;
        }
    }

    /// Does what has fallen due.
    pub fn due(&mut self, now: Micros) {
        self.notice(now);
        while let Some(due) = self.timers.due(self.now) {
            self.happens(due);
        }
    }

    /// The process was not run for so long: whoever carries this may know it from elsewhere too.
    pub fn paused(&mut self, now: Micros, lasted: Micros) {
        self.now = self.now.max(now);
        if self.table.planted(Planted::SleepUnnoticed) {
            return;
        }
        self.slept += 1;
        self.table.events.push(Event::Slept(lasted));
        // Only an answer to what is sent from now on shows that others hear us: older ones lay in the socket.
        self.deaf_until = Some(self.probing.last_number.wrapping_add(1));
        self.probing.under_way = None;
        self.probing.worse();
        self.extend_doubts();
        if let Some(duties) = &mut self.duties {
            duties.paused(self.now);
        }
        self.say_duties();
    }

    /// Takes other seeds, spans and another key. Who this process is stays as it was.
    pub fn renew(&mut self, part: &Part, key: Key) {
        self.key = key;
        self.part.seeds.clone_from(&part.seeds);
        (self.part.probe_every, self.part.answer_within) = (part.probe_every, part.answer_within);
        self.part.doubt_least = part.doubt_least;
        self.table.strike(part.struck.clone());
    }

    /// This process serves no more: its last ticket is answered. Said to several, who tell it on.
    pub fn leave(&mut self, now: Micros) {
        self.now = self.now.max(now);
        if self.table.own.state == State::Left {
            return;
        }
        if let Some(duties) = &mut self.duties {
            duties.stop(self.now);
        }
        self.say_duties();
        self.table.own.state = State::Left;
        if self.table.planted(Planted::LeavesUntold) {
            return;
        }
        for place in self.some(LEAVE_TO, |member| member.record.state != State::Left) {
            self.say(place, Frame::News);
        }
    }

    /// Notices that it was not run: all that it waited for may have come meanwhile.
    fn notice(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let late = self.now.saturating_sub(self.next_due());
        if late > SLEPT {
            self.timers.postpone(self.now);
            self.paused(now, late);
        }
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(), Drop> {
        let letter = envelope::open(&self.key, &self.part.fleet, bytes)?;
        let other = letter.life != self.life;
        if letter.sender == self.part.name && !other {
            return Err(Drop::Own);
        }
        if letter.sender.len() > NAME_MOST || letter.sender.is_empty() {
            return Err(Drop::Form);
        }
        if let Some(member) = self.table.named(&letter.sender)
            && member.record.life != letter.life
            && letter.incarnation <= member.record.incarnation
        {
            self.answer_old(&letter);
            return Err(Drop::Old);
        }
        self.counters.take(&letter)?;
        self.tally.taken += 1;
        let known = self.table.place(&letter.sender).is_some();
        for record in &letter.records {
            self.learn(record);
        }
        let Some(place) = self.table.place(&letter.sender) else {
            return if letter.sender == self.part.name {
                Ok(())
            } else {
                Err(Drop::Full)
            };
        };
        self.heard_from(place, &letter, known);
        self.frame(place, &letter)
    }

    /// One that lost its memory comes with a smaller incarnation than the one before it: it is told, and takes a
    /// greater one.
    fn answer_old(&mut self, letter: &Letter) {
        let told = self.old_told.get(&letter.sender).copied();
        if told.is_some_and(|told| self.now < told + OLD_EVERY) {
            return;
        }
        if self.old_told.len() >= MEMBERS_MOST {
            self.old_told.clear();
        }
        self.old_told.insert(letter.sender.clone(), self.now);
        let theirs = letter
            .records
            .iter()
            .find(|record| *record.name == *letter.sender);
        let known = self
            .table
            .named(&letter.sender)
            .map(|member| member.record.clone());
        if let Some((theirs, known)) = theirs.zip(known) {
            self.send(theirs.address, Frame::News, vec![known]);
        }
    }

    fn learn(&mut self, record: &Record) {
        let merged = self.table.merge(self.now, record);
        match merged {
            Merged::Known => {}
            Merged::Full => {
                *self.tally.dropped.entry(Drop::Full).or_default() += 1;
                if self.tally.dropped[&Drop::Full] == 1 {
                    self.table.events.push(Event::TableFull);
                }
            }
            Merged::Refuted => {
                self.probing.worse();
                let own = Rc::clone(&self.table.own.name);
                self.spread.add(&own);
                if self.table.name_is_taken() && record.life < self.life {
                    self.quiet_until = self.now + QUIET;
                }
            }
            Merged::News | Merged::Confirmed => {
                self.spread.add(&record.name);
                self.watch_doubt(&record.name);
            }
        }
    }

    /// A member was heard itself: whatever is held of it, it is told.
    fn heard_from(&mut self, place: usize, letter: &Letter, known: bool) {
        let now = self.now;
        let name = Rc::clone(&self.table.members[place].record.name);
        self.table.heard(&name, letter.life);
        let member = &mut self.table.members[place];
        if member.record.life != letter.life {
            return;
        }
        let lately = member.heard.is_some_and(|heard| now < heard + OLD_EVERY);
        let away = member.record.state == State::Gone && !lately;
        member.heard = Some(now);
        let (address, state) = (member.record.address, member.record.state);
        // News is not answered by news: two that hold each other for gone would never end.
        if !matches!(state, State::Present | State::Left) && letter.frame != Frame::News {
            let record = member.record.clone();
            self.send(address, Frame::News, vec![record]);
        }
        if (!known || away) && state != State::Left {
            self.swap_whole(place);
        }
    }

    fn frame(&mut self, place: usize, letter: &Letter) -> Result<(), Drop> {
        match &letter.frame {
            Frame::News => {}
            Frame::Probe { number, target } => {
                if target
                    .as_ref()
                    .is_none_or(|target| **target == *self.part.name)
                {
                    self.say(place, Frame::Answer { number: *number });
                }
            }
            Frame::Answer { number } => self.answered(*number, &letter.sender),
            Frame::Ask {
                number,
                target,
                address,
            } => {
                let for_whom = self.table.members[place].record.address;
                if let Some(mine) = self.probing.take_errand(for_whom, *number) {
                    let frame = Frame::Probe {
                        number: mine,
                        target: Some(Rc::clone(target)),
                    };
                    self.send(*address, frame, Vec::new());
                    self.timers
                        .hang(self.now + self.part.answer_within, Due::Errand(mine));
                }
            }
            Frame::Asked { number, answered } => {
                if let Some(probe) = self
                    .probing
                    .under_way
                    .as_mut()
                    .filter(|probe| probe.number == *number)
                {
                    probe.told += 1;
                    probe.answered |= answered;
                }
                self.heard_again(*number);
            }
            Frame::Swap { wants } => {
                if *wants {
                    self.say_part(place, false);
                }
            }
            Frame::Duty(frame) => {
                let name = Rc::clone(&self.table.members[place].record.name);
                if let Some(duties) = &mut self.duties {
                    duties.heard(self.now, &name, letter.life.chance, frame);
                }
                self.say_duties();
            }
        }
        Ok(())
    }

    fn answered(&mut self, number: u32, sender: &str) {
        self.heard_again(number);
        if let Some(probe) = self.probing.under_way.as_mut()
            && probe.number == number
            && *probe.target == *sender
        {
            probe.answered = true;
        } else if let Some(errand) = self.probing.end_errand(number) {
            let frame = Frame::Asked {
                number: errand.their_number,
                answered: true,
            };
            self.send(errand.for_whom, frame, Vec::new());
        }
    }

    /// An answer to what was sent after it slept: others hear us, and what we don't hear may be their fault again.
    fn heard_again(&mut self, number: u32) {
        // Numbers go round: those within half the range after it are later.
        if self
            .deaf_until
            .is_some_and(|from| number.wrapping_sub(from) < u32::MAX / 2)
        {
            self.deaf_until = None;
            self.table.events.push(Event::HeardAgain);
            self.extend_doubts();
        }
    }

    fn happens(&mut self, due: Due) {
        match due {
            Due::Duties => {
                // One hung before a sooner one has nothing to do.
                if self.now >= self.duties_due {
                    self.turn_duties();
                }
            }
            Due::Round => self.end_round(),
            Due::Again => self.probe_again(),
            Due::Errand(number) => {
                if let Some(errand) = self.probing.end_errand(number) {
                    let frame = Frame::Asked {
                        number: errand.their_number,
                        answered: false,
                    };
                    self.send(errand.for_whom, frame, Vec::new());
                }
            }
            Due::Doubt(name) => self.doubt_ends(&name),
            Due::News => {
                self.timers.hang(self.now + NEWS_EVERY, Due::News);
                if !self.spread.is_empty() {
                    for place in self.some(NEWS_TO, |member| member.record.state < State::Gone) {
                        self.say(place, Frame::News);
                    }
                }
            }
            Due::Swap => {
                self.timers.hang(self.now + SWAP_EVERY, Due::Swap);
                let place = self.some(1, |member| member.record.state == State::Present);
                place
                    .into_iter()
                    .for_each(|place| self.say_part(place, true));
            }
            Due::Gone => {
                self.timers.hang(self.now + GONE_EVERY, Due::Gone);
                let place = self.some(1, |member| member.record.state == State::Gone);
                for place in place {
                    let record = self.table.members[place].record.clone();
                    let (number, target) = (self.probing.number(), Some(Rc::clone(&record.name)));
                    self.send(
                        record.address,
                        Frame::Probe { number, target },
                        vec![record],
                    );
                }
            }
            Due::Seeds => self.ask_seeds(),
        }
    }

    /// Asks one seed that is not among the members: at the start, and where a whole half was forgotten.
    fn ask_seeds(&mut self) {
        let alone = self.table.present().next().is_none();
        let wait = if alone { SEEDS_ALONE } else { SEEDS_EVERY };
        let scatter = self.chance.generate_range(0..=wait / 2);
        self.timers.hang(self.now + wait + scatter, Due::Seeds);
        let known = |seed: &&SocketAddr| {
            **seed == self.part.address
                || self
                    .table
                    .present()
                    .any(|member| member.record.address == **seed)
        };
        let unknown: Vec<_> = self
            .part
            .seeds
            .iter()
            .filter(|seed| !known(seed))
            .copied()
            .collect();
        if !unknown.is_empty() {
            let seed = unknown[self.chance.generate_range(0..unknown.len())];
            let number = self.probing.number();
            self.send(
                seed,
                Frame::Probe {
                    number,
                    target: None,
                },
                Vec::new(),
            );
        }
    }

    /// Judges the probe of this round, and begins the next.
    fn end_round(&mut self) {
        if let Some(probe) = self.probing.under_way.take() {
            self.judge(&probe);
        }
        self.timers.hang(
            self.now + self.probing.slower(self.part.probe_every),
            Due::Round,
        );
        let table = &self.table;
        let names = || {
            let probed = table
                .members
                .iter()
                .filter(|member| member.record.state < State::Gone);
            probed
                .map(|member| Rc::clone(&member.record.name))
                .collect()
        };
        let target = self.probing.next(&mut self.chance, names);
        let Some(place) = target.and_then(|name| self.table.place(&name)) else {
            return;
        };
        let Record {
            name: target,
            life,
            state,
            ..
        } = self.table.members[place].record.clone();
        if state >= State::Gone {
            return;
        }
        let number = self.probing.number();
        let probe = Probe {
            number,
            target,
            life,
            answered: false,
            asked: 0,
            told: 0,
        };
        self.say(
            place,
            Frame::Probe {
                number,
                target: Some(Rc::clone(&probe.target)),
            },
        );
        self.probing.under_way = Some(probe);
        self.timers.hang(
            self.now + self.probing.slower(self.part.answer_within),
            Due::Again,
        );
    }

    /// No answer in time: once more, and others are asked to try, as the fault may lie on our way or with us.
    fn probe_again(&mut self) {
        let Some(probe) = self
            .probing
            .under_way
            .as_ref()
            .filter(|probe| !probe.answered)
        else {
            return;
        };
        let (number, target) = (probe.number, Rc::clone(&probe.target));
        let Some(place) = self.table.place(&target) else {
            return;
        };
        let address = self.table.members[place].record.address;
        if self.table.planted(Planted::DoubtsWithoutAsking) {
            return;
        }
        self.say(
            place,
            Frame::Probe {
                number,
                target: Some(Rc::clone(&target)),
            },
        );
        let others = self.some(ASKED, |member| {
            member.record.state == State::Present && *member.record.name != *target
        });
        if let Some(probe) = self.probing.under_way.as_mut() {
            probe.asked = others.len() as u32;
        }
        for other in others {
            self.say(
                other,
                Frame::Ask {
                    number,
                    target: Rc::clone(&target),
                    address,
                },
            );
        }
    }

    fn judge(&mut self, probe: &Probe) {
        if probe.answered {
            return self.probing.better();
        }
        // Those who were asked and don't even say that they tried are not heard either: it may be us.
        if probe.told < probe.asked {
            self.probing.worse();
        }
        let Some(held) = self.table.named(&probe.target).map(|member| &member.record) else {
            return;
        };
        if self.deaf_until.is_some() || held.life != probe.life || held.state > State::Doubted {
            return;
        }
        let (first, by) = (held.state == State::Present, self.life.chance);
        let record = Record {
            state: State::Doubted,
            by,
            ..held.clone()
        };
        self.learn(&record);
        if first {
            // Whoever is doubted hears of it first.
            self.send(record.address, Frame::News, vec![record]);
        }
    }

    /// How long a doubt stands: shorter the more share it, longer in a larger fleet, where news takes longer.
    fn doubt_span(&self, doubters: usize) -> Micros {
        let members = self.table.members.len() as f64 + 1.0;
        let least = self.part.doubt_least as f64 * members.log10().max(1.0);
        let shared = (doubters.max(1) as f64).ln() / DOUBTERS.ln();
        (least * (DOUBT_RANGE - (DOUBT_RANGE - 1.0) * shared.min(1.0))) as Micros
    }

    fn watch_doubt(&mut self, name: &Rc<str>) {
        let Some(doubt) = self
            .table
            .named(name)
            .and_then(|member| member.doubt.as_ref())
        else {
            return;
        };
        let at = (doubt.began + self.doubt_span(doubt.doubters.len())).max(self.now);
        self.timers.hang(at, Due::Doubt(Rc::clone(name)));
    }

    /// All doubts begin anew: those that were refuted meanwhile may not have been heard.
    fn extend_doubts(&mut self) {
        let now = self.now;
        let mut names = Vec::new();
        for member in &mut self.table.members {
            if let Some(doubt) = member.doubt.as_mut() {
                doubt.began = now;
                names.push(Rc::clone(&member.record.name));
            }
        }
        names.iter().for_each(|name| self.watch_doubt(name));
    }

    fn doubt_ends(&mut self, name: &str) {
        let Some(member) = self.table.named(name) else {
            return;
        };
        let Some(doubt) = member.doubt.as_ref() else {
            return;
        };
        let ends = doubt.began + self.doubt_span(doubt.doubters.len());
        // A deaf one judges nobody; it looks again when it was heard.
        if self.deaf_until.is_some() || ends > self.now {
            return;
        }
        let record = Record {
            state: State::Gone,
            by: 0,
            ..member.record.clone()
        };
        self.learn(&record);
    }

    /// Up to so many members that fit, drawn by chance.
    fn some(&mut self, count: usize, fits: impl Fn(&Member) -> bool) -> Vec<usize> {
        let members = &self.table.members;
        let mut places: Vec<usize> = (0..members.len())
            .filter(|&place| fits(&members[place]))
            .collect();
        let count = count.min(places.len());
        for at in 0..count {
            let other = self.chance.generate_range(at..places.len());
            places.swap(at, other);
        }
        places.truncate(count);
        places
    }

    fn swap_whole(&mut self, place: usize) {
        let parts = self.table.members.len().div_ceil(8).clamp(1, PARTS_AT_ONCE);
        for number in 0..parts {
            self.say_part(place, number == 0);
        }
    }

    /// Sends a part of the table, as much as fits; the next part begins where this one ends.
    fn say_part(&mut self, place: usize, wants: bool) {
        let Some(member) = self.table.members.get(place) else {
            return;
        };
        let address = member.record.address;
        let mut letter = self.letter(Frame::Swap { wants }, Vec::new());
        let mut length = envelope::sealed_length(&letter);
        let count = self.table.members.len();
        for _ in 0..count {
            self.cursor = (self.cursor + 1) % count;
            let record = &self.table.members[self.cursor].record;
            length += record_length(record);
            if length > DATAGRAM_MOST {
                break;
            }
            letter.records.push(record.clone());
        }
        self.post(address, &letter);
    }

    /// Says something to a member, with what is held of it if that is wrong in its eyes.
    fn say(&mut self, place: usize, frame: Frame) {
        let record = self.table.members[place].record.clone();
        let doubted = matches!(record.state, State::Doubted | State::Gone);
        let address = record.address;
        self.send(
            address,
            frame,
            if doubted { vec![record] } else { Vec::new() },
        );
    }

    fn letter(&self, frame: Frame, records: Vec<Record>) -> Letter {
        let own = self.table.own.clone();
        let records = [own].into_iter().chain(records).collect();
        Letter {
            fleet: self.part.fleet.clone(),
            sender: self.part.name.clone(),
            life: self.life,
            incarnation: self.table.own.incarnation,
            counter: self.counter,
            frame,
            records,
        }
    }

    /// Sends a frame with records, our own first, and as much news as fits beside them.
    fn send(&mut self, address: SocketAddr, frame: Frame, records: Vec<Record>) {
        let mut letter = self.letter(frame, records);
        let mut length = envelope::sealed_length(&letter);
        let (table, members) = (&self.table, self.table.members.len());
        self.spread.take(members, |name| {
            if letter.records.iter().any(|record| *record.name == *name) {
                return true;
            }
            let Some(member) = table.named(name) else {
                return true;
            };
            length += record_length(&member.record);
            let fits = length <= DATAGRAM_MOST;
            if fits {
                letter.records.push(member.record.clone());
            }
            fits
        });
        self.post(address, &letter);
    }

    fn post(&mut self, address: SocketAddr, letter: &Letter) {
        if self.now < self.quiet_until || address == self.part.address {
            return;
        }
        self.counter += 1;
        if let Some(bytes) = envelope::seal(&self.key, letter) {
            self.tally.sent += 1;
            self.tally.sent_bytes += bytes.len() as u64;
            self.out.push((address, bytes));
        }
    }
}

/// Bytes of a record at most, as postcard writes it: names, address, life, incarnation, state and doubter.
fn record_length(record: &Record) -> usize {
    record.name.len() + record.zone.len() + 2 + 19 + 20 + 10 + 2 + 10 + 1
}
