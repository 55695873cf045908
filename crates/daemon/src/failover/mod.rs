//! Primary changes: failover when a primary has failed, switchover when its VM leaves.
//!
//! Any daemon may run a change at any time, also concurrently with others or after a long pause:
//! a member grants each term to one proposer only, and refuses requests of lower terms. Ranks and
//! delays only reduce the number of competing attempts.

mod evaluate;
mod promotion;
mod step_down;
mod switchover;

pub use evaluate::start_evaluation;
pub use step_down::step_down;
