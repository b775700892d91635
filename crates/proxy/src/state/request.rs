//! A client's request while it is in flight.

use std::rc::Rc;

use bytes::Bytes;
use pinefront_policy::{Idempotency, Micros};

use crate::state::keys::{ClientKey, EndpointConnectionKey};

/// A request that has no final response yet, or still has an attempt in flight. Its message is slices of the buffer
/// that it was read into.
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
