//! The simulator's wire, held in place: a seeded script plays several instances against the adapter, and every line
//! that it answers is compared byte for byte with the recorded one.
//!
//! `RECORD_WIRE=1 cargo test -p pinefront-simulator-adapter` writes the recording anew; only a change that is meant
//! to alter the wire or the decisions may do so.

#![allow(clippy::pedantic)] // As it was when the recording was made.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Command, Stdio};

use serde_json::{Value, json};

const RECORDED: &str = "tests/recorded/actions.jsonl";
const SEED: u64 = 0x70_69_6e_65;
const INSTANCES: usize = 6;
const ENDPOINTS: u64 = 9;
const STEPS: u64 = 1_500;
const STEP_US: u64 = 4_000;

/// A small generator of its own, so that the script never changes with a dependency.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

/// The settings of each instance; between them every field and every value of the decoder is met.
fn settings(instance: usize) -> Value {
    let source = ["inline", "on_probe", "off"][instance % 3];
    let scope = ["all", "zone", "cell"][instance % 3];
    json!({
        "fleetSize": INSTANCES, "me": instance, "zone": instance % 2,
        "registryMode": if instance.is_multiple_of(2) { "ask" } else { "push" },
        "weightKind": if instance < 2 { "off" } else { "nominal" },
        "report": {"source": source},
        "caps": {"cancel": instance != 3, "probes": true, "peers": instance % 3 == 2, "maxDispatches": 2 + instance % 4,
                 "retryAfter": instance != 1, "maxRetryAfterUs": 1_000_000},
        "rules": {"askWithinUs": 900_000, "turnGapUs": 60_000, "droppedStayOpen": instance == 4, "coldFrom": 0.25,
                  "warmUpUs": 2_000_000, "tipMultiple": 3.0, "fallUs": 400_000},
        "accounts": [{"allowancePerS": 300.0}, {"allowancePerS": 20.5}],
        "useCases": [
            {"promisedTimeUs": 60_000, "effect": "safe", "earnings": 2.0},
            {"promisedTimeUs": 90_000, "effect": "keyed", "dedupScope": scope, "dedupWindowUs": 200_000},
            {"promisedTimeUs": 80_000, "effect": "unsafe", "earnings": 5.5, "inOrder": instance >= 3},
        ],
    })
}

fn endpoint_name(number: u64) -> String {
    format!("node-{number}-\u{e9}")
}

fn listed(random: &mut Random, number: u64, now: u64) -> Value {
    let launched = if random.one_in(4) { now } else { 0 };
    json!({"upstream": endpoint_name(number), "phase": "IN", "site": number % 2, "generationHw": number % 3,
           "group": number % 4, "weight": 1.0 + number as f64 / 4.0, "launchedUs": launched})
}

fn list_event(random: &mut Random, instance: usize, now: u64, scope: &str) -> Value {
    let mut members = Vec::new();
    for number in 0..ENDPOINTS {
        match (scope, random.below(12)) {
            ("delta", 0) => {
                members.push(json!({"upstream": endpoint_name(number), "phase": "LAME"}))
            }
            ("delta", 1) => {
                members.push(json!({"upstream": endpoint_name(number), "phase": "OUT"}))
            }
            ("delta", 2..8) | ("full", 2) => {}
            _ => members.push(listed(random, number, now)),
        }
    }
    json!({"t": "Sync", "i": instance, "scope": scope, "membersList": members})
}

fn load(random: &mut Random) -> Value {
    json!({"busy": random.below(100) as f64 / 90.0, "q": random.below(9) as f64, "rif": random.below(14) as f64})
}

fn outcome(random: &mut Random) -> &'static str {
    match random.below(40) {
        0 | 1 => "fault",
        2 | 3 => "no_room",
        4 => "too_slow",
        5 => "no_route",
        6 => "cut",
        7 => "stale_send",
        _ => "pass",
    }
}

/// The simulated world: what is due, by time, and which requests have their final answer.
struct Script {
    random: Random,
    now: u64,
    due: BTreeMap<(u64, u64), Value>,
    order: u64,
    attempts: BTreeMap<(u64, String), u64>,
    settled: BTreeMap<(u64, String), bool>,
    requests: u64,
}

impl Script {
    fn new() -> Self {
        let (due, attempts, settled) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self {
            random: Random(SEED),
            now: 1_000_000,
            due,
            order: 0,
            attempts,
            settled,
            requests: 0,
        }
    }

