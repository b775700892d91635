//! Tests of slow start.

use super::*;

#[rstest]
fn single_endpoint_in_slow_start_receives_few_requests() {
    let (mut balancer, recorder) = balancer(Idempotency::Idempotent, 0);
    balancer.endpoint_listed(listed("new", 0, 0, START_AT));
    balancer.endpoint_list_ended(START_AT);
    for n in 0..200 {
        balancer.place(START_AT + n * 10 * MS, &mut request(&[], false));
    }
    assert!(recorder.count("attempt") <= 2);
}

/// The overruns that single requests may take would add up over hundreds of balancers.
#[rstest]
fn without_a_budget_even_a_small_request_is_not_sent() {
    let (mut balancer, _) = balancer(Idempotency::Idempotent, 1);
    balancer.endpoint_listed(listed("new", 0, 0, START_AT));
    balancer.endpoint_list_ended(START_AT);
    let new = balancer.endpoints.index_by_id["new"];
    let times = (0..40).map(|n| START_AT + n * 200 * MS);
    let without = times
        .into_iter()
        .find(|now| balancer.slow_start_budget(*now, new).limit == 0.0)
        .unwrap();
    let small = Request {
        work: 0.2,
        ..request(&[], false)
    };
    assert!(!balancer.is_attempt_permitted(without, &small, new));
    assert!(balancer.is_attempt_permitted(without, &small, balancer.endpoints.index_by_id["u0"]));
}

#[rstest]
fn balancer_without_the_endpoint_in_its_subset_has_part_of_the_budget() {
    let budgets = [0, 19].map(|position| {
        let mut balancer = one_of_many(3, 20, 20);
        balancer.instance_seed = 0;
        balancer.warm_endpoints = 20;
        balancer.started_at = START_AT - 20_000 * MS;
        balancer.fleet.served_work.add(
            START_AT,
            LONG_TERM_HORIZON_US,
            1_000.0 * LONG_TERM_HORIZON_US / MICROS_PER_SECOND,
        );
        let index = balancer.subset.preference_order[position];
        balancer.endpoints[index].started_at = START_AT;
        balancer.slow_start_budget(START_AT, index).limit
    });
    assert!(
        budgets[0] > 5.0 * budgets[1] && budgets[1] > 0.0,
        "{budgets:?}"
    );
}

/// Single requests of hundreds of balancers would overload the endpoint; without any request it
/// would never warm up.
#[rstest]
#[case::many(800)]
#[case::few(4)]
#[case::one(1)]
fn all_balancers_together_use_the_budget(#[case] balancers: usize) {
    let (span, served_by_all) = (2.0 * MICROS_PER_SECOND, 800.0);
    let mut sent = 0.0;
    for number in 0..balancers {
        let mut balancer = one_of_many(number, balancers, 20);
        balancer.instance_seed = hash_pair(number as u64, 7);
        balancer.warm_endpoints = 20;
        balancer.endpoints[0].started_at = START_AT;
        let rate = served_by_all / balancers as f64 / MICROS_PER_SECOND;
        balancer.started_at = START_AT - 20_000 * MS;
        balancer
            .fleet
            .served_work
            .add(START_AT, LONG_TERM_HORIZON_US, rate * LONG_TERM_HORIZON_US);
        if balancer.subset.preference_order[..balancer.subset_size().endpoints].contains(&0) {
            let budget = balancer.slow_start_budget(START_AT, 0).limit;
            sent += budget;
        }
    }
    let overload = 3.0 * 0.2 * served_by_all / 20.0 * span / MICROS_PER_SECOND;
    assert!(
        sent > 0.1 * overload && sent < 0.8 * overload,
        "{sent} of {overload}"
    );
}
