use rstest::rstest;

use super::*;
use crate::state::keys::RequestKey;
use crate::test_harness::{TestHarness, entry};

const LONG: Micros = 60_000_000;
const GRACE: Micros = 400_000;

/// A request with a connection that carries its first attempt, and what the guard says of it in a
/// changed world.
fn asked(
    change: impl FnOnce(&mut ProxyState, EndpointConnectionKey, RequestKey),
) -> (Result<(), SendRefusal>, u64) {
    let mut harness = TestHarness::new();
    let _endpoint = harness.endpoint("s1");
    let (_client, request) = harness.start_attempt("t1", "s1", LONG);
    let mut state = harness.proxy.state.borrow_mut();
    let key = state.endpoint_connections.keys().next().unwrap();
    change(&mut state, key, request);
    let now = state.now();
    let said = state.write_attempt(key, now);
    assert_eq!(
        said.is_ok(),
        !state.endpoint_connections[key].write_buffer.is_empty()
    );
    (said, state.counters.violations)
}

fn drained(state: &mut ProxyState, key: EndpointConnectionKey, ago: Micros) {
    let told = state.now() - ago;
    let endpoint = state.endpoint_connections[key].endpoint;
    state.endpoints.get_mut(endpoint).unwrap().draining_since = Some(told);
}

fn ran(state: &mut ProxyState, request: RequestKey, idempotency: Idempotency, ago: Micros) {
    let since = state.now() - ago;
    let request = state.requests.get_mut(request).unwrap();
    (request.idempotency, request.may_have_run_since) = (idempotency, Some(since));
}

#[test]
fn nothing_in_its_way_an_attempt_is_sent() {
    assert_eq!(asked(|_, _, _| {}), (Ok(()), 0));
}

/// Held up by 0.15 s before it reads the notice and again before it writes, a process still keeps
/// to the grace.
#[rstest]
#[case::told_just_now(0, Err(SendRefusal::Draining))]
#[case::within_the_grace(GRACE - 140_000, Err(SendRefusal::Draining))]
#[case::grace_over(GRACE, Err(SendRefusal::Draining))]
fn nothing_is_sent_to_what_drains(#[case] ago: Micros, #[case] wanted: Result<(), SendRefusal>) {
    assert_eq!(asked(|state, key, _| drained(state, key, ago)), (wanted, 0));
}

const KEYED: Idempotency = Idempotency::IdempotencyKey {
    scope: pinefront_policy::IdempotencyScope::All,
    window: 1_000_000,
};

#[rstest]
#[case::safe(Idempotency::Idempotent, LONG, (Ok(()), 0))]
#[case::keyed_in_its_window(KEYED, 500_000, (Ok(()), 0))]
#[case::keyed_within_the_margin(KEYED, 900_000, (Err(SendRefusal::IdempotencyWindowPassed), 0))]
#[case::unsafe_never(Idempotency::NonIdempotent, 0, (Err(SendRefusal::MayHaveRun), 1))]
fn what_may_have_run_is_repeated_only_as_its_effect_allows(
    #[case] idempotency: Idempotency,
    #[case] ago: Micros,
    #[case] wanted: (Result<(), SendRefusal>, u64),
) {
    assert_eq!(
        asked(|state, _, request| ran(state, request, idempotency, ago)),
        wanted
    );
}

#[test]
fn no_second_attempt_is_sent_while_one_is_out() {
    let two = |state: &mut ProxyState, key, request: RequestKey| {
        state
            .requests
            .get_mut(request)
            .unwrap()
            .attempts
            .push(Some(key));
    };
    assert_eq!(asked(two), (Err(SendRefusal::AttemptInFlight), 1));
}

#[test]
fn nothing_is_sent_when_its_time_is_over_or_its_endpoint_has_moved() {
    let over = |state: &mut ProxyState, key: EndpointConnectionKey, _| {
        state.endpoint_connections[key]
            .exchange
            .as_mut()
            .unwrap()
            .expire_at = 0
    };
    assert_eq!(asked(over), (Err(SendRefusal::DeadlinePassed), 0));
    let moved = |state: &mut ProxyState, key: EndpointConnectionKey, _| {
        let endpoint = state.endpoint_connections[key].endpoint;
        state.endpoints.get_mut(endpoint).unwrap().address = Some("127.0.0.1:9".parse().unwrap());
    };
    assert_eq!(asked(moved), (Err(SendRefusal::AddressChanged), 0));
}

/// The client's close lies in its socket, unread as the process was held up, when the connection
/// has come up.
#[test]
fn nothing_is_sent_for_a_client_whose_close_is_not_read_yet() {
    let mut harness = TestHarness::new();
    let endpoint = harness.endpoint("s1");
    harness.list(&[entry("s1", endpoint.local_addr().unwrap(), "active")]);
    let (client, _) = harness.start_attempt("t1", "s1", LONG);
    drop(client);
    let mut state = harness.proxy.state.borrow_mut();
    let key = state.endpoint_connections.keys().next().unwrap();
    let began = std::time::Instant::now();
    while !state
        .clients
        .values()
        .any(|client| is_hung_up(&client.socket.stream))
    {
        assert!(began.elapsed().as_secs() < 20);
    }
    state.endpoint_connections[key]
        .exchange
        .as_mut()
        .unwrap()
        .sent -= 1;
    let now = state.now();
    assert_eq!(
        state.write_attempt(key, now),
        Err(SendRefusal::ClientDisconnected)
    );
}
