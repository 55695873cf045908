//! Runs properties with a fixed seed, so that a test run has the same verdict each time.
//!
//! Tests only; the product never depends on this crate.

use quickcheck::{Gen, QuickCheck, Testable};

/// Seed of all properties, unless the variable names another.
const DEFAULT_SEED: u64 = 20_261_203;
/// Variable that names another seed.
const SEED_VARIABLE: &str = "PROPERTY_SEED";
/// Size of generated values.
const VALUE_SIZE: usize = 100;
/// Values tried.
const TEST_COUNT: u64 = 500;

/// Checks a property, and prints the seed.
///
/// # Panics
/// When the property does not hold; the message shows the smallest case found.
pub fn hold(property: impl Testable) {
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
