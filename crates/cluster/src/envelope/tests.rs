use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::membership::table::own_record;

fn key() -> Key {
    Key::new(b"0123456789abcdef\n").unwrap()
}

fn letter(counter: u64) -> Letter {
    let life = Life { born: 5, chance: 6 };
    let own = own_record("b1", "a", "127.0.0.1:9".parse().unwrap(), life);
    Letter {
        fleet: "f".into(),
        sender: "b1".into(),
        life,
        incarnation: 5,
        counter,
        frame: Frame::News,
        records: vec![own],
    }
}

#[test]
fn what_is_sealed_opens_for_who_has_the_key() {
    let bytes = seal(&key(), &letter(3)).unwrap();
    assert_eq!(open(&key(), "f", &bytes), Ok(letter(3)));
    assert_eq!(open(&key(), "g", &bytes), Err(Drop::Fleet));
    assert_eq!(
        open(&Key::new(b"another key of length").unwrap(), "f", &bytes),
        Err(Drop::Hash)
    );
}

#[rstest]
#[case::empty(b"", 0)]
#[case::short(b"0123456789abcde", 15)]
#[case::blanks(b"  0123456789    \n", 10)]
fn a_key_that_can_be_guessed_is_refused(#[case] bytes: &[u8], #[case] length: usize) {
    assert_eq!(Key::new(bytes).err(), Some(KeyTooShort(length)));
}

fn sealed(body: &[u8]) -> Vec<u8> {
    let hash = blake3::keyed_hash(&key().0, body);
    [hash.as_bytes().as_slice(), body].concat()
}

#[rstest]
#[case::other_version(sealed(&[9, 1, 2]), Drop::Version)]
#[case::nothing(sealed(&[]), Drop::Form)]
#[case::no_letter(sealed(&[VERSION, 255, 255]), Drop::Form)]
#[case::short(vec![0; 31], Drop::Size)]
#[case::long(vec![0; DATAGRAM_MOST + 1], Drop::Size)]
fn what_nobody_sends_is_dropped_by_cause(#[case] bytes: Vec<u8>, #[case] cause: Drop) {
    assert_eq!(open(&key(), "f", &bytes), Err(cause));
}

#[test]
fn more_behind_a_letter_or_a_name_of_blanks_is_no_letter() {
    let mut bytes = vec![VERSION];
    bytes.extend(postcard::to_stdvec(&letter(0)).unwrap());
    bytes.push(0);
    assert_eq!(open(&key(), "f", &sealed(&bytes)), Err(Drop::Form));
    let mut odd = letter(0);
    odd.records[0].name = "a b".into();
    assert_eq!(
        open(&key(), "f", &seal(&key(), &odd).unwrap()),
        Err(Drop::Form)
    );
}

proptest! {
    #[test]
    fn no_changed_bit_passes(place in 0usize..1_000, bit in 0u8..8) {
        let mut bytes = seal(&key(), &letter(3)).unwrap();
        let place = place % bytes.len();
        bytes[place] ^= 1 << bit;
        prop_assert_eq!(open(&key(), "f", &bytes), Err(Drop::Hash));
    }

    #[test]
    fn any_bytes_are_refused_or_read_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        prop_assert!(open(&key(), "f", &bytes).is_err());
        // Also with the right hash: who has the key may be broken.
        let _ = open(&key(), "f", &sealed(&bytes));
    }

    #[test]
    fn each_counter_is_taken_once(counters in prop::collection::vec(0u64..300, 1..200)) {
        let (mut taken, mut known) = (Counters::default(), Vec::new());
        for counter in counters {
            let highest = known.iter().copied().max().unwrap_or(0);
            let fresh = !known.contains(&counter) && (known.is_empty() || counter + OVERTAKEN_MOST > highest);
            prop_assert_eq!(taken.take(&letter(counter)).is_ok(), fresh);
            if fresh {
                known.push(counter);
            }
        }
    }
}

#[test]
fn counters_of_many_names_stay_bounded() {
    let mut counters = Counters::default();
    for number in 0..COUNTERS_MOST + 10 {
        let mut letter = letter(1);
        letter.sender = format!("n{number}");
        counters.take(&letter).unwrap();
    }
    assert_eq!(counters.windows.len(), COUNTERS_MOST);
}
