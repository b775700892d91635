//! The table of members, how records of others are merged into it, and the three questions that it answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::Serialize;

use crate::Micros;
use crate::envelope::{Life, VERSION};
use crate::frames::{Record, State};

/// Members at most, this one included. Who comes beyond them is not taken in, and counted.
pub const MEMBERS_MOST: usize = 1_024;
/// Earlier processes of one name that are kept by name; more are only counted.
const EARLIER_MOST: usize = 8;
/// Doubters of one member that are told apart.
const DOUBTERS_MOST: usize = 3;
/// Times that another process of our name overtook our incarnation after we had answered it, before we say that the
/// name is taken twice: what an earlier process of ours left behind runs out before that.
const OVERTAKEN_OFTEN: u32 = 4;

/// An earlier process of a member's name of which no end is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Earlier {
    pub life: Life,
    pub address: SocketAddr,
}

/// What one member of the fleet is known to be.
#[derive(Clone, Debug)]
pub struct Member {
    pub record: Record,
    /// When this process was last heard itself.
    pub heard: Option<Micros>,
    /// When it came to stand as it does.
    pub since: Micros,
    /// Until when a doubt may be refuted, when it began, and whose doubts there are.
    pub doubt: Option<Doubt>,
    pub earlier: Vec<Earlier>,
    pub earlier_uncounted: usize,
}

#[derive(Clone, Debug)]
pub struct Doubt {
    pub began: Micros,
    pub doubters: Vec<u64>,
}

/// Why somebody who is not heard may serve all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unknown {
    /// It is there as far as anybody knows.
    Present,
    Doubted,
    /// Silent for long: dead, cut off or stalled, nobody can tell which.
    Silent,
    /// Another process bears its name since, at another address.
    Followed,
}

/// How it is known that a process serves no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Proof {
    /// It said so itself when it had served its last ticket.
    SaidSo,
    /// The operators say so, and it was never heard since.
    Struck,
}

/// All that can be said of a process. There is no further case: silence proves nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    MayServe(Unknown),
    ProvenGone(Proof),
}

/// A change worth telling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Joined(Rc<str>),
    Doubted(Rc<str>),
    /// It refuted a doubt, or came back from being gone.
    Returned(Rc<str>),
    Gone(Rc<str>),
    Left(Rc<str>),
    /// Others held us for doubted or gone, and we said otherwise.
    Refuted,
    /// This process was not run for so long, and doubts nobody until it is heard again.
    Slept(Micros),
    HeardAgain,
    /// Another living process bears our name.
    NameTaken,
    /// A process that the operators struck was heard all the same: their word of it is void.
    StruckHeard(Rc<str>),
    /// A member could not be taken in.
    TableFull,
}

/// What merging a record came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// Nothing new.
    Known,
    /// To be told on.
    News,
    /// About us and wrong: our record is to be told at once.
    Refuted,
    /// One more doubts what is doubted.
    Confirmed,
    Full,
}

pub struct Table {
    pub own: Record,
    pub members: Vec<Member>,
    by_name: BTreeMap<Rc<str>, usize>,
    pub events: Vec<Event>,
    /// Processes that have ended by the operators' word, and those of them that were heard all the same.
    struck: BTreeSet<(Rc<str>, Life)>,
    struck_void: BTreeSet<(Rc<str>, Life)>,
    /// How often this process had to say that it is there: each time somebody was wrong, or it had been stopped.
    pub refuted: u64,
    /// Our incarnation was overtaken by another process of our name so often.
    overtaken: u32,
    #[cfg(feature = "planted")]
    pub(crate) planted: Option<crate::Planted>,
}

impl Table {
    pub fn new(own: Record) -> Self {
        Self {
            own,
            members: Vec::new(),
            by_name: BTreeMap::new(),
            events: Vec::new(),
            struck: BTreeSet::new(),
            struck_void: BTreeSet::new(),
            refuted: 0,
            overtaken: 0,
            #[cfg(feature = "planted")]
            planted: None,
        }
    }

    /// Whether that fault is planted: never without the feature.
    pub(crate) fn planted(&self, _fault: crate::Planted) -> bool {
        #[cfg(feature = "planted")]
        return self.planted == Some(_fault);
        #[cfg(not(feature = "planted"))]
        false
    }

