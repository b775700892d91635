//! Clients' connections: taking tickets in, answering them, closing.

use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use bytes::Bytes;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use httparse::{Header, Request, Status};
use pinefront::{Effect, Micros};
use slog::{info, warn};

use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::buffers::{Inbox, Inflow, Outbox};
use crate::memory::deadlines::Due;
use crate::memory::desk::{Client, Desk, Ticket, Wired};
use crate::memory::slots::{ClientSlot, TicketSlot};
use crate::wire::heads::{
    self, BODY_MOST, Body, CHUNKING_MOST, Conflicting, FIELDS_MOST, Framing, HEAD_MOST,
};

#[cfg(test)]
mod tests;

/// How long a request may be under way, and an answer before the client has taken it all.
const SLOW_AFTER: Micros = 10_000_000;
/// How long a connection may stand between tickets: a client that vanished says nothing.
const IDLE_MOST: Micros = 120_000_000;
/// How long we read away what a client still sends after our last answer.
const LINGER: Micros = 1_000_000;
/// How long accepting rests when no descriptor can be had.
const ACCEPT_REST: Micros = 10_000;
/// Connections taken at once: those already served must not wait for a storm of new ones.
const ACCEPT_AT_ONCE: usize = 64;
/// What a message may take in the inbox: a head, a body, and a chunked body's framing.
const KEPT_MOST: usize = HEAD_MOST + BODY_MOST + CHUNKING_MOST;
/// Read while the client's ticket is open or its answer not taken: enough to see it leave, and no second message
/// is kept beside the first.
const READ_AHEAD: usize = 4 * 1024;
/// Longest id taken.
const ID_MOST: usize = 128;
/// An answer must be with the client by its hard stop, and is so much under way at most; of short times it
/// takes no more than this part.
const WAY_BACK: Micros = 10_000;
const WAY_BACK_PART: u64 = 10;
/// The longest wait believed of a client: beyond it lies no use case, only overflow.
const WAIT_MOST_MS: u64 = 3_600_000;

impl Node {
    /// Takes in what the listener has; true where more may be waiting.
    pub fn accept(&mut self) -> bool {
        for _ in 0..ACCEPT_AT_ONCE {
            let mut desk = self.desk.borrow_mut();
            let Some(listener) = desk.listener.as_ref().map(|(listener, _)| Rc::clone(listener)) else {
                return false;
            };
            if desk.clients.len() >= desk.place.clients_most && !desk.make_room() {
                desk.rest_accepting();
                return false;
            }
            match listener.accept() {
                Ok((stream, peer)) => desk.welcome(stream, peer),
                Err(problem) if problem.kind() == ErrorKind::WouldBlock => return false,
                Err(problem) if problem.kind() == ErrorKind::Interrupted => {}
                Err(problem) if problem.kind() == ErrorKind::ConnectionAborted => {}
                Err(problem) => {
                    desk.counters.accepts_failed += 1;
                    warn!(desk.log, "accept failed"; "problem" => %problem);
                    // Out of descriptors: what lies in the backlog counts as taken, so an idle one gives way.
                    if !desk.make_room() {
                        desk.rest_accepting();
                        return false;
                    }
                }
            }
        }
        true
    }

    /// Something may be read from or written to a client's connection.
    pub fn client_ready(&mut self, slot: ClientSlot) {
        let looked = self.desk.borrow_mut().look(slot);
        match looked {
            Look::Nothing => {}
            Look::Gone(reason) => self.client_gone(slot, reason),
            // What it sent beyond is looked at on a later turn, or one client could keep us to itself.
            Look::Message => self.take_message(slot),
        }
    }

