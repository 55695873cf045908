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

/// Share of a stated age that is left for running the read itself, in ms.
const AGE_MARGIN_MS: u64 = 20;
/// What must hold for a read on a replica before and after it runs.
#[derive(Clone, Copy)]
pub(super) struct FreshnessPrecondition {
    /// Position that the replica contained before the read.
    pub floor: Pos,
    /// What the age of the data is measured from.
    pub sample: Option<PositionSample>,
    /// Term of the replica before the read; its history must not have changed since.
    pub term: u64,
}

impl FreshnessPrecondition {
    /// For batches that need no precondition, since a majority confirms them.
    pub const NONE: FreshnessPrecondition = FreshnessPrecondition {
        floor: Pos::ZERO,
        sample: None,
        term: 0,
    };
}

impl Daemon {
    /// Finds what a replica must contain, and waits a little for it.
    pub(super) async fn check_freshness(
        self: &Rc<Self>,
        run: &RunRequest,
        place: &RunContext,
        taken: &mut PooledConn,
    ) -> Result<FreshnessPrecondition, Reason> {
        if run.primary {
            return Ok(FreshnessPrecondition::NONE);
        }
        let group = &place.group;
        let known = place.member.probe.report();
        if let Some(max_age) = run.max_age_ms {
            return self.check_age(place, taken, max_age).await;
        }
        let (floor, sample) = if run.fresh {
            let sample = self
                .sample_primary(group, place.begin, place.until)
                .await
                .ok_or(Reason::NoPrimary)?;
            (sample.pos.max(run.need), Some(sample))
        } else {
            (run.need, None)
        };
        // Until a member holds an entry of its own term, its log may end in entries that no
        // majority holds, so it serves nothing.
        let passed = |r: &MemberReport| r.last >= floor && r.last.term == r.term;
        if let Some(report) = known.filter(passed) {
            return Ok(FreshnessPrecondition {
                floor,
                sample,
                term: report.term,
            });
        }
        let report = self.ask_replica(place, taken, floor).await?;
        if passed(&report) {
            Ok(FreshnessPrecondition {
                floor,
                sample,
                term: report.term,
            })
        } else {
            Err(Reason::Behind)
        }
    }

    /// Waits a little for the replica to reach a position; returns what it reports then.
    async fn ask_replica(
        &self,
        place: &RunContext,
        taken: &mut PooledConn,
        floor: Pos,
    ) -> Result<MemberReport, Reason> {
        let sql =
            (self.member_control.wait)(floor, self.settings.timing.lag_wait_ms, u64::MAX >> 1);
        let asked = Ms::now();
        let row = taken.conn().query_row(&sql).await.map_err(|_| {
            taken.conn().status = b'?';
            Reason::NoHome
        })?;
        let report = (self.member_control.parse)(&row, asked).ok_or(Reason::NoHome)?;
        place.group.record_report(&place.member, report.clone());
        Ok(report)
    }

    /// Proves that a replica's data are no older than a stated age.
    async fn check_age(
        self: &Rc<Self>,
        place: &RunContext,
        taken: &mut PooledConn,
        max_age: u64,
    ) -> Result<FreshnessPrecondition, Reason> {
        let group = &place.group;
        self.refresh_samples(group, max_age, place.until);
        let young = |m: &PositionSample| m.asked.elapsed() + AGE_MARGIN_MS <= max_age;
        let proof = |r: &MemberReport| {
            let sample = group.samples.newest_contained(r.last).filter(young)?;
            let sound = r.last.term == r.term && sample.term == r.term;
            sound.then_some(FreshnessPrecondition {
                floor: sample.pos,
                sample: Some(sample),
                term: r.term,
            })
        };
        if let Some(proof) = place.member.probe.report().as_ref().and_then(proof) {
            return Ok(proof);
        }
        // The last report may be old, and so may the samples.
        if !group.samples.newest().is_some_and(|m| young(&m)) {
            self.sample_primary(group, place.begin, place.until)
                .await
                .ok_or(Reason::Stale)?;
        }
        let floor = group.samples.newest().map_or(Pos::ZERO, |m| m.pos);
        let report = self.ask_replica(place, taken, floor).await?;
        proof(&report).ok_or(Reason::Behind)
    }

    /// Asks the primary for its position in the background when the newest sample grows old.
    fn refresh_samples(self: &Rc<Self>, group: &Rc<GroupState>, max_age: u64, until: Ms) {
        let period = self.settings.timing.mark_ms.min(max_age / 4);
        let fresh = group
            .samples
            .newest()
            .is_some_and(|m| m.asked.elapsed() < period);
        if fresh || group.samples.fetching.replace(true) {
            return;
        }
        let (daemon, group) = (self.clone(), group.clone());
        monoio::spawn(async move {
            daemon.sample_primary(&group, Ms::now(), until).await;
            group.samples.fetching.set(false);
        });
    }
}
