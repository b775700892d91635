//! Assigns a machine type, a zone and a cell to each server of a scenario.

use crate::Micros;
use crate::random::{RandomSource, cumulative_sums};
use crate::scenario::Scenario;
use crate::server::ServerSpec;

/// Step between the positions of two consecutive servers in the cumulative shares of the machine
/// types, as a fraction of their sum. An irrational step mixes the types evenly in every range of
/// servers.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Returns the servers at the start of a scenario. Machine types are assigned by their shares,
/// zones in round-robin order, and speeds at random.
pub fn specs(scenario: &Scenario, seed: u64) -> Vec<ServerSpec> {
    let count = *scenario.fleet.servers.get_ref();
    (0..count)
        .map(|number| spec(scenario, seed, number, None))
        .collect()
}

/// Returns a server that joins at `now` in slow start. If it replaces a server, it has the zone,
/// cell, machine type and speed of `replaced`.
pub fn new_server(
    scenario: &Scenario,
    seed: u64,
    number: usize,
    replaced: Option<&ServerSpec>,
    now: Micros,
) -> ServerSpec {
    let mut spec = spec(scenario, seed, number, Some(now));
    if let Some(replaced) = replaced {
        spec.zone = replaced.zone;
        spec.machine = replaced.machine;
        spec.cell = replaced.cell;
        spec.cores = replaced.cores;
        spec.speed = replaced.speed;
    }
    spec
}

fn spec(scenario: &Scenario, seed: u64, number: usize, started_at: Option<Micros>) -> ServerSpec {
    let machines = scenario.machines.iter();
    let shares = cumulative_sums(machines.map(|machine| machine.get_ref().share));
    let position = (number as f64 * GOLDEN_RATIO).fract() * shares.last().copied().unwrap_or(0.0);
    let machine = shares
        .partition_point(|sum| *sum <= position)
        .min(shares.len().saturating_sub(1));
    let zones = scenario.fleet.zones.len().max(1);
    let zone = number % zones;
    let cell = number / zones / scenario.fleet.cell_size.max(1) * zones + zone;
    let mut random = RandomSource::split(seed, "speed", number as u64);
    let machine_type = scenario.machines.get(machine);
    let (cores, speed) = machine_type.map_or((1, 1.0), |machine| {
        let [min, max] = machine.get_ref().speed;
        (machine.get_ref().cores, random.between(min, max))
    });
    ServerSpec {
        id: format!("s{number}"),
        number,
        zone,
        machine,
        cell,
        cores,
        speed,
        started_at,
    }
}

#[cfg(test)]
mod tests;
