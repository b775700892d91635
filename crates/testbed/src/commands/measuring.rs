//! Commands that measure the capacity and the overhead of a balancer.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::Args;

use crate::commands::{Failure, binaries, duration, write_json};
use crate::environment::stand_in_runtime;
use crate::error::Error;
use crate::load::{self, LoadResults};
use crate::overhead::{self, Point};

/// The highest rate of a load, in requests per second.
const MAX_RATE: f64 = 1e6;

#[derive(Args)]
pub struct LoadAt {
    /// Such as <http://127.0.0.1:8080/look/1>
    url: String,
    /// Requests a second
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// How long, such as 10s
    #[arg(long = "for", default_value = "10s", value_parser = duration)]
    duration: Duration,
    /// Connections at most; as many as it takes where none are named
    #[arg(long)]
    clients: Option<usize>,
    /// The timeout that each request states
    #[arg(long, default_value = "2s", value_parser = duration)]
    wait: Duration,
    /// A further header line for each request, such as 'X-Lane: look'
    #[arg(long)]
    field: Vec<String>,
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Also start a stand-in that responds at once, and load that
    #[arg(long)]
    own_server: bool,
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Args)]
pub struct Overhead {
    #[arg(long, value_delimiter = ',', default_value = "4,20,100")]
    servers: Vec<usize>,
    #[arg(long, value_delimiter = ',', default_value = "16,500")]
    clients: Vec<usize>,
    /// Requests a second
    #[arg(long, default_value_t = 2000.0)]
    rate: f64,
    /// How long each part is measured
    #[arg(long = "for", default_value = "4s", value_parser = duration)]
    duration: Duration,
    /// How long a server takes
    #[arg(long, default_value = "2ms", value_parser = duration)]
    work: Duration,
    /// The balancer's program; of two, the second is measured beside the first at each point
    #[arg(long)]
    binary: Vec<PathBuf>,
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Without an operator file and then in clusters of so many members, before the first number of
    /// servers and clients
    #[arg(long, value_delimiter = ',')]
    fleet: Vec<usize>,
    #[arg(long)]
    json: Option<PathBuf>,
}

fn is_valid_rate(rate: f64) -> bool {
    rate > 0.0 && rate <= MAX_RATE
}

impl LoadAt {
    fn check(&self) -> Result<(), Failure> {
        let has_clients = self.clients != Some(0);
        if !is_valid_rate(self.rate) || !has_clients || self.duration.is_zero() {
            let reason = "--rate must be over 0 and at most 1000000, --clients and --for over 0";
            return Err(Failure::Wrong(reason.into()));
        }
        let is_malformed = |field: &&String| !field.contains(':') || field.contains(['\r', '\n']);
        if let Some(field) = self.field.iter().find(is_malformed) {
            let field = field.escape_debug();
            let reason = format!("--field '{field}' is no 'Name: value'");
            return Err(Failure::Wrong(reason));
        }
        Ok(())
    }
}

/// Loads an address of this machine.
pub fn load_at(options: &LoadAt, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    options.check()?;
    let (mut address, path) =
        load::parse_url(&options.url).map_err(|problem| Failure::Wrong(problem.to_string()))?;
    let runtime = stand_in_runtime().map_err(Error::from)?;
    if options.own_server {
        let server = overhead::start_plain_server(Duration::ZERO);
        address = runtime.block_on(server).map_err(Error::from)?;
    }
    let headers = options.field.iter().map(|field| format!("{field}\r\n"));
    let plan = load::LoadPlan {
        addresses: vec![address],
        path,
        headers: headers.collect(),
        rate: Some(options.rate),
        duration: options.duration,
        clients: options.clients,
        threads: options.threads,
        timeout: options.wait,
        seed: 1,
    };
    let found = load::run(plan, stop)?;
    runtime.shutdown_background();
    print_load(&found);
    write_json(options.json.as_deref(), &found)?;
    if found.valid {
        Ok(())
    } else {
        let reasons = found.invalid_reasons.join("; ");
        Err(Failure::Failed(format!("the run is invalid: {reasons}")))
    }
}

