//! The listener: accepts client connections, and closes idle ones to free capacity for new ones.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use pinefront_policy::Micros;
use rustix::event::PollFlags;
use rustix::io::Errno;
use slog::warn;

use crate::close_reason::CloseReason;
use crate::state::client_connection::ClientConnection;
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::socket::{RegisteredSocket, poll_ready};
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// Time for which accepting pauses when no file descriptor is available.
const ACCEPT_PAUSE_US: Micros = 10_000;
/// Maximum number of connections accepted in one loop iteration, so that a burst of new connections
/// does not delay connected clients.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Maximum number of client connections closed for new ones in one loop iteration.
const MAX_EVICTIONS_PER_ITERATION: usize = 8;

/// Whether another client connection can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    /// The connection limit is not reached.
    Available,
    /// A connection was closed.
    Made,
    /// No connection can be closed, or none is pending.
    None,
}

/// Classification of an `accept` error.
#[derive(Debug, PartialEq, Eq)]
enum AcceptFailure {
    /// The backlog is empty.
    WouldBlock,
    /// The connection being accepted was lost, or the call was interrupted; the next call may
    /// succeed.
    Transient,
    /// The process has reached its limit of file descriptors.
    ProcessLimit,
    /// The system lacks a resource; closing connections of this process would not help.
    SystemLimit,
}

/// Classifies an `accept` error. According to accept(2), network errors belong to the connection
/// that was to be accepted.
fn classify_accept_error(error: &std::io::Error) -> AcceptFailure {
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
    /// Accepts connections from the backlog. Returns whether the backlog may hold more connections
    /// that can be accepted now.
    pub fn accept(&mut self) -> bool {
        let may_hold_more = self.accept_batch();
        let mut state = self.state.borrow_mut();
        state.ordered_arrivals.record_backlog(may_hold_more);
        may_hold_more
    }

    fn accept_batch(&mut self) -> bool {
        let mut has_evicted = false;
        let mut has_accepted = false;
        let mut evictions = 0;
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let mut state = self.state.borrow_mut();
            let Some(registered) = &state.listener else {
                return false;
            };
            let listener = Rc::clone(&registered.listener);
            match state.make_room_for_client(&listener) {
                Room::Available => {}
                Room::Made if evictions < MAX_EVICTIONS_PER_ITERATION => evictions += 1,
                Room::Made => return true,
                Room::None => return false,
            }
            let error = match listener.accept() {
                Ok((stream, peer)) => {
                    state.register_client(stream, peer);
                    has_accepted = true;
                    continue;
                }
                Err(error) => error,
            };
            let failure = classify_accept_error(&error);
            if failure == AcceptFailure::WouldBlock {
                return false;
            }
            state.counters.accepts_failed += 1;
            if failure == AcceptFailure::Transient {
                continue;
            }
            warn!(state.log, "accept failed"; "error" => %error);
            // A connection in the backlog counts as accepted, so an idle connection is closed to
            // make room for it. If accept still fails after that, closing more would not help.
            let can_evict = failure == AcceptFailure::ProcessLimit && !has_evicted;
            if !can_evict || !state.evict_idle_connection() {
                state.pause_accepting();
                return false;
            }
            has_evicted = true;
        }
        has_accepted
    }
}

impl ProxyState {
    /// Makes room for another client connection. At the connection limit, closes a client connection
    /// if one is pending in the backlog.
    fn make_room_for_client(&mut self, listener: &TcpListener) -> Room {
        if self.clients.len() < self.config.max_client_connections {
            return Room::Available;
        }
        if !has_pending_connection(listener) {
            return Room::None;
        }
        if self.evict_client() {
            return Room::Made;
        }
        self.pause_accepting();
        Room::None
    }

    fn register_client(&mut self, stream: TcpStream, peer: SocketAddr) {
        let now = self.clock.now();
        let backlog_wait = self.loop_iteration.delay_at(now);
        let nonblocking_result = stream.set_nonblocking(true);
        // Most responses are sent in one write. Without `TCP_NODELAY`, the rest of a response that
        // needs a second write could be delayed.
        let _ = stream.set_nodelay(true);
        let registered = nonblocking_result.and_then(|()| {
            self.clients.try_insert_with_key(|key| {
                let ready = move |proxy: &mut Proxy| proxy.handle_client_ready(key);
                let socket = RegisteredSocket::new(&self.handle, stream, ready)?;
                let memory = &self.memory.requests;
                Ok(ClientConnection::new(
                    socket,
                    peer,
                    now,
                    backlog_wait,
                    memory,
                ))
            })
        });
        match registered {
            Ok(key) => {
                self.counters.client_connections_accepted += 1;
                self.ordered_arrivals.record_accept();
                self.start_client_idle_wait(key);
            }
            Err(error) => {
                self.counters.accepts_failed += 1;
                let reason = CloseReason::NotRegistered.code();
                warn!(self.log, "client connection not registered"; "reason" => reason,
                    "peer" => %peer, "error" => %error);
            }
        }
    }

    /// Closes an idle client connection or, if there is none, an idle endpoint connection. Returns
    /// whether a connection was closed.
    fn evict_idle_connection(&mut self) -> bool {
        self.evict_client() || self.evict_idle_endpoint_connection()
    }

    fn pause_accepting(&mut self) {
        if self.is_accept_paused {
            return;
        }
        let Some(registered) = &self.listener else {
            return;
        };
        if let Err(error) = self.handle.disable(&registered.token) {
            warn!(self.log, "cannot pause accepting"; "error" => %error);
        }
        self.is_accept_paused = true;
        let at = self.clock.now() + ACCEPT_PAUSE_US;
        self.timers.schedule(at, TimerEvent::ResumeAccepting);
    }

    /// Resumes accepting connections after a pause.
    pub fn resume_accepting(&mut self) {
        let was_paused = std::mem::take(&mut self.is_accept_paused);
        if let Some(registered) = self.listener.as_ref().filter(|_| was_paused)
            && let Err(error) = self.handle.enable(&registered.token)
        {
            warn!(self.log, "cannot resume accepting"; "error" => %error);
        }
    }

    /// Whether a connection is pending in the backlog.
    pub fn backlog_has_connections(&self) -> bool {
        self.listener
            .as_ref()
            .is_some_and(|registered| has_pending_connection(&registered.listener))
    }

    pub fn close_listener(&mut self) {
        if let Some(registered) = self.listener.take() {
            self.handle.remove(registered.token);
        }
    }
}

/// Whether a connection is pending in the backlog.
fn has_pending_connection(listener: &TcpListener) -> bool {
    !poll_ready(listener, PollFlags::IN).is_empty()
}
