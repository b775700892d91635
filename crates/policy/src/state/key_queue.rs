//! Queues of the requests with one key, of classes that are ordered by key.
//!
//! Invariant: one request of a key at a time may be sent. The next one follows when the holder has
//! its answer, no attempt for the key is in flight, and the cooldown of attempts that may still run
//! has passed.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::Micros;
use crate::state::request::Request;

/// The requests of one key.
#[derive(Default)]
pub(crate) struct KeyQueue {
    /// The request that may be sent.
    pub(crate) holder: Option<Rc<str>>,
    /// Later ones by arrival; nothing was ever sent for them.
    pub(crate) waiting: Vec<Request>,
    /// Attempts whose end was not reported, also of requests that have their answer.
    pub(crate) in_flight: usize,
    pub(crate) cooldown_until: Micros,
    /// When its timer expires.
    pub(crate) next_check_at: Micros,
}

impl KeyQueue {
    /// Whether the next request may be sent.
    pub(crate) fn is_free(&self, now: Micros) -> bool {
        self.is_idle() && now >= self.cooldown_until
    }

    /// Whether nothing of the key is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.holder.is_none() && self.in_flight == 0
    }

    /// Number of requests ahead of one that arrives now.
    pub(crate) fn length(&self) -> usize {
        self.waiting.len() + usize::from(!self.is_idle())
    }

    /// Makes the first waiting request the holder, if the queue is free.
    pub(crate) fn take_next(&mut self, now: Micros) -> Option<Request> {
        if !self.is_free(now) || self.waiting.is_empty() {
            return None;
        }
        let next = self.waiting.remove(0);
        self.holder = Some(Rc::clone(&next.id));
        Some(next)
    }
}

/// All key queues.
#[derive(Default)]
pub(crate) struct KeyQueues {
    pub(crate) queues: BTreeMap<u64, KeyQueue>,
    /// Keys of requests that have their answer, but an attempt whose end was not reported.
    pub(crate) keys_of_closed_requests: HashMap<Rc<str>, u64>,
}
