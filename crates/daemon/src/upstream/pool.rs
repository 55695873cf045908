//! Connection pool of a member, within this daemon's share of the member's connection limit.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, Signal, emit};
use pg::{Login, Upstream, UpstreamError};
use schema::Reason;

use crate::join::notified_within;

/// Time after a failed attempt to open a connection during which no other is made, in ms.
const BACKOFF_MS: u64 = 250;
/// Idle time after which a pooled connection is closed, in ms.
const IDLE_TIMEOUT_MS: u64 = 60_000;

/// State of a pool, shared with its connections in use.
#[derive(Default)]
struct PoolState {
    /// Idle connections with the time of their return, most recently used last.
    idle: RefCell<Vec<(Ms, Upstream)>>,
    /// Connections open or being opened; exceeds `max_open` only after the limit was lowered.
    open: Cell<u64>,
    max_open: Cell<u64>,
    /// Notified when a connection is returned or closed.
    released: Signal,
    /// Instant before which no connection is opened.
    backoff_until: Cell<Ms>,
}

/// Connection pool of one member.
#[derive(Default)]
pub struct Pool(Rc<PoolState>);

/// Connection taken from a pool; dropping it closes the connection.
pub struct PooledConn {
    conn: Option<Upstream>,
    state: Rc<PoolState>,
}

impl Pool {
    /// Sets the maximum number of connections.
    pub fn set_max(&self, max: u64) {
        self.0.max_open.set(max.max(1));
    }

    /// Number of connections open or being opened.
    pub fn open_count(&self) -> u64 {
        self.0.open.get()
    }

    /// Takes the most recently used idle connection or opens one; waits while all are in use.
    ///
    /// # Errors
    /// `NoHome` if no connection could be opened or the pool is in backoff, `Overload` if none
    /// became free in time.
    pub async fn take(&self, login: &Login, deadline: Ms) -> Result<PooledConn, Reason> {
        loop {
            let generation = self.0.released.generation();
            let idle = self.0.idle.borrow_mut().pop();
            if let Some((_, mut conn)) = idle {
                if conn.is_reusable().await {
                    return Ok(PooledConn {
                        conn: Some(conn),
                        state: self.0.clone(),
                    });
                }
                self.0.release();
                continue;
            }
            if self.0.open.get() < self.0.max_open.get() {
                if self.0.backoff_until.get().left() > 0 {
                    return Err(Reason::NoHome);
                }
                return self.open_conn(login, deadline).await;
            }
            if deadline.left() == 0
                || !notified_within(&self.0.released, generation, deadline.left()).await
            {
                return Err(Reason::Overload);
            }
        }
    }

    async fn open_conn(&self, login: &Login, deadline: Ms) -> Result<PooledConn, Reason> {
        self.0.open.set(self.0.open.get() + 1);
        let mut pooled = PooledConn {
            conn: None,
            state: self.0.clone(),
        };
        let result = monoio::time::timeout(
            Duration::from_millis(deadline.left()),
            Upstream::open(login),
        )
        .await;
        let error = match result {
            Ok(Ok(conn)) => {
                emit(
                    Event::UpstreamOpened,
                    &[("addr", &login.addr), ("open", &self.open_count())],
                );
                pooled.conn = Some(conn);
                return Ok(pooled);
            }
            Ok(Err(e)) => e,
            Err(_) => UpstreamError::Io(std::io::ErrorKind::TimedOut.into()),
        };
        self.0.backoff_until.set(Ms::now().plus(BACKOFF_MS));
        emit(
            Event::UpstreamFailed,
            &[("addr", &login.addr), ("error", &error)],
        );
        Err(Reason::NoHome)
    }

    /// Closes connections that have been idle for longer than `IDLE_TIMEOUT_MS`, but keeps the most
    /// recently used one.
    pub fn close_idle(&self) {
        let mut idle = self.0.idle.borrow_mut();
        while idle.len() > 1 && idle[0].0.elapsed() > IDLE_TIMEOUT_MS {
            idle.remove(0);
            self.0.release();
        }
    }

    /// Ends the backoff; called when the member answers.
    pub fn reset_backoff(&self) {
        self.0.backoff_until.set(Ms::default());
    }
}

impl PoolState {
    fn release(&self) {
        self.open.set(self.open.get() - 1);
        self.released.notify();
    }
}

impl PooledConn {
    pub fn conn(&mut self) -> &mut Upstream {
        self.conn
            .as_mut()
            .expect("connection is held until it is returned or dropped")
    }

    /// Returns the connection to the pool.
    ///
    /// # Panics
    /// If the connection is inside a transaction or has answers outstanding.
    pub fn return_to_pool(mut self) {
        let Some(conn) = self.conn.take() else { return };
        assert_eq!(
            conn.status, b'I',
            "connection was returned to the pool while in use or inside a transaction"
        );
        self.state.idle.borrow_mut().push((Ms::now(), conn));
        self.state.released.notify();
        // Dropping `self` decrements the count, though the connection stays open.
        self.state.open.set(self.state.open.get() + 1);
    }
}

impl Drop for PooledConn {
    fn drop(&mut self) {
        self.conn = None;
        self.state.release();
    }
}
