//! Log line and metrics of an answered statement.

use base::{Event, Field, emit};
use schema::Pos;

use crate::exec::{StatementContext, StatementTask};
use crate::stats::StatementLabels;
use crate::{ErrorKind, Outcome, Proxy, Reply};

/// Logs the outcome of a statement and updates the metrics.
pub fn record_outcome(proxy: &Proxy, cx: &StatementContext, task: &StatementTask, reply: &Reply) {
    let took = task.arrival().elapsed();
    let outcome = match reply.error_kind() {
        None => Outcome::Served,
        Some(ErrorKind::InDoubt) => Outcome::InDoubt,
        Some(kind) if kind.is_not_run() || kind == ErrorKind::Aborted => Outcome::NotRun,
        Some(_) => Outcome::Failed,
    };
    let labels = StatementLabels {
        group: cx.group.name.to_string(),
        outcome,
        write: if task.write { "true" } else { "false" },
    };
    proxy.stats.statements.get_or_create(&labels).inc();
    proxy.stats.latency.observe(histogram_sample(took));
    proxy.stats.wait.observe(histogram_sample(cx.wait_ms.get()));
    proxy.stats.retries.inc_by(cx.retries.get());
    let labels = cx.read_labels.borrow();
    if let Some(labels) = labels.as_ref()
        && outcome == Outcome::Served
        && !task.write
    {
        proxy.stats.reads.get_or_create(labels).inc();
    }
    let event = if outcome == Outcome::Served {
        Event::StatementServed
    } else {
        Event::StatementNotServed
    };
    let account = cx.identity.map(|i| proxy.accounts.name(i.account));
    let kind = reply.error_kind().map(|k| format!("{k:?}"));
    let kind = kind.unwrap_or_default();
    let (outcome, member) = (format!("{outcome:?}"), cx.member.borrow());
    let (pos, config) = (reply.pos.unwrap_or(Pos::ZERO), proxy.config_version.get());
    let waited_ms = cx.wait_ms.get();
    let mut fields: Vec<Field> = vec![
        ("id", &task.statement.id),
        ("database", &cx.route.database),
        ("outcome", &outcome),
        ("kind", &kind),
        ("member", &member),
        ("pos", &pos),
        ("config", &config),
        ("waited_ms", &waited_ms),
        ("took_ms", &took),
    ];
    if let Some(account) = &account {
        fields.push(("account", account));
    }
    emit(event, &fields);
}

fn histogram_sample(ms: u64) -> f64 {
    f64::from(u32::try_from(ms).unwrap_or(u32::MAX))
}
