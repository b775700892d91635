//! The faults of a scenario as a timeline: their effect on each server, on traffic and on discovery
//! at a point in time, and the resulting events of servers and balancers.

use crate::Micros;
use crate::network::{LinkFault, NetworkLinks};
use crate::random::RandomSource;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::server::{Condition, ServerSpec};

/// Period of the repeated suspension of a throttled balancer, in microseconds.
const THROTTLE_PERIOD_US: Micros = 100_000;

/// A fault of one server. It is active from `from` (inclusive) to `to` (exclusive).
#[derive(Clone, Debug)]
pub struct ServerFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// Number of the server.
    pub server: usize,
    /// Start of the fault.
    pub from: Micros,
    /// End of the fault.
    pub to: Micros,
    /// Strength of the fault, whose meaning depends on the kind; see [`FaultKind`].
    pub factor: f64,
    /// Duration in microseconds whose meaning depends on the kind; see [`FaultKind`].
    pub by: Micros,
    /// Index of the fault in the scenario's list of faults.
    pub index: usize,
}

/// A fault that applies to all servers, clients or balancers.
#[derive(Clone, Debug)]
struct GlobalFault {
    kind: FaultKind,
    from: Micros,
    to: Micros,
    parameters: FaultParameters,
}

impl GlobalFault {
    fn is_active(&self, now: Micros) -> bool {
        self.from <= now && now < self.to
    }
}

/// The parameters of an active fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultParameters {
    /// Strength of the fault, whose meaning depends on the kind; see [`FaultKind`].
    pub factor: f64,
    /// Duration in microseconds whose meaning depends on the kind; see [`FaultKind`].
    pub by: Micros,
}

/// An event of a server or a balancer, which is identified by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimelineEvent {
    /// Discovery marks the server as draining.
    DrainStarted(usize),
    /// The drained server is removed, and a new server replaces it.
    DrainFinished(usize),
    /// The server crashes.
    ServerCrashed(usize),
    /// A crashed server starts again, in slow start.
    ServerRestored(usize),
    /// The server restarts immediately, in slow start.
    ServerRestarted(usize),
    /// The given number of new servers join.
    ServersAdded(usize),
    /// The balancer is killed.
    BalancerKilled(usize),
    /// The balancer receives a signal to shut down.
    BalancerStopped(usize),
    /// The balancer is started again.
    BalancerStarted(usize),
    /// The balancer is started again at the original cluster address of another balancer.
    BalancerMoved {
        /// Number of the balancer.
        number: usize,
        /// Number of the balancer whose original address it uses.
        address_of: usize,
    },
    /// The balancer reloads its configuration.
    BalancerReloaded(usize),
    /// The balancer is suspended.
    BalancerPaused(usize),
    /// The balancer is resumed.
    BalancerResumed(usize),
}

impl TimelineEvent {
    /// Returns the number of the balancer, if it is an event of a balancer.
    pub fn balancer(self) -> Option<usize> {
        match self {
            Self::BalancerKilled(number)
            | Self::BalancerStopped(number)
            | Self::BalancerStarted(number)
            | Self::BalancerMoved { number, .. }
            | Self::BalancerReloaded(number)
            | Self::BalancerPaused(number)
            | Self::BalancerResumed(number) => Some(number),
            _ => None,
        }
    }
}

/// An event and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledEvent {
    /// Time of the event.
    pub at: Micros,
    /// The event.
    pub event: TimelineEvent,
}

/// The availability of discovery at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryState {
    /// Discovery returns the current list.
    Available,
    /// Discovery is unreachable.
    Unreachable,
    /// Discovery returns the list of an earlier time, with its age in microseconds.
    Stale(Micros),
}

/// All faults of a scenario over time.
#[derive(Clone, Default)]
pub struct Timeline {
    server_faults: Vec<ServerFault>,
    global_faults: Vec<GlobalFault>,
    /// The links between balancers and their faults.
    pub links: NetworkLinks,
    /// Events in chronological order.
    pub events: Vec<ScheduledEvent>,
}

/// Returns the numbers of the servers that a fault selects among `specs`, the servers at the start
/// of the scenario.
pub fn select_servers(
    scenario: &Scenario,
    fault: &Fault,
    specs: &[ServerSpec],
    random: &mut RandomSource,
) -> Vec<usize> {
    let zone = fault.zone.as_ref().map(|zone| {
        let mut zones = scenario.fleet.zones.iter();
        zones.position(|name| name == zone)
    });
    let machine = fault.machine.as_ref().map(|machine| {
        let mut machines = scenario.machines.iter();
        machines.position(|entry| entry.get_ref().name == *machine)
    });
    let matches = |spec: &&ServerSpec| {
        let numbers = fault.servers.as_ref();
        zone.is_none_or(|zone| zone == Some(spec.zone))
            && machine.is_none_or(|machine| machine == Some(spec.machine))
            && numbers.is_none_or(|numbers| numbers.contains(&spec.number))
    };
    let all: Vec<usize> = specs
        .iter()
        .filter(matches)
        .map(|spec| spec.number)
        .collect();
    let Some(fraction) = fault.part else {
        return all;
    };
    let count = (fraction * all.len() as f64).ceil() as usize;
    let indices = random.sample_indices(count, all.len());
    indices.into_iter().map(|index| all[index]).collect()
}

