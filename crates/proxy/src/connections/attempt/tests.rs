use std::io::Read;
use std::net::{TcpListener, TcpStream};

use pinefront_policy::Host;
use rstest::rstest;

use super::*;
use crate::state::proxy::ProxyHost;
use crate::test_harness::{TestHarness, request_message, send_text};

const LONG_TIMEOUT_US: Micros = 60_000_000;

#[test]
fn a_refused_connection_is_reported_in_a_later_iteration() {
    let mut harness = TestHarness::new();
    drop(harness.add_endpoint("s1"));
    let (_client, request) = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    assert_eq!(harness.outcomes(), "");
    assert!(harness.proxy.state.borrow().requests.get(request).is_some());
    assert_eq!(harness.first_outcome(), "unreachable 1");
}

#[test]
fn cancelling_closes_the_connection() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let (_client, request) = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let connection = harness.accept_request(&endpoint);
    ProxyHost(harness.proxy.state.clone()).cancel_attempt("t1", 0);
    harness.expect_close(&connection);
    let state = harness.proxy.state.borrow();
    assert_eq!(
        (
            state.endpoint_connections.len(),
            state.requests.get(request).unwrap().attempts.len()
        ),
        (0, 1)
    );
    assert_eq!(
        state
            .timers
            .next_expiry()
            .map(|_| state.endpoint_connections.len()),
        Some(0)
    );
}

#[rstest]
#[case::awaited(true, "cancelled 1")]
#[case::not_awaited(false, "cancelled 1")]
fn a_cancelled_attempt_is_reported_to_the_policy(#[case] is_awaited: bool, #[case] expected: &str) {
    let mut harness = TestHarness::new();
    let _endpoint = harness.add_endpoint("s1");
    let (_client, request) = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    if !is_awaited {
        harness
            .proxy
            .state
            .borrow_mut()
            .requests
            .get_mut(request)
            .unwrap()
            .client = None;
    }
    ProxyHost(harness.proxy.state.clone()).cancel_attempt("t1", 0);
    let is_pending = harness.proxy.state.borrow().counters.attempts_cancelled == 0;
    assert_eq!(
        (is_pending, harness.first_outcome().as_str()),
        (true, expected)
    );
    assert_eq!(
        harness.proxy.state.borrow().requests.get(request).is_some(),
        is_awaited
    );
}

/// Sends a request on a new client connection. Returns the index of the endpoint connection that
/// received it, or `None` if the request was rejected.
fn send_request(
    harness: &mut TestHarness,
    endpoint: &TcpListener,
    endpoint_connections: &mut Vec<TcpStream>,
    id: &str,
) -> Option<usize> {
    let (client, _) = harness.connect_client();
    send_text(
        &client,
        &request_message(id, "body").replace("Remaining-Ms: 900", "Remaining-Ms: 60000"),
    );
    let receiver = harness.run_until(|_| {
        if let Ok((connection, _)) = endpoint.accept() {
            connection.set_nonblocking(true).unwrap();
            endpoint_connections.push(connection);
        }
        let mut part = [0; 4096];
        let sent = endpoint_connections
            .iter_mut()
            .position(|connection| connection.read(&mut part).is_ok_and(|count| count > 0));
        let is_rejected = (&client).read(&mut part).is_ok_and(|count| count > 0);
        (sent.is_some() || is_rejected).then_some(sent)
    });
    // The client must stay connected to wait for its response.
    std::mem::forget(client);
    receiver
}

/// With two balancers the limit is one request in flight. An attempt whose response was lost counts
/// against the limit until its deadline, which is one minute here.
#[test]
fn an_endpoint_that_lost_a_response_gets_another_request() {
    let mut harness = TestHarness::with_configuration(|document| {
        document["settings"]["fleetSize"] = 2.into();
        document["settings"]["useCases"]
            .as_array_mut()
            .unwrap()
            .truncate(1);
    });
    let (endpoint, mut endpoint_connections) = (harness.add_endpoint("s1"), Vec::new());
    let mut ids = (0..).map(|number| format!("t{number}"));
    let mut next = |harness: &mut TestHarness, endpoint_connections: &mut Vec<TcpStream>| {
        ids.find_map(|id| send_request(harness, &endpoint, endpoint_connections, &id))
            .unwrap()
    };
    let answered = next(&mut harness, &mut endpoint_connections);
    send_text(
        &endpoint_connections[answered],
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    harness.first_outcome();
    let _lost = next(&mut harness, &mut endpoint_connections);
    let _after_lost_response = next(&mut harness, &mut endpoint_connections);
    assert_eq!(harness.outcomes(), "succeeded 1");
}
