//! Plain policies as stand-in balancers, to compare with. They live in the lab only: one dispatch for a ticket, another
//! only where a connection was refused, no limits, no suspicion, no regard to the cold.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clap::ValueEnum;
use pinefront_model::checker::Observation;
use pinefront_model::discovery::State;
use pinefront_model::random::RandomSource;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::http;
use crate::world::{World, locked};

/// How often a stand-in balancer reads the list, and how many servers a ticket is tried at that refuse it.
const LIST_APART: Duration = Duration::from_millis(200);
const TRIES: usize = 3;
const CONNECT_WITHIN: Duration = Duration::from_millis(250);
/// Time kept back of what a client waits, for the way.
const WAY_BACK: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    Random,
    RoundRobin,
    LeastInFlight,
    TwoChoices,
}

impl Policy {
    pub const ALL: [Self; 4] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::TwoChoices,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastInFlight => "least in flight",
            Self::TwoChoices => "two choices",
        }
    }
}

struct Upstream {
    number: usize,
    address: SocketAddr,
    in_flight: Arc<AtomicUsize>,
    idle: Arc<Mutex<Vec<TcpStream>>>,
}

struct Plain {
    policy: Policy,
    upstreams: Mutex<Vec<Arc<Upstream>>>,
    turn: AtomicUsize,
    chance: Mutex<RandomSource>,
}

impl Plain {
    fn choose(&self) -> Option<Arc<Upstream>> {
        let upstreams = locked(&self.upstreams);
        let count = upstreams.len();
        if count == 0 {
            return None;
        }
        let busy = |place: &usize| upstreams[*place].in_flight.load(Ordering::Relaxed);
        let drawn = || locked(&self.chance).below(count);
        let turn = || self.turn.fetch_add(1, Ordering::Relaxed) % count;
        let place = match self.policy {
            Policy::Random => drawn(),
            Policy::RoundRobin => turn(),
            // From another one each time, or ties would all fall to the first.
            Policy::LeastInFlight => {
                let first = turn();
                (0..count)
                    .map(|step| (first + step) % count)
                    .min_by_key(busy)
                    .unwrap_or(first)
            }
            Policy::TwoChoices => [drawn(), drawn()].into_iter().min_by_key(busy).unwrap_or(0),
        };
        Some(Arc::clone(&upstreams[place]))
    }

    /// Follows the list, as a watch would.
    fn read_list(&self, world: &World, balancer: usize) {
        let now = world.now();
        let (_, entries) = world.with_registry(|registry| registry.list(now));
        let active: Vec<_> = entries
            .iter()
            .filter(|entry| entry.state == State::Active)
            .map(|e| e.server)
            .collect();
        let mut upstreams = locked(&self.upstreams);
        upstreams.retain(|upstream| {
            let stays = active.contains(&upstream.number)
                && world
                    .stand(upstream.number)
                    .and_then(|stand| stand.address())
                    == Some(upstream.address);
            if !stays {
                world.record(
                    now,
                    Observation::EndpointReported {
                        balancer,
                        server: upstream.number,
                        draining: true,
                    },
                );
            }
            stays
        });
        for number in active {
            if upstreams.iter().any(|upstream| upstream.number == number) {
                continue;
            }
            let Some(address) = world.stand(number).and_then(|stand| stand.address()) else {
                continue;
            };
            world.record(
                now,
                Observation::EndpointReported {
                    balancer,
                    server: number,
                    draining: false,
                },
            );
            upstreams.push(Arc::new(Upstream {
                number,
                address,
                in_flight: Arc::default(),
                idle: Arc::default(),
            }));
        }
    }
}

/// Starts one and says where it listens.
pub async fn start(world: &Arc<World>, policy: Policy, balancer: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let plain = Arc::new(Plain {
        policy,
        upstreams: Mutex::default(),
        turn: AtomicUsize::new(balancer),
        chance: Mutex::new(RandomSource::split(world.seed, "baseline", balancer as u64)),
    });
    plain.read_list(world, balancer);
    let (list, lists) = (Arc::clone(&plain), Arc::clone(world));
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(LIST_APART).await;
            list.read_list(&lists, balancer);
        }
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(carry(Arc::clone(&plain), stream));
        }
    });
    Ok(address)
}

/// Carries the tickets of one client connection.
async fn carry(plain: Arc<Plain>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut kept = Vec::new();
    while let Some(asked) = http::next_request(&mut stream, &mut kept).await {
        let message: Vec<u8> = kept.drain(..asked.end).collect();
        let wait =
            Duration::from_millis(asked.remaining_ms.unwrap_or(1000)).saturating_sub(WAY_BACK);
        let found = timeout(wait, dispatch(&plain, &message)).await;
        let written = match found {
            Ok(Some(answer)) => stream.write_all(&answer).await,
            Ok(None) => {
                http::answer(
                    &mut stream,
                    "503 Service Unavailable",
                    "",
                    "nobody takes it\n",
                )
                .await
            }
            Err(_) => http::answer(&mut stream, "502 Bad Gateway", "", "no answer in time\n").await,
        };
        if written.is_err() {
            return;
        }
    }
}

/// Counts a dispatch as in flight until it is dropped, also where its time is over.
struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The answer to a ticket as bytes; nothing where no server took it, so that it is proven not run.
async fn dispatch(plain: &Plain, message: &[u8]) -> Option<Vec<u8>> {
    const FAILED: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";
    for _ in 0..TRIES {
        let upstream = plain.choose()?;
        upstream.in_flight.fetch_add(1, Ordering::Relaxed);
        let _held = InFlight(Arc::clone(&upstream.in_flight));
        let kept = std::iter::from_fn(|| locked(&upstream.idle).pop()).find(http::is_usable);
        let stream = match kept {
            Some(stream) => Ok(Ok(stream)),
            None => timeout(CONNECT_WITHIN, TcpStream::connect(upstream.address)).await,
        };
        let Ok(Ok(mut stream)) = stream else { continue };
        let _ = stream.set_nodelay(true);
        if stream.write_all(message).await.is_err() {
            return Some(FAILED.to_vec());
        }
        let mut heard = Vec::new();
        let Ok(answer) = http::read_answer(&mut stream, &mut heard).await else {
            return Some(FAILED.to_vec());
        };
        if answer.lasts {
            locked(&upstream.idle).push(stream);
        }
        heard.truncate(answer.end);
        return match answer.status {
            200 => Some(heard),
            503 if answer.turned_away => None,
            _ => Some(FAILED.to_vec()),
        };
    }
    None
}
