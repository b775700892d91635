//! The clients of a run. Each request is sent at its scheduled time, independent of the results of
//! other requests, and retried according to the scenario.

mod exchange;
mod results;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use exchange::Exchange;
pub use exchange::request_text;
use pinefront_model::checker::Outcome;
use pinefront_model::traffic::{self, Request};
use pinefront_model::{Micros, SECOND};
pub use results::{RequestCounts, Results, latency_histogram};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::http;
use crate::world::{World, locked};

/// Longest time that a client waits for a connection to a balancer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of the first retry, beyond the numbers of all first attempts.
const FIRST_RETRY_NUMBER: u64 = 1 << 40;
/// The largest number of seconds for which latencies are collected by second.
const MAX_SECONDS: u64 = 3600;

/// Distributes requests uniformly over the balancers that are available, like a front end.
pub struct FrontEnd {
    pub addresses: Vec<SocketAddr>,
    is_available: Vec<AtomicBool>,
}

impl FrontEnd {
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let is_available = addresses.iter().map(|_| AtomicBool::new(true)).collect();
        Self {
            addresses,
            is_available,
        }
    }

    /// Sets whether requests are sent to a balancer.
    pub fn set_available(&self, balancer: usize, is_available: bool) {
        if let Some(flag) = self.is_available.get(balancer) {
            flag.store(is_available, Ordering::Relaxed);
        }
    }

    /// The balancer for a uniform draw in `[0, 1)`, or the next one that is available; if none is,
    /// the balancer for the draw.
    fn select(&self, draw: f64) -> usize {
        let count = self.addresses.len();
        let first = ((draw * count as f64) as usize).min(count - 1);
        let is_available =
            |step: &usize| self.is_available[(first + step) % count].load(Ordering::Relaxed);
        (first + (0..count).find(is_available).unwrap_or(0)) % count
    }
}

/// The state that the workers of the load share.
pub struct Load {
    pub world: Arc<World>,
    pub front_end: FrontEnd,
    pub results: Mutex<Results>,
    next_retry_number: AtomicU64,
}

impl Load {
    pub fn new(world: Arc<World>, addresses: Vec<SocketAddr>) -> Self {
        let seconds = world.scenario.length.get_ref().0 / SECOND + 1;
        Self {
            world,
            front_end: FrontEnd::new(addresses),
            results: Mutex::new(Results::new(seconds.min(MAX_SECONDS) as usize)),
            next_retry_number: AtomicU64::new(FIRST_RETRY_NUMBER),
        }
    }
}

/// Runs a worker on this thread. Its runtime is separate from that of the stand-ins, which would
/// otherwise delay requests. Returns when the channel is closed and all requests have ended.
pub fn run_worker(load: &Arc<Load>, mut requests: mpsc::Receiver<Request>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        let addresses = load.front_end.addresses.iter();
        let pools: ConnectionPools = Rc::new(RefCell::new(addresses.map(|_| Vec::new()).collect()));
        while let Some(request) = requests.recv().await {
            let client = run_client(Arc::clone(load), Rc::clone(&pools), request);
            tokio::task::spawn_local(client);
        }
    });
    runtime.block_on(tasks);
    Ok(())
}

/// Idle connections, by balancer.
type ConnectionPools = Rc<RefCell<Vec<Vec<TcpStream>>>>;

/// The result of an attempt of a client.
enum AttemptEnd {
    /// The client received a response.
    Answered {
        outcome: Outcome,
        /// The delay before a retry that the response requested.
        retry_after: Option<Micros>,
    },
    /// No response arrived before the client closed the connection, or the connection was lost.
    Unanswered,
    /// The client disconnected early, as the scenario requires of this request.
    Disconnected,
    /// The request could not be sent to the selected balancer.
    Unreachable,
}

impl AttemptEnd {
    fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Answered { outcome, .. } => Some(*outcome),
            _ => None,
        }
    }
}

/// Sends a request and then its retries, each after the previous attempt ended.
async fn run_client(load: Arc<Load>, pools: ConnectionPools, mut request: Request) {
    let world = &load.world;
    loop {
        world.register_request(&request);
        locked(&load.results).attempt_started(&request);
        let end = attempt(&load, &pools, &request).await;
        let now = world.now();
        locked(&load.results).attempt_ended(&request, &end, now);
        let retry_after = match end {
            AttemptEnd::Answered {
                outcome: Outcome::Succeeded,
                ..
            }
            | AttemptEnd::Disconnected => return,
            AttemptEnd::Answered { retry_after, .. } => retry_after,
            AttemptEnd::Unanswered | AttemptEnd::Unreachable => None,
        };
        let number = load.next_retry_number.fetch_add(1, Ordering::Relaxed);
        let retry = traffic::retry(&world.scenario, &request, number, now, retry_after);
        let Some(retry) = retry else {
            return;
        };
        request = retry;
        let scheduled_at = world.clock.instant_at(request.scheduled_at);
        tokio::time::sleep_until(scheduled_at.into()).await;
    }
}

/// Sends one attempt on an idle connection, or on a new connection where none is usable.
async fn attempt(load: &Load, pools: &ConnectionPools, request: &Request) -> AttemptEnd {
    let balancer = load.front_end.select(request.balancer_draw);
    let text = request_text(&load.world, request);
    let exchange = |stream, is_reused| Exchange {
        load,
        pools,
        balancer,
        request,
        text: &text,
        stream,
        is_reused,
    };
    let idle = std::iter::from_fn(|| pools.borrow_mut()[balancer].pop()).find(http::is_reusable);
    if let Some(stream) = idle
        && let Some(end) = exchange(stream, true).run().await
    {
        return end;
    }
    let address = load.front_end.addresses[balancer];
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else {
        return AttemptEnd::Unreachable;
    };
    // Nagle's algorithm is disabled, since it would delay requests.
    let _ = stream.set_nodelay(true);
    let end = exchange(stream, false).run().await;
    end.unwrap_or(AttemptEnd::Unanswered)
}
