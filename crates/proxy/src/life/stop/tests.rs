use rstest::rstest;

use super::*;
use crate::stand::{Stand, message, say};

#[test]
fn a_stop_answers_what_was_taken_then_closes_what_is_idle() {
    let mut stand = Stand::new();
    let upstream = stand.upstreams();
    let (busy, _) = stand.client();
    let (idle, slot) = stand.client();
    stand.node.desk.borrow_mut().clients[slot].answered = 1;
    say(&busy, &message("t1", "body"));
    let link = stand.accepted(&upstream);
    stand.heard(&link, "body");
    stand.node.signalled(Signal::SIGTERM);
    // The only balancer's clients have no other to go to (re6c252): until then it serves on.
    let (late, _) = stand.client();
    say(&late, "GET /health/ready HTTP/1.1\r\n\r\n");
    let told = stand.heard(&late, "not ready\n");
    assert!(told.starts_with("HTTP/1.1 503 ") && !told.contains("Connection: close"));
    say(&idle, "GET /health/live HTTP/1.1\r\n\r\n");
    assert!(!stand.heard(&idle, "live\n").contains("Connection: close"));
    let began = stand.node.desk.borrow().now() - SERVE_ON;
    stand.node.desk.borrow_mut().stopping = Some(began);
    stand.ends(&idle);
    assert!(!stand.node.over);
    say(&link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assert!(stand.heard(&busy, "ok").contains("Connection: close\r\n"));
    drop((busy, late));
    stand.until(|node| node.over.then_some(()));
    assert!(stand.node.desk.borrow().listener.is_none());
}

#[rstest]
#[case::accepting(0, true, false)]
#[case::no_longer(ACCEPT_ON, false, false)]
#[case::done(SERVE_ON, false, true)]
fn a_stop_goes_on_accepting_for_a_while(
    #[case] since: Micros,
    #[case] listens: bool,
    #[case] over: bool,
) {
    let mut stand = Stand::new();
    let began = stand.node.desk.borrow().now() - since;
    stand.node.desk.borrow_mut().stopping = Some(began);
    stand.node.stop_on();
    assert_eq!(
        (stand.node.desk.borrow().listener.is_some(), stand.node.over),
        (listens, over)
    );
}

#[test]
fn what_lies_in_the_backlog_is_not_dropped_for_want_of_room() {
    let mut stand = Stand::new();
    stand.node.desk.borrow_mut().place.clients_most = 0;
    let waiting = std::net::TcpStream::connect(stand.address).unwrap();
    let began = stand.node.desk.borrow().now() - SERVE_ON;
    stand.node.desk.borrow_mut().stopping = Some(began);
    stand.node.stop_on();
    assert!(stand.node.desk.borrow().listener.is_some() && !stand.node.over);
    stand.node.desk.borrow_mut().place.clients_most = 1;
    stand.node.stop_on();
    assert!(stand.node.desk.borrow().listener.is_none());
    drop(waiting);
}

/// Between the last look at a resting connection and its close comes a request: it is not acted on, and the answer
/// before it is not lost to a reset.
#[test]
fn a_request_that_crosses_the_close_is_read_away_and_resets_nothing() {
    let mut stand = Stand::new();
    let (mut client, slot) = stand.client();
    say(&client, "GET /health/live HTTP/1.1\r\n\r\n");
    stand.until(|node| (node.desk.borrow().clients[slot].answered == 1).then_some(()));
    {
        let mut desk = stand.node.desk.borrow_mut();
        (desk.stopping, desk.closing) = (Some(desk.now() - SERVE_ON), true);
        desk.close_idle_clients();
    }
    say(&client, &message("t1", "body"));
    stand.node.stop_on();
    assert!(!stand.node.over, "its end is under way");
    stand.until(|node| node.over.then_some(()));
    let mut heard = String::new();
    std::io::Read::read_to_string(&mut client, &mut heard).unwrap();
    assert!(heard.ends_with("live\n"), "{heard}");
    assert_eq!(stand.node.desk.borrow().counters.tickets_taken, 0);
}

/// Half a request when the connections close is read on; what never comes whole is answered, and nothing is left open.
#[rstest]
#[case::goes_on(true)]
#[case::stops_there(false)]
fn a_stop_waits_for_requests_that_have_begun(#[case] goes_on: bool) {
    let mut stand = Stand::new();
    let upstream = stand.upstreams();
    let (client, slot) = stand.client();
    let text = message("t1", "body");
    say(&client, &text[..40]);
    stand.until(|node| node.desk.borrow().clients[slot].partial.map(|_| ()));
    stand.node.signalled(Signal::SIGTERM);
    let began = stand.node.desk.borrow().now() - SERVE_ON;
    stand.node.desk.borrow_mut().stopping = Some(began);
    stand.until(|node| node.desk.borrow().closing.then_some(()));
    assert!(!stand.node.over);
    if goes_on {
        say(&client, &text[40..]);
        let link = stand.accepted(&upstream);
        stand.heard(&link, "body");
        say(&link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assert!(stand.heard(&client, "ok").contains("Connection: close"));
    } else {
        stand.node.desk.borrow_mut().stopping = Some(began - REST_WITHIN);
        let heard = stand.heard(&client, "\r\n\r\n");
        assert!(
            heard.starts_with("HTTP/1.1 503 ") && heard.contains("Connection: close"),
            "{heard}"
        );
    }
    stand.ends(&client);
    drop(client);
    stand.until(|node| node.over.then_some(()));
}

/// Other customers' requests may take longer than any stop of ours: they have their own deadlines.
#[test]
fn a_stop_does_not_give_up_requests_whose_deadline_is_far() {
    let mut stand = Stand::new();
    let upstream = stand.upstream("s1");
    let (client, _) = stand.dispatched("t1", "s1", 30_000_000);
    let link = stand.accepted(&upstream);
    stand.heard(&link, "body");
    stand.node.signalled(Signal::SIGTERM);
    let began = stand.node.desk.borrow().now() - GIVE_UP;
    stand.node.desk.borrow_mut().stopping = Some(began);
    stand.node.stop_on();
    assert!(!stand.node.over);
    say(&link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    stand.heard(&client, "ok");
    drop(client);
    stand.until(|node| node.over.then_some(()));
}
