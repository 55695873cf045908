//! The service-level burn report, from what daemons count.
//!
//! The report is pure: it takes counts and gives text or a picture. It never asks a daemon itself.

mod burn;
mod plot;
mod text;

pub use burn::{BurnReport, Input, InstitutionReads, ObjectiveBurn, make};
pub use plot::svg;
pub use text::{html, text};
