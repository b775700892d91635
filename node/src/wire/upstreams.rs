//! Connections to upstreams: carrying dispatches out, and what comes back.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use bytes::Bytes;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use httparse::{Response, Status};
use pinefront::{Ending, Host, Micros};
use slog::{info, warn};
use socket2::{Domain, Protocol, Socket, Type};

use crate::life::reasons;
use crate::life::serve::{Hands, Node};
use crate::memory::buffers::{Inbox, Inflow, Outbox};
use crate::memory::deadlines::Due;
use crate::memory::desk::{Desk, Errand, Link, Wired};
use crate::memory::slots::{LinkSlot, TicketSlot, UpstreamSlot};
use crate::wire::heads::{self, BODY_MOST, Body, CHUNKING_MOST, FIELDS_MOST, Framing, HEAD_MOST};

#[cfg(test)]
mod tests;

/// What an answer may take in the inbox: a head, a body, and a chunked body's framing.
const KEPT_MOST: usize = HEAD_MOST + BODY_MOST + CHUNKING_MOST;
/// Part of the idle time that the settings give after which we close first: a ticket written to a connection
/// that the upstream is closing would end broken.
const IDLE_PART: f64 = 0.8;

/// Ends that cast doubt on an upstream's other connections: a machine that vanished leaves them all as silent,
/// and back again it resets each under a ticket. A new one tells at once whether it is there.
const TELLS_OF_OTHERS: [&str; 3] = [reasons::SILENT, reasons::CONNECT_TIMEOUT, reasons::LINK_BROKEN];

impl Host for Hands {
    fn dispatch(&mut self, ticket: &str, upstream: &str, expire_at: Micros) {
        self.0.borrow_mut().dispatch(ticket, upstream, expire_at);
    }

    /// Calling off closes the connection: the upstream sees that nobody waits.
    fn call_off(&mut self, ticket: &str, dispatch: usize) {
        let mut desk = self.0.borrow_mut();
        let ticket = desk.by_id.get(ticket).and_then(|slot| desk.tickets.get(*slot));
        if let Some(link) = ticket.and_then(|ticket| ticket.dispatches.get(dispatch).copied().flatten()) {
            desk.counters.dispatches_called_off += 1;
            let doubtful = desk.long_silent(link);
            desk.end_link(link, reasons::CALLED_OFF);
            if let Some(upstream) = doubtful {
                desk.drop_idle_links(upstream, reasons::STALE);
            }
        }
    }

    fn dismiss(&mut self, ticket: &str, come_back_after: Micros) {
        let mut desk = self.0.borrow_mut();
        let Some(slot) = desk.by_id.get(ticket).copied() else { return };
        let mut fields = Vec::new();
        if come_back_after > 0 {
            fields.push(Bytes::from(format!("Retry-After: {:.3}\r\n", come_back_after as f64 / 1e6)));
        }
        desk.counters.tickets_dismissed += 1;
        desk.answer(slot, 503, fields, Vec::new());
    }

    fn abandon(&mut self, ticket: &str) {
        let mut desk = self.0.borrow_mut();
        let Some(slot) = desk.by_id.get(ticket).copied() else { return };
        desk.counters.tickets_abandoned += 1;
        desk.answer(slot, 502, Vec::new(), Vec::new());
    }

    fn wake(&mut self, after: Micros, alarm: u64) {
        let mut desk = self.0.borrow_mut();
        let at = desk.now().saturating_add(after);
        desk.deadlines.hang(at, Due::Alarm(alarm));
    }

    fn follow_list(&mut self) {
        let mut desk = self.0.borrow_mut();
        desk.follow_list();
    }
}

/// What a look at a connection to an upstream found.
enum Look {
    Nothing,
    /// Its end, as the ticket that it carries sees it.
    Over(Ending, &'static str),
    /// A whole answer: the length of its head, where its body lies and where it ends, and whether the
    /// connection can carry another ticket.
    Answer(usize, Vec<std::ops::Range<usize>>, usize, bool),
}

impl Node {
    /// Something may be written to or read from a connection to an upstream.
    pub fn link_ready(&mut self, slot: LinkSlot) {
        let looked = self.desk.borrow_mut().look_at_link(slot);
        match looked {
            Look::Nothing => {}
            Look::Over(ending, reason) => self.link_over(slot, ending, reason),
            Look::Answer(head, body, end, whole) => self.take_answer(slot, head, &body, end, whole),
        }
    }

