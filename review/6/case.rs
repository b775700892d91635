//! Case 6: where removed servers stay usable, a server that crashed is replaced at its address by a
//! server of another cell. The balancer goes on sending by the old name, and repeats a keyed
//! request in the old server's cell after it ran in the new server's one.

#[path = "../lib-2/common.rs"]
mod common;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;

/// How long the servers of a cell drop a repeat.
const WINDOW: Duration = Duration::from_millis(2_000);
/// How long a request takes at a server.
const WORK: Duration = Duration::from_millis(150);
/// The class of occidente-gdl that carries a mark; its keys are ordered.
const CLASS: &str = r#"{"dedupScope":"cell","dedupWindowUs":2000000,"earnings":5.0,"effect":"keyed","hardStopUs":2500000,"inOrder":true,"lateEarnings":0.0,"name":"cerrar-pedido","promisedTimeUs":1200000,"stream":false}"#;

/// What the servers of one cell remember.
#[derive(Default)]
struct Cell {
    known: Mutex<HashMap<String, Instant>>,
}

/// A server process: its name and its cell. Another one may follow at the same address.
#[derive(Clone)]
struct Process {
    name: String,
    cell: usize,
    is_up: bool,
}

#[derive(Clone, Debug)]
struct Run {
    server: String,
    cell: usize,
    at: u64,
}

type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

fn main() {
    let case = Case::start();
    let runs: Runs = Arc::default();
    let cells: Vec<Arc<Cell>> = (0..2).map(|_| Arc::default()).collect();
    let mut processes = Vec::new();
    let mut entries = Vec::new();
    for index in 0..8usize {
        let process = Arc::new(Mutex::new(Process { name: format!("s-{index}"), cell: index % 2, is_up: true }));
        let (shared, cells, runs, record) = (Arc::clone(&process), cells.clone(), Arc::clone(&runs), case.record.clone());
        let count = AtomicU64::new(index as u64);
        let server = Server::start(move |message| {
            let started_in = shared.lock().unwrap().clone();
            if !started_in.is_up {
                return Reply::Reset;
            }
            let (id, mark) = (message.field("x-txn").to_owned(), message.field("idempotency-key").to_owned());
            let (name, cell) = (&started_in.name, started_in.cell);
            let is_repeat = {
                let mut known = cells[cell].known.lock().unwrap();
                let now = Instant::now();
                known.retain(|_, at| now < *at + WINDOW);
                known.insert(mark.clone(), now).is_some()
            };
            if is_repeat {
                record.line(&format!("{name} (cell {}) drops the repeat {mark} of request {id}", cell + 1));
                return Reply::Served(format!("done {mark}"));
            }
            record.line(&format!("{name} (cell {}) runs {mark} of request {id}", cell + 1));
            let run = Run { server: name.clone(), cell: cell + 1, at: record.ms() };
            runs.lock().unwrap().entry(mark.clone()).or_default().push(run);
            std::thread::sleep(WORK);
            // A process that has died meanwhile resets its connections, and one of four
            // connections is reset under a request that has run.
            let is_same = shared.lock().unwrap().name == *name && shared.lock().unwrap().is_up;
            if !is_same || count.fetch_add(1, Ordering::Relaxed) % 4 == 0 {
                record.line(&format!("{name} resets the connection of request {id}"));
                return Reply::Reset;
            }
            Reply::Served(format!("done {mark}"))
        });
        entries.push(Entry::new(&format!("s-{index}"), server.address, index as u64 % 2 + 1));
        processes.push(process);
    }
    let discovery = Discovery::start(&case.record, "discovery", 41, entries.clone());
    let listen = free_address();
    let settings = Settings {
        fleet_size: 1,
        me: 0,
        registry_mode: "push",
        classes: CLASS.into(),
        more_rules: r#","droppedStayOpen":true,"turnGapUs":300000"#,
        cancel: true,
        max_dispatches: 5,
    };
    let balancer = case.balancer("b1", listen, &config("b1", listen, discovery.address, &settings), None);
    balancer.wait_ready(&case);

    let answers: Arc<Mutex<HashMap<u16, u64>>> = Arc::default();
    let started = Instant::now();
    let length = Duration::from_secs(24);
    let clients: Vec<_> = (0..16)
        .map(|client| {
            let (record, answers) = (case.record.clone(), Arc::clone(&answers));
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(20 * client));
                let mut n = 0;
                while started.elapsed() < length {
                    n += 1;
                    let id = new_id(client * 100_000 + n);
                    let mark = format!("mark-{client}-{n}");
                    let request = Request { id: &id, class: "cerrar-pedido", mark: &mark, entity: &mark, remaining_ms: 2_500, body: "order", method: "POST" };
                    let answer = Connection::open(listen, Duration::from_secs(4)).ok().and_then(|mut open| open.exchange(&request.text()));
                    let status = answer.map_or(0, |answer| answer.status);
                    record.line(&format!("client {client}: {mark} of request {id} answered {status}"));
                    *answers.lock().unwrap().entry(status).or_default() += 1;
                    std::thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();

    std::thread::sleep(Duration::from_secs(5));
    // s-0 dies; the platform starts s-10, of cell 2, at its address. Without the disruption s-0
    // itself comes back.
    processes[0].lock().unwrap().is_up = false;
    case.record.line("s-0 has died");
    if case.trouble {
        let gone = Entry { state: "left", ..entries[0].clone() };
        discovery.change(&[gone]);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    {
        let mut process = processes[0].lock().unwrap();
        if case.trouble {
            process.name = "s-10".into();
            process.cell = 1;
        }
        process.is_up = true;
        case.record.line(&format!("{} starts at the address of s-0, cell {}", process.name, process.cell + 1));
    }
    let boot_ms = unix_ms();
    let next = if case.trouble {
        Entry { boot_ms, ..Entry::new("s-10", entries[0].address, 2) }
    } else {
        Entry { boot_ms, ..entries[0].clone() }
    };
    discovery.change(&[next]);
    for client in clients {
        let _ = client.join();
    }

    case.record.line(&format!("answers by status: {:?}", answers.lock().unwrap()));
    let runs = runs.lock().unwrap().clone();
    let mut twice: Vec<(&String, &Vec<Run>)> = runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
    twice.sort_by_key(|(_, runs)| runs[0].at);
    for (mark, runs) in &twice {
        case.record.line(&format!("{mark} ran {} times: {runs:?}", runs.len()));
    }
    if runs.len() < 200 {
        case.not_run("fewer than 200 requests ran");
    }
    let example = twice.first().map_or(String::new(), |(mark, runs)| {
        format!("; first {mark}, at {} (cell {}) and at {} (cell {})", runs[0].server, runs[0].cell, runs[1].server, runs[1].cell)
    });
    let code = case.verdict(!twice.is_empty(), &format!("{} of {} marks ran twice{example}", twice.len(), runs.len()));
    drop(balancer);
    std::process::exit(code);
}
