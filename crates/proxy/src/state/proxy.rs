//! The data of the event loop: the policy, and the state on which its decisions are carried out.
//! Event handlers are `impl` blocks in the modules that are named after their subject.

use std::cell::RefCell;
use std::rc::Rc;

use calloop::LoopHandle;
use pinefront_policy::{Balancer, Micros};
use slog::Logger;
use slotmap::SlotMap;

use crate::cluster::node::ClusterNode;
use crate::config::Config;
use crate::discovery::state::Discovery;
use crate::state::address_claims::AddressClaims;
use crate::state::buffers::ScratchBuffer;
use crate::state::client_connection::ClientConnection;
use crate::state::clock::{Clock, LoopIteration};
use crate::state::counters::Counters;
use crate::state::endpoint::EndpointTable;
use crate::state::endpoint_connection::EndpointConnection;
use crate::state::finished_requests::FinishedRequests;
use crate::state::gossip_socket::GossipSocket;
use crate::state::keys::{ClientKey, EndpointConnectionKey, RequestKey};
use crate::state::memory::MemoryBudget;
use crate::state::ordered_arrivals::OrderedArrivals;
use crate::state::pace::{ByteAllowance, EventPace};
use crate::state::request::{ReadRequest, RequestTable};
use crate::state::socket::RegisteredListener;
use crate::state::timers::Timers;

/// The data of the event loop. A borrow of the state ends before the policy is called, as the
/// policy calls back through its host.
pub struct Proxy {
    /// The policy.
    pub balancer: Balancer<ProxyHost>,
    /// The state, shared with the policy's host.
    pub state: Rc<RefCell<ProxyState>>,
    /// Whether the shutdown is complete, so that the event loop ends.
    pub is_finished: bool,
}

/// The host of the policy, which carries out its calls on the state.
pub struct ProxyHost(pub Rc<RefCell<ProxyState>>);

/// A reload to be retried because the configuration file could not be read.
#[derive(Clone)]
pub struct PendingReload {
    /// Path of the file, if the command line names one.
    pub path: Option<String>,
    /// Number of reads that failed since the signal.
    pub failed_reads: u32,
}

/// The reason for which a request is separated from its client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detach {
    /// The client gets its final response.
    Answered,
    /// The client has disconnected.
    Disconnected,
}

/// Connections, requests, endpoints and all other data that event handlers share.
pub struct ProxyState {
    /// The clock of the policy.
    pub clock: Clock,
    /// Addresses, limits and names.
    pub config: Config,
    /// The log.
    pub log: Logger,
    /// Registers sockets with the event loop.
    pub handle: LoopHandle<'static, Proxy>,
    /// Listener for client connections; `None` once the shutdown has closed it.
    pub listener: Option<RegisteredListener>,
    /// Client connections.
    pub clients: SlotMap<ClientKey, ClientConnection>,
    /// Connections to endpoints.
    pub endpoint_connections: SlotMap<EndpointConnectionKey, EndpointConnection>,
    /// Requests in flight.
    pub requests: RequestTable,
    /// Requests that are over and may have run.
    pub finished_requests: FinishedRequests,
    /// Requests that are ordered by key and wait for earlier ones to be read.
    pub ordered_arrivals: OrderedArrivals<ReadRequest>,
    /// Endpoints that have been named in an endpoint list.
    pub endpoints: EndpointTable,
    /// Which endpoints hold their addresses.
    pub address_claims: AddressClaims,
    /// Connections to discovery, and the schedule of its polls.
    pub discovery: Discovery,
    /// Socket for gossip between balancers, if the settings allow it.
    pub gossip_socket: Option<GossipSocket>,
    /// Membership of this balancer in its cluster, if an operator file is configured.
    pub cluster: Option<Rc<RefCell<ClusterNode>>>,
    /// Memory of messages.
    pub memory: MemoryBudget,
    /// The buffer into which sockets are read.
    pub scratch: ScratchBuffer,
    /// All timers.
    pub timers: Timers,
    /// Pace of the rejections after which connections are closed.
    pub rejection_pace: EventPace,
    /// Bytes that may be read only to be discarded.
    pub discard_allowance: ByteAllowance,
    /// Number of client connections that have carried a request.
    pub active_clients: usize,
    /// The counters shown on `/stats`.
    pub counters: Counters,
    /// When the shutdown began, in microseconds. The balancer is not ready from then on.
    pub shutdown_started_at: Option<Micros>,
    /// Whether the shutdown closes connections that are idle between requests.
    pub is_closing_connections: bool,
    /// Reload that is to be retried.
    pub pending_reload: Option<PendingReload>,
    /// Whether accepting is paused because of a shortage of file descriptors.
    pub is_accept_paused: bool,
    /// When a shortage of file descriptors was last logged, in microseconds.
    pub shortage_logged_at: Micros,
    /// Timing of the current iteration of the event loop.
    pub loop_iteration: LoopIteration,
}

impl ProxyState {
    /// Returns the current time of the policy's clock, in microseconds.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Returns the figures of the process, one line each.
    pub fn figures(&self) -> String {
        let remembered = self.finished_requests.len();
        format!(
            "{}finished_requests_remembered {remembered}\n{}",
            self.memory, self.counters
        )
    }

    /// Detaches the client from a request, which then needs no response any more. Returns the
    /// client's connection, if there was one.
    pub fn detach_client(&mut self, key: RequestKey, reason: Detach) -> Option<ClientKey> {
        let names = self.requests.get(key)?.names_if_possibly_run();
        let client = self.requests.detach_client(key)?;
        let now = self.clock.now();
        match (names, reason) {
            (Some(names), Detach::Answered) => self.finished_requests.record_answered(names, now),
            (Some(names), Detach::Disconnected) => {
                self.finished_requests.record_disconnected(names, now);
            }
            (None, _) => {}
        }
        if let Some(client) = self.clients.get_mut(client) {
            client.request = None;
        }
        Some(client)
    }
}
