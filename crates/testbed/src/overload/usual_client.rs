//! Clients that send one small request at a time on a kept connection, and measure their service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::misbehaving_client::next_id;
use crate::clients::latency_histogram;
use crate::http;

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Time for which a client waits for a response, which its requests state.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a client waits beyond the time it states.
const TIMEOUT_SLACK: Duration = Duration::from_millis(100);

/// Requests of usual clients, by their ends.
pub struct UsualResults {
    pub sent: u64,
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Requests on a kept connection that was closed without a response.
    pub closed: u64,
    /// Kept connections that were closed between two requests.
    pub connections_lost: u64,
    /// Requests without a response in time, or without a connection.
    pub unanswered: u64,
    /// Latency of successful requests, in microseconds.
    pub latency: Histogram<u64>,
}

impl UsualResults {
    pub fn new() -> Self {
        Self {
            sent: 0,
            succeeded: 0,
            rejected: 0,
            failed: 0,
            closed: 0,
            connections_lost: 0,
            unanswered: 0,
            latency: latency_histogram(),
        }
    }

    /// Adds the results of another client.
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.closed += other.closed;
        self.connections_lost += other.connections_lost;
        self.unanswered += other.unanswered;
        self.latency += &other.latency;
    }

    fn count(&mut self, end: RequestEnd, latency: Duration) {
        self.sent += 1;
        match end {
            RequestEnd::Status(200) => {
                self.succeeded += 1;
                self.latency.saturating_record(latency.as_micros() as u64);
            }
            RequestEnd::Status(429 | 503) => self.rejected += 1,
            RequestEnd::Status(_) => self.failed += 1,
            RequestEnd::Closed => self.closed += 1,
            RequestEnd::Unanswered => self.unanswered += 1,
        }
    }
}

/// The end of one request.
#[derive(Clone, Copy)]
enum RequestEnd {
    Status(u16),
    Closed,
    Unanswered,
}

/// Sends requests until `stop` is set. A request whose connection is closed counts as such, and the
/// next one goes out on a new connection.
pub async fn run(address: SocketAddr, stop: &AtomicBool) -> UsualResults {
    let mut results = UsualResults::new();
    let mut connection = None;
    while !stop.load(Ordering::Relaxed) {
        let started_at = Instant::now();
        let is_lost = connection
            .take_if(|stream| !http::is_reusable(stream))
            .is_some();
        results.connections_lost += u64::from(is_lost);
        let attempt = timeout(TIMEOUT + TIMEOUT_SLACK, send(address, &mut connection));
        let end = attempt.await.unwrap_or(RequestEnd::Unanswered);
        results.count(end, started_at.elapsed());
        sleep(PAUSE).await;
    }
    results
}

async fn send(address: SocketAddr, connection: &mut Option<TcpStream>) -> RequestEnd {
    let is_kept = connection.is_some();
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => match TcpStream::connect(address).await {
            Ok(stream) => stream,
            Err(_) => return RequestEnd::Unanswered,
        },
    };
    let _ = stream.set_nodelay(true);
    let id = next_id("u");
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nHost: lab\r\nX-Txn: {id}\r\nX-Remaining-Ms: {}\r\n\r\n",
        TIMEOUT.as_millis()
    );
    let lost = if is_kept {
        RequestEnd::Closed
    } else {
        RequestEnd::Unanswered
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return lost;
    }
    match http::read_response(&mut stream, &mut Vec::new()).await {
        Ok(response) => {
            *connection = response.keep_alive.then_some(stream);
            RequestEnd::Status(response.status)
        }
        Err(_) => lost,
    }
}
