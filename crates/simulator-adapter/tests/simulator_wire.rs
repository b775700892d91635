//! Regression test of the simulator's wire format and of the balancing decisions: a seeded script
//! simulates the environment of several instances, and every reply of the adapter is compared byte
//! for byte with the recorded one.
//!
//! `RECORD_WIRE=1 cargo test -p pinefront-simulator-adapter` replaces the recording. Do so only
//! with a change that intentionally alters the wire format or the decisions.

#![allow(clippy::pedantic)] // The test keeps the form in which its replies were recorded.

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

/// A xorshift generator. It is implemented here because another version of a library could
/// generate other numbers, which would change the script.
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

/// Returns the settings of an instance. All instances together cover every key and every value
/// that the decoder accepts.
fn settings(instance: usize) -> Value {
    let source = ["inline", "on_probe", "off"][instance % 3];
    let scope = ["all", "zone", "cell"][instance % 3];
    json!({
        "fleetSize": INSTANCES, "me": instance, "zone": instance % 2,
        "registryMode": if instance.is_multiple_of(2) { "ask" } else { "push" },
        "weightKind": if instance < 2 { "off" } else { "nominal" },
        "report": {"source": source},
        "caps": {"cancel": instance != 3, "probes": true, "peers": instance % 3 == 2,
                 "maxDispatches": 2 + instance % 4,
                 "retryAfter": instance != 1, "maxRetryAfterUs": 1_000_000},
        "rules": {"askWithinUs": 900_000, "turnGapUs": 60_000, "droppedStayOpen": instance == 4,
                  "coldFrom": 0.25, "warmUpUs": 2_000_000, "tipMultiple": 3.0, "fallUs": 400_000},
        "accounts": [{"allowancePerS": 300.0}, {"allowancePerS": 20.5}],
        "useCases": [
            {"promisedTimeUs": 60_000, "effect": "safe", "earnings": 2.0},
            {"promisedTimeUs": 90_000, "effect": "keyed", "dedupScope": scope,
             "dedupWindowUs": 200_000},
            {"promisedTimeUs": 80_000, "effect": "unsafe", "earnings": 5.5,
             "inOrder": instance >= 3},
        ],
    })
}

fn endpoint_name(number: u64) -> String {
    format!("node-{number}-\u{e9}")
}

fn listed_endpoint(random: &mut Random, number: u64, now: u64) -> Value {
    let launched = if random.one_in(4) { now } else { 0 };
    json!({"upstream": endpoint_name(number), "phase": "IN", "site": number % 2,
           "generationHw": number % 3, "group": number % 4,
           "weight": 1.0 + number as f64 / 4.0, "launchedUs": launched})
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
            _ => members.push(listed_endpoint(random, number, now)),
        }
    }
    json!({"t": "Sync", "i": instance, "scope": scope, "membersList": members})
}

