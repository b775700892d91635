use rstest::rstest;

use crate::test_harness::{TestHarness, request_message, send_text};

#[rstest]
#[case::stated("1.1\r\nConnection: Close")]
#[case::http_1_0("1.0")]
fn a_connection_without_keep_alive_is_closed_after_the_response(#[case] version: &str) {
    let mut harness = TestHarness::new();
    let (client, _) = harness.connect_client();
    send_text(&client, &format!("GET /stats HTTP/{version}\r\n\r\n"));
    let received = harness.read_until(&client, "longest_loop_iteration_us 0\n");
    assert!(
        received.contains("\r\nConnection: close\r\n")
            && received.contains("\nclient_connections_accepted 1\n"),
        "{received}"
    );
    harness.expect_close(&client);
}

#[rstest]
#[case::above(0, true)]
#[case::none(1, false)]
fn above_the_threshold_a_connection_closes_after_the_response(
    #[case] threshold: usize,
    #[case] closes: bool,
) {
    let mut harness = TestHarness::new();
    harness
        .proxy
        .state
        .borrow_mut()
        .config
        .active_client_threshold = threshold;
    let endpoint = harness.add_endpoints();
    let (client, key) = harness.connect_client();
    send_text(&client, &request_message("t1", "body"));
    let connection = harness.accept_request(&endpoint);
    send_text(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    assert_eq!(
        harness
            .read_until(&client, "ok")
            .contains("Connection: close\r\n"),
        closes
    );
    assert_eq!(
        harness.proxy.state.borrow().clients[key].is_lingering,
        closes
    );
    if closes {
        // The write side is shut down immediately, and the connection is closed when the client
        // closes its side. Bytes that the client sent in between cause no reset.
        send_text(&client, &request_message("t2", "body"));
        harness.expect_close(&client);
        assert_eq!(harness.proxy.state.borrow().counters.requests_received, 1);
        drop(client);
        harness.run_until(|proxy| (!proxy.state.borrow().clients.contains_key(key)).then_some(()));
    }
}

/// A request that was read ahead would be lost if its connection were closed. Neither the
/// connection threshold nor the shutdown closes such a connection.
#[test]
fn requests_read_ahead_are_answered_before_the_connection_closes() {
    for (threshold, closing) in [(0, false), (usize::MAX, true)] {
        let mut harness = TestHarness::new();
        let endpoint = harness.add_endpoints();
        let (client, key) = harness.connect_client();
        send_text(
            &client,
            &(request_message("t1", "one") + &request_message("t2", "two")),
        );
        let first = harness.accept_connection(&endpoint);
        harness.read_until(&first, "one");
        {
            let mut state = harness.proxy.state.borrow_mut();
            (
                state.config.active_client_threshold,
                state.is_closing_connections,
            ) = (threshold, closing);
            assert!(
                !state.clients[key].read_buffer.bytes().is_empty(),
                "the second is read ahead"
            );
        }
        send_text(
            &first,
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\neins",
        );
        assert!(
            !harness
                .read_until(&client, "eins")
                .contains("Connection: close")
        );
        let second = harness.accept_connection(&endpoint);
        harness.read_until(&second, "two");
        send_text(
            &second,
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nzwei",
        );
        assert!(
            harness
                .read_until(&client, "zwei")
                .contains("Connection: close")
        );
        harness.expect_close(&client);
    }
}
