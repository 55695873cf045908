//! A session's open transaction and the connection that it runs on.

use std::cell::Cell;
use std::rc::Rc;

use peer::Conn;
use schema::{Reason, RunRequest, RunResponse};

use crate::frontend::call::call_owner;
use crate::state::Daemon;
use crate::upstream::refusal;

/// A transaction that is open on a pinned connection of an owner.
///
/// Dropping it ends the transaction: on this daemon by dropping the pinned connection, on another
/// one by closing the peer connection that the transaction is bound to.
pub struct OpenTransaction {
    /// Name of the daemon that holds the pinned connection.
    pub owner: Box<str>,
    /// Name of the member that the transaction runs on.
    member: Box<str>,
    /// Term of the group when the transaction began.
    pub term: u64,
    /// Lease of the pinned connection: the id under which the owner keeps it.
    lease: u64,
    location: Location,
}

enum Location {
    Local {
        daemon: Rc<Daemon>,
        /// Whether the transaction has ended, so that the pinned connection is already released.
        ended: Cell<bool>,
    },
    Remote {
        /// `None` once the connection is lost or returned.
        conn: Option<Box<Conn>>,
    },
}

impl OpenTransaction {
    /// Creates the handle of a transaction on this daemon.
    pub fn local(daemon: &Rc<Daemon>, member: &str, answer: &RunResponse) -> OpenTransaction {
        let location = Location::Local {
            daemon: daemon.clone(),
            ended: Cell::new(false),
        };
        OpenTransaction {
            owner: daemon.membership.own_name.clone(),
            member: member.into(),
            term: answer.term,
            lease: answer.lease,
            location,
        }
    }

    /// Creates the handle of a transaction on another daemon.
    pub fn remote(owner: &str, member: &str, answer: &RunResponse, conn: Conn) -> OpenTransaction {
        OpenTransaction {
            owner: owner.into(),
            member: member.into(),
            term: answer.term,
            lease: answer.lease,
            location: Location::Remote {
                conn: Some(Box::new(conn)),
            },
        }
    }

    /// Runs a batch in the transaction; returns the answer, and whether the transaction stays open.
    pub async fn run(&mut self, mut run: RunRequest) -> (RunResponse, bool) {
        run.lease = self.lease;
        run.member = self.member.clone();
        let answer = match &mut self.location {
            Location::Local { daemon, .. } => daemon.run_batch(run, 0).await,
            Location::Remote { conn } => {
                let Some(peer_conn) = conn.as_mut() else {
                    return (refusal(run.id, Reason::LostTransaction, 0), false);
                };
                match call_owner(peer_conn, &run).await {
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

    /// Drops the handle of a transaction that has ended with its last batch, without ending it
    /// again; returns a peer connection to its pool.
    pub fn finish(mut self, daemon: &Daemon) {
        match &mut self.location {
            Location::Local { ended, .. } => ended.set(true),
            Location::Remote { conn } => {
                if let Some(conn) = conn.take() {
                    daemon.peers.put(*conn);
                }
            }
        }
    }
}

impl Drop for OpenTransaction {
    fn drop(&mut self) {
        if let Location::Local { daemon, ended } = &self.location
            && !ended.get()
        {
            daemon.pinned.end(self.lease);
        }
    }
}
