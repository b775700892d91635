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

/// Runs the members from `from` to `to` and delivers each datagram after a millisecond, except
/// those from or to the `unreachable` members.
fn run_members(members: &mut [Cluster], from: Micros, to: Micros, unreachable: &[usize]) {
    for now in (from..to).step_by(MS as usize) {
        let sent: Vec<_> = members
            .iter_mut()
            .enumerate()
            .map(|(sender, member)| (sender, member.take_datagrams()))
            .collect();
        for (sender, sent) in sent {
            for OutgoingDatagram { to, bytes } in sent {
                let receiver = usize::from(to.port() - 7_000);
                let is_delivered =
                    !unreachable.contains(&sender) && !unreachable.contains(&receiver);
                if is_delivered && receiver < members.len() {
                    members[receiver].receive(now, &bytes);
                }
            }
        }
        members.iter_mut().for_each(|member| member.run_timers(now));
    }
}

fn states(cluster: &Cluster) -> Vec<MemberState> {
    let mut members: Vec<_> = cluster
        .table
        .members
        .iter()
        .map(|member| (member.record.name.clone(), member.record.state))
        .collect();
    members.sort();
    members.into_iter().map(|(_, state)| state).collect()
}

#[test]
fn members_discover_each_other_through_one_seed() {
    let mut members: Vec<Cluster> = (0..5).map(cluster).collect();
    run_members(&mut members, 0, 3 * SECOND, &[]);
    assert!(
        members
            .iter()
            .all(|member| states(member) == [MemberState::Alive; 4])
    );
    assert!(
        members
            .iter()
            .all(|member| member.traffic().dropped.is_empty())
    );
}

#[test]
fn unresponsive_member_is_suspected_then_dead_and_recovers() {
    let mut members: Vec<Cluster> = (0..4).map(cluster).collect();
    run_members(&mut members, 0, 3 * SECOND, &[]);
    members[0].take_events();
    run_members(&mut members, 3 * SECOND, 10 * SECOND, &[3]);
    let name: Rc<str> = "b3".into();
    assert_eq!(
        members[0].take_events(),
        [
            MembershipEvent::Suspected(Rc::clone(&name)),
            MembershipEvent::Dead(Rc::clone(&name))
        ]
    );
    assert_eq!(
        (
            members[0].table.count_possibly_serving(),
            members[0].table.alive().count()
        ),
        (3, 2)
    );
    run_members(&mut members, 10 * SECOND, 12 * SECOND, &[]);
    let events = members[0].take_events();
    assert!(
        events.contains(&MembershipEvent::Recovered(name)),
        "{events:?}"
    );
    assert!(
        members
            .iter()
            .all(|member| states(member) == [MemberState::Alive; 3])
    );
}

#[test]
fn member_that_leaves_is_proven_stopped_at_once() {
    let mut members: Vec<Cluster> = (0..4).map(cluster).collect();
    run_members(&mut members, 0, 3 * SECOND, &[]);
    members[2].leave(3 * SECOND);
    run_members(&mut members, 3 * SECOND, 3 * SECOND + 300 * MS, &[]);
    assert!(
        [0, 1, 3]
            .iter()
            .all(|&n| members[n].table.count_possibly_serving() == 2)
    );
}

/// When a process continues after a pause, all its timeouts have elapsed, so that without this rule
/// it would declare all members dead.
#[rstest]
#[case::pause(20 * SECOND, true)]
#[case::delay_below_the_threshold(200 * MS, false)]
fn paused_process_suspects_no_member_until_reachable(
    #[case] duration: Micros,
    #[case] is_pause_detected: bool,
) {
    let mut members: Vec<Cluster> = (0..4).map(cluster).collect();
    run_members(&mut members, 0, 3 * SECOND, &[]);
    members[1].take_events();
    members[1].run_timers(3 * SECOND + duration);
    assert_eq!(
        (members[1].is_reachable(), members[1].pause_count()),
        (!is_pause_detected, u64::from(is_pause_detected))
    );
    // The process receives no datagrams for 10 seconds. If it detected a pause, it suspects no
    // member in this time.
    for at in 0..100 {
        members[1].run_timers(3 * SECOND + duration + at * 100 * MS);
    }
    let has_suspicions = members[1].take_events().iter().any(|event| {
        matches!(
            event,
            MembershipEvent::Suspected(_) | MembershipEvent::Dead(_)
        )
    });
    assert_eq!(has_suspicions, !is_pause_detected);
}

/// Times come from the caller's monotonic clock. A jump of the wall clock affects only
/// `started_at_us`.
#[test]
fn decreasing_time_has_no_effect() {
    let mut members: Vec<Cluster> = (0..2).map(cluster).collect();
    run_members(&mut members, 0, 2 * SECOND, &[]);
    members[0].run_timers(SECOND);
    assert!(members[0].is_reachable() && members[0].next_timer() > 2 * SECOND - MS);
}

