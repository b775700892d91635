//! Stand-ins of servers on loopback sockets: they pass attempts to the simulated servers and write
//! responses, with the faults of the scenario.

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

/// Number of pieces in which a response is written.
const RESPONSE_PIECES: usize = 6;
/// The longest delay of an unsolicited response.
const MAX_SECOND_RESPONSE_DELAY_US: usize = 6_000;
/// Fraction of the responses without a length that are reset on the way.
const RESET_FRACTION: f64 = 0.33;
/// Fraction of the idle connections that are reset rather than closed, while a fault shortens the
/// idle timeout.
const IDLE_RESET_FRACTION: f64 = 0.5;
/// Delay between writing and a reset, so that the reset doesn't overtake the data.
const RESET_DELAY: Duration = Duration::from_millis(2);
/// The longest sleep of a server's timer.
const MAX_TIMER_SLEEP: Duration = Duration::from_secs(1);
/// Delay after a failure to accept a connection, most likely for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Starts the stand-in of a server on a new address; it ends with the server's incarnation.
/// `announce` adds the server to the endpoint list.
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

/// One incarnation of a server.
#[derive(Clone)]
struct StandIn {
    world: Arc<World>,
    host: Arc<ServerHost>,
    incarnation: u64,
}

/// How a connection ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
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

    /// Advances the server whenever an event is due.
    async fn run_timer(self) {
        let mut incarnations = self.host.incarnation.subscribe();
        loop {
            let latest = tokio::time::Instant::now() + MAX_TIMER_SLEEP;
            let next = self
                .world
                .advance_server(&self.host)
                .map_or(latest, |next| self.world.clock.at(next).into());
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
        // Nagle's algorithm would delay responses that are written in pieces.
        let _ = stream.set_nodelay(true);
        let mut incarnations = self.host.incarnation.subscribe();
        let connection = Connection::new(&self, &mut stream);
        let ending = tokio::select! {
            ending = connection.serve() => ending,
            () = incarnation_ended(&mut incarnations, self.incarnation) => Ending::Reset,
        };
        if *self.host.incarnation.borrow() == self.incarnation {
            self.host.with_server(Server::disconnect);
        }
        if ending == Ending::Reset {
            http::reset_connection(stream);
        }
    }
}

async fn incarnation_ended(incarnations: &mut watch::Receiver<u64>, incarnation: u64) {
    // An error means that the server was dropped, which ends it too.
    let _ = incarnations.wait_for(|now| *now != incarnation).await;
}

/// Waits until the other side closes the connection; further bytes are added to the buffer.
pub async fn closed_by_peer(stream: &mut TcpStream, buffer: &mut Vec<u8>) {
    while let Ok(true) = http::read_more(stream, buffer).await {}
}

/// The body of a server's response to a request.
pub fn response_body(id: &str) -> String {
    format!("{id} served\n")
}

/// The header line that reports a server's load.
pub fn load_header(load: &LoadReport) -> String {
    format!(
        "X-Pressure: TEXT inflight={}, queue={}, util={:.2}\r\n",
        load.in_flight, load.queue, load.utilisation
    )
}

/// A request and when its first byte arrived.
struct Received {
    request: ParsedRequest,
    started_at: Micros,
}

