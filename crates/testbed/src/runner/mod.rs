//! Runs a scenario from the first request to the last response: stand-ins, balancers and load
//! together.

mod events;
mod load;
mod setup;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use events::ProcessController;
pub use events::follow_timeline;
use pinefront_model::scenario::{Idempotency, Scenario};
use pinefront_model::{Micros, SECOND};
use setup::BalancerGroup;
pub use setup::start_servers;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

use crate::assumed_notifications::record_assumed_notifications;
use crate::balancers::{Usage, default_binary};
use crate::baseline::Policy;
use crate::clients::Load;
use crate::environment::stand_in_runtime;
use crate::error::{Context, Error};
use crate::figures::Figures;
use crate::fleet::FleetReport;
use crate::fleet::leases::boot_time_now;
use crate::fleet::views::{ViewChecker, poll_views};
use crate::overload::soak_clients::run_misbehaving_clients;
use crate::stalled_clients::run_stalled_clients;
use crate::world::{World, locked};

/// Time after the last response, and after the exit of the balancers, in which observations and
/// log lines may still arrive.
const SETTLE_DELAY: Duration = Duration::from_millis(300);
/// A run is invalid if the 99th percentile of the load's lateness is above this value.
const MAX_LATENESS_MS: f64 = 20.0;

/// The balancers under test.
#[derive(Clone, Debug)]
pub enum Subject {
    /// Processes of a balancer program.
    Binary(PathBuf),
    /// Stand-in balancers with a simple policy.
    Policy(Policy),
}

impl Subject {
    pub fn name(&self) -> String {
        match self {
            Self::Binary(path) if *path == default_binary() => "pinefront".to_owned(),
            Self::Binary(path) => path.display().to_string(),
            Self::Policy(policy) => policy.name().to_owned(),
        }
    }
}

/// Options of a run.
#[derive(Clone, Default)]
pub struct RunOptions {
    /// Whether a progress line is shown on a terminal.
    pub shows_progress: bool,
    /// Whether the command that sends a request by hand is printed.
    pub prints_usage: bool,
    /// Whether the balancers form a cluster whose links pass through relays.
    pub is_cluster: bool,
    /// Ends the run early when it is set, for example by a signal handler.
    pub stop: Arc<AtomicBool>,
}

/// Runs a scenario and returns its figures.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    subject: &Subject,
    options: &RunOptions,
) -> Result<Figures, Error> {
    let run = Run::start(scenario, seed, subject, options)?;
    let dropped = load::run_load(&run.load, &run.group, options)?;
    std::thread::sleep(SETTLE_DELAY);
    Ok(run.finish(subject, options, dropped))
}

/// Resources, unexpected exits and logged violations of all balancers of a run.
#[derive(Default)]
struct BalancerTotals {
    cpu_us: u64,
    /// The largest amount of memory that any of them used.
    memory_kb: u64,
    unexpected_exits: Vec<String>,
    invariant_violations: u64,
}

/// A run in progress.
struct Run {
    runtime: Runtime,
    world: Arc<World>,
    group: BalancerGroup,
    load: Arc<Load>,
    views: Arc<Mutex<ViewChecker>>,
    /// CPU time that the balancers had used before the load started.
    initial_cpu_us: u64,
}

impl Run {
    fn start(
        scenario: &Scenario,
        seed: u64,
        subject: &Subject,
        options: &RunOptions,
    ) -> Result<Self, Error> {
        let runtime = stand_in_runtime().context("cannot start threads")?;
        let world = Arc::new(World::new(scenario.clone(), seed));
        let group = runtime.block_on(async {
            start_servers(&world).await?;
            BalancerGroup::start(&world, subject, options.is_cluster).await
        })?;
        write_operator_files_for_moves(&world, &group)?;
        let views = Arc::new(Mutex::new(ViewChecker::new(&world, group.addresses.len())));
        let load = Arc::new(Load::new(Arc::clone(&world), group.addresses.clone()));
        let initial_cpu_us = cpu_us(&group);
        if options.prints_usage {
            print_usage(&world, &group);
        }
        let run = Self {
            runtime,
            world,
            group,
            load,
            views,
            initial_cpu_us,
        };
        run.spawn_tasks(options);
        Ok(run)
    }

    /// Starts the clock, and the tasks that run until the runtime shuts down.
    fn spawn_tasks(&self, options: &RunOptions) {
        let world = || Arc::clone(&self.world);
        let addresses = &self.group.addresses;
        if options.is_cluster {
            for (number, address) in addresses.iter().enumerate() {
                let views = Arc::clone(&self.views);
                self.runtime
                    .spawn(poll_views(world(), views, number, *address));
            }
        }
        self.world.clock.start();
        self.runtime
            .spawn(record_assumed_notifications(world(), addresses.len()));
        self.runtime
            .spawn(run_stalled_clients(world(), addresses.clone()));
        self.runtime
            .spawn(run_misbehaving_clients(world(), addresses.clone()));
        let (events, balancer_events) = mpsc::unbounded_channel();
        self.runtime.spawn(follow_timeline(world(), events));
        let controller = ProcessController {
            load: Arc::clone(&self.load),
            processes: Arc::clone(&self.group.processes),
            views: Arc::clone(&self.views),
        };
        self.runtime.spawn(controller.run(balancer_events));
    }

