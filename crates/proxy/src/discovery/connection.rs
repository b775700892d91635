//! A connection to discovery, and what is read from it.

use std::io::ErrorKind;

use pinefront_policy::Micros;
use serde_json::Value;

use crate::discovery::partial_list::PartialList;
use crate::discovery::polling_schedule::{ConnectionId, PollFailure};
use crate::discovery::response::{MAX_RESPONSE_BYTES, partial_body, read_response};
use crate::state::buffers::{ReadBuffer, ReadOutcome, WriteBuffer};
use crate::state::socket::RegisteredSocket;

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
pub struct Transfer {
    outcome: ReadOutcome,
    /// The socket reported an error.
    pub has_socket_error: bool,
    write_failed: bool,
}

impl Transfer {
    /// Whether the connection was closed or lost.
    pub fn is_ended(&self) -> bool {
        self.outcome != ReadOutcome::WouldBlock
    }

    /// Whether nothing more can be read or written.
    pub fn is_failed(&self) -> bool {
        self.is_ended() || self.has_socket_error || self.write_failed
    }
}

impl DiscoveryConnection {
    /// A connection that is being established.
    pub fn new(id: ConnectionId, socket: RegisteredSocket) -> Self {
        Self {
            id,
            socket,
            read_buffer: ReadBuffer::default(),
            write_buffer: WriteBuffer::default(),
            is_connected: false,
            partial_read_at: None,
        }
    }

    /// Writes and reads what the socket takes and has, and notices when the connection is
    /// established.
    pub fn transfer(&mut self) -> Transfer {
        let stream = &self.socket.stream;
        let has_socket_error = stream.take_error().is_ok_and(|error| error.is_some());
        self.is_connected = self.is_connected || stream.peer_addr().is_ok();
        let written = self.write_buffer.flush(stream);
        let outcome = self.read_buffer.fill(stream, MAX_RESPONSE_BYTES);
        Transfer {
            outcome,
            has_socket_error,
            // A connection that is being established is not writable yet.
            write_failed: written.is_err_and(|error| error.kind() != ErrorKind::NotConnected),
        }
    }

    /// Reads the response to the poll that is in flight here.
    pub fn read_poll_response(&mut self, now: Micros, transfer: &Transfer) -> PollProgress {
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
            Ok(None) if transfer.is_failed() => PollProgress::Failed(if has_part {
                PollFailure::Truncated
            } else {
                PollFailure::ConnectionLost
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

    /// Returns what has come of the response to a poll.
    pub fn partial_response(&self) -> Option<PartialList> {
        let body = partial_body(self.read_buffer.bytes())?;
        Some(PartialList::read(&body))
    }

    /// Reads what a connection that is to be closed still holds.
    pub fn last_response(&mut self) -> Option<LastResponse> {
        let stream = &self.socket.stream;
        let outcome = self.read_buffer.fill(stream, MAX_RESPONSE_BYTES);
        let bytes = self.read_buffer.bytes();
        let body = match read_response(bytes, outcome == ReadOutcome::Closed) {
            Ok(Some(response)) => response.body,
            _ => partial_body(bytes)?,
        };
        Some(match serde_json::from_slice(&body) {
            Ok(list) => LastResponse::Complete(list),
            Err(_) => LastResponse::Partial(PartialList::read(&body)),
        })
    }
}
