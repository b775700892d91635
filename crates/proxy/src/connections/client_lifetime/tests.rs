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
fn before_its_first_request_a_connection_times_out_after_accept(
    #[case] sent: &str,
    #[case] hung: usize,
) {
    let mut harness = TestHarness::new();
    let (client, key) = harness.connect_client();
    send_text(&client, sent);
    let seen = |client: &ClientConnection| {
        client.partial_request.is_some() || client.responses_sent > 0 || sent.is_empty()
    };
    harness.run_until(|proxy| seen(&proxy.state.borrow().clients[key]).then_some(()));
    let state = harness.proxy.state.borrow();
    let (due, opened) = (
        state.clients[key].timer.unwrap().at,
        state.clients[key].accepted_at,
    );
    assert!(
        due <= opened + STALL_TIMEOUT_US && due + 1_000 * hung as u64 > opened + STALL_TIMEOUT_US,
        "{due}"
    );
}

#[rstest]
#[case::few_are_open(10, 1, MIN_IDLE_US, true)]
#[case::many_are_open(1, 1, MIN_IDLE_US, false)]
#[case::many_are_open_but_idle_only_briefly(1, 1, MIN_IDLE_US / 2, true)]
#[case::idle_for_long(10, 1, MAX_IDLE_US, false)]
#[case::never_brought_a_request(10, 0, STALL_TIMEOUT_US, false)]
fn an_idle_connection_is_closed_where_many_are_open(
    #[case] most: usize,
    #[case] requests: u64,
    #[case] stood: Micros,
    #[case] stays: bool,
) {
    let mut harness = TestHarness::new();
    let (_client, key) = harness.connect_client();
    {
        let mut state = harness.proxy.state.borrow_mut();
        state.config.max_client_connections = most;
        let now = state.now();
        (
            state.clients[key].requests_received,
            state.clients[key].waiting_since,
        ) = (requests, now - stood);
    }
    harness.proxy.client_timer_expired(key);
    assert_eq!(
        harness
            .proxy
            .state
            .borrow()
            .clients
            .get(key)
            .is_some_and(|client| client.timer.is_some()),
        stays
    );
}

#[rstest]
#[case::part_of_a_request("POST /pay", "HTTP/1.1 408 ")]
#[case::nothing("", "")]
fn a_stalled_client_is_closed(#[case] sent: &str, #[case] heard: &str) {
    let mut harness = TestHarness::new();
    let (client, key) = harness.connect_client();
    send_text(&client, sent);
    harness.run_until(|proxy| {
        (proxy.state.borrow().clients[key].read_buffer.bytes().len() == sent.len()).then_some(())
    });
    harness.proxy.client_timer_expired(key);
    if !heard.is_empty() {
        assert!(harness.read_until(&client, "\r\n\r\n").starts_with(heard));
    }
    harness.expect_close(&client);
}

#[test]
fn a_trickling_first_request_gains_no_time() {
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

/// A client that stalls in the middle of a request is owed an error or a close within 3 s, also on
/// a connection that has brought requests before. One that goes on has as much time for each step,
/// and no more than 10 s in all.
#[test]
fn a_client_that_stalls_in_a_later_request_gets_an_error_within_three_seconds() {
    let mut harness = TestHarness::new();
    let (client, key) = harness.connect_client();
    harness.proxy.state.borrow_mut().clients[key].requests_received = 1;
    let text = request_message("t1", "body");
    let mut due = 0;
    for length in [10, 20] {
        send_text(&client, &text[length - 10..length]);
        let seen = |client: &ClientConnection| {
            client
                .partial_request
                .is_some_and(|partial| partial.length == length)
        };
        harness.run_until(|proxy| seen(&proxy.state.borrow().clients[key]).then_some(()));
        let state = harness.proxy.state.borrow();
        let at = state.clients[key].timer.unwrap().at;
        assert!(
            at > due && at <= state.now() + STALL_TIMEOUT_US,
            "{at} after {due}, at {}",
            state.now()
        );
        due = at;
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