    /// A connection's deadline came: it stood idle, did not come about, or its ticket waits no longer.
    pub fn link_due(&mut self, slot: LinkSlot) {
        let mut desk = self.desk.borrow_mut();
        let now = desk.now();
        let Some(link) = desk.links.get_mut(slot) else { return };
        link.due = None;
        let over = match &link.errand {
            None => (Ending::NeverSent, reasons::LINK_IDLE),
            Some(_) if !link.connected => (Ending::Unreachable, reasons::CONNECT_TIMEOUT),
            // Proven not run only while its last byte has not left.
            Some(_) if !link.outbox.is_empty() => (Ending::Unreachable, reasons::NOT_WRITTEN),
            Some(errand) if errand.expire_at <= now => (Ending::Silent, reasons::SILENT),
            Some(errand) => {
                let at = errand.expire_at;
                desk.link_waits(slot, at);
                return;
            }
        };
        drop(desk);
        self.link_over(slot, over.0, over.1);
    }

    /// A connection ends, and with it the dispatch that it carries.
    fn link_over(&mut self, slot: LinkSlot, ending: Ending, reason: &'static str) {
        let mut desk = self.desk.borrow_mut();
        let errand = desk.links.get_mut(slot).and_then(|link| link.errand.take());
        let upstream = desk.links.get(slot).map(|link| link.upstream);
        desk.end_link(slot, reason);
        if let Some(upstream) = upstream.filter(|_| TELLS_OF_OTHERS.contains(&reason)) {
            desk.drop_idle_links(upstream, reasons::STALE);
        }
        drop(desk);
        if let Some(errand) = errand {
            self.dispatch_over(errand.ticket, errand.number, ending, errand.sent);
        }
    }

    /// Tells the module how a dispatch ended, unless its ticket has its final answer.
    pub fn dispatch_over(&mut self, ticket: TicketSlot, number: usize, ending: Ending, sent: Micros) {
        let mut desk = self.desk.borrow_mut();
        let now = desk.now();
        desk.count_ending(ending);
        let Some(open) = desk.tickets.get_mut(ticket) else { return };
        if let Some(link) = open.dispatches.get_mut(number) {
            *link = None;
        }
        let (id, waits) = (Rc::clone(&open.id), open.client.is_some());
        desk.tidy(ticket);
        drop(desk);
        if waits {
            self.balancer.dispatch_ended(now, &id, number, false, ending, now.saturating_sub(sent));
        }
    }

