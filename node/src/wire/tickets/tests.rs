use rstest::rstest;

use super::*;
use crate::stand::{Stand, message, say};

/// A request with one line put in place of another.
fn with(line: &str, other: &str) -> String {
    message("t1", "body").replace(line, other)
}

#[rstest]
#[case::no_head("nonsense\r\n\r\n".into(), 400)]
#[case::two_lengths(with("\r\n\r\n", "\r\nContent-Length: 5\r\n\r\n"), 400)]
#[case::length_and_chunks(with("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n"), 400)]
#[case::chunks_of_old(with("\r\nContent-Length: 4", "\r\nTransfer-Encoding: chunked").replace("1.1", "1.0"), 400)]
#[case::odd_chunks(with("\r\n\r\n", "\r\ntransfer-encoding: \t chUnked\r\n\r\n"), 400)]
#[case::spaced_chunks(with("\r\n\r\n", "\r\nTransfer-Encoding : chunked\r\n\r\n"), 400)]
#[case::bare_line_feed(with("Host: app\r\n", "Host: app\nTransfer-Encoding: chunked\r\n"), 400)]
#[case::bare_line_feed_before_the_body(with("\r\n\r\n", "\r\n\n"), 400)]
#[case::bare_return(with("Host: app", "Host: a\rpp"), 400)]
#[case::folded(with("Host: app", "Host: app\r\n app"), 400)]
#[case::two_labels(with("Idempotency-Key: k", "Idempotency-Key: k\r\nIdempotency-Key: l"), 400)]
#[case::no_id(with("X-Txn: t1\r\n", ""), 400)]
#[case::empty_id(with("X-Txn: t1", "X-Txn:"), 400)]
#[case::two_ids(with("X-Txn: t1", "X-Txn: t1\r\nX-Txn: t2"), 400)]
#[case::no_time(with("X-Remaining-Ms: 900\r\n", ""), 400)]
#[case::odd_time(with("X-Remaining-Ms: 900", "X-Remaining-Ms: -9"), 400)]
#[case::no_label(with("Idempotency-Key: k\r\n", ""), 400)]
#[case::long_head(with("Host: app", &format!("Host: {}", "a".repeat(HEAD_MOST))), 431)]
#[case::many_fields(with("Host: app\r\n", &"A: b\r\n".repeat(FIELDS_MOST)), 431)]
#[case::long_body(with("Content-Length: 4", "Content-Length: 65537"), 413)]
#[case::longest_body(with("Content-Length: 4", "Content-Length: 99999999999999999999"), 413)]
#[case::other_use_case(with("/pay/", "/buy/"), 404)]
#[case::other_path(with("/pay/1?x=2", "/"), 404)]
#[case::lane_and_path_differ(with("X-Lane: pay", "X-Lane: look"), 404)]
#[case::wrong_method(with("POST", "GET"), 405)]
#[case::wrong_method_of_redoable(with("/pay/", "/look/").replace("Lane: pay", "Lane: look"), 405)]
fn what_is_no_ticket_is_answered_so(#[case] text: String, #[case] status: u16) {
    let mut stand = Stand::new();
    let (stream, _) = stand.client();
    say(&stream, &text);
    let heard = stand.heard(&stream, "\r\n\r\n");
    assert!(heard.starts_with(&format!("HTTP/1.1 {status} ")), "{heard}");
    assert_eq!(stand.node.desk.borrow().counters.tickets_taken, 0);
}

#[rstest]
#[case("/pay/1?x=2", "/pay/1")]
#[case("http://app.svc/pay?x=2", "/pay")]
#[case("http://app.svc", "")]
#[case("/pay?to=http://x/look", "/pay")]
fn a_path_stands_without_host_and_query(#[case] target: &str, #[case] expected: &str) {
    assert_eq!(path(target), expected);
}

#[rstest]
#[case("480", Some(480_000))]
#[case("0", Some(0))]
#[case("99999999999999999999", Some(1000 * WAIT_MOST_MS))]
#[case("", None)]
#[case("4.5", None)]
#[case("+4", None)]
fn a_client_waits_for_whole_milliseconds(#[case] text: &str, #[case] expected: Option<Micros>) {
    let fields = [Header { name: "X-Remaining-Ms", value: text.as_bytes() }];
    assert_eq!(remaining(&fields), expected);
}
