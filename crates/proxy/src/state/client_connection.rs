//! The state of a client connection.

use std::net::SocketAddr;
use std::sync::Arc;

use pinefront_policy::Micros;

use crate::close_reason::CloseReason;
use crate::connections::request_error::RequestError;
use crate::connections::request_parser::RequestParser;
use crate::state::buffers::{ReadBuffer, WriteBuffer};
use crate::state::keys::RequestKey;
use crate::state::memory::MemoryPool;
use crate::state::socket::RegisteredSocket;
use crate::state::timers::TimerKey;

/// Maximum number of bytes read ahead while a request is in flight or its response is not fully
/// read by the client. It is enough to notice a disconnect and too small to buffer a second message
/// besides the first.
pub const READ_AHEAD_BYTES: usize = 1024;

/// What a client connection is doing, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStage {
    /// No message has begun.
    Idle,
    /// Part of a message was received.
    ReceivingRequest,
    /// The rest of a message is not read before there is memory for it.
    WaitingForMemory,
    /// A request has no final response yet.
    RequestInFlight,
    /// The client has not read the whole response.
    ResponseUnread,
    /// A message was rejected, and the response is delayed.
    RejectionDue,
    /// The last response was sent.
    Lingering,
}

impl ConnectionStage {
    /// Returns the code that is written to the log.
    pub fn code(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::ReceivingRequest => "receiving_request",
            Self::WaitingForMemory => "waiting_for_memory",
            Self::RequestInFlight => "request_in_flight",
            Self::ResponseUnread => "response_unread",
            Self::RejectionDue => "rejection_due",
            Self::Lingering => "lingering",
        }
    }
}

/// The state of one client connection.
pub struct ClientConnection {
    /// The stream and its registration in the event loop.
    pub socket: RegisteredSocket,
    /// The client's address.
    pub peer: SocketAddr,
    /// Bytes received and not parsed yet.
    pub read_buffer: ReadBuffer,
    /// Parser of the message at the front of the read buffer.
    pub parser: RequestParser,
    /// The rejection that is sent when its time has come. Nothing more is read until then.
    pub pending_rejection: Option<RequestError>,
    /// Number of messages that were rejected since the last request.
    pub consecutive_rejections: u32,
    /// Whether reading is paused, after a rejection or because too much was discarded.
    pub is_read_paused: bool,
    /// Since when bytes may have waited unread because reading was paused, in microseconds.
    pub unread_since: Option<Micros>,
    /// Whether the socket may hold more bytes than were read.
    pub may_have_unread_bytes: bool,
    /// Whether reading is paused until there is memory for the message.
    pub waits_for_memory: bool,
    /// When memory was last reserved for a message, in microseconds.
    pub reserved_at: Micros,
    /// Bytes to be sent.
    pub write_buffer: WriteBuffer,
    /// The request in flight, if there is one.
    pub request: Option<RequestKey>,
    /// Whether the client requested that the connection be closed after this response.
    pub closes_after_response: bool,
    /// Number of responses written so far.
    pub responses_sent: u64,
    /// When the connection was accepted, in microseconds.
    pub accepted_at: Micros,
    /// Time for which the connection may have waited in the backlog while the process was busy or
    /// not scheduled, in microseconds.
    pub backlog_wait: Micros,
    /// Number of requests received so far.
    pub requests_received: u64,
    /// An incomplete request at the front of the read buffer.
    pub partial_request: Option<PartialRequest>,
    /// Number of bytes discarded since the write side was shut down.
    pub discarded_bytes: usize,
    /// Reason for closing the connection once all bytes are written.
    pub close_reason: Option<CloseReason>,
    /// Whether the write side is shut down. Bytes that the client still sends are discarded:
    /// closing a socket with unread bytes would reset the connection and lose the end of the last
    /// response.
    pub is_lingering: bool,
    /// When the current wait began, in microseconds.
    pub waiting_since: Micros,
    /// Whether `100 Continue` was sent for the request that is being received.
    pub has_sent_continue: bool,
    /// The connection's timer.
    pub timer: Option<TimerKey>,
}

/// An incomplete request, as of the last read.
#[derive(Clone, Copy)]
pub struct PartialRequest {
    /// Number of bytes received so far.
    pub length: usize,
    /// When its first bytes were read, in microseconds.
    pub started_at: Micros,
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted at `accepted_at` and may have waited in
    /// the backlog for `backlog_wait`, both in microseconds. Its messages are charged to `memory`.
    pub fn new(
        socket: RegisteredSocket,
        peer: SocketAddr,
        accepted_at: Micros,
        backlog_wait: Micros,
        memory: &Arc<MemoryPool>,
    ) -> Self {
        Self {
            socket,
            peer,
            read_buffer: ReadBuffer::new(memory),
            parser: RequestParser::default(),
            pending_rejection: None,
            consecutive_rejections: 0,
            is_read_paused: false,
            unread_since: None,
            may_have_unread_bytes: false,
            waits_for_memory: false,
            reserved_at: 0,
            write_buffer: WriteBuffer::default(),
            request: None,
            closes_after_response: false,
            responses_sent: 0,
            accepted_at,
            backlog_wait,
            requests_received: 0,
            partial_request: None,
            discarded_bytes: 0,
            close_reason: None,
            is_lingering: false,
            waiting_since: 0,
            has_sent_continue: false,
            timer: None,
        }
    }

    /// Whether the client waits for a response or for the rest of one.
    pub fn awaits_response(&self) -> bool {
        self.request.is_some() || !self.write_buffer.is_empty()
    }

    /// What the connection is doing.
    pub fn stage(&self) -> ConnectionStage {
        if self.is_lingering {
            ConnectionStage::Lingering
        } else if self.pending_rejection.is_some() {
            ConnectionStage::RejectionDue
        } else if self.request.is_some() {
            ConnectionStage::RequestInFlight
        } else if !self.write_buffer.is_empty() {
            ConnectionStage::ResponseUnread
        } else if self.waits_for_memory {
            ConnectionStage::WaitingForMemory
        } else if !self.read_buffer.bytes().is_empty() {
            ConnectionStage::ReceivingRequest
        } else {
            ConnectionStage::Idle
        }
    }

    /// Records that reading is paused at `now`, in microseconds.
    pub fn pause_reading(&mut self, now: Micros) {
        self.unread_since.get_or_insert(now);
    }

    /// Returns the time for which a message that was just taken may have waited unread because
    /// reading was paused, in microseconds. Messages behind it may have waited for as long.
    pub fn take_unread_time(&mut self, now: Micros) -> Micros {
        let waited = self
            .unread_since
            .map_or(0, |since| now.saturating_sub(since));
        if self.read_buffer.bytes().is_empty() && !self.may_have_unread_bytes {
            self.unread_since = None;
        }
        waited
    }

    /// Whether no further request is read from the connection, and it is about to be closed.
    pub fn is_closing(&self) -> bool {
        self.is_lingering || self.pending_rejection.is_some()
    }

    /// Whether bytes were received that are not parsed yet; they may hold a complete request.
    pub fn has_unparsed_bytes(&self) -> bool {
        !self.read_buffer.bytes().is_empty() && self.partial_request.is_none()
    }
}
