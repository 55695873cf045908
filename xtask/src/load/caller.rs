//! One caller's connection.

use std::str::FromStr;
use std::time::Duration;

use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// Time for a connection and for a statement; generous, since it only guards against hanging.
const LIMIT: Duration = Duration::from_secs(10);

/// What a caller was told of its request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The rows, as text; the first column of each.
    Answer(Vec<String>),
    /// The request was refused and did not run.
    NotRun { code: String, retry_ms: u64 },
    /// It may have run.
    Unknown,
    /// The database refused it.
    Failed(String),
}

/// A connection to a daemon, or straight to a member.
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Connects; the token is presented if there is one.
    pub async fn connect(
        addr: &str,
        service: &str,
        user: &str,
        token: &str,
    ) -> Result<Caller, String> {
        let (host, port) = addr.split_once(':').ok_or("an address has a port")?;
        let mut config = Config::from_str(&format!(
            "host={host} port={port} user={user} dbname={service}"
        ))
        .map_err(|e| e.to_string())?;
        config.password(crate::cluster::password_of(user));
        if !token.is_empty() {
            config.options(format!("-c hollyreach.token={token}"));
        }
        let connected = tokio::time::timeout(LIMIT, config.connect(NoTls)).await;
        let (client, driver) = connected
            .map_err(|_| "connecting took too long")?
            .map_err(|e| text_of(&e))?;
        tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Caller { client })
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Runs a simple query.
    pub async fn simple_query(&self, sql: &str) -> Outcome {
        let answer = tokio::time::timeout(LIMIT, self.client.simple_query(sql)).await;
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
            Err(e) => told(&e),
        }
    }

    /// All columns of the first row of a simple query.
    pub async fn first_row(&self, sql: &str) -> Option<Vec<String>> {
        let answer = tokio::time::timeout(LIMIT, self.client.simple_query(sql))
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

    /// Runs a prepared query with text parameters.
    pub async fn prepared_query(&self, sql: &str, params: &[&str]) -> Outcome {
        let params: Vec<&(dyn tokio_postgres::types::ToSql + Sync)> =
            params.iter().map(|p| p as _).collect();
        let answer = tokio::time::timeout(LIMIT, self.client.query(sql, &params)).await;
        let Ok(answer) = answer else {
            return Outcome::Unknown;
        };
        match answer {
            Ok(rows) => Outcome::Answer(
                rows.iter()
                    .map(|r| r.try_get(0).unwrap_or_default())
                    .collect(),
            ),
            Err(e) => told(&e),
        }
    }

    /// The session's token.
    pub async fn session_token(&self) -> String {
        match self.simple_query("SHOW hollyreach.token").await {
            Outcome::Answer(rows) => rows.into_iter().next().unwrap_or_default(),
            _ => String::new(),
        }
    }

    /// A handle to cancel what runs.
    pub fn cancel_token(&self) -> tokio_postgres::CancelToken {
        self.client.cancel_token()
    }
}

fn text_of(e: &tokio_postgres::Error) -> String {
    e.as_db_error().map_or_else(
        || e.to_string(),
        |d| format!("{}: {}", d.code().code(), d.message()),
    )
}

/// Reads the outcome from an error.
pub fn told(e: &tokio_postgres::Error) -> Outcome {
    let Some(error) = e.as_db_error() else {
        return Outcome::Unknown;
    };
    let detail = error.detail().unwrap_or_default();
    let retry = error
        .hint()
        .and_then(|h| h.split(' ').find_map(|w| w.parse().ok()))
        .unwrap_or(0);
    if detail.contains("outcome: not run") {
        return Outcome::NotRun {
            code: error.code().code().to_owned(),
            retry_ms: retry,
        };
    }
    if detail.contains("outcome: unknown") {
        return Outcome::Unknown;
    }
    Outcome::Failed(format!("{}: {}", error.code().code(), error.message()))
}
