//! Freshness preconditions of reads on replicas.

use std::rc::Rc;

use base::Ms;
use group::MemberReport;
use schema::{Pos, Reason, RunRequest};

use crate::cluster::GroupState;
use crate::state::Daemon;
use crate::upstream::pool::PooledConn;
use crate::upstream::position_samples::PositionSample;
use crate::upstream::run::RunContext;

/// Part of the permitted data age that is reserved for running the read itself, in ms.
const AGE_MARGIN_MS: u64 = 20;

/// Freshness precondition of a read on a replica, checked before and after it runs.
#[derive(Clone, Copy)]
pub(super) struct FreshnessPrecondition {
    /// Position that the replica has to have reached.
    pub min_pos: Pos,
    /// Sample from which the age of the data is measured; `None` if the age is not known.
    pub sample: Option<PositionSample>,
    /// Term of the replica before the read; a different term afterwards may mean that its log was
    /// truncated.
    pub term: u64,
}

impl FreshnessPrecondition {
    /// No precondition, for batches on the primary, whose answers are confirmed by a majority.
    pub const NONE: FreshnessPrecondition = FreshnessPrecondition {
        min_pos: Pos::ZERO,
        sample: None,
        term: 0,
    };
}

impl Daemon {
    /// Determines the precondition of a request and waits for the replica to meet it, up to
    /// `lag_wait_ms`. A request for the primary has none.
    ///
    /// # Errors
    /// `NoPrimary` or, for a read with a maximum age, `Stale` if the primary could not be sampled;
    /// `Behind` if the replica does not meet the precondition in time; `NoHome` if it gave no
    /// report.
    pub(super) async fn check_freshness(
        self: &Rc<Self>,
        request: &RunRequest,
        ctx: &RunContext,
        pooled: &mut PooledConn,
    ) -> Result<FreshnessPrecondition, Reason> {
        if request.primary {
            return Ok(FreshnessPrecondition::NONE);
        }
        let group = &ctx.group;
        let last_report = ctx.member.probe.report();
        if let Some(max_age_ms) = request.max_age_ms {
            return self.check_age(ctx, pooled, max_age_ms).await;
        }
        let (min_pos, sample) = if request.fresh {
            let sample = self
                .sample_primary(group, ctx.received_at, ctx.deadline)
                .await
                .ok_or(Reason::NoPrimary)?;
            (sample.pos.max(request.need), Some(sample))
        } else {
            (request.need, None)
        };
        // Until a replica holds an entry of its own term, its log may end in entries that no
        // majority holds, so it must not serve reads.
        let is_fresh = |r: &MemberReport| r.last >= min_pos && r.last.term == r.term;
        if let Some(report) = last_report.filter(is_fresh) {
            return Ok(FreshnessPrecondition {
                min_pos,
                sample,
                term: report.term,
            });
        }
        let report = self.await_position(ctx, pooled, min_pos).await?;
        if is_fresh(&report) {
            Ok(FreshnessPrecondition {
                min_pos,
                sample,
                term: report.term,
            })
        } else {
            Err(Reason::Behind)
        }
    }

    /// Waits up to `lag_wait_ms` for the replica to reach a position; returns its report.
    async fn await_position(
        &self,
        ctx: &RunContext,
        pooled: &mut PooledConn,
        min_pos: Pos,
    ) -> Result<MemberReport, Reason> {
        let sql =
            (self.member_control.wait)(min_pos, self.settings.timing.lag_wait_ms, u64::MAX >> 1);
        let requested_at = Ms::now();
        let row = pooled.conn().query_row(&sql).await.map_err(|_| {
            pooled.conn().status = b'?';
            Reason::NoHome
        })?;
        let report = (self.member_control.parse)(&row, requested_at).ok_or(Reason::NoHome)?;
        ctx.group.record_report(&ctx.member, report.clone());
        Ok(report)
    }

    /// Determines the precondition of a read with a maximum age, and checks that the replica meets
    /// it, after waiting up to `lag_wait_ms`.
    async fn check_age(
        self: &Rc<Self>,
        ctx: &RunContext,
        pooled: &mut PooledConn,
        max_age_ms: u64,
    ) -> Result<FreshnessPrecondition, Reason> {
        let group = &ctx.group;
        self.refresh_samples(group, max_age_ms, ctx.deadline);
        let is_recent = |s: &PositionSample| s.requested_at.elapsed() + AGE_MARGIN_MS <= max_age_ms;
        let precondition = |r: &MemberReport| {
            let sample = group.samples.newest_contained(r.last).filter(is_recent)?;
            let same_term = r.last.term == r.term && sample.term == r.term;
            same_term.then_some(FreshnessPrecondition {
                min_pos: sample.pos,
                sample: Some(sample),
                term: r.term,
            })
        };
        if let Some(precondition) = ctx.member.probe.report().as_ref().and_then(precondition) {
            return Ok(precondition);
        }
        // The check may have failed because the report or the samples are outdated, so both are
        // renewed.
        if !group.samples.newest().is_some_and(|s| is_recent(&s)) {
            self.sample_primary(group, ctx.received_at, ctx.deadline)
                .await
                .ok_or(Reason::Stale)?;
        }
        let min_pos = group.samples.newest().map_or(Pos::ZERO, |s| s.pos);
        let report = self.await_position(ctx, pooled, min_pos).await?;
        precondition(&report).ok_or(Reason::Behind)
    }

    /// Samples the primary in the background once the newest sample is older than the sample
    /// interval: `mark_ms`, or a quarter of `max_age_ms` if that is less.
    fn refresh_samples(self: &Rc<Self>, group: &Rc<GroupState>, max_age_ms: u64, deadline: Ms) {
        let max_sample_age_ms = self.settings.timing.mark_ms.min(max_age_ms / 4);
        let is_recent = group
            .samples
            .newest()
            .is_some_and(|s| s.requested_at.elapsed() < max_sample_age_ms);
        if is_recent || group.samples.fetching.replace(true) {
            return;
        }
        let (daemon, group) = (self.clone(), group.clone());
        monoio::spawn(async move {
            daemon.sample_primary(&group, Ms::now(), deadline).await;
            group.samples.fetching.set(false);
        });
    }
}
