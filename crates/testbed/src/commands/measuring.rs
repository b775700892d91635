//! What a balancer bears and costs.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::Args;

use crate::commands::{Failure, binaries, span, write_json};
use crate::{load, overhead as overheads, play};

#[derive(Args)]
pub struct LoadAt {
    /// Such as http://127.0.0.1:8080/look/1
    url: String,
    /// Tickets a second
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// How long, such as 10s
    #[arg(long = "for", default_value = "10s", value_parser = span)]
    lasts: Duration,
    /// Connections at most; as many as it takes where none are named
    #[arg(long)]
    clients: Option<usize>,
    /// What each ticket says that it waits
    #[arg(long, default_value = "2s", value_parser = span)]
    wait: Duration,
    /// A further field for each ticket, such as 'X-Lane: look'
    #[arg(long)]
    field: Vec<String>,
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Also start a stand-in that answers at once, and load that
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
    /// Tickets a second
    #[arg(long, default_value_t = 2000.0)]
    rate: f64,
    /// How long each part is measured
    #[arg(long = "for", default_value = "4s", value_parser = span)]
    lasts: Duration,
    /// How long a server takes
    #[arg(long, default_value = "2ms", value_parser = span)]
    work: Duration,
    /// The balancer's program; of two, the second is measured beside the first at each point
    #[arg(long)]
    binary: Vec<PathBuf>,
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Without an operator file and then in fleets of so many members, before the first number of servers and clients
    #[arg(long, value_delimiter = ',')]
    fleet: Vec<usize>,
    #[arg(long)]
    json: Option<PathBuf>,
}

pub fn load_at(options: &LoadAt, over: &Arc<AtomicBool>) -> Result<(), Failure> {
    if !(options.rate > 0.0 && options.rate <= 1e6)
        || options.clients == Some(0)
        || options.lasts.is_zero()
    {
        return Err(Failure::Wrong(
            "--rate must be over 0 and at most 1000000, --clients and --for over 0".into(),
        ));
    }
    let bad = |field: &&String| !field.contains(':') || field.contains(['\r', '\n']);
    if let Some(field) = options.field.iter().find(bad) {
        return Err(Failure::Wrong(format!(
            "--field '{}' is no 'Name: value'",
            field.escape_debug()
        )));
    }
    let (mut address, path) = load::target(&options.url).map_err(Failure::Wrong)?;
    let runtime = play::runtime().map_err(|problem| Failure::Failed(problem.to_string()))?;
    if options.own_server {
        address = runtime
            .block_on(overheads::plain_server(Duration::ZERO))
            .map_err(|problem| Failure::Failed(problem.to_string()))?;
    }
    let plan = load::Plan {
        addresses: vec![address],
        path,
        fields: options
            .field
            .iter()
            .map(|field| format!("{field}\r\n"))
            .collect(),
        rate: Some(options.rate),
        lasts: options.lasts,
        clients: options.clients,
        threads: options.threads,
        wait: options.wait,
        seed: 1,
    };
    let found = load::load(plan, over).map_err(Failure::Failed)?;
    runtime.shutdown_background();
    let (latency, late) = (&found.latency_ms, &found.lateness_ms);
    println!(
        "{} asked, {} succeeded ({:.0} a second), {} dismissed, {} abandoned, {} unanswered",
        found.asked,
        found.succeeded,
        found.rate_succeeded,
        found.rejected,
        found.failed,
        found.unanswered
    );
    println!(
        "from when they were due: p50 {:.3} ms, p90 {:.3}, p99 {:.3}, longest {:.3}",
        latency.p50, latency.p90, latency.p99, latency.max
    );
    println!(
        "own lateness: p50 {:.3} ms, p99 {:.3}, longest {:.3}",
        late.p50, late.p99, late.max
    );
    write_json(options.json.as_deref(), &found)?;
    match found.valid {
        true => Ok(()),
        false => Err(Failure::Failed(format!(
            "the run is invalid: {}",
            found.why_invalid.join("; ")
        ))),
    }
}

pub fn overhead(options: &Overhead, over: &Arc<AtomicBool>) -> Result<(), Failure> {
    let binaries = binaries(&options.binary);
    let rate_fits = options.rate > 0.0 && options.rate <= 1e6;
    if !rate_fits
        || options.clients.contains(&0)
        || options.servers.contains(&0)
        || options.lasts.is_zero()
    {
        let reason =
            "--rate must be over 0 and at most 1000000, --servers, --clients and --for over 0";
        return Err(Failure::Wrong(reason.into()));
    }
    let wishes = |binary: &PathBuf, members| overheads::Wishes {
        binary: binary.clone(),
        rate: options.rate,
        lasts: options.lasts,
        work: options.work,
        threads: options.threads,
        members,
        over: Arc::clone(over),
    };
    if let (false, [servers, ..], [clients, ..]) = (
        options.fleet.is_empty(),
        &*options.servers,
        &*options.clients,
    ) {
        println!("{}", overheads::FLEET_HEAD);
        let mut points = Vec::new();
        for members in [None]
            .into_iter()
            .chain(options.fleet.iter().copied().map(Some))
        {
            if !over.load(Ordering::Relaxed) {
                let point = overheads::point(*servers, *clients, &wishes(&binaries[0], members));
                points.push(point.map_err(Failure::Failed)?);
                points
                    .last()
                    .into_iter()
                    .for_each(|point| println!("{}", point.fleet_row()));
            }
        }
        return write_json(
            options.json.as_deref(),
            &serde_json::json!({"points": points}),
        );
    }
    let mut all: Vec<Vec<overheads::Point>> = binaries.iter().map(|_| Vec::new()).collect();
    println!("{}", overheads::TABLE_HEAD);
    for &servers in &options.servers {
        for &clients in &options.clients {
            for (binary, points) in binaries.iter().zip(&mut all) {
                if over.load(Ordering::Relaxed) {
                    continue;
                }
                let point = overheads::point(servers, clients, &wishes(binary, None))
                    .map_err(Failure::Failed)?;
                println!("{}", point.row());
                points.push(point);
            }
        }
    }
    if let [first, second] = all.as_slice() {
        let ratios: Vec<f64> = first
            .iter()
            .zip(second)
            .map(|(a, b)| b.cpu_us_per_ticket / a.cpu_us_per_ticket)
            .collect();
        let mean = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
        println!(
            "CPU a ticket, second against first: {mean:.3} on the mean of {} points",
            ratios.len()
        );
    }
    let points: Vec<_> = all
        .iter()
        .map(|points| serde_json::json!({"points": points}))
        .collect();
    match points.as_slice() {
        [only] => write_json(options.json.as_deref(), only),
        several => write_json(options.json.as_deref(), &several),
    }
}
