//! The planned stop of a daemon: its phases, and the statements that are unanswered meanwhile.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;

use base::{Event, Ms, emit, sleep_ms};

use crate::Proxy;
use crate::progress::Progress;

/// Time that the load balancer needs to notice that a daemon is no longer ready.
const BALANCER_NOTICE_MS: u64 = 2500;
/// Part of the grace period reserved for the exit of the process.
const EXIT_RESERVE_MS: u64 = 500;
/// Part of the grace period, before `EXIT_RESERVE_MS`, in which sessions are ended inside
/// transactions too: a statement that arrived later might not be answered any more.
const FORCED_END_WINDOW_MS: u64 = 900;
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
}

/// State of the planned stop.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: Cell<Phase>,
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
    pub(crate) fn advance(&self, phase: Phase) -> Phase {
        self.phase.replace(phase.max(self.phase.get()))
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
    /// When the process ends at the latest.
    exit: Ms,
}

impl Schedule {
    /// The schedule of a daemon that is told to stop now and is killed after `grace_ms`.
    fn new(grace_ms: u64) -> Schedule {
        let now = Ms::now();
        let end_ms = grace_ms.saturating_sub(EXIT_RESERVE_MS);
        Schedule {
            draining: now.plus(BALANCER_NOTICE_MS.min(grace_ms / 2)),
            ending: now.plus(end_ms.saturating_sub(FORCED_END_WINDOW_MS)),
            exit: now.plus(end_ms),
        }
    }

    fn phase(&self, now: Ms) -> Phase {
        if now < self.draining {
            Phase::Leaving
        } else if now < self.ending {
            Phase::Draining
        } else {
            Phase::Ending
        }
    }
}

/// Stops a daemon that will be killed after `grace_ms`: gives the load balancer time to notice, then
/// ends sessions between transactions and, in the last part of the grace period, also inside
/// transactions.
pub async fn shut_down(proxy: &Rc<Proxy>, grace_ms: u64) {
    let schedule = Schedule::new(grace_ms);
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
        &[("sessions", &proxy.sessions.get()), ("cut", &cut)],
    );
}
