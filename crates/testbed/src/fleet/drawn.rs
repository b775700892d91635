//! Days of trouble drawn from a seed: fault, victim, time and overlap.

use pinefront_model::random::RandomSource;
use pinefront_model::scenario::{Fault, FaultKind, Scenario, Span};
use pinefront_model::{Micros, SECOND};

/// Calm at the start, for all to know each other, and at the end, for all to agree again.
const CALM: (Micros, Micros) = (4 * SECOND, 8 * SECOND);
const FAULTS_MOST: usize = 4;

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

/// Puts drawn faults in the place of a day's own. No balancer is hit by two that end its process or stop it.
pub fn draw(day: &mut Scenario, seed: u64) {
    let mut chance = RandomSource::split(seed, "fleet faults", 0);
    let (balancers, length) = (*day.balancers.get_ref(), day.length.get_ref().0);
    let room = length.saturating_sub(CALM.0 + CALM.1).max(SECOND);
    day.faults.clear();
    let mut hit = Vec::new();
    for _ in 0..1 + chance.below(FAULTS_MOST) {
        let kind = KINDS[chance.below(KINDS.len())];
        let at = CALM.0 + chance.span(room * 2 / 3);
        let lasts = (200_000 + chance.span(room / 2)).min(CALM.0 + room - at);
        let on_ways = kind.hits_links();
        let count = if on_ways {
            1 + chance.below((balancers / 2).max(1))
        } else {
            1
        };
        let side = chance.some_of(count, balancers);
        if !on_ways && hit.contains(&side[0]) {
            continue;
        }
        if !on_ways {
            hit.push(side[0]);
        }
        let one_way = kind == FaultKind::LinkCut && chance.happens(0.4);
        let by = (kind == FaultKind::LinkSlow).then(|| Span(10_000 + chance.span(300_000)));
        let fault = Fault {
            one_way,
            by,
            ..among(kind, at, lasts, side)
        };
        day.faults.push(toml::Spanned::new(0..0, fault));
    }
}

/// A fault among balancers as a day's file would name it.
fn among(kind: FaultKind, at: Micros, lasts: Micros, side: Vec<usize>) -> Fault {
    Fault {
        kind,
        at: Span(at),
        duration: Span(lasts),
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

/// Loses so much of all that balancers tell one another, all day.
pub fn lose(day: &mut Scenario, part: f64) {
    let all: Vec<usize> = (0..*day.balancers.get_ref()).collect();
    let lossy = among(FaultKind::LinkLossy, 0, day.length.get_ref().0, all.clone());
    let fault = Fault {
        against: Some(all),
        factor: Some(part),
        ..lossy
    };
    day.faults.push(toml::Spanned::new(0..0, fault));
}
