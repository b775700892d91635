//! Plays a day: world, balancers and load together, from the first ticket to the last answer.

use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pinefront_model::Micros;
use pinefront_model::checker::Observation;
use pinefront_model::scenario::Scenario;
use pinefront_model::timeline::{ScheduledEvent, TimelineEvent};
use pinefront_model::traffic::Arrivals;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

use crate::balancers::{Balancer, own_binary, used, wait_ready};
use crate::baseline::{self, Policy};
use crate::clients::{Load, worker};
use crate::discovery;
use crate::figures::Figures;
use crate::fleet::leases::{LeaseLog, machine_now};
use crate::fleet::relays::{Relayed, flood, relay};
use crate::fleet::views::{Views, watch};
use crate::fleet::{Addresses, Known};
use crate::pace::{self, pace};
use crate::stand;
use crate::stopping;
use crate::system::{self, System};
use crate::told;
use crate::world::{World, locked};

/// Threads of the world's stand-ins, and of the load.
const WORLD_THREADS: usize = 3;
const LOAD_THREADS: usize = 2;
/// How long after a balancer's death the front deals it no more tickets, and after it was told to stop.
const DEATH_SEEN: Duration = Duration::from_secs(1);
const STOP_SEEN: Duration = Duration::from_millis(300);
/// After the last answer, how long what is still under way may come in.
const RUNS_OUT: Duration = Duration::from_millis(300);
const LOOKS_APART: Duration = Duration::from_millis(100);
/// How long the load may take to end once it was told to.
const LOAD_ENDS: Duration = Duration::from_secs(12);
/// Lateness of the load's 99th percentile beyond which a day does not count.
const LATE_MS: f64 = 20.0;
const LIVE_APART: Duration = Duration::from_millis(500);

/// Who balances.
#[derive(Clone, Debug)]
pub enum Who {
    Binary(PathBuf),
    /// A plain policy, as a stand-in of the lab.
    Policy(Policy),
}

impl Who {
    pub fn name(&self) -> String {
        match self {
            Self::Binary(path) if *path == own_binary() => "pinefront".to_owned(),
            Self::Binary(path) => path.display().to_string(),
            Self::Policy(policy) => policy.name().to_owned(),
        }
    }
}

/// What is wanted beside the day itself.
#[derive(Clone, Default)]
pub struct Wishes {
    /// A line that is kept up to date on a terminal.
    pub live: bool,
    /// Says how to ask a balancer by hand.
    pub by_hand: bool,
    /// The balancers know each other, by way of relays.
    pub fleet: bool,
    /// Set from outside to end the day early.
    pub over: Arc<AtomicBool>,
}

/// A folder of this run's own, gone with it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> io::Result<Self> {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let name = format!(
            "pinefront-testbed-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, Ordering::Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What cannot be taken away is left to whoever clears the temporary folder.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn runtime() -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORLD_THREADS)
        .enable_all()
        .build()
}

/// Lets this process open as many descriptors as the system allows it.
pub fn raise_descriptors() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    // Where it may not, the usual number must do, and a want of them is said where it shows.
    let _ = setrlimit(Resource::Nofile, limit);
}

/// Starts all servers of a world.
pub async fn start_servers(world: &Arc<World>) -> Result<(), String> {
    for number in 0..world.stands().len() {
        stand::server(world, number, false)
            .await
            .map_err(|problem| {
                format!("cannot start the stand-in of server {number}: {problem}")
            })?;
    }
    Ok(())
}

/// Moves a world along its timeline. What concerns balancers is handed on.
pub async fn drive(world: Arc<World>, balancers: mpsc::UnboundedSender<TimelineEvent>) {
    let mut done = 0;
    loop {
        let (event, edge) = {
            let timeline = world.timeline();
            (
                timeline.events.get(done).copied(),
                timeline.next_condition_change(world.now()),
            )
        };
        let next = event
            .map(|scheduled| scheduled.at)
            .into_iter()
            .chain(edge)
            .min();
        let latest = Instant::now() + Duration::from_secs(1);
        let until = next.map_or(latest, |next| world.clock.at(next).min(latest));
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => {}
            () = world.added.notified() => {}
        }
        world.apply_conditions();
        loop {
            let event = world.timeline().events.get(done).copied();
            let Some(ScheduledEvent { event: what, .. }) =
                event.filter(|scheduled| scheduled.at <= world.now())
            else {
                break;
            };
            done += 1;
            if what.balancer().is_some() {
                // Nobody listens once the day is over.
                let _ = balancers.send(what);
                continue;
            }
            for number in world.happens(what) {
                if let Err(problem) = stand::server(&world, number, true).await {
                    eprintln!(
                        "pinefront-testbed: cannot start the stand-in of server {number}: {problem}"
                    );
                }
            }
        }
    }
}

