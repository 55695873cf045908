//! A daemon is stopped with SIGTERM while a client is in a transaction. The daemon takes a statement of the
//! transaction, passes it on to a member, and ends before the member has answered.

use base::Ms;

use crate::client::Client;
use crate::setting::Setting;
use crate::{Case, Verdict, sleep_ms};

/// Delay from an accepted order to a promotion; none takes place here.
const PROMOTE_MS: u64 = 1000;
/// Grace period of the settings.
const GRACE_MS: u64 = 6000;
/// Factor on the run time of the member's statements (3 ms): about 1.3 s a read, of the 1.5 s that the
/// route allows.
const WORK_FACTOR: u64 = 430;
/// Pause of the client between two statements.
const PAUSE_MS: u64 = 100;
/// Time that the rule gives beyond the grace period.
const RULE_SLACK_MS: u64 = 1000;
/// Requests sent up to this long after the SIGTERM may be excused.
const EXCUSED_MS: u64 = 3000;
/// Timeout of the route, in which a statement must be answered.
const ROUTE_TIMEOUT_MS: u64 = 1500;

pub async fn run(case: &Case) -> Verdict {
    let Some(mut setting) = Setting::start(case, PROMOTE_MS).await else {
        return Verdict::NotRun("the daemons were not ready".to_owned());
    };
    sleep_ms(1000).await;
    let group = setting.world.groups[0].clone();
    for member in &group.members {
        member.slowdown.set(WORK_FACTOR);
    }
    let Some((mut client, line)) = Client::connect(&setting.daemons[0].listen, "queue c1").await
    else {
        return Verdict::NotRun("no session".to_owned());
    };
    case.record
        .line(&format!("client: CONNECT queue c1 -> {line}"));
    for (id, text) in [("t0", "BEGIN READ"), ("t1", "READ load1")] {
        let answer = client.query(id, text, 3000).await;
        case.record
            .line(&format!("client: QUERY {id} {text} -> {answer:?}"));
        if answer.is_none_or(|lines| lines[0].starts_with("ERROR")) {
            return Verdict::NotRun("the transaction did not begin".to_owned());
        }
    }
    let stopped_at = Ms::now();
    if case.trouble {
        setting.daemons[0].signal("TERM");
        case.record.line("SIGTERM to front-0");
    }
    let mut verdict = None;
    for n in 2..8 {
        sleep_ms(PAUSE_MS).await;
        let (id, sent_at) = (format!("t{n}"), stopped_at.elapsed());
        let answer = client.query(&id, "READ load1", 5000).await;
        let ended_at = stopped_at.elapsed();
        let has_run = group.received_ids.borrow().contains(&*id);
        case.record.line(&format!(
            "client: QUERY {id} READ load1, sent {sent_at} ms after the SIGTERM -> {answer:?} at {ended_at} ms; \
             reached a member: {has_run}"
        ));
        let is_within = ended_at < GRACE_MS + RULE_SLACK_MS;
        let is_in_time = ended_at - sent_at < ROUTE_TIMEOUT_MS;
        match answer {
            Some(lines) if lines[0].starts_with("ROW") => {}
            Some(_) => break,
            None => {
                if has_run && sent_at > EXCUSED_MS && is_within && is_in_time {
                    verdict = Some(Verdict::Broken(format!(
                        "LOST: {id}, sent {sent_at} ms after the SIGTERM and passed on to a member, was cut \
                         after {} ms without an answer",
                        ended_at - sent_at
                    )));
                }
                break;
            }
        }
    }
    sleep_ms(1500).await;
    let exit = setting.daemons[0].exit();
    case.record.line(&format!("front-0 has ended: {exit:?}"));
    verdict.unwrap_or_else(|| {
        Verdict::Held("every statement that reached a member was answered".to_owned())
    })
}
