//! Orders of promotions that are held up on their way, and faults around them.

use std::cell::Cell;
use std::rc::Rc;

use base::Ms;
use world::{Group, PromotionRequest, World};

use super::faults::relaunch;
use super::fleet::Fleet;
use super::sleep_ms;

/// Range of the time for which an order is held up.
const DELAY_MS: (u64, u64) = (500, 15_000);
/// Range of the time between the starts of two scenarios.
const INTERVAL_MS: (u64, u64) = (1000, 3500);
/// Time within which a change of primary orders a promotion.
const CALL_TIMEOUT_MS: u64 = 4500;
/// Range of the time from the first order to the end of what caused the change.
const CAUSE_MS: (u64, u64) = (100, 4000);
/// Range of the time for which a daemon is frozen or away.
const DAEMON_AWAY_MS: (u64, u64) = (1000, 8000);
/// Range of the time for which an ordered member is down or unresponsive.
const MEMBER_AWAY_MS: (u64, u64) = (1000, 4000);
/// Time for which faults of a member last beyond the arrival of the order; longer than the promotion
/// takes.
const EFFECT_MS: u64 = 3300;
/// Range of the delay of a slow answer of the promotion API.
const SLOW_ANSWER_MS: (u64, u64) = (50, 3000);
/// Delay of an answer that no daemon waits for.
const NO_ANSWER_MS: u64 = 60_000;
/// Range of the time for which the promotion API is silent.
const SILENCE_MS: (u64, u64) = (500, 6000);
/// Range of the time between two silences.
const SILENCE_INTERVAL_MS: (u64, u64) = (1000, 6000);
/// Kind of the objects in the store that daemons lock changes of primary with.
const LOCK_KIND: &str = "duties";
/// Interval between two checks for an order.
const POLL_MS: u64 = 5;

/// What starts a change of primary.
#[derive(Clone, Copy)]
enum Cause {
    Draining,
    /// The primary crashes, and returns once the change has ordered a promotion.
    Crash,
    Unresponsive,
}

/// What happens to the ordered member once the order has been called.
#[derive(Clone, Copy)]
enum MemberFault {
    None,
    /// It is down for a time, and gets a new identifier.
    Crash,
    /// It receives no commits until the order takes effect.
    NotReceiving,
    /// It reaches no other member until the order takes effect.
    Partitioned,
    Unresponsive,
}

/// What happens to a daemon once the order has been called.
#[derive(Clone, Copy)]
enum DaemonFault {
    None,
    Kill,
    Freeze,
}

/// Change of primary whose first order is held up.
#[derive(Clone, Copy)]
struct Scenario {
    cause: Cause,
    delay_ms: u64,
    /// Index of the only daemon whose orders are held up; `None` for all.
    held_daemon: Option<usize>,
    /// Whether only the first order is held up; otherwise, all until the cause ends.
    first_only: bool,
    cause_ms: u64,
    member_fault: MemberFault,
    member_ms: u64,
    daemon_fault: DaemonFault,
    /// Whether the daemon fault hits the last writer of a lock and not the sender of the order.
    hits_writer: bool,
    daemon_ms: u64,
    /// Delay of the answers of the promotion API.
    answer_ms: u64,
}

/// Injects scenarios, and counts those that have not ended.
pub struct LateOrders {
    world: Rc<World>,
    fleet: Rc<Fleet>,
    active: Cell<usize>,
}

