use rstest::rstest;

use super::*;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Applies a list of statements: an id, a port and a start time. Returns the ids of the endpoints
/// that it supersedes.
fn state_addresses(table: &mut EndpointTable, entries: &[(&str, u16, Micros)]) -> Vec<Rc<str>> {
    table.begin_list();
    for (id, port, stated_start) in entries {
        let key = table.get_or_insert(id);
        table.get_mut(key).unwrap().is_listed = true;
        let stated = StatedAddress {
            address: address(*port),
            stated_start: *stated_start,
        };
        table.state_address(key, stated);
    }
    let superseded = table.superseded_holders();
    let endpoints = superseded.iter().map(|key| table.get(*key).unwrap());
    endpoints.map(|endpoint| Rc::clone(&endpoint.id)).collect()
}

#[rstest]
#[case::later_list(&[("a", 1, 9)], &[("b", 1, 0)], &["a"])]
#[case::repeated_with_the_other(&[("a", 1, 0)], &[("b", 1, 0), ("a", 1, 0)], &["a"])]
#[case::restarted_at_its_address(&[("a", 1, 0), ("b", 1, 5)], &[("a", 1, 7)], &["b"])]
#[case::swapped(&[("a", 1, 0), ("b", 2, 0)], &[("a", 2, 0), ("b", 1, 0)], &[])]
#[case::moved_to_it(&[("a", 1, 0), ("b", 2, 0)], &[("b", 1, 0)], &["a"])]
#[case::moved_away(&[("a", 1, 0)], &[("a", 2, 0), ("b", 1, 0)], &[])]
#[case::later_start_in_one_list(&[], &[("b", 1, 5), ("a", 1, 0)], &["a"])]
#[case::undecided(&[], &[("a", 1, 5), ("b", 1, 5)], &[])]
fn the_last_endpoint_that_is_stated_for_an_address_holds_it(
    #[case] first: &[(&str, u16, Micros)],
    #[case] second: &[(&str, u16, Micros)],
    #[case] expected: &[&str],
) {
    let mut table = EndpointTable::default();
    let before = state_addresses(&mut table, first);
    for id in before {
        let key = table.key_of(&id).unwrap();
        table.get_mut(key).unwrap().is_replaced = true;
    }
    let superseded = state_addresses(&mut table, second);
    assert_eq!(
        superseded,
        expected
            .iter()
            .map(|id| Rc::from(*id))
            .collect::<Vec<Rc<str>>>()
    );
}

#[test]
fn a_removed_endpoint_holds_no_address() {
    let mut table = EndpointTable::default();
    state_addresses(&mut table, &[("a", 1, 0), ("b", 2, 0)]);
    state_addresses(&mut table, &[("a", 2, 0)]);
    for id in ["a", "b"] {
        let key = table.key_of(id).unwrap();
        table.remove(key);
    }
    assert!(table.by_address.is_empty());
}
