//! The listener: taking clients in, and making room for them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use pinefront_policy::Micros;
use rustix::event::PollFlags;
use rustix::io::Errno;
use slog::warn;

use crate::close_reason::CloseReason;
use crate::state::buffers::{ReadBuffer, WriteBuffer};
use crate::state::client_connection::ClientConnection;
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::socket::{RegisteredSocket, ready};
use crate::state::timers::TimerEvent;

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

impl Proxy {
    /// Takes in what the listener has; true where more may be waiting and can be had.
    pub fn accept(&mut self) -> bool {
        let (mut freed, mut accepted) = (false, false);
        for _ in 0..ACCEPT_AT_ONCE {
            let mut state = self.state.borrow_mut();
            let Some(listener) = state
                .listener
                .as_ref()
                .map(|(listener, _)| Rc::clone(listener))
            else {
                return false;
            };
            if state.clients.len() >= state.config.max_client_connections {
                // Nobody has to go for one that is not there.
                if !has_pending_connection(&listener) {
                    return false;
                }
                if !state.close_idle_client() {
                    state.pause_accepting();
                    return false;
                }
            }
            let problem = match listener.accept() {
                Ok((stream, peer)) => {
                    state.register_client(stream, peer);
                    accepted = true;
                    continue;
                }
                Err(problem) => problem,
            };
            match accept_failure(&problem) {
                AcceptFailure::Nobody => return false,
                AcceptFailure::Passing => state.counters.accepts_failed += 1,
                failure => {
                    state.counters.accepts_failed += 1;
                    warn!(state.log, "accept failed"; "error" => %problem);
                    // What lies in the backlog counts as taken, so an idle connection gives way for it. If that did
                    // not help, ending more of them would not either.
                    if freed || failure == AcceptFailure::System || !state.free_descriptor() {
                        state.pause_accepting();
                        return false;
                    }
                    freed = true;
                }
            }
        }
        accepted
    }
}

impl ProxyState {
    fn register_client(&mut self, stream: TcpStream, peer: SocketAddr) {
        let now = self.clock.now();
        let ready = stream.set_nonblocking(true);
        // Answers go out in one write mostly; without it a further one may only be later.
        let _ = stream.set_nodelay(true);
        let made = ready.and_then(|()| {
            self.clients.try_insert_with_key(|key| {
                Ok(ClientConnection {
                    socket: RegisteredSocket::new(&self.handle, stream, move |proxy| {
                        proxy.client_ready(key)
                    })?,
                    peer,
                    read_buffer: ReadBuffer::default(),
                    write_buffer: WriteBuffer::default(),
                    request: None,
                    no_keep_alive: false,
                    answered: 0,
                    opened: now,
                    waited: self.loop_iteration.late(now),
                    requests_received: 0,
                    partial_request: None,
                    discarded_bytes: 0,
                    close_reason: None,
                    is_lingering: false,
                    sent_continue: false,
                    timer: None,
                    since: 0,
                })
            })
        });
        match made {
            Ok(key) => {
                self.counters.client_connections_accepted += 1;
                self.client_idle(key);
            }
            Err(problem) => {
                self.counters.accepts_failed += 1;
                warn!(self.log, "client connection not registered"; "reason" => CloseReason::NotRegistered.code(), "peer" => %peer,
                    "error" => %problem);
            }
        }
    }

    /// Frees a descriptor: a client's connection that keeps us waiting, or else an idle one to an endpoint.
    fn free_descriptor(&mut self) -> bool {
        self.close_idle_client() || self.evict_idle_endpoint_connection()
    }

    /// Closes the client's connection that has kept us waiting for longest, between requests or with part of a request.
    fn close_idle_client(&mut self) -> bool {
        // What lies unread in the socket may be a whole request, and then it is taken.
        let unread = |client: &ClientConnection| {
            client
                .socket
                .stream
                .peek(&mut [0])
                .is_ok_and(|count| count > 0)
        };
        let now = self.clock.now();
        // Whoever opened a connection or began a request just now is about to go on with it.
        let begun = |client: &ClientConnection| {
            client.answered == 0 || !client.read_buffer.bytes().is_empty()
        };
        let last = |client: &ClientConnection| {
            (
                begun(client) && now < client.since + ABOUT_TO_SEND,
                client.since,
            )
        };
        let rests =
            |client: &ClientConnection| !client.awaits_response() && !client.has_unread_bytes();
        let mut waiting: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| rests(client))
            .collect();
        waiting.sort_by_key(|(_, client)| last(client));
        let first = waiting
            .into_iter()
            .find(|(_, client)| !unread(client))
            .map(|(key, _)| key);
        first
            .inspect(|key| self.close_client(*key, CloseReason::Evicted))
            .is_some()
    }

    fn pause_accepting(&mut self) {
        let Some((_, token)) = self.listener.as_ref().filter(|_| !self.accept_paused) else {
            return;
        };
        if let Err(problem) = self.handle.disable(token) {
            warn!(self.log, "cannot pause accepting"; "error" => %problem);
        }
        self.accept_paused = true;
        self.timers
            .schedule(self.clock.now() + ACCEPT_REST, TimerEvent::ResumeAccepting);
    }

    pub fn resume_accepting(&mut self) {
        let rested = std::mem::take(&mut self.accept_paused);
        if let Some((_, token)) = self.listener.as_ref().filter(|_| rested)
            && let Err(problem) = self.handle.enable(token)
        {
            warn!(self.log, "cannot resume accepting"; "error" => %problem);
        }
    }

    /// Whether somebody waits to be accepted.
    pub fn backlog_has_connections(&self) -> bool {
        self.listener
            .as_ref()
            .is_some_and(|(listener, _)| has_pending_connection(listener))
    }

    pub fn close_listener(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
    }
}

/// Whether a connection waits to be accepted.
fn has_pending_connection(listener: &TcpListener) -> bool {
    !ready(listener, PollFlags::IN).is_empty()
}
