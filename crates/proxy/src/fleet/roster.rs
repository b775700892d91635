//! The list of upstreams passed on within a zone (`accord/src/roster`): who follows discovery tells the others of its
//! zone, and who is told asks nothing.

use std::collections::BTreeMap;
use std::rc::Rc;

use pinefront_cluster::duties::term::{DutyId, Term};
use pinefront_cluster::roster::editor::{Editor, Entry};
use pinefront_cluster::roster::reader::Reader;
use pinefront_cluster::roster::{RosterSaid, RosterWants};
use pinefront_cluster::{Accord, Micros};
use serde_json::Value;

/// How long telling one part may take after the lease was looked at.
const TELLS_WITHIN: Micros = 20_000;

/// This balancer's part in rosters: its own zone's as a reader, any zone's as the one who tells.
pub struct Rosters {
    /// Zones by the duty of their roster.
    zones: BTreeMap<DutyId, Rc<str>>,
    own: Option<DutyId>,
    editor: Option<Editor>,
    reader: Reader,
    /// Lists to take, in order.
    pages: Vec<Vec<u8>>,
    /// It has just become the one who tells, and needs the whole list.
    wants_list: bool,
}

impl Rosters {
    /// `zones` are those that have a roster, by duty; `zone` is this balancer's.
    pub fn new(zones: BTreeMap<DutyId, Rc<str>>, zone: &str) -> Self {
        let own = zones
            .iter()
            .find(|(_, name)| ***name == *zone)
            .map(|(id, _)| *id);
        Self {
            zones,
            own,
            editor: None,
            reader: Reader::default(),
            pages: Vec::new(),
            wants_list: false,
        }
    }

    pub fn is_roster(&self, duty: DutyId) -> bool {
        self.zones.contains_key(&duty)
    }

    /// Whether it asks nothing of discovery now, as it is told, and until when that holds if nothing more comes.
    pub fn fed_until(&self, now: Micros) -> Option<Micros> {
        let fed = self.editor.is_none() && self.reader.is_fed(now);
        fed.then(|| self.reader.fed_until())
    }

    pub fn tells(&self) -> bool {
        self.editor.is_some()
    }

    pub fn reader(&self) -> &Reader {
        &self.reader
    }

    pub fn take_pages(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.pages)
    }

    /// Whether the whole list is to be asked for; said once.
    pub fn takes_over(&mut self) -> bool {
        std::mem::take(&mut self.wants_list)
    }

    /// What is held has changed.
    pub fn held(&mut self, now: Micros, accord: &Accord) {
        let held = |duty: &DutyId| {
            accord
                .duties()
                .is_some_and(|duties| duties.holds(now, *duty, 0).is_some())
        };
        match (self.zones.keys().any(held), self.editor.is_some()) {
            (true, false) => (self.editor, self.wants_list) = (Some(Editor::default()), true),
            (false, true) => self.editor = None,
            _ => {}
        }
    }

    /// Tells all members of the zones that this one holds.
    fn tell(&self, now: Micros, accord: &mut Accord, said: &[RosterSaid]) {
        for (duty, zone) in &self.zones {
            let members = accord
                .table
                .present()
                .filter(|member| *member.record.zone == **zone);
            let members: Vec<_> = members
                .map(|member| Rc::clone(&member.record.name))
                .collect();
            let bodies: Vec<_> = said.iter().filter_map(RosterSaid::bytes).collect();
            for name in &members {
                for body in &bodies {
                    // Where it is not held, or not long enough, nothing is sent.
                    accord.act(now, *duty, name, TELLS_WITHIN, body.clone());
                }
            }
        }
    }

    /// Discovery told this balancer itself.
    pub fn listed(&mut self, now: Micros, accord: &mut Accord, list: &Value) {
        let version = list["rev"].as_u64().unwrap_or(0);
        self.reader.own_list(version);
        let Some(editor) = &mut self.editor else {
            return;
        };
        let entries = list["targets"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|entry| {
                let id = entry["uid"].as_str()?.to_owned();
                Some(Entry {
                    id,
                    left: entry["state"] == "left",
                    text: entry.to_string(),
                })
            });
        let entries: Vec<Entry> = entries.collect();
        let said = editor.said(version, list["all"] == Value::Bool(true), &entries);
        self.tell(now, accord, &said);
    }

    /// A call of discovery failed.
    pub fn failed(&mut self) {
        self.editor
            .iter_mut()
            .for_each(|editor| editor.follows(false));
    }

    /// Sends a beat where one is due.
    pub fn turn(&mut self, now: Micros, accord: &mut Accord) {
        if let Some(beat) = self.editor.as_mut().and_then(|editor| editor.beat(now)) {
            self.tell(now, accord, &[beat]);
        }
    }

    pub fn next_due(&self) -> Micros {
        self.editor.as_ref().map_or(Micros::MAX, Editor::next_due)
    }

    /// The holder of a zone's roster says something. What it is to be asked for.
    pub fn told(
        &mut self,
        now: Micros,
        duty: DutyId,
        term: Term,
        body: &[u8],
    ) -> Option<RosterWants> {
        if self.own != Some(duty) || self.editor.is_some() {
            return None;
        }
        let (pages, wants) = self.reader.heard(now, term, &RosterSaid::read(body)?);
        self.pages.extend(pages.into_iter().map(|page| page.text));
        wants
    }

    /// A reader wants something of the list.
    pub fn wanted(
        &self,
        now: Micros,
        accord: &mut Accord,
        duty: DutyId,
        from: &Rc<str>,
        body: &[u8],
    ) {
        let said = self.editor.as_ref().zip(RosterWants::read(body));
        for said in said.iter().flat_map(|(editor, wants)| editor.wanted(wants)) {
            if let Some(body) = said.bytes() {
                accord.act(now, duty, from, TELLS_WITHIN, body);
            }
        }
    }
}
