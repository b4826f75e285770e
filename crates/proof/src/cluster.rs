//! Data centres of real processes with a platform and backend servers that stand in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use base::admin::Status;
use indexmap::IndexMap;
use platform::wire::{ReadAsk, Rows};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use standin::backend;
use standin::faults::Faults;
use standin::record::Run;

use crate::client::Client;
use crate::process::{Process, program_path};
use crate::relay::Relay;
use crate::wait_for;

/// What to start.
#[derive(Debug, Clone, Default)]
pub struct Layout {
    /// Data centres by name.
    pub centres: Vec<String>,
    /// Entry processes in each.
    pub entries: usize,
    /// Control processes in each.
    pub controls: usize,
    /// Backend servers in each, by pool.
    pub servers: Vec<(String, usize)>,
    /// Whether each data centre reaches the platform over a wire that can be cut.
    pub relays: bool,
}

/// What the platform stand-in has answered so far.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Counts {
    /// Reads.
    pub reads: u64,
    /// Rows given in these reads.
    pub rows: u64,
    /// Transactions committed.
    pub writes: u64,
}

/// The running processes.
#[derive(Debug)]
pub struct Cluster {
    /// The platform stand-in.
    pub platform: Process,
    /// Entry processes by name.
    pub entries: IndexMap<String, Process>,
    /// Control processes by name.
    pub controls: IndexMap<String, Process>,
    /// Backend servers by name.
    pub servers: IndexMap<String, Process>,
    /// Wires to the platform by data centre, where the layout asks for them.
    pub relays: IndexMap<String, Relay>,
    /// Client for all of them.
    pub client: Client,
    /// Folder of the settings files.
    pub folder: PathBuf,
}

impl Layout {
    /// One data centre with one entry and one control process, and servers by pool.
    pub fn minimal(servers: &[(&str, usize)]) -> Self {
        Self::new(&["dc1"], 1, 1, servers)
    }

    /// So many entry and control processes, and servers by pool, in each data centre.
    pub fn new(
        centres: &[&str],
        entries: usize,
        controls: usize,
        servers: &[(&str, usize)],
    ) -> Self {
        Self {
            centres: centres.iter().map(|name| (*name).to_owned()).collect(),
            entries,
            controls,
            servers: servers.iter().map(|(pool, count)| ((*pool).to_owned(), *count)).collect(),
            relays: false,
        }
    }
}

impl Cluster {
    /// Starts everything; the processes know the platform and those started before them.
    ///
    /// # Panics
    ///
    /// When a process does not get ready.
    pub fn start(layout: &Layout) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("jtally-{}-{count}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| panic!("no folder: {error}"));
        let mut cluster = Self {
            platform: Process::spawn("standin-platform", &[]),
            entries: IndexMap::new(),
            controls: IndexMap::new(),
            servers: IndexMap::new(),
            relays: IndexMap::new(),
            client: Client::default(),
            folder,
        };
        for centre in &layout.centres {
            if layout.relays {
                let relay = Relay::start(cluster.platform.address(""));
                cluster.relays.insert(centre.clone(), relay);
            }
            for (pool, count) in &layout.servers {
                (0..*count).for_each(|at| cluster.start_server(centre, pool, at));
            }
            (1..=layout.entries)
                .for_each(|at| cluster.start_entry(&format!("entry-{centre}-{at}"), centre));
            (1..=layout.controls)
                .for_each(|at| cluster.start_control(&format!("control-{centre}-{at}"), centre));
        }
        cluster
    }

    /// Starts a backend server; four stand in a rack.
    pub fn start_server(&mut self, centre: &str, pool: &str, at: usize) {
        let id = format!("{pool}-{centre}-{at}");
        let args = [
            ("--id", id.clone()),
            ("--platform", self.platform.address("").to_string()),
            ("--centre", centre.to_owned()),
            ("--rack", format!("{centre}-r{}", at / 4)),
            ("--pool", pool.to_owned()),
        ];
        let args: Vec<String> =
            args.into_iter().flat_map(|(name, value)| [name.to_owned(), value]).collect();
        self.servers.insert(id, Process::spawn("standin-backend", &args));
    }

    /// Starts an entry process.
    pub fn start_entry(&mut self, name: &str, centre: &str) {
        let settings = self.settings(name, centre);
        self.entries.insert(name.to_owned(), Process::spawn("jtally-entry", &[settings]));
    }

    /// Starts a control process.
    pub fn start_control(&mut self, name: &str, centre: &str) {
        let settings = self.settings(name, centre);
        self.controls.insert(name.to_owned(), Process::spawn("jtally-control", &[settings]));
    }

