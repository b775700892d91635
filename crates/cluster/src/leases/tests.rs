use std::rc::Rc;

use rstest::rstest;

use super::assignment::Candidate;
use super::manager::MAX_PAUSES;
use super::messages::LeaseMessage;
use super::term::{LeaseId, Term};
use super::voter::Voter;
use super::*;
use crate::Micros;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// A fleet of members, some of which are voters, and the network between them.
struct Fleet {
    now: Micros,
    managers: Vec<LeaseManager>,
    names: Vec<Rc<str>>,
    /// The members that neither send nor receive.
    disconnected: Vec<usize>,
    alive: Vec<usize>,
    events: Vec<(usize, LeaseEvent)>,
}

fn lease_config() -> LeaseConfig {
    LeaseConfig {
        voters: ["b0", "b1", "b2"].map(Rc::from).into(),
        duration: DEFAULT_LEASE_DURATION_US,
    }
}

impl Fleet {
    fn new(members: usize, leases: &[&str]) -> Self {
        let names: Vec<Rc<str>> = (0..members).map(|n| Rc::from(format!("b{n}"))).collect();
        let managers = names.iter().enumerate().map(|(n, name)| {
            let mut manager =
                LeaseManager::new(0, lease_config(), Rc::clone(name), n as u64 + 1, 1_000);
            manager.set_leases(
                0,
                leases.iter().map(|name| Lease::new(name, None)).collect(),
            );
            manager
        });
        let managers = managers.collect();
        Self {
            now: 0,
            managers,
            names,
            disconnected: Vec::new(),
            alive: (0..members).collect(),
            events: Vec::new(),
        }
    }

    fn run(&mut self, duration: Micros) {
        for _ in 0..duration / MS {
            self.now += MS;
            let candidate = |n: &usize| Candidate {
                name: Rc::clone(&self.names[*n]),
                zone: "a".into(),
            };
            let alive: Vec<Candidate> = self.alive.iter().map(candidate).collect();
            for n in 0..self.managers.len() {
                if self.managers[n].next_timer() <= self.now && !self.disconnected.contains(&n) {
                    self.managers[n].run_timers(self.now, &alive, true);
                }
                let (messages, events) = (
                    self.managers[n].take_messages(),
                    self.managers[n].take_events(),
                );
                self.events
                    .extend(events.into_iter().map(|event| (n, event)));
                for AddressedMessage { to, message } in messages {
                    let to = self.names.iter().position(|name| *name == to).unwrap();
                    if !self.disconnected.contains(&n) && !self.disconnected.contains(&to) {
                        let (name, incarnation) = (Rc::clone(&self.names[n]), n as u64 + 1);
                        self.managers[to].receive(self.now, &name, incarnation, &message);
                    }
                }
            }
        }
    }

    fn holders(&self, lease: &str) -> Vec<usize> {
        let id = LeaseId::from_name(lease);
        (0..self.managers.len())
            .filter(|&n| self.managers[n].holds(self.now, id, 0).is_some())
            .collect()
    }
}

#[test]
fn each_lease_has_one_holder_that_does_not_change() {
    let mut fleet = Fleet::new(6, &["a", "b", "c", "d"]);
    fleet.run(2_000 * MS);
    // Voters that have just started grant nothing for the longest lease duration.
    assert!(
        ["a", "b", "c", "d"]
            .iter()
            .all(|lease| fleet.holders(lease).is_empty())
    );
    fleet.run(3_000 * MS);
    let first_holders: Vec<_> = ["a", "b", "c", "d"]
        .map(|lease| fleet.holders(lease))
        .into();
    assert!(
        first_holders.iter().all(|holders| holders.len() == 1),
        "{first_holders:?}"
    );
    fleet.run(30 * SECOND);
    let acquired_count = fleet
        .events
        .iter()
        .filter(|(_, event)| matches!(event, LeaseEvent::Acquired { .. }))
        .count();
    assert_eq!(acquired_count, 4);
    // All other members have recorded the term that the holder announced.
    let term = fleet.managers[first_holders[0][0]].holds(fleet.now, LeaseId::from_name("a"), 0);
    assert!(
        fleet
            .managers
            .iter()
            .all(|manager| manager.greatest_known_term(LeaseId::from_name("a")) == term)
    );
}

