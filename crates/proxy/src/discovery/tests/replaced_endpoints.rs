//! Guards against review case 6: the name of a removed endpoint outlived a new endpoint at its
//! address, so requests by the old name ran at the new one, and were repeated in the old cell.

use std::net::SocketAddr;

use nanorand::{Rng, WyRand};
use rstest::rstest;
use serde_json::{Value, json};

use super::first_poll;
use crate::state::send_refusal::SendRefusal;
use crate::test_harness::{
    TestHarness, list_entry, list_response, local_listener, request_message, send_text,
};

const LONG_TIMEOUT_US: u64 = 60_000_000;

/// Where unlisted endpoints stay usable.
fn harness() -> TestHarness {
    TestHarness::with_configuration(|document| {
        document["settings"]["rules"]["droppedStayOpen"] = true.into();
    })
}

/// An entry of an endpoint of a cell, whose process started at `boot_ms`.
fn entry(id: &str, address: SocketAddr, state: &str, cell: u64, boot_ms: u64) -> Value {
    let mut entry = list_entry(id, address, state);
    entry["pod_group"] = cell.into();
    entry["boot_ms"] = boot_ms.into();
    entry
}

/// A list in a test: whether it is complete, and the id, state, cell and start of each entry, all
/// at one address.
type TestList = (bool, &'static [(&'static str, &'static str, u64, u64)]);

fn apply(harness: &mut TestHarness, address: SocketAddr, (is_complete, entries): TestList) {
    let entries = entries.iter();
    let entries: Vec<Value> = entries
        .map(|(id, state, cell, boot_ms)| entry(id, address, state, *cell, *boot_ms))
        .collect();
    harness
        .proxy
        .apply_list(&json!({"rev": 1, "all": is_complete, "targets": entries}))
        .unwrap();
}

/// Whether an endpoint is usable, on which the policy and the proxy have to agree.
fn is_usable(harness: &TestHarness, id: &str) -> bool {
    let state = harness.proxy.state.borrow();
    let endpoint = state
        .endpoints
        .key_of(id)
        .and_then(|key| state.endpoints.get(key));
    let by_proxy =
        endpoint.is_some_and(|endpoint| endpoint.draining_since.is_none() && !endpoint.is_replaced);
    assert_eq!(
        by_proxy,
        harness.proxy.balancer.is_endpoint_usable(id),
        "{id}"
    );
    by_proxy
}

const OLD: TestList = (true, &[("old", "active", 1, 0)]);
const OLD_REMOVED: TestList = (false, &[("old", "left", 1, 0)]);
const OLD_MISSING: TestList = (true, &[]);
const OLD_AGAIN: TestList = (false, &[("old", "active", 1, 0)]);
const OLD_RESTARTED: TestList = (false, &[("old", "active", 1, 9_000)]);
const OLD_IN_OTHER_CELL: TestList = (false, &[("old", "active", 3, 0)]);
const NEW: TestList = (false, &[("new", "active", 2, 5_000)]);
const NEW_WITHOUT_START: TestList = (false, &[("new", "active", 2, 0)]);
const NEW_DRAINING: TestList = (false, &[("new", "leaving", 2, 5_000)]);
const NEW_REMOVED: TestList = (false, &[("new", "left", 2, 5_000)]);
const BOTH: TestList = (
    true,
    &[("new", "active", 2, 5_000), ("old", "active", 1, 0)],
);
const NEW_DRAINING_AND_OLD: TestList = (
    true,
    &[("new", "leaving", 2, 5_000), ("old", "active", 1, 0)],
);

#[rstest]
#[case::removed(&[OLD, OLD_REMOVED], true, false)]
#[case::removed_and_replaced(&[OLD, OLD_REMOVED, NEW], false, true)]
#[case::missing_and_replaced(&[OLD, OLD_MISSING, NEW], false, true)]
#[case::replaced_without_start(&[OLD, OLD_REMOVED, NEW_WITHOUT_START], false, true)]
#[case::crash_not_noticed(&[OLD, NEW], false, true)]
#[case::crash_not_noticed_both_listed(&[OLD, NEW, BOTH], false, true)]
#[case::both_in_the_first_list(&[BOTH], false, true)]
#[case::old_entry_repeated(&[OLD, NEW, OLD_AGAIN], false, true)]
#[case::old_removed_later(&[OLD, NEW, OLD_REMOVED], false, true)]
#[case::new_one_drains(&[OLD, OLD_REMOVED, NEW, NEW_DRAINING], false, false)]
#[case::new_one_is_first_seen_draining(&[OLD, OLD_REMOVED, NEW_DRAINING], false, false)]
#[case::new_one_is_first_seen_removed(&[OLD, OLD_REMOVED, NEW_REMOVED], false, false)]
#[case::new_one_drains_while_the_old_one_is_listed(&[OLD, NEW_DRAINING_AND_OLD], false, false)]
#[case::old_entry_repeated_after_a_drain(&[OLD, NEW_DRAINING, OLD_AGAIN], false, false)]
#[case::new_one_removed_too(&[OLD, OLD_REMOVED, NEW, NEW_REMOVED], false, true)]
#[case::old_one_restarted_there(&[OLD, NEW, NEW_REMOVED, OLD_RESTARTED], true, false)]
#[case::old_one_listed_again(&[OLD, OLD_REMOVED, NEW, NEW_REMOVED, OLD_AGAIN], true, false)]
#[case::old_one_flaps_while_the_new_one_is_listed(
    &[OLD, NEW, OLD_REMOVED, OLD_AGAIN], false, true
)]
#[case::old_one_flaps_before_the_new_one_drains(
    &[OLD, NEW, OLD_REMOVED, OLD_AGAIN, NEW_DRAINING], false, false
)]
#[case::old_one_listed_again_behind_a_drain(
    &[OLD, OLD_REMOVED, NEW_DRAINING, OLD_AGAIN], false, false
)]
#[case::old_one_in_a_complete_list(&[OLD, NEW, NEW_REMOVED, OLD], true, false)]
fn an_endpoint_whose_address_is_stated_for_another_one_is_not_used(
    #[case] lists: &[TestList],
    #[case] old_is_usable: bool,
    #[case] new_is_usable: bool,
) {
    let mut harness = harness();
    let address = local_listener().local_addr().unwrap();
    for list in lists {
        apply(&mut harness, address, *list);
    }
    assert_eq!(
        (is_usable(&harness, "old"), is_usable(&harness, "new")),
        (old_is_usable, new_is_usable)
    );
}

