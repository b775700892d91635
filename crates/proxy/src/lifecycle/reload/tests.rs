use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use calloop::signals::Signal;

use rstest::rstest;
use serde_json::{Value, json};

use super::*;
use crate::cluster::node::ClusterNode;
use crate::state::proxy::ProxyState;
use crate::test_harness::{
    TestHarness, change_deployment, configuration, list_entry, list_response, local_listener,
    request_message, send_text,
};

/// Returns the `BALANCER_*` variables with which the process was started.
fn variables() -> Variables {
    HashMap::from([("DISCOVERY".into(), "127.0.0.1:1".into())])
}

/// Writes a temporary file and returns its path.
fn write_temp_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("pinefront-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.into_os_string().into_string().unwrap()
}

#[test]
fn the_complete_list_is_polled_at_each_new_discovery_address() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let (client, request) = harness.start_attempt("t1", "s1", 5_000_000);
    let connection = harness.accept_connection(&endpoint);
    harness.read_until(&connection, "body");
    for round in 0..3 {
        let old = harness.discovery.try_clone().unwrap();
        let old = harness.accept_connection(&old);
        harness.read_until(&old, "\r\n\r\n");
        let new = local_listener();
        let address = new.local_addr().unwrap().to_string();
        let path = write_temp_file(
            &format!("round-{round}"),
            &configuration("127.0.0.1:0", &address).to_string(),
        );
        harness.proxy.reload(Some(&path), &variables());
        std::fs::remove_file(path).unwrap();
        let call = harness.accept_connection(&new);
        assert!(
            harness
                .read_until(&call, "\r\n\r\n")
                .starts_with("GET /registry/instances HTTP/1.1\r\n")
        );
        let list = json!({"rev": 1, "all": true,
            "targets": [list_entry("s1", endpoint.local_addr().unwrap(), "active")]});
        send_text(&call, &list_response(&list));
        // Responses of the previous discovery are accepted until this response, so its connection
        // stays open until then.
        harness.expect_close(&old);
        assert!(harness.read_until(&call, "\r\n\r\n").contains("since=1&"));
        // The next round starts with a watch at this discovery.
        harness.discovery = new;
        drop(call);
    }
    assert!(
        harness.proxy.state.borrow().requests.get(request).is_some(),
        "a request in flight is untouched"
    );
    send_text(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    harness.read_until(&client, "ok");
}

#[rstest]
#[case::missing(None)]
#[case::not_json(Some("{".to_owned()))]
#[case::invalid_address(Some(configuration("127.0.0.1:0", "nowhere").to_string()))]
fn an_invalid_file_changes_nothing(#[case] text: Option<String>) {
    let mut harness = TestHarness::new();
    let discovery = harness.discovery.try_clone().unwrap();
    let call = harness.accept_connection(&discovery);
    let path = text.map_or("/nowhere/at/all".to_owned(), |text| {
        write_temp_file(&format!("bad-{}", text.len()), &text)
    });
    let before = harness.proxy.state.borrow().config.discovery;
    harness.proxy.reload(Some(&path), &variables());
    _ = std::fs::remove_file(path);
    harness.read_until(&call, "\r\n\r\n");
    let state = harness.proxy.state.borrow();
    assert_eq!(
        (state.config.discovery, state.counters.reloads_failed),
        (before, 1)
    );
}

/// Returns a request for a class that only the other configuration has.
fn swap_request(id: &str) -> String {
    request_message(id, "body")
        .replace("/pay/", "/swap/")
        .replace("X-Lane: pay", "X-Lane: swap")
}

/// Sends a request on a new connection and returns the status of its response.
fn status(harness: &mut TestHarness, request: &str) -> String {
    let (client, _) = harness.connect_client();
    send_text(&client, request);
    let head = harness.read_until(&client, "\r\n\r\n");
    head.split(' ').nth(1).unwrap().to_owned()
}

