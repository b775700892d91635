//! Open-loop load against an HTTP address on this machine: a ticket is due at its time whatever became of others, and
//! its time counts from then. The load's own lateness is told, and a run in which it lagged is called invalid.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, ToSocketAddrs};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use pinefront_model::random::RandomSource;
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;

use crate::clients::histogram;
use crate::figures::Times;
use crate::http;
use crate::pace::{self, pace};

/// Beyond this lateness of the 99th percentile a run does not count.
pub const LATE_MS: f64 = 1.0;
/// How long a ticket is waited for after the time that it tells.
const WAITS_ON: Duration = Duration::from_millis(500);

/// Where load goes, and how.
#[derive(Clone, Debug)]
pub struct Plan {
    pub addresses: Vec<SocketAddr>,
    pub path: String,
    /// Further fields, each with its line's end.
    pub fields: String,
    /// Tickets a second; none where each client sends its next ticket when it has its answer.
    pub rate: Option<f64>,
    pub lasts: Duration,
    /// Connections, or as many as it takes.
    pub clients: Option<usize>,
    pub threads: usize,
    pub wait: Duration,
    pub seed: u64,
}

/// What a load found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Found {
    pub asked: u64,
    pub succeeded: u64,
    #[serde(rename = "dismissed")]
    pub rejected: u64,
    #[serde(rename = "abandoned")]
    pub failed: u64,
    pub unanswered: u64,
    /// Never written: the load could not keep up.
    pub dropped: u64,
    pub rate_asked: f64,
    pub rate_succeeded: f64,
    pub latency_ms: Times,
    pub lateness_ms: Times,
    pub valid: bool,
    pub why_invalid: Vec<String>,
}

/// An address and a path from a URL. Only this machine is loaded.
pub fn target(url: &str) -> Result<(SocketAddr, String), String> {
    let rest = url
        .strip_prefix("http://")
        .ok_or_else(|| format!("'{url}' is no http:// address"))?;
    let (host, path) = rest.find('/').map_or((rest, "/"), |at| rest.split_at(at));
    let host = if host.rsplit(']').next().is_some_and(|end| end.contains(':')) {
        host.to_owned()
    } else {
        format!("{host}:80")
    };
    let mut found = host
        .to_socket_addrs()
        .map_err(|problem| format!("'{host}': {problem}"))?;
    let address = found
        .next()
        .ok_or_else(|| format!("'{host}' has no address"))?;
    if !address.ip().is_loopback() {
        return Err(format!(
            "{address} is not on this machine; the lab loads loopback addresses only"
        ));
    }
    Ok((address, path.to_owned()))
}

struct Worker {
    plan: Arc<Plan>,
    idle: RefCell<VecDeque<TcpStream>>,
    /// Connections there are, idle or not, and who waits for one.
    open: RefCell<usize>,
    most: usize,
    freed: Notify,
    found: RefCell<Part>,
    number: Arc<AtomicU64>,
    turn: RefCell<usize>,
}

struct Part {
    counts: Found,
    latency: Histogram<u64>,
    lateness: Histogram<u64>,
}

enum End {
    Status(u16),
    Unanswered,
}

impl Worker {
    /// A connection that is kept or a new one, as soon as there may be one.
    async fn connection(&self) -> io::Result<(TcpStream, bool)> {
        loop {
            // The one that rested longest, so that all stay in use.
            let kept = self.idle.borrow_mut().pop_front();
            if let Some(stream) = kept {
                if http::is_usable(&stream) {
                    return Ok((stream, true));
                }
                *self.open.borrow_mut() -= 1;
                continue;
            }
            if *self.open.borrow() < self.most {
                *self.open.borrow_mut() += 1;
                let turn = self.turn.replace_with(|turn| *turn + 1);
                let address = self.plan.addresses[turn % self.plan.addresses.len()];
                let connected = TcpStream::connect(address).await;
                if connected.is_err() {
                    self.gone();
                }
                let stream = connected?;
                stream.set_nodelay(true)?;
                return Ok((stream, false));
            }
            self.freed.notified().await;
        }
    }

