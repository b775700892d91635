//! A fixed hash of two numbers, equal at all balancers.

use nanorand::{Rng, WyRand};

/// Mixes two numbers into one.
pub(crate) fn hash_pair(a: u64, b: u64) -> u64 {
    WyRand::new_seed(a.rotate_left(32) ^ b).generate()
}

/// The hash of an endpoint's name.
pub(crate) fn hash_name(name: &str) -> u64 {
    name.bytes()
        .fold(0, |hash, byte| hash_pair(hash, u64::from(byte)))
}
