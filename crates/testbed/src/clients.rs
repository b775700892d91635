//! The clients of a day: each ticket is written when it is due, whatever became of others, and followed to its end.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use pinefront_model::Micros;
use pinefront_model::checker::{Observation, Outcome};
use pinefront_model::scenario::{FaultKind, Idempotency};
use pinefront_model::service::Tally;
use pinefront_model::traffic::{self, Request};
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::http;
use crate::stand::body;
use crate::world::{World, locked};

/// How long after a ticket's hard stop its connection is given up.
const WAITS_ON: Duration = Duration::from_millis(300);
/// How long a connection to a balancer may take.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// Numbers of later tries, far from those of first ones.
const LATER_TRIES: u64 = 1 << 40;
/// A request that is sent behind another at once, and how long its answer may take.
const FURTHER: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: lab\r\n\r\n";
const FURTHER_WITHIN: Duration = Duration::from_secs(2);
/// Pieces that a request is written in at most.
const PIECES_MOST: usize = 12;
/// The longest time a histogram tells apart.
const LONGEST_US: u64 = 60_000_000;

/// A histogram of times in microseconds, to three digits.
pub fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library takes; whatever is played makes one.
    Histogram::new_with_bounds(1, LONGEST_US, 3)
        .unwrap_or_else(|_| unreachable!("bounds are constants"))
}

/// How tries ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestCounts {
    pub asked: u64,
    pub succeeded: u64,
    #[serde(rename = "dismissed")]
    pub rejected: u64,
    #[serde(rename = "abandoned")]
    pub failed: u64,
    pub unanswered: u64,
    pub left: u64,
    /// No balancer could be reached.
    pub unreached: u64,
}

/// What all clients saw.
pub struct Collected {
    pub tally: Tally,
    pub requests: RequestCounts,
    /// From when a try was due to its answer, for those that succeeded.
    pub latency: Histogram<u64>,
    /// From when a try was due to when it was written.
    pub lateness: Histogram<u64>,
    /// Answer times of what succeeded by second, for a plot.
    pub by_second: Vec<Histogram<u64>>,
}

impl Collected {
    pub fn new(seconds: usize) -> Self {
        Self {
            tally: Tally::new(),
            requests: RequestCounts::default(),
            latency: histogram(),
            lateness: histogram(),
            by_second: (0..seconds).map(|_| histogram()).collect(),
        }
    }

    fn ended(&mut self, request: &Request, end: &End, now: Micros) {
        let requests = &mut self.requests;
        *match end {
            End::Answered(Outcome::Succeeded, _) => &mut requests.succeeded,
            End::Answered(Outcome::Rejected, _) => &mut requests.rejected,
            End::Answered(Outcome::Failed, _) => &mut requests.failed,
            End::Lost => &mut requests.unanswered,
            End::Disconnected => &mut requests.left,
            End::Unreached => &mut requests.unreached,
        } += 1;
        let outcome = end.outcome();
        if outcome == Some(Outcome::Succeeded) {
            let took = now.saturating_sub(request.scheduled_at).max(1);
            self.latency.saturating_record(took);
            if let Some(second) = self
                .by_second
                .get_mut((request.scheduled_at / 1_000_000) as usize)
            {
                second.saturating_record(took);
            }
        }
        self.tally.record_outcome(request, now, outcome);
    }
}

/// The front before the balancers: which of them it deals tickets out among.
pub struct Front {
    pub addresses: Vec<SocketAddr>,
    up: Vec<AtomicBool>,
}

impl Front {
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let up = addresses.iter().map(|_| AtomicBool::new(true)).collect();
        Self { addresses, up }
    }

    pub fn set(&self, balancer: usize, up: bool) {
        if let Some(flag) = self.up.get(balancer) {
            flag.store(up, Ordering::Relaxed);
        }
    }

    /// The balancer that a draw falls to, or the next that is up.
    fn deal(&self, balancer_draw: f64) -> usize {
        let count = self.addresses.len();
        let first = ((balancer_draw * count as f64) as usize).min(count - 1);
        let up = |turn: &usize| self.up[(first + turn) % count].load(Ordering::Relaxed);
        (first + (0..count).find(up).unwrap_or(0)) % count
    }
}

