//! Compares the polls that discovery receives with the recordings: the first poll, watches, and
//! polls after lost or rejected ones.

use rstest::rstest;
use serde_json::{Value, json};

use crate::harness::{
    Balancer, Recording, Reply, StandIn, config, free_port, http_response, list_entry,
    unique_loopback_address,
};

fn changes(version: u64, entries: &[Value]) -> Vec<u8> {
    http_response(&json!({"rev": version, "all": false, "targets": entries}))
}

/// Returns the replies of discovery by the number of the poll. The last poll is held.
fn replies(address: std::net::SocketAddr) -> Vec<Reply> {
    let complete = json!({"rev": 7, "all": true, "targets": [list_entry("s1", address, "active")]});
    let truncated = changes(
        9,
        &[
            list_entry("s1", address, "active"),
            list_entry("s2", address, "active"),
        ],
    );
    vec![
        Reply::Respond(http_response(&complete)),
        Reply::Respond(changes(7, &[])),
        Reply::Respond(changes(8, &[list_entry("s1", address, "leaving")])),
        Reply::RespondAndClose(truncated[..120].to_vec()),
        Reply::Respond(b"HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n".to_vec()),
        Reply::RespondAndClose(Vec::new()),
        Reply::Respond(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".to_vec()),
        Reply::Respond(changes(10, &[list_entry("s2", address, "active")])),
        // The version decreases, so the complete list is polled next.
        Reply::Respond(changes(4, &[])),
        Reply::Respond(http_response(&complete)),
        Reply::Hold,
    ]
}

#[rstest]
#[case::polled("ask", false, "discovery-polled.txt")]
#[case::pushed("push", false, "discovery-pushed.txt")]
#[case::with_a_cached_list("ask", true, "discovery-known.txt")]
fn polls_of_discovery_are_as_recorded(
    #[case] mode: &str,
    #[case] has_cached_list: bool,
    #[case] recorded: &str,
) {
    let ip = unique_loopback_address();
    let endpoint = free_port(ip);
    let replies = replies(endpoint);
    let polls = replies.len();
    let discovery = StandIn::start(ip, move |number, _| {
        replies.get(number).cloned().unwrap_or(Reply::Hold)
    });
    let mut config = config(free_port(ip), discovery.address);
    config["settings"]["registryMode"] = mode.into();
    if has_cached_list {
        config["known"] =
            json!({"rev": 5, "all": true, "targets": [list_entry("s9", endpoint, "active")]});
    }
    let _balancer = Balancer::start(&format!("discovery-{mode}-{has_cached_list}"), &config);
    let mut recording = Recording::new(&[(discovery.address, "DISCOVERY")]);
    for number in 0..polls {
        let received = discovery.next();
        let title = format!("call {number}, connection {}", received.connection);
        recording.add(&title, &received.bytes);
    }
    recording.compare(recorded);
}
