//! Processor time, memory and loopback traffic, from the kernel's counters in `/proc`.

/// Length of the kernel's clock tick.
const TICK_US: u64 = 10_000;

/// Processor time of a process so far, in µs, with a resolution of [`TICK_US`].
pub fn cpu_us(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest = text.rsplit(") ").next().unwrap_or_default();
    let field = |i: usize| {
        rest.split(' ')
            .nth(i)
            .and_then(|v| v.parse::<u64>().ok())
            .unwrap_or(0)
    };
    (field(11) + field(12)) * TICK_US
}

/// Resident memory of a process, in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|v| v.parse::<u64>().ok())
        .unwrap_or(0);
    kib * 1024
}

/// Bytes sent over loopback by the whole machine so far, headers included.
pub fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|l| l.trim_start().strip_prefix("lo:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(8)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}