#[test]
fn restarted_process_with_an_earlier_clock_is_accepted() {
    let mut members: Vec<Cluster> = (0..3).map(cluster).collect();
    run_members(&mut members, 0, 3 * SECOND, &[]);
    members[2] = Cluster::new(
        MemberConfig {
            started_at_us: 7,
            ..config(2)
        },
        Key::new(b"0123456789abcdef").unwrap(),
        99,
        3 * SECOND,
    );
    run_members(&mut members, 3 * SECOND, 6 * SECOND, &[]);
    let incarnation = members[2].incarnation();
    for member in &members[..2] {
        let known = member.table.member("b2").unwrap();
        assert_eq!(
            (
                known.record.incarnation,
                known.record.state,
                member.table.count_possibly_serving_of(known)
            ),
            (incarnation, MemberState::Alive, 1)
        );
    }
    assert!(!members[2].table.has_name_conflict());
}

#[test]
fn later_of_two_processes_with_the_same_name_stops_sending() {
    let mut members: Vec<Cluster> = (0..3).map(cluster).collect();
    let same_name_config = MemberConfig {
        address: SocketAddr::from(([127, 0, 0, 1], 7_003)),
        started_at_us: 9_000,
        ..config(1)
    };
    members.push(Cluster::new(
        same_name_config,
        Key::new(b"0123456789abcdef").unwrap(),
        50,
        0,
    ));
    run_members(&mut members, 0, 10 * SECOND, &[]);
    assert!(
        members[3]
            .take_events()
            .contains(&MembershipEvent::NameConflict)
    );
    let sent_before = members[3].traffic().sent;
    run_members(&mut members, 10 * SECOND, 12 * SECOND, &[]);
    assert_eq!(members[3].traffic().sent, sent_before);
    // Both processes may be serving, regardless of which one sends.
    assert_eq!(
        members[0]
            .table
            .count_possibly_serving_of(members[0].table.member("b1").unwrap()),
        2
    );
}

/// A process on a machine that failed permanently would be counted forever. The operators may
/// confirm that it is dead, and the confirmation may be wrong.
#[test]
fn confirmation_of_death_applies_until_a_datagram_arrives() {
    let mut members: Vec<Cluster> = (0..3).map(cluster).collect();
    run_members(&mut members, 0, 3 * SECOND, &[]);
    let (incarnation, own_config) = (members[2].incarnation(), members[0].config.clone());
    let confirmed_dead = [(Rc::from("b2"), incarnation)].into();
    members[0].update_config(
        &MemberConfig {
            confirmed_dead,
            ..own_config
        },
        Key::new(b"0123456789abcdef").unwrap(),
    );
    // The process is alive, so the confirmation does not apply.
    let serving_status = |member: &Cluster| member.table.serving_status("b2", incarnation).unwrap();
    assert_eq!(
        (
            serving_status(&members[0]),
            members[0].table.count_possibly_serving()
        ),
        (ServingStatus::MayServe(MayServeReason::Alive), 2)
    );
    run_members(&mut members, 3 * SECOND, 5 * SECOND, &[]);
    assert!(
        members[0]
            .take_events()
            .contains(&MembershipEvent::ConfirmationRevoked("b2".into()))
    );
    members[2] = Cluster::new(
        config(2),
        Key::new(b"0123456789abcdef").unwrap(),
        77,
        5 * SECOND,
    );
    run_members(&mut members, 5 * SECOND, 8 * SECOND, &[]);
    let incarnation = members[2].incarnation();
    let serving_status = |member: &Cluster| member.table.serving_status("b2", incarnation).unwrap();
    run_members(&mut members, 8 * SECOND, 15 * SECOND, &[2]);
    members[0]
        .table
        .set_confirmed_dead(&[(Rc::from("b2"), incarnation)].into());
    assert_eq!(
        (
            serving_status(&members[0]),
            members[0].table.count_possibly_serving()
        ),
        (ServingStatus::ProvenStopped(StopProof::ConfirmedDead), 1)
    );
    assert_eq!(members[1].table.count_possibly_serving(), 2);
    members[0].take_events();
    run_members(&mut members, 15 * SECOND, 17 * SECOND, &[]);
    assert!(
        members[0]
            .take_events()
            .contains(&MembershipEvent::ConfirmationRevoked("b2".into()))
    );
    run_members(&mut members, 17 * SECOND, 25 * SECOND, &[2]);
    // The process is confirmed dead again. A datagram arrived after the first confirmation, so the
    // process is still counted.
    members[0]
        .table
        .set_confirmed_dead(&[(Rc::from("b2"), incarnation)].into());
    assert_eq!(
        (
            serving_status(&members[0]),
            members[0].table.count_possibly_serving()
        ),
        (ServingStatus::MayServe(MayServeReason::Unresponsive), 2)
    );
}

