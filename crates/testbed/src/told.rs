//! What balancers count as told of the list though it never came: a change at the latest six seconds after discovery
//! had it and could be reached, or two after the wait of a watch that fell silent, if that is later.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::checker::Observation;
use pinefront_model::discovery::State;
use pinefront_model::timeline::DiscoveryState;
use pinefront_model::{Micros, SECOND};

use crate::world::World;

const COUNTS_AFTER: Micros = 6 * SECOND;
const LOOKS_APART: Duration = Duration::from_millis(20);

/// A server that is to get nothing more: since when the list says so, and when all count as told.
struct Draining {
    counts_at: Micros,
    /// By balancer, which of its lives was noted as told.
    noted: BTreeMap<usize, u64>,
}

/// Notes what counts as told, until the runtime ends.
pub async fn count(world: Arc<World>, balancers: usize) {
    let mut leaving: BTreeMap<usize, Draining> = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOKS_APART).await;
        let now = world.now();
        let gone = world.timeline().discovery_state(now) != DiscoveryState::Available;
        let (_, entries) = world.with_registry(|registry| registry.since(now, 0));
        for entry in entries {
            if entry.state == State::Active {
                leaving.remove(&entry.server);
                continue;
            }
            let counts_at = now + COUNTS_AFTER;
            let known = leaving.entry(entry.server).or_insert(Draining {
                counts_at,
                noted: BTreeMap::new(),
            });
            if gone {
                known.counts_at = known.counts_at.max(counts_at);
            }
            for balancer in 0..balancers {
                let life = world.life_of(balancer);
                let told = now >= known.counts_at.max(world.excused_until(balancer));
                if told && life.is_some() && known.noted.insert(balancer, life.unwrap_or(0)) != life
                {
                    world.record(
                        now,
                        Observation::EndpointReported {
                            balancer,
                            server: entry.server,
                            draining: true,
                        },
                    );
                }
            }
        }
    }
}
