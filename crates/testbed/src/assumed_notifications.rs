//! Assumes that a balancer was notified of a change of the endpoint list some time after discovery
//! served it, even if the notification never arrived, so that the rule on draining servers applies
//! to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::checker::Observation;
use pinefront_model::discovery::EndpointState;
use pinefront_model::timeline::DiscoveryState;
use pinefront_model::{Micros, SECOND};

use crate::world::World;

/// How long after discovery served a change, and could be reached, balancers are assumed to know
/// it.
const ASSUMED_AFTER_US: Micros = 6 * SECOND;
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A server that is draining or removed.
struct DrainingServer {
    /// When all balancers are assumed to know it.
    assumed_at: Micros,
    /// The incarnation of each balancer for which the notification was recorded.
    recorded: BTreeMap<usize, u64>,
}

/// Records assumed notifications until the runtime ends.
pub async fn record_assumed_notifications(world: Arc<World>, balancers: usize) {
    let mut draining: BTreeMap<usize, DrainingServer> = BTreeMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        update_draining(&world, &mut draining);
        for (server, state) in &mut draining {
            for balancer in 0..balancers {
                record_if_due(&world, balancer, *server, state);
            }
        }
    }
}

/// Brings the servers that drain or are removed up to date with the endpoint list.
fn update_draining(world: &World, draining: &mut BTreeMap<usize, DrainingServer>) {
    let now = world.now();
    let is_available = world.timeline().discovery_state(now) == DiscoveryState::Available;
    let changes = world.with_registry(|registry| registry.changes_since(now, 0));
    for entry in changes.entries {
        if entry.state == EndpointState::Active {
            draining.remove(&entry.server);
            continue;
        }
        let assumed_at = now + ASSUMED_AFTER_US;
        let state = draining.entry(entry.server).or_insert(DrainingServer {
            assumed_at,
            recorded: BTreeMap::new(),
        });
        if !is_available {
            state.assumed_at = state.assumed_at.max(assumed_at);
        }
    }
}

fn record_if_due(world: &World, balancer: usize, server: usize, state: &mut DrainingServer) {
    let now = world.now();
    let Some(incarnation) = world.running_incarnation(balancer) else {
        return;
    };
    if now < state.assumed_at.max(world.excused_until(balancer)) {
        return;
    }
    if state.recorded.insert(balancer, incarnation) == Some(incarnation) {
        return;
    }
    let observation = Observation::EndpointReported {
        balancer,
        server,
        is_draining: true,
    };
    world.record(now, observation);
}
