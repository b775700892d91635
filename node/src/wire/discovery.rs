//! Discovery: the list of upstreams and the watch on its changes, one call at a time.

use std::net::SocketAddr;

use bytes::Bytes;
use httparse::{Response, Status};
use pinefront::Micros;
use pinefront_terms::fields::{Decoded, flag, list, number, optional, text, whole};
use serde_json::Value;
use slog::{info, warn};

use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::buffers::{Inbox, Inflow, Outbox};
use crate::memory::deadlines::{Deadlines, Due, Place};
use crate::memory::desk::{Desk, Upstream, Wired};
use crate::wire::following::{Following, Step};
use crate::wire::heads::{self, FIELDS_MOST, HEAD_MOST};
use crate::wire::starts::{Source, StartTimes};
use crate::wire::upstreams::connect;

#[cfg(test)]
mod tests;

/// Over how long balancers that are told the list by another, and no longer are, ask for it themselves.
const FED_SCATTER: Micros = 2_000_000;
/// Longest list taken: some thousand upstreams.
const LIST_MOST: usize = 4 * 1024 * 1024;
/// How long an upstream that is no longer listed keeps its address where only draining binds: longer than the module
/// would try it.
const KEPT_FOR: Micros = 90_000_000;
/// The connection to discovery and how far the list has come.
pub struct Roster {
    wired: Option<Wired>,
    inbox: Inbox,
    outbox: Outbox,
    pub following: Following,
    due: Option<Place>,
    /// The list that we were started with, until it is taken.
    held: Option<Value>,
    /// Whether that list was taken, and one of discovery's own.
    known: bool,
    taken: bool,
    /// When discovery last told a list, or that there is nothing new.
    listed_at: Micros,
    /// How far our wall clock is known to have been behind when the process began.
    clock_behind: Micros,
}

impl Roster {
    pub fn new(seed: u64) -> Self {
        Self {
            wired: None,
            inbox: Inbox::default(),
            outbox: Outbox::default(),
            following: Following::new(seed),
            due: None,
            held: None,
            known: false,
            taken: false,
            listed_at: 0,
            clock_behind: 0,
        }
    }

    /// The list that we were started with. It may be old, so nothing is sent by it until discovery has told what changed
    /// since, or could not be asked.
    pub fn hold_known(&mut self, list: &Value) -> Decoded<()> {
        self.following.listed(whole(list, "rev")?, true, true);
        self.following.only_known();
        self.held = Some(list.clone());
        Ok(())
    }

    /// Whether there is a list to serve by: discovery's own, or the one we were started with where discovery
    /// could not be asked. That one may be old: what changed since may count as told already.
    pub fn stands(&self) -> bool {
        self.taken || (self.known && self.following.failures() > 0)
    }
}

impl Node {
    pub fn discovery_due(&mut self) {
        let mut desk = self.desk.borrow_mut();
        desk.roster.due = None;
        let now = desk.now();
        let fed_for = desk.fleet.as_ref().and_then(|fleet| fleet.borrow().fed_for());
        let step = desk.roster.following.due(now);
        if let Some(fed_for) = fed_for.filter(|_| step == Step::Ask && desk.roster.taken) {
            // Another asks for all, and says what it hears. All who stop hearing it do so at once, and ask scattered.
            desk.roster.following.rest(now + fed_for, FED_SCATTER);
            return desk.hang_discovery();
        }
        match step {
            Step::Nothing => return desk.hang_discovery(),
            Step::Ask => {}
            Step::AskAnew => desk.end_discovery(reasons::DISCOVERY_OVERDUE),
            Step::GiveUp => {
                drop(desk);
                return self.call_failed(reasons::DISCOVERY_OVERDUE);
            }
        }
        let asked = desk.ask();
        drop(desk);
        if asked.is_err() {
            self.call_failed(reasons::CONNECT_FAILED);
        }
    }

