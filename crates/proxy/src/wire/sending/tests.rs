use rstest::rstest;

use super::*;
use crate::memory::slots::TicketSlot;
use crate::stand::{Stand, entry};

const LONG: Micros = 60_000_000;
const GRACE: Micros = 400_000;

/// A request with a connection that carries its first attempt, and what the guard says of it in a changed world.
fn asked(change: impl FnOnce(&mut Desk, LinkSlot, TicketSlot)) -> (Result<(), Refusal>, u64) {
    let mut stand = Stand::new();
    let _upstream = stand.upstream("s1");
    let (_client, ticket) = stand.dispatched("t1", "s1", LONG);
    let mut desk = stand.node.desk.borrow_mut();
    let slot = desk.links.keys().next().unwrap();
    change(&mut desk, slot, ticket);
    let now = desk.now();
    let said = desk.word_attempt(slot, now);
    assert_eq!(said.is_ok(), !desk.links[slot].outbox.is_empty());
    (said, desk.counters.violations)
}

fn drained(desk: &mut Desk, slot: LinkSlot, ago: Micros) {
    let told = desk.now() - ago;
    let upstream = desk.links[slot].upstream;
    desk.upstreams[upstream].drains = Some(told);
}

fn ran(desk: &mut Desk, ticket: TicketSlot, idempotency: Idempotency, ago: Micros) {
    let since = desk.now() - ago;
    (
        desk.tickets[ticket].idempotency,
        desk.tickets[ticket].may_have_run_since,
    ) = (idempotency, Some(since));
}

#[test]
fn nothing_in_its_way_an_attempt_is_sent() {
    assert_eq!(asked(|_, _, _| {}), (Ok(()), 0));
}

/// Held up by 0.15 s before it reads the notice and again before it writes, a process still keeps to the grace.
#[rstest]
#[case::told_just_now(0, Err(Refusal::Drained))]
#[case::within_the_grace(GRACE - 140_000, Err(Refusal::Drained))]
#[case::grace_over(GRACE, Err(Refusal::Drained))]
fn nothing_is_sent_to_what_drains(#[case] ago: Micros, #[case] wanted: Result<(), Refusal>) {
    assert_eq!(asked(|desk, slot, _| drained(desk, slot, ago)), (wanted, 0));
}

const KEYED: Idempotency = Idempotency::IdempotencyKey {
    scope: pinefront_policy::IdempotencyScope::All,
    window: 1_000_000,
};

#[rstest]
#[case::safe(Idempotency::Idempotent, LONG, (Ok(()), 0))]
#[case::keyed_in_its_window(KEYED, 500_000, (Ok(()), 0))]
#[case::keyed_within_the_margin(KEYED, 900_000, (Err(Refusal::WindowOver), 0))]
#[case::unsafe_never(Idempotency::NonIdempotent, 0, (Err(Refusal::MayHaveRun), 1))]
fn what_may_have_run_is_repeated_only_as_its_effect_allows(
    #[case] idempotency: Idempotency,
    #[case] ago: Micros,
    #[case] wanted: (Result<(), Refusal>, u64),
) {
    assert_eq!(
        asked(|desk, _, ticket| ran(desk, ticket, idempotency, ago)),
        wanted
    );
}

#[test]
fn no_second_attempt_is_sent_while_one_is_out() {
    let two = |desk: &mut Desk, slot, ticket: TicketSlot| {
        desk.tickets[ticket].dispatches.push(Some(slot));
    };
    assert_eq!(asked(two), (Err(Refusal::SecondOut), 1));
}

#[test]
fn nothing_is_sent_when_its_time_is_over_or_its_upstream_has_moved() {
    let over = |desk: &mut Desk, slot: LinkSlot, _| {
        desk.links[slot].errand.as_mut().unwrap().expire_at = 0
    };
    assert_eq!(asked(over), (Err(Refusal::TimeOver), 0));
    let moved = |desk: &mut Desk, slot: LinkSlot, _| {
        let upstream = desk.links[slot].upstream;
        desk.upstreams[upstream].address = Some("127.0.0.1:9".parse().unwrap());
    };
    assert_eq!(asked(moved), (Err(Refusal::Moved), 0));
}

/// The client's close lies in its socket, unread as the process was held up, when the connection has come up.
#[test]
fn nothing_is_sent_for_a_client_whose_close_is_not_read_yet() {
    let mut stand = Stand::new();
    let upstream = stand.upstream("s1");
    stand.list(&[entry("s1", upstream.local_addr().unwrap(), "active")]);
    let (client, _) = stand.dispatched("t1", "s1", LONG);
    drop(client);
    let mut desk = stand.node.desk.borrow_mut();
    let slot = desk.links.keys().next().unwrap();
    let began = std::time::Instant::now();
    while !desk
        .clients
        .values()
        .any(|client| hung_up(&client.wired.stream))
    {
        assert!(began.elapsed().as_secs() < 20);
    }
    desk.links[slot].errand.as_mut().unwrap().sent -= 1;
    let now = desk.now();
    assert_eq!(desk.word_attempt(slot, now), Err(Refusal::ClientLeft));
}
