//! The exchange of one request and its response on a connection to a balancer.

use std::time::{Duration, Instant};

use pinefront_model::Micros;
use pinefront_model::checker::{Observation, Outcome};
use pinefront_model::scenario::{FaultKind, Idempotency};
use pinefront_model::traffic::Request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

use super::{AttemptEnd, ConnectionPools, Load};
use crate::http::{self, ParsedResponse};
use crate::server_stand_in::response_body;
use crate::world::{World, locked};

/// Time from the deadline of a request until the client closes the connection.
const CLOSE_AFTER_DEADLINE: Duration = Duration::from_millis(300);
/// The request that is pipelined behind another.
const PIPELINED_REQUEST: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: lab\r\n\r\n";
/// Longest time that a client waits for the response to the pipelined request.
const PIPELINED_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest number of pieces of a request while a fault splits requests.
const MAX_REQUEST_PIECES: usize = 12;

/// The bytes of a request, without faults.
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
        "{method} /{name}/{} HTTP/1.1\r\nHost: lab\r\nX-Txn: {:016x}\r\nX-Lane: {name}\r\n\
         X-Org: {tenant}\r\nX-Entity: k={}\r\nX-Remaining-Ms: {}\r\n{resent}{rest}\r\n",
        request.key,
        request.number,
        request.key,
        request.timeout / 1000
    )
    .into_bytes()
}

/// An exchange that is about to start.
pub(super) struct Exchange<'a> {
    pub(super) load: &'a Load,
    pub(super) pools: &'a ConnectionPools,
    pub(super) balancer: usize,
    pub(super) request: &'a Request,
    pub(super) text: &'a [u8],
    pub(super) stream: TcpStream,
    /// Whether the connection carried a request before.
    pub(super) is_reused: bool,
}

/// A request that was written completely.
struct SentRequest {
    sent_at: Micros,
    deadline: Micros,
    /// Whether another request was pipelined behind it.
    is_pipelined: bool,
}

impl Exchange<'_> {
    /// Writes the request and waits for its response. Returns none where a reused connection ended
    /// before the first byte of a response: the balancer had closed it, and the request is to be
    /// sent on a new connection.
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

    async fn send(&mut self) -> Result<SentRequest, ()> {
        let world = &self.load.world;
        let is_pipelined = self.request.disconnects_after.is_none()
            && world.draw_fault(FaultKind::ClientsPipeline);
        let bytes = if is_pipelined {
            [self.text, PIPELINED_REQUEST].concat()
        } else {
            self.text.to_vec()
        };
        let in_pieces = !is_pipelined && world.draw_fault(FaultKind::ClientsInPieces);
        let written = if in_pieces {
            let pieces = 1 + world.draw_below(MAX_REQUEST_PIECES);
            http::write_in_pieces(&mut self.stream, &bytes, pieces).await
        } else {
            self.stream.write_all(&bytes).await
        };
        written.map_err(|_| ())?;
        let sent_at = world.now();
        if !in_pieces {
            locked(&self.load.results).attempt_sent(self.request, sent_at);
        }
        let deadline = sent_at + self.request.timeout;
        let observation = Observation::RequestReceived {
            request: self.request.number,
            balancer: self.balancer,
            class: self.request.class,
            deadline,
        };
        world.record(sent_at, observation);
        Ok(SentRequest {
            sent_at,
            deadline,
            is_pipelined,
        })
    }

    /// Waits for the response until the client disconnects, or until `CLOSE_AFTER_DEADLINE` after
    /// the deadline.
    async fn receive(
        &mut self,
        sent: &SentRequest,
        buffer: &mut Vec<u8>,
    ) -> Result<ParsedResponse, Option<AttemptEnd>> {
        let world = &self.load.world;
        let closes_at: Instant = world.clock.instant_at(sent.deadline) + CLOSE_AFTER_DEADLINE;
        let disconnects_at = self.request.disconnects_after;
        let disconnects_at =
            disconnects_at.map(|after| world.clock.instant_at(sent.sent_at + after));
        let wait_until =
            disconnects_at.map_or(closes_at, |disconnects_at| disconnects_at.min(closes_at));
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
            Err(_) if disconnects_at.is_some_and(|disconnects_at| disconnects_at <= closes_at) => {
                world.record(now, Observation::ClientDisconnected { request });
                Err(Some(AttemptEnd::Disconnected))
            }
            Err(_) => Err(Some(AttemptEnd::Unanswered)),
        }
    }

    /// Records the response for the checker. A successful response is genuine if its body is the
    /// body that servers send for this request.
    fn record_response(&self, response: &ParsedResponse, buffer: &[u8]) -> AttemptEnd {
        let request = self.request.number;
        let outcome = match response.status {
            200 => Outcome::Succeeded,
            429 | 503 => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        let expected = response_body(&format!("{request:016x}"));
        let is_genuine =
            outcome != Outcome::Succeeded || buffer[response.body.clone()] == *expected.as_bytes();
        let observation = Observation::ResponseReceived {
            request,
            outcome,
            is_genuine,
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
    async fn receive_pipelined(&mut self, sent: &SentRequest, buffer: &mut Vec<u8>) -> bool {
        let read = http::read_response(&mut self.stream, buffer);
        if let Ok(Ok(response)) = timeout(PIPELINED_TIMEOUT, read).await {
            return response.keep_alive;
        }
        let world = &self.load.world;
        let balancer = self.balancer;
        if world.has_no_intervention_since(balancer, sent.sent_at) {
            let description = format!(
                "balancer {balancer} sent no response to the request pipelined behind request {}",
                self.request.number
            );
            locked(&world.checker).record_violation(1, world.now(), description);
        }
        false
    }
}
