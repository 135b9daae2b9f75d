//! Processes of one test with the folder for their settings and logs.

#![allow(clippy::unwrap_used, dead_code)]

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(20);
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Processes that end with this value. The folder is kept if the test has failed.
pub(crate) struct TestProcesses {
    folder: PathBuf,
    children: Vec<Child>,
}

impl TestProcesses {
    /// Creates the folder, whose name begins with `name`.
    pub(crate) fn new(name: &str, subnet: u8) -> Self {
        let folder = std::env::temp_dir().join(format!("{name}-{}-{subnet}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self { folder, children: Vec::new() }
    }

    /// Returns the path of a file in the folder.
    pub(crate) fn path(&self, file: &str) -> PathBuf {
        self.folder.join(file)
    }

    /// Starts a program that stands in the parent of the test binary's folder. Its log is named after its
    /// number and the program.
    pub(crate) fn spawn(&mut self, program: &str, arguments: &[&str]) {
        let test = std::env::current_exe().unwrap();
        let programs = test.parent().and_then(Path::parent).unwrap();
        let log = self.path(&format!("{}-{program}.log", self.children.len()));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(programs.join(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.children.push(child);
    }

    /// Returns the process that was started last.
    pub(crate) fn last(&mut self) -> &mut Child {
        self.children.last_mut().unwrap()
    }

    /// Returns the id of the process that was started last.
    pub(crate) fn last_id(&self) -> u32 {
        self.children.last().unwrap().id()
    }

    /// Waits until `condition` returns `true`.
    pub(crate) fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let end = Instant::now() + START_TIMEOUT;
        while !condition() {
            assert!(Instant::now() < end, "timed out: {what}; logs in {}", self.folder.display());
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for TestProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
