//! Events of connections to endpoints: established, readable, writable, timer expired.

use pinefront_policy::{AttemptOutcome, Micros};

use crate::close_reason::CloseReason;
use crate::connections::response_parser::{ParsedResponse, ResponseFrame};
use crate::state::buffers::ReadOutcome;
use crate::state::endpoint_connection::EndpointConnection;
use crate::state::keys::EndpointConnectionKey;
use crate::state::proxy::{Proxy, ProxyState};
use crate::state::send_refusal::SendRefusal;

#[cfg(test)]
mod tests;

impl Proxy {
    /// Handles a connection to an endpoint that became readable or writable.
    pub fn handle_endpoint_connection_ready(&mut self, key: EndpointConnectionKey) {
        self.state.borrow_mut().ordered_arrivals.record_event();
        let read = self.state.borrow_mut().read_endpoint_connection(key);
        match read {
            EndpointRead::Nothing => {}
            EndpointRead::Closed { outcome, reason } => {
                self.close_connection_and_end_exchange(key, outcome, reason);
            }
            EndpointRead::Response(frame) => self.handle_endpoint_response(key, &frame),
        }
    }

    /// Handles the expiry of an endpoint connection's timer: the connection was idle for too long,
    /// it was not established in time, or its exchange has timed out.
    pub fn handle_endpoint_connection_timer(&mut self, key: EndpointConnectionKey) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let Some(connection) = state.endpoint_connections.get_mut(key) else {
            return;
        };
        connection.timer = None;
        let (outcome, reason) = match &connection.exchange {
            None => (AttemptOutcome::NotSent, CloseReason::EndpointIdle),
            Some(_) if !connection.is_connected => {
                (AttemptOutcome::Unreachable, CloseReason::ConnectTimeout)
            }
            // An attempt is proven not to have run only while its last byte has not been sent.
            Some(_) if !connection.write_buffer.is_empty() => {
                (AttemptOutcome::Unreachable, CloseReason::NotWritten)
            }
            Some(exchange) if exchange.expire_at <= now => {
                (AttemptOutcome::TimedOut, CloseReason::TimedOut)
            }
            Some(exchange) => {
                let at = exchange.expire_at;
                return state.set_endpoint_connection_timer(key, at);
            }
        };
        drop(state);
        self.close_connection_and_end_exchange(key, outcome, reason);
    }

    /// Closes a connection and ends the exchange on it.
    fn close_connection_and_end_exchange(
        &mut self,
        key: EndpointConnectionKey,
        outcome: AttemptOutcome,
        reason: CloseReason,
    ) {
        let mut state = self.state.borrow_mut();
        let connection = state.endpoint_connections.get_mut(key);
        let interrupted = connection
            .and_then(|connection| Some((connection.exchange.take()?, connection.endpoint)));
        state.close_endpoint_connection(key, reason);
        drop(state);
        match interrupted {
            Some((exchange, endpoint)) if exchange.is_probe() => {
                self.report_probe_result(endpoint, false);
            }
            Some((exchange, _)) => {
                self.handle_attempt_end(
                    exchange.request,
                    exchange.number,
                    outcome,
                    exchange.started_at,
                );
            }
            None => {}
        }
    }
}

/// Result of reading from an endpoint connection.
enum EndpointRead {
    /// The read requires no action.
    Nothing,
    /// The connection has to be closed; `outcome` is the outcome of the attempt on it.
    Closed {
        outcome: AttemptOutcome,
        reason: CloseReason,
    },
    /// A complete response.
    Response(ResponseFrame),
}

impl EndpointRead {
    fn closed(outcome: AttemptOutcome, reason: CloseReason) -> Self {
        Self::Closed { outcome, reason }
    }
}