    fn after(&mut self, wait_us: u64, event: Value) {
        self.order += 1;
        self.due.insert((self.now + wait_us, self.order), event);
    }

    fn start(&mut self) {
        for instance in 0..INSTANCES {
            let nonce = 77 + instance as u64;
            self.after(
                0,
                json!({"t": "Enlist", "i": instance, "nonce64": nonce, "conf": settings(instance)}),
            );
            let list = list_event(&mut self.random, instance, self.now, "cached");
            self.after(1_000, list);
            if instance % 2 == 1 {
                self.push_lists(instance);
            }
        }
        self.after(3_000_000, json!({"t": "Killed", "i": 1}));
        let again = json!({"t": "Enlist", "i": 1, "nonce64": 5, "conf": settings(1)});
        self.after(3_100_000, again);
        self.after(3_200_000, json!({"t": "Unheard", "i": 0}));
    }

    fn push_lists(&mut self, instance: usize) {
        for turn in 1..12 {
            let scope = if turn % 3 == 0 { "full" } else { "delta" };
            let list = list_event(&mut self.random, instance, self.now, scope);
            self.after(turn * 500_000, list);
        }
    }

    /// Requests that arrive in this step, some of them with a hint of their work, a key, or a client that leaves.
    fn arrivals(&mut self) {
        // A quiet time, so that connections rest.
        if (300..400).contains(&(self.now / STEP_US % 500)) {
            return;
        }
        let burst = if (600..700).contains(&(self.now / STEP_US % 1_000)) {
            6
        } else {
            2
        };
        for _ in 0..self.random.below(burst + 1) {
            let instance = self.random.below(INSTANCES as u64);
            self.requests += 1;
            let id = format!("r{:x}", self.requests);
            let classes = if self.random.one_in(200) { 5 } else { 3 };
            let class = self.random.below(classes);
            let mut event = json!({"t": "Call", "i": instance, "req": id, "qos": class,
                "clientGroup": self.random.below(2), "deadlineUs": self.now + 50_000 + self.random.below(400_000)});
            if self.random.one_in(2) {
                event["hintUs"] = json!(3_000 + self.random.below(20_000));
                event["stateBits"] = json!(self.random.below(4));
            }
            if self.random.one_in(2) {
                event["targetKey"] = json!(self.random.below(5));
            }
            self.settled.insert((instance, id.clone()), false);
            if self.random.one_in(25) {
                let wait = self.random.below(80_000);
                self.after(wait, json!({"t": "Gone", "i": instance, "req": id}));
            }
            self.after(0, event);
        }
    }

    /// What an order of an instance brings about.
    fn take(&mut self, order: &Value) {
        let instance = order["i"].as_u64().expect("an instance");
        let id = order["req"].as_str().map(str::to_owned);
        match order["t"].as_str().expect("a name") {
            "Try" => self.take_attempt(instance, id.expect("a request"), order),
            "CallOff" => {
                let event = json!({"t": "Ended", "i": instance, "req": id, "trial": order["trial"],
                    "delaySeenUs": 1_000, "how": "undone", "settled": self.random.one_in(2)});
                self.after(500, event);
            }
            "PushBack" | "Fail" => {
                self.settled
                    .insert((instance, id.expect("a request")), true);
            }
            "SetAlarm" => {
                let wait = order["fromNowUs"].as_u64().expect("a wait");
                self.after(
                    wait,
                    json!({"t": "Elapsed", "i": instance, "keyBack": order["keyBack"]}),
                );
            }
            "Follow" => {
                let scope = ["failed", "delta", "delta", "full"][self.random.below(4) as usize];
                let list = list_event(&mut self.random, instance as usize, self.now, scope);
                self.after(30_000, list);
                if scope != "failed" {
                    let scope = if self.random.one_in(2) {
                        "failed"
                    } else {
                        "delta"
                    };
                    let next = list_event(&mut self.random, instance as usize, self.now, scope);
                    self.after(700_000, next);
                }
            }
            "Probe" => {
                let (how, stats) = (outcome(&mut self.random), load(&mut self.random));
                let event = json!({"t": "CheckResult", "i": instance, "upstream": order["upstream"], "how": how,
                    "delaySeenUs": 700, "serverStats": stats});
                self.after(700 + 50 * self.order % 9_000, event);
            }
            "Publish" => self.take_gossip(instance, order),
            "Close" => {}
            other => panic!("an order that the script does not know: {other}"),
        }
    }

