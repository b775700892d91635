//! Connections to upstreams: opened, kept for the next dispatch, ended.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::rc::Rc;

use pinefront_policy::{AttemptOutcome, Micros};
use rustix::io::Errno;
use slog::{info, warn};
use socket2::{Domain, Protocol, Socket, Type};

use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::buffers::{Inbox, Inflow, Outbox};
use crate::memory::deadlines::Due;
use crate::memory::desk::{Desk, Link, Wired};
use crate::memory::slots::{LinkSlot, TicketSlot, UpstreamSlot};
use crate::wire::answers::whole_answer;
use crate::wire::heads::MESSAGE_MOST;
use crate::wire::sending::Refusal;

#[cfg(test)]
mod tests;

/// Part of the idle time that the settings give after which we close first: a ticket written to a connection
/// that the upstream is closing would end broken.
const IDLE_PART: f64 = 0.8;

/// How long a connection rests after an answer: what else its upstream sends behind it, or its close, is seen
/// before another ticket is written to it and takes that for its answer.
const REST: Micros = 8_000;

/// How long the connections of an upstream that said something unasked carry one request each.
const UNASKED_FOR: Micros = 10_000_000;

/// How often the log tells of a want of descriptors.
const SHORTAGE_TOLD_APART: Micros = 1_000_000;

/// Ends that cast doubt on an upstream's other connections: a machine that vanished leaves them all silent,
/// and back again it resets each under a ticket. A new one tells at once whether it is there.
const TELLS_OF_OTHERS: [&str; 3] = [
    reasons::SILENT,
    reasons::CONNECT_TIMEOUT,
    reasons::LINK_BROKEN,
];

