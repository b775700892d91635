//! What discovery receives: the first call, watches, and calls after an answer that was lost or refused.

use rstest::rstest;
use serde_json::{Value, json};

use crate::harness::{
    Balancer, Recording, Reply, StandIn, config, entry, free_port, http_answer, own_address,
};

fn changes(version: u64, entries: &[Value]) -> Vec<u8> {
    http_answer(&json!({"rev": version, "all": false, "targets": entries}))
}

/// Discovery's replies, by the number of the call; the last call is held.
fn replies(address: std::net::SocketAddr) -> Vec<Reply> {
    let whole = json!({"rev": 7, "all": true, "targets": [entry("s1", address, "active")]});
    let cut = changes(
        9,
        &[
            entry("s1", address, "active"),
            entry("s2", address, "active"),
        ],
    );
    vec![
        Reply::Answer(http_answer(&whole)),
        Reply::Answer(changes(7, &[])),
        Reply::Answer(changes(8, &[entry("s1", address, "leaving")])),
        Reply::AnswerAndClose(cut[..120].to_vec()),
        Reply::Answer(b"HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n".to_vec()),
        Reply::AnswerAndClose(Vec::new()),
        Reply::Answer(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".to_vec()),
        Reply::Answer(changes(10, &[entry("s2", address, "active")])),
        // A version that goes back: the whole list is asked for.
        Reply::Answer(changes(4, &[])),
        Reply::Answer(http_answer(&whole)),
        Reply::Hold,
    ]
}

#[rstest]
#[case::polled("ask", false, "discovery-polled.txt")]
#[case::pushed("push", false, "discovery-pushed.txt")]
#[case::with_a_known_list("ask", true, "discovery-known.txt")]
fn calls_to_discovery_are_as_recorded(
    #[case] mode: &str,
    #[case] has_list: bool,
    #[case] recorded: &str,
) {
    let ip = own_address();
    let endpoint = free_port(ip);
    let replies = replies(endpoint);
    let calls = replies.len();
    let discovery = StandIn::start(ip, move |number, _| {
        replies.get(number).cloned().unwrap_or(Reply::Hold)
    });
    let mut config = config(free_port(ip), discovery.address);
    config["settings"]["registryMode"] = mode.into();
    if has_list {
        config["known"] =
            json!({"rev": 5, "all": true, "targets": [entry("s9", endpoint, "active")]});
    }
    let _balancer = Balancer::start(&format!("discovery-{mode}-{has_list}"), &config);
    let mut recording = Recording::new(&[(discovery.address, "DISCOVERY")]);
    for number in 0..calls {
        let received = discovery.next();
        let title = format!("call {number}, connection {}", received.connection);
        recording.add(&title, &received.bytes);
    }
    recording.compare(recorded);
}
