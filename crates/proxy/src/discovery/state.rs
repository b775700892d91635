//! What this balancer knows of discovery: its connections, the polling schedule, and where the
//! endpoint list stands.

use pinefront_policy::Micros;
use pinefront_settings::fields::unsigned;
use serde_json::Value;

use crate::discovery::connection::DiscoveryConnection;
use crate::discovery::list_error::ListError;
use crate::discovery::polling_schedule::{ConnectionId, PollingSchedule};
use crate::state::timers::TimerKey;

/// Connections to discovery, the polling schedule, and where the endpoint list stands.
pub struct Discovery {
    /// Open connections.
    pub connections: Vec<DiscoveryConnection>,
    /// When to poll.
    pub schedule: PollingSchedule,
    /// The timer for the next event of the schedule or of a connection.
    pub timer: Option<TimerKey>,
    /// The list of the configuration file, until it is applied.
    pub cached_list: Option<Value>,
    /// The list of the configuration file was applied.
    pub is_cached_list_applied: bool,
    /// A list was received from discovery or from another balancer.
    pub has_received_list: bool,
    /// When a list was last received, in microseconds.
    pub last_list_at: Micros,
    /// How far our wall clock was behind when the process started, at the least, in microseconds.
    pub clock_behind: Micros,
}

impl Discovery {
    /// No connections and no list. `seed` scatters the polls.
    pub fn new(seed: u64) -> Self {
        Self {
            connections: Vec::new(),
            schedule: PollingSchedule::new(seed),
            timer: None,
            cached_list: None,
            is_cached_list_applied: false,
            has_received_list: false,
            last_list_at: 0,
            clock_behind: 0,
        }
    }

    /// Keeps the list of the configuration file. It may be old, so nothing is sent by it until
    /// discovery has reported what changed since, or could not be reached.
    ///
    /// # Errors
    ///
    /// Fails when the list has no version.
    pub fn set_cached_list(&mut self, list: &Value) -> Result<(), ListError> {
        self.schedule.set_cached_version(unsigned(list, "rev")?);
        self.cached_list = Some(list.clone());
        Ok(())
    }

    /// Whether there is a list to serve by: one that was received, or the cached one where
    /// discovery cannot be reached.
    pub fn has_usable_list(&self) -> bool {
        self.has_received_list || (self.is_cached_list_applied && self.schedule.is_unreachable())
    }

    /// Returns an open connection.
    pub fn connection(&mut self, id: ConnectionId) -> Option<&mut DiscoveryConnection> {
        self.connections
            .iter_mut()
            .find(|connection| connection.id == id)
    }

    /// When the timer is to expire, in microseconds.
    pub fn next_event_at(&self) -> Option<Micros> {
        let partial_reads = self
            .connections
            .iter()
            .filter_map(|connection| connection.partial_read_at);
        partial_reads.chain(self.schedule.next_action_at()).min()
    }
}
