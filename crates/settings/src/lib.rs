//! Decodes the settings of a deployment from JSON. The simulator adapter and the proxy read the
//! same document format.
//!
//! String literals hold the keys of the document; the fields of the decoded [`Settings`] are named
//! by the policy crate.

#![cfg_attr(
    test,
    // Tests that list many cases in one function are easier to read as a single list.
    allow(
        clippy::default_trait_access,
        clippy::needless_for_each,
        clippy::too_many_lines
    )
)]
#![warn(missing_docs)]

pub mod fields;

use fields::{FieldError, count, flag, list, number, object, optional, text, unsigned};
use pinefront_policy::{Idempotency, IdempotencyScope, Micros, RequestClass, Settings, SlowStart};
use serde_json::Value;
use thiserror::Error;

/// Longest valid cooldown of a key, in microseconds: one hour. Requests do not wait that long,
/// and sums of times could overflow with longer cooldowns.
const MAX_KEY_COOLDOWN_US: Micros = 3_600_000_000;
/// Priority weight of a class whose settings contain no weight.
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;

/// The reason why a settings document is invalid.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A field could not be read.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The fleet has no balancers.
    #[error("field 'fleetSize' is 0")]
    EmptyFleet,
    /// The balancer's index is not below the number of balancers.
    #[error("field 'me' is {own_index} in a fleet of {balancers}")]
    NotInFleet {
        /// Index of this balancer.
        own_index: usize,
        /// Number of balancers.
        balancers: usize,
    },
    /// The cooldown of a key is too long.
    #[error("field 'turnGapUs' is {cooldown}: expected at most {MAX_KEY_COOLDOWN_US}")]
    KeyCooldownTooLong {
        /// The cooldown in microseconds.
        cooldown: Micros,
    },
    /// The priority weight of a class is not above 0.
    #[error("field 'earnings' is {weight}, not above 0")]
    PriorityWeightNotPositive {
        /// The invalid weight.
        weight: f64,
    },
}

/// The way in which endpoints report their load.
#[derive(Clone, Copy, PartialEq)]
enum LoadReports {
    WithResponses,
    OnProbe,
    Off,
}

/// The number of balancers in the fleet and the index of this balancer among them.
struct FleetPosition {
    balancers: usize,
    own_index: usize,
}

/// Decodes the settings of one balancer.
///
/// # Errors
///
/// A key is missing, has the wrong type or has an invalid value. The error names the key.
pub fn decode_settings(document: &Value) -> Result<Settings, SettingsError> {
    let capabilities = object(document, "caps")?;
    let rules = object(document, "rules")?;
    let tenants = optional(document, "accounts", Value::as_array)?;
    let fleet = fleet_position(document)?;
    let load_reports = load_reports(document)?;
    Ok(Settings {
        balancers: fleet.balancers,
        own_index: fleet.own_index,
        zone: unsigned(document, "zone")?,
        max_poll_interval: match text(document, "registryMode")? {
            "ask" => Some(unsigned(rules, "askWithinUs")?),
            _ => None,
        },
        weights_listed: text(document, "weightKind")? != "off",
        can_cancel: flag(capabilities, "cancel")?,
        load_from_probes: load_reports == LoadReports::OnProbe && flag(capabilities, "probes")?,
        load_unreported: load_reports == LoadReports::Off,
        gossip_allowed: flag(capabilities, "peers")?,
        max_attempts: count(capabilities, "maxDispatches")?,
        max_retry_after: if flag(capabilities, "retryAfter")? {
            unsigned(capabilities, "maxRetryAfterUs")?
        } else {
            0
        },
        key_cooldown: key_cooldown(rules)?,
        unlisted_stay_usable: flag(rules, "droppedStayOpen")?,
        slow_start: slow_start(rules)?,
        classes: list(document, "useCases")?
            .iter()
            .map(request_class)
            .collect::<Result<_, _>>()?,
        tenant_quotas: tenants
            .into_iter()
            .flatten()
            .map(|tenant| number(tenant, "allowancePerS"))
            .collect::<Result<_, _>>()?,
    })
}

fn fleet_position(document: &Value) -> Result<FleetPosition, SettingsError> {
    let balancers = count(document, "fleetSize")?;
    let own_index = count(document, "me")?;
    if balancers == 0 {
        return Err(SettingsError::EmptyFleet);
    }
    if own_index >= balancers {
        return Err(SettingsError::NotInFleet {
            own_index,
            balancers,
        });
    }
    Ok(FleetPosition {
        balancers,
        own_index,
    })
}

fn load_reports(document: &Value) -> Result<LoadReports, FieldError> {
    let Some(report) = optional(document, "report", Some)? else {
        return Ok(LoadReports::WithResponses);
    };
    match text(report, "source")? {
        "inline" => Ok(LoadReports::WithResponses),
        "on_probe" => Ok(LoadReports::OnProbe),
        "off" => Ok(LoadReports::Off),
        other => Err(FieldError::unknown("source", other)),
    }
}

fn key_cooldown(rules: &Value) -> Result<Micros, SettingsError> {
    let cooldown = optional(rules, "turnGapUs", Value::as_u64)?.unwrap_or(0);
    if cooldown > MAX_KEY_COOLDOWN_US {
        Err(SettingsError::KeyCooldownTooLong { cooldown })
    } else {
        Ok(cooldown)
    }
}

fn slow_start(rules: &Value) -> Result<SlowStart, FieldError> {
    Ok(SlowStart {
        initial_capacity: number(rules, "coldFrom")?,
        duration: unsigned(rules, "warmUpUs")?,
        overload_multiple: number(rules, "tipMultiple")?,
        overload_window: unsigned(rules, "fallUs")?,
    })
}

fn request_class(class: &Value) -> Result<RequestClass, SettingsError> {
    let idempotency = idempotency(class)?;
    let weight = optional(class, "earnings", Value::as_f64)?;
    let priority_weight = weight.unwrap_or(DEFAULT_PRIORITY_WEIGHT);
    if !(priority_weight > 0.0 && priority_weight.is_finite()) {
        return Err(SettingsError::PriorityWeightNotPositive {
            weight: priority_weight,
        });
    }
    let ordered_by_key = flag(class, "inOrder")?;
    Ok(RequestClass {
        latency_objective: unsigned(class, "promisedTimeUs")?,
        idempotency,
        priority_weight,
        ordered_by_key,
    })
}

fn idempotency(class: &Value) -> Result<Idempotency, FieldError> {
    match text(class, "effect")? {
        "safe" => Ok(Idempotency::Idempotent),
        "unsafe" => Ok(Idempotency::NonIdempotent),
        "keyed" => Ok(Idempotency::IdempotencyKey {
            scope: idempotency_scope(class)?,
            window: unsigned(class, "dedupWindowUs")?,
        }),
        other => Err(FieldError::unknown("effect", other)),
    }
}

fn idempotency_scope(class: &Value) -> Result<IdempotencyScope, FieldError> {
    match text(class, "dedupScope")? {
        "all" => Ok(IdempotencyScope::All),
        "zone" => Ok(IdempotencyScope::Zone),
        "cell" => Ok(IdempotencyScope::Cell),
        other => Err(FieldError::unknown("dedupScope", other)),
    }
}