    pub fn discovery_ready(&mut self) {
        let mut borrowed = self.desk.borrow_mut();
        let desk = &mut *borrowed;
        let roster = &mut desk.roster;
        let Some(wired) = &roster.wired else { return };
        let failed = wired.stream.take_error().is_ok_and(|problem| problem.is_some());
        if wired.stream.peer_addr().is_ok() {
            roster.following.connected();
        }
        let written = roster.outbox.drain(&wired.stream);
        let inflow = roster.inbox.fill(&wired.stream, LIST_MOST);
        roster.hang(&mut desk.deadlines);
        let ended = inflow != Inflow::Dry;
        // A connection under way is not writable yet, which is no failure.
        let unwritten = written.is_err_and(|problem| problem.kind() != std::io::ErrorKind::NotConnected);
        let found = whole_list(roster.inbox.kept(), inflow == Inflow::Ended);
        match found {
            _ if !roster.following.asking() => {
                // The next call may be due already, and is made on a new connection.
                if ended || failed || !roster.inbox.kept().is_empty() {
                    desk.end_discovery(reasons::DISCOVERY_CLOSED);
                }
            }
            Ok(Some((bodies, end, lasts))) => {
                let message = roster.inbox.take(end);
                let text: Vec<u8> =
                    bodies.iter().flat_map(|range| &message[range.clone()]).copied().collect();
                if !lasts || ended {
                    desk.end_discovery(reasons::DISCOVERY_CLOSED);
                }
                drop(borrowed);
                let taken = serde_json::from_slice(&text).map_err(|problem| problem.to_string()).and_then(
                    |list: Value| {
                        self.take_list(&list)?;
                        self.desk
                            .borrow()
                            .fleet
                            .iter()
                            .for_each(|fleet| fleet.borrow_mut().listed(Some(&list)));
                        Ok(())
                    },
                );
                match taken {
                    Ok(()) => {
                        let mut desk = self.desk.borrow_mut();
                        let now = desk.clock.now();
                        desk.roster.taken = true;
                        desk.roster.following.answered(now);
                        desk.hang_discovery();
                    }
                    Err(problem) => {
                        warn!(self.desk.borrow().log, "list not understood"; "problem" => problem);
                        self.call_failed(reasons::NONSENSE);
                    }
                }
            }
            Ok(None) if ended || failed || unwritten => {
                drop(borrowed);
                self.call_failed(reasons::DISCOVERY_BROKEN);
            }
            Ok(None) => {}
            Err(reason) => {
                drop(borrowed);
                self.call_failed(reason);
            }
        }
    }

    /// Takes the list that we were started with, as the ground for what changed since or where there is no other.
    fn take_known(&mut self) {
        let Some(held) = self.desk.borrow_mut().roster.held.take() else { return };
        let taken = self.take_entries(&held);
        let mut desk = self.desk.borrow_mut();
        match taken {
            Ok(_) => desk.roster.known = true,
            Err(problem) => warn!(desk.log, "known list not understood"; "problem" => problem),
        }
    }

    /// Takes a whole list or what changed, as discovery words it.
    pub fn take_list(&mut self, told: &Value) -> Decoded<()> {
        self.take_known();
        let (version, complete, news) = self.take_entries(told)?;
        let mut desk = self.desk.borrow_mut();
        desk.roster.following.listed(version, complete, news);
        desk.counters.lists_taken += 1;
        info!(desk.log, "list taken"; "version" => version, "whole" => complete, "news" => news);
        Ok(())
    }

    /// Takes down what a list names. Its version, whether it is whole, and whether it names anything.
    fn take_entries(&mut self, told: &Value) -> Decoded<(u64, bool, bool)> {
        let version = whole(told, "rev")?;
        let (now, log) = {
            let desk = self.desk.borrow();
            (desk.now(), desk.log.clone())
        };
        let entries = list(told, "targets")?;
        let complete = flag(told, "all")?;
        if complete {
            self.desk.borrow_mut().all_gone(now, self.balancer.terms().dropped_stay_open);
        }
        self.balancer.list_begins(now, complete);
        let starts = self.desk.borrow_mut().start_times(now, entries);
        for entry in entries {
            if let Err(problem) = self.take_entry(now, entry, starts) {
                // One bad entry must not hide the others; what it names gets nothing new.
                warn!(log, "entry not understood"; "problem" => problem);
                if let Ok(id) = text(entry, "uid") {
                    self.desk.borrow_mut().drains(id, now);
                    self.balancer.list_drains(id);
                }
            }
        }
        self.balancer.list_ends(now);
        let mut desk = self.desk.borrow_mut();
        desk.drop_left();
        desk.roster.listed_at = now;
        Ok((version, complete, !entries.is_empty()))
    }