impl Timeline {
    /// Creates the timeline of a scenario that starts with the servers `specs`.
    pub fn new(scenario: &Scenario, specs: &[ServerSpec], seed: u64) -> Self {
        let mut timeline = Self::default();
        for (index, fault) in scenario.faults.iter().enumerate() {
            timeline.add(scenario, specs, seed, index, fault.get_ref());
        }
        timeline
    }

    /// Adds a fault. Its random draws depend only on the seed and on `index`.
    pub fn add(
        &mut self,
        scenario: &Scenario,
        specs: &[ServerSpec],
        seed: u64,
        index: usize,
        fault: &Fault,
    ) {
        let default = fault.kind.factor_range().map(|range| range.default);
        let parameters = FaultParameters {
            factor: fault.factor.or(default).unwrap_or(0.0),
            by: fault.by.unwrap_or_default().0,
        };
        let from = fault.at.0;
        if fault.kind.affects_servers() {
            let mut random = RandomSource::split(seed, "fault", index as u64);
            let servers = select_servers(scenario, fault, specs, &mut random);
            self.add_server_fault(fault, &servers, parameters, index);
        } else if fault.kind.affects_balancers() {
            self.add_balancer_fault(fault, parameters);
        } else if fault.kind.affects_links() {
            self.add_link_fault(fault, parameters);
        } else if fault.kind == FaultKind::Grow {
            let count = (parameters.factor * specs.len() as f64).ceil() as usize;
            self.schedule(from, TimelineEvent::ServersAdded(count));
        } else {
            self.global_faults.push(GlobalFault {
                kind: fault.kind,
                from,
                to: from + fault.duration.0,
                parameters,
            });
        }
        self.events.sort_by_key(|scheduled| scheduled.at);
    }

    fn schedule(&mut self, at: Micros, event: TimelineEvent) {
        self.events.push(ScheduledEvent { at, event });
    }

    fn add_server_fault(
        &mut self,
        fault: &Fault,
        servers: &[usize],
        parameters: FaultParameters,
        index: usize,
    ) {
        let stagger = fault.over.0 / servers.len().max(1) as u64;
        for (position, &server) in servers.iter().enumerate() {
            let from = fault.at.0 + position as u64 * stagger;
            let server_fault = ServerFault {
                kind: fault.kind,
                server,
                from,
                to: from + fault.duration.0,
                factor: parameters.factor,
                by: parameters.by,
                index,
            };
            self.schedule_server_events(&server_fault);
            self.server_faults.push(server_fault);
        }
    }

    fn schedule_server_events(&mut self, fault: &ServerFault) {
        let server = fault.server;
        match fault.kind {
            FaultKind::Drain => {
                self.schedule(fault.from, TimelineEvent::DrainStarted(server));
                self.schedule(fault.to, TimelineEvent::DrainFinished(server));
            }
            FaultKind::Crash => {
                self.schedule(fault.from, TimelineEvent::ServerCrashed(server));
                self.schedule(fault.to, TimelineEvent::ServerRestored(server));
            }
            FaultKind::Cold => self.schedule(fault.from, TimelineEvent::ServerRestarted(server)),
            _ => {}
        }
    }

    fn add_balancer_fault(&mut self, fault: &Fault, parameters: FaultParameters) {
        let balancers = fault.balancers.clone().unwrap_or_else(|| vec![0]);
        let stagger = fault.over.0 / balancers.len().max(1) as u64;
        for (position, &number) in balancers.iter().enumerate() {
            let from = fault.at.0 + position as u64 * stagger;
            let to = from + fault.duration.0;
            if fault.kind == FaultKind::BalancerReloaded {
                self.schedule(from, TimelineEvent::BalancerReloaded(number));
                continue;
            }
            let next = balancers[(position + 1) % balancers.len()];
            let [start, end] = start_and_end_events(fault.kind, number, next);
            let (period, active) = if fault.kind == FaultKind::BalancerHurt {
                let suspended = THROTTLE_PERIOD_US as f64 * parameters.factor;
                (THROTTLE_PERIOD_US, suspended as Micros)
            } else {
                (fault.duration.0.max(1), fault.duration.0)
            };
            for at in (from..to).step_by(period as usize) {
                self.schedule(at, start);
                self.schedule((at + active).min(to), end);
            }
        }
    }

    fn add_link_fault(&mut self, fault: &Fault, parameters: FaultParameters) {
        self.links.faults.push(LinkFault {
            kind: fault.kind,
            from: fault.at.0,
            to: fault.at.0 + fault.duration.0,
            balancers: fault.balancers.clone().unwrap_or_else(|| vec![0]),
            against: fault.against.clone(),
            one_way: fault.one_way,
            factor: parameters.factor,
            by: parameters.by,
        });
    }

