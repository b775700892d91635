//! Simulates a balancer and a discovery that, at random times, is partitioned, overloaded or down,
//! truncates responses and loses watches. The schedule is driven in the same way as by
//! `Proxy::run_polling_schedule`.

use super::*;

/// Maximum queueing time of a poll at discovery for which the bound of the schedule holds.
pub(super) const MAX_QUEUE_TIME: Micros = 1_700 * MILLISECOND;
/// Time after the response to a poll for changes within which the next one continues the watch
/// without being queued.
pub(super) const WATCH_CONTINUATION_WINDOW: Micros = 200 * MILLISECOND;

/// The state of discovery and of the network path to it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Network {
    /// Polls are accepted.
    Open,
    /// Polls are rejected, as too many are queued.
    Overloaded,
    /// The process of discovery is down, and its machine refuses connections.
    Down,
    /// All packets are lost without an error.
    Partitioned,
}

/// The state of a connection at discovery.
pub(super) struct SimulatedConnection {
    pub id: ConnectionId,
    pub connected: bool,
    /// Whether it is never established, or no more bytes arrive on it.
    pub lost: bool,
    pub poll: Option<SimulatedPoll>,
}

pub(super) struct SimulatedPoll {
    query: ListQuery,
    sent: Micros,
    /// When discovery serves it; `None` before it was admitted.
    served_at: Option<Micros>,
}

impl SimulatedPoll {
    pub fn since(&self) -> Option<u64> {
        match self.query {
            ListQuery::CompleteList => None,
            ListQuery::Changes { since, .. } => Some(since),
        }
    }

    pub fn wait(&self) -> Micros {
        match self.query {
            ListQuery::CompleteList => 0,
            ListQuery::Changes { wait, .. } => wait,
        }
    }
}

/// A balancer with its own discovery.
pub(super) struct SimulatedBalancer {
    pub now: Micros,
    pub schedule: PollingSchedule,
    pub settings: PollingSettings,
    pub random: WyRand,
    pub network: Network,
    /// Since when polls are accepted; `None` while they are not.
    pub open_since: Option<Micros>,
    /// When the state of the network changes.
    pub network_changes_at: Micros,
    /// When all open watches are lost.
    pub silence_at: Micros,
    /// When the list changes.
    pub change_at: Micros,
    /// On average, one in this many responses is truncated; `None` if all are complete.
    pub responses_per_truncation: Option<u64>,
    /// Time that a connection takes to be established.
    pub connect_delay: Micros,
    pub version: u64,
    pub known_version: Option<u64>,
    /// When the oldest change that the balancer has not received was made.
    pub stale_since: Option<Micros>,
    /// Until when a change may be missing because a watch timed out or a response was truncated.
    pub exempt_until: Micros,
    pub connections: Vec<SimulatedConnection>,
    /// When discovery last responded to a poll for changes.
    pub watch_answered_at: Option<Micros>,
    pub polls: usize,
    pub longest_wait: Micros,
    pub most_connections: usize,
}

impl SimulatedBalancer {
    pub fn new(seed: u64, balancers: usize) -> Self {
        let mut schedule = PollingSchedule::new(seed);
        schedule.set_cached_version(0);
        schedule.resume(0);
        Self {
            now: 0,
            schedule,
            settings: settings(balancers),
            random: WyRand::new_seed(seed),
            network: Network::Open,
            open_since: Some(0),
            network_changes_at: Micros::MAX,
            silence_at: Micros::MAX,
            change_at: Micros::MAX,
            responses_per_truncation: None,
            connect_delay: TICK,
            version: 0,
            known_version: Some(0),
            stale_since: None,
            exempt_until: 0,
            connections: Vec::new(),
            watch_answered_at: None,
            polls: 0,
            longest_wait: 0,
            most_connections: 0,
        }
    }

    pub fn random_time(&mut self, from: Micros, to: Micros) -> Micros {
        self.now + self.random.generate_range(from..=to)
    }

    /// Changes the list and the network when their times are reached.
    pub fn apply_changes(&mut self) {
        if self.now >= self.change_at {
            self.version += 1;
            self.stale_since.get_or_insert(self.now);
            self.change_at = self.random_time(0, 15 * SECOND);
        }
        if self.now >= self.network_changes_at {
            self.network = [
                Network::Open,
                Network::Open,
                Network::Overloaded,
                Network::Down,
                Network::Partitioned,
            ][self.random.generate_range(0..5)];
            self.open_since = (self.network == Network::Open).then_some(self.now);
            self.network_changes_at = self.random_time(100 * MILLISECOND, 12 * SECOND);
            if self.network == Network::Down {
                let connections: Vec<ConnectionId> = self
                    .connections
                    .iter()
                    .map(|connection| connection.id)
                    .collect();
                connections
                    .into_iter()
                    .for_each(|id| self.fail(id, PollFailure::ConnectionLost));
            }
        }
        if self.now >= self.silence_at {
            self.silence_at = self.random_time(0, 25 * SECOND);
            for index in 0..self.connections.len() {
                if self.connections[index]
                    .poll
                    .as_ref()
                    .is_some_and(|poll| poll.wait() > QUEUED_POLL_WAIT_US)
                {
                    self.lose_connection(index);
                }
            }
        }
    }

    pub fn lose_connection(&mut self, index: usize) {
        let connection = &mut self.connections[index];
        connection.lost = true;
        if let Some(poll) = connection
            .poll
            .as_ref()
            .filter(|poll| poll.wait() > QUEUED_POLL_WAIT_US)
        {
            // Changes that are lost with the watch count as delivered 2 s after its wait.
            self.exempt_until = self
                .exempt_until
                .max(poll.served_at.unwrap_or(poll.sent) + poll.wait() + 2 * SECOND);
        }
    }

