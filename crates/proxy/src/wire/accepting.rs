//! The listener: taking clients in, and making room for them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use pinefront_policy::Micros;
use rustix::event::PollFlags;
use rustix::io::Errno;
use slog::warn;

use crate::life::reasons;
use crate::life::serve::Node;
use crate::memory::buffers::{Inbox, Outbox, ready};
use crate::memory::deadlines::Due;
use crate::memory::desk::{Client, Desk, Wired};

#[cfg(test)]
mod tests;

/// How long accepting rests when no descriptor can be had.
const ACCEPT_REST: Micros = 10_000;
/// Connections taken at once: those already served must not wait for a storm of new ones.
const ACCEPT_AT_ONCE: usize = 64;
/// How long a client may take to go on with what it began before it is taken for one that keeps us waiting.
const ABOUT_TO_SEND: Micros = 1_000_000;

/// What a failed accept says.
#[derive(Debug, PartialEq, Eq)]
enum AcceptFailure {
    /// Nobody waits.
    Nobody,
    /// Of the one connection that was to be accepted, or of nothing: the next may do.
    Passing,
    /// This process may hold no further descriptor.
    OwnLimit,
    /// The system is short of something for the moment: ending connections of ours would not help.
    System,
}

/// As accept(2) lists them: what is wrong on the network is told of the connection that was to be accepted.
fn accept_failure(problem: &std::io::Error) -> AcceptFailure {
    let Some(code) = Errno::from_io_error(problem) else {
        return AcceptFailure::System;
    };
    match code {
        Errno::AGAIN => AcceptFailure::Nobody,
        Errno::INTR
        | Errno::CONNABORTED
        | Errno::PROTO
        | Errno::NOPROTOOPT
        | Errno::NETDOWN
        | Errno::NETUNREACH
        | Errno::HOSTDOWN
        | Errno::HOSTUNREACH
        | Errno::NONET
        | Errno::OPNOTSUPP
        | Errno::TIMEDOUT
        | Errno::PERM => AcceptFailure::Passing,
        Errno::MFILE => AcceptFailure::OwnLimit,
        _ => AcceptFailure::System,
    }
}

impl Node {
    /// Takes in what the listener has; true where more may be waiting and can be had.
    pub fn accept(&mut self) -> bool {
        let (mut made_room, mut accepted) = (false, false);
        for _ in 0..ACCEPT_AT_ONCE {
            let mut desk = self.desk.borrow_mut();
            let Some(listener) = desk
                .listener
                .as_ref()
                .map(|(listener, _)| Rc::clone(listener))
            else {
                return false;
            };
            if desk.clients.len() >= desk.place.clients_most {
                // Nobody has to go for one that is not there.
                if !one_waits(&listener) {
                    return false;
                }
                if !desk.end_resting_client() {
                    desk.rest_accepting();
                    return false;
                }
            }
            let problem = match listener.accept() {
                Ok((stream, peer)) => {
                    desk.welcome(stream, peer);
                    accepted = true;
                    continue;
                }
                Err(problem) => problem,
            };
            match accept_failure(&problem) {
                AcceptFailure::Nobody => return false,
                AcceptFailure::Passing => desk.counters.accepts_failed += 1,
                failure => {
                    desk.counters.accepts_failed += 1;
                    warn!(desk.log, "accept failed"; "problem" => %problem);
                    // What lies in the backlog counts as taken, so an idle connection gives way for it. If that did
                    // not help, ending more of them would not either.
                    if made_room || failure == AcceptFailure::System || !desk.make_room() {
                        desk.rest_accepting();
                        return false;
                    }
                    made_room = true;
                }
            }
        }
        accepted
    }
}

impl Desk {
    fn welcome(&mut self, stream: TcpStream, peer: SocketAddr) {
        let now = self.clock.now();
        let ready = stream.set_nonblocking(true);
        // Answers go out in one write mostly; without it a further one may only be later.
        let _ = stream.set_nodelay(true);
        let made = ready.and_then(|()| {
            self.clients.try_insert_with_key(|slot| {
                Ok(Client {
                    wired: Wired::new(&self.handle, stream, move |node| node.client_ready(slot))?,
                    peer,
                    inbox: Inbox::default(),
                    outbox: Outbox::default(),
                    ticket: None,
                    last: false,
                    answered: 0,
                    opened: now,
                    waited: self.turn.late(now),
                    tickets: 0,
                    partial: None,
                    read_away: 0,
                    ending: None,
                    lingers: false,
                    continued: false,
                    due: None,
                    since: 0,
                })
            })
        });
        match made {
            Ok(slot) => {
                self.counters.clients_accepted += 1;
                self.client_stands(slot);
            }
            Err(problem) => {
                self.counters.accepts_failed += 1;
                warn!(self.log, "connection lost at once"; "reason" => reasons::NOT_WIRED, "peer" => %peer,
                    "problem" => %problem);
            }
        }
    }

    /// Frees a descriptor: a client's connection that keeps us waiting, or else an idle one to an upstream.
    fn make_room(&mut self) -> bool {
        self.end_resting_client() || self.drop_idle_link()
    }

    /// Closes the client's connection that has kept us waiting for longest, between tickets or with part of a request.
    fn end_resting_client(&mut self) -> bool {
        // What lies unread in the socket may be a whole request, and then it is taken.
        let unread = |client: &Client| {
            client
                .wired
                .stream
                .peek(&mut [0])
                .is_ok_and(|count| count > 0)
        };
        let now = self.clock.now();
        // Whoever opened a connection or began a request just now is about to go on with it.
        let begun = |client: &Client| client.answered == 0 || !client.inbox.kept().is_empty();
        let last = |client: &Client| {
            (
                begun(client) && now < client.since + ABOUT_TO_SEND,
                client.since,
            )
        };
        let rests = |client: &Client| !client.is_owed() && !client.holds_unseen();
        let mut waiting: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| rests(client))
            .collect();
        waiting.sort_by_key(|(_, client)| last(client));
        let first = waiting
            .into_iter()
            .find(|(_, client)| !unread(client))
            .map(|(slot, _)| slot);
        first
            .inspect(|slot| self.end_client(*slot, reasons::MADE_ROOM))
            .is_some()
    }

    fn rest_accepting(&mut self) {
        let Some((_, token)) = self.listener.as_ref().filter(|_| !self.accept_rests) else {
            return;
        };
        if let Err(problem) = self.handle.disable(token) {
            warn!(self.log, "cannot rest accepting"; "problem" => %problem);
        }
        self.accept_rests = true;
        self.deadlines
            .hang(self.clock.now() + ACCEPT_REST, Due::Accept);
    }

    pub fn accept_again(&mut self) {
        let rested = std::mem::take(&mut self.accept_rests);
        if let Some((_, token)) = self.listener.as_ref().filter(|_| rested)
            && let Err(problem) = self.handle.enable(token)
        {
            warn!(self.log, "cannot accept again"; "problem" => %problem);
        }
    }

    /// Whether somebody waits to be accepted.
    pub fn backlog_waits(&self) -> bool {
        self.listener
            .as_ref()
            .is_some_and(|(listener, _)| one_waits(listener))
    }

    pub fn close_listener(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
    }
}

/// Whether a connection waits to be accepted.
fn one_waits(listener: &TcpListener) -> bool {
    !ready(listener, PollFlags::IN).is_empty()
}
