//! The play of a replica that starts again with nothing of before while the primary crashes.

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::db::{Service, SERVICE};
use crate::store::{field, read_request, write_response, Store};
use crate::{ask_ready, config_of, run_statement, start_daemon, Processes, Record, DAEMONS, ZONES};

pub const HEARTBEAT_MS: u64 = 1200;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn start_orders(record: &Record, service: &Arc<Service>) -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().unwrap().to_string();
    let (record, service) = (record.clone(), service.clone());
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (record, service) = (record.clone(), service.clone());
            std::thread::spawn(move || {
                while let Some(request) = read_request(&mut stream) {
                    let id = field(&request.body, "id").unwrap_or("").trim_matches('"').to_owned();
                    let status = service.promote(&id);
                    let mut headers = request.headers.lines();
                    let token = headers.find(|l| l.to_ascii_lowercase().starts_with("hollyreach-fencing-token"));
                    record.add(&format!("platform: POST {} {id} ({}): {status}", request.target, token.unwrap_or("")));
                    if write_response(&mut stream, status, "{}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// The members' entries in the store.
struct Registry {
    store: Arc<Store>,
    service: Arc<Service>,
    members: Mutex<[(u64, u64, Option<Instant>); 3]>,
}

impl Registry {
    /// A member that runs writes its entry; that of one that is down is removed after three
    /// heartbeat intervals.
    fn beat(&self, n: usize) {
        let (born, sequence, down_since) = self.members.lock().unwrap()[n];
        let id = &self.service.members[n].id;
        match down_since {
            None => {
                self.members.lock().unwrap()[n].1 += 1;
                let entry = self.service.entry(n, ZONES[n], born, sequence, "ready");
                self.store.put("servers", id, &entry);
            }
            Some(at) if at.elapsed() >= Duration::from_millis(3 * HEARTBEAT_MS) => self.store.remove("servers", id),
            Some(_) => {}
        }
    }

    fn set_down(&self, n: usize) {
        self.members.lock().unwrap()[n].2 = Some(Instant::now());
    }

    /// A member that has started again writes its entry at once.
    fn set_up(&self, n: usize) {
        self.members.lock().unwrap()[n] = (unix_ms(), 0, None);
        self.beat(n);
    }
}

pub fn play(root: &Path, folder: &Path, trouble: &str, record: &Record) -> Result<i32, String> {
    let (store, store_addr) = Store::start();
    let service = Service::start(record, 3);
    let orders = start_orders(record, &service);
    let registry = Arc::new(Registry {
        store: store.clone(),
        service: service.clone(),
        // When each member was started, its heartbeats since, and since when it is down.
        members: Mutex::new([(unix_ms(), 0, None); 3]),
    });
    let beating = registry.clone();
    std::thread::spawn(move || loop {
        (0..3).for_each(|n| beating.beat(n));
        std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
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
                let id = format!("c{n}{count:06x}");
                let answer = run_statement(&listen, &id, &format!("WRITE k{n} v{count}"));
                record.add(&format!("client {n} {id}: {answer:?}"));
                if answer.is_ok_and(|a| a.starts_with("COMPLETE ") && !a.starts_with("COMPLETE -")) {
                    acked.lock().unwrap().push(id);
                }
                std::thread::sleep(Duration::from_millis(40));
            }
        });
    }
    let wait = |ms| std::thread::sleep(Duration::from_millis(ms));
    wait(4000);
    if acked.lock().unwrap().len() < 30 {
        return Err("too few writes are acknowledged before the trouble".to_owned());
    }
    if trouble == "0" {
        wait(18_000);
    } else {
        // `replica_lag` "deaf crash": a replica receives nothing for 6 s, and the primary crashes
        // meanwhile, for 7 s.
        service.set_deaf(1, true);
        wait(2000);
        // The other replica starts again under its id, after 2 s.
        service.crash(2);
        registry.set_down(2);
        wait(1000);
        service.crash(0);
        registry.set_down(0);
        wait(1000);
        service.restart(2, trouble == "keeps-log");
        registry.set_up(2);
        wait(2000);
        service.set_deaf(1, false);
        wait(4000);
        service.restart(0, true);
        registry.set_up(0);
        wait(8000);
    }
    stop.store(true, Ordering::SeqCst);
    wait(1000);
    let acked: Vec<String> = acked.lock().unwrap().clone();
    let promoted = service.promoted.lock().unwrap().clone();
    let mut lost = HashSet::new();
    // What was acknowledged before a promotion is what the log of the member promoted must contain;
    // later commits are checked against the log of the last primary.
    let last = match promoted.last() {
        Some((id, ..)) => service.members.iter().position(|m| m.id == *id).unwrap_or(0),
        None => 0,
    };
    let ids = service.ids(last);
    for id in &acked {
        if !ids.contains(id) {
            lost.insert(id.clone());
        }
    }
    record.add(&format!("{} writes acknowledged, {} promotions, {} acknowledged writes lost", acked.len(), promoted.len(), lost.len()));
    let mut names: Vec<_> = lost.iter().collect();
    names.sort();
    record.add(&format!("lost: {names:?}"));
    Ok(i32::from(!lost.is_empty()))
}
