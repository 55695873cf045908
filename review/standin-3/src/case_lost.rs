//! LOST: a power failure takes all members of a service, and in one case all daemons. Two members start again
//! first, and empty; the third comes back later, with its log, which has every acknowledged commit.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::deployment::{Deployment, Plan};
use crate::gateway::Gateway;
use crate::record::Record;

/// What a power failure takes and leaves. Member 0 is the primary.
pub struct PowerFailure {
    /// The members that start again first, and empty.
    pub empty: [usize; 2],
    /// The member that comes back later, with its log.
    pub late: usize,
    /// Whether the daemons fail as well.
    pub takes_daemons: bool,
}

/// The replicas lose their logs, and the primary comes back.
pub const OF_ALL: PowerFailure = PowerFailure {
    empty: [1, 2],
    late: 0,
    takes_daemons: true,
};
/// The primary and a replica lose their logs, and the other replica comes back.
pub const OF_MEMBERS: PowerFailure = PowerFailure {
    empty: [0, 1],
    late: 2,
    takes_daemons: false,
};

/// When the daemons start again after the power failure, in ms.
const DAEMONS_BACK_MS: u64 = 1000;
/// When the empty members do.
const EMPTY_BACK_MS: u64 = 2200;
/// When the late member does: the longest `for_s` of a `srv_crash` on the site.
const LATE_BACK_MS: u64 = 7000;
/// How long the case watches for promotions after the power failure, in ms.
const WATCH_MS: u64 = 25_000;

fn sleep_until(since: Instant, ms: u64) {
    sleep(Duration::from_millis(ms).saturating_sub(since.elapsed()));
}

/// Writes through a daemon; returns the identifiers of the acknowledged writes.
fn write_some(
    deployment: &Deployment,
    count: usize,
    record: &Arc<Record>,
) -> Result<Vec<String>, String> {
    let front = deployment.gateways[0].front;
    let mut client = Client::connect(front, "books-newest", record)?;
    let mut acknowledged = Vec::new();
    for i in 0..count {
        let answer = client.run(&format!("WRITE item{i} data{i}"));
        if !answer.is_success() {
            return Err(format!("a write on the calm system failed: {}", answer.end));
        }
        acknowledged.push(answer.id);
    }
    Ok(acknowledged)
}

/// The first promotion of a member that lacks an acknowledged commit.
fn find_loss(deployment: &Deployment, acknowledged: &[String]) -> Option<String> {
    let state = deployment.service.state.lock().unwrap();
    state.promoted.iter().find_map(|promoted| {
        let lacks = |id: &&String| !promoted.log.iter().any(|e| e.id == **id);
        let missing = acknowledged.iter().filter(lacks).count();
        let (id, term, all) = (&promoted.id, promoted.term, acknowledged.len());
        (missing > 0).then(|| {
            format!(
                "{id} was promoted to term {term} without {missing} of {all} acknowledged commits"
            )
        })
    })
}

pub fn run(failure: &PowerFailure, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let routes = [
        ("books-newest", "primary"),
        ("books-own", "read_your_writes"),
    ];
    let plan = Plan {
        service: "books",
        zones: 3,
        daemons: 3,
        routes: &routes,
        tenant: None,
    };
    let mut deployment = Deployment::start(&plan, record)?;
    let service = deployment.service.clone();
    let acknowledged = write_some(&deployment, 8, record)?;
    sleep(Duration::from_millis(1500));
    let failed_at = Instant::now();
    if has_trouble {
        (0..3).for_each(|i| service.crash(i));
        // For a comparison by hand: the daemons keep their power.
        if failure.takes_daemons && std::env::var("DAEMONS").as_deref() != Ok("0") {
            deployment.gateways.iter_mut().for_each(Gateway::kill);
            sleep_until(failed_at, DAEMONS_BACK_MS);
            deployment.gateways.iter_mut().for_each(Gateway::start);
        }
        sleep_until(failed_at, EMPTY_BACK_MS);
        failure
            .empty
            .into_iter()
            .for_each(|i| service.restart(i, true));
        sleep_until(failed_at, LATE_BACK_MS);
        service.restart(failure.late, false);
    }
    while failed_at.elapsed() < Duration::from_millis(WATCH_MS) {
        if let Some(name) = deployment.ended() {
            return Err(format!("{name} has ended by itself"));
        }
        if let Some(loss) = find_loss(&deployment, &acknowledged) {
            return Ok(Some(loss));
        }
        sleep(Duration::from_millis(100));
    }
    let ready = deployment.gateways.iter().filter(|g| g.is_ready()).count();
    record.line(&format!("{ready} daemons are ready at the end"));
    Ok(None)
}
