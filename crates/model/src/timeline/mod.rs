//! The faults of a scenario as a timeline: what holds for each server, for traffic and for
//! discovery at a point in time, and which events happen to servers and balancers.

use crate::Micros;
use crate::network::{LinkFault, NetworkLinks};
use crate::random::RandomSource;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::server::{Condition, ServerSpec};

/// Period in which a throttled balancer is suspended for a part.
const THROTTLE_PERIOD_US: Micros = 100_000;

/// One server under one fault, from `from` until before `to`.
#[derive(Clone, Debug)]
pub struct ServerFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The server's number.
    pub server: usize,
    /// When it starts.
    pub from: Micros,
    /// When it ends.
    pub to: Micros,
    /// Strength, in the unit of its kind.
    pub factor: f64,
    /// Duration parameter of its kind.
    pub by: Micros,
    /// Index in the scenario's list of faults.
    pub index: usize,
}

/// A fault that applies to all servers, clients or balancers alike.
#[derive(Clone, Debug)]
struct GlobalFault {
    kind: FaultKind,
    from: Micros,
    to: Micros,
    strength: Strength,
}

impl GlobalFault {
    fn is_active(&self, now: Micros) -> bool {
        self.from <= now && now < self.to
    }
}

/// Parameters of a fault that applies now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Strength {
    /// Strength, in the unit of the fault's kind.
    pub factor: f64,
    /// Duration parameter of the fault's kind.
    pub by: Micros,
}

/// Something that happens to a server or a balancer, identified by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimelineEvent {
    /// Discovery marks the server as draining.
    DrainStarted(usize),
    /// The drained server is removed, and another one replaces it.
    DrainFinished(usize),
    /// The server crashes.
    ServerCrashed(usize),
    /// A crashed server starts again, in slow start.
    ServerRestored(usize),
    /// The server restarts at once, in slow start.
    ServerRestarted(usize),
    /// This many further servers join.
    ServersAdded(usize),
    /// The balancer is killed.
    BalancerKilled(usize),
    /// The balancer is asked to stop.
    BalancerStopped(usize),
    /// The balancer is started again.
    BalancerStarted(usize),
    /// The balancer is started again at the cluster address that another one had at first.
    BalancerMoved {
        /// The balancer's number.
        number: usize,
        /// The balancer whose address it takes.
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
    /// The balancer that it happens to, if it is one.
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

/// An event and when it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledEvent {
    /// When it happens.
    pub at: Micros,
    /// What happens.
    pub event: TimelineEvent,
}

/// What discovery serves at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryState {
    /// The current list.
    Available,
    /// Nothing.
    Unreachable,
    /// The list as it was this long ago.
    Stale(Micros),
}

/// All faults of a scenario over time.
#[derive(Clone, Default)]
pub struct Timeline {
    server_faults: Vec<ServerFault>,
    global_faults: Vec<GlobalFault>,
    /// The links between balancers and their faults.
    pub links: NetworkLinks,
    /// Events in order of time.
    pub events: Vec<ScheduledEvent>,
}

/// Numbers of the servers that a fault selects among those that the scenario starts with.
pub fn matching_servers(
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
    let indices = random.some_of(count, all.len());
    indices.into_iter().map(|index| all[index]).collect()
}

impl Timeline {
    /// The timeline of a scenario whose servers are `specs`.
    pub fn new(scenario: &Scenario, specs: &[ServerSpec], seed: u64) -> Self {
        let mut timeline = Self::default();
        for (index, fault) in scenario.faults.iter().enumerate() {
            timeline.add(scenario, specs, seed, index, fault.get_ref());
        }
        timeline
    }

