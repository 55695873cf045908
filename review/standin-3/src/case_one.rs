//! ONE: after a restore of the store, a daemon that starts again repeats an order that was settled, under a
//! token below one that the platform has seen since.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::deployment::{Deployment, Plan};
use crate::record::Record;

/// How long a primary that has crashed is away, in ms.
const AWAY_MS: u64 = 3000;
/// How long the store is away while it is restored, in ms.
const RESTORE_MS: u64 = 500;
/// How long a killed daemon is away, in ms.
const RESTART_MS: u64 = 1000;
/// How long the case watches the orders after that, in ms.
const WATCH_MS: u64 = 20_000;

fn ms(n: u64) {
    sleep(Duration::from_millis(n));
}

/// The first order under a token below one that the platform has seen before.
fn find_fall(deployment: &Deployment) -> Option<String> {
    let state = deployment.service.state.lock().unwrap();
    let mut highest: Option<&(String, u64, String)> = None;
    for order in &state.orders {
        if let Some(before) = highest.filter(|before| order.1 < before.1) {
            return Some(format!(
                "{} ordered {} under token {} after an order of {} under token {}",
                order.0, order.2, order.1, before.0, before.1
            ));
        }
        highest = Some(order);
    }
    None
}

/// Crashes the primary and waits until another member leads; the old primary comes back with its log.
/// `on_poll` is called meanwhile.
fn change_primary(deployment: &Deployment, on_poll: impl Fn()) -> Result<(), String> {
    let service = &deployment.service;
    let old = service.leader().ok_or("there is no primary")?;
    service.crash(old);
    let crashed_at = Instant::now();
    let mut is_back = false;
    while crashed_at.elapsed() < Duration::from_secs(15) {
        on_poll();
        if !is_back && crashed_at.elapsed() >= Duration::from_millis(AWAY_MS) {
            service.restart(old, false);
            is_back = true;
        }
        if is_back && service.leader().is_some_and(|new| new != old) {
            return Ok(());
        }
        ms(1);
    }
    Err("nobody was promoted".into())
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let plan = Plan {
        service: "books",
        zones: 3,
        daemons: 3,
        routes: &[("books-newest", "primary")],
        tenant: None,
    };
    let mut deployment = Deployment::start(&plan, record)?;
    let mut client = Client::connect(deployment.gateways[0].front, "books-newest", record)?;
    for i in 0..3 {
        client.run(&format!("WRITE item{i} data{i}"));
    }
    ms(1500);
    change_primary(&deployment, || {
        deployment.store.copy_with_order();
    })?;
    let sender = deployment.service.state.lock().unwrap().orders[0].0.clone();
    change_primary(&deployment, || {})?;
    ms(500);
    if has_trouble {
        for gateway in &deployment.gateways {
            gateway.store.set_cut(true);
        }
        ms(RESTORE_MS);
        let age_ms = deployment.store.restore();
        record.line(&format!("the store comes back from a copy {age_ms} ms old"));
        deployment.configure(7, plan.routes, plan.tenant);
        deployment.service.publish_again();
        for gateway in &deployment.gateways {
            gateway.store.set_cut(false);
        }
        ms(500);
        let found = deployment.gateways.iter_mut().find(|g| g.name == sender);
        let gateway = found.ok_or("an unknown daemon has ordered")?;
        gateway.kill();
        ms(RESTART_MS);
        gateway.start();
    }
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(WATCH_MS) {
        if let Some(fall) = find_fall(&deployment) {
            return Ok(Some(fall));
        }
        ms(100);
    }
    Ok(None)
}
