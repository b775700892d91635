//! Servers on loopback sockets.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::Micros;
use pinefront_model::checker::Observation;
use pinefront_model::scenario::FaultKind;
use pinefront_model::server::{JobOutcome, Report};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout};

use crate::http;
use crate::world::{Stand, World};

/// Pieces that an answer is written in.
const PIECES: usize = 6;
/// How late a second answer comes at most: some milliseconds.
const LATE_MOST_US: usize = 6_000;
/// Part of the answers without a length that are reset on the way.
const RESET_ON_THE_WAY: f64 = 0.33;
/// How long a stand-in without a next moment sleeps before it looks again all the same.
const LOOKS_AT_LEAST: Duration = Duration::from_secs(1);

/// Starts a server's stand-in on a new address. It ends when the server's life does.
pub async fn server(world: &Arc<World>, number: usize, told: bool) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let Some(stand) = world.stand(number) else {
        return Ok(());
    };
    world.listens(number, listener.local_addr()?, told);
    let life = *stand.life.borrow();
    tokio::spawn(timer(Arc::clone(world), Arc::clone(&stand), life));
    let world = Arc::clone(world);
    tokio::spawn(async move {
        let mut lives = stand.life.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let (world, stand) = (Arc::clone(&world), Arc::clone(&stand));
                        tokio::spawn(async move { connection(&world, &stand, stream, life).await });
                    }
                    // Out of descriptors, likely: others end meanwhile.
                    Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                },
                () = life_ends(&mut lives, life) => return,
            }
        }
    });
    Ok(())
}

/// Waits until a server's life is over.
async fn life_ends(lives: &mut watch::Receiver<u64>, life: u64) {
    // The sender lives as long as the server, so an error means that all is over.
    let _ = lives.wait_for(|now| *now != life).await;
}

/// Looks at the server whenever something happens there by itself.
async fn timer(world: Arc<World>, stand: Arc<Stand>, life: u64) {
    let mut lives = stand.life.subscribe();
    loop {
        let latest = tokio::time::Instant::now() + LOOKS_AT_LEAST;
        let next = world
            .advance(&stand)
            .map_or(latest, |next| world.clock.at(next).into());
        tokio::select! {
            () = sleep_until(next) => {}
            () = stand.look.notified() => {}
            () = life_ends(&mut lives, life) => return,
        }
    }
}

async fn connection(world: &World, stand: &Stand, mut stream: TcpStream, life: u64) {
    if !stand.with(pinefront_model::server::Server::connect) {
        return http::reset(stream);
    }
    // Without it answers in two writes would wait for each other.
    let _ = stream.set_nodelay(true);
    let mut lives = stand.life.subscribe();
    let over = tokio::select! {
        over = carry(world, stand, &mut stream) => over,
        () = life_ends(&mut lives, life) => Over::Reset,
    };
    if *stand.life.borrow() == life {
        stand.with(pinefront_model::server::Server::disconnect);
    }
    if over == Over::Reset {
        http::reset(stream);
    }
}

/// How a connection ends.
#[derive(PartialEq, Eq)]
enum Over {
    Closed,
    Reset,
}

