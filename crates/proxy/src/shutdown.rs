//! The planned stop of a daemon: its phases, and the statements that are unanswered meanwhile.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;

use base::{Event, Ms, Signal, emit, sleep_ms};

use crate::Proxy;
use crate::progress::Progress;

/// Time that the load balancer needs to notice that a daemon is no longer ready.
const BALANCER_NOTICE_MS: u64 = 2500;
/// Part of the grace period, at its end, in which last answers are sent and reach the callers, in ms.
const LAST_ANSWERS_MS: u64 = 400;
/// Part of the grace period, at its end, reserved for the exit of the process, in ms.
const EXIT_MS: u64 = 100;
/// Time before the last answers in which sessions are ended inside transactions too, in ms: a statement
/// that arrived later would hardly be served.
const FORCED_END_WINDOW_MS: u64 = 900;
/// Time that an owner's answer has for its way to the caller's daemon, in ms.
const ANSWER_DELIVERY_MS: u64 = 100;
/// Poll interval for open sessions during the stop, in ms.
const POLL_INTERVAL_MS: u64 = 20;

/// How far the stop has come.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    #[default]
    Serving,
    /// The daemon takes no sessions from other daemons, and is given time to leave the load balancer.
    Leaving,
    /// Sessions end as soon as they are between transactions.
    Draining,
    /// Sessions end inside transactions too, unless an answer is outstanding.
    Ending,
    /// Statements that are unanswered are given up, and answered by what was sent of them.
    Answering,
}

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

/// The announcement of another VM that it stops.
#[derive(Clone, Copy, Debug)]
pub struct StopNotice {
    /// When it was last received.
    pub at: Ms,
    /// When answers must be on their way to that VM at the latest, if it has told that.
    pub answer_by: Option<Ms>,
}

/// A statement that counts as unanswered until this is dropped.
pub struct Unanswered<'a> {
    shutdown: &'a Shutdown,
    key: u64,
    progress: Rc<Progress>,
}

impl StopNotice {
    /// A notice that has just been received; `answer_within_ms` is for how long the VM can still pass on
    /// answers.
    pub fn new(answer_within_ms: Option<u64>) -> StopNotice {
        let now = Ms::now();
        let answer_by = |ms: u64| now.plus(ms.saturating_sub(ANSWER_DELIVERY_MS));
        StopNotice {
            at: now,
            answer_by: answer_within_ms.map(answer_by),
        }
    }
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

/// When the phases of a stop begin.
struct Schedule {
    draining: Ms,
    ending: Ms,
    answering: Ms,
    /// When the process ends at the latest.
    exit: Ms,
}

impl Schedule {
    /// The schedule of a daemon that is told to stop now and is killed after `grace_ms`. A transaction
    /// that is open then has the first half of that time.
    fn new(grace_ms: u64) -> Schedule {
        let now = Ms::now();
        let half_ms = grace_ms / 2;
        let answering_ms = grace_ms - LAST_ANSWERS_MS.min(grace_ms / 4);
        let ending_ms = answering_ms.saturating_sub(FORCED_END_WINDOW_MS);
        Schedule {
            draining: now.plus(BALANCER_NOTICE_MS.min(half_ms)),
            ending: now.plus(ending_ms.max(half_ms)),
            answering: now.plus(answering_ms),
            exit: now.plus(grace_ms - EXIT_MS.min(grace_ms / 16)),
        }
    }

    fn phase(&self, now: Ms) -> Phase {
        if now < self.draining {
            Phase::Leaving
        } else if now < self.ending {
            Phase::Draining
        } else if now < self.answering {
            Phase::Ending
        } else {
            Phase::Answering
        }
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
