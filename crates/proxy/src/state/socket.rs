//! Sockets of the event loop: registration, non-blocking connects and readiness checks.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

/// Registers a socket with the event loop. `ready` is called with the event loop's data on events
/// of the socket.
///
/// # Errors
///
/// Fails when the event loop cannot register the socket.
pub fn register<S: AsFd + 'static, D: 'static>(
    handle: &LoopHandle<'static, D>,
    socket: &Rc<S>,
    interest: Interest,
    mode: Mode,
    ready: impl Fn(&mut D) + 'static,
) -> Result<RegistrationToken, calloop::Error> {
    let source = Generic::new(Rc::clone(socket), interest, mode);
    let inserted = handle.insert_source(source, move |_, _, data: &mut D| {
        ready(data);
        Ok(PostAction::Continue)
    });
    inserted.map_err(|failed| failed.error)
}

/// A stream and its registration in the event loop.
pub struct RegisteredSocket {
    /// The stream, shared with the event source that watches it.
    pub stream: Rc<TcpStream>,
    /// Registration token, used to remove the event source when the connection is closed.
    pub token: RegistrationToken,
}

impl RegisteredSocket {
    /// Registers a stream as edge-triggered. `ready` is called whenever the stream becomes readable
    /// or writable.
    ///
    /// # Errors
    ///
    /// Fails when the event loop cannot register the socket.
    pub fn new<D: 'static>(
        handle: &LoopHandle<'static, D>,
        stream: TcpStream,
        ready: impl Fn(&mut D) + 'static,
    ) -> io::Result<Self> {
        let stream = Rc::new(stream);
        let token = register(handle, &stream, Interest::BOTH, Mode::Edge, ready);
        Ok(Self {
            stream,
            token: token.map_err(io::Error::other)?,
        })
    }
}

/// A listener and its registration in the event loop.
pub struct RegisteredListener {
    /// The listener, shared with the event source that watches it.
    pub listener: Rc<TcpListener>,
    /// Registration token, used to pause, resume and remove the event source.
    pub token: RegistrationToken,
}

impl RegisteredListener {
    /// Registers a listener as level-triggered. `ready` is called while connections are pending in
    /// its backlog.
    ///
    /// # Errors
    ///
    /// Fails when the event loop cannot register the socket.
    pub fn new<D: 'static>(
        handle: &LoopHandle<'static, D>,
        listener: TcpListener,
        ready: impl Fn(&mut D) + 'static,
    ) -> Result<Self, calloop::Error> {
        let listener = Rc::new(listener);
        let token = register(handle, &listener, Interest::READ, Mode::Level, ready)?;
        Ok(Self { listener, token })
    }
}

/// Returns the requested events, and errors, that are pending on a file descriptor, without
/// waiting.
pub fn poll_ready(descriptor: &impl AsFd, events: PollFlags) -> PollFlags {
    const NO_WAIT: Timespec = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let mut fds = [PollFd::new(descriptor, events)];
    match poll(&mut fds, Some(&NO_WAIT)) {
        Ok(_) => fds[0].revents(),
        Err(_) => PollFlags::empty(),
    }
}

/// Whether the peer has closed its side of the connection, even if the end of the stream follows
/// bytes that were not read yet.
pub fn is_hung_up(stream: &TcpStream) -> bool {
    poll_ready(stream, PollFlags::RDHUP)
        .intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

/// Starts a non-blocking connect; a later failure is reported on the socket.
///
/// # Errors
///
/// Fails when the socket cannot be created or the connect cannot be started.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM.nonblocking(),
        Some(Protocol::TCP),
    )?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if Errno::from_io_error(&error) == Some(Errno::INPROGRESS) => {}
        // For any other error, including EAGAIN, no connect was started.
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}
