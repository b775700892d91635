use super::*;
use crate::scenario::Span;

fn entry(server: usize, state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        server,
        state,
        started_at: None,
    }
}

#[test]
fn changes_become_visible_in_order_with_a_delay_and_each_server_is_listed_once() {
    let delay = [Span(100), Span(1000)];
    let mut registry = EndpointRegistry::new(
        &Discovery {
            propagation_delay: delay,
            ..Discovery::default()
        },
        3,
        5,
    );
    assert_eq!(registry.list(0).version, 3);
    let first = registry.change(0, entry(1, EndpointState::Draining));
    let second = registry.change(0, entry(1, EndpointState::Removed));
    assert!((100..=1000).contains(&first) && second >= first);
    assert_eq!(
        (registry.version(first - 1), registry.next_change(3)),
        (3, Some(first))
    );
    assert_eq!(
        registry.changes_since(second, 3),
        VersionedEntries {
            version: 5,
            entries: vec![entry(1, EndpointState::Removed)]
        }
    );
    let list = registry.list(second);
    assert_eq!(
        (
            list.version,
            list.entries
                .iter()
                .map(|entry| entry.server)
                .collect::<Vec<_>>()
        ),
        (5, vec![0, 2])
    );
    assert_eq!(
        registry.changes_since(second, 9),
        VersionedEntries {
            version: 5,
            entries: vec![]
        },
        "no changes since a version that is higher than the current one"
    );
    assert_eq!(registry.next_change(5), None);
}
