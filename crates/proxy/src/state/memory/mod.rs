//! The budget of memory for bytes that clients and endpoints send.
//!
//! Each buffer holds a [`Charge`], which counts its allocated size against a [`MemoryPool`] and
//! returns it when dropped. A buffer may always hold [`UNRESERVED_BYTES`]: the number of connections
//! is limited, so the sum of these parts is too. Anything beyond that is reserved before it is read,
//! and the sum of the reserved parts never exceeds the limit of the pool.

mod budget;
mod charged_bytes;
mod limits;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

pub use budget::MemoryBudget;
pub use charged_bytes::{ChargedBytes, charged_copy};
pub use limits::MemoryLimits;

#[cfg(test)]
mod tests;

/// Size up to which a buffer needs no reservation. Most messages are shorter.
pub const UNRESERVED_BYTES: usize = 4 * 1024;

/// Memory that buffers of one kind share.
#[derive(Debug)]
pub struct MemoryPool {
    /// Maximum sum of the reserved parts, in bytes.
    limit: AtomicUsize,
    /// Sum of the reserved parts, in bytes.
    reserved: AtomicUsize,
    /// Sum of the sizes of all buffers, in bytes.
    in_use: AtomicUsize,
    /// Largest sum so far, in bytes.
    peak: AtomicUsize,
}

impl MemoryPool {
    /// Creates a pool whose buffers reserve at most `limit` bytes together.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit: AtomicUsize::new(limit),
            reserved: AtomicUsize::new(0),
            in_use: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
        })
    }

    /// Changes the limit. Bytes reserved under a larger one stay reserved.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Sum of the sizes of all buffers, in bytes.
    pub fn in_use(&self) -> usize {
        self.in_use.load(Ordering::Relaxed)
    }

    /// Largest sum of the sizes of all buffers so far, in bytes.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// Whether a buffer of `bytes` bytes would fit if no other buffer reserved anything.
    pub fn can_ever_hold(&self, bytes: usize) -> bool {
        reserved_part(bytes) <= self.limit.load(Ordering::Relaxed)
    }

    /// Begins to charge a buffer.
    pub fn charge(self: &Arc<Self>, bytes: usize) -> Charge {
        let mut charge = Charge {
            pool: Arc::clone(self),
            bytes: 0,
        };
        charge.set(bytes);
        charge
    }

    fn has_room_for(&self, reserved: usize) -> bool {
        let sum = self.reserved.load(Ordering::Relaxed).checked_add(reserved);
        sum.is_some_and(|sum| sum <= self.limit.load(Ordering::Relaxed))
    }

    fn replace(&self, old: usize, new: usize) {
        let replace = |counter: &AtomicUsize, old: usize, new: usize| {
            counter.fetch_add(new, Ordering::Relaxed);
            counter.fetch_sub(old, Ordering::Relaxed) - old
        };
        replace(&self.reserved, reserved_part(old), reserved_part(new));
        let in_use = replace(&self.in_use, old, new);
        self.peak.fetch_max(in_use, Ordering::Relaxed);
    }
}

/// Returns the part of a buffer that has to be reserved.
fn reserved_part(bytes: usize) -> usize {
    bytes.saturating_sub(UNRESERVED_BYTES)
}

/// The share of one buffer in a pool, which is returned when the value is dropped.
#[derive(Debug)]
pub struct Charge {
    pool: Arc<MemoryPool>,
    bytes: usize,
}

impl Charge {
    /// Size of the buffer, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves memory so that the buffer may have `bytes` bytes. Returns false without any change
    /// if that exceeds the limit of the pool.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let added = reserved_part(bytes).saturating_sub(reserved_part(self.bytes));
        if !self.pool.has_room_for(added) {
            return false;
        }
        self.set(bytes.max(self.bytes));
        true
    }

    /// Sets the size of the buffer, which is unreserved or was reserved before.
    pub fn set(&mut self, bytes: usize) {
        self.pool.replace(self.bytes, bytes);
        self.bytes = bytes;
    }

    /// Returns the charge and leaves an empty one in its place.
    pub fn take(&mut self) -> Self {
        let empty = self.pool.charge(0);
        std::mem::replace(self, empty)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}
