use rstest::rstest;

use super::*;
use crate::membership::table::Standing;
use crate::membership::table::{Proof, Unknown};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn part(number: u16) -> Part {
    let address = |number| SocketAddr::from(([127, 0, 0, 1], 7_000 + number));
    Part {
        fleet: "f".into(),
        name: format!("b{number}"),
        zone: "a".into(),
        address: address(number),
        seeds: vec![address(0)],
        born: 1_000 + u64::from(number),
        probe_every: Part::PROBE_EVERY,
        answer_within: Part::ANSWER_WITHIN,
        doubt_least: Part::DOUBT_LEAST,
        struck: BTreeSet::new(),
    }
}

fn accord(number: u16) -> Accord {
    Accord::new(
        part(number),
        Key::new(b"0123456789abcdef").unwrap(),
        u64::from(number),
        0,
    )
}

/// Carries all that is sent for a span, a millisecond a way, past who is named as not heard.
fn carry(all: &mut [Accord], from: Micros, to: Micros, unheard: &[usize]) {
    for now in (from..to).step_by(MS as usize) {
        let sent: Vec<_> = all
            .iter_mut()
            .enumerate()
            .map(|(n, one)| (n, one.take_datagrams()))
            .collect();
        for (n, sent) in sent {
            for (to, bytes) in sent {
                let at = usize::from(to.port() - 7_000);
                if !unheard.contains(&n) && !unheard.contains(&at) && at < all.len() {
                    all[at].heard(now, &bytes);
                }
            }
        }
        all.iter_mut().for_each(|one| one.due(now));
    }
}

fn states(one: &Accord) -> Vec<State> {
    let mut members: Vec<_> = one
        .table
        .members
        .iter()
        .map(|m| (m.record.name.clone(), m.record.state))
        .collect();
    members.sort();
    members.into_iter().map(|member| member.1).collect()
}

#[test]
fn all_know_each_other_by_one_seed() {
    let mut all: Vec<Accord> = (0..5).map(accord).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    assert!(all.iter().all(|one| states(one) == [State::Present; 4]));
    assert!(all.iter().all(|one| one.tally().dropped.is_empty()));
}

#[test]
fn who_is_silent_is_gone_after_a_doubt_and_back_when_heard() {
    let mut all: Vec<Accord> = (0..4).map(accord).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    all[0].take_events();
    carry(&mut all, 3 * SECOND, 10 * SECOND, &[3]);
    let name: Rc<str> = "b3".into();
    assert_eq!(
        all[0].take_events(),
        [
            Event::Doubted(Rc::clone(&name)),
            Event::Gone(Rc::clone(&name))
        ]
    );
    assert_eq!(
        (
            all[0].table.may_be_serving(),
            all[0].table.present().count()
        ),
        (3, 2)
    );
    carry(&mut all, 10 * SECOND, 12 * SECOND, &[]);
    let told = all[0].take_events();
    assert!(told.contains(&Event::Returned(name)), "{told:?}");
    assert!(all.iter().all(|one| states(one) == [State::Present; 3]));
}

#[test]
fn who_leaves_is_proven_gone_at_once() {
    let mut all: Vec<Accord> = (0..4).map(accord).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    all[2].leave(3 * SECOND);
    carry(&mut all, 3 * SECOND, 3 * SECOND + 300 * MS, &[]);
    assert!(
        [0, 1, 3]
            .iter()
            .all(|&n| all[n].table.may_be_serving() == 2)
    );
}

/// A process that was stopped finds all its time-outs over at once, and would call everybody dead.
#[rstest]
#[case::stopped(20 * SECOND, true)]
#[case::a_little_late(200 * MS, false)]
fn who_slept_doubts_nobody_until_it_is_heard(#[case] lasted: Micros, #[case] slept: bool) {
    let mut all: Vec<Accord> = (0..4).map(accord).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    all[1].take_events();
    all[1].due(3 * SECOND + lasted);
    assert_eq!(
        (all[1].is_heard(), all[1].slept()),
        (!slept, u64::from(slept))
    );
    // Nobody hears it: however long it waits, it judges nobody.
    for at in 0..100 {
        all[1].due(3 * SECOND + lasted + at * 100 * MS);
    }
    let judged = all[1]
        .take_events()
        .iter()
        .any(|event| matches!(event, Event::Doubted(_) | Event::Gone(_)));
    assert_eq!(judged, !slept);
}