    /// Returns the faults of individual servers, in the order in which they were added.
    pub fn server_faults(&self) -> &[ServerFault] {
        &self.server_faults
    }

    /// Returns the next time after `now` at which the condition of any server changes.
    pub fn next_condition_change(&self, now: Micros) -> Option<Micros> {
        self.server_faults
            .iter()
            .flat_map(|fault| [fault.from, fault.to])
            .filter(|change| *change > now)
            .min()
    }

    /// Returns the combined effect of all active faults on a server.
    pub fn condition(&self, server: usize, now: Micros) -> Condition {
        let mut condition = Condition::default();
        let is_active =
            |fault: &&ServerFault| fault.server == server && fault.from <= now && now < fault.to;
        for fault in self.server_faults.iter().filter(is_active) {
            match fault.kind {
                FaultKind::Freeze => condition.frozen = true,
                FaultKind::Silent => condition.silent = true,
                FaultKind::Neighbour => condition.rate *= 1.0 - fault.factor,
                FaultKind::Slow => condition.rate /= fault.factor,
                FaultKind::Lost => condition.lost = condition.lost.max(fault.factor),
                FaultKind::Errors => condition.errors = condition.errors.max(fault.factor),
                FaultKind::Corrupted => {
                    condition.corrupted = condition.corrupted.max(fault.factor);
                }
                FaultKind::Reset => condition.reset = condition.reset.max(fault.factor),
                FaultKind::ReportsLate => {
                    condition.report_delay = condition.report_delay.max(fault.by);
                }
                FaultKind::ReportsAbsent => condition.reports_absent = true,
                _ => {}
            }
        }
        condition
    }

    fn active_global_faults(
        &self,
        kind: FaultKind,
        now: Micros,
    ) -> impl Iterator<Item = FaultParameters> {
        self.global_faults
            .iter()
            .filter(move |fault| fault.kind == kind && fault.is_active(now))
            .map(|fault| fault.parameters)
    }

    /// Returns the parameters of the first active global fault of a kind.
    pub fn active_global_fault(&self, kind: FaultKind, now: Micros) -> Option<FaultParameters> {
        self.active_global_faults(kind, now).next()
    }

    fn start_times(&self, kind: FaultKind) -> impl Iterator<Item = Micros> {
        self.global_faults
            .iter()
            .filter(move |fault| fault.kind == kind)
            .map(|fault| fault.from)
    }

    /// Returns the start of a global fault of a kind that starts from `from` (inclusive) to `to`
    /// (exclusive), if there is one.
    pub fn started_between(&self, kind: FaultKind, from: Micros, to: Micros) -> Option<Micros> {
        self.start_times(kind).find(|at| (from..to).contains(at))
    }

    /// Returns the start of the first global fault of a kind that starts at `from` or later.
    pub fn next_start(&self, kind: FaultKind, from: Micros) -> Option<Micros> {
        self.start_times(kind).filter(|at| *at >= from).min()
    }

    /// Returns the factor by which active bursts multiply the usual request rate.
    pub fn burst_factor(&self, now: Micros) -> f64 {
        self.active_global_faults(FaultKind::Burst, now)
            .map(|parameters| parameters.factor)
            .product()
    }

    /// Returns the times at which bursts start.
    pub fn burst_starts(&self) -> impl Iterator<Item = Micros> {
        self.start_times(FaultKind::Burst)
    }

    /// Returns the availability of discovery.
    pub fn discovery_state(&self, now: Micros) -> DiscoveryState {
        let unreachable = self.active_global_fault(FaultKind::DiscoveryUnreachable, now);
        if unreachable.is_some() {
            return DiscoveryState::Unreachable;
        }
        self.active_global_faults(FaultKind::DiscoveryStale, now)
            .map(|parameters| parameters.by)
            .max()
            .map_or(DiscoveryState::Available, DiscoveryState::Stale)
    }
}

/// Returns the events at the start and the end of a fault of one balancer. `next` is the number of
/// the next balancer in the list of the fault.
fn start_and_end_events(kind: FaultKind, number: usize, next: usize) -> [TimelineEvent; 2] {
    use TimelineEvent::{
        BalancerKilled, BalancerMoved, BalancerPaused, BalancerResumed, BalancerStarted,
        BalancerStopped,
    };
    match kind {
        FaultKind::BalancerStopped => [BalancerStopped(number), BalancerStarted(number)],
        FaultKind::BalancerStalled | FaultKind::BalancerHurt => {
            [BalancerPaused(number), BalancerResumed(number)]
        }
        FaultKind::BalancerSwapped => {
            let moved = BalancerMoved {
                number,
                address_of: next,
            };
            [BalancerKilled(number), moved]
        }
        _ => [BalancerKilled(number), BalancerStarted(number)],
    }
}

#[cfg(test)]
mod tests;
