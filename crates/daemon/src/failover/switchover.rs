//! A switchover: the primary's VM leaves, and another member takes over in milliseconds.

use std::rc::Rc;

use base::{Event, Ms, emit};
use group::ProbeOutcome;
use schema::{OrderResponse, SwitchoverRequest};

use crate::cluster::{GroupState, MemberState};
use crate::failover::evaluate::ChangeTrigger;
use crate::join::{join_within, sleep};
use crate::state::Daemon;

/// Time that running statements and open transactions have to end, in ms.
const QUIET_MS: u64 = 1500;
/// Time that new work is held back beyond that, in ms.
const CHANGE_MS: u64 = 500;
/// Time for a replica to catch up once the primary is quiet, in ms.
const CATCH_UP_MS: u64 = 500;
/// Pause between two looks, in ms.
const STEP_MS: u64 = 2;

impl Daemon {
    /// Switches over every group whose primary's VM leaves and whose owners this daemon leads.
    pub fn switch_over_leaving(self: &Rc<Self>) {
        let groups: Vec<_> = self.groups.borrow().values().cloned().collect();
        for group in groups {
            let Some((_, leader)) = group.leader() else {
                continue;
            };
            let Some(member) = group.member(&leader).cloned() else {
                continue;
            };
            let first = self
                .membership
                .ranking(&member.config)
                .first()
                .is_some_and(|n| *n == self.membership.me);
            if !self.membership.is_leaving(&leader) || !first || group.changing.replace(true) {
                continue;
            }
            let daemon = self.clone();
            monoio::spawn(async move {
                daemon.hand_over(&group, &member).await;
                for member in &group.members {
                    member.control.close();
                }
                group.changing.set(false);
            });
        }
    }

    async fn hand_over(self: &Rc<Self>, group: &Rc<GroupState>, primary: &Rc<MemberState>) -> bool {
        let begin = Ms::now();
        if !self.replica_is_near(group, primary).await {
            return false;
        }
        let order = SwitchoverRequest {
            group: group.name.clone(),
            left_ms: QUIET_MS,
        };
        let owners = usize::try_from(self.settings.limits.homes).unwrap_or(usize::MAX);
        let calls = self
            .membership
            .ranking(&primary.config)
            .into_iter()
            .take(owners)
            .map(|owner| {
                let (daemon, order) = (self.clone(), order.clone());
                async move { daemon.request_pause(&owner, order).await }
            });
        join_within(calls.collect(), QUIET_MS + CHANGE_MS, |_: &[()]| false).await;
        if let ProbeOutcome::Report(report) = self.probe(group, primary, CHANGE_MS).await {
            self.wait_for_replica(group, primary, report.last).await;
        }
        let seen = self.probe_all(group).await;
        let evidence = ChangeTrigger {
            why: "planned: its VM is leaving",
            silent_ms: 0,
            begin,
            planned: true,
        };
        self.change_primary(group, &seen, evidence).await
    }

    /// Whether a replica that stays has almost caught up, so that a pause would be short.
    async fn replica_is_near(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        primary: &Rc<MemberState>,
    ) -> bool {
        let ProbeOutcome::Report(report) = self.probe(group, primary, CHANGE_MS).await else {
            return false;
        };
        self.wait_for_replica(group, primary, report.last).await
    }

    async fn wait_for_replica(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        primary: &Rc<MemberState>,
        pos: schema::Pos,
    ) -> bool {
        let sql = (self.member_control.wait)(pos, CATCH_UP_MS, u64::MAX >> 1);
        let stays = |m: &&Rc<MemberState>| {
            !Rc::ptr_eq(m, primary) && !self.membership.is_leaving(&m.config.name)
        };
        let calls = group.members.iter().filter(stays).map(|member| {
            let (daemon, group, member, sql) =
                (self.clone(), group.clone(), member.clone(), sql.clone());
            async move {
                daemon
                    .control(&group, &member, &sql, CATCH_UP_MS * 2)
                    .await
                    .is_ok_and(|r| r.last >= pos)
            }
        });
        let near = join_within(calls.collect(), CATCH_UP_MS * 2, |done| {
            done.contains(&true)
        })
        .await;
        near.contains(&true)
    }

    async fn request_pause(self: &Rc<Self>, owner: &str, order: SwitchoverRequest) {
        if *owner == *self.membership.me {
            self.pause_primary(&order).await;
            return;
        }
        let Some(addr) = self.membership.daemon(owner) else {
            return;
        };
        let within = order.left_ms + CHANGE_MS;
        let _: Result<OrderResponse, _> = self.peers.call(addr, "/v1/pause", &order, within).await;
    }

    /// Holds back new work for a group's primary, and returns once what runs has ended.
    pub async fn pause_primary(self: &Rc<Self>, order: &SwitchoverRequest) -> OrderResponse {
        let Some(group) = self.group(&order.group) else {
            return OrderResponse {
                ok: false,
                text: "no such group".into(),
            };
        };
        let Some(member) = group.leader().and_then(|(_, l)| group.member(&l).cloned()) else {
            return OrderResponse {
                ok: false,
                text: "no primary".into(),
            };
        };
        let until = Ms::now().plus(order.left_ms);
        group.paused.set(until.plus(CHANGE_MS));
        let busy =
            || member.admission.running() + self.pinned.on_member(&group.name, &member.config.name);
        while busy() > 0 && until.left() > 0 {
            sleep(STEP_MS).await;
        }
        emit(
            Event::MemberLeaving,
            &[
                ("group", &group.name),
                ("member", &member.config.name),
                ("busy", &busy()),
            ],
        );
        group.paused.set(Ms::now().plus(CHANGE_MS));
        OrderResponse {
            ok: busy() == 0,
            text: "paused".into(),
        }
    }
}
