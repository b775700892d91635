//! Members that are no processes: accords of the lab's own on sockets of their own, to measure what a balancer's part in
//! a fleet of any size costs it.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pinefront_cluster::datagram::{Key, MAX_DATAGRAM_BYTES};
use pinefront_cluster::{Cluster, MemberConfig, Micros, OutgoingDatagram};

const FLEET: &str = "lab";
const KEY: &str = "a key for the lab's own fleet\n";
/// How often all sockets are looked at: later than a network would be, far below what a member allows for.
const LOOKS_APART: Duration = Duration::from_millis(5);
const SEEDS: usize = 3;

/// Ends with the value.
pub struct SimulatedMembers {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    seeds: Vec<SocketAddr>,
}

impl SimulatedMembers {
    /// Starts so many members, which find each other.
    pub fn start(members: usize) -> io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in 0..members {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            sockets.push((socket.local_addr()?, socket));
        }
        let seeds: Vec<_> = sockets.iter().take(SEEDS).map(|one| one.0).collect();
        let over = Arc::new(AtomicBool::new(false));
        let (told, known) = (Arc::clone(&over), seeds.clone());
        let thread = std::thread::spawn(move || carry(sockets, &known, &told));
        Ok(Self {
            over,
            thread: Some(thread),
            seeds,
        })
    }

    /// The operator file of a balancer that joins them.
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
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // One that failed has nothing more to say here: the balancer's view shows that its members are gone.
            let _ = thread.join();
        }
    }
}

fn carry(sockets: Vec<(SocketAddr, UdpSocket)>, seeds: &[SocketAddr], over: &AtomicBool) {
    let Ok(key) = Key::new(KEY.as_bytes()) else {
        return;
    };
    let began = Instant::now();
    let now = || began.elapsed().as_micros() as Micros + 1;
    let started_at_us = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64;
    let mut all: Vec<(Cluster, UdpSocket)> = Vec::new();
    for (number, (address, socket)) in sockets.into_iter().enumerate() {
        let part = MemberConfig {
            fleet: FLEET.into(),
            name: format!("company-{number}"),
            zone: "a".into(),
            address,
            seeds: seeds.to_vec(),
            started_at_us,
            probe_interval: MemberConfig::DEFAULT_PROBE_INTERVAL,
            probe_timeout: MemberConfig::DEFAULT_PROBE_TIMEOUT,
            min_suspicion: MemberConfig::DEFAULT_MIN_SUSPICION,
            confirmed_dead: Default::default(),
        };
        all.push((
            Cluster::new(part, key.clone(), number as u64 + 1, now()),
            socket,
        ));
    }
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    while !over.load(Ordering::Relaxed) {
        for (cluster, socket) in &mut all {
            while let Ok((length, _)) = socket.recv_from(&mut bytes) {
                cluster.receive(now(), &bytes[..length]);
            }
            if cluster.next_timer() <= now() {
                cluster.run_timers(now());
            }
            cluster.take_events();
            for OutgoingDatagram { to, bytes } in cluster.take_datagrams() {
                // A full socket loses one as well as the network does.
                let _ = socket.send_to(&bytes, to);
            }
        }
        std::thread::sleep(LOOKS_APART);
    }
}
