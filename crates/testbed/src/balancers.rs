//! Real balancers as child processes: told where they stand, started, watched, ended.

use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pinefront_model::random::RandomSource;
use pinefront_model::scenario::{Idempotency, IdempotencyScope, RequestClass, Scenario, Tenant};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::net::TcpStream;

use crate::fleet::leases::LeaseLog;
use crate::fleet::own_address;
use crate::http;
use crate::system::{self, System};
use crate::world::locked;

/// How a balancer's log begins a line about a guard that was violated.
const VIOLATION: &str = "WARN violation";
/// Log lines kept of each balancer.
const LINES_KEPT: usize = 20;
/// How long a balancer may take to get ready, and to end after SIGTERM.
const READY_WITHIN: Duration = Duration::from_secs(30);
const ENDS_WITHIN: Duration = Duration::from_secs(6);
const LOOKS_APART: Duration = Duration::from_millis(20);

/// The settings of a day as a balancer is told them.
pub fn settings(scenario: &Scenario, number: usize) -> Value {
    let asks = scenario.discovery.max_poll_interval.0 > 0;
    let class_settings = |class: &RequestClass| {
        let idempotency = match class.idempotency {
            Idempotency::Idempotent => "safe",
            Idempotency::IdempotencyKey => "keyed",
            Idempotency::NonIdempotent => "unsafe",
        };
        let group = match class.scope {
            IdempotencyScope::All => "all",
            IdempotencyScope::Zone => "zone",
            IdempotencyScope::Cell => "cell",
        };
        json!({"name": class.name, "effect": idempotency, "dedupScope": group, "dedupWindowUs": class.idempotency_window.0,
            "promisedTimeUs": class.latency_objective.0})
    };
    let mut told = json!({
        "fleetSize": scenario.balancers.get_ref(), "me": number, "zone": number % scenario.fleet.zones.len(),
        "registryMode": if asks { "ask" } else { "push" }, "weightKind": "off", "dcs": scenario.fleet.zones,
        "kinds": scenario.machines.iter().map(|machine| &machine.get_ref().name).collect::<Vec<_>>(),
        "report": {"source": if scenario.fleet.report_interval.0 > 0 { "inline" } else { "off" }},
        "familyInfo": {"warmKeys": scenario.fleet.key_cache_ttl.0 > 0},
        "caps": {"cancel": true, "secondCopies": scenario.rules.hedging,
            "maxDispatches": scenario.rules.max_attempts, "retryAfter": true, "maxRetryAfterUs": scenario.rules.max_retry_after.0,
            "connIdleUs": scenario.fleet.idle_timeout.0, "connectTimeoutUs": 250_000},
        "rules": {"askWithinUs": scenario.discovery.max_poll_interval.0, "coldFrom": scenario.rules.slow_start_capacity,
            "warmUpUs": scenario.rules.slow_start_duration.0, "tipMultiple": scenario.rules.slow_start_overload_factor,
            "fallUs": scenario.rules.slow_start_overload_window.0, "drainGraceUs": scenario.rules.drain_grace.0},
        "useCases": scenario.classes.iter().map(|class| class_settings(class.get_ref())).collect::<Vec<_>>(),
    });
    if !scenario.tenants.is_empty() {
        let tenant = |tenant: &Tenant| json!({"name": tenant.name, "allowancePerS": tenant.quota_per_second});
        told["accounts"] = scenario
            .tenants
            .iter()
            .map(|entry| tenant(entry.get_ref()))
            .collect();
    }
    told
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    pub cpu_us: u64,
    pub memory_kb: u64,
}

/// One balancer and its process, where one runs.
pub struct Balancer {
    pub number: usize,
    pub listen: SocketAddr,
    config: PathBuf,
    /// What the configuration file holds.
    told: Value,
    /// Where it finds discovery, and where a new configuration moves that to.
    discovery: [SocketAddr; 2],
    /// The library that is loaded into it, where the day has one.
    pub system: Option<System>,
    /// Its operator file, where the day has one.
    pub operator: Option<PathBuf>,
    binary: PathBuf,
    child: Option<Child>,
    lines: Arc<Mutex<VecDeque<String>>>,
    /// Violations that its guards told of.
    pub violations: Arc<AtomicU64>,
    /// Where lines about duties go, of all balancers.
    pub lease_log: LeaseLog,
    /// Of processes that have ended.
    used: Used,
    /// Ends that nobody asked for, with its last words.
    pub deaths: Vec<String>,
    told_to_end: bool,
}

