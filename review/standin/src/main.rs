//! Stand-ins and the plays of the review's scripts: `review-standin herd|reborn|unknown`. See the `claim.txt` of
//! each case.
//!
//! `review-standin peer ADDR COUNT` is one peer of the herd: it opens COUNT connections, sends
//! nothing, and closes them when its standard input ends.

mod db;
mod member;
mod reborn;
mod store;
mod unknown;

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use member::{start_service, Log, SERVICE};
use store::{read_request, write_response, Store};

/// `limits.max_fds` of the machines of the site.
const MAX_FDS: u32 = 4300;
/// `bounds.grace_s` of the site.
const GRACE_MS: u64 = 6000;
/// `bounds.recovery_s` of the site.
const RECOVERY_S: u64 = 12;
const PEERS: usize = 150;
const CONNS_PER_PEER: usize = 29;
/// How long the herd stays.
const HERD_S: u64 = 6;
/// How long the daemon is watched after the herd has left.
const AFTER_S: u64 = 25;
const DAEMONS: usize = 3;
const ZONES: [&str; DAEMONS] = ["duluth-hall", "toledo-hall", "thunder-bay"];
const DATABASE: &str = "fiti832ti23";

#[derive(Clone)]
struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    fn add(&self, text: &str) {
        let at = self.1.elapsed().as_millis();
        let _ = writeln!(self.0.lock().unwrap(), "{:>8.3} {text}", at as f64 / 1000.0);
    }
}

struct Daemon {
    name: String,
    listen: String,
    ready: String,
    child: Child,
}

/// Ends all processes when the play ends, however it does.
struct Processes(Vec<Daemon>, Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.0.iter_mut().map(|d| &mut d.child).chain(&mut self.1) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn free_ports(count: usize) -> Vec<String> {
    let bound: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    bound.iter().map(|l| l.local_addr().unwrap().to_string()).collect()
}

/// The platform's failover API; no promotion is due in this play.
fn start_orders(record: &Record) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().unwrap().to_string();
    let record = record.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || {
                while let Some(request) = read_request(&mut stream) {
                    record.add(&format!("platform: {} {} {}", request.method, request.target, request.body));
                    let _ = request.headers;
                    if write_response(&mut stream, 503, "{}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn connect(addr: &str) -> std::io::Result<TcpStream> {
    let addr: SocketAddr = addr.parse().unwrap();
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// The balancer's question; the status, or why there was none.
fn ask_ready(addr: &str) -> Result<u16, String> {
    let mut stream = connect(addr).map_err(|e| e.to_string())?;
    let request = b"GET /hollyreach/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(request).map_err(|e| e.to_string())?;
    let mut buf = [0; 64];
    let n = stream.read(&mut buf).map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&buf[..n]).into_owned();
    text.split(' ').nth(1).and_then(|c| c.parse().ok()).ok_or("no status".to_owned())
}

/// One session of one statement; its answer, or why there was none.
fn run_statement(addr: &str, id: &str, text: &str) -> Result<String, String> {
    let mut stream = connect(addr).map_err(|e| e.to_string())?;
    let mut input = BufReader::new(stream.try_clone().map_err(|e| e.to_string())?);
    let mut line = String::new();
    let mut send = |text: String| stream.write_all(text.as_bytes()).map_err(|e| e.to_string());
    send(format!("CONNECT {DATABASE} u3f1\r\n"))?;
    input.read_line(&mut line).map_err(|e| e.to_string())?;
    if !line.starts_with("READY") {
        return Err(format!("no session: {:?}", line.trim_end()));
    }
    send(format!("QUERY {id} {text}\r\n"))?;
    let mut answer = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(|e| e.to_string())? == 0 {
            return Err("closed without an answer".to_owned());
        }
        if line.starts_with("READY") {
            let _ = send("CLOSE\r\n".to_owned());
            return Ok(answer);
        }
        answer.push_str(line.trim_end());
        answer.push(' ');
    }
}

/// Processor time that a process has used, in ms, as the kernel counts it (100 ticks a second).
fn cpu_ms(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    (ticks(11) + ticks(12)) * 10
}

fn open_files(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

fn start_daemon(root: &Path, folder: &Path, n: usize, store: &str, orders: &str) -> Result<Daemon, String> {
    let ports = free_ports(4);
    let zone = ZONES[n % ZONES.len()];
    let name = format!("front-{zone}-{}", n / ZONES.len() + 1);
    let settings = format!(
        "name: \"{name}\"\ndata_center: \"{}\"\nlisten: \"{}\"\nready: \"{}\"\nmetrics: \"{}\"\nstore: \"{store}\"\norders: \"{orders}\"\ngrace_ms: {GRACE_MS}\ndrain_ms: 7000\nheartbeat_ms: 1200\ninternal: \"{}\"\nquota_data_centers: \"{}\"\n",
        zone, ports[0], ports[1], ports[2], ports[3], ZONES.join(" ")
    );
    let path = folder.join(format!("{name}.yaml"));
    std::fs::write(&path, settings).map_err(|e| e.to_string())?;
    let (listen, ready) = (ports[0].clone(), ports[1].clone());
    Ok(Daemon { child: launch(root, folder, &name)?, name, listen, ready })
}

/// Starts the process of a daemon whose settings are written.
fn launch(root: &Path, folder: &Path, name: &str) -> Result<Child, String> {
    let path = folder.join(format!("{name}.yaml"));
    let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
    // The shell sets the machine's number of descriptors for the process that replaces it.
    let limit = format!("ulimit -n {MAX_FDS} && exec \"$@\"");
    Command::new("/bin/sh")
        .args(["-c", &limit, "sh", "target/release/hollyreach", "gateway", "--config"])
        .arg(&path)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone().map_err(|e| e.to_string())?)
        .stderr(log)
        .spawn()
        .map_err(|e| e.to_string())
}

/// Asks one daemon for readiness each second and gives it a read or a write each 250 ms.
fn watch_daemon(daemon: &Daemon, record: &Record, stop: &Arc<AtomicBool>, seen: &Arc<Mutex<Vec<(Instant, bool, bool)>>>) {
    for is_probe in [true, false] {
        let (name, listen, ready) = (daemon.name.clone(), daemon.listen.clone(), daemon.ready.clone());
        let (record, stop, seen) = (record.clone(), stop.clone(), seen.clone());
        std::thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::SeqCst) {
                n += 1;
                let served = if is_probe {
                    let answer = ask_ready(&ready);
                    record.add(&format!("{name} ready: {answer:?}"));
                    answer.is_ok()
                } else {
                    let id = format!("{}{n:08x}", &name[6..9]);
                    let text = if n % 3 == 0 { format!("WRITE 1a4 v{n}") } else { "READ 1a4".to_owned() };
                    let answer = run_statement(&listen, &id, &text);
                    record.add(&format!("{name} {id} {text}: {answer:?}"));
                    answer.is_ok_and(|a| a.contains("COMPLETE 3."))
                };
                seen.lock().unwrap().push((Instant::now(), is_probe, served));
                std::thread::sleep(Duration::from_millis(if is_probe { 1000 } else { 250 }));
            }
        });
    }
}

