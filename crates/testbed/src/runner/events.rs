//! Applies the events of the timeline to the simulated servers and to the balancer processes.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pinefront_model::Micros;
use pinefront_model::checker::Observation;
use pinefront_model::timeline::{ScheduledEvent, TimelineEvent};
use tokio::sync::mpsc;

use crate::balancers::{Balancer, wait_until_ready};
use crate::clients::Load;
use crate::error::Error;
use crate::fleet::views::ViewChecker;
use crate::server_stand_in;
use crate::world::{World, locked};

/// Time until the front end stops sending requests to a balancer that was killed.
const KILL_DETECTION_DELAY: Duration = Duration::from_secs(1);
/// Time until the front end stops sending requests to a balancer that received SIGTERM.
const STOP_DETECTION_DELAY: Duration = Duration::from_millis(300);
/// The longest sleep between two checks of the timeline.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Applies the conditions and events of the timeline when they are due, until the runtime shuts
/// down. Events that concern balancers are sent to `balancer_events`.
pub async fn follow_timeline(
    world: Arc<World>,
    balancer_events: mpsc::UnboundedSender<TimelineEvent>,
) {
    let mut applied = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(next_wake(&world, applied).into()) => {}
            () = world.fault_added.notified() => {}
        }
        world.apply_conditions();
        while let Some(event) = due_event(&world, applied) {
            applied += 1;
            if event.balancer().is_some() {
                // Sending fails once the receiver has been dropped at the end of the run.
                let _ = balancer_events.send(event);
                continue;
            }
            for number in world.apply_event(event) {
                start_stand_in(&world, number).await;
            }
        }
    }
}

/// The time at which the next condition or event is due, at most `MAX_SLEEP` from now.
fn next_wake(world: &World, applied: usize) -> Instant {
    let timeline = world.timeline();
    let event = timeline.events.get(applied).map(|scheduled| scheduled.at);
    let condition = timeline.next_condition_change(world.now());
    let next = event.into_iter().chain(condition).min();
    let latest = Instant::now() + MAX_SLEEP;
    next.map_or(latest, |next| world.clock.instant_at(next).min(latest))
}

/// The event with that index, if it is due.
fn due_event(world: &World, index: usize) -> Option<TimelineEvent> {
    let scheduled: Option<ScheduledEvent> = world.timeline().events.get(index).copied();
    let due = scheduled.filter(|scheduled| scheduled.at <= world.now());
    due.map(|scheduled| scheduled.event)
}

async fn start_stand_in(world: &Arc<World>, number: usize) {
    if let Err(error) = server_stand_in::start(world, number, true).await {
        eprintln!("pinefront-testbed: cannot start the stand-in of server {number}: {error}");
    }
}

/// Kills, stops, suspends, resumes, starts and reloads the balancer processes.
#[derive(Clone)]
pub(super) struct ProcessController {
    pub(super) load: Arc<Load>,
    pub(super) processes: Arc<Mutex<Vec<Balancer>>>,
    pub(super) views: Arc<Mutex<ViewChecker>>,
}