/// The carrier's clock goes on by itself; a wall clock that jumps is seen only as `born`.
#[test]
fn time_that_seems_to_go_back_changes_nothing() {
    let mut all: Vec<Accord> = (0..2).map(accord).collect();
    carry(&mut all, 0, 2 * SECOND, &[]);
    all[0].due(SECOND);
    assert!(all[0].is_heard() && all[0].next_due() > 2 * SECOND - MS);
}

#[test]
fn who_comes_back_without_memory_and_with_its_clock_set_back_is_taken_in() {
    let mut all: Vec<Accord> = (0..3).map(accord).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    all[2] = Accord::new(
        Part { born: 7, ..part(2) },
        Key::new(b"0123456789abcdef").unwrap(),
        99,
        3 * SECOND,
    );
    carry(&mut all, 3 * SECOND, 6 * SECOND, &[]);
    let life = all[2].life();
    for one in &all[..2] {
        let known = one.table.named("b2").unwrap();
        assert_eq!(
            (
                known.record.life,
                known.record.state,
                one.table.may_serve(known)
            ),
            (life, State::Present, 1)
        );
    }
    assert!(!all[2].table.name_is_taken());
}

#[test]
fn of_two_processes_of_one_name_the_later_keeps_quiet() {
    let mut all: Vec<Accord> = (0..3).map(accord).collect();
    let elsewhere = Part {
        address: SocketAddr::from(([127, 0, 0, 1], 7_003)),
        born: 9_000,
        ..part(1)
    };
    all.push(Accord::new(
        elsewhere,
        Key::new(b"0123456789abcdef").unwrap(),
        50,
        0,
    ));
    carry(&mut all, 0, 10 * SECOND, &[]);
    assert!(all[3].take_events().contains(&Event::NameTaken));
    let told = all[3].tally().sent;
    carry(&mut all, 10 * SECOND, 12 * SECOND, &[]);
    assert_eq!(all[3].tally().sent, told);
    // Both may be serving, whoever speaks.
    assert_eq!(all[0].table.may_serve(all[0].table.named("b1").unwrap()), 2);
}

/// A machine that died for good would be counted for ever; the operators may say so, and may be wrong.
#[test]
fn the_operators_word_goes_for_who_is_silent_until_it_is_heard() {
    let mut all: Vec<Accord> = (0..3).map(accord).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    let (life, own) = (all[2].life(), all[0].part.clone());
    let struck = [(Rc::from("b2"), life)].into();
    all[0].renew(
        &Part { struck, ..own },
        Key::new(b"0123456789abcdef").unwrap(),
    );
    // It is there: the word does not go for it.
    let standing = |one: &Accord| one.table.standing("b2", life).unwrap();
    assert_eq!(
        (standing(&all[0]), all[0].table.may_be_serving()),
        (Standing::MayServe(Unknown::Present), 2)
    );
    carry(&mut all, 3 * SECOND, 5 * SECOND, &[]);
    assert!(
        all[0]
            .take_events()
            .contains(&Event::StruckHeard("b2".into()))
    );
    all[2] = Accord::new(
        part(2),
        Key::new(b"0123456789abcdef").unwrap(),
        77,
        5 * SECOND,
    );
    carry(&mut all, 5 * SECOND, 8 * SECOND, &[]);
    let life = all[2].life();
    let standing = |one: &Accord| one.table.standing("b2", life).unwrap();
    carry(&mut all, 8 * SECOND, 15 * SECOND, &[2]);
    all[0].table.strike([(Rc::from("b2"), life)].into());
    assert_eq!(
        (standing(&all[0]), all[0].table.may_be_serving()),
        (Standing::ProvenGone(Proof::Struck), 1)
    );
    assert_eq!(all[1].table.may_be_serving(), 2);
    all[0].take_events();
    carry(&mut all, 15 * SECOND, 17 * SECOND, &[]);
    assert!(
        all[0]
            .take_events()
            .contains(&Event::StruckHeard("b2".into()))
    );
    carry(&mut all, 17 * SECOND, 25 * SECOND, &[2]);
    // Said once more of the same process: it was heard after the first time, and counts.
    all[0].table.strike([(Rc::from("b2"), life)].into());
    assert_eq!(
        (standing(&all[0]), all[0].table.may_be_serving()),
        (Standing::MayServe(Unknown::Silent), 2)
    );
}

