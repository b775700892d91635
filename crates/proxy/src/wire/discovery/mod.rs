//! Discovery: its connections, the calls on them, and what comes of each. [`schedule`] says when to call, [`lists`] takes
//! what was told.

use bytes::Bytes;
use httparse::{Response, Status};
use pinefront_policy::Micros;
use pinefront_settings::fields::{Decoded, flag, whole};
use serde_json::Value;
use slog::{info, warn};

use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::buffers::{Inbox, Inflow, Outbox};
use crate::memory::deadlines::{Due, Place};
use crate::memory::desk::{Desk, Wired};
use crate::wire::discovery::partial::PartialList;
use crate::wire::discovery::schedule::{
    Action, ConnectionId, Failure, Query, Schedule, Settings, Told,
};
use crate::wire::heads::{self, FIELDS_MOST, HEAD_MOST};
use crate::wire::upstreams::connect;

mod lists;
pub mod partial;
pub mod schedule;

#[cfg(test)]
mod tests;

/// Over how long balancers that are told the list by another, and no longer are, ask for it themselves.
const FED_SCATTER: Micros = 2_000_000;
/// Longest list taken: some thousand upstreams.
const LIST_MOST: usize = 4 * 1024 * 1024;
/// An answer of which a part is here is looked at after this time, and again so long after further parts: what came of
/// it counts as told. Most are whole by then, and are read once.
const LOOK_AFTER: Micros = 40_000;

/// A connection to discovery, and what came on it of an answer.
struct Connection {
    id: ConnectionId,
    wired: Wired,
    inbox: Inbox,
    outbox: Outbox,
    is_connected: bool,
    /// When the part of an answer that is here is to be looked at.
    look_at: Option<Micros>,
}

/// What is kept of discovery.
pub struct Discovery {
    connections: Vec<Connection>,
    pub schedule: Schedule,
    due: Option<Place>,
    /// The list that we were started with, until it is taken.
    held: Option<Value>,
    /// Whether that list was taken, and one of discovery's own.
    known: bool,
    taken: bool,
    /// When discovery last told a list, or that there is nothing new.
    listed_at: Micros,
    /// How far our wall clock is known to have been behind when the process began.
    clock_behind: Micros,
}

/// What was found on a connection.
enum Found {
    Nothing,
    /// A whole answer: the text of its list, and whether the connection can carry another call.
    Answer(Vec<u8>, bool),
    Failed(Failure),
    /// It ended or said something while no call was out.
    Unasked,
}

impl Discovery {
    pub fn new(seed: u64) -> Self {
        Self {
            connections: Vec::new(),
            schedule: Schedule::new(seed),
            due: None,
            held: None,
            known: false,
            taken: false,
            listed_at: 0,
            clock_behind: 0,
        }
    }

    /// The list that we were started with. It may be old, so nothing is sent by it until discovery has told what changed
    /// since, or could not be asked.
    pub fn hold_known(&mut self, list: &Value) -> Decoded<()> {
        self.schedule.knows(whole(list, "rev")?);
        self.held = Some(list.clone());
        Ok(())
    }

    /// Whether there is a list to serve by: discovery's own, or the one we were started with where discovery
    /// could not be asked. That one may be old: what changed since may count as told already.
    pub fn stands(&self) -> bool {
        self.taken || (self.known && self.schedule.is_unheard())
    }

    fn connection(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections
            .iter_mut()
            .find(|connection| connection.id == id)
    }

    /// When something is to be done next.
    fn deadline(&self) -> Option<Micros> {
        let looks = self
            .connections
            .iter()
            .filter_map(|connection| connection.look_at);
        looks.chain(self.schedule.deadline()).min()
    }
}

impl Node {
    /// Time to call, to stop waiting, or to look at a part of an answer.
    pub fn discovery_due(&mut self) {
        let parts: Vec<ConnectionId> = {
            let mut desk = self.desk.borrow_mut();
            desk.discovery.due = None;
            let now = desk.now();
            let due = |connection: &&mut Connection| connection.look_at.is_some_and(|at| at <= now);
            let connections = desk.discovery.connections.iter_mut().filter(due);
            connections
                .map(|connection| (connection.look_at = None, connection.id).1)
                .collect()
        };
        for connection in parts {
            self.take_part(connection);
        }
        self.carry_out_schedule();
    }