    fn take_answer(
        &mut self,
        slot: LinkSlot,
        head: usize,
        body: &[std::ops::Range<usize>],
        end: usize,
        whole: bool,
    ) {
        let mut borrowed = self.desk.borrow_mut();
        let desk = &mut *borrowed;
        let now = desk.now();
        let Some(link) = desk.links.get_mut(slot) else { return };
        let Some(errand) = link.errand.take() else { return };
        let Some(upstream) = desk.upstreams.get(link.upstream).map(|upstream| Rc::clone(&upstream.id)) else {
            return;
        };
        let message = link.inbox.take(end);
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut response = Response::new(&mut fields);
        // It was parsed a moment ago; if that failed now, it would be taken for a failure.
        let parsed = response.parse(&message[..head]);
        let status = response.code.filter(|_| parsed.is_ok()).unwrap_or(0);
        let turned_away = heads::field(response.headers, "x-turned-away") == Some("1");
        let ending = match status {
            200 => Ending::Succeeded,
            503 | 504 if turned_away => Ending::TurnedAway,
            _ => Ending::Failed,
        };
        let load = match desk.place.loads_told {
            true => heads::field(response.headers, "x-pressure").map(load),
            false => None,
        };
        link.carried += 1;
        desk.counters.loads_told += u64::from(load.is_some());
        match whole && link.outbox.is_empty() && link.inbox.kept().is_empty() {
            true => desk.shelve(slot),
            false => desk.end_link(slot, reasons::LINK_LAST),
        }
        let mut told = None;
        if let Some(ticket) = desk.tickets.get_mut(errand.ticket) {
            if let Some(link) = ticket.dispatches.get_mut(errand.number) {
                *link = None;
            }
            told = ticket.client.is_some().then(|| Rc::clone(&ticket.id));
            desk.tidy(errand.ticket);
        }
        desk.count_ending(ending);
        let last = ending == Ending::Succeeded;
        if told.is_some() && last {
            let own = |name: &str| heads::goes_on(name) && !name.eq_ignore_ascii_case("x-pressure");
            let lines = heads::lines(&message, response.headers, own);
            let body = body.iter().map(|range| message.slice(range.clone())).collect();
            desk.counters.tickets_succeeded += 1;
            desk.answer(errand.ticket, 200, lines, body);
        }
        drop(borrowed);
        if let Some((busy, queue)) = load {
            self.balancer.load_reported(now, &upstream, busy, queue);
        }
        if let Some(id) = told {
            let took = now.saturating_sub(errand.sent);
            self.balancer.dispatch_ended(now, &id, errand.number, last, ending, took);
        }
    }
}

impl Desk {
    fn dispatch(&mut self, id: &str, upstream: &str, expire_at: Micros) {
        let now = self.now();
        let Some(ticket) = self.by_id.get(id).copied() else { return };
        self.counters.dispatches += 1;
        let linked = match self.by_name.get(upstream) {
            _ if expire_at <= now => Err(Ending::NeverSent),
            Some(&upstream) => self.link_to(upstream),
            None => Err(Ending::Unreachable),
        };
        let Some(open) = self.tickets.get_mut(ticket) else { return };
        let number = open.dispatches.len();
        open.dispatches.push(linked.ok());
        let slot = match linked {
            Ok(slot) => slot,
            Err(ending) => {
                self.deadlines.hang(now, Due::Unsent(ticket, number, ending));
                return;
            }
        };
        let Some(link) = self.links.get_mut(slot) else { return };
        let address = self.upstreams.get(link.upstream).and_then(|upstream| upstream.address);
        open.head.iter().for_each(|slice| link.outbox.push(slice.clone()));
        let length: usize = open.body.iter().map(Bytes::len).sum();
        let mut added = format!("X-Remaining-Ms: {}\r\n", (expire_at - now).div_ceil(1000));
        if let Some(address) = address.filter(|_| !open.has_host) {
            added += &format!("Host: {address}\r\n");
        }
        if length > 0 || open.has_body {
            added += &format!("Content-Length: {length}\r\n");
        }
        link.outbox.push(Bytes::from(added + "\r\n"));
        open.body.iter().for_each(|slice| link.outbox.push(slice.clone()));
        let connect_by = now + self.place.connect_timeout;
        link.errand = Some(Errand { ticket, number, sent: now, expire_at });
        if !link.connected {
            self.link_waits(slot, connect_by.min(expire_at));
            return;
        }
        self.counters.links_reused += 1;
        // What fails here is looked at on a later turn: we are inside a call of the module.
        if link.outbox.drain(&link.wired.stream).is_err() {
            self.deadlines.hang(now, Due::LinkTurn(slot));
        }
        self.link_waits(slot, expire_at);
    }

    /// The connection to an upstream that was used last, or a new one.
    fn link_to(&mut self, upstream: UpstreamSlot) -> Result<LinkSlot, Ending> {
        while let Some(slot) = self.upstreams.get_mut(upstream).and_then(|upstream| upstream.idle.pop()) {
            let Some(link) = self.links.get(slot) else { continue };
            match link.wired.stream.peek(&mut [0]) {
                Err(problem) if problem.kind() == ErrorKind::WouldBlock => return Ok(slot),
                // It closed, or says something unasked: a ticket written to it would be lost with it.
                _ => self.end_link(slot, reasons::LINK_CLOSED),
            }
        }
        if self.links.len() >= self.place.links_most && !self.drop_idle_link() {
            warn!(self.log, "no descriptor left for an upstream"; "links" => self.links.len());
            return Err(Ending::NeverSent);
        }
        let address = self.upstreams.get(upstream).and_then(|upstream| upstream.address);
        let connected = address.ok_or(ErrorKind::NotFound.into()).and_then(|address| {
            let stream = Rc::new(connect(address)?);
            let handle = self.handle.clone();
            self.links.try_insert_with_key(|slot| {
                let source = Generic::new(Rc::clone(&stream), Interest::BOTH, Mode::Edge);
                let token = handle.insert_source(source, move |_, _, node: &mut Node| {
                    node.link_ready(slot);
                    Ok(PostAction::Continue)
                });
                let wired =
                    Wired { stream, token: token.map_err(|problem| io::Error::other(problem.error))? };
                let (inbox, outbox) = (Inbox::default(), Outbox::default());
                Ok(Link {
                    wired,
                    upstream,
                    connected: false,
                    inbox,
                    outbox,
                    errand: None,
                    carried: 0,
                    due: None,
                })
            })
        });
        connected.inspect(|_| self.counters.links_opened += 1).map_err(|problem: io::Error| {
            warn!(self.log, "cannot connect"; "reason" => reasons::NOT_WIRED, "problem" => %problem);
            match theirs(&problem) {
                true => Ending::Unreachable,
                // Want of our own must not be held against the upstream.
                false => Ending::NeverSent,
            }
        })
    }

