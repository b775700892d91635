//! A server: cores with a speed, a queue, cold start, slowing when flooded, and what faults do to it.
//!
//! Work flows in by [`Server::arrive`], comes out of [`Server::advance`] as [`Done`], and [`Server::next`] says when
//! something will happen by itself. Between two such moments each core's rate stands still, so the state is exact.

use std::collections::{HashMap, VecDeque};

use crate::Micros;
use crate::chance::Chance;
use crate::day::{Fleet, Rules};

/// The cold rise is taken in so many even steps, so that rates stand still between them.
const COLD_STEPS: u64 = 40;
/// Keys that a server keeps at most.
const KEYS_MOST: usize = 4096;
/// Load readings kept, so that late ones can be told.
const READINGS_MOST: usize = 64;
/// Less work than this is none: what rounding to whole microseconds leaves.
const NOTHING: f64 = 1e-6;
/// What an answer takes that an earlier one is given again for: reading and writing.
pub const REPEAT_WORK: f64 = 100.0;
/// Part of its cores with work up to which a server rests.
const RESTS_BELOW: f64 = 0.5;

/// What a server is.
#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    /// Its number, from 0; one that takes another's place has a number of its own.
    pub number: usize,
    /// Places in the day's zones and machines.
    pub zone: usize,
    pub machine: usize,
    pub cell: usize,
    pub cores: usize,
    pub speed: f64,
    /// When it started cold; nothing for one that was warm when the day began.
    pub born: Option<Micros>,
}

/// What faults do to a server at the moment. Shares are of 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    pub frozen: bool,
    pub silent: bool,
    /// Of the answers, those that never come.
    pub lost: f64,
    /// What is left of each core's rate.
    pub rate: f64,
    pub errors: f64,
    pub spoilt: f64,
    pub reset: f64,
    pub reports_late: Micros,
    pub reports_absent: bool,
}

impl Default for Condition {
    fn default() -> Self {
        Self {
            frozen: false,
            silent: false,
            lost: 0.0,
            rate: 1.0,
            errors: 0.0,
            spoilt: 0.0,
            reset: 0.0,
            reports_late: 0,
            reports_absent: false,
        }
    }
}

/// A ticket's dispatch as it reaches a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The caller's number for it.
    pub job: u64,
    /// Core time at speed 1, in microseconds, and time spent on others.
    pub work: f64,
    pub waits: Micros,
    pub key: Option<u64>,
}

/// How a dispatch ended at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Answered,
    /// Ran, and its answer is spoilt.
    Spoilt,
    /// Turned away: never ran.
    Full,
    /// Answered with an error at once. It may have run as far as anybody outside knows; here it did not.
    Failed,
    /// Ran, and nobody will hear of it.
    Swallowed,
    /// Its connection is reset half way: it ran.
    Reset,
    /// The server died with it: it did not come to its end.
    Died,
}

impl How {
    /// Whether its effect took place.
    pub fn ran(self) -> bool {
        matches!(
            self,
            Self::Answered | Self::Spoilt | Self::Swallowed | Self::Reset
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    pub job: u64,
    pub how: How,
}

/// Load as answers tell it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub in_flight: usize,
    pub queue: usize,
    /// Part of the cores' time with work since the last reading.
    pub utilisation: f64,
}

struct Job {
    arrival: Arrival,
    left: f64,
}

pub struct Server {
    pub spec: Spec,
    fleet: Fleet,
    rules: Rules,
    condition: Condition,
    chance: Chance,
    /// The moment that the state below holds for.
    at: Micros,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Off the cores, until that moment.
    elsewhere: Vec<(Micros, u64)>,
    /// Came while frozen: nobody has read it yet.
    unread: Vec<Arrival>,
    flooded: bool,
    /// Since when it has been over the flood's mark, or resting from it.
    mark_since: Option<Micros>,
    /// Work sent within the last span while cold.
    sent_cold: VecDeque<(Micros, f64)>,
    dead: bool,
    fell: bool,
    connections: usize,
    met: HashMap<u64, Micros>,
    busy: f64,
    read_at: Micros,
    readings: VecDeque<(Micros, Report)>,
}

impl Server {
    pub fn new(spec: Spec, fleet: &Fleet, rules: &Rules, chance: Chance) -> Self {
        let at = spec.born.unwrap_or(0);
        Self {
            spec,
            fleet: fleet.clone(),
            rules: rules.clone(),
            condition: Condition::default(),
            chance,
            at,
            running: Vec::new(),
            waiting: VecDeque::new(),
            elsewhere: Vec::new(),
            unread: Vec::new(),
            flooded: false,
            mark_since: None,
            sent_cold: VecDeque::new(),
            dead: false,
            fell: false,
            connections: 0,
            met: HashMap::new(),
            busy: 0.0,
            read_at: at,
            readings: VecDeque::new(),
        }
    }

