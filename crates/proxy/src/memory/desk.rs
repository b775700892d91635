//! All that the program keeps while it serves: the tables, and what every part of it reaches for.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use bytes::Bytes;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use pinefront_policy::{AttemptOutcome, Idempotency, Micros};
use slog::Logger;
use slotmap::{Key, SlotMap};

use crate::fleet::carrier::Fleet;
use crate::life::place::Place;
use crate::life::reread::Again;
use crate::life::serve::Node;
use crate::memory::buffers::{Inbox, Outbox};
use crate::memory::clock::{Clock, Turn};
use crate::memory::counters::Counters;
use crate::memory::deadlines::{self, Deadlines};
use crate::memory::slots::{ClientSlot, LinkSlot, TicketSlot, UpstreamSlot};
use crate::wire::discovery::Discovery;
use crate::wire::peers::Ear;

/// A socket with its place in the event loop.
pub struct Wired {
    pub stream: Rc<TcpStream>,
    pub token: RegistrationToken,
}

impl Wired {
    /// Gives a socket its place in the loop: `ready` is called whenever it may be read from or written to.
    pub fn new(
        handle: &LoopHandle<'static, Node>,
        stream: TcpStream,
        ready: impl Fn(&mut Node) + 'static,
    ) -> io::Result<Self> {
        let stream = Rc::new(stream);
        let source = Generic::new(Rc::clone(&stream), Interest::BOTH, Mode::Edge);
        let token = handle.insert_source(source, move |_, _, node: &mut Node| {
            ready(node);
            Ok(PostAction::Continue)
        });
        Ok(Self {
            stream,
            token: token.map_err(|problem| io::Error::other(problem.error))?,
        })
    }
}

pub struct Client {
    pub wired: Wired,
    pub peer: SocketAddr,
    pub inbox: Inbox,
    pub outbox: Outbox,
    pub ticket: Option<TicketSlot>,
    /// The ticket's sender wants no further one on this connection.
    pub last: bool,
    pub answered: u64,
    /// When it was opened, and how many tickets it has brought.
    pub opened: Micros,
    /// How long it may have waited to be accepted, as we were busy or not let run.
    pub waited: Micros,
    pub tickets: u64,
    /// Bytes that are here of a request of which part is missing, and since when.
    pub partial: Option<Partial>,
    /// Bytes read away since our sending was over.
    pub read_away: usize,
    /// Why it ends once all is written.
    pub ending: Option<&'static str>,
    /// Our sending is over; what still comes is read away, or it would break the answer's last bytes.
    pub lingers: bool,
    /// Since when we wait for what its deadline is about.
    pub since: Micros,
    /// Was told to go on with the body of the request under way.
    pub continued: bool,
    pub due: Option<deadlines::Place>,
}

/// Part of a request, as it was last looked at.
#[derive(Clone, Copy)]
pub struct Partial {
    pub length: usize,
    pub began: Micros,
}

impl Client {
    /// Whether it waits for an answer or for the rest of one.
    pub fn is_owed(&self) -> bool {
        self.ticket.is_some() || !self.outbox.is_empty()
    }

    /// Whether bytes are here that nobody has looked at yet: they may hold a whole request, which is owed an answer.
    pub fn holds_unseen(&self) -> bool {
        !self.inbox.kept().is_empty() && self.partial.is_none()
    }
}

/// What a connection to an upstream carries: a dispatch, or a probe, which is of no ticket.
pub struct Errand {
    pub ticket: TicketSlot,
    pub number: usize,
    pub sent: Micros,
    pub expire_at: Micros,
}

impl Errand {
    pub fn is_probe(&self) -> bool {
        self.ticket.is_null()
    }
}

pub struct Link {
    pub wired: Wired,
    pub upstream: UpstreamSlot,
    /// Where it leads: its upstream may have moved since.
    pub address: SocketAddr,
    pub connected: bool,
    pub inbox: Inbox,
    pub outbox: Outbox,
    pub errand: Option<Errand>,
    pub carried: u64,
    /// When its last answer was whole.
    pub answered: Micros,
    pub due: Option<deadlines::Place>,
}

pub struct Upstream {
    pub id: Rc<str>,
    pub address: Option<SocketAddr>,
    /// Idle connections, the one used last at the end.
    pub idle: Vec<LinkSlot>,
    /// When its process started, as stated and as we take it.
    pub started: Option<(Micros, Micros)>,
    /// Until when its connections carry one request each: it said something unasked behind an answer.
    pub unasked_until: Micros,
    /// When we were told that it drains or is gone.
    pub drains: Option<Micros>,
    /// When it was left out of the list without draining, where only draining binds.
    pub left: Option<Micros>,
}

