//! Demotes the old primary of a primary change, as long as the change lasts.
//!
//! A primary that was taken for dead may come back at any time, and one that is leaving or cut off
//! from this VM still serves. It confirms commits until it is demoted.

use std::cell::Cell;
use std::rc::{Rc, Weak};

use base::{Ms, Signal, sleep_ms};

use super::control::{COMMAND_TIMEOUT_MS, open_control_conn};
use crate::{Command, Conn, ConnError, Demotion, Group, Member, Role, Status};

/// Interval between two commands to the old primary, in ms.
const REPEAT_INTERVAL_MS: u64 = 100;

/// The old primary of a primary change; dropping it ends the task that demotes it.
pub(super) struct OldPrimary(Rc<State>);

#[derive(Default)]
struct State {
    /// `None` before the first answer, and unless the latest command was answered by a replica.
    demotion: Cell<Option<Demotion>>,
    /// Notified after each command.
    asked: Signal,
}

impl OldPrimary {
    /// Starts to demote a primary whose term is below `term`.
    pub(super) fn demote(group: &Rc<Group>, member: &Rc<Member>, term: u64) -> OldPrimary {
        let state = Rc::new(State::default());
        monoio::spawn(repeat(
            Rc::downgrade(&state),
            group.clone(),
            member.clone(),
            term,
        ));
        OldPrimary(state)
    }

    /// Waits until the first command was answered or has failed.
    pub(super) async fn first_attempt(&self) {
        self.0.asked.wait_past(0).await;
    }

    /// What the latest command has shown; `None` if it was not answered by a replica.
    pub(super) fn demotion(&self) -> Option<Demotion> {
        self.0.demotion.get()
    }
}

impl State {
    fn record(&self, result: &Result<Status, ConnError>) {
        let demotion = match result {
            Ok(status) if status.role == Role::Replica => {
                // With the same log, it has confirmed nothing since the former answer.
                let former = self.demotion.get().filter(|d| d.pos == status.received);
                Some(former.unwrap_or(Demotion {
                    at: Ms::now(),
                    pos: status.received,
                }))
            }
            Ok(_) | Err(_) => None,
        };
        self.demotion.set(demotion);
        self.asked.notify();
    }
}

/// Sends the command again and again until the change has ended.
async fn repeat(state: Weak<State>, group: Rc<Group>, member: Rc<Member>, term: u64) {
    let mut conn = None;
    loop {
        let result = send(&group, &member, &mut conn, term).await;
        let Some(state) = state.upgrade() else { break };
        state.record(&result);
        drop(state);
        sleep_ms(REPEAT_INTERVAL_MS).await;
    }
    if let Some(conn) = conn {
        group.release(conn);
    }
}

/// Sends the command once, over the given connection or a new one, which is kept if it works.
async fn send(
    group: &Rc<Group>,
    member: &Rc<Member>,
    kept: &mut Option<Conn>,
    term: u64,
) -> Result<Status, ConnError> {
    let mut conn = match kept.take() {
        Some(conn) => conn,
        None => open(group, member).await?,
    };
    let command = Command::Demote { term };
    let status = group
        .send_control(&mut conn, &command, COMMAND_TIMEOUT_MS)
        .await?;
    *kept = Some(conn);
    Ok(status)
}

/// Opens a connection, through another daemon if the primary does not answer this one.
async fn open(group: &Rc<Group>, member: &Rc<Member>) -> Result<Conn, ConnError> {
    match open_control_conn(group, member).await {
        Err(e) if !e.is_disconnect() => group.connect_through_peer(member).await,
        result => result,
    }
}
