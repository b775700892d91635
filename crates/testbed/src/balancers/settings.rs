//! Builds the settings of a balancer for a scenario, with the keys of its configuration file.

use pinefront_model::scenario::{
    Idempotency, IdempotencyScope, RequestClass, Rules, Scenario, Tenant,
};
use serde_json::{Value, json};

/// Longest time that a balancer waits for a connection to a server, in microseconds.
const CONNECT_TIMEOUT_US: u64 = 250_000;

/// The object `settings` in the configuration file of balancer `number`.
pub fn settings(scenario: &Scenario, number: usize) -> Value {
    let uses_polling = scenario.discovery.max_poll_interval.0 > 0;
    let has_reports = scenario.fleet.report_interval.0 > 0;
    let machines = scenario.machines.iter();
    let classes = scenario.classes.iter();
    let mut settings = json!({
        "fleetSize": scenario.balancers.get_ref(),
        "me": number,
        "zone": number % scenario.fleet.zones.len(),
        "registryMode": if uses_polling { "ask" } else { "push" },
        "weightKind": "off",
        "dcs": scenario.fleet.zones,
        "kinds": machines.map(|machine| &machine.get_ref().name).collect::<Vec<_>>(),
        "report": {"source": if has_reports { "inline" } else { "off" }},
        "familyInfo": {"warmKeys": scenario.fleet.key_cache_ttl.0 > 0},
        "caps": capabilities(scenario),
        "rules": rules(&scenario.rules, scenario.discovery.max_poll_interval.0),
        "useCases": classes.map(|entry| class(entry.get_ref())).collect::<Vec<_>>(),
    });
    if !scenario.tenants.is_empty() {
        let tenants = scenario.tenants.iter();
        settings["accounts"] = tenants.map(|entry| tenant(entry.get_ref())).collect();
    }
    settings
}

fn capabilities(scenario: &Scenario) -> Value {
    json!({
        "cancel": true,
        "secondCopies": scenario.rules.hedging,
        "maxDispatches": scenario.rules.max_attempts,
        "retryAfter": true,
        "maxRetryAfterUs": scenario.rules.max_retry_after.0,
        "connIdleUs": scenario.fleet.idle_timeout.0,
        "connectTimeoutUs": CONNECT_TIMEOUT_US,
    })
}

fn rules(rules: &Rules, max_poll_interval_us: u64) -> Value {
    json!({
        "askWithinUs": max_poll_interval_us,
        "coldFrom": rules.slow_start_capacity,
        "warmUpUs": rules.slow_start_duration.0,
        "tipMultiple": rules.slow_start_overload_factor,
        "fallUs": rules.slow_start_overload_window.0,
        "drainGraceUs": rules.drain_grace.0,
    })
}

fn class(class: &RequestClass) -> Value {
    let effect = match class.idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::IdempotencyKey => "keyed",
        Idempotency::NonIdempotent => "unsafe",
    };
    let scope = match class.scope {
        IdempotencyScope::All => "all",
        IdempotencyScope::Zone => "zone",
        IdempotencyScope::Cell => "cell",
    };
    json!({
        "name": class.name,
        "effect": effect,
        "dedupScope": scope,
        "dedupWindowUs": class.idempotency_window.0,
        "promisedTimeUs": class.latency_objective.0,
    })
}

fn tenant(tenant: &Tenant) -> Value {
    json!({"name": tenant.name, "allowancePerS": tenant.quota_per_second})
}
