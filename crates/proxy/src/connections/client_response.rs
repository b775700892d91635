//! Responses to clients: forwarded endpoint responses, the balancer's own pages, rejections and
//! errors.

use bytes::Bytes;

use crate::close_reason::CloseReason;
use crate::connections::client_lifetime::TRANSFER_TIMEOUT_US;
use crate::connections::status_code::StatusCode;
use crate::state::keys::{ClientKey, RequestKey};
use crate::state::proxy::{Detach, ProxyState};
use crate::state::timers::TimerEvent;

#[cfg(test)]
mod tests;

/// A response to a client. Its `Content-Length` is computed from the body.
pub struct ClientResponse {
    /// Status code.
    pub status: StatusCode,
    /// Slices of the other header fields, each line including its CRLF.
    pub fields: Vec<Bytes>,
    /// Slices of the body.
    pub body: Vec<Bytes>,
}

impl ClientResponse {
    /// Creates a response without header fields and body.
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            fields: Vec::new(),
            body: Vec::new(),
        }
    }
}

impl ProxyState {
    /// Sends the final response to a request, if its client still waits for one.
    pub fn respond(&mut self, request: RequestKey, response: ClientResponse) {
        let Some(key) = self.detach_client(request, Detach::Answered) else {
            return;
        };
        // Many clients send one request and keep their connection open. Above the threshold, every
        // connection is closed after its response.
        if self.is_over_connection_threshold()
            && let Some(client) = self.clients.get_mut(key)
            && client.read_buffer.bytes().is_empty()
        {
            client
                .close_reason
                .get_or_insert(CloseReason::ConnectionLimit);
        }
        self.write_response(key, response);
    }

    fn is_over_connection_threshold(&self) -> bool {
        self.active_clients > self.config.active_client_threshold
    }

    /// Writes a response to a client connection.
    pub fn write_response(&mut self, key: ClientKey, response: ClientResponse) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // Requests that were read ahead are answered before the shutdown closes the connection.
        if self.is_closing_connections && client.read_buffer.bytes().is_empty() {
            client.close_reason.get_or_insert(CloseReason::Shutdown);
        } else if client.closes_after_response {
            client
                .close_reason
                .get_or_insert(CloseReason::ClientNoKeepAlive);
        }
        let head = response_head(&response, client.close_reason.is_some());
        client.write_buffer.push(Bytes::from(head));
        client.write_buffer.extend(response.fields);
        client.write_buffer.push(Bytes::from_static(b"\r\n"));
        client.write_buffer.extend(response.body);
        client.responses_sent += 1;
        // A lost connection is detected by the next read.
        let _ = client.write_buffer.flush(&client.socket.stream);
        if client.write_buffer.is_empty() {
            self.start_client_idle_wait(key);
        } else {
            self.set_client_timer(key, TRANSFER_TIMEOUT_US);
        }
        self.continue_after_response(key);
    }

    /// Once a response is written, closes the connection if a close is pending, or schedules the
    /// processing of the next request.
    pub fn continue_after_response(&mut self, key: ClientKey) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if client.awaits_response() || client.is_lingering {
            return;
        }
        if let Some(reason) = client.close_reason {
            self.shut_down_client(key, reason);
        } else if !client.is_read_paused
            && (!client.read_buffer.bytes().is_empty() || client.may_have_unread_bytes)
        {
            // The request is processed in a later iteration, as this may run within a call from the
            // policy.
            let now = self.clock.now();
            self.timers.schedule(now, TimerEvent::NextRequest(key));
        }
    }
}

fn response_head(response: &ClientResponse, closes_connection: bool) -> String {
    let status = response.status;
    let length: usize = response.body.iter().map(Bytes::len).sum();
    let connection = if closes_connection {
        "Connection: close\r\n"
    } else {
        ""
    };
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n{connection}",
        status.reason_phrase()
    )
}
