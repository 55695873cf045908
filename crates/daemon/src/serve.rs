//! Start, main loop and graceful shutdown of a daemon.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use base::{Event, Metric, Ms, emit};
use monoio::net::TcpListener;
use schema::Settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::join::sleep;
use crate::state::Daemon;
use crate::{config_sync, frontend, internal};

/// Poll interval of the main loop, which waits for signals and for the shutdown, and retry delay of
/// a failed accept, in ms.
const POLL_INTERVAL_MS: u64 = 20;
/// Interval between two runs of `housekeeping`, in ms.
const HOUSEKEEPING_INTERVAL_MS: u64 = 1000;
/// Time for running requests and open transactions to end at shutdown, after idle sessions have
/// been closed, in ms.
const FINISH_TIMEOUT_MS: u64 = 10_000;

/// Serves until SIGTERM or SIGINT, then shuts down gracefully.
///
/// # Errors
/// Names the setting or resource that could not be opened.
pub fn serve(settings: Settings) -> Result<(), String> {
    // The legacy driver is selected explicitly, so that io_uring is never used.
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> Result<(), String> {
    let tls = tls_acceptor(&settings)?;
    let callers = TcpListener::bind(&*settings.listen)
        .map_err(|e| format!("listen {}: {e}", settings.listen))?;
    let peers = TcpListener::bind(&*settings.internal)
        .map_err(|e| format!("internal {}: {e}", settings.internal))?;
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(|e| format!("signals: {e}"))?;
    }
    let daemon = Rc::new(Daemon::new(settings)?);
    emit(
        Event::Started,
        &[
            ("name", &daemon.settings.name),
            ("listen", &daemon.settings.listen),
            ("internal", &daemon.settings.internal),
        ],
    );
    config_sync::run(&daemon);
    monoio::spawn(accept_peers(daemon.clone(), peers));
    monoio::spawn(accept_callers(daemon.clone(), callers, tls));
    monoio::spawn(housekeeping(daemon.clone()));
    while !stop.load(Ordering::Relaxed) {
        sleep(POLL_INTERVAL_MS).await;
    }
    drain(&daemon).await;
    Ok(())
}

fn tls_acceptor(settings: &Settings) -> Result<Option<Rc<TlsAcceptor>>, String> {
    let Some(tls) = &settings.tls else {
        return Ok(None);
    };
    let certs: Result<Vec<_>, _> = CertificateDer::pem_file_iter(&*tls.cert)
        .map_err(|e| format!("tls.cert: {e}"))?
        .collect();
    let certs = certs.map_err(|e| format!("tls.cert: {e}"))?;
    let key = PrivateKeyDer::from_pem_file(&*tls.key).map_err(|e| format!("tls.key: {e}"))?;
    let config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(certs, key);
    let config = config.map_err(|e| format!("tls: {e}"))?;
    Ok(Some(Rc::new(TlsAcceptor::from(Arc::new(config)))))
}

async fn accept_callers(daemon: Rc<Daemon>, listener: TcpListener, tls: Option<Rc<TlsAcceptor>>) {
    loop {
        let stream = link::accept(&listener).await;
        monoio::spawn(frontend::accept(daemon.clone(), stream, tls.clone()));
    }
}

async fn accept_peers(daemon: Rc<Daemon>, listener: TcpListener) {
    let handler = internal::handler(&daemon);
    let secret: Rc<str> = Rc::from(&*daemon.settings.secret);
    let next_conn_id = Cell::new(1);
    loop {
        let stream = link::accept(&listener).await;
        let conn_id = next_conn_id.replace(next_conn_id.get() + 1);
        let (daemon, handler, secret) = (daemon.clone(), handler.clone(), secret.clone());
        monoio::spawn(async move {
            peer::serve(stream, conn_id, secret, handler).await;
            daemon.pinned.end_on_conn(conn_id);
        });
    }
}

/// Periodically updates the gauge of callers, and closes idle transactions and idle connections.
async fn housekeeping(daemon: Rc<Daemon>) {
    loop {
        sleep(HOUSEKEEPING_INTERVAL_MS).await;
        daemon
            .stats
            .gauge(Metric::Callers, daemon.sessions.open_count());
        daemon.pinned.end_idle(daemon.settings.timing.idle_tx_ms);
        for group in daemon.groups.borrow().values() {
            for member in &group.members {
                member.pool.close_idle();
            }
        }
    }
}

/// Shuts down gracefully, in three stages: `drain_ms` for load balancers to notice, up to another
/// `drain_ms` in which sessions are closed after an answer, and up to `FINISH_TIMEOUT_MS` in which
/// idle ones are closed too and running requests end.
async fn drain(daemon: &Rc<Daemon>) {
    emit(
        Event::Stopping,
        &[
            ("name", &daemon.settings.name),
            ("callers", &daemon.sessions.open_count()),
        ],
    );
    daemon.membership.stopping.set(true);
    daemon.announce_stopping();
    sleep(daemon.settings.timing.drain_ms).await;
    daemon.close_after_answer.set(true);
    let deadline = Ms::now().plus(daemon.settings.timing.drain_ms);
    while daemon.sessions.open_count() > 0 && deadline.left() > 0 {
        sleep(POLL_INTERVAL_MS).await;
    }
    daemon.close_when_idle.set(true);
    daemon.shutdown_signal.notify();
    let deadline = Ms::now().plus(FINISH_TIMEOUT_MS);
    let busy_count =
        || daemon.sessions.open_count() + daemon.running_batches.get() + daemon.pinned.len() as u64;
    while busy_count() > 0 && deadline.left() > 0 {
        sleep(POLL_INTERVAL_MS).await;
    }
    emit(
        Event::Stopped,
        &[("name", &daemon.settings.name), ("cut", &busy_count())],
    );
}