fn load(random: &mut Random) -> Value {
    json!({"busy": random.below(100) as f64 / 90.0, "q": random.below(9) as f64,
           "rif": random.below(14) as f64})
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

/// A simulated environment of the instances.
struct Script {
    random: Random,
    /// Current time in microseconds.
    now: u64,
    /// Pending events by time in microseconds and order of scheduling.
    pending_events: BTreeMap<(u64, u64), Value>,
    /// Number of events scheduled so far.
    scheduled_events: u64,
    /// Number of attempts by instance and request.
    attempts: BTreeMap<(u64, String), u64>,
    /// Whether a request has its final response, by instance and request.
    settled: BTreeMap<(u64, String), bool>,
    /// Number of requests so far.
    requests: u64,
}

impl Script {
    fn new() -> Self {
        Self {
            random: Random(SEED),
            now: 1_000_000,
            pending_events: BTreeMap::new(),
            scheduled_events: 0,
            attempts: BTreeMap::new(),
            settled: BTreeMap::new(),
            requests: 0,
        }
    }

    fn schedule(&mut self, delay_us: u64, event: Value) {
        self.scheduled_events += 1;
        let key = (self.now + delay_us, self.scheduled_events);
        self.pending_events.insert(key, event);
    }

    fn start(&mut self) {
        for instance in 0..INSTANCES {
            let nonce = 77 + instance as u64;
            self.schedule(
                0,
                json!({"t": "Enlist", "i": instance, "nonce64": nonce, "conf": settings(instance)}),
            );
            let list = list_event(&mut self.random, instance, self.now, "cached");
            self.schedule(1_000, list);
            if instance % 2 == 1 {
                self.push_lists(instance);
            }
        }
        self.schedule(3_000_000, json!({"t": "Killed", "i": 1}));
        let restart = json!({"t": "Enlist", "i": 1, "nonce64": 5, "conf": settings(1)});
        self.schedule(3_100_000, restart);
        self.schedule(3_200_000, json!({"t": "UnknownEvent", "i": 0}));
    }

    fn push_lists(&mut self, instance: usize) {
        for number in 1..12 {
            let scope = if number % 3 == 0 { "full" } else { "delta" };
            let list = list_event(&mut self.random, instance, self.now, scope);
            self.schedule(number * 500_000, list);
        }
    }

    /// Schedules the requests that arrive in this step. Some of them have a work hint, a key, or a
    /// client that disconnects.
    fn schedule_arrivals(&mut self) {
        // A period without requests, in which connections become idle.
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
                "clientGroup": self.random.below(2),
                "deadlineUs": self.now + 50_000 + self.random.below(400_000)});
            if self.random.one_in(2) {
                event["hintUs"] = json!(3_000 + self.random.below(20_000));
                event["stateBits"] = json!(self.random.below(4));
            }
            if self.random.one_in(2) {
                event["targetKey"] = json!(self.random.below(5));
            }
            self.settled.insert((instance, id.clone()), false);
            if self.random.one_in(25) {
                let delay = self.random.below(80_000);
                self.schedule(delay, json!({"t": "Gone", "i": instance, "req": id}));
            }
            self.schedule(0, event);
        }
    }

    /// Schedules the events that an action of an instance causes.
    fn apply_action(&mut self, action: &Value) {
        let instance = action["i"].as_u64().expect("action has no instance");
        let id = action["req"].as_str().map(str::to_owned);
        match action["t"].as_str().expect("action has no kind") {
            "Try" => self.run_attempt(instance, id.expect("attempt has no request"), action),
            "CallOff" => {
                let event = json!({"t": "Ended", "i": instance, "req": id,
                    "trial": action["trial"], "delaySeenUs": 1_000, "how": "undone",
                    "settled": self.random.one_in(2)});
                self.schedule(500, event);
            }
            "PushBack" | "Fail" => {
                self.settled
                    .insert((instance, id.expect("response has no request")), true);
            }
            "SetAlarm" => {
                let delay = action["fromNowUs"].as_u64().expect("timer has no delay");
                self.schedule(
                    delay,
                    json!({"t": "Elapsed", "i": instance, "keyBack": action["keyBack"]}),
                );
            }
            "Follow" => {
                let scope = ["failed", "delta", "delta", "full"][self.random.below(4) as usize];
                let list = list_event(&mut self.random, instance as usize, self.now, scope);
                self.schedule(30_000, list);
                if scope != "failed" {
                    let scope = if self.random.one_in(2) {
                        "failed"
                    } else {
                        "delta"
                    };
                    let next = list_event(&mut self.random, instance as usize, self.now, scope);
                    self.schedule(700_000, next);
                }
            }
            "Probe" => {
                let (how, stats) = (outcome(&mut self.random), load(&mut self.random));
                let event = json!({"t": "CheckResult", "i": instance,
                    "upstream": action["upstream"], "how": how, "delaySeenUs": 700,
                    "serverStats": stats});
                self.schedule(700 + 50 * self.scheduled_events % 9_000, event);
            }
            "Publish" => self.deliver_gossip(instance, action),
            "Close" => {}
            other => panic!("unknown action '{other}'"),
        }
    }

    fn run_attempt(&mut self, instance: u64, id: String, action: &Value) {
        let attempt = self.attempts.entry((instance, id.clone())).or_insert(0);
        let number = *attempt;
        *attempt += 1;
        let how = outcome(&mut self.random);
        let timeout = action["expireAtUs"]
            .as_u64()
            .expect("attempt has no expiry time")
            .saturating_sub(self.now);
        let mut duration = 2_000 + self.random.below(30_000);
        if how == "cut" {
            duration = 300;
        }
        if how == "too_slow" || duration > timeout {
            duration = timeout;
        }
        let how = if duration == timeout { "too_slow" } else { how };
        let was_settled = self
            .settled
            .get(&(instance, id.clone()))
            .copied()
            .unwrap_or(true);
        let is_settled = was_settled || how == "pass";
        if is_settled {
            self.settled.insert((instance, id.clone()), true);
        }
        let mut event = json!({"t": "Ended", "i": instance, "req": id, "settled": is_settled,
            "upstream": action["upstream"], "trial": number, "delaySeenUs": duration,
            "how": how});
        if instance.is_multiple_of(3) && self.random.one_in(2) {
            event["serverStats"] = load(&mut self.random);
        }
        if self.random.one_in(30) {
            self.schedule(
                duration / 2,
                json!({"t": "FirstByte", "i": instance, "req": event["req"]}),
            );
        }
        self.schedule(duration, event);
    }

    /// Schedules the delivery of a gossip message. A few messages are replaced by malformed ones.
    fn deliver_gossip(&mut self, sender: u64, action: &Value) {
        let target = action["target"].as_u64();
        for instance in (0..INSTANCES as u64)
            .filter(|instance| *instance != sender && target.is_none_or(|one| one == *instance))
        {
            let contents = match self.random.below(100) {
                0 => json!("+ nonsense"),
                1 => json!("~ 30d40"),
                _ => action["contents"].clone(),
            };
            self.schedule(
                900,
                json!({"t": "Datagram", "i": instance, "author": sender, "contents": contents}),
            );
        }
    }

    /// Advances the time by one step and returns the batch of events that are due.
    fn next_batch(&mut self) -> Value {
        self.now += STEP_US;
        self.schedule_arrivals();
        let later = self.pending_events.split_off(&(self.now + 1, 0));
        let events: Vec<Value> = std::mem::replace(&mut self.pending_events, later)
            .into_values()
            .collect();
        json!({"tUs": self.now, "msgs": events})
    }
}

