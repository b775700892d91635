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

/// Members with voters among them, and the network between them.
struct Fleet {
    now: Micros,
    all: Vec<LeaseManager>,
    names: Vec<Rc<str>>,
    /// These members neither send nor receive.
    cut: Vec<usize>,
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
        let all = names.iter().enumerate().map(|(n, name)| {
            let mut one =
                LeaseManager::new(0, lease_config(), Rc::clone(name), n as u64 + 1, 1_000);
            one.set_leases(
                0,
                leases.iter().map(|name| Lease::new(name, None)).collect(),
            );
            one
        });
        let all = all.collect();
        Self {
            now: 0,
            all,
            names,
            cut: Vec::new(),
            alive: (0..members).collect(),
            events: Vec::new(),
        }
    }

    fn run(&mut self, span: Micros) {
        for _ in 0..span / MS {
            self.now += MS;
            let index = |n: &usize| Candidate {
                name: Rc::clone(&self.names[*n]),
                zone: "a".into(),
            };
            let alive: Vec<Candidate> = self.alive.iter().map(index).collect();
            for n in 0..self.all.len() {
                if self.all[n].next_timer() <= self.now && !self.cut.contains(&n) {
                    self.all[n].run_timers(self.now, &alive, true);
                }
                let (messages, events) = (self.all[n].take_messages(), self.all[n].take_events());
                self.events
                    .extend(events.into_iter().map(|event| (n, event)));
                for AddressedMessage { to, message } in messages {
                    let to = self.names.iter().position(|name| *name == to).unwrap();
                    if !self.cut.contains(&n) && !self.cut.contains(&to) {
                        let (name, incarnation) = (Rc::clone(&self.names[n]), n as u64 + 1);
                        self.all[to].receive(self.now, &name, incarnation, &message);
                    }
                }
            }
        }
    }

    fn holders(&self, lease: &str) -> Vec<usize> {
        let id = LeaseId::from_name(lease);
        (0..self.all.len())
            .filter(|&n| self.all[n].holds(self.now, id, 0).is_some())
            .collect()
    }
}

#[test]
fn each_lease_has_one_holder_and_keeps_it() {
    let mut fleet = Fleet::new(6, &["a", "b", "c", "d"]);
    fleet.run(2_000 * MS);
    // Voters that have just started are silent for the longest lease.
    assert!(
        ["a", "b", "c", "d"]
            .iter()
            .all(|lease| fleet.holders(lease).is_empty())
    );
    fleet.run(3_000 * MS);
    let first: Vec<_> = ["a", "b", "c", "d"]
        .map(|lease| fleet.holders(lease))
        .into();
    assert!(first.iter().all(|holders| holders.len() == 1), "{first:?}");
    fleet.run(30 * SECOND);
    let taken = fleet
        .events
        .iter()
        .filter(|(_, event)| matches!(event, LeaseEvent::Acquired { .. }))
        .count();
    assert_eq!(taken, 4);
    // All others know the term, by what the holder announced.
    let term = fleet.all[first[0][0]].holds(fleet.now, LeaseId::from_name("a"), 0);
    assert!(
        fleet
            .all
            .iter()
            .all(|one| one.greatest_known_term(LeaseId::from_name("a")) == term)
    );
}

#[test]
fn holder_that_is_cut_off_loses_its_lease_before_another_acquires_it() {
    let mut fleet = Fleet::new(5, &["a"]);
    fleet.run(5 * SECOND);
    let first = fleet.holders("a")[0];
    fleet.cut = vec![first];
    let cut_at = fleet.now;
    while fleet.holders("a") == [first] {
        fleet.run(MS);
    }
    assert!(fleet.now - cut_at <= DEFAULT_LEASE_DURATION_US);
    let lost_at = fleet.now;
    fleet.alive.retain(|n| *n != first);
    while fleet.holders("a").is_empty() {
        fleet.run(MS);
    }
    assert!(fleet.now - lost_at < 600 * MS, "{} us", fleet.now - lost_at);
    assert_ne!(fleet.holders("a"), [first]);
}

#[test]
fn released_lease_has_a_new_holder_within_a_third_of_a_second() {
    let mut fleet = Fleet::new(5, &["a"]);
    fleet.run(5 * SECOND);
    let first = fleet.holders("a")[0];
    fleet.all[first].stop(fleet.now);
    let stopped = fleet.now;
    while fleet.holders("a").is_empty() {
        fleet.run(MS);
    }
    assert!(fleet.now - stopped < 300 * MS, "{} us", fleet.now - stopped);
}