impl Scenario {
    fn draw(rng: &mut fastrand::Rng, daemon_count: usize) -> Scenario {
        let cause = match rng.u8(..5) {
            0 | 1 => Cause::Draining,
            2 | 3 => Cause::Crash,
            _ => Cause::Unresponsive,
        };
        let member_fault = match rng.u8(..6) {
            0 => MemberFault::None,
            1 => MemberFault::Crash,
            2 | 3 => MemberFault::NotReceiving,
            4 => MemberFault::Partitioned,
            _ => MemberFault::Unresponsive,
        };
        let daemon_fault = match rng.u8(..4) {
            0 | 1 => DaemonFault::None,
            2 => DaemonFault::Kill,
            _ => DaemonFault::Freeze,
        };
        let slow_ms = rng.u64(SLOW_ANSWER_MS.0..SLOW_ANSWER_MS.1);
        Scenario {
            cause,
            delay_ms: rng.u64(DELAY_MS.0..DELAY_MS.1),
            held_daemon: (rng.u8(..4) == 0).then(|| rng.usize(..daemon_count)),
            first_only: rng.u8(..4) != 0,
            cause_ms: rng.u64(CAUSE_MS.0..CAUSE_MS.1),
            member_fault,
            member_ms: rng.u64(MEMBER_AWAY_MS.0..MEMBER_AWAY_MS.1),
            daemon_fault,
            hits_writer: rng.bool(),
            daemon_ms: rng.u64(DAEMON_AWAY_MS.0..DAEMON_AWAY_MS.1),
            answer_ms: match rng.u8(..6) {
                0 => slow_ms,
                1 => NO_ANSWER_MS,
                _ => 0,
            },
        }
    }
}

impl LateOrders {
    pub fn new(world: &Rc<World>, fleet: &Rc<Fleet>) -> Rc<LateOrders> {
        Rc::new(LateOrders {
            world: world.clone(),
            fleet: fleet.clone(),
            active: Cell::new(0),
        })
    }

    /// Starts scenarios for `total_ms`. The draws do not depend on how the scenarios go.
    pub async fn inject(self: Rc<Self>, mut rng: fastrand::Rng, total_ms: u64) {
        let deadline = Ms::now().plus(total_ms);
        while deadline.left() > 0 {
            let group = self.world.groups[rng.usize(..self.world.groups.len())].clone();
            let scenario = Scenario::draw(&mut rng, self.fleet.daemons.len());
            self.active.set(self.active.get() + 1);
            let late_orders = self.clone();
            monoio::spawn(async move {
                late_orders.clone().run(group, scenario).await;
                late_orders.active.set(late_orders.active.get() - 1);
            });
            sleep_ms(rng.u64(INTERVAL_MS.0..INTERVAL_MS.1)).await;
        }
    }

    /// Lets the promotion API be silent from time to time, for `total_ms`.
    pub async fn silence(self: Rc<Self>, mut rng: fastrand::Rng, total_ms: u64) {
        let deadline = Ms::now().plus(total_ms);
        while deadline.left() > 0 {
            sleep_ms(rng.u64(SILENCE_INTERVAL_MS.0..SILENCE_INTERVAL_MS.1)).await;
            self.world.orders_silent.set(true);
            sleep_ms(rng.u64(SILENCE_MS.0..SILENCE_MS.1)).await;
            self.world.orders_silent.set(false);
        }
    }

    /// Waits until all scenarios have ended and every order has arrived.
    pub async fn settle(&self) {
        let calls = &self.world.order_calls;
        let is_held = || calls.borrow().iter().any(|c| c.arrived_at.get().is_none());
        while self.active.get() > 0 || is_held() {
            sleep_ms(POLL_MS).await;
        }
    }

    /// Runs a scenario to its end: the order has arrived, and its faults are over.
    async fn run(self: Rc<Self>, group: Rc<Group>, scenario: Scenario) {
        let primary = group.primary.get();
        let seen = self.world.order_calls.borrow().len();
        self.set_delays(&scenario, scenario.delay_ms);
        match scenario.cause {
            Cause::Draining => group.set_draining(primary, true),
            Cause::Crash => group.crash(primary),
            Cause::Unresponsive => group.members[primary].unresponsive.set(true),
        }
        let call = self.await_call(&group, seen).await;
        if scenario.first_only {
            self.set_delays(&scenario, 0);
        }
        let faults = call.clone().map(|call| {
            let (faults, group) = (self.clone(), group.clone());
            let member_fault = disturb_member(group, scenario, call.clone());
            monoio::spawn(async move {
                let member_fault = monoio::spawn(member_fault);
                faults.disturb_daemon(&scenario, &call).await;
                member_fault.await;
            })
        });
        sleep_ms(scenario.cause_ms).await;
        match scenario.cause {
            Cause::Draining => group.set_draining(primary, false),
            Cause::Crash => group.restart(primary),
            Cause::Unresponsive => group.members[primary].unresponsive.set(false),
        }
        self.set_delays(&scenario, 0);
        if let Some(faults) = faults {
            faults.await;
        }
    }

