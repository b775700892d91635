//! Discovery on loopback sockets: whole lists and watches, what it can carry, and what goes wrong with its answers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use pinefront_model::call_queue::Admission;
use pinefront_model::checker::Observation;
use pinefront_model::discovery::{Entry, State};
use pinefront_model::scenario::FaultKind;
use pinefront_model::timeline::DiscoveryState;
use pinefront_model::{Micros, SECOND};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep_until;

use crate::http;
use crate::stand::ended;
use crate::world::{World, locked};

/// The longest that a watch waits, whatever it asks for.
const WATCH_MOST: Duration = Duration::from_secs(60);
/// How long a watch without a next moment waits before it looks again all the same.
const LOOKS_AT_LEAST: Duration = Duration::from_secs(1);
/// Pieces that an answer comes in at most.
const PIECES_MOST: usize = 8;
/// After a connection broke in the listener's accept, the next try.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);
/// A silent watch misses what counts as told so long after its wait, or so long after it fell silent.
const COUNTS_AFTER_WAIT: Micros = 2 * SECOND;
const COUNTS_AFTER_SILENCE: Micros = 6 * SECOND;

/// Starts discovery for one balancer, on an address of its own so that the judge knows whom it told.
pub async fn serve(world: &Arc<World>, balancer: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let world = Arc::clone(world);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let connection = Connection {
                        world: Arc::clone(&world),
                        balancer,
                        stream,
                    };
                    tokio::spawn(connection.serve());
                }
                Err(_) => tokio::time::sleep(ACCEPT_AGAIN).await,
            }
        }
    });
    Ok(address)
}

/// A call for the whole list, or on a watch.
#[derive(Clone, Copy)]
struct Call {
    since: Option<u64>,
    wait: Duration,
}

impl Call {
    fn read(path: &str) -> Self {
        let number = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query
                .split('&')
                .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let wait = Duration::from_millis(number("timeout_ms").unwrap_or(0));
        Self {
            since: number("since"),
            wait: wait.min(WATCH_MOST),
        }
    }
}

/// How waiting on a watch ended.
enum Waited {
    /// There is news, or its time is over.
    Answer,
    /// It fell silent then.
    Silent(Micros),
    /// It is reset, or discovery is gone.
    Reset,
    /// The balancer closed the connection.
    Closed,
}

/// Whether the connection can carry another call.
#[derive(PartialEq, Eq)]
enum After {
    Lasts,
    Closes,
    Resets,
}

struct Connection {
    world: Arc<World>,
    balancer: usize,
    stream: TcpStream,
}

impl Connection {
    /// Answers calls, one after the other, until the connection ends.
    async fn serve(mut self) {
        let mut kept = Vec::new();
        while let Some(asked) = http::next_request(&mut self.stream, &mut kept).await {
            kept.drain(..asked.end);
            self.world.calls.fetch_add(1, Ordering::Relaxed);
            match self.answer(Call::read(&asked.path), &mut kept).await {
                Ok(After::Lasts) => {}
                Ok(After::Closes) | Err(_) => return,
                Ok(After::Resets) => return http::reset(self.stream),
            }
        }
    }

    async fn answer(&mut self, call: Call, kept: &mut Vec<u8>) -> io::Result<After> {
        if self.world.timeline().discovery_state(self.world.now()) == DiscoveryState::Unreachable {
            return Ok(After::Resets);
        }
        let (now, is_watch) = (self.world.now(), call.since.is_some());
        let slower = self
            .world
            .timeline()
            .global_fault(FaultKind::DiscoverySlow, now)
            .map_or(1.0, |strength| strength.factor);
        let admission = match self.world.clock.has_begun() {
            true => locked(&self.world.call_queue).admit(now, self.balancer, is_watch, slower),
            // Balancers are started before the day begins, in no time of its own.
            false => Admission::Admitted(now),
        };
        let turn = match admission {
            Admission::Admitted(turn) if !self.world.strikes(FaultKind::ListsRefused) => turn,
            Admission::Admitted(_) | Admission::Rejected => {
                http::answer(&mut self.stream, "503 Service Unavailable", "", "busy\n").await?;
                return Ok(After::Lasts);
            }
        };
        tokio::select! {
            () = sleep_until(self.world.clock.at(turn).into()) => {}
            () = ended(&mut self.stream, kept) => return Ok(After::Closes),
        }
        let began = self.world.now();
        if let Some(since) = call.since {
            match self.wait_for_news(since, call.wait, began, kept).await {
                Waited::Answer => {}
                Waited::Reset => return Ok(After::Resets),
                Waited::Closed => return Ok(After::Closes),
                Waited::Silent(from) => {
                    let over = began + call.wait.as_micros() as Micros + COUNTS_AFTER_WAIT;
                    self.world
                        .excuse(self.balancer, over.max(from + COUNTS_AFTER_SILENCE));
                    // Nothing says that nothing will come.
                    ended(&mut self.stream, kept).await;
                    return Ok(After::Closes);
                }
            }
        }
        self.write_list(call).await
    }

