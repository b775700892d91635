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
use crate::fleet::Known;
use crate::fleet::leases::machine_now;
use crate::fleet::views::{Views, watch};
use crate::stalled_clients::run_stalled_clients;
use crate::world::{World, locked};

/// How long observations may arrive after the last response.
const SETTLE_DELAY: Duration = Duration::from_millis(300);
/// The 99th percentile of the load's lateness beyond which a run is invalid.
const MAX_LATENESS_MS: f64 = 20.0;

/// What is tested.
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

/// How a scenario is run.
#[derive(Clone, Default)]
pub struct RunOptions {
    /// Shows a line with the progress on a terminal.
    pub shows_progress: bool,
    /// Prints how to send a request by hand.
    pub prints_usage: bool,
    /// The balancers form a cluster, over relays.
    pub is_cluster: bool,
    /// Set from outside to end the run early.
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

/// Resources and ends of all balancers of a run.
#[derive(Default)]
struct BalancerTotals {
    cpu_us: u64,
    /// The most memory that one of them used.
    memory_kb: u64,
    unexpected_ends: Vec<String>,
    violations: u64,
}

/// A run in progress.
struct Run {
    runtime: Runtime,
    world: Arc<World>,
    group: BalancerGroup,
    load: Arc<Load>,
    views: Arc<Mutex<Views>>,
    /// CPU time that the balancers had used when the load started.
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
        write_operator_files_of_moves(&world, &group)?;
        let views = Arc::new(Mutex::new(Views::new(&world, group.addresses.len())));
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

    /// Starts the clock and the tasks that go on until the runtime ends.
    fn spawn_tasks(&self, options: &RunOptions) {
        let world = || Arc::clone(&self.world);
        let addresses = &self.group.addresses;
        if options.is_cluster {
            for (number, address) in addresses.iter().enumerate() {
                let views = Arc::clone(&self.views);
                self.runtime.spawn(watch(world(), views, number, *address));
            }
        }
        self.world.clock.begin();
        self.runtime
            .spawn(record_assumed_notifications(world(), addresses.len()));
        self.runtime
            .spawn(run_stalled_clients(world(), addresses.clone()));
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
        let ended_at = machine_now();
        let mut cluster = options.is_cluster.then(|| self.cluster_figures());
        locked(&self.world.checker).finish(self.world.now());
        let totals = self.stop_balancers();
        if let Some(cluster) = &mut cluster {
            self.add_duties(cluster, ended_at);
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
            unexpected_ends: totals.unexpected_ends,
            violations: totals.violations,
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

    fn cluster_figures(&self) -> Known {
        let relayed = &self.group.relayed;
        let calls = self.world.discovery_calls.load(Ordering::Relaxed);
        let seconds = self.world.now().max(1) as f64 / SECOND as f64;
        Known {
            relayed: relayed.passed.load(Ordering::Relaxed),
            relay_lost: relayed.lost.load(Ordering::Relaxed),
            discovery_calls: calls,
            discovery_calls_a_second: calls as f64 / seconds,
            flooded: relayed.flooded.load(Ordering::Relaxed),
            ..locked(&self.views).found()
        }
    }

    fn stop_balancers(&self) -> BalancerTotals {
        let mut totals = BalancerTotals::default();
        for balancer in locked(&self.group.processes).iter_mut() {
            let usage = balancer.usage();
            totals.cpu_us += usage.cpu_us;
            totals.memory_kb = totals.memory_kb.max(usage.memory_kb);
            balancer.stop();
            let ends = &mut balancer.unexpected_ends;
            totals.unexpected_ends.append(ends);
            totals.violations += balancer.violations.load(Ordering::Relaxed);
        }
        totals
    }

    /// Adds the figures of duties, where the scenario has any.
    fn add_duties(&self, cluster: &mut Known, ended_at: Micros) {
        let scenario = &self.world.scenario;
        if scenario.duties == 0 && !scenario.shared_endpoint_list {
            return;
        }
        // The readers of the logs end with the processes.
        std::thread::sleep(SETTLE_DELAY);
        let terms_fallen = locked(&self.views).terms_fallen();
        cluster.leases = Some(self.group.lease_log.report(ended_at, terms_fallen));
    }
}

fn cpu_us(group: &BalancerGroup) -> u64 {
    let processes = locked(&group.processes);
    processes.iter().map(|process| process.usage().cpu_us).sum()
}

/// Writes the operator files of balancers that move to another's cluster address during the run.
fn write_operator_files_of_moves(world: &World, group: &BalancerGroup) -> Result<(), Error> {
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
        eprintln!("Send a request yourself while this runs (a new X-Txn each time):");
        eprintln!(
            "  curl -i -H \"X-Txn: me-$RANDOM\" -H 'X-Remaining-Ms: 1000' http://{address}/{name}/1"
        );
    }
    eprintln!("Its counters: curl http://{address}/stats");
}

#[cfg(test)]
mod tests;
