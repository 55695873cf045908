//! Runs a fleet of daemons, and the stand-ins of its surroundings, as separate processes on
//! loopback addresses.
//!
//! Each data centre has its own prefix in 127.0.0.0/8 and reaches the others through forwarded
//! links. Cutting a link simulates a partition without changes to the machine's network.

mod admin;
mod deploy;
mod inspect;
mod process;
mod publish;

pub use deploy::{Deployment, GroupSpec, lakeshore, oprawka, password_of};
pub use process::{Process, Spawner, interrupted};

use std::fmt::Write;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::codegen::root;

/// Numbers of the data centres of every test fleet.
pub const DATA_CENTERS: [u8; 3] = [1, 2, 3];
/// Data centre number under which the platform, the link control and the naive proxy run.
const PLATFORM_CENTER: u8 = 9;
const CALLER_PORT: u16 = 6432;
const INTERNAL_PORT: u16 = 7432;
const MEMBER_PORT: u16 = 5432;
const PLATFORM_PORT: u16 = 8000;
const CONTROL_PORT: u16 = 8100;
const FLEET_SECRET: &str = "test-fleet-secret-0123456789";
/// Maximum wait until all daemons of a fleet are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and parameters of a test fleet.
#[derive(Clone)]
pub struct ClusterConfig {
    /// Daemons in each data centre.
    pub daemons: u8,
    /// One-way delay between data centres, in µs.
    pub delay_us: u64,
    /// YAML lines that are appended to every daemon's settings.
    pub settings: String,
    /// Whether only the stand-ins run, without daemons.
    pub standins_only: bool,
    /// Whether members keep their term and log in files, so that they can be restarted.
    pub durable: bool,
    /// Execution time of one statement in a member's slot, in µs.
    pub work_us: u64,
}

impl Default for ClusterConfig {
    fn default() -> ClusterConfig {
        ClusterConfig {
            daemons: 3,
            delay_us: 1000,
            settings: String::new(),
            standins_only: false,
            durable: false,
            work_us: 200,
        }
    }
}

/// Member of a group in a running fleet.
pub struct MemberRef {
    /// Name of its VM.
    pub name: String,
    /// Address in its own data centre.
    pub addr: String,
    pub center: u8,
}

/// Running fleet; dropping it kills all of its processes.
pub struct Cluster {
    pub config: ClusterConfig,
    pub deployments: Vec<Deployment>,
    /// Second byte of all addresses of this run.
    subnet: u8,
    /// Directory with the settings and logs of this run.
    dir: PathBuf,
    spawner: Spawner,
    /// Processes by name, in the order of their starts; a restart adds an entry.
    processes: Vec<(String, Process)>,
    /// VMs as the platform lists them.
    vms: Vec<Value>,
}

