use pinefront_policy::Host;
use rstest::rstest;

use std::io::ErrorKind;

use super::*;
use crate::connections::endpoint_pool::{REUSE_DELAY_US, is_remote_failure};
use crate::state::proxy::ProxyHost;
use crate::test_harness::{TestHarness, list_entry, local_listener, send_text};

const LONG_TIMEOUT_US: Micros = 60_000_000;

#[test]
fn the_connection_used_last_is_reused_first() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let _clients = [
        harness.start_attempt("t1", "s1", LONG_TIMEOUT_US),
        harness.start_attempt("t2", "s1", LONG_TIMEOUT_US),
    ];
    let (first, second) = (
        harness.accept_connection(&endpoint),
        harness.accept_connection(&endpoint),
    );
    for connection in [&second, &first] {
        harness.read_until(connection, "body");
        send_text(connection, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
        let before = harness.proxy.state.borrow().counters.attempts_failed;
        harness.run_until_counters(|counters| counters.attempts_failed > before);
    }
    // The reuse delay of both connections has passed.
    harness
        .proxy
        .state
        .borrow_mut()
        .endpoint_connections
        .values_mut()
        .for_each(|connection| connection.last_response_at = 0);
    let _third = harness.start_attempt("t3", "s1", LONG_TIMEOUT_US);
    harness.read_until(&first, "body");
    assert_eq!(
        harness
            .proxy
            .state
            .borrow()
            .counters
            .endpoint_connections_reused,
        1
    );
}

#[test]
fn a_connection_closed_by_the_endpoint_is_not_reused() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let connection = harness.idle_connection(&endpoint);
    let key = harness.only_endpoint_connection();
    drop(connection);
    while harness.proxy.state.borrow().endpoint_connections[key]
        .socket
        .stream
        .peek(&mut [0])
        .is_err()
    {}
    let _client = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let _fresh = harness.accept_request(&endpoint);
    assert!(
        !harness
            .proxy
            .state
            .borrow()
            .endpoint_connections
            .contains_key(key)
    );
}

#[test]
fn an_idle_connection_is_closed_before_the_endpoint_closes_it() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let connection = harness.idle_connection(&endpoint);
    let (key, expires_at, now) = {
        let state = harness.proxy.state.borrow();
        let (key, connection) = state.endpoint_connections.iter().next().unwrap();
        (key, connection.timer.unwrap().at, state.now())
    };
    assert!(
        (now + 10_000_000..now + 14_000_000).contains(&expires_at),
        "{}",
        expires_at - now
    );
    harness.proxy.handle_endpoint_connection_timer(key);
    harness.expect_close(&connection);
}

#[rstest]
#[case::timed_out(
    LONG_TIMEOUT_US,
    |harness: &mut TestHarness, key| harness.proxy.handle_endpoint_connection_timer(key),
    0,
)]
#[case::not_established(LONG_TIMEOUT_US, |harness: &mut TestHarness, key| {
    harness.proxy.state.borrow_mut().endpoint_connections[key].is_connected = false;
    harness.proxy.handle_endpoint_connection_timer(key);
}, 0)]
#[case::connection_lost(LONG_TIMEOUT_US, |harness: &mut TestHarness, key| {
    let stream = harness.proxy.state.borrow().endpoint_connections[key].socket.stream.clone();
    stream.shutdown(std::net::Shutdown::Both).unwrap();
    harness.proxy.handle_endpoint_connection_ready(key);
}, 0)]
#[case::cancelled_late(
    LONG_TIMEOUT_US,
    |harness: &mut TestHarness, _| {
        ProxyHost(harness.proxy.state.clone()).cancel_attempt("t2", 0);
    },
    0,
)]
#[case::cancelled_early(
    0,
    |harness: &mut TestHarness, _| {
        ProxyHost(harness.proxy.state.clone()).cancel_attempt("t2", 0);
    },
    1,
)]
fn a_failure_that_suggests_stale_connections_closes_the_idle_ones(
    #[case] waited: Micros,
    #[case] act: fn(&mut TestHarness, EndpointConnectionKey),
    #[case] remaining: usize,
) {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let (_first, _second) = (
        harness.start_attempt("t1", "s1", LONG_TIMEOUT_US),
        harness.start_attempt("t2", "s1", LONG_TIMEOUT_US),
    );
    let endpoint_connections = [
        harness.accept_connection(&endpoint),
        harness.accept_connection(&endpoint),
    ];
    for connection in &endpoint_connections {
        harness.read_until(connection, "body");
    }
    let connection_of = |harness: &TestHarness, id: &str| {
        let state = harness.proxy.state.borrow();
        state
            .requests
            .get(state.requests.key_of(id).unwrap())
            .unwrap()
            .attempts[0]
            .unwrap()
    };
    let (idle, key) = (connection_of(&harness, "t1"), connection_of(&harness, "t2"));
    {
        let mut state = harness.proxy.state.borrow_mut();
        state.endpoint_connections[idle].exchange = None;
        state.return_to_pool(idle);
        let exchange = state.endpoint_connections[key].exchange.as_mut().unwrap();
        (exchange.started_at, exchange.expire_at) = (exchange.started_at - waited, 0);
    }
    act(&mut harness, key);
    assert_eq!(
        harness.proxy.state.borrow().endpoint_connections.len(),
        remaining
    );
}

