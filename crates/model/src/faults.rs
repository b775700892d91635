//! Faults as a timeline: what holds for each server, for traffic and for discovery at a moment, and what happens to
//! servers and balancers when.

use crate::Micros;
use crate::chance::Chance;
use crate::day::{Day, Fault, Kind};
use crate::server::{Condition, Spec};
use crate::ways::{Trouble, Ways};

/// How often a hurt balancer is stopped.
const HURT_EVERY: Micros = 100_000;

/// One server under one fault.
#[derive(Clone, Debug)]
pub struct Hit {
    pub kind: Kind,
    pub server: usize,
    pub from: Micros,
    pub to: Micros,
    pub factor: f64,
    pub by: Micros,
    /// Its place in the day's list of faults.
    pub fault: usize,
}

/// What happens to a server or a balancer at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// Discovery begins to tell that it drains.
    Drains(usize),
    /// It drained to the end: it is gone, and another comes in its place.
    Leaves(usize),
    Dies(usize),
    /// A dead one starts again, cold.
    Returns(usize),
    /// It starts anew at once, cold.
    StartsAnew(usize),
    /// So many further ones come.
    Grow(usize),
    BalancerKilled(usize),
    BalancerStopped(usize),
    BalancerStarts(usize),
    /// It starts at the fleet address that the other had at first.
    BalancerTakesPlace(usize, usize),
    /// It reads a new configuration.
    BalancerReloads(usize),
    /// It is not run until it goes on.
    BalancerPauses(usize),
    BalancerGoesOn(usize),
}

impl What {
    /// The balancer that it happens to, if it is one.
    pub fn balancer(self) -> Option<usize> {
        match self {
            Self::BalancerKilled(number)
            | Self::BalancerStopped(number)
            | Self::BalancerStarts(number)
            | Self::BalancerTakesPlace(number, _)
            | Self::BalancerReloads(number)
            | Self::BalancerPauses(number)
            | Self::BalancerGoesOn(number) => Some(number),
            _ => None,
        }
    }
}

/// What discovery is like at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    Fine,
    Gone,
    /// It tells what was true so long ago.
    Stale(Micros),
}

#[derive(Clone)]
pub struct Timeline {
    hits: Vec<Hit>,
    /// Faults that hit no server: kind, from, to, factor, by.
    wide: Vec<(Kind, Micros, Micros, f64, Micros)>,
    /// What lies on the ways between balancers.
    pub ways: Ways,
    /// In order of time.
    pub events: Vec<(Micros, What)>,
}

impl Kind {
    /// Whether it hits servers that the fault names.
    pub fn hits_servers(self) -> bool {
        self != Self::Grow && !self.is_wide() && !self.hits_balancers() && !self.hits_ways()
    }

    /// Whether it holds for all alike while it lasts.
    pub fn is_wide(self) -> bool {
        matches!(
            self,
            Self::DiscoveryGone | Self::DiscoveryStale | Self::Burst
        ) || self.is_of_clients()
            || self.is_of_answers()
            || self.is_of_system()
            || self.is_of_lists()
    }

    /// Whether it is about how discovery answers.
    pub fn is_of_lists(self) -> bool {
        matches!(
            self,
            Self::WatchesSilent
                | Self::WatchesReset
                | Self::DiscoverySlow
                | Self::ListsCut
                | Self::ListsInPieces
                | Self::ListsLate
                | Self::ListsReset
                | Self::ListsRefused
                | Self::ListsWhole
                | Self::ListsStrange
        )
    }

    /// Whether it is about what clients do.
    pub fn is_of_clients(self) -> bool {
        matches!(
            self,
            Self::ClientsInPieces | Self::ClientsStop | Self::ClientsPipeline
        )
    }

    /// Whether it is about how servers' answers and connections go.
    pub fn is_of_answers(self) -> bool {
        matches!(
            self,
            Self::AnswersInPieces | Self::AnswersUnended | Self::AnswersTwice | Self::IdleClosed
        )
    }

    /// Whether it is about the system that balancers run on.
    pub fn is_of_system(self) -> bool {
        matches!(
            self,
            Self::SystemFails
                | Self::CallsShort
                | Self::ConnectionsBreak
                | Self::HeldUp
                | Self::ClockSteps
        )
    }

    /// Whether it lies on the ways between balancers.
    pub fn hits_ways(self) -> bool {
        matches!(
            self,
            Self::LinkCut
                | Self::LinkLossy
                | Self::LinkSlow
                | Self::LinkRepeats
                | Self::LinkSpoils
                | Self::LinkFlood
        )
    }

