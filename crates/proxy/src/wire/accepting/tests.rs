use std::time::Duration;

use rstest::rstest;

use super::*;
use crate::memory::slots::ClientSlot;
use crate::stand::{Stand, say};

const SECOND: Micros = 1_000_000;

/// How a client stands: what it was answered, what it sent of a request, and how long it has kept us waiting.
type Standing = (u64, &'static str, Micros);

fn stands(stand: &mut Stand, (answered, sent, waited): Standing) -> (TcpStream, ClientSlot) {
    let (stream, slot) = stand.client();
    say(&stream, sent);
    stand.until(|node| {
        (node.desk.borrow().clients[slot].inbox.kept().len() == sent.len()).then_some(())
    });
    let mut desk = stand.node.desk.borrow_mut();
    let now = desk.now();
    let client = &mut desk.clients[slot];
    (client.answered, client.since) = (answered, now - waited);
    drop(desk);
    (stream, slot)
}

#[rstest]
#[case::the_longest_idle((1, "", 3 * SECOND), (1, "", 2 * SECOND))]
#[case::a_silent_one_before_a_used_one((0, "", 3 * SECOND), (1, "", 2 * SECOND))]
#[case::a_trickling_one_before_a_used_one((0, "POST /p", 3 * SECOND), (1, "", 2 * SECOND))]
#[case::a_used_one_before_one_just_opened((1, "", 0), (0, "", SECOND / 2))]
#[case::a_used_one_before_one_just_begun((1, "", 0), (1, "POST /p", SECOND / 2))]
fn room_is_made_by_whoever_keeps_us_waiting(#[case] gives_way: Standing, #[case] stays: Standing) {
    let mut stand = Stand::new();
    let (kept, slot) = stands(&mut stand, stays);
    let (ended, _) = stands(&mut stand, gives_way);
    assert!(stand.node.desk.borrow_mut().make_room());
    stand.ends(&ended);
    assert!(stand.node.desk.borrow().clients.contains_key(slot));
    drop(kept);
}

#[test]
fn what_lies_unread_is_not_closed() {
    let mut stand = Stand::new();
    let (client, slot) = stand.client();
    say(&client, "POST /p");
    let unread = |node: &Node| {
        node.desk.borrow().clients[slot]
            .wired
            .stream
            .peek(&mut [0])
            .is_ok()
    };
    while !unread(&stand.node) {}
    assert!(!stand.node.desk.borrow_mut().make_room());
}

#[test]
fn nobody_gives_way_where_nobody_waits() {
    let mut stand = Stand::new();
    let (_client, slot) = stands(&mut stand, (1, "", 3 * SECOND));
    stand.node.desk.borrow_mut().place.clients_most = 1;
    assert!(!stand.node.accept());
    assert!(stand.node.desk.borrow().clients.contains_key(slot));
}

#[test]
fn without_room_accepting_rests_and_goes_on() {
    let mut stand = Stand::new();
    stand.node.desk.borrow_mut().place.clients_most = 0;
    let waiting = TcpStream::connect(stand.address).unwrap();
    stand.until(|node| {
        let next = node.desk.borrow().deadlines.next();
        let soon = node.desk.borrow().now() + 2 * ACCEPT_REST;
        next.filter(|at| *at < soon).map(|_| ())
    });
    assert_eq!(stand.node.desk.borrow().clients.len(), 0);
    stand.node.desk.borrow_mut().place.clients_most = 1;
    stand.until(|node| (node.desk.borrow().clients.len() == 1).then_some(()));
    stand
        .event_loop
        .dispatch(Some(Duration::ZERO), &mut stand.node)
        .unwrap();
    drop(waiting);
}

#[test]
fn a_full_house_takes_a_new_client_for_an_idle_one() {
    let mut stand = Stand::new();
    stand.node.desk.borrow_mut().place.clients_most = 2;
    let (first, _) = stand.client();
    let (_second, _) = stand.client();
    let (third, _) = stand.client();
    stand.ends(&first);
    say(&third, "GET /health/live HTTP/1.1\r\n\r\n");
    assert!(stand.heard(&third, "live\n").starts_with("HTTP/1.1 200 "));
}

/// A request that was read and not yet looked at is owed its answer.
#[test]
fn who_has_sent_what_nobody_has_looked_at_does_not_give_way() {
    let mut stand = Stand::new();
    let (client, slot) = stands(&mut stand, (1, "", 3 * SECOND));
    say(&client, "GET /health/live HTTP/1.1\r\n\r\n");
    let mut desk = stand.node.desk.borrow_mut();
    while desk.clients[slot].inbox.kept().is_empty() {
        let client = &mut desk.clients[slot];
        let _ = client.inbox.fill(&client.wired.stream, 4096);
    }
    assert!(!desk.make_room());
    drop(desk);
    stand.node.client_ready(slot);
    assert!(stand.heard(&client, "live\n").starts_with("HTTP/1.1 200 "));
}

/// Idle connections to upstreams are room for others of these only: for each that gave way to a client beyond the most, a
/// new one was opened later, and all together went over the limit of descriptors.
#[test]
fn idle_connections_to_upstreams_make_no_room_for_clients_beyond_the_most() {
    let mut stand = Stand::new();
    let upstream = stand.upstream("s1");
    let (_client, _) = stand.dispatched("t0", "s1", 60 * SECOND);
    let link = stand.accepted(&upstream);
    stand.heard(&link, "body");
    say(&link, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    stand.until(|node| (node.desk.borrow().counters.dispatches_failed == 1).then_some(()));
    let (_busy, _) = stand.dispatched("t1", "s1", 60 * SECOND);
    let (busy, _) = stand.dispatched("t2", "s1", 60 * SECOND);
    let most = stand.node.desk.borrow().clients.len();
    stand.node.desk.borrow_mut().place.clients_most = most;
    let waiting = TcpStream::connect(stand.address).unwrap();
    let links = stand.node.desk.borrow().links.len();
    // The first client's ticket is open too: nobody rests.
    while !one_waits(&stand.node.desk.borrow().listener.as_ref().unwrap().0) {}
    assert!(!stand.node.accept());
    let desk = stand.node.desk.borrow();
    assert_eq!((desk.clients.len(), desk.links.len()), (most, links));
    drop((waiting, busy));
}

#[rstest]
#[case::nobody(Errno::AGAIN, AcceptFailure::Nobody)]
#[case::left_the_queue(Errno::CONNABORTED, AcceptFailure::Passing)]
#[case::network_down(Errno::NETDOWN, AcceptFailure::Passing)]
#[case::protocol(Errno::PROTO, AcceptFailure::Passing)]
#[case::signal(Errno::INTR, AcceptFailure::Passing)]
#[case::own_limit(Errno::MFILE, AcceptFailure::OwnLimit)]
#[case::files_of_all(Errno::NFILE, AcceptFailure::System)]
#[case::buffers(Errno::NOBUFS, AcceptFailure::System)]
#[case::memory(Errno::NOMEM, AcceptFailure::System)]
fn only_the_limit_of_our_own_ends_connections_of_ours(
    #[case] code: Errno,
    #[case] wanted: AcceptFailure,
) {
    assert_eq!(accept_failure(&code.into()), wanted);
}
