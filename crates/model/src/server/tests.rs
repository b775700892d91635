use rstest::rstest;

use super::*;
use crate::SECOND;
use crate::day::Span;

fn server(
    cores: usize,
    speed: f64,
    born: Option<Micros>,
    change: impl FnOnce(&mut Fleet),
) -> Server {
    let mut fleet = Fleet::default();
    change(&mut fleet);
    let spec = Spec {
        id: "s0".into(),
        number: 0,
        zone: 0,
        machine: 0,
        cell: 0,
        cores,
        speed,
        born,
    };
    Server::new(spec, &fleet, &Rules::default(), Chance::new(1))
}

fn sent(server: &mut Server, now: Micros, job: u64, work: f64) -> Vec<Done> {
    let mut out = Vec::new();
    server.arrive(
        now,
        Arrival {
            job,
            work,
            waits: 0,
            key: None,
        },
        &mut out,
    );
    out
}

/// All that ends by that moment, with when.
fn until(server: &mut Server, end: Micros) -> Vec<(Micros, u64, How)> {
    let mut found = Vec::new();
    while let Some(next) = server.next().filter(|next| *next <= end) {
        let mut out = Vec::new();
        server.advance(next, &mut out);
        found.extend(out.iter().map(|done| (next, done.job, done.how)));
    }
    found
}

#[test]
fn cores_work_side_by_side_and_the_rest_waits() {
    let mut server = server(2, 2.0, None, |_| {});
    for job in 0..3 {
        assert!(sent(&mut server, 0, job, 20_000.0).is_empty());
    }
    let answered = |at, job| (at, job, How::Answered);
    assert_eq!(
        until(&mut server, SECOND),
        [
            answered(10_000, 0),
            answered(10_000, 1),
            answered(20_000, 2)
        ]
    );
    assert!(server.is_idle());
}

#[test]
fn beyond_the_queue_tickets_are_turned_away_unrun() {
    let mut server = server(1, 1.0, None, |fleet| fleet.queue = 1);
    assert!(sent(&mut server, 0, 0, 1000.0).is_empty());
    assert!(sent(&mut server, 0, 1, 1000.0).is_empty());
    assert_eq!(
        sent(&mut server, 0, 2, 1000.0),
        [Done {
            job: 2,
            how: How::Full
        }]
    );
    assert!(!How::Full.ran());
}

#[test]
fn a_freeze_holds_what_is_in_work_and_what_comes() {
    let mut server = server(1, 1.0, None, |fleet| fleet.queue = 0);
    sent(&mut server, 0, 0, 10_000.0);
    let mut out = Vec::new();
    server.set(
        4_000,
        Condition {
            frozen: true,
            ..Condition::default()
        },
        &mut out,
    );
    assert!(sent(&mut server, 5_000, 1, 1_000.0).is_empty() && server.next().is_none());
    server.set(50_000, Condition::default(), &mut out);
    assert_eq!(
        out,
        [Done {
            job: 1,
            how: How::Full
        }],
        "nobody had read it, so it is turned away after the freeze"
    );
    assert_eq!(until(&mut server, SECOND), [(56_000, 0, How::Answered)]);
}

#[rstest]
#[case::neighbour(Condition { rate: 0.25, ..Condition::default() }, 40_000, How::Answered)]
#[case::silent(Condition { silent: true, ..Condition::default() }, 10_000, How::Swallowed)]
#[case::lost(Condition { lost: 1.0, ..Condition::default() }, 10_000, How::Swallowed)]
#[case::spoilt(Condition { spoilt: 1.0, ..Condition::default() }, 10_000, How::Spoilt)]
#[case::reset(Condition { reset: 1.0, ..Condition::default() }, 10_000, How::Reset)]
fn troubles_change_time_or_fate(
    #[case] condition: Condition,
    #[case] at: Micros,
    #[case] how: How,
) {
    let mut server = server(1, 1.0, None, |_| {});
    server.set(0, condition, &mut Vec::new());
    sent(&mut server, 0, 7, 10_000.0);
    assert_eq!(until(&mut server, SECOND), [(at, 7, how)]);
    assert!(how.ran());
}

