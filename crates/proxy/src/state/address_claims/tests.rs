use rstest::rstest;

use super::*;

const LIST_INTERVAL_US: Micros = 1_000_000;

/// Applies changes, which are separated by `|`, and returns the endpoints that the last of them
/// replaces. An entry is the id of an endpoint, the digit of its address, and the digit of its
/// start; `-a`: endpoint `a` is removed; `~a14`: it is draining.
fn replaced_by(changes: &str) -> String {
    let mut claims = AddressClaims::default();
    let mut replaced = Vec::new();
    for (number, change) in changes.split('|').enumerate() {
        let now = number as Micros * LIST_INTERVAL_US;
        claims.begin_list(now, false);
        for entry in change.split_whitespace() {
            apply_entry(&mut claims, entry, now);
        }
        replaced = claims.end_list();
    }
    replaced.sort();
    replaced.concat()
}

fn apply_entry(claims: &mut AddressClaims, entry: &str, now: Micros) {
    if let Some(id) = entry.strip_prefix('-') {
        return claims.removed(&Rc::from(id), None, now);
    }
    let (listing, entry) = match entry.strip_prefix('~') {
        Some(entry) => (Listing::Draining, entry),
        None => (Listing::Active, entry),
    };
    let digit = |at: usize| entry[at..=at].parse::<u8>().unwrap();
    let stated = StatedAddress {
        address: ([127, 0, 0, 1], u16::from(digit(1))).into(),
        stated_start: digit(2).into(),
    };
    claims.state(&Rc::from(&entry[..1]), stated, listing);
}

#[rstest]
#[case::later_list("a19 | b10", "a")]
#[case::repeated_with_the_other("a10 | b10 | a10 b10", "")]
#[case::removed_and_listed_again("a10 | b15 | -a | a10", "a")]
#[case::removed_before_and_listed_again("a10 | -a | b15 | a10", "a")]
#[case::listed_again_after_both_were_removed("a10 | -a | b15 | -b | a10", "b")]
#[case::listed_again_behind_a_drain("a10 | -a | ~b15 | a10", "a")]
#[case::restarted_at_its_address("a10 b15 | a17", "b")]
#[case::swapped("a10 b20 | a20 b10", "")]
#[case::moved_to_it("a10 b20 | b10", "a")]
#[case::moved_away("a10 | a20 b10", "")]
#[case::later_start_in_one_list("b15 a10", "a")]
#[case::draining_in_one_list("a15 ~b15", "a")]
#[case::undecided("a15 b15", "")]
#[case::removed_holder("a10 | -a | b10", "a")]
fn the_endpoint_that_was_stated_last_replaces_the_others(
    #[case] changes: &str,
    #[case] expected: &str,
) {
    assert_eq!(replaced_by(changes), expected);
}

/// What an endpoint may not do for a repeated entry, it may after it was removed.
#[test]
fn a_replaced_endpoint_stays_replaced_while_it_is_listed() {
    let mut claims = AddressClaims::default();
    let id: Rc<str> = Rc::from("a");
    let stated = StatedAddress {
        address: ([127, 0, 0, 1], 1).into(),
        stated_start: 0,
    };
    let state = |claims: &mut AddressClaims| claims.state(&id, stated, Listing::Active);
    assert!(state(&mut claims));
    assert_eq!(claims.replace_others("b", stated.address), ["a".into()]);
    assert!(!state(&mut claims));
    claims.removed(&id, Some(stated), 0);
    assert!(state(&mut claims));
}

/// Endpoints that are replaced at one address again and again must not accumulate.
#[test]
fn claims_of_departed_endpoints_are_forgotten() {
    let mut claims = AddressClaims::default();
    let mut now = 0;
    for number in 0..100 {
        claims.begin_list(now, true);
        let stated = StatedAddress {
            address: ([127, 0, 0, 1], 1).into(),
            stated_start: now,
        };
        let present = format!("s{number}");
        claims.state(&present.as_str().into(), stated, Listing::Active);
        claims.end_list();
        claims.forget_departed(now, |id| id == present);
        now += DEPARTED_RETENTION_US / 4;
    }
    let count = claims.by_address.values().flatten().count();
    assert!((1..=5).contains(&count), "{count}");
    assert_eq!(claims.address_by_id.len(), count);
}

/// The claim of an endpoint that is still used has to be found when its address is stated for
/// another one, however long ago it was removed.
#[test]
fn the_claim_of_an_endpoint_in_use_is_kept() {
    let mut claims = AddressClaims::default();
    apply_entry(&mut claims, "a10", 0);
    apply_entry(&mut claims, "-a", 0);
    claims.forget_departed(2 * DEPARTED_RETENTION_US, |id| id == "a");
    claims.begin_list(2 * DEPARTED_RETENTION_US, false);
    apply_entry(&mut claims, "b10", 0);
    assert_eq!(claims.end_list(), ["a".into()]);
}
