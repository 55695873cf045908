//! Runs the real daemons as processes against stand-ins of the platform, brings random faults
//! about from outside them, and checks the promises from what callers and members saw.

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

/// Options of one run.
pub struct Options {
    /// First seed.
    pub seed: u64,
    /// Seeds to run.
    pub count: u64,
    /// Time under faults, in s.
    pub seconds: u64,
    /// Daemons.
    pub daemons: usize,
    /// Whether the seeds that once failed are run instead.
    pub kept: bool,
    /// Whether only broken promises count, and not slow or scarce service.
    pub safety: bool,
}

/// Seeds that once failed, each with the cause; all must hold now.
const KEPT: [(u64, &str); 0] = [];
/// Groups of members.
const GROUPS: usize = 2;
/// Time from an order to promote to its effect, in ms.
const PROMOTE_MS: u64 = 1000;
/// Callers.
const CALLERS: usize = 24;
/// Time after the last fault in which service must come back, in ms.
const RECOVER_MS: u64 = 12_000;
/// Time in which the daemons must be ready at first, in ms.
const READY_MS: u64 = 60_000;

/// Runs the seeds asked for; the error names those whose promises were broken.
pub fn soak(options: &Options) -> Result<(), String> {
    let folder = crate::cluster::target_dir().join("soak");
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let spawner = Rc::new(Spawner::build(&folder)?);
    let seeds: Vec<u64> = if options.kept {
        KEPT.iter().map(|(seed, _)| *seed).collect()
    } else {
        (options.seed..options.seed + options.count).collect()
    };
    let (mut passed, mut broken) = (0, Vec::new());
    for seed in seeds {
        match one(&spawner, seed, options) {
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

/// Runs one seed in a runtime of its own.
fn one(spawner: &Rc<Spawner>, seed: u64, options: &Options) -> Result<String, String> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|e| e.to_string())?;
    runtime.block_on(run(spawner.clone(), seed, options))
}

async fn run(spawner: Rc<Spawner>, seed: u64, options: &Options) -> Result<String, String> {
    let world = World::start(GROUPS, PROMOTE_MS);
    let fleet = Fleet::start(&world, spawner, seed, options.daemons)?;
    if let Err(text) = fleet.await_ready(Ms::now().plus(READY_MS)).await {
        fleet.end();
        return Err(text);
    }
    let ledger = Rc::new(Ledger::default());
    for n in 0..CALLERS {
        let client = Client::new(n, seed, &world, &fleet, &ledger);
        monoio::spawn(client.run());
    }
    pause(500).await;
    faults::inject(&world, &fleet, seed, options.seconds * 1000).await;
    faults::heal(&world, &fleet).await;
    let served = ledger.served.get();
    let until = Ms::now().plus(RECOVER_MS);
    while ledger.served.get() < served + CALLERS as u64 * 4 && until.left() > 0 {
        pause(50).await;
    }
    let back = ledger.served.get() >= served + CALLERS as u64 * 4;
    pause(1000).await;
    ledger.stop.set(true);
    pause(1500).await;
    fleet.end();
    ledger.judge(&world);
    if !back {
        ledger.slow("service did not come back after the last fault".to_owned());
    }
    ledger.verdict(options.safety)
}

pub(crate) async fn pause(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}
