//! Soak test: runs real daemon processes against stand-ins of the platform, injects random faults
//! from outside the daemons, and checks their guarantees from what callers and members observed.

mod accounts;
mod client;
mod faults;
mod fleet;
mod late_orders;
mod ledger;
mod replaced;
mod stops;
mod trace;

use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use world::World;

use crate::cluster::Spawner;
use accounts::Accounts;
use client::Client;
use fleet::Fleet;
use late_orders::LateOrders;
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
    /// Whether callers have client accounts.
    pub accounts: bool,
    /// Program of another build. The fleet begins with it, and is replaced one daemon after the other.
    pub former_build: Option<std::path::PathBuf>,
    /// Program that is tested instead of the one built from this workspace.
    pub build: Option<std::path::PathBuf>,
    /// Whether orders of promotions are held up, with faults around them.
    pub late_orders: bool,
    /// Whether daemons are also stopped in series, beside planned changes of primary.
    pub stops: bool,
    /// Whether machines are also replaced for good, until all were replaced twice.
    pub replaced: bool,
    /// Directory of the daemons' settings and logs; `None` for one in the target directory.
    pub logs: Option<std::path::PathBuf>,
}

impl Options {
    fn folder(&self) -> std::path::PathBuf {
        let default = || crate::cluster::target_dir().join("soak");
        self.logs.clone().unwrap_or_else(default)
    }
}

/// Seeds that failed in the past, each with the cause of that failure; all must pass now.
const REGRESSION_SEEDS: [(u64, &str); 0] = [];
/// Number of database groups.
const GROUP_COUNT: usize = 2;
/// Delays from a promotion order to its effect; each seed takes one in turn, since the daemons may
/// not rely on any of them.
const PROMOTION_DELAYS_MS: [u64; 6] = [0, 100, 300, 600, 1000, 3000];
/// With orders that are held up, the promotion API is silent at times where the seed is a multiple of this.
const SILENT_SEEDS: u64 = 4;
/// Number of callers.
const CALLER_COUNT: usize = 24;
/// Time after the end of `faults::heal` within which service must recover.
const RECOVERY_TIMEOUT_MS: u64 = 12_000;
/// Longest series of faults before the faults are healed and liveness is checked.
const ROUND_MS: u64 = 12_000;
/// Interval of the checks of what members ran.
const CHECK_INTERVAL_MS: u64 = 1000;
/// Time within which all daemons must become ready after their first start.
const READY_TIMEOUT_MS: u64 = 60_000;

/// Runs the selected seeds.
///
/// # Errors
/// Names the seeds whose run violated a guarantee, could not be set up or, unless
/// [`Options::safety`] is set, had late or scarce service. Also fails if the build does.
pub fn soak(options: &Options) -> Result<(), String> {
    let folder = options.folder();
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
    let ledger = Rc::new(Ledger::default());
    let accounts = options.accounts.then(|| Accounts::start(&world, &ledger));
    let fleet = Fleet::start(&world, spawner, seed, options)?;
    if let Err(text) = fleet.wait_ready(Ms::now().plus(READY_TIMEOUT_MS)).await {
        fleet.kill_all();
        return Err(text);
    }
    for n in 0..CALLER_COUNT {
        let client = Client::new(n, seed, &world, &fleet, &ledger, accounts.as_ref());
        monoio::spawn(client.run());
    }
    if let Some(accounts) = accounts.clone() {
        monoio::spawn(check_accounts(world.clone(), ledger.clone(), accounts));
    }
    sleep_ms(500).await;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut left_ms = options.seconds * 1000;
    if fleet.former_build.is_some() {
        monoio::spawn(faults::replace_builds(fleet.clone(), seed, left_ms));
    }
    // Apart from the other draws, which are the same with and without late orders.
    let mut late_rng = fastrand::Rng::with_seed(!seed);
    let mut stop_rng = fastrand::Rng::with_seed(seed.rotate_left(2));
    let mut replaced_rng = fastrand::Rng::with_seed(seed.rotate_left(3));
    let mut silent_rng = fastrand::Rng::with_seed(seed.rotate_left(1));
    let late_orders = options.late_orders.then(|| LateOrders::new(&world, &fleet));
    if options.late_orders {
        for group in &world.groups {
            group.keeps_fences.set(seed % 2 == 1);
        }
    }
    while left_ms > 0 {
        let round_ms = left_ms.min(ROUND_MS);
        left_ms -= round_ms;
        let scenarios = late_orders
            .clone()
            .map(|late_orders| monoio::spawn(late_orders.inject(late_rng.fork(), round_ms)));
        let silences = late_orders
            .clone()
            .filter(|_| seed.is_multiple_of(SILENT_SEEDS))
            .map(|late_orders| monoio::spawn(late_orders.silence(silent_rng.fork(), round_ms)));
        if options.replaced {
            let (world, fleet) = (world.clone(), fleet.clone());
            monoio::spawn(replaced::inject(
                world,
                fleet,
                replaced_rng.fork(),
                round_ms,
            ));
        }
        if options.stops {
            let (world, fleet) = (world.clone(), fleet.clone());
            monoio::spawn(stops::inject(world, fleet, stop_rng.fork(), round_ms));
        }
        faults::inject(&world, &fleet, accounts.as_ref(), &mut rng, round_ms).await;
        if let (Some(scenarios), Some(late_orders)) = (scenarios, &late_orders) {
            scenarios.await;
            if let Some(silences) = silences {
                silences.await;
            }
            late_orders.settle().await;
        }
        faults::heal(&world, &fleet).await;
        check_liveness(&ledger).await;
    }
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
    trace::write_trace(&world, &options.folder(), seed).map_err(|e| e.to_string())?;
    if let Some(accounts) = &accounts {
        accounts.check(&world);
    }
    if !recovered {
        ledger.record_poor_service("service did not recover after the last fault".to_owned());
    }
    let verdict = ledger.verdict(options.safety);
    let Some(accounts) = accounts else {
        return verdict;
    };
    let seen = accounts.summary(&world);
    verdict
        .map(|text| format!("{text}; {seen}"))
        .map_err(|text| format!("{text}; {seen}"))
}

/// Checks that every group serves a write within `RECOVERY_TIMEOUT_MS` once all faults are healed.
async fn check_liveness(ledger: &Ledger) {
    let healed_at = Ms::now();
    while !ledger.groups_without_write(healed_at).is_empty() {
        if healed_at.elapsed() > RECOVERY_TIMEOUT_MS {
            let groups = ledger.groups_without_write(healed_at);
            let text = format!("STUCK: no write in groups {groups:?} after the faults were healed");
            ledger.record_violation(text);
            return;
        }
        sleep_ms(50).await;
    }
}

/// Checks what members ran as long as callers run.
async fn check_accounts(world: Rc<World>, ledger: Rc<Ledger>, accounts: Rc<Accounts>) {
    while !ledger.stopping.get() {
        sleep_ms(CHECK_INTERVAL_MS).await;
        accounts.check(&world);
    }
}

pub(crate) async fn sleep_ms(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}
