//! The start: the listener, the module, the loop.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use pinefront_policy::{Balancer, Settings};
use pinefront_settings::fields::{Decoded, optional};
use rustix::io::Errno;
use serde_json::Value;
use slog::{info, warn};
use slotmap::SlotMap;
use socket2::{Domain, Protocol, Socket, Type};

use crate::fleet::carrier::Fleet;
use crate::fleet::operator::{self, FleetTerms};
use crate::life::log::Pipe;
use crate::life::place::{Place, Unread, read, variables};
use crate::life::serve::{Hands, Node, serve};
use crate::memory::clock::{Clock, Turn};
use crate::memory::counters::Counters;
use crate::memory::deadlines::Deadlines;
use crate::memory::desk::Desk;
use crate::wire::discovery::Discovery;
use crate::wire::peers::Ear;

#[cfg(test)]
mod tests;

/// Connections that may wait for us while a turn lasts.
const BACKLOG: i32 = 1024;
/// Tries of what the start needs of the system, and the time between them: together longer than an orderly stop takes.
const TRIES: u32 = 100;
const TRIES_APART: Duration = Duration::from_millis(50);

/// Whether another try may do: the process before us has not let go of the address yet, or the system is short of
/// something for the moment.
pub fn passes(problem: &std::io::Error) -> bool {
    let Some(code) = Errno::from_io_error(problem) else {
        return false;
    };
    matches!(
        code,
        Errno::ADDRINUSE
            | Errno::ADDRNOTAVAIL
            | Errno::AGAIN
            | Errno::INTR
            | Errno::IO
            | Errno::MFILE
            | Errno::NFILE
            | Errno::NETDOWN
            | Errno::NETUNREACH
            | Errno::NOBUFS
            | Errno::NOMEM
    )
}

/// Tries again what fails for a moment only: a start that gives up at once is a crash to whoever started it.
fn patiently<T, E>(
    passes: impl Fn(&E) -> bool,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut tries = TRIES;
    loop {
        match attempt() {
            Err(problem) if passes(&problem) && tries > 0 => {
                tries -= 1;
                std::thread::sleep(TRIES_APART);
            }
            done => return done,
        }
    }
}

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

/// Opens the listener and makes the node. The module's first calls come only after all stands.
pub fn open(
    handle: LoopHandle<'static, Node>,
    pipe: &Pipe,
    told: &Value,
    place: Place,
    terms: Settings,
) -> Decoded<Node> {
    let log = pipe.logger(slog::Level::Info);
    let listener = patiently(passes, || listen(place.listen))
        .map_err(|problem| format!("cannot listen on {}: {problem}", place.listen))?;
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
    let own = place.peers.get(place.own_index).copied();
    let ear = Ear::moved(None, &handle, own)
        .map_err(|problem| format!("cannot hear at {own:?}: {problem}"))?;
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
        discovery: Discovery::new(seed),
        ear,
        fleet: None,
        deadlines: Deadlines::default(),
        counters: Counters::default(),
        stopping: None,
        closing: false,
        accept_rests: false,
        reread_again: None,
        shortage_told: 0,
        turn: Turn::default(),
    }));
    let balancer = Balancer::start(Hands(Rc::clone(&desk)), seed, terms, now);
    let node = Node {
        balancer,
        desk,
        over: false,
    };
    if let Some(known) = optional(told, "known", Some)? {
        let mut desk = node.desk.borrow_mut();
        // An old list that cannot be read is no reason not to serve: discovery has a new one.
        if let Err(problem) = desk.discovery.hold_known(known) {
            warn!(desk.log, "known list not understood"; "problem" => problem);
        }
    }
    node.desk.borrow_mut().begin_following();
    Ok(node)
}

/// What the operator file says of the fleet. Where it names no member or zone, they are those of the configuration.
pub fn fleet_terms(file: &str, place: &Place, terms: &Settings) -> Decoded<FleetTerms> {
    let zone = place
        .zones
        .get(terms.zone as usize)
        .map_or("", String::as_str);
    operator::read(file, &place.name, zone)
}

/// Runs the balancer until it is told to stop.
pub fn run(path: Option<&str>, operator: Option<&str>) -> Decoded<()> {
    let mut event_loop: EventLoop<Node> =
        patiently(passes, || EventLoop::try_new().map_err(Into::into))
            .map_err(|problem| format!("cannot make the event loop: {problem}"))?;
    // First of all: a signal that comes during the start waits, and does not end the process.
    let watched = [
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGUSR1,
        Signal::SIGHUP,
    ];
    let signals = patiently(passes, || Signals::new(&watched).map_err(Into::into))
        .map_err(|problem| format!("cannot watch signals: {problem}"))?;
    let (told, place, terms) =
        patiently(|unread: &Unread| unread.passes, || read(path, &variables()))?;
    let fleet_terms = operator
        .map(|file| fleet_terms(file, &place, &terms))
        .transpose()?;
    let handle = event_loop.handle();
    let (file, operator) = (path.map(str::to_owned), operator.map(str::to_owned));
    handle
        .insert_source(
            signals,
            move |event, &mut (), node: &mut Node| match event.signal() {
                Signal::SIGHUP => {
                    node.reread(file.as_deref(), &variables());
                    node.reread_operator(operator.as_deref());
                }
                signal => node.signalled(signal),
            },
        )
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
    node.desk
        .borrow()
        .fleet
        .iter()
        .for_each(|fleet| fleet.borrow_mut().leave());
    node.desk.borrow().tell_counters();
    pipe.flush();
    served
}