    pub fn hits_balancers(self) -> bool {
        matches!(
            self,
            Self::BalancerKilled
                | Self::BalancerStopped
                | Self::BalancerStalled
                | Self::BalancerHurt
                | Self::BalancerSwapped
                | Self::BalancerReloaded
        )
    }

    /// Whether the server is away from the list or dead meanwhile.
    pub fn takes_away(self) -> bool {
        matches!(self, Self::Drain | Self::Crash)
    }

    /// The factor used where none is given, and the least and greatest that make sense.
    pub fn factor(self) -> Option<(f64, f64, f64)> {
        match self {
            Self::Neighbour => Some((0.5, 0.0, 0.99)),
            Self::Slow => Some((3.0, 1.0, 1000.0)),
            Self::Errors | Self::Spoilt | Self::Reset | Self::Lost => Some((1.0, 0.0, 1.0)),
            Self::ClientsInPieces | Self::ClientsPipeline => Some((0.3, 0.0, 1.0)),
            Self::AnswersInPieces | Self::AnswersUnended | Self::AnswersTwice => {
                Some((0.3, 0.0, 1.0))
            }
            Self::ClientsStop => Some((2.0, 0.0, 20.0)),
            Self::DiscoverySlow => Some((3.0, 1.0, 100.0)),
            Self::ListsCut
            | Self::ListsInPieces
            | Self::ListsLate
            | Self::ListsReset
            | Self::ListsRefused
            | Self::ListsWhole
            | Self::ListsStrange => Some((0.3, 0.0, 1.0)),
            Self::SystemFails | Self::CallsShort => Some((0.05, 0.0, 0.5)),
            Self::ConnectionsBreak | Self::HeldUp => Some((0.003, 0.0, 0.2)),
            Self::ClockSteps => Some((1.0, -1.0, 1.0)),
            Self::LinkLossy | Self::LinkRepeats | Self::LinkSpoils => Some((0.3, 0.0, 1.0)),
            Self::LinkFlood => Some((10_000.0, 1.0, 50_000.0)),
            Self::BalancerHurt => Some((0.5, 0.0, 0.9)),
            Self::Burst => Some((2.0, 0.0, 100.0)),
            Self::Grow => Some((1.0, 0.0, 100.0)),
            _ => None,
        }
    }

    pub fn takes_by(self) -> bool {
        matches!(
            self,
            Self::ReportsLate
                | Self::DiscoveryStale
                | Self::LinkSlow
                | Self::IdleClosed
                | Self::HeldUp
                | Self::ClockSteps
                | Self::ListsInPieces
                | Self::ListsLate
        )
    }
}

/// The servers that a fault names, as numbers in the fleet that the day begins with.
pub fn named(day: &Day, fault: &Fault, specs: &[Spec], chance: &mut Chance) -> Vec<usize> {
    let zone = fault
        .zone
        .as_ref()
        .map(|zone| day.fleet.zones.iter().position(|name| name == zone));
    let machine = fault.machine.as_ref().map(|machine| {
        day.machines
            .iter()
            .position(|m| m.get_ref().name == *machine)
    });
    let fits = |spec: &&Spec| {
        zone.is_none_or(|zone| zone == Some(spec.zone))
            && machine.is_none_or(|machine| machine == Some(spec.machine))
            && fault
                .servers
                .as_ref()
                .is_none_or(|servers| servers.contains(&spec.number))
    };
    let all: Vec<usize> = specs.iter().filter(fits).map(|spec| spec.number).collect();
    match fault.part {
        None => all,
        Some(part) => {
            let count = (part * all.len() as f64).ceil() as usize;
            chance
                .some_of(count, all.len())
                .into_iter()
                .map(|place| all[place])
                .collect()
        }
    }
}

impl Timeline {
    pub fn new(day: &Day, specs: &[Spec], seed: u64) -> Self {
        let mut line = Self {
            hits: Vec::new(),
            wide: Vec::new(),
            ways: Ways::default(),
            events: Vec::new(),
        };
        for (place, fault) in day.faults.iter().enumerate() {
            line.add(day, specs, seed, place, fault.get_ref());
        }
        line
    }

