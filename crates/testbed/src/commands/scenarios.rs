//! Commands that run scenarios: one without faults, one from a file, with a cluster, with simple
//! policies, and stand-ins without balancers.

use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use clap::Args;
use pinefront_model::scenario::Scenario;

use crate::balancers;
use crate::baseline::Policy;
use crate::commands::{
    Failure, binaries_or_default, binary_subject, override_balancer_count, parse_fraction,
    parse_scenario, parse_seed_range, read_scenario, require_sound, run_and_print, write_json,
    write_report,
};
use crate::figures::Figures;
use crate::fleet::drawn;
use crate::runner::{RunOptions, Subject};
use crate::stand_alone;

#[derive(Args)]
pub struct Demo {
    /// Duration of the load, such as 30s
    #[arg(long = "for", default_value = "30s")]
    duration: String,
    /// Number of stand-in servers
    #[arg(long, default_value_t = 12)]
    servers: usize,
    /// Number of balancers
    #[arg(long, default_value_t = 2)]
    balancers: usize,
    /// Requests per second
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run until Ctrl-C, for one hour at most, regardless of --for
    #[arg(long)]
    keep_open: bool,
    /// Write the figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
    /// Balancer program; by default the one in the folder of this program
    #[arg(long)]
    binary: Option<PathBuf>,
}

#[derive(Args)]
pub struct Run {
    /// Scenario file
    scenario: PathBuf,
    /// Number of balancers, instead of the scenario's number
    #[arg(long)]
    balancers: Option<usize>,
    /// Balancer program, by default the one in the folder of this program; two programs run in turn
    /// and are compared
    #[arg(long)]
    binary: Vec<PathBuf>,
    /// Seed of the random numbers, instead of the scenario's seed
    #[arg(long)]
    seed: Option<u64>,
    /// How many times each program runs the scenario, once by default; the seed increases by 1 each
    /// time
    #[arg(long)]
    rounds: Option<u64>,
    /// Write the figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a report page with plots to this folder
    #[arg(long)]
    report: Option<PathBuf>,
}

#[derive(Args)]
pub struct Baseline {
    /// Scenario file
    scenario: PathBuf,
    /// Load balancing policy, all by default; can be repeated
    #[arg(long = "policy", value_name = "POLICY")]
    policies: Vec<Policy>,
    /// Also run the scenario with the balancer in the folder of this program
    #[arg(long = "ours")]
    with_default_binary: bool,
    /// Also run the scenario with this balancer program; can be repeated
    #[arg(long = "binary", value_name = "BINARY")]
    binaries: Vec<PathBuf>,
    /// Seed of the random numbers, instead of the scenario's seed
    #[arg(long)]
    seed: Option<u64>,
    /// Write the figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a report page with plots to this folder
    #[arg(long)]
    report: Option<PathBuf>,
}

#[derive(Args)]
pub struct StandAlone {
    /// Scenario file with the servers and faults; by default, a scenario without faults
    scenario: Option<PathBuf>,
    /// Number of stand-in servers without a scenario file
    #[arg(long, default_value_t = 12)]
    servers: usize,
    /// Address at which the page is served
    #[arg(long, default_value = "127.0.0.1:0")]
    page: SocketAddr,
    /// Address at which the balancer that is started by hand will listen
    #[arg(long, default_value = "127.0.0.1:8080")]
    listen: SocketAddr,
    /// Write the configuration of the balancer that is started by hand to this file
    #[arg(long, default_value = "balancer.json")]
    config: PathBuf,
}

