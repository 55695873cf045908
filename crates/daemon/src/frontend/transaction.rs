//! What a session holds on to while its transaction is open.

use std::cell::Cell;
use std::rc::Rc;

use peer::Conn;
use schema::{Reason, RunRequest, RunResponse};

use crate::frontend::call::call_owner;
use crate::state::Daemon;
use crate::upstream::refusal;

/// An open transaction at an owner. Dropping it ends the transaction: here by dropping its pinned
/// connection, elsewhere by closing the connection that it is bound to.
pub struct OpenTransaction {
    /// The daemon that holds the connection.
    pub owner: Box<str>,
    /// The member that the transaction runs on.
    member: Box<str>,
    /// Term of the group when it began.
    pub term: u64,
    lease: u64,
    place: Place,
}

enum Place {
    Here {
        daemon: Rc<Daemon>,
        ended: Cell<bool>,
    },
    There {
        conn: Option<Box<Conn>>,
    },
}

impl OpenTransaction {
    /// A transaction on this daemon.
    pub fn local(daemon: &Rc<Daemon>, member: &str, answer: &RunResponse) -> OpenTransaction {
        let place = Place::Here {
            daemon: daemon.clone(),
            ended: Cell::new(false),
        };
        OpenTransaction {
            owner: daemon.membership.me.clone(),
            member: member.into(),
            term: answer.term,
            lease: answer.lease,
            place,
        }
    }

    /// A transaction on another daemon.
    pub fn remote(owner: &str, member: &str, answer: &RunResponse, conn: Conn) -> OpenTransaction {
        OpenTransaction {
            owner: owner.into(),
            member: member.into(),
            term: answer.term,
            lease: answer.lease,
            place: Place::There {
                conn: Some(Box::new(conn)),
            },
        }
    }

    /// Runs a batch in the transaction; the flag says whether the transaction stays open.
    pub async fn run(&mut self, mut run: RunRequest) -> (RunResponse, bool) {
        run.lease = self.lease;
        run.member = self.member.clone();
        let answer = match &mut self.place {
            Place::Here { daemon, .. } => daemon.run_batch(run, 0).await,
            Place::There { conn } => {
                let Some(link) = conn.as_mut() else {
                    return (refusal(run.id, Reason::LostTransaction, 0), false);
                };
                match call_owner(link, &run).await {
                    Ok(answer) => answer,
                    Err(answer) => {
                        *conn = None;
                        answer
                    }
                }
            }
        };
        let open = answer.lease == self.lease;
        (answer, open)
    }

    /// Lets go after the transaction has ended by itself.
    pub fn finish(mut self, daemon: &Daemon) {
        match &mut self.place {
            Place::Here { ended, .. } => ended.set(true),
            Place::There { conn } => {
                if let Some(conn) = conn.take() {
                    daemon.peers.put(*conn);
                }
            }
        }
    }
}

impl Drop for OpenTransaction {
    fn drop(&mut self) {
        if let Place::Here { daemon, ended } = &self.place
            && !ended.get()
        {
            daemon.pinned.end(self.lease);
        }
    }
}
