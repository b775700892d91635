//! The stand-in of discovery on loopback sockets: polls and watches, its capacity, and faults of
//! its responses.

mod list;

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use list::{List, Response, served_moment};
use pinefront_model::call_queue::Admission;
use pinefront_model::checker::Observation;
use pinefront_model::discovery::EndpointState;
use pinefront_model::scenario::FaultKind;
use pinefront_model::timeline::DiscoveryState;
use pinefront_model::{Micros, SECOND};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

use crate::http;
use crate::server_stand_in::closed_by_peer;
use crate::world::{World, locked};

/// The longest wait of a watch, whatever the call asks for.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(1);
/// The longest sleep of a watch. The list may change by itself when a fault starts or ends.
const MAX_WATCH_SLEEP: Duration = Duration::from_secs(1);
/// The largest number of pieces of a response.
const MAX_PIECES: usize = 8;
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long after the end of its wait a silent watch excuses a balancer.
const EXCUSED_AFTER_WAIT_US: Micros = 2 * SECOND;
/// How long after it fell silent a watch excuses a balancer at least.
const EXCUSED_AFTER_SILENCE_US: Micros = 6 * SECOND;
/// Faults that end a watch.
const WATCH_FAULTS: [FaultKind; 3] = [
    FaultKind::WatchesSilent,
    FaultKind::WatchesReset,
    FaultKind::DiscoveryUnreachable,
];

/// Starts discovery for one balancer, on an address of its own, so that the checker knows which
/// balancer was notified.
pub async fn start(world: &Arc<World>, balancer: usize) -> io::Result<SocketAddr> {
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
                        buffer: Vec::new(),
                    };
                    tokio::spawn(connection.serve());
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    });
    Ok(address)
}

/// A poll, or a watch that waits for changes.
#[derive(Clone, Copy)]
struct Call {
    /// The version that a watch knows; none for a poll.
    since: Option<u64>,
    wait: Duration,
}

impl Call {
    fn parse(path: &str) -> Self {
        let number = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query
                .split('&')
                .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let wait = Duration::from_millis(number("timeout_ms").unwrap_or(0));
        Self {
            since: number("since"),
            wait: wait.min(MAX_WATCH_WAIT),
        }
    }
}

/// How the wait of a watch ended.
enum WatchEnd {
    /// There are changes, or the wait is over.
    Respond,
    /// The watch fell silent at that time.
    Silent(Micros),
    /// The watch is reset, or discovery is unreachable.
    Reset,
    /// The balancer closed the connection.
    Closed,
}

/// What happens to the connection after a call.
#[derive(PartialEq, Eq)]
enum AfterCall {
    KeepAlive,
    Close,
    Reset,
}

struct Connection {
    world: Arc<World>,
    balancer: usize,
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Answers calls one after the other until the connection ends.
    async fn serve(mut self) {
        while let Some(request) = http::read_request(&mut self.stream, &mut self.buffer).await {
            self.buffer.drain(..request.end);
            self.world.discovery_calls.fetch_add(1, Ordering::Relaxed);
            match self.answer(Call::parse(&request.path)).await {
                Ok(AfterCall::KeepAlive) => {}
                Ok(AfterCall::Close) | Err(_) => return,
                Ok(AfterCall::Reset) => return http::reset_connection(self.stream),
            }
        }
    }

    async fn answer(&mut self, call: Call) -> io::Result<AfterCall> {
        if self.is_unreachable() {
            return Ok(AfterCall::Reset);
        }
        let Admission::Admitted(at) = self.admit(call) else {
            let status = "503 Service Unavailable";
            http::write_response(&mut self.stream, status, "", "busy\n").await?;
            return Ok(AfterCall::KeepAlive);
        };
        tokio::select! {
            () = sleep_until(self.world.clock.at(at).into()) => {}
            () = closed_by_peer(&mut self.stream, &mut self.buffer) => return Ok(AfterCall::Close),
        }
        let started_at = self.world.now();
        if let Some(since) = call.since {
            match self.wait_for_changes(since, call.wait, started_at).await {
                WatchEnd::Respond => {}
                WatchEnd::Reset => return Ok(AfterCall::Reset),
                WatchEnd::Closed => return Ok(AfterCall::Close),
                WatchEnd::Silent(from) => {
                    self.stay_silent(call, started_at, from).await;
                    return Ok(AfterCall::Close);
                }
            }
        }
        self.write_list(call).await
    }

