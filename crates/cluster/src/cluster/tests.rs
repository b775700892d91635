use rstest::rstest;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use super::*;
use crate::datagram::{DropReason, Key};
use crate::leases::term::LeaseId;
use crate::leases::{Lease, LeaseConfig};
use crate::membership::events::MembershipEvent;
use crate::membership::member::{MayServeReason, ServingStatus, StopProof};
use crate::messages::{MemberRecord, MemberState, Message};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn config(number: u16) -> MemberConfig {
    let address = |number| SocketAddr::from(([127, 0, 0, 1], 7_000 + number));
    MemberConfig {
        fleet: "f".into(),
        name: format!("b{number}"),
        zone: "a".into(),
        address: address(number),
        seeds: vec![address(0)],
        started_at_us: 1_000 + u64::from(number),
        probe_interval: MemberConfig::DEFAULT_PROBE_INTERVAL,
        probe_timeout: MemberConfig::DEFAULT_PROBE_TIMEOUT,
        min_suspicion: MemberConfig::DEFAULT_MIN_SUSPICION,
        confirmed_dead: BTreeSet::new(),
    }
}

fn cluster(number: u16) -> Cluster {
    Cluster::new(
        config(number),
        Key::new(b"0123456789abcdef").unwrap(),
        u64::from(number),
        0,
    )
}

/// Delivers all datagrams of a span after a millisecond, but those from and to the members cut off.
fn carry(all: &mut [Cluster], from: Micros, to: Micros, unheard: &[usize]) {
    for now in (from..to).step_by(MS as usize) {
        let sent: Vec<_> = all
            .iter_mut()
            .enumerate()
            .map(|(n, one)| (n, one.take_datagrams()))
            .collect();
        for (n, sent) in sent {
            for OutgoingDatagram { to, bytes } in sent {
                let at = usize::from(to.port() - 7_000);
                if !unheard.contains(&n) && !unheard.contains(&at) && at < all.len() {
                    all[at].receive(now, &bytes);
                }
            }
        }
        all.iter_mut().for_each(|one| one.run_timers(now));
    }
}

