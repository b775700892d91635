//! Stand-in balancers with simple load balancing policies, for comparison. A request is attempted
//! again only if no connection could be opened. The policies have no limits, outlier detection or
//! slow start.

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

/// Interval between reads of the endpoint list.
const LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of servers at which a request is attempted while no connection can be opened.
const MAX_ATTEMPTS: usize = 3;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Subtracted from the client's timeout, so that the response reaches the client in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// Timeout of a request that states none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 1000;
const BAD_GATEWAY: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";

/// The method by which an endpoint is selected for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// An endpoint drawn at random
    Random,
    /// Each endpoint in turn
    RoundRobin,
    /// The endpoint with the fewest requests in flight
    LeastInFlight,
    /// Of two endpoints drawn at random, the one with fewer requests in flight
    TwoChoices,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::TwoChoices,
    ];

    /// The name of the policy in tables.
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

/// A stand-in balancer that uses one policy.
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
    balancer.update_endpoints(world);
    tokio::spawn(poll_list(Arc::clone(&balancer), Arc::clone(world)));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(Arc::clone(&balancer), stream));
        }
    });
    Ok(address)
}

async fn poll_list(balancer: Arc<BaselineBalancer>, world: Arc<World>) {
    loop {
        tokio::time::sleep(LIST_INTERVAL).await;
        balancer.update_endpoints(&world);
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

/// Counts an attempt as in flight until this value is dropped, also if the attempt is cancelled.
struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    fn start(endpoint: &Endpoint) -> Self {
        endpoint.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(&endpoint.in_flight))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl BaselineBalancer {
    /// Selects an endpoint by the policy; none where the endpoint list is empty.
    fn select_endpoint(&self) -> Option<Arc<Endpoint>> {
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
                // The search starts at another endpoint each time, so that the first endpoint
                // doesn't win all ties.
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

    /// Updates the endpoints from the endpoint list, and records the changes for the checker.
    fn update_endpoints(&self, world: &World) {
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
            let is_same_address = address_of(endpoint.server) == Some(endpoint.address);
            let stays = active.contains(&endpoint.server) && is_same_address;
            if !stays {
                self.record_endpoint(world, endpoint.server, true);
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
            self.record_endpoint(world, server, false);
            endpoints.push(Arc::new(Endpoint {
                server,
                address,
                in_flight: Arc::default(),
                idle_connections: Arc::default(),
            }));
        }
    }

    fn record_endpoint(&self, world: &World, server: usize, is_draining: bool) {
        let observation = Observation::EndpointReported {
            balancer: self.number,
            server,
            is_draining,
        };
        world.record(world.now(), observation);
    }

    /// Forwards a request to an endpoint, at most [`MAX_ATTEMPTS`] times while no connection can be
    /// opened. Returns the bytes of the response; none if no server processed the request.
    async fn forward(&self, message: &[u8]) -> Option<Vec<u8>> {
        for _ in 0..MAX_ATTEMPTS {
            let endpoint = self.select_endpoint()?;
            let _in_flight = InFlightGuard::start(&endpoint);
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

/// Sends a request on a connection. Returns the bytes of the response, which is a 502 where the
/// exchange failed; none if the server rejected the request.
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
