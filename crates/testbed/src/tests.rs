//! Tests that guard the output formats of the testbed against unintended changes: the schedules
//! that a soak test draws, JSON figures, the responses of stand-ins, the requests of clients and
//! the settings of balancers. Each is compared byte for byte with a recorded file.
//!
//! `RECORD_TESTBED=1 cargo test -p pinefront-testbed` overwrites the recorded files. Only a change
//! that is meant to alter one of these formats may do so.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

use pinefront_model::scenario::Scenario;
use pinefront_model::service::ServiceScore;
use pinefront_model::traffic::Request;
use pinefront_model::validation;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::clients::{self, RequestCounts};
use crate::figures::{Figures, PercentilesMs, SecondFigures};
use crate::fleet::FleetReport;
use crate::fleet::leases::LeaseReport;
use crate::soak::schedule::{self, ScheduleParameters};
use crate::world::{RequestLookup, World};
use crate::{balancers, discovery_stand_in, load, overhead, server_stand_in, soak, system_faults};

/// A scenario with every key that a scenario file can have.
const EVERY_KEY: &str = include_str!("../../model/tests/recorded/every_key.toml");

/// Asserts that a text equals a recorded file. The first line that differs is reported.
fn assert_matches_recording(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("src/recorded")
        .join(name);
    if std::env::var_os("RECORD_TESTBED").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    let recorded = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()));
    for (number, (line, recorded)) in text.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(line, recorded, "{name}:{}", number + 1);
    }
    assert_eq!(text, recorded, "{name}");
}

fn scenario(text: &str) -> Scenario {
    validation::decode_scenario(text, "scenario.toml").unwrap()
}

#[test]
fn soak_schedules_match_the_recording() {
    let shapes = [
        (None, vec![]),
        (
            Some(3),
            vec!["spoilt".to_owned(), "balancer_killed".to_owned()],
        ),
    ];
    let mut text = String::new();
    for (balancers, with) in shapes {
        let shape = ScheduleParameters {
            length_seconds: 20,
            balancers,
            requests_per_second: 200.0,
            required_faults: with,
        };
        for seed in [0, 1, 2, 3, 17, 40, 99, 1_000_003] {
            let drawn = schedule::draw(seed, &shape);
            let scenario = soak::parse_schedule(&drawn).unwrap();
            assert_eq!(scenario.faults.len(), drawn.matches("[[faults]]").count());
            text += &drawn;
            text += "# ----\n";
        }
    }
    assert_matches_recording("soak_schedules.toml", &text);
}

fn percentiles(first: f64) -> PercentilesMs {
    PercentilesMs {
        p50: first,
        p90: first + 0.1,
        p99: first + 0.2,
        max: first + 0.3,
    }
}

fn lease_report() -> LeaseReport {
    LeaseReport {
        overlaps: 1,
        decreased_terms: 2,
        without_holder_ms: vec![3.5],
        without_holder_ms_by_cause: BTreeMap::from([("killed", vec![4.5])]),
        changes: 5,
        max_changes_per_minute: 6,
        vacant_leases: 7,
        lease_count: 8,
        details: vec!["duty text".into()],
    }
}

fn cluster_figures() -> FleetReport {
    FleetReport {
        views_agree_after_ms: Some(9.5),
        serving_status_errors: 10,
        detection_times_ms: vec![11.5],
        detection_by_all_times_ms: vec![12.5],
        refutations: 13,
        considered_dead_while_running: 14,
        checked_views: 15,
        forwarded_datagrams: 16,
        dropped_datagrams: 17,
        flood_datagrams: 18,
        discovery_requests: 19,
        discovery_requests_per_second: 20.5,
        details: vec!["view text".into()],
        leases: Some(lease_report()),
    }
}

