//! Updates of the endpoint table from a list, and the start times of its endpoints.

use std::net::SocketAddr;
use std::rc::Rc;

use pinefront_policy::{EndpointLocation, Micros};
use pinefront_settings::fields::{optional, text};
use serde_json::Value;
use slog::info;

use crate::close_reason::CloseReason;
use crate::discovery::list_error::ListError;
use crate::discovery::start_times::{ListSource, StartTimes};
use crate::state::endpoint::{AddressChange, StartTime, StatedAddress};
use crate::state::keys::EndpointKey;
use crate::state::proxy::ProxyState;

impl ProxyState {
    /// Returns the bounds on the start times of the endpoints that are new in a list.
    pub fn start_times(&mut self, now: Micros, entries: &[Value]) -> StartTimes {
        let discovery = &self.discovery;
        let source = match (
            discovery.has_received_list,
            discovery.is_cached_list_applied,
        ) {
            // Discovery responds to a watch as soon as the list changes.
            (true, _) if discovery.schedule.is_watching() => ListSource::Later { since: now },
            (true, _) => ListSource::Later {
                since: discovery.last_list_at,
            },
            (false, true) => ListSource::AfterCached,
            (false, false) => ListSource::First,
        };
        let new_starts: Vec<Micros> = entries
            .iter()
            .filter_map(|entry| self.new_start(entry))
            .collect();
        let start_times = StartTimes::new(now, discovery.clock_lag, source, &new_starts);
        self.discovery.clock_lag = start_times.clock_lag();
        start_times
    }

    /// Returns the start time that an entry states, unless the same one is already known for its
    /// endpoint.
    fn new_start(&self, entry: &Value) -> Option<Micros> {
        let (id, stated) = (text(entry, "uid").ok()?, stated_start(entry).ok()?);
        let key = self.endpoints.key_of(id);
        let known = key.and_then(|key| self.endpoints.get(key)?.start_time);
        known
            .is_none_or(|known| known.stated != stated)
            .then_some(stated)
    }

