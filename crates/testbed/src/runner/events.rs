//! Events of the timeline: applied to the servers, and to the processes of balancers.

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

/// How long the front end goes on sending requests to a balancer that was killed.
const DEATH_DETECTION_DELAY: Duration = Duration::from_secs(1);
/// How long the front end goes on sending requests to a balancer that was asked to stop.
const STOP_DETECTION_DELAY: Duration = Duration::from_millis(300);
/// The longest sleep between two looks at the timeline.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Applies conditions and events as the timeline reaches them, until the runtime ends. Events of
/// balancers are sent to
/// `balancer_events`.
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
                // The receiver is gone once the run is over.
                let _ = balancer_events.send(event);
                continue;
            }
            for number in world.apply_event(event) {
                start_stand_in(&world, number).await;
            }
        }
    }
}

/// When the next condition or event is due.
fn next_wake(world: &World, applied: usize) -> Instant {
    let timeline = world.timeline();
    let event = timeline.events.get(applied).map(|scheduled| scheduled.at);
    let condition = timeline.next_condition_change(world.now());
    let next = event.into_iter().chain(condition).min();
    let latest = Instant::now() + MAX_SLEEP;
    next.map_or(latest, |next| world.clock.at(next).min(latest))
}

fn due_event(world: &World, index: usize) -> Option<TimelineEvent> {
    let scheduled: Option<ScheduledEvent> = world.timeline().events.get(index).copied();
    let due = scheduled.filter(|scheduled| scheduled.at <= world.now());
    due.map(|scheduled| scheduled.event)
}

async fn start_stand_in(world: &Arc<World>, number: usize) {
    if let Err(problem) = server_stand_in::start(world, number, true).await {
        eprintln!("pinefront-testbed: cannot start the stand-in of server {number}: {problem}");
    }
}

/// Kills, stops, suspends, starts and reloads the processes of balancers.
#[derive(Clone)]
pub(super) struct ProcessController {
    pub(super) load: Arc<Load>,
    pub(super) processes: Arc<Mutex<Vec<Balancer>>>,
    pub(super) views: Arc<Mutex<ViewChecker>>,
}

impl ProcessController {
    /// Applies the events of balancers until the channel is closed.
    pub(super) async fn run(self, mut events: mpsc::UnboundedReceiver<TimelineEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                TimelineEvent::BalancerPaused(balancer) => {
                    let duration = stall_duration(self.world(), balancer);
                    self.suspend_or_resume(event, balancer, duration, Balancer::suspend);
                }
                TimelineEvent::BalancerResumed(balancer) => {
                    self.suspend_or_resume(event, balancer, 0, Balancer::resume);
                }
                TimelineEvent::BalancerReloaded(balancer) => self.reload(balancer),
                TimelineEvent::BalancerKilled(balancer) => {
                    self.prepare_end(event, balancer);
                    tokio::spawn(self.clone().kill(balancer));
                }
                TimelineEvent::BalancerStopped(balancer) => {
                    self.prepare_end(event, balancer);
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

    /// Calls a function with the process of a balancer, if there is one.
    fn with_process<T>(&self, balancer: usize, call: impl FnOnce(&mut Balancer) -> T) -> Option<T> {
        locked(&self.processes).get_mut(balancer).map(call)
    }

    /// Suspends or resumes a process at once, since the two events may be close to each other.
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
            world.disturb_balancer(balancer);
            world.record(world.now(), Observation::BalancerStalled { balancer });
        });
    }

    fn reload(&self, balancer: usize) {
        if let Some(Err(problem)) = self.with_process(balancer, Balancer::reload) {
            eprintln!("pinefront-testbed: no new configuration: {problem}");
        }
    }

    /// Records that a process is about to end, and writes the list that it knows at its next start.
    fn prepare_end(&self, event: TimelineEvent, balancer: usize) {
        let world = self.world();
        let now = world.now();
        let list = world.list_document();
        let written = self.with_process(balancer, |process| process.set_known_list(list));
        if let Some(Err(problem)) = written {
            eprintln!("pinefront-testbed: no known list: {problem}");
        }
        world.set_balancer_running(balancer, false);
        locked(&self.views).record_event(now, event, 0);
    }

    async fn kill(self, balancer: usize) {
        let killed = Observation::BalancerKilled { balancer };
        // Recorded before and after, since requests may be received meanwhile.
        self.world().record(self.world().now(), killed);
        self.with_process(balancer, Balancer::kill);
        self.world().record(self.world().now(), killed);
        tokio::time::sleep(DEATH_DETECTION_DELAY).await;
        self.load.front_end.set_up(balancer, false);
    }

    async fn request_stop(self, balancer: usize) {
        self.with_process(balancer, Balancer::request_stop);
        tokio::time::sleep(STOP_DETECTION_DELAY).await;
        self.load.front_end.set_up(balancer, false);
    }

    /// Starts a process, at the cluster address of `address_of` where given, and waits until it is
    /// ready.
    async fn start(self, event: TimelineEvent, balancer: usize, address_of: Option<usize>) {
        let started = self.with_process(balancer, |process| {
            locked(&self.views).record_event(self.world().now(), event, 0);
            self.start_process(process, balancer, address_of)
        });
        self.world().set_balancer_running(balancer, true);
        let ready = match started {
            Some(Err(problem)) => Err(Error::from(problem)),
            _ => wait_until_ready(&self.processes, balancer).await,
        };
        match ready {
            Ok(()) => self.load.front_end.set_up(balancer, true),
            Err(problem) => eprintln!("pinefront-testbed: {problem}"),
        }
    }

    fn start_process(
        &self,
        process: &mut Balancer,
        balancer: usize,
        address_of: Option<usize>,
    ) -> std::io::Result<()> {
        // A process that was asked to stop and still runs is killed first, as an operator would.
        if process.is_running() && !process.has_ended() {
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

/// How long a balancer that is suspended now stays so.
fn stall_duration(world: &World, balancer: usize) -> Micros {
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
