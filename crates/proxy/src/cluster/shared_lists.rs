//! The endpoint list shared within a zone: the balancer that polls discovery publishes it to the
//! other balancers of the zone, which then do not poll.

use std::rc::Rc;

use pinefront_cluster::leases::term::{LeaseId, Term};
use pinefront_cluster::shared_list::publisher::{Entry, ListPublisher};
use pinefront_cluster::shared_list::subscriber::ListSubscriber;
use pinefront_cluster::shared_list::{ListMessage, ListRequest};
use pinefront_cluster::{Cluster, Micros};
use serde_json::Value;

use super::operator_file::SharedListZones;

/// How long sending one message may take after the check that the lease is held.
const MAX_SEND_TIME_US: Micros = 20_000;

/// The shared lists at this balancer, which subscribes to the list of its own zone and publishes
/// the list of each zone whose lease it holds.
pub struct SharedLists {
    zones: SharedListZones,
    /// The lease of this balancer's zone.
    own_lease: Option<LeaseId>,
    publisher: Option<ListPublisher>,
    subscriber: ListSubscriber,
    /// Received pages that have not been applied yet, in order.
    received_pages: Vec<Vec<u8>>,
    /// Whether this balancer has just become the publisher, and needs the full list from discovery.
    needs_full_list: bool,
}

impl SharedLists {
    /// Creates the state without a publisher. `zones` are the zones with a shared list, by its
    /// lease; `own_zone` is the zone of this balancer.
    pub fn new(zones: SharedListZones, own_zone: &str) -> Self {
        let own_lease = zones
            .iter()
            .find(|(_, zone)| ***zone == *own_zone)
            .map(|(lease, _)| *lease);
        Self {
            zones,
            own_lease,
            publisher: None,
            subscriber: ListSubscriber::default(),
            received_pages: Vec::new(),
            needs_full_list: false,
        }
    }

    /// Whether a lease belongs to a shared list.
    pub fn has_lease(&self, lease: LeaseId) -> bool {
        self.zones.contains_key(&lease)
    }

    /// The time until which discovery need not be polled, since the list of another member is
    /// fresh; `None` if it must be polled.
    pub fn fresh_until(&self, now: Micros) -> Option<Micros> {
        let is_fresh = self.publisher.is_none() && self.subscriber.is_fresh(now);
        is_fresh.then(|| self.subscriber.fresh_until())
    }

    /// Whether this balancer publishes a list.
    pub fn is_publishing(&self) -> bool {
        self.publisher.is_some()
    }

    /// The subscriber of this balancer's zone.
    pub fn subscriber(&self) -> &ListSubscriber {
        &self.subscriber
    }

    /// Removes and returns the received pages to apply, in order.
    pub fn take_pages(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.received_pages)
    }

    /// Whether the full list must be polled. Returns true once each time this balancer becomes the
    /// publisher.
    pub fn take_full_list_request(&mut self) -> bool {
        std::mem::take(&mut self.needs_full_list)
    }

    /// Starts or stops publishing, depending on whether a lease of a shared list is held.
    pub fn update_role(&mut self, now: Micros, cluster: &Cluster) {
        let is_held = |lease: &LeaseId| {
            cluster
                .lease_manager()
                .is_some_and(|leases| leases.holds(now, *lease, 0).is_some())
        };
        let holds_any = self.zones.keys().any(is_held);
        if holds_any && self.publisher.is_none() {
            self.publisher = Some(ListPublisher::default());
            self.needs_full_list = true;
        } else if !holds_any {
            self.publisher = None;
        }
    }

    /// Sends messages to all members of the zones whose lease is held for at least
    /// [`MAX_SEND_TIME_US`] longer.
    fn send_to_zones(&self, now: Micros, cluster: &mut Cluster, messages: &[ListMessage]) {
        let bodies: Vec<_> = messages.iter().filter_map(ListMessage::encode).collect();
        for (lease, zone) in &self.zones {
            let members: Vec<_> = cluster
                .table
                .alive()
                .filter(|member| *member.record.zone == **zone)
                .map(|member| Rc::clone(&member.record.name))
                .collect();
            for name in &members {
                for body in &bodies {
                    cluster.send_command(now, *lease, name, MAX_SEND_TIME_US, body.clone());
                }
            }
        }
    }

    /// Publishes a list that this balancer polled from discovery itself.
    pub fn publish(&mut self, now: Micros, cluster: &mut Cluster, list: &Value) {
        let version = list["rev"].as_u64().unwrap_or(0);
        self.subscriber.record_own_version(version);
        let Some(publisher) = &mut self.publisher else {
            return;
        };
        let targets = list["targets"].as_array().into_iter().flatten();
        let entries: Vec<Entry> = targets.filter_map(read_entry).collect();
        let is_full = list["all"] == Value::Bool(true);
        let messages = publisher.publish(version, is_full, &entries);
        self.send_to_zones(now, cluster, &messages);
    }

    /// Records that a poll of discovery failed, after which heartbeats no longer confirm the list.
    pub fn record_poll_failure(&mut self) {
        if let Some(publisher) = &mut self.publisher {
            publisher.set_watching(false);
        }
    }

    /// Sends a heartbeat if it is due.
    pub fn send_heartbeat(&mut self, now: Micros, cluster: &mut Cluster) {
        let publisher = self.publisher.as_mut();
        if let Some(heartbeat) = publisher.and_then(|publisher| publisher.heartbeat(now)) {
            self.send_to_zones(now, cluster, &[heartbeat]);
        }
    }

    /// The time at which [`SharedLists::send_heartbeat`] must be called.
    pub fn next_timer(&self) -> Micros {
        self.publisher
            .as_ref()
            .map_or(Micros::MAX, ListPublisher::next_timer)
    }

    /// Receives a message of the publisher of a zone, and returns a request to send to it, if one
    /// is needed.
    pub fn receive(
        &mut self,
        now: Micros,
        lease: LeaseId,
        term: Term,
        body: &[u8],
    ) -> Option<ListRequest> {
        if self.own_lease != Some(lease) || self.publisher.is_some() {
            return None;
        }
        let message = ListMessage::decode(body)?;
        let update = self.subscriber.receive(now, term, &message);
        self.received_pages.extend(update.pages);
        update.request
    }

    /// Answers the request of a subscriber.
    pub fn answer(
        &self,
        now: Micros,
        cluster: &mut Cluster,
        lease: LeaseId,
        from: &Rc<str>,
        body: &[u8],
    ) {
        let Some(publisher) = &self.publisher else {
            return;
        };
        let Some(request) = ListRequest::decode(body) else {
            return;
        };
        for message in publisher.answer(&request) {
            if let Some(body) = message.encode() {
                cluster.send_command(now, lease, from, MAX_SEND_TIME_US, body);
            }
        }
    }
}

/// Reads an entry of a list as discovery reports it. Returns `None` if it has no identifier.
fn read_entry(target: &Value) -> Option<Entry> {
    Some(Entry {
        id: target["uid"].as_str()?.to_owned(),
        has_left: target["state"] == "left",
        text: target.to_string(),
    })
}
