//! Daemon processes of a soak test.

use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;

use base::Ms;
use link::BufferedStream;
use monoio::net::TcpStream;
use world::World;

use crate::cluster::{Process, Spawner};

use super::{Options, sleep_ms};

pub struct Daemon {
    /// Name of the first VM, which stays that of the log.
    pub name: String,
    /// Name of the VM on which it runs.
    pub vm: RefCell<Box<str>>,
    data_center: String,
    /// Address that callers connect to.
    pub listen_addr: String,
    ready_addr: String,
    settings_path: String,
    process: RefCell<Option<Process>>,
    /// Number of starts of the process.
    pub launches: Cell<u64>,
    /// Whether the process has been killed or frozen since its last start.
    pub disrupted: Cell<bool>,
    /// Whether the process is being stopped in a series of stops.
    pub is_stopping: Cell<bool>,
    /// Whether the process is of the build under test, not of the other one.
    pub is_new: Cell<bool>,
    /// Highest configuration version observed since the process's last start.
    pub seen_version: Cell<u64>,
}

pub struct Fleet {
    pub daemons: Vec<Daemon>,
    spawner: Rc<Spawner>,
    seed: u64,
    /// Whether daemons are stopped in series.
    pub has_stops: bool,
    /// Program of the build under test; `None` for the one built from this workspace.
    build: Option<PathBuf>,
    /// Program of the other build, which the fleet begins with.
    pub former_build: Option<PathBuf>,
}

/// Listeners on the addresses of a daemon, which reserve the ports while they exist.
struct ReservedAddrs {
    listen: TcpListener,
    ready: TcpListener,
    internal: TcpListener,
}

impl ReservedAddrs {
    fn new() -> Result<ReservedAddrs, String> {
        let bind = || TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string());
        Ok(ReservedAddrs {
            listen: bind()?,
            ready: bind()?,
            internal: bind()?,
        })
    }
}

fn local_addr(listener: &TcpListener) -> Result<String, String> {
    let addr = listener.local_addr().map_err(|e| e.to_string())?;
    Ok(addr.to_string())
}

impl Fleet {
    /// Writes the settings files and starts the daemons.
    pub fn start(
        world: &Rc<World>,
        spawner: Rc<Spawner>,
        seed: u64,
        options: &Options,
    ) -> Result<Rc<Fleet>, String> {
        let folder = options.folder();
        // All addresses stay reserved until every daemon and stand-in has its own: listeners use
        // SO_REUSEPORT, so a port that is released earlier could be assigned twice.
        let reserved: Vec<ReservedAddrs> = (0..options.daemons)
            .map(|_| ReservedAddrs::new())
            .collect::<Result<_, _>>()?;
        let mut daemons = Vec::new();
        for (n, addrs) in reserved.iter().enumerate() {
            let name = format!("vm-{n}");
            let (store, orders) = world.start_endpoints(&name);
            let (listen, ready) = (local_addr(&addrs.listen)?, local_addr(&addrs.ready)?);
            let internal = local_addr(&addrs.internal)?;
            let settings_path = folder.join(format!("{seed}-{name}.yaml"));
            let daemon = Daemon {
                vm: RefCell::new(name.as_str().into()),
                data_center: format!("z{}", n % 3),
                name,
                listen_addr: listen,
                ready_addr: ready,
                settings_path: settings_path.display().to_string(),
                process: RefCell::new(None),
                launches: Cell::new(0),
                is_stopping: Cell::new(false),
                is_new: Cell::new(options.former_build.is_none()),
                disrupted: Cell::new(false),
                seen_version: Cell::new(0),
            };
            daemon
                .write_settings(&internal, &store, &orders)
                .map_err(|e| e.to_string())?;
            daemons.push(daemon);
        }
        drop(reserved);
        let fleet = Rc::new(Fleet {
            daemons,
            spawner,
            seed,
            has_stops: options.stops,
            build: options.build.clone(),
            former_build: options.former_build.clone(),
        });
        for daemon in &fleet.daemons {
            fleet.launch(daemon)?;
        }
        Ok(fleet)
    }