    fn take_entry(&mut self, now: Micros, entry: &Value, starts: StartTimes) -> Decoded<()> {
        let stays = self.balancer.terms().dropped_stay_open;
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
                self.balancer.list_entry(id, zone, kind, group, weight, launched);
            }
            "leaving" => {
                self.desk.borrow_mut().drains(id, now);
                self.balancer.list_drains(id);
            }
            "left" => {
                self.desk.borrow_mut().drops(id, now, stays);
                self.balancer.list_drops(now, id);
            }
            other => return Err(format!("field 'state' holds unknown '{other}'")),
        }
        Ok(())
    }

    /// A call for the list failed: the list that we have stands.
    fn call_failed(&mut self, reason: &'static str) {
        self.take_known();
        let mut desk = self.desk.borrow_mut();
        desk.counters.lists_failed += 1;
        info!(desk.log, "list call failed"; "reason" => reason, "unread_bytes" => desk.roster.inbox.kept().len(),
            "waited_ms" => desk.now().saturating_sub(desk.roster.following.asked()) / 1000);
        desk.end_discovery(reason);
        let (now, within) = (desk.now(), desk.place.ask_within);
        desk.roster.following.failed(now, within);
        desk.hang_discovery();
        desk.fleet.iter().for_each(|fleet| fleet.borrow_mut().listed(None));
    }

    /// Takes what another balancer of the zone tells of the list, and asks for the whole of it where this one has just
    /// begun to tell the others.
    pub fn take_roster(&mut self) {
        let Some(fleet) = self.desk.borrow().fleet.clone() else { return };
        let (pages, takes_over) = {
            let rosters = &mut fleet.borrow_mut().rosters;
            (rosters.take_pages(), rosters.takes_over())
        };
        for page in pages {
            let taken = serde_json::from_slice(&page).map_err(|problem| problem.to_string());
            match taken.and_then(|list: Value| self.take_list(&list)) {
                Ok(()) => {
                    let mut desk = self.desk.borrow_mut();
                    desk.counters.lists_told += 1;
                    desk.roster.taken = true;
                    desk.follow_list();
                }
                Err(problem) => {
                    warn!(self.desk.borrow().log, "list of another balancer not understood"; "problem" => problem);
                }
            }
        }
        if takes_over {
            let mut desk = self.desk.borrow_mut();
            desk.ask_elsewhere();
        }
    }
}

impl Roster {
    fn hang(&mut self, deadlines: &mut Deadlines) {
        match self.following.deadline() {
            Some(at) if self.due.is_some_and(|due| due.0 == at) => {}
            Some(at) => deadlines.move_to(&mut self.due, at, Due::Discovery),
            None => deadlines.clear(&mut self.due),
        }
    }
}

impl Desk {
    /// The first call for the list, once the process stands.
    pub fn begin_following(&mut self) {
        let now = self.clock.now();
        self.roster.following.begin(now, self.place.ask_within, self.place.balancers);
        self.hang_discovery();
    }

    /// The module wants the list followed; on a later turn, as we are inside its call.
    pub fn follow_list(&mut self) {
        let now = self.clock.now();
        self.roster.following.follow(now);
        self.hang_discovery();
    }

    fn hang_discovery(&mut self) {
        self.roster.hang(&mut self.deadlines);
    }

    pub fn discovery_moved(&mut self, address: SocketAddr) {
        self.place.discovery = address;
        self.ask_elsewhere();
    }

    /// Whoever is asked from now on may count versions otherwise.
    fn ask_elsewhere(&mut self) {
        self.end_discovery(reasons::MOVED);
        let now = self.clock.now();
        self.roster.following.moved(now);
        self.hang_discovery();
    }

    fn ask(&mut self) -> std::io::Result<()> {
        let (now, connected) = (self.clock.now(), self.roster.wired.is_some());
        let watch = self.roster.following.ask(now, connected, self.place.ask_within, self.place.balancers);
        let path = match watch {
            None => "/registry/instances".to_owned(),
            Some((version, wait)) => {
                format!("/registry/instances?since={version}&timeout_ms={}", wait / 1000)
            }
        };
        let address = self.place.discovery;
        self.counters.lists_asked += 1;
        self.hang_discovery();
        info!(self.log, "list asked"; "path" => &path, "reused" => connected);
        let call = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        self.roster.outbox.push(Bytes::from(call));
        match &self.roster.wired {
            // What fails here is read from the connection, on a later turn.
            Some(wired) => _ = self.roster.outbox.drain(&wired.stream),
            None => {
                let wired = Wired::new(&self.handle, connect(address)?, Node::discovery_ready)?;
                self.roster.wired = Some(wired);
            }
        }
        Ok(())
    }