#[rstest]
#[case(ErrorKind::ConnectionRefused, true)]
#[case(ErrorKind::AddrNotAvailable, false)]
#[case(ErrorKind::NotFound, false)]
fn only_remote_connect_failures_count_against_an_endpoint(
    #[case] kind: ErrorKind,
    #[case] expected: bool,
) {
    assert_eq!(is_remote_failure(&kind.into()), expected);
}

#[rstest]
#[case::draining("leaving")]
#[case::removed("left")]
fn idle_connections_to_a_departing_endpoint_are_closed(#[case] state: &str) {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let connection = harness.idle_connection(&endpoint);
    harness.receive_list(&[list_entry("s1", endpoint.local_addr().unwrap(), state)]);
    harness.expect_close(&connection);
}

#[test]
fn an_endpoint_that_moved_is_reached_at_its_new_address() {
    let mut harness = TestHarness::new();
    let (endpoint, moved) = (harness.add_endpoint("s1"), local_listener());
    let connection = harness.idle_connection(&endpoint);
    harness.receive_list(&[list_entry("s1", moved.local_addr().unwrap(), "active")]);
    harness.expect_close(&connection);
    let _client = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let _fresh = harness.accept_request(&moved);
}

#[test]
fn at_the_limit_an_idle_connection_is_evicted_or_the_attempt_is_not_sent() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let connection = harness.idle_connection(&endpoint);
    let other = harness.add_endpoint("s2");
    harness
        .proxy
        .state
        .borrow_mut()
        .config
        .max_endpoint_connections = 1;
    let _clients = [
        harness.start_attempt("t1", "s2", LONG_TIMEOUT_US),
        harness.start_attempt("t2", "s1", LONG_TIMEOUT_US),
    ];
    harness.expect_close(&connection);
    let _fresh = harness.accept_request(&other);
    harness.run_until_counters(|counters| counters.attempts_not_sent == 1);
    let logged_at = harness.proxy.state.borrow().shortage_logged_at;
    harness.start_another_attempt("t2", "s1", LONG_TIMEOUT_US);
    let state = harness.proxy.state.borrow();
    assert_eq!(
        (
            state.counters.endpoint_connections_exhausted,
            state.shortage_logged_at
        ),
        (2, logged_at)
    );
}

#[rstest]
#[case::immediately(0, 2)]
#[case::after_the_delay(REUSE_DELAY_US, 1)]
fn a_connection_is_reused_only_after_the_delay(
    #[case] elapsed: Micros,
    #[case] endpoint_connections: usize,
) {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let _client = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let connection = harness.accept_request(&endpoint);
    send_text(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    harness.first_outcome();
    {
        let mut state = harness.proxy.state.borrow_mut();
        let key = state.endpoint_connections.keys().next().unwrap();
        // The response counts as just received, however slowly the test runs.
        state.endpoint_connections[key].last_response_at = if elapsed == 0 {
            Micros::MAX - REUSE_DELAY_US
        } else {
            state.now() - elapsed
        };
        let endpoint = state.endpoints.key_of("s1").unwrap();
        state.acquire_connection(endpoint).unwrap();
    }
    assert_eq!(
        harness.proxy.state.borrow().endpoint_connections.len(),
        endpoint_connections
    );
}

/// A connection to a former address carries no further request once the list names another address.
#[test]
fn a_connection_to_a_former_address_is_not_reused() {
    let mut harness = TestHarness::new();
    let before = harness.add_endpoint("s1");
    let (_client, _) = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let connection = harness.accept_request(&before);
    let after = harness.add_endpoint("s1");
    send_text(&connection, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(harness.first_outcome(), "failed 1");
    harness
        .proxy
        .state
        .borrow_mut()
        .endpoint_connections
        .values_mut()
        .for_each(|connection| connection.last_response_at = 0);
    let _second = harness.start_attempt("t2", "s1", LONG_TIMEOUT_US);
    assert_eq!(
        harness
            .proxy
            .state
            .borrow()
            .counters
            .endpoint_connections_reused,
        0
    );
    harness.accept_request(&after);
}

/// A second response that arrives some milliseconds late must not be taken for the response to the
/// next request.
#[test]
fn after_unsolicited_bytes_an_endpoint_gets_one_request_per_connection() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let connection = harness.idle_connection(&endpoint);
    send_text(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
    );
    harness.run_until(|proxy| {
        proxy
            .state
            .borrow()
            .endpoint_connections
            .is_empty()
            .then_some(())
    });
    let _client = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let connection = harness.accept_request(&endpoint);
    send_text(&connection, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    harness.run_until_counters(|counters| counters.attempts_failed == 2);
    assert!(harness.proxy.state.borrow().endpoint_connections.is_empty());
    // Later, connections to the endpoint are reused again.
    let key = harness.proxy.state.borrow().endpoints.key_of("s1").unwrap();
    harness
        .proxy
        .state
        .borrow_mut()
        .endpoints
        .get_mut(key)
        .unwrap()
        .single_use_until = 0;
    let _client = harness.start_attempt("t2", "s1", LONG_TIMEOUT_US);
    let connection = harness.accept_request(&endpoint);
    send_text(&connection, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    harness.run_until_counters(|counters| counters.attempts_failed == 3);
    assert_eq!(harness.proxy.state.borrow().endpoint_connections.len(), 1);
}
