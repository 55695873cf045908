//! Sleep in milliseconds.

use std::time::Duration;

/// Suspends the task for `ms` milliseconds.
pub async fn sleep_ms(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}
