use std::net::UdpSocket;

use pinefront_policy::Host;
use rstest::rstest;

use super::*;
use crate::life::serve::Hands;
use crate::stand::{Stand, moved, say};

/// A balancer that hears, and one that is no more than a socket.
fn two() -> (Stand, UdpSocket, SocketAddr) {
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    other.set_nonblocking(true).unwrap();
    // Free a moment ago: nobody else here asks for ports by their number.
    let own = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let stand = Stand::with(|told| moved(told, &[own, other.local_addr().unwrap()]));
    (stand, other, own)
}

fn hears(stand: &mut Stand, other: &UdpSocket) -> String {
    let mut word = [0; 512];
    let length = stand.until(|_| other.recv(&mut word).ok());
    String::from_utf8(word[..length].to_vec()).unwrap()
}

#[rstest]
#[case::all(None, true)]
#[case::the_other(Some(1), true)]
#[case::itself(Some(0), false)]
#[case::nobody(Some(7), false)]
fn words_go_to_whom_they_are_for(#[case] to: Option<usize>, #[case] reached: bool) {
    let (mut stand, other, _) = two();
    Hands(stand.node.desk.clone()).send_gossip(to, "~ 5");
    Hands(stand.node.desk.clone()).send_gossip(Some(1), "end");
    assert_eq!(hears(&mut stand, &other) == "~ 5", reached);
}

/// Strangers may send anything to a socket, and so may a balancer that is broken.
#[rstest]
#[case::known(true, "~ 186a0", 1, 0)]
#[case::stranger(false, "~ 186a0", 0, 1)]
#[case::too_long(true, &"x".repeat(300), 0, 1)]
#[case::no_sense(true, "~ ~ ~", 1, 0)]
fn only_balancers_are_heard(
    #[case] known: bool,
    #[case] word: &str,
    #[case] heard: u64,
    #[case] passed: u64,
) {
    let (mut stand, other, own) = two();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    if known { &other } else { &stranger }
        .send_to(word.as_bytes(), own)
        .unwrap();
    let counted = stand.until(|node| {
        let counters = &node.desk.borrow().counters;
        let counted = (counters.words_heard, counters.words_passed_over);
        (counted != (0, 0)).then_some(counted)
    });
    assert_eq!(counted, (heard, passed));
}

/// The module asks before it places a ticket: the probe goes out, its answer comes in, and then the ticket goes.
#[rstest]
#[case::told(
    "HTTP/1.1 200 OK\r\nX-Pressure: TEXT inflight=0, queue=0\r\nContent-Length: 0\r\n\r\n",
    1
)]
#[case::broken("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 0)]
fn a_ticket_waits_for_the_probe(#[case] answer: &str, #[case] answered: u64) {
    let (mut stand, _other, _) = two();
    let upstream = stand.upstream("s1");
    let (client, _) = stand.client();
    say(
        &client,
        "GET /status/1 HTTP/1.1\r\nHost: app\r\nX-Txn: t1\r\nX-Remaining-Ms: 20000\r\n\r\n",
    );
    let link = stand.accepted(&upstream);
    let asked = stand.heard(&link, "\r\n\r\n");
    assert!(asked.starts_with("GET /load HTTP/1.1\r\n") && !asked.contains("X-Txn"));
    say(&link, answer);
    if answered == 1 {
        stand.until(|node| (node.desk.borrow().counters.probes_answered == 1).then_some(()));
        assert_eq!(stand.node.desk.borrow().counters.loads_told, 1);
        // The connection rests after an answer, so the ticket comes on another.
        let link = stand.accepted(&upstream);
        assert!(
            stand
                .heard(&link, "\r\n\r\n")
                .starts_with("GET /status/1 HTTP/1.1\r\n")
        );
    } else {
        // A ticket asks once: with nobody left to go to it is told to come back, and not left to wait.
        stand.until(|node| (node.desk.borrow().counters.tickets_dismissed == 1).then_some(()));
        let desk = stand.node.desk.borrow();
        assert_eq!(
            (
                desk.counters.probes,
                desk.counters.probes_answered,
                desk.counters.dispatches
            ),
            (1, 0, 0)
        );
    }
}

/// A refused connection must not leave the ticket waiting for a probe that nobody answers.
#[test]
fn a_probe_that_reaches_nobody_is_told() {
    let (mut stand, _other, _) = two();
    let gone = crate::stand::listener().local_addr().unwrap();
    stand.list(&[crate::stand::entry("s1", gone, "active")]);
    Hands(stand.node.desk.clone()).probe("s1");
    stand.until(|node| node.desk.borrow().links.is_empty().then_some(()));
    let desk = stand.node.desk.borrow();
    assert_eq!(
        (
            desk.counters.probes,
            desk.counters.probes_answered,
            desk.counters.dispatches
        ),
        (1, 0, 0)
    );
}
