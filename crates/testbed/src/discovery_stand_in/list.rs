//! Responses of discovery: the endpoint list or its changes, as JSON in one of the framings of
//! HTTP/1.1.

use pinefront_model::Micros;
use pinefront_model::discovery::EndpointEntry;
use pinefront_model::scenario::FaultKind;
use pinefront_model::timeline::DiscoveryState;
use serde_json::json;

use crate::world::World;

/// Number of framings of a response.
const FRAMINGS: usize = 3;

/// The list that answers a call.
pub(super) struct List {
    version: u64,
    /// Whether it contains all servers, rather than changes.
    pub(super) is_complete: bool,
    pub(super) entries: Vec<EndpointEntry>,
    /// The entries as JSON.
    documents: Vec<String>,
}

impl List {
    /// The changes since a version, or the complete list where none is given.
    pub(super) fn new(world: &World, since: Option<u64>) -> Self {
        let moment = served_moment(world);
        let list = world.with_registry(|registry| match since {
            Some(since) => registry.changes_since(moment, since),
            None => registry.list(moment),
        });
        let with_document = |entry: EndpointEntry| {
            let document = world.entry_document(&entry)?;
            Some((entry, document.to_string()))
        };
        let (entries, documents) = list.entries.into_iter().filter_map(with_document).unzip();
        Self {
            version: list.version,
            is_complete: since.is_none(),
            entries,
            documents,
        }
    }
}

/// The time as of which discovery serves the list.
pub(super) fn served_moment(world: &World) -> Micros {
    match world.timeline().discovery_state(world.now()) {
        DiscoveryState::Stale(age) => world.now().saturating_sub(age),
        _ => world.now(),
    }
}

/// A response's bytes.
pub(super) struct Response {
    pub(super) bytes: Vec<u8>,
    /// The offset of each entry of the list.
    pub(super) entry_offsets: Vec<usize>,
    /// Whether the connection can carry another call.
    pub(super) keep_alive: bool,
}

impl Response {
    pub(super) fn new(list: &List, world: &World) -> Self {
        let mut body = format!(
            "{{\"rev\":{},\"all\":{},\"targets\":[",
            list.version, list.is_complete
        );
        if world.fault_strikes(FaultKind::ListsStrange) {
            let malformed = json!({"uid": "s-strange", "endpoint": "nowhere", "state": "resting"});
            body += &malformed.to_string();
        }
        let mut offsets = Vec::new();
        for document in &list.documents {
            if !body.ends_with('[') {
                body += ",\n  ";
            }
            offsets.push(body.len());
            body += document;
        }
        body += "]}";
        Self::framed(&body, offsets, world)
    }

    /// Frames a body by its length; at random by chunks or the connection's end while a fault sends
    /// it in pieces.
    fn framed(body: &str, offsets: Vec<usize>, world: &World) -> Self {
        let in_pieces = world
            .timeline()
            .active_global_fault(FaultKind::ListsInPieces, world.now());
        let framing = if in_pieces.is_some() {
            world.draw_below(FRAMINGS)
        } else {
            0
        };
        let length = body.len();
        let (head, tail, keep_alive) = match framing {
            1 => {
                let fields = "Transfer-Encoding: chunked";
                let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n{length:x}\r\n");
                (head, "\r\n0\r\n\r\n", true)
            }
            2 => {
                let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned();
                (head, "", false)
            }
            _ => {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                (head, "", true)
            }
        };
        let offsets = offsets.into_iter().map(|offset| head.len() + offset);
        Self {
            entry_offsets: offsets.collect(),
            bytes: format!("{head}{body}{tail}").into_bytes(),
            keep_alive,
        }
    }
}
