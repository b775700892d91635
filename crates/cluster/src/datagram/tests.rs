use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::datagram::replay_filter::{MAX_REPLAY_WINDOWS, REPLAY_WINDOW_LENGTH};

fn key() -> Key {
    Key::new(b"0123456789abcdef\n").unwrap()
}

fn datagram(sequence_number: u64) -> Datagram {
    let incarnation = Incarnation {
        started_at_us: 5,
        random_id: 6,
    };
    let own_record =
        MemberRecord::for_new_process("b1", "a", "127.0.0.1:9".parse().unwrap(), incarnation);
    Datagram {
        fleet: "f".into(),
        sender: "b1".into(),
        incarnation,
        refutation_counter: 5,
        sequence_number,
        message: Message::Gossip,
        records: vec![own_record],
    }
}

#[test]
fn sealed_datagram_opens_only_with_its_key_and_fleet() {
    let bytes = seal(&key(), &datagram(3)).unwrap();
    assert_eq!(open(&key(), "f", &bytes), Ok(datagram(3)));
    assert_eq!(open(&key(), "g", &bytes), Err(DropReason::ForeignFleet));
    assert_eq!(
        open(&Key::new(b"another key of length").unwrap(), "f", &bytes),
        Err(DropReason::Hash)
    );
}

#[rstest]
#[case::empty(b"", 0)]
#[case::short(b"0123456789abcde", 15)]
#[case::white_space(b"  0123456789    \n", 10)]
fn short_key_is_rejected(#[case] bytes: &[u8], #[case] length: usize) {
    assert_eq!(Key::new(bytes).err(), Some(KeyTooShort(length)));
}

fn with_hash(body: &[u8]) -> Vec<u8> {
    let hash = blake3::keyed_hash(&key().0, body);
    [hash.as_bytes().as_slice(), body].concat()
}

#[rstest]
#[case::other_version(with_hash(&[9, 1, 2]), DropReason::Version)]
#[case::empty(with_hash(&[]), DropReason::Malformed)]
#[case::undecodable_body(with_hash(&[PROTOCOL_VERSION, 255, 255]), DropReason::Malformed)]
#[case::short(vec![0; 31], DropReason::Size)]
#[case::long(vec![0; MAX_DATAGRAM_BYTES + 1], DropReason::Size)]
fn malformed_datagrams_are_dropped_by_reason(#[case] bytes: Vec<u8>, #[case] reason: DropReason) {
    assert_eq!(open(&key(), "f", &bytes), Err(reason));
}

#[test]
fn trailing_bytes_and_invalid_names_are_malformed() {
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes.extend(postcard::to_stdvec(&datagram(0)).unwrap());
    bytes.push(0);
    assert_eq!(
        open(&key(), "f", &with_hash(&bytes)),
        Err(DropReason::Malformed)
    );
    let mut invalid = datagram(0);
    invalid.records[0].name = "a b".into();
    assert_eq!(
        open(&key(), "f", &seal(&key(), &invalid).unwrap()),
        Err(DropReason::Malformed)
    );
}

proptest! {
    #[test]
    fn datagram_with_a_changed_bit_is_rejected(index in 0usize..1_000, bit in 0u8..8) {
        let mut bytes = seal(&key(), &datagram(3)).unwrap();
        let index = index % bytes.len();
        bytes[index] ^= 1 << bit;
        prop_assert_eq!(open(&key(), "f", &bytes), Err(DropReason::Hash));
    }

    #[test]
    fn arbitrary_bytes_are_rejected_or_decoded_without_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..1_300),
    ) {
        prop_assert!(open(&key(), "f", &bytes).is_err());
        // The bytes are also opened with a valid hash, since a faulty sender may have the key.
        let _ = open(&key(), "f", &with_hash(&bytes));
    }

    #[test]
    fn each_sequence_number_is_accepted_once(numbers in prop::collection::vec(0u64..300, 1..200)) {
        let (mut replay_filter, mut accepted) = (ReplayFilter::default(), Vec::new());
        for number in numbers {
            let highest = accepted.iter().copied().max().unwrap_or(0);
            let is_in_window = accepted.is_empty() || number + REPLAY_WINDOW_LENGTH > highest;
            let is_new = !accepted.contains(&number) && is_in_window;
            prop_assert_eq!(replay_filter.accept(&datagram(number)).is_ok(), is_new);
            if is_new {
                accepted.push(number);
            }
        }
    }
}

#[test]
fn number_of_replay_windows_is_limited() {
    let mut replay_filter = ReplayFilter::default();
    for number in 0..MAX_REPLAY_WINDOWS + 10 {
        let mut datagram = datagram(1);
        datagram.sender = format!("n{number}");
        replay_filter.accept(&datagram).unwrap();
    }
    assert_eq!(replay_filter.window_count(), MAX_REPLAY_WINDOWS);
}