    fn settings(&self, name: &str, centre: &str) -> String {
        let platform = self.platform.address("");
        let platform = self.relays.get(centre).map_or(platform, |relay| relay.address);
        let mut text = format!("name: {name}\ncentre: {centre}\nplatform: {platform}\nseeds:\n");
        for process in self.entries.values().chain(self.controls.values()) {
            text.push_str(&format!("  - {}\n", process.address("peer")));
        }
        if text.ends_with("seeds:\n") {
            text = text.replace("seeds:\n", "");
        }
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, text).unwrap_or_else(|error| panic!("no settings: {error}"));
        file.display().to_string()
    }

    /// Callers' address of an entry process, by its place.
    pub fn entry_address(&self, at: usize) -> SocketAddr {
        self.entries[at].address("listen")
    }

    /// Operators' address of a control process, by its place.
    pub fn control_address(&self, at: usize) -> SocketAddr {
        self.controls[at].address("admin")
    }

    /// Runs `jtally` against the first control process; gives its exit code and output.
    ///
    /// # Panics
    ///
    /// When the program can't be run.
    pub fn jtally(&self, args: &[&str]) -> (i32, String) {
        let at = self.control_address(0).to_string();
        jtally(&[&["--at", at.as_str()], args].concat())
    }

    /// Applies a contract text and gives its revision.
    ///
    /// # Panics
    ///
    /// When it is refused.
    pub fn submit_contract(&self, name: &str, text: &str, base: u64) -> u64 {
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, text).unwrap_or_else(|error| panic!("no contract: {error}"));
        let (file, base) = (file.display().to_string(), base.to_string());
        // Tests come with fewer instances than a contract should have.
        let args = ["--json", "contract", "apply", &file, "--base", &base, "--ahead"];
        let (code, output) = self.jtally(&args);
        assert_eq!(code, 0, "{output}");
        let accepted: serde_json::Value = serde_json::from_str(&output).unwrap_or_default();
        accepted["revision"].as_u64().unwrap_or_default()
    }

    /// Applies a contract text and waits until every process has it in force.
    ///
    /// # Panics
    ///
    /// When it is refused.
    pub async fn apply_contract(&self, name: &str, text: &str, base: u64) -> u64 {
        let revision = self.submit_contract(name, text, base);
        self.wait_for_revision(name, revision).await;
        revision
    }

    /// Waits until every process has at least a revision in force.
    pub async fn wait_for_revision(&self, customer: &str, revision: u64) {
        let processes = self.entries.values().chain(self.controls.values());
        for process in processes {
            let admin = process.address("admin");
            wait_for("a contract in force", || async move {
                let status: Status = self.client.get_json(admin, "/status").await?;
                let held = status.contracts.get(customer).copied().unwrap_or_default();
                (held >= revision).then_some(())
            })
            .await;
        }
    }

    /// Waits until every entry process answers requests of a service.
    pub async fn wait_for_service(&self, path: &str) {
        for entry in self.entries.values() {
            let address = entry.address("listen");
            wait_for("a service that answers", || async move {
                let headers = [("X-Repeat", "allowed")];
                let reply = self.client.post(address, path, &headers, "warm-up").await?;
                (reply.outcome == "done").then_some(())
            })
            .await;
        }
    }

    /// What the platform has answered so far.
    pub async fn platform_counts(&self) -> Counts {
        let address = self.platform.address("");
        wait_for("the platform's counts", || self.client.get_json(address, "/counts")).await
    }

    /// Sets the platform's faults.
    pub async fn set_platform_faults(&self, faults: &Faults) {
        self.client.post_json(self.platform.address(""), "/faults", faults).await;
    }

    /// Sets a backend server's faults.
    pub async fn set_server_faults(&self, id: &str, faults: &backend::Faults) {
        self.client.post_json(self.servers[id].address(""), "/standin/faults", faults).await;
    }

    /// Everything that truly ran, over all backend servers that live.
    pub async fn recorded_runs(&self) -> Vec<Run> {
        let mut all = Vec::new();
        for id in self.servers.keys() {
            all.extend(self.recorded_runs_of(id).await);
        }
        all
    }

    /// Everything that truly ran on one backend server; nothing when it does not answer.
    pub async fn recorded_runs_of(&self, id: &str) -> Vec<Run> {
        let address = self.servers[id].address("");
        self.client.get_json(address, "/standin/record").await.unwrap_or_default()
    }

    /// Reads one row of the platform's table as it is.
    pub async fn read_row<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let ask = ReadAsk { keys: vec![key.to_owned()], prefix: None };
        let body = serde_json::to_string(&ask).unwrap_or_default();
        let headers = [("content-type", "application/json")];
        let address = self.platform.address("");
        let reply = self.client.post(address, "/table/read", &headers, &body).await?;
        let rows: Rows = serde_json::from_str(&reply.body).ok()?;
        serde_json::from_str(&rows.rows.first()?.value).ok()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // The folder lies in the system's own place for such; what is left there does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs `jtally`; gives its exit code and both outputs.
///
/// # Panics
///
/// When the program can't be run.
pub fn jtally(args: &[&str]) -> (i32, String) {
    let output = std::process::Command::new(program_path("jtally"))
        .args(args)
        .output()
        .unwrap_or_else(|error| panic!("jtally can't be run: {error}"));
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}
