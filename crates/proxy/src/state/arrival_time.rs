//! Arrival times of bytes as the kernel recorded them. They show which of two requests
//! arrived first even if both waited in their sockets while this process was busy or suspended.

use std::cmp::Ordering;
use std::io::{self, IoSliceMut};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;

use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt};
use nix::sys::time::TimeSpec;

#[cfg(test)]
mod tests;

/// When bytes arrived, by the wall clock of the machine. Arrivals that the kernel did not record
/// count as later than those that it recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArrivalTime(Option<TimeSpec>);

impl Ord for ArrivalTime {
    fn cmp(&self, other: &Self) -> Ordering {
        match (&self.0, &other.0) {
            (Some(one), Some(other)) => one.cmp(other),
            (one, other) => other.is_some().cmp(&one.is_some()),
        }
    }
}

impl PartialOrd for ArrivalTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl From<Option<TimeSpec>> for ArrivalTime {
    fn from(recorded: Option<TimeSpec>) -> Self {
        Self(recorded)
    }
}

/// Bytes read from a socket.
#[derive(Clone, Copy, Debug)]
pub struct Received {
    /// Number of bytes; 0 at the end of the stream.
    pub count: usize,
    /// Arrival time of the last of them.
    pub arrived_at: ArrivalTime,
}

/// Makes the kernel record when bytes arrive on the connections that a listener accepts, those in
/// its backlog included.
///
/// # Errors
///
/// Fails when the system does not record arrival times.
pub fn record_arrival_times(listener: &TcpListener) -> io::Result<()> {
    Ok(setsockopt(listener, ReceiveTimestampns, &true)?)
}

/// Reads bytes, and when the last of them arrived.
///
/// # Errors
///
/// Fails when the socket holds no bytes or its connection is lost.
pub fn receive(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<Received> {
    let mut slices = [IoSliceMut::new(buffer)];
    let mut control = nix::cmsg_space!(TimeSpec);
    let descriptor = stream.as_raw_fd();
    let message = recvmsg::<()>(
        descriptor,
        &mut slices,
        Some(&mut control),
        MsgFlags::empty(),
    )?;
    let recorded = message.cmsgs().ok().into_iter().flatten();
    let recorded = recorded.filter_map(|control| match control {
        ControlMessageOwned::ScmTimestampns(time) => Some(time),
        _ => None,
    });
    Ok(Received {
        count: message.bytes,
        arrived_at: ArrivalTime(recorded.last()),
    })
}
