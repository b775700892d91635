//! Endpoints' answers: found whole, read, and passed on.

use std::ops::Range;
use std::rc::Rc;

use httparse::{Header, Response, Status};
use pinefront_policy::{AttemptOutcome, LoadReport};

use crate::close_reason::CloseReason;
use crate::connections::http_message::{
    self, BODY_MOST, Body, FIELDS_MOST, Framing, HEAD_MOST, MESSAGE_MOST,
};
use crate::state::buffers::ReadBuffer;
use crate::state::keys::EndpointConnectionKey;
use crate::state::proxy::Proxy;

#[cfg(test)]
mod tests;

/// Most words of an answer to come that are read over at once: a server that says nothing else never answers.
const WORDS_MOST: usize = 16;

/// What was found in the read buffer of a connection to an endpoint.
pub enum Look {
    /// Part of the response is missing.
    Nothing,
    /// The connection's end, as the attempt on it sees it.
    Over(AttemptOutcome, CloseReason),
    /// A complete response: the length of its head, where its body lies and where it ends, and whether the
    /// connection can be reused.
    Answer(usize, Vec<Range<usize>>, usize, bool),
}

impl Proxy {
    pub fn response_received(
        &mut self,
        key: EndpointConnectionKey,
        head: usize,
        body: &[Range<usize>],
        end: usize,
        whole: bool,
    ) {
        let mut borrowed = self.state.borrow_mut();
        let state = &mut *borrowed;
        let now = state.now();
        let Some(connection) = state.endpoint_connections.get_mut(key) else {
            return;
        };
        let Some(exchange) = connection.exchange.take() else {
            return;
        };
        let (probe_completed, endpoint_key) = (exchange.is_probe(), connection.endpoint);
        let Some(endpoint) = state
            .endpoints
            .get(endpoint_key)
            .map(|endpoint| Rc::clone(&endpoint.id))
        else {
            return;
        };
        let message = connection.read_buffer.take(end);
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut response = Response::new(&mut fields);
        // It was parsed a moment ago; if that failed now, it would be taken for a failure.
        let parsed = response.parse(&message[..head]);
        let status = response.code.filter(|_| parsed.is_ok()).unwrap_or(0);
        let turned_away = http_message::field(response.headers, "x-turned-away") == Some("1");
        let ending = match status {
            200 => AttemptOutcome::Succeeded,
            503 | 504 if turned_away => AttemptOutcome::Rejected,
            _ => AttemptOutcome::Failed,
        };
        let load = match state.config.reports_load || probe_completed {
            true => load(response.headers),
            false => None,
        };
        connection.requests_carried += 1;
        state.counters.load_reports += u64::from(load.is_some());
        let has_unsolicited_bytes = !connection.read_buffer.bytes().is_empty();
        match whole
            && connection.write_buffer.is_empty()
            && connection.read_buffer.bytes().is_empty()
        {
            true => state.keep_idle(key),
            false => state.close_endpoint_connection(key, CloseReason::EndpointNoKeepAlive),
        }
        if has_unsolicited_bytes {
            state.received_unsolicited(endpoint_key);
        }
        let finished =
            state
                .requests
                .finish_attempt(exchange.request, exchange.number, ending, exchange.sent);
        if !probe_completed {
            state.count_ending(ending);
        }
        let last = ending == AttemptOutcome::Succeeded;
        if last
            && finished
                .as_ref()
                .is_some_and(|finished| finished.is_awaited)
        {
            let own = |name: &str| {
                http_message::is_end_to_end(name) && !name.eq_ignore_ascii_case("x-pressure")
            };
            let lines = http_message::lines(&message, response.headers, own);
            let body = body
                .iter()
                .map(|range| message.slice(range.clone()))
                .collect();
            state.counters.requests_succeeded += 1;
            state.answer(exchange.request, 200, lines, body);
        }
        drop(borrowed);
        if let Some((utilisation, queue, in_flight)) = load {
            let report = LoadReport {
                utilisation,
                queue,
                in_flight,
            };
            self.balancer.load_reported(now, &endpoint, report);
        }
        if probe_completed {
            return self.probe_finished(endpoint_key, last);
        }
        if let Some(finished) = finished {
            let id = finished.request_id;
            self.state
                .borrow()
                .log_attempt(&id, exchange.number, ending);
            let took = now.saturating_sub(exchange.sent);
            self.balancer
                .attempt_ended(now, &id, exchange.number, last, ending, took);
        }
    }
}

/// The whole answer at the front of an read_buffer; `Nothing` while part is missing, none for nonsense. `ended` says that the
/// connection ended in order, which is the end of an answer that states no length; a reset is none.
pub fn parse_response(read_buffer: &mut ReadBuffer, ended: bool) -> Option<Look> {
    for _ in 0..=WORDS_MOST {
        let kept = read_buffer.bytes();
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut response = Response::new(&mut fields);
        let head = match response.parse(kept).ok()? {
            Status::Complete(head) if head <= HEAD_MOST => head,
            Status::Partial if kept.len() < HEAD_MOST => return Some(Look::Nothing),
            Status::Complete(_) | Status::Partial => return None,
        };
        match response.code? {
            101 => return None,
            // Word of an answer to come.
            100..=199 => {
                read_buffer.take(head);
                continue;
            }
            _ => {}
        }
        let framing = match response.code? {
            204 | 304 => Framing::Length(0),
            _ => http_message::framing(response.headers).ok()?,
        };
        let lasts = http_message::is_keep_alive(&response, framing);
        return match http_message::body(kept, head, framing, ended, BODY_MOST) {
            Body::Complete(ranges, end) => Some(Look::Answer(head, ranges, end, lasts)),
            Body::Partial if kept.len() < MESSAGE_MOST => Some(Look::Nothing),
            Body::Partial | Body::TooLong | Body::Malformed => None,
        };
    }
    None
}

/// What an endpoint tells of its load: how busy it is, and its queue or else what it holds. A report that can't be
/// read tells nothing, not that there is no load.
fn load(fields: &[Header]) -> Option<Load> {
    http_message::texts(fields, "x-pressure")
        .map(figures)
        .find(|told| *told != (None, None, None))
}

/// How busy an endpoint is, its queue, and what it holds in all.
pub type Load = (Option<f64>, Option<f64>, Option<f64>);

pub fn figures(text: &str) -> Load {
    let (mut busy, mut queue, mut held) = (None, None, None);
    for part in text.strip_prefix("TEXT").unwrap_or(text).split(',') {
        let Some((name, value)) = part.split_once('=') else {
            continue;
        };
        let value = value
            .trim()
            .parse()
            .ok()
            .filter(|value: &f64| value.is_finite());
        match name.trim() {
            "util" | "busy" => busy = value,
            "queue" | "q" => queue = value,
            "inflight" | "rif" => held = value,
            _ => {}
        }
    }
    (busy, queue, held)
}