/// The balancers of a day, whoever they are.
struct Balancing {
    children: Arc<Mutex<Vec<Balancer>>>,
    addresses: Vec<SocketAddr>,
    /// Where the balancers of a fleet hear one another.
    hear: Option<Addresses>,
    relayed: Arc<Relayed>,
    lease_log: LeaseLog,
    folder: Folder,
}

async fn start_balancers(world: &Arc<World>, who: &Who, fleet: bool) -> Result<Balancing, String> {
    let folder =
        Folder::new().map_err(|problem| format!("cannot make a folder for this run: {problem}"))?;
    let children = Arc::new(Mutex::new(Vec::new()));
    let (mut addresses, relayed) = (Vec::new(), Arc::new(Relayed::default()));
    let lease_log = LeaseLog::default();
    let mut hear = match fleet {
        true => Some(
            Addresses::new(*world.scenario.balancers.get_ref())
                .map_err(|p| format!("no addresses: {p}"))?,
        ),
        false => None,
    };
    let system = match System::is_wanted(&world.scenario) {
        true => Some(System::build(&folder.0).map_err(|problem| format!("no library: {problem}"))?),
        false => None,
    };
    if let Some(system) = &system {
        tokio::spawn(system::drive(Arc::clone(world), system.clone()));
    }
    let sockets = hear
        .as_mut()
        .map(|hear| std::mem::take(&mut hear.sockets))
        .unwrap_or_default();
    for (from, to, socket) in sockets {
        let heard_at = hear_at(hear.as_ref(), to)?;
        relay(world, from, to, socket, heard_at, &relayed)
            .map_err(|problem| format!("cannot relay between balancers: {problem}"))?;
    }
    if let Some(hear) = &hear {
        flood(world, &hear.heard_at, &relayed)
            .map_err(|problem| format!("no strangers: {problem}"))?;
    }
    for number in 0..*world.scenario.balancers.get_ref() {
        let mut discovery = Vec::new();
        for _ in 0..2 {
            let address = discovery::serve(world, number).await;
            discovery
                .push(address.map_err(|problem| format!("cannot start discovery: {problem}"))?);
        }
        match who {
            Who::Policy(policy) => {
                let address = baseline::start(world, *policy, number).await;
                addresses.push(
                    address.map_err(|problem| {
                        format!("cannot start a stand-in balancer: {problem}")
                    })?,
                );
            }
            Who::Binary(binary) => {
                let operator = hear
                    .as_ref()
                    .map(|hear| hear.operator_file(&world.scenario, number, number, &folder.0));
                let operator = operator
                    .transpose()
                    .map_err(|problem| format!("no operator file: {problem}"))?;
                let child = Balancer::new(
                    &world.scenario,
                    world.seed,
                    number,
                    binary,
                    &folder.0,
                    [discovery[0], discovery[1]],
                    operator,
                );
                let mut child = child
                    .map_err(|problem| format!("cannot set up balancer {number}: {problem}"))?;
                child.lease_log = lease_log.clone();
                child.system.clone_from(&system);
                world.lives(number, true);
                child
                    .start()
                    .map_err(|problem| format!("cannot start a balancer: {problem}"))?;
                addresses.push(child.listen);
                locked(&children).push(child);
            }
        }
    }
    let count = locked(&children).len();
    for number in 0..count {
        wait_ready(&children, number).await?;
    }
    Ok(Balancing {
        children,
        addresses,
        hear,
        relayed,
        lease_log,
        folder,
    })
}

fn hear_at(hear: Option<&Addresses>, to: usize) -> Result<SocketAddr, String> {
    hear.and_then(|hear| hear.heard_at.get(to))
        .copied()
        .ok_or_else(|| "no such balancer".to_owned())
}

