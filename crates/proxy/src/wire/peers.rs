//! What balancers tell one another: a datagram for each word, by UDP between the addresses in the configuration. The
//! sender is known by its address; what comes from elsewhere, or is longer than the settings allow, is passed over.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};

use crate::life::serve::Node;
use crate::memory::desk::Desk;

#[cfg(test)]
mod tests;

/// Bytes of a word at most, as on the simulator's wire.
const WORD_MOST: usize = 256;
/// Words taken in one turn: others wait in the socket, or the turn would be long.
const WORDS_A_TURN: usize = 64;

/// Where this balancer hears the others.
pub struct Ear {
    socket: Rc<UdpSocket>,
    address: SocketAddr,
    token: RegistrationToken,
}

impl Ear {
    pub fn open(handle: &LoopHandle<'static, Node>, address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Level);
        let token = handle.insert_source(source, |_, _, node: &mut Node| {
            node.words_came();
            Ok(PostAction::Continue)
        });
        Ok(Self {
            socket,
            address,
            token: token.map_err(|problem| io::Error::other(problem.error))?,
        })
    }

    pub fn close(self, handle: &LoopHandle<'static, Node>) {
        handle.remove(self.token);
    }

    /// A new ear for an address, where this one does not stand there already.
    pub fn moved(
        ear: Option<&Self>,
        handle: &LoopHandle<'static, Node>,
        address: Option<SocketAddr>,
    ) -> io::Result<Option<Self>> {
        match (ear, address) {
            (Some(ear), Some(address)) if ear.address == address => Ok(None),
            (_, Some(address)) => Self::open(handle, address).map(Some),
            (_, None) => Ok(None),
        }
    }
}

impl Node {
    fn words_came(&mut self) {
        for _ in 0..WORDS_A_TURN {
            let mut word = [0; WORD_MOST + 1];
            let mut desk = self.desk.borrow_mut();
            let now = desk.now();
            // A report of an earlier send that nobody took comes as an error here; the next turn goes on.
            let Some(Ok((length, from))) =
                desk.ear.as_ref().map(|ear| ear.socket.recv_from(&mut word))
            else {
                return;
            };
            let author = desk.place.peers.iter().position(|peer| *peer == from);
            let told = author.zip(
                word.get(..length.min(WORD_MOST))
                    .and_then(|word| str::from_utf8(word).ok()),
            );
            match told.filter(|_| length <= WORD_MOST) {
                Some((author, text)) => {
                    desk.counters.words_heard += 1;
                    drop(desk);
                    self.balancer.gossip_received(now, author, text);
                }
                None => desk.counters.words_passed_over += 1,
            }
        }
    }
}

impl Desk {
    /// Words may be lost, and a full socket loses one as well as the network does.
    pub fn tell(&mut self, balancer: Option<usize>, word: &str) {
        let Some(ear) = &self.ear else { return };
        let own = self.place.own_index;
        let all = self.place.peers.iter().enumerate();
        for (_, peer) in
            all.filter(|(n, _)| *n != own && balancer.is_none_or(|balancer| balancer == *n))
        {
            match ear.socket.send_to(word.as_bytes(), peer) {
                Ok(_) => self.counters.words_told += 1,
                Err(_) => self.counters.words_untold += 1,
            }
        }
    }

    /// Takes the new ear in place of the old, or none where there are no others to hear.
    pub fn hear_at(&mut self, ear: Option<Ear>) {
        if ear.is_some() || self.place.peers.is_empty() {
            let old = std::mem::replace(&mut self.ear, ear);
            old.into_iter().for_each(|old| old.close(&self.handle));
        }
    }
}