/// A sender without the key may send ten thousand datagrams per second. Each costs one hash and has
/// no other effect.
#[test]
fn corrupted_and_replayed_datagrams_are_dropped_without_effect() {
    let mut members: Vec<Cluster> = (0..3).map(cluster).collect();
    run_members(&mut members, 0, 2 * SECOND, &[]);
    members[0].take_datagrams();
    members[1].run_timers(2 * SECOND + 400 * MS);
    let sent = members[1]
        .take_datagrams()
        .into_iter()
        .find(|sent| sent.to.port() == 7_000)
        .unwrap()
        .bytes;
    members[0].receive(2 * SECOND + 400 * MS, &sent);
    let (accepted, member_count) = (
        members[0].traffic().accepted,
        members[0].table.members.len(),
    );
    for number in 0..1_000 {
        members[0].receive(2 * SECOND + 400 * MS, &sent);
        let mut corrupted = sent.clone();
        corrupted[number % sent.len()] ^= 1;
        members[0].receive(2 * SECOND + 400 * MS, &corrupted);
    }
    let dropped = &members[0].traffic().dropped;
    assert_eq!(
        (
            members[0].traffic().accepted,
            members[0].table.members.len()
        ),
        (accepted, member_count)
    );
    assert_eq!(
        (dropped[&DropReason::Replayed], dropped[&DropReason::Hash]),
        (1_000, 1_000)
    );
}

/// The operator file is reloaded without voters and then with voters again. Leases that were
/// released are acquired under a later term.
#[test]
fn disabled_leases_are_acquired_again_under_a_later_term() {
    let mut members: Vec<Cluster> = (0..3).map(cluster).collect();
    let lease_config = || LeaseConfig {
        voters: vec!["b0".into(), "b1".into(), "b2".into()],
        duration: 1_500 * MS,
    };
    let configure = |members: &mut [Cluster], now| {
        members.iter_mut().for_each(|member| {
            member.configure_leases(now, lease_config(), vec![Lease::new("d", None)]);
        });
    };
    let holders = |members: &[Cluster], now| -> Vec<crate::leases::term::Term> {
        let held = |member: &Cluster| {
            member
                .lease_manager()
                .and_then(|leases| leases.holds(now, LeaseId::from_name("d"), 0))
        };
        members.iter().filter_map(held).collect()
    };
    configure(&mut members, 0);
    run_members(&mut members, 0, 6 * SECOND, &[]);
    let first = holders(&members, 6 * SECOND);
    members
        .iter_mut()
        .for_each(|member| member.disable_leases(6 * SECOND));
    run_members(&mut members, 6 * SECOND, 8 * SECOND, &[]);
    assert_eq!((first.len(), holders(&members, 8 * SECOND).len()), (1, 0));
    configure(&mut members, 8 * SECOND);
    run_members(&mut members, 8 * SECOND, 14 * SECOND, &[]);
    let second = holders(&members, 14 * SECOND);
    assert!(second.len() == 1 && second > first, "{first:?} {second:?}");
}

/// The datagram has the longest names and greatest numbers. A message that does not fit is never
/// sent, so that its leases would never be held.
#[test]
fn largest_reply_of_a_voter_fits_into_a_datagram() {
    let long_name = "n".repeat(crate::messages::MAX_NAME_BYTES);
    let config = MemberConfig {
        fleet: long_name.clone(),
        name: long_name.clone(),
        zone: long_name,
        started_at_us: u64::MAX,
        ..config(0)
    };
    let mut member = Cluster::new(config, Key::new(b"0123456789abcdef").unwrap(), 1, 0);
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
    member.sequence_number = u64::MAX - 1;
    // The record of the receiver is included, since the receiver is suspected.
    let suspected = MemberRecord {
        state: MemberState::Suspected,
        suspected_by: u64::MAX,
        ..member.table.own_record.clone()
    };
    member.send(
        "127.0.0.1:7001".parse().unwrap(),
        Message::Lease(message),
        vec![suspected],
    );
    assert_eq!(member.take_datagrams().len(), 1);
}

#[test]
fn three_members_hold_200_leases_in_balance() {
    let mut members: Vec<Cluster> = (0..3).map(cluster).collect();
    for member in &mut members {
        let lease_config = LeaseConfig {
            voters: vec!["b0".into(), "b1".into(), "b2".into()],
            duration: 1_500 * MS,
        };
        member.configure_leases(
            0,
            lease_config,
            (0..200)
                .map(|n| Lease::new(&format!("d{n}"), None))
                .collect(),
        );
    }
    run_members(&mut members, 0, 8 * SECOND, &[]);
    let held = |member: &Cluster| {
        member
            .lease_manager()
            .map_or(0, |leases| leases.held(8 * SECOND).count())
    };
    let held: Vec<usize> = members.iter().map(held).collect();
    assert_eq!(held.iter().sum::<usize>(), 200, "{held:?}");
    assert!(held.iter().all(|&count| count <= 87), "{held:?}");
}
