//! The stand-in of discovery on loopback sockets. It serves polls and watches with a limited
//! capacity, and injects faults into its responses.

mod list;

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use list::{List, Response, served_time};
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
use crate::server_stand_in::wait_until_closed;
use crate::world::{World, locked};

/// The longest wait of a watch; a longer `timeout_ms` is shortened to it.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(1);
/// The longest sleep of a watch between two checks of the list, since a fault can change the
/// served list without a notification when it starts or ends.
const MAX_WATCH_SLEEP: Duration = Duration::from_secs(1);
/// The largest number of pieces of a response while a fault splits lists.
const MAX_PIECES: usize = 8;
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// A balancer with a silent watch is exempt at least until this long after the end of the wait.
const EXEMPT_AFTER_WAIT_US: Micros = 2 * SECOND;
/// A balancer with a silent watch is exempt at least until this long after the watch became silent.
const EXEMPT_AFTER_SILENCE_US: Micros = 6 * SECOND;
/// Kinds of faults that end a watch.
const WATCH_FAULTS: [FaultKind; 3] = [
    FaultKind::WatchesSilent,
    FaultKind::WatchesReset,
    FaultKind::DiscoveryUnreachable,
];

/// Starts the discovery of one balancer. Each balancer has a separate address, by which the testbed
/// identifies the balancer that was notified.
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

