//! Stand-ins of servers on loopback sockets. They pass attempts to the simulated servers, and write
//! responses with the faults of the scenario.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::Micros;
use pinefront_model::checker::Observation;
use pinefront_model::scenario::FaultKind;
use pinefront_model::server::{JobOutcome, LoadReport, Server};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout};

use crate::http::{self, ParsedRequest};
use crate::world::{ServerHost, World};

/// Number of pieces of a response while a fault splits responses.
const RESPONSE_PIECES: usize = 6;
/// The longest delay of an unsolicited second response, in microseconds.
const MAX_UNSOLICITED_RESPONSE_DELAY_US: usize = 6_000;
/// Fraction of the responses without a length whose connection is reset after half of the body.
const UNSIZED_RESET_FRACTION: f64 = 0.33;
/// Fraction of the idle connections that are reset rather than closed at the idle timeout, while a
/// fault shortens that timeout.
const IDLE_RESET_FRACTION: f64 = 0.5;
/// Delay between a write and the end of the connection, so that a reset doesn't overtake the data.
const CLOSE_DELAY: Duration = Duration::from_millis(2);
/// The longest sleep between two steps of a simulated server.
const MAX_TIMER_SLEEP: Duration = Duration::from_secs(1);
/// Delay after a failure to accept a connection, which most likely means that no file descriptor is
/// left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Starts the stand-in of a server on a new address. The stand-in runs until the incarnation of the
/// server ends. With `announce`, the server is added to the endpoint list.
pub async fn start(world: &Arc<World>, number: usize, announce: bool) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let Some(host) = world.server(number) else {
        return Ok(());
    };
    world.set_server_address(number, listener.local_addr()?, announce);
    let incarnation = *host.incarnation.borrow();
    let stand_in = StandIn {
        world: Arc::clone(world),
        host,
        incarnation,
    };
    tokio::spawn(stand_in.clone().run_timer());
    tokio::spawn(stand_in.accept(listener));
    Ok(())
}

/// The stand-in of one incarnation of a server.
#[derive(Clone)]
struct StandIn {
    world: Arc<World>,
    host: Arc<ServerHost>,
    incarnation: u64,
}

/// The way in which a connection ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

impl StandIn {
    async fn accept(self, listener: TcpListener) {
        let mut incarnations = self.host.incarnation.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => _ = tokio::spawn(self.clone().serve(stream)),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                },
                () = incarnation_ended(&mut incarnations, self.incarnation) => return,
            }
        }
    }

    /// Advances the simulated server whenever one of its events is due.
    async fn run_timer(self) {
        let mut incarnations = self.host.incarnation.subscribe();
        loop {
            let latest = tokio::time::Instant::now() + MAX_TIMER_SLEEP;
            let next = self
                .world
                .advance_server(&self.host)
                .map_or(latest, |next| self.world.clock.instant_at(next).into());
            tokio::select! {
                () = sleep_until(next) => {}
                () = self.host.wake_timer.notified() => {}
                () = incarnation_ended(&mut incarnations, self.incarnation) => return,
            }
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        if !self.host.with_server(Server::connect) {
            return http::reset_connection(stream);
        }
        // Nagle's algorithm is disabled, since it would delay responses that are written in pieces.
        let _ = stream.set_nodelay(true);
        let mut incarnations = self.host.incarnation.subscribe();
        let connection = Connection::new(&self, &mut stream);
        let end = tokio::select! {
            end = connection.serve() => end,
            () = incarnation_ended(&mut incarnations, self.incarnation) => ConnectionEnd::Reset,
        };
        if *self.host.incarnation.borrow() == self.incarnation {
            self.host.with_server(Server::disconnect);
        }
        if end == ConnectionEnd::Reset {
            http::reset_connection(stream);
        }
    }
}

/// Waits until the server has another incarnation than the given one.
async fn incarnation_ended(incarnations: &mut watch::Receiver<u64>, incarnation: u64) {
    // An error means that the server was dropped, which ends its incarnation too.
    let _ = incarnations.wait_for(|now| *now != incarnation).await;
}

