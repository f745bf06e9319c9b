//! A child process that is signalled by its id.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A running child process whose output is appended to a log file.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `program` and appends its output to the file at `log`.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> Result<Self, String> {
        let output = open_log(log)?;
        let errors = output.try_clone().map_err(|error| error.to_string())?;
        let path = find_program(program)?;
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Self { child })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), String> {
        let id = Pid::from_raw(self.child.id().cast_signed());
        kill(id, signal).map_err(|error| error.to_string())
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(mut self) {
        // The signal fails if the process has exited already.
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }

    /// Returns the exit status, `None` while the process is running.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

fn open_log(path: &Path) -> Result<File, String> {
    let opened = OpenOptions::new().create(true).append(true).open(path);
    opened.map_err(|error| format!("{}: {error}", path.display()))
}

/// Finds a program of this Cargo workspace in the directory of the running one, or in its parent (for test programs).
pub(crate) fn find_program(name: &str) -> Result<PathBuf, String> {
    let current_program = std::env::current_exe().map_err(|error| error.to_string())?;
    let folders = current_program.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder| folder.join(name));
    candidates
        .find(|path| path.is_file())
        .ok_or_else(|| format!("{name} is not built; run `cargo build --workspace --bins` first"))
}
