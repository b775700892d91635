//! When discovery is asked for the list, and until when its answer is waited for. No I/O, and told the time.

use nanorand::{Rng, WyRand};
use pinefront::Micros;

#[cfg(test)]
mod tests;

/// How long a watch may wait at discovery. What a cut-off discovery has to tell counts as told two seconds
/// after the wait of the call that is out, so a long wait bridges longer cuts.
const WATCH_MOST: Micros = 20_000_000;
/// Part of the span within which the settings want us to ask that a watch may wait: a discovery that came back
/// without knowing of it counts us as told after that span, and the next call must come before.
const WATCH_PART: f64 = 0.75;
/// What discovery can bear does not grow with the fleet: in a large one watches wait longer, so that those that run
/// out come no closer together than this.
const RUN_OUT_APART: Micros = 500_000;
/// Least part of it that the first watch after news waits. All that were told at one moment would ask at one
/// moment again if their watches fell silent, and discovery works through calls in turn.
const SCATTERED: f64 = 0.5;
/// Least and greatest part that the first watch of a process waits. A fleet that is started at one moment has all its
/// watches open by the next; if they fell silent together, all of it would hear nothing for as long as a watch waits.
const FIRST_SCATTERED: (f64, f64) = (0.1, 0.6);
/// How long beyond its wait the answer to a watch may be under way. Discovery answers it by the clock, not in turn,
/// and what it has to tell by then counts as told 2 s after the wait: the next call takes its turn within the rest.
const LATE: Micros = 250_000;
/// How long a call that is answered in its turn may take: it waits for two seconds at most discoveries.
const TURN_WITHIN: Micros = 2_500_000;
/// How long the next may take where that was too short: a slower discovery would else never tell anything. It is then
/// asked anew at once, so that both together stay within the bound.
const SLOW_TURN_WITHIN: Micros = 4_000_000;
/// How long a connection to discovery may take to come about: a machine that vanished never answers.
const CONNECT_WITHIN: Micros = 1_000_000;
/// What the first call on a connection waits at discovery: a watch is begun when it had its turn, or nobody could say
/// when its wait is over.
const FIRST_WAIT: Micros = 1_000;
/// The shortest time between two calls: answers that come at once would have us ask without end. A watch goes
/// on as long as the next call follows within 200 ms.
const ASK_APART: Micros = 100_000;
/// The first wait after a failed call, and the longest: with a call that got no answer before it and a turn that
/// takes two seconds behind it the list is still here within six.
const RETRY: (Micros, Micros) = (150_000, 1_500_000);
/// The longest where lists are pushed: what discovery has counts as told at once when it is back.
const RETRY_PUSHED: Micros = 200_000;

/// First calls of a fleet that is started at one moment: so many may come at once, as discovery works through them within
/// two seconds; those of larger fleets come no closer together than this in the mean, and none later than the longest,
/// as nobody is served before.
const FIRST_AT_ONCE: usize = 7;
const FIRST_APART: Micros = 100_000;
const FIRST_MOST: Micros = 2_500_000;

/// The call that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    None,
    /// Waits for its connection.
    Connecting,
    Out,
}

/// What is to be done as time has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Nothing,
    Ask,
    /// The watch that is out fell silent: its connection ends, and discovery is asked anew at once.
    AskAnew,
    /// The call that is out brings nothing any more: its connection ends, and the next call waits, as
    /// [`Following::failed`] says.
    GiveUp,
}

/// The one place that knows which version of the list is here, which call is out and when the next one is due.
///
/// The bound that it keeps: a change is asked for so that it is here **6 s after it was made and discovery took
/// calls**, or, where a watch was out that fell silent, **2 s after the wait of that watch was over**, if that is
/// later; provided that discovery answers a call that it takes within 1.7 s. The sum stands in `docs/sockets.md`,
/// and `following/tests.rs` walks all paths.
pub struct Following {
    version: Option<u64>,
    /// The version of the list that we were started with, and of what was told since. It spares discovery the whole
    /// list while all begin at once; as it may count otherwise than the one that told that list, the whole of it is
    /// asked for when there was nothing new.
    known: Option<u64>,
    call: Call,
    /// The call that is out is a watch, not one for the whole list.
    watches: bool,
    /// A call was given up though its connection stood: discovery may be slow.
    slow: bool,
    /// When the last call was made, and when its answer is overdue.
    asked: Micros,
    overdue: Micros,
    /// When the next is due while none is out.
    next: Option<Micros>,
    failures: u32,
    /// What came last told something: others were told at the same moment.
    news: bool,
    /// A watch was out already.
    watched: bool,
    chance: WyRand,
}

impl Following {
    pub fn new(seed: u64) -> Self {
        Self {
            version: None,
            known: None,
            call: Call::None,
            watches: false,
            slow: false,
            asked: 0,
            overdue: 0,
            next: None,
            failures: 0,
            news: true,
            watched: false,
            chance: WyRand::new_seed(!seed),
        }
    }

    pub fn asking(&self) -> bool {
        self.call != Call::None
    }

    /// Whether a watch is out, which is answered as soon as there is news.
    pub fn is_watching(&self) -> bool {
        self.call == Call::Out && self.watches
    }

