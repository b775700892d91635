//! Clients that stop in the middle of a request and keep the connection open. A balancer must send
//! a response or close such a connection within 3 seconds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::scenario::FaultKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http;
use crate::world::{World, locked};

/// Interval at which stalled clients are started.
const SPAWN_INTERVAL: Duration = Duration::from_millis(100);
/// The limit of 3 seconds plus a tolerance of 250 ms for delays of the machine.
const RESPONSE_LIMIT: Duration = Duration::from_millis(3_000 + 250);
/// Fraction of the clients that send a complete request on the connection first.
const REUSE_FRACTION: f64 = 0.5;
/// The random part of a request's identifier is below this value.
const IDENTIFIER_RANGE: usize = 1 << 20;
const PARTIAL_REQUEST: &[u8] = b"GET /look/1 HTTP/1.1\r\nHost: lab\r\nX-T";

/// Starts stalled clients for each balancer while the fault `ClientsStop` is active, until the
/// runtime shuts down. The factor of the fault is their rate for each balancer, per second.
pub async fn run_stalled_clients(world: Arc<World>, balancers: Vec<SocketAddr>) {
    loop {
        tokio::time::sleep(SPAWN_INTERVAL).await;
        let fault = world
            .timeline()
            .active_global_fault(FaultKind::ClientsStop, world.now());
        let Some(strength) = fault else {
            continue;
        };
        let probability = (strength.factor * SPAWN_INTERVAL.as_secs_f64()).min(1.0);
        for (number, address) in balancers.iter().enumerate() {
            if world.draw_bool(probability) {
                tokio::spawn(stalled_client(Arc::clone(&world), number, *address));
            }
        }
    }
}

async fn stalled_client(world: Arc<World>, balancer: usize, address: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let is_reused = world.draw_bool(REUSE_FRACTION);
    if is_reused && !send_complete_request(&world, balancer, &mut stream).await {
        return;
    }
    let length = 1 + world.draw_below(PARTIAL_REQUEST.len() - 1);
    if stream.write_all(&PARTIAL_REQUEST[..length]).await.is_err() {
        return;
    }
    let stalled_at = world.now();
    let mut buffer = Vec::new();
    let received = timeout(RESPONSE_LIMIT, http::read_more(&mut stream, &mut buffer)).await;
    if received.is_err() && world.has_no_intervention_since(balancer, stalled_at) {
        let kind = if is_reused { "used" } else { "new" };
        let description = format!(
            "balancer {balancer} kept a {kind} connection with a partial request open for over 3 s"
        );
        locked(&world.checker).record_violation(1, world.now(), description);
    }
}

/// Sends a complete request and returns whether a response arrived. The identifier is not in the
/// table of sent requests, so servers handle it as a default request of its class.
async fn send_complete_request(world: &World, balancer: usize, stream: &mut TcpStream) -> bool {
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nHost: lab\r\nX-Txn: stop-{balancer}-{}-{}\r\n\
         X-Remaining-Ms: 1000\r\n\r\n",
        world.now(),
        world.draw_below(IDENTIFIER_RANGE)
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let mut buffer = Vec::new();
    http::read_response(stream, &mut buffer).await.is_ok()
}