/// Kills, stops and starts balancers as the day says.
async fn balancer_events(
    load: Arc<Load>,
    children: Arc<Mutex<Vec<Balancer>>>,
    views: Arc<Mutex<Views>>,
    mut events: mpsc::UnboundedReceiver<TimelineEvent>,
) {
    while let Some(what) = events.recv().await {
        let now = load.world.now();
        if matches!(
            what,
            TimelineEvent::BalancerPaused(_) | TimelineEvent::BalancerResumed(_)
        ) {
            // In the order in which they come: a stop and its end lie close together.
            let stops = matches!(what, TimelineEvent::BalancerPaused(_));
            locked(&views).happens(now, what, stall_lasts(&load.world, what));
            if let TimelineEvent::BalancerPaused(balancer)
            | TimelineEvent::BalancerResumed(balancer) = what
                && let Some(child) = locked(&children).get(balancer)
            {
                child.stop(stops);
                load.world.disturb(balancer);
                load.world
                    .record(load.world.now(), Observation::BalancerStalled { balancer });
            }
            continue;
        }
        if let TimelineEvent::BalancerReloaded(balancer) = what {
            if let Some(child) = locked(&children).get_mut(balancer)
                && let Err(problem) = child.reload()
            {
                eprintln!("pinefront-testbed: no new configuration: {problem}");
            }
            continue;
        }
        if let TimelineEvent::BalancerKilled(balancer) | TimelineEvent::BalancerStopped(balancer) =
            what
        {
            let list = load.world.list_now();
            if let Some(child) = locked(&children).get_mut(balancer)
                && let Err(problem) = child.knows(list)
            {
                eprintln!("pinefront-testbed: no known list: {problem}");
            }
            load.world.lives(balancer, false);
        }
        if !matches!(
            what,
            TimelineEvent::BalancerStarted(_) | TimelineEvent::BalancerMoved { .. }
        ) {
            locked(&views).happens(now, what, 0);
        }
        let views = Arc::clone(&views);
        let (load, children) = (Arc::clone(&load), Arc::clone(&children));
        tokio::spawn(async move {
            match what {
                TimelineEvent::BalancerKilled(balancer) => {
                    load.world
                        .record(load.world.now(), Observation::BalancerKilled { balancer });
                    if let Some(child) = locked(&children).get_mut(balancer) {
                        child.kill();
                    }
                    load.world
                        .record(load.world.now(), Observation::BalancerKilled { balancer });
                    tokio::time::sleep(DEATH_SEEN).await;
                    load.front.set(balancer, false);
                }
                TimelineEvent::BalancerStopped(balancer) => {
                    if let Some(child) = locked(&children).get_mut(balancer) {
                        child.tell_to_end();
                    }
                    tokio::time::sleep(STOP_SEEN).await;
                    load.front.set(balancer, false);
                }
                TimelineEvent::BalancerStarted(balancer)
                | TimelineEvent::BalancerMoved {
                    number: balancer, ..
                } => {
                    let started = match locked(&children).get_mut(balancer) {
                        Some(child) => {
                            locked(&views).happens(load.world.now(), what, 0);
                            // One that was told to stop and has not is killed first, as an operator would.
                            if child.is_running() && !child.has_died() {
                                load.world.record(
                                    load.world.now(),
                                    Observation::BalancerKilled { balancer },
                                );
                                child.kill();
                            }
                            if let TimelineEvent::BalancerMoved {
                                address_of: place, ..
                            } = what
                            {
                                child.operator = child.operator.as_ref().map(|file| {
                                    file.with_file_name(format!("b{balancer}-at-{place}.toml"))
                                });
                            }
                            child.start()
                        }
                        None => Ok(()),
                    };
                    load.world.lives(balancer, true);
                    let ready = match started {
                        Ok(()) => wait_ready(&children, balancer).await,
                        Err(problem) => Err(problem.to_string()),
                    };
                    match ready {
                        Ok(()) => load.front.set(balancer, true),
                        Err(problem) => eprintln!("pinefront-testbed: {problem}"),
                    }
                }
                _ => {}
            }
        });
    }
}

/// How long a balancer that is stopped now stays so.
fn stall_lasts(world: &World, what: TimelineEvent) -> Micros {
    let TimelineEvent::BalancerPaused(balancer) = what else {
        return 0;
    };
    let now = world.now();
    let goes_on = |scheduled: &&ScheduledEvent| {
        scheduled.at > now && scheduled.event == TimelineEvent::BalancerResumed(balancer)
    };
    world
        .timeline()
        .events
        .iter()
        .find(goes_on)
        .map_or(0, |scheduled| scheduled.at - now)
}

