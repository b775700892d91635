use super::*;
use crate::validation;

#[test]
fn machine_types_and_zones_are_assigned_evenly_and_reproducibly() {
    let scenario = validation::decode_scenario(
        "name = 'test'\nlength = '10s'\n[fleet]\nservers = 40",
        "scenario.toml",
    )
    .unwrap();
    let fleet = specs(&scenario, 3);
    let quick = fleet.iter().filter(|spec| spec.machine == 0).count();
    assert!(
        (19..=21).contains(&quick),
        "{quick} of 40 servers have one of two equal shares"
    );
    assert_eq!(fleet.iter().filter(|spec| spec.zone == 0).count(), 20);
    let cell: Vec<_> = fleet
        .iter()
        .filter(|spec| spec.cell == fleet[0].cell)
        .collect();
    assert!(cell.len() == scenario.fleet.cell_size && cell.iter().all(|spec| spec.zone == 0));
    assert_eq!(specs(&scenario, 3)[7].speed, fleet[7].speed);
    assert_ne!(specs(&scenario, 4)[7].speed, fleet[7].speed);
}
