//! The event loop's data: the policy and the state that it decides on. Handlers of events are
//! `impl` blocks in the modules named after what they handle.

use std::cell::RefCell;
use std::rc::Rc;

use calloop::LoopHandle;
use pinefront_policy::{Balancer, Micros};
use slog::Logger;
use slotmap::SlotMap;

use crate::cluster::node::ClusterNode;
use crate::config::Config;
use crate::discovery::state::Discovery;
use crate::state::client_connection::ClientConnection;
use crate::state::clock::{Clock, LoopIteration};
use crate::state::counters::Counters;
use crate::state::endpoint::EndpointTable;
use crate::state::endpoint_connection::EndpointConnection;
use crate::state::gossip_socket::GossipSocket;
use crate::state::keys::{ClientKey, EndpointConnectionKey, RequestKey};
use crate::state::request::RequestTable;
use crate::state::socket::RegisteredListener;
use crate::state::timers::Timers;

/// The data of the event loop. The borrow of the state ends before the policy is called, as the
/// policy calls back through its host.
pub struct Proxy {
    /// The policy.
    pub balancer: Balancer<ProxyHost>,
    /// The state, shared with the policy's host.
    pub state: Rc<RefCell<ProxyState>>,
    /// The shutdown is complete: the loop ends.
    pub is_finished: bool,
}

/// The policy's host: carries out its calls on the state.
pub struct ProxyHost(pub Rc<RefCell<ProxyState>>);

/// A configuration file that could not be read for the moment.
#[derive(Clone)]
pub struct PendingReload {
    /// The file, where the command line names one.
    pub path: Option<String>,
    /// Reads that failed since the signal.
    pub failed_reads: u32,
}

/// Connections, requests and endpoints, and everything else that the handlers share.
pub struct ProxyState {
    /// The policy's time.
    pub clock: Clock,
    /// Addresses, limits and names.
    pub config: Config,
    /// The log.
    pub log: Logger,
    /// Registers sockets with the event loop.
    pub handle: LoopHandle<'static, Proxy>,
    /// Where clients connect; none once the shutdown has closed it.
    pub listener: Option<RegisteredListener>,
    /// Clients' connections.
    pub clients: SlotMap<ClientKey, ClientConnection>,
    /// Connections to endpoints.
    pub endpoint_connections: SlotMap<EndpointConnectionKey, EndpointConnection>,
    /// Requests in flight.
    pub requests: RequestTable,
    /// Endpoints that a list has named.
    pub endpoints: EndpointTable,
    /// Discovery's connections and poll schedule.
    pub discovery: Discovery,
    /// Where gossip from other balancers is received, if the settings allow it.
    pub gossip_socket: Option<GossipSocket>,
    /// This balancer's membership of its cluster, where an operator file names one.
    pub cluster: Option<Rc<RefCell<ClusterNode>>>,
    /// All timers.
    pub timers: Timers,
    /// The counters of `/stats`.
    pub counters: Counters,
    /// When the shutdown began, in microseconds; the balancer is not ready from then on.
    pub stopping: Option<Micros>,
    /// The shutdown closes connections between requests.
    pub closing: bool,
    /// A reload to be tried again.
    pub pending_reload: Option<PendingReload>,
    /// Accepting is paused for want of descriptors.
    pub accept_paused: bool,
    /// When the log last named a shortage of descriptors, in microseconds.
    pub shortage_logged_at: Micros,
    /// Timing of the present iteration of the loop.
    pub loop_iteration: LoopIteration,
}

impl ProxyState {
    /// The policy's time, in microseconds.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Bytes of clients' messages in read buffers and in requests.
    pub fn buffered_bytes(&self) -> usize {
        let unread: usize = self
            .clients
            .values()
            .map(|client| client.read_buffer.bytes().len())
            .sum();
        unread + self.requests.buffered_bytes()
    }

    /// Detaches the client from a request: it needs no response any more. Returns the client's
    /// connection, if there was one.
    pub fn detach_client(&mut self, key: RequestKey) -> Option<ClientKey> {
        let client = self.requests.detach_client(key)?;
        if let Some(client) = self.clients.get_mut(client) {
            client.request = None;
        }
        Some(client)
    }
}
