//! What balancers tell one another: a datagram for each word, by UDP between the addresses in the configuration. The
//! sender is known by its address; what comes from elsewhere, or is longer than the settings allow, is passed over.

use crate::state::gossip_socket::GossipSocket;
use crate::state::proxy::{Proxy, ProxyState};

#[cfg(test)]
mod tests;

/// Bytes of a word at most, as on the simulator's wire.
const WORD_MOST: usize = 256;
/// Words taken in one turn: others wait in the socket, or the turn would be long.
const WORDS_A_TURN: usize = 64;

impl Proxy {
    /// Receives the datagrams that wait on the gossip socket.
    pub fn gossip_ready(&mut self) {
        for _ in 0..WORDS_A_TURN {
            let mut word = [0; WORD_MOST + 1];
            let mut state = self.state.borrow_mut();
            let now = state.now();
            // A report of an earlier send that nobody took comes as an error here; the next turn goes on.
            let Some(Ok((length, from))) = state
                .gossip_socket
                .as_ref()
                .map(|gossip_socket| gossip_socket.socket.recv_from(&mut word))
            else {
                return;
            };
            let author = state.config.peers.iter().position(|peer| *peer == from);
            let told = author.zip(
                word.get(..length.min(WORD_MOST))
                    .and_then(|word| str::from_utf8(word).ok()),
            );
            match told.filter(|_| length <= WORD_MOST) {
                Some((author, text)) => {
                    state.counters.gossip_received += 1;
                    drop(state);
                    self.balancer.gossip_received(now, author, text);
                }
                None => state.counters.gossip_ignored += 1,
            }
        }
    }
}

impl ProxyState {
    /// Words may be lost, and a full socket loses one as well as the network does.
    pub fn send_gossip(&mut self, balancer: Option<usize>, word: &str) {
        let Some(gossip_socket) = &self.gossip_socket else {
            return;
        };
        let own = self.config.own_index;
        let all = self.config.peers.iter().enumerate();
        for (_, peer) in
            all.filter(|(n, _)| *n != own && balancer.is_none_or(|balancer| balancer == *n))
        {
            match gossip_socket.socket.send_to(word.as_bytes(), peer) {
                Ok(_) => self.counters.gossip_sent += 1,
                Err(_) => self.counters.gossip_send_failures += 1,
            }
        }
    }

    /// Takes the new gossip socket instead of the old, or none where there are no others to hear.
    pub fn replace_gossip_socket(&mut self, gossip_socket: Option<GossipSocket>) {
        if gossip_socket.is_some() || self.config.peers.is_empty() {
            let old = std::mem::replace(&mut self.gossip_socket, gossip_socket);
            old.into_iter().for_each(|old| old.close(&self.handle));
        }
    }
}
