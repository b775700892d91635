//! Checks every key of the configuration: a valid value is accepted, and a missing or invalid one
//! is reported by name.

use std::path::Path;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

use crate::harness::{Recording, write_config};

/// Returns a configuration that contains every key.
fn every_key() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:7001", "discovery": "127.0.0.1:7002",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 512, "memory_mb": 64},
        "known": {"rev": 5, "all": true, "targets": []},
        "probe_path": "/load", "peers": ["127.0.0.1:7003", "127.0.0.1:7004"],
        "settings": {
            "fleetSize": 2, "me": 1, "zone": 1, "registryMode": "ask", "weightKind": "off",
            "dcs": ["a", "b"], "kinds": ["m1"], "report": {"source": "on_probe"},
            "caps": {"cancel": true, "secondCopies": true, "probes": true, "peers": true,
                "maxDispatches": 5, "retryAfter": true, "maxRetryAfterUs": 1_000_000,
                "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
            "rules": {"askWithinUs": 10_000_000, "turnGapUs": 60_000, "droppedStayOpen": true,
                "coldFrom": 0.3, "warmUpUs": 8_800_000, "tipMultiple": 3.0, "fallUs": 1_000_000,
                "drainGraceUs": 400_000},
            "accounts": [{"name": "acme", "allowancePerS": 100.0}],
            "useCases": [
                {"name": "pay", "effect": "keyed", "dedupScope": "cell", "dedupWindowUs": 2_500_000,
                    "promisedTimeUs": 600_000, "earnings": 2.5, "inOrder": true},
                {"name": "look", "effect": "safe", "promisedTimeUs": 600_000},
                {"name": "swap", "effect": "unsafe", "promisedTimeUs": 600_000}]}
    })
}

/// Collects the JSON pointers of all members and elements, in document order.
fn collect_pointers(value: &Value, prefix: &str, found: &mut Vec<String>) {
    let members: Vec<(String, &Value)> = match value {
        Value::Object(members) => members
            .iter()
            .map(|(key, value)| (key.clone(), value))
            .collect(),
        Value::Array(elements) => elements
            .iter()
            .enumerate()
            .map(|(index, value)| (index.to_string(), value))
            .collect(),
        _ => Vec::new(),
    };
    for (key, member) in members {
        let pointer = format!("{prefix}/{key}");
        found.push(pointer.clone());
        collect_pointers(member, &pointer, found);
    }
}

/// Removes a member from its object or an element from its list.
fn remove(config: &mut Value, pointer: &str) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match config.pointer_mut(parent).unwrap() {
        Value::Object(members) => _ = members.remove(key),
        Value::Array(elements) => _ = elements.remove(key.parse().unwrap()),
        _ => unreachable!(),
    }
}

/// Runs `pinefront check` and returns its exit code and its output.
fn check(file: &Path, variables: &[(&str, &str)]) -> String {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_pinefront"))
        .args(["check", "--config"])
        .arg(file)
        .env_clear()
        .envs(variables.iter().copied())
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let code = output.status.code().unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).unwrap();
    format!(
        "exit {code}: {}",
        text.replace(file.to_str().unwrap(), "FILE")
    )
}

fn check_value(config: &Value) -> String {
    let file = write_config("check", config);
    let result = check(&file, &[]);
    std::fs::remove_file(&file).unwrap();
    result
}

/// Returns values of various types, at least some of which are invalid for every key.
fn invalid_values() -> [Value; 6] {
    [
        json!(null),
        json!(true),
        json!(-1),
        json!(0),
        json!("odd"),
        json!([{}]),
    ]
}

#[test]
fn the_check_of_each_key_is_as_recorded() {
    let config = every_key();
    let mut recording = Recording::new(&[]);
    recording.add("every key", check_value(&config).as_bytes());
    let mut found = Vec::new();
    collect_pointers(&config, "", &mut found);
    for pointer in found {
        let mut changed = config.clone();
        remove(&mut changed, &pointer);
        recording.add(
            &format!("{pointer} missing"),
            check_value(&changed).as_bytes(),
        );
        for invalid in invalid_values() {
            let mut changed = config.clone();
            *changed.pointer_mut(&pointer).unwrap() = invalid.clone();
            let title = format!("{pointer} is {invalid}");
            recording.add(&title, check_value(&changed).as_bytes());
        }
    }
    recording.compare("configuration-keys.txt");
}

#[test]
fn the_check_of_files_and_variables_is_as_recorded() {
    let mut recording = Recording::new(&[]);
    let file = write_config("variables", &every_key());
    let cases: [(&str, &[(&str, &str)]); 6] = [
        ("no variables", &[]),
        ("a listen address", &[("BALANCER_LISTEN", "127.0.0.1:1")]),
        ("an invalid listen address", &[("BALANCER_LISTEN", "here")]),
        (
            "an invalid discovery address",
            &[("BALANCER_DISCOVERY", "there")],
        ),
        ("an empty name", &[("BALANCER_NAME", "")]),
        (
            "another file, which is ignored",
            &[("BALANCER_CONFIG", "/nowhere")],
        ),
    ];
    for (title, variables) in cases {
        recording.add(title, check(&file, variables).as_bytes());
    }
    std::fs::write(&file, "{").unwrap();
    recording.add("not JSON", check(&file, &[]).as_bytes());
    std::fs::write(&file, "[]").unwrap();
    recording.add("not an object", check(&file, &[]).as_bytes());
    std::fs::remove_file(&file).unwrap();
    recording.add("missing file", check(&file, &[]).as_bytes());
    recording.compare("configuration-files.txt");
}
