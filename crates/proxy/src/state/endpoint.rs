//! An endpoint that some list has named.

use std::net::SocketAddr;
use std::rc::Rc;

use pinefront_policy::Micros;

use crate::state::keys::EndpointConnectionKey;

/// The state of one endpoint.
pub struct Endpoint {
    /// Its id in the endpoint list.
    pub id: Rc<str>,
    /// Where it is reached; none before it was listed as active.
    pub address: Option<SocketAddr>,
    /// Idle connections, the one used last at the end.
    pub idle: Vec<EndpointConnectionKey>,
    /// When its process started, in microseconds: as listed, and as corrected for our clock.
    pub started: Option<(Micros, Micros)>,
    /// Until when its connections carry one request each, in microseconds, as it sent unsolicited bytes.
    pub single_use_until: Micros,
    /// When it was reported as draining or removed, in microseconds.
    pub draining_since: Option<Micros>,
    /// When it was removed from the list without draining, in microseconds, where unlisted endpoints stay usable.
    pub removed_at: Option<Micros>,
}
