//! Requests: what clients ask is checked and decoded, and goes to the module as a ticket.

use std::ops::Range;
use std::rc::Rc;

use bytes::Bytes;
use httparse::{Header, Request, Status};
use pinefront_policy::{Idempotency, Micros};
use siphasher::sip::SipHasher13;

use crate::life::place::Place;
use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::desk::{Client, Desk, Ticket};
use crate::memory::slots::ClientSlot;
use crate::wire::clients::READ_AHEAD;
use crate::wire::heads::{
    self, BODY_MOST, Body, Conflicting, FIELDS_MOST, Framing, HEAD_MOST, MESSAGE_MOST,
};

#[cfg(test)]
mod tests;

/// Longest id taken.
const ID_MOST: usize = 128;
/// An answer must be with the client by its hard stop, and is so much under way at most; of short times it
/// takes no more than this part.
const WAY_BACK: Micros = 10_000;
const WAY_BACK_PART: u64 = 10;
/// How soon after it was accepted a connection's request counts as sent before that.
const AT_ONCE: Micros = 20_000;
/// The longest wait believed of a client: beyond it lies no use case, only overflow.
const WAIT_MOST_MS: u64 = 3_600_000;

impl Node {
    /// Takes the first whole message out of a client's inbox, if there is one.
    pub fn take_message(&mut self, slot: ClientSlot) {
        let mut borrowed = self.desk.borrow_mut();
        let desk = &mut *borrowed;
        let long = |client: &Client| client.inbox.kept().len() > READ_AHEAD;
        if desk.clients.get(slot).is_some_and(long) && desk.kept() > desk.place.messages_most {
            // Nothing of it was sent on. Small messages go on being taken: they are bounded by their number.
            return desk.turn_off(slot, 503, reasons::NO_ROOM);
        }
        let Some(client) = desk.clients.get_mut(slot) else {
            return;
        };
        let (head, body, end) = match whole_message(client.inbox.kept()) {
            Ok(Some(found)) => found,
            Ok(None) => {
                if !client.continued && expects_word(client.inbox.kept()) {
                    client.continued = true;
                    client
                        .outbox
                        .push(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"));
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
        (client.continued, client.partial) = (false, None);
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut asked = Request::new(&mut fields);
        let (Ok(_), Some(method), Some(target)) =
            (asked.parse(&message[..head]), asked.method, asked.path)
        else {
            // Cannot be: it was parsed a moment ago.
            return desk.turn_off(slot, 400, reasons::MALFORMED);
        };
        let fields = &*asked.headers;
        // HTTP/1.0 has no connection that lasts unless both sides say so, and we do not.
        client.last = heads::lists(fields, "connection", "close") || asked.version == Some(0);
        let path = path(target);
        // A class may be named like a page: what carries an id is a client's request.
        if heads::field(fields, "x-txn").is_none() && desk.own_page(slot, method, path) {
            return;
        }
        let Some(use_case) = use_case(&desk.place, fields, path) else {
            return desk.reject(slot, 404);
        };
        let wanted = if desk.place.effects[use_case] == Idempotency::Idempotent {
            "GET"
        } else {
            "POST"
        };
        if method != wanted {
            return desk.reject(slot, 405);
        }
        let labelled = matches!(
            desk.place.effects[use_case],
            Idempotency::IdempotencyKey { .. }
        );
        let (id, wait) = (ticket_id(fields), remaining(fields));
        let (Some(id), Some(wait)) = (id, wait) else {
            return desk.reject(slot, 400);
        };
        if labelled && heads::only_field(fields, "idempotency-key").is_none_or(str::is_empty) {
            return desk.reject(slot, 400);
        }
        if desk.by_id.contains_key(id) {
            // A second ticket under one id would push out the first, which then had no answer.
            return desk.reject(slot, 409);
        }
        let now = desk.now();
        // What a new connection brings is read a turn after it was accepted, and may have lain as long as that waited.
        let waited = desk
            .clients
            .get(slot)
            .filter(|client| now < client.opened + AT_ONCE);
        let late = desk
            .turn
            .late(now)
            .max(waited.map_or(0, |client| client.waited));
        let spent = WAY_BACK.min(wait / WAY_BACK_PART) + late;
        let hard_stop = (now + wait).saturating_sub(spent).max(now);
        let account = heads::field(fields, "x-org")
            .map_or(desk.place.accounts.len(), |name| desk.place.account(name));
        let hint = heads::field(fields, "x-estimate").and_then(|hint| hint.parse().ok());
        let key = heads::field(fields, "x-entity").map(key_number);
        let idempotency = desk.place.effects[use_case];
        let ticket = desk.open(slot, id, idempotency, &message, &asked, &body);
        drop(borrowed);
        self.balancer
            .request_arrived(now, &ticket, use_case, account, hard_stop, hint, key);
    }
}

impl Desk {
    pub fn open(
        &mut self,
        slot: ClientSlot,
        id: &str,
        idempotency: Idempotency,
        message: &Bytes,
        asked: &Request,
        body: &[Range<usize>],
    ) -> Rc<str> {
        let part = |text: Option<&str>| {
            message.slice(heads::place(message, text.unwrap_or("").as_bytes()))
        };
        let (space, version) = (
            Bytes::from_static(b" "),
            Bytes::from_static(b" HTTP/1.1\r\n"),
        );
        let mut head = vec![part(asked.method), space, part(asked.path), version];
        head.extend(heads::lines(message, asked.headers, |name| {
            heads::goes_on(name) && !name.eq_ignore_ascii_case("x-remaining-ms")
        }));
        let body = body
            .iter()
            .map(|range| message.slice(range.clone()))
            .collect();
        let id: Rc<str> = Rc::from(id);
        let ticket = Ticket {
            id: Rc::clone(&id),
            client: Some(slot),
            head,
            body,
            has_host: heads::field(asked.headers, "host").is_some(),
            has_body: asked.method != Some("GET"),
            length: message.len(),
            dispatches: Vec::new(),
            idempotency,
            may_have_run_since: None,
        };
        let ticket = self.tickets.insert(ticket);
        self.by_id.insert(Rc::clone(&id), ticket);
        self.counters.tickets_taken += 1;
        if let Some(client) = self.clients.get_mut(slot) {
            client.ticket = Some(ticket);
            client.tickets += 1;
            self.deadlines.clear(&mut client.due);
        }
        id
    }

    /// Pages about the balancer itself.
    fn own_page(&mut self, slot: ClientSlot, method: &str, path: &str) -> bool {
        let (status, text) = match path {
            "/health/ready" if self.stopping.is_some() || !self.discovery.stands() => {
                (503, "not ready\n".into())
            }
            "/health/ready" => (200, "ready\n".into()),
            "/health/live" => (200, "live\n".into()),
            "/stats" => (200, self.counters.to_string()),
            _ if path.starts_with("/duty/") => match &self.fleet {
                Some(fleet) => fleet.borrow().lease_page(&path["/duty/".len()..]),
                None => return false,
            },
            "/fleet" => match &self.fleet {
                Some(fleet) => (200, fleet.borrow().page()),
                None => return false,
            },
            _ => return false,
        };
        match method {
            "GET" => self.write_answer(slot, status, Vec::new(), vec![Bytes::from(text)]),
            _ => self.reject(slot, 405),
        }
        true
    }
}

/// Whether a whole head asks for word before its sender goes on with the body.
fn expects_word(kept: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut asked = Request::new(&mut fields);
    let whole = asked.parse(kept).is_ok_and(|status| status.is_complete());
    whole && heads::lists(asked.headers, "expect", "100-continue")
}

type Found = (usize, Vec<Range<usize>>, usize);

/// The length of the head, where the body lies and where the message ends; nothing while part is missing.
fn whole_message(kept: &[u8]) -> Result<Option<Found>, (u16, &'static str)> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut asked = Request::new(&mut fields);
    let head = match asked.parse(kept) {
        Ok(Status::Complete(head)) if head <= HEAD_MOST => head,
        Ok(Status::Partial) if kept.len() < HEAD_MOST => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err((431, reasons::HEAD_TOO_LARGE)),
        Err(_) => return Err((400, reasons::MALFORMED)),
    };
    if !heads::lines_end(&kept[..head]) {
        return Err((400, reasons::MALFORMED));
    }
    let framing = match heads::framing(asked.headers) {
        Ok(Framing::Unsaid) => Framing::Length(0),
        // HTTP/1.0 knows no chunks: others would read this body otherwise.
        Ok(Framing::Chunked) if asked.version == Some(0) => return Err((400, reasons::MALFORMED)),
        Ok(framing) => framing,
        Err(Conflicting) => return Err((400, reasons::MALFORMED)),
    };
    match heads::body(kept, head, framing, false, BODY_MOST) {
        // One that fills the inbox would leave the next unread in the socket, and nothing would call us back.
        Body::Whole(ranges, end) if end < MESSAGE_MOST => Ok(Some((head, ranges, end))),
        Body::Partial if kept.len() < MESSAGE_MOST => Ok(None),
        Body::Whole(..) | Body::Partial | Body::TooLong => Err((413, reasons::BODY_TOO_LARGE)),
        Body::Nonsense => Err((400, reasons::MALFORMED)),
    }
}

/// The path of a target, which may name a host before it and a query behind it.
fn path(target: &str) -> &str {
    let path = match target.split_once("://") {
        Some((_, rest)) if !target.starts_with('/') => {
            &rest[rest.find('/').unwrap_or(rest.len())..]
        }
        _ => target,
    };
    path.split('?').next().unwrap_or(path)
}

/// The use case named by the first part of the path and, where it is given, by the class field.
fn use_case(place: &Place, fields: &[Header], path: &str) -> Option<usize> {
    let named = path.strip_prefix('/')?.split('/').next()?;
    match heads::field(fields, "x-lane") {
        Some(lane) if lane != named => None,
        _ => place
            .classes
            .iter()
            .position(|name| name == named && !name.is_empty()),
    }
}

fn ticket_id<'a>(fields: &[Header<'a>]) -> Option<&'a str> {
    let id = heads::only_field(fields, "x-txn")?;
    (!id.is_empty() && id.len() <= ID_MOST && id.bytes().all(|byte| byte.is_ascii_graphic()))
        .then_some(id)
}

/// A key as a number, alike at all balancers whatever its length. Keys that meet in one only wait for each other.
fn key_number(text: &str) -> u64 {
    SipHasher13::new().hash(text.as_bytes())
}

/// How long the client waits, in microseconds.
fn remaining(fields: &[Header]) -> Option<Micros> {
    let text = heads::only_field(fields, "x-remaining-ms")?;
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| 1000 * text.parse().unwrap_or(WAIT_MOST_MS).min(WAIT_MOST_MS))
}
