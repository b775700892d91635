use rstest::rstest;

use pinefront_policy::Micros;

use super::*;
use crate::connections::client_lifetime::{
    MAX_IDLE_US, MIN_IDLE_US, STALL_TIMEOUT_US, TRANSFER_TIMEOUT_US,
};
use crate::test_harness::{TestHarness, request_message, send_text};

#[test]
fn an_oversized_body_is_discarded_so_that_the_response_arrives() {
    let mut harness = TestHarness::new();
    let (client, _) = harness.connect_client();
    send_text(
        &client,
        &request_message("t1", "").replace("Length: 0", "Length: 700000"),
    );
    let mut sender = client.try_clone().unwrap();
    let (part, mut sent) = (vec![b'x'; 100_000], 0);
    harness.run_until(|_| {
        sent += std::io::Write::write(&mut sender, &part).unwrap_or(0);
        (sent >= 700_000).then_some(())
    });
    assert!(
        harness
            .read_until(&client, "\r\n\r\n")
            .starts_with("HTTP/1.1 413 ")
    );
    drop((client, sender));
}

#[test]
fn discarding_an_endless_body_is_bounded() {
    let mut harness = TestHarness::new();
    let (client, key) = harness.connect_client();
    send_text(
        &client,
        &request_message("t1", "").replace("Length: 0", "Length: 60000000"),
    );
    let part = vec![b'x'; 100_000];
    harness.run_until(|proxy| {
        _ = std::io::Write::write(&mut &client, &part);
        proxy
            .state
            .borrow()
            .clients
            .get(key)
            .is_none()
            .then_some(())
    });
}

#[rstest]
#[case::nothing("", 1)]
#[case::part_of_a_request("POST /pay", 1)]
#[case::an_invalid_request("POST /pay HTTP/1.1\r\n\r\n", 2)]
fn before_the_first_request_the_timeout_counts_from_accept(
    #[case] sent: &str,
    #[case] tolerance_ms: usize,
) {
    let mut harness = TestHarness::new();
    let (client, key) = harness.connect_client();
    send_text(&client, sent);
    let is_received = |client: &ClientConnection| {
        client.partial_request.is_some() || client.responses_sent > 0 || sent.is_empty()
    };
    harness.run_until(|proxy| is_received(&proxy.state.borrow().clients[key]).then_some(()));
    let state = harness.proxy.state.borrow();
    let (expires_at, accepted_at) = (
        state.clients[key].timer.unwrap().at,
        state.clients[key].accepted_at,
    );
    assert!(
        expires_at <= accepted_at + STALL_TIMEOUT_US
            && expires_at + 1_000 * tolerance_ms as u64 > accepted_at + STALL_TIMEOUT_US,
        "{expires_at}"
    );
}

#[rstest]
#[case::few_are_open(10, 1, MIN_IDLE_US, true)]
#[case::many_are_open(1, 1, MIN_IDLE_US, false)]
#[case::many_are_open_but_idle_only_briefly(1, 1, MIN_IDLE_US / 2, true)]
#[case::idle_for_long(10, 1, MAX_IDLE_US, false)]
#[case::no_request_received(10, 0, STALL_TIMEOUT_US, false)]
fn an_idle_connection_is_closed_early_when_many_are_open(
    #[case] max_connections: usize,
    #[case] requests: u64,
    #[case] idle: Micros,
    #[case] is_kept: bool,
) {
    let mut harness = TestHarness::new();
    let (_client, key) = harness.connect_client();
    {
        let mut state = harness.proxy.state.borrow_mut();
        state.config.max_client_connections = max_connections;
        let now = state.now();
        (
            state.clients[key].requests_received,
            state.clients[key].waiting_since,
        ) = (requests, now - idle);
    }
    harness.proxy.handle_client_timer(key);
    assert_eq!(
        harness
            .proxy
            .state
            .borrow()
            .clients
            .get(key)
            .is_some_and(|client| client.timer.is_some()),
        is_kept
    );
}

#[rstest]
#[case::part_of_a_request("POST /pay", "HTTP/1.1 408 ")]
#[case::nothing("", "")]
fn a_stalled_client_is_closed(#[case] sent: &str, #[case] expected_start: &str) {
    let mut harness = TestHarness::new();
    let (client, key) = harness.connect_client();
    send_text(&client, sent);
    harness.run_until(|proxy| {
        (proxy.state.borrow().clients[key].read_buffer.bytes().len() == sent.len()).then_some(())
    });
    harness.proxy.handle_client_timer(key);
    if !expected_start.is_empty() {
        assert!(
            harness
                .read_until(&client, "\r\n\r\n")
                .starts_with(expected_start)
        );
    }
    harness.expect_close(&client);
}

#[test]
fn a_slowly_sent_first_request_gets_no_extra_time() {
    let mut harness = TestHarness::new();
    let (client, key) = harness.connect_client();
    send_text(&client, "POST /pay");
    let part =
        |client: &ClientConnection| client.timer.filter(|_| client.partial_request.is_some());
    let first = harness.run_until(|proxy| part(&proxy.state.borrow().clients[key]));
    send_text(&client, "/1 HTTP/1.1\r\n");
    harness.run_until(|proxy| {
        (proxy.state.borrow().clients[key].read_buffer.bytes().len() > 9).then_some(())
    });
    assert_eq!(harness.proxy.state.borrow().clients[key].timer, Some(first));
}

/// A client that stalls in the middle of a request must get an error or a close within 3 s, even on
/// a connection that has carried requests before. A client that continues gets the same time for
/// each step, but no more than 10 s in total.
#[test]
fn a_stall_in_a_later_request_gets_an_error_within_three_seconds() {
    let mut harness = TestHarness::new();
    let (client, key) = harness.connect_client();
    harness.proxy.state.borrow_mut().clients[key].requests_received = 1;
    let text = request_message("t1", "body");
    let mut expires_at = 0;
    for length in [10, 20] {
        send_text(&client, &text[length - 10..length]);
        let is_received = |client: &ClientConnection| {
            client
                .partial_request
                .is_some_and(|partial| partial.length == length)
        };
        harness.run_until(|proxy| is_received(&proxy.state.borrow().clients[key]).then_some(()));
        let state = harness.proxy.state.borrow();
        let at = state.clients[key].timer.unwrap().at;
        assert!(
            at > expires_at && at <= state.now() + STALL_TIMEOUT_US,
            "{at} after {expires_at}, at {}",
            state.now()
        );
        expires_at = at;
    }
    if let Some(partial) = &mut harness.proxy.state.borrow_mut().clients[key].partial_request {
        partial.started_at -= TRANSFER_TIMEOUT_US;
    }
    send_text(&client, &text[20..30]);
    assert!(
        harness
            .read_until(&client, "\r\n\r\n")
            .starts_with("HTTP/1.1 408 ")
    );
}
