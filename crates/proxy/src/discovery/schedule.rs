//! When discovery is called for the list of servers, on which connection, and until when an answer is awaited. No I/O,
//! and told the time.
//!
//! One call is awaited at a time. A call that is overdue is replaced by another on a new connection, and goes on being
//! heard until the new one has its answer or its own time is over: discovery works through its queue whether a caller is
//! still there or not, so closing would throw away the turn that was waited for, and whatever is written to a connection
//! counts as told.

use nanorand::{Rng, WyRand};
use pinefront_policy::Micros;

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
/// After how long a call that waits for its turn is made once more on another connection, in case it was lost. Most
/// discoveries answer or refuse within two or three seconds.
const TURN_WITHIN: Micros = 3_250_000;
/// How long a call that was replaced is still heard. With a further one in between, a call is made each 3.25 s, so that
/// a way that is open again is used within the 6 s that count.
const TURN_MOST: Micros = 2 * TURN_WITHIN;
/// How long a connection to discovery may take to come about before another is tried: a machine that vanished never
/// answers; and how long it may still come about beside that one.
const CONNECT_WITHIN: Micros = 1_000_000;
const CONNECT_MOST: Micros = 3_000_000;
/// Calls that were replaced and are still heard at most, each on a connection of its own.
const HEARD_MOST: usize = 2;
/// What a call waits at discovery that begins a watch: the watch has begun when it had its turn, or nobody could say
/// when its wait is over.
const FIRST_WAIT: Micros = 1_000;
/// The shortest time between two calls: answers that come at once would have us ask without end.
const ASK_APART: Micros = 100_000;
/// A watch goes on, without a turn, as long as the next call follows its answer this soon; discovery allows 200 ms.
const GOES_ON_WITHIN: Micros = 150_000;
/// The first wait after a failed call, and the longest: with a call that got no answer before it and a turn that
/// takes two seconds behind it the list is still here within six.
const RETRY: (Micros, Micros) = (150_000, 1_500_000);
/// The longest where lists are pushed: what discovery has counts as told at once when it is back.
const RETRY_PUSHED: Micros = 200_000;
/// The longest wait after a failed call grows with the fleet, as all its calls meet in one queue: so much for each
/// balancer, and no less than the least.
const RETRY_EACH: Micros = 50_000;
const RETRY_LEAST: Micros = 500_000;
/// From this age on a list is asked for twice as often.
const LIST_OLD: Micros = 3_000_000;
/// A connection that ended in the middle of an answer, or under a watch, may have told what was lost with it: the next
/// call follows at once, and further ones where these end the same way, for so long. They come apart by so much for each
/// balancer, no less than the least and no more than the most.
const LOST_ANSWER_FOR: Micros = 1_000_000;
const LOST_ANSWER_EACH: Micros = 3_000;
const LOST_ANSWER_APART: (Micros, Micros) = (40_000, 500_000);

/// First calls of a fleet that is started at one moment: so many may come at once, as discovery works through them within
/// two seconds; those of larger fleets come no closer together than this in the mean, and none later than the longest,
/// as nobody is served before.
const FIRST_AT_ONCE: usize = 7;
const FIRST_APART: Micros = 100_000;
const FIRST_MOST: Micros = 2_500_000;

/// When the list of the configuration, which may be of another discovery's count, is asked for whole: after the least,
/// and spread over so much for each balancer, so that checks of a whole fleet are no more than one call a second.
const VERIFY_AFTER: Micros = 10_000_000;
const VERIFY_EACH: Micros = 1_000_000;

/// A connection to discovery. Each carries one call at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    WholeList,
    /// What changed since a version, as soon as there is something or the wait is over.
    Changes {
        since: u64,
        wait: Micros,
    },
}

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Makes a call on a connection that is open.
    Reuse(ConnectionId, Query),
    /// Makes a call on a new connection.
    Open(ConnectionId, Query),
    /// Closes a connection whose call is not awaited any more, and whether its discovery may have told something there
    /// that is not read yet.
    Close(ConnectionId, bool),
}

