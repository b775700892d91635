//! Lists of servers as discovery words them, taken into the tables and told to the module.

use std::net::SocketAddr;

use pinefront_policy::{ListedEndpoint, Micros};
use pinefront_settings::fields::{Decoded, flag, list, number, optional, text, whole};
use serde_json::Value;
use slog::{info, warn};

use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::desk::{Desk, Upstream};
use crate::memory::slots::UpstreamSlot;
use crate::wire::discovery::partial::PartialList;
use crate::wire::discovery::schedule::Told;
use crate::wire::starts::{Source, StartTimes};

/// How long an upstream that is no longer listed keeps its address where only draining binds: longer than the module
/// would try it.
const KEPT_FOR: Micros = 90_000_000;

impl Node {
    /// Takes the list that we were started with, as the ground for what changed since or where there is no other.
    pub fn take_known(&mut self) {
        let Some(held) = self.desk.borrow_mut().discovery.held.take() else {
            return;
        };
        let taken = self.take_entries(&held);
        let mut desk = self.desk.borrow_mut();
        match taken {
            Ok(_) => desk.discovery.known = true,
            Err(problem) => warn!(desk.log, "known list not understood"; "problem" => problem),
        }
    }

    /// Takes a whole list or what changed, as discovery words it.
    pub fn take_list(&mut self, list: &Value) -> Decoded<Told> {
        self.take_known();
        let told = self.take_entries(list)?;
        let mut desk = self.desk.borrow_mut();
        desk.counters.lists_taken += 1;
        info!(desk.log, "list taken"; "version" => told.version, "whole" => told.is_whole, "news" => told.has_entries);
        Ok(told)
    }

    /// Takes down what a list names.
    fn take_entries(&mut self, told: &Value) -> Decoded<Told> {
        let version = whole(told, "rev")?;
        let (now, log) = {
            let desk = self.desk.borrow();
            (desk.now(), desk.log.clone())
        };
        let entries = list(told, "targets")?;
        let is_whole = flag(told, "all")?;
        if is_whole {
            self.desk
                .borrow_mut()
                .all_gone(now, self.balancer.settings().unlisted_stay_usable);
        }
        self.balancer.endpoint_list_begins(now, is_whole);
        let starts = self.desk.borrow_mut().start_times(now, entries);
        for entry in entries {
            if let Err(problem) = self.take_entry(now, entry, starts) {
                // One bad entry must not hide the others; what it names gets nothing new.
                warn!(log, "entry not understood"; "problem" => problem);
                if let Ok(id) = text(entry, "uid") {
                    self.take_away(now, id);
                }
            }
        }
        self.balancer.endpoint_list_ends(now);
        let mut desk = self.desk.borrow_mut();
        desk.drop_left();
        desk.discovery.listed_at = now;
        Ok(Told {
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
                let mut desk = self.desk.borrow_mut();
                let (zone, kind) = (desk.place.zone(zone), desk.place.kind(kind));
                desk.serves(id, address);
                let launched = desk.started(id, stated, starts);
                drop(desk);
                self.balancer.endpoint_listed(ListedEndpoint {
                    id,
                    zone,
                    machine_type: kind,
                    cell: group,
                    weight,
                    started_at: launched,
                });
            }
            "leaving" => self.take_away(now, id),
            "left" => self.take_left(now, id),
            other => return Err(format!("field 'state' holds unknown '{other}'")),
        }
        Ok(())
    }

    /// It drains: it gets nothing new.
    fn take_away(&mut self, now: Micros, id: &str) {
        self.desk.borrow_mut().drains(id, now);
        self.balancer.endpoint_draining(id);
    }

    /// It is gone.
    fn take_left(&mut self, now: Micros, id: &str) {
        let stays = self.balancer.settings().unlisted_stay_usable;
        self.desk.borrow_mut().drops(id, now, stays);
        self.balancer.endpoint_removed(now, id);
    }