fn figures() -> Figures {
    Figures {
        scenario: "day name".into(),
        subject: "pinefront".into(),
        seed: 21,
        balancers: 22,
        servers: 23,
        counts: RequestCounts {
            sent: 24,
            succeeded: 25,
            rejected: 26,
            failed: 27,
            unanswered: 28,
            disconnected: 29,
            unreachable: 30,
        },
        latency_ms: percentiles(31.0),
        lateness_ms: percentiles(32.0),
        valid: true,
        why_invalid: vec!["late".into()],
        service: 0.33,
        service_parts: ServiceScore {
            overall: 0.34,
            worst_10s: 0.35,
            worst_class: 0.36,
            worst_tenant: 0.37,
            tail: 0.38,
            total: 0.39,
        },
        rule_violations: vec!["rule 1".into()],
        rule_violation_count: 40,
        unexpected_ends: vec!["balancer 0 died".into()],
        violations: 41,
        cpu_us_per_request: 42.5,
        memory_mb: 43.5,
        testbed_memory_mb: 44.5,
        attempts_per_request: 45.5,
        attempts_by_server: vec![46, 47],
        seconds: vec![SecondFigures {
            service: 0.48,
            p50_ms: 49.5,
            p90_ms: 50.5,
            p99_ms: 51.5,
        }],
        cluster: Some(cluster_figures()),
        interrupted: true,
    }
}

fn load_results() -> load::LoadResults {
    load::LoadResults {
        sent: 60,
        succeeded: 61,
        rejected: 62,
        failed: 63,
        unanswered: 64,
        dropped: 65,
        rate_sent: 66.5,
        rate_succeeded: 67.5,
        latency_ms: percentiles(68.0),
        lateness_ms: percentiles(69.0),
        valid: true,
        invalid_reasons: vec!["late".into()],
    }
}

fn overhead_measurement() -> overhead::OverheadMeasurement {
    overhead::OverheadMeasurement {
        servers: 70,
        clients: 71,
        rate: 72.5,
        direct_p50_ms: 73.5,
        direct_p99_ms: 74.5,
        through_p50_ms: 75.5,
        through_p99_ms: 76.5,
        p50_ratio: 77.5,
        p99_ratio: 78.5,
        added_p50_ms: 79.5,
        added_p99_ms: 80.5,
        cpu_us_per_request: 81.5,
        highest_rate: 82.5,
        memory_mb: 83.5,
        members: Some(84),
        idle_cpu_fraction: 85.5,
        through: load_results(),
        valid: true,
    }
}

fn soak_results() -> soak::SoakResults {
    let mut found = soak::SoakResults {
        failed: 90,
        failed_invalid: 91,
        invalid: 92,
        fault_pairs: soak::coverage::fault_pairs(&[soak::coverage::ScenarioRun {
            requests: 100,
            scenario: scenario(
                "name = 'test'\nlength = '20s'\n[[faults]]\nkind = 'burst'\nat = '1s'\nfor = '2s'\n\
                 [[faults]]\nkind = 'spoilt'\nat = '2s'\nfor = '2s'",
            ),
        }]),
        run_errors: vec!["seed 93".into()],
        ..soak::SoakResults::default()
    };
    found.seeds.push(soak::SeedResult {
        seed: 94,
        faults: vec!["burst".into()],
        sent: 95,
        succeeded: 96,
        valid: true,
        invalid_reasons: vec!["late".into()],
        rule_violations: vec!["rule 2".into()],
        rule_violation_count: 97,
        invariant_violations: 98,
        unexpected_exits: vec!["died".into()],
        rerun_command: Some("run".into()),
    });
    found
}

#[test]
fn json_figures_match_the_recording() {
    let texts = [
        serde_json::to_string_pretty(&figures()),
        serde_json::to_string_pretty(&Figures::default()),
        serde_json::to_string_pretty(&load_results()),
        serde_json::to_string_pretty(&overhead_measurement()),
        serde_json::to_string_pretty(&soak_results()),
    ];
    let text: String = texts.into_iter().map(|text| text.unwrap() + "\n").collect();
    assert_matches_recording("figures.json", &text);
}

