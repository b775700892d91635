//! Faults of a fleet drawn from a seed.

use pinefront_model::random::RandomSource;
use pinefront_model::scenario::{Fault, FaultKind, Scenario, Span};
use pinefront_model::{Micros, SECOND};

/// The time without faults at the start, for all balancers to know each other.
const START_TIME: Micros = 4 * SECOND;
/// The time without faults at the end, for all views to agree again.
const END_TIME: Micros = 8 * SECOND;
const MAX_FAULTS: usize = 4;
const MIN_FAULT_DURATION_US: Micros = 200_000;

const KINDS: [FaultKind; 9] = [
    FaultKind::LinkCut,
    FaultKind::LinkCut,
    FaultKind::LinkLossy,
    FaultKind::LinkSlow,
    FaultKind::LinkRepeats,
    FaultKind::LinkCorrupts,
    FaultKind::BalancerStalled,
    FaultKind::BalancerKilled,
    FaultKind::BalancerHurt,
];

/// Replaces the faults of a scenario by drawn ones. No balancer is hit by two faults that end or
/// pause its process.
pub fn draw(scenario: &mut Scenario, seed: u64) {
    let mut random = RandomSource::split(seed, "fleet faults", 0);
    let balancers = *scenario.balancers.get_ref();
    let length = scenario.length.get_ref().0;
    let available = length.saturating_sub(START_TIME + END_TIME).max(SECOND);
    scenario.faults.clear();
    let mut hit = Vec::new();
    for _ in 0..=random.below(MAX_FAULTS) {
        let kind = KINDS[random.below(KINDS.len())];
        let at = START_TIME + random.duration_below(available * 2 / 3);
        let duration = MIN_FAULT_DURATION_US + random.duration_below(available / 2);
        let duration = duration.min(START_TIME + available - at);
        let hits_links = kind.affects_links();
        let count = if hits_links {
            1 + random.below((balancers / 2).max(1))
        } else {
            1
        };
        let side = random.sample_indices(count, balancers);
        if !hits_links && hit.contains(&side[0]) {
            continue;
        }
        if !hits_links {
            hit.push(side[0]);
        }
        let one_way = kind == FaultKind::LinkCut && random.happens(0.4);
        let by =
            (kind == FaultKind::LinkSlow).then(|| Span(10_000 + random.duration_below(300_000)));
        let fault = Fault {
            one_way,
            by,
            ..balancer_fault(kind, at, duration, side)
        };
        scenario.faults.push(toml::Spanned::new(0..0, fault));
    }
}

/// A fault of balancers or the links between them, as a scenario file would name it.
fn balancer_fault(kind: FaultKind, at: Micros, duration: Micros, side: Vec<usize>) -> Fault {
    Fault {
        kind,
        at: Span(at),
        duration: Span(duration),
        servers: None,
        zone: None,
        machine: None,
        part: None,
        balancers: Some(side),
        against: None,
        one_way: false,
        factor: None,
        by: None,
        over: Span(0),
    }
}

/// Loses a fraction of all datagrams between balancers throughout a scenario.
pub fn lose(scenario: &mut Scenario, fraction: f64) {
    let all: Vec<usize> = (0..*scenario.balancers.get_ref()).collect();
    let lossy = balancer_fault(
        FaultKind::LinkLossy,
        0,
        scenario.length.get_ref().0,
        all.clone(),
    );
    let fault = Fault {
        against: Some(all),
        factor: Some(fraction),
        ..lossy
    };
    scenario.faults.push(toml::Spanned::new(0..0, fault));
}
