//! Events of client connections: readable, writable, disconnected, timer expired.

use std::rc::Rc;

use slog::info;

use crate::close_reason::CloseReason;
use crate::connections::client_lifetime::{
    DISCARD_PAUSE_US, MAX_LINGER_BYTES, lingering_close_reason,
};
use crate::connections::request_error::RequestError;
use crate::state::buffers::{ReadOutcome, ScratchBuffer};
use crate::state::client_connection::{ClientConnection, READ_AHEAD_BYTES};
use crate::state::keys::ClientKey;
use crate::state::proxy::{Detach, Proxy, ProxyState};
use crate::state::socket::is_hung_up;
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// Maximum number of bytes read from one client in an iteration of the event loop.
const MAX_BYTES_PER_TURN: usize = 16 * 1024;

impl Proxy {
    /// Handles a client connection that became readable or writable.
    pub fn handle_client_ready(&mut self, key: ClientKey) {
        self.state.borrow_mut().ordered_arrivals.record_event();
        let received = self.state.borrow_mut().receive_from_client(key);
        match received {
            ClientRead::Nothing => {}
            ClientRead::Closing => self.state.borrow_mut().continue_after_response(key),
            ClientRead::Closed(reason) => self.handle_client_disconnect(key, reason),
            // Bytes after this request are processed in a later iteration, so that one client
            // cannot occupy the event loop.
            ClientRead::Request => self.read_request(key),
        }
    }

    /// Closes the connection of a client that disconnected and cancels its request, if one is in
    /// flight.
    pub fn handle_client_disconnect(&mut self, key: ClientKey, reason: CloseReason) {
        let mut state = self.state.borrow_mut();
        let request = state.clients.get(key).and_then(|client| client.request);
        let unanswered = request.and_then(|request| {
            let id = Rc::clone(&state.requests.get(request)?.id);
            state
                .detach_client(request, Detach::Disconnected)
                .map(|_| id)
        });
        let reason = match unanswered {
            Some(_) => CloseReason::ClientDisconnected,
            None => reason,
        };
        state.close_client(key, reason);
        if let Some(id) = unanswered {
            state.counters.requests_disconnected += 1;
            info!(state.log, "client disconnected"; "request" => &*id);
            let now = state.now();
            drop(state);
            self.balancer.client_disconnected(now, &id);
        }
    }

    /// Continues to read from a client after a pause.
    pub fn resume_reading(&mut self, key: ClientKey) {
        if let Some(client) = self.state.borrow_mut().clients.get_mut(key) {
            client.is_read_paused = false;
        }
        self.handle_client_ready(key);
    }

    /// Handles the expiry of a client connection's timer. The purpose of the timer follows from the
    /// state of the connection.
    pub fn handle_client_timer(&mut self, key: ClientKey) {
        let mut state = self.state.borrow_mut();
        let Some(client) = state.clients.get_mut(key) else {
            return;
        };
        client.timer = None;
        if client.pending_rejection.is_some() {
            state.send_pending_rejection(key);
            return;
        }
        if client.is_lingering {
            let reason = lingering_close_reason(client);
            return state.close_client(key, reason);
        }
        if client.request.is_some() {
            return;
        }
        if !client.write_buffer.is_empty() {
            return state.close_client(key, CloseReason::SlowReader);
        }
        if !client.read_buffer.bytes().is_empty() {
            let error = if client.waits_for_memory {
                RequestError::MemoryLimit
            } else {
                RequestError::TimedOut
            };
            return state.reject(key, error);
        }
        state.close_or_keep_idle_client(key);
    }
}

/// Result of reading from a client connection.
enum ClientRead {
    /// The read requires no action.
    Nothing,
    /// The read buffer may hold a complete request.
    Request,
    /// The connection is closed once all pending bytes are written.
    Closing,
    /// The client closed or reset the connection.
    Closed(CloseReason),
}

impl ProxyState {
    /// Writes pending bytes to the client and reads the bytes that it sent.
    fn receive_from_client(&mut self, key: ClientKey) -> ClientRead {
        let Some(client) = self.clients.get_mut(key) else {
            return ClientRead::Nothing;
        };
        if client.write_buffer.flush(&client.socket.stream).is_err() {
            return ClientRead::Closed(CloseReason::ClientReset);
        }
        if client.is_lingering {
            return self.discard_from_client(key);
        }
        if client.pending_rejection.is_some() || client.is_read_paused {
            return if is_hung_up(&client.socket.stream) {
                ClientRead::Closed(lingering_close_reason(client))
            } else {
                ClientRead::Nothing
            };
        }
        let outcome = fill_read_buffer(client, self.is_closing_connections, &mut self.scratch);
        client.may_have_unread_bytes = outcome == ReadOutcome::Full;
        classify_read(client, outcome)
    }

