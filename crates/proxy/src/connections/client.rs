//! Clients' connections: reading, answering, closing.

use std::net::Shutdown;
use std::rc::Rc;

use bytes::Bytes;
use pinefront_policy::Micros;
use slog::info;

use crate::close_reason::CloseReason;
use crate::connections::http_message::MESSAGE_MOST;
use crate::state::buffers::ReadOutcome;
use crate::state::client_connection::{ClientConnection, PartialRequest, READ_AHEAD_BYTES};
use crate::state::keys::{ClientKey, RequestKey};
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::socket::is_hung_up;
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// How long a request may be under way, and an answer before the client has taken it all.
const SLOW_AFTER: Micros = 10_000_000;
/// How long a client may stop in the middle of a request, and how long after connecting the first may take to be here
/// whole: bad clients are owed their error or close within 3 s, and a look may come late.
const STOPS_FOR: Micros = 2_300_000;
/// How long a connection may harness between requests: a client that vanished says nothing.
const IDLE_MOST: Micros = 120_000_000;
/// How long it may harness at the least. Where many harness, those that want to send need the room.
const IDLE_LEAST: Micros = 2_100_000;
/// Part of the connections that we take from which on many harness.
const MANY: f64 = 0.3;
/// How long and how much we read away of what a client still sends after our last answer.
const LINGER: Micros = 1_000_000;
const LINGER_BYTES: usize = 1024 * 1024;
/// How long while the program stops: some trips there and back: clients close when they see our end, and each moment
/// that a balancer takes to end its zone is short of one (0.2 s cost roll days 0.02 to 0.03 of G).
const LINGER_STOPPING: Micros = 50_000;
impl Proxy {
    /// Something may be read from or written to a client's connection.
    pub fn client_ready(&mut self, key: ClientKey) {
        let looked = self.state.borrow_mut().look(key);
        match looked {
            Look::Nothing => {}
            Look::Gone(reason) => self.client_disconnected(key, reason),
            // What it sent beyond is looked at on a later turn, or one client could keep us to itself.
            Look::Message => self.read_request(key),
        }
    }

    /// A client went away; its request, if one is open, needs no answer any more.
    pub fn client_disconnected(&mut self, key: ClientKey, reason: CloseReason) {
        let mut state = self.state.borrow_mut();
        let request = state.clients.get(key).and_then(|client| client.request);
        let unanswered = request.and_then(|request| {
            let id = Rc::clone(&state.requests.get(request)?.id);
            state.detach_client(request).map(|_| id)
        });
        let reason = match unanswered {
            Some(_) => CloseReason::ClientDisconnected,
            None => reason,
        };
        state.close_client(key, reason);
        if let Some(id) = unanswered {
            state.counters.requests_disconnected += 1;
            info!(state.log, "client disconnected"; "request" => &*id);
            let now = state.now();
            drop(state);
            self.balancer.client_disconnected(now, &id);
        }
    }

    /// A client's deadline came: too slow, idle for too long, or the next request is to be looked at.
    pub fn client_timer_expired(&mut self, key: ClientKey) {
        let mut state = self.state.borrow_mut();
        let Some(client) = state.clients.get_mut(key) else {
            return;
        };
        client.timer = None;
        if client.is_lingering {
            let reason = client_reason(client);
            return state.close_client(key, reason);
        }
        if client.request.is_some() {
            return;
        }
        if !client.write_buffer.is_empty() {
            return state.close_client(key, CloseReason::SlowReader);
        }
        if !client.read_buffer.bytes().is_empty() {
            return state.reject_and_close(key, 408, CloseReason::SlowSender);
        }
        let (since, fresh, now) = (
            client.since,
            client.requests_received == 0,
            state.clock.now(),
        );
        let stood = now.saturating_sub(since);
        let many = state.clients.len() as f64 >= MANY * state.config.max_client_connections as f64;
        if fresh || stood >= IDLE_MOST || (many && stood >= IDLE_LEAST) {
            return state.finish(key, CloseReason::ClientIdle);
        }
        let again = Some(
            state
                .timers
                .schedule(now + IDLE_LEAST, TimerEvent::ClientConnection(key)),
        );
        if let Some(client) = state.clients.get_mut(key) {
            client.timer = again;
        }
    }
}

/// What a look at a client's connection found.
enum Look {
    Nothing,
    /// There may be a message to take.
    Message,
    Gone(CloseReason),
}

