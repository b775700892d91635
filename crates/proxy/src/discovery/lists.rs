//! Lists of servers as discovery words them, taken into the tables and told to the module.

use std::net::SocketAddr;

use pinefront_policy::{ListedEndpoint, Micros};
use pinefront_settings::fields::{Decoded, flag, list, number, optional, text, whole};
use serde_json::Value;
use slog::{info, warn};

use crate::close_reason::CloseReason;
use crate::discovery::partial::PartialList;
use crate::discovery::schedule::ListSummary;
use crate::discovery::start_times::{Source, StartTimes};
use crate::state::endpoint::Endpoint;
use crate::state::keys::EndpointKey;
use crate::state::proxy::{Proxy, ProxyState};

/// How long an endpoint that is no longer listed keeps its address where only draining binds: longer than the module
/// would try it.
const KEPT_FOR: Micros = 90_000_000;

impl Proxy {
    /// Takes the list that we were started with, as the ground for what changed since or where there is no other.
    pub fn take_known(&mut self) {
        let Some(held) = self.state.borrow_mut().discovery.held.take() else {
            return;
        };
        let taken = self.take_entries(&held);
        let mut state = self.state.borrow_mut();
        match taken {
            Ok(_) => state.discovery.known = true,
            Err(problem) => warn!(state.log, "cached endpoint list malformed"; "error" => problem),
        }
    }

    /// Takes a whole list or what changed, as discovery words it.
    pub fn take_list(&mut self, list: &Value) -> Decoded<ListSummary> {
        self.take_known();
        let told = self.take_entries(list)?;
        let mut state = self.state.borrow_mut();
        state.counters.list_updates += 1;
        info!(state.log, "endpoint list received"; "version" => told.version, "complete" => told.is_whole, "has_entries" => told.has_entries);
        Ok(told)
    }

    /// Takes down what a list names.
    fn take_entries(&mut self, told: &Value) -> Decoded<ListSummary> {
        let version = whole(told, "rev")?;
        let (now, log) = {
            let state = self.state.borrow();
            (state.now(), state.log.clone())
        };
        let entries = list(told, "targets")?;
        let is_whole = flag(told, "all")?;
        if is_whole {
            self.state
                .borrow_mut()
                .mark_all_removed(now, self.balancer.settings().unlisted_stay_usable);
        }
        self.balancer.endpoint_list_begins(now, is_whole);
        let starts = self.state.borrow_mut().start_times(now, entries);
        for entry in entries {
            if let Err(problem) = self.take_entry(now, entry, starts) {
                // One bad entry must not hide the others; what it names gets nothing new.
                warn!(log, "endpoint list entry malformed"; "error" => problem);
                if let Ok(id) = text(entry, "uid") {
                    self.mark_draining(now, id);
                }
            }
        }
        self.balancer.endpoint_list_ends(now);
        let mut state = self.state.borrow_mut();
        state.remove_departed_endpoints();
        state.discovery.listed_at = now;
        Ok(ListSummary {
            version,
            is_whole,
            has_entries: !entries.is_empty(),
        })
    }

    fn take_entry(&mut self, now: Micros, entry: &Value, starts: StartTimes) -> Decoded<()> {
        let id = text(entry, "uid")?;
        match text(entry, "state")? {
            "active" => {
                let address: SocketAddr = text(entry, "endpoint")?
                    .parse()
                    .map_err(|_| "field 'endpoint' is no address and port".to_owned())?;
                let stated = stated_start(entry)?;
                let (group, weight) = (whole(entry, "pod_group")?, number(entry, "capacity_hint")?);
                let (zone, kind) = (text(entry, "az")?, text(entry, "model")?);
                let mut state = self.state.borrow_mut();
                let (zone, kind) = (state.config.zone(zone), state.config.machine_type(kind));
                state.endpoint_active(id, address);
                let launched = state.started(id, stated, starts);
                drop(state);
                self.balancer.endpoint_listed(ListedEndpoint {
                    id,
                    zone,
                    machine_type: kind,
                    cell: group,
                    weight,
                    started_at: launched,
                });
            }
            "leaving" => self.mark_draining(now, id),
            "left" => self.mark_removed(now, id),
            other => return Err(format!("field 'state' holds unknown '{other}'")),
        }
        Ok(())
    }

    /// It drains: it gets nothing new.
    fn mark_draining(&mut self, now: Micros, id: &str) {
        self.state.borrow_mut().endpoint_draining(id, now);
        self.balancer.endpoint_draining(id);
    }

    /// It is gone.
    fn mark_removed(&mut self, now: Micros, id: &str) {
        let stays = self.balancer.settings().unlisted_stay_usable;
        self.state.borrow_mut().endpoint_removed(id, now, stays);
        self.balancer.endpoint_removed(now, id);
    }