#[test]
fn disconnected_holder_loses_its_lease_before_another_member_acquires_it() {
    let mut fleet = Fleet::new(5, &["a"]);
    fleet.run(5 * SECOND);
    let first_holder = fleet.holders("a")[0];
    fleet.disconnected = vec![first_holder];
    let disconnected_at = fleet.now;
    while fleet.holders("a") == [first_holder] {
        fleet.run(MS);
    }
    assert!(fleet.now - disconnected_at <= DEFAULT_LEASE_DURATION_US);
    let lost_at = fleet.now;
    fleet.alive.retain(|n| *n != first_holder);
    while fleet.holders("a").is_empty() {
        fleet.run(MS);
    }
    assert!(fleet.now - lost_at < 600 * MS, "{} us", fleet.now - lost_at);
    assert_ne!(fleet.holders("a"), [first_holder]);
}

#[test]
fn released_lease_has_a_new_holder_within_300_ms() {
    let mut fleet = Fleet::new(5, &["a"]);
    fleet.run(5 * SECOND);
    let first_holder = fleet.holders("a")[0];
    fleet.managers[first_holder].stop(fleet.now);
    let released_at = fleet.now;
    while fleet.holders("a").is_empty() {
        fleet.run(MS);
    }
    assert!(
        fleet.now - released_at < 300 * MS,
        "{} us",
        fleet.now - released_at
    );
}

#[test]
fn without_a_quorum_no_lease_is_held_and_the_loss_is_reported() {
    let mut fleet = Fleet::new(5, &["a"]);
    fleet.run(5 * SECOND);
    fleet.disconnected = vec![0, 1];
    fleet.alive = vec![2, 3, 4];
    fleet.run(6 * SECOND);
    assert!((2..5).all(|n| {
        fleet.managers[n]
            .holds(fleet.now, LeaseId::from_name("a"), 0)
            .is_none()
    }));
    assert!(
        fleet
            .events
            .iter()
            .any(|(_, event)| *event == LeaseEvent::QuorumLost)
    );
    // Both voters restart without their grants. They grant nothing at first; then one member holds
    // the lease under a later term.
    let earlier_term = fleet.managers[2]
        .greatest_known_term(LeaseId::from_name("a"))
        .unwrap();
    for n in [0, 1] {
        fleet.managers[n] = LeaseManager::new(
            fleet.now,
            lease_config(),
            Rc::clone(&fleet.names[n]),
            n as u64 + 50,
            1_000,
        );
        fleet.managers[n].set_leases(fleet.now, vec![Lease::new("a", None)]);
    }
    (fleet.disconnected, fleet.alive) = (vec![], (0..5).collect());
    fleet.run(2 * SECOND);
    assert!(fleet.holders("a").is_empty());
    fleet.run(6 * SECOND);
    let holder = fleet.holders("a");
    assert_eq!(holder.len(), 1);
    assert!(
        fleet.managers[holder[0]].holds(fleet.now, LeaseId::from_name("a"), 0) > Some(earlier_term)
    );
}

#[test]
fn member_paused_repeatedly_releases_its_leases() {
    let mut fleet = Fleet::new(4, &["a"]);
    fleet.run(5 * SECOND);
    let first_holder = fleet.holders("a")[0];
    for _ in 0..MAX_PAUSES {
        fleet.run(400 * MS);
        let now = fleet.now;
        fleet.managers[first_holder].record_pause(now);
    }
    fleet.run(2 * SECOND);
    assert!(fleet.holders("a").len() == 1 && fleet.holders("a") != [first_holder]);
    let is_lost_by_pauses = |event: &LeaseEvent| {
        matches!(
            event,
            LeaseEvent::Lost {
                reason: LossReason::ProcessPaused,
                ..
            }
        )
    };
    assert!(
        fleet
            .events
            .iter()
            .any(|(n, event)| *n == first_holder && is_lost_by_pauses(event))
    );
}

/// Majorities of two operator files with different voters need not share a voter.
#[test]
fn voter_grants_nothing_to_a_member_with_other_voters() {
    let mut fleet = Fleet::new(4, &["a"]);
    let other_config = LeaseConfig {
        voters: ["b0", "b1", "b3"].map(Rc::from).into(),
        duration: DEFAULT_LEASE_DURATION_US,
    };
    fleet.managers[3] = LeaseManager::new(0, other_config, "b3".into(), 4, 1_000);
    fleet.managers[3].set_leases(0, vec![Lease::new("a", None)]);
    fleet.run(8 * SECOND);
    assert!(
        fleet.managers[3]
            .holds(fleet.now, LeaseId::from_name("a"), 0)
            .is_none()
    );
    assert!(
        fleet
            .events
            .iter()
            .any(|(_, event)| *event == LeaseEvent::VotersDiffer("b3".into()))
    );
}

