use super::*;

/// With other draws, every seed would produce a different scenario than in earlier versions.
#[test]
fn draws_of_a_seed_are_the_same_in_every_version() {
    let mut random = RandomSource::new(7);
    let first = [random.next_u64(), random.next_u64()];
    assert_eq!(first, [PINNED[0], PINNED[1]]);
    let mut split = RandomSource::split(7, "server", 3);
    assert_eq!(split.next_u64(), PINNED[2]);
}
const PINNED: [u64; 3] = [
    16_292_765_481_176_799_425,
    15_778_304_849_968_482_104,
    15_433_792_414_885_178_538,
];

#[test]
fn distributions_have_the_expected_means() {
    let mut random = RandomSource::new(1);
    let count = 100_000;
    let mean = |mut draw: Box<dyn FnMut() -> f64>| {
        (0..count).map(|_| draw()).sum::<f64>() / f64::from(count)
    };
    let mut other = random.clone();
    assert!((mean(Box::new(move || other.exponential(5.0))) - 5.0).abs() < 0.1);
    let mut other = random.clone();
    assert!((mean(Box::new(move || other.lognormal(20.0, 0.5))) - 20.0).abs() < 0.3);
    let sums = cumulative_sums([1.0, 0.0, 3.0].into_iter());
    assert!((mean(Box::new(move || random.weighted_index(&sums) as f64)) - 1.5).abs() < 0.02);
}

#[test]
fn sampled_indices_are_distinct() {
    let mut random = RandomSource::new(3);
    let mut drawn = random.sample_indices(30, 40);
    drawn.dedup();
    assert_eq!(drawn.len(), 30);
    assert_eq!(random.sample_indices(9, 4), [0, 1, 2, 3]);
}
