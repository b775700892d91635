//! The subscriber's side of a shared list: pages are applied in order, and heartbeats confirm that
//! the list is up to date.

use std::collections::BTreeMap;

use super::{
    Chunk, HEARTBEAT_TIMEOUT_US, ListMessage, ListRequest, MAX_CHUNKS, REJECTION_PERIOD_US,
};
use crate::Micros;
use crate::leases::term::Term;

/// The largest number of incomplete pages. Beyond it they are discarded and the full list is
/// requested.
const MAX_PARTIAL_PAGES: usize = 16;
/// The largest number of chunks in one request.
const MAX_CHUNKS_PER_REQUEST: usize = 64;
/// The shortest time between two requests.
const REQUEST_INTERVAL_US: Micros = 150_000;

/// A page of which chunks may be missing.
struct PartialPage {
    is_full: bool,
    version: u64,
    chunks: Vec<Option<Vec<u8>>>,
    started_at: Micros,
}

impl PartialPage {
    /// The text of the page once all chunks have arrived.
    fn text(&self) -> Option<Vec<u8>> {
        self.chunks
            .iter()
            .map(Option::as_deref)
            .collect::<Option<Vec<&[u8]>>>()
            .map(|chunks| chunks.concat())
    }

    fn missing_chunks(&self) -> Vec<u16> {
        (0u16..)
            .zip(&self.chunks)
            .filter(|(_, chunk)| chunk.is_none())
            .map(|(index, _)| index)
            .take(MAX_CHUNKS_PER_REQUEST)
            .collect()
    }
}

impl Chunk {
    fn new_partial_page(&self, now: Micros) -> PartialPage {
        PartialPage {
            is_full: self.is_full,
            version: self.version,
            chunks: vec![None; usize::from(self.count)],
            started_at: now,
        }
    }

    fn matches_page(&self, page: &PartialPage) -> bool {
        self.is_full == page.is_full
            && self.version == page.version
            && usize::from(self.count) == page.chunks.len()
    }
}

/// The result of a message of the holder.
#[derive(Debug, Default)]
pub struct ListUpdate {
    /// The texts of pages to apply now, in order, in the format of discovery.
    pub pages: Vec<Vec<u8>>,
    /// A request to send to the holder.
    pub request: Option<ListRequest>,
}

/// A term whose holder sent an invalid list.
struct RejectedTerm {
    term: Term,
    until: Micros,
}

/// The list of a zone as received by one of its members.
#[derive(Default)]
pub struct ListSubscriber {
    term: Option<Term>,
    /// The last page applied under this term; 0 before the first one.
    applied_page: u32,
    version: Option<u64>,
    partial_pages: BTreeMap<u32, PartialPage>,
    /// The last known page of the holder.
    last_page: u32,
    next_request_at: Micros,
    /// The time at which the last valid heartbeat arrived. It is valid if the holder watches
    /// discovery and its last page was applied here.
    last_heartbeat_at: Option<Micros>,
    rejected: Option<RejectedTerm>,
}

impl ListSubscriber {
    /// Whether a valid heartbeat of the holder arrived recently and its list was not rejected, so
    /// that this member need not poll discovery.
    pub fn is_fresh(&self, now: Micros) -> bool {
        self.last_heartbeat_at
            .is_some_and(|at| now < at + HEARTBEAT_TIMEOUT_US)
            && !self.is_rejected(now)
    }

    /// The time until which the list is fresh without a further heartbeat.
    pub fn fresh_until(&self) -> Micros {
        self.last_heartbeat_at
            .map_or(0, |at| at + HEARTBEAT_TIMEOUT_US)
    }

