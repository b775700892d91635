//! Who is to have which duty, as far as all see the same members: rendezvous hashing with bounded loads (Thaler and
//! Ravishankar, 1998; Mirrokni, Thorup and Zadimoghaddam, 2018). It decides who asks first; that no two hold one duty is
//! the leases' affair, so views that differ cost time and nothing else.

use std::rc::Rc;

use super::Duty;

/// Members that may ask for one duty; the second and third stand by.
pub const RANKS: usize = 3;
/// One member's duties at most, against the mean.
const UNEVEN: f64 = 1.3;

/// A member as far as duties are concerned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Place {
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
pub fn plan(duties: &[Duty], members: &[Place]) -> Vec<Vec<usize>> {
    let hashes: Vec<u64> = members.iter().map(|member| hashed(&member.name)).collect();
    let mean = duties.len() as f64 / members.len().max(1) as f64;
    let most = mean.ceil().max((UNEVEN * mean).floor()) as usize;
    let mut loads = vec![0; members.len()];
    let mut plans = Vec::with_capacity(duties.len());
    for duty in duties {
        let seed = mixed(u64::from(duty.id.0) ^ 0x9e37_79b9_7f4a_7c15);
        let mut order: Vec<usize> = (0..members.len()).collect();
        let far = |place: usize| {
            duty.zone
                .as_ref()
                .is_some_and(|zone| *zone != members[place].zone)
        };
        order.sort_by_key(|&place| {
            (
                far(place),
                mixed(seed ^ hashes[place]),
                members[place].name.clone(),
            )
        });
        // The first that has room; the others keep their order behind it.
        let first = order
            .iter()
            .position(|&place| loads[place] < most)
            .unwrap_or(0);
        if let Some(ahead) = order.get_mut(..=first) {
            // The one found goes before those that it was found behind.
            ahead.rotate_right(1);
        }
        order.truncate(RANKS);
        order
            .first()
            .into_iter()
            .for_each(|&place| loads[place] += 1);
        plans.push(order);
    }
    plans
}

#[cfg(test)]
mod tests {
    use super::*;

    fn places(names: impl Iterator<Item = usize>) -> Vec<Place> {
        names
            .map(|n| Place {
                name: format!("b{n}").into(),
                zone: ["a", "b"][n % 2].into(),
            })
            .collect()
    }

    fn duties(count: usize) -> Vec<Duty> {
        (0..count)
            .map(|n| Duty::new(&format!("scout/{n}"), None))
            .collect()
    }

    #[test]
    fn duties_are_even_and_few_move_when_one_comes() {
        let duties = duties(200);
        let before = plan(&duties, &places(0..30));
        let mut loads = vec![0; 30];
        before.iter().for_each(|order| loads[order[0]] += 1);
        assert!(
            loads.iter().all(|&load| load as f64 <= 1.3 * 200.0 / 30.0),
            "{loads:?}"
        );
        let after = plan(&duties, &places(0..31));
        let moved = before
            .iter()
            .zip(&after)
            .filter(|(before, after)| before[0] != after[0])
            .count();
        assert!(moved < 60, "{moved} of 200 moved");
    }

    #[test]
    fn a_zone_has_its_own_first_and_each_order_names_no_member_twice() {
        let duties = [
            Duty::new("roster/a", Some("a".into())),
            Duty::new("roster/b", Some("b".into())),
        ];
        let (members, empty) = (places(0..7), plan(&duties, &[]));
        for (duty, order) in duties.iter().zip(plan(&duties, &members)) {
            assert_eq!(Some(&members[order[0]].zone), duty.zone.as_ref());
            assert!(
                order.len() == RANKS
                    && (order[0] != order[1])
                    && (order[1] != order[2])
                    && order[0] != order[2]
            );
        }
        assert_eq!(empty, [vec![], vec![]]);
    }
}
