use std::collections::HashMap;

use rstest::rstest;
use serde_json::json;

use super::*;
use crate::stand::{Stand, answer, entry, listener, say, told};

/// What BALANCER_* variables said at the start.
fn variables() -> Variables {
    HashMap::from([("DISCOVERY".into(), "127.0.0.1:1".into())])
}

/// The file as it stands after its replacement.
fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("pinefront-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.into_os_string().into_string().unwrap()
}

#[test]
fn the_list_is_asked_for_whole_at_the_new_address_again_and_again() {
    let mut stand = Stand::new();
    let upstream = stand.upstream("s1");
    let (client, ticket) = stand.dispatched("t1", "s1", 5_000_000);
    let link = stand.accepted(&upstream);
    stand.heard(&link, "body");
    for round in 0..3 {
        let old = stand.discovery.try_clone().unwrap();
        let old = stand.accepted(&old);
        stand.heard(&old, "\r\n\r\n");
        let new = listener();
        let address = new.local_addr().unwrap().to_string();
        let path = file(&format!("round-{round}"), &told("127.0.0.1:0", &address).to_string());
        stand.node.reread(Some(&path), &variables());
        std::fs::remove_file(path).unwrap();
        stand.ends(&old);
        let call = stand.accepted(&new);
        assert!(stand.heard(&call, "\r\n\r\n").starts_with("GET /registry/instances HTTP/1.1\r\n"));
        let list = json!({"rev": 1, "all": true,
            "targets": [entry("s1", upstream.local_addr().unwrap(), "active")]});
        say(&call, &answer(&list));
        assert!(stand.heard(&call, "\r\n\r\n").contains("since=1&"));
        // The next round finds a watch of this one.
        stand.discovery = new;
        drop(call);
    }
    assert!(stand.node.desk.borrow().tickets.contains_key(ticket), "a ticket under way is untouched");
    say(&link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    stand.heard(&client, "ok");
}

#[rstest]
#[case::missing(None)]
#[case::no_json(Some("{".to_owned()))]
#[case::no_address(Some(told("127.0.0.1:0", "nowhere").to_string()))]
fn a_file_that_cannot_be_read_changes_nothing(#[case] text: Option<String>) {
    let mut stand = Stand::new();
    let asked = stand.discovery.try_clone().unwrap();
    let call = stand.accepted(&asked);
    let path = text.map_or("/nowhere/at/all".to_owned(), |text| file(&format!("bad-{}", text.len()), &text));
    let before = stand.node.desk.borrow().place.discovery;
    stand.node.reread(Some(&path), &variables());
    _ = std::fs::remove_file(path);
    stand.heard(&call, "\r\n\r\n");
    let desk = stand.node.desk.borrow();
    assert_eq!((desk.place.discovery, desk.counters.rereads_failed), (before, 1));
}
