use std::io::Read;
use std::net::{TcpListener, TcpStream};

use pinefront_policy::Host;
use rstest::rstest;

use super::*;
use crate::state::proxy::ProxyHost;
use crate::test_harness::{TestHarness, request_message, send_text};

const LONG: Micros = 60_000_000;

#[test]
fn a_refused_connection_is_reported_in_a_later_iteration() {
    let mut harness = TestHarness::new();
    drop(harness.endpoint("s1"));
    let (_client, request) = harness.start_attempt("t1", "s1", LONG);
    assert_eq!(harness.outcomes(), "");
    assert!(harness.proxy.state.borrow().requests.get(request).is_some());
    assert_eq!(harness.first_outcome(), "unreachable 1");
}

#[test]
fn cancelling_closes_the_connection() {
    let mut harness = TestHarness::new();
    let endpoint = harness.endpoint("s1");
    let (_client, request) = harness.start_attempt("t1", "s1", LONG);
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
#[case::answered(false, "cancelled 1")]
fn a_cancelled_attempt_is_reported_to_the_policy(#[case] waits: bool, #[case] heard: &str) {
    let mut harness = TestHarness::new();
    let _endpoint = harness.endpoint("s1");
    let (_client, request) = harness.start_attempt("t1", "s1", LONG);
    if !waits {
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
    let hung = harness.proxy.state.borrow().counters.attempts_cancelled == 0;
    assert_eq!((hung, harness.first_outcome().as_str()), (true, heard));
    assert_eq!(
        harness.proxy.state.borrow().requests.get(request).is_some(),
        waits
    );
}

/// Sends a request of a new client. Returns the connection on which it reached an endpoint, or none
/// where it was rejected.
fn reaches(
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
    let took = harness.run_until(|_| {
        if let Ok((connection, _)) = endpoint.accept() {
            connection.set_nonblocking(true).unwrap();
            endpoint_connections.push(connection);
        }
        let mut part = [0; 4096];
        let sent = endpoint_connections
            .iter_mut()
            .position(|connection| connection.read(&mut part).is_ok_and(|count| count > 0));
        let dismissed = (&client).read(&mut part).is_ok_and(|count| count > 0);
        (sent.is_some() || dismissed).then_some(sent)
    });
    // The client goes on waiting for its response.
    std::mem::forget(client);
    took
}

/// With two balancers the limit is one request in flight. An attempt whose response was lost counts
/// against it until its deadline, a minute here.
#[test]
fn an_endpoint_that_lost_a_response_gets_another_request() {
    let mut harness = TestHarness::with(|told| {
        told["settings"]["fleetSize"] = 2.into();
        told["settings"]["useCases"]
            .as_array_mut()
            .unwrap()
            .truncate(1);
    });
    let (endpoint, mut endpoint_connections) = (harness.endpoint("s1"), Vec::new());
    let mut ids = (0..).map(|number| format!("t{number}"));
    let mut next = |harness: &mut TestHarness, endpoint_connections: &mut Vec<TcpStream>| {
        ids.find_map(|id| reaches(harness, &endpoint, endpoint_connections, &id))
            .unwrap()
    };
    let answered = next(&mut harness, &mut endpoint_connections);
    send_text(
        &endpoint_connections[answered],
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    harness.first_outcome();
    let _lost = next(&mut harness, &mut endpoint_connections);
    let _after_it = next(&mut harness, &mut endpoint_connections);
    assert_eq!(harness.outcomes(), "succeeded 1");
}