/// A request in flight is sent once and gets one response, the classes that clients can use change
/// with the file, and switching between two files repeatedly adds no classes.
#[test]
fn settings_change_and_change_back_while_a_request_is_in_flight() {
    let mut harness = TestHarness::new();
    let other = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = std::net::UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let peers = [own, other.local_addr().unwrap()];
    let address = harness.discovery.local_addr().unwrap().to_string();
    let [old, mut new] = [0, 1].map(|_| configuration("127.0.0.1:0", &address));
    change_deployment(&mut new, &peers);
    let endpoint = harness.add_endpoint("s1");
    let (client, request) = harness.start_attempt("t1", "s1", 5_000_000);
    let connection = harness.accept_connection(&endpoint);
    harness.read_until(&connection, "body");
    for round in 0..3 {
        for (document, accepted, unknown) in [
            (&new, swap_request("n"), request_message("o", "b")),
            (&old, request_message("o", "b"), swap_request("n")),
        ] {
            let path = write_temp_file(&format!("switch-{round}"), &document.to_string());
            harness.proxy.reload(Some(&path), &variables());
            std::fs::remove_file(path).unwrap();
            assert_eq!(status(&mut harness, &unknown), "404");
            let (sender, _) = harness.connect_client();
            send_text(&sender, &accepted);
            let received = |state: &ProxyState| state.counters.requests_received;
            let before = 2 * round + u64::from(std::ptr::eq(document, &raw const old));
            harness.run_until(|proxy| (received(&proxy.state.borrow()) > before).then_some(()));
        }
    }
    let state = harness.proxy.state.borrow();
    assert_eq!(
        (
            state.counters.settings_changed,
            state.counters.reloads_failed
        ),
        (6, 0)
    );
    let known: Vec<_> = state
        .config
        .known_classes
        .iter()
        .map(|known| known.name.as_str())
        .collect();
    assert_eq!(known, ["pay", "look", "swap", "status"]);
    assert!(
        state.requests.get(request).is_some(),
        "a request in flight is untouched"
    );
    drop(state);
    send_text(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    harness.read_until(&client, "ok");
    let mut buffer = [0; 64];
    let second = std::io::Read::read(&mut &connection, &mut buffer);
    assert!(second.is_err(), "the request was not sent a second time");
}

#[rstest]
#[case::missing_probe_path(|document: &mut Value| document["probe_path"] = json!(null))]
#[case::polling_mode(|document: &mut Value| document["settings"]["registryMode"] = json!("push"))]
#[case::unavailable_address(|document: &mut Value| {
    document["peers"] = json!(["192.0.2.1:9", "192.0.2.2:9"]);
})]
fn unusable_settings_change_nothing(#[case] break_document: fn(&mut Value)) {
    let mut harness = TestHarness::new();
    let address = harness.discovery.local_addr().unwrap().to_string();
    let mut new = configuration("127.0.0.1:0", &address);
    change_deployment(
        &mut new,
        &[
            "127.0.0.1:0".parse().unwrap(),
            "127.0.0.1:9".parse().unwrap(),
        ],
    );
    break_document(&mut new);
    let path = write_temp_file(
        &format!("broken-{}", new.to_string().len()),
        &new.to_string(),
    );
    let before = harness.proxy.balancer.settings().clone();
    harness.proxy.reload(Some(&path), &variables());
    std::fs::remove_file(path).unwrap();
    let state = harness.proxy.state.borrow();
    assert_eq!(
        (state.counters.reloads_failed, state.gossip_socket.is_none()),
        (1, true)
    );
    assert_eq!(
        (harness.proxy.balancer.settings(), &*state.config.classes),
        (&before, &["pay".to_owned(), "look".to_owned()][..])
    );
}

/// Number of executions of each request by the endpoints, by its id.
type ExecutionCounts = Arc<Mutex<HashMap<String, usize>>>;

/// Reads a message and returns its head and body; `None` once the connection is closed.
fn read_message(stream: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let (mut head, mut length) = (String::new(), 0);
    while !head.ends_with("\r\n\r\n") {
        let from = head.len();
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
        let line = head[from..].to_ascii_lowercase();
        length = line
            .strip_prefix("content-length: ")
            .map_or(length, |text| text.trim().parse().unwrap());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).unwrap()))
}

/// Starts a stand-in for all endpoints on separate threads. It reports its load, and requests whose
/// ids end with 5 take 20 ms.
fn start_endpoints(runs: &ExecutionCounts) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, runs) = (listener.local_addr().unwrap(), Arc::clone(runs));
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let runs = Arc::clone(&runs);
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some((head, _)) = read_message(&mut reader) {
                    if let Some(id) = head
                        .split("X-Txn: ")
                        .nth(1)
                        .and_then(|rest| rest.split('\r').next())
                    {
                        *runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
                        if id.ends_with('5') {
                            std::thread::sleep(Duration::from_millis(20));
                        }
                    }
                    send_text(
                        &stream,
                        "HTTP/1.1 200 OK\r\nX-Pressure: inflight=0, queue=0\r\n\
                         Content-Length: 2\r\n\r\nok",
                    );
                }
            });
        }
    });
    address
}

