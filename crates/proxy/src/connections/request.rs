//! Client requests: reception, validation and transfer to the policy.

use std::rc::Rc;

use bytes::Bytes;
use httparse::Request as RequestHead;
use pinefront_policy::{Idempotency, Micros, RequestArrival};
use slog::info;

use crate::connections::forwarded_message::{ForwardedMessage, forwarded_message};
use crate::connections::http_message::{self, MAX_FIELDS};
use crate::connections::request_error::RequestError;
use crate::connections::request_parser::{
    ID_FIELD, REMAINING_FIELD, RequestMessage, RequestParameters, request_parameters, target_path,
};
use crate::state::finished_requests::RequestNames;
use crate::state::keys::{ClientKey, RequestKey};
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::request::{ReadRequest, Request};

#[cfg(test)]
mod tests;

/// Maximum part of a request's remaining time that is reserved for sending the response to the
/// client, in microseconds.
const MAX_RETURN_TIME_US: Micros = 10_000;
/// Divisor of the remaining time that limits this reserve for short remaining times.
const RETURN_TIME_DIVISOR: Micros = 10;
/// Time after the accept of a connection during which its request may have been sent before the
/// accept.
const SENT_BEFORE_ACCEPT_US: Micros = 20_000;

impl Proxy {
    /// Takes the first complete request from a client's read buffer, if there is one, and passes it
    /// to the policy.
    pub fn read_request(&mut self, key: ClientKey) {
        let mut borrowed = self.state.borrow_mut();
        let state = &mut *borrowed;
        let Some(message) = state.take_request_message(key) else {
            return;
        };
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = RequestHead::new(&mut fields);
        let parsed = head.parse(&message.bytes[..message.head_length]);
        let (Ok(_), Some(method), Some(target)) = (parsed, head.method, head.path) else {
            // Unreachable: the same bytes were already parsed to find the end of the message.
            return state.reject(key, RequestError::MalformedMessage);
        };
        state.record_keep_alive(key, &head);
        let path = target_path(target);
        // A class may have the same name as a page, so a request with an id is treated as a
        // request of the class.
        if http_message::field_value(head.headers, ID_FIELD).is_none()
            && state.serve_own_page(key, method, path)
        {
            return;
        }
        let parameters = match request_parameters(&state.config, method, path, head.headers) {
            Ok(parameters) => parameters,
            Err(error) => return state.reject(key, error),
        };
        let now = state.now();
        if let Err(error) = state.check_first_run(&parameters, now) {
            return state.reject(key, error);
        }
        let deadline = state.request_deadline(key, now, parameters.remaining);
        let idempotency = state.config.idempotencies[parameters.class];
        let identity = RequestIdentity {
            id: parameters.id,
            names: parameters.names,
            idempotency,
        };
        let request = state.add_request(key, &identity, &message, &head);
        let arrival = ReadRequest {
            request,
            class: parameters.class,
            tenant: parameters.tenant,
            deadline,
            work_hint: parameters.work_hint,
            key: parameters.ordering_key,
        };
        drop(borrowed);
        self.pass_or_hold_request(now, key, arrival);
    }

    /// Passes a request to the policy or, if it is ordered by key, holds it until all requests that
    /// arrived earlier have been read.
    fn pass_or_hold_request(&mut self, now: Micros, client: ClientKey, request: ReadRequest) {
        if !self.balancer.is_ordered_by_key(request.class, request.key) {
            return self.pass_request(now, request);
        }
        let mut state = self.state.borrow_mut();
        let client = state.clients.get(client);
        let arrived_at = client.map(|client| client.read_buffer.arrived_at());
        let arrived_at = arrived_at.unwrap_or_default();
        state.ordered_arrivals.hold(request, arrived_at);
    }

    /// Passes the held requests to the policy that no earlier one can follow, at the end of an
    /// iteration of the event loop.
    pub fn pass_ordered_requests(&mut self) {
        let (now, arrivals) = {
            let mut state = self.state.borrow_mut();
            (state.now(), state.ordered_arrivals.end_iteration())
        };
        for arrival in arrivals {
            self.pass_request(now, arrival);
        }
    }

    /// Passes a request to the policy, unless its client has disconnected in the meantime.
    fn pass_request(&mut self, now: Micros, arrival: ReadRequest) {
        let state = self.state.borrow();
        let request = state.requests.get(arrival.request);
        let Some(request) = request.filter(|request| request.client.is_some()) else {
            return;
        };
        let id = Rc::clone(&request.id);
        drop(state);
        let arrival = RequestArrival {
            id: &id,
            class: arrival.class,
            tenant: arrival.tenant,
            deadline: arrival.deadline,
            work_hint: arrival.work_hint,
            key: arrival.key,
        };
        self.balancer.request_arrived(now, arrival);
    }
}

/// The id and the idempotency of a request.
pub struct RequestIdentity<'a> {
    /// Request id, assigned by the client.
    pub id: &'a str,
    /// The names by which the request is recognized if it comes again.
    pub names: RequestNames,
    /// Idempotency of its class.
    pub idempotency: Idempotency,
}

