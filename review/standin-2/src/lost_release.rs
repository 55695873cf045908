//! The primary is replaced as planned shortly after the only replica that has received the last commits has
//! started again without its log.

use base::Ms;

use crate::commits::{judge, record_ends, write_all};
use crate::setting::Setting;
use crate::{Case, Verdict, sleep_ms};

/// Delay from an accepted order to the promotion, as on the sheet.
const PROMOTE_MS: u64 = 1000;
/// Time in which all members receive the first writes.
const SETTLE_MS: u64 = 1000;
/// For how long the other replica receives nothing; the sheet has 6,500 ms.
const DEAF_MS: u64 = 6000;
/// Time from the last write to the crash of the first replica, in which the daemons see that it has them.
const SEEN_MS: u64 = 1500;
/// For how long the first replica is down.
const REPLICA_DOWN_MS: u64 = 700;
/// Time that the first replica takes to fetch its log again after it has started.
const COPY_MS: u64 = 1500;
/// Time from its start to the report of the primary that it drains.
const DRAIN_AFTER_MS: u64 = 700;

pub async fn run(case: &Case) -> Verdict {
    let Some(setting) = Setting::start(case, PROMOTE_MS).await else {
        return Verdict::NotRun("the daemons were not ready".to_owned());
    };
    sleep_ms(2000).await;
    let group = setting.world.groups[0].clone();
    let [_, first, second] = &group.members[..] else {
        return Verdict::NotRun("three members are needed".to_owned());
    };
    let addr = setting.daemons[0].listen.clone();
    let mut acked = match write_all(case, &addr, "early").await {
        Ok(acked) => acked,
        Err(verdict) => return verdict,
    };
    sleep_ms(SETTLE_MS).await;
    let deaf_at = Ms::now();
    if case.trouble {
        second.receive_paused.set(true);
        case.record
            .line("replica g0-2 receives nothing from now on");
        sleep_ms(200).await;
    }
    match write_all(case, &addr, "late").await {
        Ok(late) => acked.extend(late),
        Err(verdict) => return verdict,
    }
    record_ends(case, &group);
    sleep_ms(SEEN_MS).await;
    if case.trouble {
        first.up.set(false);
        first.incarnation.set(Ms::unix());
        case.record.line("g0-1 crashes");
        sleep_ms(REPLICA_DOWN_MS).await;
        first.log.borrow_mut().clear();
        first.applied_len.set(0);
        first.receive_paused.set(true);
        first.incarnation.set(Ms::unix());
        group.restart_in_place(1);
        case.record
            .line("g0-1 starts again under its id, without a log, and begins to fetch it");
    } else {
        sleep_ms(REPLICA_DOWN_MS).await;
    }
    let started_at = Ms::now();
    sleep_ms(DRAIN_AFTER_MS).await;
    group.set_draining(0, true);
    case.record
        .line("g0-0, the primary, reports that it drains");
    while deaf_at.elapsed() < DEAF_MS + 6000 {
        if first.receive_paused.get() && started_at.elapsed() >= COPY_MS {
            first.receive_paused.set(false);
            case.record.line("g0-1 could have fetched the log by now");
        }
        if second.receive_paused.get() && deaf_at.elapsed() >= DEAF_MS {
            second.receive_paused.set(false);
            case.record.line("replica g0-2 receives again");
        }
        sleep_ms(10).await;
    }
    judge(case, &group, &acked, &setting.daemons[1].listen).await
}
