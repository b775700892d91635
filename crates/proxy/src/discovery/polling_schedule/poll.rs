//! One poll of discovery: what it requests, how far it has come, and until when its response is
//! awaited.

use pinefront_policy::Micros;

/// How long a connection may take to be established before another is tried: a machine that
/// vanished never responds.
pub(super) const CONNECT_TIMEOUT_US: Micros = 1_000_000;
/// How long a connection may still be established beside the one that superseded it.
pub(super) const SUPERSEDED_CONNECT_TIMEOUT_US: Micros = 3_000_000;
/// How long after its wait a watch may be answered. Discovery answers a watch by the clock and not
/// from its queue, and the next poll needs the rest of the 2 s after which the change counts as
/// delivered.
pub(super) const WATCH_RESPONSE_GRACE_US: Micros = 250_000;
/// After how long a poll that waits in discovery's queue is sent once more on another connection,
/// in case it was lost.
pub(super) const POLL_TIMEOUT_US: Micros = 3_250_000;
/// How long the response to a superseded poll is still accepted. With one further poll in between,
/// a poll is sent every 3.25 s, so that a network path that recovers is used within the 6 s of the
/// schedule's bound.
pub(super) const SUPERSEDED_POLL_TIMEOUT_US: Micros = 2 * POLL_TIMEOUT_US;

/// A connection to discovery. Each carries one poll at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// What a poll requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListQuery {
    /// The complete endpoint list.
    CompleteList,
    /// What changed since a version, as soon as there is something or the wait is over.
    Changes {
        /// The version that is already known.
        since: u64,
        /// How long discovery may hold the poll, in microseconds.
        wait: Micros,
    },
}

/// What the caller of the schedule is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollAction {
    /// Send a poll on the idle connection.
    Reuse(ConnectionId, ListQuery),
    /// Send a poll on a new connection.
    Open(ConnectionId, ListQuery),
    /// Close a connection.
    Close {
        /// The connection to close.
        connection: ConnectionId,
        /// Discovery may have written a response there that was not read yet.
        may_hold_response: bool,
    },
}

/// Why a poll brought no list. Its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// Discovery rejected the poll.
    Rejected {
        /// Its `Retry-After`, in microseconds, where it gave one.
        retry_after: Option<Micros>,
    },
    /// The connection was not established, or nothing could be sent.
    Unreachable,
    /// The connection ended before any part of a response.
    ConnectionLost,
    /// The connection ended inside a response.
    Truncated,
    /// The response holds no endpoint list.
    Malformed,
}

/// What a response contained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSummary {
    /// The version of the list.
    pub version: u64,
    /// Whether it is the complete list and not only what changed.
    pub is_complete: bool,
    /// Whether it named any endpoint.
    pub has_entries: bool,
}

/// How far a poll has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PollStage {
    Connecting,
    Sent,
}

/// A poll in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Poll {
    /// The connection that carries it.
    pub connection: ConnectionId,
    /// What it requests.
    pub query: ListQuery,
    /// How far it has come.
    pub stage: PollStage,
    /// When the schedule had it sent, in microseconds.
    pub sent_at: Micros,
    /// It continues a watch that discovery knows, so it is not queued there.
    pub is_watch: bool,
    /// Which discovery it was sent to, counted by changes of its address.
    pub generation: u32,
}

impl Poll {
    /// When another poll is sent in its place.
    pub fn superseded_at(&self) -> Micros {
        let timeout = match (self.stage, self.query) {
            (PollStage::Connecting, _) => CONNECT_TIMEOUT_US,
            (PollStage::Sent, ListQuery::Changes { wait, .. }) if self.is_watch => {
                wait + WATCH_RESPONSE_GRACE_US
            }
            (PollStage::Sent, _) => POLL_TIMEOUT_US,
        };
        self.sent_at + timeout
    }

    /// Until when its response is accepted once it was superseded.
    pub fn expires_at(&self) -> Micros {
        let timeout = match (self.stage, self.query) {
            (PollStage::Connecting, _) => SUPERSEDED_CONNECT_TIMEOUT_US,
            (PollStage::Sent, ListQuery::Changes { wait, .. }) if self.is_watch => {
                wait + SUPERSEDED_POLL_TIMEOUT_US
            }
            (PollStage::Sent, _) => SUPERSEDED_POLL_TIMEOUT_US,
        };
        self.sent_at + timeout
    }

    /// Whether it waits in discovery's queue.
    pub fn is_queued(&self) -> bool {
        self.stage == PollStage::Sent && !self.is_watch
    }

    /// Whether its connection is not established yet.
    pub fn is_connecting(&self) -> bool {
        self.stage == PollStage::Connecting
    }
}