    fn is_unreachable(&self) -> bool {
        let state = self.world.timeline().discovery_state(self.world.now());
        state == DiscoveryState::Unreachable
    }

    /// Admits or rejects a call.
    fn admit(&self, call: Call) -> Admission {
        let now = self.world.now();
        let slow = self
            .world
            .timeline()
            .active_global_fault(FaultKind::DiscoverySlow, now);
        let slowdown = slow.map_or(1.0, |strength| strength.factor);
        // Balancers start before the run does, and their calls then take no time.
        let admission = if self.world.clock.has_begun() {
            let mut queue = locked(&self.world.call_queue);
            queue.admit(now, self.balancer, call.since.is_some(), slowdown)
        } else {
            Admission::Admitted(now)
        };
        match admission {
            Admission::Admitted(_) if self.world.fault_strikes(FaultKind::ListsRefused) => {
                Admission::Rejected
            }
            admission => admission,
        }
    }

    /// Keeps a silent watch open until the balancer closes it.
    async fn stay_silent(&mut self, call: Call, started_at: Micros, silent_from: Micros) {
        let wait_ends = started_at + call.wait.as_micros() as Micros;
        let excused_until =
            (wait_ends + EXCUSED_AFTER_WAIT_US).max(silent_from + EXCUSED_AFTER_SILENCE_US);
        self.world.excuse_balancer(self.balancer, excused_until);
        closed_by_peer(&mut self.stream, &mut self.buffer).await;
    }

    async fn wait_for_changes(
        &mut self,
        since: u64,
        wait: Duration,
        started_at: Micros,
    ) -> WatchEnd {
        let world = Arc::clone(&self.world);
        let wait_ends = Instant::now() + wait;
        let mut list_changed = world.list_changed.subscribe();
        loop {
            list_changed.mark_unchanged();
            let now = world.now();
            if let Some(end) = self.ended_by_fault(started_at, now) {
                return end;
            }
            let moment = served_moment(&world);
            let (version, next_change) = world
                .with_registry(|registry| (registry.version(moment), registry.next_change(since)));
            if version > since {
                let backlog = locked(&world.call_queue).backlog(now);
                tokio::time::sleep(Duration::from_micros(backlog)).await;
                return WatchEnd::Respond;
            }
            if Instant::now() >= wait_ends {
                return WatchEnd::Respond;
            }
            let wake_at = self.wake_time(next_change, now).min(wait_ends);
            tokio::select! {
                () = sleep_until(wake_at) => {}
                _ = list_changed.changed() => {}
                () = closed_by_peer(&mut self.stream, &mut self.buffer) => {
                    return WatchEnd::Closed;
                }
            }
        }
    }

    /// How a fault that started since `started_at` ended a watch, if one did.
    fn ended_by_fault(&self, started_at: Micros, now: Micros) -> Option<WatchEnd> {
        let timeline = self.world.timeline();
        let silent_from = timeline.started_between(FaultKind::WatchesSilent, started_at, now);
        if let Some(from) = silent_from {
            return Some(WatchEnd::Silent(from));
        }
        let reset = timeline.started_between(FaultKind::WatchesReset, started_at, now);
        let is_unreachable = timeline.discovery_state(now) == DiscoveryState::Unreachable;
        (reset.is_some() || is_unreachable).then_some(WatchEnd::Reset)
    }

