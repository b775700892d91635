//! Model of a server: cores with a speed, a queue, slow start, overload, and the effect of faults.
//!
//! [`Server::receive`] adds jobs, [`Server::advance`] returns finished ones, and
//! [`Server::next_event`] returns the time of the next change of the server's state. Processing
//! rates are constant between two changes, so the simulation is exact.

mod duplicates;
mod load;
mod types;

use std::collections::VecDeque;

use duplicates::KeyCache;
pub use duplicates::{DUPLICATE_WORK_US, DuplicateFilter};
use load::{LoadMeter, Overload, SlowStartWork};
pub use types::{Condition, FinishedJob, Job, JobOutcome, LoadReport, ServerSpec};

use crate::Micros;
use crate::random::RandomSource;
use crate::scenario::{Fleet, Rules};

/// Number of equal steps in which the capacity increases during slow start. Steps keep the
/// processing rate constant between two changes.
const SLOW_START_STEPS: u64 = 40;
/// Remaining work up to this value, in microseconds of core time, is a rounding error.
const NEGLIGIBLE_WORK: f64 = 1e-6;
/// Maximum delay until the next event, in microseconds. It keeps the conversion from `f64` in range
/// when the processing rate is very low.
const MAX_EVENT_DELAY_US: f64 = 1e15;

/// A job that is processed by a core or waits for one. Work is core time at speed 1, in
/// microseconds.
struct ActiveJob {
    job: Job,
    remaining_work: f64,
}

/// A job that has completed its work on a core and waits for other services until it ends.
struct OffCoreJob {
    id: u64,
    ends_at: Micros,
}

/// A simulated server.
pub struct Server {
    /// Identity and capacity.
    pub spec: ServerSpec,
    fleet: Fleet,
    rules: Rules,
    condition: Condition,
    random: RandomSource,
    /// Time up to which the server has been simulated, in microseconds.
    now: Micros,
    running: Vec<ActiveJob>,
    waiting: VecDeque<ActiveJob>,
    off_core: Vec<OffCoreJob>,
    /// Jobs that arrived while the server was frozen.
    unread: Vec<Job>,
    overload: Overload,
    slow_start_work: SlowStartWork,
    is_stopped: bool,
    crashed_in_slow_start: bool,
    connections: usize,
    key_cache: KeyCache,
    load_meter: LoadMeter,
}

impl Server {
    /// Creates a server without jobs.
    pub fn new(spec: ServerSpec, fleet: &Fleet, rules: &Rules, random: RandomSource) -> Self {
        let now = spec.started_at.unwrap_or(0);
        Self {
            spec,
            fleet: fleet.clone(),
            rules: rules.clone(),
            condition: Condition::default(),
            random,
            now,
            running: Vec::new(),
            waiting: VecDeque::new(),
            off_core: Vec::new(),
            unread: Vec::new(),
            overload: Overload::default(),
            slow_start_work: SlowStartWork::default(),
            is_stopped: false,
            crashed_in_slow_start: false,
            connections: 0,
            key_cache: KeyCache::default(),
            load_meter: LoadMeter::new(now),
        }
    }

    /// Whether the server crashed or was killed.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Whether the server crashed because it received too much work in slow start.
    pub fn crashed_in_slow_start(&self) -> bool {
        self.crashed_in_slow_start
    }

    /// Returns the combined effect of the active faults.
    pub fn condition(&self) -> &Condition {
        &self.condition
    }

    /// Whether the server is slowed down because its queue was too long.
    pub fn is_overloaded(&self) -> bool {
        self.overload.is_overloaded()
    }

    /// Whether the server has no jobs.
    pub fn is_idle(&self) -> bool {
        self.in_flight() == 0
    }

    fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len() + self.off_core.len() + self.unread.len()
    }

    /// Fraction of the full capacity that is available at a time; 1 after slow start.
    pub fn slow_start_factor(&self, now: Micros) -> f64 {
        let duration = self.rules.slow_start_duration.0;
        let Some(started_at) = self.spec.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at);
        if age >= duration {
            return 1.0;
        }
        let progress = (age * SLOW_START_STEPS / duration) as f64 / SLOW_START_STEPS as f64;
        let initial = self.rules.slow_start_capacity;
        initial + (1.0 - initial) * progress
    }

    /// Work that the server can process per microsecond without faults.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.spec.cores as f64 * self.spec.speed * self.slow_start_factor(now)
    }

    /// Work that one core processes per microsecond.
    fn core_rate(&self) -> f64 {
        if self.condition.frozen {
            return 0.0;
        }
        let slowdown = if self.is_overloaded() {
            self.fleet.overload_slowdown.max(1.0)
        } else {
            1.0
        };
        self.spec.speed * self.slow_start_factor(self.now) * self.condition.rate / slowdown
    }

    /// Replaces the combined effect of the active faults. Like all other methods, it appends
    /// finished jobs to `finished`.
    pub fn set_condition(
        &mut self,
        now: Micros,
        condition: Condition,
        finished: &mut Vec<FinishedJob>,
    ) {
        self.advance(now, finished);
        self.condition = condition;
        if !self.condition.frozen {
            for job in std::mem::take(&mut self.unread) {
                self.admit(job, finished);
            }
        }
        self.settle(finished);
    }

    /// Opens a connection. Returns false if the server is stopped or has no capacity for it.
    pub fn connect(&mut self) -> bool {
        let has_capacity = !self.is_stopped && self.connections < self.fleet.max_connections;
        self.connections += usize::from(has_capacity);
        has_capacity
    }

    /// Closes a connection.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Adds a job whose last byte has been received.
    pub fn receive(&mut self, now: Micros, job: Job, finished: &mut Vec<FinishedJob>) {
        self.advance(now, finished);
        if self.is_stopped {
            return finished.push(job.ended(JobOutcome::ServerCrashed));
        }
        if self.exceeds_slow_start_limit(job.work) {
            self.crashed_in_slow_start = true;
            finished.push(job.ended(JobOutcome::ServerCrashed));
            return self.kill(now, finished);
        }
        if self.condition.frozen {
            self.unread.push(job);
        } else {
            self.admit(job, finished);
        }
        self.settle(finished);
    }

    fn admit(&mut self, job: Job, finished: &mut Vec<FinishedJob>) {
        if self.random.happens(self.condition.errors) {
            return finished.push(job.ended(JobOutcome::Failed));
        }
        let free_cores = self.spec.cores.saturating_sub(self.running.len());
        if self.waiting.len() >= self.fleet.queue_capacity + free_cores {
            return finished.push(job.ended(JobOutcome::Rejected));
        }
        let ttl = self.fleet.key_cache_ttl.0;
        let is_cached = match job.key {
            Some(key) if ttl > 0 => self.key_cache.use_key(self.now, key, ttl),
            _ => false,
        };
        let share = if is_cached {
            1.0 - self.fleet.key_cache_savings
        } else {
            1.0
        };
        let remaining_work = job.work * share;
        self.waiting.push_back(ActiveJob {
            job,
            remaining_work,
        });
    }

    /// Records received work and returns whether it exceeds the limit for a server in slow start.
    fn exceeds_slow_start_limit(&mut self, work: f64) -> bool {
        if self.slow_start_factor(self.now) >= 1.0 {
            self.slow_start_work.clear();
            return false;
        }
        let capacity = self.capacity(self.now);
        self.slow_start_work
            .add(self.now, work, capacity, &self.rules)
    }

    /// Cancels a job because its requester no longer waits for the response. A cancelled job is not
    /// added to `finished`.
    pub fn cancel(&mut self, now: Micros, id: u64, finished: &mut Vec<FinishedJob>) {
        self.advance(now, finished);
        self.waiting.retain(|waiting| waiting.job.id != id);
        self.unread.retain(|unread| unread.id != id);
        if self.fleet.cancel_stops_work {
            self.running.retain(|running| running.job.id != id);
            self.off_core.retain(|other| other.id != id);
        }
        self.settle(finished);
    }

    /// Stops the server immediately. All its jobs end without a response.
    pub fn kill(&mut self, now: Micros, finished: &mut Vec<FinishedJob>) {
        if self.is_stopped {
            return;
        }
        self.now = self.now.max(now);
        self.is_stopped = true;
        self.connections = 0;
        let active = self.running.drain(..).chain(self.waiting.drain(..));
        let jobs = active
            .map(|active| active.job.id)
            .chain(self.off_core.drain(..).map(|job| job.id))
            .chain(self.unread.drain(..).map(|job| job.id));
        finished.extend(jobs.map(|id| FinishedJob {
            id,
            outcome: JobOutcome::ServerCrashed,
        }));
    }

    /// Returns the time of the next change of state, provided that no job arrives and the condition
    /// does not change.
    pub fn next_event(&self) -> Option<Micros> {
        if self.is_stopped || self.condition.frozen {
            return None;
        }
        let rate = self.core_rate();
        let ends_at = |work: f64| {
            let delay = (work / rate).ceil().clamp(1.0, MAX_EVENT_DELAY_US);
            self.now + delay as Micros
        };
        let running = self.running.iter().filter(|_| rate > 0.0);
        running
            .map(|running| ends_at(running.remaining_work))
            .chain(self.off_core.iter().map(|job| job.ends_at))
            .chain(self.next_slow_start_step())
            .chain(self.overload.next_change(&self.fleet))
            .min()
    }

    /// Returns the time of the next step of slow start. Without running jobs the step is not an
    /// event, since it affects nothing.
    fn next_slow_start_step(&self) -> Option<Micros> {
        let started_at = self.spec.started_at?;
        let duration = self.rules.slow_start_duration.0;
        let age = self.now.saturating_sub(started_at);
        let step = age * SLOW_START_STEPS / duration.max(1) + 1;
        let is_relevant = age < duration && !self.running.is_empty();
        is_relevant.then(|| started_at + (step * duration).div_ceil(SLOW_START_STEPS))
    }

    /// Simulates the server up to `now`. Finished jobs are appended in the order in which they end.
    pub fn advance(&mut self, now: Micros, finished: &mut Vec<FinishedJob>) {
        while let Some(next) = self.next_event().filter(|next| *next <= now) {
            self.work_until(next.max(self.now));
            self.settle(finished);
        }
        self.work_until(now.max(self.now));
    }

    fn work_until(&mut self, now: Micros) {
        let elapsed = (now - self.now) as f64;
        let done = elapsed * self.core_rate();
        for running in &mut self.running {
            running.remaining_work = (running.remaining_work - done).max(0.0);
        }
        self.load_meter
            .add_busy(elapsed * self.running.len() as f64);
        self.now = now;
        if !self.condition.frozen {
            let (jobs, waiting) = (self.in_flight(), self.waiting.len());
            let interval = self.fleet.report_interval.0;
            self.load_meter
                .measure(now, interval, self.spec.cores, jobs, waiting);
        }
    }

    /// Removes jobs with completed work from the cores, starts waiting jobs, ends jobs and updates
    /// the overload state.
    fn settle(&mut self, finished: &mut Vec<FinishedJob>) {
        if self.condition.frozen || self.is_stopped {
            return;
        }
        self.release_cores();
        self.start_waiting();
        self.off_core.sort_by_key(|job| job.ends_at);
        let ended = self.off_core.partition_point(|job| job.ends_at <= self.now);
        for job in self.off_core.drain(..ended).collect::<Vec<_>>() {
            let outcome = self.draw_outcome();
            finished.push(FinishedJob {
                id: job.id,
                outcome,
            });
        }
        let (running, waiting) = (self.running.len(), self.waiting.len());
        self.overload
            .update(self.now, &self.fleet, self.spec.cores, running, waiting);
    }

    fn release_cores(&mut self) {
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].remaining_work <= NEGLIGIBLE_WORK {
                let running = self.running.remove(index);
                self.leave_core(&running.job);
            } else {
                index += 1;
            }
        }
    }

    fn start_waiting(&mut self) {
        while self.running.len() < self.spec.cores
            && let Some(active) = self.waiting.pop_front()
        {
            if active.remaining_work <= NEGLIGIBLE_WORK {
                self.leave_core(&active.job);
            } else {
                self.running.push(active);
            }
        }
    }

    fn leave_core(&mut self, job: &Job) {
        self.off_core.push(OffCoreJob {
            id: job.id,
            ends_at: self.now + job.off_core_time,
        });
    }

    fn draw_outcome(&mut self) -> JobOutcome {
        if self.condition.silent || self.random.happens(self.condition.lost) {
            JobOutcome::Unanswered
        } else if self.random.happens(self.condition.reset) {
            JobOutcome::ConnectionReset
        } else if self.random.happens(self.condition.corrupted) {
            JobOutcome::Corrupted
        } else {
            JobOutcome::Succeeded
        }
    }

    /// Returns the load that a response reports now, or `None` if reports are disabled or nothing
    /// has been measured.
    pub fn load_report(&self, now: Micros) -> Option<LoadReport> {
        if self.condition.reports_absent || self.fleet.report_interval.0 == 0 {
            return None;
        }
        let until = now.saturating_sub(self.condition.report_delay);
        self.load_meter.latest(until)
    }
}

impl Job {
    fn ended(&self, outcome: JobOutcome) -> FinishedJob {
        FinishedJob {
            id: self.id,
            outcome,
        }
    }
}

#[cfg(test)]
mod tests;
