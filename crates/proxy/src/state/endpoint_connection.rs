//! A connection to an endpoint and the exchange on it.

use std::net::SocketAddr;

use pinefront_policy::Micros;
use slotmap::Key;

use crate::state::buffers::{ReadBuffer, WriteBuffer};
use crate::state::keys::{EndpointKey, RequestKey};
use crate::state::socket::RegisteredSocket;
use crate::state::timers::TimerKey;

/// An attempt or a health check under way on a connection to an endpoint.
#[derive(Clone, Copy)]
pub struct Exchange {
    /// The request; null for a health check.
    pub request: RequestKey,
    /// The attempt's index in its request.
    pub number: usize,
    /// When the policy started it, in microseconds.
    pub started_at: Micros,
    /// When it times out, in microseconds.
    pub expire_at: Micros,
}

impl Exchange {
    /// Whether it is a health check, which belongs to no request.
    pub fn is_probe(&self) -> bool {
        self.request.is_null()
    }
}

/// The state of one connection to an endpoint.
pub struct EndpointConnection {
    /// The stream in the event loop.
    pub socket: RegisteredSocket,
    /// The endpoint it belongs to.
    pub endpoint: EndpointKey,
    /// The address it leads to; the endpoint may have another one by now.
    pub address: SocketAddr,
    /// The connection is established.
    pub is_connected: bool,
    /// Bytes received and not parsed yet.
    pub read_buffer: ReadBuffer,
    /// Bytes to be sent.
    pub write_buffer: WriteBuffer,
    /// What is under way on it; none while it is idle.
    pub exchange: Option<Exchange>,
    /// Exchanges completed so far.
    pub requests_carried: u64,
    /// When its last response was complete, in microseconds.
    pub last_response_at: Micros,
    /// The connection's timer.
    pub timer: Option<TimerKey>,
}
