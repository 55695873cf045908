//! Client connection of a caller.

use std::str::FromStr;
use std::time::Duration;

use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// Timeout of connecting and of a statement; generous, because it only guards against hangs.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcome of a request, as reported to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// First column of each row, as text.
    Answer(Vec<String>),
    /// The request was refused and did not run.
    NotRun { code: String, retry_ms: u64 },
    /// The request may have run.
    Unknown,
    /// The database rejected the request, with this error code and message.
    Failed(String),
}

/// A connection to a daemon, or directly to a member.
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Logs in with [`password_of`](crate::cluster::password_of) the user, presenting the session
    /// token unless it is empty.
    pub async fn connect(
        addr: &str,
        service: &str,
        user: &str,
        token: &str,
    ) -> Result<Caller, String> {
        let (host, port) = addr.split_once(':').ok_or("the address has no port")?;
        let mut config = Config::from_str(&format!(
            "host={host} port={port} user={user} dbname={service}"
        ))
        .map_err(|e| e.to_string())?;
        config.password(crate::cluster::password_of(user));
        if !token.is_empty() {
            config.options(format!("-c hollyreach.token={token}"));
        }
        let connected = tokio::time::timeout(REQUEST_TIMEOUT, config.connect(NoTls)).await;
        let (client, connection) = connected
            .map_err(|_| "connection attempt timed out")?
            .map_err(|e| error_text(&e))?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Caller { client })
    }

    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Runs a simple query; the outcome is unknown after [`REQUEST_TIMEOUT`].
    pub async fn simple_query(&self, sql: &str) -> Outcome {
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, self.client.simple_query(sql)).await;
        let Ok(answer) = answer else {
            return Outcome::Unknown;
        };
        match answer {
            Ok(messages) => {
                let row = |m: &SimpleQueryMessage| match m {
                    SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or_default().to_owned()),
                    _ => None,
                };
                Outcome::Answer(messages.iter().filter_map(row).collect())
            }
            Err(e) => outcome_of(&e),
        }
    }

    /// Runs a simple query and returns all columns of its first row.
    pub async fn first_row(&self, sql: &str) -> Option<Vec<String>> {
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, self.client.simple_query(sql))
            .await
            .ok()?
            .ok()?;
        answer.iter().find_map(|m| match m {
            SimpleQueryMessage::Row(row) => Some(
                (0..row.len())
                    .map(|i| row.get(i).unwrap_or_default().to_owned())
                    .collect(),
            ),
            _ => None,
        })
    }

    /// Runs a prepared query with text parameters; otherwise like `simple_query`.
    pub async fn prepared_query(&self, sql: &str, params: &[&str]) -> Outcome {
        let params: Vec<&(dyn tokio_postgres::types::ToSql + Sync)> =
            params.iter().map(|p| p as _).collect();
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, self.client.query(sql, &params)).await;
        let Ok(answer) = answer else {
            return Outcome::Unknown;
        };
        match answer {
            Ok(rows) => Outcome::Answer(
                rows.iter()
                    .map(|r| r.try_get(0).unwrap_or_default())
                    .collect(),
            ),
            Err(e) => outcome_of(&e),
        }
    }

    /// Token of the session; empty if it cannot be read.
    pub async fn session_token(&self) -> String {
        match self.simple_query("SHOW hollyreach.token").await {
            Outcome::Answer(rows) => rows.into_iter().next().unwrap_or_default(),
            _ => String::new(),
        }
    }

    /// Handle that cancels the running statement.
    pub fn cancel_token(&self) -> tokio_postgres::CancelToken {
        self.client.cancel_token()
    }
}

fn error_text(e: &tokio_postgres::Error) -> String {
    e.as_db_error().map_or_else(
        || e.to_string(),
        |d| format!("{}: {}", d.code().code(), d.message()),
    )
}

/// Outcome that an error reports in its detail, with the retry delay from its hint.
pub fn outcome_of(e: &tokio_postgres::Error) -> Outcome {
    let Some(error) = e.as_db_error() else {
        return Outcome::Unknown;
    };
    let detail = error.detail().unwrap_or_default();
    let retry_ms = error
        .hint()
        .and_then(|h| h.split(' ').find_map(|w| w.parse().ok()))
        .unwrap_or(0);
    if detail.contains("outcome: not run") {
        return Outcome::NotRun {
            code: error.code().code().to_owned(),
            retry_ms,
        };
    }
    if detail.contains("outcome: unknown") {
        return Outcome::Unknown;
    }
    Outcome::Failed(format!("{}: {}", error.code().code(), error.message()))
}