    fn look_at_link(&mut self, slot: LinkSlot) -> Look {
        let now = self.now();
        let Some(link) = self.links.get_mut(slot) else { return Look::Nothing };
        if !link.connected {
            if !matches!(link.wired.stream.take_error(), Ok(None)) {
                return Look::Over(Ending::Unreachable, reasons::CONNECT_FAILED);
            }
            if link.wired.stream.peer_addr().is_err() {
                return Look::Nothing;
            }
            // Told of its drain while the connection came about: nothing new after the grace.
            let told = self.upstreams.get(link.upstream).and_then(|upstream| upstream.drains);
            if told.is_some_and(|told| told + self.place.drain_grace <= now) {
                return Look::Over(Ending::Unreachable, reasons::DRAINED);
            }
            link.connected = true;
            if let Some(errand) = &link.errand {
                self.deadlines.move_to(&mut link.due, errand.expire_at, Due::Link(slot));
            }
        }
        let written = link.outbox.drain(&link.wired.stream);
        let inflow = link.inbox.fill(&link.wired.stream, KEPT_MOST);
        if link.errand.is_none() {
            return match inflow {
                Inflow::Dry if link.inbox.kept().is_empty() => Look::Nothing,
                _ => Look::Over(Ending::NeverSent, reasons::LINK_CLOSED),
            };
        }
        let broken = written.is_err() || matches!(inflow, Inflow::Ended | Inflow::Broken);
        match whole_answer(&mut link.inbox, inflow == Inflow::Ended) {
            Some(Look::Nothing) | None if broken && link.outbox.is_empty() => {
                Look::Over(Ending::Broken, reasons::LINK_BROKEN)
            }
            // Its last byte never left: proven not run.
            Some(Look::Nothing) | None if broken => Look::Over(Ending::Unreachable, reasons::NOT_WRITTEN),
            Some(Look::Answer(head, body, end, whole)) => Look::Answer(head, body, end, whole && !broken),
            Some(look) => look,
            None => Look::Over(Ending::Failed, reasons::NONSENSE),
        }
    }

    fn link_waits(&mut self, slot: LinkSlot, until: Micros) {
        if let Some(link) = self.links.get_mut(slot) {
            self.deadlines.move_to(&mut link.due, until, Due::Link(slot));
        }
    }

    /// Keeps a connection for the next ticket.
    fn shelve(&mut self, slot: LinkSlot) {
        let until = self.now() + (self.place.idle as f64 * IDLE_PART) as Micros;
        let Some(link) = self.links.get(slot) else { return };
        match self.upstreams.get_mut(link.upstream) {
            Some(upstream) if upstream.drains.is_none() => {
                upstream.idle.push(slot);
                self.link_waits(slot, until);
            }
            _ => self.end_link(slot, reasons::DRAINED),
        }
    }

    /// The upstream of a connection on which nothing came for as long as a new one may take to come about.
    fn long_silent(&self, slot: LinkSlot) -> Option<UpstreamSlot> {
        let link = self.links.get(slot)?;
        let waited = self.now().saturating_sub(link.errand.as_ref()?.sent);
        (waited > self.place.connect_timeout && link.inbox.kept().is_empty()).then_some(link.upstream)
    }

    /// Closes the idle connection whose time runs out first, to make room.
    pub fn drop_idle_link(&mut self) -> bool {
        let idle = self.links.iter().filter(|(_, link)| link.errand.is_none() && link.connected);
        let first = idle.min_by_key(|(_, link)| link.due).map(|(slot, _)| slot);
        first.inspect(|slot| self.end_link(*slot, reasons::MADE_ROOM)).is_some()
    }

    /// Closes all idle connections to an upstream.
    pub fn drop_idle_links(&mut self, upstream: UpstreamSlot, reason: &'static str) {
        let idle = self.upstreams.get_mut(upstream).map(|upstream| std::mem::take(&mut upstream.idle));
        idle.into_iter().flatten().for_each(|slot| self.end_link(slot, reason));
    }

