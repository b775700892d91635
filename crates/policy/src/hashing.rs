//! Hash functions that give the same result at all balancers.

use nanorand::{Rng, WyRand};

/// Returns the hash of a pair of numbers.
pub(crate) fn hash_pair(a: u64, b: u64) -> u64 {
    WyRand::new_seed(a.rotate_left(32) ^ b).generate()
}

/// Returns the hash of an endpoint's name.
pub(crate) fn hash_name(name: &str) -> u64 {
    name.bytes()
        .fold(0, |hash, byte| hash_pair(hash, u64::from(byte)))
}
