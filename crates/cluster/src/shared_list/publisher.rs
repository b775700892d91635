//! The holder's side of a shared list: the current list and its last pages.

use std::collections::{BTreeMap, VecDeque};

use super::{Chunk, HEARTBEAT_INTERVAL_US, ListMessage, ListRequest, MAX_CHUNK_BYTES, MAX_CHUNKS};
use crate::Micros;

/// The number of pages that are retained for subscribers that miss chunks of them.
const MAX_RETAINED_PAGES: usize = 64;

/// An entry of a list as discovery reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The identifier of the endpoint.
    pub id: String,
    /// Whether the endpoint has left, so that a full list does not contain it.
    pub has_left: bool,
    /// The entry's JSON text as discovery reported it.
    pub text: String,
}

struct Page {
    number: u32,
    is_full: bool,
    version: u64,
    text: Vec<u8>,
}

/// The list that the holder of its lease publishes.
#[derive(Default)]
pub struct ListPublisher {
    entries: BTreeMap<String, String>,
    version: u64,
    /// The number of the last page; 0 before the first one.
    last_page: u32,
    pages: VecDeque<Page>,
    next_heartbeat_at: Micros,
    is_watching: bool,
}

fn encode_list<'a>(version: u64, is_full: bool, entries: impl Iterator<Item = &'a str>) -> Vec<u8> {
    let entries: Vec<&str> = entries.collect();
    let entries = entries.join(",");
    format!("{{\"rev\":{version},\"all\":{is_full},\"targets\":[{entries}]}}").into_bytes()
}

impl Page {
    fn chunk_count(&self) -> u16 {
        u16::try_from(self.text.len().div_ceil(MAX_CHUNK_BYTES).max(1)).unwrap_or(u16::MAX)
    }

    fn chunk(&self, index: u16) -> Option<ListMessage> {
        let bytes = self.text.chunks(MAX_CHUNK_BYTES).nth(usize::from(index))?;
        Some(ListMessage::Chunk(Chunk {
            page: self.number,
            is_full: self.is_full,
            version: self.version,
            index,
            count: self.chunk_count(),
            bytes: bytes.to_vec(),
        }))
    }

    fn chunks(&self) -> Vec<ListMessage> {
        (0..self.chunk_count())
            .filter_map(|index| self.chunk(index))
            .collect()
    }
}

impl ListPublisher {
    /// Applies an update from discovery and returns the messages for all subscribers. The first
    /// page under a term is a full list.
    pub fn publish(&mut self, version: u64, is_full: bool, entries: &[Entry]) -> Vec<ListMessage> {
        self.apply(version, is_full, entries);
        // Subscribers cannot apply changes to a list that was never sent in full.
        let is_first_change = self.last_page == 0 && !is_full;
        let is_empty_change = entries.is_empty() && !is_full;
        if is_first_change || is_empty_change {
            return Vec::new();
        }
        self.last_page += 1;
        let page = if is_full {
            self.full_page()
        } else {
            Page {
                number: self.last_page,
                is_full: false,
                version,
                text: encode_list(
                    version,
                    false,
                    entries.iter().map(|entry| entry.text.as_str()),
                ),
            }
        };
        if page.text.len() > MAX_CHUNK_BYTES * usize::from(MAX_CHUNKS) {
            return Vec::new();
        }
        let chunks = page.chunks();
        self.pages.push_back(page);
        if self.pages.len() > MAX_RETAINED_PAGES {
            self.pages.pop_front();
        }
        self.next_heartbeat_at = 0;
        chunks
    }

    fn apply(&mut self, version: u64, is_full: bool, entries: &[Entry]) {
        if is_full {
            self.entries.clear();
        }
        for entry in entries {
            if entry.has_left {
                self.entries.remove(&entry.id);
            } else {
                self.entries.insert(entry.id.clone(), entry.text.clone());
            }
        }
        self.version = version;
        self.is_watching = true;
    }

    /// Records whether the watch on discovery is open.
    pub fn set_watching(&mut self, is_watching: bool) {
        self.is_watching = is_watching;
    }

    /// Returns the messages that answer the request of a subscriber.
    pub fn answer(&self, request: &ListRequest) -> Vec<ListMessage> {
        if self.last_page == 0 {
            return Vec::new();
        }
        let ListRequest::Chunks {
            page,
            is_full,
            indices,
        } = request
        else {
            return self.full_page().chunks();
        };
        let requested = |page: &Page| {
            indices
                .iter()
                .filter_map(|index| page.chunk(*index))
                .collect()
        };
        let retained = self
            .pages
            .iter()
            .find(|retained| retained.number == *page && retained.is_full == *is_full);
        match retained {
            Some(retained) => requested(retained),
            None if *is_full && *page == self.last_page => requested(&self.full_page()),
            None => self.full_page().chunks(),
        }
    }

    /// The page with the current full list. The same entries always produce the same bytes, so that
    /// chunks of two pages with the same number can be combined.
    fn full_page(&self) -> Page {
        let entries = self.entries.values().map(String::as_str);
        Page {
            number: self.last_page,
            is_full: true,
            version: self.version,
            text: encode_list(self.version, true, entries),
        }
    }

    /// Returns the next heartbeat if it is due.
    pub fn heartbeat(&mut self, now: Micros) -> Option<ListMessage> {
        if now < self.next_heartbeat_at || self.last_page == 0 {
            return None;
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_US;
        Some(ListMessage::Heartbeat {
            page: self.last_page,
            is_watching: self.is_watching,
        })
    }

    /// The time at which [`ListPublisher::heartbeat`] must be called.
    pub fn next_timer(&self) -> Micros {
        if self.last_page == 0 {
            Micros::MAX
        } else {
            self.next_heartbeat_at
        }
    }
}
