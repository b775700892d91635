//! Measurement of a balancer under misbehaving clients: its peak memory and its CPU time, and the
//! service that usual clients get beside them, compared with a calm phase of the same run.

pub mod misbehaving_client;
mod server;
pub mod soak_clients;
mod usual_client;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use misbehaving_client::Behaviour;
use pinefront_model::random::RandomSource;
use pinefront_model::scenario::Scenario;
use pinefront_model::validation;
use serde::Serialize;
use server::RunLog;
use tokio::runtime::Runtime;
use usual_client::UsualResults;

use crate::balancers::{Balancer, BalancerSetup, Limits, Usage, wait_until_ready};
use crate::discovery_stand_in;
use crate::environment::{TemporaryFolder, stand_in_runtime};
use crate::error::{Context, Error};
use crate::figures::PercentilesMs;
use crate::world::{World, locked};

/// Number of servers.
const SERVERS: usize = 12;
/// Length of the phase without misbehaving clients.
const CALM_PHASE: Duration = Duration::from_secs(2);
/// Part of the memory limit that the peak must not exceed.
pub const MAX_MEMORY_FRACTION: f64 = 0.8;
/// Part of the calm phase's share of answered requests that usual clients must keep.
const MIN_SHARE_RATIO: f64 = 0.98;
/// The 99th percentile of usual clients' latency may be this many times that of the calm phase...
const MAX_P99_RATIO: f64 = 3.0;
/// ... and this much longer, in milliseconds.
const MAX_ADDED_P99_MS: f64 = 20.0;
/// Time between two kills of a process that is restarted repeatedly.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_500);

/// The smallest limits of a balancer.
pub const SMALLEST_LIMITS: Limits = Limits {
    memory_mb: 32,
    sockets: 1024,
};

/// Options of a measurement.
pub struct Options {
    pub binary: PathBuf,
    pub limits: Limits,
    /// Number of misbehaving clients.
    pub misbehaving: usize,
    /// Number of usual clients.
    pub usual: usize,
    /// Length of the phase with misbehaving clients.
    pub duration: Duration,
    pub seed: u64,
    /// Whether the process is killed and started again while the clients go on.
    pub restarts: bool,
    /// Whether the service of usual clients is only measured and not checked.
    pub checks_memory_only: bool,
}

/// The figures of one phase of usual clients.
#[derive(Clone, Debug, Serialize)]
pub struct UsualFigures {
    pub sent: u64,
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Requests on a kept connection that was closed without a response.
    pub closed: u64,
    /// Kept connections that were closed between two requests.
    pub connections_lost: u64,
    pub unanswered: u64,
    pub latency_ms: PercentilesMs,
}

impl UsualFigures {
    fn new(results: &UsualResults) -> Self {
        Self {
            sent: results.sent,
            succeeded: results.succeeded,
            rejected: results.rejected,
            failed: results.failed,
            closed: results.closed,
            connections_lost: results.connections_lost,
            unanswered: results.unanswered,
            latency_ms: PercentilesMs::from_histogram_us(&results.latency),
        }
    }

    /// Part of the requests that succeeded.
    fn share(&self) -> f64 {
        self.succeeded as f64 / self.sent.max(1) as f64
    }
}

/// The figures of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    pub picture: String,
    pub memory_limit_mb: u64,
    /// Largest resident memory of any process of the balancer.
    pub peak_memory_mb: f64,
    /// Largest resident memory at the end of the calm phase.
    pub calm_memory_mb: f64,
    /// CPU time of the balancer during the phase with misbehaving clients.
    pub cpu_s: f64,
    pub calm: UsualFigures,
    pub usual: UsualFigures,
    /// Requests with a key that ran more than once, and those of them that ran in several cells.
    pub ran_twice: usize,
    pub ran_in_several_cells: usize,
    /// Expectations that did not hold.
    pub failures: Vec<String>,
}

/// Head of the table of [`Measurement::row`], in Markdown.
pub const TABLE_HEAD: &str = "| picture | limit, MB | calm, MB | peak, MB | CPU, s \
    | usual sent | 200 | rejected | failed | closed | unanswered | connections lost | p99 calm, ms | p99, ms | |\n\
    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