    pub fn end_link(&mut self, slot: LinkSlot, reason: &'static str) {
        let Some(mut link) = self.links.remove(slot) else { return };
        self.deadlines.clear(&mut link.due);
        self.handle.remove(link.wired.token);
        if let Some(errand) = link.errand
            && let Some(ticket) = self.tickets.get_mut(errand.ticket)
        {
            if let Some(link) = ticket.dispatches.get_mut(errand.number) {
                *link = None;
            }
            self.tidy(errand.ticket);
        }
        self.counters.links_ended += 1;
        if let Some(upstream) = self.upstreams.get_mut(link.upstream) {
            upstream.idle.retain(|idle| *idle != slot);
            info!(self.log, "link ended"; "reason" => reason, "upstream" => &*upstream.id, "carried" => link.carried);
        }
    }

    fn count_ending(&mut self, ending: Ending) {
        let counters = &mut self.counters;
        *match ending {
            Ending::Succeeded => &mut counters.dispatches_succeeded,
            Ending::Failed => &mut counters.dispatches_failed,
            Ending::Silent => &mut counters.dispatches_silent,
            Ending::Broken => &mut counters.dispatches_broken,
            Ending::CalledOff => &mut counters.dispatches_called_off,
            Ending::TurnedAway => &mut counters.dispatches_turned_away,
            Ending::Unreachable => &mut counters.dispatches_unreachable,
            Ending::NeverSent => &mut counters.dispatches_never_sent,
        } += 1;
    }
}

/// Whether a connection failed at the other end or on the way, not for want of our own.
fn theirs(problem: &io::Error) -> bool {
    use ErrorKind::{ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut};
    [ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut]
        .contains(&problem.kind())
}

/// Begins to connect, without waiting.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        // EINPROGRESS is no kind of its own; what went wrong otherwise shows itself on the socket.
        Ok(()) => {}
        Err(problem) if problem.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
        Err(problem) if problem.kind() == ErrorKind::WouldBlock => {}
        Err(problem) => return Err(problem),
    }
    Ok(socket.into())
}

/// The whole answer at the front of an inbox; `Nothing` while part is missing, none for nonsense.
fn whole_answer(inbox: &mut Inbox, ended: bool) -> Option<Look> {
    loop {
        let kept = inbox.kept();
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut response = Response::new(&mut fields);
        let head = match response.parse(kept).ok()? {
            Status::Complete(head) if head <= HEAD_MOST => head,
            Status::Partial if kept.len() < HEAD_MOST => return Some(Look::Nothing),
            Status::Complete(_) | Status::Partial => return None,
        };
        match response.code? {
            101 => return None,
            // Word of an answer to come.
            100..=199 => {
                inbox.take(head);
                continue;
            }
            _ => {}
        }
        let framing = match response.code? {
            204 | 304 => Framing::Length(0),
            _ => heads::framing(response.headers).ok()?,
        };
        let lasts = response.version == Some(1)
            && framing != Framing::Unsaid
            && !heads::lists(response.headers, "connection", "close");
        return match heads::body(kept, head, framing, ended, BODY_MOST) {
            // Nothing tells a body that ended from one that was cut short.
            Body::Whole(..) if framing == Framing::Unsaid && response.code == Some(200) => {
                Some(Look::Nothing)
            }
            Body::Whole(ranges, end) => Some(Look::Answer(head, ranges, end, lasts)),
            Body::Partial if kept.len() < KEPT_MOST => Some(Look::Nothing),
            Body::Partial | Body::TooLong | Body::Nonsense => None,
        };
    }
}

/// What an upstream tells of its load: how busy it is, and its queue or else what it holds.
fn load(text: &str) -> (Option<f64>, Option<f64>) {
    let (mut busy, mut queue, mut held) = (None, None, None);
    for part in text.strip_prefix("TEXT").unwrap_or(text).split(',') {
        let Some((name, value)) = part.split_once('=') else { continue };
        let value = value.trim().parse().ok().filter(|value: &f64| value.is_finite());
        match name.trim() {
            "util" | "busy" => busy = value,
            "queue" | "q" => queue = value,
            "inflight" | "rif" => held = value,
            _ => {}
        }
    }
    (busy, queue.or(held))
}
