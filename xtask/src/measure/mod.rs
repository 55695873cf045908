//! Measurements: the path of a statement, and the slopes that docs/CAPACITY.md is worked out from.

mod capacity;
mod path;
mod proc;
mod write_wait;

/// What to measure.
pub enum What {
    Path,
    Capacity,
    Writes,
}

/// Runs one measurement and prints its table.
pub fn measure(what: &What) -> Result<(), String> {
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    match what {
        What::Path => local.block_on(&runtime, path::run()),
        What::Capacity => local.block_on(&runtime, capacity::run()),
        What::Writes => local.block_on(&runtime, write_wait::run()),
    }
}