    /// Starts a daemon's process, killing the previous one first.
    pub fn launch(&self, daemon: &Daemon) -> Result<(), String> {
        daemon.disrupted.set(true);
        if let Some(mut old) = daemon.process.take() {
            old.kill();
        }
        let args = ["gateway", "--config", &daemon.settings_path].map(str::to_owned);
        let log_name = format!("{}-{}", self.seed, daemon.name);
        let build = if daemon.is_new.get() {
            &self.build
        } else {
            &self.former_build
        };
        let process = match build {
            Some(bin) => self.spawner.spawn_build(bin, &log_name, &args)?,
            None => self.spawner.spawn_daemon(&log_name, &args)?,
        };
        daemon.process.replace(Some(process));
        daemon.launches.set(daemon.launches.get() + 1);
        daemon.disrupted.set(false);
        daemon.seen_version.set(0);
        Ok(())
    }

    /// Starts a daemon on a new VM, under a new name and at a new internal address; the record of the former
    /// one stays in the store. Callers reach it where they reached the former one.
    pub fn replace_machine(&self, world: &Rc<World>, n: usize) -> Result<(), String> {
        let daemon = &self.daemons[n];
        let vm = format!("{}-start-{}", daemon.name, daemon.launches.get());
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let internal = local_addr(&listener)?;
        let (store, orders) = world.start_endpoints(&vm);
        daemon.vm.replace(vm.into());
        daemon
            .write_settings(&internal, &store, &orders)
            .map_err(|e| e.to_string())?;
        drop(listener);
        self.launch(daemon)
    }

    /// Waits until every daemon is ready; fails once the deadline has passed.
    pub async fn wait_ready(&self, deadline: Ms) -> Result<(), String> {
        for daemon in &self.daemons {
            while !daemon.is_ready().await {
                if deadline.left() == 0 {
                    return Err(format!("{} did not become ready in time", daemon.name));
                }
                sleep_ms(50).await;
            }
        }
        Ok(())
    }

    /// Kills all daemons.
    pub fn kill_all(&self) {
        for daemon in &self.daemons {
            if let Some(mut process) = daemon.process.take() {
                process.kill();
            }
        }
    }
}

impl Daemon {
    fn write_settings(&self, internal: &str, store: &str, orders: &str) -> std::io::Result<()> {
        let text = format!(
            "name: {}\ndata_center: {}\nlisten: {}\nready: {}\n\
             internal: {internal}\nstore: {store}\norders: {orders}\ngrace_ms: 4000\n",
            self.vm.borrow(),
            self.data_center,
            self.listen_addr,
            self.ready_addr
        );
        std::fs::write(&self.settings_path, text)
    }

    /// Whether the health probe of the load balancer succeeds.
    pub async fn is_ready(&self) -> bool {
        let timeout = std::time::Duration::from_millis(500);
        let result = monoio::time::timeout(timeout, self.probe_ready()).await;
        matches!(result, Ok(Ok(true)))
    }

    async fn probe_ready(&self) -> std::io::Result<bool> {
        let stream = TcpStream::connect(&*self.ready_addr).await?;
        let mut link = BufferedStream::new(stream)?;
        link.send(b"GET /hollyreach/ready HTTP/1.1\r\nhost: x\r\n\r\n")
            .await?;
        link.read_more().await?;
        Ok(link.input.starts_with(b"HTTP/1.1 200"))
    }

    /// Performs an action on the process, if it runs, that may close or stall its connections.
    pub fn disrupt(&self, action: impl FnOnce(&mut Process)) {
        self.disrupted.set(true);
        self.with_process(action);
    }

    /// Performs an action on the process, if it runs.
    pub fn with_process(&self, action: impl FnOnce(&mut Process)) {
        if let Some(process) = self.process.borrow_mut().as_mut() {
            action(process);
        }
    }
}