impl ProxyState {
    /// Writes pending bytes to an endpoint connection and reads the bytes received on it.
    fn read_endpoint_connection(&mut self, key: EndpointConnectionKey) -> EndpointRead {
        let now = self.now();
        let connection = self.endpoint_connections.get(key);
        let is_connected = connection.is_some_and(|connection| connection.is_connected);
        if !is_connected && let Some(read) = self.complete_connect(key, now) {
            return read;
        }
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return EndpointRead::Nothing;
        };
        let stream = &connection.socket.stream;
        let is_written = connection.write_buffer.flush(stream).is_ok();
        let outcome = connection.read_buffer.fill(stream, &mut self.scratch);
        if connection.exchange.is_none() {
            return self.check_idle_connection(key, outcome);
        }
        match read_response(connection, is_written, outcome) {
            // An endpoint's response that can never fit is treated like one that is too long.
            EndpointRead::Nothing
                if !self.reserve_for_response(key, outcome == ReadOutcome::Full) =>
            {
                EndpointRead::closed(AttemptOutcome::Failed, CloseReason::MemoryLimit)
            }
            read => read,
        }
    }

    /// Completes the connect of a new connection and sends the attempt on it. Returns the action to
    /// take if the connection is not established or the send guard refuses the attempt.
    fn complete_connect(
        &mut self,
        key: EndpointConnectionKey,
        now: Micros,
    ) -> Option<EndpointRead> {
        let connection = self.endpoint_connections.get_mut(key)?;
        if !matches!(connection.socket.stream.take_error(), Ok(None)) {
            let reason = CloseReason::ConnectFailed;
            return Some(EndpointRead::closed(AttemptOutcome::Unreachable, reason));
        }
        if connection.socket.stream.peer_addr().is_err() {
            return Some(EndpointRead::Nothing);
        }
        connection.is_connected = true;
        let exchange = connection.exchange?;
        self.set_endpoint_connection_timer(key, exchange.expire_at);
        if exchange.is_probe() {
            return None;
        }
        let refusal = self.write_attempt(key, now).err()?;
        let outcome = match refusal {
            SendRefusal::Draining => AttemptOutcome::Unreachable,
            _ => AttemptOutcome::NotSent,
        };
        Some(EndpointRead::closed(outcome, CloseReason::NotSent(refusal)))
    }

    /// Checks an idle connection. It cannot be reused if it was closed or if the endpoint sent
    /// bytes on it.
    fn check_idle_connection(
        &mut self,
        key: EndpointConnectionKey,
        outcome: ReadOutcome,
    ) -> EndpointRead {
        let Some(connection) = self.endpoint_connections.get(key) else {
            return EndpointRead::Nothing;
        };
        let has_bytes = !connection.read_buffer.bytes().is_empty();
        if has_bytes {
            self.record_unsolicited_bytes(connection.endpoint);
        } else if outcome == ReadOutcome::WouldBlock {
            return EndpointRead::Nothing;
        }
        EndpointRead::closed(AttemptOutcome::NotSent, CloseReason::EndpointClosed)
    }
}

/// Reads the response of the exchange on a connection.
fn read_response(
    connection: &mut EndpointConnection,
    is_written: bool,
    outcome: ReadOutcome,
) -> EndpointRead {
    let is_lost = !is_written || matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed);
    // A failed write clears the error that reports a reset, so the following read looks like an
    // orderly close.
    let is_closed = outcome == ReadOutcome::Closed && is_written;
    match connection
        .parser
        .advance(&mut connection.read_buffer, is_closed)
    {
        ParsedResponse::Complete(mut frame) => {
            frame.is_reusable &= !is_lost;
            EndpointRead::Response(frame)
        }
        _ if is_lost && connection.write_buffer.is_empty() => {
            let reason = CloseReason::EndpointConnectionLost;
            EndpointRead::closed(AttemptOutcome::ConnectionLost, reason)
        }
        // The last byte was not sent, so the attempt is proven not to have run.
        _ if is_lost => EndpointRead::closed(AttemptOutcome::Unreachable, CloseReason::NotWritten),
        ParsedResponse::Incomplete => EndpointRead::Nothing,
        ParsedResponse::Malformed => {
            EndpointRead::closed(AttemptOutcome::Failed, CloseReason::MalformedMessage)
        }
    }
}
