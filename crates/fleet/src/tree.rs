//! The tree along which daemons forward config pushes.

/// Maximum number of daemons to which one daemon sends a push.
pub const FAN_OUT: usize = 8;

/// Splits daemons into at most `FAN_OUT` branches; the first of each branch forwards to the rest of
/// it.
pub fn branches(below: &[Box<str>]) -> Vec<Vec<Box<str>>> {
    if below.is_empty() {
        return Vec::new();
    }
    let size = below.len().div_ceil(FAN_OUT);
    below.chunks(size).map(<[Box<str>]>::to_vec).collect()
}
