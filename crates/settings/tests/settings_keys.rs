//! Checks for each key of the settings the decoded value, and the error text for a missing value
//! and for a value of the wrong type.

#![allow(clippy::pedantic)] // The test keeps the form in which its expected values were recorded.

use pinefront_policy::{Idempotency, IdempotencyScope, RequestClass, Settings, SlowStart};
use pinefront_settings::decode_settings;
use rstest::rstest;
use serde_json::{Value, json};

/// Settings that contain every key.
fn every_key() -> Value {
    json!({
        "fleetSize": 5,
        "me": 3,
        "zone": 2,
        "registryMode": "ask",
        "weightKind": "static",
        "caps": {
            "cancel": true,
            "probes": true,
            "peers": true,
            "retryAfter": true,
            "maxRetryAfterUs": 700_000,
            "maxDispatches": 4
        },
        "report": { "source": "on_probe" },
        "rules": {
            "askWithinUs": 8_000_000,
            "turnGapUs": 250_000,
            "droppedStayOpen": true,
            "coldFrom": 0.2,
            "warmUpUs": 10_000_000,
            "tipMultiple": 3.0,
            "fallUs": 2_000_000
        },
        "useCases": [{
            "promisedTimeUs": 400_000,
            "effect": "keyed",
            "dedupScope": "cell",
            "dedupWindowUs": 2_000_000,
            "earnings": 2.5,
            "inOrder": true
        }],
        "accounts": [{ "allowancePerS": 20.5 }]
    })
}

fn expected() -> Settings {
    Settings {
        balancers: 5,
        own_index: 3,
        zone: 2,
        max_poll_interval: Some(8_000_000),
        weights_listed: true,
        can_cancel: true,
        load_from_probes: true,
        load_unreported: false,
        gossip_allowed: true,
        max_attempts: 4,
        max_retry_after: 700_000,
        key_cooldown: 250_000,
        unlisted_stay_usable: true,
        slow_start: SlowStart {
            initial_capacity: 0.2,
            duration: 10_000_000,
            overload_multiple: 3.0,
            overload_window: 2_000_000,
        },
        classes: vec![RequestClass {
            latency_objective: 400_000,
            idempotency: Idempotency::IdempotencyKey {
                scope: IdempotencyScope::Cell,
                window: 2_000_000,
            },
            priority_weight: 2.5,
            ordered_by_key: true,
        }],
        tenant_quotas: vec![20.5],
    }
}

fn decoded(settings: &Value) -> Result<Settings, String> {
    decode_settings(settings).map_err(|error| error.to_string())
}

/// The settings with the value at a pointer such as `/caps/peers` replaced, or its key removed.
fn with(pointer: &str, value: Option<Value>) -> Value {
    let mut settings = every_key();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let object = settings
        .pointer_mut(parent)
        .and_then(Value::as_object_mut)
        .unwrap();
    match value {
        Some(value) => _ = object.insert(key.to_owned(), value),
        None => assert!(object.remove(key).is_some(), "unknown key {pointer}"),
    }
    settings
}

#[test]
fn settings_with_every_key_are_decoded_completely() {
    assert_eq!(decoded(&every_key()), Ok(expected()));
}