/// A ticket that has no final answer yet, or still has a dispatch out. Its message is slices of the buffer
/// that the client's connection read it into.
pub struct Ticket {
    pub id: Rc<str>,
    /// Who waits for the final answer; nobody once that is given or the client has left.
    pub client: Option<ClientSlot>,
    pub head: Vec<Bytes>,
    pub body: Vec<Bytes>,
    /// The head names a host; the method is one that has a body, even an empty one.
    pub has_host: bool,
    pub has_body: bool,
    /// Bytes of the message.
    pub length: usize,
    pub dispatches: Vec<Option<LinkSlot>>,
    /// What a second run would do, by the settings that it was taken under.
    pub idempotency: Idempotency,
    /// When the first attempt was sent that may have run.
    pub may_have_run_since: Option<Micros>,
}

pub struct Desk {
    pub clock: Clock,
    pub place: Place,
    pub log: Logger,
    pub handle: LoopHandle<'static, Node>,
    pub listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    pub clients: SlotMap<ClientSlot, Client>,
    pub links: SlotMap<LinkSlot, Link>,
    pub tickets: SlotMap<TicketSlot, Ticket>,
    pub by_id: HashMap<Rc<str>, TicketSlot>,
    pub upstreams: SlotMap<UpstreamSlot, Upstream>,
    pub by_name: HashMap<Rc<str>, UpstreamSlot>,
    pub discovery: Discovery,
    /// Where the other balancers are heard, if the settings let them speak.
    pub ear: Option<Ear>,
    /// This balancer's part in its fleet, where an operator file names one.
    pub fleet: Option<Rc<RefCell<Fleet>>>,
    pub deadlines: Deadlines,
    pub counters: Counters,
    /// When it was told to stop: not ready from then on.
    pub stopping: Option<Micros>,
    /// Connections close between tickets, as the stop has gone so far.
    pub closing: bool,
    /// A new configuration that could not be read a moment ago.
    pub reread_again: Option<Again>,
    /// Accepting is paused for want of descriptors.
    pub accept_rests: bool,
    /// When the log was last told that no descriptor is left for an upstream.
    pub shortage_told: Micros,
    pub turn: Turn,
}

impl Desk {
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Bytes of clients' messages that are kept, in inboxes and in tickets.
    pub fn kept(&self) -> usize {
        let unread: usize = self
            .clients
            .values()
            .map(|client| client.inbox.kept().len())
            .sum();
        unread
            + self
                .tickets
                .values()
                .map(|ticket| ticket.length)
                .sum::<usize>()
    }

    /// Takes the client from a ticket: from here on nobody waits for its answer.
    pub fn release(&mut self, slot: TicketSlot) -> Option<(Rc<str>, ClientSlot)> {
        let ticket = self.tickets.get_mut(slot)?;
        let released = (Rc::clone(&ticket.id), ticket.client.take()?);
        if let Some(client) = self.clients.get_mut(released.1) {
            client.ticket = None;
        }
        self.tidy(slot);
        Some(released)
    }

    /// Takes down that an attempt is over. Its request's id, and whether somebody still waits for the answer.
    pub fn over(
        &mut self,
        slot: TicketSlot,
        number: usize,
        ending: AttemptOutcome,
        sent: Micros,
    ) -> Option<(Rc<str>, bool)> {
        let ticket = self.tickets.get_mut(slot)?;
        if let Some(link) = ticket.dispatches.get_mut(number) {
            *link = None;
        }
        if !ending.proves_not_run() {
            ticket.may_have_run_since.get_or_insert(sent);
        }
        let told = (Rc::clone(&ticket.id), ticket.client.is_some());
        self.tidy(slot);
        Some(told)
    }

    /// Forgets a ticket that nobody waits for and that has nothing out.
    pub fn tidy(&mut self, slot: TicketSlot) {
        let over = |ticket: &Ticket| {
            ticket.client.is_none() && ticket.dispatches.iter().all(Option::is_none)
        };
        if self.tickets.get(slot).is_some_and(over)
            && let Some(ticket) = self.tickets.remove(slot)
        {
            self.by_id.remove(&ticket.id);
        }
    }

    /// The upstream's entry, made when first named.
    pub fn upstream(&mut self, id: &str) -> UpstreamSlot {
        if let Some(&slot) = self.by_name.get(id) {
            return slot;
        }
        let id: Rc<str> = Rc::from(id);
        let blank = Upstream {
            id: Rc::clone(&id),
            address: None,
            idle: Vec::new(),
            started: None,
            unasked_until: 0,
            drains: None,
            left: None,
        };
        let slot = self.upstreams.insert(blank);
        self.by_name.insert(id, slot);
        slot
    }
}
