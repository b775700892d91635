use rstest::rstest;

use std::net::Shutdown;

use bytes::Bytes;
use pinefront_policy::Micros;

use super::*;
use crate::connections::client_lifetime::{
    MAX_IDLE_US, MIN_IDLE_US, STALL_TIMEOUT_US, TRANSFER_TIMEOUT_US,
};
use crate::connections::client_response::ClientResponse;
use crate::connections::status_code::StatusCode;
use crate::test_harness::{TestHarness, message, say};

#[test]
fn a_request_that_comes_in_pieces_goes_out_unchanged_and_is_answered() {
    let mut harness = TestHarness::new();
    let endpoint = harness.endpoints();
    let (client, _) = harness.client();
    let text = message("t1", "some body");
    for piece in [
        &text[..30],
        &text[30..text.len() - 4],
        &text[text.len() - 4..],
    ] {
        say(&client, piece);
        harness
            .event_loop
            .dispatch(Some(std::time::Duration::ZERO), &mut harness.proxy)
            .unwrap();
    }
    let connection = harness.accepted(&endpoint);
    let sent = harness.heard(&connection, "some body");
    assert!(
        sent.starts_with("POST /pay/1?x=2 HTTP/1.1\r\nHost: app\r\nX-Txn: t1\r\n"),
        "{sent}"
    );
    assert!(
        sent.contains("\r\nIdempotency-Key: k\r\n") && sent.contains("\r\nContent-Length: 9\r\n"),
        "{sent}"
    );
    let wait = sent
        .split("X-Remaining-Ms: ")
        .nth(1)
        .and_then(|rest| rest.split('\r').next())
        .unwrap();
    assert!((1..900).contains(&wait.parse::<u64>().unwrap()), "{sent}");
    say(
        &connection,
        "HTTP/1.1 200 OK\r\nX-Pressure: TEXT util=0.5\r\nContent-Type: a/b\r\nContent-Length: 4\r\n\r\ndone",
    );
    let heard = harness.heard(&client, "done");
    assert_eq!(
        heard,
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: a/b\r\n\r\ndone"
    );
    let state = harness.proxy.state.borrow();
    assert_eq!(
        (
            state.requests.len(),
            state.requests.id_count(),
            state.endpoint_connections.len(),
            state.clients.len()
        ),
        (0, 0, 1, 1)
    );
}

#[test]
fn two_requests_sent_at_once_are_answered_in_turn() {
    let mut harness = TestHarness::new();
    let endpoint = harness.endpoints();
    let (client, _) = harness.client();
    say(&client, &(message("t1", "one") + &message("t2", "two")));
    for (body, answer) in [("one", "eins"), ("two", "zwei")] {
        let connection = harness.accepted(&endpoint);
        harness.heard(&connection, body);
        say(
            &connection,
            &format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\n{answer}"),
        );
        harness.heard(&client, answer);
    }
}

