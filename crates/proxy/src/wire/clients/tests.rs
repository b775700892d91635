use rstest::rstest;

use super::*;
use crate::stand::{Stand, message, say};

#[test]
fn a_ticket_that_comes_in_pieces_goes_out_unchanged_and_is_answered() {
    let mut stand = Stand::new();
    let upstream = stand.upstreams();
    let (client, _) = stand.client();
    let text = message("t1", "some body");
    for piece in [
        &text[..30],
        &text[30..text.len() - 4],
        &text[text.len() - 4..],
    ] {
        say(&client, piece);
        stand
            .event_loop
            .dispatch(Some(std::time::Duration::ZERO), &mut stand.node)
            .unwrap();
    }
    let link = stand.accepted(&upstream);
    let sent = stand.heard(&link, "some body");
    assert!(
        sent.starts_with("POST /pay/1?x=2 HTTP/1.1\r\nHost: app\r\nX-Txn: t1\r\n"),
        "{sent}"
    );
    assert!(
        sent.contains("\r\nIdempotency-Key: k\r\n") && sent.contains("\r\nContent-Length: 9\r\n"),
        "{sent}"
    );
    let wait = sent
        .split("X-Remaining-Ms: ")
        .nth(1)
        .and_then(|rest| rest.split('\r').next())
        .unwrap();
    assert!((1..900).contains(&wait.parse::<u64>().unwrap()), "{sent}");
    say(
        &link,
        "HTTP/1.1 200 OK\r\nX-Pressure: TEXT util=0.5\r\nContent-Type: a/b\r\nContent-Length: 4\r\n\r\ndone",
    );
    let heard = stand.heard(&client, "done");
    assert_eq!(
        heard,
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: a/b\r\n\r\ndone"
    );
    let desk = stand.node.desk.borrow();
    assert_eq!(
        (
            desk.tickets.len(),
            desk.by_id.len(),
            desk.links.len(),
            desk.clients.len()
        ),
        (0, 0, 1, 1)
    );
}

#[test]
fn two_requests_sent_at_once_are_answered_in_turn() {
    let mut stand = Stand::new();
    let upstream = stand.upstreams();
    let (client, _) = stand.client();
    say(&client, &(message("t1", "one") + &message("t2", "two")));
    for (body, answer) in [("one", "eins"), ("two", "zwei")] {
        let link = stand.accepted(&upstream);
        stand.heard(&link, body);
        say(
            &link,
            &format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\n{answer}"),
        );
        stand.heard(&client, answer);
    }
}

