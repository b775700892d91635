//! The start: the listener, the module, the loop.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use pinefront::{Balancer, Terms};
use pinefront_terms::fields::{Decoded, optional};
use serde_json::Value;
use slog::{info, warn};
use slotmap::SlotMap;
use socket2::{Domain, Protocol, Socket, Type};

use crate::fleet::carrier::Fleet;
use crate::fleet::operator::{self, FleetTerms};
use crate::life::log::Pipe;
use crate::life::place::{Place, read, variables};
use crate::life::serve::{Hands, Node, serve};
use crate::memory::clock::{Clock, Turn};
use crate::memory::counters::Counters;
use crate::memory::deadlines::Deadlines;
use crate::memory::desk::Desk;
use crate::wire::discovery::Roster;
use crate::wire::peers::Ear;

/// Connections that may wait for us while a turn lasts.
const BACKLOG: i32 = 1024;
/// Tries to listen, and the time between them: together longer than an orderly stop takes.
const LISTEN_TRIES: u32 = 100;
const LISTEN_APART: Duration = Duration::from_millis(50);

/// Listens, after a short wait where the process before us has not let go of the address yet.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let mut tries = LISTEN_TRIES;
    loop {
        match listen_now(address) {
            Err(problem) if problem.kind() == ErrorKind::AddrInUse && tries > 0 => {
                tries -= 1;
                std::thread::sleep(LISTEN_APART);
            }
            done => return done,
        }
    }
}

fn listen_now(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    // A restarted balancer takes its address back while old connections fade.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Opens the listener and makes the node. The module's first calls come only after all stands.
pub fn open(
    handle: LoopHandle<'static, Node>, pipe: &Pipe, told: &Value, place: Place, terms: Terms,
) -> Decoded<Node> {
    let log = pipe.logger(slog::Level::Info);
    let listener =
        listen(place.listen).map_err(|problem| format!("cannot listen on {}: {problem}", place.listen))?;
    let listener = Rc::new(listener);
    let source = Generic::new(Rc::clone(&listener), Interest::READ, Mode::Level);
    let accepting = handle.insert_source(source, |_, _, node: &mut Node| {
        node.accept();
        Ok(PostAction::Continue)
    });
    let accepting = accepting.map_err(|problem| format!("cannot watch the listener: {problem}"))?;
    info!(log, "serving"; "name" => &place.name, "listen" => %place.listen, "discovery" => %place.discovery,
        "version" => env!("CARGO_PKG_VERSION"), "clients_most" => place.clients_most,
        "links_most" => place.links_most);
    let (clock, seed) = (Clock::start(), place.seed);
    let own = place.peers.get(place.own_number).copied();
    let ear =
        Ear::moved(None, &handle, own).map_err(|problem| format!("cannot hear at {own:?}: {problem}"))?;
    let now = clock.now();
    let desk = Rc::new(RefCell::new(Desk {
        clock,
        place,
        log,
        handle,
        listener: Some((listener, accepting)),
        clients: SlotMap::with_key(),
        links: SlotMap::with_key(),
        tickets: SlotMap::with_key(),
        by_id: HashMap::new(),
        upstreams: SlotMap::with_key(),
        by_name: HashMap::new(),
        roster: Roster::new(seed),
        ear,
        fleet: None,
        deadlines: Deadlines::default(),
        counters: Counters::default(),
        stopping: None,
        closing: false,
        accept_rests: false,
        shortage_told: 0,
        turn: Turn::default(),
    }));
    let balancer = Balancer::start(Hands(Rc::clone(&desk)), seed, terms, now);
    let mut node = Node { balancer, desk, over: false };
    if let Some(known) = optional(told, "known", Some)? {
        // An old list that cannot be read is no reason not to serve: discovery has a new one.
        match node.take_list(known) {
            Ok(()) => node.desk.borrow_mut().roster.only_known(),
            Err(problem) => {
                warn!(node.desk.borrow().log, "known list not understood"; "problem" => problem);
            }
        }
    }
    node.desk.borrow_mut().begin_following();
    Ok(node)
}

/// What the operator file says of the fleet. Where it names no member or zone, they are those of the configuration.
pub fn fleet_terms(file: &str, place: &Place, terms: &Terms) -> Decoded<FleetTerms> {
    let zone = place.zones.get(terms.zone as usize).map_or("", String::as_str);
    operator::read(file, &place.name, zone)
}

/// Runs the balancer until it is told to stop.
pub fn run(path: Option<&str>, operator: Option<&str>) -> Decoded<()> {
    let (told, place, terms) = read(path, &variables())?;
    let fleet_terms = operator.map(|file| fleet_terms(file, &place, &terms)).transpose()?;
    let mut event_loop: EventLoop<Node> =
        EventLoop::try_new().map_err(|problem| format!("cannot make the event loop: {problem}"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP])
        .map_err(|problem| format!("cannot watch signals: {problem}"))?;
    let handle = event_loop.handle();
    let (file, operator) = (path.map(str::to_owned), operator.map(str::to_owned));
    handle
        .insert_source(signals, move |event, &mut (), node: &mut Node| match event.signal() {
            Signal::SIGHUP => {
                node.reread(file.as_deref(), &variables());
                node.reread_operator(operator.as_deref());
            }
            signal => node.signalled(signal),
        })
        .map_err(|problem| format!("cannot watch signals: {problem}"))?;
    let pipe = Pipe::default();
    let mut node = open(handle.clone(), &pipe, &told, place, terms)?;
    if let Some(terms) = fleet_terms {
        let log = node.desk.borrow().log.clone();
        let seed = node.desk.borrow().place.seed;
        node.desk.borrow_mut().fleet = Some(Fleet::open(&handle, terms, seed, &log)?);
    }
    let served = serve(&mut event_loop, &mut node, &pipe);
    node.desk.borrow_mut().end_all();
    // Nothing is sent to upstreams from here on: only now may others count us out.
    node.desk.borrow().fleet.iter().for_each(|fleet| fleet.borrow_mut().leave());
    node.desk.borrow().tell_counters();
    pipe.flush();
    served
}
