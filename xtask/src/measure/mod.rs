//! Measurements: latency and cost of statements, and the growth of a daemon's resource use from
//! which `docs/CAPACITY.md` is computed.

mod capacity;
mod procfs;
mod statement_path;
mod write_latency;

/// Available measurements.
pub enum Measurement {
    /// Latency, throughput and memory through one daemon.
    Path,
    /// Resource use of an idle fleet and of configuration changes.
    Capacity,
    /// Latency of confirmed writes.
    Writes,
}

/// Runs a measurement and prints its table.
pub fn measure(measurement: &Measurement) -> Result<(), String> {
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    match measurement {
        Measurement::Path => local.block_on(&runtime, statement_path::run()),
        Measurement::Capacity => local.block_on(&runtime, capacity::run()),
        Measurement::Writes => local.block_on(&runtime, write_latency::run()),
    }
}
