//! The daemons of a soak, as processes.

use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::rc::Rc;

use base::Ms;
use link::Link;
use monoio::net::TcpStream;
use world::World;

use crate::cluster::{Process, Spawner};

use super::pause;

/// One daemon.
pub struct Daemon {
    /// Name of its VM.
    pub name: String,
    /// Address for callers.
    pub listen: String,
    ready: String,
    settings: String,
    process: RefCell<Option<Process>>,
    /// Grows with each start of the process.
    pub launches: Cell<u64>,
    /// Whether the process was killed or frozen since its start.
    pub hurt: Cell<bool>,
    /// Newest configuration that it showed since its start.
    pub version: Cell<u64>,
}

/// All daemons.
pub struct Fleet {
    /// The daemons.
    pub daemons: Vec<Daemon>,
    spawner: Rc<Spawner>,
    seed: u64,
}

/// Addresses of one daemon, which nobody else is given while they are held.
struct Reserved {
    listen: TcpListener,
    ready: TcpListener,
    internal: TcpListener,
}

impl Reserved {
    fn new() -> Result<Reserved, String> {
        let bind = || TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string());
        Ok(Reserved {
            listen: bind()?,
            ready: bind()?,
            internal: bind()?,
        })
    }
}

fn address(listener: &TcpListener) -> Result<String, String> {
    let addr = listener.local_addr().map_err(|e| e.to_string())?;
    Ok(addr.to_string())
}

impl Fleet {
    /// Writes the settings and starts the daemons.
    pub fn start(
        world: &Rc<World>,
        spawner: Rc<Spawner>,
        seed: u64,
        count: usize,
    ) -> Result<Rc<Fleet>, String> {
        let folder = crate::cluster::target_dir().join("soak");
        // All are held until each daemon and each stand-in has its own: listeners share ports.
        let reserved: Vec<Reserved> = (0..count)
            .map(|_| Reserved::new())
            .collect::<Result<_, _>>()?;
        let mut daemons = Vec::new();
        for (n, own) in reserved.iter().enumerate() {
            let name = format!("vm-{n}");
            let (store, orders) = world.open_for(&name);
            let (listen, ready) = (address(&own.listen)?, address(&own.ready)?);
            let internal = address(&own.internal)?;
            let settings = folder.join(format!("{seed}-{name}.yaml"));
            let text = format!(
                "name: {name}\ndata_center: z{}\nlisten: {listen}\nready: {ready}\n\
                 internal: {internal}\nstore: {store}\norders: {orders}\ngrace_ms: 4000\n",
                n % 3
            );
            std::fs::write(&settings, text).map_err(|e| e.to_string())?;
            daemons.push(Daemon {
                name,
                listen,
                ready,
                settings: settings.display().to_string(),
                process: RefCell::new(None),
                launches: Cell::new(0),
                hurt: Cell::new(false),
                version: Cell::new(0),
            });
        }
        drop(reserved);
        let fleet = Rc::new(Fleet {
            daemons,
            spawner,
            seed,
        });
        for daemon in &fleet.daemons {
            fleet.launch(daemon)?;
        }
        Ok(fleet)
    }

    /// Starts a daemon's process, ending the former one first.
    pub fn launch(&self, daemon: &Daemon) -> Result<(), String> {
        daemon.hurt.set(true);
        if let Some(mut old) = daemon.process.take() {
            old.kill();
        }
        let args = ["gateway", "--config", &daemon.settings].map(str::to_owned);
        let log = format!("{}-{}", self.seed, daemon.name);
        let process = self.spawner.spawn_daemon(&log, &args)?;
        daemon.process.replace(Some(process));
        daemon.launches.set(daemon.launches.get() + 1);
        daemon.hurt.set(false);
        daemon.version.set(0);
        Ok(())
    }

    /// Waits until every daemon is ready.
    pub async fn await_ready(&self, until: Ms) -> Result<(), String> {
        for daemon in &self.daemons {
            while !daemon.is_ready().await {
                if until.left() == 0 {
                    return Err(format!("{} did not become ready", daemon.name));
                }
                pause(50).await;
            }
        }
        Ok(())
    }

    /// Ends all daemons.
    pub fn end(&self) {
        for daemon in &self.daemons {
            if let Some(mut process) = daemon.process.take() {
                process.kill();
            }
        }
    }
}

impl Daemon {
    /// Whether it answers 200 to the balancer.
    pub async fn is_ready(&self) -> bool {
        let wait = std::time::Duration::from_millis(500);
        let asked = monoio::time::timeout(wait, self.ask_ready()).await;
        matches!(asked, Ok(Ok(true)))
    }

    async fn ask_ready(&self) -> std::io::Result<bool> {
        let stream = TcpStream::connect(&*self.ready).await?;
        let mut link = Link::new(stream)?;
        link.send(b"GET /hollyreach/ready HTTP/1.1\r\nhost: x\r\n\r\n")
            .await?;
        link.fill().await?;
        Ok(link.input.starts_with(b"HTTP/1.1 200"))
    }

    /// Does something with the process that may cut its connections, if it runs.
    pub fn hurt(&self, act: impl FnOnce(&mut Process)) {
        self.hurt.set(true);
        self.with(act);
    }

    /// Does something with the process, if it runs.
    pub fn with(&self, act: impl FnOnce(&mut Process)) {
        if let Some(process) = self.process.borrow_mut().as_mut() {
            act(process);
        }
    }
}