/// Why a call brings no list. Its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Discovery says that it takes no call now, and perhaps when it will.
    Refused { retry_after: Option<Micros> },
    /// The connection did not come about, or nothing could be sent.
    Unreached,
    /// The connection ended before anything of an answer came.
    Ended,
    /// The connection ended inside an answer.
    Cut,
    /// What came is no list.
    Malformed,
}

/// What an answer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSummary {
    pub version: u64,
    pub is_whole: bool,
    /// Whether it named any server.
    pub has_entries: bool,
}

/// What the schedule needs to know of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduleSettings {
    /// Within which time discovery wants to be asked; nothing where it pushes lists.
    pub max_poll_interval: Option<Micros>,
    /// How many balancers share discovery.
    pub balancers: usize,
}

impl ScheduleSettings {
    fn watch_wait(self) -> Micros {
        let apart = self.balancers as u64 * RUN_OUT_APART;
        let part = |within: Micros| {
            ((within as f64 * WATCH_PART) as Micros)
                .max(apart)
                .min(WATCH_MOST)
        };
        self.max_poll_interval.map_or(WATCH_MOST, part)
    }

    /// The longest wait before a failed call is repeated.
    fn retry_most(self) -> Micros {
        match self.max_poll_interval {
            None => RETRY_PUSHED,
            Some(_) => (self.balancers as u64 * RETRY_EACH).clamp(RETRY_LEAST, RETRY.1),
        }
    }
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    Sent,
}

/// A call that is out.
#[derive(Clone, Copy, Debug)]
struct Call {
    connection: ConnectionId,
    query: Query,
    stage: Stage,
    sent: Micros,
    /// It continues a watch that discovery knows: it waits for news, not for a turn.
    is_watch: bool,
    /// Which discovery it was made to, counted by moves.
    discovery: u32,
}

impl Call {
    /// When another call is to be made instead of it.
    fn overdue_at(&self) -> Micros {
        match (self.stage, self.query) {
            (Stage::Connecting, _) => self.sent + CONNECT_WITHIN,
            (Stage::Sent, Query::Changes { wait, .. }) if self.is_watch => self.sent + wait + LATE,
            (Stage::Sent, _) => self.sent + TURN_WITHIN,
        }
    }

    /// Until when it is heard beside the call that replaced it.
    fn heard_until(&self) -> Micros {
        match (self.stage, self.query) {
            (Stage::Connecting, _) => self.sent + CONNECT_MOST,
            (Stage::Sent, Query::Changes { wait, .. }) if self.is_watch => {
                self.sent + wait + TURN_MOST
            }
            (Stage::Sent, _) => self.sent + TURN_MOST,
        }
    }

    /// Whether it waits for its turn at discovery.
    fn is_queued(&self) -> bool {
        self.stage == Stage::Sent && !self.is_watch
    }
}

/// The one place that knows which version of the list is here, which calls are out and when the next one is due.
///
/// The bound that it keeps: a change is asked for so that it is here **6 s after it was made and discovery took
/// calls**, or, where a watch was out that fell silent, **2 s after the wait of that watch was over**, if that is
/// later; provided that discovery answers a call that it takes within 1.7 s. The sum stands in `docs/sockets.md`,
/// and `schedule/tests.rs` walks all paths.
pub struct Schedule {
    version: Option<u64>,
    /// The version is that of the list that we were started with and of what was told since, not yet seen in a whole
    /// list of discovery's own.
    unverified: bool,
    verify_at: Option<Micros>,
    awaited: Option<Call>,
    /// Calls that were replaced, the oldest first.
    heard: Vec<Call>,
    /// The connection that was answered last, until the next call is made on it.
    idle: Option<ConnectionId>,
    /// Connections to be closed, and whether something may have been told there.
    closing: Vec<(ConnectionId, bool)>,
    /// When the next call is due while none is awaited.
    next: Option<Micros>,
    /// When a watch was last answered: soon after that the next call continues it.
    watch_answered: Option<Micros>,
    /// When discovery last told a list, or that there is nothing new.
    heard_at: Option<Micros>,
    /// Calls that failed since the last answer.
    failures: u32,
    /// Discovery could not be asked: a call failed or was overdue, and none was answered since.
    unheard: bool,
    /// When an answer was lost with its connection, while none came since.
    answer_lost: Option<Micros>,
    /// What came last told something: others were told at the same moment.
    news: bool,
    /// A watch was out already.
    watched: bool,
    /// How often discovery has moved, and whether it has answered since.
    discovery: u32,
    has_answered: bool,
    connections: u64,
    chance: WyRand,
}

