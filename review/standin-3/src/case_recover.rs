//! RECOVER: machines are replaced by new ones; once all machines that the others take for the owners of a
//! service are gone, no session on it is served any more.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::deployment::{Deployment, Plan};
use crate::gateway::Gateway;
use crate::record::Record;

const KEY: &str = "urtyiikdrbn4ryrbbkf8";
/// `recovery_s` of the sheet, in ms.
const RECOVERY_MS: u64 = 15_000;
/// Time after which the daemons know each other, in ms.
const SETTLE_MS: u64 = 5000;
/// How long requests are sent after that, in ms.
const MEASURE_MS: u64 = 10_000;

/// Sends a read in a session of its own to each daemon; returns how many were sent and answered with
/// success.
fn measure(deployment: &Deployment, record: &Arc<Record>) -> (usize, usize) {
    let fronts = deployment.gateways.iter().map(|g| g.front);
    let is_served = |front| {
        let client = Client::connect_with_key(front, "books-newest", KEY, record);
        client.is_ok_and(|mut client| client.run("READ item").is_success())
    };
    let served: Vec<bool> = fronts.map(is_served).collect();
    (served.len(), served.iter().filter(|s| **s).count())
}

/// The daemons that serve the service.
fn owners(deployment: &Deployment) -> Vec<String> {
    let probers = deployment.service.probers();
    let names = deployment.gateways.iter().map(|g| g.name.clone());
    names.filter(|name| probers.contains(name)).collect()
}

/// Takes a machine out of the deployment.
fn take(deployment: &mut Deployment, name: &str) -> Gateway {
    let found = deployment.gateways.iter().position(|g| g.name == name);
    deployment
        .gateways
        .remove(found.expect("a machine of the deployment"))
}

/// Replaces a machine as planned work: the new one starts first, then the old one is stopped.
fn replace(deployment: &mut Deployment, old: &str, new: &str) -> Result<(), String> {
    let zone = deployment
        .gateways
        .iter()
        .find(|g| g.name == old)
        .map(|g| g.zone);
    let gateway = deployment.add(new, zone.ok_or("no such machine")?);
    gateway.start();
    if !gateway.wait_until_ready(15) {
        return Err(format!("{new} is not ready"));
    }
    take(deployment, old).stop();
    sleep(Duration::from_millis(2000));
    Ok(())
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let plan = Plan {
        service: "books",
        zones: 3,
        daemons: 6,
        routes: &[("books-newest", "primary")],
        tenant: Some(("coop", KEY)),
    };
    let mut deployment = Deployment::start(&plan, record)?;
    // A daemon that starts serves every service until it has listed the others twice.
    sleep(Duration::from_millis(SETTLE_MS));
    let first = owners(&deployment);
    record.line(&format!("the service is served by {first:?}"));
    if first.len() != 3 {
        return Err("the service has not three owners".into());
    }
    for (n, old) in first.iter().take(2).enumerate() {
        replace(&mut deployment, old, &format!("spare-{n}"))?;
    }
    sleep(Duration::from_millis(SETTLE_MS));
    let left = owners(&deployment);
    if left != first[2..] {
        return Err(format!("the service is served by {left:?}"));
    }
    let (sent, served) = measure(&deployment, record);
    record.line(&format!(
        "the service is served by {left:?}; {served} of {sent} reads were served"
    ));
    if served * 4 < sent {
        return Err("the deployment does not serve before the final fault".into());
    }
    if has_trouble {
        // All processes are killed; the machine of the last owner is lost for good, and a new one comes.
        deployment.gateways.iter_mut().for_each(Gateway::kill);
        let lost = take(&mut deployment, &left[0]);
        record.line(&format!("{} is lost for good", lost.name));
        deployment.add("spare-2", lost.zone);
        sleep(Duration::from_millis(1000));
        deployment.gateways.iter_mut().for_each(Gateway::start);
    }
    sleep(Duration::from_millis(RECOVERY_MS));
    let started = Instant::now();
    let (mut sent, mut served) = (0, 0);
    while started.elapsed() < Duration::from_millis(MEASURE_MS) {
        let (more_sent, more_served) = measure(&deployment, record);
        (sent, served) = (sent + more_sent, served + more_served);
        sleep(Duration::from_millis(500));
    }
    let text =
        format!("{served} of {sent} reads were served later than {RECOVERY_MS} ms after the start");
    record.line(&text);
    Ok((served * 4 < sent).then_some(text))
}
