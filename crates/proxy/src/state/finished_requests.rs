//! Requests that are over and may have run. If one of them comes again it must not run a second
//! time: an endpoint that does not know it would repeat its effect.
//!
//! A request is named by its id, which a client uses only once. A client that has left before its
//! response may also return with the same idempotency key under a new id; unless all endpoints drop
//! repeats of the key, it counts as the same request.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use pinefront_policy::{Idempotency, IdempotencyScope, Micros};
use siphasher::sip128::{Hasher128, SipHasher13};

#[cfg(test)]
mod tests;

/// Time for which a request is remembered, far longer than any client waits.
const MIN_RETENTION_US: Micros = 30_000_000;
/// Memory of a remembered id or key, in bytes.
pub const REMEMBERED_BYTES: usize = 128;

/// The hash of a request's id, or of its class and idempotency key.
type Fingerprint = u128;

fn fingerprint(name: impl Hash) -> Fingerprint {
    let mut hasher = SipHasher13::new();
    name.hash(&mut hasher);
    hasher.finish128().as_u128()
}

/// The names of a request by which it is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestNames {
    id: Fingerprint,
    /// None if the request has no key, or if all endpoints drop repeats of it.
    key: Option<Fingerprint>,
    /// Time for which it is remembered, in microseconds; 0 for an idempotent request.
    retention: Micros,
}

impl RequestNames {
    /// Returns the names of a request of a class.
    pub fn new(id: &str, class: usize, key: Option<&str>, idempotency: Idempotency) -> Self {
        let (scope, retention) = match idempotency {
            Idempotency::Idempotent => (None, 0),
            Idempotency::NonIdempotent => (None, MIN_RETENTION_US),
            Idempotency::IdempotencyKey { scope, window } => {
                (Some(scope), window.max(MIN_RETENTION_US))
            }
        };
        let has_key = scope.is_some_and(|scope| scope != IdempotencyScope::All);
        Self {
            id: fingerprint(("id", id)),
            key: key
                .filter(|_| has_key)
                .map(|key| fingerprint(("key", class, key))),
            retention,
        }
    }

    /// Whether a second run of the request would have an effect of its own.
    pub fn is_idempotent(&self) -> bool {
        self.retention == 0
    }
}

/// A bounded set whose members expire.
#[derive(Default)]
struct ExpiringSet {
    expiries: HashMap<Fingerprint, Micros>,
    /// Members in the order of their insertion, each with its expiry.
    order: VecDeque<(Micros, Fingerprint)>,
}

impl ExpiringSet {
    fn insert(&mut self, member: Fingerprint, expires_at: Micros) {
        self.expiries.insert(member, expires_at);
        self.order.push_back((expires_at, member));
    }

    fn remove_first(&mut self) {
        if let Some((expires_at, member)) = self.order.pop_front()
            && self.expiries.get(&member) == Some(&expires_at)
        {
            self.expiries.remove(&member);
        }
    }

    /// Removes members at the front that have expired.
    fn expire(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(at, _)| *at <= now) {
            self.remove_first();
        }
    }

    fn contains(&self, member: Fingerprint, now: Micros) -> bool {
        self.expiries.get(&member).is_some_and(|at| now < *at)
    }
}

/// The requests that are over and may have run.
pub struct FinishedRequests {
    /// Ids and keys of requests whose clients left before a response.
    disconnected: ExpiringSet,
    /// Ids of requests that were answered.
    answered: ExpiringSet,
    /// Maximum number of members of each set.
    capacity: usize,
}

impl FinishedRequests {
    /// Creates a memory of `capacity` ids and keys of requests whose clients left, and of as many answered
    /// requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            disconnected: ExpiringSet::default(),
            answered: ExpiringSet::default(),
            capacity,
        }
    }

    /// Changes the number of requests that are remembered.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Remembers a request whose client left while it may have run or may still be running.
    pub fn record_disconnected(&mut self, names: RequestNames, now: Micros) {
        if names.is_idempotent() {
            return;
        }
        self.disconnected.expire(now);
        for name in [Some(names.id), names.key].into_iter().flatten() {
            self.disconnected.insert(name, now + names.retention);
        }
    }

    /// Remembers a request that was answered and may have run. Beyond the capacity, the one that was
    /// answered first is forgotten: its client has its response.
    pub fn record_answered(&mut self, names: RequestNames, now: Micros) {
        if names.is_idempotent() {
            return;
        }
        self.answered.expire(now);
        if self.answered.order.len() >= self.capacity {
            self.answered.remove_first();
        }
        self.answered.insert(names.id, now + names.retention);
    }

    /// Whether a request may be one that has run before.
    pub fn may_have_run(&self, names: &RequestNames, now: Micros) -> bool {
        let is_disconnected = |name| self.disconnected.contains(name, now);
        !names.is_idempotent()
            && (is_disconnected(names.id)
                || names.key.is_some_and(is_disconnected)
                || self.answered.contains(names.id, now))
    }

    /// Whether no further request whose client may leave can be remembered. Requests that are not
    /// idempotent are not accepted until some have expired.
    pub fn is_full(&mut self, now: Micros) -> bool {
        self.disconnected.expire(now);
        self.disconnected.order.len() >= self.capacity
    }

    /// Number of remembered ids and keys.
    pub fn len(&self) -> usize {
        self.disconnected.order.len() + self.answered.order.len()
    }
}