    fn gone(&self) {
        *self.open.borrow_mut() -= 1;
        self.freed.notify_one();
    }

    async fn request(&self, due: Instant) {
        let Plan {
            path, fields, wait, ..
        } = &*self.plan;
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: lab\r\nX-Txn: {number:016x}\r\nX-Remaining-Ms: {}\r\n{fields}\r\n",
            wait.as_millis()
        );
        let late = due.elapsed();
        let mut end = End::Unanswered;
        // A kept connection that ends without a byte was closed meanwhile: once more, on another.
        for _ in 0..2 {
            let Ok((stream, kept)) = self.connection().await else {
                break;
            };
            let exchange =
                tokio::time::timeout(*wait + WAITS_ON, self.exchange(stream, text.as_bytes()))
                    .await;
            match exchange {
                Ok(Ok(status)) => {
                    end = End::Status(status);
                    break;
                }
                Ok(Err(true)) if kept => self.gone(),
                _ => {
                    self.gone();
                    break;
                }
            }
        }
        let took = due.elapsed();
        let mut found = self.found.borrow_mut();
        let micros = |span: Duration| span.as_micros().max(1) as u64;
        found.lateness.saturating_record(micros(late));
        found.counts.asked += 1;
        match end {
            End::Status(200..=299) => {
                found.counts.succeeded += 1;
                found.latency.saturating_record(micros(took));
            }
            End::Status(429 | 503) => found.counts.rejected += 1,
            End::Status(_) => found.counts.failed += 1,
            End::Unanswered => found.counts.unanswered += 1,
        }
    }

    /// The answer's status; an error tells whether nothing at all came.
    async fn exchange(&self, mut stream: TcpStream, text: &[u8]) -> Result<u16, bool> {
        stream.write_all(text).await.map_err(|_| true)?;
        let mut heard = Vec::new();
        let answer = http::read_answer(&mut stream, &mut heard)
            .await
            .map_err(|_| heard.is_empty())?;
        if answer.lasts {
            self.idle.borrow_mut().push_back(stream);
            self.freed.notify_one();
        } else {
            self.gone();
        }
        Ok(answer.status)
    }

    /// Each client sends its next ticket when it has its answer, until the time is over.
    async fn closed_loop(self: Rc<Self>, until: Instant) {
        while Instant::now() < until {
            self.request(Instant::now()).await;
        }
    }
}

fn work(worker: Worker, mut due: mpsc::Receiver<Instant>) -> io::Result<Part> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let set = LocalSet::new();
    let worker = Rc::new(worker);
    let until = Instant::now() + worker.plan.lasts;
    set.block_on(&runtime, async {
        if worker.plan.rate.is_none() {
            for _ in 0..worker.most {
                tokio::task::spawn_local(Rc::clone(&worker).closed_loop(until));
            }
        }
        while let Some(moment) = due.recv().await {
            let worker = Rc::clone(&worker);
            tokio::task::spawn_local(async move { worker.request(moment).await });
        }
    });
    runtime.block_on(set);
    let blank = Part {
        counts: Found::default(),
        latency: histogram(),
        lateness: histogram(),
    };
    Ok(worker.found.replace(blank))
}

/// Moments of a Poisson process.
fn moments(rate: f64, lasts: Duration, seed: u64) -> impl Iterator<Item = (Instant, Instant)> {
    let (began, mut chance, mut at) = (Instant::now(), RandomSource::split(seed, "load", 0), 0.0);
    std::iter::from_fn(move || {
        at += chance.exponential(1.0 / rate);
        let moment = began + Duration::from_secs_f64(at);
        (at < lasts.as_secs_f64()).then_some((moment, moment))
    })
}

