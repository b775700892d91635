//! Closing of client connections to make room for new ones. A connection that has been served keeps
//! its place for its idle time: a newcomer has not shown yet that it sends requests.

use pinefront_policy::Micros;

use crate::close_reason::CloseReason;
use crate::connections::client_lifetime::MIN_IDLE_US;
use crate::state::client_connection::ClientConnection;
use crate::state::keys::ClientKey;
use crate::state::proxy::ProxyState;

#[cfg(test)]
pub mod tests;

/// Time for which a client that has just connected or is in the middle of a request may be silent.
const SILENCE_GRACE_US: Micros = 1_000_000;
/// Divisor of the connection limit for connections that have sent no request yet. Beyond this part,
/// they are closed for each other.
const NEWCOMER_DIVISOR: usize = 2;

/// How readily a connection is closed. Those with smaller values are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reluctance {
    /// No request is read from it any more.
    Closing,
    /// It has not completed a request for longer than the grace time.
    Stalled,
    /// It has been idle between requests for longer than the allowed time.
    Idle,
    /// It has not sent a request yet, and too many others have not either.
    Newcomer,
}

impl ProxyState {
    /// Closes a client connection to make room. Returns whether one could be closed.
    pub fn evict_client(&mut self) -> bool {
        let Some(key) = self.client_to_evict() else {
            return false;
        };
        // A rejection that is due later is sent before the connection is closed.
        self.send_pending_rejection(key);
        self.close_client(key, CloseReason::Evicted);
        true
    }

    /// Returns the client to evict. Of several that are closed equally readily, it is the one that
    /// has sent the least and has waited longest.
    fn client_to_evict(&self) -> Option<ClientKey> {
        let now = self.clock.now();
        let newcomers = self.clients.values().filter(|client| is_newcomer(client));
        let has_too_many_newcomers =
            newcomers.count() > self.config.max_client_connections / NEWCOMER_DIVISOR;
        let mut candidates: Vec<_> = self
            .clients
            .iter()
            .filter_map(|(key, client)| {
                let reluctance = reluctance(client, now, has_too_many_newcomers)?;
                let received = match reluctance {
                    Reluctance::Newcomer => client.read_buffer.bytes().len(),
                    _ => 0,
                };
                Some((reluctance, received, client.waiting_since, key))
            })
            .collect();
        candidates.sort_unstable_by_key(|(reluctance, received, since, _)| {
            (*reluctance, *received, *since)
        });
        candidates
            .into_iter()
            .find(|(reluctance, _, _, key)| {
                *reluctance == Reluctance::Closing || !has_bytes_in_socket(&self.clients[*key])
            })
            .map(|(_, _, _, key)| key)
    }
}

/// Whether no complete request was received on the connection.
fn is_newcomer(client: &ClientConnection) -> bool {
    client.requests_received == 0 && client.responses_sent == 0
}

fn reluctance(
    client: &ClientConnection,
    now: Micros,
    has_too_many_newcomers: bool,
) -> Option<Reluctance> {
    if client.is_closing() {
        return Some(Reluctance::Closing);
    }
    if client.awaits_response() || client.has_unparsed_bytes() {
        return None;
    }
    let silent_for = now.saturating_sub(client.waiting_since);
    let expects_request_bytes = is_newcomer(client) || !client.read_buffer.bytes().is_empty();
    if expects_request_bytes && silent_for >= SILENCE_GRACE_US {
        Some(Reluctance::Stalled)
    } else if !expects_request_bytes && silent_for >= MIN_IDLE_US {
        Some(Reluctance::Idle)
    } else if is_newcomer(client) && has_too_many_newcomers {
        Some(Reluctance::Newcomer)
    } else {
        None
    }
}

/// Whether the socket holds unread bytes, which may be a complete request.
fn has_bytes_in_socket(client: &ClientConnection) -> bool {
    let peeked = client.socket.stream.peek(&mut [0]);
    peeked.is_ok_and(|count| count > 0)
}
