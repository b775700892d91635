//! Message bytes that are charged to a pool for as long as any slice of them exists.

use std::sync::Arc;

use bytes::Bytes;

use super::{Charge, MemoryPool};

/// A buffer and its charge, as the owner of [`Bytes`].
pub struct ChargedBytes {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl ChargedBytes {
    /// Converts a buffer into slices that share it. A buffer that is mostly empty is shortened, and
    /// the charge is reduced to its size.
    pub fn into_bytes(mut bytes: Vec<u8>, mut charge: Charge) -> Bytes {
        if bytes.capacity() / 2 > bytes.len() {
            bytes.shrink_to_fit();
        }
        charge.set(bytes.capacity());
        Bytes::from_owner(Self {
            bytes,
            _charge: charge,
        })
    }
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Charges a copy of message bytes to a pool.
pub fn charged_copy(bytes: Vec<u8>, pool: &Arc<MemoryPool>) -> Bytes {
    ChargedBytes::into_bytes(bytes, pool.charge(0))
}
