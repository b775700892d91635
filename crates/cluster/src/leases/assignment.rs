//! Assignment of leases to candidates, by rendezvous hashing with bounded loads (Thaler and
//! Ravishankar, 1998; Mirrokni, Thorup and Zadimoghaddam, 2018). The assignment determines only
//! which member requests a lease first. The votes ensure that no two members hold the same lease,
//! so different views of the membership cost time, but not safety.

use std::rc::Rc;

use super::config::Lease;

/// The number of members that may request a lease; the second and third are standbys.
pub const CANDIDATES_PER_LEASE: usize = 3;
/// The largest ratio of the number of leases assigned to one member to the mean.
const MAX_LOAD_TO_MEAN_RATIO: f64 = 1.3;

/// A member to which leases can be assigned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// The member's name.
    pub name: Rc<str>,
    /// The member's zone.
    pub zone: Rc<str>,
}

/// The finalizer of the random number generator splitmix64.
fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes()
        .first_chunk::<8>()
        .copied()
        .map(u64::from_le_bytes)
        .unwrap_or_default()
}

/// Returns the indices of all members in the order of preference for a lease: members of its zone
/// first, then by hash.
fn preference_order(lease: &Lease, members: &[Candidate], hashes: &[u64]) -> Vec<usize> {
    let seed = mix(u64::from(lease.id.0) ^ 0x9e37_79b9_7f4a_7c15);
    let is_outside_zone = |index: usize| {
        lease
            .zone
            .as_ref()
            .is_some_and(|zone| *zone != members[index].zone)
    };
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|&index| {
        (
            is_outside_zone(index),
            mix(seed ^ hashes[index]),
            members[index].name.clone(),
        )
    });
    order
}

/// Returns the candidates for each lease, most preferred first, as indices into `members`.
pub fn assign(leases: &[Lease], members: &[Candidate]) -> Vec<Vec<usize>> {
    let hashes: Vec<u64> = members
        .iter()
        .map(|member| hash_name(&member.name))
        .collect();
    let mean = leases.len() as f64 / members.len().max(1) as f64;
    let max_load = mean.ceil().max((MAX_LOAD_TO_MEAN_RATIO * mean).floor()) as usize;
    let mut loads = vec![0; members.len()];
    let mut assignments = Vec::with_capacity(leases.len());
    for lease in leases {
        let mut order = preference_order(lease, members, &hashes);
        let first = order
            .iter()
            .position(|&index| loads[index] < max_load)
            .unwrap_or(0);
        // The first member with capacity moves to the front; the others keep their order behind it.
        if let Some(ahead) = order.get_mut(..=first) {
            ahead.rotate_right(1);
        }
        order.truncate(CANDIDATES_PER_LEASE);
        if let Some(&holder) = order.first() {
            loads[holder] += 1;
        }
        assignments.push(order);
    }
    assignments
}

#[cfg(test)]
mod tests;