fn states(one: &Cluster) -> Vec<MemberState> {
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
fn members_discover_each_other_through_one_seed() {
    let mut all: Vec<Cluster> = (0..5).map(cluster).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    assert!(all.iter().all(|one| states(one) == [MemberState::Alive; 4]));
    assert!(all.iter().all(|one| one.traffic().dropped.is_empty()));
}

#[test]
fn unresponsive_member_is_suspected_then_dead_and_recovers() {
    let mut all: Vec<Cluster> = (0..4).map(cluster).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    all[0].take_events();
    carry(&mut all, 3 * SECOND, 10 * SECOND, &[3]);
    let name: Rc<str> = "b3".into();
    assert_eq!(
        all[0].take_events(),
        [
            MembershipEvent::Suspected(Rc::clone(&name)),
            MembershipEvent::Dead(Rc::clone(&name))
        ]
    );
    assert_eq!(
        (
            all[0].table.count_possibly_serving(),
            all[0].table.alive().count()
        ),
        (3, 2)
    );
    carry(&mut all, 10 * SECOND, 12 * SECOND, &[]);
    let told = all[0].take_events();
    assert!(told.contains(&MembershipEvent::Recovered(name)), "{told:?}");
    assert!(all.iter().all(|one| states(one) == [MemberState::Alive; 3]));
}

#[test]
fn member_that_leaves_is_proven_stopped_at_once() {
    let mut all: Vec<Cluster> = (0..4).map(cluster).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    all[2].leave(3 * SECOND);
    carry(&mut all, 3 * SECOND, 3 * SECOND + 300 * MS, &[]);
    assert!(
        [0, 1, 3]
            .iter()
            .all(|&n| all[n].table.count_possibly_serving() == 2)
    );
}

/// A process that was stopped finds all its time-outs over at once, and would call everybody dead.
#[rstest]
#[case::stopped(20 * SECOND, true)]
#[case::a_little_late(200 * MS, false)]
fn paused_process_suspects_nobody_until_reachable(
    #[case] lasted: Micros,
    #[case] pauses_seen: bool,
) {
    let mut all: Vec<Cluster> = (0..4).map(cluster).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    all[1].take_events();
    all[1].run_timers(3 * SECOND + lasted);
    assert_eq!(
        (all[1].is_reachable(), all[1].pause_count()),
        (!pauses_seen, u64::from(pauses_seen))
    );
    // It receives nothing: however long it waits, it suspects nobody.
    for at in 0..100 {
        all[1].run_timers(3 * SECOND + lasted + at * 100 * MS);
    }
    let judged = all[1].take_events().iter().any(|event| {
        matches!(
            event,
            MembershipEvent::Suspected(_) | MembershipEvent::Dead(_)
        )
    });
    assert_eq!(judged, !pauses_seen);
}

/// Times come from the caller's clock; a wall clock that jumps is seen only as `started_at_us`.
#[test]
fn decreasing_time_changes_nothing() {
    let mut all: Vec<Cluster> = (0..2).map(cluster).collect();
    carry(&mut all, 0, 2 * SECOND, &[]);
    all[0].run_timers(SECOND);
    assert!(all[0].is_reachable() && all[0].next_timer() > 2 * SECOND - MS);
}

#[test]
fn restarted_process_with_an_earlier_clock_is_accepted() {
    let mut all: Vec<Cluster> = (0..3).map(cluster).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    all[2] = Cluster::new(
        MemberConfig {
            started_at_us: 7,
            ..config(2)
        },
        Key::new(b"0123456789abcdef").unwrap(),
        99,
        3 * SECOND,
    );
    carry(&mut all, 3 * SECOND, 6 * SECOND, &[]);
    let incarnation = all[2].incarnation();
    for one in &all[..2] {
        let known = one.table.member("b2").unwrap();
        assert_eq!(
            (
                known.record.incarnation,
                known.record.state,
                one.table.count_possibly_serving_of(known)
            ),
            (incarnation, MemberState::Alive, 1)
        );
    }
    assert!(!all[2].table.has_name_conflict());
}

#[test]
fn later_of_two_processes_with_one_name_stays_silent() {
    let mut all: Vec<Cluster> = (0..3).map(cluster).collect();
    let elsewhere = MemberConfig {
        address: SocketAddr::from(([127, 0, 0, 1], 7_003)),
        started_at_us: 9_000,
        ..config(1)
    };
    all.push(Cluster::new(
        elsewhere,
        Key::new(b"0123456789abcdef").unwrap(),
        50,
        0,
    ));
    carry(&mut all, 0, 10 * SECOND, &[]);
    assert!(
        all[3]
            .take_events()
            .contains(&MembershipEvent::NameConflict)
    );
    let told = all[3].traffic().sent;
    carry(&mut all, 10 * SECOND, 12 * SECOND, &[]);
    assert_eq!(all[3].traffic().sent, told);
    // Both may be serving, whoever speaks.
    assert_eq!(
        all[0]
            .table
            .count_possibly_serving_of(all[0].table.member("b1").unwrap()),
        2
    );
}

/// A machine that died for good would count forever; the operators may confirm its death, and may
/// be wrong.
#[test]
fn confirmation_of_death_holds_until_a_datagram_arrives() {
    let mut all: Vec<Cluster> = (0..3).map(cluster).collect();
    carry(&mut all, 0, 3 * SECOND, &[]);
    let (incarnation, own) = (all[2].incarnation(), all[0].config.clone());
    let confirmed_dead = [(Rc::from("b2"), incarnation)].into();
    all[0].update_config(
        &MemberConfig {
            confirmed_dead,
            ..own
        },
        Key::new(b"0123456789abcdef").unwrap(),
    );
    // It is there: the word does not go for it.
    let serving_status = |one: &Cluster| one.table.serving_status("b2", incarnation).unwrap();
    assert_eq!(
        (
            serving_status(&all[0]),
            all[0].table.count_possibly_serving()
        ),
        (ServingStatus::MayServe(MayServeReason::Alive), 2)
    );
    carry(&mut all, 3 * SECOND, 5 * SECOND, &[]);
    assert!(
        all[0]
            .take_events()
            .contains(&MembershipEvent::ConfirmationRevoked("b2".into()))
    );
    all[2] = Cluster::new(
        config(2),
        Key::new(b"0123456789abcdef").unwrap(),
        77,
        5 * SECOND,
    );
    carry(&mut all, 5 * SECOND, 8 * SECOND, &[]);
    let incarnation = all[2].incarnation();
    let serving_status = |one: &Cluster| one.table.serving_status("b2", incarnation).unwrap();
    carry(&mut all, 8 * SECOND, 15 * SECOND, &[2]);
    all[0]
        .table
        .set_confirmed_dead(&[(Rc::from("b2"), incarnation)].into());
    assert_eq!(
        (
            serving_status(&all[0]),
            all[0].table.count_possibly_serving()
        ),
        (ServingStatus::ProvenStopped(StopProof::ConfirmedDead), 1)
    );
    assert_eq!(all[1].table.count_possibly_serving(), 2);
    all[0].take_events();
    carry(&mut all, 15 * SECOND, 17 * SECOND, &[]);
    assert!(
        all[0]
            .take_events()
            .contains(&MembershipEvent::ConfirmationRevoked("b2".into()))
    );
    carry(&mut all, 17 * SECOND, 25 * SECOND, &[2]);
    // Confirmed once more: a datagram arrived after the first time, so it still counts.
    all[0]
        .table
        .set_confirmed_dead(&[(Rc::from("b2"), incarnation)].into());
    assert_eq!(
        (
            serving_status(&all[0]),
            all[0].table.count_possibly_serving()
        ),
        (ServingStatus::MayServe(MayServeReason::Unresponsive), 2)
    );
}

/// Ten thousand a second from a stranger: each costs a hash, and nothing else happens.
#[test]
fn corrupted_and_replayed_datagrams_change_nothing() {
    let mut all: Vec<Cluster> = (0..3).map(cluster).collect();
    carry(&mut all, 0, 2 * SECOND, &[]);
    all[0].take_datagrams();
    all[1].run_timers(2 * SECOND + 400 * MS);
    let sent = all[1]
        .take_datagrams()
        .into_iter()
        .find(|sent| sent.to.port() == 7_000)
        .unwrap()
        .bytes;
    all[0].receive(2 * SECOND + 400 * MS, &sent);
    let (taken, members) = (all[0].traffic().accepted, all[0].table.members.len());
    for number in 0..1_000 {
        all[0].receive(2 * SECOND + 400 * MS, &sent);
        let mut spoilt = sent.clone();
        spoilt[number % sent.len()] ^= 1;
        all[0].receive(2 * SECOND + 400 * MS, &spoilt);
    }
    let dropped = &all[0].traffic().dropped;
    assert_eq!(
        (all[0].traffic().accepted, all[0].table.members.len()),
        (taken, members)
    );
    assert_eq!(
        (dropped[&DropReason::Replayed], dropped[&DropReason::Hash]),
        (1_000, 1_000)
    );
}

/// A file without voters and then with them again: released leases are acquired under a later term.
#[test]
fn disabled_leases_are_acquired_again() {
    let mut all: Vec<Cluster> = (0..3).map(cluster).collect();
    let terms = || LeaseConfig {
        voters: vec!["b0".into(), "b1".into(), "b2".into()],
        duration: 1_500 * MS,
    };
    let take = |all: &mut [Cluster], now| {
        all.iter_mut()
            .for_each(|one| one.configure_leases(now, terms(), vec![Lease::new("d", None)]));
    };
    let holders = |all: &[Cluster], now| -> Vec<crate::leases::term::Term> {
        let held = |one: &Cluster| {
            one.lease_manager()
                .and_then(|leases| leases.holds(now, LeaseId::from_name("d"), 0))
        };
        all.iter().filter_map(held).collect()
    };
    take(&mut all, 0);
    carry(&mut all, 0, 6 * SECOND, &[]);
    let first = holders(&all, 6 * SECOND);
    all.iter_mut()
        .for_each(|one| one.disable_leases(6 * SECOND));
    carry(&mut all, 6 * SECOND, 8 * SECOND, &[]);
    assert_eq!((first.len(), holders(&all, 8 * SECOND).len()), (1, 0));
    take(&mut all, 8 * SECOND);
    carry(&mut all, 8 * SECOND, 14 * SECOND, &[]);
    let second = holders(&all, 14 * SECOND);
    assert!(second.len() == 1 && second > first, "{first:?} {second:?}");
}

/// The longest names and greatest numbers: a message that does not fit would never be sent, and its
/// leases never held.
#[test]
fn largest_reply_of_a_voter_fits_into_a_datagram() {
    let long = "n".repeat(crate::messages::MAX_NAME_BYTES);
    let config = MemberConfig {
        fleet: long.clone(),
        name: long.clone(),
        zone: long,
        started_at_us: u64::MAX,
        ..config(0)
    };
    let mut one = Cluster::new(config, Key::new(b"0123456789abcdef").unwrap(), 1, 0);
    let term = crate::leases::term::Term {
        number: u64::MAX,
        incarnation_id: u64::MAX,
    };
    let status = crate::leases::messages::GrantStatus {
        lease: LeaseId(u32::MAX),
        term: Some(term),
        available_in_us: u32::MAX,
    };
    let statuses = vec![status; crate::leases::messages::MAX_LEASES_PER_MESSAGE];
    let message = crate::leases::messages::LeaseMessage::QueryReply {
        round: u32::MAX,
        statuses,
    };
    one.sequence_number = u64::MAX - 1;
    // With the record of the receiver, which is suspected.
    let suspected = MemberRecord {
        state: MemberState::Suspected,
        suspected_by: u64::MAX,
        ..one.table.own.clone()
    };
    one.send(
        "127.0.0.1:7001".parse().unwrap(),
        Message::Lease(message),
        vec![suspected],
    );
    assert_eq!(one.take_datagrams().len(), 1);
}

#[test]
fn few_members_hold_many_leases() {
    let mut all: Vec<Cluster> = (0..3).map(cluster).collect();
    for one in &mut all {
        let terms = LeaseConfig {
            voters: vec!["b0".into(), "b1".into(), "b2".into()],
            duration: 1_500 * MS,
        };
        one.configure_leases(
            0,
            terms,
            (0..200)
                .map(|n| Lease::new(&format!("d{n}"), None))
                .collect(),
        );
    }
    carry(&mut all, 0, 8 * SECOND, &[]);
    let held = |one: &Cluster| {
        one.lease_manager()
            .map_or(0, |leases| leases.held(8 * SECOND).count())
    };
    let held: Vec<usize> = all.iter().map(held).collect();
    assert_eq!(held.iter().sum::<usize>(), 200, "{held:?}");
    assert!(held.iter().all(|&count| count <= 87), "{held:?}");
}
