//! Requests: what clients ask is checked and decoded, and goes to the module as a request.

use std::ops::Range;
use std::rc::Rc;

use bytes::Bytes;
use httparse::{Header, Status};
use pinefront_policy::{Idempotency, Micros, RequestArrival};
use siphasher::sip::SipHasher13;

use crate::close_reason::CloseReason;
use crate::config::Config;
use crate::connections::http_message::{
    self, BODY_MOST, Body, Conflicting, FIELDS_MOST, Framing, HEAD_MOST, MESSAGE_MOST,
};
use crate::state::client_connection::{ClientConnection, READ_AHEAD_BYTES};
use crate::state::keys::ClientKey;
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::request::Request;

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

impl Proxy {
    /// Takes the first whole message out of a client's read buffer, if there is one.
    pub fn read_request(&mut self, key: ClientKey) {
        let mut borrowed = self.state.borrow_mut();
        let state = &mut *borrowed;
        let long = |client: &ClientConnection| client.read_buffer.bytes().len() > READ_AHEAD_BYTES;
        if state.clients.get(key).is_some_and(long)
            && state.buffered_bytes() > state.config.max_message_bytes
        {
            // Nothing of it was sent on. Small messages go on being taken: they are bounded by their number.
            return state.reject_and_close(key, 503, CloseReason::MemoryLimit);
        }
        let Some(client) = state.clients.get_mut(key) else {
            return;
        };
        let (head, body, end) = match parse_request(client.read_buffer.bytes()) {
            Ok(Some(found)) => found,
            Ok(None) => {
                if !client.sent_continue && expects_continue(client.read_buffer.bytes()) {
                    client.sent_continue = true;
                    client
                        .write_buffer
                        .push(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"));
                    // A broken connection shows itself when it is next read.
                    let _ = client.write_buffer.drain(&client.socket.stream);
                }
                return state.wait_for_rest(key);
            }
            Err((status, reason)) => {
                return state.reject_and_close(key, status, reason);
            }
        };
        let message = client.read_buffer.take(end);
        (client.sent_continue, client.partial_request) = (false, None);
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut asked = httparse::Request::new(&mut fields);
        let (Ok(_), Some(method), Some(target)) =
            (asked.parse(&message[..head]), asked.method, asked.path)
        else {
            // Cannot be: it was parsed a moment ago.
            return state.reject_and_close(key, 400, CloseReason::Malformed);
        };
        let fields = &*asked.headers;
        // HTTP/1.0 has no connection that lasts unless both sides say so, and we do not.
        client.no_keep_alive =
            http_message::contains_token(fields, "connection", "close") || asked.version == Some(0);
        let path = path(target);
        // A class may be named like a page: what carries an id is a client's request.
        if http_message::field(fields, "x-txn").is_none() && state.serve_own_page(key, method, path)
        {
            return;
        }
        let Some(class) = class(&state.config, fields, path) else {
            return state.reject(key, 404);
        };
        let wanted = if state.config.idempotencies[class] == Idempotency::Idempotent {
            "GET"
        } else {
            "POST"
        };
        if method != wanted {
            return state.reject(key, 405);
        }
        let labelled = matches!(
            state.config.idempotencies[class],
            Idempotency::IdempotencyKey { .. }
        );
        let (id, wait) = (request_id(fields), remaining(fields));
        let (Some(id), Some(wait)) = (id, wait) else {
            return state.reject(key, 400);
        };
        if labelled && http_message::only_field(fields, "idempotency-key").is_none_or(str::is_empty)
        {
            return state.reject(key, 400);
        }
        if state.requests.key_of(id).is_some() {
            // A second request under one id would push out the first, which then had no answer.
            return state.reject(key, 409);
        }
        let now = state.now();
        // What a new connection brings is read a turn after it was accepted, and may have lain as long as that waited.
        let waited = state
            .clients
            .get(key)
            .filter(|client| now < client.opened + AT_ONCE);
        let late = state
            .loop_iteration
            .late(now)
            .max(waited.map_or(0, |client| client.waited));
        let spent = WAY_BACK.min(wait / WAY_BACK_PART) + late;
        let hard_stop = (now + wait).saturating_sub(spent).max(now);
        let account = http_message::field(fields, "x-org")
            .map_or(state.config.tenants.len(), |name| {
                state.config.tenant_index(name)
            });
        let hint = http_message::field(fields, "x-estimate").and_then(|hint| hint.parse().ok());
        let ordering_key = http_message::field(fields, "x-entity").map(ordering_key_hash);
        let idempotency = state.config.idempotencies[class];
        let request = state.add_request(key, id, idempotency, &message, &asked, &body);
        drop(borrowed);
        let arrival = RequestArrival {
            id: &request,
            class,
            tenant: account,
            deadline: hard_stop,
            work_hint: hint,
            key: ordering_key,
        };
        self.balancer.request_arrived(now, arrival);
    }
}

impl ProxyState {
    pub fn add_request(
        &mut self,
        key: ClientKey,
        id: &str,
        idempotency: Idempotency,
        message: &Bytes,
        asked: &httparse::Request,
        body: &[Range<usize>],
    ) -> Rc<str> {
        let part = |text: Option<&str>| {
            message.slice(http_message::byte_range(
                message,
                text.unwrap_or("").as_bytes(),
            ))
        };
        let (space, version) = (
            Bytes::from_static(b" "),
            Bytes::from_static(b" HTTP/1.1\r\n"),
        );
        let mut head = vec![part(asked.method), space, part(asked.path), version];
        head.extend(http_message::lines(message, asked.headers, |name| {
            http_message::is_end_to_end(name) && !name.eq_ignore_ascii_case("x-remaining-ms")
        }));
        let body = body
            .iter()
            .map(|range| message.slice(range.clone()))
            .collect();
        let id: Rc<str> = Rc::from(id);
        let request = Request {
            id: Rc::clone(&id),
            client: Some(key),
            head,
            body,
            has_host: http_message::field(asked.headers, "host").is_some(),
            has_body: asked.method != Some("GET"),
            length: message.len(),
            attempts: Vec::new(),
            idempotency,
            may_have_run_since: None,
        };
        let request = self.requests.insert(request);
        self.counters.requests_received += 1;
        if let Some(client) = self.clients.get_mut(key) {
            client.request = Some(request);
            client.requests_received += 1;
            self.timers.clear(&mut client.timer);
        }
        id
    }

