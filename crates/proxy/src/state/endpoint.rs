//! Endpoints that a list has named.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use pinefront_policy::Micros;
use slotmap::SlotMap;

use crate::state::keys::{EndpointConnectionKey, EndpointKey};

/// The state of one endpoint.
pub struct Endpoint {
    /// Its id in the endpoint list.
    pub id: Rc<str>,
    /// Where it is reached; none before it was listed as active.
    pub address: Option<SocketAddr>,
    /// Idle connections, the one used last at the end.
    pub idle: Vec<EndpointConnectionKey>,
    /// When its process started.
    pub start_time: Option<StartTime>,
    /// Until when its connections carry one request each, in microseconds, as it sent unsolicited
    /// bytes.
    pub single_use_until: Micros,
    /// When it was reported as draining or removed, in microseconds.
    pub draining_since: Option<Micros>,
    /// When it was removed from the list without draining, in microseconds, where unlisted
    /// endpoints stay usable.
    pub removed_at: Option<Micros>,
}

/// When the process of an endpoint started, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct StartTime {
    /// As the list states it, by the wall clock of discovery.
    pub stated: Micros,
    /// As corrected for our clock.
    pub corrected: Micros,
}

impl Endpoint {
    fn new(id: Rc<str>) -> Self {
        Self {
            id,
            address: None,
            idle: Vec::new(),
            start_time: None,
            single_use_until: 0,
            draining_since: None,
            removed_at: None,
        }
    }
}

/// The endpoints, by key and by id.
#[derive(Default)]
pub struct EndpointTable {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_id: HashMap<Rc<str>, EndpointKey>,
}

impl EndpointTable {
    /// The key of the endpoint with that id.
    pub fn key_of(&self, id: &str) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// The key of the endpoint with that id, which is added where it is new.
    pub fn get_or_insert(&mut self, id: &str) -> EndpointKey {
        if let Some(key) = self.key_of(id) {
            return key;
        }
        let id: Rc<str> = Rc::from(id);
        let key = self.endpoints.insert(Endpoint::new(Rc::clone(&id)));
        self.by_id.insert(id, key);
        key
    }

    /// The endpoint with that key.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// The endpoint with that key, to be changed.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// All endpoints with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// All endpoints, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.values_mut()
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: EndpointKey) -> Option<Endpoint> {
        let endpoint = self.endpoints.remove(key)?;
        self.by_id.remove(&endpoint.id);
        Some(endpoint)
    }

    /// The numbers of endpoints and of ids, which are the same.
    #[cfg(test)]
    pub fn counts(&self) -> (usize, usize) {
        (self.endpoints.len(), self.by_id.len())
    }
}