/// What every worker of the load shares.
pub struct Load {
    pub world: Arc<World>,
    pub front: Front,
    pub collected: Mutex<Collected>,
    pub next_number: AtomicU64,
}

impl Load {
    pub fn new(world: Arc<World>, addresses: Vec<SocketAddr>) -> Self {
        let seconds = (world.scenario.length.get_ref().0 / 1_000_000 + 1).min(3600) as usize;
        Self {
            world,
            front: Front::new(addresses),
            collected: Mutex::new(Collected::new(seconds)),
            next_number: AtomicU64::new(LATER_TRIES),
        }
    }
}

/// A worker: a thread of its own with a runtime of its own, so that stand-ins at work delay no ticket.
pub fn worker(load: &Arc<Load>, mut due: mpsc::Receiver<Request>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let set = LocalSet::new();
    set.block_on(&runtime, async {
        let pools: Pools = Rc::new(RefCell::new(
            load.front.addresses.iter().map(|_| Vec::new()).collect(),
        ));
        while let Some(request) = due.recv().await {
            tokio::task::spawn_local(client(Arc::clone(load), Rc::clone(&pools), request));
        }
    });
    // What is still out ends by itself: every try has an end.
    runtime.block_on(set);
    Ok(())
}

type Pools = Rc<RefCell<Vec<Vec<TcpStream>>>>;

/// How a try ended.
enum End {
    Answered(Outcome, Option<Micros>),
    Lost,
    Disconnected,
    Unreached,
}

impl End {
    fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Answered(outcome, _) => Some(*outcome),
            _ => None,
        }
    }
}

/// One client: its tries, one after the other.
async fn client(load: Arc<Load>, pools: Pools, mut request: Request) {
    let world = &load.world;
    loop {
        world.expect(&request);
        {
            let mut collected = locked(&load.collected);
            collected.requests.asked += 1;
            collected.tally.record_request(&request);
        }
        let end = attempt(&load, &pools, &request).await;
        let now = world.now();
        locked(&load.collected).ended(&request, &end, now);
        let retry_after = match end {
            End::Answered(Outcome::Succeeded, _) | End::Disconnected => return,
            End::Answered(_, retry_after) => retry_after,
            End::Lost | End::Unreached => None,
        };
        let number = load.next_number.fetch_add(1, Ordering::Relaxed);
        let Some(retry) = traffic::retry(&world.scenario, &request, number, now, retry_after)
        else {
            return;
        };
        request = retry;
        tokio::time::sleep_until(world.clock.at(request.scheduled_at).into()).await;
    }
}

/// One try, on a connection that is kept or a new one.
async fn attempt(load: &Load, pools: &Pools, request: &Request) -> End {
    let balancer = load.front.deal(request.balancer_draw);
    let text = request_text(&load.world, request);
    loop {
        let kept = pools.borrow_mut()[balancer].pop();
        let Some(stream) = kept else { break };
        if !http::is_usable(&stream) {
            continue;
        }
        match exchange(load, pools, balancer, request, &text, stream, true).await {
            Some(end) => return end,
            // It was closed as the ticket was written: nobody has read it, and it goes on a new one.
            None => break,
        }
    }
    let connected = timeout(
        CONNECT_WITHIN,
        TcpStream::connect(load.front.addresses[balancer]),
    )
    .await;
    let Ok(Ok(stream)) = connected else {
        return End::Unreached;
    };
    // Without it a ticket may wait for the answer to the last.
    let _ = stream.set_nodelay(true);
    exchange(load, pools, balancer, request, &text, stream, false)
        .await
        .unwrap_or(End::Lost)
}

