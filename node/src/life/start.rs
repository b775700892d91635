//! The start: what the balancer is told, the listener, the module, the loop.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use pinefront::{Balancer, Effect, Micros, Terms};
use pinefront_terms::fields::{Decoded, field, list, optional, part, text, whole};
use pinefront_terms::terms;
use serde_json::Value;
use slog::{info, warn};
use slotmap::SlotMap;
use socket2::{Domain, Protocol, Socket, Type};

use crate::life::log::Pipe;
use crate::life::reasons;
use crate::life::serve::{Hands, Node, serve};
use crate::memory::counters::Counters;
use crate::memory::deadlines::Deadlines;
use crate::memory::desk::{Clock, Desk, Turn};
use crate::wire::discovery::Roster;

#[cfg(test)]
mod tests;

/// Connections that may wait for us while a turn lasts.
const BACKLOG: i32 = 1024;
/// Tries to listen, and the time between them: together longer than an orderly stop takes.
const LISTEN_TRIES: u32 = 100;
const LISTEN_APART: Duration = Duration::from_millis(50);
/// Descriptors kept for the rest: standard streams, listener, discovery, the loop's own, a spare few.
const KEPT_BACK: u64 = 24;
/// Part of the other descriptors for clients: several may wait for each that is with an upstream.
const CLIENTS_PART: f64 = 0.6;
/// Fewest descriptors that serve anybody.
const FEWEST: u64 = 64;

/// Where this balancer stands: its addresses, its limits, and names as numbers.
pub struct Place {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub clients_most: usize,
    pub links_most: usize,
    pub use_cases: Vec<String>,
    pub effects: Vec<Effect>,
    pub accounts: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub idle: Micros,
    pub connect_timeout: Micros,
    pub drain_grace: Micros,
    /// The module asks for the list itself.
    pub asks_itself: bool,
    /// Answers hold load reports.
    pub loads_told: bool,
}

/// What `BALANCER_*` variables say, by the rest of their names.
pub type Variables = HashMap<String, String>;

impl Place {
    /// An account that no term names is numbered beyond them.
    pub fn account(&self, name: &str) -> usize {
        self.accounts.iter().position(|known| known == name).unwrap_or(self.accounts.len())
    }

    pub fn zone(&mut self, name: &str) -> u64 {
        numbered(&mut self.zones, name)
    }

    pub fn kind(&mut self, name: &str) -> u64 {
        numbered(&mut self.kinds, name)
    }

    pub fn decode(told: &Value, variables: &Variables, most_open: u64) -> Decoded<(Self, Terms)> {
        let settings = part(told, "settings")?;
        let terms = terms(settings).map_err(|problem| format!("in 'settings': {problem}"))?;
        let caps = part(settings, "caps")?;
        let limit = match optional(told, "limits", Some)? {
            Some(limits) => optional(limits, "sockets", Value::as_u64)?.unwrap_or(most_open),
            None => most_open,
        };
        let open = limit.min(most_open);
        if open < FEWEST {
            return Err(format!("field 'sockets' is {open}, and {FEWEST} are the fewest to serve with"));
        }
        let room = (open - KEPT_BACK) as usize;
        let clients_most = (room as f64 * CLIENTS_PART) as usize;
        let seed = text(told, "seed")?;
        let names = |object: &Value, name: &str| -> Decoded<Vec<String>> {
            list(object, name)?.iter().map(|entry| text(entry, "name").map(str::to_owned)).collect()
        };
        let words = |name: &str| -> Decoded<Vec<String>> {
            let word = |entry: &Value| entry.as_str().map(str::to_owned);
            let wrong = || format!("field '{name}' holds what is no text");
            list(settings, name)?.iter().map(|entry| word(entry).ok_or_else(wrong)).collect()
        };
        let place = Self {
            name: named(told, variables, "name")?,
            listen: address(told, variables, "listen")?,
            discovery: address(told, variables, "discovery")?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| "field 'seed' is no hexadecimal number")?,
            clients_most,
            links_most: room - clients_most,
            use_cases: names(settings, "useCases")?,
            effects: terms.use_cases.iter().map(|use_case| use_case.effect).collect(),
            accounts: match optional(settings, "accounts", Value::as_array)? {
                Some(_) => names(settings, "accounts")?,
                None => Vec::new(),
            },
            zones: words("dcs")?,
            kinds: words("kinds")?,
            idle: whole(caps, "connIdleUs")?,
            connect_timeout: whole(caps, "connectTimeoutUs")?,
            drain_grace: whole(part(settings, "rules")?, "drainGraceUs")?,
            asks_itself: terms.ask_within.is_some(),
            loads_told: text(part(settings, "report")?, "source")? == "inline",
        };
        Ok((place, terms))
    }
}

