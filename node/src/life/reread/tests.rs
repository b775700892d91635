use std::collections::HashMap;

use rstest::rstest;
use serde_json::{Value, json};

use super::*;
use crate::memory::desk::Desk;
use crate::stand::{Stand, answer, entry, listener, message, moved, say, told};

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

/// A request for a use case of the fleet of another build.
fn swap(id: &str) -> String {
    message(id, "body").replace("/pay/", "/swap/").replace("X-Lane: pay", "X-Lane: swap")
}

/// Asks as a client that opens a connection for it, and hears the status.
fn status(stand: &mut Stand, request: &str) -> String {
    let (client, _) = stand.client();
    say(&client, request);
    let head = stand.heard(&client, "\r\n\r\n");
    head.split(' ').nth(1).unwrap().to_owned()
}

/// The move and the way back are one step: tickets under way are answered once and sent once, what clients can ask
/// for changes with the file, and going back and forth leaves nothing behind.
#[test]
fn settings_change_while_a_ticket_is_under_way_and_back_again() {
    let mut stand = Stand::new();
    let other = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let peers = [own, other.local_addr().unwrap()];
    let address = stand.discovery.local_addr().unwrap().to_string();
    let [old, mut new] = [0, 1].map(|_| told("127.0.0.1:0", &address));
    moved(&mut new, &peers);
    let upstream = stand.upstream("s1");
    let (client, ticket) = stand.dispatched("t1", "s1", 5_000_000);
    let link = stand.accepted(&upstream);
    stand.heard(&link, "body");
    for round in 0..3 {
        for (told, taken, gone) in
            [(&new, swap("n"), message("o", "b")), (&old, message("o", "b"), swap("n"))]
        {
            let path = file(&format!("switch-{round}"), &told.to_string());
            stand.node.reread(Some(&path), &variables());
            std::fs::remove_file(path).unwrap();
            assert_eq!(status(&mut stand, &gone), "404");
            let (asking, _) = stand.client();
            say(&asking, &taken);
            let taken = |desk: &Desk| desk.counters.tickets_taken;
            let before = 2 * round + u64::from(std::ptr::eq(told, &old));
            stand.until(|node| (taken(&node.desk.borrow()) > before).then_some(()));
        }
    }
    let desk = stand.node.desk.borrow();
    assert_eq!((desk.counters.settings_changed, desk.counters.rereads_failed), (6, 0));
    assert_eq!(desk.place.known_use_cases, ["pay", "look", "swap", "status"]);
    assert!(desk.tickets.contains_key(ticket), "a ticket under way is untouched");
    drop(desk);
    say(&link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    stand.heard(&client, "ok");
    let mut again = [0; 64];
    let more = std::io::Read::read(&mut &link, &mut again);
    assert!(more.is_err(), "nothing of it was sent a second time");
}

#[rstest]
#[case::no_path(|told: &mut Value| told["probe_path"] = json!(null))]
#[case::push(|told: &mut Value| told["settings"]["registryMode"] = json!("push"))]
#[case::address_taken(|told: &mut Value| told["peers"] = json!(["192.0.2.1:9", "192.0.2.2:9"]))]
fn settings_that_cannot_be_taken_change_nothing(#[case] spoil: fn(&mut Value)) {
    let mut stand = Stand::new();
    let address = stand.discovery.local_addr().unwrap().to_string();
    let mut new = told("127.0.0.1:0", &address);
    moved(&mut new, &["127.0.0.1:0".parse().unwrap(), "127.0.0.1:9".parse().unwrap()]);
    spoil(&mut new);
    let path = file(&format!("spoilt-{}", new.to_string().len()), &new.to_string());
    let before = stand.node.balancer.terms().clone();
    stand.node.reread(Some(&path), &variables());
    std::fs::remove_file(path).unwrap();
    let desk = stand.node.desk.borrow();
    assert_eq!((desk.counters.rereads_failed, desk.ear.is_none()), (1, true));
    assert_eq!(
        (stand.node.balancer.terms(), &*desk.place.use_cases),
        (&before, &["pay".to_owned(), "look".to_owned()][..])
    );
}