/// A configuration with one route to a service.
fn config_of(service: &str, kind: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-68k7b2e\",\"host\":\"{DATABASE}\",\"path_prefix\":\"/\",\"type\":\"{kind}\",\"timeout_ms\":800,\"target_latency_ms\":200,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2,\"max_staleness_ms\":2500}}],\"services\":[{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_conns\":16,\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}}],\"limits\":{{\"tx_idle_ms\":3000}}}}"
    )
}

fn play(name: &str) -> Result<i32, String> {
    let here = PathBuf::from(std::env::var("CASE_DIR").map_err(|_| "CASE_DIR is not set")?);
    let root = here.join("../..").canonicalize().map_err(|e| e.to_string())?;
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let file = File::create(here.join("record.txt")).map_err(|e| e.to_string())?;
    let record = Record(Arc::new(Mutex::new(file)), Instant::now());
    let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let result = match name {
        "herd" => play_herd(&root, &folder, trouble != "0", &record),
        "unknown" => unknown::play(&root, &folder, trouble != "0", &record),
        _ => reborn::play(&root, &folder, &trouble, &record),
    };
    let _ = std::fs::remove_dir_all(&folder);
    let text = match &result {
        Ok(0) => "the rule held".to_owned(),
        Ok(_) => "THE RULE WAS BROKEN".to_owned(),
        Err(e) => format!("the case could not run: {e}"),
    };
    record.add(&text);
    println!("{text}");
    result
}