    pub fn place(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub fn named(&self, name: &str) -> Option<&Member> {
        self.place(name).map(|place| &self.members[place])
    }

    /// Merges what was told of a member.
    pub fn merge(&mut self, now: Micros, record: &Record) -> Merged {
        if record.name == self.own.name {
            return self.told_of_us(record);
        }
        let Some(place) = self.place(&record.name) else {
            return self.take_in(now, record);
        };
        let member = &mut self.members[place];
        let before = member.record.clone();
        if !record.goes_before(&before) {
            let keeps_old = self.planted(crate::Planted::KeepsOldIncarnation)
                && record.state == State::Gone
                && before.state != State::Gone;
            let member = &mut self.members[place];
            if keeps_old {
                member.record.state = State::Gone;
                return Merged::News;
            }
            let same = (record.incarnation, record.life) == (before.incarnation, before.life);
            let both = record.state == State::Doubted && before.state == State::Doubted;
            if let Some(doubt) = member
                .doubt
                .as_mut()
                .filter(|_| same && both && record.by != 0)
                && doubt.doubters.len() < DOUBTERS_MOST
                && !doubt.doubters.contains(&record.by)
            {
                doubt.doubters.push(record.by);
                member.record.by = record.by;
                return Merged::Confirmed;
            }
            return Merged::Known;
        }
        if record.life != before.life {
            // Who speaks from its address holds its socket, which a process keeps to its end: that one has ended.
            let ended = before.state == State::Left || record.address == before.address;
            if !ended {
                match member.earlier.len() < EARLIER_MOST {
                    true => member.earlier.push(Earlier {
                        life: before.life,
                        address: before.address,
                    }),
                    false => member.earlier_uncounted += 1,
                }
            }
            // Only of one name: of two names nobody knows whose record is the later one.
            member
                .earlier
                .retain(|earlier| earlier.address != record.address);
            member.heard = None;
        }
        member.record = record.clone();
        if record.state != before.state || record.life != before.life {
            member.since = now;
        }
        member.doubt = (record.state == State::Doubted).then(|| Doubt {
            began: now,
            doubters: [record.by].into_iter().filter(|by| *by != 0).collect(),
        });
        let name = Rc::clone(&record.name);
        let event = match (before.state, record.state) {
            (State::Present, State::Present) if record.life == before.life => None,
            (State::Left, State::Present) => Some(Event::Joined(name)),
            (State::Doubted | State::Gone, State::Present) => Some(Event::Returned(name)),
            (State::Present, State::Present) => Some(Event::Joined(name)),
            (State::Doubted, State::Doubted)
            | (State::Gone, State::Gone)
            | (State::Left, State::Left) => None,
            (_, State::Doubted) => Some(Event::Doubted(name)),
            (_, State::Gone) => Some(Event::Gone(name)),
            (_, State::Left) => Some(Event::Left(name)),
        };
        self.events.extend(event);
        Merged::News
    }

    fn take_in(&mut self, now: Micros, record: &Record) -> Merged {
        let member = Member {
            record: record.clone(),
            heard: None,
            since: now,
            doubt: (record.state == State::Doubted).then(|| Doubt {
                began: now,
                doubters: vec![record.by],
            }),
            earlier: Vec::new(),
            earlier_uncounted: 0,
        };
        let place = if self.members.len() + 1 < MEMBERS_MOST {
            self.members.push(member);
            self.members.len() - 1
        } else {
            // Only those give way of whom nothing is left to be known.
            let left =
                |member: &Member| member.record.state >= State::Gone && self.may_serve(member) == 0;
            let oldest = (0..self.members.len()).filter(|&place| left(&self.members[place]));
            let Some(place) = oldest.min_by_key(|&place| self.members[place].since) else {
                return Merged::Full;
            };
            let name = Rc::clone(&self.members[place].record.name);
            self.by_name.remove(&name);
            self.members[place] = member;
            place
        };
        self.by_name.insert(Rc::clone(&record.name), place);
        let name = Rc::clone(&record.name);
        match record.state {
            State::Present => self.events.push(Event::Joined(name)),
            State::Doubted => self.events.push(Event::Doubted(name)),
            State::Gone => self.events.push(Event::Gone(name)),
            State::Left => {}
        }
        Merged::News
    }

    /// What others hold of us. Only we say how we stand: what is wrong is overtaken by a greater incarnation.
    fn told_of_us(&mut self, record: &Record) -> Merged {
        let other = record.life != self.own.life;
        let wrong = record.state != State::Present || other;
        if self.own.state == State::Left || !wrong || record.incarnation < self.own.incarnation {
            return Merged::Known;
        }
        if other {
            // An earlier process of ours can't answer what we say; one that lives overtakes us again and again.
            self.overtaken += 1;
            if self.overtaken == OVERTAKEN_OFTEN {
                self.events.push(Event::NameTaken);
            }
        }
        if self.planted(crate::Planted::NoRefutation) && !other {
            return Merged::Known;
        }
        self.own.incarnation = record.incarnation.saturating_add(1);
        if self.planted(crate::Planted::IncarnationGoesBack) {
            self.own.incarnation = record.incarnation.saturating_sub(1);
        }
        if !other {
            self.refuted += 1;
            self.events.push(Event::Refuted);
        }
        Merged::Refuted
    }

    /// Whether another living process bears our name: of the two the one that began later keeps quiet.
    pub fn name_is_taken(&self) -> bool {
        self.overtaken >= OVERTAKEN_OFTEN
    }

    /// Those that nobody doubts, by name.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.record.state == State::Present)
    }

