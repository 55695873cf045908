//! Estimates how long the statements of a route take at a member without waiting there.

/// Number of statements over which a mean is taken.
const WINDOW: u32 = 16;
/// Part of the distance by which the estimate follows a mean that is above it.
const RISE: f64 = 0.02;

/// Time that the statements of a route take at best, in ms: the lowest mean of several, which rises
/// slowly when all means are above it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    best: Option<f64>,
    sum: f64,
    count: u32,
}

impl ServiceTime {
    /// Adds a statement that took this long.
    pub fn record(&mut self, took_ms: f64) {
        self.sum += took_ms;
        self.count += 1;
        if self.count < WINDOW {
            return;
        }
        let mean = self.sum / f64::from(self.count);
        let best = self.best.unwrap_or(mean);
        self.best = Some(mean.min(best + (mean - best) * RISE));
        (self.sum, self.count) = (0.0, 0);
    }

    /// The estimate; `None` before the first mean.
    pub fn best_ms(&self) -> Option<f64> {
        self.best
    }
}