/// Draws a list of changes or a complete list, of a few endpoints at a few addresses.
fn random_list(random: &mut WyRand, version: u64) -> Value {
    let is_complete = random.generate_range(0..4_u32) == 0;
    let states = if is_complete {
        &["active", "leaving"][..]
    } else {
        &["active", "active", "leaving", "left", "unreadable"]
    };
    let entries = (0..random.generate_range(0..4_u32)).map(|_| {
        let id = format!("s{}", random.generate_range(0..5_u32));
        let port = random.generate_range(1..4_u16);
        let state = states[random.generate_range(0..states.len())];
        let cell = random.generate_range(0..2_u64);
        let boot_ms = random.generate_range(0..3_u64);
        entry(&id, ([127, 0, 0, 1], port).into(), state, cell, boot_ms)
    });
    let entries: Vec<Value> = entries.collect();
    json!({"rev": version, "all": is_complete, "targets": entries})
}

/// Whatever the lists say, the policy and the proxy agree on the endpoints that may be used, and two
/// of them have one address only if no list tells which came later.
#[rstest]
#[case::unlisted_stay_usable(true)]
#[case::unlisted_drain(false)]
fn the_tables_agree_and_each_address_has_one_endpoint(#[case] unlisted_stay_usable: bool) {
    for seed in 0..40 {
        let mut harness = TestHarness::with_configuration(|document| {
            document["settings"]["rules"]["droppedStayOpen"] = unlisted_stay_usable.into();
        });
        let mut random = WyRand::new_seed(seed);
        for version in 1..60 {
            let list = random_list(&mut random, version);
            harness.proxy.apply_list(&list).unwrap();
            let ids = (0..5).map(|number| format!("s{number}"));
            let usable: Vec<_> = ids.filter(|id| is_usable(&harness, id)).collect();
            let state = harness.proxy.state.borrow();
            let claims = usable
                .iter()
                .map(|id| state.address_claims.claim_of(id).unwrap());
            let claims: Vec<_> = claims.collect();
            for (index, one) in claims.iter().enumerate() {
                let others = claims[..index].iter();
                let mut at_its_address = others.filter(|other| other.address == one.address);
                assert!(
                    at_its_address.all(|other| other.rank == one.rank),
                    "seed {seed}, version {version}: {usable:?}"
                );
            }
        }
    }
}

