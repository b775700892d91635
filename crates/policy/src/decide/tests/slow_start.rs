//! What many balancers together send a cold endpoint, on one virtual clock: clocks apart, a burst, restarts within the
//! ramp, attempts that fail and are repeated. The most that may come in one fall time is N + 2 √N + 2, N being what the
//! settings allow then (N under 30: N + 3 √N + 3).

use std::collections::BTreeMap;

use nanorand::{Rng, WyRand};
use rstest::rstest;

use super::*;

const ENDPOINTS: usize = 12;
const COLD_ONE: usize = 0;
/// Usual requests a second that a warm endpoint bears, and the part of it that is asked for.
const CAPACITY: f64 = 30.0;
const LOAD: f64 = 0.7;
const TICK: Micros = 5 * MS;
const TOOK: Micros = 60 * MS;
/// A colder start than usual: what comes to an endpoint anyhow would push it over.
const WARMING: SlowStart = SlowStart {
    initial_capacity: 0.05,
    duration: 10_000 * MS,
    overload_multiple: 2.0,
    overload_window: 2_000 * MS,
};
/// Part of the attempts that are turned away, and go on to others.
const TURNED_AWAY: f64 = 0.1;
const LASTS: Micros = 12_000 * MS;

struct Sent {
    balancer: usize,
    request: String,
    number: usize,
    at: Micros,
}

/// A fleet of balancers; each believes that there are so many.
struct Fleet {
    balancers: Vec<Balancer<RecordingHost>>,
    believed: usize,
    random: WyRand,
    under_way: BTreeMap<(Micros, usize), Sent>,
    attempts: BTreeMap<String, usize>,
    /// When the cold endpoint was sent something.
    cold: Vec<Micros>,
    next: usize,
}

impl Fleet {
    fn new(balancers: usize, believed: usize, seed: u64) -> Self {
        let mut fleet = Self {
            balancers: Vec::new(),
            believed,
            random: WyRand::new_seed(seed),
            under_way: BTreeMap::new(),
            attempts: BTreeMap::new(),
            cold: Vec::new(),
            next: 0,
        };
        for number in 0..balancers {
            let balancer = fleet.balancer(number, START_AT, true);
            fleet.balancers.push(balancer);
        }
        fleet
    }

    /// One that has served for long, or that has just begun.
    fn balancer(&mut self, number: usize, now: Micros, served: bool) -> Balancer<RecordingHost> {
        let mut balancer = one_of_many(number % self.believed, self.believed, ENDPOINTS);
        balancer.random = WyRand::new_seed(self.random.generate());
        balancer.settings.slow_start = WARMING;
        (balancer.instance_seed, balancer.admitted_share) = (self.random.generate(), 1.0);
        // Clocks apart by some milliseconds.
        let apart = self.random.generate_range(0..=20 * MS);
        balancer.endpoint_listed("u0", 0, 0, 0, 1.0, START_AT - apart);
        balancer.endpoint_list_ends(now);
        balancer.started = now;
        if served {
            balancer.started = START_AT - 20_000 * MS;
            let rate = LOAD * CAPACITY * ENDPOINTS as f64 / self.believed as f64 / SECOND_US;
            balancer
                .fleet
                .served
                .add(START_AT, LONG_TERM_US, rate * LONG_TERM_US);
            balancer
                .fleet
                .arrivals
                .add(START_AT, LONG_TERM_US, rate * LONG_TERM_US);
        }
        balancer
    }

    fn arrivals(&mut self, now: Micros, rate: f64) {
        let mut owed = rate * TICK as f64 / SECOND_US;
        while owed > 0.0 {
            if self.random.generate::<f64>() < owed {
                let number = self.random.generate_range(0..self.balancers.len());
                self.next += 1;
                let id = format!("t{}", self.next);
                self.balancers[number].request_arrived(
                    now,
                    &id,
                    0,
                    1,
                    now + 1_000 * MS,
                    None,
                    None,
                );
                self.took_down(now, number);
            }
            owed -= 1.0;
        }
    }

