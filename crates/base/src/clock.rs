//! The clock of the project.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// An instant in milliseconds since the process began, on a clock that never steps.
///
/// The clock also counts the time that a VM is suspended, so that a lease lapses meanwhile.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ms(pub u64);

static START: OnceLock<Duration> = OnceLock::new();

thread_local! {
    static SET: Cell<Option<u64>> = const { Cell::new(None) };
}

impl Ms {
    /// The current instant.
    pub fn now() -> Ms {
        if let Some(ms) = SET.get() {
            return Ms(ms);
        }
        let now = boot_time();
        Ms(millis(now.saturating_sub(*START.get_or_init(|| now))))
    }

    /// Fixes the clock of this thread, for tests.
    pub fn set(at: Ms) {
        SET.set(Some(at.0));
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

    /// Wall-clock time in milliseconds since 1970, for reports only.
    pub fn unix() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, millis)
    }
}

/// Time since the VM booted, suspended time included.
fn boot_time() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(at.tv_sec).unwrap_or(0);
    Duration::new(secs, u32::try_from(at.tv_nsec).unwrap_or(0))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