    /// The connection ends, and with it the call that is out.
    pub fn end_discovery(&mut self, reason: &'static str) {
        self.roster.following.dropped();
        self.roster.inbox.forget();
        self.roster.outbox = Outbox::default();
        if let Some(wired) = self.roster.wired.take() {
            self.handle.remove(wired.token);
            info!(self.log, "discovery ended"; "reason" => reason);
        }
    }

    /// What bounds the ages of what a list names for the first time.
    fn start_times(&mut self, now: Micros, entries: &[Value]) -> StartTimes {
        let roster = &self.roster;
        let source = match (roster.taken, roster.known) {
            // A watch is answered as soon as there is news.
            (true, _) if roster.following.is_watching() => Source::Later { since: now },
            (true, _) => Source::Later { since: roster.listed_at },
            (false, true) => Source::AfterKnown,
            (false, false) => Source::First,
        };
        let is_new = |id: &str, stated: Micros| {
            let known = self.by_name.get(id).and_then(|slot| self.upstreams.get(*slot)?.started);
            known.is_none_or(|known| known.0 != stated)
        };
        let newcomer = |entry: &Value| {
            let (id, stated) = (text(entry, "uid").ok()?, stated_start(entry).ok()?);
            is_new(id, stated).then_some(stated)
        };
        let newcomers: Vec<Micros> = entries.iter().filter_map(newcomer).collect();
        let starts = StartTimes::new(now, roster.clock_behind, source, &newcomers);
        self.roster.clock_behind = starts.behind();
        starts
    }

    /// When the process of an upstream started; of one that is known it is not asked again, whatever clocks did since.
    fn started(&mut self, id: &str, stated: Micros, starts: StartTimes) -> Micros {
        let slot = self.upstream(id);
        let Some(upstream) = self.upstreams.get_mut(slot) else { return 0 };
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
        let Some(upstream) = self.upstreams.get_mut(slot) else { return };
        (upstream.drains, upstream.left) = (None, None);
        if upstream.address.replace(address).is_some_and(|before| before != address) {
            self.drop_idle_links(slot, reasons::MOVED);
        }
    }

    /// Idle connections to what drains or is gone carry nothing any more, and without any it is forgotten: the
    /// list names ever new ones.
    fn drop_left(&mut self) {
        let long_ago = self.now().saturating_sub(KEPT_FOR);
        let over = |upstream: &Upstream| upstream.left.is_some_and(|left| left < long_ago);
        let left = self.upstreams.iter().filter(|(_, up)| up.drains.is_some() || over(up));
        let left: Vec<_> = left.map(|(slot, _)| slot).collect();
        for slot in left {
            self.drop_idle_links(slot, reasons::DRAINED);
            if self.links.values().all(|link| link.upstream != slot)
                && let Some(upstream) = self.upstreams.remove(slot)
            {
                self.by_name.remove(&upstream.id);
            }
        }
    }
}

/// The start of an upstream's process as the list states it, in microseconds of Unix time.
fn stated_start(entry: &Value) -> Decoded<Micros> {
    Ok(optional(entry, "boot_ms", Value::as_u64)?.unwrap_or(0).saturating_mul(1000))
}

type Found = (Vec<std::ops::Range<usize>>, usize, bool);

/// The body of a whole answer, its end, and whether the connection lasts; nothing while part is missing.
fn whole_list(kept: &[u8], ended: bool) -> Result<Option<Found>, &'static str> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut response = Response::new(&mut fields);
    let head = match response.parse(kept) {
        Ok(Status::Complete(head)) => head,
        Ok(Status::Partial) if kept.len() < HEAD_MOST => return Ok(None),
        _ => return Err(reasons::NONSENSE),
    };
    if response.code != Some(200) {
        return Err(reasons::DISCOVERY_ERROR);
    }
    let framing = heads::framing(response.headers).map_err(|_| reasons::NONSENSE)?;
    let lasts = heads::lasts(&response, framing);
    match heads::body(kept, head, framing, ended, LIST_MOST) {
        heads::Body::Whole(ranges, end) => Ok(Some((ranges, end, lasts))),
        heads::Body::Partial if kept.len() < LIST_MOST => Ok(None),
        _ => Err(reasons::NONSENSE),
    }
}
