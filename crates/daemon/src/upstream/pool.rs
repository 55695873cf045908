//! Connections to one member, within this daemon's share of the member's limit.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, Signal, emit};
use pg::{Login, Upstream, UpstreamError};
use schema::Reason;

use crate::join::notified_within;

/// Time without new attempts after the member refused a connection, in ms.
const BACKOFF_MS: u64 = 250;
/// Idle time after which a connection is closed, in ms.
const IDLE_MS: u64 = 60_000;

/// State shared with the connections that are out.
#[derive(Default)]
struct Shared {
    /// Most recently used last.
    idle: RefCell<Vec<(Ms, Upstream)>>,
    /// Connections open or being opened; never above `max`.
    open: Cell<u64>,
    max: Cell<u64>,
    freed: Signal,
    /// No connection is opened before this instant.
    closed_until: Cell<Ms>,
}

/// A pool of connections.
#[derive(Default)]
pub struct Pool(Rc<Shared>);

/// A connection taken from a pool. Dropping it closes the connection.
pub struct PooledConn {
    conn: Option<Upstream>,
    shared: Rc<Shared>,
}

impl Pool {
    /// Sets the largest number of connections.
    pub fn set_max(&self, max: u64) {
        self.0.max.set(max.max(1));
    }

    /// Connections open now.
    pub fn open(&self) -> u64 {
        self.0.open.get()
    }

    /// Takes the most recently used idle connection or opens one, waiting if all are out.
    pub async fn take(&self, login: &Login, until: Ms) -> Result<PooledConn, Reason> {
        loop {
            let seen = self.0.freed.generation();
            let idle = self.0.idle.borrow_mut().pop();
            if let Some((_, mut conn)) = idle {
                if conn.is_clean().await {
                    return Ok(PooledConn {
                        conn: Some(conn),
                        shared: self.0.clone(),
                    });
                }
                self.0.release();
                continue;
            }
            if self.0.open.get() < self.0.max.get() {
                if self.0.closed_until.get().left() > 0 {
                    return Err(Reason::NoHome);
                }
                return self.open_one(login, until).await;
            }
            if until.left() == 0 || !notified_within(&self.0.freed, seen, until.left()).await {
                return Err(Reason::Overload);
            }
        }
    }

    async fn open_one(&self, login: &Login, until: Ms) -> Result<PooledConn, Reason> {
        self.0.open.set(self.0.open.get() + 1);
        let mut taken = PooledConn {
            conn: None,
            shared: self.0.clone(),
        };
        let opened =
            monoio::time::timeout(Duration::from_millis(until.left()), Upstream::open(login)).await;
        let error = match opened {
            Ok(Ok(conn)) => {
                emit(
                    Event::UpstreamOpened,
                    &[("addr", &login.addr), ("open", &self.open())],
                );
                taken.conn = Some(conn);
                return Ok(taken);
            }
            Ok(Err(e)) => e,
            Err(_) => UpstreamError::Io(std::io::ErrorKind::TimedOut.into()),
        };
        self.0.closed_until.set(Ms::now().plus(BACKOFF_MS));
        emit(
            Event::UpstreamFailed,
            &[("addr", &login.addr), ("error", &error)],
        );
        Err(Reason::NoHome)
    }

    /// Closes connections that have been idle for long, all but one.
    pub fn trim(&self) {
        let mut idle = self.0.idle.borrow_mut();
        while idle.len() > 1 && idle[0].0.elapsed() > IDLE_MS {
            idle.remove(0);
            self.0.release();
        }
    }

    /// Forgets that the member refused connections.
    pub fn reopen(&self) {
        self.0.closed_until.set(Ms::default());
    }
}

impl Shared {
    fn release(&self) {
        self.open.set(self.open.get() - 1);
        self.freed.notify();
    }
}

impl PooledConn {
    /// The connection.
    pub fn conn(&mut self) -> &mut Upstream {
        self.conn.as_mut().expect("present until dropped")
    }

    /// Gives the connection back; it must be at a boundary, outside a transaction.
    pub fn give_back(mut self) {
        let Some(conn) = self.conn.take() else { return };
        assert_eq!(
            conn.status, b'I',
            "only connections outside a transaction are shared"
        );
        self.shared.idle.borrow_mut().push((Ms::now(), conn));
        self.shared.freed.notify();
        // The connection stays open, so the count that `drop` would lower stays as it is.
        self.shared.open.set(self.shared.open.get() + 1);
    }
}

impl Drop for PooledConn {
    fn drop(&mut self) {
        self.conn = None;
        self.shared.release();
    }
}
