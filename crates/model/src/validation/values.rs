//! Checks of all values except those of faults. The order of the checks determines the order of the
//! reported errors.

use toml::Spanned;

use super::{
    MAX_ATTEMPTS, MAX_BALANCERS, MAX_CURVE_MULTIPLE, MAX_DISCOVERY_CALLS_PER_SECOND, MAX_KEYS,
    MAX_LENGTH_US, MAX_REQUESTS_PER_SECOND, MAX_SERVERS, Validator,
};
use crate::scenario::{Idempotency, Machine, RequestClass, Scenario};

/// An entry of a list in which names are unique and each entry has a relative share.
trait NamedShare {
    fn name(&self) -> &str;
    fn share(&self) -> f64;
}

macro_rules! impl_named_share {
    ($($entry:ty),*) => {
        $(impl NamedShare for $entry {
            fn name(&self) -> &str {
                &self.name
            }
            fn share(&self) -> f64 {
                self.share
            }
        })*
    };
}
impl_named_share!(Machine, RequestClass, crate::scenario::Tenant);

impl Validator<'_> {
    pub(super) fn check_values(&mut self, scenario: &Scenario) {
        self.check_sizes(scenario);
        self.check_fleet_and_rules(scenario);
        self.check_discovery(scenario);
        self.check_traffic(scenario);
        self.check_names_and_shares("machines", &scenario.machines);
        self.check_names_and_shares("use_cases", &scenario.classes);
        if !scenario.tenants.is_empty() {
            self.check_names_and_shares("tenants", &scenario.tenants);
        }
        for machine in &scenario.machines {
            self.check_machine(machine);
        }
        for class in &scenario.classes {
            self.check_class(class);
        }
        self.check_weights(scenario);
    }

    fn check_sizes(&mut self, scenario: &Scenario) {
        let length = scenario.length.get_ref().0;
        if length == 0 || length > MAX_LENGTH_US {
            let reason = "must be above 0 and at most 24h";
            self.add(scenario.length.span().start, "length", reason);
        }
        self.check_count(&scenario.balancers, "balancers", MAX_BALANCERS);
        self.check_count(&scenario.fleet.servers, "fleet.servers", MAX_SERVERS);
        let rate = &scenario.traffic.rate;
        if !(*rate.get_ref() > 0.0 && *rate.get_ref() <= MAX_REQUESTS_PER_SECOND) {
            let value = rate.get_ref();
            let reason =
                format!("must be above 0 and at most {MAX_REQUESTS_PER_SECOND}, but is {value}");
            self.add(rate.span().start, "traffic.rate", reason);
        }
    }

    fn check_count(&mut self, count: &Spanned<usize>, field: &str, max: usize) {
        let value = *count.get_ref();
        if !(1..=max).contains(&value) {
            let reason = format!("must be 1 to {max}, but is {value}");
            self.add(count.span().start, field, reason);
        }
    }

    fn check_fleet_and_rules(&mut self, scenario: &Scenario) {
        let (fleet, rules) = (&scenario.fleet, &scenario.rules);
        if fleet.zones.is_empty() {
            self.add_for_key("fleet", "zones", "must contain at least one zone");
        }
        if fleet.max_connections == 0 {
            self.add_for_key("fleet", "connections", "must be at least 1");
        }
        self.check_fraction("fleet", "keys_save", fleet.key_cache_savings);
        self.check_fraction("rules", "cold_from", rules.slow_start_capacity);
        if rules.slow_start_capacity <= 0.0 || rules.slow_start_overload_factor <= 0.0 {
            let reason = "cold_from and cold_multiple must be above 0";
            self.add_for_key("rules", "cold_from", reason);
        }
        if !(1..=MAX_ATTEMPTS).contains(&rules.max_attempts) {
            let value = rules.max_attempts;
            let reason = format!("must be 1 to {MAX_ATTEMPTS}, but is {value}");
            self.add_for_key("rules", "most_dispatches", reason);
        }
    }

    fn check_discovery(&mut self, scenario: &Scenario) {
        let discovery = &scenario.discovery;
        if discovery.propagation_delay[0] > discovery.propagation_delay[1] {
            let reason = "the minimum must not exceed the maximum";
            self.add_for_key("discovery", "delay", reason);
        }
        if !(0.0..=MAX_DISCOVERY_CALLS_PER_SECOND).contains(&discovery.calls_per_second) {
            let value = discovery.calls_per_second;
            let reason = format!("must be 0 to {MAX_DISCOVERY_CALLS_PER_SECOND}, but is {value}");
            self.add_for_key("discovery", "calls_per_second", reason);
        }
    }

    fn check_traffic(&mut self, scenario: &Scenario) {
        let traffic = &scenario.traffic;
        if traffic.keys == 0 || traffic.keys > MAX_KEYS {
            let reason = format!("must be 1 to {MAX_KEYS}, but is {}", traffic.keys);
            self.add_for_key("traffic", "keys", reason);
        }
        if !(traffic.min_timeout_fraction > 0.0 && traffic.min_timeout_fraction <= 1.0) {
            let value = traffic.min_timeout_fraction;
            let reason = format!("must be above 0 and at most 1, but is {value}");
            self.add_for_key("traffic", "give_up", reason);
        }
        self.check_fraction("traffic", "leaves", traffic.disconnect_fraction);
        if traffic.curve.windows(2).any(|pair| pair[0].0 >= pair[1].0) {
            self.add_for_key("traffic", "curve", "times must be strictly ascending");
        }
        let mut multiples = traffic.curve.iter().map(|(_, multiple)| multiple);
        if multiples.any(|multiple| !(0.0..=MAX_CURVE_MULTIPLE).contains(multiple)) {
            let reason = format!("multiples must be 0 to {MAX_CURVE_MULTIPLE}");
            self.add_for_key("traffic", "curve", reason);
        }
    }

    fn check_names_and_shares<T: NamedShare>(&mut self, table: &str, entries: &[Spanned<T>]) {
        let offset = entries.first().map_or(0, |entry| entry.span().start);
        let shares: f64 = entries.iter().map(|entry| entry.get_ref().share()).sum();
        let any_negative = entries.iter().any(|entry| entry.get_ref().share() < 0.0);
        if any_negative || shares.is_nan() || shares <= 0.0 {
            let reason = "shares must not be negative, and their sum must be above 0";
            self.add(offset, &format!("{table}.share"), reason);
        }
        for (index, entry) in entries.iter().enumerate() {
            let name = entry.get_ref().name();
            let is_duplicate = entries[..index]
                .iter()
                .any(|other| other.get_ref().name() == name);
            let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
            if is_duplicate || name.is_empty() || !name.bytes().all(is_valid) {
                let reason = format!(
                    "invalid name '{name}': expected a unique name of letters, digits, - and _"
                );
                self.add(entry.span().start, &format!("{table}.name"), reason);
            }
        }
    }

    fn check_machine(&mut self, machine: &Spanned<Machine>) {
        let (offset, machine) = (machine.span().start, machine.get_ref());
        let is_speed_valid = machine.speed[0] > 0.0 && machine.speed[0] <= machine.speed[1];
        if machine.cores == 0 || !is_speed_valid {
            let reason = "cores must be at least 1, and speed must be [minimum, maximum] above 0";
            self.add(offset, "machines.speed", reason);
        }
    }

    fn check_class(&mut self, class: &Spanned<RequestClass>) {
        let (offset, class) = (class.span().start, class.get_ref());
        if class.latency_objective > class.deadline || class.deadline.0 == 0 {
            let reason = "must be above 0 and not shorter than promised_time";
            self.add(offset, "use_cases.hard_stop", reason);
        }
        let uses_key = class.idempotency == Idempotency::IdempotencyKey;
        if uses_key && class.idempotency_window.0 == 0 {
            let reason = "must be above 0 for the effect 'labelled'";
            self.add(offset, "use_cases.window", reason);
        }
    }

    fn check_weights(&mut self, scenario: &Scenario) {
        let service = &scenario.service;
        let weights = [
            service.overall,
            service.worst_10s,
            service.worst_class,
            service.worst_tenant,
            service.tail,
        ];
        if weights.iter().any(|weight| *weight < 0.0) || weights.iter().sum::<f64>() <= 0.0 {
            let reason = "weights must not be negative, and their sum must be above 0";
            self.add_for_key("service", "whole", reason);
        }
    }
}