    pub fn fail(&mut self, id: ConnectionId, failure: PollFailure) {
        self.connections.retain(|connection| connection.id != id);
        self.schedule
            .poll_failed(id, self.now, failure, self.settings);
    }

    /// Whether a poll continues a watch.
    pub fn continues(&self, poll: &SimulatedPoll) -> bool {
        poll.since().is_some()
            && self
                .watch_answered_at
                .is_some_and(|at| poll.sent <= at + WATCH_CONTINUATION_WINDOW)
    }

    /// Advances the poll on a connection: the connection is established, the poll is admitted
    /// (where `admit` returns the time at which it is served), and the response is sent.
    pub fn serve(
        &mut self,
        index: usize,
        admit: &mut impl FnMut(&mut Self, bool) -> Option<Micros>,
    ) {
        let connection = &self.connections[index];
        let (id, Some(poll)) = (connection.id, &connection.poll) else {
            return;
        };
        if connection.lost
            || self.now
                < poll.sent
                    + if connection.connected {
                        TICK
                    } else {
                        self.connect_delay
                    }
        {
            return;
        }
        if !connection.connected {
            match self.network {
                Network::Down => return self.fail(id, PollFailure::Unreachable),
                Network::Partitioned => return self.lose_connection(index),
                Network::Open | Network::Overloaded => {}
            }
            self.connections[index].connected = true;
            return self.schedule.connected(id);
        }
        if poll.served_at.is_none() {
            let continues = self.continues(poll);
            match self.network {
                Network::Partitioned => return self.lose_connection(index),
                Network::Down => return self.fail(id, PollFailure::ConnectionLost),
                Network::Overloaded => {
                    return self.fail(id, PollFailure::Rejected { retry_after: None });
                }
                Network::Open => {}
            }
            return match admit(self, continues) {
                Some(served_at) => self.connections[index]
                    .poll
                    .iter_mut()
                    .for_each(|poll| poll.served_at = Some(served_at)),
                None => self.fail(id, PollFailure::Rejected { retry_after: None }),
            };
        }
        self.respond(index);
    }

    pub fn respond(&mut self, index: usize) {
        let connection = &self.connections[index];
        let (id, Some(poll)) = (connection.id, &connection.poll) else {
            return;
        };
        let (since, served_at) = (poll.since(), poll.served_at.unwrap_or(Micros::MAX));
        let has_changes = since.is_none_or(|since| since < self.version);
        if self.now < served_at || !(has_changes || self.now >= served_at + poll.wait()) {
            return;
        }
        if self.network == Network::Partitioned {
            return self.lose_connection(index);
        }
        self.watch_answered_at = since.map(|_| self.now);
        let responses_per_truncation = self.responses_per_truncation;
        if responses_per_truncation
            .is_some_and(|responses| self.random.generate_range(0..responses) == 0)
        {
            // The next poll is queued again if it is late.
            self.exempt_until = self.exempt_until.max(self.now + MAX_QUEUE_TIME + SECOND);
            return self.fail(id, PollFailure::Truncated);
        }
        let summary = ListSummary {
            version: self.version,
            is_complete: since.is_none(),
            has_entries: has_changes,
        };
        if self
            .schedule
            .accepts(id, Some(summary.version), summary.is_complete)
        {
            (self.known_version, self.stale_since) = (Some(self.version), None);
        }
        self.connections[index].poll = None;
        self.schedule
            .response_received(id, self.now, summary, true, self.settings);
    }

    /// Carries out the due actions of the schedule as `Proxy::run_polling_schedule` does.
    pub fn step(&mut self) {
        while let Some(action) = self.schedule.next_action(self.now, self.settings) {
            let (id, query) = match action {
                PollAction::Close { connection: id, .. } => {
                    self.connections.retain(|connection| connection.id != id);
                    continue;
                }
                PollAction::Open(id, query) => {
                    self.connections.push(SimulatedConnection {
                        id,
                        connected: false,
                        lost: false,
                        poll: None,
                    });
                    (id, query)
                }
                PollAction::Reuse(id, query) => (id, query),
            };
            self.polls += 1;
            let poll = SimulatedPoll {
                query,
                sent: self.now,
                served_at: None,
            };
            self.longest_wait = self.longest_wait.max(poll.wait());
            if let Some(connection) = self
                .connections
                .iter_mut()
                .find(|connection| connection.id == id)
            {
                connection.poll = Some(poll);
            }
        }
        self.most_connections = self.most_connections.max(self.connections.len());
        assert!(
            self.schedule
                .next_action_at()
                .is_none_or(|at| at > self.now),
            "an action is due that was not returned"
        );
    }

    pub fn serve_all(&mut self, admit: &mut impl FnMut(&mut Self, bool) -> Option<Micros>) {
        let ids: Vec<ConnectionId> = self
            .connections
            .iter()
            .map(|connection| connection.id)
            .collect();
        for id in ids {
            if let Some(index) = self
                .connections
                .iter()
                .position(|connection| connection.id == id)
            {
                self.serve(index, admit);
            }
            self.step();
        }
    }

    pub fn run(&mut self, until: Micros, mut after_step: impl FnMut(&mut Self)) {
        while self.now < until {
            self.apply_changes();
            self.serve_all(&mut |balancer, continues| {
                let queue_time = if continues {
                    0
                } else {
                    balancer.random.generate_range(0..=MAX_QUEUE_TIME)
                };
                Some(balancer.now + queue_time)
            });
            self.step();
            after_step(self);
            self.now += TICK;
        }
    }
}
