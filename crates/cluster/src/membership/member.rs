//! The state of one member in the table, and whether its processes may still serve.

use std::net::SocketAddr;

use serde::Serialize;

use crate::messages::{MemberRecord, MemberState};
use crate::{Incarnation, Micros};

/// An earlier process of a member that is not known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierIncarnation {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The last known address of the process.
    pub address: SocketAddr,
}

/// A suspicion of a member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// The time at which the suspicion began or was restarted.
    pub started_at: Micros,
    /// The random identifiers of the processes that suspect the member.
    pub suspecting_ids: Vec<u64>,
}

/// A member in the table.
#[derive(Clone, Debug)]
pub struct Member {
    /// The current record of the member.
    pub record: MemberRecord,
    /// The time at which a datagram of the current process last arrived.
    pub last_received_at: Option<Micros>,
    /// The time at which the state or the incarnation last changed.
    pub state_since: Micros,
    /// The suspicion, if the member is suspected.
    pub suspicion: Option<Suspicion>,
    /// Earlier processes of the member that may still serve.
    pub earlier_processes: Vec<EarlierIncarnation>,
    /// The number of further earlier processes that may still serve and are not listed.
    pub unlisted_earlier_count: usize,
}

impl Member {
    /// Creates a member from its first record.
    pub(super) fn new(now: Micros, record: &MemberRecord) -> Self {
        let suspicion = (record.state == MemberState::Suspected).then(|| Suspicion {
            started_at: now,
            suspecting_ids: vec![record.suspected_by],
        });
        Self {
            record: record.clone(),
            last_received_at: None,
            state_since: now,
            suspicion,
            earlier_processes: Vec::new(),
            unlisted_earlier_count: 0,
        }
    }
}

/// The reason why a process may still serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MayServeReason {
    /// No member suspects the process.
    #[serde(rename = "present")]
    Alive,
    /// The process is suspected to be dead.
    #[serde(rename = "doubted")]
    Suspected,
    /// The process was declared dead: it may have ended, or be unreachable or paused.
    #[serde(rename = "silent")]
    Unresponsive,
    /// Another process of the same member runs at another address.
    #[serde(rename = "followed")]
    Superseded,
}

/// The proof that a process has stopped serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopProof {
    /// The process announced that it has stopped serving, after its last response.
    #[serde(rename = "said_so")]
    Announced,
    /// The operators confirmed that the process is dead, and no datagram of it has arrived since.
    #[serde(rename = "struck")]
    ConfirmedDead,
}

/// Whether a process may still serve. A process that is only unresponsive may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingStatus {
    /// The process may still serve.
    MayServe(MayServeReason),
    /// The process has stopped serving.
    ProvenStopped(StopProof),
}