    /// Takes the first whole message out of a client's inbox, if there is one.
    fn take_message(&mut self, slot: ClientSlot) {
        let mut borrowed = self.desk.borrow_mut();
        let desk = &mut *borrowed;
        let Some(client) = desk.clients.get_mut(slot) else { return };
        let (head, body, end) = match whole_request(client.inbox.kept()) {
            Ok(Some(found)) => found,
            Ok(None) => {
                if !client.continued && expects_word(client.inbox.kept()) {
                    client.continued = true;
                    client.outbox.push(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"));
                    // A broken connection shows itself when it is next read.
                    let _ = client.outbox.drain(&client.wired.stream);
                }
                return desk.wait_for_rest(slot);
            }
            Err((status, reason)) => {
                return desk.turn_off(slot, status, reason);
            }
        };
        let message = client.inbox.take(end);
        client.continued = false;
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut request = Request::new(&mut fields);
        let (Ok(_), Some(method), Some(target)) =
            (request.parse(&message[..head]), request.method, request.path)
        else {
            // Cannot be: it was parsed a moment ago.
            return desk.turn_off(slot, 400, reasons::MALFORMED);
        };
        let fields = &*request.headers;
        client.last = heads::lists(fields, "connection", "close")
            || (request.version == Some(0) && !heads::lists(fields, "connection", "keep-alive"));
        let path = path(target);
        if desk.own_page(slot, method, path) {
            return;
        }
        let Some(use_case) = use_case(&desk.place, fields, path) else {
            return desk.refuse(slot, 404);
        };
        let wanted = if desk.place.effects[use_case] == Effect::Redoable { "GET" } else { "POST" };
        if method != wanted {
            return desk.refuse(slot, 405);
        }
        let labelled = matches!(desk.place.effects[use_case], Effect::Labelled { .. });
        let (id, wait) = (ticket_id(fields), remaining(fields));
        let (Some(id), Some(wait)) = (id, wait) else {
            return desk.refuse(slot, 400);
        };
        if labelled && heads::field(fields, "idempotency-key").is_none_or(str::is_empty) {
            return desk.refuse(slot, 400);
        }
        if desk.by_id.contains_key(id) {
            // A second ticket under one id would push out the first, which then had no answer.
            return desk.refuse(slot, 409);
        }
        let now = desk.now();
        let spent = WAY_BACK.min(wait / WAY_BACK_PART) + desk.turn.late(now);
        let hard_stop = (now + wait).saturating_sub(spent).max(now);
        let account =
            heads::field(fields, "x-org").map_or(desk.place.accounts.len(), |name| desk.place.account(name));
        let key = heads::field(fields, "x-entity").map(key_number);
        let hint = heads::field(fields, "x-estimate").and_then(|hint| hint.parse().ok());
        let ticket = desk.open(slot, id, &message, &request, &body);
        drop(borrowed);
        self.balancer.ticket_arrived(now, &ticket, use_case, account, key, hard_stop, hint);
    }

    /// A client went away; its ticket, if one is open, needs no answer any more.
    pub fn client_gone(&mut self, slot: ClientSlot, reason: &'static str) {
        let mut desk = self.desk.borrow_mut();
        let ticket = desk.clients.get(slot).and_then(|client| client.ticket);
        let left = ticket.and_then(|ticket| desk.release(ticket));
        desk.end_client(slot, if left.is_some() { reasons::CLIENT_LEFT } else { reason });
        if let Some((id, _)) = left {
            desk.counters.tickets_left += 1;
            let now = desk.now();
            drop(desk);
            self.balancer.client_left(now, &id);
        }
    }

    /// A client's deadline came: too slow, idle for too long, or the next ticket is to be looked at.
    pub fn client_due(&mut self, slot: ClientSlot) {
        let mut desk = self.desk.borrow_mut();
        let Some(client) = desk.clients.get_mut(slot) else { return };
        client.due = None;
        if client.lingers {
            let reason = client_reason(client);
            return desk.end_client(slot, reason);
        }
        if client.ticket.is_some() {
            return;
        }
        if !client.outbox.is_empty() {
            return desk.end_client(slot, reasons::SLOW_READER);
        }
        if client.inbox.kept().is_empty() {
            return desk.end_client(slot, reasons::CLIENT_IDLE);
        }
        desk.turn_off(slot, 408, reasons::SLOW_SENDER);
    }
}

/// What a look at a client's connection found.
enum Look {
    Nothing,
    /// There may be a message to take.
    Message,
    Gone(&'static str),
}

impl Desk {
    fn look(&mut self, slot: ClientSlot) -> Look {
        let Some(client) = self.clients.get_mut(slot) else { return Look::Nothing };
        if client.outbox.drain(&client.wired.stream).is_err() {
            return Look::Gone(reasons::CLIENT_RESET);
        }
        if client.lingers {
            client.inbox.forget();
        }
        let waits = client.ticket.is_some() || !client.outbox.is_empty();
        let most = if waits { READ_AHEAD } else { KEPT_MOST };
        let inflow = client.inbox.fill(&client.wired.stream, most);
        if client.lingers {
            return match inflow {
                Inflow::Dry => Look::Nothing,
                Inflow::Full => {
                    self.deadlines.hang(self.clock.now(), Due::NextRequest(slot));
                    Look::Nothing
                }
                Inflow::Ended | Inflow::Broken => Look::Gone(client_reason(client)),
            };
        }
        match inflow {
            Inflow::Ended if client.ticket.is_none() && !client.inbox.kept().is_empty() => {
                Look::Gone(reasons::CLIENT_CUT_SHORT)
            }
            Inflow::Ended => Look::Gone(reasons::CLIENT_CLOSED),
            Inflow::Broken => Look::Gone(reasons::CLIENT_RESET),
            Inflow::Dry | Inflow::Full if client.ending.is_some() => {
                self.settle(slot);
                Look::Nothing
            }
            // Answers that are not taken must not pile up.
            Inflow::Dry | Inflow::Full if client.ticket.is_some() || !client.outbox.is_empty() => {
                Look::Nothing
            }
            Inflow::Dry | Inflow::Full if client.inbox.kept().is_empty() => Look::Nothing,
            Inflow::Dry | Inflow::Full => Look::Message,
        }
    }

