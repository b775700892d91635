//! Connections that wait for memory: a message that does not fit into the budget is not read on, so
//! that TCP holds its sender back. Waiting messages are read on in their order as memory is
//! released. While some wait, the slowest senders and readers give up theirs.

use pinefront_policy::Micros;
use slog::info;

use crate::close_reason::CloseReason;
use crate::connections::http_message::MAX_HEAD_BYTES;
use crate::connections::message_body::MessageBody;
use crate::connections::request_error::RequestError;
use crate::state::client_connection::ClientConnection;
use crate::state::keys::{ClientKey, EndpointConnectionKey};
use crate::state::proxy::ProxyState;
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// Time that a message or an unread response may take before its memory can be given to others.
const MIN_HOLD_US: Micros = 500_000;
/// Time between two messages from which memory is taken.
const RECLAIM_INTERVAL_US: Micros = 10_000;

/// Memory that a message needs until it is complete, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryNeed {
    /// Size of its read buffer.
    pub buffer: usize,
    /// Size of all its buffers.
    pub total: usize,
}

impl MemoryNeed {
    /// Returns the need of a message whose head is complete, or else that of the longest head. The
    /// head counts twice: as received, and as forwarded.
    pub fn of_message(body: Option<&MessageBody>) -> Self {
        match body {
            Some(body) => Self {
                buffer: body.buffer_bytes(),
                total: body.buffer_bytes() + body.head_length(),
            },
            None => Self {
                buffer: MAX_HEAD_BYTES,
                total: 2 * MAX_HEAD_BYTES,
            },
        }
    }
}

impl ProxyState {
    /// Reserves memory for a client's message that has filled its read buffer, so that it is read
    /// on. If none is left the message waits; if it could never fit it is rejected.
    pub fn reserve_for_request(&mut self, key: ClientKey) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if client.waits_for_memory {
            return;
        }
        if !client.read_buffer.is_full() {
            if client.may_have_unread_bytes {
                self.read_on(key);
            }
            return;
        }
        let need = client.parser.memory_need();
        if !self.memory.requests.can_ever_hold(need.total) {
            return self.reject(key, RequestError::MemoryLimit);
        }
        if self.memory.waiting_clients.is_empty()
            && client.read_buffer.try_reserve(need.buffer, need.total)
        {
            return self.read_on_with_reservation(key);
        }
        client.waits_for_memory = true;
        client.pause_reading(self.clock.now());
        self.memory.waiting_clients.push_back(key);
        self.counters.requests_paused += 1;
    }

    /// Continues to read a client's message in a later iteration.
    fn read_on(&mut self, key: ClientKey) {
        let now = self.clock.now();
        self.timers.schedule(now, TimerEvent::NextRequest(key));
    }

    /// Continues to read a client's message for which memory was reserved.
    fn read_on_with_reservation(&mut self, key: ClientKey) {
        let now = self.clock.now();
        if let Some(client) = self.clients.get_mut(key) {
            client.waits_for_memory = false;
            client.reserved_at = now;
        }
        self.read_on(key);
    }

    /// Reserves memory for an incomplete response that has filled its read buffer. If none is left
    /// the response waits. Returns false if it could never fit.
    pub fn reserve_for_response(
        &mut self,
        key: EndpointConnectionKey,
        may_have_unread_bytes: bool,
    ) -> bool {
        let Some(connection) = self.endpoint_connections.get_mut(key) else {
            return true;
        };
        if connection.waits_for_memory {
            return true;
        }
        let now = self.clock.now();
        let read_on = TimerEvent::EndpointConnectionReady(key);
        if !connection.read_buffer.is_full() {
            if may_have_unread_bytes {
                self.timers.schedule(now, read_on);
            }
            return true;
        }
        let need = connection.parser.memory_need();
        if !self.memory.responses.can_ever_hold(need.total) {
            return false;
        }
        if self.memory.waiting_endpoints.is_empty()
            && connection.read_buffer.try_reserve(need.buffer, need.total)
        {
            self.timers.schedule(now, read_on);
            return true;
        }
        connection.waits_for_memory = true;
        self.memory.waiting_endpoints.push_back(key);
        self.counters.responses_paused += 1;
        true
    }

    /// Resumes messages for which there is memory now, and takes memory from the slowest holder if
    /// others still wait.
    pub fn resume_waiting_messages(&mut self) {
        self.resume_waiting_clients();
        self.resume_waiting_endpoints();
        let now = self.clock.now();
        let has_waiting =
            !self.memory.waiting_clients.is_empty() || !self.memory.waiting_endpoints.is_empty();
        if !has_waiting || now < self.memory.next_reclaim_at {
            return;
        }
        self.memory.next_reclaim_at = now + RECLAIM_INTERVAL_US;
        if !self.memory.waiting_clients.is_empty() {
            self.reject_slowest_sender(now);
        }
        if !self.memory.waiting_endpoints.is_empty() {
            self.close_slowest_reader(now);
        }
    }

    fn resume_waiting_clients(&mut self) {
        while let Some(key) = self.memory.waiting_clients.front().copied() {
            let waiting = self.clients.get_mut(key);
            let waiting = waiting.filter(|client| client.waits_for_memory);
            if let Some(client) = waiting {
                let need = client.parser.memory_need();
                if !client.read_buffer.try_reserve(need.buffer, need.total) {
                    return;
                }
                self.read_on_with_reservation(key);
            }
            self.memory.waiting_clients.pop_front();
        }
    }

    fn resume_waiting_endpoints(&mut self) {
        let now = self.clock.now();
        while let Some(key) = self.memory.waiting_endpoints.front().copied() {
            if let Some(connection) = self.endpoint_connections.get_mut(key) {
                let need = connection.parser.memory_need();
                if !connection.read_buffer.try_reserve(need.buffer, need.total) {
                    return;
                }
                connection.waits_for_memory = false;
                self.timers
                    .schedule(now, TimerEvent::EndpointConnectionReady(key));
            }
            self.memory.waiting_endpoints.pop_front();
        }
    }

    /// Rejects the incomplete request that has received the fewest bytes for the time that it has
    /// held its memory.
    fn reject_slowest_sender(&mut self, now: Micros) {
        let held_for = |client: &ClientConnection| now.saturating_sub(client.reserved_at);
        let holders = self.clients.iter().filter(|(_, client)| {
            client.request.is_none()
                && client.read_buffer.has_reservation()
                && held_for(client) >= MIN_HOLD_US
        });
        let slowest = holders.min_by(|(_, one), (_, other)| {
            let rate = |client: &ClientConnection| {
                client.read_buffer.bytes().len() as f64 / held_for(client) as f64
            };
            rate(one).total_cmp(&rate(other))
        });
        let Some((key, client)) = slowest else {
            return;
        };
        info!(self.log, "incomplete request gives up its memory"; "peer" => %client.peer,
            "received" => client.read_buffer.bytes().len(),
            "reserved" => client.read_buffer.charged_bytes());
        self.counters.requests_evicted_for_memory += 1;
        self.reject(key, RequestError::MemoryLimit);
    }

    /// Closes the connection of the client that has left a response unread for longest.
    fn close_slowest_reader(&mut self, now: Micros) {
        let readers = self.clients.iter().filter(|(_, client)| {
            !client.write_buffer.is_empty() && now >= client.waiting_since + MIN_HOLD_US
        });
        let slowest = readers.min_by_key(|(_, client)| client.waiting_since);
        if let Some((key, _)) = slowest {
            self.counters.responses_evicted_for_memory += 1;
            self.close_client(key, CloseReason::SlowReader);
        }
    }
}
