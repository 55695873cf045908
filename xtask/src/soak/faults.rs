//! Random faults, in series and overlapping, brought about from outside the daemons.

use std::rc::Rc;

use base::Ms;
use world::{Outage, World};

use super::fleet::Fleet;
use super::pause;

/// Shortest and longest pause between two faults, in ms.
const GAP_MS: (u64, u64) = (150, 1800);
/// Time in which a primary that will leave is replaced, in ms.
const REPLACE_MS: u64 = 2500;
/// Shortest and longest sleep of a daemon through a change, in ms.
const ASLEEP_MS: (u64, u64) = (1150, 1800);
/// Shortest and longest fault, in ms.
const LENGTH_MS: (u64, u64) = (300, 4500);

/// Brings faults about for a while.
pub async fn inject(world: &Rc<World>, fleet: &Rc<Fleet>, seed: u64, ms: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let until = Ms::now().plus(ms);
    while until.left() > 0 {
        let length = rng.u64(LENGTH_MS.0..LENGTH_MS.1);
        if rng.u8(..10) < 6 {
            member_fault(world, fleet, &mut rng, length);
        } else if rng.bool() {
            store_fault(world, fleet, &mut rng, length);
        } else {
            daemon_fault(fleet, &mut rng, length);
        }
        pause(rng.u64(GAP_MS.0..GAP_MS.1)).await;
    }
}

fn member_fault(world: &Rc<World>, fleet: &Rc<Fleet>, rng: &mut fastrand::Rng, length: u64) {
    let group = world.groups[rng.usize(..world.groups.len())].clone();
    let primary = group.primary.get();
    let i = if rng.bool() {
        primary
    } else {
        rng.usize(..group.members.len())
    };
    let kind = rng.u8(..11);
    let other = (i + 1 + rng.usize(..2)) % group.members.len();
    let n = rng.usize(..fleet.daemons.len());
    let daemon: Box<str> = fleet.daemons[n].name.as_str().into();
    let answers = rng.bool();
    let asleep = rng.u64(ASLEEP_MS.0..ASLEEP_MS.1);
    let fleet = fleet.clone();
    monoio::spawn(async move {
        let member = group.members[i].clone();
        match kind {
            0 => {
                group.crash(i);
                pause(length.max(1000)).await;
                group.revive(i);
            }
            1 => {
                member.dark.set(true);
                pause(length).await;
                member.dark.set(false);
            }
            2 => {
                member.lags.set(true);
                pause(length).await;
                member.lags.set(false);
            }
            3 => {
                member.deaf.set(true);
                pause(length).await;
                member.deaf.set(false);
            }
            4 => {
                member.cut.borrow_mut().insert(daemon.clone(), answers);
                pause(length).await;
                member.cut.borrow_mut().remove(&daemon);
            }
            5 => {
                member.apart.borrow_mut().insert(other);
                pause(length).await;
                member.apart.borrow_mut().remove(&other);
            }
            6 => {
                group.drain(i, true);
                pause(length).await;
                group.drain(i, false);
            }
            // The old primary lives on, and would answer whoever has not heard of the new one.
            7 | 8 => {
                group.drain(primary, true);
                pause(length.max(REPLACE_MS)).await;
                group.drain(primary, false);
            }
            // A daemon that sleeps through the change wakes up with the old primary in mind.
            9 => {
                fleet.daemons[n].hurt(|p| p.suspend());
                group.drain(primary, true);
                pause(asleep).await;
                fleet.daemons[n].with(|p| p.resume());
                pause(REPLACE_MS).await;
                group.drain(primary, false);
            }
            _ => {
                member.slow.set(10);
                pause(length).await;
                member.slow.set(1);
            }
        }
    });
}

fn store_fault(world: &Rc<World>, fleet: &Fleet, rng: &mut fastrand::Rng, length: u64) {
    let one = fleet.daemons[rng.usize(..fleet.daemons.len())]
        .name
        .as_str();
    let whom = if rng.bool() { one } else { "" };
    match rng.u8(..9) {
        0 => world.store.fail(whom, Outage::Busy, length),
        1 => world.store.fail(whom, Outage::Silent, length),
        2 => world.store.fail(whom, Outage::Reset, length),
        3 => world.store.fail(whom, Outage::Lost, length),
        4 => world
            .store
            .fail(whom, Outage::Slow(rng.u64(50..400)), length),
        5 => world.store.compact(),
        _ => world.configure(rng.usize(..20)),
    }
}

fn daemon_fault(fleet: &Rc<Fleet>, rng: &mut fastrand::Rng, length: u64) {
    let n = rng.usize(..fleet.daemons.len());
    let kind = rng.u8(..4);
    let fleet = fleet.clone();
    monoio::spawn(async move {
        let daemon = &fleet.daemons[n];
        match kind {
            0 => daemon.hurt(crate::cluster::Process::kill),
            1 => {
                daemon.hurt(|p| p.suspend());
                pause(length).await;
                daemon.with(|p| p.resume());
                return;
            }
            2 => {
                daemon.with(|p| p.send_signal(libc::SIGHUP));
                return;
            }
            _ => {
                daemon.with(|p| p.terminate());
                pause(4000).await;
            }
        }
        pause(200).await;
        relaunch(&fleet, n);
    });
}

/// Starts a daemon that has ended; a failure shows as a daemon that is never ready.
fn relaunch(fleet: &Fleet, n: usize) {
    if let Err(e) = fleet.launch(&fleet.daemons[n]) {
        println!("{}: {e}", fleet.daemons[n].name);
    }
}

/// Ends all faults.
pub async fn heal(world: &Rc<World>, fleet: &Rc<Fleet>) {
    // The longest fault that was begun has ended by then.
    pause(LENGTH_MS.1 + 500).await;
    for group in &world.groups {
        for (i, member) in group.members.iter().enumerate() {
            group.revive(i);
            member.cut.borrow_mut().clear();
            member.apart.borrow_mut().clear();
        }
    }
    for (n, daemon) in fleet.daemons.iter().enumerate() {
        let mut ended = false;
        daemon.with(|p| ended = p.has_exited());
        if ended {
            relaunch(fleet, n);
        }
    }
}
