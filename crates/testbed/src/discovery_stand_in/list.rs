//! Responses of discovery: the complete endpoint list or its changes, as JSON, in one of the
//! message framings of HTTP/1.1.

use pinefront_model::Micros;
use pinefront_model::discovery::EndpointEntry;
use pinefront_model::scenario::FaultKind;
use pinefront_model::timeline::DiscoveryState;
use serde_json::json;

use crate::world::World;

/// Number of framings: by length, in chunks, and by the end of the connection.
const FRAMINGS: usize = 3;

/// The endpoint list in the response to a poll or a watch.
pub(super) struct List {
    version: u64,
    /// Whether the list contains all servers, rather than changes only.
    pub(super) is_complete: bool,
    pub(super) entries: Vec<EndpointEntry>,
    /// The entries as JSON.
    entries_json: Vec<String>,
}

impl List {
    /// The changes since a version, or the complete list where no version is given.
    pub(super) fn new(world: &World, since: Option<u64>) -> Self {
        let served_at = served_time(world);
        let list = world.with_registry(|registry| match since {
            Some(since) => registry.changes_since(served_at, since),
            None => registry.list(served_at),
        });
        let with_json = |entry: EndpointEntry| {
            let json = world.endpoint_entry_json(&entry)?;
            Some((entry, json.to_string()))
        };
        let (entries, entries_json) = list.entries.into_iter().filter_map(with_json).unzip();
        Self {
            version: list.version,
            is_complete: since.is_none(),
            entries,
            entries_json,
        }
    }
}

/// The time as of which discovery serves the endpoint list: the current time, or an earlier one
/// while discovery is stale.
pub(super) fn served_time(world: &World) -> Micros {
    match world.timeline().discovery_state(world.now()) {
        DiscoveryState::Stale(age) => world.now().saturating_sub(age),
        _ => world.now(),
    }
}

/// A response with its bytes.
pub(super) struct Response {
    pub(super) bytes: Vec<u8>,
    /// The offset of each entry of the list in `bytes`.
    pub(super) entry_offsets: Vec<usize>,
    /// Whether the connection can be reused after the response.
    pub(super) keep_alive: bool,
}

impl Response {
    pub(super) fn new(list: &List, world: &World) -> Self {
        let mut body = format!(
            "{{\"rev\":{},\"all\":{},\"targets\":[",
            list.version, list.is_complete
        );
        if world.draw_fault(FaultKind::ListsStrange) {
            let malformed = json!({"uid": "s-strange", "endpoint": "nowhere", "state": "resting"});
            body += &malformed.to_string();
        }
        let mut offsets = Vec::new();
        for entry in &list.entries_json {
            if !body.ends_with('[') {
                body += ",\n  ";
            }
            offsets.push(body.len());
            body += entry;
        }
        body += "]}";
        Self::framed(&body, offsets, world)
    }

    /// Frames a body by its length. While a fault splits lists, the framing is drawn at random.
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