    async fn wait_for_news(
        &mut self,
        since: u64,
        wait: Duration,
        began: Micros,
        kept: &mut Vec<u8>,
    ) -> Waited {
        let world = Arc::clone(&self.world);
        let until = tokio::time::Instant::now() + wait;
        let mut listed = world.listed.subscribe();
        loop {
            listed.mark_unchanged();
            let now = world.now();
            if let Some(from) =
                world
                    .timeline()
                    .started_between(FaultKind::WatchesSilent, began, now)
            {
                return Waited::Silent(from);
            }
            let reset = world
                .timeline()
                .started_between(FaultKind::WatchesReset, began, now)
                .is_some();
            if reset || world.timeline().discovery_state(now) == DiscoveryState::Unreachable {
                return Waited::Reset;
            }
            let moment = told_moment(&world);
            let (version, next) = world
                .with_registry(|registry| (registry.version(moment), registry.next_change(since)));
            if version > since {
                // News waits behind what stands in the queue.
                let backlog = locked(&world.call_queue).backlog(now);
                tokio::time::sleep(Duration::from_micros(backlog)).await;
                return Waited::Answer;
            }
            if tokio::time::Instant::now() >= until {
                return Waited::Answer;
            }
            // Staleness begins and ends by itself, so it is looked at now and then.
            let latest = tokio::time::Instant::now() + LOOKS_AT_LEAST;
            let ends = [
                FaultKind::WatchesSilent,
                FaultKind::WatchesReset,
                FaultKind::DiscoveryUnreachable,
            ]
            .into_iter()
            .filter_map(|kind| world.timeline().next_start(kind, now));
            let next = next
                .into_iter()
                .chain(ends)
                .map(|at| world.clock.at(at + 1).into())
                .min();
            let next = next.unwrap_or(latest).min(latest).min(until);
            tokio::select! {
                () = sleep_until(next) => {}
                _ = listed.changed() => {}
                () = ended(&mut self.stream, kept) => return Waited::Closed,
            }
        }
    }

    /// Writes what a call asked for, as the day's faults have it, and notes what the balancer was told with it.
    async fn write_list(&mut self, call: Call) -> io::Result<After> {
        let world = Arc::clone(&self.world);
        if let Some(late) = self.span_of(FaultKind::ListsLate) {
            tokio::time::sleep(late).await;
        }
        let list = List::of(
            &world,
            call.since
                .filter(|_| !world.strikes(FaultKind::ListsComplete)),
        );
        let answer = Answer::word(&list, &world);
        if call.since.is_some() {
            locked(&world.call_queue).watch_answered(world.now(), self.balancer);
        }
        let cut = world
            .strikes(FaultKind::ListsCut)
            .then(|| 1 + world.draw(answer.text.len() - 1));
        let written = &answer.text[..cut.unwrap_or(answer.text.len())];
        match self.span_of(FaultKind::ListsInPieces) {
            Some(over) => self.write_in_pieces(written, &answer, &list, over).await?,
            None => {
                self.note_told(&answer, &list, 0, written.len());
                self.stream.write_all(written).await?;
            }
        }
        if cut.is_none() {
            self.note_gone(&list);
        }
        let resets = world.strikes(FaultKind::ListsReset);
        Ok(match (cut.is_some(), answer.lasts) {
            _ if resets => After::Resets,
            (true, _) | (_, false) => After::Closes,
            (false, true) => After::Lasts,
        })
    }

