//! Planned stops of daemons in series and at once, beside planned changes of primary.

use std::rc::Rc;

use base::Ms;
use world::World;

use super::faults::{GRACE_MS, relaunch};
use super::fleet::Fleet;
use super::sleep_ms;

/// Range of the time between two rounds of stops, in ms.
const ROUND_INTERVAL_MS: (u64, u64) = (300, 2500);
/// Time for which a primary drains, in ms; it is replaced meanwhile.
const DRAIN_MS: u64 = 2500;
/// Time after which an ended process is started again, in ms.
const RESTART_DELAY_MS: u64 = 200;
/// Interval at which the end of a process is looked for, in ms.
const POLL_INTERVAL_MS: u64 = 20;

/// Stops daemons for `total_ms`; the last stops may still go on when this returns.
pub async fn inject(world: Rc<World>, fleet: Rc<Fleet>, mut rng: fastrand::Rng, total_ms: u64) {
    let deadline = Ms::now().plus(total_ms);
    while deadline.left() > 0 {
        let count = rng.usize(1..=2);
        for n in rng.choose_multiple(0..fleet.daemons.len(), count) {
            monoio::spawn(stop(fleet.clone(), n, rng.fork()));
        }
        let group = rng.usize(..world.groups.len());
        monoio::spawn(drain_primary(world.clone(), group, rng.u64(..GRACE_MS)));
        sleep_ms(rng.u64(ROUND_INTERVAL_MS.0..ROUND_INTERVAL_MS.1)).await;
    }
}

/// Sends SIGTERM, at times more than once or with a SIGHUP, and kills the process once the grace period
/// is over. Does nothing while the process is being stopped already.
async fn stop(fleet: Rc<Fleet>, n: usize, mut rng: fastrand::Rng) {
    let daemon = &fleet.daemons[n];
    if daemon.is_stopping.replace(true) {
        return;
    }
    daemon.with_process(|p| p.terminate());
    let until = Ms::now().plus(GRACE_MS);
    let mut has_ended = false;
    while !has_ended && until.left() > 0 {
        match rng.u8(..200) {
            0 => daemon.with_process(|p| p.terminate()),
            1 => daemon.with_process(|p| p.send_signal(libc::SIGHUP)),
            _ => {}
        }
        sleep_ms(POLL_INTERVAL_MS).await;
        daemon.with_process(|p| has_ended = p.has_exited());
    }
    sleep_ms(RESTART_DELAY_MS).await;
    relaunch(&fleet, n);
    daemon.is_stopping.set(false);
}

/// Lets the primary of a group announce after `delay_ms` that it leaves.
async fn drain_primary(world: Rc<World>, group: usize, delay_ms: u64) {
    sleep_ms(delay_ms).await;
    let group = world.groups[group].clone();
    let primary = group.primary.get();
    group.set_draining(primary, true);
    sleep_ms(DRAIN_MS).await;
    group.set_draining(primary, false);
}