/// What a look at a connection to an upstream found.
pub enum Look {
    Nothing,
    /// Its end, as the ticket that it carries sees it.
    Over(AttemptOutcome, &'static str),
    /// A whole answer: the length of its head, where its body lies and where it ends, and whether the
    /// connection can carry another ticket.
    Answer(usize, Vec<Range<usize>>, usize, bool),
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
        let Some(link) = desk.links.get_mut(slot) else {
            return;
        };
        link.due = None;
        let over = match &link.errand {
            None => (AttemptOutcome::NotSent, reasons::LINK_IDLE),
            Some(_) if !link.connected => (AttemptOutcome::Unreachable, reasons::CONNECT_TIMEOUT),
            // Proven not run only while its last byte has not left.
            Some(_) if !link.outbox.is_empty() => {
                (AttemptOutcome::Unreachable, reasons::NOT_WRITTEN)
            }
            Some(errand) if errand.expire_at <= now => (AttemptOutcome::TimedOut, reasons::SILENT),
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
    fn link_over(&mut self, slot: LinkSlot, ending: AttemptOutcome, reason: &'static str) {
        let mut desk = self.desk.borrow_mut();
        let upstream = desk.links.get(slot).map(|link| link.upstream);
        let errand = desk.links.get_mut(slot).and_then(|link| link.errand.take());
        desk.end_link(slot, reason);
        drop(desk);
        if let Some(upstream) = errand
            .as_ref()
            .filter(|errand| errand.is_probe())
            .and(upstream)
        {
            self.probe_over(upstream, false);
        } else if let Some(errand) = errand {
            self.dispatch_over(errand.ticket, errand.number, ending, errand.sent);
        }
    }

    /// Tells the module whether an upstream answered a probe.
    pub fn probe_over(&mut self, upstream: UpstreamSlot, answered: bool) {
        let mut desk = self.desk.borrow_mut();
        let now = desk.now();
        let Some(id) = desk
            .upstreams
            .get(upstream)
            .map(|upstream| Rc::clone(&upstream.id))
        else {
            return;
        };
        desk.counters.probes_answered += u64::from(answered);
        drop(desk);
        self.balancer.probe_completed(now, &id, answered);
    }

    /// Tells the module how a dispatch ended, unless its ticket has its final answer.
    pub fn dispatch_over(
        &mut self,
        ticket: TicketSlot,
        number: usize,
        ending: AttemptOutcome,
        sent: Micros,
    ) {
        let mut desk = self.desk.borrow_mut();
        let now = desk.now();
        desk.count_ending(ending);
        let told = desk.over(ticket, number, ending, sent);
        drop(desk);
        // Also where nobody waits: the key of a request in order is free only when its attempt has ended.
        if let Some((id, _)) = told {
            self.desk.borrow().tell_attempt(&id, number, ending);
            self.balancer
                .attempt_ended(now, &id, number, false, ending, now.saturating_sub(sent));
        }
    }
}

impl Desk {
    /// The connection to an upstream that was used last, of those that have rested, or a new one.
    pub fn link_to(&mut self, upstream: UpstreamSlot) -> Result<LinkSlot, AttemptOutcome> {
        while let Some(slot) = self.take_rested(upstream) {
            let Some(link) = self.links.get(slot) else {
                continue;
            };
            match link.wired.stream.peek(&mut [0]) {
                Err(problem) if problem.kind() == ErrorKind::WouldBlock => return Ok(slot),
                // It closed, or says something unasked: a request written to it would be lost, or have that for its
                // answer.
                said => {
                    if said.is_ok_and(|count| count > 0) {
                        self.said_unasked(upstream);
                    }
                    self.end_link(slot, reasons::LINK_CLOSED);
                }
            }
        }
        if self.links.len() >= self.place.links_most && !self.drop_idle_link() {
            self.tell_shortage();
            return Err(AttemptOutcome::NotSent);
        }
        let address = self
            .upstreams
            .get(upstream)
            .and_then(|upstream| upstream.address);
        let connected = address
            .ok_or(ErrorKind::NotFound.into())
            .and_then(|address| {
                let stream = connect(address)?;
                self.links.try_insert_with_key(|slot| {
                    let wired =
                        Wired::new(&self.handle, stream, move |node| node.link_ready(slot))?;
                    let (inbox, outbox) = (Inbox::default(), Outbox::default());
                    Ok(Link {
                        wired,
                        upstream,
                        address,
                        connected: false,
                        inbox,
                        outbox,
                        errand: None,
                        carried: 0,
                        answered: 0,
                        due: None,
                    })
                })
            });
        connected.inspect(|_| self.counters.links_opened += 1).map_err(|problem: io::Error| {
            warn!(self.log, "cannot connect"; "reason" => reasons::NOT_WIRED, "problem" => %problem);
            match theirs(&problem) {
                true => AttemptOutcome::Unreachable,
                // Want of our own must not be held against the upstream.
                false => AttemptOutcome::NotSent,
            }
        })
    }

    /// Takes the idle connection used last, of those that have rested, from its upstream.
    fn take_rested(&mut self, upstream: UpstreamSlot) -> Option<LinkSlot> {
        let now = self.now();
        let idle = &mut self.upstreams.get_mut(upstream)?.idle;
        let rested = |slot: &LinkSlot| {
            self.links
                .get(*slot)
                .is_none_or(|link| link.answered + REST <= now)
        };
        let place = idle.iter().rposition(rested)?;
        Some(idle.remove(place))
    }

    fn look_at_link(&mut self, slot: LinkSlot) -> Look {
        let now = self.now();
        let Some(link) = self.links.get_mut(slot) else {
            return Look::Nothing;
        };
        if !link.connected {
            if !matches!(link.wired.stream.take_error(), Ok(None)) {
                return Look::Over(AttemptOutcome::Unreachable, reasons::CONNECT_FAILED);
            }
            if link.wired.stream.peer_addr().is_err() {
                return Look::Nothing;
            }
            link.connected = true;
            if let Some(errand) = &link.errand {
                self.deadlines
                    .move_to(&mut link.due, errand.expire_at, Due::Link(slot));
                if !errand.is_probe()
                    && let Err(refusal) = self.word_attempt(slot, now)
                {
                    let ending = if refusal == Refusal::Drained {
                        AttemptOutcome::Unreachable
                    } else {
                        AttemptOutcome::NotSent
                    };
                    return Look::Over(ending, refusal.code());
                }
            }
        }
        let Some(link) = self.links.get_mut(slot) else {
            return Look::Nothing;
        };
        let written = link.outbox.drain(&link.wired.stream);
        let inflow = link.inbox.fill(&link.wired.stream, MESSAGE_MOST);
        if link.errand.is_none() {
            let (said, upstream) = (!link.inbox.kept().is_empty(), link.upstream);
            if said {
                self.said_unasked(upstream);
            }
            return match inflow {
                Inflow::Dry if !said => Look::Nothing,
                _ => Look::Over(AttemptOutcome::NotSent, reasons::LINK_CLOSED),
            };
        }
        let broken = written.is_err() || matches!(inflow, Inflow::Ended | Inflow::Broken);
        // A write that fails takes the report of a reset with it: what is read then looks like an orderly end.
        let ended = inflow == Inflow::Ended && written.is_ok();
        match whole_answer(&mut link.inbox, ended) {
            Some(Look::Nothing) | None if broken && link.outbox.is_empty() => {
                Look::Over(AttemptOutcome::ConnectionLost, reasons::LINK_BROKEN)
            }
            // Its last byte never left: proven not run.
            Some(Look::Nothing) | None if broken => {
                Look::Over(AttemptOutcome::Unreachable, reasons::NOT_WRITTEN)
            }
            Some(Look::Answer(head, body, end, whole)) => {
                Look::Answer(head, body, end, whole && !broken)
            }
            Some(look) => look,
            None => Look::Over(AttemptOutcome::Failed, reasons::NONSENSE),
        }
    }

    pub fn link_waits(&mut self, slot: LinkSlot, until: Micros) {
        if let Some(link) = self.links.get_mut(slot) {
            self.deadlines
                .move_to(&mut link.due, until, Due::Link(slot));
        }
    }

    /// An upstream said something that was no answer to what it carries. Who does so may do it later than a connection
    /// rests, and then the next request would have it for its answer.
    pub fn said_unasked(&mut self, upstream: UpstreamSlot) {
        let until = self.now() + UNASKED_FOR;
        let Some(upstream) = self.upstreams.get_mut(upstream) else {
            return;
        };
        upstream.unasked_until = until;
        warn!(self.log, "upstream said something unasked"; "upstream" => &*upstream.id);
    }

    /// Keeps a connection for the next ticket.
    pub fn shelve(&mut self, slot: LinkSlot) {
        let now = self.now();
        let until = now + (self.place.idle as f64 * IDLE_PART) as Micros;
        let Some(link) = self.links.get_mut(slot) else {
            return;
        };
        link.answered = now;
        match self.upstreams.get_mut(link.upstream) {
            Some(upstream)
                if upstream.drains.is_none()
                    && upstream.address == Some(link.address)
                    && now >= upstream.unasked_until =>
            {
                upstream.idle.push(slot);
                self.link_waits(slot, until);
            }
            Some(upstream) if now < upstream.unasked_until => self.end_link(slot, reasons::UNASKED),
            Some(upstream) if upstream.drains.is_none() => self.end_link(slot, reasons::MOVED),
            _ => self.end_link(slot, reasons::DRAINED),
        }
    }

    /// Says that no descriptor is left, but not for every ticket: the log would hold nothing else.
    fn tell_shortage(&mut self) {
        let now = self.now();
        self.counters.links_short += 1;
        if now >= self.shortage_told + SHORTAGE_TOLD_APART {
            self.shortage_told = now;
            warn!(self.log, "no descriptor left for an upstream"; "links" => self.links.len());
        }
    }

    /// Whether nothing came on a connection for as long as a new one may take to come about.
    fn long_silent(&self, link: &Link) -> bool {
        let waited = link
            .errand
            .as_ref()
            .map_or(0, |errand| self.now().saturating_sub(errand.sent));
        waited > self.place.connect_timeout && link.inbox.kept().is_empty()
    }

    /// Closes the idle connection whose time runs out first, to make room.
    pub fn drop_idle_link(&mut self) -> bool {
        let idle = self
            .links
            .iter()
            .filter(|(_, link)| link.errand.is_none() && link.connected);
        let first = idle.min_by_key(|(_, link)| link.due).map(|(slot, _)| slot);
        first
            .inspect(|slot| self.end_link(*slot, reasons::MADE_ROOM))
            .is_some()
    }

    /// Closes all idle connections to an upstream.
    pub fn drop_idle_links(&mut self, upstream: UpstreamSlot, reason: &'static str) {
        let idle = self
            .upstreams
            .get_mut(upstream)
            .map(|upstream| std::mem::take(&mut upstream.idle));
        idle.into_iter()
            .flatten()
            .for_each(|slot| self.end_link(slot, reason));
    }

    pub fn end_link(&mut self, slot: LinkSlot, reason: &'static str) {
        let Some(mut link) = self.links.remove(slot) else {
            return;
        };
        self.deadlines.clear(&mut link.due);
        self.handle.remove(link.wired.token);
        let doubtful = TELLS_OF_OTHERS.contains(&reason)
            || (reason == reasons::CALLED_OFF && self.long_silent(&link));
        self.counters.links_ended += 1;
        if let Some(upstream) = self.upstreams.get_mut(link.upstream) {
            upstream.idle.retain(|idle| *idle != slot);
            info!(self.log, "link ended"; "reason" => reason, "upstream" => &*upstream.id,
                "carried" => link.carried);
        }
        if doubtful {
            self.drop_idle_links(link.upstream, reasons::STALE);
        }
    }

    /// Why a request goes on to another attempt, or gets no answer of an upstream's.
    pub fn tell_attempt(&self, request: &str, number: usize, ending: AttemptOutcome) {
        if ending != AttemptOutcome::Succeeded {
            info!(self.log, "attempt ended"; "request" => request, "attempt" => number, "ending" => ?ending);
        }
    }

    pub fn count_ending(&mut self, ending: AttemptOutcome) {
        let counters = &mut self.counters;
        *match ending {
            AttemptOutcome::Succeeded => &mut counters.dispatches_succeeded,
            AttemptOutcome::Failed => &mut counters.dispatches_failed,
            AttemptOutcome::TimedOut => &mut counters.dispatches_silent,
            AttemptOutcome::ConnectionLost => &mut counters.dispatches_broken,
            AttemptOutcome::Cancelled => &mut counters.dispatches_called_off,
            AttemptOutcome::Rejected => &mut counters.dispatches_turned_away,
            AttemptOutcome::Unreachable => &mut counters.dispatches_unreachable,
            AttemptOutcome::NotSent => &mut counters.dispatches_never_sent,
        } += 1;
    }
}

/// Whether a connection failed at the other end or on the way, not for want of our own.
fn theirs(problem: &io::Error) -> bool {
    use ErrorKind::{
        ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut,
    };
    [
        ConnectionRefused,
        ConnectionReset,
        HostUnreachable,
        NetworkUnreachable,
        TimedOut,
    ]
    .contains(&problem.kind())
}

/// Begins to connect, without waiting.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM.nonblocking(),
        Some(Protocol::TCP),
    )?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        // What goes wrong from here on shows itself on the socket. Anything else, EAGAIN too, has begun nothing.
        Ok(()) => {}
        Err(problem) if Errno::from_io_error(&problem) == Some(Errno::INPROGRESS) => {}
        Err(problem) => return Err(problem),
    }
    Ok(socket.into())
}