    pub fn is_dead(&self) -> bool {
        self.dead
    }

    /// Whether it was pushed over while cold.
    pub fn fell(&self) -> bool {
        self.fell
    }

    pub fn condition(&self) -> &Condition {
        &self.condition
    }

    pub fn is_flooded(&self) -> bool {
        self.flooded
    }

    /// Nothing here that is not answered.
    pub fn is_idle(&self) -> bool {
        self.in_flight() == 0
    }

    fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len() + self.elsewhere.len() + self.unread.len()
    }

    /// How far its cold rise has come, of 1.
    pub fn warmth(&self, now: Micros) -> f64 {
        let (Some(born), whole) = (self.spec.born, self.rules.warm_after.0) else {
            return 1.0;
        };
        let age = now.saturating_sub(born);
        if age >= whole {
            return 1.0;
        }
        let steps = (age * COLD_STEPS / whole) as f64 / COLD_STEPS as f64;
        self.rules.cold_from + (1.0 - self.rules.cold_from) * steps
    }

    /// Work that it can do in a microsecond, whatever faults do to it.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.spec.cores as f64 * self.spec.speed * self.warmth(now)
    }

    /// The rate of one core.
    fn rate(&self) -> f64 {
        if self.condition.frozen {
            return 0.0;
        }
        let flooded = if self.flooded {
            self.fleet.flooded_slower.max(1.0)
        } else {
            1.0
        };
        self.spec.speed * self.warmth(self.at) * self.condition.rate / flooded
    }

    /// What faults do to it changes.
    pub fn set(&mut self, now: Micros, condition: Condition, out: &mut Vec<Done>) {
        self.advance(now, out);
        self.condition = condition;
        if !self.condition.frozen {
            for arrival in std::mem::take(&mut self.unread) {
                self.admit(arrival, out);
            }
        }
        self.settle(out);
    }

    /// A connection is made; whether there is room for it.
    pub fn connect(&mut self) -> bool {
        let room = !self.dead && self.connections < self.fleet.connections;
        self.connections += usize::from(room);
        room
    }

    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// A ticket's last byte has come.
    pub fn arrive(&mut self, now: Micros, arrival: Arrival, out: &mut Vec<Done>) {
        self.advance(now, out);
        if self.dead {
            return out.push(Done {
                job: arrival.job,
                how: How::Died,
            });
        }
        if self.pushed_over(arrival.work) {
            self.fell = true;
            out.push(Done {
                job: arrival.job,
                how: How::Died,
            });
            return self.kill(now, out);
        }
        match self.condition.frozen {
            true => self.unread.push(arrival),
            false => self.admit(arrival, out),
        }
        self.settle(out);
    }

    fn admit(&mut self, arrival: Arrival, out: &mut Vec<Done>) {
        if self.chance.happens(self.condition.errors) {
            return out.push(Done {
                job: arrival.job,
                how: How::Failed,
            });
        }
        let free = self.spec.cores.saturating_sub(self.running.len());
        if self.waiting.len() >= self.fleet.queue + free {
            return out.push(Done {
                job: arrival.job,
                how: How::Full,
            });
        }
        let left = arrival.work
            * if self.meets(arrival.key) {
                1.0 - self.fleet.keys_save
            } else {
                1.0
            };
        self.waiting.push_back(Job { arrival, left });
    }

    /// Whether a key was met lately; from now on it is.
    fn meets(&mut self, key: Option<u64>) -> bool {
        let (Some(key), keeps @ 1..) = (key, self.fleet.keeps_keys.0) else {
            return false;
        };
        let now = self.at;
        if self.met.len() >= KEYS_MOST {
            self.met.retain(|_, met| now < *met + keeps);
        }
        if self.met.len() >= KEYS_MOST && !self.met.contains_key(&key) {
            return false;
        }
        self.met
            .insert(key, now)
            .is_some_and(|met| now < met + keeps)
    }

    /// Whether this work is more than a cold server bears.
    fn pushed_over(&mut self, work: f64) -> bool {
        let (now, span) = (self.at, self.rules.cold_span.0);
        if self.warmth(now) >= 1.0 {
            self.sent_cold.clear();
            return false;
        }
        while self
            .sent_cold
            .front()
            .is_some_and(|(sent, _)| sent + span <= now)
        {
            self.sent_cold.pop_front();
        }
        self.sent_cold.push_back((now, work));
        let sent: f64 = self.sent_cold.iter().map(|(_, work)| work).sum();
        sent > self.rules.cold_multiple * self.capacity(now) * span as f64
    }

    /// Nobody waits for this dispatch any more.
    pub fn call_off(&mut self, now: Micros, job: u64, out: &mut Vec<Done>) {
        self.advance(now, out);
        self.waiting.retain(|waiting| waiting.arrival.job != job);
        self.unread.retain(|unread| unread.job != job);
        if self.fleet.stops_work {
            self.running.retain(|running| running.arrival.job != job);
            self.elsewhere.retain(|(_, other)| *other != job);
        }
        self.settle(out);
    }

    /// It dies, and everything in it.
    pub fn kill(&mut self, now: Micros, out: &mut Vec<Done>) {
        if self.dead {
            return;
        }
        self.at = self.at.max(now);
        self.dead = true;
        self.connections = 0;
        let cores = self
            .running
            .drain(..)
            .chain(self.waiting.drain(..))
            .map(|job| job.arrival.job);
        let rest = self.elsewhere.drain(..).map(|(_, job)| job);
        let jobs = cores
            .chain(rest)
            .chain(self.unread.drain(..).map(|arrival| arrival.job));
        out.extend(jobs.map(|job| Done {
            job,
            how: How::Died,
        }));
    }

    /// When something happens here by itself, if nothing comes in between.
    pub fn next(&self) -> Option<Micros> {
        if self.dead || self.condition.frozen {
            return None;
        }
        let rate = self.rate();
        let at = |left: f64| self.at + (left / rate).ceil().clamp(1.0, 1e15) as Micros;
        let works = self
            .running
            .iter()
            .filter(|_| rate > 0.0)
            .map(|job| at(job.left));
        let ends = self.elsewhere.iter().map(|(ends, _)| *ends);
        works
            .chain(ends)
            .chain(self.next_step())
            .chain(self.next_mark())
            .min()
    }

    /// The next step of the cold rise, which only counts while there is work.
    fn next_step(&self) -> Option<Micros> {
        let (born, whole) = (self.spec.born?, self.rules.warm_after.0);
        let age = self.at.saturating_sub(born);
        let step = age * COLD_STEPS / whole.max(1) + 1;
        (age < whole && !self.running.is_empty())
            .then(|| born + (step * whole).div_ceil(COLD_STEPS))
    }

    fn next_mark(&self) -> Option<Micros> {
        let lasts = if self.flooded {
            self.fleet.flooded_rest
        } else {
            self.fleet.flooded_after
        };
        Some(self.mark_since? + lasts.0)
    }

    /// Brings the state up to now; what ends meanwhile goes to `out`, in order.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Done>) {
        while let Some(next) = self.next().filter(|next| *next <= now) {
            self.work_until(next.max(self.at));
            self.settle(out);
        }
        self.work_until(now.max(self.at));
    }

    fn work_until(&mut self, now: Micros) {
        let span = (now - self.at) as f64;
        let done = span * self.rate();
        for job in &mut self.running {
            job.left = (job.left - done).max(0.0);
        }
        self.busy += span * self.running.len() as f64;
        self.at = now;
        let every = self.fleet.reports.0;
        if every > 0 && now >= self.read_at + every && !self.condition.frozen {
            let cores_time = (now - self.read_at) as f64 * self.spec.cores as f64;
            let reading = Report {
                in_flight: self.in_flight(),
                queue: self.waiting.len(),
                utilisation: (self.busy / cores_time).min(1.0),
            };
            if self.readings.len() >= READINGS_MOST {
                self.readings.pop_front();
            }
            self.readings.push_back((now, reading));
            (self.busy, self.read_at) = (0.0, now);
        }
    }

    /// Ends what has no work left, starts what waits for a core, looks at the flood's marks.
    fn settle(&mut self, out: &mut Vec<Done>) {
        if self.condition.frozen || self.dead {
            return;
        }
        let now = self.at;
        let mut place = 0;
        while place < self.running.len() {
            if self.running[place].left <= NOTHING {
                let job = self.running.remove(place);
                self.elsewhere
                    .push((now + job.arrival.waits, job.arrival.job));
            } else {
                place += 1;
            }
        }
        while self.running.len() < self.spec.cores
            && let Some(job) = self.waiting.pop_front()
        {
            if job.left <= NOTHING {
                self.elsewhere
                    .push((now + job.arrival.waits, job.arrival.job));
            } else {
                self.running.push(job);
            }
        }
        self.elsewhere.sort_by_key(|(ends, _)| *ends);
        let over = self.elsewhere.partition_point(|(ends, _)| *ends <= now);
        for (_, job) in self.elsewhere.drain(..over).collect::<Vec<_>>() {
            out.push(Done {
                job,
                how: self.fate(),
            });
        }
        self.look_at_marks();
    }

    fn fate(&mut self) -> How {
        if self.condition.silent || self.chance.happens(self.condition.lost) {
            How::Swallowed
        } else if self.chance.happens(self.condition.reset) {
            How::Reset
        } else if self.chance.happens(self.condition.spoilt) {
            How::Spoilt
        } else {
            How::Answered
        }
    }

    fn look_at_marks(&mut self) {
        let Fleet {
            flooded_by,
            flooded_after,
            flooded_rest,
            ..
        } = self.fleet;
        if flooded_by <= 0.0 {
            return;
        }
        let cores = self.spec.cores as f64;
        let (reached, lasts) = match self.flooded {
            true => (
                self.running.len() as f64 <= RESTS_BELOW * cores && self.waiting.is_empty(),
                flooded_rest,
            ),
            false => (
                self.waiting.len() as f64 > flooded_by * cores,
                flooded_after,
            ),
        };
        let since = reached.then(|| self.mark_since.unwrap_or(self.at));
        let over = since.is_some_and(|since| self.at >= since + lasts.0);
        self.flooded ^= over;
        self.mark_since = since.filter(|_| !over);
    }

    /// Its load as an answer tells it now; nothing where none is told or none was read yet.
    pub fn report(&self, now: Micros) -> Option<Report> {
        if self.condition.reports_absent || self.fleet.reports.0 == 0 {
            return None;
        }
        let until = now.saturating_sub(self.condition.reports_late);
        self.readings
            .iter()
            .rev()
            .find(|(read, _)| *read <= until)
            .map(|(_, report)| *report)
    }
}

/// What servers of one group keep of labels, and until when, so that a repeat does nothing.
#[derive(Default)]
pub struct Repeats(HashMap<(usize, u64), Micros>);

/// Labels kept before those whose window is over are cleared.
const LABELS_BEFORE_CLEARING: usize = 65_536;

impl Repeats {
    /// Whether a ticket with that label is a repeat in its group, and so has no effect. Otherwise it is the first.
    pub fn is_repeat(&mut self, now: Micros, group: usize, label: u64, window: Micros) -> bool {
        match self.0.get(&(group, label)) {
            Some(until) if now < *until => true,
            _ => {
                if self.0.len() >= LABELS_BEFORE_CLEARING {
                    self.0.retain(|_, until| now < *until);
                }
                self.0.insert((group, label), now + window);
                false
            }
        }
    }
}

#[cfg(test)]
mod tests;
