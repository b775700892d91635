//! The event loop's data: the policy and the state that it decides on. Handlers of events are `impl` blocks in the
//! modules named after what they handle.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::TcpListener;
use std::rc::Rc;

use calloop::{LoopHandle, RegistrationToken};
use pinefront_policy::{AttemptOutcome, Balancer, Micros};
use slog::Logger;
use slotmap::SlotMap;

use crate::config::Config;
use crate::discovery::state::Discovery;
use crate::fleet::carrier::Fleet;
use crate::state::client_connection::ClientConnection;
use crate::state::clock::{Clock, LoopIteration};
use crate::state::counters::Counters;
use crate::state::endpoint::Endpoint;
use crate::state::endpoint_connection::EndpointConnection;
use crate::state::gossip_socket::GossipSocket;
use crate::state::keys::{ClientKey, EndpointConnectionKey, EndpointKey, RequestKey};
use crate::state::request::Request;
use crate::state::timers::Timers;

/// The data of the event loop. The borrow of the state ends before the policy is called, as the policy calls back
/// through its host.
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
    pub listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// Clients' connections.
    pub clients: SlotMap<ClientKey, ClientConnection>,
    /// Connections to endpoints.
    pub endpoint_connections: SlotMap<EndpointConnectionKey, EndpointConnection>,
    /// Requests in flight.
    pub requests: SlotMap<RequestKey, Request>,
    /// Requests in flight by the id that the client gave them.
    pub request_by_id: HashMap<Rc<str>, RequestKey>,
    /// Endpoints that a list has named.
    pub endpoints: SlotMap<EndpointKey, Endpoint>,
    /// The same by their ids.
    pub endpoint_by_id: HashMap<Rc<str>, EndpointKey>,
    /// Discovery's connections and poll schedule.
    pub discovery: Discovery,
    /// Where gossip from other balancers is received, if the settings allow it.
    pub gossip_socket: Option<GossipSocket>,
    /// This balancer's membership of its cluster, where an operator file names one.
    pub fleet: Option<Rc<RefCell<Fleet>>>,
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
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Bytes of clients' messages that are kept, in inboxes and in requests.
    pub fn buffered_bytes(&self) -> usize {
        let unread: usize = self
            .clients
            .values()
            .map(|client| client.read_buffer.bytes().len())
            .sum();
        unread
            + self
                .requests
                .values()
                .map(|request| request.length)
                .sum::<usize>()
    }

    /// Takes the client from a request: from here on nobody waits for its answer.
    pub fn detach_client(&mut self, key: RequestKey) -> Option<(Rc<str>, ClientKey)> {
        let request = self.requests.get_mut(key)?;
        let released = (Rc::clone(&request.id), request.client.take()?);
        if let Some(client) = self.clients.get_mut(released.1) {
            client.request = None;
        }
        self.remove_if_finished(key);
        Some(released)
    }

    /// Takes down that an attempt is over. Its request's id, and whether somebody still waits for the answer.
    pub fn finish_attempt(
        &mut self,
        key: RequestKey,
        number: usize,
        ending: AttemptOutcome,
        sent: Micros,
    ) -> Option<(Rc<str>, bool)> {
        let request = self.requests.get_mut(key)?;
        if let Some(connection) = request.attempts.get_mut(number) {
            *connection = None;
        }
        if !ending.proves_not_run() {
            request.may_have_run_since.get_or_insert(sent);
        }
        let told = (Rc::clone(&request.id), request.client.is_some());
        self.remove_if_finished(key);
        Some(told)
    }

    /// Forgets a request that nobody waits for and that has nothing out.
    pub fn remove_if_finished(&mut self, key: RequestKey) {
        let over = |request: &Request| {
            request.client.is_none() && request.attempts.iter().all(Option::is_none)
        };
        if self.requests.get(key).is_some_and(over)
            && let Some(request) = self.requests.remove(key)
        {
            self.request_by_id.remove(&request.id);
        }
    }

    /// The endpoint's entry, made when first named.
    pub fn endpoint(&mut self, id: &str) -> EndpointKey {
        if let Some(&key) = self.endpoint_by_id.get(id) {
            return key;
        }
        let id: Rc<str> = Rc::from(id);
        let blank = Endpoint {
            id: Rc::clone(&id),
            address: None,
            idle: Vec::new(),
            started: None,
            single_use_until: 0,
            draining_since: None,
            removed_at: None,
        };
        let key = self.endpoints.insert(blank);
        self.endpoint_by_id.insert(id, key);
        key
    }
}
