//! All daemons are killed at once while the only replica that has received the last commits starts again
//! without its log and the primary is dark. The daemons start again and change the primary.

use base::Ms;
use world::Member;

use crate::client::wait_ready;
use crate::commits::{judge, record_ends, write_all};
use crate::setting::{HEARTBEAT_MS, Setting};
use crate::{Case, Verdict, sleep_ms};

/// Delay from an accepted order to the promotion, as on the sheet.
const PROMOTE_MS: u64 = 1000;
/// Time in which all members receive the first writes.
const SETTLE_MS: u64 = 1000;
/// For how long the other replica receives nothing; the sheet has 6,500 ms.
const DEAF_MS: u64 = 6000;
/// For how long the primary is down, as on the sheet.
const PRIMARY_DOWN_MS: u64 = 7000;
/// For how long the first replica is down, and the daemons.
const REPLICA_DOWN_MS: u64 = 700;
const DAEMONS_DOWN_MS: u64 = 1000;
/// How long before the primary crashed its last report was.
const LAST_REPORT_MS: u64 = 1100;

pub async fn run(case: &Case) -> Verdict {
    let Some(mut setting) = Setting::start(case, PROMOTE_MS).await else {
        return Verdict::NotRun("the daemons were not ready".to_owned());
    };
    sleep_ms(2000).await;
    let group = setting.world.groups[0].clone();
    let [primary, first, second] = &group.members[..] else {
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
    let crashed_at = Ms::now();
    if case.trouble {
        for daemon in &setting.daemons {
            daemon.signal("KILL");
        }
        crash(primary);
        crash(first);
        case.record
            .line("all daemons are killed; g0-0, the primary, and g0-1 crash");
        sleep_ms(REPLICA_DOWN_MS).await;
        first.log.borrow_mut().clear();
        first.applied_len.set(0);
        first.incarnation.set(Ms::unix());
        group.restart_in_place(1);
        case.record
            .line("g0-1 starts again under its id, without a log");
        sleep_ms(DAEMONS_DOWN_MS - REPLICA_DOWN_MS).await;
        for daemon in &mut setting.daemons {
            daemon.end();
            daemon.launch();
        }
        case.record.line("the daemons start again");
        sleep_ms(crashed_at.plus(3 * HEARTBEAT_MS - LAST_REPORT_MS).left()).await;
        setting.world.store.remove("servers", "g0-0");
        case.record
            .line("the entry of g0-0 has expired after three heartbeat intervals");
    }
    while crashed_at.elapsed() < PRIMARY_DOWN_MS {
        if second.receive_paused.get() && deaf_at.elapsed() >= DEAF_MS {
            second.receive_paused.set(false);
            case.record.line("replica g0-2 receives again");
        }
        sleep_ms(10).await;
    }
    if case.trouble {
        primary.incarnation.set(Ms::unix());
        group.restart_in_place(0);
        case.record.line("g0-0 starts again, with its log");
    }
    sleep_ms(12_000).await;
    for daemon in &setting.daemons {
        let ready = wait_ready(&daemon.ready).await;
        case.record.line(&format!("{} ready: {ready}", daemon.name));
    }
    judge(case, &group, &acked, &setting.daemons[1].listen).await
}

fn crash(member: &Member) {
    member.up.set(false);
    member.incarnation.set(Ms::unix());
}