impl Schedule {
    pub fn new(seed: u64) -> Self {
        Self {
            version: None,
            unverified: false,
            verify_at: None,
            awaited: None,
            heard: Vec::new(),
            idle: None,
            closing: Vec::new(),
            next: None,
            watch_answered: None,
            heard_at: None,
            failures: 0,
            unheard: false,
            answer_lost: None,
            news: true,
            watched: false,
            discovery: 0,
            has_answered: false,
            connections: 0,
            chance: WyRand::new_seed(!seed),
        }
    }

    /// The first call of a process. What it was started with may be old, so it asks soon; those that are started at one
    /// moment ask scattered, as discovery works through calls in turn. Where lists are pushed, what discovery has counts
    /// as told from the first moment.
    pub fn begin(&mut self, now: Micros, settings: ScheduleSettings) {
        let most = if settings.max_poll_interval.is_some() {
            FIRST_MOST
        } else {
            0
        };
        let others = settings.balancers.saturating_sub(FIRST_AT_ONCE) as u64;
        let scatter = (others * FIRST_APART).min(most);
        self.next = Some(now + self.chance.generate_range(0..=scatter));
    }

    /// The list that we were started with has that version. It spares discovery the whole list while a fleet begins.
    pub fn knows(&mut self, version: u64) {
        (self.version, self.unverified) = (Some(version), true);
    }

    /// The list is to be followed; a call that is out needs no second one.
    pub fn follow(&mut self, now: Micros) {
        if self.awaited.is_none() && self.next.is_none() {
            self.next = Some(now);
        }
    }

    /// Nothing is asked until then: another balancer tells the list.
    pub fn rest(&mut self, until: Micros, scatter: Micros) {
        self.next = Some(until + self.chance.generate_range(0..=scatter));
    }

    /// Another balancer told the list.
    pub fn updated_by_peer(&mut self, told: ListSummary) {
        self.news = told.has_entries;
        self.version = Some(told.version);
        self.unverified &= !told.is_whole;
    }

    /// Discovery is somewhere else, and may count its versions otherwise: it is asked for the whole list. What the one
    /// before still tells is heard until the new one has answered.
    pub fn moved(&mut self, now: Micros) {
        self.replace_awaited();
        self.close_idle_connections();
        self.discovery += 1;
        (self.version, self.unverified, self.has_answered) = (None, false, false);
        (self.next, self.news, self.watch_answered, self.verify_at) = (Some(now), true, None, None);
    }

    /// Whether a watch is out, which is answered as soon as there is news.
    pub fn is_watching(&self) -> bool {
        self.awaited
            .is_some_and(|call| call.is_watch && call.stage == Stage::Sent)
    }

    /// Whether discovery could not be asked since its last answer.
    pub fn is_unheard(&self) -> bool {
        self.unheard
    }

    /// Whether a call is due now.
    pub fn is_call_due(&self, now: Micros) -> bool {
        self.awaited.is_none() && self.next.is_some_and(|at| now >= at)
    }

    /// Whether the call that is out on a connection asked for changes.
    pub fn asked_for_changes(&self, connection: ConnectionId) -> bool {
        let call = self.calls().find(|call| call.connection == connection);
        call.is_none_or(|call| call.query != Query::WholeList)
    }

    /// Whether a call is out on that connection.
    pub fn is_called(&self, connection: ConnectionId) -> bool {
        self.calls().any(|call| call.connection == connection)
    }

    /// How long the call on a connection has been out, and whether another was made instead of it.
    pub fn call_age(&self, connection: ConnectionId, now: Micros) -> Option<(Micros, bool)> {
        let call = self.calls().find(|call| call.connection == connection)?;
        let awaited = self
            .awaited
            .is_some_and(|awaited| awaited.connection == connection);
        Some((now.saturating_sub(call.sent), !awaited))
    }