impl ProxyState {
    fn look(&mut self, key: ClientKey) -> Look {
        let Some(client) = self.clients.get_mut(key) else {
            return Look::Nothing;
        };
        if client.write_buffer.drain(&client.socket.stream).is_err() {
            return Look::Gone(CloseReason::ClientReset);
        }
        if client.is_lingering {
            client.discarded_bytes += client.read_buffer.bytes().len();
            client.read_buffer.forget();
            if client.discarded_bytes >= LINGER_BYTES {
                return Look::Gone(client_reason(client));
            }
        }
        let waits = client.awaits_response();
        let most = if waits {
            READ_AHEAD_BYTES
        } else {
            MESSAGE_MOST
        };
        // While we close, what is here is answered and begun requests are read on, but no further one is begun: of a
        // client that always has a next one there would be no end.
        let outcome =
            match self.closing && !client.is_lingering && (waits || client.has_unread_bytes()) {
                true if client.request.is_some() && is_hung_up(&client.socket.stream) => {
                    ReadOutcome::Closed
                }
                true => ReadOutcome::WouldBlock,
                false => client.read_buffer.fill(&client.socket.stream, most),
            };
        if client.is_lingering {
            return match outcome {
                ReadOutcome::WouldBlock => Look::Nothing,
                ReadOutcome::Full => {
                    self.timers
                        .schedule(self.clock.now(), TimerEvent::NextRequest(key));
                    Look::Nothing
                }
                ReadOutcome::Closed | ReadOutcome::Failed => Look::Gone(client_reason(client)),
            };
        }
        match outcome {
            // Its sending is over, but it may be taking an answer; if not, writing will tell.
            ReadOutcome::Closed if !client.write_buffer.is_empty() => Look::Nothing,
            ReadOutcome::Closed
                if client.request.is_none() && !client.read_buffer.bytes().is_empty() =>
            {
                Look::Gone(CloseReason::ClientTruncated)
            }
            ReadOutcome::Closed => Look::Gone(CloseReason::ClientClosed),
            // Its end lies behind what we don't read while its request is open.
            ReadOutcome::Full if client.request.is_some() && is_hung_up(&client.socket.stream) => {
                Look::Gone(CloseReason::ClientClosed)
            }
            ReadOutcome::Failed => Look::Gone(CloseReason::ClientReset),
            ReadOutcome::WouldBlock | ReadOutcome::Full if client.close_reason.is_some() => {
                self.settle(key);
                Look::Nothing
            }
            // Answers that are not taken must not pile up.
            ReadOutcome::WouldBlock | ReadOutcome::Full if waits => Look::Nothing,
            ReadOutcome::WouldBlock | ReadOutcome::Full
                if client.read_buffer.bytes().is_empty() =>
            {
                Look::Nothing
            }
            ReadOutcome::WouldBlock | ReadOutcome::Full => Look::Message,
        }
    }

    pub fn set_client_timer(&mut self, key: ClientKey, how_long: Micros) {
        let now = self.clock.now();
        if let Some(client) = self.clients.get_mut(key) {
            client.since = now;
            self.timers.move_to(
                &mut client.timer,
                now + how_long,
                TimerEvent::ClientConnection(key),
            );
        }
    }

    /// A connection stands between requests from now on. Whether it may is seen when the least time is over, and
    /// then again and again.
    pub fn client_idle(&mut self, key: ClientKey) {
        self.wait_for_more(key, IDLE_LEAST);
    }

