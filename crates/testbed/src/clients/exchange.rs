//! One exchange of a request and its response on a connection to a balancer.

use std::time::{Duration, Instant};

use pinefront_model::Micros;
use pinefront_model::checker::{Observation, Outcome};
use pinefront_model::scenario::{FaultKind, Idempotency};
use pinefront_model::traffic::Request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

use super::{AttemptEnd, Load, Pools};
use crate::http::{self, ParsedResponse};
use crate::server_stand_in::response_body;
use crate::world::{World, locked};

/// How long after the deadline of a request its connection is closed.
const CLOSE_AFTER_DEADLINE: Duration = Duration::from_millis(300);
/// A request that is pipelined behind another.
const PIPELINED_REQUEST: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: lab\r\n\r\n";
const PIPELINED_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest number of pieces in which a request is written.
const MAX_REQUEST_PIECES: usize = 12;

/// The text of a request.
pub fn request_text(world: &World, request: &Request) -> Vec<u8> {
    let class = world.scenario.classes[request.class].get_ref();
    let name = &class.name;
    let tenants = &world.scenario.tenants;
    let tenant = tenants
        .get(request.tenant)
        .map_or("lab", |tenant| &tenant.get_ref().name);
    let (method, rest) = match class.idempotency {
        Idempotency::Idempotent => ("GET", String::new()),
        Idempotency::IdempotencyKey => {
            let key = request.idempotency_key;
            let rest = format!("Idempotency-Key: {key:016x}\r\nContent-Length: 0\r\n");
            ("POST", rest)
        }
        Idempotency::NonIdempotent => ("POST", "Content-Length: 0\r\n".to_owned()),
    };
    let resent = if request.attempt > 1 {
        "X-Resent: 1\r\n"
    } else {
        ""
    };
    format!(
        "{method} /{name}/{} HTTP/1.1\r\nHost: lab\r\nX-Txn: {:016x}\r\nX-Lane: {name}\r\nX-Org: {tenant}\r\n\
         X-Entity: k={}\r\nX-Remaining-Ms: {}\r\n{resent}{rest}\r\n",
        request.key,
        request.number,
        request.key,
        request.timeout / 1000
    )
    .into_bytes()
}

/// An exchange with a balancer.
pub(super) struct Exchange<'a> {
    pub(super) load: &'a Load,
    pub(super) pools: &'a Pools,
    pub(super) balancer: usize,
    pub(super) request: &'a Request,
    pub(super) text: &'a [u8],
    pub(super) stream: TcpStream,
    /// Whether the connection carried a request before.
    pub(super) is_reused: bool,
}

/// A request that was written.
struct Sent {
    at: Micros,
    deadline: Micros,
    /// Whether another request was pipelined behind it.
    is_pipelined: bool,
}