    /// Adds a fault; `place` is its number, from which what it draws follows.
    pub fn add(&mut self, day: &Day, specs: &[Spec], seed: u64, place: usize, fault: &Fault) {
        let mut chance = Chance::split(seed, "fault", place as u64);
        let factor = fault
            .factor
            .or(fault.kind.factor().map(|usual| usual.0))
            .unwrap_or(0.0);
        let (from, lasts, by) = (fault.at.0, fault.lasts.0, fault.by.unwrap_or_default().0);
        if fault.kind.hits_servers() {
            let named = named(day, fault, specs, &mut chance);
            let each = fault.over.0 / named.len().max(1) as u64;
            for (turn, server) in named.into_iter().enumerate() {
                let from = from + turn as u64 * each;
                let (kind, to) = (fault.kind, from + lasts);
                self.hits.push(Hit {
                    kind,
                    server,
                    from,
                    to,
                    factor,
                    by,
                    fault: place,
                });
                self.server_events(kind, server, from, to);
            }
        } else if fault.kind.hits_balancers() {
            let named = fault.balancers.clone().unwrap_or_else(|| vec![0]);
            let each = fault.over.0 / named.len().max(1) as u64;
            for (turn, &balancer) in named.iter().enumerate() {
                let from = from + turn as u64 * each;
                let to = from + lasts;
                if fault.kind == Kind::BalancerReloaded {
                    self.events.push((from, What::BalancerReloads(balancer)));
                    continue;
                }
                let (goes, comes) = match fault.kind {
                    Kind::BalancerStopped => (
                        What::BalancerStopped(balancer),
                        What::BalancerStarts(balancer),
                    ),
                    Kind::BalancerStalled | Kind::BalancerHurt => (
                        What::BalancerPauses(balancer),
                        What::BalancerGoesOn(balancer),
                    ),
                    Kind::BalancerSwapped => {
                        let next = named[(turn + 1) % named.len()];
                        (
                            What::BalancerKilled(balancer),
                            What::BalancerTakesPlace(balancer, next),
                        )
                    }
                    _ => (
                        What::BalancerKilled(balancer),
                        What::BalancerStarts(balancer),
                    ),
                };
                let hurt = fault.kind == Kind::BalancerHurt;
                let (every, stopped) = match hurt {
                    true => (HURT_EVERY, (HURT_EVERY as f64 * factor) as Micros),
                    false => (lasts.max(1), lasts),
                };
                for at in (from..to).step_by(every as usize) {
                    self.events.push((at, goes));
                    self.events.push(((at + stopped).min(to), comes));
                }
            }
        } else if fault.kind.hits_ways() {
            let side = fault.balancers.clone().unwrap_or_else(|| vec![0]);
            let (kind, to, against, one_way) = (
                fault.kind,
                from + lasts,
                fault.against.clone(),
                fault.one_way,
            );
            self.ways.troubles.push(Trouble {
                kind,
                from,
                to,
                side,
                against,
                one_way,
                factor,
                by,
            });
        } else if fault.kind == Kind::Grow {
            let count = (factor * specs.len() as f64).ceil() as usize;
            self.events.push((from, What::Grow(count)));
        } else {
            self.wide.push((fault.kind, from, from + lasts, factor, by));
        }
        self.events.sort_by_key(|(at, _)| *at);
    }

    fn server_events(&mut self, kind: Kind, server: usize, from: Micros, to: Micros) {
        let events: &[(Micros, What)] = match kind {
            Kind::Drain => &[(from, What::Drains(server)), (to, What::Leaves(server))],
            Kind::Crash => &[(from, What::Dies(server)), (to, What::Returns(server))],
            Kind::Cold => &[(from, What::StartsAnew(server))],
            _ => &[],
        };
        self.events.extend(events);
    }

    pub fn hits(&self) -> &[Hit] {
        &self.hits
    }

    /// The next moment at which some server's condition changes.
    pub fn next_edge(&self, now: Micros) -> Option<Micros> {
        self.hits
            .iter()
            .flat_map(|hit| [hit.from, hit.to])
            .filter(|edge| *edge > now)
            .min()
    }

    /// What faults do to a server at that moment. Overlapping ones add up.
    pub fn condition(&self, server: usize, now: Micros) -> Condition {
        let mut condition = Condition::default();
        for hit in self
            .hits
            .iter()
            .filter(|hit| hit.server == server && hit.from <= now && now < hit.to)
        {
            match hit.kind {
                Kind::Freeze => condition.frozen = true,
                Kind::Silent => condition.silent = true,
                Kind::Neighbour => condition.rate *= 1.0 - hit.factor,
                Kind::Slow => condition.rate /= hit.factor,
                Kind::Lost => condition.lost = condition.lost.max(hit.factor),
                Kind::Errors => condition.errors = condition.errors.max(hit.factor),
                Kind::Spoilt => condition.spoilt = condition.spoilt.max(hit.factor),
                Kind::Reset => condition.reset = condition.reset.max(hit.factor),
                Kind::ReportsLate => condition.reports_late = condition.reports_late.max(hit.by),
                Kind::ReportsAbsent => condition.reports_absent = true,
                _ => {}
            }
        }
        condition
    }

