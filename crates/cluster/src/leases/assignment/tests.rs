use super::*;

fn candidates(numbers: impl Iterator<Item = usize>) -> Vec<Candidate> {
    numbers
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
fn leases_are_balanced_and_few_move_when_a_member_joins() {
    let leases = leases(200);
    let before = assign(&leases, &candidates(0..30));
    let mut loads = vec![0; 30];
    before.iter().for_each(|order| loads[order[0]] += 1);
    assert!(
        loads
            .iter()
            .all(|&load| f64::from(load) <= 1.3 * 200.0 / 30.0),
        "{loads:?}"
    );
    let after = assign(&leases, &candidates(0..31));
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| before[0] != after[0])
        .count();
    assert!(moved < 60, "{moved} of 200 moved");
}

#[test]
fn members_of_the_zone_come_first_and_candidates_are_distinct() {
    let leases = [
        Lease::new("roster/a", Some("a".into())),
        Lease::new("roster/b", Some("b".into())),
    ];
    let (members, without_members) = (candidates(0..7), assign(&leases, &[]));
    for (lease, order) in leases.iter().zip(assign(&leases, &members)) {
        assert_eq!(Some(&members[order[0]].zone), lease.zone.as_ref());
        assert!(
            order.len() == CANDIDATES_PER_LEASE
                && (order[0] != order[1])
                && (order[1] != order[2])
                && order[0] != order[2]
        );
    }
    assert_eq!(without_members, [vec![], vec![]]);
}