    /// Takes what a balancer did.
    fn took_down(&mut self, now: Micros, balancer: usize) {
        let acts = std::mem::take(&mut *self.balancers[balancer].host.0.borrow_mut());
        for act in acts {
            let mut words = act.split(' ');
            let (Some("attempt"), Some(request), Some(endpoint)) =
                (words.next(), words.next(), words.next())
            else {
                continue;
            };
            if endpoint == format!("u{COLD_ONE}") {
                self.cold.push(now);
            }
            let attempt = self.attempts.entry(request.to_owned()).or_insert(0);
            let (number, request) = (*attempt, request.to_owned());
            *attempt += 1;
            let place = (now + TOOK, self.attempts.len() * 8 + number);
            self.under_way.insert(
                place,
                Sent {
                    balancer,
                    request,
                    number,
                    at: now,
                },
            );
        }
    }

    fn answers(&mut self, now: Micros) {
        while let Some(first) = self
            .under_way
            .first_entry()
            .filter(|first| first.key().0 <= now)
        {
            let sent = first.remove();
            let away = self.random.generate::<f64>() < TURNED_AWAY;
            let how = if away {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::Succeeded
            };
            let balancer = &mut self.balancers[sent.balancer];
            balancer.attempt_ended(now, &sent.request, sent.number, !away, how, now - sent.at);
            self.took_down(now, sent.balancer);
        }
    }

    fn play(&mut self) {
        let usual = LOAD * CAPACITY * ENDPOINTS as f64;
        let mut now = START_AT;
        while now < START_AT + LASTS {
            let since = now - START_AT;
            // A burst of half as much again, and a quarter of the balancers restarted within the ramp.
            let burst = if (2_000 * MS..4_000 * MS).contains(&since) {
                1.5
            } else {
                1.0
            };
            if since == 3_000 * MS {
                for number in 0..self.balancers.len() / 4 {
                    self.balancers[number] = self.balancer(number, now, false);
                }
            }
            self.answers(now);
            self.arrivals(now, usual * burst);
            for number in 0..self.balancers.len() {
                if since.is_multiple_of(QUEUE_INTERVAL_US) {
                    self.balancers[number].timer_expired(now, QUEUE_TIMER);
                    self.took_down(now, number);
                }
            }
            now += TICK;
        }
    }

    /// The most that came within one fall time, against what may.
    fn worst(&self) -> f64 {
        let slow_start = WARMING;
        let allowed = |at: Micros| {
            let age = (at - START_AT) as f64 / slow_start.duration as f64;
            let slow_start_capacity =
                slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * age.min(1.0);
            let n = slow_start.overload_multiple
                * slow_start_capacity
                * CAPACITY
                * slow_start.overload_window as f64
                / SECOND_US;
            if n < 30.0 {
                n + 3.0 * n.sqrt() + 3.0
            } else {
                n + 2.0 * n.sqrt() + 2.0
            }
        };
        let within = |at: Micros| {
            let recent = |sent: &&Micros| **sent <= at && **sent + slow_start.overload_window > at;
            self.cold.iter().filter(recent).count() as f64
        };
        let cold = |at: &&Micros| **at < START_AT + slow_start.duration;
        self.cold
            .iter()
            .filter(cold)
            .map(|at| within(*at) / allowed(*at))
            .fold(0.0, f64::max)
    }
}

#[rstest]
fn many_balancers_together_keep_to_the_budget_of_a_cold_endpoint(
    #[values(1, 3, 20, 30)] balancers: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut fleet = Fleet::new(balancers, balancers, seed);
    fleet.play();
    assert!(fleet.worst() < 1.0, "{:.2} of what may come", fleet.worst());
    assert!(!fleet.cold.is_empty(), "it warms by what it is sent");
}

/// Planted: each takes the whole budget, as if it were alone.
#[rstest]
fn balancers_that_each_take_the_whole_budget_push_it_over(#[values(20, 30)] balancers: usize) {
    let mut fleet = Fleet::new(balancers, 1, 1);
    fleet.play();
    assert!(fleet.worst() > 1.0, "{:.2} of what may come", fleet.worst());
}
