//! Clients that stop in the middle of a request and stay. They are owed an error or a close within three seconds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::scenario::FaultKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http;
use crate::world::{World, locked};

const LOOKS_APART: Duration = Duration::from_millis(100);
/// What they are owed, and what the machine may take beside that.
const OWED_WITHIN: Duration = Duration::from_millis(3_000 + 250);
const PART: &[u8] = b"GET /look/1 HTTP/1.1\r\nHost: lab\r\nX-T";

/// Sends such clients to each balancer while the day says so, until the runtime ends.
pub async fn stop_in_the_middle(world: Arc<World>, balancers: Vec<SocketAddr>) {
    loop {
        tokio::time::sleep(LOOKS_APART).await;
        let Some(strength) = world
            .timeline()
            .global_fault(FaultKind::ClientsStop, world.now())
        else {
            continue;
        };
        for (number, address) in balancers.iter().enumerate() {
            if world.drawn((strength.factor * LOOKS_APART.as_secs_f64()).min(1.0)) {
                tokio::spawn(client(Arc::clone(&world), number, *address));
            }
        }
    }
}

async fn client(world: Arc<World>, balancer: usize, address: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let mut heard = Vec::new();
    // Half of them have brought a request before.
    let used = world.drawn(0.5);
    if used {
        // Known to no server as one of the day's: it is served as a usual one.
        let whole = format!(
            "GET /look/1 HTTP/1.1\r\nHost: lab\r\nX-Txn: stop-{balancer}-{}-{}\r\nX-Remaining-Ms: 1000\r\n\r\n",
            world.now(),
            world.draw(1 << 20)
        );
        let asked = stream.write_all(whole.as_bytes()).await;
        if asked.is_err() || http::read_answer(&mut stream, &mut heard).await.is_err() {
            return;
        }
        heard.clear();
    }
    let length = 1 + world.draw(PART.len() - 1);
    if stream.write_all(&PART[..length]).await.is_err() {
        return;
    }
    let began = world.now();
    // Anything that comes, or the end.
    let ended = timeout(OWED_WITHIN, http::more(&mut stream, &mut heard)).await;
    if ended.is_err() && world.undisturbed_since(balancer, began) {
        let kind = if used { "used" } else { "new" };
        let what =
            format!("balancer {balancer} kept half a request on a {kind} connection for over 3 s");
        locked(&world.checker).record_violation(1, world.now(), what);
    }
}
