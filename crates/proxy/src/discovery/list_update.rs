//! Applies endpoint lists, as discovery writes them, to the endpoint table and the policy.

use std::net::SocketAddr;

use pinefront_policy::{ListedEndpoint, Micros};
use pinefront_settings::fields::{flag, list, number, optional, text, unsigned};
use serde_json::Value;
use slog::{info, warn};

use crate::close_reason::CloseReason;
use crate::discovery::list_error::ListError;
use crate::discovery::partial_list::{PartialEntry, PartialList};
use crate::discovery::polling_schedule::ListSummary;
use crate::discovery::start_times::{Source, StartTimes};
use crate::state::endpoint::Endpoint;
use crate::state::keys::EndpointKey;
use crate::state::proxy::{Proxy, ProxyState};

/// How long an endpoint that is no longer listed keeps its address where the settings let unlisted
/// endpoints be used: longer than the policy would try it.
const UNLISTED_RETENTION_US: Micros = 90_000_000;

impl Proxy {
    /// Applies the list of the configuration file, unless it was applied before: changes follow on
    /// it, or there is no other.
    pub fn apply_cached_list(&mut self) {
        let Some(list) = self.state.borrow_mut().discovery.cached_list.take() else {
            return;
        };
        let applied = self.apply_entries(&list);
        let mut state = self.state.borrow_mut();
        match applied {
            Ok(_) => state.discovery.is_cached_list_applied = true,
            Err(error) => warn!(state.log, "cached endpoint list malformed"; "error" => %error),
        }
    }

    /// Applies a complete list, or what changed.
    ///
    /// # Errors
    ///
    /// Fails when the list has no version or no entries. An entry that cannot be read fails
    /// nothing: its endpoint gets no new requests.
    pub fn apply_list(&mut self, list: &Value) -> Result<ListSummary, ListError> {
        self.apply_cached_list();
        let summary = self.apply_entries(list)?;
        let mut state = self.state.borrow_mut();
        state.counters.list_updates += 1;
        info!(state.log, "endpoint list received"; "version" => summary.version,
            "complete" => summary.is_complete, "has_entries" => summary.has_entries);
        Ok(summary)
    }

    fn apply_entries(&mut self, document: &Value) -> Result<ListSummary, ListError> {
        let version = unsigned(document, "rev")?;
        let now = self.state.borrow().now();
        let entries = list(document, "targets")?;
        let is_complete = flag(document, "all")?;
        if is_complete {
            let stays_usable = self.balancer.settings().unlisted_stay_usable;
            self.state.borrow_mut().mark_all_removed(now, stays_usable);
        }
        self.balancer.endpoint_list_begins(now, is_complete);
        let starts = self.state.borrow_mut().start_times(now, entries);
        for entry in entries {
            if let Err(error) = self.apply_entry(now, entry, starts) {
                // One bad entry must not hide the others.
                warn!(self.state.borrow().log, "endpoint list entry malformed"; "error" => %error);
                if let Ok(id) = text(entry, "uid") {
                    self.mark_draining(now, id);
                }
            }
        }
        self.balancer.endpoint_list_ends(now);
        let mut state = self.state.borrow_mut();
        state.remove_departed_endpoints();
        state.discovery.last_list_at = now;
        Ok(ListSummary {
            version,
            is_complete,
            has_entries: !entries.is_empty(),
        })
    }

    fn apply_entry(
        &mut self,
        now: Micros,
        entry: &Value,
        starts: StartTimes,
    ) -> Result<(), ListError> {
        let id = text(entry, "uid")?;
        match text(entry, "state")? {
            "active" => self.apply_active_entry(id, entry, starts)?,
            "leaving" => self.mark_draining(now, id),
            "left" => self.mark_removed(now, id),
            other => return Err(ListError::UnknownState(other.to_owned())),
        }
        Ok(())
    }

    fn apply_active_entry(
        &mut self,
        id: &str,
        entry: &Value,
        starts: StartTimes,
    ) -> Result<(), ListError> {
        let address = text(entry, "endpoint")?.parse();
        let address: SocketAddr = address.map_err(|_| ListError::Address)?;
        let stated = stated_start(entry)?;
        let (cell, weight) = (
            unsigned(entry, "pod_group")?,
            number(entry, "capacity_hint")?,
        );
        let (zone, machine_type) = (text(entry, "az")?, text(entry, "model")?);
        let mut state = self.state.borrow_mut();
        let zone = state.config.zone(zone);
        let machine_type = state.config.machine_type(machine_type);
        state.endpoint_active(id, address);
        let started_at = state.started_at(id, stated, starts);
        drop(state);
        self.balancer.endpoint_listed(ListedEndpoint {
            id,
            zone,
            machine_type,
            cell,
            weight,
            started_at,
        });
        Ok(())
    }

