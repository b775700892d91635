//! Discovery: the list of upstreams and the watch on its changes, one call at a time.

use std::net::SocketAddr;

use bytes::Bytes;
use httparse::{Response, Status};
use nanorand::{Rng, WyRand};
use pinefront::Micros;
use pinefront_terms::fields::{Decoded, flag, list, number, optional, text, whole};
use serde_json::Value;
use slog::{info, warn};

use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::buffers::{Inbox, Inflow, Outbox};
use crate::memory::deadlines::{Due, Place};
use crate::memory::desk::{Desk, Upstream, Wired};
use crate::wire::heads::{self, FIELDS_MOST, HEAD_MOST};
use crate::wire::upstreams::connect;

#[cfg(test)]
mod tests;

/// How long a watch may wait at discovery. What a cut-off discovery has to tell counts as told two seconds
/// after the wait of the call that is out, so a long wait bridges longer cuts.
const WATCH_MOST: Micros = 20_000_000;
/// Part of the span within which the settings want us to ask that a watch may wait: a discovery that came back
/// without knowing of it counts us as told after that span, and the next call must come before.
const WATCH_PART: f64 = 0.75;
/// How long an answer may take beyond that wait; a whole list may queue at discovery for two seconds first.
const OVERDUE: Micros = 1_500_000;
const QUEUED: Micros = 1_000_000;
/// How long a connection to discovery may take to come about: a machine that vanished never answers.
const CONNECT_WITHIN: Micros = 1_000_000;
/// The shortest time between two calls: answers that come at once would have us ask without end. A watch goes
/// on as long as the next call follows within 200 ms.
const ASK_APART: Micros = 100_000;
/// How long a watch must be out before a refused connection casts doubt on it: discovery is one service for all,
/// and its calls are dear. Doubled at each doubt that brought no news.
const DOUBT_AFTER: Micros = 3_000_000;
const DOUBT_DOUBLINGS: u32 = 3;
/// How long the list that we were started with, which may be old, waits for discovery's own.
const LIST_WAIT: Micros = 200_000;
/// Over how long balancers that are told the list by another, and no longer are, ask for it themselves.
const FED_SCATTER: Micros = 2_000_000;
/// Longest list taken: some thousand upstreams.
const LIST_MOST: usize = 4 * 1024 * 1024;
/// How long an upstream that is no longer listed keeps its address where only draining binds: longer than the module
/// would try it.
const KEPT_FOR: Micros = 90_000_000;
/// Where the module does not ask for the list itself: the first wait after a failed call, and its doublings.
const RETRY_FIRST: Micros = 250_000;
const RETRY_DOUBLINGS: u32 = 4;

/// The connection to discovery and how far the list has come.
pub struct Roster {
    wired: Option<Wired>,
    inbox: Inbox,
    outbox: Outbox,
    version: Option<u64>,
    /// A call is out.
    asking: bool,
    /// The connection has come about.
    connected: bool,
    /// When the last call was made, and when its answer is overdue.
    asked: Micros,
    overdue: Micros,
    due: Option<Place>,
    failures: u32,
    /// Doubts since the last list that told anything.
    doubts: u32,
    /// Whether there is the list that we were started with, and one of discovery's own.
    known: bool,
    taken: bool,
    started: Micros,
    chance: WyRand,
}

impl Roster {
    pub fn new(seed: u64, now: Micros) -> Self {
        Self {
            wired: None,
            inbox: Inbox::default(),
            outbox: Outbox::default(),
            version: None,
            asking: false,
            connected: false,
            asked: 0,
            overdue: 0,
            due: None,
            failures: 0,
            doubts: 0,
            known: false,
            taken: false,
            started: now,
            chance: WyRand::new_seed(!seed),
        }
    }

    /// What was taken is the list that we were started with; the first call asks for the whole of it.
    pub fn only_known(&mut self) {
        self.version = None;
        self.known = true;
    }

    /// Whether a watch is out on a connection that came about.
    fn watches(&self) -> bool {
        self.asking && self.connected && self.version.is_some()
    }

