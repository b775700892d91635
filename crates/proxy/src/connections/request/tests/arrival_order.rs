//! Guards against review case 9: while the process was held up, a request of a key that arrived on
//! a kept connection overtook an earlier one on a new connection.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};

use rstest::rstest;

use super::{CLOSING_RESPONSE, request_with_key, start_ordered_by_key};
use crate::test_harness::{TestHarness, await_recorded_arrivals, send_text};

/// More connections than the event loop accepts in three iterations.
const MANY_CONNECTIONS: usize = 200;

/// Clients by name. `kept` was connected before the process is held up.
struct Clients {
    streams: HashMap<String, TcpStream>,
    address: SocketAddr,
}

impl Clients {
    /// Carries out a step:
    ///
    /// - `NAME:opens`: a client connects; `many:open`: many do, and send nothing,
    /// - `NAME:sends`: it sends its request, whose id is its name,
    /// - `NAME:begins`, `NAME:continues`, `NAME:ends`: it sends a part of its request.
    fn play(&mut self, step: &str) {
        let (name, action) = step.split_once(':').unwrap();
        let request = request_with_key(name, "k");
        let (begin, rest) = request.split_at(request.find("X-Entity").unwrap() + 3);
        let (middle, end) = rest.split_at(rest.len() - 2);
        let text = match action {
            "open" => {
                return (0..MANY_CONNECTIONS).for_each(|number| self.open(&number.to_string()));
            }
            "opens" => return self.open(name),
            "sends" => &request,
            "begins" => begin,
            "continues" => middle,
            "ends" => end,
            _ => panic!("{step}"),
        };
        send_text(&self.streams[name], text);
    }

    fn open(&mut self, name: &str) {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_nodelay(true).unwrap();
        self.streams.insert(name.to_owned(), stream);
    }
}

/// Starts a proxy with one connected client, and plays steps while its event loop is not running.
fn hold_up(harness: &mut TestHarness, steps: &str) -> Clients {
    await_recorded_arrivals();
    let (kept, _) = harness.connect_client();
    let mut clients = Clients {
        streams: HashMap::from([("kept".to_owned(), kept)]),
        address: harness.address,
    };
    for step in steps.split_whitespace() {
        clients.play(step);
    }
    clients
}

/// Answers the requests that reach the endpoint. Their ids have to be these, in this order.
fn expect_requests(harness: &mut TestHarness, endpoint: &TcpListener, ids: &str) {
    for id in ids.split_whitespace() {
        let connection = harness.accept_connection(endpoint);
        let request = harness.read_until(&connection, "body");
        let expected = format!("X-Txn: {id}\r\n");
        assert!(request.contains(&expected), "{id}: {request}");
        send_text(&connection, CLOSING_RESPONSE);
    }
}

#[rstest]
#[case::new_before_kept("new:opens new:sends kept:sends", "new kept")]
#[case::kept_before_new("new:opens kept:sends new:sends", "kept new")]
#[case::kept_before_the_new_one_connects("kept:sends new:opens new:sends", "kept new")]
#[case::behind_many_new_connections("many:open new:opens new:sends kept:sends", "new kept")]
#[case::kept_before_many_new_connections("kept:sends many:open new:opens new:sends", "kept new")]
#[case::between_many_new_connections("new:opens many:open new:sends kept:sends", "new kept")]
#[case::two_new_ones("new:opens other:opens other:sends new:sends", "other new")]
#[case::two_new_ones_far_apart(
    "new:opens many:open other:opens other:sends new:sends",
    "other new"
)]
#[case::pieces_on_the_new_one("new:opens new:begins kept:sends new:continues new:ends", "kept new")]
#[case::last_piece_on_the_new_one_first(
    "new:opens new:begins new:continues new:ends kept:sends",
    "new kept"
)]
#[case::pieces_on_the_kept_one(
    "kept:begins new:opens kept:continues new:sends kept:ends",
    "new kept"
)]
#[case::pieces_behind_many(
    "kept:begins many:open new:opens new:begins kept:continues new:continues new:ends kept:ends",
    "new kept"
)]
fn requests_of_a_key_run_in_the_order_of_arrival_after_a_hold(
    #[case] steps: &str,
    #[case] expected: &str,
) {
    let mut harness = start_ordered_by_key();
    let endpoint = harness.add_endpoints();
    let _clients = hold_up(&mut harness, steps);
    expect_requests(&mut harness, &endpoint, expected);
}

/// The first part was read before the hold, and the rest arrives in it.
#[test]
fn a_request_that_was_begun_before_a_hold_arrives_with_its_last_byte() {
    let mut harness = start_ordered_by_key();
    let endpoint = harness.add_endpoints();
    let mut clients = hold_up(&mut harness, "kept:begins");
    harness.run_until(|proxy| {
        let state = proxy.state.borrow();
        let mut clients = state.clients.values();
        clients
            .any(|client| client.partial_request.is_some())
            .then_some(())
    });
    for step in ["new:opens", "new:sends", "kept:continues", "kept:ends"] {
        clients.play(step);
    }
    expect_requests(&mut harness, &endpoint, "new kept");
}

/// A held request whose client disconnects is not passed on, and its key is free.
#[test]
fn a_disconnect_of_a_held_request_leaves_its_key_free() {
    let mut harness = start_ordered_by_key();
    let endpoint = harness.add_endpoints();
    let mut clients = hold_up(&mut harness, "kept:sends");
    let dispatch = |harness: &mut TestHarness| {
        let no_wait = Some(std::time::Duration::ZERO);
        harness
            .event_loop
            .dispatch(no_wait, &mut harness.proxy)
            .unwrap();
    };
    while harness
        .proxy
        .state
        .borrow()
        .requests
        .key_of("kept")
        .is_none()
    {
        dispatch(&mut harness);
    }
    assert!(!harness.proxy.state.borrow().ordered_arrivals.is_empty());
    drop(clients.streams.remove("kept"));
    while harness.proxy.state.borrow().counters.requests_disconnected == 0 {
        dispatch(&mut harness);
    }
    clients.play("new:opens");
    clients.play("new:sends");
    let connection = harness.accept_connection(&endpoint);
    assert!(
        harness
            .read_until(&connection, "body")
            .contains("X-Txn: new\r\n")
    );
    assert_eq!(harness.proxy.state.borrow().requests.len(), 1);
}