    /// Pages about the balancer itself.
    fn serve_own_page(&mut self, key: ClientKey, method: &str, path: &str) -> bool {
        let (status, text) = match path {
            "/health/ready" if self.stopping.is_some() || !self.discovery.has_usable_list() => {
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
            "GET" => self.write_answer(key, status, Vec::new(), vec![Bytes::from(text)]),
            _ => self.reject(key, 405),
        }
        true
    }
}

/// Whether a whole head asks for word before its sender goes on with the body.
fn expects_continue(kept: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut asked = httparse::Request::new(&mut fields);
    let whole = asked.parse(kept).is_ok_and(|status| status.is_complete());
    whole && http_message::contains_token(asked.headers, "expect", "100-continue")
}

type Found = (usize, Vec<Range<usize>>, usize);

/// The length of the head, where the body lies and where the message ends; nothing while part is missing.
fn parse_request(kept: &[u8]) -> Result<Option<Found>, (u16, CloseReason)> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut asked = httparse::Request::new(&mut fields);
    let head = match asked.parse(kept) {
        Ok(Status::Complete(head)) if head <= HEAD_MOST => head,
        Ok(Status::Partial) if kept.len() < HEAD_MOST => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Err((431, CloseReason::HeadTooLarge));
        }
        Err(_) => return Err((400, CloseReason::Malformed)),
    };
    if !http_message::has_only_crlf(&kept[..head]) {
        return Err((400, CloseReason::Malformed));
    }
    let framing = match http_message::framing(asked.headers) {
        Ok(Framing::UntilClose) => Framing::Length(0),
        // HTTP/1.0 knows no chunks: others would read this body otherwise.
        Ok(Framing::Chunked) if asked.version == Some(0) => {
            return Err((400, CloseReason::Malformed));
        }
        Ok(framing) => framing,
        Err(Conflicting) => return Err((400, CloseReason::Malformed)),
    };
    match http_message::body(kept, head, framing, false, BODY_MOST) {
        // One that fills the read buffer would leave the next unread in the socket, and nothing would call us back.
        Body::Complete(ranges, end) if end < MESSAGE_MOST => Ok(Some((head, ranges, end))),
        Body::Partial if kept.len() < MESSAGE_MOST => Ok(None),
        Body::Complete(..) | Body::Partial | Body::TooLong => Err((413, CloseReason::BodyTooLarge)),
        Body::Malformed => Err((400, CloseReason::Malformed)),
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
fn class(config: &Config, fields: &[Header], path: &str) -> Option<usize> {
    let named = path.strip_prefix('/')?.split('/').next()?;
    match http_message::field(fields, "x-lane") {
        Some(lane) if lane != named => None,
        _ => config
            .classes
            .iter()
            .position(|name| name == named && !name.is_empty()),
    }
}

fn request_id<'a>(fields: &[Header<'a>]) -> Option<&'a str> {
    let id = http_message::only_field(fields, "x-txn")?;
    (!id.is_empty() && id.len() <= ID_MOST && id.bytes().all(|byte| byte.is_ascii_graphic()))
        .then_some(id)
}

/// A key as a number, alike at all balancers whatever its length. Keys that meet in one only wait for each other.
fn ordering_key_hash(text: &str) -> u64 {
    SipHasher13::new().hash(text.as_bytes())
}

/// How long the client waits, in microseconds.
fn remaining(fields: &[Header]) -> Option<Micros> {
    let text = http_message::only_field(fields, "x-remaining-ms")?;
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| 1000 * text.parse().unwrap_or(WAIT_MOST_MS).min(WAIT_MOST_MS))
}