    /// Whether there is a list to serve by: discovery's own, or the one we were started with where discovery
    /// does not answer at once.
    pub fn stands(&self, now: Micros) -> bool {
        self.taken || (self.known && (self.failures > 0 || now >= self.started + LIST_WAIT))
    }
}

impl Node {
    pub fn discovery_due(&mut self) {
        let mut desk = self.desk.borrow_mut();
        desk.roster.due = None;
        let fed_for = desk.fleet.as_ref().and_then(|fleet| fleet.borrow().fed_for());
        if let Some(fed_for) = fed_for.filter(|_| !desk.roster.asking && desk.roster.taken) {
            // Another asks for all, and says what it hears. All who stop hearing it do so at once, and ask scattered.
            let scatter = desk.roster.chance.generate_range(0..=FED_SCATTER);
            let at = desk.now() + fed_for + scatter;
            return desk.ask_at(at);
        }
        if desk.roster.watches() {
            // It fell silent, alone: discovery is not crowded, and what changed counts as told from here on. A scattered wait
            // as after a failed call left the old list in use for 5 to 7 s.
            desk.end_discovery(reasons::DISCOVERY_OVERDUE);
        } else if desk.roster.asking {
            drop(desk);
            return self.call_failed(reasons::DISCOVERY_OVERDUE);
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
        if !roster.connected && wired.stream.peer_addr().is_ok() {
            roster.connected = true;
            desk.deadlines.move_to(&mut roster.due, roster.overdue, Due::Discovery);
        }
        let written = roster.outbox.drain(&wired.stream);
        let inflow = roster.inbox.fill(&wired.stream, LIST_MOST);
        let ended = inflow != Inflow::Dry;
        // A connection under way is not writable yet, which is no failure.
        let unwritten = written.is_err_and(|problem| problem.kind() != std::io::ErrorKind::NotConnected);
        let found = whole_list(roster.inbox.kept(), inflow == Inflow::Ended);
        match found {
            _ if !roster.asking => {
                // The next call may be due already, and is made on a new connection.
                if ended || failed || !roster.inbox.kept().is_empty() {
                    desk.end_discovery(reasons::DISCOVERY_CLOSED);
                }
            }
            Ok(Some((bodies, end, lasts))) => {
                let message = roster.inbox.take(end);
                let text: Vec<u8> =
                    bodies.iter().flat_map(|range| &message[range.clone()]).copied().collect();
                roster.asking = false;
                desk.deadlines.clear(&mut roster.due);
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
                    Ok(()) => self.watch_on(),
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

    /// Takes a whole list or what changed, as discovery words it.
    pub fn take_list(&mut self, told: &Value) -> Decoded<()> {
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
        for entry in entries {
            if let Err(problem) = self.take_entry(now, entry) {
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
        desk.roster.version = Some(version);
        if !entries.is_empty() {
            desk.roster.doubts = 0;
        }
        desk.counters.lists_taken += 1;
        Ok(())
    }

    fn take_entry(&mut self, now: Micros, entry: &Value) -> Decoded<()> {
        let stays = self.balancer.terms().dropped_stay_open;
        let id = text(entry, "uid")?;
        match text(entry, "state")? {
            "active" => {
                let address: SocketAddr = text(entry, "endpoint")?
                    .parse()
                    .map_err(|_| "field 'endpoint' is no address and port".to_owned())?;
                let launched = optional(entry, "boot_ms", Value::as_u64)?.unwrap_or(0).saturating_mul(1000);
                let (group, weight) = (whole(entry, "pod_group")?, number(entry, "capacity_hint")?);
                let (zone, kind) = (text(entry, "az")?, text(entry, "model")?);
                let mut desk = self.desk.borrow_mut();
                let (zone, kind) = (desk.place.zone(zone), desk.place.kind(kind));
                desk.serves(id, address);
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

    /// The watch goes on as long as the next call follows at once.
    fn watch_on(&mut self) {
        let mut desk = self.desk.borrow_mut();
        desk.roster.taken = true;
        desk.roster.failures = 0;
        let at = desk.now().max(desk.roster.asked + ASK_APART);
        desk.ask_at(at);
    }

    /// A call for the list failed: the list that we have stands, and the module says when to ask anew.
    fn call_failed(&mut self, reason: &'static str) {
        let mut borrowed = self.desk.borrow_mut();
        let desk = &mut *borrowed;
        desk.counters.lists_failed += 1;
        desk.end_discovery(reason);
        desk.deadlines.clear(&mut desk.roster.due);
        let asks_itself = desk.place.ask_within.is_some();
        let roster = &mut desk.roster;
        let failures = roster.failures;
        roster.failures += 1;
        if !asks_itself {
            let wait = RETRY_FIRST << failures.min(RETRY_DOUBLINGS);
            let wait = wait / 2 + roster.chance.generate_range(0..=wait / 2);
            let at = desk.now() + wait;
            desk.ask_at(at);
        }
        desk.fleet.iter().for_each(|fleet| fleet.borrow_mut().listed(None));
        drop(borrowed);
        self.balancer.list_failed();
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
                    (desk.roster.taken, desk.roster.failures) = (true, 0);
                    if !desk.roster.asking && desk.roster.due.is_none() {
                        let now = desk.clock.now();
                        desk.ask_at(now);
                    }
                }
                Err(problem) => {
                    warn!(self.desk.borrow().log, "list of another balancer not understood"; "problem" => problem);
                }
            }
        }
        if takes_over {
            let mut desk = self.desk.borrow_mut();
            desk.end_discovery(reasons::MOVED);
            desk.roster.version = None;
            let now = desk.clock.now();
            desk.ask_at(now);
        }
    }
}

impl Desk {
    /// The module wants the list followed; on a later turn, as we are inside its call.
    pub fn follow_list(&mut self) {
        // A watch that goes on needs no second call.
        if !self.roster.asking && self.roster.due.is_none() {
            self.ask_at(self.clock.now());
        }
    }

    fn ask_at(&mut self, at: Micros) {
        self.deadlines.move_to(&mut self.roster.due, at, Due::Discovery);
    }

    /// Discovery is somewhere else, and may count its versions otherwise: it is asked for the whole list.
    pub fn discovery_moved(&mut self, address: SocketAddr) {
        self.place.discovery = address;
        self.end_discovery(reasons::MOVED);
        self.roster.version = None;
        self.ask_at(self.clock.now());
    }

    /// An upstream that the list names as there refused a connection. A watch that has fallen silent would tell of
    /// it only when it is overdue, so we ask anew.
    pub fn doubt_list(&mut self) {
        let after = DOUBT_AFTER << self.roster.doubts.min(DOUBT_DOUBLINGS);
        if self.roster.asking && self.roster.connected && self.clock.now() >= self.roster.asked + after {
            self.roster.doubts += 1;
            self.end_discovery(reasons::DOUBTED);
            self.ask_at(self.clock.now());
        }
    }

    fn ask(&mut self) -> std::io::Result<()> {
        let (path, wait) = match self.roster.version {
            None => ("/registry/instances".to_owned(), QUEUED),
            Some(version) => {
                let wait = watch_wait(self.place.ask_within);
                (format!("/registry/instances?since={version}&timeout_ms={}", wait / 1000), wait)
            }
        };
        let address = self.place.discovery;
        self.counters.lists_asked += 1;
        self.roster.asking = true;
        let now = self.clock.now();
        (self.roster.asked, self.roster.overdue) = (now, now + wait + OVERDUE);
        let connected = self.roster.wired.is_some();
        self.ask_at(if connected { self.roster.overdue } else { now + CONNECT_WITHIN });
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
        self.roster.asking = false;
        self.roster.inbox.forget();
        self.roster.outbox = Outbox::default();
        self.roster.connected = false;
        if let Some(wired) = self.roster.wired.take() {
            self.handle.remove(wired.token);
            info!(self.log, "discovery ended"; "reason" => reason);
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
        if let Some(upstream) = self.upstreams.get_mut(slot) {
            upstream.drains.get_or_insert(now);
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

fn watch_wait(ask_within: Option<Micros>) -> Micros {
    let part = |within| (within as f64 * WATCH_PART) as Micros;
    ask_within.map_or(WATCH_MOST, |within| part(within).min(WATCH_MOST))
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