impl Balancer {
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        number: usize,
        binary: &Path,
        folder: &Path,
        discovery: [SocketAddr; 2],
        operator: Option<PathBuf>,
    ) -> io::Result<Self> {
        // Nobody else takes the port meanwhile unless the machine is short of them; then the start says so.
        let listen = TcpListener::bind((own_address(), 0))?.local_addr()?;
        let told = json!({
            "name": format!("b{number}"), "listen": listen.to_string(), "discovery": discovery[0].to_string(),
            "seed": format!("{:016x}", RandomSource::split(seed, "balancer", number as u64).next_u64()),
            "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096}, "settings": settings(scenario, number),
        });
        let config = folder.join(format!("b{number}.json"));
        std::fs::write(&config, told.to_string())?;
        Ok(Self {
            number,
            listen,
            config,
            told,
            discovery,
            system: None,
            operator,
            binary: binary.to_owned(),
            child: None,
            lines: Arc::default(),
            violations: Arc::default(),
            lease_log: LeaseLog::default(),
            used: Used::default(),
            deaths: Vec::new(),
            told_to_end: false,
        })
    }

    /// Has it read a new configuration, which moves discovery to its other address.
    pub fn reload(&mut self) -> io::Result<()> {
        self.discovery.reverse();
        self.told["discovery"] = self.discovery[0].to_string().into();
        std::fs::write(&self.config, self.told.to_string())?;
        if let Some(pid) = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32))
        {
            // One that has ended already needs no signal.
            let _ = kill_process(pid, Signal::HUP);
        }
        Ok(())
    }

    /// The list that it is started with the next time.
    pub fn knows(&mut self, list: Value) -> io::Result<()> {
        self.told["known"] = list;
        std::fs::write(&self.config, self.told.to_string())
    }

    pub fn start(&mut self) -> io::Result<()> {
        let mut command = Command::new(&self.binary);
        if let Some(system) = &self.system {
            command
                .env("LD_PRELOAD", &system.library)
                .env(system::CONTROL, &system.control);
        }
        let mut child = command
            .arg("serve")
            .arg("--config")
            .arg(&self.config)
            .args(
                self.operator
                    .iter()
                    .flat_map(|file| ["--operator".into(), file.clone()]),
            )
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            // Ctrl-C is for the lab, which ends its balancers itself.
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|problem| {
                io::Error::new(
                    problem.kind(),
                    format!("{}: {problem}", self.binary.display()),
                )
            })?;
        if let Some(stderr) = child.stderr.take() {
            let (lines, lease_log, number) =
                (Arc::clone(&self.lines), self.lease_log.clone(), self.number);
            let violations = Arc::clone(&self.violations);
            // Ends with the process.
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    lease_log.record(number, &line);
                    violations.fetch_add(u64::from(line.starts_with(VIOLATION)), Ordering::Relaxed);
                    let mut lines = locked(&lines);
                    if lines.len() >= LINES_KEPT {
                        lines.pop_front();
                    }
                    lines.push_back(line);
                }
            });
        }
        self.child = Some(child);
        self.told_to_end = false;
        Ok(())
    }

    fn last(&self) -> String {
        locked(&self.lines)
            .iter()
            .rev()
            .take(5)
            .rev()
            .cloned()
            .collect::<Vec<_>>()
            .join(" | ")
    }

    /// Looks whether its process has ended by itself.
    pub fn has_died(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        match child.try_wait() {
            Ok(Some(status)) => {
                self.child = None;
                if !self.told_to_end {
                    let said = format!(
                        "balancer {} ended by itself ({status}): {}",
                        self.number,
                        self.last()
                    );
                    self.deaths.push(said);
                }
                true
            }
            _ => false,
        }
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn signal(&mut self, signal: Signal) {
        self.used = self.used();
        self.told_to_end = true;
        if let Some(pid) = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32))
        {
            // One that has ended already needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            self.lease_log.record_killed(self.number);
        }
    }

    pub fn tell_to_end(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Stops it where it stands, or lets it go on.
    pub fn stop(&self, stops: bool) {
        let signal = if stops { Signal::STOP } else { Signal::CONT };
        if let Some(pid) = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32))
        {
            // One that has ended already needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells it to end, waits, and kills it where that takes too long.
    pub fn end(&mut self) {
        self.stop(false);
        self.tell_to_end();
        let until = Instant::now() + ENDS_WITHIN;
        while self.is_running() && !self.has_died() && Instant::now() < until {
            std::thread::sleep(LOOKS_APART);
        }
        self.kill();
    }

    /// What all its processes have used so far.
    pub fn used(&self) -> Used {
        let running = self.child.as_ref().filter(|_| !self.told_to_end);
        let now = running.map(|child| used(child.id())).unwrap_or_default();
        Used {
            cpu_us: self.used.cpu_us + now.cpu_us,
            memory_kb: self.used.memory_kb.max(now.memory_kb),
        }
    }
}

impl Drop for Balancer {
    /// No process outlives the lab, however it ends.
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a balancer says that it is ready.
pub async fn wait_ready(balancers: &Mutex<Vec<Balancer>>, number: usize) -> Result<(), String> {
    let until = Instant::now() + READY_WITHIN;
    loop {
        let (listen, last) = {
            let mut balancers = locked(balancers);
            let Some(balancer) = balancers.get_mut(number) else {
                return Err("no such balancer".into());
            };
            if balancer.has_died() {
                return Err(balancer.deaths.last().cloned().unwrap_or_default());
            }
            (balancer.listen, balancer.last())
        };
        if is_ready(listen).await {
            return Ok(());
        }
        if Instant::now() > until {
            return Err(format!(
                "balancer {number} was not ready within {READY_WITHIN:?}: {last}"
            ));
        }
        tokio::time::sleep(LOOKS_APART).await;
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await?;
        let text = "GET /health/ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
        tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes()).await?;
        http::read_answer(&mut stream, &mut Vec::new()).await
    };
    let asked = tokio::time::timeout(Duration::from_secs(1), asked).await;
    asked.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status == 200))
}

/// What a process has used by now: time on a core from its scheduler statistics, resident memory from its pages.
pub fn used(process: u32) -> Used {
    let read = |file: &str, place: usize| -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{process}/{file}")).ok()?;
        text.split_whitespace().nth(place)?.parse().ok()
    };
    let page_kb = rustix::param::page_size() as u64 / 1024;
    Used {
        cpu_us: read("schedstat", 0).unwrap_or(0) / 1000,
        memory_kb: read("statm", 1).unwrap_or(0) * page_kb,
    }
}

/// The balancer that was built with this program, where none is named.
pub fn own_binary() -> PathBuf {
    let beside = std::env::current_exe()
        .ok()
        .and_then(|path| Some(path.parent()?.join("pinefront")));
    beside.unwrap_or_else(|| "pinefront".into())
}
