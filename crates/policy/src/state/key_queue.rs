//! Queues of requests with the same key, in classes that are ordered by key.
//!
//! Invariant: at most one request of a key at a time may be sent. The next one may be sent when the
//! holder of the key is complete, no attempt for the key is in flight, and the cooldown after
//! attempts that may still run has passed.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::Micros;
use crate::state::request::Request;

/// Queue of the requests with one key.
#[derive(Default)]
pub(crate) struct KeyQueue {
    /// The request that holds the key and may be sent.
    pub(crate) holder: Option<Rc<str>>,
    /// Waiting requests in order of arrival, none of which was ever sent.
    pub(crate) waiting: Vec<Request>,
    /// Number of attempts whose end was not reported, including those of closed requests.
    pub(crate) in_flight: usize,
    pub(crate) cooldown_until: Micros,
    /// Time at which the timer of the queue expires.
    pub(crate) next_check_at: Micros,
}

impl KeyQueue {
    /// Returns whether the next request may be sent.
    pub(crate) fn is_free(&self, now: Micros) -> bool {
        self.is_idle() && now >= self.cooldown_until
    }

    /// Returns whether no request holds the key and no attempt for the key is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.holder.is_none() && self.in_flight == 0
    }

    /// Returns the number of requests ahead of one that arrives now.
    pub(crate) fn requests_ahead(&self) -> usize {
        self.waiting.len() + usize::from(!self.is_idle())
    }

    /// Takes the first waiting request and makes it the holder of the key, if the queue is free.
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
    /// Keys of closed requests with an attempt whose end was not reported, by request ID.
    pub(crate) keys_of_closed_requests: HashMap<Rc<str>, u64>,
}
