//! Tests of the subset.

use super::*;

#[rstest]
#[case(800, 110)]
#[case(400, 250)]
#[case(4, 13)]
fn subsets_cover_all_endpoints_evenly(#[case] balancers: usize, #[case] endpoints: usize) {
    let mut sharing = vec![0; endpoints];
    for number in 0..balancers {
        let balancer = one_of_many(number, balancers, endpoints);
        balancer.subset.preference_order[..balancer.subset_size().endpoints]
            .iter()
            .for_each(|&index| sharing[index] += 1);
    }
    let (least, most) = (sharing.iter().min().unwrap(), sharing.iter().max().unwrap());
    assert!(*least > 0 && most - least <= 4, "{least} to {most}");
}

#[rstest]
#[case::with_capacity(false, false, true)]
#[case::saturated(false, true, false)]
#[case::loads_polled(true, false, false)]
fn own_zone_comes_first_while_it_has_capacity(
    #[case] by_probes: bool,
    #[case] saturated: bool,
    #[case] own_zone_first: bool,
) {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 0);
    balancer.settings.load_from_probes = by_probes;
    balancer.subset.zone_saturated_until = if saturated { START_AT + 1 } else { 0 };
    for u in 0..9 {
        balancer.endpoint_listed(listed(&format!("u{u}"), u64::from(u > 2), 0, 0));
    }
    balancer.endpoint_list_ended(START_AT);
    let mut first: Vec<usize> = balancer.subset.current_order(START_AT)[..3].to_vec();
    first.sort_unstable();
    assert_eq!(first == [0, 1, 2], own_zone_first, "{first:?}");
}

#[rstest]
fn request_without_capacity_includes_other_zones() {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 0);
    arrive(&mut balancer, START_AT, "a");
    assert!(balancer.subset.zone_saturated_until > START_AT);
}
