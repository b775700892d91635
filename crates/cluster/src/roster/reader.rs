//! A reader's side: pages in order, and whether what it holds is fresh.

use std::collections::BTreeMap;

use super::{DISTRUST, PARTS_MOST, RosterSaid, RosterWants, STALE};
use crate::Micros;
use crate::duties::term::Term;

/// Pages under way at once; a whole list is asked for beyond that.
const PAGES_MOST: usize = 16;
/// Parts named in one wish.
const PARTS_WANTED: usize = 64;
/// How long a wish has before it is said again.
const WANTS_APART: Micros = 150_000;

struct Pieces {
    whole: bool,
    version: u64,
    parts: Vec<Option<Vec<u8>>>,
    since: Micros,
}

impl Pieces {
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
pub struct Taken {
    pub text: Vec<u8>,
}

#[derive(Default)]
pub struct Reader {
    term: Option<Term>,
    /// The last page taken under this term; 0: none yet.
    page: u32,
    version: Option<u64>,
    pieces: BTreeMap<u32, Pieces>,
    /// The holder's last page as far as it told.
    last: u32,
    wanted_at: Micros,
    /// When the last beat came that counts.
    fresh: Option<Micros>,
    /// A term that told what can't be, and until when it is passed over.
    distrusted: Option<(Term, Micros)>,
}

impl Reader {
    /// Whether what this balancer holds is as fresh as the holder's: it need not ask for itself.
    pub fn is_fed(&self, now: Micros) -> bool {
        self.fresh.is_some_and(|fresh| now < fresh + STALE) && !self.is_distrusted(now)
    }

    /// Until when it is, if nothing more comes.
    pub fn fed_until(&self) -> Micros {
        self.fresh.map_or(0, |fresh| fresh + STALE)
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
    pub fn own_list(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// The holder of that term says something: pages to take now, in order, and what to ask of it.
    pub fn heard(
        &mut self,
        now: Micros,
        term: Term,
        said: &RosterSaid,
    ) -> (Vec<Taken>, Option<RosterWants>) {
        if self.term.is_none_or(|known| known < term) {
            // Another holder counts its pages anew.
            (self.term, self.page, self.last, self.wanted_at) = (Some(term), 0, 0, 0);
            self.pieces.clear();
        }
        if self.term != Some(term) || self.is_distrusted(now) {
            return (Vec::new(), None);
        }
        match said {
            RosterSaid::Part {
                page,
                whole,
                version,
                part,
                of,
                bytes,
            } => {
                self.last = self.last.max(*page);
                if *page > self.page && *of <= PARTS_MOST && part < of {
                    let count = usize::from(*of);
                    let known = self.pieces.get(page);
                    let same = (*whole, *version, count);
                    let other = known.is_some_and(|known| {
                        (known.whole, known.version, known.parts.len()) != same
                    });
                    if known.is_none() && self.pieces.len() >= PAGES_MOST {
                        self.pieces.clear();
                    }
                    let new = || Pieces {
                        whole: *whole,
                        version: *version,
                        parts: vec![None; count],
                        since: now,
                    };
                    let pieces = self.pieces.entry(*page).or_insert_with(new);
                    if other {
                        // The same page as change and as whole list: the whole list needs no earlier page.
                        if *whole {
                            *pieces = new();
                        } else {
                            return (Vec::new(), None);
                        }
                    }
                    pieces.parts[usize::from(*part)] = Some(bytes.clone());
                }
                (self.take(now), None)
            }
            RosterSaid::Beat { page, follows } => {
                self.last = self.last.max(*page);
                let taken = self.take(now);
                if *page == self.page && *follows && self.page > 0 {
                    self.fresh = Some(now);
                }
                (taken, self.want(now))
            }
        }
    }

    /// Takes all pages that follow on one another.
    fn take(&mut self, now: Micros) -> Vec<Taken> {
        let mut taken = Vec::new();
        loop {
            let follows = |(page, pieces): (&u32, &Pieces)| {
                (pieces.whole || (*page == self.page + 1 && self.page > 0))
                    .then(|| pieces.text())?
                    .map(|text| (*page, text))
            };
            let Some((page, text)) = self.pieces.iter().find_map(follows) else {
                break;
            };
            let Some(pieces) = self.pieces.remove(&page) else {
                break;
            };
            let older = self.version.is_some_and(|version| pieces.version < version);
            let empty = pieces.whole && !text.windows(2).any(|pair| pair == b"[{");
            if older || empty {
                // Discovery's versions don't go back, and a list of nobody takes all away: each looks for itself.
                self.distrusted = self.term.map(|term| (term, now + DISTRUST));
                self.fresh = None;
                self.pieces.clear();
                break;
            }
            (self.page, self.version) = (page, Some(pieces.version));
            self.pieces.retain(|number, _| *number > page);
            taken.push(Taken { text });
        }
        taken
    }

    /// What is missing, if it was not asked for just now.
    fn want(&mut self, now: Micros) -> Option<RosterWants> {
        if self.last <= self.page || now < self.wanted_at {
            return None;
        }
        self.wanted_at = now + WANTS_APART;
        let next = self.page + 1;
        let missing = |pieces: &Pieces| -> Vec<u16> {
            let parts = (0u16..)
                .zip(&pieces.parts)
                .filter(|(_, part)| part.is_none())
                .map(|(number, _)| number);
            parts.take(PARTS_WANTED).collect()
        };
        let under_way = self
            .pieces
            .iter()
            .find(|(page, pieces)| pieces.whole || **page == next);
        match under_way {
            // Its parts may still be on their way.
            Some((_, pieces)) if now < pieces.since + WANTS_APART => None,
            Some((page, pieces)) => Some(RosterWants::Parts {
                page: *page,
                whole: pieces.whole,
                parts: missing(pieces),
            }),
            None => Some(RosterWants::Whole),
        }
    }
}
