//! The settings of a deployment, decoded once into [`Terms`]: the simulator's wire and the real balancer are
//! told the same ones.

pub mod fields;

use fields::{Decoded, count, flag, list, number, optional, part, text, whole};
use pinefront_policy::{Idempotency, IdempotencyScope, RequestClass, Settings, SlowStart};
use serde_json::Value;

/// The longest rest of a key, an hour: no ticket waits that long, and beyond it lies only overflow.
const TURN_GAP_MOST: u64 = 3_600_000_000;

fn use_case(class: &Value) -> Decoded<RequestClass> {
    let effect = match text(class, "effect")? {
        "safe" => Idempotency::Idempotent,
        "unsafe" => Idempotency::NonIdempotent,
        "keyed" => Idempotency::IdempotencyKey {
            group: match text(class, "dedupScope")? {
                "all" => IdempotencyScope::All,
                "zone" => IdempotencyScope::Zone,
                "cell" => IdempotencyScope::Cell,
                other => return Err(format!("field 'dedupScope' holds unknown '{other}'")),
            },
            window: whole(class, "dedupWindowUs")?,
        },
        other => return Err(format!("field 'effect' holds unknown '{other}'")),
    };
    let earnings = optional(class, "earnings", Value::as_f64)?.unwrap_or(1.0);
    if !(earnings > 0.0 && earnings.is_finite()) {
        return Err(format!("field 'earnings' is {earnings}, not above 0"));
    }
    let in_order = flag(class, "inOrder")?;
    Ok(RequestClass {
        promised_time: whole(class, "promisedTimeUs")?,
        effect,
        earnings,
        in_order,
    })
}

/// What the deployment lays down, from the object that the settings are.
pub fn terms(conf: &Value) -> Decoded<Settings> {
    let (caps, rules) = (part(conf, "caps")?, part(conf, "rules")?);
    let accounts = optional(conf, "accounts", Value::as_array)?;
    let (balancers, own_number) = (count(conf, "fleetSize")?, count(conf, "me")?);
    if balancers == 0 {
        return Err("field 'fleetSize' is 0".into());
    }
    if own_number >= balancers {
        return Err(format!(
            "field 'me' is {own_number} in a fleet of {balancers}"
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
        own_number,
        zone: whole(conf, "zone")?,
        ask_within: match text(conf, "registryMode")? {
            "ask" => Some(whole(rules, "askWithinUs")?),
            _ => None,
        },
        weights_listed: text(conf, "weightKind")? != "off",
        may_call_off: flag(caps, "cancel")?,
        loads_probed: source == "on_probe" && flag(caps, "probes")?,
        loads_untold: source == "off",
        peers: flag(caps, "peers")?,
        most_dispatches: count(caps, "maxDispatches")?,
        longest_come_back: match flag(caps, "retryAfter")? {
            true => whole(caps, "maxRetryAfterUs")?,
            false => 0,
        },
        turn_gap: match optional(rules, "turnGapUs", Value::as_u64)?.unwrap_or(0) {
            gap if gap > TURN_GAP_MOST => {
                return Err(format!(
                    "field 'turnGapUs' is {gap}, and {TURN_GAP_MOST} is the longest"
                ));
            }
            gap => gap,
        },
        dropped_stay_open: flag(rules, "droppedStayOpen")?,
        warming: SlowStart {
            starts_at: number(rules, "coldFrom")?,
            warm_after: whole(rules, "warmUpUs")?,
            multiple: number(rules, "tipMultiple")?,
            span: whole(rules, "fallUs")?,
        },
        use_cases: list(conf, "useCases")?
            .iter()
            .map(use_case)
            .collect::<Decoded<_>>()?,
        allowances: match accounts {
            None => Vec::new(),
            Some(accounts) => accounts
                .iter()
                .map(|account| number(account, "allowancePerS"))
                .collect::<Decoded<_>>()?,
        },
    })
}
