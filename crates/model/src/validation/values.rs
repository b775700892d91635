//! Checks of all values but the faults. The order of the checks is the order in which errors are
//! reported.

use toml::Spanned;

use super::{
    MAX_ATTEMPTS, MAX_BALANCERS, MAX_CURVE_MULTIPLE, MAX_DISCOVERY_CALLS_PER_SECOND, MAX_KEYS,
    MAX_LENGTH, MAX_REQUESTS_PER_SECOND, MAX_SERVERS, Validator,
};
use crate::scenario::{Idempotency, Machine, RequestClass, Scenario};

/// An entry of a list whose names are unique and whose shares are weights.
trait Shared {
    fn name(&self) -> &str;
    fn share(&self) -> f64;
}

macro_rules! impl_shared {
    ($($entry:ty),*) => {
        $(impl Shared for $entry {
            fn name(&self) -> &str {
                &self.name
            }
            fn share(&self) -> f64 {
                self.share
            }
        })*
    };
}
impl_shared!(Machine, RequestClass, crate::scenario::Tenant);

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
        if length == 0 || length > MAX_LENGTH {
            let reason = "must be over 0 and at most a day (24h)";
            self.add(scenario.length.span().start, "length", reason);
        }
        self.check_count(&scenario.balancers, "balancers", MAX_BALANCERS);
        self.check_count(&scenario.fleet.servers, "fleet.servers", MAX_SERVERS);
        let rate = &scenario.traffic.rate;
        if !(*rate.get_ref() > 0.0 && *rate.get_ref() <= MAX_REQUESTS_PER_SECOND) {
            let reason = format!("must be over 0 and at most {MAX_REQUESTS_PER_SECOND}");
            self.add(rate.span().start, "traffic.rate", reason);
        }
    }

    fn check_count(&mut self, count: &Spanned<usize>, field: &str, max: usize) {
        if !(1..=max).contains(count.get_ref()) {
            self.add(count.span().start, field, format!("must be 1 to {max}"));
        }
    }

    fn check_fleet_and_rules(&mut self, scenario: &Scenario) {
        let (fleet, rules) = (&scenario.fleet, &scenario.rules);
        if fleet.zones.is_empty() {
            self.add_for_key("fleet", "zones", "names no zone");
        }
        if fleet.max_connections == 0 {
            self.add_for_key("fleet", "connections", "0 connections serve nobody");
        }
        self.check_fraction("fleet", "keys_save", fleet.key_cache_savings);
        self.check_fraction("rules", "cold_from", rules.slow_start_capacity);
        if rules.slow_start_capacity <= 0.0 || rules.slow_start_overload_factor <= 0.0 {
            let reason = "a cold server that can do nothing never warms";
            self.add_for_key("rules", "cold_from", reason);
        }
        if !(1..=MAX_ATTEMPTS).contains(&rules.max_attempts) {
            let reason = format!("must be 1 to {MAX_ATTEMPTS}");
            self.add_for_key("rules", "most_dispatches", reason);
        }
    }

    fn check_discovery(&mut self, scenario: &Scenario) {
        let discovery = &scenario.discovery;
        if discovery.propagation_delay[0] > discovery.propagation_delay[1] {
            self.add_for_key("discovery", "delay", "the least is above the greatest");
        }
        if !(0.0..=MAX_DISCOVERY_CALLS_PER_SECOND).contains(&discovery.calls_per_second) {
            let reason = format!("must be 0 to {MAX_DISCOVERY_CALLS_PER_SECOND}");
            self.add_for_key("discovery", "calls_per_second", reason);
        }
    }

    fn check_traffic(&mut self, scenario: &Scenario) {
        let traffic = &scenario.traffic;
        if traffic.keys == 0 || traffic.keys > MAX_KEYS {
            self.add_for_key("traffic", "keys", format!("must be 1 to {MAX_KEYS}"));
        }
        if !(traffic.min_timeout_fraction > 0.0 && traffic.min_timeout_fraction <= 1.0) {
            self.add_for_key("traffic", "give_up", "must be over 0 and at most 1");
        }
        self.check_fraction("traffic", "leaves", traffic.disconnect_fraction);
        if traffic.curve.windows(2).any(|pair| pair[0].0 >= pair[1].0) {
            self.add_for_key("traffic", "curve", "its times must rise");
        }
        let mut multiples = traffic.curve.iter().map(|(_, multiple)| multiple);
        if multiples.any(|multiple| !(0.0..=MAX_CURVE_MULTIPLE).contains(multiple)) {
            let reason = format!("multiples must be 0 to {MAX_CURVE_MULTIPLE}");
            self.add_for_key("traffic", "curve", reason);
        }
    }

    fn check_names_and_shares<T: Shared>(&mut self, table: &str, entries: &[Spanned<T>]) {
        let offset = entries.first().map_or(0, |entry| entry.span().start);
        let shares: f64 = entries.iter().map(|entry| entry.get_ref().share()).sum();
        let any_negative = entries.iter().any(|entry| entry.get_ref().share() < 0.0);
        if any_negative || shares.is_nan() || shares <= 0.0 {
            let reason = "shares must not be below 0, and their sum over it";
            self.add(offset, &format!("{table}.share"), reason);
        }
        for (index, entry) in entries.iter().enumerate() {
            let name = entry.get_ref().name();
            let is_duplicate = entries[..index]
                .iter()
                .any(|other| other.get_ref().name() == name);
            let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
            if is_duplicate || name.is_empty() || !name.bytes().all(is_valid) {
                let reason =
                    format!("'{name}' is there twice, or no name of letters, digits, - and _");
                self.add(entry.span().start, &format!("{table}.name"), reason);
            }
        }
    }

    fn check_machine(&mut self, machine: &Spanned<Machine>) {
        let (offset, machine) = (machine.span().start, machine.get_ref());
        let is_speed_valid = machine.speed[0] > 0.0 && machine.speed[0] <= machine.speed[1];
        if machine.cores == 0 || !is_speed_valid {
            let reason = "needs a core, and speeds over 0 from the least to the greatest";
            self.add(offset, "machines.speed", reason);
        }
    }

    fn check_class(&mut self, class: &Spanned<RequestClass>) {
        let (offset, class) = (class.span().start, class.get_ref());
        if class.latency_objective > class.deadline || class.deadline.0 == 0 {
            let reason = "lies before the promised time";
            self.add(offset, "use_cases.hard_stop", reason);
        }
        let uses_key = class.idempotency == Idempotency::IdempotencyKey;
        if uses_key && class.idempotency_window.0 == 0 {
            let reason = "a label that is forgotten at once labels nothing";
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
            let reason = "weights must not be below 0, and their sum over it";
            self.add_for_key("service", "whole", reason);
        }
    }
}
