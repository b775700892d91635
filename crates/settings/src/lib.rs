//! The settings of a deployment, decoded once into [`Terms`]: the simulator's wire and the real balancer are
//! told the same ones.

pub mod fields;

use fields::{Decoded, count, flag, list, number, optional, part, text, whole};
use pinefront_policy::{Idempotency, IdempotencyScope, RequestClass, Settings, SlowStart};
use serde_json::Value;

/// The longest rest of a key, an hour: no ticket waits that long, and beyond it lies only overflow.
const TURN_GAP_MOST: u64 = 3_600_000_000;

fn use_case(class: &Value) -> Decoded<RequestClass> {
    let idempotency = match text(class, "effect")? {
        "safe" => Idempotency::Idempotent,
        "unsafe" => Idempotency::NonIdempotent,
        "keyed" => Idempotency::IdempotencyKey {
            scope: match text(class, "dedupScope")? {
                "all" => IdempotencyScope::All,
                "zone" => IdempotencyScope::Zone,
                "cell" => IdempotencyScope::Cell,
                other => return Err(format!("field 'dedupScope' holds unknown '{other}'")),
            },
            window: whole(class, "dedupWindowUs")?,
        },
        other => return Err(format!("field 'effect' holds unknown '{other}'")),
    };
    let priority_weight = optional(class, "earnings", Value::as_f64)?.unwrap_or(1.0);
    if !(priority_weight > 0.0 && priority_weight.is_finite()) {
        return Err(format!(
            "field 'earnings' is {priority_weight}, not above 0"
        ));
    }
    let ordered_by_key = flag(class, "inOrder")?;
    Ok(RequestClass {
        latency_objective: whole(class, "promisedTimeUs")?,
        idempotency,
        priority_weight,
        ordered_by_key,
    })
}

/// What the deployment lays down, from the object that the settings are.
pub fn decode_settings(conf: &Value) -> Decoded<Settings> {
    let (caps, rules) = (part(conf, "caps")?, part(conf, "rules")?);
    let accounts = optional(conf, "accounts", Value::as_array)?;
    let (balancers, own_index) = (count(conf, "fleetSize")?, count(conf, "me")?);
    if balancers == 0 {
        return Err("field 'fleetSize' is 0".into());
    }
    if own_index >= balancers {
        return Err(format!(
            "field 'me' is {own_index} in a fleet of {balancers}"
        ));
    }
    let source = match optional(conf, "report", Some)? {
        Some(report) => text(report, "source")?,
        None => "inline",
    };
    if !["inline", "on_probe", "off"].contains(&source) {
        return Err(format!("field 'source' holds unknown '{source}'"));
    }
    Ok(Settings {
        balancers,
        own_index,
        zone: whole(conf, "zone")?,
        max_poll_interval: match text(conf, "registryMode")? {
            "ask" => Some(whole(rules, "askWithinUs")?),
            _ => None,
        },
        weights_listed: text(conf, "weightKind")? != "off",
        can_cancel: flag(caps, "cancel")?,
        load_from_probes: source == "on_probe" && flag(caps, "probes")?,
        load_unreported: source == "off",
        gossip_allowed: flag(caps, "peers")?,
        max_attempts: count(caps, "maxDispatches")?,
        max_retry_after: match flag(caps, "retryAfter")? {
            true => whole(caps, "maxRetryAfterUs")?,
            false => 0,
        },
        key_cooldown: match optional(rules, "turnGapUs", Value::as_u64)?.unwrap_or(0) {
            gap if gap > TURN_GAP_MOST => {
                return Err(format!(
                    "field 'turnGapUs' is {gap}, and {TURN_GAP_MOST} is the longest"
                ));
            }
            gap => gap,
        },
        unlisted_stay_usable: flag(rules, "droppedStayOpen")?,
        slow_start: SlowStart {
            initial_capacity: number(rules, "coldFrom")?,
            duration: whole(rules, "warmUpUs")?,
            overload_multiple: number(rules, "tipMultiple")?,
            overload_window: whole(rules, "fallUs")?,
        },
        classes: list(conf, "useCases")?
            .iter()
            .map(use_case)
            .collect::<Decoded<_>>()?,
        tenant_quotas: match accounts {
            None => Vec::new(),
            Some(accounts) => accounts
                .iter()
                .map(|account| number(account, "allowancePerS"))
                .collect::<Decoded<_>>()?,
        },
    })
}
