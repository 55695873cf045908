//! Measures how fast waiting statements get connections, compared with how fast new ones are
//! admitted.
//!
//! The members' slots are shared with other daemons whose load is not known here, so the capacity
//! left for this daemon shows only in its own waiting time: in how many statements were served while
//! others were waiting.

use base::Ms;

/// Time in which the weight of what was counted halves, in ms.
const HALF_LIFE_MS: f64 = 500.0;
/// Waiting time from which the capacity counts as known, in ms.
const MIN_BUSY_MS: f64 = 100.0;

/// Arrivals and services of one kind of statement, with the recent ones weighing most.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throughput {
    /// Instant up to which the counts have decayed.
    at: Ms,
    /// Whether statements have been waiting, for a member that could serve them, since `at`.
    busy: bool,
    arrived: f64,
    /// Number of statements that were served while others were waiting.
    served: f64,
    /// Slot time that these take, in ms.
    service_ms: f64,
    /// Time in which statements were waiting, in ms.
    busy_ms: f64,
    /// Time over which the arrivals were counted, in ms.
    span_ms: f64,
}

impl Throughput {
    /// Lets the counts decay up to an instant.
    fn advance(&mut self, now: Ms) {
        let elapsed = to_f64(now.0.saturating_sub(self.at.0));
        self.at = self.at.max(now);
        let weight = 0.5_f64.powf(elapsed / HALF_LIFE_MS);
        let span = (1.0 - weight) * HALF_LIFE_MS / std::f64::consts::LN_2;
        self.arrived *= weight;
        self.served *= weight;
        self.service_ms *= weight;
        self.span_ms = self.span_ms * weight + span;
        self.busy_ms = self.busy_ms * weight + if self.busy { span } else { 0.0 };
    }

    /// Records whether statements are waiting for a member that could serve them.
    pub fn set_busy(&mut self, busy: bool, now: Ms) {
        self.advance(now);
        self.busy = busy;
    }

    /// Records a statement that was admitted; one that is tried again is not new.
    pub fn record_arrival(&mut self, is_new: bool, now: Ms) {
        self.advance(now);
        if is_new {
            self.arrived += 1.0;
        }
    }

    /// Records that a statement was refused after it had been admitted.
    pub fn record_departure(&mut self, now: Ms) {
        self.advance(now);
        self.arrived = (self.arrived - 1.0).max(0.0);
    }

    /// Records that a statement that takes `service_ms` of a slot got a connection.
    pub fn record_service(&mut self, service_ms: f64, now: Ms) {
        self.advance(now);
        if self.busy {
            self.served += 1.0;
            self.service_ms += service_ms;
        }
    }

    /// Records that a member turned a statement away, which then waits again.
    pub fn record_rejection(&mut self, now: Ms) {
        self.advance(now);
        self.served = (self.served - 1.0).max(0.0);
    }

    /// The load at an instant.
    pub fn load(mut self, now: Ms) -> Load {
        self.advance(now);
        let is_known = self.busy_ms >= MIN_BUSY_MS;
        Load {
            capacity: is_known.then(|| (self.served + 1.0) / self.busy_ms),
            slots: is_known.then(|| self.service_ms / self.busy_ms),
            offered: self.arrived / self.span_ms.max(MIN_BUSY_MS),
        }
    }
}

/// Statements per ms that are admitted, and that can be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// `None` while too little has been waiting to tell.
    pub capacity: Option<f64>,
    /// Slots that can be occupied; `None` as above.
    pub slots: Option<f64>,
    pub offered: f64,
}

fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
