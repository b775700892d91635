//! Discovery: its connections, the calls on them, and what comes of each. [`schedule`] says when to call, [`lists`] takes
//! what was told.

use bytes::Bytes;
use httparse::{Response, Status};
use pinefront_policy::Micros;
use pinefront_settings::fields::{Decoded, flag, whole};
use serde_json::Value;
use slog::{info, warn};

use crate::close_reason::CloseReason;
use crate::connections::http_message::{self, MAX_FIELDS, MAX_HEAD_BYTES};
use crate::discovery::partial::PartialList;
use crate::discovery::schedule::{
    Action, ConnectionId, Failure, ListSummary, Query, ScheduleSettings,
};
use crate::discovery::state::Connection;
use crate::state::buffers::{ReadBuffer, ReadOutcome, WriteBuffer};
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::socket::{RegisteredSocket, connect};
use crate::state::timers::TimerEvent;

mod lists;
pub mod partial;
pub mod schedule;
pub mod start_times;
pub mod state;

#[cfg(test)]
mod tests;

/// Over how long balancers that are told the list by another, and no longer are, ask for it themselves.
const FED_SCATTER: Micros = 2_000_000;
/// Longest list taken: some thousand endpoints.
const LIST_MOST: usize = 4 * 1024 * 1024;
/// An answer of which a part is here is looked at after this time, and again so long after further parts: what came of
/// it counts as told. Most are whole by then, and are read once.
const LOOK_AFTER: Micros = 40_000;

/// What was found on a connection.
enum Found {
    Nothing,
    /// A whole answer: the text of its list, and whether the connection can carry another call.
    Answer(Vec<u8>, bool),
    Failed(Failure),
    /// It ended or said something while no call was out.
    Unasked,
}

impl Proxy {
    /// Time to call, to stop waiting, or to look at a part of an answer.
    pub fn discovery_due(&mut self) {
        let parts: Vec<ConnectionId> = {
            let mut state = self.state.borrow_mut();
            state.discovery.timer = None;
            let now = state.now();
            let due = |connection: &&mut Connection| connection.look_at.is_some_and(|at| at <= now);
            let connections = state.discovery.connections.iter_mut().filter(due);
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
        let found = self.state.borrow_mut().look_at_discovery(id);
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
            let action = self.state.borrow_mut().next_discovery_action();
            match action {
                None => break,
                Some(Action::Close(id, awaits_response)) => {
                    self.close_discovery(id, awaits_response)
                }
                Some(Action::Open(id, query)) => {
                    let opened = self.state.borrow_mut().open_discovery(id, query);
                    if opened.is_err() {
                        self.call_failed(id, Failure::Unreached);
                    }
                }
                Some(Action::Reuse(id, query)) => {
                    self.state.borrow_mut().call_discovery(id, query, true)
                }
            }
        }
        if self.state.borrow().discovery.schedule.is_unheard() {
            self.take_known();
        }
        self.state.borrow_mut().schedule_discovery_timer();
    }

    /// The answer to the call on a connection is here.
    fn take_list_answer(&mut self, id: ConnectionId, text: &[u8], lasts: bool) {
        let told = match serde_json::from_slice(text).map_err(|problem| problem.to_string()) {
            Ok(list) => self.take_told(id, &list),
            Err(problem) => Err(problem),
        };
        match told {
            Ok(told) => {
                let mut state = self.state.borrow_mut();
                let (now, settings) = (state.now(), state.discovery_settings());
                state.discovery.taken = true;
                state
                    .discovery
                    .schedule
                    .answered(id, now, told, lasts, settings);
            }
            Err(problem) => {
                warn!(self.state.borrow().log, "endpoint list malformed"; "error" => problem);
                self.call_failed(id, Failure::Malformed);
            }
        }
    }

