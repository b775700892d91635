//! Measurement of the overhead of a balancer: the same load is sent to servers directly and through
//! the balancer, one after the other.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pinefront_model::scenario::Scenario;
use pinefront_model::validation;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

use crate::balancers::{Balancer, BalancerSetup, Usage, wait_until_ready};
use crate::environment::{TemporaryFolder, stand_in_runtime};
use crate::error::{Context, Error};
use crate::fleet::simulated_members::SimulatedMembers;
use crate::load::{self, LoadPlan, LoadResults};
use crate::world::{World, locked};
use crate::{discovery_stand_in, http};

/// Duration of the load before the measurement, in which connections are opened and the balancer
/// collects statistics.
const WARM_UP: Duration = Duration::from_secs(2);
/// The time given to the members of a cluster to find each other.
const CLUSTER_FORMATION: Duration = Duration::from_secs(8);
/// How long clients wait for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const SEED: u64 = 1;

/// The figures of one measurement. Figures named `direct` are of the load that is sent to the
/// servers without the balancer, and those named `through` of the load through the balancer.
#[derive(Clone, Debug, Serialize)]
pub struct OverheadMeasurement {
    pub servers: usize,
    pub clients: usize,
    pub rate: f64,
    pub direct_p50_ms: f64,
    pub direct_p99_ms: f64,
    pub through_p50_ms: f64,
    pub through_p99_ms: f64,
    pub p50_ratio: f64,
    pub p99_ratio: f64,
    pub added_p50_ms: f64,
    pub added_p99_ms: f64,
    #[serde(rename = "cpu_us_per_ticket")]
    pub cpu_us_per_request: f64,
    /// Successful requests per second through the balancer in a closed loop, where each client
    /// sends its next request after a response.
    pub highest_rate: f64,
    pub memory_mb: f64,
    /// Number of members of the balancer's cluster, including itself; none without an operator
    /// file.
    pub members: Option<usize>,
    /// CPU time of the balancer without load, as a fraction of one core.
    #[serde(rename = "cpu_part_at_rest")]
    pub idle_cpu_fraction: f64,
    /// Results of the load through the balancer.
    pub through: LoadResults,
    pub valid: bool,
}

/// Options of a measurement.
pub struct Options {
    pub binary: PathBuf,
    /// Requests per second.
    pub rate: f64,
    /// Duration of each load.
    pub duration: Duration,
    /// Time that a server takes to process a request.
    pub processing_time: Duration,
    pub threads: usize,
    /// Number of members of the balancer's cluster, including itself; none to run without a
    /// cluster.
    pub members: Option<usize>,
    pub stop: Arc<AtomicBool>,
}

/// Starts a server that responds to each request after `processing_time`. Returns its address.
pub async fn start_plain_server(processing_time: Duration) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, processing_time));
        }
    });
    Ok(address)
}

async fn serve(mut stream: TcpStream, processing_time: Duration) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = http::read_request(&mut stream, &mut buffer).await {
        buffer.drain(..request.end);
        if !processing_time.is_zero() {
            tokio::time::sleep(processing_time).await;
        }
        let written = http::write_response(&mut stream, "200 OK", "", "served\n").await;
        if written.is_err() {
            return;
        }
    }
}

/// A running balancer in front of plain servers.
struct MeasurementSetup {
    runtime: Runtime,
    servers: Vec<SocketAddr>,
    balancer: Mutex<Vec<Balancer>>,
    balancer_address: SocketAddr,
    /// Other members of the cluster, which are stopped when the value is dropped.
    _members: Option<SimulatedMembers>,
    _folder: TemporaryFolder,
}

