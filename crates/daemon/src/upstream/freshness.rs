//! Proofs that a replica's data satisfy a read.

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
    pub mark: Option<PositionSample>,
    /// Term of the replica before the read; its history must not have changed since.
    pub term: u64,
}

impl FreshnessPrecondition {
    /// For batches that need no proof, since a majority confirms them.
    pub const NONE: FreshnessPrecondition = FreshnessPrecondition {
        floor: Pos::ZERO,
        mark: None,
        term: 0,
    };
}

impl Daemon {
    /// Finds what a replica must contain, and waits a little for it.
    pub(super) async fn prove(
        self: &Rc<Self>,
        run: &RunRequest,
        place: &RunContext,
        taken: &mut PooledConn,
    ) -> Result<FreshnessPrecondition, Reason> {
        if run.primary {
            return Ok(FreshnessPrecondition::NONE);
        }
        let group = &place.group;
        let known = place.member.watch.report();
        if let Some(max_age) = run.max_age_ms {
            return self.prove_age(place, taken, max_age).await;
        }
        let (floor, mark) = if run.fresh {
            let mark = self
                .fetch_mark(group, place.begin, place.until)
                .await
                .ok_or(Reason::NoPrimary)?;
            (mark.pos.max(run.need), Some(mark))
        } else {
            (run.need, None)
        };
        // Until a member holds an entry of its own term, its log may end in entries that no
        // majority holds, so it serves nothing.
        let passed = |r: &MemberReport| r.last >= floor && r.last.term == r.term;
        if let Some(report) = known.filter(passed) {
            return Ok(FreshnessPrecondition {
                floor,
                mark,
                term: report.term,
            });
        }
        let report = self.ask_replica(place, taken, floor).await?;
        if passed(&report) {
            Ok(FreshnessPrecondition {
                floor,
                mark,
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
        place.group.note(&place.member, report.clone());
        Ok(report)
    }

    /// Proves that a replica's data are no older than a stated age.
    async fn prove_age(
        self: &Rc<Self>,
        place: &RunContext,
        taken: &mut PooledConn,
        max_age: u64,
    ) -> Result<FreshnessPrecondition, Reason> {
        let group = &place.group;
        self.refresh_marks(group, max_age, place.until);
        let young = |m: &PositionSample| m.asked.elapsed() + AGE_MARGIN_MS <= max_age;
        let proof = |r: &MemberReport| {
            let mark = group.marks.passed(r.last).filter(young)?;
            let sound = r.last.term == r.term && mark.term == r.term;
            sound.then_some(FreshnessPrecondition {
                floor: mark.pos,
                mark: Some(mark),
                term: r.term,
            })
        };
        if let Some(proof) = place.member.watch.report().as_ref().and_then(proof) {
            return Ok(proof);
        }
        // The last report may be old, and so may the marks.
        if !group.marks.newest().is_some_and(|m| young(&m)) {
            self.fetch_mark(group, place.begin, place.until)
                .await
                .ok_or(Reason::Stale)?;
        }
        let floor = group.marks.newest().map_or(Pos::ZERO, |m| m.pos);
        let report = self.ask_replica(place, taken, floor).await?;
        proof(&report).ok_or(Reason::Behind)
    }

    /// Asks the primary for its position in the background when the newest mark grows old.
    fn refresh_marks(self: &Rc<Self>, group: &Rc<GroupState>, max_age: u64, until: Ms) {
        let period = self.settings.timing.mark_ms.min(max_age / 4);
        let fresh = group
            .marks
            .newest()
            .is_some_and(|m| m.asked.elapsed() < period);
        if fresh || group.marks.fetching.replace(true) {
            return;
        }
        let (daemon, group) = (self.clone(), group.clone());
        monoio::spawn(async move {
            daemon.fetch_mark(&group, Ms::now(), until).await;
            group.marks.fetching.set(false);
        });
    }
}