    fn welcome(&mut self, stream: TcpStream, peer: SocketAddr) {
        let ready = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
        let (handle, stream) = (self.handle.clone(), Rc::new(stream));
        let made = ready.map_err(|problem| problem.to_string()).and_then(|()| {
            self.clients.try_insert_with_key(|slot| {
                let source = Generic::new(Rc::clone(&stream), Interest::BOTH, Mode::Edge);
                let token = handle.insert_source(source, move |_, _, node: &mut Node| {
                    node.client_ready(slot);
                    Ok(PostAction::Continue)
                });
                let wired = Wired { stream, token: token.map_err(|problem| problem.to_string())? };
                Ok(Client {
                    wired,
                    peer,
                    inbox: Inbox::default(),
                    outbox: Outbox::default(),
                    ticket: None,
                    last: false,
                    answered: 0,
                    ending: None,
                    lingers: false,
                    continued: false,
                    due: None,
                })
            })
        });
        match made {
            Ok(slot) => {
                self.counters.clients_accepted += 1;
                self.client_waits(slot, IDLE_MOST);
            }
            Err(problem) => {
                self.counters.accepts_failed += 1;
                warn!(self.log, "connection lost at once"; "reason" => reasons::NOT_WIRED, "peer" => %peer,
                    "problem" => problem);
            }
        }
    }

    /// Closes a client's connection that waits for nothing of ours, or an idle one to an upstream: first those
    /// that stood between tickets for longest, then fresh ones, then those with part of a request.
    fn make_room(&mut self) -> bool {
        let waits = |client: &&Client| client.ticket.is_none() && client.outbox.is_empty();
        // What lies unread in the socket may be a whole request, and then it is taken.
        let unread = |client: &Client| client.wired.stream.peek(&mut [0]).is_ok_and(|count| count > 0);
        let last = |client: &Client| (!client.inbox.kept().is_empty(), client.answered == 0, client.due);
        let mut waiting: Vec<_> = self.clients.iter().filter(|(_, client)| waits(client)).collect();
        waiting.sort_by_key(|(_, client)| last(client));
        match waiting.into_iter().find(|(_, client)| !unread(client)).map(|(slot, _)| slot) {
            Some(slot) => self.end_client(slot, reasons::MADE_ROOM),
            None => return self.drop_idle_link(),
        }
        true
    }

    fn rest_accepting(&mut self) {
        if let Some((_, token)) = &self.listener {
            if let Err(problem) = self.handle.disable(token) {
                warn!(self.log, "cannot rest accepting"; "problem" => %problem);
            }
            self.deadlines.hang(self.clock.now() + ACCEPT_REST, Due::Accept);
        }
    }

    fn client_waits(&mut self, slot: ClientSlot, how_long: Micros) {
        let at = self.clock.now() + how_long;
        if let Some(client) = self.clients.get_mut(slot) {
            self.deadlines.move_to(&mut client.due, at, Due::Client(slot));
        }
    }

    /// Part of a request is here: from its first bytes on its time runs, however it trickles in.
    fn wait_for_rest(&mut self, slot: ClientSlot) {
        let by = self.clock.now() + SLOW_AFTER;
        let waits = self.clients.get(slot).and_then(|client| client.due);
        if waits.is_none_or(|waits| waits.0 > by) {
            self.client_waits(slot, SLOW_AFTER);
        }
    }

