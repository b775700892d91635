use rstest::rstest;

use super::*;

#[rstest]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", Some((200, 38..40, true)))]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", None)]
#[case(
    b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    Some((503, 47..58, true))
)]
#[case(
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    Some((200, 57..57, false))
)]
#[case(b"HTTP/1.1 200 OK\r\n\r\nab", None)]
fn a_response_is_parsed_once_it_is_complete(
    #[case] text: &[u8],
    #[case] expected: Option<(u16, std::ops::Range<usize>, bool)>,
) {
    let parsed = parse_response(text, false)
        .unwrap()
        .map(|response| (response.status, response.body, response.keep_alive));
    assert_eq!(parsed, expected);
}

#[rstest]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n")]
#[case(b"noise\r\n\r\n")]
fn a_malformed_response_is_an_error(#[case] text: &[u8]) {
    assert!(parse_response(text, false).is_err());
}

#[test]
fn the_identity_and_timeout_of_a_request_are_parsed() {
    let text = b"GET /look/1 HTTP/1.1\r\nX-Txn: ab\r\nX-Remaining-Ms: 90\r\n\r\n";
    let request = parse_request(text).unwrap().unwrap();
    assert_eq!(
        (request.id.as_deref(), request.remaining_ms, request.end),
        (Some("ab"), Some(90), text.len())
    );
    assert_eq!(parse_request(&text[..30]).unwrap(), None);
}
