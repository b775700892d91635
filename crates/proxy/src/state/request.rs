//! Client requests in flight.

use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use pinefront_policy::{AttemptOutcome, EndpointLocation, Idempotency, Micros};
use slotmap::SlotMap;

use crate::state::finished_requests::RequestNames;
use crate::state::keys::{ClientKey, EndpointConnectionKey, EndpointKey, RequestKey};

/// A request that has no final response yet or still has an attempt in flight. Its message is
/// released with the final response, after which nothing more is sent.
pub struct Request {
    /// Request id, assigned by the client.
    pub id: Rc<str>,
    /// The names by which the request is recognized if it comes again.
    pub names: RequestNames,
    /// Connection of the client; `None` once the client has its response or has disconnected.
    pub client: Option<ClientKey>,
    /// Request line and the header fields that are forwarded.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
    /// Whether the head contains a `Host` field.
    pub has_host: bool,
    /// Whether the method has a body, even if the body is empty.
    pub has_body: bool,
    /// Connection of each attempt; `None` once the attempt has ended.
    pub attempts: Vec<Option<EndpointConnectionKey>>,
    /// Idempotency, according to the settings in effect when the request was received.
    pub idempotency: Idempotency,
    /// When the first attempt that may have run was sent, in microseconds.
    pub may_have_run_since: Option<Micros>,
    /// Where attempts may have run: those whose bytes were written, unless their outcome proves
    /// that they did not run.
    pub possible_runs: Vec<PossibleRun>,
}

/// A request that was read and not yet passed to the policy.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest {
    /// The request.
    pub request: RequestKey,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Time by which the response must be sent to the client, in microseconds.
    pub deadline: Micros,
    /// Expected service time in microseconds, if the client gives one.
    pub work_hint: Option<Micros>,
    /// Hash of its ordering key.
    pub key: Option<u64>,
}

/// An attempt that was written to a connection and may have run.
#[derive(Clone, Copy, Debug)]
pub struct PossibleRun {
    /// Index of the attempt in its request.
    pub number: usize,
    /// The endpoint to which it was sent.
    pub endpoint: EndpointKey,
    /// Location of the endpoint at that time; `None` once it is unknown which process received the
    /// attempt.
    pub location: Option<EndpointLocation>,
}

impl Request {
    /// Returns the names of the request if an attempt was written that may have run.
    pub fn names_if_possibly_run(&self) -> Option<RequestNames> {
        let may_have_run = self.may_have_run_since.is_some() || !self.possible_runs.is_empty();
        may_have_run.then_some(self.names)
    }

    /// Whether the client has its response or has disconnected, and no attempt is in flight.
    fn is_finished(&self) -> bool {
        self.client.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

/// The state of a request when one of its attempts ends.
pub struct FinishedAttempt {
    /// Request id.
    pub request_id: Rc<str>,
    /// Whether a client still waits for the response.
    pub is_awaited: bool,
}

/// The requests in flight. A request is removed from the table once its client needs no response
/// and none of its attempts is in flight.
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

    /// Returns the key of the request with this id.
    pub fn key_of(&self, id: &str) -> Option<RequestKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the request with this key.
    pub fn get(&self, key: RequestKey) -> Option<&Request> {
        self.requests.get(key)
    }

    /// Returns the request with this key for modification.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.requests.get_mut(key)
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of ids, which equals the number of requests.
    #[cfg(test)]
    pub fn id_count(&self) -> usize {
        self.by_id.len()
    }

    /// Whether any client waits for a response.
    pub fn has_waiting_client(&self) -> bool {
        self.requests
            .values()
            .any(|request| request.client.is_some())
    }

    /// Detaches the client from a request, which then needs no response any more. Returns the
    /// client's connection, if there was one.
    pub fn detach_client(&mut self, key: RequestKey) -> Option<ClientKey> {
        let request = self.requests.get_mut(key)?;
        let client = request.client.take()?;
        request.head = Bytes::new();
        request.body = Bytes::new();
        self.remove_if_finished(key);
        Some(client)
    }

    /// Records that it is unknown which process received the attempts at an endpoint.
    pub fn forget_location(&mut self, endpoint: EndpointKey) {
        let runs = self
            .requests
            .values_mut()
            .flat_map(|request| &mut request.possible_runs);
        for run in runs.filter(|run| run.endpoint == endpoint) {
            run.location = None;
        }
    }

    /// Records the end of an attempt that was started at `started_at`, in microseconds. Returns
    /// `None` if the request is no longer in flight.
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
        if outcome.proves_not_run() {
            request.possible_runs.retain(|run| run.number != number);
        } else {
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