#[rstest]
#[case::fleet_size("/fleetSize", json!(7), |s: &mut Settings| s.balancers = 7)]
#[case::me("/me", json!(0), |s: &mut Settings| s.own_index = 0)]
#[case::zone("/zone", json!(9), |s: &mut Settings| s.zone = 9)]
#[case::registry_mode("/registryMode", json!("push"), |s: &mut Settings| {
    s.max_poll_interval = None;
})]
#[case::weight_kind("/weightKind", json!("off"), |s: &mut Settings| s.weights_listed = false)]
#[case::cancel("/caps/cancel", json!(false), |s: &mut Settings| s.can_cancel = false)]
#[case::probes("/caps/probes", json!(false), |s: &mut Settings| s.load_from_probes = false)]
#[case::peers("/caps/peers", json!(false), |s: &mut Settings| s.gossip_allowed = false)]
#[case::retry_after("/caps/retryAfter", json!(false), |s: &mut Settings| s.max_retry_after = 0)]
#[case::max_retry_after("/caps/maxRetryAfterUs", json!(5), |s: &mut Settings| {
    s.max_retry_after = 5;
})]
#[case::max_dispatches("/caps/maxDispatches", json!(1), |s: &mut Settings| s.max_attempts = 1)]
#[case::inline("/report/source", json!("inline"), |s: &mut Settings| s.load_from_probes = false)]
#[case::off("/report/source", json!("off"), |s: &mut Settings| {
    s.load_from_probes = false;
    s.load_unreported = true;
})]
#[case::ask_within("/rules/askWithinUs", json!(5), |s: &mut Settings| {
    s.max_poll_interval = Some(5);
})]
#[case::turn_gap("/rules/turnGapUs", json!(3_600_000_000_u64), |s: &mut Settings| {
    s.key_cooldown = 3_600_000_000;
})]
#[case::dropped_stay_open("/rules/droppedStayOpen", json!(false), |s: &mut Settings| {
    s.unlisted_stay_usable = false;
})]
#[case::cold_from("/rules/coldFrom", json!(1), |s: &mut Settings| {
    s.slow_start.initial_capacity = 1.0;
})]
#[case::warm_up("/rules/warmUpUs", json!(5), |s: &mut Settings| s.slow_start.duration = 5)]
#[case::tip_multiple("/rules/tipMultiple", json!(1.5), |s: &mut Settings| {
    s.slow_start.overload_multiple = 1.5;
})]
#[case::fall("/rules/fallUs", json!(5), |s: &mut Settings| s.slow_start.overload_window = 5)]
#[case::promised_time("/useCases/0/promisedTimeUs", json!(5), |s: &mut Settings| {
    s.classes[0].latency_objective = 5;
})]
#[case::safe("/useCases/0/effect", json!("safe"), |s: &mut Settings| {
    s.classes[0].idempotency = Idempotency::Idempotent;
})]
#[case::unsafe_effect("/useCases/0/effect", json!("unsafe"), |s: &mut Settings| {
    s.classes[0].idempotency = Idempotency::NonIdempotent;
})]
#[case::scope_all("/useCases/0/dedupScope", json!("all"), |s: &mut Settings| {
    set_scope(s, IdempotencyScope::All);
})]
#[case::scope_zone("/useCases/0/dedupScope", json!("zone"), |s: &mut Settings| {
    set_scope(s, IdempotencyScope::Zone);
})]
#[case::window("/useCases/0/dedupWindowUs", json!(5), |s: &mut Settings| {
    s.classes[0].idempotency = Idempotency::IdempotencyKey {
        scope: IdempotencyScope::Cell,
        window: 5,
    };
})]
#[case::earnings("/useCases/0/earnings", json!(1), |s: &mut Settings| {
    s.classes[0].priority_weight = 1.0;
})]
#[case::in_order("/useCases/0/inOrder", json!(false), |s: &mut Settings| {
    s.classes[0].ordered_by_key = false;
})]
#[case::allowance("/accounts/0/allowancePerS", json!(3), |s: &mut Settings| {
    s.tenant_quotas = vec![3.0];
})]
fn a_changed_key_changes_only_its_own_field(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] change: fn(&mut Settings),
) {
    let mut settings = expected();
    change(&mut settings);
    assert_eq!(decoded(&with(pointer, Some(value))), Ok(settings));
}

fn set_scope(settings: &mut Settings, scope: IdempotencyScope) {
    settings.classes[0].idempotency = Idempotency::IdempotencyKey {
        scope,
        window: 2_000_000,
    };
}