#[test]
fn quick_errors_come_at_once_and_nothing_runs() {
    let mut server = server(1, 1.0, None, |_| {});
    server.set(
        0,
        Condition {
            errors: 1.0,
            ..Condition::default()
        },
        &mut Vec::new(),
    );
    assert_eq!(
        sent(&mut server, 0, 7, 10_000.0),
        [Done {
            job: 7,
            how: How::Failed
        }]
    );
}

#[test]
fn a_flood_slows_until_rested() {
    let mut server = server(1, 1.0, None, |fleet| {
        (fleet.flooded_by, fleet.flooded_after, fleet.flooded_rest) =
            (2.0, Span(SECOND), Span(SECOND));
    });
    for job in 0..30 {
        sent(&mut server, 0, job, 50_000.0);
    }
    until(&mut server, 999_999);
    assert!(!server.is_flooded());
    until(&mut server, 1_000_000);
    assert!(server.is_flooded());
    let last = until(&mut server, 10 * SECOND).last().map(|(at, ..)| *at);
    assert_eq!(
        last,
        Some(SECOND + 10 * 125_000),
        "what is left takes two and a half times as long"
    );
    let mut out = Vec::new();
    server.advance(last.unwrap() + SECOND, &mut out);
    assert!(!server.is_flooded());
}

#[test]
fn a_cold_server_rises_and_falls_over_when_sent_too_much() {
    let mut quick = server(1, 1.0, Some(0), |_| {});
    assert_eq!(quick.warmth(0), 0.3);
    assert_eq!(quick.warmth(8 * SECOND), 1.0);
    sent(&mut quick, 0, 0, 300_000.0);
    let done = until(&mut quick, 2 * SECOND);
    assert!(
        done[0].0 < SECOND,
        "the rise shortens the work under way: {done:?}"
    );

    let mut pushed = server(1, 1.0, Some(0), |_| {});
    let mut out = Vec::new();
    for job in 0..10 {
        out.extend(sent(&mut pushed, 10_000 * job, job, 100_000.0));
    }
    assert!(
        pushed.fell() && pushed.is_dead(),
        "1.0 s of work within 1 s is over 3 x 0.3"
    );
    assert_eq!(out.iter().filter(|done| done.how == How::Died).count(), 10);
    let mut spread = server(1, 1.0, Some(0), |_| {});
    for job in 0..10 {
        sent(&mut spread, 200_000 * job, job, 100_000.0);
    }
    assert!(!spread.fell(), "spread over 2 s it is not");
}

#[test]
fn keys_met_lately_take_less_and_reports_may_come_late() {
    let mut server = server(1, 1.0, None, |fleet| fleet.keeps_keys = Span(SECOND));
    let mut with_key = |now, job| {
        server.arrive(
            now,
            Arrival {
                job,
                work: 10_000.0,
                waits: 0,
                key: Some(5),
            },
            &mut Vec::new(),
        );
        until(&mut server, now + 900_000)[0].0 - now
    };
    assert_eq!(
        (with_key(0, 0), with_key(900_000, 1), with_key(2_000_000, 2)),
        (10_000, 5_000, 10_000)
    );
    let report = server.report(2_000_000).expect("a reading was due");
    assert!(report.utilisation > 0.0 && report.utilisation <= 1.0);
    server.set(
        2_100_000,
        Condition {
            reports_late: 60 * SECOND,
            ..Condition::default()
        },
        &mut Vec::new(),
    );
    assert_eq!(server.report(2_200_000), None);
}

#[test]
fn called_off_work_stops_and_the_next_begins() {
    let mut server = server(1, 1.0, None, |_| {});
    sent(&mut server, 0, 0, 100_000.0);
    sent(&mut server, 0, 1, 10_000.0);
    server.call_off(1_000, 0, &mut Vec::new());
    assert_eq!(until(&mut server, SECOND), [(11_000, 1, How::Answered)]);
}

#[test]
fn repeats_are_dropped_in_their_group_and_window_only() {
    let mut repeats = Repeats::default();
    assert!(!repeats.is_repeat(0, 1, 9, SECOND));
    assert!(repeats.is_repeat(500_000, 1, 9, SECOND));
    assert!(!repeats.is_repeat(500_000, 2, 9, SECOND));
    assert!(!repeats.is_repeat(1_000_000, 1, 9, SECOND));
}
