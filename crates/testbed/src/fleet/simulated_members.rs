//! Cluster members that run within this process, each with its own socket, to measure the cost of a
//! fleet of any size for a balancer.

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pinefront_cluster::datagram::{Key, MAX_DATAGRAM_BYTES};
use pinefront_cluster::{Cluster, MemberConfig, Micros, OutgoingDatagram};

/// The name of the fleet.
const FLEET: &str = "lab";
/// The content of the key file of the fleet.
const KEY: &str = "a key for the lab's own fleet\n";
/// Interval at which each member handles its datagrams and timers, far shorter than the protocol
/// requires.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The number of simulated members that are seeds of the balancer.
const SEEDS: usize = 3;

/// Cluster members that run in a thread until this value is dropped.
pub struct SimulatedMembers {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    seeds: Vec<SocketAddr>,
}

impl SimulatedMembers {
    /// Starts the given number of members, which form a cluster.
    pub fn start(members: usize) -> io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in 0..members {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            sockets.push((socket.local_addr()?, socket));
        }
        let seeds: Vec<_> = sockets
            .iter()
            .take(SEEDS)
            .map(|(address, _)| *address)
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        let thread = std::thread::spawn({
            let stop = Arc::clone(&stop);
            let seeds = seeds.clone();
            move || run(sockets, &seeds, &stop)
        });
        Ok(Self {
            stop,
            thread: Some(thread),
            seeds,
        })
    }

    /// Writes the operator file of a balancer that joins these members, and returns its path.
    pub fn operator_file(&self, folder: &Path) -> io::Result<PathBuf> {
        let key = folder.join("company.key");
        std::fs::write(&key, KEY)?;
        let listen = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        let seeds: Vec<_> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let path = folder.join("company.toml");
        let text = format!(
            "[fleet]\nname = \"{FLEET}\"\nkey_file = \"{}\"\nlisten = \"{listen}\"\nseeds = [{}]\n",
            key.display(),
            seeds.join(", ")
        );
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for SimulatedMembers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // If the thread panicked, its members appear as dead in the view of the balancer.
            let _ = thread.join();
        }
    }
}

/// Runs the members until `stop` is set.
fn run(sockets: Vec<(SocketAddr, UdpSocket)>, seeds: &[SocketAddr], stop: &AtomicBool) {
    let Ok(key) = Key::new(KEY.as_bytes()) else {
        return;
    };
    let started = Instant::now();
    let now = || started.elapsed().as_micros() as Micros + 1;
    let started_at_us = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64;
    let mut members: Vec<(Cluster, UdpSocket)> = sockets
        .into_iter()
        .enumerate()
        .map(|(number, (address, socket))| {
            let config = member_config(number, address, seeds, started_at_us);
            let seed = number as u64 + 1;
            (Cluster::new(config, key.clone(), seed, now()), socket)
        })
        .collect();
    while !stop.load(Ordering::Relaxed) {
        for (cluster, socket) in &mut members {
            poll_member(cluster, socket, now);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn member_config(
    number: usize,
    address: SocketAddr,
    seeds: &[SocketAddr],
    started_at_us: u64,
) -> MemberConfig {
    MemberConfig {
        fleet: FLEET.into(),
        name: format!("company-{number}"),
        zone: "a".into(),
        address,
        seeds: seeds.to_vec(),
        started_at_us,
        probe_interval: MemberConfig::DEFAULT_PROBE_INTERVAL,
        probe_timeout: MemberConfig::DEFAULT_PROBE_TIMEOUT,
        min_suspicion: MemberConfig::DEFAULT_MIN_SUSPICION,
        confirmed_dead: BTreeSet::default(),
    }
}

/// Receives the datagrams of a member, runs its expired timers and sends its datagrams.
fn poll_member(cluster: &mut Cluster, socket: &UdpSocket, now: impl Fn() -> Micros) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    while let Ok((length, _)) = socket.recv_from(&mut bytes) {
        cluster.receive(now(), &bytes[..length]);
    }
    if cluster.next_timer() <= now() {
        cluster.run_timers(now());
    }
    cluster.take_events();
    for OutgoingDatagram { to, bytes } in cluster.take_datagrams() {
        // The protocol tolerates the loss of datagrams, in a full socket buffer as in the network.
        let _ = socket.send_to(&bytes, to);
    }
}