/// A world whose servers have fixed addresses and whose clock has not been started. `rest` is added
/// to the text of its scenario.
fn world(rest: &str) -> Arc<World> {
    let scenario = scenario(&format!(
        "name = 'test'\nlength = '20s'\n[fleet]\nservers = 3\n\
         [discovery]\ndelay = ['0s', '0s']\n{rest}"
    ));
    let world = Arc::new(World::new(scenario, 1));
    for number in 0..3 {
        let address = format!("10.0.0.{}:8000", number + 1).parse().unwrap();
        world.set_server_address(number, address, false);
    }
    world
}

/// Sends a text on a new connection. Returns all bytes that are received until the connection ends
/// or is silent for 600 ms.
async fn response_to(address: std::net::SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let max_silence = std::time::Duration::from_millis(600);
    while let Ok(Ok(count)) =
        tokio::time::timeout(max_silence, stream.read_buf(&mut received)).await
        && count > 0
    {}
    String::from_utf8_lossy(&received).into_owned()
}

fn exchange_text(title: &str, request: &str, response: &str) -> String {
    format!("== {title}\n{request:?}\n{response:?}\n")
}

const LIST_REQUEST: &str = "GET /v1/targets HTTP/1.1\r\nHost: d\r\n\r\n";
const WATCH_FROM_VERSION_3: &str =
    "GET /v1/targets?since=3&timeout_ms=100 HTTP/1.1\r\nHost: d\r\n\r\n";
const WATCH_FROM_VERSION_0: &str =
    "GET /v1/targets?since=0&timeout_ms=50 HTTP/1.1\r\nHost: d\r\n\r\n";

#[tokio::test]
async fn discovery_responses_match_the_recording() {
    let fault = |kind: &str, factor: &str| {
        format!("[[faults]]\nkind = '{kind}'\nat = '0s'\nfor = '20s'\n{factor}")
    };
    let cases = [
        ("the whole list", String::new(), LIST_REQUEST),
        ("a watch behind", String::new(), WATCH_FROM_VERSION_0),
        ("a watch without news", String::new(), WATCH_FROM_VERSION_3),
        (
            "refused",
            fault("lists_refused", "factor = 1.0"),
            LIST_REQUEST,
        ),
        (
            "the whole list on a watch",
            fault("lists_whole", "factor = 1.0"),
            WATCH_FROM_VERSION_0,
        ),
        (
            "a strange entry",
            fault("lists_strange", "factor = 1.0"),
            LIST_REQUEST,
        ),
        ("cut", fault("lists_cut", "factor = 1.0"), LIST_REQUEST),
        ("gone", fault("discovery_gone", ""), LIST_REQUEST),
    ];
    let mut text = String::new();
    for (title, rest, request) in cases {
        let world = world(&rest);
        let address = discovery_stand_in::start(&world, 0).await.unwrap();
        text += &exchange_text(title, request, &response_to(address, request).await);
    }
    let world = world("");
    for event in [
        pinefront_model::timeline::TimelineEvent::DrainStarted(0),
        pinefront_model::timeline::TimelineEvent::ServerCrashed(1),
    ] {
        world.apply_event(event);
    }
    let address = discovery_stand_in::start(&world, 0).await.unwrap();
    text += &exchange_text(
        "draining and gone",
        WATCH_FROM_VERSION_3,
        &response_to(address, WATCH_FROM_VERSION_3).await,
    );
    text += &exchange_text(
        "those that are left",
        LIST_REQUEST,
        &response_to(address, LIST_REQUEST).await,
    );
    text += &format!("== given at a start\n{}\n", world.endpoint_list_json());
    assert_matches_recording("discovery_answers.txt", &text);
}

