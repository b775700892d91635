//! Gossip between balancers: one message per UDP datagram, sent between the addresses in the
//! configuration. The sender is identified by its address. Datagrams from unknown addresses and
//! datagrams that exceed the maximum length are ignored.

use std::net::SocketAddr;

use crate::state::gossip_socket::GossipSocket;
use crate::state::proxy::{Proxy, ProxyState};

#[cfg(test)]
mod tests;

/// Maximum length of a message in bytes, the same as in the simulator's protocol.
const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum number of datagrams received in one loop iteration, so that the iteration stays short.
/// Further datagrams stay in the socket buffer.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;

impl Proxy {
    /// Receives the datagrams in the buffer of the gossip socket.
    pub fn gossip_ready(&mut self) {
        // One additional byte, so that a message that is too long is detected.
        let mut datagram = [0; MAX_MESSAGE_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            let received = {
                let state = self.state.borrow();
                let socket = state.gossip_socket.as_ref();
                socket.map(|socket| socket.socket.recv_from(&mut datagram))
            };
            // An error may refer to an earlier datagram that could not be delivered. Receiving
            // continues in the next loop iteration.
            let Some(Ok((length, from))) = received else {
                return;
            };
            self.receive_gossip(from, &datagram[..length]);
        }
    }

    fn receive_gossip(&mut self, from: SocketAddr, datagram: &[u8]) {
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let sender = state.config.peers.iter().position(|peer| *peer == from);
        let message = std::str::from_utf8(datagram).ok();
        let message = message.filter(|message| message.len() <= MAX_MESSAGE_BYTES);
        let Some((sender, message)) = sender.zip(message) else {
            state.counters.gossip_ignored += 1;
            return;
        };
        state.counters.gossip_received += 1;
        drop(state);
        self.balancer.gossip_received(now, sender, message);
    }
}

impl ProxyState {
    /// Sends a message to one balancer or to all others. It is lost if the network drops it or the
    /// socket buffer is full.
    pub fn send_gossip(&mut self, balancer: Option<usize>, message: &str) {
        let Some(gossip_socket) = &self.gossip_socket else {
            return;
        };
        for (index, peer) in self.config.peers.iter().enumerate() {
            let is_recipient = balancer.is_none_or(|balancer| balancer == index);
            if index == self.config.own_index || !is_recipient {
                continue;
            }
            match gossip_socket.socket.send_to(message.as_bytes(), peer) {
                Ok(_) => self.counters.gossip_sent += 1,
                Err(_) => self.counters.gossip_send_failures += 1,
            }
        }
    }

    /// Replaces the gossip socket with a new one, or closes it if no gossip addresses are
    /// configured.
    pub fn replace_gossip_socket(&mut self, gossip_socket: Option<GossipSocket>) {
        if gossip_socket.is_some() || self.config.peers.is_empty() {
            let previous = std::mem::replace(&mut self.gossip_socket, gossip_socket);
            if let Some(previous) = previous {
                previous.close(&self.handle);
            }
        }
    }
}
