//! Runs a daemon from start to stop.

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

/// Period of looks for a signal, in ms.
const SIGNAL_MS: u64 = 20;
/// Period of housekeeping, in ms.
const SWEEP_MS: u64 = 1000;
/// Time that running requests have once the listener is closed, in ms.
const FINISH_MS: u64 = 10_000;

/// Serves until SIGTERM or SIGINT, then stops without cutting requests.
///
/// # Errors
/// Tells what could not be opened.
pub fn serve(settings: Settings) -> Result<(), String> {
    // The legacy driver is asked for by name, so that io_uring is never used.
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> Result<(), String> {
    let tls = acceptor(&settings)?;
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
        sleep(SIGNAL_MS).await;
    }
    drain(&daemon).await;
    Ok(())
}

fn acceptor(settings: &Settings) -> Result<Option<Rc<TlsAcceptor>>, String> {
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
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(frontend::accept(daemon.clone(), stream, tls.clone()));
            }
            // Out of descriptors or the like: the listener itself is sound.
            Err(_) => sleep(SIGNAL_MS).await,
        }
    }
}

async fn accept_peers(daemon: Rc<Daemon>, listener: TcpListener) {
    let handler = internal::handler(&daemon);
    let secret: Rc<str> = Rc::from(&*daemon.settings.secret);
    let next = Cell::new(1);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(SIGNAL_MS).await;
            continue;
        };
        let link = next.replace(next.get() + 1);
        let (daemon, handler, secret) = (daemon.clone(), handler.clone(), secret.clone());
        monoio::spawn(async move {
            peer::serve(stream, link, secret, handler).await;
            daemon.pinned.end_link(link);
        });
    }
}

async fn housekeeping(daemon: Rc<Daemon>) {
    loop {
        sleep(SWEEP_MS).await;
        daemon.stats.gauge(Metric::Callers, daemon.sessions.open());
        daemon.pinned.end_idle(daemon.settings.timing.idle_tx_ms);
        for group in daemon.groups.borrow().values() {
            for member in &group.members {
                member.pool.close_idle();
            }
        }
    }
}

/// Stops without cutting requests: the balancer notices first, idle sessions end at a boundary,
/// and what runs is finished.
async fn drain(daemon: &Rc<Daemon>) {
    emit(
        Event::Stopping,
        &[
            ("name", &daemon.settings.name),
            ("callers", &daemon.sessions.open()),
        ],
    );
    daemon.membership.stopping.set(true);
    daemon.announce_stopping();
    sleep(daemon.settings.timing.drain_ms).await;
    daemon.closing.set(true);
    let until = Ms::now().plus(daemon.settings.timing.drain_ms);
    while daemon.sessions.open() > 0 && until.left() > 0 {
        sleep(SIGNAL_MS).await;
    }
    daemon.ending.set(true);
    daemon.stop.notify();
    let until = Ms::now().plus(FINISH_MS);
    let busy = || daemon.sessions.open() + daemon.running.get() + daemon.pinned.len() as u64;
    while busy() > 0 && until.left() > 0 {
        sleep(SIGNAL_MS).await;
    }
    emit(
        Event::Stopped,
        &[("name", &daemon.settings.name), ("cut", &busy())],
    );
}
