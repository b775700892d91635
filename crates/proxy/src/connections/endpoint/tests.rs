use rstest::rstest;

use super::*;
use crate::state::buffers::WriteBuffer;
use crate::test_harness::{TestHarness, send_text};

const LONG_TIMEOUT_US: Micros = 60_000_000;

#[rstest]
#[case::rejected(
    "503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
    "rejected 1",
    1
)]
#[case::late(
    "504 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
    "rejected 1",
    1
)]
#[case::not_marked_as_rejected("503 No\r\nContent-Length: 0\r\n\r\n", "failed 1", 1)]
#[case::error("500 No\r\nContent-Length: 2\r\n\r\nno", "failed 1", 1)]
#[case::rejected_with_other_status(
    "500 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
    "failed 1",
    1
)]
#[case::closing(
    "500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    "failed 1",
    0
)]
#[case::interim_response(
    "100 Continue\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    "failed 1",
    1
)]
#[case::endless_interim_responses(&"100 Continue\r\n\r\nHTTP/1.1 ".repeat(20), "failed 1", 0)]
#[case::unsolicited_bytes("500 No\r\nContent-Length: 0\r\n\r\nmore", "failed 1", 0)]
#[case::malformed("two hundred\r\n\r\n", "failed 1", 0)]
#[case::switching_protocols("101 Other\r\n\r\n", "failed 1", 0)]
#[case::two_lengths(
    "200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "failed 1",
    0
)]
#[case::too_long("200 OK\r\nContent-Length: 65537\r\n\r\n", "failed 1", 0)]
#[case::bad_chunk("200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "failed 1", 0)]
#[case::succeeded("200 OK\r\nContent-Length: 2\r\n\r\nok", "succeeded 1", 1)]
#[case::succeeded_chunked(
    "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "succeeded 1",
    1
)]
fn a_response_ends_the_attempt(
    #[case] response: &str,
    #[case] expected: &str,
    #[case] idle: usize,
) {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let _client = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let connection = harness.accept_request(&endpoint);
    send_text(&connection, &format!("HTTP/1.1 {response}"));
    assert_eq!(harness.first_outcome(), expected);
    let state = harness.proxy.state.borrow();
    assert_eq!(
        (
            state.endpoint_connections.len(),
            state
                .endpoints
                .get(state.endpoints.key_of("s1").unwrap())
                .unwrap()
                .idle_connections
                .len()
        ),
        (idle, idle)
    );
}

#[rstest]
#[case::nothing("", "connection_lost 1")]
#[case::half_a_body("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", "connection_lost 1")]
#[case::rejected_until_close("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\n\r\nno", "rejected 1")]
fn an_attempt_that_loses_its_connection_after_the_last_byte_may_have_run(
    #[case] response: &str,
    #[case] expected: &str,
) {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let _client = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let connection = harness.accept_request(&endpoint);
    send_text(&connection, response);
    drop(connection);
    assert_eq!(harness.first_outcome(), expected);
}

#[rstest]
#[case::not_connected(false, true, "unreachable 1")]
#[case::not_written(true, false, "unreachable 1")]
#[case::written(true, true, "timed_out 1")]
fn a_timed_out_attempt_is_proven_not_run_only_while_unwritten(
    #[case] connected: bool,
    #[case] written: bool,
    #[case] expected: &str,
) {
    let mut harness = TestHarness::new();
    let _endpoint = harness.add_endpoint("s1");
    let _client = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let key = harness.only_endpoint_connection();
    {
        let mut state = harness.proxy.state.borrow_mut();
        // The event loop writes the request only when the connection is established.
        let now = state.now();
        assert_eq!(
            (
                state.write_attempt(key, now),
                state.endpoint_connections[key].write_buffer.is_empty()
            ),
            (Ok(()), false)
        );
        let connection = &mut state.endpoint_connections[key];
        connection.is_connected = connected;
        if written {
            connection.write_buffer = WriteBuffer::default();
        }
        connection.exchange.as_mut().unwrap().expire_at = 0;
    }
    harness.proxy.handle_endpoint_connection_timer(key);
    assert_eq!(harness.outcomes(), expected);
}

/// After a reset it is unknown whether the response was complete.
#[test]
fn a_reset_does_not_complete_a_response_without_length() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let _client = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let connection = harness.accept_request(&endpoint);
    send_text(&connection, "HTTP/1.1 200 OK\r\n\r\nserv");
    harness.run_until(|proxy| {
        proxy
            .state
            .borrow()
            .endpoint_connections
            .values()
            .any(|connection| !connection.read_buffer.bytes().is_empty())
            .then_some(())
    });
    socket2::SockRef::from(&connection)
        .set_linger(Some(std::time::Duration::ZERO))
        .unwrap();
    drop(connection);
    assert_eq!(harness.first_outcome(), "connection_lost 1");
}

/// A response without a stated length ends with its connection.
#[test]
fn a_close_completes_a_response_without_length() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let (client, _) = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let connection = harness.accept_request(&endpoint);
    send_text(&connection, "HTTP/1.1 200 OK\r\n\r\nserved");
    drop(connection);
    assert_eq!(harness.first_outcome(), "succeeded 1");
    assert!(
        harness
            .read_until(&client, "served")
            .starts_with("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n")
    );
}
