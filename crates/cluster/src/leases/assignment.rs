//! Who is to have which duty, as far as all see the same members: rendezvous hashing with bounded loads (Thaler and
//! Ravishankar, 1998; Mirrokni, Thorup and Zadimoghaddam, 2018). It decides who asks first; that no two hold one duty is
//! the leases' affair, so views that differ cost time and nothing else.

use std::rc::Rc;

use super::Lease;

/// Members that may ask for one duty; the second and third stand by.
pub const CANDIDATES_PER_LEASE: usize = 3;
/// One member's duties at most, against the mean.
const MAX_LOAD_OVER_MEAN: f64 = 1.3;

/// A member as far as duties are concerned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    pub name: Rc<str>,
    pub zone: Rc<str>,
}

fn mixed(mut value: u64) -> u64 {
    // The finalizer of splitmix64.
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn hashed(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes()
        .first_chunk::<8>()
        .copied()
        .map(u64::from_le_bytes)
        .unwrap_or_default()
}

/// For each duty the members in the order in which they ask for it, as places in `members`.
pub fn assign(leases: &[Lease], members: &[Candidate]) -> Vec<Vec<usize>> {
    let hashes: Vec<u64> = members.iter().map(|member| hashed(&member.name)).collect();
    let mean = leases.len() as f64 / members.len().max(1) as f64;
    let most = mean.ceil().max((MAX_LOAD_OVER_MEAN * mean).floor()) as usize;
    let mut loads = vec![0; members.len()];
    let mut assignments = Vec::with_capacity(leases.len());
    for lease in leases {
        let seed = mixed(u64::from(lease.id.0) ^ 0x9e37_79b9_7f4a_7c15);
        let mut order: Vec<usize> = (0..members.len()).collect();
        let far = |index: usize| {
            lease
                .zone
                .as_ref()
                .is_some_and(|zone| *zone != members[index].zone)
        };
        order.sort_by_key(|&index| {
            (
                far(index),
                mixed(seed ^ hashes[index]),
                members[index].name.clone(),
            )
        });
        // The first that has room; the others keep their order behind it.
        let first = order
            .iter()
            .position(|&index| loads[index] < most)
            .unwrap_or(0);
        if let Some(ahead) = order.get_mut(..=first) {
            // The one found goes before those that it was found behind.
            ahead.rotate_right(1);
        }
        order.truncate(CANDIDATES_PER_LEASE);
        order
            .first()
            .into_iter()
            .for_each(|&index| loads[index] += 1);
        assignments.push(order);
    }
    assignments
}

#[cfg(test)]
mod tests {
    use super::*;

    fn indices(names: impl Iterator<Item = usize>) -> Vec<Candidate> {
        names
            .map(|n| Candidate {
                name: format!("b{n}").into(),
                zone: ["a", "b"][n % 2].into(),
            })
            .collect()
    }

    fn leases(count: usize) -> Vec<Lease> {
        (0..count)
            .map(|n| Lease::new(&format!("scout/{n}"), None))
            .collect()
    }

    #[test]
    fn duties_are_even_and_few_move_when_one_comes() {
        let leases = leases(200);
        let before = assign(&leases, &indices(0..30));
        let mut loads = vec![0; 30];
        before.iter().for_each(|order| loads[order[0]] += 1);
        assert!(
            loads.iter().all(|&load| load as f64 <= 1.3 * 200.0 / 30.0),
            "{loads:?}"
        );
        let after = assign(&leases, &indices(0..31));
        let moved = before
            .iter()
            .zip(&after)
            .filter(|(before, after)| before[0] != after[0])
            .count();
        assert!(moved < 60, "{moved} of 200 moved");
    }

    #[test]
    fn a_zone_has_its_own_first_and_each_order_names_no_member_twice() {
        let leases = [
            Lease::new("roster/a", Some("a".into())),
            Lease::new("roster/b", Some("b".into())),
        ];
        let (members, empty) = (indices(0..7), assign(&leases, &[]));
        for (lease, order) in leases.iter().zip(assign(&leases, &members)) {
            assert_eq!(Some(&members[order[0]].zone), lease.zone.as_ref());
            assert!(
                order.len() == CANDIDATES_PER_LEASE
                    && (order[0] != order[1])
                    && (order[1] != order[2])
                    && order[0] != order[2]
            );
        }
        assert_eq!(empty, [vec![], vec![]]);
    }
}
