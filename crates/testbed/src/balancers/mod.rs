//! Runs the balancers under test as child processes: configuration files, start, signals and exit.

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
use crate::overload::MAX_MEMORY_FRACTION;
use crate::system_faults::{self, PreloadedLibrary};
use crate::world::locked;

/// Prefix of a line in a balancer's log that reports a violated invariant.
const VIOLATION_PREFIX: &str = "WARN violation";
/// Number of log lines that are retained for each balancer.
const RETAINED_LOG_LINES: usize = 20;
/// Number of log lines that an error message quotes.
const SHOWN_LOG_LINES: usize = 5;
/// Longest time that a balancer may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of one request to the readiness endpoint.
const READY_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that a balancer may take to exit after SIGTERM; then it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which the readiness or the exit of a balancer is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of a new balancer.
pub struct BalancerSetup<'a> {
    pub scenario: &'a Scenario,
    pub seed: u64,
    pub number: usize,
    pub binary: &'a Path,
    /// Folder for its configuration file.
    pub folder: &'a Path,
    /// The current address of discovery, and the address that a reload switches to.
    pub discovery: [SocketAddr; 2],
    pub operator_file: Option<PathBuf>,
}

/// Limits on resources in the configuration of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// One balancer, with its process while that runs.
pub struct Balancer {
    pub number: usize,
    pub address: SocketAddr,
    config_file: PathBuf,
    /// The content of the configuration file.
    config: Value,
    /// The current address of discovery, and the address that a reload switches to.
    discovery: [SocketAddr; 2],
    /// The library to preload; none where the scenario has no faults of the operating system.
    pub preloaded: Option<PreloadedLibrary>,
    pub operator_file: Option<PathBuf>,
    /// Limits on resources that a run has set.
    limits: Option<Limits>,
    binary: PathBuf,
    child: Option<Child>,
    /// The last lines of its log, oldest first.
    log_lines: Arc<Mutex<VecDeque<String>>>,
    /// Number of violated invariants that it logged.
    pub invariant_violations: Arc<AtomicU64>,
    /// Receives the log lines about leases.
    pub lease_log: LeaseLog,
    /// Resources used by earlier processes of this balancer.
    earlier_usage: Usage,
    /// Descriptions of exits that the testbed did not request.
    pub unexpected_exits: Vec<String>,
    /// Whether the testbed has signalled the process to exit.
    is_exit_expected: bool,
}