#[test]
fn a_second_ticket_under_an_open_id_is_turned_off() {
    let mut stand = Stand::new();
    let upstream = stand.upstreams();
    let (first, _) = stand.client();
    say(&first, &message("t1", "body"));
    let link = stand.accepted(&upstream);
    let (second, _) = stand.client();
    say(&second, &message("t1", "body"));
    assert!(
        stand
            .heard(&second, "\r\n\r\n")
            .starts_with("HTTP/1.1 409 ")
    );
    stand.heard(&link, "body");
    say(&link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    stand.heard(&first, "ok");
}

#[test]
fn answers_that_nobody_takes_do_not_pile_up() {
    let mut stand = Stand::new();
    let (client, slot) = stand.client();
    let text = "GET /stats HTTP/1.1\r\n\r\n".repeat(1000);
    // Until neither side takes more: our answers fill the way back, then requests the way here.
    let mut sender = client.try_clone().unwrap();
    let mut stuck = 0;
    while stuck < 20 {
        match std::io::Write::write(&mut sender, text.as_bytes()) {
            Ok(_) => stuck = 0,
            Err(_) => stuck += 1,
        }
        for _ in 0..200 {
            stand
                .event_loop
                .dispatch(Some(std::time::Duration::ZERO), &mut stand.node)
                .unwrap();
            stand.node.deadlines();
        }
    }
    let desk = stand.node.desk.borrow();
    let client = &desk.clients[slot];
    assert!(client.inbox.kept().len() <= MESSAGE_MOST && !client.outbox.is_empty());
    assert!(
        client.outbox.length() < MESSAGE_MOST,
        "{}",
        client.outbox.length()
    );
}

#[test]
fn an_answer_under_way_goes_on_where_the_client_only_ended_its_sending() {
    let mut stand = Stand::new();
    let (client, slot) = stand.client();
    // More than the sockets' buffers hold.
    let body: Vec<Bytes> = (0..100).map(|_| Bytes::from(vec![b'x'; 100_000])).collect();
    stand
        .node
        .desk
        .borrow_mut()
        .write_answer(slot, 200, Vec::new(), body);
    client.shutdown(Shutdown::Write).unwrap();
    let mut taken = 0;
    let mut reader = client.try_clone().unwrap();
    stand.until(|_| {
        let mut part = vec![0; 1_000_000];
        match std::io::Read::read(&mut reader, &mut part) {
            Ok(0) => Some(()),
            Ok(count) => {
                taken += count;
                None
            }
            Err(problem) => (problem.kind() != std::io::ErrorKind::WouldBlock).then_some(()),
        }
    });
    assert!(taken > 10_000_000, "{taken}");
}

#[test]
fn a_body_far_too_long_is_read_away_so_that_its_answer_arrives() {
    let mut stand = Stand::new();
    let (client, _) = stand.client();
    say(
        &client,
        &message("t1", "").replace("Length: 0", "Length: 700000"),
    );
    let mut sender = client.try_clone().unwrap();
    let (part, mut sent) = (vec![b'x'; 100_000], 0);
    stand.until(|_| {
        sent += std::io::Write::write(&mut sender, &part).unwrap_or(0);
        (sent >= 700_000).then_some(())
    });
    assert!(
        stand
            .heard(&client, "\r\n\r\n")
            .starts_with("HTTP/1.1 413 ")
    );
    drop((client, sender));
}

#[test]
fn a_body_without_end_is_not_read_away_for_long() {
    let mut stand = Stand::new();
    let (client, slot) = stand.client();
    say(
        &client,
        &message("t1", "").replace("Length: 0", "Length: 60000000"),
    );
    let part = vec![b'x'; 100_000];
    stand.until(|node| {
        _ = std::io::Write::write(&mut &client, &part);
        node.desk.borrow().clients.get(slot).is_none().then_some(())
    });
}

#[rstest]
#[case::nothing("", 1)]
#[case::part_of_a_request("POST /pay", 1)]
#[case::what_is_turned_away("POST /pay HTTP/1.1\r\n\r\n", 2)]
fn without_a_ticket_a_connection_has_no_time_but_that_since_it_was_opened(
    #[case] sent: &str,
    #[case] hung: usize,
) {
    let mut stand = Stand::new();
    let (client, slot) = stand.client();
    say(&client, sent);
    let seen = |client: &Client| client.partial.is_some() || client.answered > 0 || sent.is_empty();
    stand.until(|node| seen(&node.desk.borrow().clients[slot]).then_some(()));
    let desk = stand.node.desk.borrow();
    let (due, opened) = (desk.clients[slot].due.unwrap().0, desk.clients[slot].opened);
    assert!(
        due <= opened + STOPS_FOR && due + 1_000 * hung as u64 > opened + STOPS_FOR,
        "{due}"
    );
}

#[rstest]
#[case::few_stand(10, 1, IDLE_LEAST, true)]
#[case::many_stand(1, 1, IDLE_LEAST, false)]
#[case::many_but_only_just(1, 1, IDLE_LEAST / 2, true)]
#[case::for_long(10, 1, IDLE_MOST, false)]
#[case::never_brought_a_ticket(10, 0, STOPS_FOR, false)]
fn a_standing_connection_goes_where_many_stand(
    #[case] most: usize,
    #[case] tickets: u64,
    #[case] stood: Micros,
    #[case] stays: bool,
) {
    let mut stand = Stand::new();
    let (_client, slot) = stand.client();
    {
        let mut desk = stand.node.desk.borrow_mut();
        desk.place.clients_most = most;
        let now = desk.now();
        (desk.clients[slot].tickets, desk.clients[slot].since) = (tickets, now - stood);
    }
    stand.node.client_due(slot);
    assert_eq!(
        stand
            .node
            .desk
            .borrow()
            .clients
            .get(slot)
            .is_some_and(|client| client.due.is_some()),
        stays
    );
}

#[test]
fn a_client_that_leaves_has_its_dispatch_called_off() {
    let mut stand = Stand::new();
    let upstream = stand.upstreams();
    let (client, _) = stand.client();
    say(&client, &message("t1", "body"));
    let link = stand.accepted(&upstream);
    drop(client);
    stand.ends(&link);
    let desk = stand.node.desk.borrow();
    assert_eq!(
        (
            desk.counters.tickets_left,
            desk.tickets.len(),
            desk.links.len()
        ),
        (1, 0, 0)
    );
}

#[test]
fn where_nobody_serves_a_ticket_is_dismissed_by_the_module() {
    let mut stand = Stand::new();
    let (client, _) = stand.client();
    say(&client, &message("t1", "body").replace("900", "1"));
    assert!(
        stand
            .heard(&client, "\r\n\r\n")
            .starts_with("HTTP/1.1 503 ")
    );
    assert_eq!(stand.node.desk.borrow().counters.tickets_dismissed, 1);
}

#[rstest]
#[case::part_of_a_request("POST /pay", "HTTP/1.1 408 ")]
#[case::nothing("", "")]
fn whoever_keeps_us_waiting_is_closed(#[case] sent: &str, #[case] heard: &str) {
    let mut stand = Stand::new();
    let (client, slot) = stand.client();
    say(&client, sent);
    stand.until(|node| {
        (node.desk.borrow().clients[slot].inbox.kept().len() == sent.len()).then_some(())
    });
    stand.node.client_due(slot);
    if !heard.is_empty() {
        assert!(stand.heard(&client, "\r\n\r\n").starts_with(heard));
    }
    stand.ends(&client);
}

#[test]
fn a_request_that_trickles_in_gains_no_time() {
    let mut stand = Stand::new();
    let (client, slot) = stand.client();
    say(&client, "POST /pay");
    let part = |client: &Client| client.due.filter(|_| client.partial.is_some());
    let first = stand.until(|node| part(&node.desk.borrow().clients[slot]));
    say(&client, "/1 HTTP/1.1\r\n");
    stand.until(|node| (node.desk.borrow().clients[slot].inbox.kept().len() > 9).then_some(()));
    assert_eq!(stand.node.desk.borrow().clients[slot].due, Some(first));
}

#[test]
fn a_sender_that_waits_for_word_is_told_to_go_on_once() {
    let mut stand = Stand::new();
    let (client, _) = stand.client();
    say(
        &client,
        &message("t1", "").replace("Length: 0", "Length: 4\r\nExpect: 100-continue"),
    );
    assert_eq!(
        stand.heard(&client, "\r\n\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n"
    );
    say(&client, "body");
    assert!(
        stand
            .heard(&client, "\r\n\r\n")
            .starts_with("HTTP/1.1 503 ")
    );
}

#[test]
fn ready_waits_for_a_list() {
    let mut stand = Stand::new();
    let (client, _) = stand.client();
    say(&client, "GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(
        stand
            .heard(&client, "not ready\n")
            .starts_with("HTTP/1.1 503 ")
    );
    let discovery = stand.discovery.try_clone().unwrap();
    let call = stand.accepted(&discovery);
    assert!(
        stand
            .heard(&call, "\r\n\r\n")
            .starts_with("GET /registry/instances HTTP/1.1\r\n")
    );
    let list = r#"{"rev":4,"all":true,"targets":[]}"#;
    say(
        &call,
        &format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        ),
    );
    stand.heard(&call, "\r\n\r\n");
    say(&client, "GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(stand.heard(&client, "ready\n").starts_with("HTTP/1.1 200 "));
}

#[rstest]
#[case::said("1.1\r\nConnection: Close")]
#[case::of_old("1.0")]
fn a_client_that_wants_no_more_is_closed_after_its_answer(#[case] version: &str) {
    let mut stand = Stand::new();
    let (client, _) = stand.client();
    say(&client, &format!("GET /stats HTTP/{version}\r\n\r\n"));
    let heard = stand.heard(&client, "longest_turn_us 0\n");
    assert!(
        heard.contains("\r\nConnection: close\r\n") && heard.contains("\nclients_accepted 1\n"),
        "{heard}"
    );
    stand.ends(&client);
}

#[test]
fn what_clients_send_is_kept_within_the_room_for_it() {
    let mut stand = Stand::new();
    stand.node.desk.borrow_mut().place.messages_most = 50_000;
    let (first, one) = stand.client();
    let text = message("t1", &"x".repeat(40_000));
    say(&first, &text[..30_000]);
    stand.until(|node| (node.desk.borrow().kept() == 30_000).then_some(()));
    let (second, _) = stand.client();
    say(&second, &text[..30_000]);
    assert!(
        stand
            .heard(&second, "\r\n\r\n")
            .starts_with("HTTP/1.1 503 ")
    );
    let (third, _) = stand.client();
    say(&third, "GET /health/live HTTP/1.1\r\n\r\n");
    assert!(
        stand.heard(&third, "live\n").starts_with("HTTP/1.1 200 "),
        "small ones are taken"
    );
    drop((first, second, third));
    stand.until(|node| node.desk.borrow().clients.is_empty().then_some(()));
    assert_eq!(
        (
            stand.node.desk.borrow().kept(),
            stand.node.desk.borrow().clients.get(one).is_some()
        ),
        (0, false)
    );
}

#[test]
fn a_ticket_is_counted_until_it_is_over() {
    let mut stand = Stand::new();
    let upstream = stand.upstreams();
    let (client, _) = stand.client();
    let text = message("t1", "body");
    say(&client, &text);
    let link = stand.accepted(&upstream);
    stand.heard(&link, "body");
    assert_eq!(stand.node.desk.borrow().kept(), text.len());
    say(&link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    stand.heard(&client, "ok");
    assert_eq!(stand.node.desk.borrow().kept(), 0);
}

#[rstest]
#[case::crowd(0, true)]
#[case::none(1, false)]
fn in_a_crowd_a_connection_closes_with_its_answer(#[case] crowd: usize, #[case] closes: bool) {
    let mut stand = Stand::new();
    stand.node.desk.borrow_mut().place.crowd = crowd;
    let upstream = stand.upstreams();
    let (client, slot) = stand.client();
    say(&client, &message("t1", "body"));
    let link = stand.accepted(&upstream);
    stand.heard(&link, "body");
    say(&link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assert_eq!(
        stand.heard(&client, "ok").contains("Connection: close\r\n"),
        closes
    );
    assert_eq!(stand.node.desk.borrow().clients[slot].lingers, closes);
    if closes {
        // Our sending is over at once, the connection when the client sees it; what it sent meanwhile resets nothing.
        say(&client, &message("t2", "body"));
        stand.ends(&client);
        assert_eq!(stand.node.desk.borrow().counters.tickets_taken, 1);
        drop(client);
        stand.until(|node| (!node.desk.borrow().clients.contains_key(slot)).then_some(()));
    }
}

/// Between what we read ahead and the end that lies behind it: a client that sent on and left is seen to have gone.
#[rstest]
#[case::as_much_as_is_read(READ_AHEAD)]
#[case::more(10 * READ_AHEAD)]
fn a_client_that_leaves_behind_unread_bytes_is_seen_to_go(#[case] behind: usize) {
    let mut stand = Stand::new();
    let _upstream = stand.upstream("s1");
    let (client, _) = stand.dispatched("t1", "s1", 60_000_000);
    say(&client, &"x".repeat(behind));
    stand.until(|node| {
        let desk = node.desk.borrow();
        desk.clients
            .values()
            .any(|client| client.inbox.kept().len() >= READ_AHEAD)
            .then_some(())
    });
    assert_eq!(stand.node.desk.borrow().counters.tickets_left, 0);
    client.shutdown(Shutdown::Write).unwrap();
    stand.until(|node| (node.desk.borrow().counters.tickets_left == 1).then_some(()));
}

/// A request that was read and whose connection is closed with no answer is lost: neither a crowd nor a stop closes over
/// what was read ahead.
#[test]
fn requests_read_ahead_are_answered_before_the_connection_closes() {
    for (crowd, closing) in [(0, false), (usize::MAX, true)] {
        let mut stand = Stand::new();
        let upstream = stand.upstreams();
        let (client, slot) = stand.client();
        say(&client, &(message("t1", "one") + &message("t2", "two")));
        let first = stand.accepted(&upstream);
        stand.heard(&first, "one");
        {
            let mut desk = stand.node.desk.borrow_mut();
            (desk.place.crowd, desk.closing) = (crowd, closing);
            assert!(
                !desk.clients[slot].inbox.kept().is_empty(),
                "the second is read ahead"
            );
        }
        say(
            &first,
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\neins",
        );
        assert!(!stand.heard(&client, "eins").contains("Connection: close"));
        let second = stand.accepted(&upstream);
        stand.heard(&second, "two");
        say(
            &second,
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nzwei",
        );
        assert!(stand.heard(&client, "zwei").contains("Connection: close"));
        stand.ends(&client);
    }
}

/// Who stops in the middle of a request and stays is owed its error or close within 3 s, also on a connection that has
/// brought requests before (10 s until 2026-12-02); who goes on has so much for each step, and no more than 10 s in all.
#[test]
fn a_client_that_stops_in_the_middle_of_a_further_request_has_its_error_within_three_seconds() {
    let mut stand = Stand::new();
    let (client, slot) = stand.client();
    stand.node.desk.borrow_mut().clients[slot].tickets = 1;
    let text = message("t1", "body");
    let mut due = 0;
    for length in [10, 20] {
        say(&client, &text[length - 10..length]);
        let seen = |client: &Client| {
            client
                .partial
                .is_some_and(|partial| partial.length == length)
        };
        stand.until(|node| seen(&node.desk.borrow().clients[slot]).then_some(()));
        let desk = stand.node.desk.borrow();
        let at = desk.clients[slot].due.unwrap().0;
        assert!(
            at > due && at <= desk.now() + STOPS_FOR,
            "{at} after {due}, at {}",
            desk.now()
        );
        due = at;
    }
    if let Some(partial) = &mut stand.node.desk.borrow_mut().clients[slot].partial {
        partial.began -= SLOW_AFTER;
    }
    say(&client, &text[20..30]);
    assert!(
        stand
            .heard(&client, "\r\n\r\n")
            .starts_with("HTTP/1.1 408 ")
    );
}

/// The end of an attempt frees its key, also where its client has left and nobody waits for the answer.
#[test]
fn a_client_that_leaves_does_not_block_its_key_for_ever() {
    let mut stand = Stand::with(|told| {
        told["settings"]["useCases"][0]["inOrder"] = true.into();
        told["settings"]["rules"]["turnGapUs"] = 1_000.into();
    });
    let upstream = stand.upstreams();
    let keyed = |id| message(id, "body").replace("X-Lane", "X-Entity: k\r\nX-Lane");
    let (first, _) = stand.client();
    say(&first, &keyed("t1"));
    let link = stand.accepted(&upstream);
    stand.heard(&link, "body");
    drop(first);
    stand.ends(&link);
    let (second, _) = stand.client();
    say(&second, &keyed("t2"));
    let counters = |node: &Node| {
        let desk = node.desk.borrow();
        (desk.counters.dispatches, desk.counters.tickets_dismissed)
    };
    let came = stand.until(|node| Some(counters(node)).filter(|came| *came != (1, 0)));
    assert_eq!(came, (2, 0));
}
