//! Keeps the record of a group's replicas up to date.

use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, emit, sleep_ms};

use crate::{Group, Proxy, ReplicaUpdate, rank_owners};

/// Interval between two looks at a group, in ms. A member that is listed newly is noticed at once.
const CHECK_INTERVAL_MS: u64 = 100;
/// Time that the first daemon in the ranking has for writing before the others look, in ms.
const FIRST_WRITER_MS: u64 = 25;
/// Added for each further daemon in the ranking, in ms.
const RANK_STEP_MS: u64 = 10;
/// Number of such steps at the most.
const MAX_RANK_STEPS: u64 = 5;
/// Time for which the first record waits for the primary to be known, in ms.
const LEADER_WAIT_MS: u64 = 500;
/// Time that each daemon in the ranking has for bringing an outdated record up to date before the next
/// one does, in ms.
const OUTDATED_STEP_MS: u64 = 3000;
/// Delay after the first failed call; doubles with each further one, up to `MAX_RETRY_MS`.
const MIN_RETRY_MS: u64 = 50;
const MAX_RETRY_MS: u64 = 1000;

/// Records the members of a group while this daemon serves it; runs until the process ends.
pub(crate) async fn run(proxy: Rc<Proxy>, group: Rc<Group>) {
    let mut retry_ms = MIN_RETRY_MS;
    let mut outdated_since = None;
    // Whether the last write failed. Without an answer it may still be made, unless another one follows.
    let mut is_doubtful = false;
    loop {
        let seen = group.record_due.generation();
        if is_doubtful || is_due(&proxy, &group, &mut outdated_since) {
            is_doubtful = !update(&proxy, &group).await;
            if is_doubtful {
                sleep_ms(retry_ms / 2 + fastrand::u64(..retry_ms / 2)).await;
                retry_ms = (retry_ms * 2).min(MAX_RETRY_MS);
            } else {
                retry_ms = MIN_RETRY_MS;
            }
            continue;
        }
        let wait = Duration::from_millis(CHECK_INTERVAL_MS);
        let _ = monoio::time::timeout(wait, group.record_due.wait_past(seen)).await;
    }
}

/// Whether the record must be written or read. What is only outdated is left to the first daemon in the
/// ranking for a while; `outdated_since` says since when it is.
fn is_due(proxy: &Proxy, group: &Group, outdated_since: &mut Option<Ms>) -> bool {
    if !group.is_served() || group.listed().is_empty() {
        return false;
    }
    let era = (proxy.failover_api.replicas.era)();
    if !group.has_record_of(era) {
        group.forget_recorded();
    }
    if !group.is_recorded() {
        // Written together with the first members, the leader needs no write of its own.
        return group.last_leader().is_some() || group.missing_for_ms() >= LEADER_WAIT_MS;
    }
    if !group.is_leader_outdated() && group.settled_on_record().is_empty() {
        *outdated_since = None;
        return false;
    }
    // The first ones may be on machines that are gone.
    let since = *outdated_since.get_or_insert_with(Ms::now);
    since.elapsed() >= rank(proxy, group) * OUTDATED_STEP_MS
}

/// Brings the record up to date; false when a call fails.
async fn update(proxy: &Proxy, group: &Group) -> bool {
    let api = &proxy.failover_api.replicas;
    let rank = rank(proxy, group);
    if rank > 0 {
        let steps = rank.min(MAX_RANK_STEPS);
        sleep_ms(FIRST_WRITER_MS + steps * RANK_STEP_MS).await;
    }
    let remove = group.settled_on_record();
    let era = (api.era)();
    let request = ReplicaUpdate {
        group: group.name.clone(),
        add: group.unrecorded(),
        remove: remove.clone(),
        leader: group.last_leader(),
        refresh: rank > 0,
    };
    let Some(record) = (api.update)(request).await else {
        return false;
    };
    if (api.era)() != era {
        return false;
    }
    group.set_recorded(&record, era);
    emit(
        Event::ReplicasRecorded,
        &[
            ("group", &group.name),
            ("members", &record.members.len()),
            ("removed", &remove.len()),
        ],
    );
    true
}

/// Place of this daemon among those that serve a group; the first one writes the record.
fn rank(proxy: &Proxy, group: &Group) -> u64 {
    let mut others = proxy.other_owners(group);
    if others.is_empty() {
        others = proxy.peers.all();
    }
    let own_name = &*proxy.settings.name;
    let mut names: Vec<(&str, f64)> = others.iter().map(|p| (&*p.name, 1.0)).collect();
    names.push((own_name, 1.0));
    let ranked = rank_owners(&group.name, "", &names);
    let place = ranked.into_iter().position(|i| names[i].0 == own_name);
    place.map_or(0, |place| place as u64)
}
