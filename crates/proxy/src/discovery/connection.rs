//! Connections to discovery and the responses that are read from them.

use std::io::ErrorKind;

use pinefront_policy::Micros;
use serde_json::Value;

use crate::discovery::partial_list::PartialList;
use crate::discovery::polling_schedule::{ConnectionId, PollFailure};
use crate::discovery::response::{partial_body, read_response};
use crate::state::buffers::{ReadBuffer, ReadOutcome, ScratchBuffer, WriteBuffer};
use crate::state::socket::RegisteredSocket;

/// Delay between the first part of a response and its application, in microseconds. A part has to
/// be applied because it counts as delivered; most responses are complete within the delay and are
/// therefore parsed only once.
const PARTIAL_READ_DELAY_US: Micros = 40_000;

/// A connection to discovery.
pub struct DiscoveryConnection {
    /// Id of the connection in the polling schedule.
    pub id: ConnectionId,
    /// The socket, registered with the event loop.
    pub socket: RegisteredSocket,
    /// Received bytes that are not processed yet.
    pub read_buffer: ReadBuffer,
    /// Bytes that are not written yet.
    pub write_buffer: WriteBuffer,
    /// Whether the connection is established.
    pub is_connected: bool,
    /// When the partial response in the read buffer has to be applied, in microseconds.
    pub partial_read_at: Option<Micros>,
}

/// The state of a poll after its connection was read.
pub enum PollProgress {
    /// The response is incomplete.
    Pending,
    /// A complete response was received.
    Responded {
        /// The endpoint list as JSON text.
        body: Vec<u8>,
        /// Whether the connection can carry another poll.
        keep_alive: bool,
    },
    /// The poll failed.
    Failed(PollFailure),
    /// The connection was closed, or bytes were received, while no poll was in flight.
    Unsolicited,
}

/// A response that is read from a connection before it is closed.
pub enum LastResponse {
    /// A complete list.
    Complete(Value),
    /// The received part of a list.
    Partial(PartialList),
}

/// The result of writing to a socket and reading from it.
pub struct Transfer {
    outcome: ReadOutcome,
    /// Whether the socket reported an error.
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
    /// Creates a connection that is being established.
    pub fn new(id: ConnectionId, socket: RegisteredSocket, read_buffer: ReadBuffer) -> Self {
        Self {
            id,
            socket,
            read_buffer,
            write_buffer: WriteBuffer::default(),
            is_connected: false,
            partial_read_at: None,
        }
    }

    /// Writes and reads as much as the socket allows without blocking, and detects that the
    /// connection is established.
    pub fn transfer(&mut self, scratch: &mut ScratchBuffer) -> Transfer {
        let stream = &self.socket.stream;
        let has_socket_error = stream.take_error().is_ok_and(|error| error.is_some());
        self.is_connected = self.is_connected || stream.peer_addr().is_ok();
        let written = self.write_buffer.flush(stream);
        let outcome = self.read_buffer.fill(stream, scratch);
        Transfer {
            outcome,
            has_socket_error,
            // A connection that is being established is not writable yet.
            write_failed: written.is_err_and(|error| error.kind() != ErrorKind::NotConnected),
        }
    }

    /// Parses the response to the poll in flight on this connection.
    pub fn read_poll_response(&mut self, now: Micros, transfer: &Transfer) -> PollProgress {
        let is_closed = transfer.outcome == ReadOutcome::Closed;
        let has_partial_response = !self.read_buffer.bytes().is_empty();
        match read_response(self.read_buffer.bytes(), is_closed) {
            Ok(Some(response)) => {
                self.partial_read_at = None;
                self.read_buffer.take(response.length);
                PollProgress::Responded {
                    body: response.body,
                    keep_alive: response.keep_alive && !transfer.is_ended(),
                }
            }
            Ok(None) if transfer.is_failed() => PollProgress::Failed(if has_partial_response {
                PollFailure::Truncated
            } else {
                PollFailure::ConnectionLost
            }),
            Ok(None) => {
                if has_partial_response {
                    self.partial_read_at
                        .get_or_insert(now + PARTIAL_READ_DELAY_US);
                }
                PollProgress::Pending
            }
            Err(failure) => PollProgress::Failed(failure),
        }
    }

    /// Returns the received part of the list in the current response.
    pub fn partial_response(&self) -> Option<PartialList> {
        let body = partial_body(self.read_buffer.bytes())?;
        Some(PartialList::read(&body))
    }

    /// Reads the response that may be left on a connection before it is closed.
    pub fn last_response(&mut self, scratch: &mut ScratchBuffer) -> Option<LastResponse> {
        let stream = &self.socket.stream;
        let outcome = self.read_buffer.fill(stream, scratch);
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
