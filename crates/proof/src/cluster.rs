//! Data centres of real daemons with stand-ins for the platform and the backend servers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use base::admin::Status;
use indexmap::IndexMap;
use platform::wire::{ReadRequest, Rows};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use standin::backend;
use standin::faults::Faults;
use standin::record::Run;

use crate::client::Client;
use crate::process::{Process, program_path};
use crate::relay::Relay;
use crate::wait_for;

/// Processes that a [`Cluster`] starts.
#[derive(Debug, Clone, Default)]
pub struct Layout {
    /// Names of the data centres.
    pub centres: Vec<String>,
    /// Number of entry processes in each data centre.
    pub entries: usize,
    /// Number of control processes in each data centre.
    pub controls: usize,
    /// Number of backend servers of each pool in each data centre.
    pub servers: Vec<(String, usize)>,
    /// Whether each data centre reaches the platform through a relay that can be cut.
    pub relays: bool,
    /// Further lines of the entry processes' settings files.
    pub entry_settings: String,
}

/// Number of table operations that the platform stand-in has served so far.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Counts {
    /// Read requests.
    pub reads: u64,
    /// Rows returned by these reads.
    pub rows: u64,
    /// Committed transactions.
    pub writes: u64,
}

/// Running processes; dropping the cluster kills them and deletes their settings.
#[derive(Debug)]
pub struct Cluster {
    /// The platform stand-in.
    pub platform: Process,
    /// Entry processes by name.
    pub entries: IndexMap<String, Process>,
    /// Control processes by name.
    pub controls: IndexMap<String, Process>,
    /// Backend servers by id, which is `POOL-CENTRE-NUMBER`.
    pub servers: IndexMap<String, Process>,
    /// Relays to the platform by data centre; empty unless the layout has relays.
    pub relays: IndexMap<String, Relay>,
    /// HTTP client for all processes.
    pub client: Client,
    /// Folder of the settings files and contract files.
    pub folder: PathBuf,
    entry_settings: String,
}

impl Layout {
    /// One data centre with one entry process, one control process and servers by pool.
    pub fn minimal(servers: &[(&str, usize)]) -> Self {
        Self::new(&["dc1"], 1, 1, servers)
    }

    /// The given numbers of processes and servers by pool in each data centre, without relays.
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
            entry_settings: String::new(),
        }
    }
}

impl Cluster {
    /// Starts all processes of a layout.
    ///
    /// The settings of each daemon have the daemons started before it as seeds.
    ///
    /// # Panics
    ///
    /// When the folder can't be created or a process does not become ready.
    pub fn start(layout: &Layout) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("jtally-{}-{count}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)
            .unwrap_or_else(|error| panic!("the folder can't be created: {error}"));
        let mut cluster = Self {
            platform: Process::spawn("standin-platform", &[]),
            entries: IndexMap::new(),
            controls: IndexMap::new(),
            servers: IndexMap::new(),
            relays: IndexMap::new(),
            client: Client::default(),
            folder,
            entry_settings: layout.entry_settings.clone(),
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

    /// Starts a backend server; each rack has four servers of a pool.
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
        let settings = self.write_settings(name, centre, &self.entry_settings);
        self.entries.insert(name.to_owned(), Process::spawn("jtally-entry", &[settings]));
    }

    /// Starts a control process.
    pub fn start_control(&mut self, name: &str, centre: &str) {
        let settings = self.write_settings(name, centre, "");
        self.controls.insert(name.to_owned(), Process::spawn("jtally-control", &[settings]));
    }

    /// Writes the settings file of a daemon and returns its path.
    fn write_settings(&self, name: &str, centre: &str, more: &str) -> String {
        let platform = self.platform.address("");
        let platform = self.relays.get(centre).map_or(platform, |relay| relay.address);
        let mut text = format!("name: {name}\ncentre: {centre}\nplatform: {platform}\nseeds:\n");
        for process in self.entries.values().chain(self.controls.values()) {
            text.push_str(&format!("  - {}\n", process.address("peer")));
        }
        if text.ends_with("seeds:\n") {
            text = text.replace("seeds:\n", "");
        }
        text.push_str(more);
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, text)
            .unwrap_or_else(|error| panic!("settings can't be written: {error}"));
        file.display().to_string()
    }

    /// Address for callers of the entry process at index `at`.
    pub fn entry_address(&self, at: usize) -> SocketAddr {
        self.entries[at].address("listen")
    }

