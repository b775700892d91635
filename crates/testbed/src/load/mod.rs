//! Open-loop load on an HTTP address of this machine. Requests are sent at their scheduled times,
//! independent of the results of other requests, and latency is measured from the scheduled time. A
//! run in which the load itself was late is invalid.

mod worker;

use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use pinefront_model::random::RandomSource;
use serde::Serialize;
use tokio::sync::mpsc;
use worker::Worker;

use crate::clients::latency_histogram;
use crate::error::{Context, Error};
use crate::figures::PercentilesMs;
use crate::pace::{CHANNEL_CAPACITY, Scheduled, send_on_schedule};

/// A run is invalid if the 99th percentile of its lateness is above this value.
pub const MAX_LATENESS_MS: f64 = 1.0;

/// The targets, the rate and the duration of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses over which new connections are distributed in turn.
    pub addresses: Vec<SocketAddr>,
    pub path: String,
    /// Additional header lines, each with its line end.
    pub headers: String,
    /// Requests per second; none for a closed loop, in which each client sends its next request
    /// after the response to its last one.
    pub rate: Option<f64>,
    pub duration: Duration,
    /// Largest number of connections; unlimited where none is given.
    pub clients: Option<usize>,
    pub threads: usize,
    /// The timeout that requests state; clients wait slightly longer for a response.
    pub timeout: Duration,
    pub seed: u64,
}

/// The results of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadResults {
    #[serde(rename = "asked")]
    pub sent: u64,
    pub succeeded: u64,
    #[serde(rename = "dismissed")]
    pub rejected: u64,
    #[serde(rename = "abandoned")]
    pub failed: u64,
    pub unanswered: u64,
    /// Requests that were never sent, since the channel to a worker was full.
    pub dropped: u64,
    #[serde(rename = "rate_asked")]
    pub rate_sent: f64,
    pub rate_succeeded: f64,
    pub latency_ms: PercentilesMs,
    pub lateness_ms: PercentilesMs,
    pub valid: bool,
    #[serde(rename = "why_invalid")]
    pub invalid_reasons: Vec<String>,
}

/// Counts, latencies and lateness of one worker, or of several.
struct WorkerResults {
    counts: LoadResults,
    latency: Histogram<u64>,
    lateness: Histogram<u64>,
}

impl WorkerResults {
    fn new() -> Self {
        Self {
            counts: LoadResults::default(),
            latency: latency_histogram(),
            lateness: latency_histogram(),
        }
    }

    fn add(&mut self, other: Self) {
        self.counts.sent += other.counts.sent;
        self.counts.succeeded += other.counts.succeeded;
        self.counts.rejected += other.counts.rejected;
        self.counts.failed += other.counts.failed;
        self.counts.unanswered += other.counts.unanswered;
        self.latency += other.latency;
        self.lateness += other.lateness;
    }
}

/// The address and the path of a URL.
///
/// # Errors
/// The URL does not start with `http://`, its host can't be resolved, or its address is not a
/// loopback address.
pub fn parse_url(url: &str) -> Result<(SocketAddr, String), Error> {
    let rest = url
        .strip_prefix("http://")
        .ok_or_else(|| Error::new(format!("URL '{url}' does not start with http://")))?;
    let (host, path) = rest.find('/').map_or((rest, "/"), |at| rest.split_at(at));
    let has_port = host.rsplit(']').next().is_some_and(|end| end.contains(':'));
    let host = if has_port {
        host.to_owned()
    } else {
        format!("{host}:80")
    };
    let mut addresses = host
        .to_socket_addrs()
        .context(format!("cannot resolve '{host}'"))?;
    let address = addresses
        .next()
        .ok_or_else(|| Error::new(format!("host '{host}' has no address")))?;
    if !address.ip().is_loopback() {
        return Err(Error::new(format!(
            "{address} is not a loopback address; the testbed loads this machine only"
        )));
    }
    Ok((address, path.to_owned()))
}

/// The arrival times of a Poisson process with a rate per second.
fn arrivals(rate: f64, duration: Duration, seed: u64) -> impl Iterator<Item = Scheduled<Instant>> {
    let started_at = Instant::now();
    let mut random = RandomSource::split(seed, "load", 0);
    let mut seconds = 0.0;
    std::iter::from_fn(move || {
        seconds += random.exponential(1.0 / rate);
        let at = started_at + Duration::from_secs_f64(seconds);
        let is_within = seconds < duration.as_secs_f64();
        is_within.then_some(Scheduled { at, item: at })
    })
}

/// Applies the load of a plan. Returns early when `stop` is set.
pub fn run(plan: LoadPlan, stop: &AtomicBool) -> Result<LoadResults, Error> {
    let plan = Arc::new(plan);
    let threads = plan.threads.max(1).min(plan.clients.unwrap_or(usize::MAX));
    let next_number = Arc::new(AtomicU64::new(1));
    let (mut senders, mut workers) = (Vec::new(), Vec::new());
    for thread in 0..threads {
        let (sender, scheduled) = mpsc::channel(CHANNEL_CAPACITY);
        senders.push(sender);
        let (plan, next_number) = (Arc::clone(&plan), Arc::clone(&next_number));
        workers.push(std::thread::spawn(move || {
            Worker::new(plan, next_number, thread, threads).run(scheduled)
        }));
    }
    let started_at = Instant::now();
    let dropped = AtomicU64::new(0);
    if let Some(rate) = plan.rate {
        let arrivals = arrivals(rate, plan.duration, plan.seed);
        send_on_schedule(arrivals, &senders, stop, &dropped);
    }
    drop(senders);
    let mut results = WorkerResults::new();
    for worker in workers {
        let joined = worker
            .join()
            .map_err(|_| Error::new("a load worker panicked"))?;
        results.add(joined.context("a load worker failed")?);
    }
    let elapsed = started_at.elapsed().min(plan.duration);
    Ok(load_results(&plan, results, dropped.into_inner(), elapsed))
}

fn load_results(
    plan: &LoadPlan,
    workers: WorkerResults,
    dropped: u64,
    elapsed: Duration,
) -> LoadResults {
    let mut results = workers.counts;
    let seconds = elapsed.as_secs_f64();
    results.dropped = dropped;
    results.rate_sent = results.sent as f64 / seconds;
    results.rate_succeeded = results.succeeded as f64 / seconds;
    results.latency_ms = PercentilesMs::from_histogram_us(&workers.latency);
    results.lateness_ms = PercentilesMs::from_histogram_us(&workers.lateness);
    let lateness_ms = results.lateness_ms.p99;
    if plan.rate.is_some() && lateness_ms > MAX_LATENESS_MS {
        let reason = format!(
            "the load was late: p99 {lateness_ms:.2} ms, at most {MAX_LATENESS_MS} ms is valid"
        );
        results.invalid_reasons.push(reason);
    }
    if dropped > 0 {
        let reason = format!("{dropped} requests were never sent");
        results.invalid_reasons.push(reason);
    }
    results.valid = results.invalid_reasons.is_empty();
    results
}

#[cfg(test)]
mod tests;