    /// How many processes beside this one may be serving. Never fewer because somebody fell silent.
    pub fn may_be_serving(&self) -> usize {
        self.members.iter().map(|member| self.counted(member)).sum()
    }

    fn counted(&self, member: &Member) -> usize {
        let forgotten =
            self.planted(crate::Planted::SilentCountsAsGone) && member.record.state == State::Gone;
        if forgotten { 0 } else { self.may_serve(member) }
    }

    /// Takes the operators' word for which processes have ended, in place of what they said before. Of one that was
    /// heard after such a word no such word is taken again.
    pub fn strike(&mut self, struck: BTreeSet<(Rc<str>, Life)>) {
        self.struck = struck.difference(&self.struck_void).cloned().collect();
    }

    /// A process was heard itself: if the operators had said that it has ended, their word is void.
    pub fn heard(&mut self, name: &Rc<str>, life: Life) {
        if self.is_struck(name, life) {
            let one = (Rc::clone(name), life);
            self.struck.remove(&one);
            self.struck_void.insert(one);
            self.events.push(Event::StruckHeard(Rc::clone(name)));
        }
    }

    fn is_struck(&self, name: &Rc<str>, life: Life) -> bool {
        !self.struck.is_empty() && self.struck.contains(&(Rc::clone(name), life))
    }

    /// How a member stands. The operators' word goes only for one that nobody hears.
    pub fn standing_of(&self, member: &Member) -> Standing {
        match member.record.state {
            State::Present => Standing::MayServe(Unknown::Present),
            State::Doubted => Standing::MayServe(Unknown::Doubted),
            State::Gone if self.is_struck(&member.record.name, member.record.life) => {
                Standing::ProvenGone(Proof::Struck)
            }
            State::Gone => Standing::MayServe(Unknown::Silent),
            State::Left => Standing::ProvenGone(Proof::SaidSo),
        }
    }

    /// Earlier processes of a member's name that may be serving.
    pub fn earlier_of<'a>(&'a self, member: &'a Member) -> impl Iterator<Item = &'a Earlier> {
        member
            .earlier
            .iter()
            .filter(|earlier| !self.is_struck(&member.record.name, earlier.life))
    }

    /// Processes of a member's name that may be serving.
    pub fn may_serve(&self, member: &Member) -> usize {
        let own = usize::from(matches!(self.standing_of(member), Standing::MayServe(_)));
        own + self.earlier_of(member).count() + member.earlier_uncounted
    }

    /// Whether a process of that name and life may be serving as far as is known here; nothing where it was never
    /// known.
    pub fn standing(&self, name: &str, life: Life) -> Option<Standing> {
        let member = self.named(name)?;
        if member.record.life == life {
            let forgotten = self.counted(member) == 0 && self.may_serve(member) > 0;
            return Some(match forgotten {
                true => Standing::ProvenGone(Proof::SaidSo),
                false => self.standing_of(member),
            });
        }
        member.earlier.iter().find(|earlier| earlier.life == life)?;
        Some(match self.is_struck(&member.record.name, life) {
            true => Standing::ProvenGone(Proof::Struck),
            false => Standing::MayServe(Unknown::Followed),
        })
    }
}

/// Our own record when a process begins.
pub fn own_record(name: &str, zone: &str, address: SocketAddr, life: Life) -> Record {
    Record {
        name: Rc::from(name),
        address,
        zone: Rc::from(zone),
        life,
        // Above what earlier processes of the name used, if the clock is right; if not, they tell us.
        incarnation: life.born,
        state: State::Present,
        by: 0,
        version: VERSION,
    }
}

#[cfg(test)]
mod tests;
