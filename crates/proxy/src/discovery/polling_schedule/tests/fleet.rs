//! Tests with many balancers that share one discovery.

use rstest::rstest;

use super::simulation::*;
use super::*;

/// The queue of a discovery that many balancers share. It serves polls in order and rejects those
/// that would be queued for too long.
struct PollQueue {
    time_per_poll: Micros,
    max_queue_time: Micros,
    free_at: Micros,
    rejected: usize,
}

impl PollQueue {
    fn admit(&mut self, now: Micros, continues: bool) -> Option<Micros> {
        if continues {
            return Some(now);
        }
        if self.free_at > now + self.max_queue_time {
            self.rejected += 1;
            return None;
        }
        self.free_at = self.free_at.max(now) + self.time_per_poll;
        Some(self.free_at)
    }

    /// Runs a fleet until a point in time.
    fn serve(
        &mut self,
        fleet: &mut [SimulatedBalancer],
        until: Micros,
        mut before_step: impl FnMut(Micros, &mut SimulatedBalancer),
    ) {
        let mut now = 0;
        while now < until {
            for balancer in fleet.iter_mut() {
                balancer.now = now;
                before_step(now, balancer);
                balancer.serve_all(&mut |balancer, continues| self.admit(balancer.now, continues));
                balancer.step();
            }
            now += TICK;
        }
    }
}

fn fleet(seed: u64, balancers: usize) -> Vec<SimulatedBalancer> {
    let mut fleet: Vec<SimulatedBalancer> = (0..balancers)
        .map(|n| SimulatedBalancer::new(seed * 1000 + n as u64, balancers))
        .collect();
    fleet
        .iter_mut()
        .for_each(|balancer| balancer.schedule.start(0, settings(balancers)));
    fleet
}

/// Incident "lost list changes": discovery queued polls for up to 3 s, and balancers closed the
/// connection after 2.5 s. Their positions in the queue were wasted, the queue stayed full, and no
/// other poll ever got a response.
#[test]
fn a_fleet_that_fills_the_queue_of_discovery_is_eventually_served() {
    for seed in 21..24 {
        let mut fleet = fleet(seed, 32);
        fleet.iter_mut().for_each(|balancer| balancer.version = 1);
        // Discovery serves a queued poll whether its balancer is still connected or not.
        let mut queue = PollQueue {
            time_per_poll: 220 * MILLISECOND,
            max_queue_time: 3 * SECOND,
            free_at: 3 * SECOND,
            rejected: 0,
        };
        queue.serve(&mut fleet, 12 * SECOND, |_, _| {});
        let without_list = fleet
            .iter()
            .filter(|balancer| balancer.known_version != Some(1))
            .count();
        assert_eq!(without_list, 0, "seed {seed}: balancers without the list");
    }
}

/// Discovery has to recover from any overload, here after 32 balancers lose their watches at the
/// same time.
#[test]
fn a_fleet_that_loses_all_watches_recovers_with_one_poll_per_balancer() {
    for seed in 0..20 {
        let mut fleet = fleet(seed, 32);
        let mut queue = PollQueue {
            time_per_poll: 220 * MILLISECOND,
            max_queue_time: 3 * SECOND,
            free_at: 0,
            rejected: 0,
        };
        let lost_at = 20 * SECOND;
        // One poll per balancer, and up to 0.5 s between a free position in the queue and the next
        // poll.
        let received_by = lost_at + 32 * 220 * MILLISECOND + 3 * SECOND;
        queue.serve(&mut fleet, received_by, |now, balancer| {
            if now == lost_at {
                (balancer.version, balancer.stale_since) = (1, Some(now));
                let connections: Vec<ConnectionId> = balancer
                    .connections
                    .iter()
                    .map(|connection| connection.id)
                    .collect();
                connections
                    .into_iter()
                    .for_each(|id| balancer.fail(id, PollFailure::ConnectionLost));
            }
        });
        let without_list = fleet
            .iter()
            .filter(|balancer| balancer.stale_since.is_some())
            .count();
        assert_eq!(
            without_list, 0,
            "seed {seed}: balancers without the change; {} polls rejected",
            queue.rejected
        );
        assert!(
            queue.rejected <= 14 * 32,
            "seed {seed}: {} polls rejected",
            queue.rejected
        );
    }
}

/// Scenario settat-main (brink, throng, seed 3) has 32 balancers and a discovery that serves 3.5
/// polls per second and rejects those that would be queued for more than 2 s. With watches of 7.5 s
/// and an initial poll for the complete list, balancers were rejected for 13 s, and 23 requests
/// were sent to an endpoint that had been removed.
#[rstest]
#[case(11)]
#[case(12)]
#[case(13)]
fn a_large_fleet_does_not_overload_discovery(#[case] seed: u64) {
    const BALANCERS: usize = 32;
    let changes = [1_770, 4_430, 12_390, 13_280, 14_160, 15_050].map(|at| at * MILLISECOND);
    let mut fleet = fleet(seed, BALANCERS);
    let mut queue = PollQueue {
        time_per_poll: 285 * MILLISECOND,
        max_queue_time: 2 * SECOND,
        free_at: 0,
        rejected: 0,
    };
    queue.serve(&mut fleet, 25 * SECOND, |now, balancer| {
        let version = changes.iter().filter(|at| **at <= now).count() as u64;
        if version > balancer.version {
            balancer.version = version;
            balancer.stale_since.get_or_insert(now);
        }
        // The change of 12.39 s has to be received within 6 s.
        assert!(
            now < 18_390 * MILLISECOND || balancer.known_version >= Some(3),
            "at {now}: {:?}",
            balancer.known_version
        );
    });
    assert!(
        queue.rejected <= 3 * BALANCERS,
        "{} polls rejected",
        queue.rejected
    );
}