impl ProcessController {
    /// Applies events that concern balancers until the channel is closed.
    pub(super) async fn run(self, mut events: mpsc::UnboundedReceiver<TimelineEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                TimelineEvent::BalancerPaused(balancer) => {
                    let duration = pause_duration(self.world(), balancer);
                    self.suspend_or_resume(event, balancer, duration, Balancer::suspend);
                }
                TimelineEvent::BalancerResumed(balancer) => {
                    self.suspend_or_resume(event, balancer, 0, Balancer::resume);
                }
                TimelineEvent::BalancerReloaded(balancer) => self.reload(balancer),
                TimelineEvent::BalancerKilled(balancer) => {
                    self.prepare_exit(event, balancer);
                    tokio::spawn(self.clone().kill(balancer));
                }
                TimelineEvent::BalancerStopped(balancer) => {
                    self.prepare_exit(event, balancer);
                    tokio::spawn(self.clone().request_stop(balancer));
                }
                TimelineEvent::BalancerStarted(balancer) => {
                    tokio::spawn(self.clone().start(event, balancer, None));
                }
                TimelineEvent::BalancerMoved { number, address_of } => {
                    tokio::spawn(self.clone().start(event, number, Some(address_of)));
                }
                _ => {}
            }
        }
    }

    fn world(&self) -> &World {
        &self.load.world
    }

    /// Calls a function with the process of a balancer; returns none if the number is unknown.
    fn with_process<T>(&self, balancer: usize, call: impl FnOnce(&mut Balancer) -> T) -> Option<T> {
        locked(&self.processes).get_mut(balancer).map(call)
    }

    /// Suspends or resumes a process without spawning a task: the two events may follow each other
    /// closely, and must be applied in order.
    fn suspend_or_resume(
        &self,
        event: TimelineEvent,
        balancer: usize,
        duration: Micros,
        call: impl FnOnce(&Balancer),
    ) {
        let world = self.world();
        locked(&self.views).record_event(world.now(), event, duration);
        self.with_process(balancer, |process| {
            call(process);
            world.record_balancer_intervention(balancer);
            world.record(world.now(), Observation::BalancerStalled { balancer });
        });
    }

    fn reload(&self, balancer: usize) {
        if let Some(Err(error)) = self.with_process(balancer, Balancer::reload) {
            eprintln!("pinefront-testbed: cannot reload balancer {balancer}: {error}");
        }
    }

    /// Records that a process is about to exit, and writes the current endpoint list to its
    /// configuration as the cached list for its next start.
    fn prepare_exit(&self, event: TimelineEvent, balancer: usize) {
        let world = self.world();
        let now = world.now();
        let list = world.endpoint_list_json();
        let written = self.with_process(balancer, |process| process.set_cached_list(list));
        if let Some(Err(error)) = written {
            eprintln!(
                "pinefront-testbed: cannot write the endpoint list cached by balancer {balancer}: \
                 {error}"
            );
        }
        world.set_balancer_running(balancer, false);
        locked(&self.views).record_event(now, event, 0);
    }

    async fn kill(self, balancer: usize) {
        let killed = Observation::BalancerKilled { balancer };
        // Recorded before and after the kill, since requests may be received in between.
        self.world().record(self.world().now(), killed);
        self.with_process(balancer, Balancer::kill);
        self.world().record(self.world().now(), killed);
        tokio::time::sleep(KILL_DETECTION_DELAY).await;
        self.load.front_end.set_available(balancer, false);
    }

    async fn request_stop(self, balancer: usize) {
        self.with_process(balancer, Balancer::request_stop);
        tokio::time::sleep(STOP_DETECTION_DELAY).await;
        self.load.front_end.set_available(balancer, false);
    }

    /// Starts a process and waits until it is ready. With `address_of`, it uses the cluster address
    /// of that balancer.
    async fn start(self, event: TimelineEvent, balancer: usize, address_of: Option<usize>) {
        let started = self.with_process(balancer, |process| {
            locked(&self.views).record_event(self.world().now(), event, 0);
            self.start_process(process, balancer, address_of)
        });
        self.world().set_balancer_running(balancer, true);
        let ready = match started {
            Some(Err(error)) => Err(Error::from(error)),
            _ => wait_until_ready(&self.processes, balancer).await,
        };
        match ready {
            Ok(()) => self.load.front_end.set_available(balancer, true),
            Err(error) => eprintln!("pinefront-testbed: {error}"),
        }
    }

    fn start_process(
        &self,
        process: &mut Balancer,
        balancer: usize,
        address_of: Option<usize>,
    ) -> std::io::Result<()> {
        // A process that is still running after SIGTERM is killed before the next start, as an
        // operator would do.
        if process.is_running() && !process.has_exited() {
            let world = self.world();
            world.record(world.now(), Observation::BalancerKilled { balancer });
            process.kill();
        }
        if let (Some(file), Some(address_of)) = (&process.operator_file, address_of) {
            let name = format!("b{balancer}-at-{address_of}.toml");
            process.operator_file = Some(file.with_file_name(name));
        }
        process.start()
    }
}

/// Time until a balancer that is suspended now is resumed, in microseconds; 0 if the timeline
/// does not resume it.
fn pause_duration(world: &World, balancer: usize) -> Micros {
    let now = world.now();
    let timeline = world.timeline();
    let mut later = timeline
        .events
        .iter()
        .filter(|scheduled| scheduled.at > now);
    let resumed = TimelineEvent::BalancerResumed(balancer);
    later
        .find(|scheduled| scheduled.event == resumed)
        .map_or(0, |scheduled| scheduled.at - now)
}
