//! Accepts callers: start-up message, login and session limits.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use base::{Event, emit};
use monoio::net::TcpStream;
use pg::{Caller, StartupRequest, Verifier, error_frame};
use schema::{Cancel, Institution, Pos, Reason, User};
use tokio_rustls::TlsAcceptor;

use crate::frontend::session::Session;
use crate::frontend::sessions::{CurrentRequest, cancel_pid};
use crate::state::Daemon;

/// Session parameter that carries the read-your-writes token; accepted at start-up and in `SET`.
pub const TOKEN_PARAM: &str = "hollyreach.token";

/// Serves one caller's connection until it closes.
pub async fn accept(daemon: Rc<Daemon>, stream: TcpStream, tls: Option<Rc<TlsAcceptor>>) {
    let Ok(caller) = Caller::new(stream, daemon.settings.limits.message_bytes) else {
        return;
    };
    let startup_timeout = Duration::from_millis(daemon.settings.timing.startup_ms);
    let Ok(startup) = monoio::time::timeout(
        startup_timeout,
        Box::pin(caller.read_startup(tls.as_deref())),
    )
    .await
    else {
        return;
    };
    let (mut caller, request) = match startup {
        Ok(parsed) => parsed,
        Err(reason) => {
            emit(Event::CallerRefused, &[("why", &reason_text(reason))]);
            return;
        }
    };
    let params = match request {
        StartupRequest::Cancel(pid, secret) => {
            daemon.cancel(&Cancel { pid, secret }).await;
            return;
        }
        StartupRequest::Session(startup) => startup.parameters,
    };
    let login = monoio::time::timeout(
        startup_timeout,
        Box::pin(log_in(&daemon, &mut caller, &params)),
    )
    .await;
    let reason = match login {
        Ok(Ok((institution, user))) => {
            match Box::pin(serve_session(&daemon, caller, &params, &institution, &user)).await {
                Ok(()) => return,
                Err((reason, mut caller)) => {
                    let _ = caller.send(&error_frame(reason, 0, "")).await;
                    reason
                }
            }
        }
        Ok(Err(reason)) => {
            let _ = caller.send(&error_frame(reason, 0, "")).await;
            reason
        }
        Err(_) => {
            let _ = caller.send(&error_frame(Reason::Startup, 0, "")).await;
            Reason::Startup
        }
    };
    emit(Event::CallerRefused, &[("why", &reason_text(reason))]);
}

fn reason_text(reason: Reason) -> String {
    format!("{reason:?}")
}

/// Authenticates the caller; returns its user and the institution of the user and the service.
///
/// An unknown user gets the same exchange as a known one, so that the login does not reveal which
/// users exist.
///
/// # Errors
/// `Leaving` and `NoConfig` when the daemon accepts no sessions; `Protocol` or `Auth` when the
/// login fails.
async fn log_in(
    daemon: &Rc<Daemon>,
    caller: &mut Caller,
    params: &BTreeMap<String, String>,
) -> Result<(Rc<Institution>, User), Reason> {
    if daemon.close_after_answer.get() {
        return Err(Reason::Leaving);
    }
    if daemon.config_store.institutions().is_empty() {
        return Err(Reason::NoConfig);
    }
    let name = params.get("user").ok_or(Reason::Protocol)?;
    let service = params.get("database").unwrap_or(name);
    // The user and the service must belong to the same institution, so that no institution can
    // reach another's services.
    let found = daemon
        .config_store
        .institutions()
        .into_iter()
        .find_map(|institution| {
            let user = institution
                .users
                .iter()
                .find(|user| *user.name == **name)?
                .clone();
            institution.service(service)?;
            Some((institution, user))
        });
    let known = found
        .as_ref()
        .and_then(|(_, user)| Verifier::new(&user.salt, &user.hash, user.rounds));
    let verifier = known.unwrap_or_else(|| Verifier::reject_all(u64::from(cancel_pid(name))));
    caller.login(&verifier).await?;
    found.ok_or(Reason::Auth)
}

/// Serves the session of an authenticated caller until it ends.
///
/// # Errors
/// `CallerLimit` if there are too many sessions, `Protocol` if the token is malformed; the caller is
/// returned as well, so that the error can be sent to it.
async fn serve_session(
    daemon: &Rc<Daemon>,
    mut caller: Caller,
    params: &BTreeMap<String, String>,
    institution: &Rc<Institution>,
    user: &User,
) -> Result<(), (Reason, Caller)> {
    let current = CurrentRequest::default();
    let limits = (daemon.settings.limits.callers, institution.callers);
    let Some(guard) = daemon
        .sessions
        .register(&institution.name, limits, &current)
    else {
        emit(Event::CallerLimit, &[("institution", &institution.name)]);
        return Err((Reason::CallerLimit, caller));
    };
    let token = match parse_token(params) {
        Ok(token) => token,
        Err(reason) => return Err((reason, caller)),
    };
    let key = (cancel_pid(&daemon.settings.name), guard.secret());
    let server_params = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    if caller.complete_startup(key, &server_params).await.is_err() {
        return Ok(());
    }
    let service = params.get("database").unwrap_or(&params["user"]);
    let session = Session::new(
        daemon.clone(),
        institution,
        service,
        &user.name,
        token,
        current,
    );
    Box::pin(session.serve(caller)).await;
    Ok(())
}

/// Reads the read-your-writes token from the start-up parameters or from
/// `options=-c hollyreach.token=…`; `None` if it is missing or empty.
fn parse_token(params: &BTreeMap<String, String>) -> Result<Option<Pos>, Reason> {
    let option = params.get("options").and_then(|options| {
        let settings = options.split_whitespace();
        settings
            .filter_map(|word| word.trim_start_matches("-c").split_once('='))
            .find(|(name, _)| *name == TOKEN_PARAM)
            .map(|(_, value)| value)
    });
    let Some(text) = params.get(TOKEN_PARAM).map(String::as_str).or(option) else {
        return Ok(None);
    };
    if text.is_empty() {
        return Ok(None);
    }
    Pos::parse(text).map(Some).ok_or(Reason::Protocol)
}
