//! Endpoints that have been named in an endpoint list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use pinefront_policy::{EndpointLocation, Micros};
use slotmap::SlotMap;

use crate::state::keys::{EndpointConnectionKey, EndpointKey};

#[cfg(test)]
mod tests;

/// The state of one endpoint.
pub struct Endpoint {
    /// Id in the endpoint list.
    pub id: Rc<str>,
    /// Address of the endpoint; `None` until an entry states it. The endpoint holds it only while
    /// `is_replaced` is not set.
    pub address: Option<SocketAddr>,
    /// The list that first stated the address of the endpoint's present process.
    pub claim: AddressClaim,
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

/// When an address was stated for the process of an endpoint. Of two endpoints with one address,
/// the one with the greater claim holds it: the later list prevails and, within one list, the later
/// start. With equal claims both are used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AddressClaim {
    /// Number of the list, counted by this balancer.
    pub list: u64,
    /// Start time of the process as stated in the list, in microseconds of discovery's wall clock.
    pub stated_start: Micros,
}

/// How strong an endpoint's hold on its address is compared to others with the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AddressRank {
    is_listed: bool,
    claim: AddressClaim,
    is_draining: bool,
}

/// An entry's statement that an endpoint has an address.
#[derive(Clone, Copy, Debug)]
pub struct StatedAddress {
    /// The address.
    pub address: SocketAddr,
    /// Start time of the endpoint's process, in microseconds of discovery's wall clock.
    pub stated_start: Micros,
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
            claim: AddressClaim::default(),
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

    fn address_rank(&self) -> AddressRank {
        AddressRank {
            is_listed: self.is_listed,
            claim: self.claim,
            is_draining: self.draining_since.is_some(),
        }
    }
}

/// What an entry changes in the address and the start of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressChange {
    /// Nothing: both were known.
    Repeated,
    /// The endpoint is new at its address, or its process was started anew.
    New,
    /// The endpoint had another address.
    Moved,
}

/// The endpoints, by key, by id and by address.
#[derive(Default)]
pub struct EndpointTable {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_id: HashMap<Rc<str>, EndpointKey>,
    /// All endpoints with an address, those that were replaced included.
    by_address: HashMap<SocketAddr, Vec<EndpointKey>>,
    /// Number of lists that were applied so far.
    lists_applied: u64,
    /// Addresses that the present list has stated.
    stated_addresses: Vec<SocketAddr>,
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

    /// Removes an endpoint, its id and its hold on its address.
    pub fn remove(&mut self, key: EndpointKey) -> Option<Endpoint> {
        let endpoint = self.endpoints.remove(key)?;
        self.by_id.remove(&endpoint.id);
        if let Some(address) = endpoint.address {
            self.remove_holder(address, key);
        }
        Some(endpoint)
    }

    fn remove_holder(&mut self, address: SocketAddr, key: EndpointKey) {
        if let Some(holders) = self.by_address.get_mut(&address) {
            holders.retain(|holder| *holder != key);
            if holders.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// Begins a list.
    pub fn begin_list(&mut self) {
        self.lists_applied += 1;
        self.stated_addresses.clear();
    }

    /// Records the address that an entry of the present list states for an endpoint. An entry that
    /// states the address and the start that are already known is no new claim.
    pub fn state_address(&mut self, key: EndpointKey, stated: StatedAddress) -> AddressChange {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return AddressChange::Repeated;
        };
        let previous = endpoint.address.replace(stated.address);
        let change = match previous {
            Some(previous) if previous != stated.address => AddressChange::Moved,
            Some(_) if endpoint.claim.stated_start == stated.stated_start => {
                AddressChange::Repeated
            }
            _ => AddressChange::New,
        };
        if change != AddressChange::Repeated {
            endpoint.claim = AddressClaim {
                list: self.lists_applied,
                stated_start: stated.stated_start,
            };
            endpoint.is_replaced = false;
        }
        if previous != Some(stated.address) {
            if let Some(previous) = previous {
                self.remove_holder(previous, key);
            }
            self.by_address.entry(stated.address).or_default().push(key);
        }
        self.stated_addresses.push(stated.address);
        change
    }

    /// Ends the hold of a replaced endpoint that is removed, so that a later entry makes a new
    /// claim.
    pub fn release_address_if_replaced(&mut self, key: EndpointKey) {
        let endpoint = self.endpoints.get_mut(key);
        let address = endpoint
            .filter(|endpoint| endpoint.is_replaced)
            .and_then(|endpoint| endpoint.address.take());
        if let Some(address) = address {
            self.remove_holder(address, key);
        }
    }

    /// Returns the endpoints that hold an address, those that were replaced excluded.
    pub fn holders(&self, address: SocketAddr) -> impl Iterator<Item = EndpointKey> {
        let holders = self.by_address.get(&address).into_iter().flatten().copied();
        holders.filter(|key| {
            self.endpoints
                .get(*key)
                .is_some_and(|endpoint| !endpoint.is_replaced)
        })
    }

    /// Ends a list. Returns the endpoints whose address it states for another endpoint with a
    /// greater claim.
    pub fn superseded_holders(&mut self) -> Vec<EndpointKey> {
        let mut superseded = Vec::new();
        for address in std::mem::take(&mut self.stated_addresses) {
            let rank = |key: &EndpointKey| self.endpoints.get(*key).map(Endpoint::address_rank);
            let greatest = self.holders(address).filter_map(|key| rank(&key)).max();
            superseded.extend(self.holders(address).filter(|key| rank(key) < greatest));
        }
        superseded.sort_unstable();
        superseded.dedup();
        superseded
    }

    /// Returns the number of endpoints and the number of ids, which are equal.
    #[cfg(test)]
    pub fn counts(&self) -> (usize, usize) {
        (self.endpoints.len(), self.by_id.len())
    }
}