/// Carries out a plan and tells what came of it.
pub fn load(plan: Plan, over: &Arc<AtomicBool>) -> Result<Found, String> {
    let plan = Arc::new(plan);
    let threads = plan.threads.max(1).min(plan.clients.unwrap_or(usize::MAX));
    let (number, dropped) = (Arc::new(AtomicU64::new(1)), AtomicU64::new(0));
    let (mut senders, mut workers) = (Vec::new(), Vec::new());
    for thread in 0..threads {
        let most = plan.clients.map_or(usize::MAX, |clients| {
            clients / threads + usize::from(thread < clients % threads)
        });
        let (sender, due) = mpsc::channel(pace::QUEUE);
        let (plan, number) = (Arc::clone(&plan), Arc::clone(&number));
        senders.push(sender);
        workers.push(std::thread::spawn(move || {
            let found = Part {
                counts: Found::default(),
                latency: histogram(),
                lateness: histogram(),
            };
            let worker = Worker {
                plan,
                idle: RefCell::default(),
                open: RefCell::default(),
                most,
                freed: Notify::new(),
                found: RefCell::new(found),
                number,
                turn: RefCell::new(thread),
            };
            work(worker, due)
        }));
    }
    let began = Instant::now();
    if let Some(rate) = plan.rate {
        pace(
            moments(rate, plan.lasts, plan.seed),
            &senders,
            over,
            &dropped,
        );
    }
    drop(senders);
    let mut found = Found::default();
    let (mut latency, mut lateness) = (histogram(), histogram());
    for worker in workers {
        let part = worker.join().map_err(|_| "the load failed".to_owned())?;
        let part = part.map_err(|problem| format!("the load failed: {problem}"))?;
        found.asked += part.counts.asked;
        found.succeeded += part.counts.succeeded;
        found.rejected += part.counts.rejected;
        found.failed += part.counts.failed;
        found.unanswered += part.counts.unanswered;
        latency += part.latency;
        lateness += part.lateness;
    }
    let took = began.elapsed().min(plan.lasts).as_secs_f64();
    found.dropped = dropped.load(Ordering::Relaxed);
    (found.rate_asked, found.rate_succeeded) =
        (found.asked as f64 / took, found.succeeded as f64 / took);
    (found.latency_ms, found.lateness_ms) = (Times::of(&latency), Times::of(&lateness));
    if plan.rate.is_some() && found.lateness_ms.p99 > LATE_MS {
        found.why_invalid.push(format!(
            "the load was late: p99 {:.2} ms",
            found.lateness_ms.p99
        ));
    }
    if found.dropped > 0 {
        found
            .why_invalid
            .push(format!("{} tickets were never sent", found.dropped));
    }
    found.valid = found.why_invalid.is_empty();
    Ok(found)
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case("http://127.0.0.1:8080/look/1?x=2", Ok(("127.0.0.1:8080", "/look/1?x=2")))]
    #[case("http://[::1]:81", Ok(("[::1]:81", "/")))]
    #[case("http://127.0.0.1", Ok(("127.0.0.1:80", "/")))]
    #[case("https://127.0.0.1/", Err("no http://"))]
    #[case("http://192.0.2.7:80/", Err("not on this machine"))]
    #[case("http://127.0.0.1:x/", Err("invalid"))]
    fn only_this_machine_is_loaded(#[case] url: &str, #[case] wanted: Result<(&str, &str), &str>) {
        match (target(url), wanted) {
            (Ok((address, path)), Ok(wanted)) => {
                assert_eq!((address.to_string().as_str(), path.as_str()), wanted)
            }
            (Err(problem), Err(wanted)) => assert!(problem.contains(wanted), "{problem}"),
            (found, _) => panic!("{found:?}"),
        }
    }

    #[test]
    fn a_poisson_load_is_due_at_its_rate_and_within_its_time() {
        let lasts = Duration::from_secs(2);
        let count = moments(5000.0, lasts, 1).count();
        assert!((9_500..10_500).contains(&count), "{count}");
    }
}