    /// Something may be read from or written to a connection to discovery.
    pub fn discovery_ready(&mut self, id: ConnectionId) {
        let found = self.desk.borrow_mut().look_at_discovery(id);
        match found {
            Found::Nothing => {}
            Found::Answer(text, lasts) => self.take_list_answer(id, &text, lasts),
            Found::Failed(failure) => self.call_failed(id, failure),
            Found::Unasked => self.closed_between_calls(id),
        }
        self.carry_out_schedule();
    }

    /// Does what the schedule wants done now.
    fn carry_out_schedule(&mut self) {
        loop {
            let action = self.desk.borrow_mut().next_discovery_action();
            match action {
                None => break,
                Some(Action::Close(id, is_owed)) => self.close_discovery(id, is_owed),
                Some(Action::Open(id, query)) => {
                    let opened = self.desk.borrow_mut().open_discovery(id, query);
                    if opened.is_err() {
                        self.call_failed(id, Failure::Unreached);
                    }
                }
                Some(Action::Reuse(id, query)) => {
                    self.desk.borrow_mut().call_discovery(id, query, true)
                }
            }
        }
        if self.desk.borrow().discovery.schedule.is_unheard() {
            self.take_known();
        }
        self.desk.borrow_mut().hang_discovery();
    }

    /// The answer to the call on a connection is here.
    fn take_list_answer(&mut self, id: ConnectionId, text: &[u8], lasts: bool) {
        let told = match serde_json::from_slice(text).map_err(|problem| problem.to_string()) {
            Ok(list) => self.take_told(id, &list),
            Err(problem) => Err(problem),
        };
        match told {
            Ok(told) => {
                let mut desk = self.desk.borrow_mut();
                let (now, settings) = (desk.now(), desk.discovery_settings());
                desk.discovery.taken = true;
                desk.discovery
                    .schedule
                    .answered(id, now, told, lasts, settings);
            }
            Err(problem) => {
                warn!(self.desk.borrow().log, "list not understood"; "problem" => problem);
                self.call_failed(id, Failure::Malformed);
            }
        }
    }

    /// Takes the list that a call was answered with, unless what is here is newer.
    fn take_told(&mut self, id: ConnectionId, list: &Value) -> Decoded<Told> {
        let (version, is_whole) = (whole(list, "rev")?, flag(list, "all")?);
        if !self
            .desk
            .borrow()
            .discovery
            .schedule
            .accepts(id, Some(version), is_whole)
        {
            info!(self.desk.borrow().log, "list passed over"; "version" => version, "call" => id.0);
            return Ok(Told {
                version,
                is_whole,
                has_entries: false,
            });
        }
        let told = self.take_list(list)?;
        self.desk
            .borrow()
            .fleet
            .iter()
            .for_each(|fleet| fleet.borrow_mut().listed(Some(list)));
        Ok(told)
    }

    /// Takes what is here of an answer that is not whole.
    fn take_part(&mut self, id: ConnectionId) {
        let found = self.desk.borrow_mut().part_of_list(id);
        let Some((partial, of_changes)) = found else {
            return;
        };
        let is_whole = partial.is_whole.unwrap_or(!of_changes);
        if self
            .desk
            .borrow()
            .discovery
            .schedule
            .accepts(id, partial.version, is_whole)
        {
            self.take_known();
            self.take_partial(&partial, of_changes);
        }
    }

    /// A call for the list failed: the list that we have stands, but for what came of the answer.
    fn call_failed(&mut self, id: ConnectionId, failure: Failure) {
        self.take_part(id);
        self.take_known();
        let mut desk = self.desk.borrow_mut();
        let (now, settings) = (desk.now(), desk.discovery_settings());
        desk.tell_failed_call(id, failure);
        desk.end_discovery(id, reason_of(failure));
        if desk.discovery.schedule.failed(id, now, failure, settings) {
            desk.counters.lists_failed += 1;
            desk.counters.lists_refused += u64::from(matches!(failure, Failure::Refused { .. }));
            desk.fleet
                .iter()
                .for_each(|fleet| fleet.borrow_mut().listed(None));
        }
    }

