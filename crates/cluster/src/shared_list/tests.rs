use rstest::rstest;

use super::publisher::{Entry, ListPublisher};
use super::subscriber::ListSubscriber;
use super::*;
use crate::leases::term::Term;

const FIRST: Term = Term {
    number: 1,
    incarnation_id: 1,
};
const MS: Micros = 1_000;

fn entries(names: std::ops::Range<usize>) -> Vec<Entry> {
    let entry = |n| {
        let id = format!("s{n}");
        Entry {
            text: format!("{{\"uid\":\"{id}\",\"note\":\"{}\"}}", "x".repeat(60)),
            id,
            has_left: false,
        }
    };
    names.map(entry).collect()
}

fn names(taken: &[Vec<u8>]) -> Vec<usize> {
    taken
        .iter()
        .map(|page| String::from_utf8_lossy(page).matches("\"uid\"").count())
        .collect()
}

/// Delivers all messages but the lost ones, and the answers to the subscriber's request.
fn carry(
    subscriber: &mut ListSubscriber,
    publisher: &mut ListPublisher,
    now: Micros,
    said: &[ListMessage],
    lost: &[usize],
) -> Vec<Vec<u8>> {
    let mut taken = Vec::new();
    for (_, one) in said
        .iter()
        .enumerate()
        .filter(|(place, _)| !lost.contains(place))
    {
        taken.extend(subscriber.receive(now, FIRST, one).pages);
    }
    let heartbeat = publisher.heartbeat(now + 500 * MS).unwrap();
    let update = subscriber.receive(now + 500 * MS, FIRST, &heartbeat);
    taken.extend(update.pages);
    for one in update
        .request
        .iter()
        .flat_map(|request| publisher.answer(request))
    {
        taken.extend(subscriber.receive(now + 501 * MS, FIRST, &one).pages);
    }
    taken
}

#[rstest]
#[case::nothing(&[], &[20])]
#[case::a_part(&[1], &[20])]
#[case::all(&[0, 1, 2, 3], &[20])]
fn lost_chunks_are_requested(#[case] lost: &[usize], #[case] found: &[usize]) {
    let (mut publisher, mut subscriber) = (ListPublisher::default(), ListSubscriber::default());
    let said = publisher.publish(7, true, &entries(0..20));
    assert_eq!(said.len(), 4);
    let taken = carry(&mut subscriber, &mut publisher, 0, &said, lost);
    assert_eq!(names(&taken), found);
    let heartbeat = publisher.heartbeat(1_000 * MS).unwrap();
    subscriber.receive(1_000 * MS, FIRST, &heartbeat);
    assert!(
        subscriber.is_fresh(1_000 * MS + HEARTBEAT_TIMEOUT_US - 1)
            && !subscriber.is_fresh(1_000 * MS + HEARTBEAT_TIMEOUT_US)
    );
}

#[test]
fn changes_are_applied_in_order_and_a_full_list_replaces_earlier_pages() {
    let (mut publisher, mut subscriber) = (ListPublisher::default(), ListSubscriber::default());
    let whole = publisher.publish(7, true, &entries(0..3));
    let changes: Vec<_> = (8..12)
        .map(|version| publisher.publish(version, false, &entries(3..4)))
        .collect();
    // The whole list comes last.
    for change in changes.iter().rev().flatten() {
        assert!(subscriber.receive(0, FIRST, change).pages.is_empty());
    }
    let taken: Vec<_> = whole
        .iter()
        .flat_map(|part| subscriber.receive(0, FIRST, part).pages)
        .collect();
    assert_eq!(
        (names(&taken), subscriber.applied_page()),
        (vec![3, 1, 1, 1, 1], 5)
    );
    // A later subscriber gets the same from one full list.
    let mut late = ListSubscriber::default();
    let told: Vec<_> = publisher.answer(&ListRequest::FullList);
    let taken: Vec<_> = told
        .iter()
        .flat_map(|part| late.receive(0, FIRST, part).pages)
        .collect();
    assert_eq!((names(&taken), late.applied_page()), (vec![4], 5));
}

#[test]
fn endpoint_that_left_is_in_no_full_list() {
    let mut publisher = ListPublisher::default();
    publisher.publish(7, true, &entries(0..3));
    publisher.publish(
        8,
        false,
        &[Entry {
            has_left: true,
            ..entries(1..2).remove(0)
        }],
    );
    let told = publisher.answer(&ListRequest::FullList);
    let ListMessage::Chunk(Chunk { bytes, version, .. }) = &told[0] else {
        panic!("{told:?}")
    };
    assert_eq!(
        (
            String::from_utf8_lossy(bytes).matches("uid").count(),
            *version
        ),
        (2, 8)
    );
}

/// The heartbeat tells that the watch is closed; a holder that is cut off sends none.
#[test]
fn list_is_not_fresh_without_an_open_watch_of_the_holder() {
    let (mut publisher, mut subscriber) = (ListPublisher::default(), ListSubscriber::default());
    let said = publisher.publish(7, true, &entries(0..3));
    carry(&mut subscriber, &mut publisher, 0, &said, &[]);
    assert!(subscriber.is_fresh(600 * MS));
    publisher.set_watching(false);
    for at in 1..20 {
        let now = at * HEARTBEAT_INTERVAL_US + 600 * MS;
        subscriber.receive(now, FIRST, &publisher.heartbeat(now).unwrap());
    }
    assert!(!subscriber.is_fresh(600 * MS + HEARTBEAT_TIMEOUT_US));
}

#[rstest]
#[case::version_goes_back(6, 0..3, false)]
#[case::nobody(9, 0..0, false)]
#[case::sound(9, 0..2, true)]
fn holder_with_an_impossible_list_is_ignored(
    #[case] version: u64,
    #[case] named: std::ops::Range<usize>,
    #[case] taken: bool,
) {
    let mut subscriber = ListSubscriber::default();
    subscriber.record_own_version(7);
    let mut publisher = ListPublisher::default();
    let said = publisher.publish(version, true, &entries(named));
    let pages = carry(&mut subscriber, &mut publisher, 0, &said, &[]);
    assert_eq!(
        (pages.len(), subscriber.is_fresh(600 * MS)),
        (usize::from(taken), taken)
    );
    // A later holder is followed at once.
    let later = Term {
        number: 2,
        incarnation_id: 1,
    };
    let told: Vec<_> = ListPublisher::default().publish(9, true, &entries(0..4));
    let pages: Vec<_> = told
        .iter()
        .flat_map(|part| subscriber.receive(700 * MS, later, part).pages)
        .collect();
    assert_eq!(names(&pages), [4]);
    // And an earlier one no more.
    assert!(
        subscriber
            .receive(800 * MS, FIRST, &said[0])
            .pages
            .is_empty()
    );
}