fn print_load(found: &LoadResults) {
    println!(
        "{} sent, {} succeeded ({:.0} a second), {} rejected, {} failed, {} unanswered",
        found.sent,
        found.succeeded,
        found.rate_succeeded,
        found.rejected,
        found.failed,
        found.unanswered
    );
    let latency = &found.latency_ms;
    println!(
        "latency from the scheduled time: p50 {:.3} ms, p90 {:.3}, p99 {:.3}, max {:.3}",
        latency.p50, latency.p90, latency.p99, latency.max
    );
    let lateness = &found.lateness_ms;
    println!(
        "own lateness: p50 {:.3} ms, p99 {:.3}, max {:.3}",
        lateness.p50, lateness.p99, lateness.max
    );
}

impl Overhead {
    fn check(&self) -> Result<(), Failure> {
        let has_zero = self.clients.contains(&0) || self.servers.contains(&0);
        if !is_valid_rate(self.rate) || has_zero || self.duration.is_zero() {
            let reason =
                "--rate must be over 0 and at most 1000000, --servers, --clients and --for over 0";
            return Err(Failure::Wrong(reason.into()));
        }
        Ok(())
    }

    fn options(
        &self,
        binary: &Path,
        members: Option<usize>,
        stop: &Arc<AtomicBool>,
    ) -> overhead::Options {
        overhead::Options {
            binary: binary.to_owned(),
            rate: self.rate,
            duration: self.duration,
            work: self.work,
            threads: self.threads,
            members,
            stop: Arc::clone(stop),
        }
    }

    /// Measures clusters of several sizes.
    fn measure_clusters(
        &self,
        servers: usize,
        clients: usize,
        stop: &Arc<AtomicBool>,
    ) -> Result<Vec<Point>, Failure> {
        let binaries = binaries(&self.binary);
        println!("{}", overhead::CLUSTER_TABLE_HEAD);
        let mut points = Vec::new();
        let sizes = self.fleet.iter().copied().map(Some);
        for members in [None].into_iter().chain(sizes) {
            if !stop.load(Ordering::Relaxed) {
                let options = self.options(&binaries[0], members, stop);
                let point = overhead::measure(servers, clients, &options)?;
                println!("{}", point.cluster_row());
                points.push(point);
            }
        }
        Ok(points)
    }

    /// Measures each binary at all numbers of servers and clients.
    fn measure_binaries(&self, stop: &Arc<AtomicBool>) -> Result<Vec<Vec<Point>>, Failure> {
        let binaries = binaries(&self.binary);
        let mut all: Vec<Vec<Point>> = binaries.iter().map(|_| Vec::new()).collect();
        println!("{}", overhead::TABLE_HEAD);
        for &servers in &self.servers {
            for &clients in &self.clients {
                for (binary, points) in binaries.iter().zip(&mut all) {
                    if stop.load(Ordering::Relaxed) {
                        continue;
                    }
                    let options = self.options(binary, None, stop);
                    let point = overhead::measure(servers, clients, &options)?;
                    println!("{}", point.row());
                    points.push(point);
                }
            }
        }
        Ok(all)
    }
}

/// Measures the overhead of balancers.
pub fn measure_overhead(options: &Overhead, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    options.check()?;
    let json = options.json.as_deref();
    if let ([_, ..], [servers, ..], [clients, ..]) =
        (&*options.fleet, &*options.servers, &*options.clients)
    {
        let points = options.measure_clusters(*servers, *clients, stop)?;
        return write_json(json, &serde_json::json!({"points": points}));
    }
    let all = options.measure_binaries(stop)?;
    if let [first, second] = all.as_slice() {
        print_cpu_ratio(first, second);
    }
    let points = all.iter();
    let points: Vec<_> = points
        .map(|points| serde_json::json!({"points": points}))
        .collect();
    match points.as_slice() {
        [only] => write_json(json, only),
        several => write_json(json, &several),
    }
}

fn print_cpu_ratio(first: &[Point], second: &[Point]) {
    let pairs = first.iter().zip(second);
    let ratios: Vec<f64> = pairs
        .map(|(first, second)| second.cpu_us_per_request / first.cpu_us_per_request)
        .collect();
    let mean = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
    println!(
        "CPU a request, second against first: {mean:.3} on the mean of {} points",
        ratios.len()
    );
}