/// Runs the script against the adapter. Returns the replies of the adapter, one line for each
/// batch.
fn run_script() -> Vec<String> {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_pinefront-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("cannot start the adapter");
    let mut input = adapter.stdin.take().expect("standard input is not piped");
    let mut output = BufReader::new(adapter.stdout.take().expect("standard output is not piped"));
    let mut script = Script::new();
    script.start();
    let mut replies = Vec::new();
    for _ in 0..STEPS {
        writeln!(input, "{}", script.next_batch()).expect("cannot write a batch");
        let mut line = String::new();
        output.read_line(&mut line).expect("cannot read a reply");
        let reply: Value = serde_json::from_str(&line).expect("reply is not JSON");
        for action in reply["orders"].as_array().expect("reply has no actions") {
            script.apply_action(action);
        }
        replies.push(line.trim_end_matches('\n').to_owned());
    }
    drop(input);
    assert!(
        adapter
            .wait()
            .expect("cannot wait for the adapter")
            .success()
    );
    replies
}

#[test]
fn replies_equal_the_recording() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(RECORDED);
    let replies = run_script();
    if std::env::var_os("RECORD_WIRE").is_some() {
        std::fs::write(&path, replies.join("\n") + "\n").expect("cannot write the recording");
    }
    let recorded = std::fs::read_to_string(&path).expect("cannot read the recording");
    for (number, (reply, recorded)) in replies.iter().zip(recorded.lines()).enumerate() {
        assert_eq!(
            reply, recorded,
            "reply {number} differs from the recorded one"
        );
    }
    assert_eq!(replies.len(), recorded.lines().count());
}

/// A kind of action that the recording does not contain would not be tested.
#[test]
fn the_recording_contains_every_kind_of_action() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(RECORDED);
    let recorded = std::fs::read_to_string(&path).expect("cannot read the recording");
    for name in [
        "Try", "CallOff", "PushBack", "Fail", "SetAlarm", "Follow", "Probe", "Close", "Publish",
    ] {
        let count = recorded.matches(&format!("\"t\":\"{name}\"")).count();
        assert!(count >= 3, "the recording contains {name} {count} times");
    }
}