/// Waits until the peer closes the connection. Bytes that arrive meanwhile are added to the buffer.
pub async fn wait_until_closed(stream: &mut TcpStream, buffer: &mut Vec<u8>) {
    while let Ok(true) = http::read_more(stream, buffer).await {}
}

/// The body of a server's response to a request.
pub fn response_body(id: &str) -> String {
    format!("{id} served\n")
}

/// The header line that reports a server's load, with its line end.
pub fn load_header(load: &LoadReport) -> String {
    format!(
        "X-Pressure: TEXT inflight={}, queue={}, util={:.2}\r\n",
        load.in_flight, load.queue, load.utilisation
    )
}

/// A request, and the time at which its first byte arrived.
struct ReceivedRequest {
    request: ParsedRequest,
    started_at: Micros,
}

/// A connection from a balancer.
struct Connection<'a> {
    world: &'a World,
    host: &'a ServerHost,
    stream: &'a mut TcpStream,
    buffer: Vec<u8>,
    /// CPU work of the handshake in microseconds, which is added to the work of the first request.
    handshake_work: f64,
}

impl<'a> Connection<'a> {
    fn new(stand_in: &'a StandIn, stream: &'a mut TcpStream) -> Self {
        let fleet = &stand_in.world.scenario.fleet;
        Self {
            world: &stand_in.world,
            host: &stand_in.host,
            stream,
            buffer: Vec::new(),
            handshake_work: fleet.handshake_work.0 as f64,
        }
    }

    /// Serves the requests of the connection one after the other until it ends.
    async fn serve(mut self) -> ConnectionEnd {
        loop {
            let received = match self.next_request().await {
                Ok(received) => received,
                Err(end) => return end,
            };
            if let Err(end) = self.serve_request(received).await {
                return end;
            }
        }
    }

    /// Reads the next request from the connection.
    async fn next_request(&mut self) -> Result<ReceivedRequest, ConnectionEnd> {
        let mut started_at = (!self.buffer.is_empty()).then(|| self.world.now());
        loop {
            if !self.buffer.is_empty() {
                let parsed =
                    http::parse_request(&self.buffer).map_err(|_| ConnectionEnd::Closed)?;
                if let Some(request) = parsed {
                    self.buffer.drain(..request.end);
                    let started_at = started_at.unwrap_or_else(|| self.world.now());
                    return Ok(ReceivedRequest {
                        request,
                        started_at,
                    });
                }
            }
            self.read_more().await?;
            started_at.get_or_insert_with(|| self.world.now());
        }
    }

    /// Reads more bytes, and ends the connection if none arrive within the idle timeout.
    async fn read_more(&mut self) -> Result<(), ConnectionEnd> {
        let configured_timeout = Duration::from_micros(self.world.scenario.fleet.idle_timeout.0);
        let fault = self
            .world
            .timeline()
            .active_global_fault(FaultKind::IdleClosed, self.world.now());
        let idle_timeout = fault.map_or(configured_timeout, |strength| {
            configured_timeout.min(Duration::from_micros(strength.by))
        });
        let read = http::read_more(self.stream, &mut self.buffer);
        match timeout(idle_timeout, read).await {
            Ok(Ok(true)) => Ok(()),
            Err(_)
                if fault.is_some()
                    && self.buffer.is_empty()
                    && self.world.draw_bool(IDLE_RESET_FRACTION) =>
            {
                Err(ConnectionEnd::Reset)
            }
            _ => Err(ConnectionEnd::Closed),
        }
    }

    async fn serve_request(&mut self, received: ReceivedRequest) -> Result<(), ConnectionEnd> {
        let ReceivedRequest {
            request,
            started_at,
        } = received;
        let Some(id) = request.id else {
            return self.respond("404 Not Found", "", "no ticket\n").await;
        };
        let Some(lookup) = self.world.find_request(&id, &request.path) else {
            return self
                .respond("400 Bad Request", "", "no such ticket\n")
                .await;
        };
        if let Some((number, remaining_ms)) = lookup.number.zip(request.remaining_ms) {
            let observation = Observation::TimeoutAdvertised {
                request: number,
                started_at,
                remaining: remaining_ms * 1000,
            };
            self.world.record(self.world.now(), observation);
        }
        let extra_work = std::mem::take(&mut self.handshake_work);
        let attempt = self
            .world
            .receive_attempt(self.host, &lookup, started_at, extra_work);
        let outcome = tokio::select! {
            outcome = attempt.outcome => outcome.unwrap_or(JobOutcome::ServerCrashed),
            () = wait_until_closed(self.stream, &mut self.buffer) => {
                self.world.cancel_attempt(self.host, attempt.job);
                return Err(ConnectionEnd::Closed);
            }
        };
        self.write_outcome(outcome, &id).await
    }