/// Ten thousand a second from a stranger: each costs a hash, and nothing else happens.
#[test]
fn strangers_and_listeners_change_nothing() {
    let mut all: Vec<Accord> = (0..3).map(accord).collect();
    carry(&mut all, 0, 2 * SECOND, &[]);
    all[0].take_datagrams();
    all[1].due(2 * SECOND + 400 * MS);
    let sent = all[1]
        .take_datagrams()
        .into_iter()
        .find(|(to, _)| to.port() == 7_000)
        .unwrap()
        .1;
    all[0].heard(2 * SECOND + 400 * MS, &sent);
    let (taken, members) = (all[0].tally().taken, all[0].table.members.len());
    for number in 0..1_000 {
        all[0].heard(2 * SECOND + 400 * MS, &sent);
        let mut spoilt = sent.clone();
        spoilt[number % sent.len()] ^= 1;
        all[0].heard(2 * SECOND + 400 * MS, &spoilt);
    }
    let dropped = &all[0].tally().dropped;
    assert_eq!(
        (all[0].tally().taken, all[0].table.members.len()),
        (taken, members)
    );
    assert_eq!(
        (dropped[&Drop::Replayed], dropped[&Drop::Hash]),
        (1_000, 1_000)
    );
}

/// A file without voters and then with them again: what was let go is taken anew, by a later term.
#[test]
fn duties_that_were_left_are_taken_again() {
    let mut all: Vec<Accord> = (0..3).map(accord).collect();
    let terms = || DutyTerms {
        voters: vec!["b0".into(), "b1".into(), "b2".into()],
        lease: 1_500 * MS,
    };
    let take = |all: &mut [Accord], now| {
        all.iter_mut()
            .for_each(|one| one.take_duties(now, terms(), vec![Duty::new("d", None)]));
    };
    let holders = |all: &[Accord], now| -> Vec<duties::term::Term> {
        let held = |one: &Accord| {
            one.duties()
                .and_then(|duties| duties.holds(now, DutyId::of("d"), 0))
        };
        all.iter().filter_map(held).collect()
    };
    take(&mut all, 0);
    carry(&mut all, 0, 6 * SECOND, &[]);
    let first = holders(&all, 6 * SECOND);
    all.iter_mut().for_each(|one| one.leave_duties(6 * SECOND));
    carry(&mut all, 6 * SECOND, 8 * SECOND, &[]);
    assert_eq!((first.len(), holders(&all, 8 * SECOND).len()), (1, 0));
    take(&mut all, 8 * SECOND);
    carry(&mut all, 8 * SECOND, 14 * SECOND, &[]);
    let second = holders(&all, 14 * SECOND);
    assert!(second.len() == 1 && second > first, "{first:?} {second:?}");
}

/// Names as long as may be and numbers as great: a frame that does not fit would never be sent, and its duties never held.
#[test]
fn what_a_voter_tells_of_as_many_duties_as_it_may_fits_into_a_datagram() {
    let long = "n".repeat(frames::NAME_MOST);
    let part = Part {
        fleet: long.clone(),
        name: long.clone(),
        zone: long,
        born: u64::MAX,
        ..part(0)
    };
    let mut one = Accord::new(part, Key::new(b"0123456789abcdef").unwrap(), 1, 0);
    let term = duties::term::Term {
        number: u64::MAX,
        life: u64::MAX,
    };
    let told = duties::voter::Told {
        duty: DutyId(u32::MAX),
        term: Some(term),
        left: u32::MAX,
    };
    let told = vec![told; duties::frames::NAMED_MOST];
    let frame = duties::frames::DutyFrame::Told {
        round: u32::MAX,
        told,
    };
    one.counter = u64::MAX - 1;
    // With the record of whom it is sent to, who is doubted.
    let doubted = Record {
        state: State::Doubted,
        by: u64::MAX,
        ..one.table.own.clone()
    };
    one.send(
        "127.0.0.1:7001".parse().unwrap(),
        Frame::Duty(frame),
        vec![doubted],
    );
    assert_eq!(one.take_datagrams().len(), 1);
}

#[test]
fn few_members_hold_many_duties() {
    let mut all: Vec<Accord> = (0..3).map(accord).collect();
    for one in &mut all {
        let terms = DutyTerms {
            voters: vec!["b0".into(), "b1".into(), "b2".into()],
            lease: 1_500 * MS,
        };
        one.take_duties(
            0,
            terms,
            (0..200)
                .map(|n| Duty::new(&format!("d{n}"), None))
                .collect(),
        );
    }
    carry(&mut all, 0, 8 * SECOND, &[]);
    let held = |one: &Accord| {
        one.duties()
            .map_or(0, |duties| duties.held(8 * SECOND).count())
    };
    let held: Vec<usize> = all.iter().map(held).collect();
    assert_eq!(held.iter().sum::<usize>(), 200, "{held:?}");
    assert!(held.iter().all(|&count| count <= 87), "{held:?}");
}
