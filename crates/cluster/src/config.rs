//! The configuration of one member.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::{Incarnation, Micros};

/// The configuration of this process as a member of its fleet.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// The name of the fleet.
    pub fleet: String,
    /// The name of this member, which stays the same when its process restarts.
    pub name: String,
    /// The zone of this member; may be empty.
    pub zone: String,
    /// The address to which other members send datagrams.
    pub address: SocketAddr,
    /// The addresses of members to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Unix time of the start of this process in microseconds, by its own clock.
    pub started_at_us: u64,
    /// The time between two probe rounds; each round probes one member.
    pub probe_interval: Micros,
    /// How long a reply to a probe may take before the probe is repeated and relayed.
    pub probe_timeout: Micros,
    /// The shortest time that a suspected member has to refute the suspicion. It is scaled up in
    /// fleets of more than ten members.
    pub min_suspicion: Micros,
    /// Processes, by name and incarnation, that the operators confirmed to have ended.
    pub confirmed_dead: BTreeSet<(Rc<str>, Incarnation)>,
}

impl MemberConfig {
    /// The default probe interval, for members within some tens of milliseconds of one another.
    pub const DEFAULT_PROBE_INTERVAL: Micros = 400_000;
    /// The default probe timeout, for members within some tens of milliseconds of one another.
    pub const DEFAULT_PROBE_TIMEOUT: Micros = 100_000;
    /// The default shortest suspicion, for members within some tens of milliseconds of one another.
    pub const DEFAULT_MIN_SUSPICION: Micros = 800_000;
}
