//! Generates the load of a run: worker threads, the thread that sends requests on schedule, and the
//! progress line on the terminal.

use std::io::{self, IsTerminal, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use pinefront_model::SECOND;
use pinefront_model::traffic::Arrivals;
use tokio::sync::mpsc;

use super::RunOptions;
use super::setup::BalancerGroup;
use crate::clients::{Load, run_worker};
use crate::error::{Context, Error};
use crate::pace::{CHANNEL_CAPACITY, Scheduled, send_on_schedule};
use crate::world::locked;

const WORKER_THREADS: usize = 2;
/// Longest time that the workers may run after all requests have been sent.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval at which the workers and the balancer processes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the progress line is printed.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the load until all requests have ended. Returns the number of requests that were dropped
/// because the channel to a worker was full.
pub(super) fn run_load(
    load: &Arc<Load>,
    group: &BalancerGroup,
    options: &RunOptions,
) -> Result<u64, Error> {
    let (mut senders, mut workers) = (Vec::new(), Vec::new());
    for _ in 0..WORKER_THREADS {
        let (sender, requests) = mpsc::channel(CHANNEL_CAPACITY);
        senders.push(sender);
        let load = Arc::clone(load);
        workers.push(std::thread::spawn(move || run_worker(&load, requests)));
    }
    let dropped = Arc::new(AtomicU64::new(0));
    let scheduler = {
        let (world, stop) = (Arc::clone(&load.world), Arc::clone(&options.stop));
        let dropped = Arc::clone(&dropped);
        std::thread::spawn(move || {
            let timeline = world.timeline().clone();
            let arrivals = Arrivals::new(&world.scenario, &timeline, world.seed);
            let scheduled = arrivals.map(|request| Scheduled {
                at: world.clock.instant_at(request.scheduled_at),
                item: request,
            });
            send_on_schedule(scheduled, &senders, &stop, &dropped);
        })
    };
    wait_for_workers(load, group, options, &workers, &scheduler);
    for worker in workers.into_iter().filter(JoinHandle::is_finished) {
        let joined = worker
            .join()
            .map_err(|_| Error::new("a load worker panicked"))?;
        joined.context("a load worker failed")?;
    }
    Ok(dropped.load(Ordering::Relaxed))
}

/// Waits until all workers have ended, but at most `DRAIN_TIMEOUT` after the last request was
/// sent. Balancers that exited unexpectedly get no more requests.
fn wait_for_workers(
    load: &Load,
    group: &BalancerGroup,
    options: &RunOptions,
    workers: &[JoinHandle<io::Result<()>>],
    scheduler: &JoinHandle<()>,
) {
    let shows_progress = options.shows_progress && io::stderr().is_terminal();
    let (mut shown_at, mut deadline) = (Instant::now(), None);
    while workers.iter().any(|worker| !worker.is_finished()) {
        std::thread::sleep(CHECK_INTERVAL);
        for balancer in locked(&group.processes).iter_mut() {
            if balancer.has_exited() && !balancer.unexpected_exits.is_empty() {
                load.front_end.set_available(balancer.number, false);
            }
        }
        if shows_progress && shown_at.elapsed() >= PROGRESS_INTERVAL {
            shown_at = Instant::now();
            show_progress(load);
        }
        if scheduler.is_finished() {
            let deadline = *deadline.get_or_insert_with(|| Instant::now() + DRAIN_TIMEOUT);
            if Instant::now() > deadline {
                break;
            }
        }
    }
    if shows_progress {
        eprintln!();
    }
}

fn show_progress(load: &Load) {
    let results = locked(&load.results);
    let counts = &results.counts;
    let p99_ms = results.latency.value_at_quantile(0.99) as f64 / 1000.0;
    let text = format!(
        "\r{:>4} s  {} sent  {} succeeded  {} rejected  {} failed  p99 {p99_ms:.0} ms  \
         {} rules violated   ",
        load.world.now() / SECOND,
        counts.sent,
        counts.succeeded,
        counts.rejected,
        counts.failed,
        locked(&load.world.checker).violations().len(),
    );
    drop(results);
    // An error is ignored, since the terminal may have been closed.
    let _ = io::stderr().write_all(text.as_bytes());
}
