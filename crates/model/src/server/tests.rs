use rstest::rstest;

use super::*;
use crate::SECOND;
use crate::scenario::Span;

fn server(
    cores: usize,
    speed: f64,
    started_at: Option<Micros>,
    change: impl FnOnce(&mut Fleet),
) -> Server {
    let mut fleet = Fleet::default();
    change(&mut fleet);
    let spec = ServerSpec {
        id: "s0".into(),
        number: 0,
        zone: 0,
        machine: 0,
        cell: 0,
        cores,
        speed,
        started_at,
    };
    Server::new(spec, &fleet, &Rules::default(), RandomSource::new(1))
}

fn received(server: &mut Server, now: Micros, job: u64, work: f64) -> Vec<FinishedJob> {
    let mut finished = Vec::new();
    server.receive(
        now,
        Job {
            id: job,
            work,
            off_core_time: 0,
            key: None,
        },
        &mut finished,
    );
    finished
}

/// Returns all jobs that end by a time, with the time and outcome of each.
fn finished_until(server: &mut Server, end: Micros) -> Vec<(Micros, u64, JobOutcome)> {
    let mut ended = Vec::new();
    while let Some(next) = server.next_event().filter(|next| *next <= end) {
        let mut finished = Vec::new();
        server.advance(next, &mut finished);
        ended.extend(finished.iter().map(|done| (next, done.id, done.outcome)));
    }
    ended
}

#[test]
fn jobs_run_in_parallel_on_the_cores_and_further_jobs_wait() {
    let mut server = server(2, 2.0, None, |_| {});
    for job in 0..3 {
        assert!(received(&mut server, 0, job, 20_000.0).is_empty());
    }
    let answered = |at, job| (at, job, JobOutcome::Succeeded);
    assert_eq!(
        finished_until(&mut server, SECOND),
        [
            answered(10_000, 0),
            answered(10_000, 1),
            answered(20_000, 2)
        ]
    );
    assert!(server.is_idle());
}

#[test]
fn job_is_rejected_without_processing_if_the_queue_is_full() {
    let mut server = server(1, 1.0, None, |fleet| fleet.queue_capacity = 1);
    assert!(received(&mut server, 0, 0, 1000.0).is_empty());
    assert!(received(&mut server, 0, 1, 1000.0).is_empty());
    assert_eq!(
        received(&mut server, 0, 2, 1000.0),
        [FinishedJob {
            id: 2,
            outcome: JobOutcome::Rejected
        }]
    );
    assert!(!JobOutcome::Rejected.was_processed());
}

#[test]
fn frozen_server_suspends_running_and_arriving_jobs() {
    let mut server = server(1, 1.0, None, |fleet| fleet.queue_capacity = 0);
    received(&mut server, 0, 0, 10_000.0);
    let mut finished = Vec::new();
    server.set_condition(
        4_000,
        Condition {
            frozen: true,
            ..Condition::default()
        },
        &mut finished,
    );
    assert!(received(&mut server, 5_000, 1, 1_000.0).is_empty() && server.next_event().is_none());
    server.set_condition(50_000, Condition::default(), &mut finished);
    assert_eq!(
        finished,
        [FinishedJob {
            id: 1,
            outcome: JobOutcome::Rejected
        }],
        "the job that arrived during the freeze is rejected afterwards"
    );
    assert_eq!(
        finished_until(&mut server, SECOND),
        [(56_000, 0, JobOutcome::Succeeded)]
    );
}

#[rstest]
#[case::neighbour(Condition { rate: 0.25, ..Condition::default() }, 40_000, JobOutcome::Succeeded)]
#[case::silent(Condition { silent: true, ..Condition::default() }, 10_000, JobOutcome::Unanswered)]
#[case::lost(Condition { lost: 1.0, ..Condition::default() }, 10_000, JobOutcome::Unanswered)]
#[case::corrupted(
    Condition { corrupted: 1.0, ..Condition::default() },
    10_000,
    JobOutcome::Corrupted,
)]
#[case::reset(
    Condition { reset: 1.0, ..Condition::default() },
    10_000,
    JobOutcome::ConnectionReset,
)]
fn faults_change_the_duration_or_outcome_of_a_job(
    #[case] condition: Condition,
    #[case] at: Micros,
    #[case] outcome: JobOutcome,
) {
    let mut server = server(1, 1.0, None, |_| {});
    server.set_condition(0, condition, &mut Vec::new());
    received(&mut server, 0, 7, 10_000.0);
    assert_eq!(finished_until(&mut server, SECOND), [(at, 7, outcome)]);
    assert!(outcome.was_processed());
}