impl MeasurementSetup {
    fn start(servers: usize, options: &Options) -> Result<Self, Error> {
        let runtime = stand_in_runtime().context("cannot start threads")?;
        let world = Arc::new(World::new(
            scenario(servers, options.processing_time)?,
            SEED,
        ));
        let folder = TemporaryFolder::new()?;
        let (servers, discovery) = runtime.block_on(async {
            let servers = start_servers(&world, servers, options.processing_time).await?;
            let discovery = discovery_stand_in::start(&world, 0).await?;
            Ok::<_, Error>((servers, discovery))
        })?;
        let members = options
            .members
            .map(|members| SimulatedMembers::start(members.saturating_sub(1)))
            .transpose()
            .context("cannot start the other members of the cluster")?;
        let operator_file = members
            .as_ref()
            .map(|members| members.operator_file(folder.path()))
            .transpose()?;
        let mut balancer = Balancer::new(&BalancerSetup {
            scenario: &world.scenario,
            seed: SEED,
            number: 0,
            binary: &options.binary,
            folder: folder.path(),
            discovery: [discovery; 2],
            operator_file,
        })?;
        balancer.start()?;
        let balancer_address = balancer.address;
        let balancer = Mutex::new(vec![balancer]);
        runtime.block_on(wait_until_ready(&balancer, 0))?;
        world.clock.start();
        Ok(Self {
            runtime,
            servers,
            balancer,
            balancer_address,
            _members: members,
            _folder: folder,
        })
    }

    fn usage(&self) -> Usage {
        let balancers = locked(&self.balancer);
        balancers.first().map(Balancer::usage).unwrap_or_default()
    }

    fn stop(self) {
        locked(&self.balancer).iter_mut().for_each(Balancer::stop);
        self.runtime.shutdown_background();
    }
}

/// A scenario whose servers report no load.
fn scenario(servers: usize, processing_time: Duration) -> Result<Scenario, Error> {
    let work_us = processing_time.as_micros().max(1);
    let text = format!(
        "name = \"overhead\"\nlength = \"1h\"\nbalancers = 1\n\
         [fleet]\nservers = {servers}\nzones = [\"a\"]\nreports = \"0s\"\nidle = \"60s\"\n\
         [[use_cases]]\nname = \"look\"\neffect = \"redoable\"\n\
         work = \"{work_us}us\"\npromised_time = \"500ms\"\nhard_stop = \"2s\"\n"
    );
    validation::decode_scenario(&text, "overhead")
        .map_err(|errors| Error::new(errors[0].to_string()))
}

async fn start_servers(
    world: &World,
    count: usize,
    processing_time: Duration,
) -> Result<Vec<SocketAddr>, Error> {
    let mut addresses = Vec::new();
    for number in 0..count {
        let address = start_plain_server(processing_time).await?;
        world.set_server_address(number, address, false);
        addresses.push(address);
    }
    Ok(addresses)
}

/// The results of the loads of one measurement, and the resources that the balancer used.
struct MeasurementResults {
    direct: LoadResults,
    through: LoadResults,
    closed_loop: LoadResults,
    idle_cpu_us: u64,
    loaded_cpu_us: u64,
    memory_mb: f64,
}

/// Measures a balancer in front of `servers` servers, under load from `clients` connections.
pub fn measure(
    servers: usize,
    clients: usize,
    options: &Options,
) -> Result<OverheadMeasurement, Error> {
    let setup = MeasurementSetup::start(servers, options)?;
    let run = |addresses: &[SocketAddr], rate: Option<f64>, duration: Duration| {
        let plan = load_plan(addresses, rate, duration, clients, options.threads);
        load::run(plan, &options.stop)
    };
    let (rate, duration) = (Some(options.rate), options.duration);
    let balancer = [setup.balancer_address];
    let direct = run(&setup.servers, rate, duration)?;
    run(&balancer, rate, WARM_UP)?;
    if options.members.is_some() {
        std::thread::sleep(CLUSTER_FORMATION);
    }
    let usage_before_idle = setup.usage();
    std::thread::sleep(duration);
    let idle_cpu_us = setup.usage().cpu_us - usage_before_idle.cpu_us;
    let usage_before_load = setup.usage();
    let through = run(&balancer, rate, duration)?;
    let loaded_cpu_us = setup.usage().cpu_us - usage_before_load.cpu_us;
    let closed_loop = run(&balancer, None, duration)?;
    let memory_mb = setup.usage().memory_mb();
    setup.stop();
    let results = MeasurementResults {
        direct,
        through,
        closed_loop,
        idle_cpu_us,
        loaded_cpu_us,
        memory_mb,
    };
    Ok(OverheadMeasurement::new(servers, clients, options, results))
}

