//! Balancers under test, as child processes: their configuration files, start, signals and end.

mod settings;
mod usage;

use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pinefront_model::random::RandomSource;
use pinefront_model::scenario::Scenario;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
pub use settings::settings;
pub use usage::Usage;

use crate::error::Error;
use crate::fleet::leases::LeaseLog;
use crate::fleet::process_loopback_address;
use crate::http;
use crate::system_faults::{self, PreloadedLibrary};
use crate::world::locked;

/// How a balancer's log starts a line about a violated invariant.
const VIOLATION: &str = "WARN violation";
/// Number of log lines that are retained of each balancer.
const RETAINED_LINES: usize = 20;
/// Number of log lines that errors contain.
const SHOWN_LINES: usize = 5;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of one request to the readiness endpoint.
const READY_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a balancer may take to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What a balancer is set up with.
pub struct BalancerSetup<'a> {
    pub scenario: &'a Scenario,
    pub seed: u64,
    pub number: usize,
    pub binary: &'a Path,
    /// Folder for its configuration file.
    pub folder: &'a Path,
    /// The address of discovery, and the one that a reload changes it to.
    pub discovery: [SocketAddr; 2],
    pub operator_file: Option<PathBuf>,
}

/// One balancer, and its process while it runs.
pub struct Balancer {
    pub number: usize,
    pub address: SocketAddr,
    config_file: PathBuf,
    /// The content of the configuration file.
    config: Value,
    /// The address of discovery, and the one that a reload changes it to.
    discovery: [SocketAddr; 2],
    /// The library that is preloaded, where the scenario has faults of the operating system.
    pub preloaded: Option<PreloadedLibrary>,
    pub operator_file: Option<PathBuf>,
    binary: PathBuf,
    child: Option<Child>,
    /// The last lines of its log.
    lines: Arc<Mutex<VecDeque<String>>>,
    /// Number of violated invariants that it logged.
    pub violations: Arc<AtomicU64>,
    /// Receives log lines about duties.
    pub lease_log: LeaseLog,
    /// Resources used by processes that have ended.
    past_usage: Usage,
    /// Descriptions of ends that were not asked for.
    pub unexpected_ends: Vec<String>,
    /// Whether the process was asked to end.
    is_end_expected: bool,
}

impl Balancer {
    /// Writes the configuration of a balancer; its process is started by [`Balancer::start`].
    pub fn new(setup: &BalancerSetup) -> io::Result<Self> {
        // The port is free until the balancer binds it, unless another process takes it, which the
        // start then reports.
        let address = TcpListener::bind((process_loopback_address(), 0))?.local_addr()?;
        let config = initial_config(setup, address);
        let config_file = setup.folder.join(format!("b{}.json", setup.number));
        std::fs::write(&config_file, config.to_string())?;
        Ok(Self {
            number: setup.number,
            address,
            config_file,
            config,
            discovery: setup.discovery,
            preloaded: None,
            operator_file: setup.operator_file.clone(),
            binary: setup.binary.to_owned(),
            child: None,
            lines: Arc::default(),
            violations: Arc::default(),
            lease_log: LeaseLog::default(),
            past_usage: Usage::default(),
            unexpected_ends: Vec::new(),
            is_end_expected: false,
        })
    }

    /// Changes the address of discovery in the configuration, and has the balancer reload it.
    pub fn reload(&mut self) -> io::Result<()> {
        self.discovery.reverse();
        self.config["discovery"] = self.discovery[0].to_string().into();
        self.write_config()?;
        self.send_signal(Signal::HUP);
        Ok(())
    }

    /// Sets the endpoint list that it knows at its next start.
    pub fn set_known_list(&mut self, list: Value) -> io::Result<()> {
        self.config["known"] = list;
        self.write_config()
    }

    fn write_config(&self) -> io::Result<()> {
        std::fs::write(&self.config_file, self.config.to_string())
    }

    /// Starts its process.
    pub fn start(&mut self) -> io::Result<()> {
        let mut child = self.command().spawn().map_err(|problem| {
            let text = format!("{}: {problem}", self.binary.display());
            io::Error::new(problem.kind(), text)
        })?;
        if let Some(stderr) = child.stderr.take() {
            self.follow_log(stderr);
        }
        self.child = Some(child);
        self.is_end_expected = false;
        Ok(())
    }

