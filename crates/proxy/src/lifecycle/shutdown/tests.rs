use rstest::rstest;

use super::*;
use crate::test_harness::{TestHarness, request_message, send_text};

#[test]
fn a_shutdown_answers_requests_then_closes_idle_connections() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoints();
    let (busy, _) = harness.connect_client();
    let (idle, key) = harness.connect_client();
    harness.proxy.state.borrow_mut().clients[key].responses_sent = 1;
    send_text(&busy, &request_message("t1", "body"));
    let connection = harness.accept_connection(&endpoint);
    harness.read_until(&connection, "body");
    harness.proxy.signalled(Signal::SIGTERM);
    // The clients of the only balancer have no other (re6c252), so it goes on serving.
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
    let began = harness.proxy.state.borrow().now() - SERVE_PERIOD_US;
    harness.proxy.state.borrow_mut().shutdown_started_at = Some(began);
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
#[case::no_longer(ACCEPT_PERIOD_US, false, false)]
#[case::done(SERVE_PERIOD_US, false, true)]
fn a_shutdown_keeps_accepting_for_a_while(
    #[case] since: Micros,
    #[case] listens: bool,
    #[case] over: bool,
) {
    let mut harness = TestHarness::new();
    let began = harness.proxy.state.borrow().now() - since;
    harness.proxy.state.borrow_mut().shutdown_started_at = Some(began);
    harness.proxy.continue_shutdown();
    assert_eq!(
        (
            harness.proxy.state.borrow().listener.is_some(),
            harness.proxy.is_finished
        ),
        (listens, over)
    );
}

#[test]
fn the_backlog_is_not_dropped_for_want_of_descriptors() {
    let mut harness = TestHarness::new();
    harness
        .proxy
        .state
        .borrow_mut()
        .config
        .max_client_connections = 0;
    let waiting = std::net::TcpStream::connect(harness.address).unwrap();
    let began = harness.proxy.state.borrow().now() - SERVE_PERIOD_US;
    harness.proxy.state.borrow_mut().shutdown_started_at = Some(began);
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

/// A request arrives between the last read of an idle connection and its close: it is ignored, and
/// the response before it is not lost to a reset.
#[test]
fn a_request_that_crosses_the_close_is_discarded_and_resets_nothing() {
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
    assert!(!harness.proxy.is_finished, "its end is under way");
    harness.run_until(|proxy| proxy.is_finished.then_some(()));
    let mut heard = String::new();
    std::io::Read::read_to_string(&mut client, &mut heard).unwrap();
    assert!(heard.ends_with("live\n"), "{heard}");
    assert_eq!(harness.proxy.state.borrow().counters.requests_received, 0);
}

/// Part of a request when the connections close is read on; one that stays incomplete is answered,
/// and no connection is left open.
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
    harness.proxy.signalled(Signal::SIGTERM);
    let began = harness.proxy.state.borrow().now() - SERVE_PERIOD_US;
    harness.proxy.state.borrow_mut().shutdown_started_at = Some(began);
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
            Some(began - PARTIAL_REQUEST_PERIOD_US);
        let heard = harness.read_until(&client, "\r\n\r\n");
        assert!(
            heard.starts_with("HTTP/1.1 503 ") && heard.contains("Connection: close"),
            "{heard}"
        );
    }
    harness.expect_close(&client);
    drop(client);
    harness.run_until(|proxy| proxy.is_finished.then_some(()));
}

/// Requests may take longer than any shutdown: they have their own deadlines.
#[test]
fn a_shutdown_does_not_abandon_requests_with_a_late_deadline() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let (client, _) = harness.start_attempt("t1", "s1", 30_000_000);
    let connection = harness.accept_connection(&endpoint);
    harness.read_until(&connection, "body");
    harness.proxy.signalled(Signal::SIGTERM);
    let began = harness.proxy.state.borrow().now() - MAX_SHUTDOWN_US;
    harness.proxy.state.borrow_mut().shutdown_started_at = Some(began);
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