    /// A connection ended, or said something, while no call was out on it. The next call may be due already, and is made
    /// on a new one.
    fn closed_between_calls(&mut self, id: ConnectionId) {
        let mut desk = self.desk.borrow_mut();
        let (now, settings) = (desk.now(), desk.discovery_settings());
        desk.end_discovery(id, reasons::DISCOVERY_CLOSED);
        desk.discovery
            .schedule
            .failed(id, now, Failure::Ended, settings);
    }

    /// Closes a connection whose call is not awaited any more. What discovery has written to it by now counts as told, so
    /// it is read first.
    fn close_discovery(&mut self, id: ConnectionId, is_owed: bool) {
        if is_owed {
            let last = self.desk.borrow_mut().last_words(id);
            match last {
                Some(Ok(list)) => self.take_last_list(&list),
                Some(Err(partial)) => self.take_last_part(&partial),
                None => {}
            }
        }
        self.desk
            .borrow_mut()
            .end_discovery(id, reasons::DISCOVERY_REPLACED);
    }

    fn take_last_list(&mut self, list: &Value) {
        let (Ok(version), Ok(is_whole)) = (whole(list, "rev"), flag(list, "all")) else {
            return;
        };
        if self
            .desk
            .borrow()
            .discovery
            .schedule
            .is_newer(version, is_whole)
            && let Ok(told) = self.take_list(list)
        {
            self.desk.borrow_mut().discovery.schedule.overheard(told);
        }
    }

    fn take_last_part(&mut self, partial: &PartialList) {
        let is_newer = |version| {
            self.desk
                .borrow()
                .discovery
                .schedule
                .is_newer(version, false)
        };
        if partial.version.is_some_and(is_newer) {
            self.take_partial(partial, false);
        }
    }

    /// Takes what another balancer of the zone tells of the list, and asks for the whole of it where this one has just
    /// begun to tell the others.
    pub fn take_roster(&mut self) {
        let Some(fleet) = self.desk.borrow().fleet.clone() else {
            return;
        };
        let (pages, takes_over) = {
            let shared_lists = &mut fleet.borrow_mut().shared_lists;
            (
                shared_lists.take_pages(),
                shared_lists.take_full_list_request(),
            )
        };
        for page in pages {
            let taken = serde_json::from_slice(&page).map_err(|problem| problem.to_string());
            match taken.and_then(|list: Value| self.take_list(&list)) {
                Ok(told) => {
                    let mut desk = self.desk.borrow_mut();
                    desk.counters.lists_told += 1;
                    desk.discovery.taken = true;
                    desk.discovery.schedule.told_by_peer(told);
                    desk.poll_endpoint_list();
                }
                Err(problem) => {
                    warn!(self.desk.borrow().log, "list of another balancer not understood"; "problem" => problem);
                }
            }
        }
        if takes_over {
            let mut desk = self.desk.borrow_mut();
            desk.ask_elsewhere();
        }
    }
}

impl Desk {
    /// The first call for the list, once the process stands.
    pub fn begin_following(&mut self) {
        let (now, settings) = (self.clock.now(), self.discovery_settings());
        self.discovery.schedule.begin(now, settings);
        self.hang_discovery();
    }

    /// The module wants the list followed; on a later turn, as we are inside its call.
    pub fn poll_endpoint_list(&mut self) {
        let now = self.clock.now();
        self.discovery.schedule.follow(now);
        self.hang_discovery();
    }

    /// Whoever is asked from now on may count versions otherwise.
    pub fn ask_elsewhere(&mut self) {
        let now = self.clock.now();
        self.discovery.schedule.moved(now);
        self.hang_discovery();
    }

    fn discovery_settings(&self) -> Settings {
        Settings {
            max_poll_interval: self.place.max_poll_interval,
            balancers: self.place.balancers,
        }
    }

    fn hang_discovery(&mut self) {
        let discovery = &mut self.discovery;
        match discovery.deadline() {
            Some(at) if discovery.due.is_some_and(|due| due.0 == at) => {}
            Some(at) => self
                .deadlines
                .move_to(&mut discovery.due, at, Due::Discovery),
            None => self.deadlines.clear(&mut discovery.due),
        }
    }

