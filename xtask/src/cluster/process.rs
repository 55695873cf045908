//! Child processes that never outlive this one.

use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

/// Starts the built binaries with their logs in a folder.
pub struct Spawner {
    bin: PathBuf,
    dir: PathBuf,
    /// Whether the folder is kept.
    pub keep_dir: bool,
}

/// One child.
pub struct Process {
    child: Child,
    ended: bool,
}

fn interrupt_flag() -> &'static Arc<AtomicBool> {
    static FLAG: OnceLock<Arc<AtomicBool>> = OnceLock::new();
    FLAG.get_or_init(|| {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, flag.clone()).expect("the signal can be caught");
        }
        flag
    })
}

/// Whether Ctrl-C was pressed; everything then ends in order.
pub fn interrupted() -> bool {
    interrupt_flag().load(Ordering::Relaxed)
}

impl Spawner {
    /// Builds the binaries.
    pub fn build(dir: &Path) -> Result<Spawner, String> {
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
            return Err("the build failed".to_owned());
        }
        Ok(Spawner {
            bin: super::target_dir().join("release"),
            dir: dir.to_owned(),
            keep_dir: false,
        })
    }

    /// Starts a stand-in.
    pub fn spawn_standin(&self, name: &str, args: &[String]) -> Result<Process, String> {
        self.spawn("standin", name, args)
    }

    /// Starts the product's binary.
    pub fn spawn_daemon(&self, name: &str, args: &[String]) -> Result<Process, String> {
        self.spawn("hollyreach", name, args)
    }

    fn spawn(&self, bin: &str, name: &str, args: &[String]) -> Result<Process, String> {
        let path = self.dir.join(format!("{name}.out"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .map_err(|e| e.to_string())?;
        let err = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(self.bin.join(bin));
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(err);
        if std::env::var_os("RUST_LOG").is_none() {
            command.env("RUST_LOG", "info");
        }
        // A child ends with this process, however this process ends, and Ctrl-C reaches only this.
        #[allow(unsafe_code)]
        // SAFETY: both calls are async-signal-safe and touch no memory of the parent.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                libc::setpgid(0, 0);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|e| format!("{bin}: {e}"))?;
        Ok(Process {
            child,
            ended: false,
        })
    }
}

impl Process {
    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process alone.
    pub fn send_signal(&self, signal: i32) {
        if self.ended {
            return;
        }
        let id = i32::try_from(self.child.id()).expect("process ids are small");
        #[allow(unsafe_code)]
        // SAFETY: the child has not been waited for, so the id is still its own.
        unsafe {
            libc::kill(id, signal);
        }
    }

    /// Stops the process from running, as a paused VM.
    pub fn suspend(&self) {
        self.send_signal(libc::SIGSTOP);
    }

    /// Lets a frozen process run again.
    pub fn resume(&self) {
        self.send_signal(libc::SIGCONT);
    }

    /// Asks the process to stop in order.
    pub fn terminate(&self) {
        self.send_signal(libc::SIGTERM);
    }

    /// Whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.ended = self.ended || matches!(self.child.try_wait(), Ok(Some(_)));
        self.ended
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if !self.ended {
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.ended = true;
        }
    }
}
