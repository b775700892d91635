//! Changes of the endpoint table that a list brings, and the start times of its endpoints.

use std::net::SocketAddr;

use pinefront_policy::Micros;
use pinefront_settings::fields::{optional, text};
use serde_json::Value;
use slog::info;

use crate::close_reason::CloseReason;
use crate::discovery::list_error::ListError;
use crate::discovery::start_times::{Source, StartTimes};
use crate::state::endpoint::{Endpoint, StartTime};
use crate::state::keys::EndpointKey;
use crate::state::proxy::ProxyState;

/// How long an endpoint that is no longer listed keeps its address where the settings let unlisted
/// endpoints be used: longer than the policy would try it.
const UNLISTED_RETENTION_US: Micros = 90_000_000;

impl ProxyState {
    /// Returns what bounds the ages of endpoints that a list names for the first time.
    pub fn start_times(&mut self, now: Micros, entries: &[Value]) -> StartTimes {
        let discovery = &self.discovery;
        let source = match (
            discovery.has_received_list,
            discovery.is_cached_list_applied,
        ) {
            // A watch is answered as soon as there is a change.
            (true, _) if discovery.schedule.is_watching() => Source::Later { since: now },
            (true, _) => Source::Later {
                since: discovery.last_list_at,
            },
            (false, true) => Source::AfterCached,
            (false, false) => Source::First,
        };
        let newcomers: Vec<Micros> = entries
            .iter()
            .filter_map(|entry| self.new_start(entry))
            .collect();
        let starts = StartTimes::new(now, discovery.clock_behind, source, &newcomers);
        self.discovery.clock_behind = starts.behind();
        starts
    }

    /// The start that an entry states, where its endpoint is not known to have started then.
    fn new_start(&self, entry: &Value) -> Option<Micros> {
        let (id, stated) = (text(entry, "uid").ok()?, stated_start(entry).ok()?);
        let key = self.endpoints.key_of(id);
        let known = key.and_then(|key| self.endpoints.get(key)?.start_time);
        known
            .is_none_or(|known| known.stated != stated)
            .then_some(stated)
    }

    /// When the process of an endpoint started. A start that is known is not judged again, whatever
    /// clocks did since.
    pub fn started_at(&mut self, id: &str, stated: Micros, starts: StartTimes) -> Micros {
        let key = self.endpoints.get_or_insert(id);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return 0;
        };
        match endpoint.start_time {
            Some(known) if known.stated == stated => known.corrected,
            _ => {
                let corrected = starts.started_at(stated);
                endpoint.start_time = Some(StartTime { stated, corrected });
                corrected
            }
        }
    }

    /// Marks all endpoints as removed before a complete list names those that are not.
    pub fn mark_all_removed(&mut self, now: Micros, stays_usable: bool) {
        for endpoint in self.endpoints.values_mut() {
            if stays_usable {
                endpoint.removed_at.get_or_insert(now)
            } else {
                endpoint.draining_since.get_or_insert(now)
            };
        }
    }

    /// The endpoint was removed. Where unlisted endpoints stay usable, its address is kept for as
    /// long as the policy may use it.
    pub fn endpoint_removed(&mut self, id: &str, now: Micros, stays_usable: bool) {
        let key = self.endpoints.get_or_insert(id);
        match self.endpoints.get_mut(key) {
            Some(endpoint) if stays_usable => _ = endpoint.removed_at.get_or_insert(now),
            _ => self.endpoint_draining(id, now),
        }
    }

    /// The endpoint is draining.
    pub fn endpoint_draining(&mut self, id: &str, now: Micros) {
        let key = self.endpoints.get_or_insert(id);
        if let Some(endpoint) = self.endpoints.get_mut(key)
            && endpoint.draining_since.is_none()
        {
            endpoint.draining_since = Some(now);
            info!(self.log, "endpoint draining"; "endpoint" => id);
        }
    }

    /// The endpoint takes requests at that address.
    pub fn endpoint_active(&mut self, id: &str, address: SocketAddr) {
        let key = self.endpoints.get_or_insert(id);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.draining_since = None;
        endpoint.removed_at = None;
        let former = endpoint.address.replace(address);
        if former.is_some_and(|former| former != address) {
            self.close_idle_endpoint_connections(key, CloseReason::AddressChanged);
        }
    }

    /// Closes idle connections to endpoints that are draining or were removed long ago, and forgets
    /// the endpoints that have no other: lists name ever new ones.
    pub fn remove_departed_endpoints(&mut self) {
        let long_ago = self.now().saturating_sub(UNLISTED_RETENTION_US);
        let is_over = |endpoint: &Endpoint| {
            let was_removed = endpoint.removed_at.is_some_and(|at| at < long_ago);
            endpoint.draining_since.is_some() || was_removed
        };
        let departed = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_over(endpoint));
        let departed: Vec<_> = departed.map(|(key, _)| key).collect();
        for key in departed {
            self.remove_endpoint(key);
        }
    }

    /// Does the same for one endpoint, if it is draining.
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

/// The start of an endpoint's process as its entry states it, in microseconds of Unix time; 0 for
/// long ago.
pub fn stated_start(entry: &Value) -> Result<Micros, ListError> {
    let millis = optional(entry, "boot_ms", Value::as_u64)?.unwrap_or(0);
    Ok(millis.saturating_mul(1000))
}