    fn take_attempt(&mut self, instance: u64, id: String, order: &Value) {
        let attempt = self.attempts.entry((instance, id.clone())).or_insert(0);
        let number = *attempt;
        *attempt += 1;
        let how = outcome(&mut self.random);
        let until = order["expireAtUs"]
            .as_u64()
            .expect("an end")
            .saturating_sub(self.now);
        let mut took = 2_000 + self.random.below(30_000);
        if how == "cut" {
            took = 300;
        }
        if how == "too_slow" || took > until {
            took = until;
        }
        let how = if took == until { "too_slow" } else { how };
        let concluded = self
            .settled
            .get(&(instance, id.clone()))
            .copied()
            .unwrap_or(true);
        let settled = concluded || how == "pass";
        if settled {
            self.settled.insert((instance, id.clone()), true);
        }
        let mut event = json!({"t": "Ended", "i": instance, "req": id, "settled": settled,
            "upstream": order["upstream"], "trial": number, "delaySeenUs": took, "how": how});
        if instance.is_multiple_of(3) && self.random.one_in(2) {
            event["serverStats"] = load(&mut self.random);
        }
        if self.random.one_in(30) {
            self.after(
                took / 2,
                json!({"t": "FirstByte", "i": instance, "req": event["req"]}),
            );
        }
        self.after(took, event);
    }

    fn take_gossip(&mut self, author: u64, order: &Value) {
        let target = order["target"].as_u64();
        for instance in
            (0..INSTANCES as u64).filter(|to| *to != author && target.is_none_or(|one| one == *to))
        {
            let contents = match self.random.below(100) {
                0 => json!("+ nonsense"),
                1 => json!("~ 30d40"),
                _ => order["contents"].clone(),
            };
            self.after(
                900,
                json!({"t": "Datagram", "i": instance, "author": author, "contents": contents}),
            );
        }
    }

    /// The batch of the next step.
    fn batch(&mut self) -> Value {
        self.now += STEP_US;
        self.arrivals();
        let later = self.due.split_off(&(self.now + 1, 0));
        let events: Vec<Value> = std::mem::replace(&mut self.due, later)
            .into_values()
            .collect();
        json!({"tUs": self.now, "msgs": events})
    }
}

/// Plays the script against the adapter; its answers, a line for each batch.
fn play() -> Vec<String> {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_pinefront-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = adapter.stdin.take().expect("its input");
    let mut output = BufReader::new(adapter.stdout.take().expect("its output"));
    let mut script = Script::new();
    script.start();
    let mut answers = Vec::new();
    for _ in 0..STEPS {
        writeln!(input, "{}", script.batch()).expect("a batch is taken");
        let mut answer = String::new();
        output.read_line(&mut answer).expect("an answer comes");
        let orders: Value = serde_json::from_str(&answer).expect("an answer is JSON");
        for order in orders["orders"].as_array().expect("orders") {
            script.take(order);
        }
        answers.push(answer.trim_end_matches('\n').to_owned());
    }
    drop(input);
    assert!(adapter.wait().expect("it ends").success());
    answers
}

#[test]
fn every_line_is_as_recorded() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(RECORDED);
    let answers = play();
    if std::env::var_os("RECORD_WIRE").is_some() {
        std::fs::write(&path, answers.join("\n") + "\n").expect("the recording is written");
    }
    let recorded = std::fs::read_to_string(&path).expect("the recording is there");
    for (number, (answer, recorded)) in answers.iter().zip(recorded.lines()).enumerate() {
        assert_eq!(
            answer, recorded,
            "answer {number} is another than the recorded one"
        );
    }
    assert_eq!(answers.len(), recorded.lines().count());
}

/// The recording is worth something only as long as it meets every kind of order.
#[test]
fn the_recording_meets_every_order() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(RECORDED);
    let recorded = std::fs::read_to_string(&path).expect("the recording is there");
    for name in [
        "Try", "CallOff", "PushBack", "Fail", "SetAlarm", "Follow", "Probe", "Close", "Publish",
    ] {
        let count = recorded.matches(&format!("\"t\":\"{name}\"")).count();
        assert!(count >= 3, "{name} is met {count} times");
    }
}