#[test]
fn job_fails_immediately_under_the_errors_fault() {
    let mut server = server(1, 1.0, None, |_| {});
    server.set_condition(
        0,
        Condition {
            errors: 1.0,
            ..Condition::default()
        },
        &mut Vec::new(),
    );
    assert_eq!(
        received(&mut server, 0, 7, 10_000.0),
        [FinishedJob {
            id: 7,
            outcome: JobOutcome::Failed
        }]
    );
}

#[test]
fn overloaded_server_is_slower_until_it_recovers() {
    let mut server = server(1, 1.0, None, |fleet| {
        (
            fleet.overload_queue_per_core,
            fleet.overload_after,
            fleet.overload_recovery,
        ) = (2.0, Span(SECOND), Span(SECOND));
    });
    for job in 0..30 {
        received(&mut server, 0, job, 50_000.0);
    }
    finished_until(&mut server, 999_999);
    assert!(!server.is_overloaded());
    finished_until(&mut server, 1_000_000);
    assert!(server.is_overloaded());
    let last = finished_until(&mut server, 10 * SECOND)
        .last()
        .map(|(at, ..)| *at);
    assert_eq!(
        last,
        Some(SECOND + 10 * 125_000),
        "the remaining jobs take two and a half times as long"
    );
    let mut finished = Vec::new();
    server.advance(last.unwrap() + SECOND, &mut finished);
    assert!(!server.is_overloaded());
}

#[test]
fn server_in_slow_start_gains_capacity_and_crashes_if_it_receives_too_much_work() {
    let mut idle = server(1, 1.0, Some(0), |_| {});
    assert_eq!(idle.slow_start_factor(0), 0.3);
    assert_eq!(idle.slow_start_factor(8 * SECOND), 1.0);
    received(&mut idle, 0, 0, 300_000.0);
    let done = finished_until(&mut idle, 2 * SECOND);
    assert!(
        done[0].0 < SECOND,
        "the increasing capacity shortens the running job: {done:?}"
    );

    let mut overloaded = server(1, 1.0, Some(0), |_| {});
    let mut finished = Vec::new();
    for job in 0..10 {
        finished.extend(received(&mut overloaded, 10_000 * job, job, 100_000.0));
    }
    assert!(
        overloaded.crashed_in_slow_start() && overloaded.is_stopped(),
        "1.0 s of work within 1 s exceeds 3 times the capacity of 0.3"
    );
    assert_eq!(
        finished
            .iter()
            .filter(|done| done.outcome == JobOutcome::ServerCrashed)
            .count(),
        10
    );
    let mut lightly_loaded = server(1, 1.0, Some(0), |_| {});
    for job in 0..10 {
        received(&mut lightly_loaded, 200_000 * job, job, 100_000.0);
    }
    assert!(
        !lightly_loaded.crashed_in_slow_start(),
        "the same work distributed over 2 s does not exceed the limit"
    );
}

#[test]
fn cached_keys_reduce_work_and_load_reports_can_be_delayed() {
    let mut server = server(1, 1.0, None, |fleet| fleet.key_cache_ttl = Span(SECOND));
    let mut with_key = |now, job| {
        server.receive(
            now,
            Job {
                id: job,
                work: 10_000.0,
                off_core_time: 0,
                key: Some(5),
            },
            &mut Vec::new(),
        );
        finished_until(&mut server, now + 900_000)[0].0 - now
    };
    assert_eq!(
        (with_key(0, 0), with_key(900_000, 1), with_key(2_000_000, 2)),
        (10_000, 5_000, 10_000)
    );
    let report = server.load_report(2_000_000).expect("nothing was measured");
    assert!(report.utilisation > 0.0 && report.utilisation <= 1.0);
    server.set_condition(
        2_100_000,
        Condition {
            report_delay: 60 * SECOND,
            ..Condition::default()
        },
        &mut Vec::new(),
    );
    assert_eq!(server.load_report(2_200_000), None);
}

#[test]
fn cancelled_job_stops_and_the_next_one_starts() {
    let mut server = server(1, 1.0, None, |_| {});
    received(&mut server, 0, 0, 100_000.0);
    received(&mut server, 0, 1, 10_000.0);
    server.cancel(1_000, 0, &mut Vec::new());
    assert_eq!(
        finished_until(&mut server, SECOND),
        [(11_000, 1, JobOutcome::Succeeded)]
    );
}

#[test]
fn duplicates_are_detected_only_within_their_scope_and_window() {
    let mut duplicates = DuplicateFilter::default();
    assert!(!duplicates.is_duplicate(0, 1, 9, SECOND));
    assert!(duplicates.is_duplicate(500_000, 1, 9, SECOND));
    assert!(!duplicates.is_duplicate(500_000, 2, 9, SECOND));
    assert!(!duplicates.is_duplicate(1_000_000, 1, 9, SECOND));
}