    fn calls(&self) -> impl Iterator<Item = &Call> {
        self.awaited.iter().chain(&self.heard)
    }

    /// When [`Self::poll`] is to be asked next.
    pub fn deadline(&self) -> Option<Micros> {
        if !self.closing.is_empty() {
            return Some(0);
        }
        let call = self
            .awaited
            .as_ref()
            .map_or(self.next, |call| Some(self.replace_at(call)));
        let heard = self.heard.iter().map(Call::heard_until);
        let verify = self.verify_at.filter(|_| self.may_verify());
        heard.chain(call).chain(verify).min()
    }

    /// What is to be done now; asked again until it is nothing.
    pub fn poll(&mut self, now: Micros, settings: ScheduleSettings) -> Option<Action> {
        let expired = self.heard.iter().position(|call| now >= call.heard_until());
        if let Some(expired) = expired {
            let call = self.heard.remove(expired);
            self.close(&call);
        }
        if self
            .awaited
            .is_some_and(|call| now >= self.replace_at(&call))
        {
            self.unheard |= !self.is_watching();
            self.replace_awaited();
            // What changed counts as told from here on: a scattered wait as after a failed call comes too late.
            self.next = Some(now);
        }
        if let Some((connection, awaits_response)) = self.closing.pop() {
            return Some(Action::Close(connection, awaits_response));
        }
        if self.is_call_due(now) {
            return Some(self.call(now, settings));
        }
        if self.may_verify() && self.verify_at.is_some_and(|at| now >= at) {
            return Some(self.verify(now));
        }
        None
    }

    /// When the awaited call is replaced. While another waits in discovery's queue, a further one would only wait
    /// behind it.
    fn replace_at(&self, call: &Call) -> Micros {
        let queued = self
            .heard
            .iter()
            .filter(|heard| heard.is_queued() && call.is_queued());
        queued
            .map(Call::heard_until)
            .fold(call.overdue_at(), Micros::max)
    }

    /// The awaited call, if any, is only heard from now on.
    fn replace_awaited(&mut self) {
        let Some(call) = self.awaited.take() else {
            return;
        };
        if self.heard.len() >= HEARD_MOST {
            let oldest = self.heard.remove(0);
            self.close(&oldest);
        }
        self.heard.push(call);
    }

    fn close(&mut self, call: &Call) {
        let awaits_response =
            call.stage == Stage::Sent && (call.discovery == self.discovery || !self.has_answered);
        self.closing.push((call.connection, awaits_response));
    }

    fn close_idle_connections(&mut self) {
        self.closing
            .extend(self.idle.take().map(|connection| (connection, false)));
    }

    fn call(&mut self, now: Micros, settings: ScheduleSettings) -> Action {
        let continues = self.idle.is_some()
            || self
                .watch_answered
                .is_some_and(|answered| now <= answered + GOES_ON_WITHIN);
        let query = match self.version {
            None => Query::WholeList,
            Some(since) if continues => Query::Changes {
                since,
                wait: self.next_wait(settings),
            },
            Some(since) => Query::Changes {
                since,
                wait: FIRST_WAIT,
            },
        };
        let is_watch = continues && query != Query::WholeList;
        self.watched |= is_watch;
        (self.next, self.watch_answered) = (None, None);
        match self.idle.take() {
            Some(connection) => {
                self.await_call(now, connection, query, is_watch, Stage::Sent);
                Action::Reuse(connection, query)
            }
            None => {
                let connection = self.new_connection();
                self.await_call(now, connection, query, is_watch, Stage::Connecting);
                Action::Open(connection, query)
            }
        }
    }

    fn await_call(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        query: Query,
        is_watch: bool,
        stage: Stage,
    ) {
        let discovery = self.discovery;
        self.awaited = Some(Call {
            connection,
            query,
            stage,
            sent: now,
            is_watch,
            discovery,
        });
    }

    fn new_connection(&mut self) -> ConnectionId {
        self.connections += 1;
        ConnectionId(self.connections)
    }

