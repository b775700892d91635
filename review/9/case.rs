//! Case 9: two requests with one ordering key arrive one after the other while the balancer is held
//! up for 0.12 s, the first on a new connection, the second on one that was kept. The second one
//! runs first.

#[path = "../lib-2/common.rs"]
mod common;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;

const CLASS: &str = r#"{"dedupScope":"cell","dedupWindowUs":2000000,"earnings":5.0,"effect":"keyed","hardStopUs":5000000,"inOrder":true,"lateEarnings":0.0,"name":"cerrar-pedido","promisedTimeUs":1500000,"stream":false}"#;
/// How often two requests with one key are sent.
const ROUNDS: u64 = 40;
/// How long the balancer is held up at most: 0.15 s, less 30 ms for this machine.
const HELD_UP: Duration = Duration::from_millis(120);

fn send(connection: &mut Connection, id: &str, key: &str, value: &str) -> std::io::Result<()> {
    let mark = format!("m-{id}");
    let request = Request { id, class: "cerrar-pedido", mark: &mark, entity: key, remaining_ms: 5_000, body: value, method: "POST" };
    connection.send(&request.text())
}

fn main() {
    let case = Case::start();
    // The servers store the last value of each key, and the order in which values were written.
    let written: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let entries = (0..6)
        .map(|index| {
            let (written, record) = (Arc::clone(&written), case.record.clone());
            let server = Server::start(move |message| {
                let key = message.field("x-entity").to_owned();
                let value = String::from_utf8_lossy(&message.body).into_owned();
                record.line(&format!("s-{index} begins request {} key {key} value {value}", message.field("x-txn")));
                written.lock().unwrap().entry(key).or_default().push(value);
                std::thread::sleep(Duration::from_millis(15));
                Reply::Served("done".into())
            });
            Entry::new(&format!("s-{index}"), server.address, 1)
        })
        .collect();
    let discovery = Discovery::start(&case.record, "discovery", 1, entries);
    let listen = free_address();
    let settings = Settings {
        fleet_size: 1,
        me: 0,
        registry_mode: "ask",
        classes: CLASS.into(),
        more_rules: r#","turnGapUs":300000"#,
        cancel: true,
        max_dispatches: 5,
    };
    let balancer = case.balancer("b1", listen, &config("b1", listen, discovery.address, &settings), None);
    balancer.wait_ready(&case);
    let patience = Duration::from_secs(6);

    // The balancer learns its servers, and keeps the connection of the second client.
    let mut kept = Connection::open(listen, patience).unwrap_or_else(|error| case.not_run(&error.to_string()));
    for n in 0..60 {
        let id = new_id(n);
        if send(&mut kept, &id, &format!("warm-{n}"), "0").is_err() || kept.read().is_none() {
            case.not_run("no answer before the disruption");
        }
        std::thread::sleep(Duration::from_millis(5));
    }

    let (mut counted, mut out_of_turn, mut lost_values) = (0, 0, 0);
    for round in 0..ROUNDS {
        let key = format!("account-{round}");
        let (first, second) = (new_id(1_000 + 2 * round), new_id(1_001 + 2 * round));
        let held_from = Instant::now();
        if case.trouble {
            balancer.signal_quietly(SIGSTOP);
            case.record.line("balancer b1 is held up (SIGSTOP)");
        }
        std::thread::sleep(Duration::from_millis(10));
        let mut new = match Connection::open(listen, patience) {
            Ok(new) => new,
            Err(error) => case.not_run(&format!("cannot connect: {error}")),
        };
        let is_sent = send(&mut new, &first, &key, "first").is_ok();
        case.record.line(&format!("first request {first} key {key} written on a new connection"));
        std::thread::sleep(Duration::from_millis(50));
        let is_sent = is_sent && send(&mut kept, &second, &key, "second").is_ok();
        case.record.line(&format!("second request {second} key {key} written on the kept connection"));
        std::thread::sleep(Duration::from_millis(20));
        if case.trouble {
            balancer.signal_quietly(SIGCONT);
            let held = held_from.elapsed();
            case.record.line(&format!("balancer b1 goes on (SIGCONT) after {} ms", held.as_millis()));
            // A longer hold is not what the pages allow: this round does not count.
            if held > HELD_UP {
                let _ = (new.read(), kept.read());
                continue;
            }
        }
        let answers = is_sent.then(|| (new.read(), kept.read()));
        let Some((Some(one), Some(two))) = answers else {
            case.not_run("a connection ended without an answer");
        };
        case.record.line(&format!("answers: first {}, second {}", one.status, two.status));
        if one.status == 200 && two.status == 200 {
            counted += 1;
            let order = written.lock().unwrap().get(&key).cloned().unwrap_or_default();
            if order == ["second", "first"] {
                out_of_turn += 1;
                lost_values += 1;
                case.record.line(&format!("key {key}: the second ran before the first; what is stored is the older value"));
            }
        }
        std::thread::sleep(Duration::from_millis(150));
    }
    if counted < ROUNDS / 2 {
        case.not_run(&format!("only {counted} of {ROUNDS} pairs were served"));
    }
    let text = format!("{out_of_turn} of {counted} pairs ran in the wrong order, {lost_values} newer values were overwritten");
    let code = case.verdict(out_of_turn > 0, &text);
    drop(balancer);
    std::process::exit(code);
}