/// A connection of a balancer.
struct Connection<'a> {
    world: &'a World,
    host: &'a ServerHost,
    stream: &'a mut TcpStream,
    buffer: Vec<u8>,
    /// Work of the handshake, which the first request adds to its own.
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

    /// Serves requests one after the other until the connection ends.
    async fn serve(mut self) -> Ending {
        loop {
            let received = match self.next_request().await {
                Ok(received) => received,
                Err(ending) => return ending,
            };
            if let Err(ending) = self.serve_request(received).await {
                return ending;
            }
        }
    }

    /// Reads the next request.
    async fn next_request(&mut self) -> Result<Received, Ending> {
        let mut started_at = (!self.buffer.is_empty()).then(|| self.world.now());
        loop {
            if !self.buffer.is_empty() {
                let parsed = http::parse_request(&self.buffer).map_err(|_| Ending::Closed)?;
                if let Some(request) = parsed {
                    self.buffer.drain(..request.end);
                    let started_at = started_at.unwrap_or_else(|| self.world.now());
                    return Ok(Received {
                        request,
                        started_at,
                    });
                }
            }
            self.read_more().await?;
            started_at.get_or_insert_with(|| self.world.now());
        }
    }

    /// Reads more bytes, within the idle timeout.
    async fn read_more(&mut self) -> Result<(), Ending> {
        let usual_timeout = Duration::from_micros(self.world.scenario.fleet.idle_timeout.0);
        let fault = self
            .world
            .timeline()
            .active_global_fault(FaultKind::IdleClosed, self.world.now());
        let idle_timeout = fault.map_or(usual_timeout, |strength| {
            usual_timeout.min(Duration::from_micros(strength.by))
        });
        let read = http::read_more(self.stream, &mut self.buffer);
        match timeout(idle_timeout, read).await {
            Ok(Ok(true)) => Ok(()),
            Err(_)
                if fault.is_some()
                    && self.buffer.is_empty()
                    && self.world.draw_happens(IDLE_RESET_FRACTION) =>
            {
                Err(Ending::Reset)
            }
            _ => Err(Ending::Closed),
        }
    }

    async fn serve_request(&mut self, received: Received) -> Result<(), Ending> {
        let Received {
            request,
            started_at,
        } = received;
        let Some(id) = request.id else {
            return self.respond("404 Not Found", "", "no ticket\n").await;
        };
        let Some(found) = self.world.find_request(&id, &request.path) else {
            return self
                .respond("400 Bad Request", "", "no such ticket\n")
                .await;
        };
        if let Some((number, remaining_ms)) = found.number.zip(request.remaining_ms) {
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
            .receive_attempt(self.host, &found, started_at, extra_work);
        let outcome = tokio::select! {
            outcome = attempt.outcome => outcome.unwrap_or(JobOutcome::ServerCrashed),
            () = closed_by_peer(self.stream, &mut self.buffer) => {
                self.world.cancel_attempt(self.host, attempt.job);
                return Err(Ending::Closed);
            }
        };
        self.write_outcome(outcome, &id).await
    }

    async fn write_outcome(&mut self, outcome: JobOutcome, id: &str) -> Result<(), Ending> {
        match outcome {
            JobOutcome::Succeeded => {
                if self.world.fault_strikes(FaultKind::AnswersUnended) {
                    return Err(self.write_without_length(id).await);
                }
                self.write_success(id).await.map_err(|_| Ending::Reset)
            }
            JobOutcome::Corrupted => {
                self.write_corrupted(id).await;
                Err(Ending::Closed)
            }
            JobOutcome::Rejected => {
                let status = "503 Service Unavailable";
                self.respond(status, "X-Turned-Away: 1\r\n", "full\n").await
            }
            JobOutcome::Failed => {
                let status = "500 Internal Server Error";
                self.respond(status, "", "failed\n").await
            }
            JobOutcome::ConnectionReset | JobOutcome::ServerCrashed => Err(Ending::Reset),
            JobOutcome::Unanswered => {
                closed_by_peer(self.stream, &mut self.buffer).await;
                Err(Ending::Closed)
            }
        }
    }

    async fn respond(&mut self, status: &str, headers: &str, body: &str) -> Result<(), Ending> {
        http::write_response(self.stream, status, headers, body)
            .await
            .map_err(|_| Ending::Reset)
    }

    async fn write_success(&mut self, id: &str) -> io::Result<()> {
        let load = self.host.report(self.world.now());
        let header = load.as_ref().map_or_else(String::new, load_header);
        let body = response_body(id);
        if self.world.fault_strikes(FaultKind::AnswersInPieces) {
            let text = http::response_text("200 OK", &header, &body);
            http::write_in_pieces(self.stream, text.as_bytes(), RESPONSE_PIECES).await?;
        } else {
            http::write_response(self.stream, "200 OK", &header, &body).await?;
        }
        if self.world.fault_strikes(FaultKind::AnswersTwice) {
            let delay_us = 1 + self.world.draw_below(MAX_SECOND_RESPONSE_DELAY_US) as u64;
            tokio::time::sleep(Duration::from_micros(delay_us)).await;
            http::write_response(self.stream, "200 OK", "", "a second answer\n").await?;
        }
        Ok(())
    }

    /// Writes a response that states no length. It ends with the connection, or is reset half way.
    async fn write_without_length(&mut self, id: &str) -> Ending {
        let is_reset = self.world.draw_happens(RESET_FRACTION);
        let body = response_body(id);
        let sent = if is_reset {
            &body[..body.len() / 2]
        } else {
            &body
        };
        let text = format!("HTTP/1.1 200 OK\r\n\r\n{sent}");
        let written = self.stream.write_all(text.as_bytes()).await;
        tokio::time::sleep(RESET_DELAY).await;
        if is_reset || written.is_err() {
            Ending::Reset
        } else {
            Ending::Closed
        }
    }

    /// Writes a response that is truncated, no HTTP, or contradicts itself about its length.
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
        // The connection is closed afterwards in any case.
        let _ = self.stream.write_all(text.as_bytes()).await;
    }
}