/// Takes tickets on a connection, one after the other, until it ends.
async fn carry(world: &World, stand: &Stand, stream: &mut TcpStream) -> Over {
    let usual_idle = Duration::from_micros(world.scenario.fleet.idle_timeout.0);
    let mut kept = Vec::new();
    let mut handshake = world.scenario.fleet.handshake_work.0 as f64;
    loop {
        let mut started_at: Option<Micros> = (!kept.is_empty()).then(|| world.now());
        let asked = loop {
            match if kept.is_empty() {
                Ok(None)
            } else {
                http::asked(&kept)
            } {
                Ok(Some(asked)) => break asked,
                Ok(None) => {}
                Err(_) => return Over::Closed,
            }
            let short = world
                .timeline()
                .global_fault(FaultKind::IdleClosed, world.now());
            let idle = short.map_or(usual_idle, |strength| {
                usual_idle.min(Duration::from_micros(strength.by))
            });
            match timeout(idle, http::more(stream, &mut kept)).await {
                Ok(Ok(true)) => _ = started_at.get_or_insert_with(|| world.now()),
                Err(_) if short.is_some() && kept.is_empty() && world.drawn(0.5) => {
                    return Over::Reset;
                }
                // It ended, broke, or stood idle for too long.
                _ => return Over::Closed,
            }
        };
        let started_at = started_at.unwrap_or_else(|| world.now());
        kept.drain(..asked.end);
        let Some(id) = asked.id else {
            if http::answer(stream, "404 Not Found", "", "no ticket\n")
                .await
                .is_err()
            {
                return Over::Reset;
            }
            continue;
        };
        let (known, Some(request)) = world.request(&id, &asked.path) else {
            if http::answer(stream, "400 Bad Request", "", "no such ticket\n")
                .await
                .is_err()
            {
                return Over::Reset;
            }
            continue;
        };
        if let Some((request, remaining_ms)) = known.zip(asked.remaining_ms) {
            world.record(
                world.now(),
                Observation::TimeoutAdvertised {
                    request,
                    started_at,
                    remaining: remaining_ms * 1000,
                },
            );
        }
        let (job, answer) = world.sent(
            stand,
            known,
            &request,
            started_at,
            std::mem::take(&mut handshake),
        );
        let how = tokio::select! {
            how = answer => how.unwrap_or(JobOutcome::ServerDied),
            // More bytes are no end: they are kept for the next ticket. An end is a call off.
            () = ended(stream, &mut kept) => {
                world.cancelled(stand, job);
                return Over::Closed;
            }
        };
        if how == JobOutcome::Succeeded && world.strikes(FaultKind::AnswersUnended) {
            return unended(stream, &id, world.drawn(RESET_ON_THE_WAY)).await;
        }
        let written = match how {
            JobOutcome::Succeeded => succeeded(world, stand, stream, &id).await,
            JobOutcome::Corrupted => {
                spoilt(world, stream, &id).await;
                return Over::Closed;
            }
            JobOutcome::Rejected => {
                http::answer(
                    stream,
                    "503 Service Unavailable",
                    "X-Turned-Away: 1\r\n",
                    "full\n",
                )
                .await
            }
            JobOutcome::Failed => {
                http::answer(stream, "500 Internal Server Error", "", "failed\n").await
            }
            JobOutcome::ConnectionReset | JobOutcome::ServerDied => return Over::Reset,
            JobOutcome::Unanswered => {
                ended(stream, &mut kept).await;
                return Over::Closed;
            }
        };
        if written.is_err() {
            return Over::Reset;
        }
    }
}

/// Waits until the other side ends the connection or its sending on it.
pub async fn ended(stream: &mut TcpStream, kept: &mut Vec<u8>) {
    while let Ok(true) = http::more(stream, kept).await {}
}

async fn succeeded(
    world: &World,
    stand: &Stand,
    stream: &mut TcpStream,
    id: &str,
) -> io::Result<()> {
    let load = stand
        .report(world.now())
        .map_or_else(String::new, |load| load_field(&load));
    if world.strikes(FaultKind::AnswersInPieces) {
        let text = http::answer_text("200 OK", &load, &body(id));
        http::in_pieces(stream, text.as_bytes(), PIECES).await?;
    } else {
        http::answer(stream, "200 OK", &load, &body(id)).await?;
    }
    if world.strikes(FaultKind::AnswersTwice) {
        tokio::time::sleep(Duration::from_micros(1 + world.draw(LATE_MOST_US) as u64)).await;
        http::answer(stream, "200 OK", "", "a second answer\n").await?;
    }
    Ok(())
}

/// The header field that reports a server's load.
pub fn load_field(load: &Report) -> String {
    format!(
        "X-Pressure: TEXT inflight={}, queue={}, util={:.2}\r\n",
        load.in_flight, load.queue, load.utilisation
    )
}

/// An answer that states no length, and ends with its connection: in order, or by a reset on the way.
async fn unended(stream: &mut TcpStream, id: &str, resets: bool) -> Over {
    let body = body(id);
    let sent = if resets {
        &body[..body.len() / 2]
    } else {
        &body
    };
    let text = format!("HTTP/1.1 200 OK\r\n\r\n{sent}");
    let written = stream.write_all(text.as_bytes()).await;
    // The reset must not overtake what was written.
    tokio::time::sleep(Duration::from_millis(2)).await;
    if resets || written.is_err() {
        Over::Reset
    } else {
        Over::Closed
    }
}

/// The body that a server makes for a ticket.
pub fn body(id: &str) -> String {
    format!("{id} served\n")
}

/// An answer that nobody can take for a whole one: cut short, no HTTP, or a length that contradicts itself.
async fn spoilt(world: &World, stream: &mut TcpStream, id: &str) {
    let body = body(id);
    let text = match world.draw(3) {
        0 => format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len() + 40
        ),
        1 => format!("\u{1}\u{2}/9.9 OK 200\r\n\r\n{body}"),
        _ => format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 90\r\n\r\n{body}"),
    };
    // The connection ends either way.
    let _ = stream.write_all(text.as_bytes()).await;
}