    /// How long the next watch waits.
    fn next_wait(&mut self, settings: ScheduleSettings) -> Micros {
        let (least, most) = match (self.watched, self.news) {
            (false, _) => FIRST_SCATTERED,
            (true, true) => (SCATTERED, 1.0),
            (true, false) => (1.0, 1.0),
        };
        let part = least + (most - least) * self.chance.generate::<f64>();
        (settings.watch_wait() as f64 * part) as Micros
    }

    /// A check of the list that we were started with may be made beside a watch, never instead of it.
    fn may_verify(&self) -> bool {
        self.unverified && self.is_watching() && self.heard.is_empty()
    }

    fn verify(&mut self, now: Micros) -> Action {
        self.verify_at = None;
        let connection = self.new_connection();
        let (query, discovery) = (Query::WholeList, self.discovery);
        self.heard.push(Call {
            connection,
            query,
            stage: Stage::Connecting,
            sent: now,
            is_watch: false,
            discovery,
        });
        Action::Open(connection, query)
    }

    /// A connection has come about, and its call is on its way. Others that are still connecting have sent nothing yet,
    /// and would only take further turns.
    pub fn connected(&mut self, connection: ConnectionId) {
        let calls = self.awaited.iter_mut().chain(&mut self.heard);
        let connecting = calls.filter(|call| call.stage == Stage::Connecting);
        let Some(call) = connecting
            .into_iter()
            .find(|call| call.connection == connection)
        else {
            return;
        };
        call.stage = Stage::Sent;
        let is_check = call.query == Query::WholeList && self.is_watching();
        if !is_check {
            self.close_connecting();
            self.await_again(connection);
        }
    }

    fn close_connecting(&mut self) {
        let is_connecting = |call: &mut Call| call.stage == Stage::Connecting;
        let awaited = self.awaited.take_if(is_connecting);
        let heard = self.heard.extract_if(.., is_connecting);
        let unsent = awaited
            .into_iter()
            .chain(heard)
            .map(|call| (call.connection, false));
        self.closing.extend(unsent);
    }

    /// A call that came about late is awaited where no other is.
    fn await_again(&mut self, connection: ConnectionId) {
        if self.awaited.is_none()
            && let Some(index) = self
                .heard
                .iter()
                .position(|call| call.connection == connection)
        {
            self.awaited = Some(self.heard.remove(index));
        }
    }

    /// Whether what an answer tells is newer than what is here.
    pub fn accepts(&self, connection: ConnectionId, version: Option<u64>, is_whole: bool) -> bool {
        let Some(call) = self.calls().find(|call| call.connection == connection) else {
            return false;
        };
        if call.discovery != self.discovery {
            return !self.has_answered;
        }
        let awaited = self
            .awaited
            .is_some_and(|awaited| awaited.connection == connection);
        match (version, self.version) {
            _ if awaited => true,
            (Some(told), Some(_)) => self.is_newer(told, is_whole),
            // Its changes follow on what is here, or nothing does.
            (None, here) => {
                matches!(call.query, Query::Changes { since, .. } if here == Some(since))
            }
            (_, None) => true,
        }
    }

    /// Whether a version is newer than what is here.
    pub fn is_newer(&self, version: u64, is_whole: bool) -> bool {
        self.version
            .is_none_or(|here| version > here || (is_whole && version == here))
    }

    /// A list was read from a connection that is being closed.
    pub fn overheard(&mut self, told: ListSummary) {
        (self.version, self.news) = (Some(told.version), told.has_entries);
        self.unverified &= !told.is_whole;
    }

