//! Records assumed notifications: some time after discovery served a change of the endpoint list, a
//! balancer counts as notified of it, even if no notification arrived. The rule about draining
//! servers would otherwise not apply to a balancer that misses notifications.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::checker::Observation;
use pinefront_model::discovery::EndpointState;
use pinefront_model::timeline::DiscoveryState;
use pinefront_model::{Micros, SECOND};

use crate::world::World;

/// Balancers count as notified of a change this long after discovery served it, or after discovery
/// was last unavailable if that is later.
const ASSUMED_NOTIFICATION_DELAY_US: Micros = 6 * SECOND;
/// Interval at which the endpoint list is read and assumed notifications are recorded.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A server that is draining or removed.
struct DrainingServer {
    /// Time from which all balancers count as notified.
    assumed_at: Micros,
    /// For each balancer, its incarnation when the notification was last recorded.
    recorded: BTreeMap<usize, u64>,
}

/// Records assumed notifications until the runtime shuts down.
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

/// Updates the map of draining and removed servers from the endpoint list.
fn update_draining(world: &World, draining: &mut BTreeMap<usize, DrainingServer>) {
    let now = world.now();
    let is_available = world.timeline().discovery_state(now) == DiscoveryState::Available;
    let changes = world.with_registry(|registry| registry.changes_since(now, 0));
    for entry in changes.entries {
        if entry.state == EndpointState::Active {
            draining.remove(&entry.server);
            continue;
        }
        let assumed_at = now + ASSUMED_NOTIFICATION_DELAY_US;
        let state = draining.entry(entry.server).or_insert(DrainingServer {
            assumed_at,
            recorded: BTreeMap::new(),
        });
        if !is_available {
            state.assumed_at = state.assumed_at.max(assumed_at);
        }
    }
}

/// Records the assumed notification once for each incarnation of a running balancer, when it is due
/// and the balancer is not exempt.
fn record_if_due(world: &World, balancer: usize, server: usize, state: &mut DrainingServer) {
    let now = world.now();
    let Some(incarnation) = world.running_incarnation(balancer) else {
        return;
    };
    if now < state.assumed_at.max(world.exempt_until(balancer)) {
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
