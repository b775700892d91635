//! One member of a simulated fleet: its process, its clock and its address.

use std::collections::VecDeque;
use std::net::SocketAddr;

use pinefront_cluster::{Cluster, Incarnation};
use pinefront_model::random::RandomSource;
use pinefront_model::{Micros, SECOND};

/// How far the rate of a clock may be off, as a fraction to either side.
const MAX_CLOCK_RATE_ERROR: f64 = 0.01;
/// Addresses of a network block.
const ADDRESSES_PER_BLOCK: usize = 250;

/// A member, whose process may not be running.
pub struct Process {
    /// The state of the running process.
    pub cluster: Option<Cluster>,
    /// The address of the last process.
    pub address: SocketAddr,
    /// The last process.
    pub incarnation: Option<Incarnation>,
    /// Whether the process is paused.
    pub is_paused: bool,
    /// Datagrams that arrived while it was paused.
    pub waiting: VecDeque<Vec<u8>>,
    /// Local time at the start of the run.
    clock_start: Micros,
    clock_rate: f64,
    /// The number of the last scheduled wake-up; earlier ones are void.
    pub wake_up: u64,
    /// How many processes were started.
    pub starts: u64,
}

impl Process {
    /// Creates a member without a process and with a clock of its own.
    pub fn new(member: usize, random: &mut RandomSource) -> Self {
        Self {
            cluster: None,
            address: member_address(member),
            incarnation: None,
            is_paused: false,
            waiting: VecDeque::new(),
            clock_start: SECOND + random.duration_below(1_000 * SECOND),
            clock_rate: 1.0 + MAX_CLOCK_RATE_ERROR * (2.0 * random.unit() - 1.0),
            wake_up: 0,
            starts: 0,
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

/// The address with that index; the usual one of the member with that number.
pub fn member_address(index: usize) -> SocketAddr {
    let block = (index / ADDRESSES_PER_BLOCK) as u8;
    let host = (index % ADDRESSES_PER_BLOCK) as u8 + 1;
    SocketAddr::from(([10, 0, block, host], 7_000))
}

/// The name of a member.
pub fn member_name(member: usize) -> String {
    format!("b{member}")
}
