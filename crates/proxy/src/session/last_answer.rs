//! Answers of a session at the end of a stop: what a statement waits for is given up in time.

use std::rc::Rc;

use base::{Event, Ms, emit, sleep_ms};

use super::{ENDED, Session};
use crate::progress::Progress;
use crate::{ErrorKind, Proxy, Reply, Statement, TxState, Verb};

/// Waits until the last answers are due: at this instant, or when this daemon says so.
async fn last_answers(proxy: &Proxy, answer_by: Option<Ms>) {
    let Some(at) = answer_by else {
        return proxy.shutdown.wait_for_last_answers().await;
    };
    monoio::select! {
        () = sleep_ms(at.left()) => {}
        () = proxy.shutdown.wait_for_last_answers() => {}
    }
}

impl Session {
    /// Runs a statement, which counts as unanswered meanwhile. If the last answers of a stop are due
    /// first, whatever the statement waits for is given up.
    pub(super) async fn answer(&mut self, proxy: &Rc<Proxy>, statement: &Statement) -> Reply {
        let progress = proxy.shutdown.on_statement(&statement.id);
        let answer_by = self.answer_by(proxy);
        let is_due = answer_by.is_some_and(|at| at.left() == 0);
        if !is_due && !proxy.shutdown.is_answering() {
            monoio::select! {
                biased;
                reply = self.run_statement(proxy, statement, &progress) => return reply,
                () = last_answers(proxy, answer_by) => {}
            }
        }
        let reply = self.give_up(&statement.verb, &progress);
        proxy.stats.given_up.inc();
        emit(
            Event::StatementGivenUp,
            &[
                ("id", &progress.id),
                ("stage", &format!("{:?}", progress.stage.get())),
                ("kind", &format!("{:?}", reply.error_kind())),
                ("waited", &progress.arrival.elapsed()),
            ],
        );
        reply
    }

    /// When a statement must be answered at the latest, if this daemon or the one that handed the session
    /// off stops.
    pub(super) fn answer_by(&self, proxy: &Proxy) -> Option<Ms> {
        proxy.answer_by(self.origin.as_deref(), self.opened_at)
    }

    /// The reply to a statement that is given up: what is true whether or not the member goes on with
    /// it. The connection of a transaction is closed, so that its member rolls back.
    fn give_up(&mut self, verb: &Verb, progress: &Progress) -> Reply {
        self.tx = None;
        let state = self.tx_state;
        if matches!(verb, Verb::Commit | Verb::Rollback) {
            self.tx_state = TxState::Idle;
        }
        let kind = match (verb, state) {
            (Verb::Rollback, _) => return self.with_session_state(Reply::ok()),
            (Verb::Commit, _) if std::mem::take(&mut self.tx_in_doubt) => ErrorKind::InDoubt,
            _ if progress.may_have_written() => ErrorKind::InDoubt,
            (Verb::Commit, _) => ErrorKind::Aborted,
            (_, TxState::Failed) => return self.malformed("the transaction has failed"),
            (_, TxState::Open) => {
                self.tx_state = TxState::Failed;
                ErrorKind::Aborted
            }
            (_, TxState::Idle) if progress.may_have_run() => ErrorKind::TimedOut,
            (_, TxState::Idle) => ErrorKind::Busy,
        };
        self.with_session_state(Reply::error(kind, ENDED))
    }
}
