//! What a balancer costs: the same load straight to servers and through a balancer, in one run.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pinefront_model::validation;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use crate::balancers::{Balancer, wait_ready};
use crate::fleet::simulated_members::SimulatedMembers;
use crate::load::{Found, Plan, load};
use crate::play::{Folder, runtime};
use crate::world::{World, locked};
use crate::{discovery, http};

/// Tickets before those that count: connections come about, and the balancer learns the fleet.
const WARMS: Duration = Duration::from_secs(2);
/// How long members of a fleet take to know one another.
const MEETS: Duration = Duration::from_secs(8);

#[derive(Clone, Debug, Serialize)]
pub struct Point {
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
    pub cpu_us_per_ticket: f64,
    /// Tickets a second that one balancer served when each client sent its next at once.
    pub highest_rate: f64,
    pub memory_mb: f64,
    /// Members of its fleet, itself included; none where it has no operator file.
    pub members: Option<usize>,
    /// Of one core, while no ticket comes.
    pub cpu_part_at_rest: f64,
    pub through: Found,
    pub valid: bool,
}

/// What to measure with.
pub struct Wishes {
    pub binary: std::path::PathBuf,
    pub rate: f64,
    pub lasts: Duration,
    /// How long a server takes to answer.
    pub work: Duration,
    pub threads: usize,
    /// Members of its fleet, itself included.
    pub members: Option<usize>,
    pub over: Arc<AtomicBool>,
}

/// A server that answers each ticket after the same time, and does as little as can be beside.
pub async fn plain_server(work: Duration) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_each(stream, work));
        }
    });
    Ok(address)
}

async fn answer_each(mut stream: TcpStream, work: Duration) {
    let _ = stream.set_nodelay(true);
    let mut kept = Vec::new();
    while let Some(asked) = http::next_request(&mut stream, &mut kept).await {
        kept.drain(..asked.end);
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        if http::answer(&mut stream, "200 OK", "", "served\n")
            .await
            .is_err()
        {
            return;
        }
    }
}

/// One balancer before so many servers under load from so many client connections.
pub fn point(servers: usize, clients: usize, wishes: &Wishes) -> Result<Point, String> {
    let runtime = runtime().map_err(|problem| format!("cannot start threads: {problem}"))?;
    let text = format!(
        "name = \"overhead\"\nlength = \"1h\"\nbalancers = 1\n[fleet]\nservers = {servers}\nzones = [\"a\"]\nreports = \"0s\"\n\
         idle = \"60s\"\n[[use_cases]]\nname = \"look\"\neffect = \"redoable\"\nwork = \"{}us\"\npromised_time = \"500ms\"\n\
         hard_stop = \"2s\"\n",
        wishes.work.as_micros().max(1)
    );
    let scenario =
        validation::read(&text, "overhead").map_err(|problems| problems[0].to_string())?;
    let world = Arc::new(World::new(scenario, 1));
    let folder = Folder::new().map_err(|problem| problem.to_string())?;
    let (addresses, discovery) = runtime.block_on(async {
        let mut addresses = Vec::new();
        for number in 0..servers {
            let address = plain_server(wishes.work)
                .await
                .map_err(|problem| problem.to_string())?;
            world.listens(number, address, false);
            addresses.push(address);
        }
        let discovery = discovery::serve(&world, 0)
            .await
            .map_err(|problem| problem.to_string())?;
        Ok::<_, String>((addresses, discovery))
    })?;
    let company = wishes
        .members
        .map(|members| SimulatedMembers::start(members.saturating_sub(1)))
        .transpose();
    let company =
        company.map_err(|problem| format!("cannot start the fleet's other members: {problem}"))?;
    let operator = company
        .as_ref()
        .map(|company| company.operator_file(&folder.0))
        .transpose();
    let operator = operator.map_err(|problem| problem.to_string())?;
    let child = Balancer::new(
        &world.scenario,
        1,
        0,
        &wishes.binary,
        &folder.0,
        [discovery; 2],
        operator,
    );
    let mut child = child.map_err(|problem| problem.to_string())?;
    child.start().map_err(|problem| problem.to_string())?;
    let listen = child.listen;
    let children = Mutex::new(vec![child]);
    runtime.block_on(wait_ready(&children, 0))?;
    world.clock.begin();
    let plan = |addresses: &[SocketAddr], rate: Option<f64>, lasts| Plan {
        addresses: addresses.to_vec(),
        path: "/look/1".into(),
        fields: "X-Lane: look\r\n".into(),
        rate,
        lasts,
        clients: Some(clients),
        threads: wishes.threads,
        wait: Duration::from_secs(2),
        seed: 1,
    };
    let (rate, lasts, over) = (Some(wishes.rate), wishes.lasts, &wishes.over);
    let direct = load(plan(&addresses, rate, lasts), over)?;
    load(plan(&[listen], rate, WARMS), over)?;
    let used = || locked(&children)[0].used();
    if wishes.members.is_some() {
        std::thread::sleep(MEETS);
    }
    let rests = used();
    std::thread::sleep(lasts);
    let cpu_part_at_rest = (used().cpu_us - rests.cpu_us) as f64 / lasts.as_micros().max(1) as f64;
    let before = used();
    let through = load(plan(&[listen], rate, lasts), over)?;
    let after = used();
    let highest = load(plan(&[listen], None, lasts), over)?;
    let memory_mb = used().memory_kb as f64 / 1024.0;
    locked(&children)[0].end();
    runtime.shutdown_background();
    let (straight, via) = (&direct.latency_ms, &through.latency_ms);
    Ok(Point {
        servers,
        clients,
        rate: wishes.rate,
        direct_p50_ms: straight.p50,
        direct_p99_ms: straight.p99,
        through_p50_ms: via.p50,
        through_p99_ms: via.p99,
        p50_ratio: via.p50 / straight.p50,
        p99_ratio: via.p99 / straight.p99,
        added_p50_ms: via.p50 - straight.p50,
        added_p99_ms: via.p99 - straight.p99,
        cpu_us_per_ticket: (after.cpu_us - before.cpu_us) as f64 / through.asked.max(1) as f64,
        highest_rate: highest.rate_succeeded,
        memory_mb,
        members: wishes.members,
        cpu_part_at_rest,
        valid: direct.valid && through.valid,
        through,
    })
}

pub const TABLE_HEAD: &str = "| servers | clients | p50 direct, ms | p50 through | ratio | p99 direct | p99 through | ratio | CPU a ticket, us | highest rate |\n\
                              | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
pub const FLEET_HEAD: &str = "| members | core at rest | CPU a ticket, us | memory, MB | p50 through, ms | p99 through | highest rate |\n\
                              | --- | --- | --- | --- | --- | --- | --- |";

impl Point {
    /// A row of the table that compares fleets of several sizes.
    pub fn fleet_row(&self) -> String {
        format!(
            "| {} | {:.2} % | {:.1} | {:.1} | {:.2} | {:.2} | {:.0} |{}",
            self.members
                .map_or("no operator file".into(), |members| members.to_string()),
            100.0 * self.cpu_part_at_rest,
            self.cpu_us_per_ticket,
            self.memory_mb,
            self.through_p50_ms,
            self.through_p99_ms,
            self.highest_rate,
            if self.valid {
                ""
            } else {
                " (invalid: the load was late)"
            }
        )
    }

    /// A row of the table, which is Markdown.
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
            self.cpu_us_per_ticket,
            self.highest_rate,
            if self.valid {
                ""
            } else {
                " (invalid: the load was late)"
            }
        )
    }
}
