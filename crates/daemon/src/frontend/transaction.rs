//! What a session holds on to while its transaction is open.

use std::cell::Cell;
use std::rc::Rc;

use peer::Conn;
use schema::{Reason, RunRequest, RunResponse};

use crate::frontend::call::remote;
use crate::state::Daemon;
use crate::upstream::refusal;

/// An open transaction at a home. Dropping it ends the transaction: here by ending its lease,
/// elsewhere by closing the connection that the lease is bound to.
pub struct Hold {
    /// The daemon that holds the connection.
    pub home: Box<str>,
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

impl Hold {
    /// A transaction on this daemon.
    pub fn here(daemon: &Rc<Daemon>, member: &str, answer: &RunResponse) -> Hold {
        let place = Place::Here {
            daemon: daemon.clone(),
            ended: Cell::new(false),
        };
        Hold {
            home: daemon.roster.me.clone(),
            member: member.into(),
            term: answer.term,
            lease: answer.lease,
            place,
        }
    }

    /// A transaction on another daemon.
    pub fn there(home: &str, member: &str, answer: &RunResponse, conn: Conn) -> Hold {
        Hold {
            home: home.into(),
            member: member.into(),
            term: answer.term,
            lease: answer.lease,
            place: Place::There {
                conn: Some(Box::new(conn)),
            },
        }
    }

    /// Runs a batch in the transaction; the flag says whether the transaction stays open.
    pub async fn go_on(&mut self, mut run: RunRequest) -> (RunResponse, bool) {
        run.lease = self.lease;
        run.member = self.member.clone();
        let answer = match &mut self.place {
            Place::Here { daemon, .. } => daemon.run_batch(run, 0).await,
            Place::There { conn } => {
                let Some(link) = conn.as_mut() else {
                    return (refusal(run.id, Reason::LostTransaction, 0), false);
                };
                match remote(link, &run).await {
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

impl Drop for Hold {
    fn drop(&mut self) {
        if let Place::Here { daemon, ended } = &self.place
            && !ended.get()
        {
            daemon.leases.end(self.lease);
        }
    }
}