#[derive(Args)]
pub struct ClusterRun {
    /// Scenario file
    scenario: PathBuf,
    /// Number of balancers, instead of the scenario's number
    #[arg(long)]
    balancers: Option<usize>,
    /// Seed of the random numbers, instead of the scenario's seed
    #[arg(long)]
    seed: Option<u64>,
    /// Range of seeds, such as 0..500; each is run with faults drawn from it instead of the
    /// scenario's faults
    #[arg(long, value_parser = parse_seed_range)]
    seeds: Option<Range<u64>>,
    /// Fraction of all datagrams between balancers that is lost throughout the run, in addition to
    /// the other faults
    #[arg(long, value_parser = parse_fraction)]
    loss: Option<f64>,
    /// Balancer program; by default the one in the folder of this program
    #[arg(long)]
    binary: Option<PathBuf>,
    /// Write the figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs traffic without faults with the balancer under test.
pub fn run_demo(demo: &Demo, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let duration = if demo.keep_open { "1h" } else { &demo.duration };
    let text = format!(
        "name = \"demo\"\nlength = \"{duration}\"\nbalancers = {}\nseed = {}\n\
         [fleet]\nservers = {}\n[traffic]\nrate = {:?}\n",
        demo.balancers, demo.seed, demo.servers, demo.rate
    );
    let scenario = parse_scenario(&text, "demo")?;
    let subject = binary_subject(demo.binary.as_ref());
    let options = RunOptions {
        prints_usage: true,
        ..run_options(stop)
    };
    let figures = run_and_print(&scenario, scenario.seed, &subject, &options)?;
    write_json(demo.json.as_deref(), &figures)?;
    require_sound(&[&figures])
}

fn run_options(stop: &Arc<AtomicBool>) -> RunOptions {
    RunOptions {
        shows_progress: true,
        prints_usage: false,
        is_cluster: false,
        stop: Arc::clone(stop),
    }
}

/// Runs a scenario from a file.
pub fn run_from_file(run: &Run, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let mut scenario = read_scenario(&run.scenario)?;
    override_balancer_count(&mut scenario, run.balancers)?;
    let binaries = binaries_or_default(&run.binary);
    let options = run_options(stop);
    let first_seed = run.seed.unwrap_or(scenario.seed);
    let mut all: Vec<Vec<Figures>> = binaries.iter().map(|_| Vec::new()).collect();
    for round in 0..run.rounds.unwrap_or(1) {
        for (binary, figures) in binaries.iter().zip(&mut all) {
            if !stop.load(Ordering::Relaxed) {
                let subject = Subject::Binary(binary.clone());
                let seed = first_seed + round;
                figures.push(run_and_print(&scenario, seed, &subject, &options)?);
            }
        }
    }
    let json = run.json.as_deref();
    match all.as_slice() {
        [only] if only.len() == 1 => write_json(json, &only[0])?,
        [first, second] => write_json(json, &compare_runs(first, second))?,
        _ => write_json(json, &all)?,
    }
    let all: Vec<_> = all.iter().flatten().collect();
    write_report(run.report.as_deref(), &scenario, &all)?;
    require_sound(&all)
}

/// Mean and standard deviation of the differences between paired runs.
pub struct Difference {
    pub mean: f64,
    pub standard_deviation: f64,
}

/// Statistics of a figure of the second runs minus that of the first, pair by pair.
pub fn paired_difference(
    first: &[Figures],
    second: &[Figures],
    figure: impl Fn(&Figures) -> f64,
) -> Difference {
    let pairs = first.iter().zip(second);
    let differences: Vec<f64> = pairs
        .map(|(first, second)| figure(second) - figure(first))
        .collect();
    let count = differences.len().max(1) as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let squares: f64 = differences
        .iter()
        .map(|difference| (difference - mean) * (difference - mean))
        .sum();
    Difference {
        mean,
        standard_deviation: (squares / (count - 1.0).max(1.0)).sqrt(),
    }
}

/// Prints the comparison of the runs of two balancers, and returns it as JSON.
fn compare_runs(first: &[Figures], second: &[Figures]) -> serde_json::Value {
    let service = paired_difference(first, second, |figures| figures.service);
    let cpu_us = paired_difference(first, second, |figures| figures.cpu_us_per_request);
    println!(
        "second minus first, mean and standard deviation over {} pairs:",
        first.len().min(second.len())
    );
    println!(
        "  service              {:+.4} (sd {:.4})\n  CPU per request, us  {:+.1} (sd {:.1})",
        service.mean, service.standard_deviation, cpu_us.mean, cpu_us.standard_deviation
    );
    serde_json::json!({
        "first": first,
        "second": second,
        "service_difference": service.mean,
        "service_spread": service.standard_deviation,
        "cpu_us_difference": cpu_us.mean,
        "cpu_us_spread": cpu_us.standard_deviation,
    })
}

/// Runs stand-ins without load and without a balancer.
pub fn run_stand_ins(options: &StandAlone, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let scenario = if let Some(path) = &options.scenario {
        read_scenario(path)?
    } else {
        let servers = options.servers;
        let text = format!(
            "name = \"stand\"\nlength = \"24h\"\nbalancers = 1\n\
             [fleet]\nservers = {servers}\n"
        );
        parse_scenario(&text, "stand")?
    };
    let addresses = stand_alone::Addresses {
        page: options.page,
        balancer: options.listen,
        config_file: &options.config,
    };
    Ok(stand_alone::run(&scenario, &addresses, stop)?)
}

/// Runs a scenario with balancers that form a cluster.
pub fn run_cluster(options: &ClusterRun, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let mut scenario = read_scenario(&options.scenario)?;
    override_balancer_count(&mut scenario, options.balancers)?;
    if let Some(loss) = options.loss {
        drawn::add_network_loss(&mut scenario, loss);
    }
    let subject = binary_subject(options.binary.as_ref());
    let run_options = RunOptions {
        is_cluster: true,
        ..run_options(stop)
    };
    let Some(seeds) = options.seeds.clone() else {
        let seed = options.seed.unwrap_or(scenario.seed);
        let figures = run_and_print(&scenario, seed, &subject, &run_options)?;
        write_json(options.json.as_deref(), &figures)?;
        return require_sound(&[&figures]);
    };
    let mut all = Vec::new();
    for seed in seeds.take_while(|_| !stop.load(Ordering::Relaxed)) {
        let scenario_with_faults = draw_faults(&scenario, seed, options.loss);
        let figures = run_and_print(&scenario_with_faults, seed, &subject, &run_options)?;
        if !figures.is_sound() {
            let path = options.scenario.display();
            let next = seed + 1;
            println!("run again with: pinefront-testbed fleet {path} --seeds {seed}..{next}");
        }
        all.push(figures);
    }
    write_json(options.json.as_deref(), &all)?;
    require_sound(&all.iter().collect::<Vec<_>>())
}

/// A copy of the scenario with faults that are drawn from a seed, and with the loss of datagrams.
fn draw_faults(scenario: &Scenario, seed: u64, loss: Option<f64>) -> Scenario {
    let mut scenario = scenario.clone();
    drawn::draw(&mut scenario, seed);
    if let Some(loss) = loss {
        drawn::add_network_loss(&mut scenario, loss);
    }
    scenario
}

/// Runs a scenario with simple policies, and prints a comparison.
pub fn compare_policies(baseline: &Baseline, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let scenario = read_scenario(&baseline.scenario)?;
    let policies = if baseline.policies.is_empty() {
        Policy::ALL.to_vec()
    } else {
        baseline.policies.clone()
    };
    let default_binary = baseline.with_default_binary.then(balancers::default_binary);
    let binaries = default_binary
        .into_iter()
        .chain(baseline.binaries.iter().cloned());
    let subjects = binaries
        .map(Subject::Binary)
        .chain(policies.into_iter().map(Subject::Policy));
    let seed = baseline.seed.unwrap_or(scenario.seed);
    let options = run_options(stop);
    let mut all = Vec::new();
    for subject in subjects {
        if !stop.load(Ordering::Relaxed) {
            all.push(run_and_print(&scenario, seed, &subject, &options)?);
        }
    }
    print_comparison(&all);
    let runs: Vec<_> = all.iter().collect();
    write_report(baseline.report.as_deref(), &scenario, &runs)?;
    write_json(baseline.json.as_deref(), &all)
}

fn print_comparison(runs: &[Figures]) {
    println!(
        "| balancer | service | succeeded | p50 ms | p99 ms | rule violations |\n\
         | --- | --- | --- | --- | --- | --- |"
    );
    for run in runs {
        let succeeded = run.counts.succeeded as f64 / run.counts.sent.max(1) as f64;
        println!(
            "| {} | {:.3} | {:.1} % | {:.0} | {:.0} | {} |",
            run.subject,
            run.service,
            100.0 * succeeded,
            run.latency_ms.p50,
            run.latency_ms.p99,
            run.rule_violation_count
        );
    }
}
