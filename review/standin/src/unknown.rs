//! The play of daemons that start while the store is down, and then change a primary without knowing
//! which members have left.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::db::{Service, SERVICE};
use crate::reborn::{start_orders, unix_ms, HEARTBEAT_MS};
use crate::store::Store;
use crate::{ask_ready, config_of, launch, run_statement, start_daemon, Processes, Record, ZONES};

const DAEMONS: usize = 14;
/// `herd_kill` of 0.655 of them; less with `KILLED`.
const KILLED_DEFAULT: usize = 9;
const MEMBERS: usize = 4;
/// The former primary, which is leaving.
const LEAVING: usize = 3;

struct Registry {
    store: Arc<Store>,
    service: Arc<Service>,
    born: u64,
    /// Heartbeats, the last one, and whether the member runs.
    members: Mutex<Vec<(u64, Instant, bool)>>,
}

impl Registry {
    /// An entry is removed after three heartbeat intervals without a write, also while the store is down.
    fn beat(&self, n: usize) {
        let mut members = self.members.lock().unwrap();
        let id = &self.service.members[n].id;
        if members[n].2 && !self.store.is_down.load(Ordering::SeqCst) {
            members[n].0 += 1;
            members[n].1 = Instant::now();
            let state = if n == LEAVING { "draining" } else { "ready" };
            let entry = self.service.entry(n, ZONES[n % 3], self.born, members[n].0, state);
            self.store.put("servers", id, &entry);
        } else if members[n].1.elapsed() >= Duration::from_millis(3 * HEARTBEAT_MS) {
            self.store.remove("servers", id);
        }
    }

    fn set(&self, n: usize, runs: bool) {
        self.members.lock().unwrap()[n].2 = runs;
    }
}

pub fn play(root: &Path, folder: &Path, has_trouble: bool, record: &Record) -> Result<i32, String> {
    let killed = std::env::var("KILLED").ok().and_then(|k| k.parse().ok()).unwrap_or(KILLED_DEFAULT);
    let (store, store_addr) = Store::start();
    let service = Service::start(record, MEMBERS);
    let orders = start_orders(record, &service);
    let registry = Arc::new(Registry {
        store: store.clone(),
        service: service.clone(),
        born: unix_ms(),
        members: Mutex::new(vec![(0, Instant::now(), true); MEMBERS]),
    });
    let beating = registry.clone();
    std::thread::spawn(move || loop {
        (0..MEMBERS).for_each(|n| beating.beat(n));
        std::thread::sleep(Duration::from_millis(200));
    });
    std::thread::sleep(Duration::from_millis(50));
    store.put("config", "main", &config_of(SERVICE, "primary"));
    let mut processes = Processes(Vec::new(), Vec::new());
    for n in 0..DAEMONS {
        processes.0.push(start_daemon(root, folder, n, &store_addr, &orders)?);
    }
    let deadline = Instant::now() + Duration::from_secs(20);
    while !processes.0.iter().all(|d| ask_ready(&d.ready) == Ok(200)) {
        if Instant::now() > deadline {
            return Err("the daemons did not become ready".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.add("all daemons are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let acked: Arc<Mutex<Vec<String>>> = Arc::default();
    for (n, daemon) in processes.0.iter().enumerate() {
        let (listen, record, stop, acked) = (daemon.listen.clone(), record.clone(), stop.clone(), acked.clone());
        std::thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("c{n:02}{count:06x}");
                let answer = run_statement(&listen, &id, &format!("WRITE k{n} v{count}"));
                record.add(&format!("client {n} {id}: {answer:?}"));
                if answer.is_ok_and(|a| a.starts_with("COMPLETE ") && !a.starts_with("COMPLETE -")) {
                    acked.lock().unwrap().push(id);
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        });
    }
    let wait = |ms| std::thread::sleep(Duration::from_millis(ms));
    wait(4000);
    if acked.lock().unwrap().len() < 30 {
        return Err("too few writes are acknowledged before the trouble".to_owned());
    }
    if has_trouble {
        for n in [1, 2] {
            service.crash(n);
            registry.set(n, false);
        }
        wait(800);
        record.add("store: down");
        store.set_down(true);
        wait(200);
        record.add(&format!("{killed} daemons are killed"));
        for daemon in &mut processes.0[..killed] {
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        wait(300);
        service.crash(0);
        registry.set(0, false);
        wait(200);
        for daemon in &mut processes.0[..killed] {
            daemon.child = launch(root, folder, &daemon.name)?;
        }
        record.add("the daemons start again");
        service.crash(LEAVING);
        registry.set(LEAVING, false);
        wait(1000);
        for n in [1, 2] {
            service.restart(n, true);
            registry.set(n, true);
        }
        wait(2800);
        record.add("store: up");
        store.set_down(false);
        wait(2900);
        service.restart(0, true);
        registry.set(0, true);
        wait(8000);
    } else {
        wait(16_000);
    }
    stop.store(true, Ordering::SeqCst);
    wait(1000);
    let acked: Vec<String> = acked.lock().unwrap().clone();
    let promoted = service.promoted.lock().unwrap().clone();
    let last = promoted.last().and_then(|(id, ..)| service.members.iter().position(|m| m.id == *id)).unwrap_or(0);
    let ids = service.ids(last);
    let lost: Vec<&String> = acked.iter().filter(|id| !ids.contains(*id)).collect();
    record.add(&format!("{} writes acknowledged, {} promotions, {} acknowledged writes lost", acked.len(), promoted.len(), lost.len()));
    record.add(&format!("lost: {lost:?}"));
    for daemon in &processes.0 {
        let log = std::fs::read_to_string(folder.join(format!("{}.log", daemon.name))).unwrap_or_default();
        for line in log.lines().filter(|l| l.contains(" H74") || l.contains(" H726") || l.contains(" H770")) {
            record.add(&format!("log of {}: {line}", daemon.name));
        }
    }
    Ok(i32::from(!lost.is_empty()))
}
