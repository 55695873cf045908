//! Runs quickcheck properties with a fixed seed, so that test runs are reproducible.
//!
//! For tests only; no product code depends on this crate.

use quickcheck::{Gen, QuickCheck, Testable};

/// Seed of all properties, unless `PROPERTY_SEED` sets another.
const DEFAULT_SEED: u64 = 20_261_203;
/// Environment variable that overrides the seed.
const SEED_VARIABLE: &str = "PROPERTY_SEED";
/// Size parameter of generated values.
const VALUE_SIZE: usize = 100;
/// Number of cases per property.
const TEST_COUNT: u64 = 500;

/// Checks a property and prints the seed, so that a failed run can be repeated.
///
/// # Panics
/// When the property fails; the message shows the smallest counterexample found.
pub fn check_property(property: impl Testable) {
    let seed = std::env::var(SEED_VARIABLE)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    println!("{SEED_VARIABLE}={seed}");
    let generator = Gen::from_size_and_seed(VALUE_SIZE, seed);
    QuickCheck::new()
        .rng(generator)
        .tests(TEST_COUNT)
        .max_tests(TEST_COUNT * 20)
        .quickcheck(property);
}