/// Plays a day from start to end and tells what was found.
pub fn play(scenario: &Scenario, seed: u64, who: &Who, wishes: &Wishes) -> Result<Figures, String> {
    let runtime = runtime().map_err(|problem| format!("cannot start threads: {problem}"))?;
    let world = Arc::new(World::new(scenario.clone(), seed));
    let balancing = runtime.block_on(async {
        start_servers(&world).await?;
        start_balancers(&world, who, wishes.fleet).await
    })?;
    // Who takes another's place finds its file there.
    for ScheduledEvent { event: what, .. } in &world.timeline().events {
        if let (
            TimelineEvent::BalancerMoved {
                number,
                address_of: place,
            },
            Some(hear),
        ) = (what, &balancing.hear)
        {
            hear.operator_file(&world.scenario, *number, *place, &balancing.folder.0)
                .map_err(|problem| format!("no operator file: {problem}"))?;
        }
    }
    let views = Arc::new(Mutex::new(Views::new(&world, balancing.addresses.len())));
    for (number, address) in balancing
        .addresses
        .iter()
        .enumerate()
        .filter(|_| wishes.fleet)
    {
        runtime.spawn(watch(
            Arc::clone(&world),
            Arc::clone(&views),
            number,
            *address,
        ));
    }
    let load = Arc::new(Load::new(Arc::clone(&world), balancing.addresses.clone()));
    let before: u64 = locked(&balancing.children)
        .iter()
        .map(|child| child.used().cpu_us)
        .sum();
    if wishes.by_hand {
        by_hand(&world, &balancing);
    }
    world.clock.begin();
    runtime.spawn(told::count(Arc::clone(&world), balancing.addresses.len()));
    runtime.spawn(stopping::stop_in_the_middle(
        Arc::clone(&world),
        balancing.addresses.clone(),
    ));
    let (events, seen) = mpsc::unbounded_channel();
    runtime.spawn(drive(Arc::clone(&world), events));
    let (children, judged) = (Arc::clone(&balancing.children), Arc::clone(&views));
    runtime.spawn(balancer_events(Arc::clone(&load), children, judged, seen));
    let dropped = carry_load(&load, &balancing, wishes)?;
    std::thread::sleep(RUNS_OUT);
    let over_at = machine_now();
    let mut known = wishes.fleet.then(|| Known {
        relayed: balancing.relayed.passed.load(Ordering::Relaxed),
        relay_lost: balancing.relayed.lost.load(Ordering::Relaxed),
        discovery_calls: world.calls.load(Ordering::Relaxed),
        discovery_calls_a_second: world.calls.load(Ordering::Relaxed) as f64
            / (world.now().max(1) as f64 / 1e6),
        flooded: balancing.relayed.flooded.load(Ordering::Relaxed),
        ..locked(&views).found()
    });
    locked(&world.checker).finish(world.now());
    let (mut cpu, mut memory, mut deaths, mut violations) = (0, 0, Vec::new(), 0);
    for child in locked(&balancing.children).iter_mut() {
        let used = child.used();
        cpu += used.cpu_us;
        memory = memory.max(used.memory_kb);
        child.end();
        deaths.append(&mut child.deaths);
        violations += child.violations.load(Ordering::Relaxed);
    }
    if let Some(known) = known
        .as_mut()
        .filter(|_| scenario.duties > 0 || scenario.shared_endpoint_list)
    {
        // The readers of the processes' logs end with these.
        std::thread::sleep(RUNS_OUT);
        known.leases = Some(
            balancing
                .lease_log
                .report(over_at, locked(&views).terms_fallen()),
        );
    }
    runtime.shutdown_background();
    let collected = locked(&load.collected);
    let sends: Vec<u64> = world
        .stands()
        .iter()
        .map(|stand| stand.sends.load(Ordering::Relaxed))
        .collect();
    let asked = collected.requests.asked.max(1) as f64;
    let mut found = Figures {
        scenario: scenario.name.clone(),
        who: who.name(),
        seed,
        balancers: *scenario.balancers.get_ref(),
        servers: sends.len(),
        deaths,
        violations,
        cpu_us_per_ticket: cpu.saturating_sub(before) as f64 / asked,
        memory_mb: memory as f64 / 1024.0,
        lab_memory_mb: used(std::process::id()).memory_kb as f64 / 1024.0,
        dispatches_per_ticket: sends.iter().sum::<u64>() as f64 / asked,
        sends,
        known,
        cut_short: wishes.over.load(Ordering::Relaxed),
        ..Figures::default()
    };
    let tally = &collected.tally;
    found.take(
        &collected,
        tally.parts(scenario),
        &tally.by_second(scenario),
        &locked(&world.checker),
    );
    if found.lateness_ms.p99 > LATE_MS {
        found.why_invalid.push(format!(
            "the load itself was late: p99 {:.1} ms",
            found.lateness_ms.p99
        ));
    }
    if dropped > 0 {
        found.why_invalid.push(format!(
            "{dropped} tickets were never sent: the load could not keep up"
        ));
    }
    found.valid = found.why_invalid.is_empty();
    Ok(found)
}

