//! Soak test: runs real daemon processes against stand-ins of the platform, injects random faults
//! from outside the daemons, and checks their guarantees from what callers and members observed.

mod client;
mod faults;
mod fleet;
mod ledger;

use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use world::World;

use crate::cluster::Spawner;
use client::Client;
use fleet::Fleet;
use ledger::Ledger;

/// Command-line options of the soak test.
pub struct Options {
    /// First seed.
    pub seed: u64,
    /// Number of consecutive seeds to run.
    pub count: u64,
    /// Duration of the fault injection, in s.
    pub seconds: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Whether to run [`REGRESSION_SEEDS`] instead of the seeds from `seed` on.
    pub kept: bool,
    /// Whether only violated guarantees fail the run, and not slow or scarce service.
    pub safety: bool,
}

/// Seeds that failed in the past, each with the cause of that failure; all must pass now.
const REGRESSION_SEEDS: [(u64, &str); 0] = [];
/// Number of database groups.
const GROUP_COUNT: usize = 2;
/// Delays from a promotion order to its effect; each seed takes one in turn, since the daemons may
/// not rely on any of them.
const PROMOTION_DELAYS_MS: [u64; 6] = [0, 100, 300, 600, 1000, 3000];
/// Number of callers.
const CALLER_COUNT: usize = 24;
/// Time after the end of `faults::heal` within which service must recover.
const RECOVERY_TIMEOUT_MS: u64 = 12_000;
/// Time within which all daemons must become ready after their first start.
const READY_TIMEOUT_MS: u64 = 60_000;

/// Runs the selected seeds.
///
/// # Errors
/// Names the seeds whose run violated a guarantee, could not be set up or, unless
/// [`Options::safety`] is set, had late or scarce service. Also fails if the build does.
pub fn soak(options: &Options) -> Result<(), String> {
    let folder = crate::cluster::target_dir().join("soak");
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let spawner = Rc::new(Spawner::build(&folder)?);
    let seeds: Vec<u64> = if options.kept {
        REGRESSION_SEEDS.iter().map(|(seed, _)| *seed).collect()
    } else {
        (options.seed..options.seed + options.count).collect()
    };
    let (mut passed, mut broken) = (0, Vec::new());
    for seed in seeds {
        match run_seed(&spawner, seed, options) {
            Ok(text) => {
                println!("soak seed {seed}: held; {text}");
                passed += 1;
            }
            Err(text) => {
                println!("soak seed {seed}: BROKEN: {text}");
                broken.push(seed);
            }
        }
    }
    println!("{passed} passed, {} failed", broken.len());
    if broken.is_empty() {
        return Ok(());
    }
    Err(format!(
        "broken seeds {broken:?}, logs in {}",
        folder.display()
    ))
}

/// Runs a seed in a runtime of its own.
fn run_seed(spawner: &Rc<Spawner>, seed: u64, options: &Options) -> Result<String, String> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|e| e.to_string())?;
    runtime.block_on(run_scenario(spawner.clone(), seed, options))
}

async fn run_scenario(
    spawner: Rc<Spawner>,
    seed: u64,
    options: &Options,
) -> Result<String, String> {
    let delay = PROMOTION_DELAYS_MS[usize::try_from(seed % 6).expect("below 6")];
    let world = World::start(GROUP_COUNT, delay);
    let fleet = Fleet::start(&world, spawner, seed, options.daemons)?;
    if let Err(text) = fleet.wait_ready(Ms::now().plus(READY_TIMEOUT_MS)).await {
        fleet.kill_all();
        return Err(text);
    }
    let ledger = Rc::new(Ledger::default());
    for n in 0..CALLER_COUNT {
        let client = Client::new(n, seed, &world, &fleet, &ledger);
        monoio::spawn(client.run());
    }
    sleep_ms(500).await;
    faults::inject(&world, &fleet, seed, options.seconds * 1000).await;
    faults::heal(&world, &fleet).await;
    // Service has recovered once the callers were served four times each on average.
    let served_before = ledger.served.get();
    let deadline = Ms::now().plus(RECOVERY_TIMEOUT_MS);
    while ledger.served.get() < served_before + CALLER_COUNT as u64 * 4 && deadline.left() > 0 {
        sleep_ms(50).await;
    }
    let recovered = ledger.served.get() >= served_before + CALLER_COUNT as u64 * 4;
    sleep_ms(1000).await;
    ledger.stopping.set(true);
    sleep_ms(1500).await;
    fleet.kill_all();
    ledger.check_logs(&world);
    if !recovered {
        ledger.record_poor_service("service did not recover after the last fault".to_owned());
    }
    ledger.verdict(options.safety)
}

pub(crate) async fn sleep_ms(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}
