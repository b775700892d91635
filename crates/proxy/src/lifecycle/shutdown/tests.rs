use rstest::rstest;

use super::*;
use crate::test_harness::{TestHarness, request_message, send_text};

#[test]
fn a_shutdown_responds_to_requests_and_then_closes_idle_connections() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoints();
    let (busy, _) = harness.connect_client();
    let (idle, key) = harness.connect_client();
    harness.proxy.state.borrow_mut().clients[key].responses_sent = 1;
    send_text(&busy, &request_message("t1", "body"));
    let connection = harness.accept_connection(&endpoint);
    harness.read_until(&connection, "body");
    harness.proxy.handle_signal(Signal::SIGTERM);
    // Clients of the only balancer have no alternative (re6c252), so it continues to serve.
    let (late, _) = harness.connect_client();
    send_text(&late, "GET /health/ready HTTP/1.1\r\n\r\n");
    let response = harness.read_until(&late, "not ready\n");
    assert!(response.starts_with("HTTP/1.1 503 ") && !response.contains("Connection: close"));
    send_text(&idle, "GET /health/live HTTP/1.1\r\n\r\n");
    assert!(
        !harness
            .read_until(&idle, "live\n")
            .contains("Connection: close")
    );
    let started_at = harness.proxy.state.borrow().now() - SERVE_PERIOD_US;
    harness.proxy.state.borrow_mut().shutdown_started_at = Some(started_at);
    harness.expect_close(&idle);
    assert!(!harness.proxy.is_finished);
    send_text(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    assert!(
        harness
            .read_until(&busy, "ok")
            .contains("Connection: close\r\n")
    );
    drop((busy, late));
    harness.run_until(|proxy| proxy.is_finished.then_some(()));
    assert!(harness.proxy.state.borrow().listener.is_none());
}

#[rstest]
#[case::accepting(0, true, false)]
#[case::no_longer_accepting(ACCEPT_PERIOD_US, false, false)]
#[case::complete(SERVE_PERIOD_US, false, true)]
fn a_shutdown_accepts_connections_for_a_limited_time(
    #[case] elapsed: Micros,
    #[case] is_listening: bool,
    #[case] is_finished: bool,
) {
    let mut harness = TestHarness::new();
    let started_at = harness.proxy.state.borrow().now() - elapsed;
    harness.proxy.state.borrow_mut().shutdown_started_at = Some(started_at);
    harness.proxy.continue_shutdown();
    assert_eq!(
        (
            harness.proxy.state.borrow().listener.is_some(),
            harness.proxy.is_finished
        ),
        (is_listening, is_finished)
    );
}

#[test]
fn the_backlog_is_kept_while_no_descriptor_is_available() {
    let mut harness = TestHarness::new();
    harness
        .proxy
        .state
        .borrow_mut()
        .config
        .max_client_connections = 0;
    let waiting = std::net::TcpStream::connect(harness.address).unwrap();
    let started_at = harness.proxy.state.borrow().now() - SERVE_PERIOD_US;
    harness.proxy.state.borrow_mut().shutdown_started_at = Some(started_at);
    harness.proxy.continue_shutdown();
    assert!(harness.proxy.state.borrow().listener.is_some() && !harness.proxy.is_finished);
    harness
        .proxy
        .state
        .borrow_mut()
        .config
        .max_client_connections = 1;
    harness.proxy.continue_shutdown();
    assert!(harness.proxy.state.borrow().listener.is_none());
    drop(waiting);
}

/// A request that arrives between the last read of an idle connection and its close is ignored, and
/// must not cause a TCP reset that loses the response before it.
#[test]
fn a_request_that_arrives_during_the_close_is_discarded_without_a_reset() {
    let mut harness = TestHarness::new();
    let (mut client, key) = harness.connect_client();
    send_text(&client, "GET /health/live HTTP/1.1\r\n\r\n");
    harness
        .run_until(|proxy| (proxy.state.borrow().clients[key].responses_sent == 1).then_some(()));
    {
        let mut state = harness.proxy.state.borrow_mut();
        (state.shutdown_started_at, state.is_closing_connections) =
            (Some(state.now() - SERVE_PERIOD_US), true);
        state.close_idle_clients();
    }
    send_text(&client, &request_message("t1", "body"));
    harness.proxy.continue_shutdown();
    assert!(
        !harness.proxy.is_finished,
        "the connection is still closing"
    );
    harness.run_until(|proxy| proxy.is_finished.then_some(()));
    let mut received = String::new();
    std::io::Read::read_to_string(&mut client, &mut received).unwrap();
    assert!(received.ends_with("live\n"), "{received}");
    assert_eq!(harness.proxy.state.borrow().counters.requests_received, 0);
}

/// A request that is incomplete when connections are closed is read further. If it stays
/// incomplete, it gets a response, and no connection is left open.
#[rstest]
#[case::completed(true)]
#[case::incomplete(false)]
fn a_shutdown_waits_for_incomplete_requests(#[case] is_completed: bool) {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoints();
    let (client, key) = harness.connect_client();
    let text = request_message("t1", "body");
    send_text(&client, &text[..40]);
    harness.run_until(|proxy| {
        proxy.state.borrow().clients[key]
            .partial_request
            .map(|_| ())
    });
    harness.proxy.handle_signal(Signal::SIGTERM);
    let started_at = harness.proxy.state.borrow().now() - SERVE_PERIOD_US;
    harness.proxy.state.borrow_mut().shutdown_started_at = Some(started_at);
    harness.run_until(|proxy| proxy.state.borrow().is_closing_connections.then_some(()));
    assert!(!harness.proxy.is_finished);
    if is_completed {
        send_text(&client, &text[40..]);
        let connection = harness.accept_connection(&endpoint);
        harness.read_until(&connection, "body");
        send_text(
            &connection,
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        );
        assert!(
            harness
                .read_until(&client, "ok")
                .contains("Connection: close")
        );
    } else {
        harness.proxy.state.borrow_mut().shutdown_started_at =
            Some(started_at - PARTIAL_REQUEST_PERIOD_US);
        let received = harness.read_until(&client, "\r\n\r\n");
        assert!(
            received.starts_with("HTTP/1.1 503 ") && received.contains("Connection: close"),
            "{received}"
        );
    }
    harness.expect_close(&client);
    drop(client);
    harness.run_until(|proxy| proxy.is_finished.then_some(()));
}

/// Requests may take longer than the maximum shutdown time, as they have their own deadlines.
#[test]
fn a_shutdown_does_not_abandon_requests_with_a_late_deadline() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let (client, _) = harness.start_attempt("t1", "s1", 30_000_000);
    let connection = harness.accept_connection(&endpoint);
    harness.read_until(&connection, "body");
    harness.proxy.handle_signal(Signal::SIGTERM);
    let started_at = harness.proxy.state.borrow().now() - MAX_SHUTDOWN_US;
    harness.proxy.state.borrow_mut().shutdown_started_at = Some(started_at);
    harness.proxy.continue_shutdown();
    assert!(!harness.proxy.is_finished);
    send_text(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    harness.read_until(&client, "ok");
    drop(client);
    harness.run_until(|proxy| proxy.is_finished.then_some(()));
}
