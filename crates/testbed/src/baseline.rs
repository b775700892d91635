//! Simple load balancing policies as stand-in balancers, for comparison: one attempt per request,
//! another only where a connection was refused, without limits, outlier detection or slow start.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clap::ValueEnum;
use pinefront_model::checker::Observation;
use pinefront_model::discovery::EndpointState;
use pinefront_model::random::RandomSource;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::http;
use crate::world::{World, locked};

/// How often the endpoint list is read.
const LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Number of servers that a request is tried at while connections are refused.
const MAX_ATTEMPTS: usize = 3;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Subtracted from the client's timeout, for the way back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// The timeout where a request states none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 1000;
const BAD_GATEWAY: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";

/// How an endpoint is selected.
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

struct Endpoint {
    server: usize,
    address: SocketAddr,
    in_flight: Arc<AtomicUsize>,
    idle_connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// A stand-in balancer.
struct BaselineBalancer {
    number: usize,
    policy: Policy,
    endpoints: Mutex<Vec<Arc<Endpoint>>>,
    next_turn: AtomicUsize,
    random: Mutex<RandomSource>,
}

/// Starts a stand-in balancer. Returns the address at which it listens.
pub async fn start(world: &Arc<World>, policy: Policy, number: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let balancer = Arc::new(BaselineBalancer {
        number,
        policy,
        endpoints: Mutex::default(),
        next_turn: AtomicUsize::new(number),
        random: Mutex::new(RandomSource::split(world.seed, "baseline", number as u64)),
    });
    balancer.read_list(world);
    tokio::spawn(follow_list(Arc::clone(&balancer), Arc::clone(world)));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(Arc::clone(&balancer), stream));
        }
    });
    Ok(address)
}

async fn follow_list(balancer: Arc<BaselineBalancer>, world: Arc<World>) {
    loop {
        tokio::time::sleep(LIST_INTERVAL).await;
        balancer.read_list(&world);
    }
}

/// Serves the requests of one client connection.
async fn serve(balancer: Arc<BaselineBalancer>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = http::read_request(&mut stream, &mut buffer).await {
        let message: Vec<u8> = buffer.drain(..request.end).collect();
        let client_timeout =
            Duration::from_millis(request.remaining_ms.unwrap_or(DEFAULT_TIMEOUT_MS));
        let forward = balancer.forward(&message);
        let response = timeout(client_timeout.saturating_sub(RESPONSE_MARGIN), forward).await;
        let written = match response {
            Ok(Some(response)) => stream.write_all(&response).await,
            Ok(None) => {
                let status = "503 Service Unavailable";
                http::write_response(&mut stream, status, "", "nobody takes it\n").await
            }
            Err(_) => {
                let status = "502 Bad Gateway";
                http::write_response(&mut stream, status, "", "no answer in time\n").await
            }
        };
        if written.is_err() {
            return;
        }
    }
}

/// Counts an attempt as in flight until it is dropped, also when its future is.
struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    fn start(endpoint: &Endpoint) -> Self {
        endpoint.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(&endpoint.in_flight))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl BaselineBalancer {
    fn select(&self) -> Option<Arc<Endpoint>> {
        let endpoints = locked(&self.endpoints);
        let count = endpoints.len();
        if count == 0 {
            return None;
        }
        let in_flight = |index: &usize| endpoints[*index].in_flight.load(Ordering::Relaxed);
        let draw = || locked(&self.random).below(count);
        let take_turn = || self.next_turn.fetch_add(1, Ordering::Relaxed) % count;
        let index = match self.policy {
            Policy::Random => draw(),
            Policy::RoundRobin => take_turn(),
            Policy::LeastInFlight => {
                // Starts at another endpoint each time, so that ties don't all go to the first.
                let first = take_turn();
                let indices = (0..count).map(|step| (first + step) % count);
                indices.min_by_key(in_flight).unwrap_or(first)
            }
            Policy::TwoChoices => {
                let candidates = [draw(), draw()];
                candidates.into_iter().min_by_key(in_flight).unwrap_or(0)
            }
        };
        Some(Arc::clone(&endpoints[index]))
    }

    /// Brings the endpoints up to date with the endpoint list.
    fn read_list(&self, world: &World) {
        let now = world.now();
        let list = world.with_registry(|registry| registry.list(now));
        let active: Vec<usize> = list
            .entries
            .iter()
            .filter(|entry| entry.state == EndpointState::Active)
            .map(|entry| entry.server)
            .collect();
        let address_of = |server| world.server(server).and_then(|host| host.address());
        let mut endpoints = locked(&self.endpoints);
        endpoints.retain(|endpoint| {
            let is_same = address_of(endpoint.server) == Some(endpoint.address);
            let stays = active.contains(&endpoint.server) && is_same;
            if !stays {
                self.record(world, endpoint.server, true);
            }
            stays
        });
        for server in active {
            if endpoints.iter().any(|endpoint| endpoint.server == server) {
                continue;
            }
            let Some(address) = address_of(server) else {
                continue;
            };
            self.record(world, server, false);
            endpoints.push(Arc::new(Endpoint {
                server,
                address,
                in_flight: Arc::default(),
                idle_connections: Arc::default(),
            }));
        }
    }

    fn record(&self, world: &World, server: usize, draining: bool) {
        let observation = Observation::EndpointReported {
            balancer: self.number,
            server,
            is_draining: draining,
        };
        world.record(world.now(), observation);
    }

    /// Forwards a request. Returns the response's bytes; none where no server processed it.
    async fn forward(&self, message: &[u8]) -> Option<Vec<u8>> {
        for _ in 0..MAX_ATTEMPTS {
            let endpoint = self.select()?;
            let _in_flight = InFlight::start(&endpoint);
            let idle = std::iter::from_fn(|| locked(&endpoint.idle_connections).pop())
                .find(http::is_reusable);
            let stream = match idle {
                Some(stream) => Ok(Ok(stream)),
                None => timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address)).await,
            };
            if let Ok(Ok(stream)) = stream {
                return exchange(&endpoint, stream, message).await;
            }
        }
        None
    }
}

/// Sends a request on a connection. Returns the response's bytes; none where the server did not
/// process it.
async fn exchange(endpoint: &Endpoint, mut stream: TcpStream, message: &[u8]) -> Option<Vec<u8>> {
    let _ = stream.set_nodelay(true);
    if stream.write_all(message).await.is_err() {
        return Some(BAD_GATEWAY.to_vec());
    }
    let mut buffer = Vec::new();
    let Ok(response) = http::read_response(&mut stream, &mut buffer).await else {
        return Some(BAD_GATEWAY.to_vec());
    };
    if response.keep_alive {
        locked(&endpoint.idle_connections).push(stream);
    }
    buffer.truncate(response.end);
    match response.status {
        200 => Some(buffer),
        503 if response.is_rejection => None,
        _ => Some(BAD_GATEWAY.to_vec()),
    }
}