/// Starts a client that sends requests of all classes in turn and records the status of each
/// response.
fn start_client(balancer: SocketAddr, name: usize, responses: &Arc<Mutex<Vec<(String, String)>>>) {
    let responses = Arc::clone(responses);
    std::thread::spawn(move || {
        let mut open = None;
        for n in 0..REQUESTS {
            let (lane, method) = [("pay", "POST"), ("swap", "POST"), ("status", "GET")][n % 3];
            let id = format!("{lane}-{name}-{n}");
            let body = if method == "POST" {
                "Idempotency-Key: k\r\nContent-Length: 1\r\n\r\nx"
            } else {
                "\r\n"
            };
            let text = format!(
                "{method} /{lane}/1 HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\n\
                 X-Remaining-Ms: 2000\r\n{body}"
            );
            let status = loop {
                let stream = open
                    .get_or_insert_with(|| BufReader::new(TcpStream::connect(balancer).unwrap()));
                _ = stream.get_ref().write_all(text.as_bytes());
                match read_message(stream) {
                    Some((head, _)) => {
                        if head.contains("Connection: close") {
                            open = None;
                        }
                        break head.split(' ').nth(1).unwrap().to_owned();
                    }
                    // The connection was closed between requests, so the request is repeated on a
                    // new connection, as clients do.
                    None => open = None,
                }
            };
            responses.lock().unwrap().push((id, status));
        }
    });
}

const CLIENTS: usize = 6;
const REQUESTS: usize = 60;

/// Settings change repeatedly under load. Every request gets exactly one response, no request that
/// is not idempotent is executed twice, and no rejected request is executed.
#[rstest]
#[case::there_and_back(|_: &mut TestHarness, _: SocketAddr| {})]
#[case::during_a_drain(|harness: &mut TestHarness, at: SocketAddr| {
    harness.receive_list(&[list_entry("s1", at, "leaving")]);
})]
fn settings_change_under_load(#[case] disturb: fn(&mut TestHarness, SocketAddr)) {
    let mut harness = TestHarness::new();
    let (runs, responses) = (ExecutionCounts::default(), Arc::new(Mutex::new(Vec::new())));
    let at = start_endpoints(&runs);
    harness
        .receive_list(&["s1", "s2", "s3", "s4", "s5", "s6"].map(|id| list_entry(id, at, "active")));
    let other = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = std::net::UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let address = harness.discovery.local_addr().unwrap().to_string();
    let [old, mut new] = [0, 1].map(|_| configuration("127.0.0.1:0", &address));
    change_deployment(&mut new, &[own, other.local_addr().unwrap()]);
    (0..CLIENTS).for_each(|name| start_client(harness.address, name, &responses));
    for (round, document) in [&new, &old, &new, &old, &new].into_iter().enumerate() {
        let enough = (round + 1) * CLIENTS * REQUESTS / 6;
        harness.run_until(|_| (responses.lock().unwrap().len() >= enough).then_some(()));
        if round == 2 {
            disturb(&mut harness, at);
        }
        let path = write_temp_file(
            &format!("load-{round}-{}", own.port()),
            &document.to_string(),
        );
        harness.proxy.reload(Some(&path), &variables());
        std::fs::remove_file(path).unwrap();
    }
    harness.run_until(|_| (responses.lock().unwrap().len() == CLIENTS * REQUESTS).then_some(()));
    let (responses, runs) = (responses.lock().unwrap(), runs.lock().unwrap());
    for (id, status) in responses.iter() {
        let executions = runs.get(id).copied().unwrap_or(0);
        match status.as_str() {
            "200" => assert!(executions >= 1, "{id}"),
            "503" | "404" => assert!(
                executions == 0 || id.starts_with("status"),
                "{id}: status {status}, executed {executions} times"
            ),
            "502" => {}
            other => panic!("{id}: status {other}"),
        }
        assert!(
            executions <= 1 || !id.starts_with("swap"),
            "{id}: executed {executions} times"
        );
    }
    let served = |lane: &str| {
        responses
            .iter()
            .filter(|(id, status)| id.starts_with(lane) && status == "200")
            .count()
    };
    assert!(served("pay") > 0 && served("swap") > 0 && served("status") > 0);
    let state = harness.proxy.state.borrow();
    assert_eq!(
        (state.counters.settings_changed, state.requests.len()),
        (5, 0)
    );
}