    /// The call on a connection has its answer, which was taken if it was accepted. The connection may carry the next
    /// call where it lasts.
    pub fn answered(
        &mut self,
        connection: ConnectionId,
        now: Micros,
        told: ListSummary,
        lasts: bool,
        settings: ScheduleSettings,
    ) {
        let accepted = self.accepts(connection, Some(told.version), told.is_whole);
        let Some((call, was_awaited)) = self.take_call(connection) else {
            return;
        };
        if call.discovery != self.discovery {
            // The one before; its count is not the new one's.
            return self.closing.push((connection, false));
        }
        (self.failures, self.unheard, self.answer_lost) = (0, false, None);
        (self.has_answered, self.heard_at) = (true, Some(now));
        let former: Vec<Call> = self
            .heard
            .extract_if(.., |heard| heard.discovery != self.discovery)
            .collect();
        self.closing
            .extend(former.iter().map(|call| (call.connection, false)));
        if accepted {
            self.listed(now, told, was_awaited, settings);
        }
        if !was_awaited && self.is_watching() {
            return self.closing.push((connection, false));
        }
        // What waits for its turn meanwhile is only heard: the watch goes on here.
        self.close_connecting();
        self.replace_awaited();
        self.close_idle_connections();
        let continues = call.query != Query::WholeList;
        self.watch_answered = continues.then_some(now);
        match lasts {
            true => self.idle = Some(connection),
            false => self.closing.push((connection, false)),
        }
        self.next = Some(now.max(call.sent + ASK_APART));
    }

    fn listed(
        &mut self,
        now: Micros,
        told: ListSummary,
        was_awaited: bool,
        settings: ScheduleSettings,
    ) {
        self.news = told.has_entries;
        let went_back = self.version.is_some_and(|here| told.version < here);
        if !told.is_whole && went_back && was_awaited {
            // Who counts otherwise now did not tell all that changed: the whole is asked for.
            self.version = None;
            return;
        }
        self.version = Some(told.version);
        if told.is_whole {
            (self.unverified, self.verify_at) = (false, None);
        } else if self.unverified && self.verify_at.is_none() {
            let spread = settings.balancers as u64 * VERIFY_EACH;
            self.verify_at = Some(now + VERIFY_AFTER + self.chance.generate_range(0..=spread));
        }
    }

    /// The call on a connection brings no list, and the connection is closed. The list that is here stands, and
    /// discovery is called again. Whether it was the call that was awaited.
    pub fn failed(
        &mut self,
        connection: ConnectionId,
        now: Micros,
        failure: Failure,
        settings: ScheduleSettings,
    ) -> bool {
        if self.idle == Some(connection) {
            self.idle = None;
            return false;
        }
        let Some((call, was_awaited)) = self.take_call(connection) else {
            return false;
        };
        if !was_awaited {
            return false;
        }
        if failure == Failure::Cut || (failure == Failure::Ended && call.is_watch) {
            self.answer_lost.get_or_insert(now);
        }
        let wait = self.retry_wait(now, failure, settings);
        (self.failures, self.unheard) = (self.failures + 1, true);
        self.next = Some(now + wait);
        true
    }

    fn take_call(&mut self, connection: ConnectionId) -> Option<(Call, bool)> {
        if let Some(call) = self.awaited.take_if(|call| call.connection == connection) {
            return Some((call, true));
        }
        let index = self
            .heard
            .iter()
            .position(|call| call.connection == connection)?;
        Some((self.heard.remove(index), false))
    }

    fn retry_wait(&mut self, now: Micros, failure: Failure, settings: ScheduleSettings) -> Micros {
        let is_broken = matches!(failure, Failure::Cut | Failure::Ended);
        if is_broken
            && self
                .answer_lost
                .is_some_and(|at| now <= at + LOST_ANSWER_FOR)
        {
            let apart = settings.balancers as u64 * LOST_ANSWER_EACH;
            let apart = apart.clamp(LOST_ANSWER_APART.0, LOST_ANSWER_APART.1);
            let least = if self.failures == 0 { 0 } else { apart / 2 };
            return self.chance.generate_range(least..=apart);
        }
        let is_old = self.heard_at.is_some_and(|at| now >= at + LIST_OLD);
        let queued = self.heard.iter().any(Call::is_queued);
        let most = settings.retry_most() / if is_old && !queued { 2 } else { 1 };
        let grown = if queued {
            most
        } else {
            (RETRY.0 << self.failures.min(4)).min(most)
        };
        let asked = match failure {
            Failure::Refused { retry_after } => retry_after.unwrap_or(0).min(settings.retry_most()),
            _ => 0,
        };
        let wait = grown.max(asked);
        wait / 2 + self.chance.generate_range(0..=wait / 2)
    }
}
