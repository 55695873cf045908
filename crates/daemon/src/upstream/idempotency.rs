//! Requests with an idempotency key: the key is recorded in the transaction of the effect.
//!
//! Asking again under the same key returns the first outcome instead of a second run, after a lost
//! answer, a death or a change of primary alike, because the record is replicated with the effect.

use std::rc::Rc;

use bytes::BytesMut;
use pg::{BatchResult, frames, put_frame};
use schema::{Batch, ByteBuf, Outcome, Pos, Reason, RunRequest, RunResponse};

use crate::state::Daemon;
use crate::upstream::pool::PooledConn;
use crate::upstream::run::{RunContext, completed, may_commit, refusal};

/// SQLSTATE of a key that is recorded already.
const DUPLICATE: &str = "C23505\0";
/// Longest answer kept with a key, in bytes; of a longer one only the last tag is kept.
const KEPT_MAX: usize = 4096;

fn simple(sql: String) -> Batch {
    Batch {
        simple: true,
        sql: sql.into(),
        body: ByteBuf::new(),
        steps: Vec::new(),
        prepares: Vec::new(),
    }
}

/// Whether a batch is one statement, so that it cannot end the transaction around it.
fn is_single(batch: &Batch) -> bool {
    let single = |sql: &str| !sql.trim().trim_end_matches(';').contains(';');
    single(&batch.sql) && batch.prepares.iter().all(|p| single(&p.sql))
}

fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn has_error(ran: &BatchResult, code: &str) -> bool {
    let holds = |body: &[u8]| body.windows(code.len()).any(|w| w == code.as_bytes());
    frames(&ran.body)
        .iter()
        .any(|f| f.tag == b'E' && holds(f.body()))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let pair = |i: usize| {
        text.get(i..i + 2)
            .and_then(|p| u8::from_str_radix(p, 16).ok())
    };
    (0..text.len()).step_by(2).filter_map(pair).collect()
}

/// What is stored with the key: the answer, or its tag alone when it is long.
fn kept(ran: &BatchResult) -> String {
    if ran.body.len() <= KEPT_MAX {
        return hex(&ran.body);
    }
    let mut tag = BytesMut::new();
    put_frame(&mut tag, b'C', &[ran.tag.as_bytes(), &[0]].concat());
    hex(&tag)
}

impl Daemon {
    /// Runs a batch at most once under its key.
    pub(super) async fn run_idempotent(
        self: &Rc<Self>,
        run: &RunRequest,
        place: &RunContext,
        mut taken: PooledConn,
    ) -> Result<RunResponse, Reason> {
        if !is_single(&run.batch) || may_commit(run) {
            return Err(Reason::Unsupported);
        }
        let key = quote(&run.key);
        let claim = format!("BEGIN; INSERT INTO hollyreach_keys (k, v) VALUES ({key}, '')");
        let (claimed, _) = self
            .step(run, place, &mut taken, simple(claim))
            .await
            .map_err(|_| Reason::KeyFailed)?;
        if has_error(&claimed, DUPLICATE) {
            return self.replay(run, place, taken, &key).await;
        }
        if claimed.failed {
            return Err(Reason::NotPrimary);
        }
        // Until the COMMIT below, a lost connection rolls the transaction back.
        let Ok((ran, _)) = self.step(run, place, &mut taken, run.batch.clone()).await else {
            return Err(Reason::KeyFailed);
        };
        if ran.status != b'T' {
            // The batch failed, or ended the transaction itself; only the former is rolled back.
            let rolled_back = ran.status == b'E';
            let outcome = if rolled_back {
                completed(
                    run,
                    &BatchResult {
                        status: b'I',
                        ..ran
                    },
                    Pos::ZERO,
                    0,
                )
            } else {
                refusal(run.id, Reason::LostLink, 0)
            };
            return Ok(outcome);
        }
        let record = format!(
            "UPDATE hollyreach_keys SET v = '{}' WHERE k = {key}; COMMIT",
            kept(&ran)
        );
        let (end, report) = match self.step(run, place, &mut taken, simple(record)).await {
            Ok(done) => done,
            Err(why) => return Ok(refusal(run.id, why, 0)),
        };
        if has_error(&end, DUPLICATE) {
            // Another run of the same key committed first, so this one was rolled back.
            return self.replay(run, place, taken, &key).await;
        }
        if end.failed || end.status != b'I' {
            return Err(Reason::KeyFailed);
        }
        taken.give_back();
        self.settle(
            run,
            place,
            BatchResult {
                status: b'I',
                ..ran
            },
            report,
        )
        .await
    }

    async fn step(
        &self,
        run: &RunRequest,
        place: &RunContext,
        taken: &mut PooledConn,
        batch: Batch,
    ) -> Result<(BatchResult, Option<group::MemberReport>), Reason> {
        self.send(
            &RunRequest {
                batch,
                ..run.clone()
            },
            place,
            taken,
        )
        .await
    }

    /// Returns the first outcome of a key.
    async fn replay(
        self: &Rc<Self>,
        run: &RunRequest,
        place: &RunContext,
        mut taken: PooledConn,
        key: &str,
    ) -> Result<RunResponse, Reason> {
        let look = format!("ROLLBACK; SELECT v FROM hollyreach_keys WHERE k = {key}");
        let (found, report) = self
            .step(run, place, &mut taken, simple(look))
            .await
            .map_err(|_| Reason::KeyFailed)?;
        taken.give_back();
        let row = frames(&found.body)
            .into_iter()
            .find(|f| f.tag == b'D')
            .ok_or(Reason::KeyFailed)?;
        // One text column: a count of two bytes and a length of four precede it.
        let text = row
            .body()
            .get(6..)
            .and_then(|b| std::str::from_utf8(b).ok())
            .unwrap_or_default();
        let body = BytesMut::from(unhex(text).as_slice());
        self.settle(run, place, BatchResult { body, ..found }, report)
            .await
    }

    /// Answers once a majority holds the record.
    async fn settle(
        self: &Rc<Self>,
        run: &RunRequest,
        place: &RunContext,
        ran: BatchResult,
        report: Option<group::MemberReport>,
    ) -> Result<RunResponse, Reason> {
        let Some(report) = report.filter(|r| r.leads) else {
            return Ok(refusal(run.id, Reason::Unconfirmed, 0));
        };
        let sure = self
            .confirm(&place.group, (&run.member, &report), None, place.until)
            .await;
        let answer = if sure {
            completed(run, &ran, report.last, 0)
        } else {
            refusal(run.id, Reason::Unconfirmed, 0)
        };
        debug_assert!(answer.outcome != Outcome::NotRun, "a recorded key has run");
        Ok(answer)
    }
}