#[test]
fn a_second_request_under_an_open_id_is_turned_off() {
    let mut harness = TestHarness::new();
    let endpoint = harness.endpoints();
    let (first, _) = harness.client();
    say(&first, &message("t1", "body"));
    let connection = harness.accepted(&endpoint);
    let (second, _) = harness.client();
    say(&second, &message("t1", "body"));
    assert!(
        harness
            .heard(&second, "\r\n\r\n")
            .starts_with("HTTP/1.1 409 ")
    );
    harness.heard(&connection, "body");
    say(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    harness.heard(&first, "ok");
}

#[test]
fn answers_that_nobody_takes_do_not_pile_up() {
    let mut harness = TestHarness::new();
    let (client, key) = harness.client();
    let text = "GET /stats HTTP/1.1\r\n\r\n".repeat(1000);
    // Until neither side takes more: our answers fill the way back, then requests the way here.
    let mut sender = client.try_clone().unwrap();
    let mut stuck = 0;
    while stuck < 20 {
        match std::io::Write::write(&mut sender, text.as_bytes()) {
            Ok(_) => stuck = 0,
            Err(_) => stuck += 1,
        }
        for _ in 0..200 {
            harness
                .event_loop
                .dispatch(Some(std::time::Duration::ZERO), &mut harness.proxy)
                .unwrap();
            harness.proxy.run_timers();
        }
    }
    let state = harness.proxy.state.borrow();
    let client = &state.clients[key];
    assert!(
        client.read_buffer.bytes().len() <= MAX_MESSAGE_BYTES && !client.write_buffer.is_empty()
    );
    assert!(
        client.write_buffer.length() < MAX_MESSAGE_BYTES,
        "{}",
        client.write_buffer.length()
    );
}

#[test]
fn an_answer_under_way_goes_on_where_the_client_only_ended_its_sending() {
    let mut harness = TestHarness::new();
    let (client, key) = harness.client();
    // More than the sockets' buffers hold.
    let body: Vec<Bytes> = (0..100).map(|_| Bytes::from(vec![b'x'; 100_000])).collect();
    harness.proxy.state.borrow_mut().write_response(
        key,
        ClientResponse {
            body,
            ..ClientResponse::empty(StatusCode::OK)
        },
    );
    client.shutdown(Shutdown::Write).unwrap();
    let mut taken = 0;
    let mut reader = client.try_clone().unwrap();
    harness.until(|_| {
        let mut part = vec![0; 1_000_000];
        match std::io::Read::read(&mut reader, &mut part) {
            Ok(0) => Some(()),
            Ok(count) => {
                taken += count;
                None
            }
            Err(problem) => (problem.kind() != std::io::ErrorKind::WouldBlock).then_some(()),
        }
    });
    assert!(taken > 10_000_000, "{taken}");
}

#[test]
fn a_body_far_too_long_is_read_away_so_that_its_answer_arrives() {
    let mut harness = TestHarness::new();
    let (client, _) = harness.client();
    say(
        &client,
        &message("t1", "").replace("Length: 0", "Length: 700000"),
    );
    let mut sender = client.try_clone().unwrap();
    let (part, mut sent) = (vec![b'x'; 100_000], 0);
    harness.until(|_| {
        sent += std::io::Write::write(&mut sender, &part).unwrap_or(0);
        (sent >= 700_000).then_some(())
    });
    assert!(
        harness
            .heard(&client, "\r\n\r\n")
            .starts_with("HTTP/1.1 413 ")
    );
    drop((client, sender));
}

#[test]
fn a_body_without_end_is_not_read_away_for_long() {
    let mut harness = TestHarness::new();
    let (client, key) = harness.client();
    say(
        &client,
        &message("t1", "").replace("Length: 0", "Length: 60000000"),
    );
    let part = vec![b'x'; 100_000];
    harness.until(|proxy| {
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
#[case::what_is_turned_away("POST /pay HTTP/1.1\r\n\r\n", 2)]
fn without_a_request_a_connection_has_no_time_but_that_since_it_was_opened(
    #[case] sent: &str,
    #[case] hung: usize,
) {
    let mut harness = TestHarness::new();
    let (client, key) = harness.client();
    say(&client, sent);
    let seen = |client: &ClientConnection| {
        client.partial_request.is_some() || client.answered > 0 || sent.is_empty()
    };
    harness.until(|proxy| seen(&proxy.state.borrow().clients[key]).then_some(()));
    let state = harness.proxy.state.borrow();
    let (due, opened) = (
        state.clients[key].timer.unwrap().at,
        state.clients[key].opened,
    );
    assert!(
        due <= opened + STALL_TIMEOUT_US && due + 1_000 * hung as u64 > opened + STALL_TIMEOUT_US,
        "{due}"
    );
}

#[rstest]
#[case::few_stand(10, 1, MIN_IDLE_US, true)]
#[case::many_stand(1, 1, MIN_IDLE_US, false)]
#[case::many_but_only_just(1, 1, MIN_IDLE_US / 2, true)]
#[case::for_long(10, 1, MAX_IDLE_US, false)]
#[case::never_brought_a_request(10, 0, STALL_TIMEOUT_US, false)]
fn a_standing_connection_goes_where_many_stand(
    #[case] most: usize,
    #[case] requests: u64,
    #[case] stood: Micros,
    #[case] stays: bool,
) {
    let mut harness = TestHarness::new();
    let (_client, key) = harness.client();
    {
        let mut state = harness.proxy.state.borrow_mut();
        state.config.max_client_connections = most;
        let now = state.now();
        (
            state.clients[key].requests_received,
            state.clients[key].since,
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

#[test]
fn a_client_that_leaves_has_its_attempt_called_off() {
    let mut harness = TestHarness::new();
    let endpoint = harness.endpoints();
    let (client, _) = harness.client();
    say(&client, &message("t1", "body"));
    let connection = harness.accepted(&endpoint);
    drop(client);
    harness.ends(&connection);
    let state = harness.proxy.state.borrow();
    assert_eq!(
        (
            state.counters.requests_disconnected,
            state.requests.len(),
            state.endpoint_connections.len()
        ),
        (1, 0, 0)
    );
}

#[test]
fn where_nobody_serves_a_request_is_dismissed_by_the_module() {
    let mut harness = TestHarness::new();
    let (client, _) = harness.client();
    say(&client, &message("t1", "body").replace("900", "1"));
    assert!(
        harness
            .heard(&client, "\r\n\r\n")
            .starts_with("HTTP/1.1 503 ")
    );
    assert_eq!(harness.proxy.state.borrow().counters.requests_rejected, 1);
}

#[rstest]
#[case::part_of_a_request("POST /pay", "HTTP/1.1 408 ")]
#[case::nothing("", "")]
fn whoever_keeps_us_waiting_is_closed(#[case] sent: &str, #[case] heard: &str) {
    let mut harness = TestHarness::new();
    let (client, key) = harness.client();
    say(&client, sent);
    harness.until(|proxy| {
        (proxy.state.borrow().clients[key].read_buffer.bytes().len() == sent.len()).then_some(())
    });
    harness.proxy.client_timer_expired(key);
    if !heard.is_empty() {
        assert!(harness.heard(&client, "\r\n\r\n").starts_with(heard));
    }
    harness.ends(&client);
}

#[test]
fn a_request_that_trickles_in_gains_no_time() {
    let mut harness = TestHarness::new();
    let (client, key) = harness.client();
    say(&client, "POST /pay");
    let part =
        |client: &ClientConnection| client.timer.filter(|_| client.partial_request.is_some());
    let first = harness.until(|proxy| part(&proxy.state.borrow().clients[key]));
    say(&client, "/1 HTTP/1.1\r\n");
    harness.until(|proxy| {
        (proxy.state.borrow().clients[key].read_buffer.bytes().len() > 9).then_some(())
    });
    assert_eq!(harness.proxy.state.borrow().clients[key].timer, Some(first));
}

#[test]
fn a_sender_that_waits_for_word_is_told_to_go_on_once() {
    let mut harness = TestHarness::new();
    let (client, _) = harness.client();
    say(
        &client,
        &message("t1", "").replace("Length: 0", "Length: 4\r\nExpect: 100-continue"),
    );
    assert_eq!(
        harness.heard(&client, "\r\n\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n"
    );
    say(&client, "body");
    assert!(
        harness
            .heard(&client, "\r\n\r\n")
            .starts_with("HTTP/1.1 503 ")
    );
}

#[test]
fn ready_waits_for_a_list() {
    let mut harness = TestHarness::new();
    let (client, _) = harness.client();
    say(&client, "GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(
        harness
            .heard(&client, "not ready\n")
            .starts_with("HTTP/1.1 503 ")
    );
    let discovery = harness.discovery.try_clone().unwrap();
    let call = harness.accepted(&discovery);
    assert!(
        harness
            .heard(&call, "\r\n\r\n")
            .starts_with("GET /registry/instances HTTP/1.1\r\n")
    );
    let list = r#"{"rev":4,"all":true,"targets":[]}"#;
    say(
        &call,
        &format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        ),
    );
    harness.heard(&call, "\r\n\r\n");
    say(&client, "GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(
        harness
            .heard(&client, "ready\n")
            .starts_with("HTTP/1.1 200 ")
    );
}

#[rstest]
#[case::said("1.1\r\nConnection: Close")]
#[case::of_old("1.0")]
fn a_client_that_wants_no_more_is_closed_after_its_answer(#[case] version: &str) {
    let mut harness = TestHarness::new();
    let (client, _) = harness.client();
    say(&client, &format!("GET /stats HTTP/{version}\r\n\r\n"));
    let heard = harness.heard(&client, "longest_loop_iteration_us 0\n");
    assert!(
        heard.contains("\r\nConnection: close\r\n")
            && heard.contains("\nclient_connections_accepted 1\n"),
        "{heard}"
    );
    harness.ends(&client);
}

#[test]
fn what_clients_send_is_kept_within_the_room_for_it() {
    let mut harness = TestHarness::new();
    harness.proxy.state.borrow_mut().config.max_message_bytes = 50_000;
    let (first, one) = harness.client();
    let text = message("t1", &"x".repeat(40_000));
    say(&first, &text[..30_000]);
    harness.until(|proxy| (proxy.state.borrow().buffered_bytes() == 30_000).then_some(()));
    let (second, _) = harness.client();
    say(&second, &text[..30_000]);
    assert!(
        harness
            .heard(&second, "\r\n\r\n")
            .starts_with("HTTP/1.1 503 ")
    );
    let (third, _) = harness.client();
    say(&third, "GET /health/live HTTP/1.1\r\n\r\n");
    assert!(
        harness.heard(&third, "live\n").starts_with("HTTP/1.1 200 "),
        "small ones are taken"
    );
    drop((first, second, third));
    harness.until(|proxy| proxy.state.borrow().clients.is_empty().then_some(()));
    assert_eq!(
        (
            harness.proxy.state.borrow().buffered_bytes(),
            harness.proxy.state.borrow().clients.get(one).is_some()
        ),
        (0, false)
    );
}

#[test]
fn a_request_is_counted_until_it_is_over() {
    let mut harness = TestHarness::new();
    let endpoint = harness.endpoints();
    let (client, _) = harness.client();
    let text = message("t1", "body");
    say(&client, &text);
    let connection = harness.accepted(&endpoint);
    harness.heard(&connection, "body");
    assert_eq!(harness.proxy.state.borrow().buffered_bytes(), text.len());
    say(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    harness.heard(&client, "ok");
    assert_eq!(harness.proxy.state.borrow().buffered_bytes(), 0);
}

#[rstest]
#[case::crowd(0, true)]
#[case::none(1, false)]
fn in_a_crowd_a_connection_closes_with_its_answer(#[case] crowd: usize, #[case] closes: bool) {
    let mut harness = TestHarness::new();
    harness.proxy.state.borrow_mut().config.crowd_threshold = crowd;
    let endpoint = harness.endpoints();
    let (client, key) = harness.client();
    say(&client, &message("t1", "body"));
    let connection = harness.accepted(&endpoint);
    harness.heard(&connection, "body");
    say(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    assert_eq!(
        harness
            .heard(&client, "ok")
            .contains("Connection: close\r\n"),
        closes
    );
    assert_eq!(
        harness.proxy.state.borrow().clients[key].is_lingering,
        closes
    );
    if closes {
        // Our sending is over at once, the connection when the client sees it; what it sent
        // meanwhile resets nothing.
        say(&client, &message("t2", "body"));
        harness.ends(&client);
        assert_eq!(harness.proxy.state.borrow().counters.requests_received, 1);
        drop(client);
        harness.until(|proxy| (!proxy.state.borrow().clients.contains_key(key)).then_some(()));
    }
}

/// Between what we read ahead and the end that lies behind it: a client that sent on and left is
/// seen to have gone.
#[rstest]
#[case::as_much_as_is_read(READ_AHEAD_BYTES)]
#[case::more(10 * READ_AHEAD_BYTES)]
fn a_client_that_leaves_behind_unread_bytes_is_seen_to_go(#[case] behind: usize) {
    let mut harness = TestHarness::new();
    let _endpoint = harness.endpoint("s1");
    let (client, _) = harness.start_attempt("t1", "s1", 60_000_000);
    say(&client, &"x".repeat(behind));
    harness.until(|proxy| {
        let state = proxy.state.borrow();
        state
            .clients
            .values()
            .any(|client| client.read_buffer.bytes().len() >= READ_AHEAD_BYTES)
            .then_some(())
    });
    assert_eq!(
        harness.proxy.state.borrow().counters.requests_disconnected,
        0
    );
    client.shutdown(Shutdown::Write).unwrap();
    harness.until(|proxy| (proxy.state.borrow().counters.requests_disconnected == 1).then_some(()));
}

/// A request that was read and whose connection is closed with no answer is lost: neither a crowd
/// nor a stop closes over what was read ahead.
#[test]
fn requests_read_ahead_are_answered_before_the_connection_closes() {
    for (crowd, closing) in [(0, false), (usize::MAX, true)] {
        let mut harness = TestHarness::new();
        let endpoint = harness.endpoints();
        let (client, key) = harness.client();
        say(&client, &(message("t1", "one") + &message("t2", "two")));
        let first = harness.accepted(&endpoint);
        harness.heard(&first, "one");
        {
            let mut state = harness.proxy.state.borrow_mut();
            (state.config.crowd_threshold, state.closing) = (crowd, closing);
            assert!(
                !state.clients[key].read_buffer.bytes().is_empty(),
                "the second is read ahead"
            );
        }
        say(
            &first,
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\neins",
        );
        assert!(!harness.heard(&client, "eins").contains("Connection: close"));
        let second = harness.accepted(&endpoint);
        harness.heard(&second, "two");
        say(
            &second,
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nzwei",
        );
        assert!(harness.heard(&client, "zwei").contains("Connection: close"));
        harness.ends(&client);
    }
}

/// Who stops in the middle of a request and stays is owed its error or close within 3 s, also on a
/// connection that has brought requests before (10 s until 2026-12-02); who goes on has so much for
/// each step, and no more than 10 s in all.
#[test]
fn a_client_that_stops_in_the_middle_of_a_further_request_has_its_error_within_three_seconds() {
    let mut harness = TestHarness::new();
    let (client, key) = harness.client();
    harness.proxy.state.borrow_mut().clients[key].requests_received = 1;
    let text = message("t1", "body");
    let mut due = 0;
    for length in [10, 20] {
        say(&client, &text[length - 10..length]);
        let seen = |client: &ClientConnection| {
            client
                .partial_request
                .is_some_and(|partial| partial.length == length)
        };
        harness.until(|proxy| seen(&proxy.state.borrow().clients[key]).then_some(()));
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
        partial.began -= TRANSFER_TIMEOUT_US;
    }
    say(&client, &text[20..30]);
    assert!(
        harness
            .heard(&client, "\r\n\r\n")
            .starts_with("HTTP/1.1 408 ")
    );
}

/// The end of an attempt frees its key, also where its client has left and nobody waits for the
/// answer.
#[test]
fn a_client_that_leaves_does_not_block_its_key_for_ever() {
    let mut harness = TestHarness::with(|told| {
        told["settings"]["useCases"][0]["inOrder"] = true.into();
        told["settings"]["rules"]["turnGapUs"] = 1_000.into();
    });
    let endpoint = harness.endpoints();
    let keyed = |id| message(id, "body").replace("X-Lane", "X-Entity: k\r\nX-Lane");
    let (first, _) = harness.client();
    say(&first, &keyed("t1"));
    let connection = harness.accepted(&endpoint);
    harness.heard(&connection, "body");
    drop(first);
    harness.ends(&connection);
    let (second, _) = harness.client();
    say(&second, &keyed("t2"));
    let counters = |proxy: &Proxy| {
        let state = proxy.state.borrow();
        (state.counters.attempts, state.counters.requests_rejected)
    };
    let came = harness.until(|proxy| Some(counters(proxy)).filter(|came| *came != (1, 0)));
    assert_eq!(came, (2, 0));
}