#[tokio::test]
async fn server_responses_match_the_recording() {
    let fault =
        |kind: &str| format!("[[faults]]\nkind = '{kind}'\nat = '0s'\nfor = '20s'\nfactor = 1.0\n");
    let request = "GET /look/1 HTTP/1.1\r\nX-Txn: 00000000000000ab\r\nX-Remaining-Ms: 900\r\n\r\n";
    let class = "[[use_cases]]\nname = 'look'\neffect = 'redoable'\nwork = '1us'\n\
                 promised_time = '1s'\nhard_stop = '2s'\n";
    let cases = [
        ("served", String::new(), request),
        ("no identity", String::new(), "GET /look/1 HTTP/1.1\r\n\r\n"),
        (
            "no class",
            String::new(),
            "GET /nothing/1 HTTP/1.1\r\nX-Txn: ab\r\n\r\n",
        ),
        ("full", "queue = 0\n".into(), request),
        ("failed", fault("errors"), request),
        ("corrupted", fault("spoilt"), request),
        ("reset", fault("reset"), request),
        ("without a length", fault("answers_unended"), request),
        ("in pieces", fault("answers_in_pieces"), request),
        ("twice", fault("answers_twice"), request),
    ];
    let mut text = String::new();
    for (title, rest, request) in cases {
        let is_full = title == "full";
        let head = "name = 'test'\nlength = '20s'\n[fleet]\nreports = '0s'\n";
        let scenario = scenario(&format!("{head}{rest}{class}"));
        let world = Arc::new(World::new(scenario, 1));
        world.clock.start();
        world.apply_conditions();
        server_stand_in::start(&world, 0, false).await.unwrap();
        let address = world.server(0).unwrap().address().unwrap();
        if is_full {
            let long_request = Request {
                number: 1,
                work: 60_000_000.0,
                ..Request::default()
            };
            let long_request = RequestLookup {
                number: None,
                request: long_request,
            };
            let host = world.server(0).unwrap();
            for _ in 0..host.with_server(|server| server.spec.cores) {
                let _ = world.receive_attempt(&host, &long_request, 0, 0.0);
            }
        }
        text += &exchange_text(title, request, &response_to(address, request).await);
    }
    assert_matches_recording("server_answers.txt", &text);
}

#[test]
fn load_report_header_has_the_expected_format() {
    let text = server_stand_in::load_header(&pinefront_model::server::LoadReport {
        in_flight: 3,
        queue: 2,
        utilisation: 0.456,
    });
    assert_eq!(text, "X-Pressure: TEXT inflight=3, queue=2, util=0.46\r\n");
}

#[test]
fn client_requests_and_balancer_settings_match_the_recording() {
    let scenario = scenario(EVERY_KEY);
    let world = World::new(scenario.clone(), 1);
    let mut text = String::new();
    for (class, attempt, tenant) in [(0, 1, 0), (1, 1, 1), (1, 2, 0), (2, 3, 9)] {
        let request = Request {
            number: 0xabc,
            attempt,
            class,
            tenant,
            key: 77,
            idempotency_key: 0xdef,
            timeout: 1_234_567,
            ..Request::default()
        };
        let request = clients::request_text(&world, &request);
        text += &format!("{:?}\n", String::from_utf8(request).unwrap());
    }
    text += &serde_json::to_string_pretty(&balancers::settings(&scenario, 4)).unwrap();
    let minimal = self::scenario("name = 'test'\nlength = '20s'\n[discovery]\nask_within = '0s'");
    text += "\n";
    text += &serde_json::to_string_pretty(&balancers::settings(&minimal, 0)).unwrap();
    text += "\n";
    assert_matches_recording("clients_and_settings.txt", &text);
}

#[test]
fn fault_control_for_the_preloaded_library_has_the_expected_layout() {
    let bytes: Vec<u8> = (1_i64..=7).flat_map(i64::to_ne_bytes).collect();
    let control = system_faults::Control {
        failing_calls: 1,
        short_calls: 2,
        interrupted_calls: 3,
        delayed_writes: 4,
        write_delay_us: 5,
        clock_offset_us: 6,
        broken_connections: 7,
    };
    assert_eq!(control.to_bytes(), bytes);
}
