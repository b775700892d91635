//! The endpoints that this balancer knows, by index and by name.
//!
//! Invariant: an index stays the same endpoint's until its slot is freed.

use std::collections::HashMap;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use crate::Micros;
use crate::hashing::hash_name;
use crate::state::endpoint::Endpoint;

/// How long an unlisted endpoint is remembered: one that comes back from a crash is as fast as
/// before.
const UNLISTED_RETENTION_US: Micros = 60_000_000;

/// All endpoints. Reads as a slice; free slots have an empty id.
#[derive(Default)]
pub(crate) struct EndpointTable {
    slots: Vec<Endpoint>,
    pub(crate) index_by_id: HashMap<Rc<str>, usize>,
}

/// A slot for an endpoint.
pub(crate) struct EndpointSlot {
    pub(crate) index: usize,
    /// Whether the endpoint was added just now.
    pub(crate) added: bool,
}

impl Deref for EndpointTable {
    type Target = [Endpoint];

    fn deref(&self) -> &[Endpoint] {
        &self.slots
    }
}

impl DerefMut for EndpointTable {
    fn deref_mut(&mut self) -> &mut [Endpoint] {
        &mut self.slots
    }
}

impl EndpointTable {
    /// The index of an endpoint.
    pub(crate) fn index_of(&self, id: &str) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// The endpoint of that name.
    pub(crate) fn find_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        let index = self.index_of(id)?;
        self.slots.get_mut(index)
    }

    /// The index of the endpoint with this name in gossip messages.
    pub(crate) fn index_of_gossip_id(&self, gossip_id: u64) -> Option<usize> {
        self.slots
            .iter()
            .position(|endpoint| endpoint.gossip_id() == gossip_id && !endpoint.id.is_empty())
    }

    /// The slot of an endpoint, which is added if it is not known.
    pub(crate) fn slot(&mut self, id: &str) -> EndpointSlot {
        if let Some(index) = self.index_of(id) {
            let added = false;
            return EndpointSlot { index, added };
        }
        let (index, added) = (self.free_slot(), true);
        let id: Rc<str> = Rc::from(id);
        self.index_by_id.insert(Rc::clone(&id), index);
        self.slots[index] = Endpoint {
            hash: hash_name(&id),
            id,
            ..Endpoint::default()
        };
        EndpointSlot { index, added }
    }

    fn free_slot(&mut self) -> usize {
        let free = self.slots.iter().position(|slot| slot.id.is_empty());
        free.unwrap_or_else(|| {
            self.slots.push(Endpoint::default());
            self.slots.len() - 1
        })
    }

    /// Frees the slots of endpoints that were unlisted long ago and that no open request can have
    /// been sent to.
    pub(crate) fn evict_unlisted(&mut self, now: Micros) {
        for endpoint in &mut self.slots {
            endpoint.ready &= endpoint
                .unlisted_since
                .is_none_or(|since| now < since + UNLISTED_RETENTION_US);
            let known = !endpoint.id.is_empty();
            let old = endpoint.latest_deadline + UNLISTED_RETENTION_US < now;
            if known && !endpoint.ready && !endpoint.has_in_flight() && old {
                self.index_by_id.remove(&endpoint.id);
                *endpoint = Endpoint::default();
            }
        }
    }
}
