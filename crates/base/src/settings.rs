//! Settings of an entry or control process, read from a YAML file and validated at start.
//!
//! Validation reports all problems of a file at once, each with its line.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

use fleet::lines::{Problems, Validator, syntax_problem};
use log::LevelFilter;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use crate::logging::Logging;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Settings that entry and control processes share.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Data centre of the process.
    pub centre: String,
    /// Address for callers' requests; unused by control processes.
    pub listen: SocketAddr,
    /// Address for operators and metrics.
    pub admin: SocketAddr,
    /// Address for peers, the other entry and control processes.
    pub peer: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of peers to contact while no peer is known or the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Maximum number of requests in progress, over all services.
    pub max_in_flight: usize,
    /// Memory for the bodies of callers' requests under way, in mebibytes.
    pub body_memory_mib: usize,
    /// Settings of the log output.
    pub log: Logging,
}

/// Error for a settings file that can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{file}: can't be read: {source}"))]
    Read {
        /// Name of the file.
        file: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The file is not valid.
    #[snafu(display("{problems}"))]
    Invalid {
        /// All problems of the file.
        problems: Problems,
    },
}

/// Content of a settings file, before its values are checked.
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
    #[serde(default = "default_in_flight")]
    in_flight: usize,
    #[serde(default = "default_body_memory")]
    body_memory_mib: usize,
    #[serde(default)]
    log: LogSection,
}

/// Section `log` of a settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LogSection {
    format: String,
    level: String,
}

impl Default for LogSection {
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

fn default_in_flight() -> usize {
    1_024
}

fn default_body_memory() -> usize {
    256
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns an error if the file can't be read, or all problems of the file.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { file: file.as_str() })?;
    parse(&file, &text).map_err(|problems| Error::Invalid { problems })
}

/// Parses and validates a settings text; `file` is its name in problem messages.
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
/// Returns all problems of the text.
pub fn parse(file: &str, text: &str) -> Result<Settings, Problems> {
    let parsed: SettingsFile =
        serde_norway::from_str(text).map_err(|error| syntax_problem(file, &error))?;
    let mut validator = Validator::new(file, text);
    let settings = validate(&parsed, &mut validator);
    validator.finish()?;
    Ok(settings)
}

/// Checks the file's values and converts them; reported values are replaced by placeholders.
fn validate(parsed: &SettingsFile, validator: &mut Validator<'_>) -> Settings {
    for (path, value) in [("name", &parsed.name), ("centre", &parsed.centre)] {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.chars().all(allowed) {
            validator.report(
                path,
                format!("is '{value}', allowed is 1 to {MAX_NAME_BYTES} of a-z, 0-9 and -"),
            );
        }
    }
    validator.check_range("workers", parsed.workers as u64, 1, 64);
    validator.check_range("in_flight", parsed.in_flight as u64, 1, 100_000);
    validator.check_range("body_memory_mib", parsed.body_memory_mib as u64, 8, 65_536);
    if !["human", "json"].contains(&parsed.log.format.as_str()) {
        validator
            .report("log.format", format!("is '{}', allowed is human, json", parsed.log.format));
    }
    let level = parsed.log.level.parse::<LevelFilter>().unwrap_or_else(|_| {
        let allowed = "off, error, warn, info, debug, trace";
        validator.report("log.level", format!("is '{}', allowed is {allowed}", parsed.log.level));
        LevelFilter::Info
    });
    let seeds = parsed.seeds.iter().enumerate();
    let seeds = seeds
        .map(|(index, seed)| parse_address(validator, &format!("seeds[{index}]"), seed))
        .collect();
    Settings {
        name: parsed.name.clone(),
        centre: parsed.centre.clone(),
        listen: parse_address(validator, "listen", &parsed.listen),
        admin: parse_address(validator, "admin", &parsed.admin),
        peer: parse_address(validator, "peer", &parsed.peer),
        platform: parse_address(validator, "platform", &parsed.platform),
        seeds,
        workers: parsed.workers,
        max_in_flight: parsed.in_flight,
        body_memory_mib: parsed.body_memory_mib,
        log: Logging { json: parsed.log.format == "json", level },
    }
}

fn parse_address(validator: &mut Validator<'_>, path: &str, text: &str) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        validator.report(
            path,
            format!("is '{text}', allowed is an IP number and a port, as 127.0.0.1:80"),
        );
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
    })
}
