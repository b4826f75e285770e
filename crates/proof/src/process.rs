//! One child process and its addresses.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A running process; it is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
}

impl Process {
    /// Starts a program of this workspace and waits until it says that it is ready.
    ///
    /// # Panics
    ///
    /// When it can't be started or ends before it is ready.
    pub fn spawn(program: &str, args: &[String]) -> Self {
        let log = std::env::var_os("JTALLY_TEST_LOG").is_some();
        let mut child = Command::new(program_path(program))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(if log { Stdio::inherit() } else { Stdio::null() })
            .spawn()
            .unwrap_or_else(|error| panic!("{program} can't be started: {error}"));
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap_or_else(|| panic!("{program} has no output"));
        let mut reader = BufReader::new(stdout);
        // Log lines may come before the one that tells the addresses.
        while !line.starts_with("ready ") {
            line.clear();
            if !reader.read_line(&mut line).is_ok_and(|length| length > 0) {
                break;
            }
        }
        let ready = line.starts_with("ready ");
        assert!(ready, "{program} {args:?} did not get ready: {line}");
        Self { child, addresses: addresses(&line) }
    }

    /// An address by its name; stand-ins have one without a name.
    ///
    /// # Panics
    ///
    /// When the process did not tell such an address.
    pub fn address(&self, name: &str) -> SocketAddr {
        *self.addresses.get(name).unwrap_or_else(|| panic!("no address '{name}'"))
    }

    /// Sends a signal by its name, such as `STOP`.
    ///
    /// # Panics
    ///
    /// When the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "no signal {name} to {pid}");
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        // A process that has already ended needs no signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit code, once the process has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// Number of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a program that was built beside the one that runs.
pub fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().map(Path::to_path_buf).unwrap_or_default();
    let folder = if folder.ends_with("deps") { folder.join("..") } else { folder };
    folder.join(program)
}

fn addresses(line: &str) -> HashMap<String, SocketAddr> {
    let words = line.trim_start_matches("ready ").split_whitespace();
    let named = words.filter_map(|word| {
        let (name, address) = word.split_once('=').unwrap_or(("", word));
        Some((name.to_owned(), address.parse().ok()?))
    });
    named.collect()
}
