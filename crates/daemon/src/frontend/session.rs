//! A caller's session: reads its requests, dispatches them and writes the answers.

use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, emit};
use bytes::BytesMut;
use pg::{Caller, error_frame, frames};
use schema::{Class, Institution, Outcome, Pos, Reason, RunRequest, RunResponse, Var, qualified};

use crate::frontend::accept::TOKEN_PARAM;
use crate::frontend::assemble::{BatchEnd, Request, StatementNames, next_request};
use crate::frontend::local::{self, LocalStatement};
use crate::frontend::plan::RequestPlan;
use crate::frontend::sessions::CurrentRequest;
use crate::frontend::transaction::OpenTransaction;
use crate::state::Daemon;
use crate::upstream::{may_commit, refusal};

/// State of one caller's session.
pub struct Session {
    daemon: Rc<Daemon>,
    institution: Box<str>,
    service: Box<str>,
    group: Box<str>,
    user: Box<str>,
    /// Read-your-writes token: the replication position that every later read must include.
    token: Option<Pos>,
    names: StatementNames,
    vars: Vec<Var>,
    /// Settings changed in the open transaction; they take effect for the session at its commit.
    pending_vars: Vec<Var>,
    transaction: Option<OpenTransaction>,
    /// Transaction status last reported to the caller: `I` (idle), `T` (in a transaction) or `E`
    /// (failed).
    status: u8,
    /// Whether the caller is continuing a batch that it flushed; at present never set.
    flushed: bool,
    current: CurrentRequest,
}

impl Session {
    /// Creates the session of a caller that has just logged in.
    pub fn new(
        daemon: Rc<Daemon>,
        institution: &Institution,
        service: &str,
        user: &str,
        token: Option<Pos>,
        current: CurrentRequest,
    ) -> Session {
        let group = institution
            .service(service)
            .map(|s| s.group.clone())
            .unwrap_or_default();
        Session {
            daemon,
            institution: institution.name.clone(),
            service: service.into(),
            group: qualified(&institution.name, &group),
            user: user.into(),
            token,
            names: StatementNames::default(),
            vars: Vec::new(),
            pending_vars: Vec::new(),
            transaction: None,
            status: b'I',
            flushed: false,
            current,
        }
    }

    /// Serves the caller until it disconnects, a request cannot be read, or the daemon shuts down.
    pub async fn serve(mut self, mut caller: Caller) {
        loop {
            let reason = match self.next_request(&mut caller).await {
                Ok(Some(request)) => {
                    // A batch that only prepares is usually followed by one that executes, so the
                    // session is not closed between the two.
                    let executes = !request.texts.is_empty();
                    let out = Box::pin(self.answer(&mut caller, request)).await;
                    let Some(mut out) = out else { return };
                    let closing = executes
                        && self.daemon.close_after_answer.get()
                        && self.status == b'I'
                        && !caller.has_input();
                    if closing {
                        out.extend_from_slice(&error_frame(Reason::Leaving, 0, ""));
                    }
                    if caller.send(&out).await.is_err() || closing {
                        caller.linger().await;
                        return;
                    }
                    caller.release_buffer();
                    continue;
                }
                Ok(None) => return,
                Err(reason) => reason,
            };
            let _ = caller.send(&error_frame(reason, 0, "")).await;
            caller.linger().await;
            emit(
                Event::CallerRefused,
                &[("why", &format!("{reason:?}")), ("user", &self.user)],
            );
            return;
        }
    }

    /// Reads the next request; `None` when the caller has closed.
    ///
    /// # Errors
    /// Any error ends the session: `Leaving` on shutdown, `IdleTx` when a transaction sent nothing
    /// for `idle_tx_ms`, or the error of the read.
    async fn next_request(&mut self, caller: &mut Caller) -> Result<Option<Request>, Reason> {
        let max_bytes = self.daemon.settings.limits.message_bytes * 4;
        let idle_tx_ms = self.daemon.settings.timing.idle_tx_ms;
        let daemon = self.daemon.clone();
        loop {
            let generation = daemon.shutdown_signal.generation();
            if daemon.close_when_idle.get() && self.status == b'I' && !caller.has_input() {
                return Err(Reason::Leaving);
            }
            let in_transaction = self.status != b'I';
            let read = next_request(caller, &mut self.names, max_bytes);
            if in_transaction {
                let timed_read = monoio::time::timeout(Duration::from_millis(idle_tx_ms), read);
                return timed_read.await.unwrap_or(Err(Reason::IdleTx));
            }
            monoio::select! {
                result = read => return result,
                () = daemon.shutdown_signal.wait_past(generation) => {}
            }
        }
    }

