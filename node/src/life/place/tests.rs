use rstest::rstest;
use serde_json::json;

use super::*;
use crate::stand::told;

fn decoded(told: &Value, variables: &Variables, most_open: u64) -> Result<Place, String> {
    Place::decode(told, variables, most_open).map(|(place, _)| place)
}

#[rstest]
#[case("/listen", json!("here"), "field 'listen' is 'here', no address and port")]
#[case("/discovery", json!(7), "field 'discovery' has the wrong type")]
#[case("/seed", json!("xyz"), "field 'seed' is no hexadecimal number")]
#[case("/limits/sockets", json!(20), "field 'sockets' is 20, and 64 are the fewest to serve with")]
#[case("/settings/me", json!(1), "in 'settings': field 'me' is 1 in a fleet of 1")]
#[case("/settings/dcs", json!([1]), "field 'dcs' holds what is no text")]
#[case("/settings/caps/connIdleUs", json!(-1), "field 'connIdleUs' has the wrong type")]
#[case("/settings/useCases/0/effect", json!("odd"), "in 'settings': field 'effect' holds unknown 'odd'")]
fn a_bad_field_is_named(#[case] place: &str, #[case] value: Value, #[case] expected: &str) {
    let mut told = told("127.0.0.1:1", "127.0.0.1:2");
    *told.pointer_mut(place).unwrap() = value;
    assert_eq!(decoded(&told, &Variables::new(), 1024).err().as_deref(), Some(expected));
}

#[test]
fn variables_go_before_the_file() {
    let variables = Variables::from([("LISTEN".into(), "127.0.0.1:9".into()), ("NAME".into(), "n9".into())]);
    let place = decoded(&told("127.0.0.1:1", "127.0.0.1:2"), &variables, 1024).unwrap();
    assert_eq!((place.name.as_str(), place.listen.port(), place.discovery.port()), ("n9", 9, 2));
}

#[rstest]
#[case::told(4096, 1024)]
#[case::by_the_system(256, 256)]
fn descriptors_are_shared_out_below_the_lower_limit(#[case] system: u64, #[case] least: usize) {
    let place = decoded(&told("127.0.0.1:1", "127.0.0.1:2"), &Variables::new(), system).unwrap();
    assert!(place.clients_most + place.links_most + KEPT_BACK as usize <= least);
    assert!(place.links_most > least / 4);
}

#[rstest]
#[case::told(json!(32), 8 * 1024 * 1024)]
#[case::not_told(json!(null), usize::MAX)]
fn messages_take_a_part_of_the_memory(#[case] memory: Value, #[case] most: usize) {
    let mut told = told("127.0.0.1:1", "127.0.0.1:2");
    told["limits"]["memory_mb"] = memory;
    assert_eq!(decoded(&told, &Variables::new(), 1024).unwrap().messages_most, most);
}
