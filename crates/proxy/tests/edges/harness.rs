//! One `pinefront` process between stand-ins for discovery and an endpoint, on loopback addresses
//! that belong to the test.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Maximum duration of a step, far longer than any step takes; beyond it the test fails.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of bytes taken by one read from a socket.
const READ_BYTES: usize = 4096;

/// Returns a loopback address that no other test uses. Outgoing connections of other tests
/// and programs come from 127.0.0.1, so a port that was free here a moment ago is still free.
pub fn unique_loopback_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, upper, lower] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(
        127,
        upper | 0x40,
        lower,
        NEXT.fetch_add(1, Ordering::Relaxed),
    ))
}

pub fn free_port(ip: IpAddr) -> SocketAddr {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

/// Returns a configuration in which no result depends on time: one attempt for each request, and no
/// load reports.
pub fn config(listen: SocketAddr, discovery: SocketAddr) -> Value {
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 1024},
        "settings": {
            "fleetSize": 1, "me": 0, "zone": 0, "registryMode": "ask", "weightKind": "off",
            "dcs": ["a", "b"], "kinds": ["m1"], "report": {"source": "inline"},
            "caps": {"cancel": true, "secondCopies": false, "maxDispatches": 1, "retryAfter": true,
                "maxRetryAfterUs": 1_000_000, "connIdleUs": 15_000_000,
                "connectTimeoutUs": 5_000_000},
            "rules": {"askWithinUs": 20_000_000, "coldFrom": 0.3, "warmUpUs": 8_800_000,
                "tipMultiple": 3.0, "fallUs": 1_000_000, "drainGraceUs": 400_000},
            "accounts": [{"name": "acme", "allowancePerS": 100.0}],
            "useCases": [
                {"name": "pay", "effect": "keyed", "dedupScope": "cell", "dedupWindowUs": 2_500_000,
                    "promisedTimeUs": 20_000_000},
                {"name": "look", "effect": "safe", "promisedTimeUs": 20_000_000},
                {"name": "swap", "effect": "unsafe", "promisedTimeUs": 20_000_000}]}
    })
}

pub fn list_entry(id: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": id, "endpoint": address.to_string(), "az": "a", "model": "m1", "pod_group": 0,
        "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// Returns six endpoints with one address. A balancer without samples admits every request when it
/// has this many endpoints to itself.
pub fn six_entries(address: SocketAddr) -> Vec<Value> {
    ["s1", "s2", "s3", "s4", "s5", "s6"]
        .map(|id| list_entry(id, address, "active"))
        .to_vec()
}

pub fn http_response(body: &Value) -> Vec<u8> {
    let text = body.to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    )
    .into_bytes()
}

/// Action of a stand-in on a received message.
#[derive(Clone)]
pub enum Reply {
    /// Writes these bytes and continues to read.
    Respond(Vec<u8>),
    /// Writes these bytes and closes the connection.
    RespondAndClose(Vec<u8>),
    /// Writes these bytes once the test releases them.
    WhenReleased(Vec<u8>),
    /// Keeps the connection open and never responds.
    Hold,
}

/// A message that a stand-in received, and the index of its connection.
pub struct Received {
    pub connection: usize,
    pub bytes: Vec<u8>,
}

type Script = dyn Fn(usize, &[u8]) -> Reply + Send + Sync;

/// An HTTP server that belongs to the test. The script gets the index of the message, starting at
/// 0, and its bytes.
pub struct StandIn {
    pub address: SocketAddr,
    pub received: Receiver<Received>,
    release: Arc<Mutex<bool>>,
}

impl StandIn {
    pub fn start(
        ip: IpAddr,
        script: impl Fn(usize, &[u8]) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = channel();
        let release = Arc::new(Mutex::new(false));
        let script: Arc<Script> = Arc::new(script);
        let released = Arc::clone(&release);
        thread::spawn(move || {
            let messages = Arc::new(Mutex::new(0));
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                let connection = StandInConnection {
                    stream,
                    connection,
                    sender: sender.clone(),
                    script: Arc::clone(&script),
                    messages: Arc::clone(&messages),
                    released: Arc::clone(&released),
                };
                thread::spawn(move || connection.run());
            }
        });
        Self {
            address,
            received,
            release,
        }
    }

    pub fn next(&self) -> Received {
        self.received
            .recv_timeout(STEP_TIMEOUT)
            .expect("the stand-in received no message in time")
    }

    pub fn release(&self) {
        *self.release.lock().unwrap() = true;
    }
}

/// One connection of a stand-in.
struct StandInConnection {
    stream: TcpStream,
    connection: usize,
    sender: Sender<Received>,
    script: Arc<Script>,
    messages: Arc<Mutex<usize>>,
    released: Arc<Mutex<bool>>,
}

impl StandInConnection {
    fn run(mut self) {
        let mut unread = Vec::new();
        while let Some(bytes) = read_message(&mut self.stream, &mut unread) {
            let number = {
                let mut messages = self.messages.lock().unwrap();
                *messages += 1;
                *messages - 1
            };
            let reply = (self.script)(number, &bytes);
            let connection = self.connection;
            if self.sender.send(Received { connection, bytes }).is_err() {
                return;
            }
            match reply {
                Reply::Respond(bytes) => _ = self.stream.write_all(&bytes),
                Reply::RespondAndClose(bytes) => {
                    _ = self.stream.write_all(&bytes);
                    return;
                }
                Reply::WhenReleased(bytes) => {
                    while !*self.released.lock().unwrap() {
                        thread::sleep(Duration::from_millis(2));
                    }
                    _ = self.stream.write_all(&bytes);
                }
                Reply::Hold => {}
            }
        }
    }
}