impl Measurement {
    /// Formats a row of the table.
    pub fn row(&self) -> String {
        let usual = &self.usual;
        let verdict = if self.failures.is_empty() {
            "held".to_owned()
        } else {
            self.failures.join("; ")
        };
        format!(
            "| {} | {} | {:.1} | {:.1} | {:.2} | {} | {} | {} | {} | {} | {} | {} | {:.1} | {:.1} | {verdict} |",
            self.picture,
            self.memory_limit_mb,
            self.calm_memory_mb,
            self.peak_memory_mb,
            self.cpu_s,
            usual.sent,
            usual.succeeded,
            usual.rejected,
            usual.failed,
            usual.closed,
            usual.unanswered,
            usual.connections_lost,
            self.calm.latency_ms.p99,
            usual.latency_ms.p99,
        )
    }

    /// Compares the figures with their targets. While a process is restarted again and again, only
    /// its memory is checked.
    fn check(&mut self, options: &Options) {
        let max_memory = self.memory_limit_mb as f64 * MAX_MEMORY_FRACTION;
        if self.peak_memory_mb > max_memory {
            let text = format!("memory over {max_memory:.1} MB");
            self.failures.push(text);
        }
        // A process that was killed does not know what it had sent.
        if !options.restarts && self.ran_twice > 0 {
            let (twice, cells) = (self.ran_twice, self.ran_in_several_cells);
            let text = format!("{twice} requests ran twice, {cells} in several cells");
            self.failures.push(text);
        }
        if options.restarts || options.checks_memory_only {
            return;
        }
        let min_share = self.calm.share() * MIN_SHARE_RATIO;
        if self.usual.share() < min_share {
            let text = format!("share {:.3} under {min_share:.3}", self.usual.share());
            self.failures.push(text);
        }
        let max_p99 = self.calm.latency_ms.p99 * MAX_P99_RATIO + MAX_ADDED_P99_MS;
        if self.usual.latency_ms.p99 > max_p99 {
            self.failures.push(format!("p99 over {max_p99:.1} ms"));
        }
    }
}

/// A running balancer, its servers, and the runtimes of the clients.
struct Setup {
    stand_ins: Runtime,
    misbehaving: Runtime,
    usual: Runtime,
    balancer: Mutex<Vec<Balancer>>,
    peak_of_earlier_processes_kb: u64,
    run_log: Arc<RunLog>,
    _folder: TemporaryFolder,
}

impl Setup {
    fn start(options: &Options) -> Result<Self, Error> {
        let runtime = || stand_in_runtime().context("cannot start threads");
        let stand_ins = runtime()?;
        let folder = TemporaryFolder::new()?;
        let world = Arc::new(World::new(scenario()?, options.seed));
        let run_log = Arc::new(RunLog::default());
        let discovery = stand_ins.block_on(async {
            for number in 0..SERVERS {
                let cell = world
                    .server(number)
                    .map_or(0, |host| host.with_server(|server| server.spec.cell));
                let address = server::start(cell, Arc::clone(&run_log)).await?;
                world.set_server_address(number, address, false);
            }
            discovery_stand_in::start(&world, 0).await
        })?;
        let mut balancer = Balancer::new(&BalancerSetup {
            scenario: &world.scenario,
            seed: options.seed,
            number: 0,
            binary: &options.binary,
            folder: folder.path(),
            discovery: [discovery; 2],
            operator_file: None,
        })?;
        balancer.set_limits(options.limits)?;
        balancer.set_cached_list(world.endpoint_list_json())?;
        balancer.start()?;
        let balancer = Mutex::new(vec![balancer]);
        stand_ins.block_on(wait_until_ready(&balancer, 0))?;
        world.clock.start();
        Ok(Self {
            stand_ins,
            misbehaving: runtime()?,
            usual: runtime()?,
            balancer,
            peak_of_earlier_processes_kb: 0,
            run_log,
            _folder: folder,
        })
    }

    fn with_balancer<T>(&self, call: impl FnOnce(&mut Balancer) -> T) -> Option<T> {
        locked(&self.balancer).first_mut().map(call)
    }

    fn usage(&self) -> Usage {
        self.with_balancer(|balancer| balancer.usage())
            .unwrap_or_default()
    }

    fn peak_memory_kb(&self) -> u64 {
        let peak = self.with_balancer(|balancer| balancer.peak_memory_kb());
        peak.unwrap_or(0).max(self.peak_of_earlier_processes_kb)
    }

