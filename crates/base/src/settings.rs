//! Settings of a process: one YAML file, validated whole at start.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

use fleet::lines::{Problems, Validator, syntax_problem};
use log::LevelFilter;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use crate::logging::Logging;

/// Longest name, in bytes.
const MAX_NAME: usize = 64;

/// Settings that entry and control processes share.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Data centre it stands in.
    pub centre: String,
    /// Address for callers; unused by control processes.
    pub listen: SocketAddr,
    /// Address for operators and metrics.
    pub admin: SocketAddr,
    /// Address for other processes of the product.
    pub peer: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peers to ask while the platform is away.
    pub seeds: Vec<SocketAddr>,
    /// Threads that serve callers.
    pub workers: usize,
    /// Requests in progress at most, over all services.
    pub max_in_flight: usize,
    /// Log settings.
    pub log: Logging,
}

/// Settings that can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{file}: can't be read: {source}"))]
    Read {
        /// Name of the file.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file breaks rules.
    #[snafu(display("{problems}"))]
    Invalid {
        /// Every rule that it breaks.
        problems: Problems,
    },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    name: String,
    centre: String,
    #[serde(default = "default_address")]
    listen: String,
    #[serde(default = "default_address")]
    admin: String,
    #[serde(default = "default_address")]
    peer: String,
    platform: String,
    #[serde(default)]
    seeds: Vec<String>,
    #[serde(default = "default_workers")]
    workers: usize,
    #[serde(default = "default_flight")]
    in_flight: usize,
    #[serde(default)]
    log: LogFile,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LogFile {
    format: String,
    level: String,
}

impl Default for LogFile {
    fn default() -> Self {
        Self { format: "human".to_owned(), level: "info".to_owned() }
    }
}

fn default_address() -> String {
    "127.0.0.1:0".to_owned()
}

fn default_workers() -> usize {
    1
}

fn default_flight() -> usize {
    1_024
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// When the file can't be read, or all the rules that it breaks.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { file: file.as_str() })?;
    parse(&file, &text).map_err(|problems| Error::Invalid { problems })
}

/// Validates a settings text; `file` names it in the problems.
///
/// # Examples
///
/// ```
/// let text = "name: e1\ncentre: dc1\nplatform: 127.0.0.1:9000\nworkers: 99\n";
/// let problems = base::settings::parse("e1.yaml", text).unwrap_err();
/// assert_eq!(problems.to_string(), "e1.yaml:4: workers: is 99, allowed is 1 to 64");
/// ```
///
/// # Errors
///
/// All the rules that the text breaks.
pub fn parse(file: &str, text: &str) -> Result<Settings, Problems> {
    let form: SettingsFile =
        serde_norway::from_str(text).map_err(|error| syntax_problem(file, &error))?;
    let mut validator = Validator::new(file, text);
    let settings = convert(&form, &mut validator);
    validator.finish()?;
    Ok(settings)
}

fn convert(form: &SettingsFile, validator: &mut Validator<'_>) -> Settings {
    for (path, value) in [("name", &form.name), ("centre", &form.centre)] {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if value.is_empty() || value.len() > MAX_NAME || !value.chars().all(allowed) {
            validator.report(
                path,
                format!("is '{value}', allowed is 1 to {MAX_NAME} of a-z, 0-9 and -"),
            );
        }
    }
    validator.check_range("workers", form.workers as u64, 1, 64);
    validator.check_range("in_flight", form.in_flight as u64, 1, 100_000);
    if !["human", "json"].contains(&form.log.format.as_str()) {
        validator.report("log.format", format!("is '{}', allowed is human, json", form.log.format));
    }
    let level = form.log.level.parse::<LevelFilter>().unwrap_or_else(|_| {
        let allowed = "off, error, warn, info, debug, trace";
        validator.report("log.level", format!("is '{}', allowed is {allowed}", form.log.level));
        LevelFilter::Info
    });
    let seeds = form.seeds.iter().enumerate();
    let seeds = seeds.map(|(at, seed)| address(validator, &format!("seeds[{at}]"), seed)).collect();
    Settings {
        name: form.name.clone(),
        centre: form.centre.clone(),
        listen: address(validator, "listen", &form.listen),
        admin: address(validator, "admin", &form.admin),
        peer: address(validator, "peer", &form.peer),
        platform: address(validator, "platform", &form.platform),
        seeds,
        workers: form.workers,
        max_in_flight: form.in_flight,
        log: Logging { json: form.log.format == "json", level },
    }
}

fn address(validator: &mut Validator<'_>, path: &str, text: &str) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        validator.report(
            path,
            format!("is '{text}', allowed is an IP number and a port, as 127.0.0.1:80"),
        );
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
    })
}