    fn next_discovery_action(&mut self) -> Option<Action> {
        let (now, settings) = (self.now(), self.discovery_settings());
        let fed_for = self
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.borrow().fresh_for());
        let schedule = &mut self.discovery.schedule;
        if let Some(fed_for) = fed_for.filter(|_| self.discovery.taken && schedule.is_call_due(now))
        {
            // Another asks for all, and says what it hears. All who stop hearing it do so at once, and ask scattered.
            schedule.rest(now + fed_for, FED_SCATTER);
        }
        schedule.poll(now, settings)
    }

    fn open_discovery(&mut self, id: ConnectionId, query: Query) -> std::io::Result<()> {
        let stream = connect(self.place.discovery)?;
        let wired = Wired::new(&self.handle, stream, move |node| node.discovery_ready(id))?;
        let (inbox, outbox) = (Inbox::default(), Outbox::default());
        let connection = Connection {
            id,
            wired,
            inbox,
            outbox,
            is_connected: false,
            look_at: None,
        };
        self.discovery.connections.push(connection);
        self.call_discovery(id, query, false);
        Ok(())
    }

    fn call_discovery(&mut self, id: ConnectionId, query: Query, is_reused: bool) {
        let path = match query {
            Query::WholeList => "/registry/instances".to_owned(),
            Query::Changes { since, wait } => {
                format!(
                    "/registry/instances?since={since}&timeout_ms={}",
                    wait / 1000
                )
            }
        };
        self.counters.lists_asked += 1;
        info!(self.log, "list asked"; "path" => &path, "reused" => is_reused, "call" => id.0);
        let call = format!(
            "GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.place.discovery
        );
        let Some(connection) = self.discovery.connection(id) else {
            return;
        };
        connection.outbox.push(Bytes::from(call));
        if is_reused {
            // What fails here is read from the connection, on a later turn.
            let _ = connection.outbox.drain(&connection.wired.stream);
        }
    }

    /// Reads and writes what there is.
    fn look_at_discovery(&mut self, id: ConnectionId) -> Found {
        let now = self.now();
        let Self { discovery, .. } = self;
        let Some(connection) = discovery
            .connections
            .iter_mut()
            .find(|connection| connection.id == id)
        else {
            return Found::Nothing;
        };
        let stream = &connection.wired.stream;
        let broke = stream.take_error().is_ok_and(|problem| problem.is_some());
        if !connection.is_connected && stream.peer_addr().is_ok() {
            connection.is_connected = true;
            discovery.schedule.connected(id);
        }
        let written = connection.outbox.drain(stream);
        let inflow = connection.inbox.fill(stream, LIST_MOST);
        // A connection under way is not writable yet, which is no failure.
        let unwritten =
            written.is_err_and(|problem| problem.kind() != std::io::ErrorKind::NotConnected);
        let ended = inflow != Inflow::Dry;
        if !connection.is_connected {
            return if broke || ended || unwritten {
                Found::Failed(Failure::Unreached)
            } else {
                Found::Nothing
            };
        }
        if !discovery.schedule.is_called(id) {
            let unasked = ended || broke || !connection.inbox.kept().is_empty();
            return if unasked {
                Found::Unasked
            } else {
                Found::Nothing
            };
        }
        match whole_list(connection.inbox.kept(), inflow == Inflow::Ended) {
            Ok(Some((bodies, end, lasts))) => {
                connection.look_at = None;
                let message = connection.inbox.take(end);
                let text = bodies
                    .iter()
                    .flat_map(|range| &message[range.clone()])
                    .copied()
                    .collect();
                Found::Answer(text, lasts && !ended)
            }
            Ok(None) if ended || broke || unwritten => match connection.inbox.kept().is_empty() {
                true => Found::Failed(Failure::Ended),
                false => Found::Failed(Failure::Cut),
            },
            Ok(None) => {
                if !connection.inbox.kept().is_empty() {
                    connection.look_at.get_or_insert(now + LOOK_AFTER);
                }
                Found::Nothing
            }
            Err(failure) => Found::Failed(failure),
        }
    }

    /// What is here of a list that is not whole, and whether changes were asked for.
    fn part_of_list(&mut self, id: ConnectionId) -> Option<(PartialList, bool)> {
        let of_changes = self.discovery.schedule.asked_for_changes(id);
        let connection = self.discovery.connection(id)?;
        let text = body_so_far(connection.inbox.kept())?;
        Some((PartialList::read(&text), of_changes))
    }

    /// What lies on a connection that is to be closed: a list, or a part of one.
    fn last_words(&mut self, id: ConnectionId) -> Option<Result<Value, PartialList>> {
        let connection = self.discovery.connection(id)?;
        let inflow = connection.inbox.fill(&connection.wired.stream, LIST_MOST);
        let kept = connection.inbox.kept();
        let text = match whole_list(kept, inflow == Inflow::Ended) {
            Ok(Some((bodies, ..))) => bodies
                .iter()
                .flat_map(|range| &kept[range.clone()])
                .copied()
                .collect(),
            _ => body_so_far(kept)?,
        };
        Some(serde_json::from_slice(&text).map_err(|_| PartialList::read(&text)))
    }

    fn tell_failed_call(&mut self, id: ConnectionId, failure: Failure) {
        let now = self.now();
        let Some((waited, was_replaced)) = self.discovery.schedule.call_age(id, now) else {
            return;
        };
        let bytes = self
            .discovery
            .connection(id)
            .map_or(0, |connection| connection.inbox.kept().len());
        info!(self.log, "list call failed"; "reason" => reason_of(failure), "call" => id.0,
            "waited_ms" => waited / 1000, "replaced" => was_replaced, "bytes" => bytes);
    }

    fn end_discovery(&mut self, id: ConnectionId, reason: &'static str) {
        let connections = &mut self.discovery.connections;
        let Some(place) = connections
            .iter()
            .position(|connection| connection.id == id)
        else {
            return;
        };
        let connection = connections.swap_remove(place);
        self.handle.remove(connection.wired.token);
        info!(self.log, "discovery ended"; "reason" => reason, "call" => id.0);
    }

    /// All connections to discovery end.
    pub fn end_all_discovery(&mut self, reason: &'static str) {
        while let Some(id) = self
            .discovery
            .connections
            .first()
            .map(|connection| connection.id)
        {
            self.end_discovery(id, reason);
        }
    }
}

