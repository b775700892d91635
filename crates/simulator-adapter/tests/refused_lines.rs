//! Invalid input lines: the adapter exits with an error that names the batch, the message and the
//! field, and writes no reply to the batch.

#![allow(clippy::pedantic)] // The test keeps the form in which its expected values were recorded.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "fleetSize": 1, "me": 0, "zone": 0, "registryMode": "push", "weightKind": "off",
        "caps": {"maxDispatches": 3},
        "rules": {"coldFrom": 0.25, "warmUpUs": 2_000_000, "tipMultiple": 3.0, "fallUs": 400_000},
        "useCases": [{"promisedTimeUs": 60_000, "effect": "safe"}],
    })
}

fn run(lines: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_pinefront-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = adapter.stdin.take().unwrap();
    input.write_all(lines.as_bytes()).unwrap();
    drop(input);
    adapter.wait_with_output().unwrap()
}

/// Returns the standard error of the adapter for a message to a running instance.
fn error_for(message: Value) -> String {
    let start = json!({"t": "Enlist", "i": 1, "nonce64": 7, "conf": settings()});
    let first = json!({"tUs": 5, "msgs": [start]});
    let second = json!({"tUs": 6, "msgs": [{"t": "Killed", "i": 9}, message]});
    let output = run(&format!("{first}\n{second}\n"));
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(output.stdout, b"{\"orders\":[]}\n");
    String::from_utf8(output.stderr).unwrap()
}

#[track_caller]
fn assert_rejected(message: Value, error: &str) {
    assert_eq!(
        error_for(message),
        format!("pinefront-simulator-adapter: message 1 of batch 6: {error}\n")
    );
}

#[test]
fn missing_field_is_rejected_with_its_name() {
    for (message, field) in [
        (json!({"t": "Enlist", "i": 2, "nonce64": 7}), "conf"),
        (
            json!({"t": "Enlist", "i": 2, "conf": settings()}),
            "nonce64",
        ),
        (json!({"t": "Sync", "i": 1}), "scope"),
        (json!({"t": "Sync", "i": 1, "scope": "full"}), "membersList"),
        (json!({"t": "Call", "i": 1}), "req"),
        (json!({"t": "Call", "i": 1, "req": "a"}), "qos"),
        (
            json!({"t": "Call", "i": 1, "req": "a", "qos": 0}),
            "deadlineUs",
        ),
        (json!({"t": "Ended", "i": 1}), "req"),
        (json!({"t": "Ended", "i": 1, "serverStats": {}}), "upstream"),
        (json!({"t": "Ended", "i": 1, "req": "a"}), "trial"),
        (json!({"t": "Ended", "i": 1, "req": "a", "trial": 0}), "how"),
        (
            json!({"t": "Ended", "i": 1, "req": "a", "trial": 0, "how": "cut"}),
            "delaySeenUs",
        ),
        (json!({"t": "FirstByte", "i": 1}), "req"),
        (json!({"t": "Gone", "i": 1}), "req"),
        (json!({"t": "Elapsed", "i": 1}), "keyBack"),
        (json!({"t": "CheckResult", "i": 1}), "how"),
        (
            json!({"t": "CheckResult", "i": 1, "how": "pass"}),
            "upstream",
        ),
        (json!({"t": "Datagram", "i": 1}), "contents"),
        (
            json!({"t": "Datagram", "i": 1, "contents": "? 1"}),
            "author",
        ),
    ] {
        assert_rejected(message, &format!("field '{field}' is missing"));
    }
}

#[test]
fn missing_field_of_an_endpoint_is_rejected_with_its_name() {
    let mut entry = json!({"upstream": "u", "phase": "IN"});
    for field in ["site", "generationHw", "group", "weight"] {
        let message = json!({"t": "Sync", "i": 1, "scope": "delta", "membersList": [entry]});
        assert_rejected(message, &format!("field '{field}' is missing"));
        entry[field] = json!(1);
    }
}

#[test]
fn unknown_value_is_rejected_with_its_field() {
    let listed = json!([{"upstream": "u", "phase": "other"}]);
    for (message, error) in [
        (
            json!({"t": "Sync", "i": 1, "scope": "other"}),
            "field 'scope' holds unknown 'other'",
        ),
        (
            json!({"t": "Sync", "i": 1, "scope": "full", "membersList": listed}),
            "field 'phase' holds unknown 'other'",
        ),
        (
            json!({"t": "Ended", "i": 1, "req": "a", "trial": 0, "how": "other"}),
            "field 'how' holds unknown 'other'",
        ),
        (
            json!({"t": "CheckResult", "i": 1, "how": "other"}),
            "field 'how' holds unknown 'other'",
        ),
    ] {
        assert_rejected(message, error);
    }
}

#[test]
fn invalid_settings_are_rejected_with_the_field() {
    let mut conf = settings();
    conf["fleetSize"] = json!(0);
    let message = json!({"t": "Enlist", "i": 2, "nonce64": 7, "conf": conf});
    assert_rejected(message, "field 'fleetSize' is 0");
}

#[test]
fn unknown_events_and_instances_are_ignored() {
    let batch = json!({"tUs": 6, "msgs": [{"t": "Other", "i": 1}, {"t": "Call", "i": 8}]});
    let output = run(&format!("{batch}\n"));
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, b"{\"orders\":[]}\n");
}

#[test]
fn line_that_is_not_a_batch_is_rejected() {
    let output = run("{}\n");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(
        String::from_utf8(output.stderr).unwrap(),
        "pinefront-simulator-adapter: invalid batch: missing field `tUs` at line 1 column 2\n"
    );
}
