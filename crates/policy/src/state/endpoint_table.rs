//! Table of the endpoints, by index and by name.
//!
//! Invariant: an index refers to the same endpoint until its slot is freed.

use std::collections::HashMap;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use crate::Micros;
use crate::hashing::hash_name;
use crate::state::endpoint::{Endpoint, UNLISTED_RETENTION_US};

/// All endpoints. The table dereferences to a slice, in which free slots have an empty `id`.
#[derive(Default)]
pub(crate) struct EndpointTable {
    slots: Vec<Endpoint>,
    pub(crate) index_by_id: HashMap<Rc<str>, usize>,
}

/// Slot of an endpoint in the table.
pub(crate) struct EndpointSlot {
    pub(crate) index: usize,
    /// Whether the endpoint was added by this call.
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
    /// Returns the index of the endpoint with this name.
    pub(crate) fn index_of(&self, id: &str) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// Returns the endpoint with this name.
    pub(crate) fn find_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        let index = self.index_of(id)?;
        self.slots.get_mut(index)
    }

    /// Returns the index of the endpoint with this gossip ID.
    pub(crate) fn index_of_gossip_id(&self, gossip_id: u64) -> Option<usize> {
        self.slots
            .iter()
            .position(|endpoint| endpoint.gossip_id() == gossip_id && !endpoint.id.is_empty())
    }

    /// Returns the slot of an endpoint, which is added if it is not in the table.
    pub(crate) fn find_or_add(&mut self, id: &str) -> EndpointSlot {
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

    /// Ends the use of all unlisted endpoints.
    pub(crate) fn withdraw_unlisted(&mut self) {
        for endpoint in &mut self.slots {
            endpoint.ready &= endpoint.unlisted_since.is_none();
        }
    }

    /// Frees the slots of endpoints that were unlisted long ago and to which no open request can
    /// have been sent.
    pub(crate) fn evict_unlisted(&mut self, now: Micros) {
        for endpoint in &mut self.slots {
            endpoint.ready &= endpoint.usable_until().is_none_or(|until| now < until);
            let known = !endpoint.id.is_empty();
            let old = endpoint.latest_deadline + UNLISTED_RETENTION_US < now;
            if known && !endpoint.ready && !endpoint.has_in_flight() && old {
                self.index_by_id.remove(&endpoint.id);
                *endpoint = Endpoint::default();
            }
        }
    }
}
