use rstest::rstest;

use super::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Members with voters among them, and all that lies between them.
struct Fleet {
    now: Micros,
    all: Vec<Duties>,
    names: Vec<Rc<str>>,
    /// Nobody hears these, and they hear nobody.
    cut: Vec<usize>,
    present: Vec<usize>,
    events: Vec<(usize, DutyEvent)>,
}

fn terms() -> DutyTerms {
    DutyTerms {
        voters: ["b0", "b1", "b2"].map(Rc::from).into(),
        lease: LEASE_USUAL,
    }
}

impl Fleet {
    fn new(members: usize, duties: &[&str]) -> Self {
        let names: Vec<Rc<str>> = (0..members).map(|n| Rc::from(format!("b{n}"))).collect();
        let all = names.iter().enumerate().map(|(n, name)| {
            let mut one = Duties::new(0, terms(), Rc::clone(name), n as u64 + 1, 1_000);
            one.want(0, duties.iter().map(|name| Duty::new(name, None)).collect());
            one
        });
        let all = all.collect();
        Self {
            now: 0,
            all,
            names,
            cut: Vec::new(),
            present: (0..members).collect(),
            events: Vec::new(),
        }
    }

    fn run(&mut self, span: Micros) {
        for _ in 0..span / MS {
            self.now += MS;
            let place = |n: &usize| Place {
                name: Rc::clone(&self.names[*n]),
                zone: "a".into(),
            };
            let present: Vec<Place> = self.present.iter().map(place).collect();
            for n in 0..self.all.len() {
                if self.all[n].next_due() <= self.now && !self.cut.contains(&n) {
                    self.all[n].due(self.now, &present, true);
                }
                let (frames, events) = (self.all[n].take_frames(), self.all[n].take_events());
                self.events
                    .extend(events.into_iter().map(|event| (n, event)));
                for (to, frame) in frames {
                    let to = self.names.iter().position(|name| *name == to).unwrap();
                    if !self.cut.contains(&n) && !self.cut.contains(&to) {
                        let (name, life) = (Rc::clone(&self.names[n]), n as u64 + 1);
                        self.all[to].heard(self.now, &name, life, &frame);
                    }
                }
            }
        }
    }

    fn holders(&self, duty: &str) -> Vec<usize> {
        let id = DutyId::of(duty);
        (0..self.all.len())
            .filter(|&n| self.all[n].holds(self.now, id, 0).is_some())
            .collect()
    }
}

#[test]
fn each_duty_has_one_holder_and_keeps_it() {
    let mut fleet = Fleet::new(6, &["a", "b", "c", "d"]);
    fleet.run(2_000 * MS);
    // Voters that have just started are silent for the longest lease.
    assert!(
        ["a", "b", "c", "d"]
            .iter()
            .all(|duty| fleet.holders(duty).is_empty())
    );
    fleet.run(3_000 * MS);
    let first: Vec<_> = ["a", "b", "c", "d"].map(|duty| fleet.holders(duty)).into();
    assert!(first.iter().all(|holders| holders.len() == 1), "{first:?}");
    fleet.run(30 * SECOND);
    let taken = fleet
        .events
        .iter()
        .filter(|(_, event)| matches!(event, DutyEvent::Taken { .. }))
        .count();
    assert_eq!(taken, 4);
    // All others know the term, by what the holder announced.
    let term = fleet.all[first[0][0]].holds(fleet.now, DutyId::of("a"), 0);
    assert!(
        fleet
            .all
            .iter()
            .all(|one| one.known(DutyId::of("a")) == term)
    );
}

#[test]
fn a_holder_that_is_cut_off_loses_its_duty_before_another_takes_it() {
    let mut fleet = Fleet::new(5, &["a"]);
    fleet.run(5 * SECOND);
    let first = fleet.holders("a")[0];
    fleet.cut = vec![first];
    let cut_at = fleet.now;
    while fleet.holders("a") == [first] {
        fleet.run(MS);
    }
    assert!(fleet.now - cut_at <= LEASE_USUAL);
    let lost_at = fleet.now;
    fleet.present.retain(|n| *n != first);
    while fleet.holders("a").is_empty() {
        fleet.run(MS);
    }
    assert!(fleet.now - lost_at < 600 * MS, "{} us", fleet.now - lost_at);
    assert_ne!(fleet.holders("a"), [first]);
}

