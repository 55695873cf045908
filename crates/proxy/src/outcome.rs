//! Log line and metrics of an answered statement.

use base::{Event, emit};
use schema::Pos;

use crate::exec::{StatementContext, StatementTask};
use crate::stats::StatementLabels;
use crate::{ErrorKind, Outcome, Proxy, Reply};

/// Logs the outcome of a statement and updates the metrics.
pub fn record_outcome(proxy: &Proxy, cx: &StatementContext, task: &StatementTask, reply: &Reply) {
    let took = task.arrival.elapsed();
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
    emit(
        if outcome == Outcome::Served {
            Event::StatementServed
        } else {
            Event::StatementNotServed
        },
        &[
            ("id", &task.statement.id),
            ("database", &cx.route.database),
            ("outcome", &format!("{outcome:?}")),
            (
                "kind",
                &reply
                    .error_kind()
                    .map_or(String::new(), |k| format!("{k:?}")),
            ),
            ("member", &cx.member.borrow()),
            ("pos", &reply.pos.unwrap_or(Pos::ZERO)),
            ("config", &proxy.config_version.get()),
            ("waited_ms", &cx.wait_ms.get()),
            ("took_ms", &took),
        ],
    );
}

fn histogram_sample(ms: u64) -> f64 {
    f64::from(u32::try_from(ms).unwrap_or(u32::MAX))
}
