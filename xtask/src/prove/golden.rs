//! Differential test of one session: through the fleet, directly to the primary, and a golden file.

use std::fmt::Write;

use tokio_postgres::{NoTls, SimpleQueryMessage};

use crate::cluster::{ClusterConfig, password_of};
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness};

/// Statements of the session in order; those with a leading `$` are prepared and run with the one
/// parameter behind `|`.
const SCRIPT: &[&str] = &[
    "SELECT v FROM bookings WHERE k = 'g1'",
    "INSERT INTO bookings (k, v) VALUES ('g1', 'pit 4')",
    "SELECT v FROM bookings WHERE k = 'g1'",
    "$SELECT k, v FROM bookings WHERE k = $1|g1",
    "UPDATE bookings SET v = 'pit 5' WHERE k = 'g1'",
    "$SELECT v FROM bookings WHERE k = $1|g1",
    "BEGIN",
    "INSERT INTO bookings (k, v) VALUES ('g2', 'pit 1')",
    "SELECT count(*) FROM bookings WHERE k = 'g2'",
    "ROLLBACK",
    "SELECT count(*) FROM bookings WHERE k = 'g2'",
    "BEGIN",
    "INSERT INTO bookings (k, v) VALUES ('g3', 'pit 2')",
    "FETCH nonsense",
    "SELECT v FROM bookings WHERE k = 'g3'",
    "COMMIT",
    "SELECT count(*) FROM bookings WHERE k = 'g3'",
    "BEGIN; INSERT INTO bookings (k, v) VALUES ('g4', 'a'); COMMIT",
    "SELECT v FROM bookings WHERE k = 'g4'; SELECT v FROM bookings WHERE k = 'g1'",
    "SET application_name = 'golden'",
    "SHOW application_name",
    "$SELECT v FROM bookings WHERE k = $1|g4",
    "DELETE FROM bookings WHERE k = 'g1'",
    "$SELECT v FROM bookings WHERE k = $1|g1",
    "",
];

/// Runs [`SCRIPT`] on one connection and returns the statements with their answers.
async fn transcript(addr: &str) -> Result<String, String> {
    let (host, port) = addr.split_once(':').ok_or("address without a port")?;
    let mut config = tokio_postgres::Config::new();
    config
        .host(host)
        .port(port.parse().map_err(|_| "port is not a number")?)
        .user("lakeshore-desk")
        .dbname("slots")
        .password(password_of("lakeshore-desk"));
    let (client, driver) = config.connect(NoTls).await.map_err(|e| e.to_string())?;
    tokio::spawn(async move {
        let _ = driver.await;
    });
    let mut out = String::new();
    for line in SCRIPT {
        let _ = writeln!(out, "> {line}");
        if let Some((sql, param)) = line.strip_prefix('$').and_then(|l| l.split_once('|')) {
            match client.query(sql, &[&param]).await {
                Ok(rows) => {
                    for row in &rows {
                        let columns: Vec<String> = (0..row.len()).map(|i| row.get(i)).collect();
                        let _ = writeln!(out, "< {}", columns.join(" | "));
                    }
                    let _ = writeln!(out, "< {} rows", rows.len());
                }
                Err(e) => write_error(&mut out, &e),
            }
            continue;
        }
        match client.simple_query(line).await {
            Ok(messages) => messages.iter().for_each(|m| write_message(&mut out, m)),
            Err(e) => write_error(&mut out, &e),
        }
    }
    Ok(out)
}

fn write_message(out: &mut String, message: &SimpleQueryMessage) {
    let _ = match message {
        SimpleQueryMessage::Row(row) => {
            let columns: Vec<&str> = (0..row.len())
                .map(|i| row.get(i).unwrap_or("NULL"))
                .collect();
            writeln!(out, "< {}", columns.join(" | "))
        }
        SimpleQueryMessage::CommandComplete(count) => writeln!(out, "< complete {count}"),
        SimpleQueryMessage::RowDescription(columns) => {
            let names: Vec<&str> = columns
                .iter()
                .map(tokio_postgres::SimpleColumn::name)
                .collect();
            writeln!(out, "< columns {}", names.join(" | "))
        }
        _ => Ok(()),
    };
}

fn write_error(out: &mut String, e: &tokio_postgres::Error) {
    let _ = match e.as_db_error() {
        Some(db) => writeln!(out, "< error {}: {}", db.code().code(), db.message()),
        None => writeln!(out, "< connection lost"),
    };
}

/// Whether a daemon has an `io_uring` open, by its file descriptors.
fn uses_io_uring(harness: &mut Harness) -> bool {
    let names = harness.cluster.daemon_names();
    let pids = names
        .iter()
        .filter_map(|n| harness.cluster.process(n).map(|p| p.id()));
    let descriptors = pids
        .filter_map(|pid| std::fs::read_dir(format!("/proc/{pid}/fd")).ok())
        .flatten()
        .flatten();
    let targets = descriptors.filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let mut count = 0;
    let found = targets
        .inspect(|_| count += 1)
        .any(|t| t.to_string_lossy().contains("io_uring"));
    assert!(
        count > names.len(),
        "file descriptors of the daemons can't be read"
    );
    found
}

/// Guards against answers that differ from those of a direct connection to the primary.
///
/// The session covers simple and prepared statements, transactions, errors and settings. A
/// difference between fleet and primary is a fault of the proxying. A change that affects both is
/// found by comparison with `xtask/golden/session.txt`. Daemons must not use `io_uring` either.
pub async fn session(ctx: CaseContext) -> Result<CaseReport, String> {
    let config = ClusterConfig::default();
    let naive = Harness::start(CaseContext { naive: true, ..ctx }, config.clone()).await?;
    let direct = transcript(&naive.wait_for_primary().await?).await?;
    drop(naive);
    let mut harness = Harness::start(
        CaseContext {
            naive: false,
            ..ctx
        },
        config,
    )
    .await?;
    // The second daemon of the second data centre; the primary is in the first.
    let proxied = transcript(&harness.caller_addrs()[4]).await?;
    let path = crate::codegen::root().join("xtask/golden/session.txt");
    if std::env::var_os("UPDATE_EXPECT").is_some() {
        std::fs::write(&path, &proxied).map_err(|e| e.to_string())?;
    }
    let golden = std::fs::read_to_string(&path).unwrap_or_default();
    let mut report = harness.finish().await?;
    report.check(
        proxied == direct,
        "the session through the fleet differs from the one directly to the primary",
    );
    report.check(
        proxied == golden,
        "the session differs from xtask/golden/session.txt",
    );
    report.check(
        !uses_io_uring(&mut harness),
        "a daemon has an io_uring open",
    );
    report.record("lines", proxied.lines().count());
    Ok(report)
}