    /// When the last call was made.
    pub fn asked(&self) -> Micros {
        self.asked
    }

    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// When [`Self::due`] is to be asked next.
    pub fn deadline(&self) -> Option<Micros> {
        match self.call {
            Call::None => self.next,
            Call::Connecting => Some(self.overdue.min(self.asked + CONNECT_WITHIN)),
            Call::Out => Some(self.overdue),
        }
    }

    pub fn due(&self, now: Micros) -> Step {
        match (self.deadline(), self.call) {
            (Some(at), _) if now < at => Step::Nothing,
            (None, _) => Step::Nothing,
            (_, Call::None) => Step::Ask,
            // What changed counts as told from here on: a scattered wait as after a failed call comes too late.
            (_, Call::Out) if self.watches || self.slow => Step::AskAnew,
            _ => Step::GiveUp,
        }
    }

    /// A call goes out, on a connection that stands or is yet to come: its version and how long it may wait, or
    /// neither where it is for the whole list.
    pub fn ask(
        &mut self, now: Micros, connected: bool, within: Option<Micros>, balancers: usize,
    ) -> Option<(u64, Micros)> {
        let (least, most) = match (self.watched, self.news) {
            (false, _) => FIRST_SCATTERED,
            (true, true) => (SCATTERED, 1.0),
            (true, false) => (1.0, 1.0),
        };
        let part = least + (most - least) * self.chance.generate::<f64>();
        let wait = watch_wait(within, balancers) as f64 * part;
        let wait = if connected { wait as Micros } else { FIRST_WAIT };
        let version = self.version.or(self.known);
        self.watches = connected && version.is_some();
        self.watched |= self.watches;
        let within = if self.slow { SLOW_TURN_WITHIN } else { TURN_WITHIN };
        self.overdue = now + if self.watches { wait + LATE } else { within };
        self.call = if connected { Call::Out } else { Call::Connecting };
        (self.asked, self.next) = (now, None);
        version.map(|version| (version, wait))
    }

    pub fn connected(&mut self) {
        if self.call == Call::Connecting {
            self.call = Call::Out;
        }
    }

    /// A list is here: the whole of it, or what changed, with or without anything in it.
    pub fn listed(&mut self, version: u64, whole: bool, news: bool) {
        self.news = news;
        match self.known {
            Some(known) if !whole => self.known = Some(version).filter(|version| *version >= known),
            // Who counts otherwise now did not tell all that changed: the whole is asked for.
            None if !whole && self.version.is_some_and(|here| version < here) => self.version = None,
            _ => (self.version, self.known) = (Some(version), None),
        }
    }

    /// The call that was out has its answer, and the watch goes on as long as the next call follows at once.
    pub fn answered(&mut self, now: Micros) {
        (self.call, self.failures, self.slow) = (Call::None, 0, false);
        if !self.news && self.watches {
            self.known = None;
        }
        self.next = Some(now.max(self.asked + ASK_APART));
    }

    /// A call failed: the list that is here stands, and discovery is asked anew after a growing, scattered wait.
    pub fn failed(&mut self, now: Micros, within: Option<Micros>) {
        let most = if within.is_some() { RETRY.1 } else { RETRY_PUSHED };
        let wait = (RETRY.0 << self.failures.min(4)).min(most);
        let wait = wait / 2 + self.chance.generate_range(0..=wait / 2);
        self.failures += 1;
        self.slow |= self.call == Call::Out && now >= self.overdue;
        (self.call, self.next) = (Call::None, Some(now + wait));
    }

    /// The call that was out, if any, is no more, and its connection neither.
    pub fn dropped(&mut self) {
        self.call = Call::None;
    }

    /// The first call of a process. What it was started with may be old, so it asks soon; those that are started at one
    /// moment ask scattered, as discovery works through calls in turn. Where lists are pushed, what discovery has counts
    /// as told from the first moment.
    pub fn begin(&mut self, now: Micros, within: Option<Micros>, balancers: usize) {
        let most = if within.is_some() { FIRST_MOST } else { 0 };
        let scatter = (balancers.saturating_sub(FIRST_AT_ONCE) as u64 * FIRST_APART).min(most);
        self.next = Some(now + self.chance.generate_range(0..=scatter));
    }

    /// The list is to be followed; a watch that goes on needs no second call.
    pub fn follow(&mut self, now: Micros) {
        if self.call == Call::None && self.next.is_none() {
            self.next = Some(now);
        }
    }

    /// Nothing is asked until then: another tells the list.
    pub fn rest(&mut self, until: Micros, scatter: Micros) {
        self.next = Some(until + self.chance.generate_range(0..=scatter));
    }

    /// Discovery is somewhere else, and may count its versions otherwise: it is asked for the whole list.
    pub fn moved(&mut self, now: Micros) {
        self.dropped();
        (self.version, self.known, self.next, self.news) = (None, None, Some(now), true);
    }

    /// What is here is the list that we were started with.
    pub fn only_known(&mut self) {
        (self.known, self.version) = (self.version, None);
    }
}

fn watch_wait(within: Option<Micros>, balancers: usize) -> Micros {
    let apart = balancers as u64 * RUN_OUT_APART;
    within.map_or(WATCH_MOST, |within| ((within as f64 * WATCH_PART) as Micros).max(apart).min(WATCH_MOST))
}