#[test]
fn who_lets_go_is_followed_within_the_third_of_a_second() {
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
fn without_a_majority_of_voters_nobody_holds_and_that_is_said() {
    let mut fleet = Fleet::new(5, &["a"]);
    fleet.run(5 * SECOND);
    fleet.cut = vec![0, 1];
    fleet.present = vec![2, 3, 4];
    fleet.run(6 * SECOND);
    assert!((2..5).all(|n| fleet.all[n].holds(fleet.now, DutyId::of("a"), 0).is_none()));
    assert!(
        fleet
            .events
            .iter()
            .any(|(_, event)| *event == DutyEvent::NoMajority)
    );
    // Both come back with nothing kept: silent at first, then one holds it, by a later term.
    let before = fleet.all[2].known(DutyId::of("a")).unwrap();
    for n in [0, 1] {
        fleet.all[n] = Duties::new(
            fleet.now,
            terms(),
            Rc::clone(&fleet.names[n]),
            n as u64 + 50,
            1_000,
        );
        fleet.all[n].want(fleet.now, vec![Duty::new("a", None)]);
    }
    (fleet.cut, fleet.present) = (vec![], (0..5).collect());
    fleet.run(2 * SECOND);
    assert!(fleet.holders("a").is_empty());
    fleet.run(6 * SECOND);
    let holder = fleet.holders("a");
    assert_eq!(holder.len(), 1);
    assert!(fleet.all[holder[0]].holds(fleet.now, DutyId::of("a"), 0) > Some(before));
}

#[test]
fn who_is_stopped_again_and_again_gives_its_duties_up() {
    let mut fleet = Fleet::new(4, &["a"]);
    fleet.run(5 * SECOND);
    let first = fleet.holders("a")[0];
    for _ in 0..PAUSES.0 {
        fleet.run(400 * MS);
        let now = fleet.now;
        fleet.all[first].paused(now);
    }
    fleet.run(2 * SECOND);
    assert!(fleet.holders("a").len() == 1 && fleet.holders("a") != [first]);
    let why = |event: &DutyEvent| {
        matches!(
            event,
            DutyEvent::Lost {
                why: Why::Pauses,
                ..
            }
        )
    };
    assert!(
        fleet
            .events
            .iter()
            .any(|(n, event)| *n == first && why(event))
    );
}

/// Two files with different voters would have majorities that share no voter.
#[test]
fn a_voter_grants_nothing_to_who_has_other_voters_in_its_file() {
    let mut fleet = Fleet::new(4, &["a"]);
    let other = DutyTerms {
        voters: ["b0", "b1", "b3"].map(Rc::from).into(),
        lease: LEASE_USUAL,
    };
    fleet.all[3] = Duties::new(0, other, "b3".into(), 4, 1_000);
    fleet.all[3].want(0, vec![Duty::new("a", None)]);
    fleet.run(8 * SECOND);
    assert!(fleet.all[3].holds(fleet.now, DutyId::of("a"), 0).is_none());
    assert!(
        fleet
            .events
            .iter()
            .any(|(_, event)| *event == DutyEvent::VotersDiffer("b3".into()))
    );
}

#[rstest]
#[case::not_asked_yet(0, 0, Err(()))]
#[case::silent_at_first(0, guarded(LEASE_MOST) - 1, Err(()))]
#[case::then_granted(0, guarded(LEASE_MOST), Ok(()))]
#[case::longer_than_any_lease(LEASE_MOST, guarded(LEASE_MOST), Err(()))]
fn a_voter_that_started_is_silent(
    #[case] more: Micros,
    #[case] now: Micros,
    #[case] granted: Result<(), ()>,
) {
    let mut voter = Voter::new(0, None);
    let claim = voter.claim(
        now,
        DutyId(1),
        Term { number: 1, life: 1 },
        LEASE_USUAL + more,
    );
    assert_eq!(claim.map_err(|_| ()), granted);
}

/// A voter after one grant of a lease at time 10 s, and what it then says to a claim.
#[rstest]
#[case::renewed(9, 7, 100 * MS, true)]
#[case::another_while_it_runs(10, 8, 100 * MS, false)]
#[case::a_hair_too_early(10, 8, guarded(LEASE_USUAL) - 1, false)]
#[case::when_it_ran_out(10, 8, guarded(LEASE_USUAL), true)]
#[case::an_older_term(8, 8, 10 * SECOND, false)]
#[case::one_number_of_another_life(9, 6, 10 * SECOND, false)]
fn a_voter_grants_one_claimant_at_a_time(
    #[case] number: u64,
    #[case] life: u64,
    #[case] after: Micros,
    #[case] granted: bool,
) {
    let mut voter = Voter::new(0, None);
    let at = 10 * SECOND;
    voter
        .claim(at, DutyId(1), Term { number: 9, life: 7 }, LEASE_USUAL)
        .unwrap();
    let claim = voter.claim(at + after, DutyId(1), Term { number, life }, LEASE_USUAL);
    assert_eq!(claim.is_ok(), granted);
}

#[test]
fn a_release_frees_its_own_turn_only_and_uses_it_up() {
    let (mut voter, at) = (Voter::new(0, None), 10 * SECOND);
    let term = |number| Term { number, life: 7 };
    voter.claim(at, DutyId(1), term(9), LEASE_USUAL).unwrap();
    voter.release(at, DutyId(1), term(8));
    assert!(voter.told(at, DutyId(1)).left > 0);
    voter.release(at, DutyId(1), term(9));
    assert_eq!(voter.told(at, DutyId(1)).left, 0);
    // A renewal that was on its way when it was let go.
    assert!(voter.claim(at, DutyId(1), term(9), LEASE_USUAL).is_err());
    voter.claim(at, DutyId(1), term(10), LEASE_USUAL).unwrap();
    voter.release(at, DutyId(1), term(9));
    assert!(voter.told(at, DutyId(1)).left > 0);
}

#[test]
fn acts_of_older_terms_are_not_taken_and_their_holder_hears_why() {
    let mut fleet = Fleet::new(2, &["a"]);
    let (duty, sender) = (DutyId::of("a"), Rc::from("b0"));
    let act = |number| DutyFrame::Act {
        duty,
        term: Term { number, life: 1 },
        body: vec![1],
    };
    let one = &mut fleet.all[1];
    [5, 7, 6]
        .into_iter()
        .for_each(|number| one.heard(0, &sender, 1, &act(number)));
    let taken = one
        .take_events()
        .into_iter()
        .filter(|event| matches!(event, DutyEvent::Acted { .. }))
        .count();
    assert_eq!((taken, one.old_refused), (2, 1));
    let known = Term { number: 7, life: 1 };
    assert!(
        one.take_frames()
            .contains(&(sender, DutyFrame::Old { duty, term: known }))
    );
}
