//! One member of a simulated fleet, with its process, its clock and its address.

use std::collections::VecDeque;
use std::net::SocketAddr;

use pinefront_cluster::{Cluster, Incarnation};
use pinefront_model::random::RandomSource;
use pinefront_model::{Micros, SECOND};

/// The largest error of a clock's rate in either direction, as a fraction of 1.
const MAX_CLOCK_RATE_ERROR: f64 = 0.01;
/// The number of addresses used in each /24 network.
const ADDRESSES_PER_BLOCK: usize = 250;

/// A member and its process, if one is running.
pub struct Process {
    /// The protocol state of the running process; `None` if no process runs.
    pub cluster: Option<Cluster>,
    /// The address of the latest process.
    pub address: SocketAddr,
    /// The incarnation of the latest process.
    pub incarnation: Option<Incarnation>,
    /// Whether the process is paused.
    pub is_paused: bool,
    /// Datagrams that arrived while the process was paused.
    pub buffered_datagrams: VecDeque<Vec<u8>>,
    /// Time of this member's clock at the start of the run, in µs.
    clock_start: Micros,
    /// Rate of this member's clock, as a fraction of true time.
    clock_rate: f64,
    /// The number of the latest scheduled wake-up; earlier wake-ups are ignored.
    pub last_wake_up: u64,
    /// The number of processes that this member has started.
    pub start_count: u64,
}

impl Process {
    /// Creates a member without a process. The start and the rate of its clock are drawn from
    /// `random`.
    pub fn new(member: usize, random: &mut RandomSource) -> Self {
        Self {
            cluster: None,
            address: member_address(member),
            incarnation: None,
            is_paused: false,
            buffered_datagrams: VecDeque::new(),
            clock_start: SECOND + random.duration_below(1_000 * SECOND),
            clock_rate: 1.0 + MAX_CLOCK_RATE_ERROR * (2.0 * random.unit() - 1.0),
            last_wake_up: 0,
            start_count: 0,
        }
    }

    /// Converts true time to the time of this member's clock.
    pub fn local_time(&self, now: Micros) -> Micros {
        self.clock_start + (now as f64 * self.clock_rate) as Micros
    }

    /// Converts the time of this member's clock to true time.
    pub fn true_time(&self, local: Micros) -> Micros {
        (local.saturating_sub(self.clock_start) as f64 / self.clock_rate).ceil() as Micros
    }
}

/// Returns the address with that index, which is the usual address of the member with the same
/// number.
pub fn member_address(index: usize) -> SocketAddr {
    let block = (index / ADDRESSES_PER_BLOCK) as u8;
    let host = (index % ADDRESSES_PER_BLOCK) as u8 + 1;
    SocketAddr::from(([10, 0, block, host], 7_000))
}

/// Returns the name of a member.
pub fn member_name(member: usize) -> String {
    format!("b{member}")
}
