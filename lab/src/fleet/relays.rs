//! A relay on each way between two balancers: every datagram passes one, and meets what the day says of that way.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pinefront_model::chance::Chance;

use crate::world::World;

/// Far more than a datagram of the accord.
const LONGEST: usize = 2_048;

#[derive(Default)]
pub struct Relayed {
    pub passed: AtomicU64,
    pub lost: AtomicU64,
}

/// Relays what comes at a socket from one balancer to another's address, until the runtime ends.
pub fn relay(
    world: &Arc<World>, from: usize, to: usize, socket: UdpSocket, address: SocketAddr,
    relayed: &Arc<Relayed>,
) -> std::io::Result<()> {
    let socket = Arc::new(tokio::net::UdpSocket::from_std(socket)?);
    let (world, relayed) = (Arc::clone(world), Arc::clone(relayed));
    let mut chance = Chance::split(world.seed, "relay", (from * 1_000 + to) as u64);
    tokio::spawn(async move {
        let mut bytes = [0; LONGEST];
        loop {
            // A report that nobody took an earlier one comes as an error; the next may be a datagram.
            let Ok((length, _)) = socket.recv_from(&mut bytes).await else { continue };
            let mut bytes = bytes[..length].to_vec();
            let carried = world.line().ways.carry(from, to, world.now(), &mut chance);
            if carried.copies.is_empty() {
                relayed.lost.fetch_add(1, Ordering::Relaxed);
            }
            carried.spoil(&mut bytes);
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