impl ProxyState {
    /// Checks that a request is not in flight and has not run before, and that it could be remembered
    /// if its client left.
    fn check_first_run(
        &mut self,
        parameters: &RequestParameters,
        now: Micros,
    ) -> Result<(), RequestError> {
        if self.requests.key_of(parameters.id).is_some() {
            return Err(RequestError::DuplicateId);
        }
        if parameters.names.is_idempotent() {
            return Ok(());
        }
        if self.finished_requests.may_have_run(&parameters.names, now) {
            self.counters.requests_returned += 1;
            info!(self.log, "request returned"; "request" => parameters.id);
            return Err(RequestError::MayHaveRun);
        }
        if self.finished_requests.is_full(now) {
            return Err(RequestError::MemoryLimit);
        }
        Ok(())
    }

    /// Takes a complete message from the front of a client's read buffer. If the message is
    /// incomplete, waits for the rest of it; if it is invalid, rejects it.
    fn take_request_message(&mut self, key: ClientKey) -> Option<RequestMessage> {
        let client = self.clients.get_mut(key)?;
        match client.parser.advance(&mut client.read_buffer) {
            Ok(Some(frame)) => {
                client.has_sent_continue = false;
                client.partial_request = None;
                Some(RequestMessage {
                    bytes: client.read_buffer.take(frame.end),
                    head_length: frame.head_length,
                    body: frame.body,
                })
            }
            Ok(None) => {
                self.send_continue(key);
                self.wait_for_rest_of_request(key);
                self.reserve_for_request(key);
                None
            }
            Err(error) => {
                self.reject(key, error);
                None
            }
        }
    }

    /// Sends `100 Continue` once if the request at the front of the read buffer expects it.
    fn send_continue(&mut self, key: ClientKey) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if client.has_sent_continue || !client.parser.expects_continue() {
            return;
        }
        client.has_sent_continue = true;
        client
            .write_buffer
            .push(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"));
        // A lost connection is detected by the next read.
        let _ = client.write_buffer.flush(&client.socket.stream);
    }

    /// Records whether the connection has to be closed after this response. HTTP/1.0 has no
    /// persistent connections unless both sides request them, and this proxy does not.
    fn record_keep_alive(&mut self, key: ClientKey, head: &RequestHead) {
        if let Some(client) = self.clients.get_mut(key) {
            client.closes_after_response =
                http_message::contains_token(head.headers, "connection", "close")
                    || head.version == Some(0);
        }
    }

    /// Returns the time by which the response must be sent to the client, in microseconds. The
    /// remaining time counts from when the request was sent: the request may have waited in the
    /// socket, while this process was busy or had paused reading, and before that a new connection
    /// may have waited in the backlog.
    fn request_deadline(&mut self, key: ClientKey, now: Micros, remaining: Micros) -> Micros {
        let in_backlog = self
            .clients
            .get(key)
            .filter(|client| now < client.accepted_at + SENT_BEFORE_ACCEPT_US)
            .map_or(0, |client| client.backlog_wait);
        let unread = self
            .clients
            .get_mut(key)
            .map_or(0, |client| client.take_unread_time(now));
        let waited = self
            .loop_iteration
            .delay_at(now)
            .max(in_backlog)
            .max(unread);
        let return_time = MAX_RETURN_TIME_US.min(remaining / RETURN_TIME_DIVISOR);
        (now + remaining)
            .saturating_sub(return_time + waited)
            .max(now)
    }

    /// Adds a client's request to the table and returns its key.
    pub fn add_request(
        &mut self,
        key: ClientKey,
        identity: &RequestIdentity,
        message: &RequestMessage,
        head: &RequestHead,
    ) -> RequestKey {
        let text = forwarded_head(head);
        let ForwardedMessage { head: text, body } = forwarded_message(
            text,
            &message.bytes,
            message.body.clone(),
            &self.memory.requests,
        );
        let request = self.requests.insert(Request {
            id: Rc::from(identity.id),
            names: identity.names,
            client: Some(key),
            head: text,
            body,
            has_host: http_message::field_value(head.headers, "host").is_some(),
            has_body: head.method != Some("GET"),
            attempts: Vec::new(),
            idempotency: identity.idempotency,
            may_have_run_since: None,
            possible_runs: Vec::new(),
        });
        self.counters.requests_received += 1;
        if let Some(client) = self.clients.get_mut(key) {
            client.request = Some(request);
            self.active_clients += usize::from(client.requests_received == 0);
            client.requests_received += 1;
            client.consecutive_rejections = 0;
            self.timers.clear(&mut client.timer);
        }
        request
    }
}

/// Returns the request line and the header fields that are forwarded to endpoints.
fn forwarded_head(head: &RequestHead) -> Vec<u8> {
    let mut text = Vec::new();
    text.extend_from_slice(head.method.unwrap_or("").as_bytes());
    text.push(b' ');
    text.extend_from_slice(head.path.unwrap_or("").as_bytes());
    text.extend_from_slice(b" HTTP/1.1\r\n");
    http_message::append_field_lines(&mut text, head.headers, |name| {
        http_message::is_end_to_end(name) && !name.eq_ignore_ascii_case(REMAINING_FIELD)
    });
    text
}
