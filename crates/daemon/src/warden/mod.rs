//! The warden: changes the primary of a group when it has failed or leaves.
//!
//! Any daemon may run a change at any time, also twice at once or after a pause: members grant a
//! term to one proposer only, and refuse what belongs to a lower one. Ranking and delays only make
//! duels rare.

mod change;
mod examine;
mod hand_over;
mod step_down;

pub use examine::suspect;
pub use step_down::step_down;
