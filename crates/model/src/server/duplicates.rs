//! Detection of duplicates by idempotency key, and the cache of entity keys that reduces work.

use std::collections::HashMap;

use crate::Micros;

/// Work of a duplicate request, for which the server repeats the earlier response, in microseconds
/// of core time at speed 1.
pub const DUPLICATE_WORK_US: f64 = 100.0;
/// Number of stored idempotency keys at which expired ones are removed.
const MAX_IDEMPOTENCY_KEYS: usize = 65_536;
/// Maximum number of cached keys of a server.
const MAX_CACHED_KEYS: usize = 4096;

/// The idempotency keys that servers store, by scope.
#[derive(Default)]
pub struct DuplicateFilter {
    expires_at: HashMap<(usize, u64), Micros>,
}

impl DuplicateFilter {
    /// Returns whether a request is a duplicate within its scope. The key of any other request is
    /// stored for the duration `window`.
    pub fn is_duplicate(&mut self, now: Micros, scope: usize, key: u64, window: Micros) -> bool {
        let expires_at = self.expires_at.get(&(scope, key));
        if expires_at.is_some_and(|expires_at| now < *expires_at) {
            return true;
        }
        if self.expires_at.len() >= MAX_IDEMPOTENCY_KEYS {
            self.expires_at.retain(|_, expires_at| now < *expires_at);
        }
        self.expires_at.insert((scope, key), now + window);
        false
    }
}

/// The cached entity keys with the time of their last use.
#[derive(Default)]
pub(super) struct KeyCache {
    used_at: HashMap<u64, Micros>,
}

impl KeyCache {
    /// Returns whether a key was used within `ttl`, and records its use unless the cache is full.
    pub(super) fn use_key(&mut self, now: Micros, key: u64, ttl: Micros) -> bool {
        if self.used_at.len() >= MAX_CACHED_KEYS {
            self.used_at.retain(|_, used_at| now < *used_at + ttl);
        }
        if self.used_at.len() >= MAX_CACHED_KEYS && !self.used_at.contains_key(&key) {
            return false;
        }
        let previous = self.used_at.insert(key, now);
        previous.is_some_and(|used_at| now < used_at + ttl)
    }
}
