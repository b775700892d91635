//! Relays between balancers: every datagram passes through one, which applies the faults of that
//! network link; and datagrams sent from outside the fleet.

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

/// Far more than the longest datagram of a balancer.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// The longest random datagram sent from outside.
const MAX_NOISE_BYTES: usize = 1_200;
/// How many datagrams are recorded for replay.
const MAX_RECORDED_DATAGRAMS: usize = 512;
/// How often bursts from outside are sent.
const BURST_INTERVAL: Duration = Duration::from_millis(5);

/// A datagram that passed a relay.
struct RecordedDatagram {
    to: usize,
    bytes: Vec<u8>,
}

/// What all relays have done.
#[derive(Default)]
pub struct Relayed {
    /// Datagrams passed on.
    pub passed: AtomicU64,
    /// Datagrams lost.
    pub lost: AtomicU64,
    /// Datagrams sent from outside.
    pub flooded: AtomicU64,
    /// The last datagrams, where any are replayed from outside.
    recorded: Mutex<VecDeque<RecordedDatagram>>,
}

impl Relayed {
    fn record(&self, to: usize, bytes: &[u8]) {
        let bytes = bytes.to_vec();
        let mut recorded = locked(&self.recorded);
        recorded.push_back(RecordedDatagram { to, bytes });
        if recorded.len() > MAX_RECORDED_DATAGRAMS {
            recorded.pop_front();
        }
    }

    /// A random recorded datagram to that balancer.
    fn random_recorded(&self, random: &mut RandomSource, to: usize) -> Option<Vec<u8>> {
        let recorded = locked(&self.recorded);
        let matching: Vec<_> = recorded.iter().filter(|one| one.to == to).collect();
        (!matching.is_empty()).then(|| matching[random.below(matching.len())].bytes.clone())
    }
}

/// The relay of one link.
struct Relay {
    world: Arc<World>,
    from: usize,
    to: usize,
    address: SocketAddr,
    socket: Arc<tokio::net::UdpSocket>,
    relayed: Arc<Relayed>,
    random: RandomSource,
    records: bool,
}

/// Relays what arrives at a socket from one balancer to another's address, until the runtime ends.
pub fn relay(
    world: &Arc<World>,
    from: usize,
    to: usize,
    socket: UdpSocket,
    address: SocketAddr,
    relayed: &Arc<Relayed>,
) -> io::Result<()> {
    let mut relay = Relay {
        world: Arc::clone(world),
        from,
        to,
        address,
        socket: Arc::new(tokio::net::UdpSocket::from_std(socket)?),
        relayed: Arc::clone(relayed),
        random: RandomSource::split(world.seed, "relay", (from * 1_000 + to) as u64),
        records: floods(world).next().is_some(),
    };
    tokio::spawn(async move {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram was refused; the next may be a datagram.
            if let Ok((length, _)) = relay.socket.recv_from(&mut bytes).await {
                relay.pass_on(bytes[..length].to_vec()).await;
            }
        }
    });
    Ok(())
}

impl Relay {
    /// Passes a datagram on as the faults of the link allow.
    async fn pass_on(&mut self, mut bytes: Vec<u8>) {
        let transmission = self.world.timeline().links.transmit(
            self.from,
            self.to,
            self.world.now(),
            &mut self.random,
        );
        if transmission.copies.is_empty() {
            self.relayed.lost.fetch_add(1, Ordering::Relaxed);
        }
        transmission.corrupt(&mut bytes);
        if self.records {
            self.relayed.record(self.to, &bytes);
        }
        for delay in transmission.copies {
            self.relayed.passed.fetch_add(1, Ordering::Relaxed);
            let address = self.address;
            if delay == 0 {
                // A balancer that does not run receives nothing.
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

fn floods(world: &World) -> impl Iterator<Item = LinkFault> {
    let faults = world.timeline().links.faults.clone();
    faults
        .into_iter()
        .filter(|fault| fault.kind == FaultKind::LinkFlood)
}

/// Sends datagrams from outside to the balancers that the scenario names, each from a socket of its
/// own, until the runtime ends: a third random bytes, a third replayed ones, a third replayed ones
/// with a flipped bit.
pub fn flood(
    world: &Arc<World>,
    addresses: &[SocketAddr],
    relayed: &Arc<Relayed>,
) -> io::Result<()> {
    for (number, fault) in floods(world).enumerate() {
        for &balancer in &fault.balancers {
            let Some(&address) = addresses.get(balancer) else {
                continue;
            };
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            let stream = (number * 1_000 + balancer) as u64;
            let source = FloodSource {
                world: Arc::clone(world),
                relayed: Arc::clone(relayed),
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

/// A sender from outside.
struct FloodSource {
    world: Arc<World>,
    relayed: Arc<Relayed>,
    socket: tokio::net::UdpSocket,
    balancer: usize,
    address: SocketAddr,
    random: RandomSource,
}

impl FloodSource {
    async fn run(mut self, fault: LinkFault) {
        let mut ticks = tokio::time::interval(BURST_INTERVAL);
        let mut allowance = 0.0;
        loop {
            ticks.tick().await;
            let now = self.world.now();
            if now < fault.from || now >= fault.to {
                continue;
            }
            allowance += fault.factor * BURST_INTERVAL.as_secs_f64();
            while allowance >= 1.0 {
                allowance -= 1.0;
                let bytes = self.next_datagram();
                // A full socket loses it, as it would any datagram.
                if self.socket.try_send_to(&bytes, self.address).is_ok() {
                    self.relayed.flooded.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    fn next_datagram(&mut self) -> Vec<u8> {
        const NOISE: usize = 0;
        const CORRUPTED: usize = 2;
        let random = &mut self.random;
        let kind = random.below(3);
        let recorded = match kind {
            NOISE => None,
            _ => self.relayed.random_recorded(random, self.balancer),
        };
        let Some(mut bytes) = recorded else {
            let length = 1 + random.below(MAX_NOISE_BYTES);
            return (0..length).map(|_| random.below(256) as u8).collect();
        };
        if kind == CORRUPTED {
            let index = random.below(bytes.len());
            bytes[index] ^= 1 << random.below(8);
        }
        bytes
    }
}
