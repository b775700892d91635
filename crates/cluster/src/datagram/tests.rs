use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::datagram::replay_filter::{MAX_REPLAY_WINDOWS, REPLAY_WINDOW_LENGTH};

fn key() -> Key {
    Key::new(b"0123456789abcdef\n").unwrap()
}

fn datagram(counter: u64) -> Datagram {
    let incarnation = Incarnation {
        started_at_us: 5,
        random_id: 6,
    };
    let own = MemberRecord::for_new_process("b1", "a", "127.0.0.1:9".parse().unwrap(), incarnation);
    Datagram {
        fleet: "f".into(),
        sender: "b1".into(),
        incarnation,
        refutation_counter: 5,
        sequence_number: counter,
        message: Message::Gossip,
        records: vec![own],
    }
}

#[test]
fn sealed_datagram_opens_with_the_key() {
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
#[case::blanks(b"  0123456789    \n", 10)]
fn short_key_is_refused(#[case] bytes: &[u8], #[case] length: usize) {
    assert_eq!(Key::new(bytes).err(), Some(KeyTooShort(length)));
}

fn sealed(body: &[u8]) -> Vec<u8> {
    let hash = blake3::keyed_hash(&key().0, body);
    [hash.as_bytes().as_slice(), body].concat()
}

#[rstest]
#[case::other_version(sealed(&[9, 1, 2]), DropReason::Version)]
#[case::nothing(sealed(&[]), DropReason::Malformed)]
#[case::no_letter(sealed(&[PROTOCOL_VERSION, 255, 255]), DropReason::Malformed)]
#[case::short(vec![0; 31], DropReason::Size)]
#[case::long(vec![0; MAX_DATAGRAM_BYTES + 1], DropReason::Size)]
fn malformed_datagrams_are_dropped_by_reason(#[case] bytes: Vec<u8>, #[case] cause: DropReason) {
    assert_eq!(open(&key(), "f", &bytes), Err(cause));
}

#[test]
fn trailing_bytes_and_invalid_names_are_malformed() {
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes.extend(postcard::to_stdvec(&datagram(0)).unwrap());
    bytes.push(0);
    assert_eq!(
        open(&key(), "f", &sealed(&bytes)),
        Err(DropReason::Malformed)
    );
    let mut odd = datagram(0);
    odd.records[0].name = "a b".into();
    assert_eq!(
        open(&key(), "f", &seal(&key(), &odd).unwrap()),
        Err(DropReason::Malformed)
    );
}

proptest! {
    #[test]
    fn no_changed_bit_passes(index in 0usize..1_000, bit in 0u8..8) {
        let mut bytes = seal(&key(), &datagram(3)).unwrap();
        let index = index % bytes.len();
        bytes[index] ^= 1 << bit;
        prop_assert_eq!(open(&key(), "f", &bytes), Err(DropReason::Hash));
    }

    #[test]
    fn any_bytes_are_refused_or_read_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        prop_assert!(open(&key(), "f", &bytes).is_err());
        // Also with the right hash: who has the key may be broken.
        let _ = open(&key(), "f", &sealed(&bytes));
    }

    #[test]
    fn each_sequence_number_is_accepted_once(numbers in prop::collection::vec(0u64..300, 1..200)) {
        let (mut taken, mut known) = (ReplayFilter::default(), Vec::new());
        for counter in numbers {
            let highest = known.iter().copied().max().unwrap_or(0);
            let fresh = !known.contains(&counter) && (known.is_empty() || counter + REPLAY_WINDOW_LENGTH > highest);
            prop_assert_eq!(taken.accept(&datagram(counter)).is_ok(), fresh);
            if fresh {
                known.push(counter);
            }
        }
    }
}

#[test]
fn replay_windows_stay_bounded() {
    let mut replay_filter = ReplayFilter::default();
    for number in 0..MAX_REPLAY_WINDOWS + 10 {
        let mut datagram = datagram(1);
        datagram.sender = format!("n{number}");
        replay_filter.accept(&datagram).unwrap();
    }
    assert_eq!(replay_filter.window_count(), MAX_REPLAY_WINDOWS);
}