    /// Sets how long the orders of the scenario's daemons are held up, and the answers to them.
    fn set_delays(&self, scenario: &Scenario, delay_ms: u64) {
        let world = &self.world;
        let answer_ms = if delay_ms > 0 { scenario.answer_ms } else { 0 };
        world.order_answer_delay_ms.set(answer_ms);
        let Some(n) = scenario.held_daemon else {
            world.order_delay_ms.set(delay_ms);
            return;
        };
        let name = self.fleet.daemons[n].vm.borrow().clone();
        world.order_delays.borrow_mut().insert(name, delay_ms);
    }

    /// Waits for the next order for a group after the first `seen` calls; `None` if it takes too long.
    async fn await_call(&self, group: &Group, seen: usize) -> Option<Rc<PromotionRequest>> {
        let until = Ms::now().plus(CALL_TIMEOUT_MS);
        loop {
            let calls = &self.world.order_calls;
            let call = calls.borrow()[seen..]
                .iter()
                .find(|c| c.group == group.name)
                .cloned();
            if call.is_some() || until.left() == 0 {
                return call;
            }
            sleep_ms(POLL_MS).await;
        }
    }

    /// Kills or freezes the sender of the order, or the last writer of a lock, for a time.
    async fn disturb_daemon(&self, scenario: &Scenario, call: &PromotionRequest) {
        let writer = self.world.store.last_writer(LOCK_KIND);
        let writer = writer.filter(|_| scenario.hits_writer);
        let name = writer.unwrap_or_else(|| call.holder.clone());
        let daemons = &self.fleet.daemons;
        let Some(n) = daemons.iter().position(|d| *d.vm.borrow() == name) else {
            return;
        };
        match scenario.daemon_fault {
            DaemonFault::None => {}
            DaemonFault::Kill => {
                daemons[n].disrupt(crate::cluster::Process::kill);
                sleep_ms(scenario.daemon_ms).await;
                relaunch(&self.fleet, n);
            }
            DaemonFault::Freeze => {
                daemons[n].disrupt(|p| p.suspend());
                sleep_ms(scenario.daemon_ms).await;
                daemons[n].with_process(|p| p.resume());
            }
        }
    }
}

/// Lets the fault happen to the ordered member.
async fn disturb_member(group: Rc<Group>, scenario: Scenario, call: Rc<PromotionRequest>) {
    let mut members = group.members.iter();
    let Some(i) = members.position(|m| *m.id.borrow() == call.member) else {
        return;
    };
    let member = &group.members[i];
    match scenario.member_fault {
        MemberFault::None => {}
        MemberFault::Crash => {
            group.crash(i);
            sleep_ms(scenario.member_ms).await;
            group.restart(i);
        }
        MemberFault::NotReceiving => {
            member.receive_paused.set(true);
            await_effect(&call).await;
            member.receive_paused.set(false);
        }
        MemberFault::Partitioned => {
            let others = (0..group.members.len()).filter(|other| *other != i);
            member.unreachable_members.borrow_mut().extend(others);
            await_effect(&call).await;
            member.unreachable_members.borrow_mut().clear();
        }
        MemberFault::Unresponsive => {
            member.unresponsive.set(true);
            sleep_ms(scenario.member_ms).await;
            member.unresponsive.set(false);
        }
    }
}

/// Waits until an order has arrived, and for the time that it takes.
async fn await_effect(call: &PromotionRequest) {
    while call.arrived_at.get().is_none() {
        sleep_ms(POLL_MS).await;
    }
    sleep_ms(EFFECT_MS).await;
}
