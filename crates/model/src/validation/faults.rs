//! Checks of the faults of a scenario: the fields of each fault, and conflicts between faults.

use super::Validator;
use crate::random::RandomSource;
use crate::scenario::{Fault, FaultKind, Scenario, Span};
use crate::server::ServerSpec;
use crate::timeline::{self, ServerFault, Timeline, TimelineEvent};
use crate::{SECOND, fleet};

impl Validator<'_> {
    pub(super) fn check_faults(&mut self, scenario: &Scenario) {
        let specs = fleet::specs(scenario, scenario.seed);
        for fault in &scenario.faults {
            let (offset, fault) = (fault.span().start, fault.get_ref());
            self.check_fault(scenario, offset, fault);
            if fault.kind.affects_servers() {
                self.check_matching_servers(scenario, offset, fault, &specs);
            }
        }
        if self.errors.is_empty() {
            let timeline = Timeline::new(scenario, &specs, scenario.seed);
            self.check_overlapping_server_faults(scenario, &timeline);
            if self.errors.is_empty() {
                self.check_balancers_running(&timeline);
            }
        }
    }

    /// Checks the fields of one fault at a byte offset of the file.
    pub(super) fn check_fault(&mut self, scenario: &Scenario, offset: usize, fault: &Fault) {
        self.check_time(scenario, offset, fault);
        self.check_parameters(offset, fault);
        self.check_server_selection(scenario, offset, fault);
        self.check_balancer_selection(scenario, offset, fault);
    }

    fn check_time(&mut self, scenario: &Scenario, offset: usize, fault: &Fault) {
        if fault.at >= *scenario.length.get_ref() {
            self.add(
                offset,
                "faults.at",
                "must be before the end of the scenario",
            );
        }
        if fault.duration == Span(0) && !fault.kind.is_instant() {
            self.add(
                offset,
                "faults.for",
                format!("must be above 0 for '{}'", fault.kind),
            );
        }
    }

    fn check_parameters(&mut self, offset: usize, fault: &Fault) {
        let kind = fault.kind;
        match (kind.factor_range(), fault.factor) {
            (None, Some(_)) => {
                self.add(
                    offset,
                    "faults.factor",
                    format!("'{kind}' accepts no factor"),
                );
            }
            (Some(range), Some(factor)) if !(range.min..=range.max).contains(&factor) => {
                let reason = format!("must be {} to {}, but is {factor}", range.min, range.max);
                self.add(offset, "faults.factor", reason);
            }
            _ => {}
        }
        let has_by = fault.by.is_some_and(|by| by.0 > 0);
        if kind.requires_by() && !has_by {
            let reason = format!("'{kind}' requires a duration above 0");
            self.add(offset, "faults.by", reason);
        } else if !kind.requires_by() && has_by {
            self.add(offset, "faults.by", format!("'{kind}' accepts no duration"));
        }
        if let Some(part) = fault.part
            && !(part > 0.0 && part <= 1.0)
        {
            let reason = format!("must be above 0 and at most 1, but is {part}");
            self.add(offset, "faults.part", reason);
        }
    }

    fn check_server_selection(&mut self, scenario: &Scenario, offset: usize, fault: &Fault) {
        if let Some(zone) = &fault.zone
            && !scenario.fleet.zones.contains(zone)
        {
            let reason = format!("unknown zone '{zone}': expected one of the scenario's zones");
            self.add(offset, "faults.zone", reason);
        }
        let is_machine = |name: &String| {
            let mut machines = scenario.machines.iter();
            machines.any(|machine| machine.get_ref().name == *name)
        };
        if let Some(machine) = &fault.machine
            && !is_machine(machine)
        {
            let reason = format!(
                "unknown machine type '{machine}': expected one of the scenario's machine types"
            );
            self.add(offset, "faults.machine", reason);
        }
        let selects_servers = fault.servers.is_some()
            || fault.zone.is_some()
            || fault.machine.is_some()
            || fault.part.is_some();
        if !fault.kind.affects_servers() && selects_servers {
            let reason = format!("'{}' does not select servers", fault.kind);
            self.add(offset, "faults.servers", reason);
        }
    }

    fn check_balancer_selection(&mut self, scenario: &Scenario, offset: usize, fault: &Fault) {
        let kind = fault.kind;
        let selections = [
            ("faults.balancers", &fault.balancers),
            ("faults.against", &fault.against),
        ];
        for (field, numbers) in selections {
            let mut numbers = numbers.iter().flatten();
            let count = *scenario.balancers.get_ref();
            let unknown = numbers.find(|number| **number >= count);
            if let Some(unknown) = unknown {
                let reason = format!("unknown balancer {unknown}: expected a number below {count}");
                self.add(offset, field, reason);
            }
        }
        if !kind.affects_links() && (fault.against.is_some() || fault.one_way) {
            let reason = format!("'{kind}' does not affect links between balancers");
            self.add(offset, "faults.against", reason);
        }
        if !kind.affects_balancers() && !kind.affects_links() && fault.balancers.is_some() {
            let reason = format!("'{kind}' does not affect balancers");
            self.add(offset, "faults.balancers", reason);
        }
    }

    fn check_matching_servers(
        &mut self,
        scenario: &Scenario,
        offset: usize,
        fault: &Fault,
        specs: &[ServerSpec],
    ) {
        let mut numbers = fault.servers.iter().flatten();
        if let Some(unknown) = numbers.find(|server| **server >= specs.len()) {
            let count = specs.len();
            let reason = format!("unknown server {unknown}: expected a number below {count}");
            return self.add(offset, "faults.servers", reason);
        }
        // The seed does not matter, since only the number of the selected servers is checked.
        let mut random = RandomSource::new(0);
        if timeline::select_servers(scenario, fault, specs, &mut random).is_empty() {
            let reason = format!("'{}' selects no server", fault.kind);
            self.add(offset, "faults", reason);
        }
    }

    /// Adds an error for the first fault that overlaps another fault of its kind on one server, or
    /// that affects a server that is stopped or removed.
    fn check_overlapping_server_faults(&mut self, scenario: &Scenario, timeline: &Timeline) {
        let faults = timeline.server_faults();
        for (index, fault) in faults.iter().enumerate() {
            let mut earlier = faults[..index].iter();
            let Some(other) = earlier.find(|other| conflicts(other, fault)) else {
                continue;
            };
            let reason = format!(
                "'{}' and '{}' conflict on server {}",
                other.kind, fault.kind, fault.server
            );
            let offset = scenario.faults[fault.index].span().start;
            return self.add(offset, "faults", reason);
        }
    }

    /// Adds an error for the first balancer that is killed or stopped while it does not run.
    fn check_balancers_running(&mut self, timeline: &Timeline) {
        let mut stopped: Vec<usize> = Vec::new();
        for scheduled in &timeline.events {
            match scheduled.event {
                TimelineEvent::BalancerKilled(number) | TimelineEvent::BalancerStopped(number) => {
                    if stopped.contains(&number) {
                        let seconds = scheduled.at / SECOND;
                        let reason = format!(
                            "balancer {number} is killed or stopped at {seconds} s but does not run"
                        );
                        return self.add_for_key("faults", "balancers", reason);
                    }
                    stopped.push(number);
                }
                TimelineEvent::BalancerStarted(number)
                | TimelineEvent::BalancerMoved { number, .. } => {
                    stopped.retain(|other| *other != number);
                }
                _ => {}
            }
        }
    }
}

/// Whether two faults cannot both be applied to the same server.
fn conflicts(earlier: &ServerFault, later: &ServerFault) -> bool {
    let both_remove = later.kind.removes_server() && earlier.kind.removes_server();
    let is_overlap = (earlier.kind == later.kind || both_remove)
        && earlier.from < later.to
        && later.from < earlier.to;
    // A drained server is removed, and its replacement has a new number.
    let is_removed = earlier.kind == FaultKind::Drain && earlier.to <= later.from;
    earlier.server == later.server && (is_overlap || is_removed)
}
