//! YAML format of a contract and its validation.

use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;
use strum::VariantNames;

use crate::contract::{Contract, Domain, Repeat, Service, Team, Urgency, Weights};
use crate::lines::{Problems, Validator, syntax_problem};

/// Maximum of `held` and `down`.
const MAX_INSTANCES: u64 = 10_000;
/// Maximum of `deadline_ms`.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum of `in_flight`.
const MAX_IN_FLIGHT: u64 = 100_000;
/// Maximum of `body_kib`.
const MAX_BODY_KIB: u64 = 65_536;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Content of a contract file, before its values are checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ContractFile {
    customer: String,
    #[serde(default)]
    weights: WeightsFile,
    #[serde(default = "default_survive")]
    survive: String,
    down: u32,
    services: Vec<ServiceFile>,
    #[serde(default)]
    teams: Vec<TeamFile>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WeightsFile {
    rollout: u32,
    buffer: u32,
    moves: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceFile {
    name: String,
    pool: String,
    held: u32,
    down: u32,
    #[serde(default = "default_urgency")]
    urgency: String,
    #[serde(default = "default_repeat")]
    repeat: String,
    #[serde(default = "default_deadline_ms")]
    deadline_ms: u64,
    #[serde(default = "default_in_flight")]
    in_flight: u32,
    #[serde(default = "default_body_kib")]
    body_kib: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamFile {
    name: String,
    cores: u32,
    #[serde(default)]
    accelerators: u32,
}

impl Default for WeightsFile {
    fn default() -> Self {
        Self { rollout: 1, buffer: 1, moves: 1 }
    }
}

fn default_survive() -> String {
    Domain::Instance.to_string()
}

fn default_urgency() -> String {
    Urgency::Waiting.to_string()
}

fn default_repeat() -> String {
    Repeat::Never.to_string()
}

fn default_deadline_ms() -> u64 {
    10_000
}

fn default_in_flight() -> u32 {
    256
}

fn default_body_kib() -> u64 {
    1_024
}

/// Parses and validates a contract.
///
/// `file` is the file name that the reported problems give.
///
/// # Examples
///
/// ```
/// let text = "customer: stcn\ndown: 1\nservices:\n  - {name: boards, pool: p, held: 2, down: 9}\n";
/// let problems = fleet::file::parse("stcn.yaml", text).unwrap_err();
/// assert!(problems.to_string().contains("stcn.yaml:4: services[0].down"));
/// ```
///
/// # Errors
///
/// Returns every rule that the text violates, with its line and the allowed range.
pub fn parse(file: &str, text: &str) -> Result<Contract, Problems> {
    let parsed: ContractFile =
        serde_norway::from_str(text).map_err(|error| syntax_problem(file, &error))?;
    let mut validator = Validator::new(file, text);
    validate(&parsed, &mut validator);
    validator.finish()?;
    Ok(convert(parsed))
}

fn validate(parsed: &ContractFile, validator: &mut Validator<'_>) {
    validate_name(validator, "customer", &parsed.customer);
    validate_choice::<Domain>(validator, "survive", &parsed.survive);
    let weights = &parsed.weights;
    for (path, value) in
        [("rollout", weights.rollout), ("buffer", weights.buffer), ("moves", weights.moves)]
    {
        validator.check_range(&format!("weights.{path}"), value.into(), 0, 1_000);
    }
    validator.check_range("down", parsed.down.into(), 1, MAX_INSTANCES);
    if parsed.services.is_empty() {
        validator.report("services", "is empty, allowed is 1 service or more");
    }
    for (at, service) in parsed.services.iter().enumerate() {
        validate_service(parsed, at, service, validator);
    }
    for (at, team) in parsed.teams.iter().enumerate() {
        validate_name(validator, &format!("teams[{at}].name"), &team.name);
        validator.check_range(&format!("teams[{at}].cores"), team.cores.into(), 1, 1_000_000);
    }
    validate_unique(
        validator,
        "services",
        "name",
        parsed.services.iter().map(|service| service.name.as_str()),
    );
    validate_unique(
        validator,
        "services",
        "pool",
        parsed.services.iter().map(|service| service.pool.as_str()),
    );
    validate_unique(validator, "teams", "name", parsed.teams.iter().map(|team| team.name.as_str()));
}

fn validate_service(
    parsed: &ContractFile,
    at: usize,
    service: &ServiceFile,
    validator: &mut Validator<'_>,
) {
    let path = |field: &str| format!("services[{at}].{field}");
    validate_name(validator, &path("name"), &service.name);
    validate_name(validator, &path("pool"), &service.pool);
    validator.check_range(&path("held"), service.held.into(), 1, MAX_INSTANCES);
    // A service budget above the customer's budget could never be used up.
    validator.check_range(&path("down"), service.down.into(), 1, parsed.down.max(1).into());
    validate_choice::<Urgency>(validator, &path("urgency"), &service.urgency);
    validate_choice::<Repeat>(validator, &path("repeat"), &service.repeat);
    validator.check_range(&path("deadline_ms"), service.deadline_ms, 1, MAX_DEADLINE_MS);
    validator.check_range(&path("in_flight"), service.in_flight.into(), 1, MAX_IN_FLIGHT);
    validator.check_range(&path("body_kib"), service.body_kib, 1, MAX_BODY_KIB);
}

fn validate_name(validator: &mut Validator<'_>, path: &str, value: &str) {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.chars().all(allowed) {
        validator.report(
            path,
            format!("is '{value}', allowed is 1 to {MAX_NAME_BYTES} of a-z, 0-9 and -"),
        );
    }
}

fn validate_choice<T: VariantNames>(validator: &mut Validator<'_>, path: &str, value: &str) {
    if !T::VARIANTS.contains(&value) {
        validator.report(path, format!("is '{value}', allowed is {}", T::VARIANTS.join(", ")));
    }
}

fn validate_unique<'a>(
    validator: &mut Validator<'_>,
    list: &str,
    field: &str,
    names: impl Iterator<Item = &'a str>,
) {
    let mut seen = HashSet::new();
    for (at, name) in names.enumerate() {
        if !seen.insert(name) {
            validator.report(&format!("{list}[{at}].{field}"), format!("'{name}' stands twice"));
        }
    }
}

/// Converts a validated file; the fallbacks for unknown values are never used.
fn convert(parsed: ContractFile) -> Contract {
    let weights = parsed.weights;
    Contract {
        customer: parsed.customer,
        weights: Weights { rollout: weights.rollout, buffer: weights.buffer, moves: weights.moves },
        survive: parsed.survive.parse().unwrap_or(Domain::Instance),
        max_down: parsed.down,
        services: parsed.services.into_iter().map(Service::from).collect(),
        teams: parsed.teams.into_iter().map(Team::from).collect(),
    }
}

impl From<ServiceFile> for Service {
    fn from(parsed: ServiceFile) -> Self {
        Self {
            name: parsed.name,
            pool: parsed.pool,
            held: parsed.held,
            max_down: parsed.down,
            urgency: parsed.urgency.parse().unwrap_or(Urgency::Waiting),
            repeat: parsed.repeat.parse().unwrap_or(Repeat::Never),
            default_deadline: Duration::from_millis(parsed.deadline_ms),
            max_in_flight: parsed.in_flight,
            max_body: usize::try_from(parsed.body_kib * 1_024).unwrap_or(usize::MAX),
        }
    }
}

impl From<TeamFile> for Team {
    fn from(parsed: TeamFile) -> Self {
        Self { name: parsed.name, cores: parsed.cores, accelerators: parsed.accelerators }
    }
}
