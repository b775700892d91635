//! A relay on each way between two balancers: every datagram passes one, and meets what the day says of that way.

use std::collections::VecDeque;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pinefront_model::network::LinkFault;
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::FaultKind;

use crate::world::{World, locked};

/// Far more than a datagram of the accord.
const LONGEST: usize = 2_048;

/// Datagrams kept for those who send them again.
const KEPT: usize = 512;
/// How often strangers send a burst.
const BURSTS_APART: Duration = Duration::from_millis(5);

#[derive(Default)]
pub struct Relayed {
    pub passed: AtomicU64,
    pub lost: AtomicU64,
    /// Sent by strangers.
    pub flooded: AtomicU64,
    /// What went past, where anybody listens: by whom it was meant to be heard, and the bytes.
    listened: Mutex<VecDeque<(usize, Vec<u8>)>>,
}

/// Relays what comes at a socket from one balancer to another's address, until the runtime ends.
pub fn relay(
    world: &Arc<World>,
    from: usize,
    to: usize,
    socket: UdpSocket,
    address: SocketAddr,
    relayed: &Arc<Relayed>,
) -> std::io::Result<()> {
    let socket = Arc::new(tokio::net::UdpSocket::from_std(socket)?);
    let (world, relayed) = (Arc::clone(world), Arc::clone(relayed));
    let listens = floods(&world).next().is_some();
    let mut chance = RandomSource::split(world.seed, "relay", (from * 1_000 + to) as u64);
    tokio::spawn(async move {
        let mut bytes = [0; LONGEST];
        loop {
            // A report that nobody took an earlier one comes as an error; the next may be a datagram.
            let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
                continue;
            };
            let mut bytes = bytes[..length].to_vec();
            let carried = world
                .timeline()
                .links
                .transmit(from, to, world.now(), &mut chance);
            if carried.copies.is_empty() {
                relayed.lost.fetch_add(1, Ordering::Relaxed);
            }
            carried.corrupt(&mut bytes);
            if listens {
                let mut listened = locked(&relayed.listened);
                listened.push_back((to, bytes.clone()));
                if listened.len() > KEPT {
                    listened.pop_front();
                }
            }
            for delay in carried.copies {
                relayed.passed.fetch_add(1, Ordering::Relaxed);
                if delay == 0 {
                    // Who is not there hears nothing, as on any network.
                    let _ = socket.send_to(&bytes, address).await;
                    continue;
                }
                let (socket, bytes) = (Arc::clone(&socket), bytes.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_micros(delay)).await;
                    let _ = socket.send_to(&bytes, address).await;
                });
            }
        }
    });
    Ok(())
}

fn floods(world: &World) -> impl Iterator<Item = LinkFault> {
    let troubles = world.timeline().links.faults.clone();
    troubles
        .into_iter()
        .filter(|trouble| trouble.kind == FaultKind::LinkFlood)
}

/// Strangers send what the day says to the balancers that it names: a third noise, a third of what went past before, a
/// third of that with a bit turned. Each from a socket of its own, until the runtime ends.
pub fn flood(
    world: &Arc<World>,
    heard_at: &[SocketAddr],
    relayed: &Arc<Relayed>,
) -> std::io::Result<()> {
    for (number, trouble) in floods(world).enumerate() {
        for place in trouble.side.clone() {
            let Some(&address) = heard_at.get(place) else {
                continue;
            };
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            let socket = tokio::net::UdpSocket::from_std(socket)?;
            let (world, relayed, trouble) =
                (Arc::clone(world), Arc::clone(relayed), trouble.clone());
            let mut chance =
                RandomSource::split(world.seed, "flood", (number * 1_000 + place) as u64);
            tokio::spawn(async move {
                let (mut ticks, mut owed) = (tokio::time::interval(BURSTS_APART), 0.0);
                loop {
                    ticks.tick().await;
                    let now = world.now();
                    if now < trouble.from || now >= trouble.to {
                        continue;
                    }
                    owed += trouble.factor * BURSTS_APART.as_secs_f64();
                    while owed >= 1.0 {
                        owed -= 1.0;
                        let bytes = strange(&mut chance, &relayed, place);
                        // A full socket loses it, as it would anybody's.
                        if socket.try_send_to(&bytes, address).is_ok() {
                            relayed.flooded.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
            });
        }
    }
    Ok(())
}

fn strange(chance: &mut RandomSource, relayed: &Relayed, place: usize) -> Vec<u8> {
    let kind = chance.below(3);
    let heard: Option<Vec<u8>> = match kind {
        0 => None,
        _ => {
            let listened = locked(&relayed.listened);
            let meant: Vec<_> = listened.iter().filter(|(to, _)| *to == place).collect();
            (!meant.is_empty()).then(|| meant[chance.below(meant.len())].1.clone())
        }
    };
    let Some(mut bytes) = heard else {
        let length = 1 + chance.below(1_200);
        return (0..length).map(|_| chance.below(256) as u8).collect();
    };
    if kind == 2 {
        let at = chance.below(bytes.len());
        bytes[at] ^= 1 << chance.below(8);
    }
    bytes
}
