//! Commands that run scenarios: calm ones, from files, with a cluster, with simple policies, and
//! stand-ins alone.

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
    Failure, binaries, binary_subject, parse_scenario, part, read_scenario, require_sound,
    run_and_print, seeds, set_balancers, write_json, write_report,
};
use crate::figures::Figures;
use crate::fleet::drawn;
use crate::runner::{RunOptions, Subject};
use crate::stand_alone;

#[derive(Args)]
pub struct Demo {
    /// How long, such as 30s
    #[arg(long = "for", default_value = "30s")]
    duration: String,
    #[arg(long, default_value_t = 12)]
    servers: usize,
    #[arg(long, default_value_t = 2)]
    balancers: usize,
    /// Requests a second
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Go on until Ctrl-C, an hour at most
    #[arg(long)]
    keep_open: bool,
    /// Write the figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
    /// The balancer's program; the one beside this program where none is named
    #[arg(long)]
    binary: Option<PathBuf>,
}

#[derive(Args)]
pub struct Run {
    scenario: PathBuf,
    /// How many, in place of what the scenario says
    #[arg(long)]
    balancers: Option<usize>,
    /// A balancer's program; two of them run in turns and are compared
    #[arg(long)]
    binary: Vec<PathBuf>,
    #[arg(long)]
    seed: Option<u64>,
    /// How often each runs the scenario, with the next seed each time
    #[arg(long)]
    rounds: Option<u64>,
    /// Write the figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a page with plots into this folder
    #[arg(long)]
    report: Option<PathBuf>,
}

#[derive(Args)]
pub struct Compare {
    scenario: PathBuf,
    /// All where none is named
    #[arg(long)]
    policy: Vec<Policy>,
    /// Run it with the balancer beside this program as well
    #[arg(long)]
    ours: bool,
    /// Run it with this balancer as well
    #[arg(long)]
    binary: Vec<PathBuf>,
    #[arg(long)]
    seed: Option<u64>,
    /// Write the figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a page with plots into this folder
    #[arg(long)]
    report: Option<PathBuf>,
}

#[derive(Args)]
pub struct StandAlone {
    /// A scenario whose servers stand in; a usual one where none is named
    scenario: Option<PathBuf>,
    #[arg(long, default_value_t = 12)]
    servers: usize,
    /// Where the page listens
    #[arg(long, default_value = "127.0.0.1:0")]
    page: SocketAddr,
    /// Where a balancer that is started by hand will listen
    #[arg(long, default_value = "127.0.0.1:8080")]
    listen: SocketAddr,
    /// Write the configuration for that balancer to this file
    #[arg(long, default_value = "balancer.json")]
    config: PathBuf,
}

