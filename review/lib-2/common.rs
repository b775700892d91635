//! Parts shared by the cases of the second review: stand-ins of discovery, of servers and of
//! clients on loopback, the start and the end of balancer processes, and the record.
//! Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The record of a case: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.started.elapsed().as_millis());
    }
}

/// What every case needs: its record, its temporary folder, and whether the disruption happens.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    pub trouble: bool,
    pub run_command: String,
}

impl Case {
    /// Reads the environment that `run.sh` sets, and ends the case after 110 s in any event.
    pub fn start() -> Self {
        let record_path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let folder = PathBuf::from(std::env::var("CASE_FOLDER").expect("CASE_FOLDER"));
        let file = match File::create(&record_path) {
            Ok(file) => file,
            Err(error) => {
                eprintln!("cannot write the record: {error}");
                std::process::exit(NOT_RUN);
            }
        };
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        };
        record.line(&format!("trouble={}", u8::from(trouble)));
        let limit = record.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(110));
            limit.line("RESULT could not run: 110 s have passed");
            std::process::exit(NOT_RUN);
        });
        Self {
            record,
            folder,
            trouble,
            run_command: std::env::var("RUN_COMMAND").expect("RUN_COMMAND"),
        }
    }

    /// Starts a balancer with the command of the deploy file, as the platform does.
    pub fn balancer(&self, name: &str, listen: SocketAddr, config: &str, operator: Option<&str>) -> Balancer {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, config).expect("configuration");
        let mut command = self.run_command.clone();
        if let Some(operator) = operator {
            let file = self.folder.join(format!("{name}.toml"));
            std::fs::write(&file, operator).expect("operator file");
            command = format!("{command} --operator {}", file.display());
        }
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .env("BALANCER_CONFIG", &path)
            .env("BALANCER_NAME", name)
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => self.not_run(&format!("cannot start a balancer: {error}")),
        };
        self.record.line(&format!("balancer {name} started"));
        Balancer {
            name: name.to_owned(),
            listen,
            config: path,
            child: Mutex::new(child),
            record: self.record.clone(),
        }
    }

    /// Ends the case because it could not run.
    pub fn not_run(&self, why: &str) -> ! {
        self.record.line(&format!("RESULT could not run: {why}"));
        eprintln!("could not run: {why}");
        // The script ends the processes of this group.
        std::process::exit(NOT_RUN);
    }

    /// Writes the verdict, and returns the exit code.
    pub fn verdict(&self, broken: bool, text: &str) -> i32 {
        let word = if broken { "broken" } else { "held" };
        self.record.line(&format!("RESULT {word}: {text}"));
        println!("{word}: {text}");
        if broken { BROKEN } else { HELD }
    }
}

/// A balancer process. It is killed when this value is dropped.
pub struct Balancer {
    pub name: String,
    pub listen: SocketAddr,
    pub config: PathBuf,
    child: Mutex<Child>,
    record: Record,
}

impl Balancer {
    pub fn signal(&self, signal: i32, what: &str) {
        let pid = self.child.lock().unwrap().id() as i32;
        self.record.line(&format!("{what} to balancer {}", self.name));
        unsafe { kill(pid, signal) };
    }

    /// Sends a signal without a line in the record.
    pub fn signal_quietly(&self, signal: i32) {
        let pid = self.child.lock().unwrap().id() as i32;
        unsafe { kill(pid, signal) };
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(Some(_)))
    }

    /// Waits until the balancer is ready.
    pub fn wait_ready(&self, case: &Case) {
        let by = Instant::now() + Duration::from_secs(30);
        while Instant::now() < by {
            if let Ok(answer) = get(self.listen, "/health/ready", Duration::from_millis(500))
                && answer.status == 200
            {
                self.record.line(&format!("balancer {} ready", self.name));
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        case.not_run(&format!("balancer {} was not ready in 30 s", self.name));
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        unsafe { kill(child.id() as i32, SIGCONT) };
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A free TCP address on loopback.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    listener.local_addr().expect("address")
}

/// A free UDP address on loopback.
pub fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    socket.local_addr().expect("address")
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// A message as it was read: its first line, its fields in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Reads one message with a stated length. `None` at the end of the stream or an error.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut message = Message {
                first_line: lines.next().unwrap_or("").to_owned(),
                ..Message::default()
            };
            for line in lines {
                if let Some((name, value)) = line.split_once(':') {
                    let name = name.trim().to_ascii_lowercase();
                    message.fields.insert(name, value.trim().to_owned());
                }
            }
            let length: usize = message.field("content-length").parse().unwrap_or(0);
            let from = end + 4;
            while rest.len() < from + length {
                match stream.read(&mut chunk) {
                    Ok(count) if count > 0 => rest.extend_from_slice(&chunk[..count]),
                    _ => return None,
                }
            }
            message.body = rest[from..from + length].to_vec();
            rest.drain(..from + length);
            return Some(message);
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => rest.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

/// An answer to a client.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub fields: HashMap<String, String>,
}

