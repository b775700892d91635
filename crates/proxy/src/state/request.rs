//! Clients' requests while they are in flight.

use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use pinefront_policy::{AttemptOutcome, Idempotency, Micros};
use slotmap::SlotMap;

use crate::state::keys::{ClientKey, EndpointConnectionKey, RequestKey};

/// A request that has no final response yet, or still has an attempt in flight. Its message is
/// slices of the buffer that it was read into.
pub struct Request {
    /// The id that the client gave it.
    pub id: Rc<str>,
    /// The client's connection; none once it has its response or has disconnected.
    pub client: Option<ClientKey>,
    /// The request line and the fields that are forwarded.
    pub head: Vec<Bytes>,
    /// The body's slices.
    pub body: Vec<Bytes>,
    /// The head holds a `Host` field.
    pub has_host: bool,
    /// The method is one that has a body, even an empty one.
    pub has_body: bool,
    /// Bytes of the whole message.
    pub length: usize,
    /// The connection of each attempt, while it is in flight.
    pub attempts: Vec<Option<EndpointConnectionKey>>,
    /// Its idempotency by the settings under which it was received.
    pub idempotency: Idempotency,
    /// When the first attempt was sent that may have run, in microseconds.
    pub may_have_run_since: Option<Micros>,
}

impl Request {
    /// Whether the client has its response or has disconnected, and no attempt is in flight.
    fn is_finished(&self) -> bool {
        self.client.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

/// A request of which an attempt has ended.
pub struct FinishedAttempt {
    /// The request's id.
    pub request_id: Rc<str>,
    /// A client still waits for the response.
    pub is_awaited: bool,
}

/// The requests in flight. A request leaves the table once its client needs no response and none of
/// its attempts is in flight.
#[derive(Default)]
pub struct RequestTable {
    requests: SlotMap<RequestKey, Request>,
    by_id: HashMap<Rc<str>, RequestKey>,
}

impl RequestTable {
    /// Adds a request under its id, which must not be in flight yet.
    pub fn insert(&mut self, request: Request) -> RequestKey {
        let id = Rc::clone(&request.id);
        let key = self.requests.insert(request);
        self.by_id.insert(id, key);
        key
    }

    /// The key of the request with that id.
    pub fn key_of(&self, id: &str) -> Option<RequestKey> {
        self.by_id.get(id).copied()
    }

    /// The request with that key.
    pub fn get(&self, key: RequestKey) -> Option<&Request> {
        self.requests.get(key)
    }

    /// The request with that key, to be changed.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.requests.get_mut(key)
    }

    /// The number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The number of ids, which is that of the requests.
    #[cfg(test)]
    pub fn id_count(&self) -> usize {
        self.by_id.len()
    }

    /// Bytes of all messages.
    pub fn buffered_bytes(&self) -> usize {
        self.requests.values().map(|request| request.length).sum()
    }

    /// Whether some client waits for a response.
    pub fn is_any_awaited(&self) -> bool {
        self.requests
            .values()
            .any(|request| request.client.is_some())
    }

    /// Detaches the client from a request: it needs no response any more. Returns the client's
    /// connection, if there was one.
    pub fn detach_client(&mut self, key: RequestKey) -> Option<ClientKey> {
        let client = self.requests.get_mut(key)?.client.take()?;
        self.remove_if_finished(key);
        Some(client)
    }

    /// Records that an attempt has ended, which was started at `started_at`, in microseconds.
    /// Returns none where the request is no longer in flight.
    pub fn finish_attempt(
        &mut self,
        key: RequestKey,
        number: usize,
        outcome: AttemptOutcome,
        started_at: Micros,
    ) -> Option<FinishedAttempt> {
        let request = self.requests.get_mut(key)?;
        if let Some(connection) = request.attempts.get_mut(number) {
            *connection = None;
        }
        if !outcome.proves_not_run() {
            request.may_have_run_since.get_or_insert(started_at);
        }
        let finished = FinishedAttempt {
            request_id: Rc::clone(&request.id),
            is_awaited: request.client.is_some(),
        };
        self.remove_if_finished(key);
        Some(finished)
    }

    fn remove_if_finished(&mut self, key: RequestKey) {
        if self.requests.get(key).is_some_and(Request::is_finished)
            && let Some(request) = self.requests.remove(key)
        {
            self.by_id.remove(&request.id);
        }
    }
}
