use pinefront_policy::Host;
use rstest::rstest;

use super::*;
use crate::close_reason::CloseReason;
use crate::state::keys::RequestKey;
use crate::state::proxy::ProxyHost;
use crate::test_harness::{TestHarness, list_entry};

const LONG_TIMEOUT_US: Micros = 60_000_000;

const DRAIN_GRACE_US: Micros = 400_000;

/// Writes the first attempt of a request after a change of the state. Returns the decision of the
/// guard and the number of violations.
fn write_attempt_after(
    change: impl FnOnce(&mut ProxyState, EndpointConnectionKey, RequestKey),
) -> (Result<(), SendRefusal>, u64) {
    let mut harness = TestHarness::new();
    let _endpoint = harness.add_endpoint("s1");
    let (_client, request) = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let mut state = harness.proxy.state.borrow_mut();
    let key = state.endpoint_connections.keys().next().unwrap();
    change(&mut state, key, request);
    let now = state.now();
    let result = state.write_attempt(key, now);
    assert_eq!(
        result.is_ok(),
        !state.endpoint_connections[key].write_buffer.is_empty()
    );
    (result, state.counters.violations)
}

fn drain_endpoint(state: &mut ProxyState, key: EndpointConnectionKey, elapsed: Micros) {
    let draining_since = state.now() - elapsed;
    let endpoint = state.endpoint_connections[key].endpoint;
    state.endpoints.get_mut(endpoint).unwrap().draining_since = Some(draining_since);
}

fn set_may_have_run(
    state: &mut ProxyState,
    request: RequestKey,
    idempotency: Idempotency,
    elapsed: Micros,
) {
    let since = state.now() - elapsed;
    let request = state.requests.get_mut(request).unwrap();
    (request.idempotency, request.may_have_run_since) = (idempotency, Some(since));
}

#[test]
fn an_attempt_that_meets_all_conditions_is_sent() {
    assert_eq!(write_attempt_after(|_, _, _| {}), (Ok(()), 0));
}

/// A process that is delayed by 0.15 s before it reads the drain notice, and again before it
/// writes, must still keep within the grace period.
#[rstest]
#[case::notified_just_now(0, Err(SendRefusal::Draining))]
#[case::within_the_grace(DRAIN_GRACE_US - 140_000, Err(SendRefusal::Draining))]
#[case::grace_over(DRAIN_GRACE_US, Err(SendRefusal::Draining))]
fn nothing_is_sent_to_a_draining_endpoint(
    #[case] elapsed: Micros,
    #[case] expected: Result<(), SendRefusal>,
) {
    assert_eq!(
        write_attempt_after(|state, key, _| drain_endpoint(state, key, elapsed)),
        (expected, 0)
    );
}

const WITH_IDEMPOTENCY_KEY: Idempotency = Idempotency::IdempotencyKey {
    scope: pinefront_policy::IdempotencyScope::All,
    window: 1_000_000,
};

#[rstest]
#[case::idempotent(Idempotency::Idempotent, LONG_TIMEOUT_US, (Ok(()), 0))]
#[case::with_key_in_its_window(WITH_IDEMPOTENCY_KEY, 500_000, (Ok(()), 0))]
#[case::with_key_within_the_margin(
    WITH_IDEMPOTENCY_KEY,
    900_000,
    (Err(SendRefusal::IdempotencyWindowPassed), 0),
)]
#[case::non_idempotent(Idempotency::NonIdempotent, 0, (Err(SendRefusal::MayHaveRun), 1))]
fn a_request_that_may_have_run_is_repeated_only_if_idempotent(
    #[case] idempotency: Idempotency,
    #[case] elapsed: Micros,
    #[case] expected: (Result<(), SendRefusal>, u64),
) {
    assert_eq!(
        write_attempt_after(|state, _, request| set_may_have_run(
            state,
            request,
            idempotency,
            elapsed
        )),
        expected
    );
}

#[test]
fn no_second_attempt_is_sent_while_one_is_in_flight() {
    let add_attempt = |state: &mut ProxyState, key, request: RequestKey| {
        state
            .requests
            .get_mut(request)
            .unwrap()
            .attempts
            .push(Some(key));
    };
    assert_eq!(
        write_attempt_after(add_attempt),
        (Err(SendRefusal::AttemptInFlight), 1)
    );
}

#[test]
fn nothing_is_sent_after_the_deadline_or_to_a_former_address() {
    let expire = |state: &mut ProxyState, key: EndpointConnectionKey, _| {
        state.endpoint_connections[key]
            .exchange
            .as_mut()
            .unwrap()
            .expire_at = 0;
    };
    assert_eq!(
        write_attempt_after(expire),
        (Err(SendRefusal::DeadlinePassed), 0)
    );
    let change_address = |state: &mut ProxyState, key: EndpointConnectionKey, _| {
        let endpoint = state.endpoint_connections[key].endpoint;
        state.endpoints.get_mut(endpoint).unwrap().address = Some("127.0.0.1:9".parse().unwrap());
    };
    assert_eq!(
        write_attempt_after(change_address),
        (Err(SendRefusal::AddressChanged), 0)
    );
}

