//! Commands that measure the capacity and the overhead of a balancer.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::Args;

use crate::commands::{Failure, binaries_or_default, parse_duration, write_json};
use crate::environment::stand_in_runtime;
use crate::error::Error;
use crate::load::{self, LoadResults};
use crate::overhead::{self, OverheadMeasurement};

/// The highest rate that `--rate` accepts, in requests per second.
const MAX_RATE_PER_SECOND: f64 = 1e6;

#[derive(Args)]
pub struct Load {
    /// Address and path to load, such as <http://127.0.0.1:8080/look/1>; loopback only
    url: String,
    /// Requests per second
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// Duration of the load, such as 10s
    #[arg(long = "for", default_value = "10s", value_parser = parse_duration)]
    duration: Duration,
    /// Maximum number of connections; unlimited by default
    #[arg(long)]
    clients: Option<usize>,
    /// Timeout of each request, which its headers state
    #[arg(long = "wait", value_name = "WAIT", default_value = "2s", value_parser = parse_duration)]
    timeout: Duration,
    /// Additional header line of each request, such as 'X-Lane: look'; can be repeated
    #[arg(long = "field", value_name = "FIELD")]
    headers: Vec<String>,
    /// Number of threads that send the requests
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Start a stand-in server that responds immediately, and load it instead of the URL's address
    #[arg(long)]
    own_server: bool,
    /// Write the figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Args)]
pub struct Overhead {
    /// Numbers of servers to measure with
    #[arg(long, value_delimiter = ',', default_value = "4,20,100")]
    servers: Vec<usize>,
    /// Numbers of client connections to measure with, for each number of servers
    #[arg(long, value_delimiter = ',', default_value = "16,500")]
    clients: Vec<usize>,
    /// Requests per second
    #[arg(long, default_value_t = 2000.0)]
    rate: f64,
    /// Duration of each load that is measured
    #[arg(long = "for", default_value = "4s", value_parser = parse_duration)]
    duration: Duration,
    /// Time that a server takes to process a request
    #[arg(long = "work", value_name = "WORK", default_value = "2ms", value_parser = parse_duration)]
    processing_time: Duration,
    /// Balancer program, by default the one in the folder of this program; with two, both are
    /// measured with each number of servers and clients, and their CPU time is compared
    #[arg(long)]
    binary: Vec<PathBuf>,
    /// Number of threads that send the requests
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Measure a balancer without an operator file, then in clusters with these numbers of members;
    /// only the first number of servers and the first number of clients are used
    #[arg(long = "fleet", value_name = "FLEET", value_delimiter = ',')]
    cluster_sizes: Vec<usize>,
    /// Write the figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

fn is_valid_rate(rate: f64) -> bool {
    rate > 0.0 && rate <= MAX_RATE_PER_SECOND
}

impl Load {
    fn validate(&self) -> Result<(), Failure> {
        let has_clients = self.clients != Some(0);
        if !is_valid_rate(self.rate) || !has_clients || self.duration.is_zero() {
            let reason = "invalid load: expected --rate above 0 and at most 1000000, \
                          --clients and --for above 0";
            return Err(Failure::InvalidInput(reason.into()));
        }
        let is_malformed =
            |header: &&String| !header.contains(':') || header.contains(['\r', '\n']);
        if let Some(header) = self.headers.iter().find(is_malformed) {
            let header = header.escape_debug();
            let reason = format!("--field: invalid header line '{header}': expected 'Name: value'");
            return Err(Failure::InvalidInput(reason));
        }
        Ok(())
    }
}

/// Sends load to an address of this machine, and prints the results.
pub fn generate_load(options: &Load, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    options.validate()?;
    let (mut address, path) =
        load::parse_url(&options.url).map_err(|error| Failure::InvalidInput(error.to_string()))?;
    let runtime = stand_in_runtime().map_err(Error::from)?;
    if options.own_server {
        let server = overhead::start_plain_server(Duration::ZERO);
        address = runtime.block_on(server).map_err(Error::from)?;
    }
    let headers = options.headers.iter().map(|header| format!("{header}\r\n"));
    let plan = load::LoadPlan {
        addresses: vec![address],
        path,
        headers: headers.collect(),
        rate: Some(options.rate),
        duration: options.duration,
        clients: options.clients,
        threads: options.threads,
        timeout: options.timeout,
        seed: 1,
    };
    let results = load::run(plan, stop)?;
    runtime.shutdown_background();
    print_load(&results);
    write_json(options.json.as_deref(), &results)?;
    if results.valid {
        Ok(())
    } else {
        let reasons = results.invalid_reasons.join("; ");
        Err(Failure::Failed(format!("the run is invalid: {reasons}")))
    }
}

fn print_load(results: &LoadResults) {
    println!(
        "{} sent, {} succeeded ({:.0} per second), {} rejected, {} failed, {} unanswered",
        results.sent,
        results.succeeded,
        results.rate_succeeded,
        results.rejected,
        results.failed,
        results.unanswered
    );
    let latency = &results.latency_ms;
    println!(
        "latency since the scheduled time, ms: p50 {:.3}, p90 {:.3}, p99 {:.3}, max {:.3}",
        latency.p50, latency.p90, latency.p99, latency.max
    );
    let lateness = &results.lateness_ms;
    println!(
        "lateness of the load itself, ms: p50 {:.3}, p99 {:.3}, max {:.3}",
        lateness.p50, lateness.p99, lateness.max
    );
}

impl Overhead {
    fn validate(&self) -> Result<(), Failure> {
        let has_zero = self.clients.contains(&0) || self.servers.contains(&0);
        if !is_valid_rate(self.rate) || has_zero || self.duration.is_zero() {
            let reason = "invalid measurement: expected --rate above 0 and at most 1000000, \
                          --servers, --clients and --for above 0";
            return Err(Failure::InvalidInput(reason.into()));
        }
        Ok(())
    }