    /// The time since the last valid heartbeat.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.last_heartbeat_at.map(|at| now.saturating_sub(at))
    }

    /// The number of the last page applied; 0 before the first one.
    pub fn applied_page(&self) -> u32 {
        self.applied_page
    }

    fn is_rejected(&self, now: Micros) -> bool {
        self.rejected
            .as_ref()
            .is_some_and(|rejected| Some(rejected.term) == self.term && now < rejected.until)
    }

    /// Records the version of a list that this member polled from discovery itself. A list from a
    /// holder must not be older.
    pub fn record_own_version(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Receives a message of the holder under the given term.
    pub fn receive(&mut self, now: Micros, term: Term, message: &ListMessage) -> ListUpdate {
        if self.term.is_none_or(|known| known < term) {
            self.follow_holder(term);
        }
        if self.term != Some(term) || self.is_rejected(now) {
            return ListUpdate::default();
        }
        match message {
            ListMessage::Chunk(chunk) => {
                self.last_page = self.last_page.max(chunk.page);
                let pages = if self.store_chunk(now, chunk) {
                    self.apply_pages(now)
                } else {
                    Vec::new()
                };
                ListUpdate {
                    pages,
                    request: None,
                }
            }
            ListMessage::Heartbeat { page, is_watching } => {
                self.last_page = self.last_page.max(*page);
                let pages = self.apply_pages(now);
                if *page == self.applied_page && *is_watching && self.applied_page > 0 {
                    self.last_heartbeat_at = Some(now);
                }
                let request = self.next_request(now);
                ListUpdate { pages, request }
            }
        }
    }

    /// Switches to a new holder, whose page numbers start from 1 again.
    fn follow_holder(&mut self, term: Term) {
        self.term = Some(term);
        self.applied_page = 0;
        self.last_page = 0;
        self.next_request_at = 0;
        self.partial_pages.clear();
    }

    /// Stores a chunk. Returns false if it contradicts a page of which other chunks have arrived.
    fn store_chunk(&mut self, now: Micros, chunk: &Chunk) -> bool {
        let is_usable = chunk.page > self.applied_page
            && chunk.count <= MAX_CHUNKS
            && chunk.index < chunk.count;
        if !is_usable {
            return true;
        }
        let is_new = !self.partial_pages.contains_key(&chunk.page);
        if is_new && self.partial_pages.len() >= MAX_PARTIAL_PAGES {
            self.partial_pages.clear();
        }
        let partial = self
            .partial_pages
            .entry(chunk.page)
            .or_insert_with(|| chunk.new_partial_page(now));
        if !chunk.matches_page(partial) {
            // The page was received both as a change and as a full list. The full list replaces the
            // change, since it needs no earlier page.
            if !chunk.is_full {
                return false;
            }
            *partial = chunk.new_partial_page(now);
        }
        partial.chunks[usize::from(chunk.index)] = Some(chunk.bytes.clone());
        true
    }

    /// Applies all complete pages that follow the last one applied, and returns their texts.
    fn apply_pages(&mut self, now: Micros) -> Vec<Vec<u8>> {
        let mut texts = Vec::new();
        while let Some((number, text)) = self.next_complete_page() {
            let Some(page) = self.partial_pages.remove(&number) else {
                break;
            };
            let is_older = self.version.is_some_and(|version| page.version < version);
            let is_empty = page.is_full && !text.windows(2).any(|pair| pair == b"[{");
            if is_older || is_empty {
                // The list is invalid: discovery's versions do not decrease, and an empty list
                // would remove all endpoints.
                self.rejected = self.term.map(|term| RejectedTerm {
                    term,
                    until: now + REJECTION_PERIOD_US,
                });
                self.last_heartbeat_at = None;
                self.partial_pages.clear();
                break;
            }
            self.applied_page = number;
            self.version = Some(page.version);
            self.partial_pages.retain(|other, _| *other > number);
            texts.push(text);
        }
        texts
    }

    /// Returns the first complete page that is a full list or follows the last one applied, with
    /// its text.
    fn next_complete_page(&self) -> Option<(u32, Vec<u8>)> {
        self.partial_pages.iter().find_map(|(number, page)| {
            let is_next = *number == self.applied_page + 1 && self.applied_page > 0;
            let text = (page.is_full || is_next).then(|| page.text())??;
            Some((*number, text))
        })
    }

    /// Returns a request for missing chunks or the full list, unless one was made less than
    /// [`REQUEST_INTERVAL_US`] ago.
    fn next_request(&mut self, now: Micros) -> Option<ListRequest> {
        if self.last_page <= self.applied_page || now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + REQUEST_INTERVAL_US;
        let next = self.applied_page + 1;
        let partial = self
            .partial_pages
            .iter()
            .find(|(number, page)| page.is_full || **number == next);
        match partial {
            // The missing chunks may still be in transit.
            Some((_, page)) if now < page.started_at + REQUEST_INTERVAL_US => None,
            Some((number, page)) => Some(ListRequest::Chunks {
                page: *number,
                is_full: page.is_full,
                indices: page.missing_chunks(),
            }),
            None => Some(ListRequest::FullList),
        }
    }
}
