//! Tests of learning.

use super::*;
use crate::decisions::placement::MAX_SAMPLED_CANDIDATES;
use crate::scoring::learning::{Learning, MIN_WEIGHT_RATIO, RewardedSample, selection_gradient};
use crate::scoring::projection::selectable_count;
use crate::scoring::score::{DecisionSample, FEATURE_COUNT, INITIAL_WEIGHTS};

#[rstest]
#[case(0)]
#[case(1)]
fn gradient_matches_a_finite_difference(#[case] selected: usize) {
    const STEP: f64 = 1e-6;
    let rows: Vec<_> = (0..3)
        .map(|i| std::array::from_fn(|f| 1.0 / (1 + f + 2 * i) as f64))
        .collect();
    let mut weights = std::array::from_fn(|f| 1.0 + f as f64 / 10.0);
    let sample = DecisionSample {
        rows,
        selected,
        probability: 0.5,
    };
    let at = selection_gradient(&weights, &sample, selectable_count(3)).unwrap();
    for (f, derivative) in at.gradient.iter().enumerate() {
        weights[f] += STEP;
        let moved = selection_gradient(&weights, &sample, selectable_count(3)).unwrap();
        assert!(((moved.probability - at.probability) / STEP - derivative).abs() < 1e-5);
        weights[f] -= STEP;
    }
}

#[rstest]
#[case(1e9)]
#[case(-1e9)]
fn extreme_rewards_never_change_the_sign_of_a_weight(#[case] reward: f64) {
    let mut learning = Learning::new(START_AT);
    let sample = DecisionSample {
        rows: vec![[1.0; FEATURE_COUNT], [0.5; FEATURE_COUNT]],
        selected: 0,
        probability: 0.5,
    };
    learning
        .rewards
        .add(START_AT, LONG_TERM_HORIZON_US, 0.0, 1e12);
    learning.samples.push(RewardedSample { sample, reward });
    learning.update_weights(START_AT);
    for (weight, initial) in learning.weights.iter().zip(INITIAL_WEIGHTS) {
        assert!(weight * initial >= MIN_WEIGHT_RATIO * initial * initial - 1e-9);
    }
}

/// The memory for samples must not grow with the square of the fleet size.
#[test]
fn only_some_outcomes_are_sampled_with_many_candidates() {
    let count_sampled = |endpoints| {
        let mut balancer = balancer(Idempotency::Idempotent, endpoints).0;
        let is_sampled = |n: usize| {
            let (id, objective_at) = (Rc::from(format!("t{n}")), START_AT + 400 * MS);
            let mut request = Request::new(id, 0, objective_at, objective_at, 1.0, true);
            assert!(balancer.place(START_AT, &mut request));
            usize::from(request.attempts[0].sample.is_some())
        };
        (0..MAX_SAMPLED_CANDIDATES).map(is_sampled).sum::<usize>()
    };
    let all = MAX_SAMPLED_CANDIDATES;
    assert_eq!(count_sampled(all), all);
    let sampled = count_sampled(40 * all);
    assert!(
        sampled < all / 4,
        "{sampled} of {all} decisions were sampled, expected a fortieth"
    );
}