    /// Discards bytes that a client sends after the write side of its connection was shut down.
    fn discard_from_client(&mut self, key: ClientKey) -> ClientRead {
        let Some(client) = self.clients.get_mut(key) else {
            return ClientRead::Nothing;
        };
        let now = self.clock.now();
        if client.is_read_paused {
            return ClientRead::Nothing;
        }
        if self.discard_allowance.left(now) == 0 {
            client.is_read_paused = true;
            let at = now + DISCARD_PAUSE_US;
            self.timers.schedule(at, TimerEvent::ReadingResumed(key));
            return ClientRead::Nothing;
        }
        let (count, outcome) = self.scratch.discard_from(&client.socket.stream);
        self.discard_allowance.use_up(count);
        client.discarded_bytes += count;
        if client.discarded_bytes >= MAX_LINGER_BYTES {
            return ClientRead::Closed(lingering_close_reason(client));
        }
        match outcome {
            ReadOutcome::WouldBlock => ClientRead::Nothing,
            ReadOutcome::Full => {
                self.timers.schedule(now, TimerEvent::NextRequest(key));
                ClientRead::Nothing
            }
            ReadOutcome::Closed | ReadOutcome::Failed => {
                ClientRead::Closed(lingering_close_reason(client))
            }
        }
    }
}

/// Maximum number of bytes to hold in a client's read buffer, if it may hold as many.
fn read_limit(client: &ClientConnection) -> usize {
    if client.awaits_response() {
        READ_AHEAD_BYTES
    } else {
        usize::MAX
    }
}

/// Reads bytes from the client. While the shutdown closes connections, received requests are
/// completed and answered but no further request is read: a client that always sends another
/// request would block the shutdown.
fn fill_read_buffer(
    client: &mut ClientConnection,
    is_closing_connections: bool,
    scratch: &mut ScratchBuffer,
) -> ReadOutcome {
    if is_closing_connections && (client.awaits_response() || client.has_unparsed_bytes()) {
        return if client.request.is_some() && is_hung_up(&client.socket.stream) {
            ReadOutcome::Closed
        } else {
            ReadOutcome::WouldBlock
        };
    }
    let turn_end = client.read_buffer.bytes().len() + MAX_BYTES_PER_TURN;
    let limit = read_limit(client).min(turn_end);
    client
        .read_buffer
        .fill_with_arrival(limit, &client.socket.stream, scratch)
}

/// Classifies the outcome of a read on a connection that is not lingering.
fn classify_read(client: &ClientConnection, outcome: ReadOutcome) -> ClientRead {
    let has_request = client.request.is_some();
    match outcome {
        // The client shut down its side but may still read the response; if it does not, a write
        // fails.
        ReadOutcome::Closed if !client.write_buffer.is_empty() => ClientRead::Nothing,
        ReadOutcome::Closed if !has_request && !client.read_buffer.bytes().is_empty() => {
            ClientRead::Closed(CloseReason::ClientTruncated)
        }
        ReadOutcome::Closed => ClientRead::Closed(CloseReason::ClientClosed),
        // The end of the stream follows bytes that are not read: a request is in flight, or the
        // message is long.
        ReadOutcome::Full
            if (has_request || client.write_buffer.is_empty())
                && is_hung_up(&client.socket.stream) =>
        {
            ClientRead::Closed(CloseReason::ClientTruncated)
        }
        ReadOutcome::Failed => ClientRead::Closed(CloseReason::ClientReset),
        ReadOutcome::WouldBlock | ReadOutcome::Full if client.close_reason.is_some() => {
            ClientRead::Closing
        }
        // Responses that the client does not read must not accumulate.
        ReadOutcome::WouldBlock | ReadOutcome::Full if client.awaits_response() => {
            ClientRead::Nothing
        }
        ReadOutcome::WouldBlock | ReadOutcome::Full if client.read_buffer.bytes().is_empty() => {
            ClientRead::Nothing
        }
        ReadOutcome::WouldBlock | ReadOutcome::Full => ClientRead::Request,
    }
}
