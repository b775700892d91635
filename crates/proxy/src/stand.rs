//! A balancer between sockets of the test's own. Everything waits for what must come, never for a time.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use calloop::EventLoop;
use pinefront_policy::{Host, Micros};
use serde_json::{Value, json};

use crate::life::log::Pipe;
use crate::life::place::{Place, Variables};
use crate::life::serve::{Hands, Node};
use crate::life::start::open;
use crate::memory::slots::{ClientSlot, TicketSlot};

/// Far more than anything here takes: beyond it a test has failed.
const LONG: Duration = Duration::from_secs(20);

/// What a balancer is told, with one labelled use case.
pub fn told(listen: &str, discovery: &str) -> Value {
    json!({
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "settings": {
            "fleetSize": 1, "me": 0, "zone": 0, "registryMode": "ask", "weightKind": "off",
            "dcs": ["a"], "kinds": ["m1"], "report": {"source": "inline"},
            "caps": {"cancel": true, "secondCopies": true, "maxDispatches": 5, "retryAfter": true,
                "maxRetryAfterUs": 1_000_000, "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
            "rules": {"askWithinUs": 10_000_000, "coldFrom": 0.3, "warmUpUs": 8_800_000, "tipMultiple": 3.0,
                "fallUs": 1_000_000, "drainGraceUs": 400_000},
            "accounts": [{"name": "acme", "allowancePerS": 100.0}],
            "useCases": [
                {"name": "pay", "effect": "keyed", "dedupScope": "cell", "dedupWindowUs": 2_500_000,
                    "promisedTimeUs": 600_000},
                {"name": "look", "effect": "safe", "promisedTimeUs": 600_000}]}
    })
}

pub fn entry(id: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": id, "endpoint": address.to_string(), "az": "a", "model": "m1", "pod_group": 0,
        "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// Discovery's answer with a list.
pub fn answer(list: &Value) -> String {
    let text = list.to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    )
}

/// A whole request for the labelled use case.
pub fn message(id: &str, body: &str) -> String {
    format!(
        "POST /pay/1?x=2 HTTP/1.1\r\nHost: app\r\nX-Txn: {id}\r\nX-Lane: pay\r\nX-Org: acme\r\n\
         X-Remaining-Ms: 900\r\nIdempotency-Key: k\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub struct Stand {
    pub event_loop: EventLoop<'static, Node>,
    pub node: Node,
    pub discovery: TcpListener,
    pub address: SocketAddr,
}

impl Stand {
    pub fn new() -> Self {
        Self::with(|_| {})
    }

    /// A balancer that is told so much else.
    pub fn with(change: impl FnOnce(&mut Value)) -> Self {
        let discovery = listener();
        let mut told = told("127.0.0.1:0", &discovery.local_addr().unwrap().to_string());
        change(&mut told);
        let (place, terms) = Place::decode(&told, &Variables::new(), 1024).unwrap();
        let event_loop = EventLoop::try_new().unwrap();
        let node = open(event_loop.handle(), &Pipe::default(), &told, place, terms).unwrap();
        // However slow a test is, it counts as in time.
        node.desk.borrow_mut().turn.until = Micros::MAX;
        let address = node
            .desk
            .borrow()
            .listener
            .as_ref()
            .unwrap()
            .0
            .local_addr()
            .unwrap();
        Self {
            event_loop,
            node,
            discovery,
            address,
        }
    }

    /// An upstream of the test's own, named in the list.
    pub fn upstream(&mut self, id: &str) -> TcpListener {
        let listener = listener();
        self.list(&[entry(id, listener.local_addr().unwrap(), "active")]);
        listener
    }

    /// Many upstreams at one address: with so many to itself, a balancer that knows nothing yet lets through
    /// what comes.
    pub fn upstreams(&mut self) -> TcpListener {
        let listener = listener();
        let address = listener.local_addr().unwrap();
        self.list(&["s1", "s2", "s3", "s4", "s5", "s6"].map(|id| entry(id, address, "active")));
        listener
    }

    pub fn list(&mut self, entries: &[Value]) {
        self.node
            .take_list(&json!({"rev": 1, "all": false, "targets": entries}))
            .unwrap();
    }

    /// Turns until there is what must come.
    pub fn until<T>(&mut self, mut look: impl FnMut(&mut Node) -> Option<T>) -> T {
        let began = Instant::now();
        loop {
            if let Some(found) = look(&mut self.node) {
                return found;
            }
            assert!(
                began.elapsed() < LONG,
                "it never came; {}",
                node_state(&self.node)
            );
            self.event_loop
                .dispatch(Some(Duration::from_millis(1)), &mut self.node)
                .unwrap();
            self.node.deadlines();
        }
    }

    pub fn client(&mut self) -> (TcpStream, ClientSlot) {
        let known: Vec<_> = self.node.desk.borrow().clients.keys().collect();
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_nonblocking(true).unwrap();
        let slot = self.until(|node| {
            node.desk
                .borrow()
                .clients
                .keys()
                .find(|slot| !known.contains(slot))
        });
        (stream, slot)
    }

    pub fn accepted(&mut self, listener: &TcpListener) -> TcpStream {
        let stream = self.until(|_| listener.accept().ok()).0;
        stream.set_nonblocking(true).unwrap();
        stream
    }

    /// The next connection to discovery.
    pub fn accepted_discovery(&mut self) -> TcpStream {
        let discovery = self.discovery.try_clone().unwrap();
        self.accepted(&discovery)
    }

    /// What comes until it ends so.
    pub fn heard(&mut self, mut stream: &TcpStream, end: &str) -> String {
        let mut heard = Vec::new();
        self.until(|_| {
            let mut part = [0; 4096];
            match stream.read(&mut part) {
                Ok(count) => heard.extend_from_slice(&part[..count]),
                Err(problem) => assert_eq!(problem.kind(), ErrorKind::WouldBlock),
            }
            heard.ends_with(end.as_bytes()).then_some(())
        });
        String::from_utf8(heard).unwrap()
    }

    /// Whether the other side has ended the connection.
    pub fn ends(&mut self, mut stream: &TcpStream) {
        self.until(|_| match stream.read(&mut [0; 4096]) {
            Ok(0) => Some(()),
            Ok(_) => None,
            Err(problem) => (problem.kind() != ErrorKind::WouldBlock).then_some(()),
        });
    }

    /// A ticket whose client waits, unknown to the module, and its first dispatch.
    pub fn dispatched(
        &mut self,
        id: &str,
        upstream: &str,
        wait: Micros,
    ) -> (TcpStream, TicketSlot) {
        let (stream, slot) = self.client();
        let text = bytes::Bytes::from(message(id, "body"));
        let mut fields = [httparse::EMPTY_HEADER; 16];
        let mut head = httparse::Request::new(&mut fields);
        let length = head.parse(&text).unwrap().unwrap();
        let body = std::iter::once(length..text.len()).collect::<Vec<_>>();
        let idempotency = self.node.desk.borrow().place.effects[0];
        self.node
            .desk
            .borrow_mut()
            .open(slot, id, idempotency, &text, &head, &body);
        let ticket = self.node.desk.borrow().by_id[id];
        self.again(id, upstream, wait);
        (stream, ticket)
    }

    pub fn again(&mut self, id: &str, upstream: &str, wait: Micros) {
        let expire_at = self.node.desk.borrow().now() + wait;
        Hands(self.node.desk.clone()).start_attempt(id, upstream, expire_at);
    }
}

/// Makes of what a balancer is told that of a fleet of another build: use cases of its own, loads told to probes, no
/// second copies, and two balancers that hear each other at these addresses.
pub fn moved(told: &mut Value, peers: &[SocketAddr]) {
    let settings = &mut told["settings"];
    settings["useCases"] = json!([
        {"name": "swap", "effect": "unsafe", "promisedTimeUs": 280_000, "earnings": 5.0},
        {"name": "status", "effect": "safe", "promisedTimeUs": 280_000, "earnings": 2.0}]);
    settings["report"]["source"] = "on_probe".into();
    settings["fleetSize"] = peers.len().into();
    settings["dcs"] = json!(["b", "a"]);
    for (name, allowed) in [("probes", true), ("peers", true), ("secondCopies", false)] {
        settings["caps"][name] = allowed.into();
    }
    told["probe_path"] = "/load".into();
    told["peers"] = peers.iter().map(SocketAddr::to_string).collect();
}

pub fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

pub fn say(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

/// What a test that failed wants to know.
fn node_state(node: &Node) -> String {
    let text = node.desk.borrow().counters.to_string();
    text.lines()
        .filter(|line| !line.ends_with(" 0"))
        .collect::<Vec<_>>()
        .join(", ")
}