pub fn request_text(world: &World, request: &Request) -> Vec<u8> {
    let class = world.scenario.classes[request.class].get_ref();
    let name = &class.name;
    let tenant = world
        .scenario
        .tenants
        .get(request.tenant)
        .map_or("lab", |tenant| &tenant.get_ref().name);
    let (method, rest) = match class.idempotency {
        Idempotency::Idempotent => ("GET", String::new()),
        Idempotency::IdempotencyKey => (
            "POST",
            format!(
                "Idempotency-Key: {:016x}\r\nContent-Length: 0\r\n",
                request.idempotency_key
            ),
        ),
        Idempotency::NonIdempotent => ("POST", "Content-Length: 0\r\n".to_owned()),
    };
    let resent = if request.attempt > 1 {
        "X-Resent: 1\r\n"
    } else {
        ""
    };
    format!(
        "{method} /{name}/{} HTTP/1.1\r\nHost: lab\r\nX-Txn: {:016x}\r\nX-Lane: {name}\r\nX-Org: {tenant}\r\n\
         X-Entity: k={}\r\nX-Remaining-Ms: {}\r\n{resent}{rest}\r\n",
        request.key,
        request.number,
        request.key,
        request.timeout / 1000
    )
    .into_bytes()
}

/// Writes a ticket and waits for its answer. Nothing where a kept connection ended without a byte.
async fn exchange(
    load: &Load,
    pools: &Pools,
    balancer: usize,
    request: &Request,
    text: &[u8],
    mut stream: TcpStream,
    kept: bool,
) -> Option<End> {
    let world = &load.world;
    let number = request.number;
    let further = request.disconnects_after.is_none() && world.strikes(FaultKind::ClientsPipeline);
    let both = if further {
        [text, FURTHER].concat()
    } else {
        text.to_vec()
    };
    let in_pieces = !further && world.strikes(FaultKind::ClientsInPieces);
    let wrote = match in_pieces {
        true => http::in_pieces(&mut stream, &both, 1 + world.draw(PIECES_MOST)).await,
        false => stream.write_all(&both).await,
    };
    if wrote.is_err() {
        return (!kept).then_some(End::Unreached);
    }
    let written = world.now();
    if !in_pieces {
        locked(&load.collected)
            .lateness
            .saturating_record(written.saturating_sub(request.scheduled_at).max(1));
    }
    let deadline = written + request.timeout;
    world.record(
        written,
        Observation::RequestReceived {
            request: number,
            balancer,
            class: request.class,
            deadline,
        },
    );
    let until: Instant = world.clock.at(deadline) + WAITS_ON;
    let leaves: Option<Instant> = request
        .disconnects_after
        .map(|after| world.clock.at(written + after));
    let wait_until = leaves.map_or(until, |leaves| leaves.min(until));
    let mut heard = Vec::new();
    let answer = tokio::time::timeout_at(
        wait_until.into(),
        http::read_answer(&mut stream, &mut heard),
    )
    .await;
    let now = world.now();
    let answer = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) if kept && heard.is_empty() => return None,
        Ok(Err(_)) => {
            world.record(now, Observation::ConnectionLost { request: number });
            return Some(End::Lost);
        }
        Err(_) if leaves.is_some_and(|leaves| leaves <= until) => {
            world.record(now, Observation::ClientDisconnected { request: number });
            return Some(End::Disconnected);
        }
        Err(_) => return Some(End::Lost),
    };
    let outcome = match answer.status {
        200 => Outcome::Succeeded,
        429 | 503 => Outcome::Rejected,
        _ => Outcome::Failed,
    };
    let genuine = outcome != Outcome::Succeeded
        || heard[answer.body.clone()] == *body(&format!("{number:016x}")).as_bytes();
    world.record(
        now,
        Observation::ResponseReceived {
            request: number,
            outcome,
            genuine,
        },
    );
    let retry_after = answer
        .retry_after
        .filter(|after| after.is_finite() && *after >= 0.0);
    let answered = End::Answered(outcome, retry_after.map(|after| (after * 1e6) as Micros));
    heard.drain(..answer.end);
    if further && answer.lasts {
        let second = timeout(FURTHER_WITHIN, http::read_answer(&mut stream, &mut heard)).await;
        let lost = !matches!(&second, Ok(Ok(_)));
        if lost && world.undisturbed_since(balancer, written) {
            let what = format!(
                "the request behind ticket {number} got no answer from balancer {balancer}"
            );
            locked(&world.checker).record_violation(1, world.now(), what);
        }
        if !second.is_ok_and(|second| second.is_ok_and(|second| second.lasts)) {
            return Some(answered);
        }
    }
    if answer.lasts {
        pools.borrow_mut()[balancer].push(stream);
    }
    Some(answered)
}
