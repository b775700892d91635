//! Requests of many balancers to one endpoint in slow start, on one virtual clock, with clock skew,
//! a burst, restarts of balancers during slow start, and retries.
//!
//! Let N be the number of requests that the settings allow in one overload window at that time. At
//! most N + 2 √N + 2 requests may arrive in the window, or N + 3 √N + 3 for N below 30.

use std::collections::BTreeMap;

use nanorand::{Rng, WyRand};

use super::*;
use crate::decisions::queueing::QUEUE_CHECK_INTERVAL_US;

const ENDPOINTS: usize = 12;
const NEW_ENDPOINT: usize = 0;
/// Requests per second that a warm endpoint serves.
const CAPACITY_PER_SECOND: f64 = 30.0;
/// Offered load as a fraction of the capacity of all endpoints.
const LOAD: f64 = 0.7;
const TICK_US: Micros = 5 * MS;
const LATENCY_US: Micros = 60 * MS;
/// Slow start with an initial capacity that is lower than usual: an equal share of the requests
/// would overload the endpoint.
const SLOW_START: SlowStart = SlowStart {
    initial_capacity: 0.05,
    duration: 10_000 * MS,
    overload_multiple: 2.0,
    overload_window: 2_000 * MS,
};
/// Fraction of the attempts that are rejected, and retried at another endpoint.
const REJECTED_FRACTION: f64 = 0.1;
const DURATION_US: Micros = 12_000 * MS;

/// An attempt in flight.
struct SentAttempt {
    balancer: usize,
    request: String,
    number: usize,
    sent_at: Micros,
}

/// A fleet of balancers, and the size of the fleet in their settings.
struct Fleet {
    balancers: Vec<Balancer<RecordingHost>>,
    configured: usize,
    random: WyRand,
    in_flight: BTreeMap<(Micros, usize), SentAttempt>,
    attempts: BTreeMap<String, usize>,
    /// Times at which attempts were sent to the endpoint in slow start.
    sent_at: Vec<Micros>,
    next_request: usize,
}

impl Fleet {
    fn new(balancers: usize, configured: usize, seed: u64) -> Self {
        let mut fleet = Self {
            balancers: Vec::new(),
            configured,
            random: WyRand::new_seed(seed),
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sent_at: Vec::new(),
            next_request: 0,
        };
        for number in 0..balancers {
            let balancer = fleet.balancer(number, START_AT, true);
            fleet.balancers.push(balancer);
        }
        fleet
    }

    /// Creates a balancer that has served requests for a long time or, if `served` is false, has
    /// just started.
    fn balancer(&mut self, number: usize, now: Micros, served: bool) -> Balancer<RecordingHost> {
        let mut balancer = one_of_many(number % self.configured, self.configured, ENDPOINTS);
        balancer.random = WyRand::new_seed(self.random.generate());
        balancer.settings.slow_start = SLOW_START;
        (balancer.instance_seed, balancer.admission.admitted_share) = (self.random.generate(), 1.0);
        // The clocks differ by up to 20 ms.
        let skew = self.random.generate_range(0..=20 * MS);
        balancer.endpoint_listed(listed("u0", 0, 0, START_AT - skew));
        balancer.endpoint_list_ended(now);
        balancer.started_at = now;
        if served {
            balancer.started_at = START_AT - 20_000 * MS;
            let rate = LOAD * CAPACITY_PER_SECOND * ENDPOINTS as f64
                / self.configured as f64
                / MICROS_PER_SECOND;
            balancer.fleet.served_work.add(
                START_AT,
                LONG_TERM_HORIZON_US,
                rate * LONG_TERM_HORIZON_US,
            );
            balancer.fleet.arrivals.add(
                START_AT,
                LONG_TERM_HORIZON_US,
                rate * LONG_TERM_HORIZON_US,
            );
        }
        balancer
    }

    fn generate_arrivals(&mut self, now: Micros, rate: f64) {
        let mut expected = rate * TICK_US as f64 / MICROS_PER_SECOND;
        while expected > 0.0 {
            if self.random.generate::<f64>() < expected {
                let number = self.random.generate_range(0..self.balancers.len());
                self.next_request += 1;
                let id = format!("t{}", self.next_request);
                let arrival = RequestArrival {
                    tenant: 1,
                    ..arrival(&id, now + 1_000 * MS)
                };
                self.balancers[number].request_arrived(now, arrival);
                self.collect_attempts(now, number);
            }
            expected -= 1.0;
        }
    }