/// Runs the load's threads until the day is over. How many tickets they could not take.
fn carry_load(load: &Arc<Load>, balancing: &Balancing, wishes: &Wishes) -> Result<u64, String> {
    let world = &load.world;
    let (mut senders, mut workers) = (Vec::new(), Vec::new());
    for _ in 0..LOAD_THREADS {
        let (sender, due) = mpsc::channel(pace::QUEUE);
        senders.push(sender);
        let load = Arc::clone(load);
        workers.push(std::thread::spawn(move || worker(&load, due)));
    }
    let dropped = Arc::new(AtomicU64::new(0));
    let pacing = {
        let (world, over, dropped) = (
            Arc::clone(world),
            Arc::clone(&wishes.over),
            Arc::clone(&dropped),
        );
        std::thread::spawn(move || {
            let line = world.timeline().clone();
            let due = Arrivals::new(&world.scenario, &line, world.seed);
            pace(
                due.map(|request| (world.clock.at(request.scheduled_at), request)),
                &senders,
                &over,
                &dropped,
            );
        })
    };
    let live = wishes.live && io::stderr().is_terminal();
    let (mut told, mut ends) = (Instant::now(), None);
    while workers.iter().any(|worker| !worker.is_finished()) {
        std::thread::sleep(LOOKS_APART);
        for child in locked(&balancing.children).iter_mut() {
            if child.has_died() && !child.deaths.is_empty() {
                load.front.set(child.number, false);
            }
        }
        if live && told.elapsed() >= LIVE_APART {
            told = Instant::now();
            tell_live(load);
        }
        if pacing.is_finished()
            && Instant::now() > *ends.get_or_insert_with(|| Instant::now() + LOAD_ENDS)
        {
            break;
        }
    }
    if live {
        eprintln!();
    }
    let failed = workers
        .into_iter()
        .filter(|worker| worker.is_finished())
        .find_map(|worker| match worker.join() {
            Ok(Ok(())) => None,
            Ok(Err(problem)) => Some(format!("the load failed: {problem}")),
            Err(_) => Some("the load failed".into()),
        });
    failed.map_or(Ok(dropped.load(Ordering::Relaxed)), Err)
}

fn tell_live(load: &Load) {
    let collected = locked(&load.collected);
    let (asked, p99) = (
        collected.requests.asked,
        collected.latency.value_at_quantile(0.99) as f64 / 1000.0,
    );
    let text = format!(
        "\r{:>4} s  {asked} asked  {} succeeded  {} dismissed  {} abandoned  p99 {p99:.0} ms  {} rules broken   ",
        load.world.now() / 1_000_000,
        collected.requests.succeeded,
        collected.requests.rejected,
        collected.requests.failed,
        locked(&load.world.checker).violations().len(),
    );
    drop(collected);
    // A terminal that is gone needs no line.
    let _ = io::stderr().write_all(text.as_bytes());
}

fn by_hand(world: &World, balancing: &Balancing) {
    let Some(address) = balancing.addresses.first() else {
        return;
    };
    let idempotent = world.scenario.classes.iter().find(|class| {
        class.get_ref().idempotency == pinefront_model::scenario::Idempotency::Idempotent
    });
    if let Some(class) = idempotent {
        let name = &class.get_ref().name;
        eprintln!("Ask a balancer yourself while this runs (a new X-Txn each time):");
        eprintln!(
            "  curl -i -H \"X-Txn: me-$RANDOM\" -H 'X-Remaining-Ms: 1000' http://{address}/{name}/1"
        );
    }
    eprintln!("Its counters: curl http://{address}/stats");
}

#[cfg(test)]
mod tests;
