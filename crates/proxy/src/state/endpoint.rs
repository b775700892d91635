//! Endpoints that have been named in an endpoint list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use pinefront_policy::{EndpointLocation, Micros};
use slotmap::SlotMap;

use crate::state::keys::{EndpointConnectionKey, EndpointKey};

/// The state of one endpoint.
pub struct Endpoint {
    /// Id in the endpoint list.
    pub id: Rc<str>,
    /// Address of the endpoint; `None` until the endpoint is listed as active. The endpoint holds it
    /// only while `is_replaced` is not set.
    pub address: Option<SocketAddr>,
    /// Where the endpoint belongs among those that share idempotency keys; `None` until the
    /// endpoint is listed as active.
    pub location: Option<EndpointLocation>,
    /// Idle connections; the most recently used one is at the end.
    pub idle_connections: Vec<EndpointConnectionKey>,
    /// Start time of the endpoint's process.
    pub start_time: Option<StartTime>,
    /// Time until which each connection carries only one request because the endpoint sent
    /// unsolicited bytes, in microseconds.
    pub single_use_until: Micros,
    /// When the endpoint was reported as draining, or was removed while unlisted endpoints do not
    /// stay usable, in microseconds.
    pub draining_since: Option<Micros>,
    /// Whether the endpoint is on the list. An unlisted endpoint that is not draining may be used
    /// for as long as the policy allows.
    pub is_listed: bool,
    /// Whether a list names another endpoint at the address. Nothing more is sent to this one.
    pub is_replaced: bool,
}

/// Start time of an endpoint's process, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct StartTime {
    /// Start time stated in the list, by the wall clock of discovery.
    pub stated: Micros,
    /// Start time corrected to the clock of this balancer.
    pub corrected: Micros,
}

impl Endpoint {
    fn new(id: Rc<str>) -> Self {
        Self {
            id,
            address: None,
            location: None,
            idle_connections: Vec::new(),
            start_time: None,
            single_use_until: 0,
            draining_since: None,
            is_listed: false,
            is_replaced: false,
        }
    }

    /// Returns where the endpoint is; `None` while it is unlisted, as another process may have been
    /// started at its address since.
    pub fn known_location(&self) -> Option<EndpointLocation> {
        self.location.filter(|_| self.is_listed)
    }
}

/// The endpoints, by key and by id.
#[derive(Default)]
pub struct EndpointTable {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_id: HashMap<Rc<str>, EndpointKey>,
}

impl EndpointTable {
    /// Returns the key of the endpoint with this id.
    pub fn key_of(&self, id: &str) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the key of the endpoint with this id, which is added if it is new.
    pub fn get_or_insert(&mut self, id: &str) -> EndpointKey {
        if let Some(key) = self.key_of(id) {
            return key;
        }
        let id: Rc<str> = Rc::from(id);
        let key = self.endpoints.insert(Endpoint::new(Rc::clone(&id)));
        self.by_id.insert(id, key);
        key
    }

    /// Returns the endpoint with this key.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns the endpoint with this key for modification.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// Returns all endpoints with their keys, for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (EndpointKey, &mut Endpoint)> {
        self.endpoints.iter_mut()
    }

    /// Returns all endpoints for modification.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.values_mut()
    }

    /// Removes an endpoint and its id.
    pub fn remove(&mut self, key: EndpointKey) -> Option<Endpoint> {
        let endpoint = self.endpoints.remove(key)?;
        self.by_id.remove(&endpoint.id);
        Some(endpoint)
    }

    /// Returns the number of endpoints and the number of ids, which are equal.
    #[cfg(test)]
    pub fn counts(&self) -> (usize, usize) {
        (self.endpoints.len(), self.by_id.len())
    }
}