    /// Collects the attempts that a balancer started.
    fn collect_attempts(&mut self, now: Micros, balancer: usize) {
        let calls = std::mem::take(&mut *self.balancers[balancer].host.calls.borrow_mut());
        for call in calls {
            let mut parts = call.split(' ');
            let (Some("attempt"), Some(request), Some(endpoint)) =
                (parts.next(), parts.next(), parts.next())
            else {
                continue;
            };
            if endpoint == format!("u{NEW_ENDPOINT}") {
                self.sent_at.push(now);
            }
            let attempt = self.attempts.entry(request.to_owned()).or_insert(0);
            let (number, request) = (*attempt, request.to_owned());
            *attempt += 1;
            let key = (now + LATENCY_US, self.attempts.len() * 8 + number);
            self.in_flight.insert(
                key,
                SentAttempt {
                    balancer,
                    request,
                    number,
                    sent_at: now,
                },
            );
        }
    }

    fn end_attempts(&mut self, now: Micros) {
        while let Some(first) = self
            .in_flight
            .first_entry()
            .filter(|first| first.key().0 <= now)
        {
            let sent = first.remove();
            let rejected = self.random.generate::<f64>() < REJECTED_FRACTION;
            let outcome = if rejected {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::Succeeded
            };
            let balancer = &mut self.balancers[sent.balancer];
            balancer.attempt_ended(
                now,
                &sent.request,
                attempt_end(sent.number, !rejected, outcome, now - sent.sent_at),
            );
            self.collect_attempts(now, sent.balancer);
        }
    }

    fn run(&mut self) {
        let usual = LOAD * CAPACITY_PER_SECOND * ENDPOINTS as f64;
        let mut now = START_AT;
        while now < START_AT + DURATION_US {
            let since = now - START_AT;
            // A burst of 1.5 times the usual rate, and a restart of a quarter of the balancers.
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
            self.end_attempts(now);
            self.generate_arrivals(now, usual * burst);
            for number in 0..self.balancers.len() {
                if since.is_multiple_of(QUEUE_CHECK_INTERVAL_US) {
                    self.balancers[number].timer_expired(now, QUEUE_TIMER);
                    self.collect_attempts(now, number);
                }
            }
            now += TICK_US;
        }
    }

    /// Returns the highest ratio of attempts in one overload window to the number that may arrive.
    fn max_load_ratio(&self) -> f64 {
        let slow_start = SLOW_START;
        let allowed = |at: Micros| {
            let age = (at - START_AT) as f64 / slow_start.duration as f64;
            let slow_start_capacity =
                slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * age.min(1.0);
            let n = slow_start.overload_multiple
                * slow_start_capacity
                * CAPACITY_PER_SECOND
                * slow_start.overload_window as f64
                / MICROS_PER_SECOND;
            if n < 30.0 {
                n + 3.0 * n.sqrt() + 3.0
            } else {
                n + 2.0 * n.sqrt() + 2.0
            }
        };
        let within = |at: Micros| {
            let recent = |sent: &&Micros| **sent <= at && **sent + slow_start.overload_window > at;
            self.sent_at.iter().filter(recent).count() as f64
        };
        let in_slow_start = |at: &&Micros| **at < START_AT + slow_start.duration;
        self.sent_at
            .iter()
            .filter(in_slow_start)
            .map(|at| within(*at) / allowed(*at))
            .fold(0.0, f64::max)
    }
}

#[rstest]
fn many_balancers_together_keep_to_the_budget(
    #[values(1, 3, 20, 30)] balancers: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut fleet = Fleet::new(balancers, balancers, seed);
    fleet.run();
    assert!(
        fleet.max_load_ratio() < 1.0,
        "{:.2} of the allowed load",
        fleet.max_load_ratio()
    );
    assert!(
        !fleet.sent_at.is_empty(),
        "the endpoint in slow start received no requests and cannot warm up"
    );
}

/// Checks that the test detects an overload: each balancer takes the whole budget, as if it were
/// the only one.
#[rstest]
fn balancers_that_each_take_the_whole_budget_overload_the_endpoint(
    #[values(20, 30)] balancers: usize,
) {
    let mut fleet = Fleet::new(balancers, 1, 1);
    fleet.run();
    assert!(
        fleet.max_load_ratio() > 1.0,
        "{:.2} of the allowed load",
        fleet.max_load_ratio()
    );
}