    /// Runs usual clients for a time.
    fn run_usual(&mut self, options: &Options, duration: Duration) -> UsualFigures {
        let Some(address) = self.with_balancer(|balancer| balancer.address) else {
            return UsualFigures::new(&UsualResults::new());
        };
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..options.usual)
            .map(|_| {
                let stop = Arc::clone(&stop);
                let client = async move { usual_client::run(address, &stop).await };
                self.usual.spawn(client)
            })
            .collect();
        self.wait(options, duration);
        stop.store(true, Ordering::Relaxed);
        let mut total = UsualResults::new();
        for client in clients {
            if let Ok(results) = self.usual.block_on(client) {
                total.add(&results);
            }
        }
        UsualFigures::new(&total)
    }

    /// Waits for the end of a phase, and restarts the process repeatedly if the options ask for it.
    fn wait(&mut self, options: &Options, duration: Duration) {
        if !options.restarts {
            return std::thread::sleep(duration);
        }
        let mut left = duration;
        while left > RESTART_INTERVAL {
            std::thread::sleep(RESTART_INTERVAL);
            left -= RESTART_INTERVAL;
            self.peak_of_earlier_processes_kb = self.peak_memory_kb();
            self.with_balancer(|balancer| {
                balancer.kill();
                balancer.start()
            });
        }
        std::thread::sleep(left);
    }

    /// Connects the misbehaving clients, which take the behaviours in turn.
    fn start_misbehaving(&self, behaviours: &[Behaviour], options: &Options) {
        let Some(address) = self.with_balancer(|balancer| balancer.address) else {
            return;
        };
        for number in 0..options.misbehaving {
            let random = RandomSource::split(options.seed, "misbehaving", number as u64);
            let behaviour = behaviours[number % behaviours.len()];
            let client = misbehaving_client::run(address, behaviour, random);
            self.misbehaving.spawn(client);
        }
    }

    fn unexpected_exits(&self) -> Vec<String> {
        let exits = self.with_balancer(|balancer| {
            balancer.has_exited();
            balancer.unexpected_exits.clone()
        });
        exits.unwrap_or_default()
    }

    fn stop(self) {
        self.misbehaving.shutdown_background();
        locked(&self.balancer).iter_mut().for_each(Balancer::kill);
        self.usual.shutdown_background();
        self.stand_ins.shutdown_background();
    }
}

fn scenario() -> Result<Scenario, Error> {
    let text = format!(
        "name = \"overload\"\nlength = \"1h\"\nbalancers = 1\n\
         [fleet]\nservers = {SERVERS}\nzones = [\"a\"]\nreports = \"0s\"\nidle = \"60s\"\n\
         [[use_cases]]\nname = \"look\"\neffect = \"redoable\"\nshare = 0.5\n\
         work = \"2ms\"\npromised_time = \"500ms\"\nhard_stop = \"2s\"\n\
         [[use_cases]]\nname = \"order\"\neffect = \"labelled\"\ngroup = \"cell\"\n\
         window = \"2500ms\"\nshare = 0.5\nwork = \"2ms\"\npromised_time = \"500ms\"\n\
         hard_stop = \"2s\"\n"
    );
    validation::decode_scenario(&text, "overload")
        .map_err(|errors| Error::new(errors[0].to_string()))
}

/// Measures a balancer under clients with the given behaviours.
pub fn measure(
    picture: &str,
    behaviours: &[Behaviour],
    options: &Options,
) -> Result<Measurement, Error> {
    const KIB_PER_MIB: f64 = 1024.0;
    const US_PER_S: f64 = 1e6;
    let mut setup = Setup::start(options)?;
    let calm_options = Options {
        restarts: false,
        binary: options.binary.clone(),
        ..*options
    };
    let calm = setup.run_usual(&calm_options, CALM_PHASE);
    let calm_memory_kb = setup.peak_memory_kb();
    let cpu_before_us = setup.usage().cpu_us;
    setup.start_misbehaving(behaviours, options);
    let usual = setup.run_usual(options, options.duration);
    let cpu_us = setup.usage().cpu_us.saturating_sub(cpu_before_us);
    let repeated_runs = setup.run_log.repeated_runs();
    let mut measurement = Measurement {
        picture: picture.to_owned(),
        memory_limit_mb: options.limits.memory_mb,
        peak_memory_mb: setup.peak_memory_kb() as f64 / KIB_PER_MIB,
        calm_memory_mb: calm_memory_kb as f64 / KIB_PER_MIB,
        cpu_s: cpu_us as f64 / US_PER_S,
        calm,
        usual,
        ran_twice: repeated_runs.repeated,
        ran_in_several_cells: repeated_runs.in_several_cells,
        failures: setup.unexpected_exits(),
    };
    setup.stop();
    measurement.check(options);
    Ok(measurement)
}
