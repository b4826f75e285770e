//! A child process and the addresses that it listens on.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for the threads of a process to stop; it only ends a test that would hang.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks whether the threads of a process have stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A running process; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
}

impl Process {
    /// Starts a program of this workspace and waits for its `ready` line.
    ///
    /// Its standard error is discarded unless the variable `JTALLY_TEST_LOG` is set.
    ///
    /// # Panics
    ///
    /// When the program can't be started or exits before it is ready.
    pub fn spawn(program: &str, args: &[String]) -> Self {
        let show_log = std::env::var_os("JTALLY_TEST_LOG").is_some();
        let mut child = Command::new(program_path(program))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(if show_log { Stdio::inherit() } else { Stdio::null() })
            .spawn()
            .unwrap_or_else(|error| panic!("{program} can't be started: {error}"));
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap_or_else(|| panic!("{program} has no output"));
        let mut reader = BufReader::new(stdout);
        // Log lines may precede the line with the addresses.
        while !line.starts_with("ready ") {
            line.clear();
            if !reader.read_line(&mut line).is_ok_and(|length| length > 0) {
                break;
            }
        }
        let ready = line.starts_with("ready ");
        assert!(ready, "{program} {args:?} exited before it was ready, last line {line:?}");
        Self { child, addresses: parse_addresses(&line) }
    }

    /// Returns the address with this name on the `ready` line.
    ///
    /// A daemon prints names, such as `admin` and `peer`; a stand-in prints one address, whose name
    /// is empty.
    ///
    /// # Panics
    ///
    /// When the `ready` line had no such address.
    pub fn address(&self, name: &str) -> SocketAddr {
        *self
            .addresses
            .get(name)
            .unwrap_or_else(|| panic!("the `ready` line has no address '{name}'"))
    }

    /// Sends the signal with this name, such as `STOP`; after `STOP`, waits until all threads of the
    /// process have stopped.
    ///
    /// # Panics
    ///
    /// When the signal can't be sent, or when a thread still runs long after `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "signal {name} could not be sent to process {pid}"
        );
        if name == "STOP" {
            self.wait_until_stopped();
        }
    }

    /// Waits until every thread is stopped: `kill` returns before the threads on other cores stop.
    fn wait_until_stopped(&self) {
        let deadline = Instant::now() + STOP_TIMEOUT;
        while !self.is_stopped() {
            assert!(Instant::now() < deadline, "process {} does not stop", self.pid());
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Whether every thread is stopped or has exited.
    fn is_stopped(&self) -> bool {
        let threads = format!("/proc/{}/task", self.pid());
        let Ok(threads) = std::fs::read_dir(&threads) else { return false };
        threads.flatten().all(|thread| {
            // A thread that exits meanwhile has no file any more.
            std::fs::read_to_string(thread.path().join("stat")).map_or(true, |stat| {
                // The state follows the name of the program, which is in parentheses.
                stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with(['T', 'Z', 'X']))
            })
        })
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        // An error means that the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit code, or -1 after a signal; `None` while the process runs.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a program in the build folder of the running executable.
pub fn program_path(program: &str) -> PathBuf {
    let executable = std::env::current_exe().unwrap_or_default();
    let folder = executable.parent().map(Path::to_path_buf).unwrap_or_default();
    let folder = if folder.ends_with("deps") { folder.join("..") } else { folder };
    folder.join(program)
}

/// Parses the words after `ready`: addresses, each with or without `name=`.
fn parse_addresses(line: &str) -> HashMap<String, SocketAddr> {
    let words = line.trim_start_matches("ready ").split_whitespace();
    let named_addresses = words.filter_map(|word| {
        let (name, address) = word.split_once('=').unwrap_or(("", word));
        Some((name.to_owned(), address.parse().ok()?))
    });
    named_addresses.collect()
}
