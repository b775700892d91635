use rstest::rstest;

use super::*;

const LIST: &str = r#"{"rev": 43, "all": false, "targets": [
  {"uid": "s-1", "endpoint": "10.1.0.1:5000", "state": "leaving", "boot_ms": 0},
  {"state": "left", "uid": "s-2"}
]}"#;

fn entry(id: &str, state: Option<&str>) -> PartialEntry {
    PartialEntry {
        id: id.into(),
        state: state.map(Into::into),
        address: None,
    }
}

#[test]
fn a_complete_list_is_parsed_completely() {
    let list = PartialList::read(LIST.as_bytes());
    assert_eq!((list.version, list.is_complete), (Some(43), Some(false)));
    let first = PartialEntry {
        address: Some(([10, 1, 0, 1], 5000).into()),
        ..entry("s-1", Some("leaving"))
    };
    assert_eq!(list.entries, [first, entry("s-2", Some("left"))]);
}

/// Wherever a list is truncated, the entries before that point are parsed, and no others.
#[test]
fn a_truncated_list_is_parsed_up_to_its_end() {
    let (mut previous_count, complete) = (0, PartialList::read(LIST.as_bytes()));
    for length in 0..LIST.len() {
        let list = PartialList::read(&LIST.as_bytes()[..length]);
        assert!(list.entries.len() >= previous_count, "at {length}");
        previous_count = list.entries.len();
        for (actual, expected) in list.entries.iter().zip(&complete.entries) {
            assert_eq!(actual.id, expected.id, "at {length}");
            assert!(
                actual.state.is_none() || actual.state == expected.state,
                "at {length}"
            );
            assert!(
                actual.address.is_none() || actual.address == expected.address,
                "at {length}"
            );
        }
    }
}

#[rstest]
#[case::id_only(r#"{"uid": "s-1", "endpoint": "10.1"#, vec![entry("s-1", None)])]
#[case::id_truncated(r#"{"uid": "s-"#, vec![])]
#[case::state_first(r#"{"state": "left", "uid": "s-1", "a"#, vec![entry("s-1", Some("left"))])]
#[case::state_only(r#"{"state": "left", "#, vec![])]
#[case::not_strings(
    r#"{"uid": 7, "state": "left"}, {"uid": "s-2", "state": 4}"#,
    vec![entry("s-2", None)]
)]
#[case::not_json("{]", vec![])]
fn an_entry_is_returned_once_its_id_is_parsed(
    #[case] entries: &str,
    #[case] expected: Vec<PartialEntry>,
) {
    let text = format!(r#"{{"rev": 1, "all": false, "targets": [{entries}"#);
    assert_eq!(PartialList::read(text.as_bytes()).entries, expected);
}