    pub fn open(
        &mut self,
        slot: ClientSlot,
        id: &str,
        message: &Bytes,
        request: &Request,
        body: &[std::ops::Range<usize>],
    ) -> Rc<str> {
        let part = |text: Option<&str>| message.slice(heads::place(message, text.unwrap_or("").as_bytes()));
        let (space, version) = (Bytes::from_static(b" "), Bytes::from_static(b" HTTP/1.1\r\n"));
        let mut head = vec![part(request.method), space, part(request.path), version];
        head.extend(heads::lines(message, request.headers, |name| {
            heads::goes_on(name) && !name.eq_ignore_ascii_case("x-remaining-ms")
        }));
        let body = body.iter().map(|range| message.slice(range.clone())).collect();
        let id: Rc<str> = Rc::from(id);
        let ticket = Ticket {
            id: Rc::clone(&id),
            client: Some(slot),
            head,
            body,
            has_host: heads::field(request.headers, "host").is_some(),
            has_body: request.method != Some("GET"),
            dispatches: Vec::new(),
        };
        let ticket = self.tickets.insert(ticket);
        self.by_id.insert(Rc::clone(&id), ticket);
        self.counters.tickets_taken += 1;
        if let Some(client) = self.clients.get_mut(slot) {
            client.ticket = Some(ticket);
            self.deadlines.clear(&mut client.due);
        }
        id
    }

    /// The final answer to a ticket.
    pub fn answer(&mut self, ticket: TicketSlot, status: u16, fields: Vec<Bytes>, body: Vec<Bytes>) {
        if let Some((_, client)) = self.release(ticket) {
            self.write_answer(client, status, fields, body);
        }
    }

    fn write_answer(&mut self, slot: ClientSlot, status: u16, fields: Vec<Bytes>, body: Vec<Bytes>) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        if client.last || self.stopping {
            let reason = if self.stopping { reasons::STOPPED } else { reasons::CLIENT_LAST };
            client.ending.get_or_insert(reason);
        }
        let close = if client.ending.is_some() { "Connection: close\r\n" } else { "" };
        let length: usize = body.iter().map(Bytes::len).sum();
        let head = format!("HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n{close}", phrase(status));
        client.outbox.push(Bytes::from(head));
        fields.into_iter().for_each(|slice| client.outbox.push(slice));
        client.outbox.push(Bytes::from_static(b"\r\n"));
        body.into_iter().for_each(|slice| client.outbox.push(slice));
        client.answered += 1;
        // A broken connection shows itself when it is next read.
        let _ = client.outbox.drain(&client.wired.stream);
        match client.outbox.is_empty() {
            true => self.client_waits(slot, IDLE_MOST),
            false => self.client_waits(slot, SLOW_AFTER),
        }
        self.settle(slot);
    }

    /// After writing: ends the connection if that is due, or sees to what the client already sent.
    fn settle(&mut self, slot: ClientSlot) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        if !client.outbox.is_empty() || client.ticket.is_some() || client.lingers {
            return;
        }
        if client.ending.is_some() {
            client.lingers = true;
            client.inbox.forget();
            if client.wired.stream.shutdown(Shutdown::Write).is_err() {
                let reason = client_reason(client);
                return self.end_client(slot, reason);
            }
            self.client_waits(slot, LINGER);
        } else if !client.inbox.kept().is_empty() {
            // The next request lies here already: on a later turn, as we may be inside a call of the module.
            self.deadlines.hang(self.clock.now(), Due::NextRequest(slot));
        }
    }

    /// Answers what is not a ticket.
    fn refuse(&mut self, slot: ClientSlot, status: u16) {
        self.counters.malformed += 1;
        let allow = |method| vec![Bytes::from_static(b"Allow: "), method, Bytes::from_static(b"\r\n")];
        let fields = match status {
            405 => allow(Bytes::from_static(b"GET, POST")),
            _ => Vec::new(),
        };
        self.write_answer(slot, status, fields, Vec::new());
    }

    /// Answers what cannot be read on from, and closes.
    fn turn_off(&mut self, slot: ClientSlot, status: u16, reason: &'static str) {
        if let Some(client) = self.clients.get_mut(slot) {
            client.ending = Some(reason);
        }
        self.refuse(slot, status);
    }

    /// Pages about the balancer itself.
    fn own_page(&mut self, slot: ClientSlot, method: &str, path: &str) -> bool {
        let (status, text) = match path {
            "/health/ready" if self.stopping || !self.roster.stands(self.clock.now()) => {
                (503, "not ready\n".into())
            }
            "/health/ready" => (200, "ready\n".into()),
            "/health/live" => (200, "live\n".into()),
            "/stats" => (200, self.counters.to_string()),
            _ => return false,
        };
        match method {
            "GET" => self.write_answer(slot, status, Vec::new(), vec![Bytes::from(text)]),
            _ => self.refuse(slot, 405),
        }
        true
    }

