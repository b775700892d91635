//! The start: the listener, the module, the loop.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use pinefront_policy::{Balancer, Settings};
use pinefront_settings::fields::{Decoded, optional};
use serde_json::Value;
use slog::{info, warn};
use slotmap::SlotMap;
use socket2::{Domain, Protocol, Socket, Type};

use crate::config::{Config, LoadError, read, variables};
use crate::discovery::state::Discovery;
use crate::event_loop::serve;
use crate::fleet::carrier::Fleet;
use crate::fleet::operator::{self, FleetTerms};
use crate::lifecycle::retry::{is_transient, retry_transient};
use crate::logging::LogBuffer;
use crate::state::clock::{Clock, LoopIteration};
use crate::state::counters::Counters;
use crate::state::endpoint::EndpointTable;
use crate::state::gossip_socket::GossipSocket;
use crate::state::proxy::{Proxy, ProxyHost, ProxyState};
use crate::state::request::RequestTable;
use crate::state::timers::Timers;

/// Connections that may wait for us while a turn lasts.
const BACKLOG: i32 = 1024;
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM.nonblocking(),
        Some(Protocol::TCP),
    )?;
    // A restarted balancer takes its address back while old connections fade.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Opens the listener and makes the proxy. The module's first calls come only after all stands.
pub fn open(
    handle: LoopHandle<'static, Proxy>,
    log_buffer: &LogBuffer,
    document: &Value,
    config: Config,
    settings: Settings,
) -> Decoded<Proxy> {
    let log = log_buffer.logger(slog::Level::Info);
    let listener = retry_transient(is_transient, || listen(config.listen))
        .map_err(|problem| format!("cannot listen on {}: {problem}", config.listen))?;
    let listener = Rc::new(listener);
    let source = Generic::new(Rc::clone(&listener), Interest::READ, Mode::Level);
    let accepting = handle.insert_source(source, |_, _, proxy: &mut Proxy| {
        proxy.accept();
        Ok(PostAction::Continue)
    });
    let accepting = accepting.map_err(|problem| format!("cannot watch the listener: {problem}"))?;
    info!(log, "serving"; "name" => &config.name, "listen" => %config.listen, "discovery" => %config.discovery,
        "version" => env!("CARGO_PKG_VERSION"), "max_client_connections" => config.max_client_connections,
        "max_endpoint_connections" => config.max_endpoint_connections);
    let (clock, seed) = (Clock::start(), config.seed);
    let own = config.peers.get(config.own_index).copied();
    let gossip_socket = GossipSocket::open_if_changed(None, &handle, own, Proxy::gossip_ready)
        .map_err(|problem| format!("cannot hear at {own:?}: {problem}"))?;
    let now = clock.now();
    let state = Rc::new(RefCell::new(ProxyState {
        clock,
        config,
        log,
        handle,
        listener: Some((listener, accepting)),
        clients: SlotMap::with_key(),
        endpoint_connections: SlotMap::with_key(),
        requests: RequestTable::default(),
        endpoints: EndpointTable::default(),
        discovery: Discovery::new(seed),
        gossip_socket,
        fleet: None,
        timers: Timers::default(),
        counters: Counters::default(),
        stopping: None,
        closing: false,
        accept_paused: false,
        pending_reload: None,
        shortage_logged_at: 0,
        loop_iteration: LoopIteration::default(),
    }));
    let balancer = Balancer::start(ProxyHost(Rc::clone(&state)), seed, settings, now);
    let proxy = Proxy {
        balancer,
        state,
        is_finished: false,
    };
    if let Some(known) = optional(document, "known", Some)? {
        let mut state = proxy.state.borrow_mut();
        // An old list that cannot be read is no reason not to serve: discovery has a new one.
        if let Err(problem) = state.discovery.hold_known(known) {
            warn!(state.log, "cached endpoint list malformed"; "error" => problem);
        }
    }
    proxy.state.borrow_mut().start_polling();
    Ok(proxy)
}

/// What the operator file says of the fleet. Where it names no member or zone, they are those of the configuration.
pub fn fleet_terms(file: &str, config: &Config, settings: &Settings) -> Decoded<FleetTerms> {
    let zone = config
        .zones
        .get(settings.zone as usize)
        .map_or("", String::as_str);
    operator::read(file, &config.name, zone)
}

/// Runs the balancer until it is told to stop.
pub fn run(path: Option<&str>, operator: Option<&str>) -> Decoded<()> {
    let mut event_loop: EventLoop<Proxy> =
        retry_transient(is_transient, || EventLoop::try_new().map_err(Into::into))
            .map_err(|problem| format!("cannot make the event loop: {problem}"))?;
    // First of all: a signal that comes during the start waits, and does not end the process.
    let watched = [
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGUSR1,
        Signal::SIGHUP,
    ];
    let signals = retry_transient(is_transient, || Signals::new(&watched).map_err(Into::into))
        .map_err(|problem| format!("cannot watch signals: {problem}"))?;
    let (document, config, settings) = retry_transient(
        |unread: &LoadError| unread.is_transient,
        || read(path, &variables()),
    )?;
    let fleet_terms = operator
        .map(|file| fleet_terms(file, &config, &settings))
        .transpose()?;
    let handle = event_loop.handle();
    let (file, operator) = (path.map(str::to_owned), operator.map(str::to_owned));
    handle
        .insert_source(
            signals,
            move |event, &mut (), proxy: &mut Proxy| match event.signal() {
                Signal::SIGHUP => {
                    proxy.reload(file.as_deref(), &variables());
                    proxy.reload_operator_file(operator.as_deref());
                }
                signal => proxy.signalled(signal),
            },
        )
        .map_err(|problem| format!("cannot watch signals: {problem}"))?;
    let log_buffer = LogBuffer::default();
    let mut proxy = open(handle.clone(), &log_buffer, &document, config, settings)?;
    if let Some(settings) = fleet_terms {
        let log = proxy.state.borrow().log.clone();
        let seed = proxy.state.borrow().config.seed;
        proxy.state.borrow_mut().fleet = Some(Fleet::open(&handle, settings, seed, &log)?);
    }
    let served = serve(&mut event_loop, &mut proxy, &log_buffer);
    proxy.state.borrow_mut().end_all();
    // Nothing is sent to endpoints from here on: only now may others count us out.
    proxy
        .state
        .borrow()
        .fleet
        .iter()
        .for_each(|fleet| fleet.borrow_mut().leave());
    proxy.state.borrow().log_counters();
    log_buffer.flush();
    served
}