impl Exchange<'_> {
    /// Writes the request and waits for its response. Returns none where a reused connection ended
    /// without a byte: the balancer closed it, and the request goes on a new one.
    pub(super) async fn run(mut self) -> Option<AttemptEnd> {
        let sent = match self.send().await {
            Ok(sent) => sent,
            Err(()) if self.is_reused => return None,
            Err(()) => return Some(AttemptEnd::Unreachable),
        };
        let mut buffer = Vec::new();
        let response = match self.receive(&sent, &mut buffer).await {
            Ok(response) => response,
            Err(end) => return end,
        };
        let end = self.record_response(&response, &buffer);
        buffer.drain(..response.end);
        let keep_alive = response.keep_alive
            && (!sent.is_pipelined || self.receive_pipelined(&sent, &mut buffer).await);
        if keep_alive {
            self.pools.borrow_mut()[self.balancer].push(self.stream);
        }
        Some(end)
    }

    async fn send(&mut self) -> Result<Sent, ()> {
        let world = &self.load.world;
        let is_pipelined = self.request.disconnects_after.is_none()
            && world.fault_strikes(FaultKind::ClientsPipeline);
        let bytes = if is_pipelined {
            [self.text, PIPELINED_REQUEST].concat()
        } else {
            self.text.to_vec()
        };
        let in_pieces = !is_pipelined && world.fault_strikes(FaultKind::ClientsInPieces);
        let written = if in_pieces {
            let pieces = 1 + world.draw_below(MAX_REQUEST_PIECES);
            http::write_in_pieces(&mut self.stream, &bytes, pieces).await
        } else {
            self.stream.write_all(&bytes).await
        };
        written.map_err(|_| ())?;
        let at = world.now();
        if !in_pieces {
            locked(&self.load.results).attempt_sent(self.request, at);
        }
        let deadline = at + self.request.timeout;
        let observation = Observation::RequestReceived {
            request: self.request.number,
            balancer: self.balancer,
            class: self.request.class,
            deadline,
        };
        world.record(at, observation);
        Ok(Sent {
            at,
            deadline,
            is_pipelined,
        })
    }

    /// Waits for the response, until the client disconnects or some time after the deadline.
    async fn receive(
        &mut self,
        sent: &Sent,
        buffer: &mut Vec<u8>,
    ) -> Result<ParsedResponse, Option<AttemptEnd>> {
        let world = &self.load.world;
        let gives_up: Instant = world.clock.at(sent.deadline) + CLOSE_AFTER_DEADLINE;
        let disconnects = self.request.disconnects_after;
        let disconnects = disconnects.map(|after| world.clock.at(sent.at + after));
        let wait_until = disconnects.map_or(gives_up, |disconnects| disconnects.min(gives_up));
        let read = http::read_response(&mut self.stream, buffer);
        let response = timeout_at(wait_until.into(), read).await;
        let now = world.now();
        let request = self.request.number;
        match response {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) if self.is_reused && buffer.is_empty() => Err(None),
            Ok(Err(_)) => {
                world.record(now, Observation::ConnectionLost { request });
                Err(Some(AttemptEnd::Unanswered))
            }
            Err(_) if disconnects.is_some_and(|disconnects| disconnects <= gives_up) => {
                world.record(now, Observation::ClientDisconnected { request });
                Err(Some(AttemptEnd::Disconnected))
            }
            Err(_) => Err(Some(AttemptEnd::Unanswered)),
        }
    }

    fn record_response(&self, response: &ParsedResponse, buffer: &[u8]) -> AttemptEnd {
        let request = self.request.number;
        let outcome = match response.status {
            200 => Outcome::Succeeded,
            429 | 503 => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        let expected = response_body(&format!("{request:016x}"));
        let genuine =
            outcome != Outcome::Succeeded || buffer[response.body.clone()] == *expected.as_bytes();
        let observation = Observation::ResponseReceived {
            request,
            outcome,
            is_genuine: genuine,
        };
        let world = &self.load.world;
        world.record(world.now(), observation);
        let retry_after = response
            .retry_after_seconds
            .filter(|seconds| seconds.is_finite() && *seconds >= 0.0)
            .map(|seconds| (seconds * 1e6) as Micros);
        AttemptEnd::Answered {
            outcome,
            retry_after,
        }
    }

    /// Waits for the response to the pipelined request. Returns whether the connection can be
    /// reused.
    async fn receive_pipelined(&mut self, sent: &Sent, buffer: &mut Vec<u8>) -> bool {
        let read = http::read_response(&mut self.stream, buffer);
        if let Ok(Ok(response)) = timeout(PIPELINED_TIMEOUT, read).await {
            return response.keep_alive;
        }
        let world = &self.load.world;
        let balancer = self.balancer;
        if world.undisturbed_since(balancer, sent.at) {
            let what = format!(
                "the request behind request {} got no response from balancer {balancer}",
                self.request.number
            );
            locked(&world.checker).record_violation(1, world.now(), what);
        }
        false
    }
}
