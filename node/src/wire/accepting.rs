//! The listener: taking clients in, and making room for them.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use pinefront::Micros;
use rustix::event::PollFlags;
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

impl Node {
    /// Takes in what the listener has; true where more may be waiting.
    pub fn accept(&mut self) -> bool {
        let mut failed = false;
        for _ in 0..ACCEPT_AT_ONCE {
            let mut desk = self.desk.borrow_mut();
            let Some(listener) = desk.listener.as_ref().map(|(listener, _)| Rc::clone(listener)) else {
                return false;
            };
            if desk.clients.len() >= desk.place.clients_most {
                // Nobody has to go for one that is not there.
                if !one_waits(&listener) {
                    return false;
                }
                if !desk.make_room() {
                    desk.rest_accepting();
                    return false;
                }
            }
            match listener.accept() {
                Ok((stream, peer)) => desk.welcome(stream, peer),
                Err(problem) if problem.kind() == ErrorKind::WouldBlock => return false,
                Err(problem) if problem.kind() == ErrorKind::Interrupted => {}
                Err(problem) if problem.kind() == ErrorKind::ConnectionAborted => {}
                Err(problem) => {
                    desk.counters.accepts_failed += 1;
                    warn!(desk.log, "accept failed"; "problem" => %problem);
                    // Out of descriptors: what lies in the backlog counts as taken, so an idle one gives way. If
                    // that did not help, ending more of them would not either.
                    if failed || !desk.make_room() {
                        desk.rest_accepting();
                        return false;
                    }
                    failed = true;
                }
            }
        }
        true
    }
}

impl Desk {
    fn welcome(&mut self, stream: TcpStream, peer: SocketAddr) {
        let ready = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
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
                    opened: self.clock.now(),
                    tickets: 0,
                    partial: false,
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

    /// Closes the client's connection that has kept us waiting for longest, between tickets or with part of a
    /// request, or else an idle one to an upstream.
    pub fn make_room(&mut self) -> bool {
        // What lies unread in the socket may be a whole request, and then it is taken.
        let unread = |client: &Client| client.wired.stream.peek(&mut [0]).is_ok_and(|count| count > 0);
        let now = self.clock.now();
        // Whoever opened a connection or began a request just now is about to go on with it.
        let begun = |client: &Client| client.answered == 0 || !client.inbox.kept().is_empty();
        let last = |client: &Client| (begun(client) && now < client.since + ABOUT_TO_SEND, client.since);
        let mut waiting: Vec<_> = self.clients.iter().filter(|(_, client)| !client.is_owed()).collect();
        waiting.sort_by_key(|(_, client)| last(client));
        match waiting.into_iter().find(|(_, client)| !unread(client)).map(|(slot, _)| slot) {
            Some(slot) => self.end_client(slot, reasons::MADE_ROOM),
            None => return self.drop_idle_link(),
        }
        true
    }

    fn rest_accepting(&mut self) {
        if let Some((_, token)) = &self.listener {
            if let Err(problem) = self.handle.disable(token) {
                warn!(self.log, "cannot rest accepting"; "problem" => %problem);
            }
            self.deadlines.hang(self.clock.now() + ACCEPT_REST, Due::Accept);
        }
    }

    pub fn accept_again(&mut self) {
        if let Some((_, token)) = &self.listener
            && let Err(problem) = self.handle.enable(token)
        {
            warn!(self.log, "cannot accept again"; "problem" => %problem);
        }
    }

    /// Whether somebody waits to be accepted.
    pub fn backlog_waits(&self) -> bool {
        self.listener.as_ref().is_some_and(|(listener, _)| one_waits(listener))
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
