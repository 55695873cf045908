//! Settings of one daemon.

use crate::QuotaRules;

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of its VM.
    pub name: Box<str>,
    /// Data centre of its VM.
    pub data_center: Box<str>,
    /// Number of open sessions beyond which this daemon refuses to serve a further one.
    pub max_callers: u64,
    /// Time for which a member takes new statements after it has announced that it leaves, in ms.
    pub drain_ms: u64,
    /// Longest time from when a member joins its group until the platform lists it, in ms.
    pub listing_delay_ms: u64,
    /// How far the rate limits of client accounts are binding.
    pub quota: QuotaRules,
}
