//! The pools of the process, and the connections that wait for memory.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use pinefront_policy::Micros;

use super::{MemoryLimits, MemoryPool};
use crate::state::keys::{ClientKey, EndpointConnectionKey};

/// The memory of all messages.
pub struct MemoryBudget {
    /// Messages that clients send, until their final response.
    pub requests: Arc<MemoryPool>,
    /// Responses of endpoints, until clients have read them.
    pub responses: Arc<MemoryPool>,
    /// Responses of discovery.
    pub lists: Arc<MemoryPool>,
    /// Clients whose message waits for memory, in the order in which they are served.
    pub waiting_clients: VecDeque<ClientKey>,
    /// Connections to endpoints whose response waits for memory, in the order in which they are
    /// served.
    pub waiting_endpoints: VecDeque<EndpointConnectionKey>,
    /// When memory may be taken from a slow client again, in microseconds.
    pub next_reclaim_at: Micros,
}

impl MemoryBudget {
    /// Creates the pools with the limits of a configuration.
    pub fn new(limits: &MemoryLimits) -> Self {
        Self {
            requests: MemoryPool::new(limits.request_bytes),
            responses: MemoryPool::new(limits.response_bytes),
            // The length of each list is limited instead.
            lists: MemoryPool::new(usize::MAX),
            waiting_clients: VecDeque::new(),
            waiting_endpoints: VecDeque::new(),
            next_reclaim_at: 0,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&self, limits: &MemoryLimits) {
        self.requests.set_limit(limits.request_bytes);
        self.responses.set_limit(limits.response_bytes);
    }
}

impl fmt::Display for MemoryBudget {
    /// Writes one line for each figure, as `name value`.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let pools = [
            ("requests", &self.requests),
            ("responses", &self.responses),
            ("lists", &self.lists),
        ];
        for (name, pool) in pools {
            writeln!(out, "memory_{name}_bytes {}", pool.in_use())?;
            writeln!(out, "memory_{name}_peak_bytes {}", pool.peak())?;
        }
        writeln!(out, "memory_waiting_clients {}", self.waiting_clients.len())?;
        let waiting = self.waiting_endpoints.len();
        writeln!(out, "memory_waiting_endpoints {waiting}")
    }
}
