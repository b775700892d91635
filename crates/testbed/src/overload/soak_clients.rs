//! Misbehaving clients in a scenario, while its fault is active.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::random::RandomSource;
use pinefront_model::scenario::FaultKind;
use tokio::task::JoinSet;

use super::misbehaving_client::{self, Behaviour};
use crate::world::World;

/// Interval at which it is checked whether the fault is active.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Connects misbehaving clients to each balancer while the fault `ClientsMisbehave` is active, until
/// the runtime shuts down.
pub async fn run_misbehaving_clients(world: Arc<World>, balancers: Vec<SocketAddr>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(fault) = active_fault(&world) else {
            continue;
        };
        let mut clients = JoinSet::new();
        for address in &balancers {
            for number in 0..fault as u64 {
                let random = RandomSource::split(world.seed, "misbehaving", number);
                let behaviour = drawn_behaviour(&world);
                clients.spawn(misbehaving_client::run(*address, behaviour, random));
            }
        }
        while active_fault(&world).is_some() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        clients.shutdown().await;
    }
}

/// Number of clients for each balancer, while the fault is active.
fn active_fault(world: &World) -> Option<f64> {
    let kind = FaultKind::ClientsMisbehave;
    let fault = world.timeline().active_global_fault(kind, world.now());
    fault.map(|fault| fault.factor)
}

fn drawn_behaviour(world: &World) -> Behaviour {
    let index = world.draw_below(Behaviour::CROWD.len() + 1);
    let behaviour = Behaviour::CROWD.get(index);
    behaviour.copied().unwrap_or(Behaviour::ReturningRequests)
}