    /// The endpoint is draining: it gets no new requests.
    fn mark_draining(&mut self, now: Micros, id: &str) {
        self.state.borrow_mut().endpoint_draining(id, now);
        self.balancer.endpoint_draining(id);
    }

    /// The endpoint was removed.
    fn mark_removed(&mut self, now: Micros, id: &str) {
        let stays_usable = self.balancer.settings().unlisted_stay_usable;
        self.state
            .borrow_mut()
            .endpoint_removed(id, now, stays_usable);
        self.balancer.endpoint_removed(now, id);
    }

    /// Applies what an incomplete response removes, as it counts as delivered whether or not the
    /// rest arrives. What it adds waits for the complete one. An entry that ends before its state
    /// most likely drains its endpoint; until the complete response is received, that gets no new
    /// requests either.
    pub fn apply_partial_list(&mut self, partial: &PartialList, requested_changes: bool) {
        let departing = self.departing_entries(partial, requested_changes);
        if departing.is_empty() {
            return;
        }
        let now = self.state.borrow().now();
        self.balancer.endpoint_list_begins(now, false);
        for entry in &departing {
            match entry.state.as_deref() {
                Some("left") => self.mark_removed(now, &entry.id),
                _ => self.mark_draining(now, &entry.id),
            }
        }
        self.balancer.endpoint_list_ends(now);
        let mut state = self.state.borrow_mut();
        // An endpoint whose state was cut off may be used again: what is known of it stays.
        for entry in departing.iter().filter(|entry| entry.state.is_some()) {
            state.remove_if_draining(&entry.id);
        }
        state.counters.list_updates_partial += 1;
        info!(state.log, "partial endpoint list received"; "version" => partial.version,
            "draining" => departing.len());
    }

    /// Returns the entries of known endpoints that drain or were removed.
    fn departing_entries<'a>(
        &self,
        partial: &'a PartialList,
        requested_changes: bool,
    ) -> Vec<&'a PartialEntry> {
        let has_changes_only = partial
            .is_complete
            .map_or(requested_changes, |is_complete| !is_complete);
        let departs = |entry: &PartialEntry| match entry.state.as_deref() {
            Some(state) => matches!(state, "leaving" | "left"),
            None => has_changes_only,
        };
        let state = self.state.borrow();
        let is_known = |entry: &PartialEntry| state.endpoints.key_of(&entry.id).is_some();
        let entries = partial.entries.iter();
        entries
            .filter(|entry| departs(entry) && is_known(entry))
            .collect()
    }
}

impl ProxyState {
    /// Returns what bounds the ages of endpoints that a list names for the first time.
    fn start_times(&mut self, now: Micros, entries: &[Value]) -> StartTimes {
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
        let known = key.and_then(|key| self.endpoints.get(key)?.started);
        known
            .is_none_or(|known| known.0 != stated)
            .then_some(stated)
    }

    /// When the process of an endpoint started. A start that is known is not judged again, whatever
    /// clocks did since.
    fn started_at(&mut self, id: &str, stated: Micros, starts: StartTimes) -> Micros {
        let key = self.endpoints.get_or_insert(id);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return 0;
        };
        match endpoint.started {
            Some((known, at)) if known == stated => at,
            _ => {
                let at = starts.started_at(stated);
                endpoint.started = Some((stated, at));
                at
            }
        }
    }

    /// Marks all endpoints as removed before a complete list names those that are not.
    fn mark_all_removed(&mut self, now: Micros, stays_usable: bool) {
        for endpoint in self.endpoints.values_mut() {
            match stays_usable {
                true => endpoint.removed_at.get_or_insert(now),
                false => endpoint.draining_since.get_or_insert(now),
            };
        }
    }

    /// The endpoint was removed. Where unlisted endpoints stay usable, its address is kept for as
    /// long as the policy may use it.
    fn endpoint_removed(&mut self, id: &str, now: Micros, stays_usable: bool) {
        let key = self.endpoints.get_or_insert(id);
        match self.endpoints.get_mut(key) {
            Some(endpoint) if stays_usable => _ = endpoint.removed_at.get_or_insert(now),
            _ => self.endpoint_draining(id, now),
        }
    }

    fn endpoint_draining(&mut self, id: &str, now: Micros) {
        let key = self.endpoints.get_or_insert(id);
        if let Some(endpoint) = self.endpoints.get_mut(key)
            && endpoint.draining_since.is_none()
        {
            endpoint.draining_since = Some(now);
            info!(self.log, "endpoint draining"; "endpoint" => id);
        }
    }

    fn endpoint_active(&mut self, id: &str, address: SocketAddr) {
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
    fn remove_departed_endpoints(&mut self) {
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
    fn remove_if_draining(&mut self, id: &str) {
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
fn stated_start(entry: &Value) -> Result<Micros, ListError> {
    let millis = optional(entry, "boot_ms", Value::as_u64)?.unwrap_or(0);
    Ok(millis.saturating_mul(1000))
}