fn load_plan(
    addresses: &[SocketAddr],
    rate: Option<f64>,
    duration: Duration,
    clients: usize,
    threads: usize,
) -> LoadPlan {
    LoadPlan {
        addresses: addresses.to_vec(),
        path: "/look/1".into(),
        headers: "X-Lane: look\r\n".into(),
        rate,
        duration,
        clients: Some(clients),
        threads,
        timeout: CLIENT_TIMEOUT,
        seed: SEED,
    }
}

/// Head of the table of [`OverheadMeasurement::row`], in Markdown.
pub const TABLE_HEAD: &str = "| servers | clients \
    | p50 direct, ms | p50 through balancer, ms | p50 ratio \
    | p99 direct, ms | p99 through balancer, ms | p99 ratio \
    | CPU per request, us | highest rate, requests/s |\n\
    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
/// Head of the table of [`OverheadMeasurement::cluster_row`], in Markdown.
pub const CLUSTER_TABLE_HEAD: &str = "| members | idle CPU, % of a core \
    | CPU per request, us | memory, MB \
    | p50 through balancer, ms | p99 through balancer, ms | highest rate, requests/s |\n\
    | --- | --- | --- | --- | --- | --- | --- |";

impl OverheadMeasurement {
    fn new(servers: usize, clients: usize, options: &Options, results: MeasurementResults) -> Self {
        let through = results.through;
        let (direct_ms, through_ms) = (&results.direct.latency_ms, &through.latency_ms);
        let duration_us = options.duration.as_micros().max(1) as f64;
        Self {
            servers,
            clients,
            rate: options.rate,
            direct_p50_ms: direct_ms.p50,
            direct_p99_ms: direct_ms.p99,
            through_p50_ms: through_ms.p50,
            through_p99_ms: through_ms.p99,
            p50_ratio: through_ms.p50 / direct_ms.p50,
            p99_ratio: through_ms.p99 / direct_ms.p99,
            added_p50_ms: through_ms.p50 - direct_ms.p50,
            added_p99_ms: through_ms.p99 - direct_ms.p99,
            cpu_us_per_request: results.loaded_cpu_us as f64 / through.sent.max(1) as f64,
            highest_rate: results.closed_loop.rate_succeeded,
            memory_mb: results.memory_mb,
            members: options.members,
            idle_cpu_fraction: results.idle_cpu_us as f64 / duration_us,
            valid: results.direct.valid && through.valid,
            through,
        }
    }

    fn validity_note(&self) -> &'static str {
        if self.valid {
            ""
        } else {
            " (invalid: the load itself was late)"
        }
    }

    /// Formats a row of the table that compares clusters of several sizes.
    pub fn cluster_row(&self) -> String {
        let members = self
            .members
            .map_or("no operator file".into(), |members| members.to_string());
        format!(
            "| {members} | {:.2} % | {:.1} | {:.1} | {:.2} | {:.2} | {:.0} |{}",
            100.0 * self.idle_cpu_fraction,
            self.cpu_us_per_request,
            self.memory_mb,
            self.through_p50_ms,
            self.through_p99_ms,
            self.highest_rate,
            self.validity_note()
        )
    }

    /// Formats a row of the table that compares numbers of servers and clients.
    pub fn row(&self) -> String {
        format!(
            "| {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.1} | {:.0} |{}",
            self.servers,
            self.clients,
            self.direct_p50_ms,
            self.through_p50_ms,
            self.p50_ratio,
            self.direct_p99_ms,
            self.through_p99_ms,
            self.p99_ratio,
            self.cpu_us_per_request,
            self.highest_rate,
            self.validity_note()
        )
    }
}
