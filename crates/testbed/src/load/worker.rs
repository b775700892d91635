//! A worker of the load: a thread with its own connections.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::{LoadPlan, WorkerResults};
use crate::http;

/// Time that a worker waits for a response beyond the timeout that the request states.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// A request is sent a second time where the reused connection had been closed.
const MAX_SENDS: usize = 2;

/// The connections and results of one thread.
pub(super) struct Worker {
    plan: Arc<LoadPlan>,
    idle_connections: RefCell<VecDeque<TcpStream>>,
    /// Number of connections, idle or not.
    open_connections: Cell<usize>,
    max_connections: usize,
    /// Notified when a connection becomes idle or is closed.
    connection_freed: Notify,
    results: RefCell<WorkerResults>,
    /// The number of the next request, shared by all workers.
    next_number: Arc<AtomicU64>,
    /// Index of the address for the next connection.
    next_address: Cell<usize>,
}

/// A connection to send a request on.
struct Connection {
    stream: TcpStream,
    /// Whether the connection carried a request before.
    is_reused: bool,
}

/// The reason why an exchange failed.
enum ExchangeError {
    /// Nothing was received; a reused connection may have been closed before the request.
    NothingReceived,
    /// The response is truncated or malformed.
    BadResponse,
}

impl Worker {
    /// Worker `thread` of `threads`, which share the plan's connections.
    pub(super) fn new(
        plan: Arc<LoadPlan>,
        next_number: Arc<AtomicU64>,
        thread: usize,
        threads: usize,
    ) -> Self {
        let max_connections = plan.clients.map_or(usize::MAX, |clients| {
            clients / threads + usize::from(thread < clients % threads)
        });
        Self {
            plan,
            idle_connections: RefCell::default(),
            open_connections: Cell::new(0),
            max_connections,
            connection_freed: Notify::new(),
            results: RefCell::new(WorkerResults::new()),
            next_number,
            next_address: Cell::new(thread),
        }
    }

    /// Sends the scheduled requests until the channel is closed. In a closed loop, sends requests
    /// until the duration of the plan is over.
    pub(super) fn run(self, mut scheduled: mpsc::Receiver<Instant>) -> io::Result<WorkerResults> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let tasks = LocalSet::new();
        let worker = Rc::new(self);
        let deadline = Instant::now() + worker.plan.duration;
        tasks.block_on(&runtime, async {
            if worker.plan.rate.is_none() {
                for _ in 0..worker.max_connections {
                    tokio::task::spawn_local(Rc::clone(&worker).send_in_closed_loop(deadline));
                }
            }
            while let Some(at) = scheduled.recv().await {
                let worker = Rc::clone(&worker);
                tokio::task::spawn_local(async move { worker.send_request(at).await });
            }
        });
        runtime.block_on(tasks);
        Ok(worker.results.replace(WorkerResults::new()))
    }

    async fn send_in_closed_loop(self: Rc<Self>, deadline: Instant) {
        while Instant::now() < deadline {
            self.send_request(Instant::now()).await;
        }
    }

    /// Sends a request that was scheduled for that time, and records its result.
    async fn send_request(&self, scheduled_at: Instant) {
        let text = self.request_text();
        let lateness = scheduled_at.elapsed();
        let status = self.fetch_status(&text).await;
        let latency = scheduled_at.elapsed();
        let mut results = self.results.borrow_mut();
        results.lateness.saturating_record(as_micros(lateness));
        results.counts.sent += 1;
        match status {
            Some(200..=299) => {
                results.counts.succeeded += 1;
                results.latency.saturating_record(as_micros(latency));
            }
            Some(429 | 503) => results.counts.rejected += 1,
            Some(_) => results.counts.failed += 1,
            None => results.counts.unanswered += 1,
        }
    }

    fn request_text(&self) -> String {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let LoadPlan {
            path,
            headers,
            timeout,
            ..
        } = &*self.plan;
        format!(
            "GET {path} HTTP/1.1\r\nHost: lab\r\nX-Txn: {number:016x}\r\nX-Remaining-Ms: {}\r\n\
             {headers}\r\n",
            timeout.as_millis()
        )
    }

    /// Sends a request and returns the status of the response; none if no response arrived.
    async fn fetch_status(&self, text: &str) -> Option<u16> {
        for _ in 0..MAX_SENDS {
            let connection = self.connection().await.ok()?;
            let is_reused = connection.is_reused;
            let exchange = self.exchange(connection.stream, text.as_bytes());
            match timeout(self.plan.timeout + TIMEOUT_MARGIN, exchange).await {
                Ok(Ok(status)) => return Some(status),
                Ok(Err(ExchangeError::NothingReceived)) if is_reused => self.release_connection(),
                _ => {
                    self.release_connection();
                    return None;
                }
            }
        }
        None
    }

    /// Returns an idle connection or a new one, and waits while the maximum is in use.
    async fn connection(&self) -> io::Result<Connection> {
        loop {
            // The connection that was idle for the longest time is used, so that all stay in use.
            let idle = self.idle_connections.borrow_mut().pop_front();
            if let Some(stream) = idle {
                if http::is_reusable(&stream) {
                    return Ok(Connection {
                        stream,
                        is_reused: true,
                    });
                }
                self.open_connections.update(|open| open - 1);
                continue;
            }
            if self.open_connections.get() < self.max_connections {
                return self.connect().await;
            }
            self.connection_freed.notified().await;
        }
    }

    async fn connect(&self) -> io::Result<Connection> {
        self.open_connections.update(|open| open + 1);
        let index = self.next_address.replace(self.next_address.get() + 1);
        let address = self.plan.addresses[index % self.plan.addresses.len()];
        let connected = TcpStream::connect(address).await;
        if connected.is_err() {
            self.release_connection();
        }
        let stream = connected?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            is_reused: false,
        })
    }

    /// Counts a connection as closed, and wakes a task that waits for one.
    fn release_connection(&self) {
        self.open_connections.update(|open| open - 1);
        self.connection_freed.notify_one();
    }

    /// Sends a request on a connection, and returns the status of the response.
    async fn exchange(&self, mut stream: TcpStream, text: &[u8]) -> Result<u16, ExchangeError> {
        let written = stream.write_all(text).await;
        written.map_err(|_| ExchangeError::NothingReceived)?;
        let mut buffer = Vec::new();
        let Ok(response) = http::read_response(&mut stream, &mut buffer).await else {
            return Err(if buffer.is_empty() {
                ExchangeError::NothingReceived
            } else {
                ExchangeError::BadResponse
            });
        };
        if response.keep_alive {
            self.idle_connections.borrow_mut().push_back(stream);
            self.connection_freed.notify_one();
        } else {
            self.release_connection();
        }
        Ok(response.status)
    }
}

/// A duration in whole microseconds, at least 1, the lowest value of the histograms.
fn as_micros(duration: Duration) -> u64 {
    duration.as_micros().max(1) as u64
}
