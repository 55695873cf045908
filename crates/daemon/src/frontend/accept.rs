//! Takes callers in: start-up, login, limits.

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

/// Start-up parameter and option that carries a session's token.
pub const TOKEN: &str = "hollyreach.token";

/// Serves one connection of a caller until it ends.
pub async fn accept(daemon: Rc<Daemon>, stream: TcpStream, tls: Option<Rc<TlsAcceptor>>) {
    let Ok(caller) = Caller::new(stream, daemon.settings.limits.message_bytes) else {
        return;
    };
    let limit = Duration::from_millis(daemon.settings.timing.startup_ms);
    let Ok(greeted) =
        monoio::time::timeout(limit, Box::pin(caller.read_startup(tls.as_deref()))).await
    else {
        return;
    };
    let (mut caller, greeting) = match greeted {
        Ok(done) => done,
        Err(why) => {
            emit(Event::CallerRefused, &[("why", &why_text(why))]);
            return;
        }
    };
    let params = match greeting {
        StartupRequest::Cancel(pid, secret) => {
            daemon.cancel(&Cancel { pid, secret }).await;
            return;
        }
        StartupRequest::Session(startup) => startup.parameters,
    };
    let welcomed =
        monoio::time::timeout(limit, Box::pin(enter(&daemon, &mut caller, &params))).await;
    let why = match welcomed {
        Ok(Ok((institution, user))) => {
            match Box::pin(open(&daemon, caller, &params, &institution, &user)).await {
                Ok(()) => return,
                Err((why, mut caller)) => {
                    let _ = caller.send(&error_frame(why, 0, "")).await;
                    why
                }
            }
        }
        Ok(Err(why)) => {
            let _ = caller.send(&error_frame(why, 0, "")).await;
            why
        }
        Err(_) => {
            let _ = caller.send(&error_frame(Reason::Startup, 0, "")).await;
            Reason::Startup
        }
    };
    emit(Event::CallerRefused, &[("why", &why_text(why))]);
}

fn why_text(why: Reason) -> String {
    format!("{why:?}")
}

/// Checks the login; unknown users take the same steps as known ones.
async fn enter(
    daemon: &Rc<Daemon>,
    caller: &mut Caller,
    params: &BTreeMap<String, String>,
) -> Result<(Rc<Institution>, User), Reason> {
    if daemon.closing.get() {
        return Err(Reason::Leaving);
    }
    if daemon.config_store.institutions().is_empty() {
        return Err(Reason::NoConfig);
    }
    let name = params.get("user").ok_or(Reason::Protocol)?;
    let service = params.get("database").unwrap_or(name);
    // A user belongs to the institution whose service it names, so that one institution can
    // never reach another's services.
    let found = daemon
        .config_store
        .institutions()
        .into_iter()
        .find_map(|institution| {
            let user = institution
                .users
                .iter()
                .find(|u| *u.name == **name)?
                .clone();
            institution.service(service)?;
            Some((institution, user))
        });
    let known = found
        .as_ref()
        .and_then(|(_, u)| Verifier::new(&u.salt, &u.hash, u.rounds));
    let verifier = known.unwrap_or_else(|| Verifier::never(u64::from(cancel_pid(name))));
    caller.login(&verifier).await?;
    found.ok_or(Reason::Auth)
}

/// Runs the session of a caller that has logged in.
async fn open(
    daemon: &Rc<Daemon>,
    mut caller: Caller,
    params: &BTreeMap<String, String>,
    institution: &Rc<Institution>,
    user: &User,
) -> Result<(), (Reason, Caller)> {
    let current = CurrentRequest::default();
    let limits = (daemon.settings.limits.callers, institution.callers);
    let Some(counted) = daemon
        .sessions
        .register(&institution.name, limits, &current)
    else {
        emit(Event::CallerLimit, &[("institution", &institution.name)]);
        return Err((Reason::CallerLimit, caller));
    };
    let token = match token_of(params) {
        Ok(token) => token,
        Err(why) => return Err((why, caller)),
    };
    let key = (cancel_pid(&daemon.settings.name), counted.secret());
    let shown = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    if caller.complete_startup(key, &shown).await.is_err() {
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

/// Reads a token from the start-up parameters or from `options=-c hollyreach.token=…`.
fn token_of(params: &BTreeMap<String, String>) -> Result<Option<Pos>, Reason> {
    let option = params.get("options").and_then(|o| {
        let words = o.split_whitespace();
        words
            .filter_map(|w| w.trim_start_matches("-c").split_once('='))
            .find(|(n, _)| *n == TOKEN)
            .map(|(_, v)| v)
    });
    let Some(text) = params.get(TOKEN).map(String::as_str).or(option) else {
        return Ok(None);
    };
    if text.is_empty() {
        return Ok(None);
    }
    Pos::parse(text).map(Some).ok_or(Reason::Protocol)
}
