//! The platform's answer to the order of a promotion.

use std::fmt;

/// What is known of an order once its call has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The platform has accepted it.
    Accepted,
    /// It was not carried out, and will not be.
    Refused,
    /// It has arrived, and the answer does not tell whether it is carried out.
    Unclear,
    /// It got no answer: it may have been carried out, or may be at any later instant.
    Missing,
}

impl fmt::Display for OrderAnswer {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            OrderAnswer::Accepted => "accepted",
            OrderAnswer::Refused => "refused",
            OrderAnswer::Unclear => "unclear",
            OrderAnswer::Missing => "missing",
        })
    }
}
