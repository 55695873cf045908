//! The project's own daemons as separate processes, with settings like those of a small deployment.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

use world::World;

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/hollyreach";

pub struct Daemon {
    pub name: String,
    pub listen: String,
    pub ready: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Starts `count` daemons. All ports stay reserved until every listener has its own.
    pub fn start_all(world: &Rc<World>, dir: &Path, count: usize) -> Vec<Daemon> {
        let reserve = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let reserved: Vec<[TcpListener; 4]> = (0..count)
            .map(|_| [reserve(), reserve(), reserve(), reserve()])
            .collect();
        let mut daemons: Vec<Daemon> = (0..count)
            .map(|n| Daemon::new(world, dir, n, &reserved[n]))
            .collect();
        drop(reserved);
        for daemon in &mut daemons {
            daemon.launch();
        }
        daemons
    }

    /// Writes the settings of a daemon as the template `deploy/node.yaml` gives them.
    fn new(world: &Rc<World>, dir: &Path, n: usize, reserved: &[TcpListener; 4]) -> Daemon {
        let name = format!("front-{n}");
        let (store, orders) = world.start_endpoints(&name);
        let addrs = reserved
            .each_ref()
            .map(|l| l.local_addr().expect("bound").to_string());
        let text = format!(
            "name: \"{name}\"\ndata_center: \"z{}\"\nlisten: \"{}\"\nready: \"{}\"\nmetrics: \"{}\"\n\
             store: \"{store}\"\norders: \"{orders}\"\ngrace_ms: 6000\ndrain_ms: 7000\n\
             heartbeat_ms: 1200\ninternal: \"{}\"\n",
            n % 3,
            addrs[0],
            addrs[1],
            addrs[2],
            addrs[3]
        );
        let settings = dir.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("the settings are written");
        Daemon {
            listen: addrs[0].clone(),
            ready: addrs[1].clone(),
            log: dir.join(format!("{name}.log")),
            name,
            settings,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn launch(&mut self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log is opened");
        let child = Command::new(PROGRAM)
            .args(["gateway", "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// Sends a signal, such as `TERM`, with the ordinary command.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([format!("-{signal}"), self.pid().to_string()])
            .status();
        assert!(status.is_ok_and(|s| s.success()), "kill -{signal}");
    }

    /// The exit of the process, if it has ended.
    pub fn exit(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }
}

impl Daemon {
    /// Kills the process, if it still runs, and waits for its end.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
    }
}