/// The parameters of a poll, or of a watch, which waits for changes.
#[derive(Clone, Copy)]
struct Call {
    /// The version of the list that the caller of a watch has; none for a poll.
    since: Option<u64>,
    /// The longest time that a watch waits for changes.
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

/// The reason why the wait of a watch ended.
enum WatchEnd {
    /// There are changes to send, or the wait is over.
    Respond,
    /// A fault made the watch silent at that time.
    Silent(Micros),
    /// A fault resets the watch, or discovery is unreachable.
    Reset,
    /// The balancer closed the connection.
    Closed,
}

/// The action on a connection after a call was answered.
#[derive(PartialEq, Eq)]
enum AfterCall {
    KeepAlive,
    Close,
    Reset,
}

/// A connection from a balancer to discovery.
struct Connection {
    world: Arc<World>,
    balancer: usize,
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Answers the calls of the connection one after the other until it ends.
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
            () = sleep_until(self.world.clock.instant_at(at).into()) => {}
            () = wait_until_closed(&mut self.stream, &mut self.buffer) => {
                return Ok(AfterCall::Close);
            }
        }
        let started_at = self.world.now();
        if let Some(since) = call.since {
            match self.wait_for_changes(since, call.wait, started_at).await {
                WatchEnd::Respond => {}
                WatchEnd::Reset => return Ok(AfterCall::Reset),
                WatchEnd::Closed => return Ok(AfterCall::Close),
                WatchEnd::Silent(from) => {
                    self.hold_silent_watch(call, started_at, from).await;
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
        // Balancers start before the clock of the run; until the clock starts, calls are admitted
        // without delay.
        let admission = if self.world.clock.has_started() {
            let mut queue = locked(&self.world.call_queue);
            queue.admit(now, self.balancer, call.since.is_some(), slowdown)
        } else {
            Admission::Admitted(now)
        };
        match admission {
            Admission::Admitted(_) if self.world.draw_fault(FaultKind::ListsRefused) => {
                Admission::Rejected
            }
            admission => admission,
        }
    }

    /// Keeps a silent watch open until the balancer closes the connection, and exempts the balancer
    /// from rules that require a current endpoint list.
    async fn hold_silent_watch(&mut self, call: Call, started_at: Micros, silent_from: Micros) {
        let wait_ends = started_at + call.wait.as_micros() as Micros;
        let exempt_until =
            (wait_ends + EXEMPT_AFTER_WAIT_US).max(silent_from + EXEMPT_AFTER_SILENCE_US);
        self.world.exempt_balancer(self.balancer, exempt_until);
        wait_until_closed(&mut self.stream, &mut self.buffer).await;
    }

    /// Waits until the list has changes since a version, at most as long as `wait`, or until the
    /// watch ends for another reason.
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
            if let Some(end) = self.watch_end_by_fault(started_at, now) {
                return end;
            }
            let served_at = served_time(&world);
            let (version, next_change) = world.with_registry(|registry| {
                (registry.version(served_at), registry.next_change(since))
            });
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
                () = wait_until_closed(&mut self.stream, &mut self.buffer) => {
                    return WatchEnd::Closed;
                }
            }
        }
    }

    /// The end of a watch that a fault causes if it started after `started_at` or makes discovery
    /// unreachable; none if no fault ends the watch.
    fn watch_end_by_fault(&self, started_at: Micros, now: Micros) -> Option<WatchEnd> {
        let timeline = self.world.timeline();
        let silent_from = timeline.started_between(FaultKind::WatchesSilent, started_at, now);
        if let Some(from) = silent_from {
            return Some(WatchEnd::Silent(from));
        }
        let reset = timeline.started_between(FaultKind::WatchesReset, started_at, now);
        let is_unreachable = timeline.discovery_state(now) == DiscoveryState::Unreachable;
        (reset.is_some() || is_unreachable).then_some(WatchEnd::Reset)
    }

    /// The time at which a watch must check the list and the faults again.
    fn wake_time(&self, next_change: Option<Micros>, now: Micros) -> Instant {
        let latest = Instant::now() + MAX_WATCH_SLEEP;
        let timeline = self.world.timeline();
        let faults = WATCH_FAULTS
            .into_iter()
            .filter_map(|kind| timeline.next_start(kind, now));
        let next = next_change
            .into_iter()
            .chain(faults)
            .map(|at| self.world.clock.instant_at(at + 1).into())
            .min();
        next.unwrap_or(latest).min(latest)
    }

    /// Writes the response to a call with the active faults, and records the changes that the
    /// balancer was notified of.
    async fn write_list(&mut self, call: Call) -> io::Result<AfterCall> {
        let world = Arc::clone(&self.world);
        if let Some(delay) = self.draw_fault_duration(FaultKind::ListsLate) {
            tokio::time::sleep(delay).await;
        }
        let since = call
            .since
            .filter(|_| !world.draw_fault(FaultKind::ListsComplete));
        let list = List::new(&world, since);
        let response = Response::new(&list, &world);
        if call.since.is_some() {
            locked(&world.call_queue).watch_answered(world.now(), self.balancer);
        }
        let truncated_at = world
            .draw_fault(FaultKind::ListsCut)
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
        if world.draw_fault(FaultKind::ListsReset) {
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

    /// Returns a random duration up to the parameter `by` of a fault, if a fault of that kind is
    /// active and drawn.
    fn draw_fault_duration(&self, kind: FaultKind) -> Option<Duration> {
        let strength = self
            .world
            .timeline()
            .active_global_fault(kind, self.world.now())?;
        let strikes = self.world.draw_fault(kind);
        strikes.then(|| {
            let duration_us = self.world.draw_below(strength.by as usize + 1);
            Duration::from_micros(duration_us as u64)
        })
    }

    /// Records the entries whose first byte is in the written range of the response.
    fn record_entries(&self, response: &Response, list: &List, written: Range<usize>) {
        let now = self.world.now();
        for (entry, offset) in list.entries.iter().zip(&response.entry_offsets) {
            if written.contains(offset) {
                self.record(now, entry.server, entry.state != EndpointState::Active);
            }
        }
    }

    /// Records servers that a complete list doesn't contain as removed.
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

    fn record(&self, now: Micros, server: usize, is_draining: bool) {
        let observation = Observation::EndpointReported {
            balancer: self.balancer,
            server,
            is_draining,
        };
        self.world.record(now, observation);
    }
}
