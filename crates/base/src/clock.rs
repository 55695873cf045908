//! The clock of the project.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An instant of this process's monotonic clock, in milliseconds since the process began.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ms(pub u64);

static START: OnceLock<Instant> = OnceLock::new();

thread_local! {
    static SET: Cell<Option<u64>> = const { Cell::new(None) };
}

impl Ms {
    /// The current instant.
    pub fn now() -> Ms {
        if let Some(ms) = SET.get() {
            return Ms(ms);
        }
        Ms(millis(START.get_or_init(Instant::now).elapsed()))
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

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
