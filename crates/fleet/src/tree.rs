//! The tree that new configuration travels down.

/// Daemons that one daemon sends to.
pub const FAN_OUT: usize = 8;

/// Splits the daemons below into branches; the first of each passes on to the rest.
pub fn branches(below: &[Box<str>]) -> Vec<Vec<Box<str>>> {
    if below.is_empty() {
        return Vec::new();
    }
    let size = below.len().div_ceil(FAN_OUT);
    below.chunks(size).map(<[Box<str>]>::to_vec).collect()
}
