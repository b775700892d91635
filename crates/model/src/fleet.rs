//! The fleet that a day begins with: which server is of which machine type, zone and cell.

use crate::chance::{Chance, sums};
use crate::day::Day;
use crate::server::Spec;

/// The servers of a day. Machine types are mixed evenly by their shares, zones dealt out in turn; speeds are drawn.
pub fn specs(day: &Day, seed: u64) -> Vec<Spec> {
    let count = *day.fleet.servers.get_ref();
    (0..count)
        .map(|number| spec(day, seed, number, None))
        .collect()
}

/// A server that comes in the place of another or as a further one, at that time, cold.
pub fn newcomer(day: &Day, seed: u64, number: usize, like: Option<&Spec>, now: u64) -> Spec {
    let mut spec = spec(day, seed, number, Some(now));
    if let Some(like) = like {
        (spec.zone, spec.machine, spec.cell) = (like.zone, like.machine, like.cell);
        (spec.cores, spec.speed) = (like.cores, like.speed);
    }
    spec
}

fn spec(day: &Day, seed: u64, number: usize, born: Option<u64>) -> Spec {
    let shares = sums(day.machines.iter().map(|machine| machine.get_ref().share));
    // Irrational steps through the shares mix the types evenly in any run of servers.
    const STEP: f64 = 0.618_033_988_749_895;
    let drawn = (number as f64 * STEP).fract() * shares.last().copied().unwrap_or(0.0);
    let machine = shares
        .partition_point(|sum| *sum <= drawn)
        .min(shares.len().saturating_sub(1));
    let zones = day.fleet.zones.len().max(1);
    let zone = number % zones;
    let cell = number / zones / day.fleet.cell.max(1) * zones + zone;
    let mut chance = Chance::split(seed, "speed", number as u64);
    let (cores, speed) = day.machines.get(machine).map_or((1, 1.0), |machine| {
        let machine = machine.get_ref();
        (
            machine.cores,
            chance.between(machine.speed[0], machine.speed[1]),
        )
    });
    Spec {
        id: format!("s{number}"),
        number,
        zone,
        machine,
        cell,
        cores,
        speed,
        born,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::check;

    #[test]
    fn types_and_zones_are_dealt_out_evenly_and_alike_for_one_seed() {
        let day = check::read(
            "name = 'd'\nlength = '10s'\n[fleet]\nservers = 40",
            "d.toml",
        )
        .unwrap();
        let fleet = specs(&day, 3);
        let quick = fleet.iter().filter(|spec| spec.machine == 0).count();
        assert!((19..=21).contains(&quick), "{quick} of 40 with even shares");
        assert_eq!(fleet.iter().filter(|spec| spec.zone == 0).count(), 20);
        let cell: Vec<_> = fleet
            .iter()
            .filter(|spec| spec.cell == fleet[0].cell)
            .collect();
        assert!(cell.len() == day.fleet.cell && cell.iter().all(|spec| spec.zone == 0));
        assert_eq!(specs(&day, 3)[7].speed, fleet[7].speed);
        assert_ne!(specs(&day, 4)[7].speed, fleet[7].speed);
    }
}
