//! Machines that are replaced for good, one after the other, and then the end of all processes.

use std::rc::Rc;

use base::Ms;
use world::World;

use super::faults::{GRACE_MS, relaunch};
use super::fleet::Fleet;
use super::sleep_ms;

/// Number of times that each machine is replaced.
const REPLACEMENTS: usize = 2;
/// Time before the end of a round in which all processes are killed, in ms.
const KILL_ALL_MS: u64 = 500;
/// Longest time for which an old machine may be gone before the new one starts, in ms.
const MAX_GAP_MS: u64 = 500;
/// Interval at which the end of a process is looked for, in ms.
const POLL_INTERVAL_MS: u64 = 20;

/// Replaces all machines `REPLACEMENTS` times within `total_ms`, and kills all processes in the end, which start
/// again.
pub async fn inject(world: Rc<World>, fleet: Rc<Fleet>, mut rng: fastrand::Rng, total_ms: u64) {
    let end = Ms::now().plus(total_ms.saturating_sub(KILL_ALL_MS));
    let count = fleet.daemons.len();
    let step_ms = total_ms / ((REPLACEMENTS * count) as u64 + 1);
    for _ in 0..REPLACEMENTS {
        let mut order: Vec<usize> = (0..count).collect();
        rng.shuffle(&mut order);
        for n in order {
            monoio::spawn(replace(world.clone(), fleet.clone(), n, rng.fork()));
            sleep_ms(step_ms).await;
        }
    }
    sleep_ms(end.left()).await;
    fleet.kill_all();
    for n in 0..count {
        relaunch(&fleet, n);
    }
}

/// Ends a daemon, in half of the cases by SIGTERM, and starts one on a new machine in its place. Does nothing while
/// the process is being stopped already.
async fn replace(world: Rc<World>, fleet: Rc<Fleet>, n: usize, mut rng: fastrand::Rng) {
    let daemon = &fleet.daemons[n];
    if daemon.is_stopping.replace(true) {
        return;
    }
    if rng.bool() {
        daemon.with_process(|p| p.terminate());
        let until = Ms::now().plus(GRACE_MS);
        let mut has_ended = false;
        while !has_ended && until.left() > 0 {
            sleep_ms(POLL_INTERVAL_MS).await;
            daemon.with_process(|p| has_ended = p.has_exited());
        }
    } else {
        daemon.disrupt(crate::cluster::Process::kill);
        sleep_ms(rng.u64(..MAX_GAP_MS)).await;
    }
    if let Err(e) = fleet.replace_machine(&world, n) {
        println!("cannot replace {}: {e}", daemon.name);
    }
    daemon.is_stopping.set(false);
}