fn numbered(names: &mut Vec<String>, name: &str) -> u64 {
    let at = names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    at as u64
}

/// What a variable says, or else the file.
fn named(told: &Value, variables: &Variables, name: &str) -> Decoded<String> {
    match variables.get(&name.to_uppercase()) {
        Some(value) => Ok(value.clone()),
        None => text(told, name).map(str::to_owned),
    }
}

fn address(told: &Value, variables: &Variables, name: &str) -> Decoded<SocketAddr> {
    let value = named(told, variables, name)?;
    value.parse().map_err(|_| format!("field '{name}' is '{value}', no address and port"))
}

/// The variables that speak to a balancer.
pub fn variables() -> Variables {
    let ours = |(name, value): (String, String)| Some((name.strip_prefix("BALANCER_")?.to_owned(), value));
    // A variable that is no text is none of ours.
    let texts = std::env::vars_os().filter_map(|(n, v)| Some((n.into_string().ok()?, v.into_string().ok()?)));
    texts.filter_map(ours).collect()
}

/// Reads the file that tells a balancer where it stands.
pub fn read(path: Option<&str>, variables: &Variables) -> Decoded<(Value, Place, Terms)> {
    let path = path.or(variables.get("CONFIG").map(String::as_str));
    let path = path.ok_or("no file named: give --config or set BALANCER_CONFIG")?;
    let bytes = std::fs::read(path).map_err(|problem| format!("cannot read {path}: {problem}"))?;
    let told: Value =
        serde_json::from_slice(&bytes).map_err(|problem| format!("{path} is not JSON: {problem}"))?;
    let most_open = rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
    let (place, terms) =
        Place::decode(&told, variables, most_open).map_err(|problem| format!("in {path}: {problem}"))?;
    Ok((told, place, terms))
}

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
    handle: LoopHandle<'static, Node>,
    pipe: &Pipe,
    told: &Value,
    place: Place,
    terms: Terms,
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
        roster: Roster::new(seed, now),
        deadlines: Deadlines::default(),
        counters: Counters::default(),
        stopping: false,
        turn: Turn::default(),
    }));
    let balancer = Balancer::start(Hands(Rc::clone(&desk)), seed, terms, now);
    let mut node = Node { balancer, desk, stopping: None, over: false };
    if let Some(known) = optional(told, "known", Some)? {
        // An old list that cannot be read is no reason not to serve: discovery has a new one.
        match node.take_list(known) {
            Ok(()) => node.desk.borrow_mut().roster.only_known(),
            Err(problem) => {
                warn!(node.desk.borrow().log, "known list not understood"; "problem" => problem);
            }
        }
    }
    let mut desk = node.desk.borrow_mut();
    if !desk.place.asks_itself {
        desk.follow_list();
    }
    drop(desk);
    Ok(node)
}

/// Runs the balancer until it is told to stop.
pub fn run(path: Option<&str>) -> Decoded<()> {
    let (told, place, terms) = read(path, &variables())?;
    field(&told, "settings", Some)?;
    let mut event_loop: EventLoop<Node> =
        EventLoop::try_new().map_err(|problem| format!("cannot make the event loop: {problem}"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1])
        .map_err(|problem| format!("cannot watch signals: {problem}"))?;
    let handle = event_loop.handle();
    handle
        .insert_source(signals, |event, &mut (), node: &mut Node| node.signalled(event.signal()))
        .map_err(|problem| format!("cannot watch signals: {problem}"))?;
    let pipe = Pipe::default();
    let mut node = open(handle, &pipe, &told, place, terms)?;
    let served = serve(&mut event_loop, &mut node, &pipe);
    node.desk.borrow_mut().end_all();
    node.desk.borrow().tell_counters();
    pipe.flush();
    served
}

impl Desk {
    /// The counters, a line each.
    pub fn tell_counters(&self) {
        for line in self.counters.to_string().lines() {
            info!(self.log, "counter"; "of" => line.split(' ').next().unwrap_or(""),
                "is" => line.split(' ').next_back().unwrap_or(""));
        }
    }

    /// Ends what is still open when the program ends.
    fn end_all(&mut self) {
        let clients: Vec<_> = self.clients.keys().collect();
        clients.into_iter().for_each(|slot| self.end_client(slot, reasons::STOPPED));
        let links: Vec<_> = self.links.keys().collect();
        links.into_iter().for_each(|slot| self.end_link(slot, reasons::STOPPED));
        self.end_discovery(reasons::STOPPED);
    }

    pub fn accept_again(&mut self) {
        if let Some((_, token)) = &self.listener
            && let Err(problem) = self.handle.enable(token)
        {
            warn!(self.log, "cannot accept again"; "problem" => %problem);
        }
    }

    pub fn close_listener(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
    }
}
