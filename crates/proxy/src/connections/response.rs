//! Endpoint responses: parsing, reporting to the policy and forwarding to clients.

use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use httparse::{Header, Response};
use pinefront_policy::AttemptOutcome;

use crate::close_reason::CloseReason;
use crate::connections::client_response::ClientResponse;
use crate::connections::forwarded_message::forwarded_message;
use crate::connections::http_message::{self, MAX_FIELDS};
use crate::connections::load_report::{LOAD_REPORT_FIELD, load_report};
use crate::connections::response_parser::ResponseFrame;
use crate::connections::status_code::StatusCode;
use crate::state::endpoint_connection::Exchange;
use crate::state::keys::{EndpointConnectionKey, EndpointKey};
use crate::state::memory::MemoryPool;
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::request::FinishedAttempt;

/// A complete response that was taken from its connection.
struct ReceivedResponse {
    message: Bytes,
    exchange: Exchange,
    endpoint: EndpointKey,
    endpoint_id: Rc<str>,
}

impl Proxy {
    /// Handles a complete response at the front of a connection's read buffer.
    pub fn handle_endpoint_response(&mut self, key: EndpointConnectionKey, frame: &ResponseFrame) {
        let mut borrowed = self.state.borrow_mut();
        let state = &mut *borrowed;
        let now = state.now();
        let Some(received) = state.take_response(key, frame) else {
            return;
        };
        let exchange = received.exchange;
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = Response::new(&mut fields);
        // The same bytes were already parsed to find the end of the message. If parsing fails here,
        // the attempt counts as failed.
        let parsed = head.parse(&received.message[..frame.head_length]);
        let outcome = attempt_outcome(head.code.filter(|_| parsed.is_ok()), head.headers);
        let reports_load = state.config.reports_load || exchange.is_probe();
        let load = load_report(head.headers).filter(|_| reports_load);
        state.counters.load_reports += u64::from(load.is_some());
        state.release_endpoint_connection(key, frame.is_reusable);
        let finished = state.finish_exchange(&exchange, outcome);
        if outcome == AttemptOutcome::Succeeded
            && finished
                .as_ref()
                .is_some_and(|finished| finished.is_awaited)
        {
            state.counters.requests_succeeded += 1;
            let body = frame.body.clone();
            let response = forwarded_response(
                &received.message,
                head.headers,
                body,
                &state.memory.responses,
            );
            state.respond(exchange.request, response);
        }
        drop(borrowed);
        if let Some(load) = load {
            self.balancer
                .load_reported(now, &received.endpoint_id, load);
        }
        if exchange.is_probe() {
            return self
                .report_probe_result(received.endpoint, outcome == AttemptOutcome::Succeeded);
        }
        if let Some(finished) = finished {
            let elapsed = now.saturating_sub(exchange.started_at);
            let id = &finished.request_id;
            self.report_attempt(now, id, exchange.number, outcome, elapsed);
        }
    }
}

impl ProxyState {
    /// Takes a response and its exchange from a connection.
    fn take_response(
        &mut self,
        key: EndpointConnectionKey,
        frame: &ResponseFrame,
    ) -> Option<ReceivedResponse> {
        let connection = self.endpoint_connections.get_mut(key)?;
        let exchange = connection.exchange.take()?;
        let endpoint = connection.endpoint;
        let endpoint_id = Rc::clone(&self.endpoints.get(endpoint)?.id);
        connection.requests_carried += 1;
        Some(ReceivedResponse {
            message: connection.read_buffer.take(frame.end),
            exchange,
            endpoint,
            endpoint_id,
        })
    }

    /// Keeps a connection for reuse after a response, or closes it. Bytes after the response are
    /// unsolicited.
    fn release_endpoint_connection(&mut self, key: EndpointConnectionKey, is_reusable: bool) {
        let Some(connection) = self.endpoint_connections.get(key) else {
            return;
        };
        let endpoint = connection.endpoint;
        let has_unsolicited_bytes = !connection.read_buffer.bytes().is_empty();
        if is_reusable && connection.write_buffer.is_empty() && !has_unsolicited_bytes {
            self.return_to_pool(key);
        } else {
            self.close_endpoint_connection(key, CloseReason::EndpointNoKeepAlive);
        }
        if has_unsolicited_bytes {
            self.record_unsolicited_bytes(endpoint);
        }
    }

    /// Records the end of an attempt. Returns `None` for a health check and for a request that is
    /// no longer in flight.
    fn finish_exchange(
        &mut self,
        exchange: &Exchange,
        outcome: AttemptOutcome,
    ) -> Option<FinishedAttempt> {
        if exchange.is_probe() {
            return None;
        }
        self.counters.count_outcome(outcome);
        self.requests.finish_attempt(
            exchange.request,
            exchange.number,
            outcome,
            exchange.started_at,
        )
    }
}

/// Returns the outcome of an attempt from the status and the header fields of its response.
fn attempt_outcome(status: Option<u16>, fields: &[Header]) -> AttemptOutcome {
    let is_rejected = http_message::field_value(fields, "x-turned-away") == Some("1");
    match status {
        Some(200) => AttemptOutcome::Succeeded,
        Some(503 | 504) if is_rejected => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}

/// Returns the response to the client.
fn forwarded_response(
    message: &Bytes,
    fields: &[Header],
    body: Range<usize>,
    memory: &Arc<MemoryPool>,
) -> ClientResponse {
    let mut lines = Vec::new();
    http_message::append_field_lines(&mut lines, fields, |name| {
        http_message::is_end_to_end(name) && !name.eq_ignore_ascii_case(LOAD_REPORT_FIELD)
    });
    let forwarded = forwarded_message(lines, message, body, memory);
    ClientResponse {
        status: StatusCode::OK,
        fields: vec![forwarded.head],
        body: vec![forwarded.body],
    }
}
