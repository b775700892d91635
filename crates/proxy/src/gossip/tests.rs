use std::net::UdpSocket;

use pinefront_policy::Host;
use rstest::rstest;

use crate::state::proxy::ProxyHost;
use crate::test_harness::{TestHarness, change_deployment, send_text};
use std::net::SocketAddr;

/// Starts a balancer. Returns it, the socket of another balancer, and the gossip address of the
/// first.
fn balancer_and_peer() -> (TestHarness, UdpSocket, SocketAddr) {
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    other.set_nonblocking(true).unwrap();
    // The port is free, and no other test binds a port by its number.
    let own = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let harness = TestHarness::with_configuration(|document| {
        change_deployment(document, &[own, other.local_addr().unwrap()]);
    });
    (harness, other, own)
}

fn receive(harness: &mut TestHarness, other: &UdpSocket) -> String {
    let mut datagram = [0; 512];
    let length = harness.run_until(|_| other.recv(&mut datagram).ok());
    String::from_utf8(datagram[..length].to_vec()).unwrap()
}

#[rstest]
#[case::all(None, true)]
#[case::the_other(Some(1), true)]
#[case::itself(Some(0), false)]
#[case::unknown(Some(7), false)]
fn messages_are_sent_to_their_recipients(#[case] to: Option<usize>, #[case] is_received: bool) {
    let (mut harness, other, _) = balancer_and_peer();
    ProxyHost(harness.proxy.state.clone()).send_gossip(to, "~ 5");
    ProxyHost(harness.proxy.state.clone()).send_gossip(Some(1), "end");
    assert_eq!(receive(&mut harness, &other) == "~ 5", is_received);
}

/// Unknown senders may send anything to the socket, and so may a faulty balancer.
#[rstest]
#[case::balancer(true, "~ 186a0", 1, 0)]
#[case::unknown_sender(false, "~ 186a0", 0, 1)]
#[case::too_long(true, &"x".repeat(300), 0, 1)]
#[case::malformed(true, "~ ~ ~", 1, 0)]
fn only_messages_of_balancers_are_accepted(
    #[case] is_balancer: bool,
    #[case] message: &str,
    #[case] received: u64,
    #[case] ignored: u64,
) {
    let (mut harness, other, own) = balancer_and_peer();
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    if is_balancer { &other } else { &unknown_sender }
        .send_to(message.as_bytes(), own)
        .unwrap();
    let counted = harness.run_until(|proxy| {
        let counters = &proxy.state.borrow().counters;
        let counted = (counters.gossip_received, counters.gossip_ignored);
        (counted != (0, 0)).then_some(counted)
    });
    assert_eq!(counted, (received, ignored));
}

/// The policy probes endpoints before it chooses one, so the request is sent after the response to
/// the probe.
#[rstest]
#[case::answered(
    "HTTP/1.1 200 OK\r\nX-Pressure: TEXT inflight=0, queue=0\r\nContent-Length: 0\r\n\r\n",
    1
)]
#[case::failed("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 0)]
fn a_request_waits_for_the_probe(#[case] response: &str, #[case] probes_answered: u64) {
    let (mut harness, _other, _) = balancer_and_peer();
    let endpoint = harness.add_endpoint("s1");
    let (client, _) = harness.connect_client();
    send_text(
        &client,
        "GET /status/1 HTTP/1.1\r\nHost: app\r\nX-Txn: t1\r\nX-Remaining-Ms: 20000\r\n\r\n",
    );
    let connection = harness.accept_connection(&endpoint);
    let probe = harness.read_until(&connection, "\r\n\r\n");
    assert!(probe.starts_with("GET /load HTTP/1.1\r\n") && !probe.contains("X-Txn"));
    send_text(&connection, response);
    if probes_answered == 1 {
        harness
            .run_until(|proxy| (proxy.state.borrow().counters.probes_answered == 1).then_some(()));
        assert_eq!(harness.proxy.state.borrow().counters.load_reports, 1);
        // A connection is not reused immediately after a response, so the request arrives on
        // another.
        let connection = harness.accept_connection(&endpoint);
        assert!(
            harness
                .read_until(&connection, "\r\n\r\n")
                .starts_with("GET /status/1 HTTP/1.1\r\n")
        );
    } else {
        // A request causes only one probe. If no endpoint is usable after it, the request is
        // rejected immediately.
        harness.run_until(|proxy| {
            (proxy.state.borrow().counters.requests_rejected == 1).then_some(())
        });
        let state = harness.proxy.state.borrow();
        assert_eq!(
            (
                state.counters.probes,
                state.counters.probes_answered,
                state.counters.attempts
            ),
            (1, 0, 0)
        );
    }
}

/// A request must not keep waiting for the response to a probe whose connection was refused.
#[test]
fn a_probe_that_cannot_be_sent_is_reported() {
    let (mut harness, _other, _) = balancer_and_peer();
    let gone = crate::test_harness::local_listener().local_addr().unwrap();
    harness.receive_list(&[crate::test_harness::list_entry("s1", gone, "active")]);
    ProxyHost(harness.proxy.state.clone()).probe("s1");
    harness.run_until(|proxy| {
        proxy
            .state
            .borrow()
            .endpoint_connections
            .is_empty()
            .then_some(())
    });
    let state = harness.proxy.state.borrow();
    assert_eq!(
        (
            state.counters.probes,
            state.counters.probes_answered,
            state.counters.attempts
        ),
        (1, 0, 0)
    );
}
