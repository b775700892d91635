use rstest::rstest;

use super::editor::{Editor, Entry};
use super::reader::{Reader, Taken};
use super::*;
use crate::duties::term::Term;

const FIRST: Term = Term { number: 1, life: 1 };
const MS: Micros = 1_000;

fn entries(names: std::ops::Range<usize>) -> Vec<Entry> {
    let entry = |n| {
        let id = format!("s{n}");
        Entry {
            text: format!("{{\"uid\":\"{id}\",\"note\":\"{}\"}}", "x".repeat(60)),
            id,
            left: false,
        }
    };
    names.map(entry).collect()
}

fn names(taken: &[Taken]) -> Vec<usize> {
    taken
        .iter()
        .map(|page| {
            String::from_utf8_lossy(&page.text)
                .matches("\"uid\"")
                .count()
        })
        .collect()
}

/// Hears all that is said but for what is lost, and has what it then wants said again.
fn carry(
    reader: &mut Reader,
    editor: &mut Editor,
    now: Micros,
    said: &[RosterSaid],
    lost: &[usize],
) -> Vec<Taken> {
    let mut taken = Vec::new();
    for (_, one) in said
        .iter()
        .enumerate()
        .filter(|(place, _)| !lost.contains(place))
    {
        taken.extend(reader.heard(now, FIRST, one).0);
    }
    let beat = editor.beat(now + 500 * MS).unwrap();
    let (more, wants) = reader.heard(now + 500 * MS, FIRST, &beat);
    taken.extend(more);
    for one in wants.iter().flat_map(|wants| editor.wanted(wants)) {
        taken.extend(reader.heard(now + 501 * MS, FIRST, &one).0);
    }
    taken
}

#[rstest]
#[case::nothing(&[], &[20])]
#[case::a_part(&[1], &[20])]
#[case::all(&[0, 1, 2, 3], &[20])]
fn what_is_lost_of_a_list_is_asked_for(#[case] lost: &[usize], #[case] found: &[usize]) {
    let (mut editor, mut reader) = (Editor::default(), Reader::default());
    let said = editor.said(7, true, &entries(0..20));
    assert_eq!(said.len(), 4);
    let taken = carry(&mut reader, &mut editor, 0, &said, lost);
    assert_eq!(names(&taken), found);
    let beat = editor.beat(1_000 * MS).unwrap();
    reader.heard(1_000 * MS, FIRST, &beat);
    assert!(reader.is_fed(1_000 * MS + STALE - 1) && !reader.is_fed(1_000 * MS + STALE));
}

#[test]
fn changes_are_taken_in_order_and_a_whole_list_stands_for_all_before() {
    let (mut editor, mut reader) = (Editor::default(), Reader::default());
    let whole = editor.said(7, true, &entries(0..3));
    let changes: Vec<_> = (8..12)
        .map(|version| editor.said(version, false, &entries(3..4)))
        .collect();
    // The whole list comes last.
    for change in changes.iter().rev().flatten() {
        assert!(reader.heard(0, FIRST, change).0.is_empty());
    }
    let taken: Vec<_> = whole
        .iter()
        .flat_map(|part| reader.heard(0, FIRST, part).0)
        .collect();
    assert_eq!((names(&taken), reader.page()), (vec![3, 1, 1, 1, 1], 5));
    // One that comes later is told as much by one list.
    let mut late = Reader::default();
    let told: Vec<_> = editor.wanted(&RosterWants::Whole);
    let taken: Vec<_> = told
        .iter()
        .flat_map(|part| late.heard(0, FIRST, part).0)
        .collect();
    assert_eq!((names(&taken), late.page()), (vec![4], 5));
}

#[test]
fn what_left_is_in_no_whole_list() {
    let mut editor = Editor::default();
    editor.said(7, true, &entries(0..3));
    editor.said(
        8,
        false,
        &[Entry {
            left: true,
            ..entries(1..2).remove(0)
        }],
    );
    let told = editor.wanted(&RosterWants::Whole);
    let RosterSaid::Part { bytes, version, .. } = &told[0] else {
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

/// A watch that broke is said by the beat; a holder that is cut off says nothing at all.
#[test]
fn a_holder_that_does_not_follow_feeds_nobody() {
    let (mut editor, mut reader) = (Editor::default(), Reader::default());
    let said = editor.said(7, true, &entries(0..3));
    carry(&mut reader, &mut editor, 0, &said, &[]);
    assert!(reader.is_fed(600 * MS));
    editor.follows(false);
    for at in 1..20 {
        let now = at * BEATS_APART + 600 * MS;
        reader.heard(now, FIRST, &editor.beat(now).unwrap());
    }
    assert!(!reader.is_fed(600 * MS + STALE));
}

#[rstest]
#[case::version_goes_back(6, 0..3, false)]
#[case::nobody(9, 0..0, false)]
#[case::sound(9, 0..2, true)]
fn a_holder_that_tells_what_cannot_be_is_passed_over(
    #[case] version: u64,
    #[case] named: std::ops::Range<usize>,
    #[case] taken: bool,
) {
    let mut reader = Reader::default();
    reader.own_list(7);
    let mut editor = Editor::default();
    let said = editor.said(version, true, &entries(named));
    let pages = carry(&mut reader, &mut editor, 0, &said, &[]);
    assert_eq!(
        (pages.len(), reader.is_fed(600 * MS)),
        (usize::from(taken), taken)
    );
    // A later holder is heard at once.
    let later = Term { number: 2, life: 1 };
    let told: Vec<_> = Editor::default().said(9, true, &entries(0..4));
    let pages: Vec<_> = told
        .iter()
        .flat_map(|part| reader.heard(700 * MS, later, part).0)
        .collect();
    assert_eq!(names(&pages), [4]);
    // And an earlier one no more.
    assert!(reader.heard(800 * MS, FIRST, &said[0]).0.is_empty());
}
