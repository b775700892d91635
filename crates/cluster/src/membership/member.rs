//! What is known of one member, and whether its processes may still serve.

use std::net::SocketAddr;

use serde::Serialize;

use crate::messages::{MemberRecord, MemberState};
use crate::{Incarnation, Micros};

/// An earlier process of a member's name that is not known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierIncarnation {
    /// The process.
    pub incarnation: Incarnation,
    /// The address at which it was reached.
    pub address: SocketAddr,
}

/// A suspicion of a member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When it began.
    pub started_at: Micros,
    /// The random identifiers of the processes that suspect the member.
    pub suspecting_ids: Vec<u64>,
}

/// What is known of a member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its current record.
    pub record: MemberRecord,
    /// When a datagram of its current process last arrived.
    pub last_received_at: Option<Micros>,
    /// Since when it has its state.
    pub state_since: Micros,
    /// The suspicion, where it is suspected.
    pub suspicion: Option<Suspicion>,
    /// Earlier processes of its name that may still serve.
    pub earlier_processes: Vec<EarlierIncarnation>,
    /// How many more of them there are.
    pub unlisted_earlier_count: usize,
}

impl Member {
    /// A member of which nothing but a record is known.
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

/// Why a process may still serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MayServeReason {
    /// It is alive as far as anybody knows.
    #[serde(rename = "present")]
    Alive,
    /// It is suspected to be dead.
    #[serde(rename = "doubted")]
    Suspected,
    /// It has been unresponsive for long: dead, cut off or paused.
    #[serde(rename = "silent")]
    Unresponsive,
    /// Another process of its name runs at another address.
    #[serde(rename = "followed")]
    Superseded,
}

/// How it is known that a process has stopped serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopProof {
    /// It announced so after its last response.
    #[serde(rename = "said_so")]
    Announced,
    /// The operators confirmed it, and no datagram of it has arrived since.
    #[serde(rename = "struck")]
    ConfirmedDead,
}

/// Whether a process may serve. A process that is merely unresponsive may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingStatus {
    /// It may serve.
    MayServe(MayServeReason),
    /// It has stopped.
    ProvenStopped(StopProof),
}