/// The error names the key, both for a missing value and for a value of the wrong type.
#[rstest]
fn invalid_required_keys_are_rejected(
    #[values(
        "/fleetSize",
        "/me",
        "/zone",
        "/registryMode",
        "/weightKind",
        "/caps",
        "/caps/maxDispatches",
        "/caps/maxRetryAfterUs",
        "/report/source",
        "/rules",
        "/rules/askWithinUs",
        "/rules/coldFrom",
        "/rules/warmUpUs",
        "/rules/tipMultiple",
        "/rules/fallUs",
        "/useCases",
        "/useCases/0/promisedTimeUs",
        "/useCases/0/effect",
        "/useCases/0/dedupScope",
        "/useCases/0/dedupWindowUs",
        "/accounts/0/allowancePerS"
    )]
    pointer: &str,
) {
    let key = pointer.rsplit('/').next().unwrap();
    let missing = format!("field '{key}' is missing");
    let mistyped = format!("field '{key}' has the wrong type");
    assert_eq!(decoded(&with(pointer, None)), Err(missing));
    for value in [Value::Null, json!(true)] {
        let settings = with(pointer, Some(value));
        assert_eq!(decoded(&settings), Err(mistyped.clone()));
    }
}

/// The default applies without the key and with null; a value of the wrong type is rejected.
#[rstest]
#[case::cancel("/caps/cancel", |s: &mut Settings| s.can_cancel = false)]
#[case::probes("/caps/probes", |s: &mut Settings| s.load_from_probes = false)]
#[case::peers("/caps/peers", |s: &mut Settings| s.gossip_allowed = false)]
#[case::retry_after("/caps/retryAfter", |s: &mut Settings| s.max_retry_after = 0)]
#[case::turn_gap("/rules/turnGapUs", |s: &mut Settings| s.key_cooldown = 0)]
#[case::dropped_stay_open("/rules/droppedStayOpen", |s: &mut Settings| {
    s.unlisted_stay_usable = false;
})]
#[case::earnings("/useCases/0/earnings", |s: &mut Settings| s.classes[0].priority_weight = 1.0)]
#[case::in_order("/useCases/0/inOrder", |s: &mut Settings| s.classes[0].ordered_by_key = false)]
#[case::accounts("/accounts", |s: &mut Settings| s.tenant_quotas = Vec::new())]
fn missing_optional_keys_have_defaults(#[case] pointer: &str, #[case] change: fn(&mut Settings)) {
    let key = pointer.rsplit('/').next().unwrap();
    let mut settings = expected();
    change(&mut settings);
    assert_eq!(decoded(&with(pointer, None)), Ok(settings.clone()));
    assert_eq!(decoded(&with(pointer, Some(Value::Null))), Ok(settings));
    assert_eq!(
        decoded(&with(pointer, Some(json!("text")))),
        Err(format!("field '{key}' has the wrong type"))
    );
}

/// Without the key `report`, endpoints report their load with responses.
#[rstest]
#[case::missing(None, Ok(false))]
#[case::null(Some(Value::Null), Ok(false))]
#[case::no_source(Some(json!({})), Err("field 'source' is missing"))]
#[case::mistyped(Some(json!(5)), Err("field 'source' is missing"))]
fn load_report_source_is_optional(
    #[case] value: Option<Value>,
    #[case] from_probes: Result<bool, &str>,
) {
    let settings = decoded(&with("/report", value));
    assert_eq!(
        settings.map(|settings| settings.load_from_probes),
        from_probes.map_err(str::to_owned)
    );
}

#[rstest]
#[case("/fleetSize", json!(0), "field 'fleetSize' is 0")]
#[case("/me", json!(5), "field 'me' is 5 in a fleet of 5")]
#[case("/me", json!(-1), "field 'me' has the wrong type")]
#[case("/report/source", json!("later"), "field 'source' holds unknown 'later'")]
#[case(
    "/rules/turnGapUs",
    json!(3_600_000_001_u64),
    "field 'turnGapUs' is 3600000001: expected at most 3600000000"
)]
#[case("/useCases/0/effect", json!("other"), "field 'effect' holds unknown 'other'")]
#[case("/useCases/0/dedupScope", json!("other"), "field 'dedupScope' holds unknown 'other'")]
#[case("/useCases/0/earnings", json!(0), "field 'earnings' is 0, not above 0")]
#[case("/useCases/0/earnings", json!(-2.5), "field 'earnings' is -2.5, not above 0")]
fn invalid_values_are_rejected(#[case] pointer: &str, #[case] value: Value, #[case] error: &str) {
    assert_eq!(decoded(&with(pointer, Some(value))), Err(error.to_owned()));
}