    /// Closes connections that stand between tickets, once what they sent has been looked at.
    pub fn close_idle_clients(&mut self, fresh_too: bool) {
        let idle = |client: &Client| {
            client.ticket.is_none() && client.outbox.is_empty() && client.inbox.kept().is_empty()
        };
        let slots: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| idle(client) && !client.lingers && (fresh_too || client.answered > 0))
            .map(|(slot, _)| slot)
            .collect();
        for slot in slots {
            self.end_client(slot, reasons::STOPPED);
        }
    }

    pub fn end_client(&mut self, slot: ClientSlot, reason: &'static str) {
        let Some(mut client) = self.clients.remove(slot) else { return };
        self.deadlines.clear(&mut client.due);
        self.handle.remove(client.wired.token);
        self.counters.clients_ended += 1;
        info!(self.log, "client ended"; "reason" => reason, "peer" => %client.peer, "answered" => client.answered);
    }
}

/// Why a connection that we close closes.
fn client_reason(client: &Client) -> &'static str {
    client.ending.unwrap_or(reasons::CLIENT_CLOSED)
}

/// Whether a whole head asks for word before its sender goes on with the body.
fn expects_word(kept: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut request = Request::new(&mut fields);
    let whole = request.parse(kept).is_ok_and(|status| status.is_complete());
    whole && heads::lists(request.headers, "expect", "100-continue")
}

type Found = (usize, Vec<std::ops::Range<usize>>, usize);

/// The length of the head, where the body lies and where the message ends; nothing while part is missing.
fn whole_request(kept: &[u8]) -> Result<Option<Found>, (u16, &'static str)> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut request = Request::new(&mut fields);
    let head = match request.parse(kept) {
        Ok(Status::Complete(head)) if head <= HEAD_MOST => head,
        Ok(Status::Partial) if kept.len() < HEAD_MOST => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err((431, reasons::HEAD_TOO_LARGE)),
        Err(_) => return Err((400, reasons::MALFORMED)),
    };
    let framing = match heads::framing(request.headers) {
        Ok(Framing::Unsaid) => Framing::Length(0),
        Ok(framing) => framing,
        Err(Conflicting) => return Err((400, reasons::MALFORMED)),
    };
    match heads::body(kept, head, framing, false, BODY_MOST) {
        // One that fills the inbox would leave the next unread in the socket, and nothing would call us back.
        Body::Whole(ranges, end) if end < KEPT_MOST => Ok(Some((head, ranges, end))),
        Body::Partial if kept.len() < KEPT_MOST => Ok(None),
        Body::Whole(..) | Body::Partial | Body::TooLong => Err((413, reasons::BODY_TOO_LARGE)),
        Body::Nonsense => Err((400, reasons::MALFORMED)),
    }
}

/// The path of a target, which may name a host before it and a query behind it.
fn path(target: &str) -> &str {
    let path = match target.split_once("://") {
        Some((_, rest)) if !target.starts_with('/') => &rest[rest.find('/').unwrap_or(rest.len())..],
        _ => target,
    };
    path.split('?').next().unwrap_or(path)
}

/// The use case named by the first part of the path and, where it is given, by the class field.
fn use_case(place: &crate::life::start::Place, fields: &[Header], path: &str) -> Option<usize> {
    let named = path.strip_prefix('/')?.split('/').next()?;
    match heads::field(fields, "x-lane") {
        Some(lane) if lane != named => None,
        _ => place.use_cases.iter().position(|name| name == named),
    }
}

fn ticket_id<'a>(fields: &[Header<'a>]) -> Option<&'a str> {
    let id = heads::only_field(fields, "x-txn")?;
    (!id.is_empty() && id.len() <= ID_MOST && id.bytes().all(|byte| byte.is_ascii_graphic())).then_some(id)
}

/// How long the client waits, in microseconds.
fn remaining(fields: &[Header]) -> Option<Micros> {
    let text = heads::only_field(fields, "x-remaining-ms")?;
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| 1000 * text.parse().unwrap_or(WAIT_MOST_MS).min(WAIT_MOST_MS))
}

/// A key as a number, whatever its form: equal texts are equal numbers at all balancers (FNV-1a).
fn key_number(text: &str) -> u64 {
    let text = text.strip_prefix("k=").unwrap_or(text);
    let mixed = |sum: u64, byte| (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    text.parse().unwrap_or_else(|_| text.bytes().fold(0xcbf2_9ce4_8422_2325, mixed))
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
