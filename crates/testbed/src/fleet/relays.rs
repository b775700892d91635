//! Relays between balancers, and datagrams sent from outside the fleet. Every datagram between two
//! balancers passes through the relay of their network link, which applies the faults of the link.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pinefront_model::network::LinkFault;
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::FaultKind;

use crate::world::{World, locked};

/// Size of the receive buffer, far more than the longest datagram of a balancer.
const RECEIVE_BUFFER_BYTES: usize = 2_048;
/// The length of the longest random datagram sent from outside.
const MAX_RANDOM_DATAGRAM_BYTES: usize = 1_200;
/// The largest number of datagrams that are recorded for replay.
const MAX_RECORDED_DATAGRAMS: usize = 512;
/// Interval between two bursts of datagrams from outside.
const BURST_INTERVAL: Duration = Duration::from_millis(5);

/// A datagram that passed through a relay.
struct RecordedDatagram {
    to: usize,
    bytes: Vec<u8>,
}

/// The counters and the recorded datagrams of all relays.
#[derive(Default)]
pub struct RelayState {
    /// Number of datagrams that relays forwarded.
    pub forwarded: AtomicU64,
    /// Number of datagrams that relays dropped.
    pub dropped: AtomicU64,
    /// Number of datagrams sent from outside the fleet.
    pub flood_sent: AtomicU64,
    /// The latest datagrams, if the scenario replays datagrams from outside.
    recorded: Mutex<VecDeque<RecordedDatagram>>,
}

impl RelayState {
    /// Records a datagram to a balancer for replay.
    fn record(&self, to: usize, bytes: &[u8]) {
        let bytes = bytes.to_vec();
        let mut recorded = locked(&self.recorded);
        recorded.push_back(RecordedDatagram { to, bytes });
        if recorded.len() > MAX_RECORDED_DATAGRAMS {
            recorded.pop_front();
        }
    }

    /// Returns a random one of the recorded datagrams to a balancer.
    fn random_recorded(&self, random: &mut RandomSource, to: usize) -> Option<Vec<u8>> {
        let recorded = locked(&self.recorded);
        let matching: Vec<_> = recorded
            .iter()
            .filter(|datagram| datagram.to == to)
            .collect();
        (!matching.is_empty()).then(|| matching[random.below(matching.len())].bytes.clone())
    }
}

/// The relay of the link from one balancer to another.
struct Relay {
    world: Arc<World>,
    from: usize,
    to: usize,
    /// The address of the receiver.
    address: SocketAddr,
    socket: Arc<tokio::net::UdpSocket>,
    state: Arc<RelayState>,
    random: RandomSource,
    /// Whether datagrams are recorded for replay.
    is_recording: bool,
}

/// Forwards the datagrams that arrive at `socket` to `address`, the address of the receiver, until
/// the runtime ends.
pub fn start_relay(
    world: &Arc<World>,
    from: usize,
    to: usize,
    socket: UdpSocket,
    address: SocketAddr,
    state: &Arc<RelayState>,
) -> io::Result<()> {
    let mut relay = Relay {
        world: Arc::clone(world),
        from,
        to,
        address,
        socket: Arc::new(tokio::net::UdpSocket::from_std(socket)?),
        state: Arc::clone(state),
        random: RandomSource::split(world.seed, "relay", (from * 1_000 + to) as u64),
        is_recording: flood_faults(world).next().is_some(),
    };
    tokio::spawn(async move {
        let mut bytes = [0; RECEIVE_BUFFER_BYTES];
        loop {
            // An error means that the receiver refused an earlier datagram. The relay can still
            // receive further datagrams.
            if let Ok((length, _)) = relay.socket.recv_from(&mut bytes).await {
                relay.forward(bytes[..length].to_vec()).await;
            }
        }
    });
    Ok(())
}

