//! A balancer and a discovery that is partitioned, overloaded or down, truncates its responses and
//! loses watches, at random times. The schedule is driven as `Proxy::run_polling_schedule` drives
//! it.

use super::*;

/// How long a poll may be queued at discovery for the bound to hold.
pub(super) const MAX_QUEUE_TIME: Micros = 1_700 * MILLISECOND;
/// A poll for changes this soon after the last continues its watch and is not queued.
pub(super) const WATCH_CONTINUES_WITHIN: Micros = 200 * MILLISECOND;

/// What becomes of polls on their way to discovery.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Network {
    Open,
    /// Polls are rejected: too many wait.
    Overloaded,
    /// The process is down, and its machine says so.
    Down,
    /// Nothing comes through, and nothing says so.
    Partitioned,
}

/// A connection as discovery sees it.
pub(super) struct SimulatedConnection {
    pub id: ConnectionId,
    pub connected: bool,
    /// It is never established, or nothing is received on it any more.
    pub lost: bool,
    pub poll: Option<SimulatedPoll>,
}

pub(super) struct SimulatedPoll {
    query: ListQuery,
    sent: Micros,
    /// When discovery served it, once it has arrived there.
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

/// One balancer with a discovery of its own.
pub(super) struct SimulatedBalancer {
    pub now: Micros,
    pub schedule: PollingSchedule,
    pub settings: PollingSettings,
    pub random: WyRand,
    pub network: Network,
    /// Since when polls are accepted.
    pub open_since: Option<Micros>,
    pub network_changes_at: Micros,
    pub silence_at: Micros,
    pub change_at: Micros,
    /// One response in so many is truncated.
    pub truncates_one_in: Option<u64>,
    /// How long connections take to be established, at most.
    pub connect_delay: Micros,
    pub version: u64,
    pub known_version: Option<u64>,
    /// When the oldest change was made that was not received.
    pub stale_since: Option<Micros>,
    /// Until when a watch that timed out excuses a missing change.
    pub excused_until: Micros,
    pub connections: Vec<SimulatedConnection>,
    /// When the last poll for changes was answered.
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
            truncates_one_in: None,
            connect_delay: TICK,
            version: 0,
            known_version: Some(0),
            stale_since: None,
            excused_until: 0,
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

    /// Changes the list and the network when it is time.
    pub fn change_world(&mut self) {
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
                let ended: Vec<ConnectionId> = self
                    .connections
                    .iter()
                    .map(|connection| connection.id)
                    .collect();
                ended
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
            // What it misses counts as delivered 2 s after its wait.
            self.excused_until = self
                .excused_until
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
                .is_some_and(|at| poll.sent <= at + WATCH_CONTINUES_WITHIN)
    }

    /// Moves the poll on a connection on: established, admitted (`admit` returns when it is
    /// served), answered.
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
        let truncates_one_in = self.truncates_one_in;
        if truncates_one_in.is_some_and(|one_in| self.random.generate_range(0..one_in) == 0) {
            // The next poll is queued again where it comes late.
            self.excused_until = self.excused_until.max(self.now + MAX_QUEUE_TIME + SECOND);
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

    /// Does what `Proxy::run_polling_schedule` does.
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
            "nothing is left undone"
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

    pub fn run(&mut self, until: Micros, mut each: impl FnMut(&mut Self)) {
        while self.now < until {
            self.change_world();
            self.serve_all(&mut |balancer, continues| {
                let waits = if continues {
                    0
                } else {
                    balancer.random.generate_range(0..=MAX_QUEUE_TIME)
                };
                Some(balancer.now + waits)
            });
            self.step();
            each(self);
            self.now += TICK;
        }
    }
}
