//! The tree along which daemons forward config pushes and stop announcements.

/// Maximum number of branches among which one daemon divides the recipients of a push.
pub const FAN_OUT: usize = 8;

/// Splits the recipients of a push into at most `FAN_OUT` branches.
///
/// In each branch, the first daemon that acknowledges the push forwards it to the daemons after it.
pub fn branches(recipients: &[Box<str>]) -> Vec<Vec<Box<str>>> {
    if recipients.is_empty() {
        return Vec::new();
    }
    let size = recipients.len().div_ceil(FAN_OUT);
    recipients.chunks(size).map(<[Box<str>]>::to_vec).collect()
}