impl Relay {
    /// Forwards a datagram subject to the faults of the link.
    async fn forward(&mut self, mut bytes: Vec<u8>) {
        let transmission = self.world.timeline().links.transmit(
            self.from,
            self.to,
            self.world.now(),
            &mut self.random,
        );
        if transmission.copies.is_empty() {
            self.state.dropped.fetch_add(1, Ordering::Relaxed);
        }
        transmission.corrupt(&mut bytes);
        if self.is_recording {
            self.state.record(self.to, &bytes);
        }
        for delay in transmission.copies {
            self.state.forwarded.fetch_add(1, Ordering::Relaxed);
            let address = self.address;
            if delay == 0 {
                // Sending fails if the balancer does not run; the datagram is then lost.
                let _ = self.socket.send_to(&bytes, address).await;
                continue;
            }
            let socket = Arc::clone(&self.socket);
            let bytes = bytes.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_micros(delay)).await;
                let _ = socket.send_to(&bytes, address).await;
            });
        }
    }
}

/// Returns the faults that send datagrams from outside.
fn flood_faults(world: &World) -> impl Iterator<Item = LinkFault> {
    let faults = world.timeline().links.faults.clone();
    faults
        .into_iter()
        .filter(|fault| fault.kind == FaultKind::LinkFlood)
}

/// Sends datagrams from outside to the balancers that the scenario names, with one socket for each
/// balancer, until the runtime ends. One third of the datagrams are random bytes, one third are
/// replayed datagrams, and one third are replayed datagrams with a flipped bit.
pub fn start_flood(
    world: &Arc<World>,
    addresses: &[SocketAddr],
    state: &Arc<RelayState>,
) -> io::Result<()> {
    for (number, fault) in flood_faults(world).enumerate() {
        for &balancer in &fault.balancers {
            let Some(&address) = addresses.get(balancer) else {
                continue;
            };
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            let stream = (number * 1_000 + balancer) as u64;
            let source = FloodSource {
                world: Arc::clone(world),
                state: Arc::clone(state),
                socket: tokio::net::UdpSocket::from_std(socket)?,
                balancer,
                address,
                random: RandomSource::split(world.seed, "flood", stream),
            };
            tokio::spawn(source.run(fault.clone()));
        }
    }
    Ok(())
}

/// A sender of datagrams from outside to one balancer.
struct FloodSource {
    world: Arc<World>,
    state: Arc<RelayState>,
    socket: tokio::net::UdpSocket,
    balancer: usize,
    address: SocketAddr,
    random: RandomSource,
}

impl FloodSource {
    /// Sends datagrams for as long as the fault lasts, `fault.factor` datagrams per second.
    async fn run(mut self, fault: LinkFault) {
        let mut bursts = tokio::time::interval(BURST_INTERVAL);
        let mut allowance = 0.0;
        loop {
            bursts.tick().await;
            let now = self.world.now();
            if now < fault.from || now >= fault.to {
                continue;
            }
            allowance += fault.factor * BURST_INTERVAL.as_secs_f64();
            while allowance >= 1.0 {
                allowance -= 1.0;
                let bytes = self.next_datagram();
                // If the socket buffer is full, the datagram is lost, as any datagram may be.
                if self.socket.try_send_to(&bytes, self.address).is_ok() {
                    self.state.flood_sent.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    /// Returns the next datagram: random bytes, or a recorded datagram with or without a flipped
    /// bit. Returns random bytes if no datagram was recorded.
    fn next_datagram(&mut self) -> Vec<u8> {
        const RANDOM_BYTES: usize = 0;
        const CORRUPTED_REPLAY: usize = 2;
        let random = &mut self.random;
        let kind = random.below(3);
        let recorded = match kind {
            RANDOM_BYTES => None,
            _ => self.state.random_recorded(random, self.balancer),
        };
        let Some(mut bytes) = recorded else {
            let length = 1 + random.below(MAX_RANDOM_DATAGRAM_BYTES);
            return (0..length).map(|_| random.below(256) as u8).collect();
        };
        if kind == CORRUPTED_REPLAY {
            let index = random.below(bytes.len());
            bytes[index] ^= 1 << random.below(8);
        }
        bytes
    }
}