    /// Adds a fault. Its random draws depend on the seed and on `index` alone.
    pub fn add(
        &mut self,
        scenario: &Scenario,
        specs: &[ServerSpec],
        seed: u64,
        index: usize,
        fault: &Fault,
    ) {
        let default = fault.kind.factor().map(|range| range.default);
        let strength = Strength {
            factor: fault.factor.or(default).unwrap_or(0.0),
            by: fault.by.unwrap_or_default().0,
        };
        let from = fault.at.0;
        if fault.kind.hits_servers() {
            let mut random = RandomSource::split(seed, "fault", index as u64);
            let servers = matching_servers(scenario, fault, specs, &mut random);
            self.add_server_fault(fault, &servers, strength, index);
        } else if fault.kind.hits_balancers() {
            self.add_balancer_fault(fault, strength);
        } else if fault.kind.hits_links() {
            self.add_link_fault(fault, strength);
        } else if fault.kind == FaultKind::Grow {
            let count = (strength.factor * specs.len() as f64).ceil() as usize;
            self.schedule(from, TimelineEvent::ServersAdded(count));
        } else {
            self.global_faults.push(GlobalFault {
                kind: fault.kind,
                from,
                to: from + fault.duration.0,
                strength,
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
        strength: Strength,
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
                factor: strength.factor,
                by: strength.by,
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

    fn add_balancer_fault(&mut self, fault: &Fault, strength: Strength) {
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
            let [start, end] = start_and_end(fault.kind, number, next);
            let (period, active) = if fault.kind == FaultKind::BalancerHurt {
                let suspended = THROTTLE_PERIOD_US as f64 * strength.factor;
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

    fn add_link_fault(&mut self, fault: &Fault, strength: Strength) {
        self.links.faults.push(LinkFault {
            kind: fault.kind,
            from: fault.at.0,
            to: fault.at.0 + fault.duration.0,
            side: fault.balancers.clone().unwrap_or_else(|| vec![0]),
            against: fault.against.clone(),
            one_way: fault.one_way,
            factor: strength.factor,
            by: strength.by,
        });
    }

    /// All faults of single servers, in the order in which they were added.
    pub fn server_faults(&self) -> &[ServerFault] {
        &self.server_faults
    }

    /// The next time after `now` at which the condition of some server changes.
    pub fn next_condition_change(&self, now: Micros) -> Option<Micros> {
        self.server_faults
            .iter()
            .flat_map(|fault| [fault.from, fault.to])
            .filter(|change| *change > now)
            .min()
    }

    /// The combined effect of all faults on a server.
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

    fn active_global_faults(&self, kind: FaultKind, now: Micros) -> impl Iterator<Item = Strength> {
        self.global_faults
            .iter()
            .filter(move |fault| fault.kind == kind && fault.is_active(now))
            .map(|fault| fault.strength)
    }

    /// The strength of the first active fault of a kind that applies to all alike.
    pub fn global_fault(&self, kind: FaultKind, now: Micros) -> Option<Strength> {
        self.active_global_faults(kind, now).next()
    }

    fn starts_of(&self, kind: FaultKind) -> impl Iterator<Item = Micros> {
        self.global_faults
            .iter()
            .filter(move |fault| fault.kind == kind)
            .map(|fault| fault.from)
    }

    /// When a fault of that kind started, if one did from `from` until before `to`.
    pub fn started_between(&self, kind: FaultKind, from: Micros, to: Micros) -> Option<Micros> {
        self.starts_of(kind).find(|at| (from..to).contains(at))
    }

    /// When the next fault of that kind starts, at `from` or later.
    pub fn next_start(&self, kind: FaultKind, from: Micros) -> Option<Micros> {
        self.starts_of(kind).filter(|at| *at >= from).min()
    }

    /// The multiple of the usual traffic due to bursts.
    pub fn burst_factor(&self, now: Micros) -> f64 {
        self.active_global_faults(FaultKind::Burst, now)
            .map(|strength| strength.factor)
            .product()
    }

    /// The times at which bursts start.
    pub fn burst_starts(&self) -> impl Iterator<Item = Micros> {
        self.starts_of(FaultKind::Burst)
    }

    /// What discovery serves.
    pub fn discovery_state(&self, now: Micros) -> DiscoveryState {
        let unreachable = self.global_fault(FaultKind::DiscoveryUnreachable, now);
        if unreachable.is_some() {
            return DiscoveryState::Unreachable;
        }
        self.active_global_faults(FaultKind::DiscoveryStale, now)
            .map(|strength| strength.by)
            .max()
            .map_or(DiscoveryState::Available, DiscoveryState::Stale)
    }
}

/// The events at the start and the end of a fault of one balancer; `next` is the next balancer that
/// the fault names.
fn start_and_end(kind: FaultKind, number: usize, next: usize) -> [TimelineEvent; 2] {
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
