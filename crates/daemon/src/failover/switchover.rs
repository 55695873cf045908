//! Switchover: replaces a primary whose VM is marked as leaving. Work for it is paused meanwhile,
//! so that callers see a short delay instead of errors.

use std::rc::Rc;

use base::{Event, Ms, emit};
use group::ProbeOutcome;
use schema::{OrderResponse, SwitchoverRequest};

use crate::cluster::{GroupState, MemberState};
use crate::failover::evaluate::ChangeTrigger;
use crate::join::{join_within, sleep};
use crate::state::Daemon;

/// Time for running statements and open transactions to end, in ms; the change goes on without
/// them.
const DRAIN_TIMEOUT_MS: u64 = 1500;
/// Time for the change itself, during which new work stays paused after the drain, in ms.
const CHANGE_TIMEOUT_MS: u64 = 500;
/// Time for a replica to catch up with the primary, in ms.
const CATCH_UP_TIMEOUT_MS: u64 = 500;
/// Poll interval while work drains, in ms.
const POLL_INTERVAL_MS: u64 = 2;

impl Daemon {
    /// Starts a switchover of every group whose primary's VM leaves and whose primary has this
    /// daemon as its first-ranked owner.
    pub fn switch_over_leaving(self: &Rc<Self>) {
        let groups: Vec<_> = self.groups.borrow().values().cloned().collect();
        for group in groups {
            let Some((_, primary)) = group.primary() else {
                continue;
            };
            let Some(member) = group.member(&primary).cloned() else {
                continue;
            };
            let ranks_first = self
                .membership
                .owner_ranking(&member.config)
                .first()
                .is_some_and(|n| *n == self.membership.own_name);
            if !self.membership.is_leaving(&primary)
                || !ranks_first
                || group.change_running.replace(true)
            {
                continue;
            }
            let daemon = self.clone();
            monoio::spawn(async move {
                daemon.run_switchover(&group, &member).await;
                for member in &group.members {
                    member.control.close();
                }
                group.change_running.set(false);
            });
        }
    }

    /// Pauses the primary at its owners, lets a replica catch up, and changes the primary; returns
    /// whether that succeeded.
    async fn run_switchover(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        primary: &Rc<MemberState>,
    ) -> bool {
        let started_at = Ms::now();
        if !self.replica_can_catch_up(group, primary).await {
            return false;
        }
        let request = SwitchoverRequest {
            group: group.name.clone(),
            left_ms: DRAIN_TIMEOUT_MS,
        };
        let owner_count = usize::try_from(self.settings.limits.homes).unwrap_or(usize::MAX);
        let calls = self
            .membership
            .owner_ranking(&primary.config)
            .into_iter()
            .take(owner_count)
            .map(|owner| {
                let (daemon, request) = (self.clone(), request.clone());
                async move { daemon.request_pause(&owner, request).await }
            });
        join_within(
            calls.collect(),
            DRAIN_TIMEOUT_MS + CHANGE_TIMEOUT_MS,
            |_: &[()]| false,
        )
        .await;
        if let ProbeOutcome::Report(report) = self.probe(group, primary, CHANGE_TIMEOUT_MS).await {
            self.wait_for_replica(group, primary, report.last).await;
        }
        let probes = self.probe_all(group).await;
        let trigger = ChangeTrigger {
            reason: "planned: its VM is leaving",
            silent_ms: 0,
            started_at,
            planned: true,
        };
        self.change_primary(group, &probes, trigger).await
    }

    /// Whether a replica that can be promoted catches up in time, so that the pause will be short.
    async fn replica_can_catch_up(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        primary: &Rc<MemberState>,
    ) -> bool {
        let ProbeOutcome::Report(report) = self.probe(group, primary, CHANGE_TIMEOUT_MS).await
        else {
            return false;
        };
        self.wait_for_replica(group, primary, report.last).await
    }

    /// Waits until any replica whose VM is not leaving reaches the position; returns whether one
    /// did in time.
    async fn wait_for_replica(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        primary: &Rc<MemberState>,
        pos: schema::Pos,
    ) -> bool {
        let sql = (self.member_control.wait)(pos, CATCH_UP_TIMEOUT_MS, u64::MAX >> 1);
        let can_be_promoted = |m: &&Rc<MemberState>| {
            !Rc::ptr_eq(m, primary) && !self.membership.is_leaving(&m.config.name)
        };
        let calls = group.members.iter().filter(can_be_promoted).map(|member| {
            let (daemon, group, member, sql) =
                (self.clone(), group.clone(), member.clone(), sql.clone());
            async move {
                daemon
                    .run_control(&group, &member, &sql, CATCH_UP_TIMEOUT_MS * 2)
                    .await
                    .is_ok_and(|r| r.last >= pos)
            }
        });
        let caught_up = join_within(calls.collect(), CATCH_UP_TIMEOUT_MS * 2, |results| {
            results.contains(&true)
        })
        .await;
        caught_up.contains(&true)
    }

    /// Requests one owner of the primary to pause new work for it, and waits for the drain.
    async fn request_pause(self: &Rc<Self>, owner: &str, request: SwitchoverRequest) {
        if *owner == *self.membership.own_name {
            self.pause_primary(&request).await;
            return;
        }
        let Some(addr) = self.membership.daemon_addr(owner) else {
            return;
        };
        let timeout_ms = request.left_ms + CHANGE_TIMEOUT_MS;
        let _: Result<OrderResponse, _> = self
            .peers
            .call(addr, "/v1/pause", &request, timeout_ms)
            .await;
    }

    /// Pauses new work for a group's primary at this daemon; returns once running work has ended,
    /// or after `left_ms` of the request. The pause ends `CHANGE_TIMEOUT_MS` later.
    pub async fn pause_primary(self: &Rc<Self>, request: &SwitchoverRequest) -> OrderResponse {
        let Some(group) = self.group(&request.group) else {
            return OrderResponse {
                ok: false,
                text: "no such group".into(),
            };
        };
        let Some(member) = group.primary().and_then(|(_, l)| group.member(&l).cloned()) else {
            return OrderResponse {
                ok: false,
                text: "no primary".into(),
            };
        };
        let deadline = Ms::now().plus(request.left_ms);
        group.paused_until.set(deadline.plus(CHANGE_TIMEOUT_MS));
        let busy_count = || {
            member.admission.running()
                + self
                    .pinned
                    .count_on_member(&group.name, &member.config.name)
        };
        while busy_count() > 0 && deadline.left() > 0 {
            sleep(POLL_INTERVAL_MS).await;
        }
        emit(
            Event::MemberLeaving,
            &[
                ("group", &group.name),
                ("member", &member.config.name),
                ("busy", &busy_count()),
            ],
        );
        group.paused_until.set(Ms::now().plus(CHANGE_TIMEOUT_MS));
        OrderResponse {
            ok: busy_count() == 0,
            text: "paused".into(),
        }
    }
}