    async fn write_in_pieces(
        &mut self,
        written: &[u8],
        answer: &Answer,
        list: &List,
        over: Duration,
    ) -> io::Result<()> {
        let pieces = 2 + self.world.draw(PIECES_MOST - 1);
        let length = written.len().div_ceil(pieces).max(1);
        let mut from = 0;
        for piece in written.chunks(length) {
            if from > 0 {
                tokio::time::sleep(over / pieces as u32).await;
            }
            self.note_told(answer, list, from, from + piece.len());
            self.stream.write_all(piece).await?;
            from += piece.len();
        }
        Ok(())
    }

    /// A drawn span, where a fault of that kind strikes.
    fn span_of(&self, kind: FaultKind) -> Option<Duration> {
        let strength = self.world.timeline().global_fault(kind, self.world.now())?;
        let drawn = self.world.strikes(kind);
        drawn.then(|| Duration::from_micros(self.world.draw(strength.by as usize + 1) as u64))
    }

    /// Entries of which the first byte lies in that part of the answer count as told.
    fn note_told(&self, answer: &Answer, list: &List, from: usize, to: usize) {
        let now = self.world.now();
        for (entry, at) in list.entries.iter().zip(&answer.entries_at) {
            if (from..to).contains(at) {
                self.note(now, entry.server, entry.state != State::Active);
            }
        }
    }

    /// What a whole list does not name is gone, once the list is whole.
    fn note_gone(&self, list: &List) {
        let now = self.world.now();
        let named = |server: &usize| list.entries.iter().any(|entry| entry.server == *server);
        let servers = if list.is_whole {
            self.world.stands().len()
        } else {
            0
        };
        (0..servers)
            .filter(|server| !named(server))
            .for_each(|server| self.note(now, server, true));
    }

    fn note(&self, now: Micros, server: usize, drains: bool) {
        self.world.record(
            now,
            Observation::EndpointReported {
                balancer: self.balancer,
                server,
                draining: drains,
            },
        );
    }
}

/// What a call is to be told.
struct List {
    version: u64,
    is_whole: bool,
    entries: Vec<Entry>,
    targets: Vec<String>,
}

impl List {
    /// What changed since a version, or all where none is named.
    fn of(world: &World, since: Option<u64>) -> Self {
        let moment = told_moment(world);
        let (version, entries) = world.with_registry(|registry| match since {
            Some(since) => registry.since(moment, since),
            None => registry.list(moment),
        });
        let worded = |entry: Entry| {
            world
                .entry(&entry)
                .map(|target| (entry, target.to_string()))
        };
        let (entries, targets) = entries.into_iter().filter_map(worded).unzip();
        Self {
            version,
            is_whole: since.is_none(),
            entries,
            targets,
        }
    }
}

/// An answer's bytes, and where each entry of the list begins in them.
struct Answer {
    text: Vec<u8>,
    entries_at: Vec<usize>,
    lasts: bool,
}

impl Answer {
    fn word(list: &List, world: &World) -> Self {
        let mut body = format!(
            "{{\"rev\":{},\"all\":{},\"targets\":[",
            list.version, list.is_whole
        );
        let mut places = Vec::new();
        if world.strikes(FaultKind::ListsStrange) {
            let strange = json!({"uid": "s-strange", "endpoint": "nowhere", "state": "resting"});
            body += &strange.to_string();
        }
        for target in &list.targets {
            if !body.ends_with('[') {
                body += ",\n  ";
            }
            places.push(body.len());
            body += target;
        }
        body += "]}";
        Self::framed(&body, places, world)
    }

    /// In one of the framings that HTTP/1.1 has, where pieces are to be told apart by them.
    fn framed(body: &str, places: Vec<usize>, world: &World) -> Self {
        let framing = if world
            .timeline()
            .global_fault(FaultKind::ListsInPieces, world.now())
            .is_some()
        {
            world.draw(3)
        } else {
            0
        };
        let (head, tail) = match framing {
            1 => (
                format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n",
                    body.len()
                ),
                "\r\n0\r\n\r\n",
            ),
            2 => (
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
                "",
            ),
            _ => (
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()),
                "",
            ),
        };
        let entries_at = places.into_iter().map(|place| head.len() + place).collect();
        Self {
            text: format!("{head}{body}{tail}").into_bytes(),
            entries_at,
            lasts: framing != 2,
        }
    }
}

/// The moment whose list discovery tells now.
fn told_moment(world: &World) -> Micros {
    match world.timeline().discovery_state(world.now()) {
        DiscoveryState::Stale(by) => world.now().saturating_sub(by),
        _ => world.now(),
    }
}
