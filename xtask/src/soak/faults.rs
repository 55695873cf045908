//! Random faults, in series and overlapping, injected from outside the daemons.

use std::rc::Rc;

use base::Ms;
use world::{Outage, World};

use super::accounts::Accounts;
use super::fleet::Fleet;
use super::sleep_ms;

/// Range of the time between the starts of two faults.
const FAULT_INTERVAL_MS: (u64, u64) = (150, 1800);
/// Time within which a draining primary is replaced.
const SWITCHOVER_MS: u64 = 2500;
/// Range of the time that a daemon is frozen during a switchover.
const FREEZE_MS: (u64, u64) = (1150, 1800);
/// Time that a daemon gets to end after a stop, in ms; its settings say the same.
pub(super) const GRACE_MS: u64 = 4000;
/// Range of the duration of a fault, except for those of fixed duration and switchovers.
const FAULT_DURATION_MS: (u64, u64) = (300, 4500);

/// Injects faults for `total_ms`; the last ones may still be active when this returns. With client
/// accounts, about one in four changes a key or a rate.
pub async fn inject(
    world: &Rc<World>,
    fleet: &Rc<Fleet>,
    accounts: Option<&Rc<Accounts>>,
    rng: &mut fastrand::Rng,
    total_ms: u64,
) {
    let deadline = Ms::now().plus(total_ms);
    while deadline.left() > 0 {
        let duration_ms = rng.u64(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1);
        if let Some(accounts) = accounts
            && rng.u8(..4) == 0
        {
            accounts.change(world, rng);
        } else if rng.u8(..10) < 6 {
            member_fault(world, fleet, rng, duration_ms);
        } else if rng.bool() {
            store_fault(world, fleet, rng, duration_ms);
        } else {
            daemon_fault(fleet, rng, duration_ms);
        }
        sleep_ms(rng.u64(FAULT_INTERVAL_MS.0..FAULT_INTERVAL_MS.1)).await;
    }
}

/// Starts a random fault of a random member, of the primary in at least half of the cases.
fn member_fault(world: &Rc<World>, fleet: &Rc<Fleet>, rng: &mut fastrand::Rng, duration_ms: u64) {
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
    let daemon: Box<str> = fleet.daemons[n].vm.borrow().clone();
    let cut_answers = rng.bool();
    let freeze_ms = rng.u64(FREEZE_MS.0..FREEZE_MS.1);
    let fleet = fleet.clone();
    monoio::spawn(async move {
        let member = group.members[i].clone();
        match kind {
            0 => {
                group.crash(i);
                sleep_ms(duration_ms.max(1000)).await;
                group.restart(i);
            }
            1 => {
                member.unresponsive.set(true);
                sleep_ms(duration_ms).await;
                member.unresponsive.set(false);
            }
            2 => {
                member.apply_paused.set(true);
                sleep_ms(duration_ms).await;
                member.apply_paused.set(false);
            }
            3 => {
                member.receive_paused.set(true);
                sleep_ms(duration_ms).await;
                member.receive_paused.set(false);
            }
            4 => {
                member
                    .blocked_daemons
                    .borrow_mut()
                    .insert(daemon.clone(), cut_answers);
                sleep_ms(duration_ms).await;
                member.blocked_daemons.borrow_mut().remove(&daemon);
            }
            5 => {
                member.unreachable_members.borrow_mut().insert(other);
                sleep_ms(duration_ms).await;
                member.unreachable_members.borrow_mut().remove(&other);
            }
            6 => {
                group.set_draining(i, true);
                sleep_ms(duration_ms).await;
                group.set_draining(i, false);
            }
            // The old primary keeps running and would answer a daemon that does not know the new
            // one.
            7 | 8 => {
                group.set_draining(primary, true);
                sleep_ms(duration_ms.max(SWITCHOVER_MS)).await;
                group.set_draining(primary, false);
            }
            // A daemon that is frozen during the switchover still considers the old primary current
            // when it resumes.
            9 => {
                fleet.daemons[n].disrupt(|p| p.suspend());
                group.set_draining(primary, true);
                sleep_ms(freeze_ms).await;
                fleet.daemons[n].with_process(|p| p.resume());
                sleep_ms(SWITCHOVER_MS).await;
                group.set_draining(primary, false);
            }
            _ => {
                member.slowdown.set(10);
                sleep_ms(duration_ms).await;
                member.slowdown.set(1);
            }
        }
    });
}

