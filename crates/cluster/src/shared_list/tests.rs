use rstest::rstest;

use super::publisher::{Entry, ListPublisher};
use super::subscriber::ListSubscriber;
use super::*;
use crate::leases::term::Term;

const FIRST_TERM: Term = Term {
    number: 1,
    incarnation_id: 1,
};
const MS: Micros = 1_000;

fn entries(numbers: std::ops::Range<usize>) -> Vec<Entry> {
    let entry = |n| {
        let id = format!("s{n}");
        Entry {
            text: format!("{{\"uid\":\"{id}\",\"note\":\"{}\"}}", "x".repeat(60)),
            id,
            has_left: false,
        }
    };
    numbers.map(entry).collect()
}

fn entry_counts(pages: &[Vec<u8>]) -> Vec<usize> {
    pages
        .iter()
        .map(|page| String::from_utf8_lossy(page).matches("\"uid\"").count())
        .collect()
}

/// Delivers all messages except those with the indices in `lost`, then a heartbeat and the answers
/// to the subscriber's request. Returns the pages to apply.
fn deliver_messages(
    subscriber: &mut ListSubscriber,
    publisher: &mut ListPublisher,
    now: Micros,
    messages: &[ListMessage],
    lost: &[usize],
) -> Vec<Vec<u8>> {
    let mut pages = Vec::new();
    for (_, message) in messages
        .iter()
        .enumerate()
        .filter(|(index, _)| !lost.contains(index))
    {
        pages.extend(subscriber.receive(now, FIRST_TERM, message).pages);
    }
    let heartbeat = publisher.heartbeat(now + 500 * MS).unwrap();
    let update = subscriber.receive(now + 500 * MS, FIRST_TERM, &heartbeat);
    pages.extend(update.pages);
    for message in update
        .request
        .iter()
        .flat_map(|request| publisher.answer(request))
    {
        pages.extend(
            subscriber
                .receive(now + 501 * MS, FIRST_TERM, &message)
                .pages,
        );
    }
    pages
}

#[rstest]
#[case::none(&[], &[20])]
#[case::one_chunk(&[1], &[20])]
#[case::all(&[0, 1, 2, 3], &[20])]
fn lost_chunks_are_requested(#[case] lost: &[usize], #[case] expected: &[usize]) {
    let (mut publisher, mut subscriber) = (ListPublisher::default(), ListSubscriber::default());
    let messages = publisher.publish(7, true, &entries(0..20));
    assert_eq!(messages.len(), 4);
    let pages = deliver_messages(&mut subscriber, &mut publisher, 0, &messages, lost);
    assert_eq!(entry_counts(&pages), expected);
    let heartbeat = publisher.heartbeat(1_000 * MS).unwrap();
    subscriber.receive(1_000 * MS, FIRST_TERM, &heartbeat);
    assert!(
        subscriber.is_fresh(1_000 * MS + HEARTBEAT_TIMEOUT_US - 1)
            && !subscriber.is_fresh(1_000 * MS + HEARTBEAT_TIMEOUT_US)
    );
}

#[test]
fn changes_are_applied_in_order_and_a_full_list_replaces_earlier_pages() {
    let (mut publisher, mut subscriber) = (ListPublisher::default(), ListSubscriber::default());
    let full_list = publisher.publish(7, true, &entries(0..3));
    let changes: Vec<_> = (8..12)
        .map(|version| publisher.publish(version, false, &entries(3..4)))
        .collect();
    // The full list arrives last.
    for change in changes.iter().rev().flatten() {
        assert!(subscriber.receive(0, FIRST_TERM, change).pages.is_empty());
    }
    let pages: Vec<_> = full_list
        .iter()
        .flat_map(|chunk| subscriber.receive(0, FIRST_TERM, chunk).pages)
        .collect();
    assert_eq!(
        (entry_counts(&pages), subscriber.applied_page()),
        (vec![3, 1, 1, 1, 1], 5)
    );
    // A subscriber that joins later obtains the same list from one full list.
    let mut late_subscriber = ListSubscriber::default();
    let answer: Vec<_> = publisher.answer(&ListRequest::FullList);
    let pages: Vec<_> = answer
        .iter()
        .flat_map(|chunk| late_subscriber.receive(0, FIRST_TERM, chunk).pages)
        .collect();
    assert_eq!(
        (entry_counts(&pages), late_subscriber.applied_page()),
        (vec![4], 5)
    );
}

#[test]
fn full_list_does_not_contain_an_endpoint_that_left() {
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
    let answer = publisher.answer(&ListRequest::FullList);
    let ListMessage::Chunk(Chunk { bytes, version, .. }) = &answer[0] else {
        panic!("{answer:?}")
    };
    assert_eq!(
        (
            String::from_utf8_lossy(bytes).matches("uid").count(),
            *version
        ),
        (2, 8)
    );
}

/// Heartbeats contain that the watch is closed. A holder that is disconnected sends none.
#[test]
fn list_is_not_fresh_while_the_watch_of_the_holder_is_closed() {
    let (mut publisher, mut subscriber) = (ListPublisher::default(), ListSubscriber::default());
    let messages = publisher.publish(7, true, &entries(0..3));
    deliver_messages(&mut subscriber, &mut publisher, 0, &messages, &[]);
    assert!(subscriber.is_fresh(600 * MS));
    publisher.set_watching(false);
    for at in 1..20 {
        let now = at * HEARTBEAT_INTERVAL_US + 600 * MS;
        subscriber.receive(now, FIRST_TERM, &publisher.heartbeat(now).unwrap());
    }
    assert!(!subscriber.is_fresh(600 * MS + HEARTBEAT_TIMEOUT_US));
}

#[rstest]
#[case::older_version(6, 0..3, false)]
#[case::empty_list(9, 0..0, false)]
#[case::valid_list(9, 0..2, true)]
fn holder_with_an_invalid_list_is_ignored(
    #[case] version: u64,
    #[case] numbers: std::ops::Range<usize>,
    #[case] is_accepted: bool,
) {
    let mut subscriber = ListSubscriber::default();
    subscriber.record_own_version(7);
    let mut publisher = ListPublisher::default();
    let messages = publisher.publish(version, true, &entries(numbers));
    let pages = deliver_messages(&mut subscriber, &mut publisher, 0, &messages, &[]);
    assert_eq!(
        (pages.len(), subscriber.is_fresh(600 * MS)),
        (usize::from(is_accepted), is_accepted)
    );
    // The list of a later holder is accepted immediately.
    let later_term = Term {
        number: 2,
        incarnation_id: 1,
    };
    let messages_of_later_holder: Vec<_> =
        ListPublisher::default().publish(9, true, &entries(0..4));
    let pages: Vec<_> = messages_of_later_holder
        .iter()
        .flat_map(|chunk| subscriber.receive(700 * MS, later_term, chunk).pages)
        .collect();
    assert_eq!(entry_counts(&pages), [4]);
    // Messages of the earlier holder are ignored from then on.
    assert!(
        subscriber
            .receive(800 * MS, FIRST_TERM, &messages[0])
            .pages
            .is_empty()
    );
}