    /// Address for operators of the control process at index `at`.
    pub fn control_address(&self, at: usize) -> SocketAddr {
        self.controls[at].address("admin")
    }

    /// Runs `jtally` against the first control process; returns its exit code and output.
    ///
    /// # Panics
    ///
    /// When the program can't be run.
    pub fn jtally(&self, args: &[&str]) -> (i32, String) {
        let at = self.control_address(0).to_string();
        jtally(&[&["--at", at.as_str()], args].concat())
    }

    /// Submits a contract on top of revision `base` and returns its revision.
    ///
    /// # Panics
    ///
    /// When the contract is refused.
    pub fn submit_contract(&self, name: &str, text: &str, base: u64) -> u64 {
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, text)
            .unwrap_or_else(|error| panic!("contract can't be written: {error}"));
        let (file, base) = (file.display().to_string(), base.to_string());
        // `--ahead` skips the capacity check: tests have fewer instances than a contract needs.
        let args = ["--json", "contract", "apply", &file, "--base", &base, "--ahead"];
        let (code, output) = self.jtally(&args);
        assert_eq!(code, 0, "{output}");
        let accepted: serde_json::Value = serde_json::from_str(&output).unwrap_or_default();
        accepted["revision"].as_u64().unwrap_or_default()
    }

    /// Submits a contract and waits until it is in force in every daemon.
    ///
    /// # Panics
    ///
    /// When the contract is refused.
    pub async fn apply_contract(&self, name: &str, text: &str, base: u64) -> u64 {
        let revision = self.submit_contract(name, text, base);
        self.wait_for_revision(name, revision).await;
        revision
    }

    /// Waits until `revision` or a newer one is in force in every daemon.
    pub async fn wait_for_revision(&self, customer: &str, revision: u64) {
        let processes = self.entries.values().chain(self.controls.values());
        for process in processes {
            let admin = process.address("admin");
            wait_for("the contract to be in force", || async move {
                let status: Status = self.client.get_json(admin, "/status").await?;
                let in_force = status.contracts.get(customer).copied().unwrap_or_default();
                (in_force >= revision).then_some(())
            })
            .await;
        }
    }

    /// Waits until every entry process answers a request to `path` with outcome `done`.
    pub async fn wait_for_service(&self, path: &str) {
        for entry in self.entries.values() {
            let address = entry.address("listen");
            wait_for("the service to answer", || async move {
                let headers = [("X-Repeat", "allowed")];
                let reply = self.client.post(address, path, &headers, "warm-up").await?;
                (reply.outcome == "done").then_some(())
            })
            .await;
        }
    }

    /// Reads the operation counts of the platform stand-in.
    pub async fn platform_counts(&self) -> Counts {
        let address = self.platform.address("");
        wait_for("the platform's counts", || self.client.get_json(address, "/counts")).await
    }

    /// Replaces the faults of the platform stand-in.
    pub async fn set_platform_faults(&self, faults: &Faults) {
        self.client.post_json(self.platform.address(""), "/faults", faults).await;
    }

    /// Replaces the faults of a backend server.
    pub async fn set_server_faults(&self, id: &str, faults: &backend::Faults) {
        self.client.post_json(self.servers[id].address(""), "/standin/faults", faults).await;
    }

    /// Runs on record at all backend servers that answer.
    pub async fn recorded_runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for id in self.servers.keys() {
            runs.extend(self.recorded_runs_of(id).await);
        }
        runs
    }

    /// Runs on record at one backend server; empty when it does not answer.
    pub async fn recorded_runs_of(&self, id: &str) -> Vec<Run> {
        let address = self.servers[id].address("");
        self.client.get_json(address, "/standin/record").await.unwrap_or_default()
    }

    /// Reads a row from the platform's table and parses its value.
    pub async fn read_row<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let request = ReadRequest { keys: vec![key.to_owned()], prefix: None };
        let body = serde_json::to_string(&request).unwrap_or_default();
        let headers = [("content-type", "application/json")];
        let address = self.platform.address("");
        let reply = self.client.post(address, "/table/read", &headers, &body).await?;
        let rows: Rows = serde_json::from_str(&reply.body).ok()?;
        serde_json::from_str(&rows.rows.first()?.value).ok()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // A folder that can't be deleted stays in the temporary folder of the system.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs `jtally`; returns its exit code and its standard output followed by its standard error.
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
