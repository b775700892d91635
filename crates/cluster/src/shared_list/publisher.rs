//! The holder's side: the list as it stands, and the last pages.

use std::collections::{BTreeMap, VecDeque};

use super::{HEARTBEAT_INTERVAL, ListMessage, ListRequest, MAX_CHUNK_BYTES, MAX_CHUNKS};
use crate::Micros;

/// Pages kept for those who miss parts of them.
const MAX_RETAINED_PAGES: usize = 64;

/// One entry of what discovery said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub id: String,
    /// It is gone: a whole list does not name it.
    pub left: bool,
    /// As discovery worded it.
    pub text: String,
}

struct Page {
    number: u32,
    whole: bool,
    version: u64,
    text: Vec<u8>,
}

/// What the holder of a roster passes on.
#[derive(Default)]
pub struct ListPublisher {
    entries: BTreeMap<String, String>,
    version: u64,
    page: u32,
    pages: VecDeque<Page>,
    heartbeat_at: Micros,
    follows: bool,
}

fn encode_list<'a>(version: u64, all: bool, texts: impl Iterator<Item = &'a str>) -> Vec<u8> {
    let texts: Vec<&str> = texts.collect();
    format!(
        "{{\"rev\":{version},\"all\":{all},\"targets\":[{}]}}",
        texts.join(",")
    )
    .into_bytes()
}

impl Page {
    fn parts(&self) -> u16 {
        u16::try_from(self.text.len().div_ceil(MAX_CHUNK_BYTES).max(1)).unwrap_or(u16::MAX)
    }

    fn part(&self, part: u16) -> Option<ListMessage> {
        let bytes = self
            .text
            .chunks(MAX_CHUNK_BYTES)
            .nth(usize::from(part))?
            .to_vec();
        let (page, whole, version, of) = (self.number, self.whole, self.version, self.parts());
        Some(ListMessage::Chunk {
            page,
            whole,
            version,
            part,
            of,
            bytes,
        })
    }

    fn said(&self) -> Vec<ListMessage> {
        (0..self.parts())
            .filter_map(|part| self.part(part))
            .collect()
    }
}

impl ListPublisher {
    /// Discovery said this: what is to be told to all. The first thing told under a term is a whole list.
    pub fn said(&mut self, version: u64, complete: bool, entries: &[Entry]) -> Vec<ListMessage> {
        if complete {
            self.entries.clear();
        }
        for entry in entries {
            match entry.left {
                true => _ = self.entries.remove(&entry.id),
                false => _ = self.entries.insert(entry.id.clone(), entry.text.clone()),
            }
        }
        self.version = version;
        self.follows = true;
        if self.page == 0 && !complete {
            // Changes to a list that was never told whole tell nobody anything.
            return Vec::new();
        }
        if entries.is_empty() && !complete {
            return Vec::new();
        }
        self.page += 1;
        let page = match complete {
            true => self.whole(),
            false => {
                let text = encode_list(
                    version,
                    false,
                    entries.iter().map(|entry| entry.text.as_str()),
                );
                Page {
                    number: self.page,
                    whole: false,
                    version,
                    text,
                }
            }
        };
        if page.text.len() > MAX_CHUNK_BYTES * usize::from(MAX_CHUNKS) {
            return Vec::new();
        }
        let told = page.said();
        self.pages.push_back(page);
        if self.pages.len() > MAX_RETAINED_PAGES {
            self.pages.pop_front();
        }
        self.heartbeat_at = 0;
        told
    }

    /// The watch failed, or goes on again.
    pub fn follows(&mut self, follows: bool) {
        self.follows = follows;
    }

    /// What one reader wants.
    pub fn tracked(&self, wants: &ListRequest) -> Vec<ListMessage> {
        if self.page == 0 {
            return Vec::new();
        }
        let ListRequest::Chunks { page, whole, parts } = wants else {
            return self.whole().said();
        };
        let random_members =
            |page: &Page| parts.iter().filter_map(|part| page.part(*part)).collect();
        let kept = self
            .pages
            .iter()
            .find(|known| (known.number, known.whole) == (*page, *whole));
        match kept {
            Some(kept) => random_members(kept),
            None if *whole && *page == self.page => random_members(&self.whole()),
            None => self.whole().said(),
        }
    }

    /// The list as it stands. The same entries give the same bytes, so that parts of one fit to those of another.
    fn whole(&self) -> Page {
        let text = encode_list(
            self.version,
            true,
            self.entries.values().map(String::as_str),
        );
        Page {
            number: self.page,
            whole: true,
            version: self.version,
            text,
        }
    }

    /// A beat, if one is due.
    pub fn heartbeat(&mut self, now: Micros) -> Option<ListMessage> {
        if now < self.heartbeat_at || self.page == 0 {
            return None;
        }
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        Some(ListMessage::Heartbeat {
            page: self.page,
            follows: self.follows,
        })
    }

    pub fn next_due(&self) -> Micros {
        if self.page == 0 {
            Micros::MAX
        } else {
            self.heartbeat_at
        }
    }
}