impl Balancer {
    /// Writes the configuration of a balancer; its process is started by [`Balancer::start`].
    pub fn new(setup: &BalancerSetup) -> io::Result<Self> {
        // The listener is dropped here so that the balancer can bind the port. If another process
        // binds it first, the balancer exits at its start, which `wait_until_ready` reports.
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
            limits: None,
            binary: setup.binary.to_owned(),
            child: None,
            log_lines: Arc::default(),
            invariant_violations: Arc::default(),
            lease_log: LeaseLog::default(),
            earlier_usage: Usage::default(),
            unexpected_exits: Vec::new(),
            is_exit_expected: false,
        })
    }

    /// Switches the address of discovery in the configuration file, and sends SIGHUP so that the
    /// balancer reloads the file.
    pub fn reload(&mut self) -> io::Result<()> {
        self.discovery.reverse();
        self.config["discovery"] = self.discovery[0].to_string().into();
        self.write_config()?;
        self.send_signal(Signal::HUP);
        Ok(())
    }

    /// Sets the cached endpoint list that the balancer reads from its configuration at its next
    /// start.
    pub fn set_cached_list(&mut self, list: Value) -> io::Result<()> {
        self.config["known"] = list;
        self.write_config()
    }

    /// Sets the limits on resources that the balancer reads from its configuration at its next
    /// start.
    pub fn set_limits(&mut self, limits: Limits) -> io::Result<()> {
        self.limits = Some(limits);
        self.config["limits"]["memory_mb"] = limits.memory_mb.into();
        self.config["limits"]["sockets"] = limits.sockets.into();
        self.write_config()
    }

    fn write_config(&self) -> io::Result<()> {
        std::fs::write(&self.config_file, self.config.to_string())
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let mut child = self.command().spawn().map_err(|error| {
            let text = format!("{}: {error}", self.binary.display());
            io::Error::new(error.kind(), text)
        })?;
        if let Some(stderr) = child.stderr.take() {
            self.follow_log(stderr);
        }
        self.child = Some(child);
        self.is_exit_expected = false;
        Ok(())
    }

    fn command(&self) -> Command {
        let mut command = Command::new(&self.binary);
        if let Some(preloaded) = &self.preloaded {
            command.env("LD_PRELOAD", &preloaded.library).env(
                system_faults::CONTROL_FILE_VARIABLE,
                &preloaded.control_file,
            );
        }
        command.arg("serve").arg("--config").arg(&self.config_file);
        if let Some(file) = &self.operator_file {
            command.arg("--operator").arg(file);
        }
        command
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            // A separate process group keeps Ctrl-C from the balancer: the testbed handles it and
            // stops its balancers itself.
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        command
    }

    /// Reads the log on a thread that ends when the process exits.
    fn follow_log(&self, stderr: ChildStderr) {
        let lines = Arc::clone(&self.log_lines);
        let lease_log = self.lease_log.clone();
        let violations = Arc::clone(&self.invariant_violations);
        let number = self.number;
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lease_log.record(number, &line);
                violations.fetch_add(
                    u64::from(line.starts_with(VIOLATION_PREFIX)),
                    Ordering::Relaxed,
                );
                let mut lines = locked(&lines);
                if lines.len() >= RETAINED_LOG_LINES {
                    lines.pop_front();
                }
                lines.push_back(line);
            }
        });
    }

    fn last_log_lines(&self) -> String {
        let lines = locked(&self.log_lines);
        let first = lines.len().saturating_sub(SHOWN_LOG_LINES);
        let lines: Vec<_> = lines.iter().skip(first).cloned().collect();
        lines.join(" | ")
    }

    /// Whether the process has exited since the last call. Records an exit that was not requested.
    pub fn has_exited(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return false;
        };
        self.child = None;
        if !self.is_exit_expected {
            let (number, lines) = (self.number, self.last_log_lines());
            let text = format!("balancer {number} exited unexpectedly ({status}): {lines}");
            self.unexpected_exits.push(text);
        }
        true
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn send_signal(&self, signal: Signal) {
        let pid = self.child.as_ref().map(|child| child.id() as i32);
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            // Sending fails if the process has exited already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends a signal that makes the process exit.
    fn send_exit_signal(&mut self, signal: Signal) {
        self.earlier_usage = self.usage();
        self.is_exit_expected = true;
        self.send_signal(signal);
    }

    /// Kills the process with SIGKILL, and waits until it has exited.
    pub fn kill(&mut self) {
        self.send_exit_signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            self.lease_log.record_killed(self.number);
        }
    }

    /// Sends SIGTERM, and does not wait for the exit.
    pub fn request_stop(&mut self) {
        self.send_exit_signal(Signal::TERM);
    }

    pub fn suspend(&self) {
        self.send_signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.send_signal(Signal::CONT);
    }

    /// Sends SIGTERM, and kills the process if it does not exit within `STOP_TIMEOUT`.
    pub fn stop(&mut self) {
        self.resume();
        self.request_stop();
        let deadline = Instant::now() + STOP_TIMEOUT;
        while self.is_running() && !self.has_exited() && Instant::now() < deadline {
            std::thread::sleep(CHECK_INTERVAL);
        }
        self.kill();
    }

    /// Records that the running process has come too close to its memory limit, where one was set.
    pub fn check_peak_memory(&mut self) {
        const KIB_PER_MIB: u64 = 1024;
        let Some(limits) = self.limits else {
            return;
        };
        let max_kb = (limits.memory_mb * KIB_PER_MIB) as f64 * MAX_MEMORY_FRACTION;
        let peak_kb = self.peak_memory_kb();
        if peak_kb as f64 > max_kb {
            let number = self.number;
            let text =
                format!("balancer {number} used {peak_kb} KiB of memory, at most {max_kb:.0}");
            self.unexpected_exits.push(text);
        }
    }

    /// Largest resident memory of the running process since its start, in KiB; 0 if none runs.
    pub fn peak_memory_kb(&self) -> u64 {
        let child = self.child.as_ref();
        child.map_or(0, |child| usage::peak_memory_kb(child.id()))
    }

    /// Resources that all processes of this balancer have used so far.
    pub fn usage(&self) -> Usage {
        let running = self.child.as_ref().filter(|_| !self.is_exit_expected);
        let current = running.map(|child| Usage::of_process(child.id()));
        self.earlier_usage.followed_by(current.unwrap_or_default())
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

/// Waits until the readiness endpoint of a balancer responds with status 200.
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
                .ok_or_else(|| Error::new(format!("balancer {number} does not exist")))?;
            if balancer.has_exited() {
                let exits = &balancer.unexpected_exits;
                return Err(Error::new(exits.last().cloned().unwrap_or_default()));
            }
            (balancer.address, balancer.last_log_lines())
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

/// The path of the `pinefront` program in the folder of this program; the name alone if that
/// folder is unknown.
pub fn default_binary() -> PathBuf {
    let beside = std::env::current_exe()
        .ok()
        .and_then(|path| Some(path.parent()?.join("pinefront")));
    beside.unwrap_or_else(|| "pinefront".into())
}
