//! The datagram socket on which balancers exchange gossip messages.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::{Interest, LoopHandle, Mode, RegistrationToken};

use crate::state::socket::register;

/// The gossip socket of this balancer and its registration in the event loop.
pub struct GossipSocket {
    /// The socket, shared with the event source that watches it.
    pub socket: Rc<UdpSocket>,
    address: SocketAddr,
    token: RegistrationToken,
}

impl GossipSocket {
    /// Binds a socket and registers it. `ready` is called with the event loop's data while
    /// datagrams are pending.
    fn open<D: 'static>(
        handle: &LoopHandle<'static, D>,
        address: SocketAddr,
        ready: impl Fn(&mut D) + 'static,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let token = register(handle, &socket, Interest::READ, Mode::Level, ready);
        Ok(Self {
            socket,
            address,
            token: token.map_err(io::Error::other)?,
        })
    }

    /// Opens a socket at `address`; returns `None` if `current` is already bound to this address or
    /// no address is given.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the socket cannot be registered.
    pub fn open_if_changed<D: 'static>(
        current: Option<&Self>,
        handle: &LoopHandle<'static, D>,
        address: Option<SocketAddr>,
        ready: impl Fn(&mut D) + 'static,
    ) -> io::Result<Option<Self>> {
        match (current, address) {
            (Some(current), Some(address)) if current.address == address => Ok(None),
            (_, Some(address)) => Self::open(handle, address, ready).map(Some),
            (_, None) => Ok(None),
        }
    }

    /// Removes the socket from the event loop and closes it.
    pub fn close<D>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }
}