    /// Takes the list that a call was answered with, unless what is here is newer.
    fn take_told(&mut self, id: ConnectionId, list: &Value) -> Decoded<ListSummary> {
        let (version, is_whole) = (whole(list, "rev")?, flag(list, "all")?);
        if !self
            .state
            .borrow()
            .discovery
            .schedule
            .accepts(id, Some(version), is_whole)
        {
            info!(self.state.borrow().log, "endpoint list ignored"; "version" => version, "call" => id.0);
            return Ok(ListSummary {
                version,
                is_whole,
                has_entries: false,
            });
        }
        let told = self.take_list(list)?;
        self.state
            .borrow()
            .fleet
            .iter()
            .for_each(|fleet| fleet.borrow_mut().listed(Some(list)));
        Ok(told)
    }

    /// Takes what is here of an answer that is not whole.
    fn take_part(&mut self, id: ConnectionId) {
        let found = self.state.borrow_mut().part_of_list(id);
        let Some((partial, of_changes)) = found else {
            return;
        };
        let is_whole = partial.is_whole.unwrap_or(!of_changes);
        if self
            .state
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
        let mut state = self.state.borrow_mut();
        let (now, settings) = (state.now(), state.discovery_settings());
        state.log_failed_poll(id, failure);
        state.end_discovery(id, reason_of(failure));
        if state.discovery.schedule.failed(id, now, failure, settings) {
            state.counters.list_polls_failed += 1;
            state.counters.list_polls_rejected +=
                u64::from(matches!(failure, Failure::Refused { .. }));
            state
                .fleet
                .iter()
                .for_each(|fleet| fleet.borrow_mut().listed(None));
        }
    }

    /// A connection ended, or said something, while no call was out on it. The next call may be due already, and is made
    /// on a new one.
    fn closed_between_calls(&mut self, id: ConnectionId) {
        let mut state = self.state.borrow_mut();
        let (now, settings) = (state.now(), state.discovery_settings());
        state.end_discovery(id, CloseReason::DiscoveryClosed);
        state
            .discovery
            .schedule
            .failed(id, now, Failure::Ended, settings);
    }

    /// Closes a connection whose call is not awaited any more. What discovery has written to it by now counts as told, so
    /// it is read first.
    fn close_discovery(&mut self, id: ConnectionId, awaits_response: bool) {
        if awaits_response {
            let last = self.state.borrow_mut().last_words(id);
            match last {
                Some(Ok(list)) => self.take_last_list(&list),
                Some(Err(partial)) => self.take_last_part(&partial),
                None => {}
            }
        }
        self.state
            .borrow_mut()
            .end_discovery(id, CloseReason::DiscoveryReplaced);
    }

    fn take_last_list(&mut self, list: &Value) {
        let (Ok(version), Ok(is_whole)) = (whole(list, "rev"), flag(list, "all")) else {
            return;
        };
        if self
            .state
            .borrow()
            .discovery
            .schedule
            .is_newer(version, is_whole)
            && let Ok(told) = self.take_list(list)
        {
            self.state.borrow_mut().discovery.schedule.overheard(told);
        }
    }

    fn take_last_part(&mut self, partial: &PartialList) {
        let is_newer = |version| {
            self.state
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
        let Some(fleet) = self.state.borrow().fleet.clone() else {
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
                    let mut state = self.state.borrow_mut();
                    state.counters.list_peer_updates += 1;
                    state.discovery.taken = true;
                    state.discovery.schedule.updated_by_peer(told);
                    state.poll_endpoint_list();
                }
                Err(problem) => {
                    warn!(self.state.borrow().log, "endpoint list of another balancer malformed"; "error" => problem);
                }
            }
        }
        if takes_over {
            let mut state = self.state.borrow_mut();
            state.restart_polling();
        }
    }
}

impl ProxyState {
    /// The first call for the list, once the process stands.
    pub fn start_polling(&mut self) {
        let (now, settings) = (self.clock.now(), self.discovery_settings());
        self.discovery.schedule.begin(now, settings);
        self.schedule_discovery_timer();
    }

