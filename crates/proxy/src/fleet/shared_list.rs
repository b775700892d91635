//! The list of upstreams passed on within a zone (`accord/src/roster`): who follows discovery tells the others of its
//! zone, and who is told asks nothing.

use std::collections::BTreeMap;
use std::rc::Rc;

use pinefront_cluster::leases::term::{LeaseId, Term};
use pinefront_cluster::shared_list::publisher::{Entry, ListPublisher};
use pinefront_cluster::shared_list::subscriber::ListSubscriber;
use pinefront_cluster::shared_list::{ListMessage, ListRequest};
use pinefront_cluster::{Cluster, Micros};
use serde_json::Value;

/// How long telling one part may take after the lease was looked at.
const TELLS_WITHIN: Micros = 20_000;

/// This balancer's part in rosters: its own zone's as a subscriber, any zone's as the one who tells.
pub struct SharedLists {
    /// Zones by the duty of their roster.
    zones: BTreeMap<LeaseId, Rc<str>>,
    own: Option<LeaseId>,
    publisher: Option<ListPublisher>,
    subscriber: ListSubscriber,
    /// Lists to take, in order.
    pages: Vec<Vec<u8>>,
    /// It has just become the one who tells, and needs the whole list.
    needs_full_list: bool,
}

impl SharedLists {
    /// `zones` are those that have a roster, by duty; `zone` is this balancer's.
    pub fn new(zones: BTreeMap<LeaseId, Rc<str>>, zone: &str) -> Self {
        let own = zones
            .iter()
            .find(|(_, name)| ***name == *zone)
            .map(|(id, _)| *id);
        Self {
            zones,
            own,
            publisher: None,
            subscriber: ListSubscriber::default(),
            pages: Vec::new(),
            needs_full_list: false,
        }
    }

    pub fn is_shared_list(&self, lease: LeaseId) -> bool {
        self.zones.contains_key(&lease)
    }

    /// Whether it asks nothing of discovery now, as it is told, and until when that holds if nothing more comes.
    pub fn fresh_until(&self, now: Micros) -> Option<Micros> {
        let fed = self.publisher.is_none() && self.subscriber.is_fresh(now);
        fed.then(|| self.subscriber.fresh_until())
    }

    pub fn is_publishing(&self) -> bool {
        self.publisher.is_some()
    }

    pub fn subscriber(&self) -> &ListSubscriber {
        &self.subscriber
    }

    pub fn take_pages(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.pages)
    }

    /// Whether the whole list is to be asked for; said once.
    pub fn take_full_list_request(&mut self) -> bool {
        std::mem::take(&mut self.needs_full_list)
    }

    /// What is held has changed.
    pub fn held(&mut self, now: Micros, cluster: &Cluster) {
        let held = |lease: &LeaseId| {
            cluster
                .leases()
                .is_some_and(|leases| leases.holds(now, *lease, 0).is_some())
        };
        match (self.zones.keys().any(held), self.publisher.is_some()) {
            (true, false) => {
                (self.publisher, self.needs_full_list) = (Some(ListPublisher::default()), true)
            }
            (false, true) => self.publisher = None,
            _ => {}
        }
    }

    /// Tells all members of the zones that this one holds.
    fn log_membership_event(&self, now: Micros, cluster: &mut Cluster, said: &[ListMessage]) {
        for (lease, zone) in &self.zones {
            let members = cluster
                .table
                .alive()
                .filter(|member| *member.record.zone == **zone);
            let members: Vec<_> = members
                .map(|member| Rc::clone(&member.record.name))
                .collect();
            let bodies: Vec<_> = said.iter().filter_map(ListMessage::encode).collect();
            for name in &members {
                for body in &bodies {
                    // Where it is not held, or not long enough, nothing is sent.
                    cluster.send_command(now, *lease, name, TELLS_WITHIN, body.clone());
                }
            }
        }
    }

    /// Discovery told this balancer itself.
    pub fn listed(&mut self, now: Micros, cluster: &mut Cluster, list: &Value) {
        let version = list["rev"].as_u64().unwrap_or(0);
        self.subscriber.record_own_version(version);
        let Some(publisher) = &mut self.publisher else {
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
                    has_left: entry["state"] == "left",
                    text: entry.to_string(),
                })
            });
        let entries: Vec<Entry> = entries.collect();
        let said = publisher.publish(version, list["all"] == Value::Bool(true), &entries);
        self.log_membership_event(now, cluster, &said);
    }

    /// A call of discovery failed.
    pub fn failed(&mut self) {
        self.publisher
            .iter_mut()
            .for_each(|publisher| publisher.set_watching(false));
    }

    /// Sends a beat where one is due.
    pub fn turn(&mut self, now: Micros, cluster: &mut Cluster) {
        if let Some(beat) = self
            .publisher
            .as_mut()
            .and_then(|publisher| publisher.heartbeat(now))
        {
            self.log_membership_event(now, cluster, &[beat]);
        }
    }

    pub fn next_timer(&self) -> Micros {
        self.publisher
            .as_ref()
            .map_or(Micros::MAX, ListPublisher::next_timer)
    }

    /// The holder of a zone's roster says something. What it is to be asked for.
    pub fn told(
        &mut self,
        now: Micros,
        lease: LeaseId,
        term: Term,
        body: &[u8],
    ) -> Option<ListRequest> {
        if self.own != Some(lease) || self.publisher.is_some() {
            return None;
        }
        let update = self
            .subscriber
            .receive(now, term, &ListMessage::decode(body)?);
        self.pages.extend(update.pages);
        update.request
    }

    /// A subscriber wants something of the list.
    pub fn tracked(
        &self,
        now: Micros,
        cluster: &mut Cluster,
        lease: LeaseId,
        from: &Rc<str>,
        body: &[u8],
    ) {
        let said = self.publisher.as_ref().zip(ListRequest::decode(body));
        for said in said
            .iter()
            .flat_map(|(publisher, wants)| publisher.answer(wants))
        {
            if let Some(body) = said.encode() {
                cluster.send_command(now, lease, from, TELLS_WITHIN, body);
            }
        }
    }
}
