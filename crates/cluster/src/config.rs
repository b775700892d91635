//! The configuration of one member.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::{Incarnation, Micros};

/// How this process takes part in its fleet.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// The name of the fleet.
    pub fleet: String,
    /// The name of this member, which outlives its processes.
    pub name: String,
    /// The zone of this member; may be empty.
    pub zone: String,
    /// The address at which other members reach it.
    pub address: SocketAddr,
    /// Addresses of members to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Unix time of the start of this process in microseconds, by its own clock.
    pub started_at_us: u64,
    /// How often one member is probed.
    pub probe_interval: Micros,
    /// How long a reply to a probe may take.
    pub probe_timeout: Micros,
    /// The shortest time in which a suspicion may be refuted.
    pub min_suspicion: Micros,
    /// Processes, by name and incarnation, that the operators confirmed to have ended.
    pub confirmed_dead: BTreeSet<(Rc<str>, Incarnation)>,
}

impl MemberConfig {
    /// The probe interval for members within some tens of milliseconds of one another.
    pub const DEFAULT_PROBE_INTERVAL: Micros = 400_000;
    /// The probe timeout for such members.
    pub const DEFAULT_PROBE_TIMEOUT: Micros = 100_000;
    /// The shortest suspicion for such members.
    pub const DEFAULT_MIN_SUSPICION: Micros = 800_000;
}