fn reason_of(failure: Failure) -> &'static str {
    match failure {
        Failure::Refused { .. } => reasons::DISCOVERY_ERROR,
        Failure::Unreached => reasons::CONNECT_FAILED,
        Failure::Ended => reasons::DISCOVERY_BROKEN,
        Failure::Cut => reasons::DISCOVERY_CUT,
        Failure::Malformed => reasons::NONSENSE,
    }
}

type Whole = (Vec<std::ops::Range<usize>>, usize, bool);

/// The body of a whole answer, its end, and whether the connection lasts; nothing while part is missing.
fn whole_list(kept: &[u8], ended: bool) -> Result<Option<Whole>, Failure> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut response = Response::new(&mut fields);
    let head = match response.parse(kept) {
        Ok(Status::Complete(head)) => head,
        Ok(Status::Partial) if kept.len() < HEAD_MOST => return Ok(None),
        _ => return Err(Failure::Malformed),
    };
    if response.code != Some(200) {
        return Err(Failure::Refused {
            retry_after: retry_after(&response),
        });
    }
    let framing = heads::framing(response.headers).map_err(|_| Failure::Malformed)?;
    let lasts = heads::lasts(&response, framing);
    match heads::body(kept, head, framing, ended, LIST_MOST) {
        heads::Body::Whole(ranges, end) => Ok(Some((ranges, end, lasts))),
        heads::Body::Partial if kept.len() < LIST_MOST => Ok(None),
        _ => Err(Failure::Malformed),
    }
}

/// The seconds after which discovery wants to be called again.
fn retry_after(response: &Response) -> Option<Micros> {
    let seconds: f64 = heads::field(response.headers, "retry-after")?
        .parse()
        .ok()?;
    (seconds >= 0.0 && seconds.is_finite()).then_some((seconds * 1e6) as Micros)
}

/// What is here of the body of an answer that tells a list.
fn body_so_far(kept: &[u8]) -> Option<Vec<u8>> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut response = Response::new(&mut fields);
    let Ok(Status::Complete(head)) = response.parse(kept) else {
        return None;
    };
    if response.code != Some(200) {
        return None;
    }
    let framing = heads::framing(response.headers).ok()?;
    let ranges = heads::body_so_far(kept, head, framing);
    Some(
        ranges
            .iter()
            .flat_map(|range| &kept[range.clone()])
            .copied()
            .collect(),
    )
}
