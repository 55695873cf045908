//! The planned stop of a daemon, and the statements that are unanswered meanwhile.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;

use base::{Event, Ms, Signal, emit, sleep_ms};

use crate::Proxy;
use crate::progress::Progress;
use crate::stop_schedule::{Phase, Schedule};

/// Poll interval for open sessions during the stop, in ms.
const POLL_INTERVAL_MS: u64 = 20;

/// State of the planned stop.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: Cell<Phase>,
    /// When `Phase::Answering` begins; `None` before the stop.
    answer_by: Cell<Option<Ms>>,
    /// Notified when `Phase::Answering` begins.
    last_answers: Signal,
    /// Statements that are not answered yet, in the order of their arrival.
    unanswered: RefCell<BTreeMap<u64, Rc<Progress>>>,
    /// Key of the next statement.
    next_key: Cell<u64>,
}

/// A statement that counts as unanswered until this is dropped.
pub struct Unanswered<'a> {
    shutdown: &'a Shutdown,
    key: u64,
    progress: Rc<Progress>,
}

impl Shutdown {
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Goes on to a phase, unless it has been reached; returns the phase before.
    pub fn advance(&self, phase: Phase) -> Phase {
        let before = self.phase.replace(phase.max(self.phase.get()));
        if phase > before && phase == Phase::Answering {
            self.last_answers.notify();
        }
        before
    }

    /// When a statement must be answered at the latest; `None` before the stop.
    pub fn answer_by(&self) -> Option<Ms> {
        self.answer_by.get()
    }

    /// Whether no statement is begun any more.
    pub fn is_answering(&self) -> bool {
        let has_come = |at: Ms| at.left() == 0;
        self.phase() >= Phase::Answering || self.answer_by.get().is_some_and(has_come)
    }

    /// Waits until statements that are unanswered must be given up.
    pub async fn wait_for_last_answers(&self) {
        while self.phase() < Phase::Answering {
            let generation = self.last_answers.generation();
            self.last_answers.wait_past(generation).await;
        }
    }

    /// Registers a statement that has been read.
    pub fn on_statement(&self, id: &str) -> Unanswered<'_> {
        let key = self.next_key.replace(self.next_key.get() + 1);
        let progress = Rc::new(Progress::new(id));
        self.unanswered.borrow_mut().insert(key, progress.clone());
        Unanswered {
            shutdown: self,
            key,
            progress,
        }
    }

    /// Logs the statements that the end of the process leaves without an answer; returns their number.
    fn log_cut(&self) -> usize {
        let unanswered = self.unanswered.borrow();
        for progress in unanswered.values() {
            emit(
                Event::StatementCut,
                &[
                    ("id", &progress.id),
                    ("stage", &format!("{:?}", progress.stage.get())),
                    ("waited", &progress.arrival.elapsed()),
                ],
            );
        }
        unanswered.len()
    }
}

impl Deref for Unanswered<'_> {
    type Target = Progress;

    fn deref(&self) -> &Progress {
        &self.progress
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        self.shutdown.unanswered.borrow_mut().remove(&self.key);
    }
}

/// Stops a daemon that will be killed after `grace_ms`, in the order of `Phase`.
pub async fn shut_down(proxy: &Rc<Proxy>, grace_ms: u64) {
    let schedule = Schedule::new(grace_ms);
    proxy.shutdown.answer_by.set(Some(schedule.answering));
    emit(
        Event::GatewayStopping,
        &[("sessions", &proxy.sessions.get())],
    );
    let is_busy = || proxy.sessions.get() > 0 || proxy.quota.holds_locks();
    while schedule.exit.left() > 0 {
        let phase = schedule.phase(Ms::now());
        proxy.enter_phase(phase);
        if phase >= Phase::Draining && !is_busy() {
            break;
        }
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    let cut = proxy.shutdown.log_cut();
    emit(
        Event::GatewayStopped,
        &[
            ("sessions", &proxy.sessions.get()),
            ("given_up", &proxy.stats.given_up.get()),
            ("cut", &cut),
        ],
    );
}