/// A client's connection to a balancer, which carries one request at a time.
pub struct Connection {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn open(to: SocketAddr, patience: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, patience)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Self {
            stream,
            rest: Vec::new(),
        })
    }

    pub fn send(&mut self, request: &str) -> std::io::Result<()> {
        self.stream.write_all(request.as_bytes())
    }

    pub fn set_patience(&mut self, patience: Duration) {
        let _ = self.stream.set_read_timeout(Some(patience));
    }

    /// Reads an answer; `None` where the connection ends without a whole one, or time is up.
    pub fn read(&mut self) -> Option<Answer> {
        let message = read_message(&mut self.stream, &mut self.rest)?;
        let status = message.first_line.split(' ').nth(1)?.parse().ok()?;
        Some(Answer {
            status,
            body: String::from_utf8_lossy(&message.body).into_owned(),
            fields: message.fields,
        })
    }

    pub fn exchange(&mut self, request: &str) -> Option<Answer> {
        self.send(request).ok()?;
        self.read()
    }
}

/// Gets one page on a connection of its own.
pub fn get(to: SocketAddr, path: &str, patience: Duration) -> std::io::Result<Answer> {
    let mut connection = Connection::open(to, patience)?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
    connection
        .exchange(&request)
        .ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// A request of a client, in the form of the protocol page.
pub struct Request<'a> {
    pub id: &'a str,
    pub class: &'a str,
    /// The value of `Idempotency-Key`; empty for none.
    pub mark: &'a str,
    /// The value of `X-Entity`; empty for none.
    pub entity: &'a str,
    pub remaining_ms: u64,
    pub body: &'a str,
    pub method: &'a str,
}

impl Request<'_> {
    pub fn text(&self) -> String {
        let mut text = format!(
            "{} /{} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {}\r\nX-Lane: {}\r\nX-Org: acme\r\nX-Remaining-Ms: {}\r\n",
            self.method, self.class, self.id, self.class, self.remaining_ms
        );
        if !self.mark.is_empty() {
            text += &format!("Idempotency-Key: {}\r\n", self.mark);
        }
        if !self.entity.is_empty() {
            text += &format!("X-Entity: {}\r\n", self.entity);
        }
        if self.method != "GET" {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        text + "\r\n" + self.body
    }
}

/// A new request id.
pub fn new_id(n: u64) -> String {
    let salt = unix_ms() ^ (u64::from(std::process::id()) << 40);
    format!("{:016x}", salt.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ n)
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u64,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Entry {
    pub fn new(uid: &str, address: SocketAddr, cell: u64) -> Self {
        Self {
            uid: uid.into(),
            address,
            zone: "a".into(),
            cell,
            state: "active",
            boot_ms: 0,
        }
    }

    pub fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"m1\",\"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.address, self.zone, self.cell, self.state, self.boot_ms
        )
    }
}

struct ListInner {
    rev: u64,
    entries: Vec<Entry>,
    /// Changes with the version that brought them.
    changes: Vec<(u64, Entry)>,
}

/// Discovery's stand-in: the complete list, and watches that are answered as soon as there is
/// something newer.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    inner: Arc<(Mutex<ListInner>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, name: &'static str, first_rev: u64, entries: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let address = listener.local_addr().expect("address");
        let inner = ListInner {
            rev: first_rev,
            entries,
            changes: Vec::new(),
        };
        let discovery = Self {
            address,
            inner: Arc::new((Mutex::new(inner), Condvar::new())),
            record: record.clone(),
        };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(name, stream));
            }
        });
        discovery
    }

    /// Changes entries: an entry with a known uid replaces it, `left` takes it from the list.
    pub fn change(&self, entries: &[Entry]) {
        let (lock, condvar) = &*self.inner;
        let mut list = lock.lock().unwrap();
        list.rev += 1;
        let rev = list.rev;
        for entry in entries {
            self.record.line(&format!(
                "list: version {rev}, {} is {}",
                entry.uid, entry.state
            ));
            list.entries.retain(|known| known.uid != entry.uid);
            if entry.state != "left" {
                list.entries.push(entry.clone());
            }
            list.changes.push((rev, entry.clone()));
        }
        condvar.notify_all();
    }

    fn serve(&self, name: &str, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut rest) {
            let target = message.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let value = |key: &str| -> Option<u64> {
                let query = target.split_once('?')?.1;
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(name, _)| *name == key)?.1.parse().ok()
            };
            let (lock, condvar) = &*self.inner;
            let mut list = lock.lock().unwrap();
            let since = value("since");
            if let Some(since) = since {
                let wait = Duration::from_millis(value("timeout_ms").unwrap_or(0).min(60_000));
                let by = Instant::now() + wait;
                while list.rev <= since && Instant::now() < by {
                    let left = by.saturating_duration_since(Instant::now());
                    list = condvar.wait_timeout(list, left).unwrap().0;
                }
            }
            let (all, entries): (bool, Vec<String>) = match since {
                Some(since) if since <= list.rev => (
                    false,
                    list.changes
                        .iter()
                        .filter(|(rev, _)| *rev > since)
                        .map(|(_, entry)| entry.json())
                        .collect(),
                ),
                _ => (true, list.entries.iter().map(Entry::json).collect()),
            };
            let body = format!(
                "{{\"rev\":{},\"all\":{all},\"targets\":[{}]}}",
                list.rev,
                entries.join(",")
            );
            let rev = list.rev;
            drop(list);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if all || !entries.is_empty() {
                self.record.line(&format!(
                    "{name} told version {rev}, all={all}, {} entries",
                    entries.len()
                ));
            }
        }
    }
}

