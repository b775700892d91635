//! Compares the gossip datagrams that other balancers receive with the recordings.

use std::net::UdpSocket;
use std::thread;

use rstest::rstest;
use serde_json::json;

use crate::harness::{
    Balancer, Recording, Reply, STEP_TIMEOUT, StandIn, config, free_port, http_response,
    six_entries, unique_loopback_address,
};

/// Size of the receive buffer for a datagram.
const DATAGRAM_BYTES: usize = 512;
/// The name of one of the endpoints in gossip messages.
const ENDPOINT_SHORT_NAME: &str = "ba9f1";

/// Each case sends a single request, as the endpoint of a second one would depend on the duration
/// of the first.
#[rstest]
#[case::succeeded("GET /look/1", 200, "peer-succeeded.txt")]
#[case::failed("GET /look/1", 500, "peer-failed.txt")]
#[case::rejected("GET /look/1", 503, "peer-rejected.txt")]
#[case::other_class("POST /swap/1", 200, "peer-other-class.txt")]
fn datagrams_to_peers_are_as_recorded(
    #[case] target: &str,
    #[case] status: u16,
    #[case] recorded: &str,
) {
    let ip = unique_loopback_address();
    let answer =
        format!("HTTP/1.1 {status} Answer\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
    let endpoint = StandIn::start(ip, move |_, _| Reply::Respond(answer.clone().into()));
    let list = json!({"rev": 3, "all": true, "targets": six_entries(endpoint.address)});
    let discovery = StandIn::start(ip, move |number, _| match number {
        0 => Reply::Respond(http_response(&list)),
        _ => Reply::Hold,
    });
    let peer = UdpSocket::bind((ip, 0)).unwrap();
    peer.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    let own = UdpSocket::bind((ip, 0)).unwrap().local_addr().unwrap();
    let mut config = config(free_port(ip), discovery.address);
    config["peers"] = json!([own.to_string(), peer.local_addr().unwrap().to_string()]);
    config["settings"]["fleetSize"] = 2.into();
    config["settings"]["report"]["source"] = "off".into();
    config["settings"]["caps"]["peers"] = true.into();
    // The load of an endpoint is queried again after a twentieth of this time.
    for class in [1, 2] {
        config["settings"]["useCases"][class]["promisedTimeUs"] = 400_000_000.into();
    }
    let balancer = Balancer::start(recorded, &config);
    balancer.wait_for("/health/ready");
    // The peer has no requests at any endpoint, and reports this when it is queried.
    let responder = peer.try_clone().unwrap();
    let received = thread::spawn(move || {
        let mut messages = Vec::new();
        loop {
            let mut datagram = [0; DATAGRAM_BYTES];
            let (length, from) = responder.recv_from(&mut datagram).unwrap();
            assert_eq!(from, own);
            let text = String::from_utf8(datagram[..length].to_vec()).unwrap();
            let queried = text.strip_prefix("? ").map(str::to_owned);
            let is_last = text.starts_with("= ");
            messages.push(text);
            if let Some(endpoint) = queried {
                let reply = format!("= {endpoint} 0 0");
                responder.send_to(reply.as_bytes(), own).unwrap();
            }
            if is_last {
                return messages;
            }
        }
    });
    let request =
        format!("{target} HTTP/1.1\r\nHost: app\r\nX-Txn: t1\r\nX-Remaining-Ms: 15000\r\n\r\n");
    balancer.send_request(request.as_bytes());
    // The balancer responds to the query of a peer about an endpoint. This response ends the test.
    let query = format!("? {ENDPOINT_SHORT_NAME}");
    peer.send_to(query.as_bytes(), own).unwrap();
    let mut recording = Recording::new(&[]);
    for (number, text) in received.join().unwrap().iter().enumerate() {
        recording.add(&format!("datagram {number}"), text.as_bytes());
    }
    recording.compare(recorded);
}
