//! Faults of a fleet that are drawn from a seed.

use pinefront_model::random::RandomSource;
use pinefront_model::scenario::{Fault, FaultKind, Scenario, Span};
use pinefront_model::{Micros, SECOND};

/// Time without faults at the start, in which all balancers join the cluster, in µs.
const FAULT_FREE_START_US: Micros = 4 * SECOND;
/// Time without faults at the end, in which all views become equal again, in µs.
const FAULT_FREE_END_US: Micros = 8 * SECOND;
/// The largest number of drawn faults.
const MAX_FAULTS: usize = 4;
/// The shortest duration of a fault, in µs.
const MIN_FAULT_DURATION_US: Micros = 200_000;

/// The kinds that are drawn; a repeated kind is drawn more often.
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

/// Replaces the faults of a scenario by drawn ones. At most one of the drawn faults affects the
/// process of any one balancer.
pub fn draw(scenario: &mut Scenario, seed: u64) {
    let mut random = RandomSource::split(seed, "fleet faults", 0);
    let balancers = *scenario.balancers.get_ref();
    let length = scenario.length.get_ref().0;
    let available = length
        .saturating_sub(FAULT_FREE_START_US + FAULT_FREE_END_US)
        .max(SECOND);
    scenario.faults.clear();
    let mut balancers_with_fault = Vec::new();
    for _ in 0..=random.below(MAX_FAULTS) {
        let kind = KINDS[random.below(KINDS.len())];
        let at = FAULT_FREE_START_US + random.duration_below(available * 2 / 3);
        let duration = MIN_FAULT_DURATION_US + random.duration_below(available / 2);
        let duration = duration.min(FAULT_FREE_START_US + available - at);
        let affects_links = kind.affects_links();
        let count = if affects_links {
            1 + random.below((balancers / 2).max(1))
        } else {
            1
        };
        let side = random.sample_indices(count, balancers);
        if !affects_links && balancers_with_fault.contains(&side[0]) {
            continue;
        }
        if !affects_links {
            balancers_with_fault.push(side[0]);
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

/// Returns a fault of the balancers in `side` or of their links, in the form of a scenario file.
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

/// Adds the loss of a fraction of all datagrams between balancers for the whole scenario.
pub fn add_network_loss(scenario: &mut Scenario, fraction: f64) {
    let all: Vec<usize> = (0..*scenario.balancers.get_ref()).collect();
    let loss = balancer_fault(
        FaultKind::LinkLossy,
        0,
        scenario.length.get_ref().0,
        all.clone(),
    );
    let fault = Fault {
        against: Some(all),
        factor: Some(fraction),
        ..loss
    };
    scenario.faults.push(toml::Spanned::new(0..0, fault));
}
