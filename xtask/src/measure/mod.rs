//! Measurements: the path of a statement, and the slopes that docs/CAPACITY.md is worked out from.

mod capacity;
mod procfs;
mod statement_path;
mod write_latency;

/// What to measure.
pub enum Measurement {
    Path,
    Capacity,
    Writes,
}

/// Runs one measurement and prints its table.
pub fn measure(what: &Measurement) -> Result<(), String> {
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    match what {
        Measurement::Path => local.block_on(&runtime, statement_path::run()),
        Measurement::Capacity => local.block_on(&runtime, capacity::run()),
        Measurement::Writes => local.block_on(&runtime, write_latency::run()),
    }
}