    /// Stops the balancers and collects the figures.
    fn finish(self, subject: &Subject, options: &RunOptions, dropped: u64) -> Figures {
        let ended_at = boot_time_now();
        let mut cluster = options.is_cluster.then(|| self.cluster_figures());
        locked(&self.world.checker).finish(self.world.now());
        let totals = self.stop_balancers();
        if let Some(cluster) = &mut cluster {
            self.add_lease_figures(cluster, ended_at);
        }
        self.runtime.shutdown_background();
        let scenario = &self.world.scenario;
        let results = locked(&self.load.results);
        let attempts_by_server: Vec<u64> = self
            .world
            .servers()
            .iter()
            .map(|host| host.attempts.load(Ordering::Relaxed))
            .collect();
        let sent = results.counts.sent.max(1) as f64;
        let cpu_us = totals.cpu_us.saturating_sub(self.initial_cpu_us);
        let mut figures = Figures {
            scenario: scenario.name.clone(),
            subject: subject.name(),
            seed: self.world.seed,
            balancers: *scenario.balancers.get_ref(),
            servers: attempts_by_server.len(),
            unexpected_ends: totals.unexpected_exits,
            violations: totals.invariant_violations,
            cpu_us_per_request: cpu_us as f64 / sent,
            memory_mb: totals.memory_kb as f64 / 1024.0,
            testbed_memory_mb: Usage::of_process(std::process::id()).memory_mb(),
            attempts_per_request: attempts_by_server.iter().sum::<u64>() as f64 / sent,
            attempts_by_server,
            cluster,
            interrupted: options.stop.load(Ordering::Relaxed),
            ..Figures::default()
        };
        figures.add_results(scenario, &results, &locked(&self.world.checker));
        figures.check_validity(MAX_LATENESS_MS, dropped);
        figures
    }

    fn cluster_figures(&self) -> FleetReport {
        let relayed = &self.group.relayed;
        let calls = self.world.discovery_calls.load(Ordering::Relaxed);
        let seconds = self.world.now().max(1) as f64 / SECOND as f64;
        FleetReport {
            forwarded_datagrams: relayed.forwarded.load(Ordering::Relaxed),
            dropped_datagrams: relayed.dropped.load(Ordering::Relaxed),
            discovery_requests: calls,
            discovery_requests_per_second: calls as f64 / seconds,
            flood_datagrams: relayed.flood_sent.load(Ordering::Relaxed),
            ..locked(&self.views).report()
        }
    }

    fn stop_balancers(&self) -> BalancerTotals {
        let mut totals = BalancerTotals::default();
        for balancer in locked(&self.group.processes).iter_mut() {
            balancer.check_peak_memory();
            let usage = balancer.usage();
            totals.cpu_us += usage.cpu_us;
            totals.memory_kb = totals.memory_kb.max(usage.memory_kb);
            balancer.stop();
            let exits = &mut balancer.unexpected_exits;
            totals.unexpected_exits.append(exits);
            totals.invariant_violations += balancer.invariant_violations.load(Ordering::Relaxed);
        }
        totals
    }

    /// Adds the figures of leases, where the scenario has any.
    fn add_lease_figures(&self, cluster: &mut FleetReport, ended_at: Micros) {
        let scenario = &self.world.scenario;
        if scenario.duties == 0 && !scenario.shared_endpoint_list {
            return;
        }
        // The threads that read the logs end shortly after the processes, and the report is to
        // include the last lines.
        std::thread::sleep(SETTLE_DELAY);
        let decreased_terms = locked(&self.views).decreased_terms();
        cluster.leases = Some(self.group.lease_log.report(ended_at, decreased_terms));
    }
}

fn cpu_us(group: &BalancerGroup) -> u64 {
    let processes = locked(&group.processes);
    processes.iter().map(|process| process.usage().cpu_us).sum()
}

/// Writes an operator file for each balancer that moves to the cluster address of another during
/// the run.
fn write_operator_files_for_moves(world: &World, group: &BalancerGroup) -> Result<(), Error> {
    use pinefront_model::timeline::TimelineEvent;
    for scheduled in &world.timeline().events {
        if let TimelineEvent::BalancerMoved { number, address_of } = scheduled.event {
            group.write_operator_file(world, number, address_of)?;
        }
    }
    Ok(())
}

fn print_usage(world: &World, group: &BalancerGroup) {
    let Some(address) = group.addresses.first() else {
        return;
    };
    let mut classes = world.scenario.classes.iter();
    let idempotent = classes.find(|class| class.get_ref().idempotency == Idempotency::Idempotent);
    if let Some(class) = idempotent {
        let name = &class.get_ref().name;
        eprintln!("To send a request by hand during the run, with a new X-Txn each time:");
        eprintln!(
            "  curl -i -H \"X-Txn: me-$RANDOM\" -H 'X-Remaining-Ms: 1000' http://{address}/{name}/1"
        );
    }
    eprintln!("To read the counters of the balancer: curl http://{address}/stats");
}

#[cfg(test)]
mod tests;