    /// When a watch must look at the list and the faults again.
    fn wake_time(&self, next_change: Option<Micros>, now: Micros) -> Instant {
        let latest = Instant::now() + MAX_WATCH_SLEEP;
        let timeline = self.world.timeline();
        let faults = WATCH_FAULTS
            .into_iter()
            .filter_map(|kind| timeline.next_start(kind, now));
        let next = next_change
            .into_iter()
            .chain(faults)
            .map(|at| self.world.clock.at(at + 1).into())
            .min();
        next.unwrap_or(latest).min(latest)
    }

    /// Writes the response to a call, with the active faults, and records what the balancer was
    /// notified of.
    async fn write_list(&mut self, call: Call) -> io::Result<AfterCall> {
        let world = Arc::clone(&self.world);
        if let Some(delay) = self.draw_fault_duration(FaultKind::ListsLate) {
            tokio::time::sleep(delay).await;
        }
        let since = call
            .since
            .filter(|_| !world.fault_strikes(FaultKind::ListsComplete));
        let list = List::new(&world, since);
        let response = Response::new(&list, &world);
        if call.since.is_some() {
            locked(&world.call_queue).watch_answered(world.now(), self.balancer);
        }
        let truncated_at = world
            .fault_strikes(FaultKind::ListsCut)
            .then(|| 1 + world.draw_below(response.bytes.len() - 1));
        let length = truncated_at.unwrap_or(response.bytes.len());
        if let Some(over) = self.draw_fault_duration(FaultKind::ListsInPieces) {
            self.write_in_pieces(&response, &list, length, over).await?;
        } else {
            self.record_entries(&response, &list, 0..length);
            self.stream.write_all(&response.bytes[..length]).await?;
        }
        if truncated_at.is_none() {
            self.record_missing(&list);
        }
        if world.fault_strikes(FaultKind::ListsReset) {
            Ok(AfterCall::Reset)
        } else if truncated_at.is_some() || !response.keep_alive {
            Ok(AfterCall::Close)
        } else {
            Ok(AfterCall::KeepAlive)
        }
    }

    async fn write_in_pieces(
        &mut self,
        response: &Response,
        list: &List,
        length: usize,
        over: Duration,
    ) -> io::Result<()> {
        let pieces = 2 + self.world.draw_below(MAX_PIECES - 1);
        let piece_length = length.div_ceil(pieces).max(1);
        let mut offset = 0;
        for piece in response.bytes[..length].chunks(piece_length) {
            if offset > 0 {
                tokio::time::sleep(over / pieces as u32).await;
            }
            self.record_entries(response, list, offset..offset + piece.len());
            self.stream.write_all(piece).await?;
            offset += piece.len();
        }
        Ok(())
    }

    /// A random duration up to that of a fault, where a fault of that kind strikes.
    fn draw_fault_duration(&self, kind: FaultKind) -> Option<Duration> {
        let strength = self
            .world
            .timeline()
            .active_global_fault(kind, self.world.now())?;
        let strikes = self.world.fault_strikes(kind);
        strikes.then(|| {
            let duration_us = self.world.draw_below(strength.by as usize + 1);
            Duration::from_micros(duration_us as u64)
        })
    }

    /// Records the entries of which the first byte is written in that range.
    fn record_entries(&self, response: &Response, list: &List, written: Range<usize>) {
        let now = self.world.now();
        for (entry, offset) in list.entries.iter().zip(&response.entry_offsets) {
            if written.contains(offset) {
                self.record(now, entry.server, entry.state != EndpointState::Active);
            }
        }
    }

    /// Records the servers that a complete list doesn't contain as removed.
    fn record_missing(&self, list: &List) {
        if !list.is_complete {
            return;
        }
        let now = self.world.now();
        for server in 0..self.world.servers().len() {
            if list.entries.iter().all(|entry| entry.server != server) {
                self.record(now, server, true);
            }
        }
    }

    fn record(&self, now: Micros, server: usize, draining: bool) {
        let observation = Observation::EndpointReported {
            balancer: self.balancer,
            server,
            is_draining: draining,
        };
        self.world.record(now, observation);
    }
}