    /// Runs a request and returns the bytes of its answer; `None` ends the session.
    async fn answer(&mut self, caller: &mut Caller, request: Request) -> Option<BytesMut> {
        let begin = Ms::now();
        let started = std::time::Instant::now();
        let mut out = BytesMut::new();
        let sync = request.end == BatchEnd::Sync;
        if request.batch.steps.is_empty() && !request.batch.simple {
            self.flushed = false;
            Caller::put_ready(&mut out, self.status);
            return Some(out);
        }
        let mut taint = None;
        if let [text] = &request.texts[..] {
            match local::classify(text) {
                LocalStatement::Forward => {}
                LocalStatement::Set(var) => taint = Some(var),
                local_statement => {
                    self.answer_local(&local_statement, &request, &mut out);
                    if sync {
                        Caller::put_ready(&mut out, self.status);
                    }
                    return Some(out);
                }
            }
        }
        let config = self.daemon.config_store.institution(&self.institution);
        let Some(service) = config.as_ref().and_then(|i| i.service(&self.service)) else {
            out.extend_from_slice(&error_frame(Reason::NoService, 0, ""));
            return Some(out);
        };
        let plan = RequestPlan::of(service, &request.texts);
        let deadline = begin.plus(service.deadline_ms);
        let run = self.build_run_request(&plan, request, taint.is_some(), deadline);
        let (daemon, current) = (self.daemon.clone(), self.current.clone());
        let id = run.id;
        let (answer, place) = monoio::select! {
            result = self.dispatch(&plan, run, deadline) => result,
            () = caller.wait_closed() => {
                if let Some(id) = current.get() {
                    daemon.cancel_run(id).await;
                    daemon.cancels.clear_cancelled(id);
                }
                return None;
            }
        };
        self.daemon.cancels.clear_cancelled(id);
        let elapsed_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.daemon
            .stats
            .record(&self.institution, &plan, &answer, &place, elapsed_us);
        self.apply_answer(&plan, &answer, taint, &mut out);
        if sync {
            Caller::put_ready(&mut out, self.status);
        }
        Some(out)
    }

    fn build_run_request(
        &self,
        plan: &RequestPlan,
        request: Request,
        taint: bool,
        deadline: Ms,
    ) -> RunRequest {
        RunRequest {
            id: self.daemon.new_request_id(),
            group: self.group.clone(),
            member: "".into(),
            user: self.user.clone(),
            taint,
            lease: 0,
            class: if plan.read { Class::Read } else { Class::Write },
            primary: false,
            fresh: self.token.is_none() && !plan.describe,
            force: false,
            need: self.token.unwrap_or(Pos::ZERO),
            max_age_ms: plan.max_age_ms,
            left_ms: deadline.left(),
            key: plan.key.clone(),
            vars: self.vars.clone(),
            batch: request.batch,
        }
    }

    /// Routes a request to the open transaction, the primary or a replica; also returns where a
    /// read was served.
    async fn dispatch(
        &mut self,
        plan: &RequestPlan,
        run: RunRequest,
        deadline: Ms,
    ) -> (RunResponse, String) {
        let id = run.id;
        if self.status == b'E' && self.transaction.is_none() {
            return (self.answer_in_lost_transaction(&run), String::new());
        }
        if let Some(mut transaction) = self.transaction.take() {
            self.current.set(Some(id));
            let daemon = self.daemon.clone();
            let _sent = daemon.cancels.record_forwarded(id, &transaction.owner);
            let commits = may_commit(&run);
            let Some(group) = self.daemon.group(&self.group) else {
                return (refusal(id, Reason::LostTransaction, 0), String::new());
            };
            let term = transaction.term;
            let (answer, open) = monoio::select! {
                result = transaction.run(run) => result,
                () = self.daemon.await_newer_term(&group, term) => {
                    let reason = if commits { Reason::LostLink } else { Reason::LostTransaction };
                    return (refusal(id, reason, 0), String::new());
                }
            };
            if open {
                self.transaction = Some(transaction);
            } else if answer.outcome == Outcome::Done {
                transaction.finish(&self.daemon);
            }
            return (answer, String::new());
        }
        let Some(group) = self.daemon.group(&self.group) else {
            return (refusal(id, Reason::NoConfig, 0), String::new());
        };
        self.current.set(Some(id));
        let (result, place) = if plan.read {
            let read = self.daemon.run_read(&group, plan, run, deadline).await;
            (read.result, read.place)
        } else {
            (
                self.daemon
                    .run_on_primary(&group, plan, run, deadline)
                    .await,
                String::new(),
            )
        };
        self.current.set(None);
        self.transaction = result.transaction;
        (result.answer, place)
    }

