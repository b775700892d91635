//! Clients that stop in the middle of a request and stay connected. A balancer must answer or close
//! such a connection within three seconds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::scenario::FaultKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http;
use crate::world::{World, locked};

const SPAWN_INTERVAL: Duration = Duration::from_millis(100);
/// The limit of three seconds, and a tolerance for delays of the machine.
const RESPONSE_LIMIT: Duration = Duration::from_millis(3_000 + 250);
/// Fraction of the clients that send a complete request on the connection before.
const REUSE_FRACTION: f64 = 0.5;
/// Bound of the random part of a request's identity.
const MAX_IDENTITY: usize = 1 << 20;
const PARTIAL_REQUEST: &[u8] = b"GET /look/1 HTTP/1.1\r\nHost: lab\r\nX-T";

/// Starts stalled clients for each balancer while a fault asks for them, until the runtime ends.
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
            if world.draw_happens(probability) {
                tokio::spawn(stalled_client(Arc::clone(&world), number, *address));
            }
        }
    }
}

async fn stalled_client(world: Arc<World>, balancer: usize, address: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let is_reused = world.draw_happens(REUSE_FRACTION);
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
    if received.is_err() && world.undisturbed_since(balancer, stalled_at) {
        let kind = if is_reused { "used" } else { "new" };
        let what =
            format!("balancer {balancer} kept half a request on a {kind} connection for over 3 s");
        locked(&world.checker).record_violation(1, world.now(), what);
    }
}

/// Sends a request that no server knows as a client's, so that it is served as a usual one. Returns
/// whether a response arrived.
async fn send_complete_request(world: &World, balancer: usize, stream: &mut TcpStream) -> bool {
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nHost: lab\r\nX-Txn: stop-{balancer}-{}-{}\r\nX-Remaining-Ms: 1000\r\n\r\n",
        world.now(),
        world.draw_below(MAX_IDENTITY)
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let mut buffer = Vec::new();
    http::read_response(stream, &mut buffer).await.is_ok()
}