/// A balancer that is shutting down still responds to its requests when the settings change.
#[test]
fn a_reload_during_a_shutdown_loses_no_request() {
    let mut harness = TestHarness::new();
    let endpoint = harness.add_endpoint("s1");
    let (client, _) = harness.start_attempt("t1", "s1", 5_000_000);
    let connection = harness.accept_connection(&endpoint);
    harness.read_until(&connection, "body");
    harness.proxy.handle_signal(Signal::SIGTERM);
    let other = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = std::net::UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let mut new = configuration(
        "127.0.0.1:0",
        &harness.discovery.local_addr().unwrap().to_string(),
    );
    change_deployment(&mut new, &[own, other.local_addr().unwrap()]);
    let path = write_temp_file(&format!("stop-{}", own.port()), &new.to_string());
    harness.proxy.reload(Some(&path), &variables());
    std::fs::remove_file(path).unwrap();
    assert!(!harness.proxy.is_finished);
    send_text(
        &connection,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    harness.read_until(&client, "ok");
    drop(client);
    harness.run_until(|proxy| proxy.is_finished.then_some(()));
}

/// The operator file is reloaded too. A valid file takes effect immediately, and an invalid one
/// changes nothing.
#[test]
fn a_valid_operator_file_takes_effect_and_an_invalid_one_changes_nothing() {
    let mut harness = TestHarness::new();
    let key = write_temp_file("operator-key", "0123456789abcdef");
    let fleet = format!(
        "[fleet]\nname = 'f'\nkey_file = '{key}'\n\
         listen = '127.0.0.1:0'\nadvertise = '127.0.0.1:9'\n"
    );
    let path = write_temp_file("operator", &fleet);
    let node = {
        let state = harness.proxy.state.borrow();
        let settings =
            read_operator_file(&path, &state.config, harness.proxy.balancer.settings()).unwrap();
        ClusterNode::open(&state.handle, settings, 1, &state.log).unwrap()
    };
    harness.proxy.state.borrow_mut().cluster = Some(node);
    let mut duties = |text: &str| {
        std::fs::write(&path, format!("{fleet}{text}")).unwrap();
        harness.proxy.reload_operator_file(Some(&path));
        let state = harness.proxy.state.borrow();
        let duties = |node: &ClusterNode| {
            node.cluster
                .lease_manager()
                .map_or(0, |leases| leases.tracked().count())
        };
        state
            .cluster
            .as_ref()
            .map_or(0, |node| duties(&node.borrow()))
    };
    let two = "[duties]\nvoters = ['b1']\nown = ['x', 'y']\n";
    let files = [
        ("", 0),
        (two, 2),
        ("[duties]\nvoters = []\n", 2),
        ("[duties]\nvoters = ['b1']\n", 0),
        (two, 2),
        ("", 0),
    ];
    for (text, count) in files {
        assert_eq!(duties(text), count, "{text}");
    }
    [key, path]
        .into_iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}

/// The system may be out of file descriptors when the signal arrives (ENFILE). The change still has
/// to take effect.
#[test]
fn a_temporarily_unreadable_file_is_read_again() {
    let mut harness = TestHarness::new();
    let new_discovery = local_listener();
    let new = configuration(
        "127.0.0.1:0",
        &new_discovery.local_addr().unwrap().to_string(),
    );
    let path = write_temp_file("again", &new.to_string());
    harness
        .proxy
        .state
        .borrow_mut()
        .schedule_retry(Some(&path), true);
    let call = harness.accept_connection(&new_discovery);
    harness.read_until(&call, "\r\n\r\n");
    std::fs::remove_file(&path).unwrap();
    assert!(harness.proxy.state.borrow().pending_reload.is_none());
    // An invalid file is not read again, and the number of retries is limited.
    harness
        .proxy
        .state
        .borrow_mut()
        .schedule_retry(Some(&path), false);
    assert!(harness.proxy.state.borrow().pending_reload.is_none());
    for _ in 0..=MAX_RETRIES {
        harness
            .proxy
            .state
            .borrow_mut()
            .schedule_retry(Some(&path), true);
    }
    assert!(harness.proxy.state.borrow().pending_reload.is_none());
}
