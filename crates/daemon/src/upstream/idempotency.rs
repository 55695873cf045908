//! Requests with an idempotency key, which is recorded in the same transaction as their effect.
//!
//! The record is replicated together with the effect. A retry under the same key therefore returns
//! the recorded answer instead of running again, even after a lost answer, a crash or a primary
//! change.

use std::rc::Rc;

use bytes::BytesMut;
use pg::{BatchResult, frames, put_frame};
use schema::{Batch, ByteBuf, Outcome, Pos, Reason, RunRequest, RunResponse};

use crate::state::Daemon;
use crate::upstream::pool::PooledConn;
use crate::upstream::run::{RunContext, completed, may_commit, refusal};

/// Code field of an error message with SQLSTATE 23505 (unique violation): the key is already
/// recorded.
const UNIQUE_VIOLATION: &str = "C23505\0";
/// Largest answer that is stored with its key; of a larger one only the last command tag is stored.
const MAX_STORED_ANSWER_BYTES: usize = 4096;

fn simple_batch(sql: String) -> Batch {
    Batch {
        simple: true,
        sql: sql.into(),
        body: ByteBuf::new(),
        steps: Vec::new(),
        prepares: Vec::new(),
    }
}

/// Whether each SQL text of a batch is a single statement; further statements could end the
/// enclosing transaction.
fn is_single_statement(batch: &Batch) -> bool {
    let single = |sql: &str| !sql.trim().trim_end_matches(';').contains(';');
    single(&batch.sql) && batch.prepares.iter().all(|p| single(&p.sql))
}

fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn has_error(result: &BatchResult, code: &str) -> bool {
    let contains_code = |body: &[u8]| body.windows(code.len()).any(|w| w == code.as_bytes());
    frames(&result.body)
        .iter()
        .any(|f| f.tag == b'E' && contains_code(f.body()))
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    let pair = |i: usize| {
        text.get(i..i + 2)
            .and_then(|p| u8::from_str_radix(p, 16).ok())
    };
    (0..text.len()).step_by(2).filter_map(pair).collect()
}

/// Hex form of the answer to store with the key, or of its command tag alone if it is too large.
fn stored_answer(result: &BatchResult) -> String {
    if result.body.len() <= MAX_STORED_ANSWER_BYTES {
        return encode_hex(&result.body);
    }
    let mut tag = BytesMut::new();
    put_frame(&mut tag, b'C', &[result.tag.as_bytes(), &[0]].concat());
    encode_hex(&tag)
}

impl Daemon {
    /// Runs a batch at most once under its idempotency key.
    ///
    /// # Errors
    /// `Unsupported` for a batch that is not a single statement or may commit; `NotPrimary` if the
    /// member refused the record of the key; `KeyFailed` if the transaction did not commit or the
    /// recorded answer could not be read.
    pub(super) async fn run_idempotent(
        self: &Rc<Self>,
        request: &RunRequest,
        ctx: &RunContext,
        mut conn: PooledConn,
    ) -> Result<RunResponse, Reason> {
        if !is_single_statement(&request.batch) || may_commit(request) {
            return Err(Reason::Unsupported);
        }
        let key = quote(&request.key);
        let claim = format!("BEGIN; INSERT INTO hollyreach_keys (k, v) VALUES ({key}, '')");
        let (claimed, _) = self
            .send_batch(request, ctx, &mut conn, simple_batch(claim))
            .await
            .map_err(|_| Reason::KeyFailed)?;
        if has_error(&claimed, UNIQUE_VIOLATION) {
            return self.replay(request, ctx, conn, &key).await;
        }
        if claimed.failed {
            return Err(Reason::NotPrimary);
        }
        // Until the COMMIT below, the loss of the connection rolls the transaction back.
        let Ok((result, _)) = self
            .send_batch(request, ctx, &mut conn, request.batch.clone())
            .await
        else {
            return Err(Reason::KeyFailed);
        };
        if result.status != b'T' {
            // Either the batch failed and is rolled back, or it ended the transaction itself and
            // its outcome is unknown.
            let rolled_back = result.status == b'E';
            let response = if rolled_back {
                completed(
                    request,
                    &BatchResult {
                        status: b'I',
                        ..result
                    },
                    Pos::ZERO,
                    0,
                )
            } else {
                refusal(request.id, Reason::LostLink, 0)
            };
            return Ok(response);
        }
        let record = format!(
            "UPDATE hollyreach_keys SET v = '{}' WHERE k = {key}; COMMIT",
            stored_answer(&result)
        );
        let (committed, report) = match self
            .send_batch(request, ctx, &mut conn, simple_batch(record))
            .await
        {
            Ok(done) => done,
            Err(reason) => return Ok(refusal(request.id, reason, 0)),
        };
        if has_error(&committed, UNIQUE_VIOLATION) {
            // Another request with the same key committed first, so this one was rolled back.
            return self.replay(request, ctx, conn, &key).await;
        }
        if committed.failed || committed.status != b'I' {
            return Err(Reason::KeyFailed);
        }
        conn.return_to_pool();
        self.confirm_response(
            request,
            ctx,
            BatchResult {
                status: b'I',
                ..result
            },
            report,
        )
        .await
    }

    /// Sends a batch in place of the request's own.
    async fn send_batch(
        &self,
        request: &RunRequest,
        ctx: &RunContext,
        conn: &mut PooledConn,
        batch: Batch,
    ) -> Result<(BatchResult, Option<group::MemberReport>), Reason> {
        self.send(
            &RunRequest {
                batch,
                ..request.clone()
            },
            ctx,
            conn,
        )
        .await
    }

    /// Returns the answer that is recorded with a key, once a majority holds the record.
    async fn replay(
        self: &Rc<Self>,
        request: &RunRequest,
        ctx: &RunContext,
        mut conn: PooledConn,
        key: &str,
    ) -> Result<RunResponse, Reason> {
        let lookup = format!("ROLLBACK; SELECT v FROM hollyreach_keys WHERE k = {key}");
        let (found, report) = self
            .send_batch(request, ctx, &mut conn, simple_batch(lookup))
            .await
            .map_err(|_| Reason::KeyFailed)?;
        conn.return_to_pool();
        let row = frames(&found.body)
            .into_iter()
            .find(|f| f.tag == b'D')
            .ok_or(Reason::KeyFailed)?;
        // A row of one text column: 2 bytes of column count and 4 bytes of length come first.
        let text = row
            .body()
            .get(6..)
            .and_then(|b| std::str::from_utf8(b).ok())
            .unwrap_or_default();
        let body = BytesMut::from(decode_hex(text).as_slice());
        self.confirm_response(request, ctx, BatchResult { body, ..found }, report)
            .await
    }

    /// Returns the answer once a majority holds the record of the key, or else `Unconfirmed`.
    async fn confirm_response(
        self: &Rc<Self>,
        request: &RunRequest,
        ctx: &RunContext,
        result: BatchResult,
        report: Option<group::MemberReport>,
    ) -> Result<RunResponse, Reason> {
        let Some(report) = report.filter(|r| r.leads) else {
            return Ok(refusal(request.id, Reason::Unconfirmed, 0));
        };
        let confirmed = self
            .confirm(&ctx.group, (&request.member, &report), None, ctx.deadline)
            .await;
        let response = if confirmed {
            completed(request, &result, report.last, 0)
        } else {
            refusal(request.id, Reason::Unconfirmed, 0)
        };
        debug_assert!(
            response.outcome != Outcome::NotRun,
            "a recorded key has run"
        );
        Ok(response)
    }
}