    async fn write_outcome(&mut self, outcome: JobOutcome, id: &str) -> Result<(), ConnectionEnd> {
        match outcome {
            JobOutcome::Succeeded => {
                if self.world.draw_fault(FaultKind::AnswersUnended) {
                    return Err(self.write_unsized_response(id).await);
                }
                self.write_success(id)
                    .await
                    .map_err(|_| ConnectionEnd::Reset)
            }
            JobOutcome::Corrupted => {
                self.write_corrupted(id).await;
                Err(ConnectionEnd::Closed)
            }
            JobOutcome::Rejected => {
                let status = "503 Service Unavailable";
                self.respond(status, "X-Turned-Away: 1\r\n", "full\n").await
            }
            JobOutcome::Failed => {
                let status = "500 Internal Server Error";
                self.respond(status, "", "failed\n").await
            }
            JobOutcome::ConnectionReset | JobOutcome::ServerCrashed => Err(ConnectionEnd::Reset),
            JobOutcome::Unanswered => {
                wait_until_closed(self.stream, &mut self.buffer).await;
                Err(ConnectionEnd::Closed)
            }
        }
    }

    async fn respond(
        &mut self,
        status: &str,
        headers: &str,
        body: &str,
    ) -> Result<(), ConnectionEnd> {
        http::write_response(self.stream, status, headers, body)
            .await
            .map_err(|_| ConnectionEnd::Reset)
    }

    async fn write_success(&mut self, id: &str) -> io::Result<()> {
        let load = self.host.load_report(self.world.now());
        let header = load.as_ref().map_or_else(String::new, load_header);
        let body = response_body(id);
        if self.world.draw_fault(FaultKind::AnswersInPieces) {
            let text = http::response_text("200 OK", &header, &body);
            http::write_in_pieces(self.stream, text.as_bytes(), RESPONSE_PIECES).await?;
        } else {
            http::write_response(self.stream, "200 OK", &header, &body).await?;
        }
        if self.world.draw_fault(FaultKind::AnswersTwice) {
            let delay_us = 1 + self.world.draw_below(MAX_UNSOLICITED_RESPONSE_DELAY_US) as u64;
            tokio::time::sleep(Duration::from_micros(delay_us)).await;
            http::write_response(self.stream, "200 OK", "", "a second answer\n").await?;
        }
        Ok(())
    }

    /// Writes a response without a length, which ends with its connection. Some are reset after
    /// half of the body.
    async fn write_unsized_response(&mut self, id: &str) -> ConnectionEnd {
        let is_reset = self.world.draw_bool(UNSIZED_RESET_FRACTION);
        let body = response_body(id);
        let sent = if is_reset {
            &body[..body.len() / 2]
        } else {
            &body
        };
        let text = format!("HTTP/1.1 200 OK\r\n\r\n{sent}");
        let written = self.stream.write_all(text.as_bytes()).await;
        tokio::time::sleep(CLOSE_DELAY).await;
        if is_reset || written.is_err() {
            ConnectionEnd::Reset
        } else {
            ConnectionEnd::Closed
        }
    }

    /// Writes a response that is truncated, is not valid HTTP, or has two different lengths.
    async fn write_corrupted(&mut self, id: &str) {
        let body = response_body(id);
        let text = match self.world.draw_below(3) {
            0 => {
                let length = body.len() + 40;
                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
            }
            1 => format!("\u{1}\u{2}/9.9 OK 200\r\n\r\n{body}"),
            _ => {
                format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 90\r\n\r\n{body}")
            }
        };
        // An error is ignored, since the connection is closed afterwards in any case.
        let _ = self.stream.write_all(text.as_bytes()).await;
    }
}