    /// Takes what a list takes away of which only a part came: what discovery wrote counts as told, whether or not the
    /// rest arrives. What it adds waits for the whole. An entry of a change that was cut before its state is of a
    /// server that most likely goes; until the whole change is here it gets nothing new either.
    pub fn take_partial(&mut self, partial: &PartialList, of_changes: bool) {
        let now = self.desk.borrow().now();
        let changes = partial.is_whole.map_or(of_changes, |is_whole| !is_whole);
        let known = |id: &str| self.desk.borrow().by_name.contains_key(id);
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
                Some("left") => self.take_left(now, &entry.id),
                _ => self.take_away(now, &entry.id),
            }
        }
        self.balancer.endpoint_list_ends(now);
        let mut desk = self.desk.borrow_mut();
        // One whose state did not come may serve on: what is known of it stays.
        let stated = going.iter().filter(|entry| entry.state.is_some());
        stated.for_each(|entry| desk.drop_drained(&entry.id));
        desk.counters.lists_taken_early += 1;
        info!(desk.log, "part of a list taken"; "version" => partial.version, "drained" => going.len());
    }
}

impl Desk {
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
                .by_name
                .get(id)
                .and_then(|slot| self.upstreams.get(*slot)?.started);
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

    /// When the process of an upstream started; of one that is known it is not asked again, whatever clocks did since.
    fn started(&mut self, id: &str, stated: Micros, starts: StartTimes) -> Micros {
        let slot = self.upstream(id);
        let Some(upstream) = self.upstreams.get_mut(slot) else {
            return 0;
        };
        match upstream.started {
            Some((known, at)) if known == stated => at,
            _ => {
                let at = starts.started(stated);
                upstream.started = Some((stated, at));
                at
            }
        }
    }

    /// Before a whole list: what it does not name is gone.
    fn all_gone(&mut self, now: Micros, stays_open: bool) {
        for upstream in self.upstreams.values_mut() {
            match stays_open {
                true => upstream.left.get_or_insert(now),
                false => upstream.drains.get_or_insert(now),
            };
        }
    }

    /// It is listed as gone. Where only draining binds, its address is kept for as long as the module may use it.
    fn drops(&mut self, id: &str, now: Micros, stays_open: bool) {
        let slot = self.upstream(id);
        match self.upstreams.get_mut(slot) {
            Some(upstream) if stays_open => _ = upstream.left.get_or_insert(now),
            _ => self.drains(id, now),
        }
    }

    fn drains(&mut self, id: &str, now: Micros) {
        let slot = self.upstream(id);
        if let Some(upstream) = self.upstreams.get_mut(slot)
            && upstream.drains.is_none()
        {
            upstream.drains = Some(now);
            info!(self.log, "server drains"; "upstream" => id);
        }
    }

    fn serves(&mut self, id: &str, address: SocketAddr) {
        let slot = self.upstream(id);
        let Some(upstream) = self.upstreams.get_mut(slot) else {
            return;
        };
        (upstream.drains, upstream.left) = (None, None);
        if upstream
            .address
            .replace(address)
            .is_some_and(|before| before != address)
        {
            self.drop_idle_links(slot, reasons::MOVED);
        }
    }

    /// Idle connections to what drains or is gone carry nothing any more, and without any it is forgotten: the
    /// list names ever new ones.
    fn drop_left(&mut self) {
        let long_ago = self.now().saturating_sub(KEPT_FOR);
        let over = |upstream: &Upstream| upstream.left.is_some_and(|left| left < long_ago);
        let left = self
            .upstreams
            .iter()
            .filter(|(_, up)| up.drains.is_some() || over(up));
        let left: Vec<_> = left.map(|(slot, _)| slot).collect();
        left.into_iter().for_each(|slot| self.drop_upstream(slot));
    }

    /// The same for one that drains.
    fn drop_drained(&mut self, id: &str) {
        let Some(&slot) = self.by_name.get(id) else {
            return;
        };
        if self
            .upstreams
            .get(slot)
            .is_some_and(|upstream| upstream.drains.is_some())
        {
            self.drop_upstream(slot);
        }
    }

    fn drop_upstream(&mut self, slot: UpstreamSlot) {
        self.drop_idle_links(slot, reasons::DRAINED);
        if self.links.values().all(|link| link.upstream != slot)
            && let Some(upstream) = self.upstreams.remove(slot)
        {
            self.by_name.remove(&upstream.id);
        }
    }
}

/// The start of an upstream's process as the list states it, in microseconds of Unix time.
fn stated_start(entry: &Value) -> Decoded<Micros> {
    Ok(optional(entry, "boot_ms", Value::as_u64)?
        .unwrap_or(0)
        .saturating_mul(1000))
}