#[test]
fn without_a_quorum_nobody_holds_and_that_is_reported() {
    let mut fleet = Fleet::new(5, &["a"]);
    fleet.run(5 * SECOND);
    fleet.cut = vec![0, 1];
    fleet.alive = vec![2, 3, 4];
    fleet.run(6 * SECOND);
    assert!((2..5).all(|n| {
        fleet.all[n]
            .holds(fleet.now, LeaseId::from_name("a"), 0)
            .is_none()
    }));
    assert!(
        fleet
            .events
            .iter()
            .any(|(_, event)| *event == LeaseEvent::QuorumLost)
    );
    // Both restart without memory: silent at first, then one holds it under a later term.
    let before = fleet.all[2]
        .greatest_known_term(LeaseId::from_name("a"))
        .unwrap();
    for n in [0, 1] {
        fleet.all[n] = LeaseManager::new(
            fleet.now,
            lease_config(),
            Rc::clone(&fleet.names[n]),
            n as u64 + 50,
            1_000,
        );
        fleet.all[n].set_leases(fleet.now, vec![Lease::new("a", None)]);
    }
    (fleet.cut, fleet.alive) = (vec![], (0..5).collect());
    fleet.run(2 * SECOND);
    assert!(fleet.holders("a").is_empty());
    fleet.run(6 * SECOND);
    let holder = fleet.holders("a");
    assert_eq!(holder.len(), 1);
    assert!(fleet.all[holder[0]].holds(fleet.now, LeaseId::from_name("a"), 0) > Some(before));
}

#[test]
fn member_paused_repeatedly_releases_its_leases() {
    let mut fleet = Fleet::new(4, &["a"]);
    fleet.run(5 * SECOND);
    let first = fleet.holders("a")[0];
    for _ in 0..MAX_PAUSES {
        fleet.run(400 * MS);
        let now = fleet.now;
        fleet.all[first].record_pause(now);
    }
    fleet.run(2 * SECOND);
    assert!(fleet.holders("a").len() == 1 && fleet.holders("a") != [first]);
    let reason = |event: &LeaseEvent| {
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
            .any(|(n, event)| *n == first && reason(event))
    );
}

/// Two files with different voters would have majorities that share no voter.
#[test]
fn voter_grants_nothing_to_a_member_with_other_voters() {
    let mut fleet = Fleet::new(4, &["a"]);
    let other = LeaseConfig {
        voters: ["b0", "b1", "b3"].map(Rc::from).into(),
        duration: DEFAULT_LEASE_DURATION_US,
    };
    fleet.all[3] = LeaseManager::new(0, other, "b3".into(), 4, 1_000);
    fleet.all[3].set_leases(0, vec![Lease::new("a", None)]);
    fleet.run(8 * SECOND);
    assert!(
        fleet.all[3]
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
#[case::not_asked_yet(0, 0, Err(()))]
#[case::silent_at_first(0, with_clock_margin(MAX_LEASE_DURATION_US) - 1, Err(()))]
#[case::then_granted(0, with_clock_margin(MAX_LEASE_DURATION_US), Ok(()))]
#[case::longer_than_any_lease(MAX_LEASE_DURATION_US, with_clock_margin(MAX_LEASE_DURATION_US), Err(()))]
fn started_voter_is_silent(
    #[case] more: Micros,
    #[case] now: Micros,
    #[case] granted: Result<(), ()>,
) {
    let mut voter = Voter::new(0, None);
    let bid = voter.bid(
        now,
        LeaseId(1),
        Term {
            number: 1,
            incarnation_id: 1,
        },
        DEFAULT_LEASE_DURATION_US + more,
    );
    assert_eq!(bid.map_err(|_| ()), granted);
}

/// A voter after one grant of a lease at time 10 s, and its vote on a further bid.
#[rstest]
#[case::renewed(9, 7, 100 * MS, true)]
#[case::another_while_it_runs(10, 8, 100 * MS, false)]
#[case::a_hair_too_early(10, 8, with_clock_margin(DEFAULT_LEASE_DURATION_US) - 1, false)]
#[case::when_it_ran_out(10, 8, with_clock_margin(DEFAULT_LEASE_DURATION_US), true)]
#[case::an_older_term(8, 8, 10 * SECOND, false)]
#[case::one_number_of_another_life(9, 6, 10 * SECOND, false)]
fn voter_grants_one_bidder_at_a_time(
    #[case] number: u64,
    #[case] incarnation: u64,
    #[case] after: Micros,
    #[case] granted: bool,
) {
    let mut voter = Voter::new(0, None);
    let at = 10 * SECOND;
    voter
        .bid(
            at,
            LeaseId(1),
            Term {
                number: 9,
                incarnation_id: 7,
            },
            DEFAULT_LEASE_DURATION_US,
        )
        .unwrap();
    let bid = voter.bid(
        at + after,
        LeaseId(1),
        Term {
            number,
            incarnation_id: incarnation,
        },
        DEFAULT_LEASE_DURATION_US,
    );
    assert_eq!(bid.is_ok(), granted);
}

#[test]
fn release_frees_its_own_term_only_and_uses_it_up() {
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
    // A renewal that was on its way when it was let go.
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
    let send_command = |number| LeaseMessage::Command {
        lease,
        term: Term {
            number,
            incarnation_id: 1,
        },
        body: vec![1],
    };
    let one = &mut fleet.all[1];
    [5, 7, 6]
        .into_iter()
        .for_each(|number| one.receive(0, &sender, 1, &send_command(number)));
    let taken = one
        .take_events()
        .into_iter()
        .filter(|event| matches!(event, LeaseEvent::CommandReceived { .. }))
        .count();
    assert_eq!((taken, one.stale_command_count()), (2, 1));
    let known = Term {
        number: 7,
        incarnation_id: 1,
    };
    assert!(one.take_messages().contains(&AddressedMessage {
        to: sender,
        message: LeaseMessage::StaleTerm { lease, term: known }
    }));
}