/// What a server does with a request.
pub enum Reply {
    /// 200 with this body.
    Served(String),
    /// 500.
    Error,
    /// The connection is reset.
    Reset,
    /// Nothing is written; the connection stays open until the other side closes it.
    Silent,
    /// These bytes are written, and further ones after a time.
    Raw(String, Duration, String),
}

/// A server's stand-in: `handle` is called with each request, on the thread of its connection.
pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    pub fn start(handle: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::start_at("127.0.0.1:0".parse().expect("address"), handle)
    }

    pub fn start_at(
        address: SocketAddr,
        handle: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("loopback");
        let address = listener.local_addr().expect("address");
        let handle = Arc::new(handle);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handle = Arc::clone(&handle);
                std::thread::spawn(move || serve_connection(stream, &*handle));
            }
        });
        Self { address }
    }
}

fn serve_connection(mut stream: TcpStream, handle: &(dyn Fn(&Message) -> Reply + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut rest) {
        let text = match handle(&message) {
            Reply::Served(body) => {
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
            Reply::Error => "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".into(),
            Reply::Reset => {
                reset(&stream);
                return;
            }
            Reply::Silent => {
                let mut chunk = [0; 256];
                let _ = stream.set_read_timeout(None);
                while matches!(stream.read(&mut chunk), Ok(count) if count > 0) {}
                return;
            }
            Reply::Raw(first, after, second) => {
                if stream.write_all(first.as_bytes()).is_err() {
                    return;
                }
                std::thread::sleep(after);
                second
            }
        };
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Makes the close of a stream a reset.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET and SO_LINGER of Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}

/// The configuration of a balancer of a small deployment.
pub struct Settings {
    pub fleet_size: usize,
    pub me: usize,
    /// `ask` or `push`.
    pub registry_mode: &'static str,
    /// Objects of `useCases`, separated by commas.
    pub classes: String,
    /// Further members of `rules`, each with a comma before it.
    pub more_rules: &'static str,
    pub cancel: bool,
    pub max_dispatches: usize,
}

impl Settings {
    pub fn json(&self) -> String {
        format!(
            r#"{{"accounts":[{{"allowancePerS":1000.0,"fraction":1.0,"name":"acme"}}],"beyondShareEarnings":0.05,"callers":{{"marksRetry":false}},"caps":{{"cancel":{},"connIdleUs":15000000,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":1000000,"maxDispatches":{},"maxOpen":34888,"maxRetryAfterUs":1200000,"peers":false,"probes":false,"retryAfter":true,"secondCopies":false,"streamsPerConn":1}},"dcs":["a"],"earningsBasis":"work","family":"proxy","familyInfo":{{"warmKeys":false}},"fleetSize":{},"kinds":["m1"],"me":{},"registryMode":"{}","report":{{"columns":["busy","q"],"source":"inline"}},"rules":{{"answerSlackUs":20000,"askWithinUs":10000000,"coldFrom":0.3,"drainGraceUs":500000,"fallUs":1000000,"tipMultiple":3.0,"warmUpUs":8800000{}}},"scoringMix":{{"whole":1.0}},"tickUs":5000,"tier":0,"tiers":["servers"],"useCases":[{}],"weightKind":"rough","zone":0}}"#,
            self.cancel,
            self.max_dispatches,
            self.fleet_size,
            self.me,
            self.registry_mode,
            self.more_rules,
            self.classes,
        )
    }
}

/// The configuration file of a balancer.
pub fn config(name: &str, listen: SocketAddr, discovery: SocketAddr, settings: &Settings) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{}}}"#,
        unix_ms().wrapping_mul(0x9e37_79b9) ^ listen.port() as u64,
        settings.json()
    )
}
