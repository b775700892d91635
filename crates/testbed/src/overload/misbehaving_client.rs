//! Clients that hold or consume more of a balancer than their requests are worth. Each of them
//! connects again as soon as its connection ends.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use clap::ValueEnum;
use pinefront_model::random::RandomSource;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::http;

/// Length of a body that a client begins or sends.
const BODY_BYTES: usize = 64 * 1024;
/// Length of the part of a body that is sent before the client stalls.
const STALLED_BODY_BYTES: usize = 60 * 1024;
/// Length of the part of a body that a slow client sends at once.
const SLOW_PIECE_BYTES: usize = 200;
/// Pause between the parts of a slow client.
const SLOW_PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Number of fields of a head with very many short fields.
const SHORT_FIELDS: usize = 3_000;
/// Number of bytes that a client goes on sending after a message that is rejected.
const BYTES_AFTER_REJECTION: usize = 95 * 1024;
/// Stated length of a body far beyond the limit.
const HUGE_BODY_BYTES: usize = 60 * 1024 * 1024;
/// Number of malformed requests written at once.
const FLOOD_BATCH: usize = 64;
/// Size of the buffer for the responses to malformed requests.
const FLOOD_READ_BYTES: usize = 16 * 1024;
/// Longest time that a client waits for something to happen on its connection.
const PATIENCE: Duration = Duration::from_secs(12);
/// Pause before a client connects again after a connect that failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause of a client whose pace is drawn.
const MAX_DRAWN_PAUSE_MS: usize = 50;
/// Largest piece of a client whose pieces are drawn.
const MAX_DRAWN_PIECE_BYTES: usize = 4 * 1024;

/// Time after which a client leaves that comes again.
const TIME_BEFORE_RESET: Duration = Duration::from_millis(8);
/// Longest pause of a client before it comes again.
const MAX_RETURN_PAUSE_MS: usize = 300;

/// Numbers the requests of misbehaving clients, so that each has an id of its own.
static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// What a misbehaving client does on each of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Behaviour {
    /// Sends most of a body, then nothing.
    StalledBodies,
    /// Sends a body in small pieces.
    SlowBodies,
    /// Sends pieces of a drawn size, at a drawn pace.
    DrawnPieces,
    /// Sends heads with thousands of short fields.
    ShortFields,
    /// Sends bodies in chunks of one byte.
    TinyChunks,
    /// Requests long responses, and reads none of them.
    UnreadResponses,
    /// Gets a response, then a rejection, and goes on sending.
    RejectedSenders,
    /// Sends whole requests that take long to serve.
    LargeRequests,
    /// States a body far beyond the limit, and sends as much of it as is read.
    HugeBodies,
    /// Sends malformed requests at full speed, under ever new names.
    MalformedFlood,
    /// Leaves before the response to a request, then sends the same request again.
    ReturningRequests,
}

impl Behaviour {
    /// All behaviours of clients that come in large numbers.
    pub const CROWD: [Self; 9] = [
        Self::StalledBodies,
        Self::SlowBodies,
        Self::DrawnPieces,
        Self::ShortFields,
        Self::TinyChunks,
        Self::UnreadResponses,
        Self::RejectedSenders,
        Self::LargeRequests,
        Self::HugeBodies,
    ];
}

