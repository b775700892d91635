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
    }
}

#[test]
fn a_complete_list_is_read_completely() {
    let list = PartialList::read(LIST.as_bytes());
    assert_eq!((list.version, list.is_complete), (Some(43), Some(false)));
    assert_eq!(
        list.entries,
        [entry("s-1", Some("leaving")), entry("s-2", Some("left"))]
    );
}

/// Wherever a list is truncated, what came before is read, and nothing else.
#[test]
fn a_truncated_list_is_read_up_to_its_end() {
    let (mut most, whole) = (0, PartialList::read(LIST.as_bytes()));
    for length in 0..LIST.len() {
        let list = PartialList::read(&LIST.as_bytes()[..length]);
        assert!(list.entries.len() >= most, "at {length}");
        most = list.entries.len();
        for (read, wanted) in list.entries.iter().zip(&whole.entries) {
            assert_eq!(read.id, wanted.id, "at {length}");
            assert!(
                read.state.is_none() || read.state == wanted.state,
                "at {length}"
            );
        }
    }
}

#[rstest]
#[case::only_its_name(r#"{"uid": "s-1", "endpoint": "10.1"#, vec![entry("s-1", None)])]
#[case::name_cut(r#"{"uid": "s-"#, vec![])]
#[case::state_first(r#"{"state": "left", "uid": "s-1", "a"#, vec![entry("s-1", Some("left"))])]
#[case::state_alone(r#"{"state": "left", "#, vec![])]
#[case::no_text(r#"{"uid": 7, "state": "left"}, {"uid": "s-2", "state": 4}"#, vec![entry("s-2", None)])]
#[case::no_json("{]", vec![])]
fn an_entry_is_known_by_its_name(#[case] entries: &str, #[case] wanted: Vec<PartialEntry>) {
    let text = format!(r#"{{"rev": 1, "all": false, "targets": [{entries}"#);
    assert_eq!(PartialList::read(text.as_bytes()).entries, wanted);
}