    fn measurement_options(
        &self,
        binary: &Path,
        members: Option<usize>,
        stop: &Arc<AtomicBool>,
    ) -> overhead::Options {
        overhead::Options {
            binary: binary.to_owned(),
            rate: self.rate,
            duration: self.duration,
            processing_time: self.processing_time,
            threads: self.threads,
            members,
            stop: Arc::clone(stop),
        }
    }

    /// Measures a balancer without an operator file, then in a cluster of each size.
    fn measure_clusters(
        &self,
        servers: usize,
        clients: usize,
        stop: &Arc<AtomicBool>,
    ) -> Result<Vec<OverheadMeasurement>, Failure> {
        let binaries = binaries_or_default(&self.binary);
        println!("{}", overhead::CLUSTER_TABLE_HEAD);
        let mut measurements = Vec::new();
        let sizes = self.cluster_sizes.iter().copied().map(Some);
        for members in [None].into_iter().chain(sizes) {
            if !stop.load(Ordering::Relaxed) {
                let options = self.measurement_options(&binaries[0], members, stop);
                let measurement = overhead::measure(servers, clients, &options)?;
                println!("{}", measurement.cluster_row());
                measurements.push(measurement);
            }
        }
        Ok(measurements)
    }

    /// Measures each binary with every number of servers and clients.
    fn measure_binaries(
        &self,
        stop: &Arc<AtomicBool>,
    ) -> Result<Vec<Vec<OverheadMeasurement>>, Failure> {
        let binaries = binaries_or_default(&self.binary);
        let mut all: Vec<Vec<OverheadMeasurement>> = binaries.iter().map(|_| Vec::new()).collect();
        println!("{}", overhead::TABLE_HEAD);
        for &servers in &self.servers {
            for &clients in &self.clients {
                for (binary, measurements) in binaries.iter().zip(&mut all) {
                    if stop.load(Ordering::Relaxed) {
                        continue;
                    }
                    let options = self.measurement_options(binary, None, stop);
                    let measurement = overhead::measure(servers, clients, &options)?;
                    println!("{}", measurement.row());
                    measurements.push(measurement);
                }
            }
        }
        Ok(all)
    }
}

/// Measures the overhead of balancers, and prints a row of a table for each measurement.
pub fn measure_overhead(options: &Overhead, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    options.validate()?;
    let json = options.json.as_deref();
    if let ([_, ..], [servers, ..], [clients, ..]) = (
        &*options.cluster_sizes,
        &*options.servers,
        &*options.clients,
    ) {
        let measurements = options.measure_clusters(*servers, *clients, stop)?;
        return write_json(json, &serde_json::json!({"points": measurements}));
    }
    let all = options.measure_binaries(stop)?;
    if let [first, second] = all.as_slice() {
        print_cpu_ratio(first, second);
    }
    let measurements = all.iter();
    let measurements: Vec<_> = measurements
        .map(|measurements| serde_json::json!({"points": measurements}))
        .collect();
    match measurements.as_slice() {
        [only] => write_json(json, only),
        several => write_json(json, &several),
    }
}

fn print_cpu_ratio(first: &[OverheadMeasurement], second: &[OverheadMeasurement]) {
    let pairs = first.iter().zip(second);
    let ratios: Vec<f64> = pairs
        .map(|(first, second)| second.cpu_us_per_request / first.cpu_us_per_request)
        .collect();
    let mean = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
    println!(
        "CPU time per request, second binary relative to the first: {mean:.3} \
         (mean ratio of {} measurements)",
        ratios.len()
    );
}
