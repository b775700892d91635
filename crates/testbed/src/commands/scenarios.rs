//! Days that are played: calm ones, from files, with several balancers, with plain policies, and stand-ins alone.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use clap::Args;
use pinefront_model::validation;

use crate::baseline::Policy;
use crate::commands::{
    Failure, binaries, check_day, part, played, read_day, seeds, sound, write_json, write_report,
};
use crate::figures::Figures;
use crate::play::{Who, Wishes};
use crate::{balancers, fleet, standing};

#[derive(Args)]
pub struct Demo {
    /// How long, such as 30s
    #[arg(long = "for", default_value = "30s")]
    lasts: String,
    #[arg(long, default_value_t = 12)]
    servers: usize,
    #[arg(long, default_value_t = 2)]
    balancers: usize,
    /// Tickets a second
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
    /// How many, in place of what the day says
    #[arg(long)]
    balancers: Option<usize>,
    /// A balancer's program; two of them play in turns and are compared
    #[arg(long)]
    binary: Vec<PathBuf>,
    #[arg(long)]
    seed: Option<u64>,
    /// How often each plays the day, with a seed more each time
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
    /// Play it with the balancer beside this program as well
    #[arg(long)]
    ours: bool,
    /// Play it with this balancer as well
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
pub struct Standing {
    /// A day whose fleet stands in; a usual one where none is named
    scenario: Option<PathBuf>,
    #[arg(long, default_value_t = 12)]
    servers: usize,
    /// Where the page listens
    #[arg(long, default_value = "127.0.0.1:0")]
    page: std::net::SocketAddr,
    /// Where a balancer that is started by hand will listen
    #[arg(long, default_value = "127.0.0.1:8080")]
    listen: std::net::SocketAddr,
    /// Write the configuration for that balancer to this file
    #[arg(long, default_value = "balancer.json")]
    config: PathBuf,
}

#[derive(Args)]
pub struct FleetDay {
    scenario: PathBuf,
    /// How many, in place of what the day says
    #[arg(long)]
    balancers: Option<usize>,
    #[arg(long)]
    seed: Option<u64>,
    /// Faults drawn from each of these seeds, in place of the day's own
    #[arg(long, value_parser = seeds)]
    seeds: Option<std::ops::Range<u64>>,
    /// Part of all datagrams between balancers that is lost all day, beside the day's faults
    #[arg(long, value_parser = part)]
    loss: Option<f64>,
    /// The balancer's program; the one beside this program where none is named
    #[arg(long)]
    binary: Option<PathBuf>,
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Mean of the second less the first, pair by pair, and the standard deviation of that.
pub fn difference(
    first: &[Figures],
    second: &[Figures],
    of: impl Fn(&Figures) -> f64,
) -> (f64, f64) {
    let each: Vec<f64> = first
        .iter()
        .zip(second)
        .map(|(a, b)| of(b) - of(a))
        .collect();
    let count = each.len().max(1) as f64;
    let mean = each.iter().sum::<f64>() / count;
    let squares: f64 = each.iter().map(|one| (one - mean) * (one - mean)).sum();
    (mean, (squares / (count - 1.0).max(1.0)).sqrt())
}

pub fn demo(demo: &Demo, over: &Arc<AtomicBool>) -> Result<(), Failure> {
    let lasts = if demo.keep_open { "1h" } else { &demo.lasts };
    let text = format!(
        "name = \"demo\"\nlength = \"{lasts}\"\nbalancers = {}\nseed = {}\n[fleet]\nservers = {}\n[traffic]\nrate = {:?}\n",
        demo.balancers, demo.seed, demo.servers, demo.rate
    );
    let scenario = check_day(&text, "demo")?;
    let who = Who::Binary(demo.binary.clone().unwrap_or_else(balancers::own_binary));
    let wishes = Wishes {
        live: true,
        by_hand: true,
        fleet: false,
        over: Arc::clone(over),
    };
    let figures = played(&scenario, scenario.seed, &who, &wishes)?;
    write_json(demo.json.as_deref(), &figures)?;
    sound(&[&figures])
}

pub fn run(run: &Run, over: &Arc<AtomicBool>) -> Result<(), Failure> {
    let mut scenario = read_day(&run.scenario)?;
    if let Some(balancers) = run.balancers {
        validation::set_balancers(&mut scenario, balancers)
            .map_err(|reason| Failure::Wrong(format!("--balancers: {reason}")))?;
    }
    let binaries = binaries(&run.binary);
    let wishes = Wishes {
        live: true,
        by_hand: false,
        fleet: false,
        over: Arc::clone(over),
    };
    let first = run.seed.unwrap_or(scenario.seed);
    let mut all: Vec<Vec<Figures>> = binaries.iter().map(|_| Vec::new()).collect();
    for round in 0..run.rounds.unwrap_or(1) {
        for (binary, found) in binaries.iter().zip(&mut all) {
            if !over.load(Ordering::Relaxed) {
                found.push(played(
                    &scenario,
                    first + round,
                    &Who::Binary(binary.clone()),
                    &wishes,
                )?);
            }
        }
    }
    match all.as_slice() {
        [only] if only.len() == 1 => write_json(run.json.as_deref(), &only[0])?,
        [first, second] => {
            let (service, cpu) = (
                difference(first, second, |f| f.service),
                difference(first, second, |f| f.cpu_us_per_ticket),
            );
            println!(
                "second less first, mean and spread over {} pairs:",
                first.len().min(second.len())
            );
            println!(
                "  service  {:+.4} (spread {:.4})\n  CPU us   {:+.1} (spread {:.1})",
                service.0, service.1, cpu.0, cpu.1
            );
            write_json(
                run.json.as_deref(),
                &serde_json::json!({
                    "first": first, "second": second,
                    "service_difference": service.0, "service_spread": service.1,
                    "cpu_us_difference": cpu.0, "cpu_us_spread": cpu.1,
                }),
            )?;
        }
        _ => write_json(run.json.as_deref(), &all)?,
    }
    let all: Vec<_> = all.iter().flatten().collect();
    write_report(run.report.as_deref(), &scenario, &all)?;
    sound(&all)
}

pub fn stand(standing: &Standing, over: &Arc<AtomicBool>) -> Result<(), Failure> {
    let scenario = match &standing.scenario {
        Some(path) => read_day(path)?,
        None => check_day(
            &format!(
                "name = \"stand\"\nlength = \"24h\"\nbalancers = 1\n[fleet]\nservers = {}\n",
                standing.servers
            ),
            "stand",
        )?,
    };
    standing::stand_alone(
        &scenario,
        standing.page,
        standing.listen,
        &standing.config,
        over,
    )
    .map_err(Failure::Failed)
}

pub fn fleet_day(options: &FleetDay, over: &Arc<AtomicBool>) -> Result<(), Failure> {
    let mut scenario = read_day(&options.scenario)?;
    if let Some(balancers) = options.balancers {
        validation::set_balancers(&mut scenario, balancers)
            .map_err(|reason| Failure::Wrong(format!("--balancers: {reason}")))?;
    }
    if let Some(loss) = options.loss {
        fleet::drawn::lose(&mut scenario, loss);
    }
    let who = Who::Binary(options.binary.clone().unwrap_or_else(balancers::own_binary));
    let wishes = Wishes {
        live: true,
        by_hand: false,
        fleet: true,
        over: Arc::clone(over),
    };
    let Some(seeds) = options.seeds.clone() else {
        let figures = played(
            &scenario,
            options.seed.unwrap_or(scenario.seed),
            &who,
            &wishes,
        )?;
        write_json(options.json.as_deref(), &figures)?;
        return sound(&[&figures]);
    };
    let mut all = Vec::new();
    for seed in seeds.take_while(|_| !over.load(Ordering::Relaxed)) {
        let mut scenario = scenario.clone();
        fleet::drawn::draw(&mut scenario, seed);
        options
            .loss
            .into_iter()
            .for_each(|loss| fleet::drawn::lose(&mut scenario, loss));
        let figures = played(&scenario, seed, &who, &wishes)?;
        if !figures.is_sound() {
            println!(
                "again: pinefront-testbed fleet {} --seeds {seed}..{}",
                options.scenario.display(),
                seed + 1
            );
        }
        all.push(figures);
    }
    write_json(options.json.as_deref(), &all)?;
    sound(&all.iter().collect::<Vec<_>>())
}

pub fn compare(compare: &Compare, over: &Arc<AtomicBool>) -> Result<(), Failure> {
    let scenario = read_day(&compare.scenario)?;
    let policies = if compare.policy.is_empty() {
        Policy::ALL.to_vec()
    } else {
        compare.policy.clone()
    };
    let wishes = Wishes {
        live: true,
        by_hand: false,
        fleet: false,
        over: Arc::clone(over),
    };
    let ours = compare.ours.then(balancers::own_binary);
    let binaries = ours
        .into_iter()
        .chain(compare.binary.iter().cloned())
        .map(Who::Binary);
    let whos = binaries.chain(policies.into_iter().map(Who::Policy));
    let mut all = Vec::new();
    for who in whos {
        if !over.load(Ordering::Relaxed) {
            all.push(played(
                &scenario,
                compare.seed.unwrap_or(scenario.seed),
                &who,
                &wishes,
            )?);
        }
    }
    println!(
        "| who | service | succeeded | p50 ms | p99 ms | rules broken |\n| --- | --- | --- | --- | --- | --- |"
    );
    for run in &all {
        let (times, part) = (
            &run.latency_ms,
            run.requests.succeeded as f64 / run.requests.asked.max(1) as f64,
        );
        println!(
            "| {} | {:.3} | {:.1} % | {:.0} | {:.0} | {} |",
            run.who,
            run.service,
            100.0 * part,
            times.p50,
            times.p99,
            run.rules_broken_count
        );
    }
    write_report(
        compare.report.as_deref(),
        &scenario,
        &all.iter().collect::<Vec<_>>(),
    )?;
    write_json(compare.json.as_deref(), &all)
}
