use super::*;
use crate::{SECOND, fleet, validation};

fn timeline(faults: &str) -> (Vec<ServerSpec>, Timeline) {
    let scenario = validation::decode_scenario(
        &format!("name = 'test'\nlength = '30s'\n{faults}"),
        "scenario.toml",
    )
    .unwrap();
    let specs = fleet::specs(&scenario, 1);
    let timeline = Timeline::new(&scenario, &specs, 1);
    (specs, timeline)
}

#[test]
fn overlapping_faults_combine_until_each_ends() {
    let (_, timeline) = timeline(
        "[[faults]]\nkind = 'slow'\nat = '1s'\nfor = '4s'\nservers = [2]\nfactor = 2.0\n\
         [[faults]]\nkind = 'neighbour'\nat = '3s'\nfor = '4s'\nservers = [2]\nfactor = 0.5\n\
         [[faults]]\nkind = 'burst'\nat = '2s'\nfor = '1s'\nfactor = 3.0",
    );
    let rate = |now| timeline.condition(2, now * SECOND).rate;
    assert_eq!(
        (rate(0), rate(1), rate(3), rate(5), rate(7)),
        (1.0, 0.5, 0.25, 0.5, 1.0)
    );
    assert_eq!(timeline.condition(1, 3 * SECOND), Condition::default());
    assert_eq!(
        (timeline.burst_factor(0), timeline.burst_factor(2 * SECOND)),
        (1.0, 3.0)
    );
    let changes = std::iter::successors(timeline.next_condition_change(0), |change| {
        timeline.next_condition_change(*change)
    });
    assert_eq!(
        changes.collect::<Vec<_>>(),
        [1, 3, 5, 7].map(|at| at * SECOND)
    );
}

#[test]
fn staggered_drain_starts_at_one_server_after_the_other() {
    let (specs, timeline) =
        timeline("[[faults]]\nkind = 'drain'\nat = '2s'\nfor = '1s'\nover = '6s'\nzone = 'a'");
    let zone: Vec<_> = specs
        .iter()
        .filter(|spec| spec.zone == 0)
        .map(|spec| spec.number)
        .collect();
    assert_eq!(zone.len(), 6);
    for (position, server) in zone.into_iter().enumerate() {
        let at = (2 + position as u64) * SECOND;
        assert!(timeline.events.contains(&ScheduledEvent {
            at,
            event: TimelineEvent::DrainStarted(server)
        }));
        assert!(timeline.events.contains(&ScheduledEvent {
            at: at + SECOND,
            event: TimelineEvent::DrainFinished(server)
        }));
    }
}

#[test]
fn fault_affects_the_given_fraction_of_the_fleet() {
    let (_, timeline) = timeline("[[faults]]\nkind = 'silent'\nat = '2s'\nfor = '1s'\npart = 0.25");
    assert_eq!(timeline.server_faults().len(), 3);
}
