//! The rate limit of an account.

/// The rate limit of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Operations per second.
    pub rate: f64,
    /// Operations that may run at once after a time without any.
    pub burst: f64,
}

impl Limit {
    /// A limit of the configuration; negative values count as 0.
    pub fn new(rate: f64, burst: f64) -> Limit {
        Limit {
            rate: rate.max(0.0),
            burst: burst.max(0.0),
        }
    }

    /// Operations that a bucket holds at most. With less than one, an account with a rate could
    /// never run anything.
    pub fn capacity(self) -> f64 {
        if self.rate > 0.0 {
            self.burst.max(1.0)
        } else {
            self.burst
        }
    }

    /// Operations that become available in a time.
    #[expect(clippy::cast_precision_loss)]
    pub fn refill(self, ms: u64) -> f64 {
        self.rate * ms as f64 / 1000.0
    }
}