/// Starts a random outage of the platform's APIs, compacts the store or changes the configuration.
fn store_fault(world: &Rc<World>, fleet: &Fleet, rng: &mut fastrand::Rng, duration_ms: u64) {
    let vm = fleet.daemons[rng.usize(..fleet.daemons.len())]
        .vm
        .borrow()
        .clone();
    let daemon = &*vm;
    // An empty name stands for all daemons.
    let target = if rng.bool() { daemon } else { "" };
    match rng.u8(..11) {
        0 => world
            .store
            .inject_outage(target, Outage::Unavailable, duration_ms),
        1 => world
            .store
            .inject_outage(target, Outage::Unresponsive, duration_ms),
        2 => world
            .store
            .inject_outage(target, Outage::Reset, duration_ms),
        3 => world
            .store
            .inject_outage(target, Outage::AnswerLost, duration_ms),
        4 => world
            .store
            .inject_outage(target, Outage::Slow(rng.u64(50..400)), duration_ms),
        5 => world.store.compact(),
        6 | 7 => restore_store(world, rng, duration_ms),
        _ => world.configure(rng.usize(..20)),
    }
}

/// Range of the age of the copy from which the store is restored.
const COPY_AGE_MS: (u64, u64) = (100, 4000);
/// Longest time after a restore until members and the operator have written again.
const REWRITE_DELAY_MS: u64 = 1500;

/// Lets the store be away for a moment and come back from a copy.
fn restore_store(world: &Rc<World>, rng: &mut fastrand::Rng, duration_ms: u64) {
    let age_ms = rng.u64(COPY_AGE_MS.0..COPY_AGE_MS.1);
    let delay_ms = rng.u64(..REWRITE_DELAY_MS);
    world
        .store
        .inject_outage("", Outage::Unavailable, duration_ms);
    let world = world.clone();
    monoio::spawn(async move {
        sleep_ms(duration_ms).await;
        world.restore_store(age_ms, delay_ms).await;
    });
}

/// Kills, freezes, stops or sends SIGHUP to a random daemon.
fn daemon_fault(fleet: &Rc<Fleet>, rng: &mut fastrand::Rng, duration_ms: u64) {
    let n = rng.usize(..fleet.daemons.len());
    let kind = rng.u8(..4);
    let fleet = fleet.clone();
    monoio::spawn(async move {
        let daemon = &fleet.daemons[n];
        match kind {
            0 => daemon.disrupt(crate::cluster::Process::kill),
            1 => {
                daemon.disrupt(|p| p.suspend());
                sleep_ms(duration_ms).await;
                daemon.with_process(|p| p.resume());
                return;
            }
            2 => {
                daemon.with_process(|p| p.send_signal(libc::SIGHUP));
                return;
            }
            _ => {
                daemon.with_process(|p| p.terminate());
                sleep_ms(4000).await;
            }
        }
        sleep_ms(200).await;
        relaunch(&fleet, n);
    });
}

/// Stops one daemon after the other and starts it as the build under test; every fourth time one that
/// was replaced goes back to the former build for a while. All are of the build under test after
/// `total_ms`.
pub async fn replace_builds(fleet: Rc<Fleet>, seed: u64, total_ms: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = fleet.daemons.len();
    let step_ms = total_ms / (count as u64 + 1);
    for n in 0..count {
        let due = Ms::now().plus(step_ms);
        replace(&fleet, n, true).await;
        if rng.u8(..4) == 0 {
            let back = rng.usize(..=n);
            replace(&fleet, back, false).await;
            sleep_ms(due.left()).await;
            replace(&fleet, back, true).await;
        }
        sleep_ms(due.left()).await;
    }
}

/// Stops a daemon and starts it as the build under test or as the former one.
async fn replace(fleet: &Rc<Fleet>, n: usize, is_new: bool) {
    let daemon = &fleet.daemons[n];
    daemon.with_process(|p| p.terminate());
    let until = Ms::now().plus(GRACE_MS);
    let mut has_ended = false;
    while !has_ended && until.left() > 0 {
        sleep_ms(20).await;
        daemon.with_process(|p| has_ended = p.has_exited());
    }
    daemon.is_new.set(is_new);
    relaunch(fleet, n);
}

/// Restarts a daemon. A failure is only printed and does not end the run.
pub(super) fn relaunch(fleet: &Fleet, n: usize) {
    if let Err(e) = fleet.launch(&fleet.daemons[n]) {
        println!("cannot restart {}: {e}", fleet.daemons[n].name);
    }
}

/// Waits until all faults have ended, and restarts members and daemons that are down.
pub async fn heal(world: &Rc<World>, fleet: &Rc<Fleet>) {
    // Longer than every injected fault: a restore of the store takes longest.
    sleep_ms(FAULT_DURATION_MS.1 + REWRITE_DELAY_MS + 500).await;
    for group in &world.groups {
        for (i, member) in group.members.iter().enumerate() {
            group.restart(i);
            member.blocked_daemons.borrow_mut().clear();
            member.unreachable_members.borrow_mut().clear();
        }
    }
    for (n, daemon) in fleet.daemons.iter().enumerate() {
        let mut has_ended = false;
        daemon.with_process(|p| has_ended = p.has_exited());
        if has_ended {
            relaunch(fleet, n);
        }
    }
}