    fn wide_at(&self, kind: Kind, now: Micros) -> impl Iterator<Item = (f64, Micros)> {
        let here = move |at: &&(Kind, Micros, Micros, f64, Micros)| {
            at.0 == kind && at.1 <= now && now < at.2
        };
        self.wide.iter().filter(here).map(|at| (at.3, at.4))
    }

    /// What a fault that holds for all is like at a moment: its factor and span.
    pub fn wide(&self, kind: Kind, now: Micros) -> Option<(f64, Micros)> {
        self.wide_at(kind, now).next()
    }

    /// Whether a fault of that kind began between two moments.
    pub fn began(&self, kind: Kind, from: Micros, to: Micros) -> Option<Micros> {
        self.wide
            .iter()
            .filter(|at| at.0 == kind)
            .map(|at| at.1)
            .find(|at| (from..to).contains(at))
    }

    /// When the next fault of that kind begins, from a moment on.
    pub fn begins_next(&self, kind: Kind, from: Micros) -> Option<Micros> {
        self.wide
            .iter()
            .filter(|at| at.0 == kind && at.1 >= from)
            .map(|at| at.1)
            .min()
    }

    /// The multiple of the usual traffic that bursts make.
    pub fn burst(&self, now: Micros) -> f64 {
        self.wide_at(Kind::Burst, now)
            .map(|(factor, _)| factor)
            .product()
    }

    /// The moments at which bursts begin.
    pub fn edges_of_bursts(&self) -> impl Iterator<Item = Micros> {
        self.wide
            .iter()
            .filter(|at| at.0 == Kind::Burst)
            .map(|at| at.1)
    }

    pub fn telling(&self, now: Micros) -> Telling {
        if self.wide_at(Kind::DiscoveryGone, now).next().is_some() {
            return Telling::Gone;
        }
        self.wide_at(Kind::DiscoveryStale, now)
            .map(|(_, by)| by)
            .max()
            .map_or(Telling::Fine, Telling::Stale)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{SECOND, check, fleet};

    fn line(faults: &str) -> (Vec<Spec>, Timeline) {
        let day = check::read(&format!("name = 'd'\nlength = '30s'\n{faults}"), "d.toml").unwrap();
        let specs = fleet::specs(&day, 1);
        let line = Timeline::new(&day, &specs, 1);
        (specs, line)
    }

    #[test]
    fn overlapping_faults_add_up_and_end() {
        let (_, line) = line(
            "[[faults]]\nkind = 'slow'\nat = '1s'\nfor = '4s'\nservers = [2]\nfactor = 2.0\n\
             [[faults]]\nkind = 'neighbour'\nat = '3s'\nfor = '4s'\nservers = [2]\nfactor = 0.5\n\
             [[faults]]\nkind = 'burst'\nat = '2s'\nfor = '1s'\nfactor = 3.0",
        );
        let rate = |now| line.condition(2, now * SECOND).rate;
        assert_eq!(
            (rate(0), rate(1), rate(3), rate(5), rate(7)),
            (1.0, 0.5, 0.25, 0.5, 1.0)
        );
        assert_eq!(line.condition(1, 3 * SECOND), Condition::default());
        assert_eq!((line.burst(0), line.burst(2 * SECOND)), (1.0, 3.0));
        let edges = std::iter::successors(line.next_edge(0), |edge| line.next_edge(*edge));
        assert_eq!(
            edges.collect::<Vec<_>>(),
            [1, 3, 5, 7].map(|at| at * SECOND)
        );
    }

    #[test]
    fn a_rolling_drain_takes_servers_one_after_the_other() {
        let (specs, line) =
            line("[[faults]]\nkind = 'drain'\nat = '2s'\nfor = '1s'\nover = '6s'\nzone = 'a'");
        let zone: Vec<_> = specs
            .iter()
            .filter(|spec| spec.zone == 0)
            .map(|spec| spec.number)
            .collect();
        assert_eq!(zone.len(), 6);
        for (turn, server) in zone.into_iter().enumerate() {
            let at = (2 + turn as u64) * SECOND;
            assert!(line.events.contains(&(at, What::Drains(server))));
            assert!(line.events.contains(&(at + SECOND, What::Leaves(server))));
        }
    }

    #[test]
    fn a_part_of_the_fleet_is_drawn_by_the_seed() {
        let (_, line) = line("[[faults]]\nkind = 'silent'\nat = '2s'\nfor = '1s'\npart = 0.25");
        assert_eq!(line.hits().len(), 3);
    }
}
