//! The listener: accepting clients' connections, and closing idle ones to make room for them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use pinefront_policy::Micros;
use rustix::event::PollFlags;
use rustix::io::Errno;
use slog::warn;

use crate::close_reason::CloseReason;
use crate::state::client_connection::ClientConnection;
use crate::state::keys::ClientKey;
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::socket::{RegisteredSocket, ready};
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// How long accepting pauses when no descriptor is available.
const ACCEPT_PAUSE_US: Micros = 10_000;
/// Connections to accept in one iteration: connected clients must not wait for a burst of new ones.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// How long after its last activity a client in the middle of something is not closed in favour of
/// another.
const ABOUT_TO_SEND_US: Micros = 1_000_000;

/// Why accepting failed.
#[derive(Debug, PartialEq, Eq)]
enum AcceptFailure {
    /// The backlog is empty.
    WouldBlock,
    /// The one connection that was to be accepted is lost, or the call was interrupted: the next
    /// may succeed.
    Transient,
    /// This process may open no further descriptor.
    ProcessLimit,
    /// The system is short of a resource: closing connections of ours would not help.
    SystemLimit,
}

/// Classifies a failure as accept(2) lists them: errors of the network belong to the connection
/// that was to be accepted.
fn accept_failure(error: &std::io::Error) -> AcceptFailure {
    let Some(code) = Errno::from_io_error(error) else {
        return AcceptFailure::SystemLimit;
    };
    match code {
        Errno::AGAIN => AcceptFailure::WouldBlock,
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
        | Errno::PERM => AcceptFailure::Transient,
        Errno::MFILE => AcceptFailure::ProcessLimit,
        _ => AcceptFailure::SystemLimit,
    }
}

impl Proxy {
    /// Accepts connections from the backlog. Returns whether more may wait there that can be
    /// accepted now.
    pub fn accept(&mut self) -> bool {
        let mut has_freed_descriptor = false;
        let mut has_accepted = false;
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let mut state = self.state.borrow_mut();
            let Some(registered) = &state.listener else {
                return false;
            };
            let listener = Rc::clone(&registered.listener);
            if !state.has_capacity_for_client(&listener) {
                return false;
            }
            let error = match listener.accept() {
                Ok((stream, peer)) => {
                    state.register_client(stream, peer);
                    has_accepted = true;
                    continue;
                }
                Err(error) => error,
            };
            let failure = accept_failure(&error);
            if failure == AcceptFailure::WouldBlock {
                return false;
            }
            state.counters.accepts_failed += 1;
            if failure == AcceptFailure::Transient {
                continue;
            }
            warn!(state.log, "accept failed"; "error" => %error);
            // A connection in the backlog counts as accepted, so an idle one is closed for it.
            // Where that did not help, closing more of them would not either.
            let can_help = failure == AcceptFailure::ProcessLimit && !has_freed_descriptor;
            if !can_help || !state.free_descriptor() {
                state.pause_accepting();
                return false;
            }
            has_freed_descriptor = true;
        }
        has_accepted
    }
}

impl ProxyState {
    /// Whether another client may connect. At the limit, closes an idle connection if one waits in
    /// the backlog.
    fn has_capacity_for_client(&mut self, listener: &TcpListener) -> bool {
        if self.clients.len() < self.config.max_client_connections {
            return true;
        }
        if !has_pending_connection(listener) {
            return false;
        }
        let has_closed = self.close_idle_client();
        if !has_closed {
            self.pause_accepting();
        }
        has_closed
    }

    fn register_client(&mut self, stream: TcpStream, peer: SocketAddr) {
        let now = self.clock.now();
        let waited = self.loop_iteration.late(now);
        let made_nonblocking = stream.set_nonblocking(true);
        // Most responses go out in one write; without it, the rest of one may only be later.
        let _ = stream.set_nodelay(true);
        let registered = made_nonblocking.and_then(|()| {
            self.clients.try_insert_with_key(|key| {
                let ready = move |proxy: &mut Proxy| proxy.client_ready(key);
                let socket = RegisteredSocket::new(&self.handle, stream, ready)?;
                Ok(ClientConnection::new(socket, peer, now, waited))
            })
        });
        match registered {
            Ok(key) => {
                self.counters.client_connections_accepted += 1;
                self.client_idle(key);
            }
            Err(error) => {
                self.counters.accepts_failed += 1;
                let reason = CloseReason::NotRegistered.code();
                warn!(self.log, "client connection not registered"; "reason" => reason,
                    "peer" => %peer, "error" => %error);
            }
        }
    }

    /// Closes an idle connection of a client, or else one to an endpoint. Returns whether there was
    /// one.
    fn free_descriptor(&mut self) -> bool {
        self.close_idle_client() || self.evict_idle_endpoint_connection()
    }

    /// Closes the client's connection that has been idle or stalled for longest. Returns whether
    /// there was one.
    fn close_idle_client(&mut self) -> bool {
        let Some(key) = self.longest_idle_client() else {
            return false;
        };
        self.close_client(key, CloseReason::Evicted);
        true
    }

    fn longest_idle_client(&self) -> Option<ClientKey> {
        let now = self.clock.now();
        let mut idle: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| !client.awaits_response() && !client.has_unread_bytes())
            .collect();
        // A client that connected or began a request a moment ago is about to go on with it.
        let is_about_to_send = |client: &ClientConnection| {
            let has_begun = client.responses_sent == 0 || !client.read_buffer.bytes().is_empty();
            has_begun && now < client.waiting_since + ABOUT_TO_SEND_US
        };
        idle.sort_by_key(|(_, client)| (is_about_to_send(client), client.waiting_since));
        idle.into_iter()
            .find(|(_, client)| !has_bytes_in_socket(client))
            .map(|(key, _)| key)
    }

    fn pause_accepting(&mut self) {
        if self.accept_paused {
            return;
        }
        let Some(registered) = &self.listener else {
            return;
        };
        if let Err(error) = self.handle.disable(&registered.token) {
            warn!(self.log, "cannot pause accepting"; "error" => %error);
        }
        self.accept_paused = true;
        let at = self.clock.now() + ACCEPT_PAUSE_US;
        self.timers.schedule(at, TimerEvent::ResumeAccepting);
    }

    /// Accepts connections again after a pause.
    pub fn resume_accepting(&mut self) {
        let was_paused = std::mem::take(&mut self.accept_paused);
        if let Some(registered) = self.listener.as_ref().filter(|_| was_paused)
            && let Err(error) = self.handle.enable(&registered.token)
        {
            warn!(self.log, "cannot resume accepting"; "error" => %error);
        }
    }

    /// Whether a connection waits in the backlog.
    pub fn backlog_has_connections(&self) -> bool {
        self.listener
            .as_ref()
            .is_some_and(|registered| has_pending_connection(&registered.listener))
    }

    /// Closes the listener.
    pub fn close_listener(&mut self) {
        if let Some(registered) = self.listener.take() {
            self.handle.remove(registered.token);
        }
    }
}

/// Whether a connection waits in the backlog.
fn has_pending_connection(listener: &TcpListener) -> bool {
    !ready(listener, PollFlags::IN).is_empty()
}

/// Whether the socket holds bytes that were not read yet; they may be a complete request.
fn has_bytes_in_socket(client: &ClientConnection) -> bool {
    let peeked = client.socket.stream.peek(&mut [0]);
    peeked.is_ok_and(|count| count > 0)
}
