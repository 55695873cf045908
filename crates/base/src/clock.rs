//! Monotonic clock in milliseconds.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// An instant in milliseconds since the clock was first read in this process, on a monotonic clock.
///
/// The clock keeps counting while the VM is suspended, so that leases expire during a suspension.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ms(pub u64);

static START: OnceLock<Duration> = OnceLock::new();

thread_local! {
    static FIXED_NOW: Cell<Option<u64>> = const { Cell::new(None) };
}

impl Ms {
    /// The current instant.
    pub fn now() -> Ms {
        if let Some(ms) = FIXED_NOW.get() {
            return Ms(ms);
        }
        let now = boot_time();
        Ms(to_millis(now.saturating_sub(*START.get_or_init(|| now))))
    }

    /// Fixes the current instant of this thread, for tests.
    pub fn set(at: Ms) {
        FIXED_NOW.set(Some(at.0));
    }

    /// Milliseconds since this instant; zero when it lies ahead.
    pub fn elapsed(self) -> u64 {
        Ms::now().0.saturating_sub(self.0)
    }

    /// Milliseconds from now until this instant; zero when it has passed.
    pub fn left(self) -> u64 {
        self.0.saturating_sub(Ms::now().0)
    }

    /// The instant `ms` milliseconds later.
    #[must_use]
    pub fn plus(self, ms: u64) -> Ms {
        Ms(self.0.saturating_add(ms))
    }

    /// Wall-clock time in milliseconds since 1970, for reports only, since it may step.
    pub fn unix() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, to_millis)
    }
}

/// Time since the VM booted, including time in suspension.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(secs, u32::try_from(time.tv_nsec).unwrap_or(0))
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