    /// Part of a request is here. Its sender may stop for so long, and take so long in all, however it trickles in.
    pub fn wait_for_rest(&mut self, key: ClientKey) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let length = client.read_buffer.bytes().len();
        let began = client.partial_request.map_or(now, |partial| partial.began);
        let before = client
            .partial_request
            .replace(PartialRequest { length, began });
        // A connection that has brought no request yet gains no time by trickling.
        let goes_on =
            |before: PartialRequest| before.length < length && client.requests_received > 0;
        if before.is_none_or(goes_on) {
            self.wait_for_more(key, STOPS_FOR.min((began + SLOW_AFTER).saturating_sub(now)));
        }
    }

    /// A connection that has brought no request yet has no time but that since it was opened.
    fn wait_for_more(&mut self, key: ClientKey, how_long: Micros) {
        let now = self.clock.now();
        if let Some(client) = self.clients.get_mut(key) {
            client.since = now;
            let by = if client.requests_received == 0 {
                client.opened + STOPS_FOR
            } else {
                now + how_long
            };
            self.timers
                .move_to(&mut client.timer, by, TimerEvent::ClientConnection(key));
        }
    }

    /// The final answer to a request.
    pub fn answer(
        &mut self,
        request: RequestKey,
        status: u16,
        fields: Vec<Bytes>,
        body: Vec<Bytes>,
    ) {
        let Some(key) = self.detach_client(request) else {
            return;
        };
        // Many clients ask once and keep their connection: where there is a crowd, none is kept.
        let crowd = self
            .clients
            .values()
            .filter(|client| client.requests_received > 0)
            .count()
            > self.config.crowd_threshold;
        let closes =
            |client: &&mut ClientConnection| crowd && client.read_buffer.bytes().is_empty();
        if let Some(client) = self.clients.get_mut(key).filter(closes) {
            client
                .close_reason
                .get_or_insert(CloseReason::ConnectionLimit);
        }
        self.write_answer(key, status, fields, body);
    }

    pub fn write_answer(
        &mut self,
        key: ClientKey,
        status: u16,
        fields: Vec<Bytes>,
        body: Vec<Bytes>,
    ) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // What was read ahead is answered before we close.
        let closes = self.closing && client.read_buffer.bytes().is_empty();
        if client.no_keep_alive || closes {
            let reason = if closes {
                CloseReason::Shutdown
            } else {
                CloseReason::ClientNoKeepAlive
            };
            client.close_reason.get_or_insert(reason);
        }
        let close = if client.close_reason.is_some() {
            "Connection: close\r\n"
        } else {
            ""
        };
        let length: usize = body.iter().map(Bytes::len).sum();
        let head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n{close}",
            phrase(status)
        );
        client.write_buffer.push(Bytes::from(head));
        fields
            .into_iter()
            .for_each(|slice| client.write_buffer.push(slice));
        client.write_buffer.push(Bytes::from_static(b"\r\n"));
        body.into_iter()
            .for_each(|slice| client.write_buffer.push(slice));
        client.answered += 1;
        // A broken connection shows itself when it is next read.
        let _ = client.write_buffer.drain(&client.socket.stream);
        match client.write_buffer.is_empty() {
            true => self.client_idle(key),
            false => self.set_client_timer(key, SLOW_AFTER),
        }
        self.settle(key);
    }

    /// After writing: ends the connection if that is due, or sees to what the client already sent.
    fn settle(&mut self, key: ClientKey) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if client.awaits_response() || client.is_lingering {
            return;
        }
        if let Some(reason) = client.close_reason {
            self.finish(key, reason);
        } else if !client.read_buffer.bytes().is_empty() {
            // The next request lies here already: on a later turn, as we may be inside a call of the module.
            self.timers
                .schedule(self.clock.now(), TimerEvent::NextRequest(key));
        }
    }

    /// Answers what is not a request.
    pub fn reject(&mut self, key: ClientKey, status: u16) {
        self.counters.requests_malformed += 1;
        let fields = match status {
            405 => vec![Bytes::from_static(b"Allow: GET, POST\r\n")],
            _ => Vec::new(),
        };
        self.write_answer(key, status, fields, Vec::new());
    }

    /// Answers what cannot be read on from, and closes.
    pub fn reject_and_close(&mut self, key: ClientKey, status: u16, reason: CloseReason) {
        if let Some(client) = self.clients.get_mut(key) {
            client.close_reason = Some(reason);
        }
        self.reject(key, status);
    }

    /// Answers requests of which part never came, as the stop waits for them no longer.
    pub fn reject_partial_requests(&mut self) {
        let unfinished = |client: &ClientConnection| {
            !client.awaits_response() && !client.is_lingering && client.partial_request.is_some()
        };
        let keys: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| unfinished(client))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.reject_and_close(key, 503, CloseReason::Shutdown);
        }
    }

    /// Closes connections that harness between requests, once what they sent has been looked at.
    pub fn close_idle_clients(&mut self) {
        let idle = |client: &ClientConnection| {
            !client.awaits_response() && client.read_buffer.bytes().is_empty()
        };
        let keys: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| idle(client) && !client.is_lingering)
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.finish(key, CloseReason::Shutdown);
        }
    }

    /// The one way in which we end a connection that may have brought requests: our sending is over, what still comes is
    /// read away and not acted on, then it is closed. A close over unread bytes would be a reset, and take the last
    /// answer with it; a request that crosses ours is the client's to send again elsewhere.
    fn finish(&mut self, key: ClientKey, reason: CloseReason) {
        let how_long = if self.closing {
            LINGER_STOPPING
        } else {
            LINGER
        };
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.close_reason.get_or_insert(reason);
        client.is_lingering = true;
        client.read_buffer.forget();
        match client.answered > 0 && client.socket.stream.shutdown(Shutdown::Write).is_ok() {
            true => self.set_client_timer(key, how_long),
            // Nothing was answered that could be lost.
            false => self.close_client(key, reason),
        }
    }

    pub fn close_client(&mut self, key: ClientKey, reason: CloseReason) {
        let Some(mut client) = self.clients.remove(key) else {
            return;
        };
        self.timers.clear(&mut client.timer);
        self.handle.remove(client.socket.token);
        self.counters.client_connections_closed += 1;
        info!(self.log, "client connection closed"; "reason" => reason.code(), "peer" => %client.peer,
            "responses" => client.answered);
    }
}

/// Why a connection that we close closes.
fn client_reason(client: &ClientConnection) -> CloseReason {
    client.close_reason.unwrap_or(CloseReason::ClientClosed)
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Answer",
    }
}
