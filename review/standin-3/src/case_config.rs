//! CONFIG: a session that was handed off goes on under an older configuration than its machine has shown.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::deployment::{Deployment, Plan};
use crate::record::Record;

/// `rollback_slack_ms` of the sheets.
const ROLLBACK_SLACK_MS: u64 = 250;
/// When the request is sent, after the member has seen the effect of the new version.
const SENT_AFTER_MS: u64 = 290;

fn ms(n: u64) {
    sleep(Duration::from_millis(n));
}

/// A session whose statements another daemon than the one that took it sends to the members.
struct HandedOff {
    client: Client,
    /// Indexes of the daemon that took the session and of the one that serves it.
    front: usize,
    owner: usize,
}

fn find_handed_off(deployment: &Deployment, record: &Arc<Record>) -> Result<HandedOff, String> {
    for (front, gateway) in deployment.gateways.iter().enumerate() {
        let mut client = Client::connect(gateway.front, "books-old", record)?;
        let answer = client.run("READ item");
        let run = deployment.service.run_of(&answer.id);
        let (_, from) = run.ok_or("a read on the calm system did not run")?;
        let owner = deployment.gateways.iter().position(|g| g.name == from);
        let owner = owner.ok_or("an unknown daemon has sent a read")?;
        if owner != front {
            return Ok(HandedOff {
                client,
                front,
                owner,
            });
        }
    }
    Err("no session was handed off".into())
}

/// Waits until a member runs a statement on the route that the new version adds, sent to this daemon;
/// returns when that was.
fn wait_for_effect(
    deployment: &Deployment,
    front: usize,
    record: &Arc<Record>,
) -> Result<Instant, String> {
    let deadline = Instant::now() + Duration::from_secs(5);
    while Instant::now() < deadline {
        if let Ok(mut client) =
            Client::connect(deployment.gateways[front].front, "books-new", record)
        {
            let answer = client.run("READ item");
            if let Some((at, _)) = deployment.service.run_of(&answer.id) {
                return Ok(at);
            }
        }
        ms(2);
    }
    Err("the new version had no effect".into())
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let plan = Plan {
        service: "books",
        zones: 5,
        daemons: 14,
        routes: &[("books-old", "primary")],
        tenant: None,
    };
    let deployment = Deployment::start(&plan, record)?;
    let mut session = find_handed_off(&deployment, record)?;
    let (front, owner) = (
        &deployment.gateways[session.front],
        &deployment.gateways[session.owner],
    );
    record.line(&format!(
        "a session of {} is served by {}",
        front.name, owner.name
    ));
    ms(1500);
    if has_trouble {
        owner.store.set_cut(true);
        record.line(&format!("{} is cut off from the store", owner.name));
    }
    ms(700);
    deployment.configure(12, &[("books-new", "primary")], None);
    let seen_at = wait_for_effect(&deployment, session.front, record)?;
    ms(SENT_AFTER_MS.saturating_sub(u64::try_from(seen_at.elapsed().as_millis()).unwrap_or(0)));
    let sent_after = seen_at.elapsed();
    let answer = session.client.run("READ item");
    let run = deployment.service.run_of(&answer.id);
    owner.store.set_cut(false);
    if sent_after < Duration::from_millis(ROLLBACK_SLACK_MS) {
        return Err("the request was sent too soon".into());
    }
    Ok(run.map(|(_, from)| {
        format!(
            "{} ran a read on the dropped route books-old, sent to {} {} ms after the member saw version 12 there ({})",
            from, front.name, sent_after.as_millis(), answer.end
        )
    }))
}