    /// The module wants the list followed; on a later turn, as we are inside its call.
    pub fn poll_endpoint_list(&mut self) {
        let now = self.clock.now();
        self.discovery.schedule.follow(now);
        self.schedule_discovery_timer();
    }

    /// Whoever is asked from now on may count versions otherwise.
    pub fn restart_polling(&mut self) {
        let now = self.clock.now();
        self.discovery.schedule.moved(now);
        self.schedule_discovery_timer();
    }

    fn discovery_settings(&self) -> ScheduleSettings {
        ScheduleSettings {
            max_poll_interval: self.config.max_poll_interval,
            balancers: self.config.balancers,
        }
    }

    fn schedule_discovery_timer(&mut self) {
        let discovery = &mut self.discovery;
        match discovery.deadline() {
            Some(at) if discovery.timer.is_some_and(|due| due.0 == at) => {}
            Some(at) => self
                .timers
                .move_to(&mut discovery.timer, at, TimerEvent::Discovery),
            None => self.timers.clear(&mut discovery.timer),
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
        let stream = connect(self.config.discovery)?;
        let socket =
            RegisteredSocket::new(&self.handle, stream, move |proxy| proxy.discovery_ready(id))?;
        let (read_buffer, write_buffer) = (ReadBuffer::default(), WriteBuffer::default());
        let connection = Connection {
            id,
            socket,
            read_buffer,
            write_buffer,
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
        self.counters.list_polls += 1;
        info!(self.log, "endpoint list polled"; "path" => &path, "reused" => is_reused, "call" => id.0);
        let call = format!(
            "GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.config.discovery
        );
        let Some(connection) = self.discovery.connection(id) else {
            return;
        };
        connection.write_buffer.push(Bytes::from(call));
        if is_reused {
            // What fails here is read from the connection, on a later turn.
            let _ = connection.write_buffer.drain(&connection.socket.stream);
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
        let stream = &connection.socket.stream;
        let broke = stream.take_error().is_ok_and(|problem| problem.is_some());
        if !connection.is_connected && stream.peer_addr().is_ok() {
            connection.is_connected = true;
            discovery.schedule.connected(id);
        }
        let written = connection.write_buffer.drain(stream);
        let outcome = connection.read_buffer.fill(stream, LIST_MOST);
        // A connection under way is not writable yet, which is no failure.
        let unwritten =
            written.is_err_and(|problem| problem.kind() != std::io::ErrorKind::NotConnected);
        let ended = outcome != ReadOutcome::WouldBlock;
        if !connection.is_connected {
            return if broke || ended || unwritten {
                Found::Failed(Failure::Unreached)
            } else {
                Found::Nothing
            };
        }
        if !discovery.schedule.is_called(id) {
            let unasked = ended || broke || !connection.read_buffer.bytes().is_empty();
            return if unasked {
                Found::Unasked
            } else {
                Found::Nothing
            };
        }
        match whole_list(
            connection.read_buffer.bytes(),
            outcome == ReadOutcome::Closed,
        ) {
            Ok(Some((bodies, end, lasts))) => {
                connection.look_at = None;
                let message = connection.read_buffer.take(end);
                let text = bodies
                    .iter()
                    .flat_map(|range| &message[range.clone()])
                    .copied()
                    .collect();
                Found::Answer(text, lasts && !ended)
            }
            Ok(None) if ended || broke || unwritten => {
                match connection.read_buffer.bytes().is_empty() {
                    true => Found::Failed(Failure::Ended),
                    false => Found::Failed(Failure::Cut),
                }
            }
            Ok(None) => {
                if !connection.read_buffer.bytes().is_empty() {
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
        let text = body_so_far(connection.read_buffer.bytes())?;
        Some((PartialList::read(&text), of_changes))
    }

    /// What lies on a connection that is to be closed: a list, or a part of one.
    fn last_words(&mut self, id: ConnectionId) -> Option<Result<Value, PartialList>> {
        let connection = self.discovery.connection(id)?;
        let outcome = connection
            .read_buffer
            .fill(&connection.socket.stream, LIST_MOST);
        let kept = connection.read_buffer.bytes();
        let text = match whole_list(kept, outcome == ReadOutcome::Closed) {
            Ok(Some((bodies, ..))) => bodies
                .iter()
                .flat_map(|range| &kept[range.clone()])
                .copied()
                .collect(),
            _ => body_so_far(kept)?,
        };
        Some(serde_json::from_slice(&text).map_err(|_| PartialList::read(&text)))
    }

    fn log_failed_poll(&mut self, id: ConnectionId, failure: Failure) {
        let now = self.now();
        let Some((waited, was_replaced)) = self.discovery.schedule.call_age(id, now) else {
            return;
        };
        let bytes = self
            .discovery
            .connection(id)
            .map_or(0, |connection| connection.read_buffer.bytes().len());
        info!(self.log, "endpoint list poll failed"; "reason" => reason_of(failure).code(), "call" => id.0,
            "waited_ms" => waited / 1000, "replaced" => was_replaced, "bytes" => bytes);
    }

    fn end_discovery(&mut self, id: ConnectionId, reason: CloseReason) {
        let connections = &mut self.discovery.connections;
        let Some(position) = connections
            .iter()
            .position(|connection| connection.id == id)
        else {
            return;
        };
        let connection = connections.swap_remove(position);
        self.handle.remove(connection.socket.token);
        info!(self.log, "discovery connection closed"; "reason" => reason.code(), "call" => id.0);
    }

    /// All connections to discovery end.
    pub fn end_all_discovery(&mut self, reason: CloseReason) {
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

fn reason_of(failure: Failure) -> CloseReason {
    match failure {
        Failure::Refused { .. } => CloseReason::DiscoveryError,
        Failure::Unreached => CloseReason::ConnectFailed,
        Failure::Ended => CloseReason::DiscoveryConnectionLost,
        Failure::Cut => CloseReason::DiscoveryTruncated,
        Failure::Malformed => CloseReason::MalformedMessage,
    }
}

type Whole = (Vec<std::ops::Range<usize>>, usize, bool);

/// The body of a whole answer, its end, and whether the connection lasts; nothing while part is missing.
fn whole_list(kept: &[u8], ended: bool) -> Result<Option<Whole>, Failure> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = Response::new(&mut fields);
    let head = match response.parse(kept) {
        Ok(Status::Complete(head)) => head,
        Ok(Status::Partial) if kept.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(Failure::Malformed),
    };
    if response.code != Some(200) {
        return Err(Failure::Refused {
            retry_after: retry_after(&response),
        });
    }
    let framing = http_message::framing(response.headers).map_err(|_| Failure::Malformed)?;
    let lasts = http_message::is_keep_alive(&response, framing);
    match http_message::body(kept, head, framing, ended, LIST_MOST) {
        http_message::Body::Complete {
            slices: ranges,
            end,
        } => Ok(Some((ranges, end, lasts))),
        http_message::Body::Partial if kept.len() < LIST_MOST => Ok(None),
        _ => Err(Failure::Malformed),
    }
}

/// The seconds after which discovery wants to be called again.
fn retry_after(response: &Response) -> Option<Micros> {
    let seconds: f64 = http_message::field(response.headers, "retry-after")?
        .parse()
        .ok()?;
    (seconds >= 0.0 && seconds.is_finite()).then_some((seconds * 1e6) as Micros)
}

/// What is here of the body of an answer that tells a list.
fn body_so_far(kept: &[u8]) -> Option<Vec<u8>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = Response::new(&mut fields);
    let Ok(Status::Complete(head)) = response.parse(kept) else {
        return None;
    };
    if response.code != Some(200) {
        return None;
    }
    let framing = http_message::framing(response.headers).ok()?;
    let ranges = http_message::body_so_far(kept, head, framing);
    Some(
        ranges
            .iter()
            .flat_map(|range| &kept[range.clone()])
            .copied()
            .collect(),
    )
}