fn play_herd(root: &Path, folder: &Path, has_trouble: bool, record: &Record) -> Result<i32, String> {
    let (store, store_addr) = Store::start();
    let orders = start_orders(record);
    let log = Arc::new(Mutex::new(Log::default()));
    let members = start_service(&log, 3);
    for (member, zone) in members.iter().zip(ZONES) {
        store.put("servers", &member.id, &member.record(zone));
    }
    store.put("config", "main", &config_of(SERVICE, "read_your_writes"));
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
    let seen: Vec<_> = processes.0.iter().map(|_| Arc::new(Mutex::new(Vec::new()))).collect();
    for (daemon, seen) in processes.0.iter().zip(&seen) {
        watch_daemon(daemon, record, &stop, seen);
    }
    std::thread::sleep(Duration::from_secs(5));
    if seen.iter().any(|s| !s.lock().unwrap().iter().any(|(_, is_probe, ok)| !is_probe && *ok)) {
        return Err("not every daemon serves before the herd comes".to_owned());
    }
    let (listen, pid) = (processes.0[0].listen.clone(), processes.0[0].child.id());
    let name = processes.0[0].name.clone();
    if has_trouble {
        record.add(&format!("herd: {PEERS} peers, {CONNS_PER_PEER} connections each, to {name}"));
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        for _ in 0..PEERS {
            let peer = Command::new(&program)
                .args(["peer", &listen, &CONNS_PER_PEER.to_string()])
                .stdin(Stdio::piped())
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .map_err(|e| e.to_string())?;
            processes.1.push(peer);
        }
    }
    for _ in 0..HERD_S {
        std::thread::sleep(Duration::from_secs(1));
        record.add(&format!("{name}: {} descriptors open", open_files(pid)));
    }
    for peer in &mut processes.1 {
        drop(peer.stdin.take());
    }
    for peer in &mut processes.1 {
        let _ = peer.wait();
    }
    let left_at = Instant::now();
    record.add("herd: all its connections are closed");
    let mut cpu_before = cpu_ms(pid);
    for _ in 0..AFTER_S {
        std::thread::sleep(Duration::from_secs(1));
        let cpu = cpu_ms(pid);
        record.add(&format!("{name}: {} descriptors open, {} ms of processor time in 1 s", open_files(pid), cpu - cpu_before));
        cpu_before = cpu;
    }
    let recovered_from = left_at + Duration::from_secs(RECOVERY_S);
    let later = |n: usize, probes: bool| {
        let seen = seen[n].lock().unwrap();
        let of_kind = seen.iter().filter(|(at, is_probe, _)| *at >= recovered_from && *is_probe == probes);
        let all: Vec<bool> = of_kind.map(|(_, _, ok)| *ok).collect();
        (all.iter().filter(|ok| **ok).count(), all.len())
    };
    for n in 0..DAEMONS {
        let ((probes, all_probes), (served, all)) = (later(n, true), later(n, false));
        record.add(&format!(
            "{}: from {RECOVERY_S} s after the herd: {probes} of {all_probes} probes answered, {served} of {all} statements served",
            processes.0[n].name
        ));
    }
    let is_silent = later(0, true).0 == 0 && later(0, false).0 == 0;
    let others_serve = (1..DAEMONS).all(|n| later(n, false).0 > 0);
    let is_running = matches!(processes.0[0].child.try_wait(), Ok(None));
    stop.store(true, Ordering::SeqCst);
    record.add(&format!("SIGTERM to {name}"));
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -TERM {pid}")]).status();
    let deadline = Instant::now() + Duration::from_millis(GRACE_MS);
    let mut ended = false;
    while !ended && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
        ended = !matches!(processes.0[0].child.try_wait(), Ok(None));
    }
    record.add(&format!("{name}: ended within grace_s: {ended}"));
    for (member, id, text) in &log.lock().unwrap().runs {
        record.add(&format!("run: {member} {id} {text}"));
    }
    if !others_serve {
        return Err("the other daemons do not serve".to_owned());
    }
    Ok(i32::from(is_running && is_silent && !ended))
}

fn peer(addr: &str, count: usize) {
    let addr: SocketAddr = addr.parse().expect("an address");
    let conns: Vec<_> = (0..count)
        .filter_map(|_| TcpStream::connect_timeout(&addr, Duration::from_secs(3)).ok())
        .collect();
    let _ = std::io::stdin().read(&mut [0; 1]);
    drop(conns);
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[1..] {
        ["peer", addr, count] => peer(addr, count.parse().expect("a number")),
        [name @ ("herd" | "reborn" | "unknown")] => std::process::exit(play(name).unwrap_or(2)),
        _ => std::process::exit(2),
    }
}