    /// Answers a request in a transaction whose connection was lost: as in a failed transaction on
    /// a server, only a statement that ends the transaction is accepted, and it rolls back.
    fn answer_in_lost_transaction(&self, run: &RunRequest) -> RunResponse {
        let text = run
            .batch
            .prepares
            .first()
            .map_or(&*run.batch.sql, |p| &*p.sql);
        let text = schema::normalize(text);
        let mut answer = refusal(run.id, Reason::LostTransaction, 0);
        if ["rollback", "commit", "end", "abort"]
            .iter()
            .any(|keyword| text.starts_with(keyword))
            && run.batch.simple
        {
            let mut body = BytesMut::new();
            local::put_command_complete(&mut body, "ROLLBACK");
            answer = RunResponse {
                outcome: Outcome::Done,
                why: Reason::None,
                body: body.to_vec().into(),
                ..answer
            };
        }
        answer
    }

    /// Appends the answer for the caller to `out` and updates the session's state from it.
    fn apply_answer(
        &mut self,
        plan: &RequestPlan,
        answer: &RunResponse,
        taint: Option<Var>,
        out: &mut BytesMut,
    ) {
        let was_open = self.status != b'I';
        if answer.outcome != Outcome::Done {
            out.extend_from_slice(&error_frame(answer.why, answer.retry_ms, ""));
            if answer.outcome == Outcome::Unknown {
                emit(
                    Event::OutcomeUnknown,
                    &[
                        ("user", &self.user),
                        ("rule", &plan.rule),
                        ("why", &format!("{:?}", answer.why)),
                    ],
                );
            }
            if was_open && self.transaction.is_none() {
                self.status = b'E';
                self.pending_vars.clear();
            }
            return;
        }
        out.extend_from_slice(&answer.body);
        self.status = answer.status;
        if let Some(var) = taint
            && !frames(&answer.body).iter().any(|f| f.tag == b'E')
        {
            let list = if self.status == b'I' {
                &mut self.vars
            } else {
                &mut self.pending_vars
            };
            replace_var(list, var);
        }
        if self.status == b'I' {
            self.names.end_transaction();
            let committed = frames(&answer.body)
                .iter()
                .any(|f| f.tag == b'C' && f.body().starts_with(b"COMMIT"));
            for var in std::mem::take(&mut self.pending_vars) {
                if committed {
                    replace_var(&mut self.vars, var);
                }
            }
        }
        self.advance_token(plan, answer, out);
    }

    /// Advances the read-your-writes token to the position of an answer, and sends it to the caller
    /// after a write.
    ///
    /// A read with a staleness bound gives no token to a session that has none: its position need
    /// not include what the session has written elsewhere.
    fn advance_token(&mut self, plan: &RequestPlan, answer: &RunResponse, out: &mut BytesMut) {
        if answer.pos == Pos::ZERO || plan.describe {
            return;
        }
        if self.token.is_none() && plan.max_age_ms.is_some() {
            return;
        }
        let old = self.token.unwrap_or(Pos::ZERO);
        self.token = Some(old.max(answer.pos));
        if !plan.read && self.token > Some(old) {
            Caller::put_param(out, TOKEN_PARAM, &answer.pos.to_string());
        }
    }

    /// Answers a statement about the session itself.
    fn answer_local(&mut self, statement: &LocalStatement, request: &Request, out: &mut BytesMut) {
        if !request.batch.simple {
            out.extend_from_slice(&error_frame(Reason::Unsupported, 0, "use a simple query"));
            return;
        }
        match statement {
            LocalStatement::SetToken(token) => {
                self.token = *token;
                local::put_command_complete(out, "SET");
            }
            LocalStatement::ShowToken => {
                let text = self.token.map(|t| t.to_string()).unwrap_or_default();
                local::put_text_row(out, TOKEN_PARAM, &text);
            }
            LocalStatement::Deallocate => local::put_command_complete(out, "DEALLOCATE"),
            LocalStatement::Discard(tag) if self.status == b'I' => {
                self.vars.clear();
                if *tag == "DISCARD ALL" {
                    self.names.clear();
                }
                local::put_command_complete(out, tag);
            }
            _ => out.extend_from_slice(&error_frame(Reason::Unsupported, 0, "")),
        }
    }
}

fn replace_var(list: &mut Vec<Var>, var: Var) {
    list.retain(|v| v.name != var.name);
    list.push(var);
}
