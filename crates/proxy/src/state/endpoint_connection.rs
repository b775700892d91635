//! A connection to an endpoint and the exchange on it.

use std::net::SocketAddr;

use pinefront_policy::Micros;
use slotmap::Key;

use crate::connections::response_parser::ResponseParser;
use crate::state::buffers::{ReadBuffer, WriteBuffer};
use crate::state::keys::{EndpointKey, RequestKey};
use crate::state::socket::RegisteredSocket;
use crate::state::timers::TimerKey;

/// An attempt or a health check that is in progress on a connection to an endpoint.
#[derive(Clone, Copy)]
pub struct Exchange {
    /// The request; null for a health check.
    pub request: RequestKey,
    /// Index of the attempt in its request.
    pub number: usize,
    /// When the policy started the exchange, in microseconds.
    pub started_at: Micros,
    /// When the exchange times out, in microseconds.
    pub expire_at: Micros,
}

impl Exchange {
    /// Whether the exchange is a health check, which belongs to no request.
    pub fn is_probe(&self) -> bool {
        self.request.is_null()
    }
}

/// The state of one connection to an endpoint.
pub struct EndpointConnection {
    /// The stream and its registration in the event loop.
    pub socket: RegisteredSocket,
    /// The endpoint of the connection.
    pub endpoint: EndpointKey,
    /// Remote address of the connection; the current address of the endpoint may be different.
    pub address: SocketAddr,
    /// Whether the connection is established.
    pub is_connected: bool,
    /// Bytes received and not parsed yet.
    pub read_buffer: ReadBuffer,
    /// Parser of the response at the front of the read buffer.
    pub parser: ResponseParser,
    /// Whether reading is paused until there is memory for the response.
    pub waits_for_memory: bool,
    /// Bytes to be sent.
    pub write_buffer: WriteBuffer,
    /// The exchange in progress; `None` while the connection is idle.
    pub exchange: Option<Exchange>,
    /// Number of exchanges completed so far.
    pub requests_carried: u64,
    /// When its last response was complete, in microseconds.
    pub last_response_at: Micros,
    /// The connection's timer.
    pub timer: Option<TimerKey>,
}