    fn command(&self) -> Command {
        let mut command = Command::new(&self.binary);
        if let Some(preloaded) = &self.preloaded {
            command
                .env("LD_PRELOAD", &preloaded.library)
                .env(system_faults::CONTROL_VARIABLE, &preloaded.control_file);
        }
        command.arg("serve").arg("--config").arg(&self.config_file);
        if let Some(file) = &self.operator_file {
            command.arg("--operator").arg(file);
        }
        command
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            // Ctrl-C is for the testbed, which ends its balancers itself.
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        command
    }

    /// Reads the log on a thread that ends with the process.
    fn follow_log(&self, stderr: ChildStderr) {
        let lines = Arc::clone(&self.lines);
        let lease_log = self.lease_log.clone();
        let violations = Arc::clone(&self.violations);
        let number = self.number;
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lease_log.record(number, &line);
                violations.fetch_add(u64::from(line.starts_with(VIOLATION)), Ordering::Relaxed);
                let mut lines = locked(&lines);
                if lines.len() >= RETAINED_LINES {
                    lines.pop_front();
                }
                lines.push_back(line);
            }
        });
    }

    fn last_lines(&self) -> String {
        let lines = locked(&self.lines);
        let first = lines.len().saturating_sub(SHOWN_LINES);
        let lines: Vec<_> = lines.iter().skip(first).cloned().collect();
        lines.join(" | ")
    }

    /// Checks whether its process has ended since the last check.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return false;
        };
        self.child = None;
        if !self.is_end_expected {
            let (number, lines) = (self.number, self.last_lines());
            let text = format!("balancer {number} ended by itself ({status}): {lines}");
            self.unexpected_ends.push(text);
        }
        true
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn send_signal(&self, signal: Signal) {
        let pid = self.child.as_ref().map(|child| child.id() as i32);
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            // The process may have ended already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends a signal that ends the process.
    fn send_end_signal(&mut self, signal: Signal) {
        self.past_usage = self.usage();
        self.is_end_expected = true;
        self.send_signal(signal);
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        self.send_end_signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            self.lease_log.record_killed(self.number);
        }
    }

    /// Asks its process to stop.
    pub fn request_stop(&mut self) {
        self.send_end_signal(Signal::TERM);
    }

    pub fn suspend(&self) {
        self.send_signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.send_signal(Signal::CONT);
    }

    /// Asks its process to stop, and kills it where that takes too long.
    pub fn stop(&mut self) {
        self.resume();
        self.request_stop();
        let deadline = Instant::now() + STOP_TIMEOUT;
        while self.is_running() && !self.has_ended() && Instant::now() < deadline {
            std::thread::sleep(CHECK_INTERVAL);
        }
        self.kill();
    }

    /// Resources that all its processes have used so far.
    pub fn usage(&self) -> Usage {
        let running = self.child.as_ref().filter(|_| !self.is_end_expected);
        let current = running.map(|child| Usage::of_process(child.id()));
        self.past_usage.followed_by(current.unwrap_or_default())
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}

fn initial_config(setup: &BalancerSetup, address: SocketAddr) -> Value {
    let mut random = RandomSource::split(setup.seed, "balancer", setup.number as u64);
    json!({
        "name": format!("b{}", setup.number),
        "listen": address.to_string(),
        "discovery": setup.discovery[0].to_string(),
        "seed": format!("{:016x}", random.next_u64()),
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096},
        "settings": settings(setup.scenario, setup.number),
    })
}

/// Waits until a balancer is ready.
pub async fn wait_until_ready(
    balancers: &Mutex<Vec<Balancer>>,
    number: usize,
) -> Result<(), Error> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let (address, lines) = {
            let mut balancers = locked(balancers);
            let balancer = balancers
                .get_mut(number)
                .ok_or_else(|| Error::new("no such balancer"))?;
            if balancer.has_ended() {
                let ends = &balancer.unexpected_ends;
                return Err(Error::new(ends.last().cloned().unwrap_or_default()));
            }
            (balancer.address, balancer.last_lines())
        };
        if is_ready(address).await {
            return Ok(());
        }
        if Instant::now() > deadline {
            let text = format!("balancer {number} was not ready within {READY_TIMEOUT:?}: {lines}");
            return Err(Error::new(text));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let request = "GET /health/ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
    let status = http::fetch_status(address, request);
    let status = tokio::time::timeout(READY_REQUEST_TIMEOUT, status).await;
    matches!(status, Ok(Ok(200)))
}

/// The path of the `pinefront` program beside this one.
pub fn default_binary() -> PathBuf {
    let beside = std::env::current_exe()
        .ok()
        .and_then(|path| Some(path.parent()?.join("pinefront")));
    beside.unwrap_or_else(|| "pinefront".into())
}
