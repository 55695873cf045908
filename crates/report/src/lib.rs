//! Service-level burn report: how fast each institution uses up the error budget of its objectives.
//!
//! Computed from the counts of the daemons and rendered as text, HTML or SVG, without any I/O.

mod burn;
mod plot;
mod text;

pub use burn::{BurnReport, Input, InstitutionReads, ObjectiveBurn, build};
pub use plot::svg;
pub use text::{html, text};