/// Runs a misbehaving client until its task is dropped. The random source decides sizes and pauses
/// that are drawn.
pub async fn run(address: SocketAddr, behaviour: Behaviour, mut random: RandomSource) {
    loop {
        let Ok(stream) = TcpStream::connect(address).await else {
            sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut client = Client { stream };
        // A connection that the balancer ends is what these clients expect.
        let _ = timeout(PATIENCE, client.misbehave(behaviour, &mut random)).await;
    }
}

/// One connection of a misbehaving client.
struct Client {
    stream: TcpStream,
}

impl Client {
    async fn misbehave(
        &mut self,
        behaviour: Behaviour,
        random: &mut RandomSource,
    ) -> std::io::Result<()> {
        match behaviour {
            Behaviour::StalledBodies => self.stall_in_body().await,
            Behaviour::SlowBodies => self.send_body(SLOW_PIECE_BYTES, SLOW_PIECE_PAUSE).await,
            Behaviour::DrawnPieces => {
                let piece = 1 + random.below(MAX_DRAWN_PIECE_BYTES);
                let pause_ms = random.below(MAX_DRAWN_PAUSE_MS) as u64;
                self.send_body(piece, Duration::from_millis(pause_ms)).await
            }
            Behaviour::ShortFields => self.send_short_fields().await,
            Behaviour::TinyChunks => self.send_tiny_chunks().await,
            Behaviour::UnreadResponses => self.leave_responses_unread().await,
            Behaviour::RejectedSenders => self.send_after_rejection().await,
            Behaviour::LargeRequests => self.send_large_request().await,
            Behaviour::HugeBodies => self.send_huge_body().await,
            Behaviour::MalformedFlood => Box::pin(self.flood()).await,
            Behaviour::ReturningRequests => self.return_with_request(random).await,
        }
    }

    async fn stall_in_body(&mut self) -> std::io::Result<()> {
        self.send(&order_head(BODY_BYTES)).await?;
        self.send(&vec![b'b'; STALLED_BODY_BYTES]).await?;
        self.wait_for_end().await
    }

    async fn send_body(&mut self, piece: usize, pause: Duration) -> std::io::Result<()> {
        self.send(&order_head(BODY_BYTES)).await?;
        let body = vec![b's'; BODY_BYTES];
        for part in body.chunks(piece) {
            self.send(part).await?;
            sleep(pause).await;
        }
        self.read_response().await
    }

    async fn send_short_fields(&mut self) -> std::io::Result<()> {
        let fields = "a:b\r\n".repeat(SHORT_FIELDS);
        let head = format!("GET /look/1 HTTP/1.1\r\n{fields}\r\n");
        self.send(&head).await?;
        self.wait_for_end().await
    }

    async fn send_tiny_chunks(&mut self) -> std::io::Result<()> {
        const CHUNK: &str = "1\r\nx\r\n";
        let chunks = CHUNK.repeat(BODY_BYTES / CHUNK.len());
        let head = order_lines("/order/slow", "Transfer-Encoding: chunked\r\n");
        self.send(&format!("{head}{chunks}0\r\n\r\n")).await?;
        self.read_response().await
    }

    async fn leave_responses_unread(&mut self) -> std::io::Result<()> {
        for _ in 0..2 {
            self.send(&look_request("/look/large")).await?;
        }
        sleep(PATIENCE).await;
        Ok(())
    }

    async fn send_after_rejection(&mut self) -> std::io::Result<()> {
        self.send(&look_request("/look/1")).await?;
        self.read_response().await?;
        self.send("GET /look/1 HTTP/1.1\r\nno field\r\n\r\n")
            .await?;
        self.send(&vec![b'x'; BYTES_AFTER_REJECTION]).await?;
        sleep(PATIENCE).await;
        Ok(())
    }

    async fn send_large_request(&mut self) -> std::io::Result<()> {
        let head = order_lines("/order/slow", &content_length(BODY_BYTES));
        self.send(&head).await?;
        self.send(&vec![b'b'; BODY_BYTES]).await?;
        self.read_response().await
    }

    async fn send_huge_body(&mut self) -> std::io::Result<()> {
        self.send(&order_head(HUGE_BODY_BYTES)).await?;
        loop {
            self.send(&vec![b'h'; BODY_BYTES]).await?;
        }
    }

    async fn send(&mut self, bytes: &(impl AsRef<[u8]> + ?Sized)) -> std::io::Result<()> {
        self.stream.write_all(bytes.as_ref()).await
    }

    async fn read_response(&mut self) -> std::io::Result<()> {
        http::read_response(&mut self.stream, &mut Vec::new()).await?;
        Ok(())
    }

    /// Reads until the balancer closes the connection.
    async fn wait_for_end(&mut self) -> std::io::Result<()> {
        let mut buffer = [0; 1024];
        while self.stream.read(&mut buffer).await? > 0 {}
        Ok(())
    }

    /// Sends a request and resets the connection; sends it again on a new one.
    async fn return_with_request(&mut self, random: &mut RandomSource) -> std::io::Result<()> {
        let request = order_lines("/order/1", &content_length(0));
        self.send(&request).await?;
        sleep(TIME_BEFORE_RESET).await;
        self.stream.set_zero_linger()?;
        let address = self.stream.peer_addr()?;
        let next = TcpStream::connect(address).await?;
        drop(std::mem::replace(&mut self.stream, next));
        let pause_ms = random.below(MAX_RETURN_PAUSE_MS) as u64;
        sleep(Duration::from_millis(pause_ms)).await;
        self.send(&request).await?;
        self.read_response().await
    }

    /// Sends malformed requests and reads the responses, both as fast as the balancer allows.
    async fn flood(&mut self) -> std::io::Result<()> {
        let (mut reader, mut writer) = self.stream.split();
        let write = async {
            loop {
                let requests: String = (0..FLOOD_BATCH).map(|_| malformed_request()).collect();
                writer.write_all(requests.as_bytes()).await?;
            }
        };
        let read = async {
            let mut buffer = vec![0; FLOOD_READ_BYTES];
            while reader.read(&mut buffer).await? > 0 {}
            Err(std::io::ErrorKind::UnexpectedEof.into())
        };
        let result: std::io::Result<()> = tokio::select! {
            result = write => result,
            result = read => result,
        };
        result
    }
}

/// Returns an id that no other request has.
pub fn next_id(prefix: &str) -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{prefix}-{}-{number}", std::process::id())
}

fn content_length(length: usize) -> String {
    format!("Content-Length: {length}\r\n")
}

fn order_lines(path: &str, framing: &str) -> String {
    let id = next_id("m");
    format!(
        "POST {path} HTTP/1.1\r\nHost: lab\r\nX-Txn: {id}\r\nX-Remaining-Ms: 2000\r\n\
         Idempotency-Key: {id}\r\n{framing}\r\n"
    )
}

fn order_head(length: usize) -> String {
    order_lines("/order/1", &content_length(length))
}

fn look_request(path: &str) -> String {
    let id = next_id("m");
    format!("GET {path} HTTP/1.1\r\nHost: lab\r\nX-Txn: {id}\r\nX-Remaining-Ms: 2000\r\n\r\n")
}

/// A request whose remaining time cannot be read, under a new id, class, tenant and key.
fn malformed_request() -> String {
    let id = next_id("f");
    format!(
        "GET /class-{id}/1 HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: lane-{id}\r\nX-Org: org-{id}\r\n\
         X-Entity: {id}\r\nX-Remaining-Ms: soon\r\n\r\n"
    )
}
