//! State of the discovery client: its connections, the polling schedule, and the status of the
//! endpoint list.

use pinefront_policy::Micros;
use pinefront_settings::fields::unsigned;
use serde_json::Value;

use crate::discovery::connection::DiscoveryConnection;
use crate::discovery::list_error::ListError;
use crate::discovery::polling_schedule::{ConnectionId, PollingSchedule};
use crate::state::timers::TimerKey;

/// Connections to discovery, the polling schedule, and the status of the endpoint list.
pub struct Discovery {
    /// Open connections to discovery.
    pub connections: Vec<DiscoveryConnection>,
    /// The schedule of polls.
    pub schedule: PollingSchedule,
    /// The timer for the next event of the schedule or of a connection.
    pub timer: Option<TimerKey>,
    /// The endpoint list of the configuration file, until it is applied.
    pub cached_list: Option<Value>,
    /// Whether the endpoint list of the configuration file was applied.
    pub is_cached_list_applied: bool,
    /// Whether a list was received from discovery or from another balancer.
    pub has_received_list: bool,
    /// When a list was last received, in microseconds.
    pub last_list_at: Micros,
    /// Lower bound of how far this machine's wall clock was behind when the process started, in
    /// microseconds.
    pub clock_lag: Micros,
}

impl Discovery {
    /// Creates a state without connections and without a list. `seed` randomizes the poll times.
    pub fn new(seed: u64) -> Self {
        Self {
            connections: Vec::new(),
            schedule: PollingSchedule::new(seed),
            timer: None,
            cached_list: None,
            is_cached_list_applied: false,
            has_received_list: false,
            last_list_at: 0,
            clock_lag: 0,
        }
    }

    /// Stores the list of the configuration file. It may be out of date, so no request is sent
    /// based on it until discovery has reported the changes since then, or proved unreachable.
    ///
    /// # Errors
    ///
    /// Fails when the list has no version.
    pub fn set_cached_list(&mut self, list: &Value) -> Result<(), ListError> {
        self.schedule.set_cached_version(unsigned(list, "rev")?);
        self.cached_list = Some(list.clone());
        Ok(())
    }

    /// Whether requests can be served: a list was received, or the cached list was applied and
    /// discovery cannot be reached.
    pub fn has_usable_list(&self) -> bool {
        self.has_received_list || (self.is_cached_list_applied && self.schedule.is_unreachable())
    }

    /// Returns the open connection with this id.
    pub fn connection(&mut self, id: ConnectionId) -> Option<&mut DiscoveryConnection> {
        self.connections
            .iter_mut()
            .find(|connection| connection.id == id)
    }

    /// When the timer has to expire, in microseconds.
    pub fn next_event_at(&self) -> Option<Micros> {
        let partial_reads = self
            .connections
            .iter()
            .filter_map(|connection| connection.partial_read_at);
        partial_reads.chain(self.schedule.next_action_at()).min()
    }
}
