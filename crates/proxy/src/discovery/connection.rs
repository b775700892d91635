//! Connections to discovery: opening, sending polls, reading responses, closing.

use std::io::ErrorKind;

use bytes::Bytes;
use pinefront_policy::Micros;
use serde_json::Value;
use slog::info;

use crate::close_reason::CloseReason;
use crate::discovery::partial_list::PartialList;
use crate::discovery::polling_schedule::{ConnectionId, ListQuery, PollFailure};
use crate::discovery::response::{MAX_RESPONSE_BYTES, partial_body, read_response};
use crate::state::buffers::{ReadBuffer, ReadOutcome, WriteBuffer};
use crate::state::proxy::ProxyState;
use crate::state::socket::{RegisteredSocket, connect};

/// How long after a part of a response that part is applied, as it counts as delivered. Most
/// responses are complete by then, and are read once.
const PARTIAL_READ_DELAY_US: Micros = 40_000;

/// A connection to discovery.
pub struct DiscoveryConnection {
    /// Its id in the polling schedule.
    pub id: ConnectionId,
    /// The stream in the event loop.
    pub socket: RegisteredSocket,
    /// What was received and not read yet.
    pub read_buffer: ReadBuffer,
    /// What is still to be written.
    pub write_buffer: WriteBuffer,
    /// Whether the connection is established.
    pub is_connected: bool,
    /// When the part of a response in the read buffer is to be applied, in microseconds.
    pub partial_read_at: Option<Micros>,
}

/// What a look at a connection found.
pub enum PollProgress {
    /// Nothing that concerns its poll.
    Pending,
    /// A complete response.
    Answered {
        /// The text of the list.
        body: Vec<u8>,
        /// Whether the connection can carry another poll.
        keep_alive: bool,
    },
    /// The poll failed.
    Failed(PollFailure),
    /// The connection was closed, or bytes came, while no poll was in flight.
    Unsolicited,
}

/// A response on a connection that is to be closed.
pub enum LastResponse {
    /// A complete list.
    Complete(Value),
    /// A part of one.
    Partial(PartialList),
}

/// What came of writing to a socket and reading from it.
struct Transfer {
    outcome: ReadOutcome,
    has_socket_error: bool,
    write_failed: bool,
}

impl Transfer {
    fn is_ended(&self) -> bool {
        self.outcome != ReadOutcome::WouldBlock
    }

    fn is_failed(&self) -> bool {
        self.is_ended() || self.has_socket_error || self.write_failed
    }
}

impl DiscoveryConnection {
    /// Writes and reads what the socket takes and has, and notices when the connection is
    /// established.
    fn transfer(&mut self) -> Transfer {
        let stream = &self.socket.stream;
        let has_socket_error = stream.take_error().is_ok_and(|error| error.is_some());
        self.is_connected = self.is_connected || stream.peer_addr().is_ok();
        let written = self.write_buffer.drain(stream);
        let outcome = self.read_buffer.fill(stream, MAX_RESPONSE_BYTES);
        Transfer {
            outcome,
            has_socket_error,
            // A connection that is being established is not writable yet.
            write_failed: written.is_err_and(|error| error.kind() != ErrorKind::NotConnected),
        }
    }

    /// Reads the response to the poll that is in flight here.
    fn read_poll_response(&mut self, now: Micros, transfer: &Transfer) -> PollProgress {
        let is_closed = transfer.outcome == ReadOutcome::Closed;
        let has_part = !self.read_buffer.bytes().is_empty();
        match read_response(self.read_buffer.bytes(), is_closed) {
            Ok(Some(response)) => {
                self.partial_read_at = None;
                self.read_buffer.take(response.length);
                PollProgress::Answered {
                    body: response.body,
                    keep_alive: response.keep_alive && !transfer.is_ended(),
                }
            }
            Ok(None) if transfer.is_failed() => PollProgress::Failed(match has_part {
                true => PollFailure::Truncated,
                false => PollFailure::ConnectionLost,
            }),
            Ok(None) => {
                if has_part {
                    self.partial_read_at
                        .get_or_insert(now + PARTIAL_READ_DELAY_US);
                }
                PollProgress::Pending
            }
            Err(failure) => PollProgress::Failed(failure),
        }
    }
}

impl ProxyState {
    /// Opens a connection to discovery and puts its first poll into the write buffer.
    ///
    /// # Errors
    ///
    /// Fails when the connection attempt cannot be started or the loop cannot watch the socket.
    pub fn open_discovery(&mut self, id: ConnectionId, query: ListQuery) -> std::io::Result<()> {
        let stream = connect(self.config.discovery)?;
        let socket =
            RegisteredSocket::new(&self.handle, stream, move |proxy| proxy.discovery_ready(id))?;
        self.discovery.connections.push(DiscoveryConnection {
            id,
            socket,
            read_buffer: ReadBuffer::default(),
            write_buffer: WriteBuffer::default(),
            is_connected: false,
            partial_read_at: None,
        });
        self.push_poll(id, query, false);
        Ok(())
    }

