//! A daemon is stopped with SIGTERM while a client is in a transaction, and the primary is replaced as planned
//! meanwhile. The daemon takes the first statement of the transaction, lets it wait for a primary, and ends.

use base::Ms;

use crate::client::Client;
use crate::setting::Setting;
use crate::{Case, Verdict, sleep_ms};

/// Delay from an accepted order to the promotion, as on the sheet.
const PROMOTE_MS: u64 = 1000;
/// Grace period of the settings.
const GRACE_MS: u64 = 6000;
/// When the client begins its transaction, after the SIGTERM.
const BEGIN_AT_MS: u64 = 2000;
/// When the primary reports that it drains.
const DRAIN_AT_MS: u64 = 4000;
/// When the client sends the first statement of the transaction. The pause is within `tx_idle_ms` (3,000).
const STATEMENT_AT_MS: u64 = 4500;
/// Time that the rule gives beyond the grace period.
const RULE_SLACK_MS: u64 = 1000;
/// `loss_slack_ms` of the sheet.
const LOSS_SLACK_MS: u64 = 200;
/// Timeout of the route, in which a statement must be answered.
const ROUTE_TIMEOUT_MS: u64 = 1500;

pub async fn run(case: &Case) -> Verdict {
    let Some(mut setting) = Setting::start(case, PROMOTE_MS).await else {
        return Verdict::NotRun("the daemons were not ready".to_owned());
    };
    sleep_ms(1000).await;
    let group = setting.world.groups[0].clone();
    let Some((mut client, line)) = Client::connect(&setting.daemons[0].listen, "queue c1").await
    else {
        return Verdict::NotRun("no session".to_owned());
    };
    case.record
        .line(&format!("client: CONNECT queue c1 -> {line}"));
    if case.trouble {
        setting.daemons[0].signal("TERM");
        case.record.line("SIGTERM to front-0");
    }
    let stopped_at = Ms::now();
    sleep_ms(stopped_at.plus(BEGIN_AT_MS).left()).await;
    let answer = client.query("t0", "BEGIN", 1000).await;
    case.record
        .line(&format!("client: QUERY t0 BEGIN -> {answer:?}"));
    if answer.is_none_or(|lines| lines[0].starts_with("ERROR")) {
        return Verdict::NotRun("the transaction did not begin".to_owned());
    }
    sleep_ms(stopped_at.plus(DRAIN_AT_MS).left()).await;
    group.set_draining(0, true);
    case.record
        .line("g0-0, the primary, reports that it drains");
    sleep_ms(stopped_at.plus(STATEMENT_AT_MS).left()).await;
    let sent_at = stopped_at.elapsed();
    let is_sent = client.send("QUERY t1 READ load1\r\n").await.is_some();
    case.record.line(&format!(
        "client: QUERY t1 READ load1, {sent_at} ms after the SIGTERM; sent: {is_sent}"
    ));
    let mut lines = Vec::new();
    while let Some(line) = client.line(5000).await {
        let is_end = line.starts_with("READY");
        lines.push(line);
        if is_end {
            break;
        }
    }
    let ended_at = stopped_at.elapsed();
    let has_run = group.received_ids.borrow().contains("t1");
    case.record.line(&format!(
        "client: t1 -> {lines:?} at {ended_at} ms; reached a member: {has_run}"
    ));
    sleep_ms(2500).await;
    for promoted in group.promoted.borrow().iter() {
        let at = promoted.at.0.saturating_sub(stopped_at.0);
        case.record
            .line(&format!("{} was promoted at {at} ms", promoted.id));
    }
    let exit = setting.daemons[0].exit();
    case.record.line(&format!("front-0 has ended: {exit:?}"));
    let is_whole = lines.last().is_some_and(|line| line.starts_with("READY"));
    let took_ms = ended_at - sent_at;
    if is_whole || !is_sent {
        return Verdict::Held(format!("t1 was answered after {took_ms} ms: {lines:?}"));
    }
    if took_ms <= LOSS_SLACK_MS
        || took_ms >= ROUTE_TIMEOUT_MS
        || ended_at >= GRACE_MS + RULE_SLACK_MS
    {
        return Verdict::Held(format!(
            "t1 ended after {took_ms} ms, which the rule excuses"
        ));
    }
    Verdict::Broken(format!(
        "LOST: t1, sent {sent_at} ms after the SIGTERM, was cut after {took_ms} ms without an answer"
    ))
}