impl Cluster {
    /// Starts the stand-ins and the daemons, and waits until every daemon is ready.
    pub fn start(config: ClusterConfig, deployments: Vec<Deployment>) -> Result<Cluster, String> {
        let subnet = free_subnet()?;
        let dir = std::env::temp_dir().join(format!("hollyreach-{}-{subnet}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let spawner = Spawner::build(&dir)?;
        let mut cluster = Cluster {
            config,
            deployments,
            subnet,
            dir,
            spawner,
            processes: Vec::new(),
            vms: Vec::new(),
        };
        cluster.start_platform()?;
        cluster.start_links()?;
        cluster.start_members()?;
        if cluster.config.standins_only {
            return Ok(cluster);
        }
        for center in DATA_CENTERS {
            for i in 1..=cluster.config.daemons {
                cluster.start_daemon(center, i)?;
            }
        }
        cluster.publish_vms()?;
        cluster.publish_institutions()?;
        cluster.wait_ready(READY_TIMEOUT)?;
        Ok(cluster)
    }

    fn ip(&self, center: u8, host: u8) -> String {
        format!("127.{}.{center}.{host}", self.subnet)
    }

    /// Address of the platform without links.
    pub fn platform_addr(&self) -> String {
        format!("{}:{PLATFORM_PORT}", self.ip(PLATFORM_CENTER, 1))
    }

    fn link_control_addr(&self) -> String {
        format!("{}:{CONTROL_PORT}", self.ip(PLATFORM_CENTER, 2))
    }

    /// Address prefix under which data centre `from` reaches `center` through the links.
    fn link_prefix(&self, from: u8, center: u8) -> String {
        format!("127.{}.{}.", self.subnet, 100 + 10 * from + center)
    }

    fn start_platform(&mut self) -> Result<(), String> {
        let args = ["platform", "--listen", &self.platform_addr()].map(str::to_owned);
        let process = self.spawner.spawn_standin("platform", &args)?;
        self.processes.push(("platform".to_owned(), process));
        Ok(())
    }

    fn start_links(&mut self) -> Result<(), String> {
        let mut args = vec![
            "links".to_owned(),
            "--control".to_owned(),
            self.link_control_addr(),
        ];
        args.extend(["--delay-us".to_owned(), self.config.delay_us.to_string()]);
        let mut targets: Vec<(u8, u8, u16)> = vec![(PLATFORM_CENTER, 1, PLATFORM_PORT)];
        for center in DATA_CENTERS {
            targets.extend((1..=self.config.daemons).map(|i| (center, i, INTERNAL_PORT)));
        }
        targets.extend(self.members().iter().map(|m| {
            let host = m
                .addr
                .rsplit('.')
                .next()
                .and_then(|r| r.split(':').next())
                .and_then(|h| h.parse().ok());
            (
                m.center,
                host.expect("member address ends in a host number"),
                MEMBER_PORT,
            )
        }));
        for from in DATA_CENTERS {
            for (center, host, port) in targets.iter().filter(|t| t.0 != from) {
                let pair = format!(
                    "{}{host}:{port}={}:{port}",
                    self.link_prefix(from, *center),
                    self.ip(*center, *host)
                );
                args.extend(["--link".to_owned(), pair]);
            }
        }
        let process = self.spawner.spawn_standin("links", &args)?;
        self.processes.push(("links".to_owned(), process));
        Ok(())
    }

    /// Members of all groups.
    pub fn members(&self) -> Vec<MemberRef> {
        let mut out = Vec::new();
        let mut host = 100;
        for deployment in &self.deployments {
            for group in &deployment.groups {
                for center in DATA_CENTERS {
                    let name = format!("{}-{}{center}", deployment.name, group.name);
                    out.push(MemberRef {
                        name,
                        addr: format!("{}:{MEMBER_PORT}", self.ip(center, host)),
                        center,
                    });
                }
                host += 1;
            }
        }
        out
    }

    /// Members of one group, in the order of data centres.
    pub fn group_members(&self, institution: &str, group: &str) -> Vec<MemberRef> {
        let prefix = format!("{institution}-{group}");
        let all = self.members().into_iter();
        all.filter(|m| {
            m.name
                .strip_prefix(&prefix)
                .is_some_and(|rest| rest.len() == 1)
        })
        .collect()
    }

    fn start_members(&mut self) -> Result<(), String> {
        for member in self.members() {
            self.start_member(&member.name)?;
        }
        Ok(())
    }

    /// Starts a member; with `ClusterConfig::durable` it resumes from its log file.
    pub fn start_member(&mut self, name: &str) -> Result<(), String> {
        let members = self.members();
        let member = members
            .iter()
            .find(|m| m.name == name)
            .ok_or("no such member")?;
        let (deployment, group) = self.find_group(name).ok_or("no such group")?;
        let initial_primary =
            &self.group_members(&deployment.name, &group.name)[group.initial_primary];
        let mut args = vec![
            "member".to_owned(),
            "--listen".to_owned(),
            member.addr.clone(),
        ];
        if initial_primary.name == member.name {
            args.push("--leader".to_owned());
        } else {
            args.extend(["--follow".to_owned(), initial_primary.addr.clone()]);
        }
        for center in DATA_CENTERS.into_iter().filter(|c| *c != member.center) {
            let map = format!(
                "127.{}.{center}.={}",
                self.subnet,
                self.link_prefix(member.center, center)
            );
            args.extend(["--map".to_owned(), map]);
        }
        if self.config.durable {
            let file = self.dir.join(format!("{name}.log"));
            args.extend(["--data".to_owned(), file.display().to_string()]);
        }
        let (limit, slots, work) = (group.connections, group.slots, self.config.work_us);
        for (flag, val) in [("--limit", limit), ("--slots", slots), ("--work-us", work)] {
            args.extend([flag.to_owned(), val.to_string()]);
        }
        let process = self.spawner.spawn_standin(name, &args)?;
        self.processes.push((name.to_owned(), process));
        Ok(())
    }

    fn find_group(&self, member: &str) -> Option<(&Deployment, &GroupSpec)> {
        let pairs = self
            .deployments
            .iter()
            .flat_map(|d| d.groups.iter().map(move |g| (d, g)));
        pairs.into_iter().find(|(d, g)| {
            member
                .strip_prefix(&format!("{}-{}", d.name, g.name))
                .is_some_and(|rest| rest.len() == 1)
        })
    }

    pub fn daemon_name(center: u8, i: u8) -> String {
        format!("entry-{center}{i}")
    }

    /// Names of all daemons, in the order of data centres.
    pub fn daemon_names(&self) -> Vec<String> {
        let each = |c| (1..=self.config.daemons).map(move |i| Self::daemon_name(c, i));
        DATA_CENTERS.into_iter().flat_map(each).collect()
    }

    /// Address on which a daemon accepts callers.
    pub fn caller_addr(&self, daemon: &str) -> String {
        let (center, i) = parse_daemon_name(daemon);
        format!("{}:{CALLER_PORT}", self.ip(center, i))
    }

    /// Address on which a daemon accepts operators and other daemons.
    pub fn internal_addr(&self, daemon: &str) -> String {
        self.caller_addr(daemon)
            .replace(&CALLER_PORT.to_string(), &INTERNAL_PORT.to_string())
    }

    /// Path of a daemon's settings file.
    pub fn settings_file(&self, daemon: &str) -> String {
        self.dir
            .join(format!("{daemon}.yaml"))
            .display()
            .to_string()
    }

    /// Writes a settings file for operators, who reach every data centre without links, and
    /// returns its path.
    pub fn operator_settings(&self) -> Result<String, String> {
        let first = Self::daemon_name(1, 1);
        let text =
            std::fs::read_to_string(self.settings_file(&first)).map_err(|e| e.to_string())?;
        let (head, _) = text
            .split_once("address_map:")
            .ok_or("daemon settings without an address_map")?;
        let file = self.dir.join("operator.yaml");
        std::fs::write(&file, head).map_err(|e| e.to_string())?;
        Ok(file.display().to_string())
    }

    /// Writes a daemon's settings and starts it.
    pub fn start_daemon(&mut self, center: u8, i: u8) -> Result<(), String> {
        let name = Self::daemon_name(center, i);
        let mut text = format!(
            "name: {name}\ndata_center: dc{center}\nlisten: {}\ninternal: {}\nplatform: {}1:{PLATFORM_PORT}\nsecret: {FLEET_SECRET}\n",
            self.caller_addr(&name),
            self.internal_addr(&name),
            self.link_prefix(center, PLATFORM_CENTER),
        );
        text.push_str("seeds:\n");
        for other in self.daemon_names().iter().filter(|n| **n != name).take(3) {
            let dc = parse_daemon_name(other).0;
            let _ = writeln!(
                text,
                "  - {{name: {other}, data_center: dc{dc}, addr: \"{}\"}}",
                self.internal_addr(other)
            );
        }
        text.push_str(&self.config.settings);
        text.push_str("address_map:\n");
        for other in DATA_CENTERS.into_iter().filter(|c| *c != center) {
            let _ = writeln!(
                text,
                "  - {{from: 127.{}.{other}., to: {}}}",
                self.subnet,
                self.link_prefix(center, other)
            );
        }
        let file = self.settings_file(&name);
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let process = self
            .spawner
            .spawn_daemon(&name, &["serve".to_owned(), "--config".to_owned(), file])?;
        self.processes.push((name, process));
        Ok(())
    }

    pub fn naive_proxy_addr(&self) -> String {
        format!("{}:{CALLER_PORT}", self.ip(PLATFORM_CENTER, 3))
    }

    /// Starts the naive proxy in front of the first group, after killing an earlier one.
    ///
    /// With `round_robin` it distributes connections over the members, otherwise each goes to the
    /// first member that accepts it.
    pub fn start_naive_proxy(&mut self, round_robin: bool) -> Result<(), String> {
        self.kill("naive");
        let mut args = vec![
            "naive".to_owned(),
            "--listen".to_owned(),
            self.naive_proxy_addr(),
        ];
        for member in self.members().into_iter().take(DATA_CENTERS.len()) {
            args.extend(["--to".to_owned(), member.addr]);
        }
        if round_robin {
            args.push("--spread".to_owned());
        }
        let process = self.spawner.spawn_standin("naive", &args)?;
        self.processes.push(("naive".to_owned(), process));
        for _ in 0..100 {
            if std::net::TcpStream::connect(self.naive_proxy_addr()).is_ok() {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Path of the `hollyreach` binary.
    pub fn daemon_binary(&self) -> PathBuf {
        target_dir().join("release/hollyreach")
    }

    fn wait_ready(&self, timeout: Duration) -> Result<(), String> {
        let until = Instant::now() + timeout;
        for name in self.daemon_names() {
            while !self.is_ready(&name) {
                if Instant::now() > until {
                    return Err(format!("{name} is not ready; see {}", self.dir.display()));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// The most recently started process with this name.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes
            .iter_mut()
            .rev()
            .find(|(n, _)| n == name)
            .map(|(_, p)| p)
    }

    /// Whether a process has exited or was never started.
    pub fn has_exited(&mut self, name: &str) -> bool {
        self.process(name).is_none_or(Process::has_exited)
    }

    /// Kills the most recently started process with this name, if there is one.
    pub fn kill(&mut self, name: &str) {
        if let Some(process) = self.process(name) {
            process.kill();
        }
    }

    pub fn dir(&self) -> &std::path::Path {
        &self.dir
    }

    /// Keeps [`Cluster::dir`] when the fleet is dropped.
    pub fn keep_logs(&mut self) {
        self.spawner.keep_dir = true;
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, process) in &mut self.processes {
            process.kill();
        }
        if !self.spawner.keep_dir {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns the data centre and the number in a daemon's name.
fn parse_daemon_name(daemon: &str) -> (u8, u8) {
    let digits = daemon.trim_start_matches("entry-");
    let (center, i) = digits.split_at(1);
    (
        center.parse().expect("daemon name contains a data centre"),
        i.parse().expect("daemon name ends in a number"),
    )
}

/// Finds a second address byte that no other run uses, so that several fleets can run in parallel.
fn free_subnet() -> Result<u8, String> {
    let start = u8::try_from(std::process::id() % 200).expect("remainder is below 200") + 20;
    (0..200_u8)
        .map(|i| 20 + (start - 20 + i) % 200)
        .find(|subnet| {
            std::net::TcpListener::bind(format!("127.{subnet}.{PLATFORM_CENTER}.1:{PLATFORM_PORT}"))
                .is_ok()
        })
        .ok_or_else(|| "no loopback prefix is free for the fleet".to_owned())
}

/// Cargo's target directory.
pub fn target_dir() -> PathBuf {
    std::env::var_os("CARGO_TARGET_DIR").map_or_else(|| root().join("target"), PathBuf::from)
}