/// Reads one message including its body; returns `None` if the connection ends before the message
/// is complete.
fn read_message(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Vec<u8>> {
    loop {
        if let Some(length) = message_length(unread) {
            return Some(unread.drain(..length).collect());
        }
        let mut part = [0; READ_BYTES];
        match stream.read(&mut part) {
            Ok(count) if count > 0 => unread.extend_from_slice(&part[..count]),
            _ => return None,
        }
    }
}

/// Returns the length of the complete message at the front, according to its `Content-Length`.
pub fn message_length(bytes: &[u8]) -> Option<usize> {
    let head = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
    let content_length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let body: usize = content_length.unwrap_or(0);
    (bytes.len() >= head + body).then_some(head + body)
}

/// A running `pinefront` process that is killed at the end of the test.
pub struct Balancer {
    pub address: SocketAddr,
    pub config_file: PathBuf,
    child: Child,
}

impl Balancer {
    /// Starts the process with a configuration and waits until it responds.
    pub fn start(test: &str, config: &Value) -> Self {
        let address: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
        let config_file = write_config(test, config);
        let child = Command::new(env!("CARGO_BIN_EXE_pinefront"))
            .args(["serve", "--config"])
            .arg(&config_file)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let balancer = Self {
            address,
            config_file,
            child,
        };
        balancer.wait_for("/health/live");
        balancer
    }

    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until a page returns status 200.
    pub fn wait_for(&self, page: &str) {
        let started = Instant::now();
        let request = format!("GET {page} HTTP/1.1\r\nHost: app\r\nConnection: close\r\n\r\n");
        while !TcpStream::connect(self.address).is_ok_and(|mut stream| {
            stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
            let mut response = Vec::new();
            let is_sent = stream.write_all(request.as_bytes()).is_ok();
            is_sent
                && stream.read_to_end(&mut response).is_ok()
                && response.starts_with(b"HTTP/1.1 200")
        }) {
            assert!(
                started.elapsed() < STEP_TIMEOUT,
                "{page} did not return status 200 in time"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends a request on a new connection and returns all received bytes: up to the end of the
    /// connection if the response announces a close, otherwise one complete response.
    pub fn send_request(&self, request: &[u8]) -> Vec<u8> {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.write_all(request).unwrap();
        read_response(&mut stream)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.config_file);
    }
}

/// Reads one response after any `100 Continue`, up to the end of the connection if the response
/// contains `Connection: close`.
pub fn read_response(stream: &mut TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        let complete = message_length(&bytes).is_some() && !text.ends_with("100 continue\r\n\r\n");
        if complete && !text.contains("connection: close") {
            return bytes;
        }
        let mut part = [0; READ_BYTES];
        match stream.read(&mut part) {
            Ok(0) => return bytes,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => panic!("{error} after {:?}", String::from_utf8_lossy(&bytes)),
        }
    }
}

pub fn write_config(test: &str, config: &Value) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = directory.join(format!("edges-{}-{test}.json", std::process::id()));
    std::fs::write(&file, config.to_string()).unwrap();
    file
}

/// Received bytes as text for comparison: escaped, with a line break after each received one, and
/// with names instead of addresses.
pub struct Recording {
    names: HashMap<String, &'static str>,
    text: String,
}

impl Recording {
    pub fn new(names: &[(SocketAddr, &'static str)]) -> Self {
        let names = names
            .iter()
            .map(|(address, name)| (address.to_string(), *name))
            .collect();
        Self {
            names,
            text: String::new(),
        }
    }

    pub fn add(&mut self, title: &str, bytes: &[u8]) {
        let mut text = String::from_utf8_lossy(bytes).into_owned();
        for (address, name) in &self.names {
            text = text.replace(address, name);
        }
        text = mask_field(&text, "X-Remaining-Ms: ");
        text = mask_field(&text, "Retry-After: ");
        let escaped = text.as_bytes().escape_ascii().to_string();
        let lines = escaped.replace("\\n", "\\n\n");
        self.text += &format!("## {title}\n{}\n", lines.trim_end_matches('\n'));
    }

    /// Compares the text with the recorded file, or writes the file first if `RECORD_EDGES` is set.
    pub fn compare(&self, name: &str) {
        let file = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("tests/recorded")
            .join(name);
        if std::env::var_os("RECORD_EDGES").is_some() {
            std::fs::write(&file, &self.text).unwrap();
        }
        let recorded = std::fs::read_to_string(&file).unwrap();
        for (number, (actual, expected)) in self.text.lines().zip(recorded.lines()).enumerate() {
            assert_eq!(actual, expected, "{name}, line {}", number + 1);
        }
        assert_eq!(
            self.text, recorded,
            "{name}: lines are missing or left over at the end"
        );
    }
}

/// Replaces the number after a field name, which varies with time: the digits before a decimal
/// point by one `N`, the digits after it by one `N` each.
fn mask_field(text: &str, field: &str) -> String {
    let mut parts = text.split(field);
    let mut masked = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let end = part
            .find(|character: char| !character.is_ascii_digit() && character != '.')
            .unwrap_or(part.len());
        let (number, rest) = part.split_at(end);
        masked += field;
        if let Some((_, decimals)) = number.split_once('.') {
            masked += &format!("N.{}", "N".repeat(decimals.len()));
        } else if !number.is_empty() {
            masked += "N";
        }
        masked += rest;
    }
    masked
}