/// The client's close is not yet read from its socket when the connection is established.
#[test]
fn nothing_is_sent_for_a_client_whose_close_is_not_read_yet() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    harness.receive_list(&[list_entry("s1", endpoint.local_addr().unwrap(), "active")]);
    let (client, _) = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    drop(client);
    let mut state = harness.proxy.state.borrow_mut();
    let key = state.endpoint_connections.keys().next().unwrap();
    let started_at = std::time::Instant::now();
    while !state
        .clients
        .values()
        .any(|client| is_hung_up(&client.socket.stream))
    {
        assert!(started_at.elapsed().as_secs() < 20);
    }
    state.endpoint_connections[key]
        .exchange
        .as_mut()
        .unwrap()
        .started_at -= 1;
    let now = state.now();
    assert_eq!(
        state.write_attempt(key, now),
        Err(SendRefusal::ClientDisconnected)
    );
}

#[test]
fn nothing_is_sent_after_the_grace_of_a_drain() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let _client = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    {
        let mut state = harness.proxy.state.borrow_mut();
        let draining_since = state.now() - 400_000;
        let key = state.endpoints.key_of("s1").unwrap();
        state.endpoints.get_mut(key).unwrap().draining_since = Some(draining_since);
    }
    assert_eq!(harness.first_outcome(), "unreachable 1");
    let connection = harness.accept_connection(&endpoint);
    let mut received = [0];
    assert_eq!(
        harness.run_until(|_| connection.peek(&mut received).ok()),
        0
    );
}

/// Time passes between the policy's decision and the establishment of the connection.
#[test]
fn an_attempt_states_the_time_that_remains_when_it_is_sent() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let (_client, _) = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    {
        let mut state = harness.proxy.state.borrow_mut();
        let now = state.now();
        let connection = state.endpoint_connections.values_mut().next().unwrap();
        assert!(!connection.is_connected && connection.write_buffer.is_empty());
        connection.exchange.as_mut().unwrap().expire_at = now + 300_000;
    }
    let connection = harness.accept_connection(&endpoint);
    let received = harness.read_until(&connection, "body");
    let remaining_ms = received
        .split("X-Remaining-Ms: ")
        .nth(1)
        .and_then(|rest| rest.split('\r').next())
        .unwrap();
    assert!(
        (1..=300).contains(&remaining_ms.parse::<u64>().unwrap()),
        "{received}"
    );
}

/// Between the policy's decision and the establishment of the connection, the client disconnects,
/// its request gets a response, or the deadline passes. The settings may forbid the policy to
/// cancel attempts.
#[rstest]
#[case::client_disconnected(|harness: &mut TestHarness| {
    let key = harness.proxy.state.borrow().clients.keys().next().unwrap();
    harness.proxy.handle_client_disconnect(key, CloseReason::ClientClosed);
})]
#[case::answered(|harness: &mut TestHarness| ProxyHost(harness.proxy.state.clone()).fail("t1"))]
#[case::deadline_passed(|harness: &mut TestHarness| {
    let mut state = harness.proxy.state.borrow_mut();
    let now = state.now();
    let connection = state.endpoint_connections.values_mut().next().unwrap();
    connection.exchange.as_mut().unwrap().expire_at = now;
})]
fn nothing_is_sent_for_a_request_that_is_no_longer_awaited(#[case] event: fn(&mut TestHarness)) {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let (_client, _) = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    event(&mut harness);
    let connection = harness.accept_connection(&endpoint);
    let mut received = [0];
    assert_eq!(
        harness.run_until(|_| connection.peek(&mut received).ok()),
        0
    );
    harness.run_until(|proxy| {
        proxy
            .state
            .borrow()
            .endpoint_connections
            .is_empty()
            .then_some(())
    });
    assert_eq!(harness.proxy.state.borrow().counters.attempts_not_sent, 1);
}

/// The idempotency window may end before a connection is established.
#[test]
fn a_request_that_may_have_run_is_not_repeated_after_its_idempotency_window() {
    let mut harness = TestHarness::with_configuration(|document| {
        document["settings"]["useCases"][0]["dedupWindowUs"] = 200_000.into();
    });
    let endpoint = harness.add_endpoint("s1");
    let (_client, _) = harness.start_attempt("t1", "s1", LONG_TIMEOUT_US);
    let connection = harness.accept_request(&endpoint);
    drop(connection);
    assert_eq!(harness.first_outcome(), "connection_lost 1");
    let other = harness.add_endpoint("s2");
    std::thread::sleep(std::time::Duration::from_millis(250));
    harness.start_another_attempt("t1", "s2", LONG_TIMEOUT_US);
    harness.run_until(|proxy| {
        let counters = &proxy.state.borrow().counters;
        (counters.attempts_not_sent > 0 || counters.endpoint_connections_opened > 2).then_some(())
    });
    let connection = harness.accept_connection(&other);
    harness.run_until_counters(|counters| counters.attempts_not_sent == 1);
    harness.expect_close(&connection);
}