/// A malformed entry gives its endpoint no requests, and still shows who is at the address.
#[test]
fn a_malformed_entry_replaces_the_endpoint_at_its_address() {
    let mut harness = harness();
    let address = local_listener().local_addr().unwrap();
    apply(&mut harness, address, OLD);
    let mut malformed = entry("new", address, "active", 2, 0);
    malformed["capacity_hint"] = "much".into();
    harness.receive_list(&[malformed]);
    assert_eq!(
        (is_usable(&harness, "old"), is_usable(&harness, "new")),
        (false, false)
    );
}

#[test]
fn a_new_endpoint_at_an_address_of_the_cached_list_replaces_the_cached_one() {
    let address = local_listener().local_addr().unwrap();
    let mut harness = TestHarness::with_configuration(|document| {
        document["settings"]["rules"]["droppedStayOpen"] = true.into();
        document["known"] =
            json!({"rev": 7, "all": true, "targets": [entry("old", address, "active", 1, 0)]});
    });
    apply(&mut harness, address, NEW);
    assert_eq!(
        (is_usable(&harness, "old"), is_usable(&harness, "new")),
        (false, true)
    );
}

/// What discovery wrote counts as delivered. The address in a part that ends before the state is
/// enough to know that the old endpoint is not there any more.
#[test]
fn an_address_in_a_truncated_response_replaces_its_endpoint() {
    let mut harness = harness();
    let address = local_listener().local_addr().unwrap();
    let watch = first_poll(&mut harness);
    let list = json!({"rev": 41, "all": true, "targets": [entry("old", address, "active", 1, 0)]});
    send_text(&watch, &list_response(&list));
    harness.read_until(&watch, "\r\n\r\n");
    let change = format!(
        r#"{{"rev":42,"all":false,"targets":[{{"uid":"new","endpoint":"{address}","state":"act"#
    );
    send_text(
        &watch,
        &format!("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{change}"),
    );
    drop(watch);
    harness.run_until(|proxy| (!proxy.balancer.is_endpoint_usable("old")).then_some(()));
    assert!(!is_usable(&harness, "old"));
}

/// A connection that is established late would carry the request to the new endpoint.
#[test]
fn nothing_is_written_to_a_replaced_endpoint() {
    let mut harness = harness();
    let listener = local_listener();
    let address = listener.local_addr().unwrap();
    apply(&mut harness, address, OLD);
    let (_client, _) = harness.start_attempt("t1", "old", LONG_TIMEOUT_US);
    apply(&mut harness, address, NEW);
    let key = harness.only_endpoint_connection();
    let mut state = harness.proxy.state.borrow_mut();
    let now = state.now();
    assert_eq!(state.write_attempt(key, now), Err(SendRefusal::Replaced));
}

#[test]
fn idle_connections_to_a_replaced_endpoint_are_closed() {
    let mut harness = harness();
    let listener = local_listener();
    let address = listener.local_addr().unwrap();
    apply(&mut harness, address, (true, &[("s1", "active", 1, 0)]));
    let idle = harness.idle_connection(&listener);
    apply(&mut harness, address, NEW);
    // An idle connection would be closed after some time in any case.
    assert!(harness.proxy.state.borrow().endpoint_connections.is_empty());
    drop(idle);
}