    /// Takes what a list takes away of which only a part came: what discovery wrote counts as told, whether or not the
    /// rest arrives. What it adds waits for the whole. An entry of a change that was cut before its state is of a
    /// server that most likely goes; until the whole change is here it gets nothing new either.
    pub fn take_partial(&mut self, partial: &PartialList, of_changes: bool) {
        let now = self.state.borrow().now();
        let changes = partial.is_whole.map_or(of_changes, |is_whole| !is_whole);
        let known = |id: &str| self.state.borrow().endpoints.key_of(id).is_some();
        let takes_away = |state: Option<&str>| match state {
            Some(state) => matches!(state, "leaving" | "left"),
            None => changes,
        };
        let going: Vec<_> = partial
            .entries
            .iter()
            .filter(|entry| takes_away(entry.state.as_deref()) && known(&entry.id))
            .collect();
        if going.is_empty() {
            return;
        }
        self.balancer.endpoint_list_begins(now, false);
        for entry in &going {
            match entry.state.as_deref() {
                Some("left") => self.mark_removed(now, &entry.id),
                _ => self.mark_draining(now, &entry.id),
            }
        }
        self.balancer.endpoint_list_ends(now);
        let mut state = self.state.borrow_mut();
        // One whose state did not come may serve on: what is known of it stays.
        let stated = going.iter().filter(|entry| entry.state.is_some());
        stated.for_each(|entry| state.remove_if_draining(&entry.id));
        state.counters.list_updates_partial += 1;
        info!(state.log, "partial endpoint list received"; "version" => partial.version, "draining" => going.len());
    }
}

impl ProxyState {
    /// What bounds the ages of what a list names for the first time.
    fn start_times(&mut self, now: Micros, entries: &[Value]) -> StartTimes {
        let discovery = &self.discovery;
        let source = match (discovery.taken, discovery.known) {
            // A watch is answered as soon as there is news.
            (true, _) if discovery.schedule.is_watching() => Source::Later { since: now },
            (true, _) => Source::Later {
                since: discovery.listed_at,
            },
            (false, true) => Source::AfterKnown,
            (false, false) => Source::First,
        };
        let is_new = |id: &str, stated: Micros| {
            let known = self
                .endpoints
                .key_of(id)
                .and_then(|key| self.endpoints.get(key)?.started);
            known.is_none_or(|known| known.0 != stated)
        };
        let newcomer = |entry: &Value| {
            let (id, stated) = (text(entry, "uid").ok()?, stated_start(entry).ok()?);
            is_new(id, stated).then_some(stated)
        };
        let newcomers: Vec<Micros> = entries.iter().filter_map(newcomer).collect();
        let starts = StartTimes::new(now, discovery.clock_behind, source, &newcomers);
        self.discovery.clock_behind = starts.behind();
        starts
    }

    /// When the process of an endpoint started; of one that is known it is not asked again, whatever clocks did since.
    fn started(&mut self, id: &str, stated: Micros, starts: StartTimes) -> Micros {
        let key = self.endpoints.get_or_insert(id);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return 0;
        };
        match endpoint.started {
            Some((known, at)) if known == stated => at,
            _ => {
                let at = starts.started(stated);
                endpoint.started = Some((stated, at));
                at
            }
        }
    }

    /// Before a whole list: what it does not name is gone.
    fn mark_all_removed(&mut self, now: Micros, stays_open: bool) {
        for endpoint in self.endpoints.values_mut() {
            match stays_open {
                true => endpoint.removed_at.get_or_insert(now),
                false => endpoint.draining_since.get_or_insert(now),
            };
        }
    }

    /// It is listed as gone. Where only draining binds, its address is kept for as long as the module may use it.
    fn endpoint_removed(&mut self, id: &str, now: Micros, stays_open: bool) {
        let key = self.endpoints.get_or_insert(id);
        match self.endpoints.get_mut(key) {
            Some(endpoint) if stays_open => _ = endpoint.removed_at.get_or_insert(now),
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
        (endpoint.draining_since, endpoint.removed_at) = (None, None);
        if endpoint
            .address
            .replace(address)
            .is_some_and(|before| before != address)
        {
            self.close_idle_endpoint_connections(key, CloseReason::AddressChanged);
        }
    }

    /// Idle connections to what drains or is gone carry nothing any more, and without any it is forgotten: the
    /// list names ever new ones.
    fn remove_departed_endpoints(&mut self) {
        let long_ago = self.now().saturating_sub(KEPT_FOR);
        let over = |endpoint: &Endpoint| endpoint.removed_at.is_some_and(|left| left < long_ago);
        let left = self
            .endpoints
            .iter()
            .filter(|(_, up)| up.draining_since.is_some() || over(up));
        let left: Vec<_> = left.map(|(key, _)| key).collect();
        left.into_iter().for_each(|key| self.remove_endpoint(key));
    }

    /// The same for one that drains.
    fn remove_if_draining(&mut self, id: &str) {
        let Some(key) = self.endpoints.key_of(id) else {
            return;
        };
        if self
            .endpoints
            .get(key)
            .is_some_and(|endpoint| endpoint.draining_since.is_some())
        {
            self.remove_endpoint(key);
        }
    }

    fn remove_endpoint(&mut self, key: EndpointKey) {
        self.close_idle_endpoint_connections(key, CloseReason::Draining);
        if self
            .endpoint_connections
            .values()
            .all(|connection| connection.endpoint != key)
        {
            self.endpoints.remove(key);
        }
    }
}

/// The start of an endpoint's process as the list states it, in microseconds of Unix time.
fn stated_start(entry: &Value) -> Decoded<Micros> {
    Ok(optional(entry, "boot_ms", Value::as_u64)?
        .unwrap_or(0)
        .saturating_mul(1000))
}
