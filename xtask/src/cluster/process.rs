//! Child processes that end with this process.

use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

/// Builds the binaries and starts them with their output in a directory.
pub struct Spawner {
    bin_dir: PathBuf,
    dir: PathBuf,
    /// Whether the fleet keeps the directory when it is dropped.
    pub keep_dir: bool,
}

/// Child process.
pub struct Process {
    child: Child,
    /// Whether the child is known to have exited; its process id may then be reused.
    exited: bool,
}

/// Flag that SIGINT and SIGTERM set; installs the signal handlers at the first call.
fn interrupt_flag() -> &'static Arc<AtomicBool> {
    static FLAG: OnceLock<Arc<AtomicBool>> = OnceLock::new();
    FLAG.get_or_init(|| {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, flag.clone())
                .expect("signal handler can be installed");
        }
        flag
    })
}

/// Whether this process received SIGINT or SIGTERM; callers then shut down in order.
pub fn interrupted() -> bool {
    interrupt_flag().load(Ordering::Relaxed)
}

impl Spawner {
    /// Builds the release binaries; `dir` receives the output of the processes.
    pub fn build(dir: &Path) -> Result<Spawner, String> {
        // Installs the signal handlers before the first child starts.
        interrupted();
        let status = Command::new("cargo")
            .args([
                "build",
                "--quiet",
                "--release",
                "-p",
                "hollyreach",
                "-p",
                "standin",
            ])
            .current_dir(crate::codegen::root())
            .status()
            .map_err(|e| format!("cargo: {e}"))?;
        if !status.success() {
            return Err("cargo build of hollyreach and standin failed".to_owned());
        }
        Ok(Spawner {
            bin_dir: super::target_dir().join("release"),
            dir: dir.to_owned(),
            keep_dir: false,
        })
    }

    /// Starts a stand-in.
    pub fn spawn_standin(&self, name: &str, args: &[String]) -> Result<Process, String> {
        self.spawn("standin", name, args)
    }

    /// Starts a `hollyreach` daemon.
    pub fn spawn_daemon(&self, name: &str, args: &[String]) -> Result<Process, String> {
        self.spawn("hollyreach", name, args)
    }

    /// Starts a `hollyreach` daemon of another build.
    pub fn spawn_build(&self, bin: &Path, name: &str, args: &[String]) -> Result<Process, String> {
        self.spawn_file(bin, name, args)
    }

    fn spawn(&self, bin: &str, name: &str, args: &[String]) -> Result<Process, String> {
        self.spawn_file(&self.bin_dir.join(bin), name, args)
    }

    fn spawn_file(&self, bin: &Path, name: &str, args: &[String]) -> Result<Process, String> {
        let path = self.dir.join(format!("{name}.out"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .map_err(|e| e.to_string())?;
        let err = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(bin);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(err);
        if std::env::var_os("RUST_LOG").is_none() {
            command.env("RUST_LOG", "info");
        }
        // The kernel kills the child when this process ends in any way. The child has its own
        // process group, so that Ctrl-C does not reach it.
        #[allow(unsafe_code)]
        // SAFETY: both calls are async-signal-safe and touch no memory of the parent.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                libc::setpgid(0, 0);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .map_err(|e| format!("{}: {e}", bin.display()))?;
        Ok(Process {
            child,
            exited: false,
        })
    }
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless the process is known to have exited.
    pub fn send_signal(&self, signal: i32) {
        if self.exited {
            return;
        }
        let id = i32::try_from(self.child.id()).expect("process id fits into an i32");
        #[allow(unsafe_code)]
        // SAFETY: the child has not been waited for, so the id is still its own.
        unsafe {
            libc::kill(id, signal);
        }
    }

    /// Suspends the process (SIGSTOP), which looks to others like a paused VM.
    pub fn suspend(&self) {
        self.send_signal(libc::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.send_signal(libc::SIGCONT);
    }

    /// Asks the process to shut down (SIGTERM).
    pub fn terminate(&self) {
        self.send_signal(libc::SIGTERM);
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.exited = self.exited || matches!(self.child.try_wait(), Ok(Some(_)));
        self.exited
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if !self.exited {
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.exited = true;
        }
    }
}