    /// Returns when the process of an endpoint started. A start time that is already known is not
    /// corrected again, so later clock changes do not affect it.
    pub fn started_at(&mut self, id: &str, stated: Micros, start_times: StartTimes) -> Micros {
        let key = self.endpoints.get_or_insert(id);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return 0;
        };
        match endpoint.start_time {
            Some(known) if known.stated == stated => known.corrected,
            _ => {
                let corrected = start_times.started_at(stated);
                endpoint.start_time = Some(StartTime { stated, corrected });
                corrected
            }
        }
    }

    /// Begins a list. A complete list removes all endpoints; its entries list them again.
    pub fn begin_endpoint_list(&mut self, now: Micros, is_complete: bool, stays_usable: bool) {
        self.endpoints.begin_list();
        if !is_complete {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_listed = false;
            if !stays_usable {
                endpoint.draining_since.get_or_insert(now);
            }
        }
    }

    /// Records that an endpoint was removed from the list. Where unlisted endpoints stay usable, it
    /// is kept for as long as the policy may use it; otherwise it counts as draining.
    pub fn endpoint_removed(&mut self, id: &str, now: Micros, stays_usable: bool) {
        let key = self.endpoints.get_or_insert(id);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.is_listed = false;
        }
        self.endpoints.release_address_if_replaced(key);
        if !stays_usable {
            self.mark_endpoint_draining(key, now);
        }
    }

    /// Records that an endpoint is draining.
    pub fn endpoint_draining(&mut self, id: &str, now: Micros) {
        let key = self.endpoints.get_or_insert(id);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.is_listed = true;
        }
        self.mark_endpoint_draining(key, now);
    }

    fn mark_endpoint_draining(&mut self, key: EndpointKey, now: Micros) {
        if let Some(endpoint) = self.endpoints.get_mut(key)
            && endpoint.draining_since.is_none()
        {
            endpoint.draining_since = Some(now);
            info!(self.log, "endpoint draining"; "endpoint" => &*endpoint.id);
        }
    }

    /// Records the address that an entry states, whatever the state of its endpoint: no other
    /// endpoint is at that address any more.
    pub fn endpoint_address_stated(&mut self, id: &str, stated: StatedAddress) {
        let key = self.endpoints.get_or_insert(id);
        if self.endpoints.state_address(key, stated) == AddressChange::Moved {
            self.close_idle_endpoint_connections(key, CloseReason::AddressChanged);
        }
    }

    /// Records the address that the removal of an endpoint states. If the endpoint is known there,
    /// nothing new is stated.
    pub fn removed_address_stated(&mut self, id: &str, stated: StatedAddress) {
        let key = self.endpoints.key_of(id);
        let known = key.and_then(|key| self.endpoints.get(key)?.address);
        if known != Some(stated.address) {
            self.endpoint_address_stated(id, stated);
        }
    }

    /// Records that an endpoint is listed as active at this location. Returns whether it accepts
    /// requests. It does not if another endpoint was listed at its address later, and the entry is
    /// a change that repeats what was known before. A complete list is judged as a whole.
    pub fn endpoint_active(
        &mut self,
        id: &str,
        location: EndpointLocation,
        is_of_complete_list: bool,
    ) -> bool {
        let key = self.endpoints.get_or_insert(id);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return false;
        };
        endpoint.draining_since = None;
        endpoint.is_listed = true;
        endpoint.is_replaced &= !is_of_complete_list;
        let accepts_requests = !endpoint.is_replaced;
        let previous = endpoint.location.replace(location);
        if previous.is_some_and(|previous| previous != location) {
            self.requests.forget_location(key);
        }
        accepts_requests
    }

    /// Ends a list: marks the endpoints as replaced whose address another endpoint holds now.
    /// Returns their ids.
    pub fn replace_superseded_endpoints(&mut self) -> Vec<Rc<str>> {
        let superseded = self.endpoints.superseded_holders();
        self.replace_endpoints(superseded)
    }

    /// Marks the endpoints as replaced that hold an address which a part of a list states for
    /// another endpoint. An endpoint that is known at this address claims nothing new. Returns the
    /// ids of the replaced ones.
    pub fn replace_other_holders(&mut self, id: &str, address: SocketAddr) -> Vec<Rc<str>> {
        let key = self.endpoints.key_of(id);
        let known = key.and_then(|key| self.endpoints.get(key)?.address);
        if known == Some(address) {
            return Vec::new();
        }
        let holders = self.endpoints.holders(address).collect();
        self.replace_endpoints(holders)
    }

    /// Ends the use of endpoints whose address belongs to another one: what is sent there runs at
    /// the other one, and what was sent last may have run there.
    fn replace_endpoints(&mut self, keys: Vec<EndpointKey>) -> Vec<Rc<str>> {
        let mut ids = Vec::new();
        for key in keys {
            let Some(endpoint) = self.endpoints.get_mut(key) else {
                continue;
            };
            endpoint.is_replaced = true;
            info!(self.log, "endpoint replaced"; "endpoint" => &*endpoint.id,
                "address" => endpoint.address.map(|address| address.to_string()));
            ids.push(Rc::clone(&endpoint.id));
            self.counters.endpoints_replaced += 1;
            self.requests.forget_location(key);
            self.close_idle_endpoint_connections(key, CloseReason::AddressChanged);
        }
        ids
    }

    /// Closes idle connections to endpoints that are draining, or that are unlisted and can't be
    /// used by the policy (`is_usable`), and deletes the endpoints that have no other connections.
    /// Otherwise the table would grow without bound, as lists keep naming new endpoints.
    pub fn remove_departed_endpoints(&mut self, is_usable: impl Fn(&str) -> bool) {
        let now = self.now();
        let mut departed = Vec::new();
        for (key, endpoint) in self.endpoints.iter_mut() {
            if !endpoint.is_listed && (endpoint.is_replaced || !is_usable(&endpoint.id)) {
                endpoint.draining_since.get_or_insert(now);
            }
            if endpoint.draining_since.is_some() {
                departed.push(key);
            }
        }
        for key in departed {
            self.remove_endpoint(key);
        }
    }

    /// Closes the idle connections to one endpoint, if it is draining, and deletes it if it has no
    /// other connections.
    pub fn remove_if_draining(&mut self, id: &str) {
        let Some(key) = self.endpoints.key_of(id) else {
            return;
        };
        let endpoint = self.endpoints.get(key);
        if endpoint.is_some_and(|endpoint| endpoint.draining_since.is_some()) {
            self.remove_endpoint(key);
        }
    }

    fn remove_endpoint(&mut self, key: EndpointKey) {
        self.close_idle_endpoint_connections(key, CloseReason::Draining);
        let mut connections = self.endpoint_connections.values();
        if connections.all(|connection| connection.endpoint != key) {
            self.endpoints.remove(key);
        }
    }
}

/// Returns the start time of an endpoint's process as stated by its entry, in microseconds of Unix
/// time. 0, also if the entry states none, means that it started long ago.
fn stated_start(entry: &Value) -> Result<Micros, ListError> {
    let millis = optional(entry, "boot_ms", Value::as_u64)?.unwrap_or(0);
    Ok(millis.saturating_mul(1000))
}

/// Returns the address of an endpoint and the start of its process as stated by its entry.
pub fn stated_address(entry: &Value) -> Result<StatedAddress, ListError> {
    let text = text(entry, "endpoint")?;
    let address = text
        .parse()
        .map_err(|_| ListError::Address(text.to_owned()))?;
    let stated_start = stated_start(entry)?;
    Ok(StatedAddress {
        address,
        stated_start,
    })
}
