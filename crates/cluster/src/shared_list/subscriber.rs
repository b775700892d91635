//! A reader's side: pages in order, and whether what it holds is fresh.

use std::collections::BTreeMap;

use super::{DISTRUST_PERIOD, HEARTBEAT_TIMEOUT, ListMessage, ListRequest, MAX_CHUNKS};
use crate::Micros;
use crate::leases::term::Term;

/// Pages under way at once; a whole list is asked for beyond that.
const MAX_PARTIAL_PAGES: usize = 16;
/// Parts named in one wish.
const MAX_CHUNKS_PER_REQUEST: usize = 64;
/// How long a wish has before it is said again.
const REQUEST_INTERVAL: Micros = 150_000;

struct PartialPage {
    whole: bool,
    version: u64,
    parts: Vec<Option<Vec<u8>>>,
    since: Micros,
}

impl PartialPage {
    fn text(&self) -> Option<Vec<u8>> {
        self.parts
            .iter()
            .map(Option::as_deref)
            .collect::<Option<Vec<&[u8]>>>()
            .map(|parts| parts.concat())
    }
}

/// A page to be taken now: its text as discovery words lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPage {
    pub text: Vec<u8>,
}

#[derive(Default)]
pub struct ListSubscriber {
    term: Option<Term>,
    /// The last page taken under this term; 0: none yet.
    page: u32,
    version: Option<u64>,
    partial: BTreeMap<u32, PartialPage>,
    /// The holder's last page as far as it told.
    last: u32,
    wanted_at: Micros,
    /// When the last beat came that counts.
    fresh: Option<Micros>,
    /// A term that told what can't be, and until when it is passed over.
    distrusted: Option<(Term, Micros)>,
}

impl ListSubscriber {
    /// Whether what this balancer holds is as fresh as the holder's: it need not ask for itself.
    pub fn is_fresh(&self, now: Micros) -> bool {
        self.fresh
            .is_some_and(|fresh| now < fresh + HEARTBEAT_TIMEOUT)
            && !self.is_distrusted(now)
    }

    /// Until when it is, if nothing more comes.
    pub fn fresh_until(&self) -> Micros {
        self.fresh.map_or(0, |fresh| fresh + HEARTBEAT_TIMEOUT)
    }

    /// How long ago the last beat came that counts.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.fresh.map(|fresh| now.saturating_sub(fresh))
    }

    pub fn page(&self) -> u32 {
        self.page
    }

    fn is_distrusted(&self, now: Micros) -> bool {
        self.distrusted
            .is_some_and(|(term, until)| Some(term) == self.term && now < until)
    }

    /// The list was had from discovery itself: what a holder tells must not be older.
    pub fn own_list_received(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// The holder of that term says something: pages to take now, in order, and what to ask of it.
    pub fn receive(
        &mut self,
        now: Micros,
        term: Term,
        said: &ListMessage,
    ) -> (Vec<ReceivedPage>, Option<ListRequest>) {
        if self.term.is_none_or(|known| known < term) {
            // Another holder counts its pages anew.
            (self.term, self.page, self.last, self.wanted_at) = (Some(term), 0, 0, 0);
            self.partial.clear();
        }
        if self.term != Some(term) || self.is_distrusted(now) {
            return (Vec::new(), None);
        }
        match said {
            ListMessage::Chunk {
                page,
                whole,
                version,
                part,
                of,
                bytes,
            } => {
                self.last = self.last.max(*page);
                if *page > self.page && *of <= MAX_CHUNKS && part < of {
                    let count = usize::from(*of);
                    let known = self.partial.get(page);
                    let same = (*whole, *version, count);
                    let other = known.is_some_and(|known| {
                        (known.whole, known.version, known.parts.len()) != same
                    });
                    if known.is_none() && self.partial.len() >= MAX_PARTIAL_PAGES {
                        self.partial.clear();
                    }
                    let new = || PartialPage {
                        whole: *whole,
                        version: *version,
                        parts: vec![None; count],
                        since: now,
                    };
                    let partial = self.partial.entry(*page).or_insert_with(new);
                    if other {
                        // The same page as change and as whole list: the whole list needs no earlier page.
                        if *whole {
                            *partial = new();
                        } else {
                            return (Vec::new(), None);
                        }
                    }
                    partial.parts[usize::from(*part)] = Some(bytes.clone());
                }
                (self.take(now), None)
            }
            ListMessage::Heartbeat { page, follows } => {
                self.last = self.last.max(*page);
                let taken = self.take(now);
                if *page == self.page && *follows && self.page > 0 {
                    self.fresh = Some(now);
                }
                (taken, self.track(now))
            }
        }
    }

    /// Takes all pages that follow on one another.
    fn take(&mut self, now: Micros) -> Vec<ReceivedPage> {
        let mut taken = Vec::new();
        loop {
            let follows = |(page, partial): (&u32, &PartialPage)| {
                (partial.whole || (*page == self.page + 1 && self.page > 0))
                    .then(|| partial.text())?
                    .map(|text| (*page, text))
            };
            let Some((page, text)) = self.partial.iter().find_map(follows) else {
                break;
            };
            let Some(partial) = self.partial.remove(&page) else {
                break;
            };
            let older = self
                .version
                .is_some_and(|version| partial.version < version);
            let empty = partial.whole && !text.windows(2).any(|pair| pair == b"[{");
            if older || empty {
                // Discovery's versions don't go back, and a list of nobody takes all away: each looks for itself.
                self.distrusted = self.term.map(|term| (term, now + DISTRUST_PERIOD));
                self.fresh = None;
                self.partial.clear();
                break;
            }
            (self.page, self.version) = (page, Some(partial.version));
            self.partial.retain(|number, _| *number > page);
            taken.push(ReceivedPage { text });
        }
        taken
    }

    /// What is missing, if it was not asked for just now.
    fn track(&mut self, now: Micros) -> Option<ListRequest> {
        if self.last <= self.page || now < self.wanted_at {
            return None;
        }
        self.wanted_at = now + REQUEST_INTERVAL;
        let next = self.page + 1;
        let missing = |partial: &PartialPage| -> Vec<u16> {
            let parts = (0u16..)
                .zip(&partial.parts)
                .filter(|(_, part)| part.is_none())
                .map(|(number, _)| number);
            parts.take(MAX_CHUNKS_PER_REQUEST).collect()
        };
        let pending = self
            .partial
            .iter()
            .find(|(page, partial)| partial.whole || **page == next);
        match pending {
            // Its parts may still be on their way.
            Some((_, partial)) if now < partial.since + REQUEST_INTERVAL => None,
            Some((page, partial)) => Some(ListRequest::Chunks {
                page: *page,
                whole: partial.whole,
                parts: missing(partial),
            }),
            None => Some(ListRequest::FullList),
        }
    }
}