#[derive(Args)]
pub struct ClusterRun {
    scenario: PathBuf,
    /// How many, in place of what the scenario says
    #[arg(long)]
    balancers: Option<usize>,
    #[arg(long)]
    seed: Option<u64>,
    /// Faults drawn from each of these seeds, in place of the scenario's own
    #[arg(long, value_parser = seeds)]
    seeds: Option<Range<u64>>,
    /// Fraction of all datagrams between balancers that is lost all the time, beside the scenario's
    /// faults
    #[arg(long, value_parser = part)]
    loss: Option<f64>,
    /// The balancer's program; the one beside this program where none is named
    #[arg(long)]
    binary: Option<PathBuf>,
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs calm traffic with the balancer under test.
pub fn demo(demo: &Demo, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let duration = if demo.keep_open { "1h" } else { &demo.duration };
    let text = format!(
        "name = \"demo\"\nlength = \"{duration}\"\nbalancers = {}\nseed = {}\n[fleet]\nservers = {}\n[traffic]\nrate = {:?}\n",
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
pub fn run(run: &Run, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let mut scenario = read_scenario(&run.scenario)?;
    set_balancers(&mut scenario, run.balancers)?;
    let binaries = binaries(&run.binary);
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

/// Mean and standard deviation of the differences of pairs.
pub struct Difference {
    pub mean: f64,
    pub deviation: f64,
}

/// The second figure less the first, pair by pair.
pub fn difference(
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
        deviation: (squares / (count - 1.0).max(1.0)).sqrt(),
    }
}

/// Prints the comparison of two balancers, and returns it as JSON.
fn compare_runs(first: &[Figures], second: &[Figures]) -> serde_json::Value {
    let service = difference(first, second, |figures| figures.service);
    let cpu_us = difference(first, second, |figures| figures.cpu_us_per_request);
    println!(
        "second less first, mean and spread over {} pairs:",
        first.len().min(second.len())
    );
    println!(
        "  service  {:+.4} (spread {:.4})\n  CPU us   {:+.1} (spread {:.1})",
        service.mean, service.deviation, cpu_us.mean, cpu_us.deviation
    );
    serde_json::json!({
        "first": first,
        "second": second,
        "service_difference": service.mean,
        "service_spread": service.deviation,
        "cpu_us_difference": cpu_us.mean,
        "cpu_us_spread": cpu_us.deviation,
    })
}

/// Runs stand-ins without load.
pub fn stand(options: &StandAlone, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let scenario = if let Some(path) = &options.scenario {
        read_scenario(path)?
    } else {
        let servers = options.servers;
        let text = format!(
            "name = \"stand\"\nlength = \"24h\"\nbalancers = 1\n[fleet]\nservers = {servers}\n"
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
    set_balancers(&mut scenario, options.balancers)?;
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
        let drawn = draw_faults(&scenario, seed, options.loss);
        let figures = run_and_print(&drawn, seed, &subject, &run_options)?;
        if !figures.is_sound() {
            let path = options.scenario.display();
            let next = seed + 1;
            println!("again: pinefront-testbed fleet {path} --seeds {seed}..{next}");
        }
        all.push(figures);
    }
    write_json(options.json.as_deref(), &all)?;
    require_sound(&all.iter().collect::<Vec<_>>())
}

/// Replaces the faults of a scenario by ones drawn from a seed.
fn draw_faults(scenario: &Scenario, seed: u64, loss: Option<f64>) -> Scenario {
    let mut scenario = scenario.clone();
    drawn::draw(&mut scenario, seed);
    if let Some(loss) = loss {
        drawn::add_network_loss(&mut scenario, loss);
    }
    scenario
}

/// Runs a scenario with simple policies, and prints a comparison.
pub fn compare(compare: &Compare, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    let scenario = read_scenario(&compare.scenario)?;
    let policies = if compare.policy.is_empty() {
        Policy::ALL.to_vec()
    } else {
        compare.policy.clone()
    };
    let ours = compare.ours.then(balancers::default_binary);
    let binaries = ours.into_iter().chain(compare.binary.iter().cloned());
    let subjects = binaries
        .map(Subject::Binary)
        .chain(policies.into_iter().map(Subject::Policy));
    let seed = compare.seed.unwrap_or(scenario.seed);
    let options = run_options(stop);
    let mut all = Vec::new();
    for subject in subjects {
        if !stop.load(Ordering::Relaxed) {
            all.push(run_and_print(&scenario, seed, &subject, &options)?);
        }
    }
    print_comparison(&all);
    let runs: Vec<_> = all.iter().collect();
    write_report(compare.report.as_deref(), &scenario, &runs)?;
    write_json(compare.json.as_deref(), &all)
}

fn print_comparison(runs: &[Figures]) {
    println!(
        "| who | service | succeeded | p50 ms | p99 ms | rules violated |\n| --- | --- | --- | --- | --- | --- |"
    );
    for run in runs {
        let succeeded = run.counts.succeeded as f64 / run.counts.sent.max(1) as f64;
        println!(
            "| {} | {:.3} | {:.1} % | {:.0} | {:.0} | {} |",
            run.who,
            run.service,
            100.0 * succeeded,
            run.latency_ms.p50,
            run.latency_ms.p99,
            run.rule_violation_count
        );
    }
}
