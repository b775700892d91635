//! I/O on the connections to discovery: opens them, sends polls, reads responses and closes them.

use bytes::Bytes;
use slog::info;

use crate::close_reason::CloseReason;
use crate::discovery::connection::{DiscoveryConnection, PollProgress};
use crate::discovery::polling_schedule::{ConnectionId, ListQuery, PollFailure};
use crate::state::buffers::ReadBuffer;
use crate::state::proxy::ProxyState;
use crate::state::socket::{RegisteredSocket, connect};

impl ProxyState {
    /// Opens a connection to discovery and puts its first poll into the write buffer.
    ///
    /// # Errors
    ///
    /// Fails when the connection attempt cannot be started or the socket cannot be
    /// registered with the event loop.
    pub fn open_discovery(&mut self, id: ConnectionId, query: ListQuery) -> std::io::Result<()> {
        let stream = connect(self.config.discovery)?;
        let socket =
            RegisteredSocket::new(&self.handle, stream, move |proxy| proxy.discovery_ready(id))?;
        let limit = self.config.memory.list_bytes;
        let read_buffer = ReadBuffer::with_limit(&self.memory.lists, limit);
        let connection = DiscoveryConnection::new(id, socket, read_buffer);
        self.discovery.connections.push(connection);
        self.push_poll(id, query, false);
        Ok(())
    }

    /// Sends a poll on an established connection.
    pub fn send_poll(&mut self, id: ConnectionId, query: ListQuery) {
        self.push_poll(id, query, true);
        if let Some(connection) = self.discovery.connection(id) {
            // A write error is detected when the connection is read in a later loop iteration.
            let _ = connection.write_buffer.flush(&connection.socket.stream);
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

    /// Writes and reads as much as the socket of a connection allows without blocking, and returns
    /// the state of its poll.
    pub fn read_discovery(&mut self, id: ConnectionId) -> PollProgress {
        let now = self.now();
        let discovery = &mut self.discovery;
        let mut connections = discovery.connections.iter_mut();
        let Some(connection) = connections.find(|connection| connection.id == id) else {
            return PollProgress::Pending;
        };
        let was_connected = connection.is_connected;
        let transfer = connection.transfer(&mut self.scratch);
        if !connection.is_connected {
            return if transfer.is_failed() {
                PollProgress::Failed(PollFailure::Unreachable)
            } else {
                PollProgress::Pending
            };
        }
        if !was_connected {
            discovery.schedule.connected(id);
        }
        if discovery.schedule.has_poll_on(id) {
            return connection.read_poll_response(now, &transfer);
        }
        let is_closed = transfer.is_ended() || transfer.has_socket_error;
        if is_closed || !connection.read_buffer.bytes().is_empty() {
            PollProgress::Unsolicited
        } else {
            PollProgress::Pending
        }
    }

    /// Logs the failure of the poll on a connection, if one is in flight.
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
        info!(self.log, "discovery connection closed"; "reason" => reason.code(),
            "connection" => id.0);
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

/// Returns the close reason of a connection whose poll failed.
pub fn close_reason(failure: PollFailure) -> CloseReason {
    match failure {
        PollFailure::Rejected { .. } => CloseReason::DiscoveryError,
        PollFailure::Unreachable => CloseReason::ConnectFailed,
        PollFailure::ConnectionLost => CloseReason::DiscoveryConnectionLost,
        PollFailure::Truncated => CloseReason::DiscoveryTruncated,
        PollFailure::Malformed => CloseReason::MalformedMessage,
    }
}
