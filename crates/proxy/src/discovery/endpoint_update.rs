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
use crate::state::address_claims::{Listing, StatedAddress};
use crate::state::endpoint::StartTime;
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
        self.address_claims.begin_list(now, is_complete);
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

    /// Records that an endpoint was removed from the list, whose entry states an address if that
    /// could be read. Where unlisted endpoints stay usable, the endpoint is kept for as long as the
    /// policy may use it; otherwise it counts as draining.
    pub fn endpoint_removed(
        &mut self,
        id: &str,
        stated: Option<StatedAddress>,
        now: Micros,
        stays_usable: bool,
    ) {
        let key = self.endpoints.get_or_insert(id);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.is_listed = false;
        self.address_claims.removed(&endpoint.id, stated, now);
        if !stays_usable {
            self.mark_endpoint_draining(key, now);
        }
    }

    /// Records that an endpoint is draining, and the address that its entry states if that could be
    /// read.
    pub fn endpoint_draining(&mut self, id: &str, stated: Option<StatedAddress>, now: Micros) {
        let key = self.endpoints.get_or_insert(id);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.is_listed = true;
            if let Some(stated) = stated {
                self.address_claims
                    .state(&endpoint.id, stated, Listing::Draining);
            }
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

    /// Records that an endpoint is listed as active at this address and location. Returns whether
    /// it may accept requests; it may not if it was replaced and the entry states nothing new.
    pub fn endpoint_active(
        &mut self,
        id: &str,
        stated: StatedAddress,
        location: EndpointLocation,
    ) -> bool {
        let key = self.endpoints.get_or_insert(id);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return false;
        };
        let may_hold_address = self
            .address_claims
            .state(&endpoint.id, stated, Listing::Active);
        endpoint.draining_since = None;
        endpoint.is_listed = true;
        endpoint.is_replaced = !may_hold_address;
        let previous_address = endpoint.address.replace(stated.address);
        let previous_location = endpoint.location.replace(location);
        if previous_address.is_some_and(|previous| previous != stated.address) {
            self.close_idle_endpoint_connections(key, CloseReason::AddressChanged);
        }
        if previous_location.is_some_and(|previous| previous != location) {
            self.requests.forget_location(key);
        }
        may_hold_address
    }

    /// Ends a list: marks the endpoints as replaced whose address another endpoint holds now.
    /// Returns their ids.
    pub fn end_endpoint_list(&mut self) -> Vec<Rc<str>> {
        let replaced = self.address_claims.end_list();
        self.replace_endpoints(replaced)
    }

    /// Marks the endpoints as replaced that hold an address which a part of a list states for
    /// another endpoint. Returns their ids.
    pub fn replace_other_holders(&mut self, id: &str, address: SocketAddr) -> Vec<Rc<str>> {
        let replaced = self.address_claims.replace_others(id, address);
        self.replace_endpoints(replaced)
    }

    /// Ends the use of endpoints whose address belongs to another one. Requests that are sent there
    /// run at the other one, and the last ones that were sent may have.
    fn replace_endpoints(&mut self, ids: Vec<Rc<str>>) -> Vec<Rc<str>> {
        for id in &ids {
            let Some(key) = self.endpoints.key_of(id) else {
                continue;
            };
            let Some(endpoint) = self.endpoints.get_mut(key) else {
                continue;
            };
            endpoint.is_replaced = true;
            info!(self.log, "endpoint replaced"; "endpoint" => &**id,
                "address" => endpoint.address.map(|address| address.to_string()));
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
        let endpoints = &self.endpoints;
        self.address_claims
            .forget_departed(now, |id| endpoints.key_of(id).is_some());
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
