//! Startup: creates the listener, the policy and the event loop.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle};
use pinefront_policy::{Balancer, Settings};
use serde_json::Value;
use slog::{Logger, info, warn};
use slotmap::SlotMap;
use socket2::{Domain, Protocol, Socket, Type};

use crate::cluster::node::ClusterNode;
use crate::cluster::operator_file::{self, FleetSettings};
use crate::config::{Config, LoadError, load, variables};
use crate::connections::client_lifetime::DISCARD_ALLOWANCE;
use crate::connections::rejection::REJECTION_PACE;
use crate::discovery::state::Discovery;
use crate::event_loop::serve;
use crate::lifecycle::error::StartupError;
use crate::lifecycle::retry::{is_transient, retry_transient};
use crate::logging::LogBuffer;
use crate::state::address_claims::AddressClaims;
use crate::state::arrival_time::record_arrival_times;
use crate::state::buffers::ScratchBuffer;
use crate::state::clock::{Clock, LoopIteration};
use crate::state::counters::Counters;
use crate::state::endpoint::EndpointTable;
use crate::state::finished_requests::FinishedRequests;
use crate::state::gossip_socket::GossipSocket;
use crate::state::memory::MemoryBudget;
use crate::state::ordered_arrivals::OrderedArrivals;
use crate::state::proxy::{Proxy, ProxyHost, ProxyState};
use crate::state::request::RequestTable;
use crate::state::socket::RegisteredListener;
use crate::state::timers::Timers;

/// Maximum number of connections that the system queues until the event loop accepts them.
const LISTEN_BACKLOG: i32 = 1024;

/// Runs the balancer until a signal stops it.
///
/// # Errors
///
/// Fails when a file is invalid, or when a required file, address or system resource is
/// unavailable.
pub fn run(config_file: Option<&str>, operator_file: Option<&str>) -> Result<(), StartupError> {
    let create_loop = || EventLoop::try_new().map_err(io::Error::from);
    let mut event_loop: EventLoop<Proxy> =
        retry_transient(is_transient, create_loop).map_err(StartupError::EventLoop)?;
    // Signals are blocked first, so that one that arrives during startup stays pending instead of
    // ending the process.
    let signals = open_signals()?;
    let load_config = || load(config_file, &variables());
    let loaded = retry_transient(LoadError::is_transient, load_config)?;
    let fleet_settings = operator_file
        .map(|file| read_operator_file(file, &loaded.config, &loaded.settings))
        .transpose()?;
    let handle = event_loop.handle();
    watch_signals(&handle, signals, config_file, operator_file)?;
    let log_buffer = LogBuffer::default();
    let mut proxy = open(
        handle.clone(),
        &log_buffer,
        &loaded.document,
        loaded.config,
        loaded.settings,
    )?;
    if let Some(fleet_settings) = fleet_settings {
        join_cluster(&proxy, &handle, fleet_settings)?;
    }
    let served = serve(&mut event_loop, &mut proxy, &log_buffer);
    proxy.close_all();
    log_buffer.flush();
    served
}

fn open_signals() -> Result<Signals, StartupError> {
    let watched = [
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGUSR1,
        Signal::SIGHUP,
    ];
    let open = || Signals::new(&watched).map_err(io::Error::from);
    retry_transient(is_transient, open).map_err(StartupError::Signals)
}

/// Registers the signal handler: SIGHUP reloads both files, and the other signals are passed to
/// [`Proxy::handle_signal`].
fn watch_signals(
    handle: &LoopHandle<'static, Proxy>,
    signals: Signals,
    config_file: Option<&str>,
    operator_file: Option<&str>,
) -> Result<(), StartupError> {
    let config_file = config_file.map(str::to_owned);
    let operator_file = operator_file.map(str::to_owned);
    let inserted =
        handle.insert_source(
            signals,
            move |event, &mut (), proxy: &mut Proxy| match event.signal() {
                Signal::SIGHUP => {
                    proxy.reload(config_file.as_deref(), &variables());
                    proxy.reload_operator_file(operator_file.as_deref());
                }
                signal => proxy.handle_signal(signal),
            },
        );
    match inserted {
        Ok(_) => Ok(()),
        Err(failed) => Err(StartupError::Register {
            name: "signals",
            source: failed.error,
        }),
    }
}