#[rstest]
#[case::at_the_start(0, 0, Err(()))]
#[case::before_the_end_of_the_startup_wait(
    0,
    with_clock_margin(MAX_LEASE_DURATION_US) - 1,
    Err(())
)]
#[case::after_the_startup_wait(0, with_clock_margin(MAX_LEASE_DURATION_US), Ok(()))]
#[case::duration_over_the_maximum(
    MAX_LEASE_DURATION_US,
    with_clock_margin(MAX_LEASE_DURATION_US),
    Err(())
)]
fn voter_grants_nothing_during_the_startup_wait(
    #[case] additional_duration: Micros,
    #[case] now: Micros,
    #[case] expected: Result<(), ()>,
) {
    let mut voter = Voter::new(0, None);
    let bid = voter.bid(
        now,
        LeaseId(1),
        Term {
            number: 1,
            incarnation_id: 1,
        },
        DEFAULT_LEASE_DURATION_US + additional_duration,
    );
    assert_eq!(bid.map_err(|_| ()), expected);
}

/// A voter has granted a lease once at time 10 s. Each case is its vote on a further bid.
#[rstest]
#[case::renewal(9, 7, 100 * MS, true)]
#[case::later_term_before_expiry(10, 8, 100 * MS, false)]
#[case::later_term_just_before_expiry(
    10,
    8,
    with_clock_margin(DEFAULT_LEASE_DURATION_US) - 1,
    false
)]
#[case::later_term_at_expiry(10, 8, with_clock_margin(DEFAULT_LEASE_DURATION_US), true)]
#[case::earlier_term(8, 8, 10 * SECOND, false)]
#[case::same_number_of_another_incarnation(9, 6, 10 * SECOND, false)]
fn voter_grants_one_bidder_at_a_time(
    #[case] number: u64,
    #[case] incarnation_id: u64,
    #[case] elapsed: Micros,
    #[case] granted: bool,
) {
    let mut voter = Voter::new(0, None);
    let granted_at = 10 * SECOND;
    voter
        .bid(
            granted_at,
            LeaseId(1),
            Term {
                number: 9,
                incarnation_id: 7,
            },
            DEFAULT_LEASE_DURATION_US,
        )
        .unwrap();
    let bid = voter.bid(
        granted_at + elapsed,
        LeaseId(1),
        Term {
            number,
            incarnation_id,
        },
        DEFAULT_LEASE_DURATION_US,
    );
    assert_eq!(bid.is_ok(), granted);
}

#[test]
fn release_applies_only_to_its_own_term_which_cannot_be_granted_again() {
    let (mut voter, at) = (Voter::new(0, None), 10 * SECOND);
    let term = |number| Term {
        number,
        incarnation_id: 7,
    };
    voter
        .bid(at, LeaseId(1), term(9), DEFAULT_LEASE_DURATION_US)
        .unwrap();
    voter.release(at, LeaseId(1), term(8));
    assert!(voter.status(at, LeaseId(1)).available_in_us > 0);
    voter.release(at, LeaseId(1), term(9));
    assert_eq!(voter.status(at, LeaseId(1)).available_in_us, 0);
    // A renewal that was in transit when the term was released is refused.
    assert!(
        voter
            .bid(at, LeaseId(1), term(9), DEFAULT_LEASE_DURATION_US)
            .is_err()
    );
    voter
        .bid(at, LeaseId(1), term(10), DEFAULT_LEASE_DURATION_US)
        .unwrap();
    voter.release(at, LeaseId(1), term(9));
    assert!(voter.status(at, LeaseId(1)).available_in_us > 0);
}

#[test]
fn stale_commands_are_rejected_and_their_sender_is_notified() {
    let mut fleet = Fleet::new(2, &["a"]);
    let (lease, sender) = (LeaseId::from_name("a"), Rc::from("b0"));
    let command = |number| LeaseMessage::Command {
        lease,
        term: Term {
            number,
            incarnation_id: 1,
        },
        body: vec![1],
    };
    let receiver = &mut fleet.managers[1];
    [5, 7, 6]
        .into_iter()
        .for_each(|number| receiver.receive(0, &sender, 1, &command(number)));
    let accepted_count = receiver
        .take_events()
        .into_iter()
        .filter(|event| matches!(event, LeaseEvent::CommandReceived { .. }))
        .count();
    assert_eq!((accepted_count, receiver.stale_command_count()), (2, 1));
    let known = Term {
        number: 7,
        incarnation_id: 1,
    };
    assert!(receiver.take_messages().contains(&AddressedMessage {
        to: sender,
        message: LeaseMessage::StaleTerm { lease, term: known }
    }));
}