/// The attempt at the old endpoint may have run in the cell of the new one, so no cell discards a
/// repetition. The locations may change while the connection of the repetition is established.
#[rstest]
#[case::unchanged(OLD_AGAIN, Ok(()))]
#[case::removed_later(OLD_REMOVED, Ok(()))]
#[case::replaced(NEW, Err(SendRefusal::OutsideIdempotencyScope))]
#[case::other_cell(OLD_IN_OTHER_CELL, Err(SendRefusal::OutsideIdempotencyScope))]
fn a_request_that_may_have_run_at_another_cell_is_not_repeated(
    #[case] change: TestList,
    #[case] expected: Result<(), SendRefusal>,
) {
    let mut harness = harness();
    let (old, other) = (local_listener(), local_listener());
    apply(&mut harness, old.local_addr().unwrap(), OLD);
    harness.receive_list(&[entry("other", other.local_addr().unwrap(), "active", 1, 0)]);
    let (_client, _) = harness.start_attempt("t1", "old", LONG_TIMEOUT_US);
    drop(harness.accept_request(&old));
    harness.first_outcome();
    harness.start_another_attempt("t1", "other", LONG_TIMEOUT_US);
    apply(&mut harness, old.local_addr().unwrap(), change);
    let key = harness.only_endpoint_connection();
    let mut state = harness.proxy.state.borrow_mut();
    let now = state.now();
    assert_eq!(state.write_attempt(key, now), expected);
}

/// Nothing shows which process is at the address of an endpoint that is not on the list.
#[rstest]
#[case::first_one("old")]
#[case::second_one("other")]
fn a_request_is_not_repeated_from_or_to_an_unlisted_endpoint(#[case] unlisted: &str) {
    let mut harness = harness();
    let (old, other) = (local_listener(), local_listener());
    let addresses = [("old", &old), ("other", &other)]
        .map(|(id, listener)| (id, listener.local_addr().unwrap()));
    harness.receive_list(&addresses.map(|(id, address)| entry(id, address, "active", 1, 0)));
    let removed = addresses.into_iter().filter(|(id, _)| *id == unlisted);
    let removed: Vec<_> = removed
        .map(|(id, address)| entry(id, address, "left", 1, 0))
        .collect();
    harness.receive_list(&removed);
    let (_client, _) = harness.start_attempt("t1", "old", LONG_TIMEOUT_US);
    drop(harness.accept_request(&old));
    harness.first_outcome();
    harness.start_another_attempt("t1", "other", LONG_TIMEOUT_US);
    let key = harness.only_endpoint_connection();
    let mut state = harness.proxy.state.borrow_mut();
    let now = state.now();
    let expected = Err(SendRefusal::OutsideIdempotencyScope);
    assert_eq!(state.write_attempt(key, now), expected);
}

/// The whole path of case 6: keyed requests run at the new endpoint and lose their connection. None
/// may be repeated in the cell of the old one, which has not met its key.
#[test]
fn a_keyed_request_that_ran_at_the_new_endpoint_is_not_repeated_in_the_old_cell() {
    let mut harness = harness();
    let (old, other) = (local_listener(), local_listener());
    let (old_address, other_address) = (old.local_addr().unwrap(), other.local_addr().unwrap());
    apply(&mut harness, old_address, OLD);
    apply(&mut harness, old_address, OLD_REMOVED);
    apply(&mut harness, old_address, NEW);
    for number in 0..2 {
        harness.receive_list(&[entry("other", other_address, "leaving", 1, 0)]);
        let (client, _) = harness.connect_client();
        send_text(&client, &request_message(&format!("t{number}"), "body"));
        let connection = harness.accept_request(&old);
        harness.receive_list(&[entry("other", other_address, "active", 1, 0)]);
        drop(connection);
        let response = harness.read_until(&client, "\r\n\r\n");
        assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
        assert!(other.accept().is_err());
    }
}

/// Without `droppedStayOpen` a removed endpoint counts as draining, from the reload on.
#[test]
fn a_reload_withdraws_unlisted_endpoints_that_may_no_longer_be_used() {
    let mut harness = harness();
    let address = local_listener().local_addr().unwrap();
    apply(&mut harness, address, OLD);
    apply(&mut harness, address, OLD_REMOVED);
    assert!(is_usable(&harness, "old"));
    let mut settings = harness.proxy.balancer.settings().clone();
    settings.unlisted_stay_usable = false;
    harness.proxy.change_settings(settings);
    assert!(!is_usable(&harness, "old"));
}