    /// Sends a poll on an established connection.
    pub fn send_poll(&mut self, id: ConnectionId, query: ListQuery) {
        self.push_poll(id, query, true);
        if let Some(connection) = self.discovery.connection(id) {
            // A failure is read from the connection in a later iteration of the loop.
            let _ = connection.write_buffer.drain(&connection.socket.stream);
        }
    }

    fn push_poll(&mut self, id: ConnectionId, query: ListQuery, is_reused: bool) {
        let path = poll_path(query);
        self.counters.list_polls += 1;
        info!(self.log, "endpoint list polled"; "path" => &path, "reused" => is_reused,
            "connection" => id.0);
        let discovery = self.config.discovery;
        let poll = format!("GET {path} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        if let Some(connection) = self.discovery.connection(id) {
            connection.write_buffer.push(Bytes::from(poll));
        }
    }

    /// Writes and reads what the socket of a connection allows, and returns what came of its poll.
    pub fn read_discovery(&mut self, id: ConnectionId) -> PollProgress {
        let now = self.now();
        let discovery = &mut self.discovery;
        let mut connections = discovery.connections.iter_mut();
        let Some(connection) = connections.find(|connection| connection.id == id) else {
            return PollProgress::Pending;
        };
        let was_connected = connection.is_connected;
        let transfer = connection.transfer();
        if !connection.is_connected {
            return match transfer.is_failed() {
                true => PollProgress::Failed(PollFailure::Unreachable),
                false => PollProgress::Pending,
            };
        }
        if !was_connected {
            discovery.schedule.connected(id);
        }
        if discovery.schedule.has_poll_on(id) {
            return connection.read_poll_response(now, &transfer);
        }
        let is_closed = transfer.is_ended() || transfer.has_socket_error;
        match is_closed || !connection.read_buffer.bytes().is_empty() {
            true => PollProgress::Unsolicited,
            false => PollProgress::Pending,
        }
    }

    /// Returns what has come of the response to a poll.
    pub fn partial_response(&mut self, id: ConnectionId) -> Option<PartialList> {
        let connection = self.discovery.connection(id)?;
        let body = partial_body(connection.read_buffer.bytes())?;
        Some(PartialList::read(&body))
    }

    /// Reads what a connection that is to be closed still holds.
    pub fn last_response(&mut self, id: ConnectionId) -> Option<LastResponse> {
        let connection = self.discovery.connection(id)?;
        let stream = &connection.socket.stream;
        let outcome = connection.read_buffer.fill(stream, MAX_RESPONSE_BYTES);
        let bytes = connection.read_buffer.bytes();
        let body = match read_response(bytes, outcome == ReadOutcome::Closed) {
            Ok(Some(response)) => response.body,
            _ => partial_body(bytes)?,
        };
        Some(match serde_json::from_slice(&body) {
            Ok(list) => LastResponse::Complete(list),
            Err(_) => LastResponse::Partial(PartialList::read(&body)),
        })
    }

    /// Logs a poll that failed, if one is in flight on the connection.
    pub fn log_failed_poll(&mut self, id: ConnectionId, failure: PollFailure) {
        let now = self.now();
        let Some(age) = self.discovery.schedule.poll_age(id, now) else {
            return;
        };
        let connection = self.discovery.connection(id);
        let bytes = connection.map_or(0, |connection| connection.read_buffer.bytes().len());
        info!(self.log, "endpoint list poll failed"; "reason" => close_reason(failure).code(),
            "connection" => id.0, "waited_ms" => age.waited / 1000,
            "superseded" => age.is_superseded, "bytes" => bytes);
    }

    /// Closes a connection to discovery.
    pub fn close_discovery(&mut self, id: ConnectionId, reason: CloseReason) {
        let connections = &mut self.discovery.connections;
        let mut ids = connections.iter().map(|connection| connection.id);
        let Some(index) = ids.position(|known| known == id) else {
            return;
        };
        let connection = connections.swap_remove(index);
        self.handle.remove(connection.socket.token);
        info!(self.log, "discovery connection closed"; "reason" => reason.code(), "connection" => id.0);
    }

    /// Closes all connections to discovery.
    pub fn close_all_discovery(&mut self, reason: CloseReason) {
        while let Some(connection) = self.discovery.connections.first() {
            self.close_discovery(connection.id, reason);
        }
    }
}

fn poll_path(query: ListQuery) -> String {
    match query {
        ListQuery::CompleteList => "/registry/instances".to_owned(),
        ListQuery::Changes { since, wait } => {
            let timeout_ms = wait / 1000;
            format!("/registry/instances?since={since}&timeout_ms={timeout_ms}")
        }
    }
}

/// Why a connection is closed whose poll failed.
pub fn close_reason(failure: PollFailure) -> CloseReason {
    match failure {
        PollFailure::Rejected { .. } => CloseReason::DiscoveryError,
        PollFailure::Unreachable => CloseReason::ConnectFailed,
        PollFailure::ConnectionLost => CloseReason::DiscoveryConnectionLost,
        PollFailure::Truncated => CloseReason::DiscoveryTruncated,
        PollFailure::Malformed => CloseReason::MalformedMessage,
    }
}
