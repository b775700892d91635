//! Updates of the endpoint table from a list, and the start times of its endpoints.

use std::net::SocketAddr;

use pinefront_policy::Micros;
use pinefront_settings::fields::{optional, text};
use serde_json::Value;
use slog::info;

use crate::close_reason::CloseReason;
use crate::discovery::list_error::ListError;
use crate::discovery::start_times::{ListSource, StartTimes};
use crate::state::endpoint::{Endpoint, StartTime};
use crate::state::keys::EndpointKey;
use crate::state::proxy::ProxyState;

/// How long the address of an unlisted endpoint is kept where the settings allow the use of
/// unlisted endpoints, in microseconds. The policy stops trying such an endpoint earlier.
const UNLISTED_RETENTION_US: Micros = 90_000_000;

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

    /// Marks all endpoints as removed if unlisted endpoints stay usable (`stays_usable`), and as
    /// draining otherwise. The active entries of the complete list that follows clear the mark.
    pub fn mark_all_removed(&mut self, now: Micros, stays_usable: bool) {
        for endpoint in self.endpoints.values_mut() {
            if stays_usable {
                endpoint.removed_at.get_or_insert(now)
            } else {
                endpoint.draining_since.get_or_insert(now)
            };
        }
    }

    /// Records that an endpoint was removed from the list. Where unlisted endpoints stay usable,
    /// its address is kept for as long as the policy may use it; otherwise the endpoint counts as
    /// draining.
    pub fn endpoint_removed(&mut self, id: &str, now: Micros, stays_usable: bool) {
        let key = self.endpoints.get_or_insert(id);
        match self.endpoints.get_mut(key) {
            Some(endpoint) if stays_usable => _ = endpoint.removed_at.get_or_insert(now),
            _ => self.endpoint_draining(id, now),
        }
    }

    /// Records that an endpoint is draining.
    pub fn endpoint_draining(&mut self, id: &str, now: Micros) {
        let key = self.endpoints.get_or_insert(id);
        if let Some(endpoint) = self.endpoints.get_mut(key)
            && endpoint.draining_since.is_none()
        {
            endpoint.draining_since = Some(now);
            info!(self.log, "endpoint draining"; "endpoint" => id);
        }
    }

    /// Records that an endpoint accepts requests at this address.
    pub fn endpoint_active(&mut self, id: &str, address: SocketAddr) {
        let key = self.endpoints.get_or_insert(id);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.draining_since = None;
        endpoint.removed_at = None;
        let previous = endpoint.address.replace(address);
        if previous.is_some_and(|previous| previous != address) {
            self.close_idle_endpoint_connections(key, CloseReason::AddressChanged);
        }
    }

    /// Closes idle connections to endpoints that are draining or whose retention period after their
    /// removal is over, and deletes the endpoints that have no other connections. Otherwise the
    /// table would grow without bound, as lists keep naming new endpoints.
    pub fn remove_departed_endpoints(&mut self) {
        let removed_before = self.now().saturating_sub(UNLISTED_RETENTION_US);
        let is_departed = |endpoint: &Endpoint| {
            let was_removed = endpoint.removed_at.is_some_and(|at| at < removed_before);
            endpoint.draining_since.is_some() || was_removed
        };
        let departed = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_departed(endpoint));
        let departed: Vec<_> = departed.map(|(key, _)| key).collect();
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
pub fn stated_start(entry: &Value) -> Result<Micros, ListError> {
    let millis = optional(entry, "boot_ms", Value::as_u64)?.unwrap_or(0);
    Ok(millis.saturating_mul(1000))
}
