//! The processes of a run. Each is signalled by its process id, never by its name.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use gentian_core::FastMap;
use rustix::process::{Pid, Signal, kill_process};

use crate::process_usage::peak_memory;

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a process has to exit before it receives SIGKILL.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

struct RunningProcess {
    child: Child,
    command: Vec<String>,
}

/// The processes started by a run.
pub(crate) struct ProcessSet {
    programs: PathBuf,
    folder: PathBuf,
    processes: FastMap<String, RunningProcess>,
}

impl ProcessSet {
    /// Creates an empty set.
    pub(crate) fn new(programs: &Path, folder: &Path) -> Self {
        let (programs, folder) = (programs.to_owned(), folder.to_owned());
        Self { programs, folder, processes: FastMap::default() }
    }

    /// Starts a process; its output goes to `NAME.log`.
    pub(crate) fn start(&mut self, name: &str, command: Vec<String>) -> eyre::Result<()> {
        let child = self.spawn(name, &command)?;
        self.processes.insert(name.to_owned(), RunningProcess { child, command });
        Ok(())
    }

    /// Waits for a process to exit and starts it again with the same command.
    pub(crate) fn restart(&mut self, name: &str) -> eyre::Result<()> {
        let Some(mut process) = self.processes.remove(name) else { return Ok(()) };
        stop(&mut process.child);
        self.start(name, process.command)
    }

    /// Sets the command with which a process starts again after it has exited.
    pub(crate) fn replace_command(&mut self, name: &str, command: Vec<String>) {
        if let Some(process) = self.processes.get_mut(name) {
            process.command = command;
        }
    }

    /// Sends a signal to a process.
    pub(crate) fn signal(&self, name: &str, signal: Signal) {
        if let Some(process) = self.processes.get(name) {
            send(&process.child, signal);
        }
    }

    /// Returns the largest amount of memory in bytes that a process has used, as far as it is known.
    pub(crate) fn peak_memory(&self, name: &str) -> Option<u64> {
        let process = self.processes.get(name)?;
        peak_memory(process.child.id())
    }

    /// Restarts the processes that have exited; returns their names and exit statuses.
    pub(crate) fn restart_ended(&mut self) -> eyre::Result<Vec<(String, String)>> {
        let mut ended = Vec::new();
        for (name, process) in &mut self.processes {
            if let Some(status) = process.child.try_wait()? {
                ended.push((name.clone(), status.to_string()));
            }
        }
        for (name, _) in &ended {
            self.restart(name)?;
        }
        Ok(ended)
    }

    fn spawn(&self, name: &str, command: &[String]) -> eyre::Result<Child> {
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(self.programs.join(&command[0]))
            .args(&command[1..])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(child)
    }
}

impl Drop for ProcessSet {
    fn drop(&mut self) {
        for process in self.processes.values() {
            send(&process.child, Signal::CONT);
            send(&process.child, Signal::KILL);
        }
        for process in self.processes.values_mut() {
            if let Err(error) = process.child.wait() {
                log::warn!("process not waited for: {error}");
            }
        }
    }
}

fn send(child: &Child, signal: Signal) {
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    if let Some(Err(error)) = pid.map(|pid| kill_process(pid, signal)) {
        log::debug!("signal not sent: {error}");
    }
}

/// Waits for a process to exit, and kills it after `STOP_TIMEOUT`.
fn stop(child: &mut Child) {
    let mut waited = Duration::ZERO;
    while waited < STOP_TIMEOUT && matches!(child.try_wait(), Ok(None)) {
        std::thread::sleep(STOP_POLL_INTERVAL);
        waited += STOP_POLL_INTERVAL;
    }
    send(child, Signal::KILL);
    if let Err(error) = child.wait() {
        log::warn!("process not waited for: {error}");
    }
}