/// Opens the listener and creates the proxy. The policy is started only after the proxy state
/// exists, as it calls back into it.
///
/// # Errors
///
/// Fails when an address cannot be bound or its socket cannot be registered with the event loop.
pub fn open(
    handle: LoopHandle<'static, Proxy>,
    log_buffer: &LogBuffer,
    document: &Value,
    config: Config,
    settings: Settings,
) -> Result<Proxy, StartupError> {
    let log = log_buffer.logger(slog::Level::Info);
    let listener = open_listener(&handle, config.listen)?;
    if let Err(error) = record_arrival_times(&listener.listener) {
        warn!(log, "arrival times not recorded"; "error" => %error);
    }
    info!(log, "serving"; "name" => &config.name, "listen" => %config.listen,
        "discovery" => %config.discovery, "version" => env!("CARGO_PKG_VERSION"),
        "max_client_connections" => config.max_client_connections,
        "max_endpoint_connections" => config.max_endpoint_connections);
    if let Some(wanted) = config.reduced_from {
        warn!(log, "connections reduced to fit 'limits.memory_mb'";
            "client_connections" => config.max_client_connections, "wanted" => wanted);
    }
    let clock = Clock::start();
    let seed = config.seed;
    let address = config.peers.get(config.own_index).copied();
    let gossip_socket = GossipSocket::open_if_changed(None, &handle, address, Proxy::gossip_ready)
        .map_err(|source| StartupError::Gossip { address, source })?;
    let now = clock.now();
    let state = new_state(clock, config, log, handle, listener, gossip_socket);
    let state = Rc::new(RefCell::new(state));
    let proxy = Proxy {
        balancer: Balancer::start(ProxyHost(Rc::clone(&state)), seed, settings, now),
        state,
        is_finished: false,
    };
    let mut state = proxy.state.borrow_mut();
    if let Some(list) = document.get("known").filter(|list| !list.is_null())
        && let Err(error) = state.discovery.set_cached_list(list)
    {
        // The balancer starts without the cached list and gets a new one from discovery.
        warn!(state.log, "cached endpoint list malformed"; "error" => %error);
    }
    state.start_polling();
    drop(state);
    Ok(proxy)
}

fn new_state(
    clock: Clock,
    config: Config,
    log: Logger,
    handle: LoopHandle<'static, Proxy>,
    listener: RegisteredListener,
    gossip_socket: Option<GossipSocket>,
) -> ProxyState {
    let discovery = Discovery::new(config.seed);
    let memory = MemoryBudget::new(&config.memory);
    let finished_requests = FinishedRequests::new(config.memory.remembered_requests);
    ProxyState {
        clock,
        config,
        log,
        handle,
        listener: Some(listener),
        clients: SlotMap::with_key(),
        endpoint_connections: SlotMap::with_key(),
        requests: RequestTable::default(),
        finished_requests,
        ordered_arrivals: OrderedArrivals::default(),
        endpoints: EndpointTable::default(),
        address_claims: AddressClaims::default(),
        discovery,
        gossip_socket,
        cluster: None,
        memory,
        scratch: ScratchBuffer::default(),
        timers: Timers::default(),
        rejection_pace: REJECTION_PACE,
        discard_allowance: DISCARD_ALLOWANCE,
        active_clients: 0,
        counters: Counters::default(),
        shutdown_started_at: None,
        is_closing_connections: false,
        is_accept_paused: false,
        pending_reload: None,
        shortage_logged_at: 0,
        loop_iteration: LoopIteration::default(),
    }
}

fn open_listener(
    handle: &LoopHandle<'static, Proxy>,
    address: SocketAddr,
) -> Result<RegisteredListener, StartupError> {
    let listener = retry_transient(is_transient, || listen(address))
        .map_err(|source| StartupError::Listen { address, source })?;
    RegisteredListener::new(handle, listener, |proxy: &mut Proxy| {
        proxy.accept();
    })
    .map_err(|source| StartupError::Register {
        name: "the listener",
        source,
    })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    // A restarted balancer can bind its address while old connections are still in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Reads the operator file. The member name and the zone default to those of the configuration.
///
/// # Errors
///
/// Fails when the file cannot be read or is invalid.
pub fn read_operator_file(
    file: &str,
    config: &Config,
    settings: &Settings,
) -> Result<FleetSettings, StartupError> {
    let zone = config.zones.get(settings.zone as usize);
    let zone = zone.map_or("", String::as_str);
    operator_file::read(file, &config.name, zone).map_err(StartupError::OperatorFile)
}

fn join_cluster(
    proxy: &Proxy,
    handle: &LoopHandle<'static, Proxy>,
    fleet_settings: FleetSettings,
) -> Result<(), StartupError> {
    let mut state = proxy.state.borrow_mut();
    let node = ClusterNode::open(handle, fleet_settings, state.config.seed, &state.log);
    state.cluster = Some(node.map_err(StartupError::Cluster)?);
    Ok(())
}
