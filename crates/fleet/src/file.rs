//! The YAML form of a contract and the rules it has to meet.

use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;
use strum::VariantNames;

use crate::contract::{Contract, Domain, Repeat, Service, Team, Urgency, Weights};
use crate::lines::{Problems, Validator, syntax_problem};

/// Instances of one service at most.
const MAX_HELD: u64 = 10_000;
/// Longest deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Requests in progress at most over one entry process.
const MAX_FLIGHT: u64 = 100_000;
/// Largest body, in KiB.
const MAX_BODY_KIB: u64 = 65_536;
/// Longest name, in bytes.
const MAX_NAME: usize = 64;

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
    #[serde(default = "default_deadline")]
    deadline_ms: u64,
    #[serde(default = "default_flight")]
    in_flight: u32,
    #[serde(default = "default_body")]
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

fn default_deadline() -> u64 {
    10_000
}

fn default_flight() -> u32 {
    256
}

fn default_body() -> u64 {
    1_024
}

/// Reads a contract; `file` names it in the problems.
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
/// Every rule that the text breaks, each with its line and its allowed range.
pub fn parse(file: &str, text: &str) -> Result<Contract, Problems> {
    let form: ContractFile =
        serde_norway::from_str(text).map_err(|error| syntax_problem(file, &error))?;
    let mut validator = Validator::new(file, text);
    inspect(&form, &mut validator);
    validator.finish()?;
    Ok(convert(form))
}

fn inspect(form: &ContractFile, validator: &mut Validator<'_>) {
    name(validator, "customer", &form.customer);
    choice::<Domain>(validator, "survive", &form.survive);
    let weights = &form.weights;
    for (path, value) in
        [("rollout", weights.rollout), ("buffer", weights.buffer), ("moves", weights.moves)]
    {
        validator.check_range(&format!("weights.{path}"), value.into(), 0, 1_000);
    }
    validator.check_range("down", form.down.into(), 1, MAX_HELD);
    if form.services.is_empty() {
        validator.report("services", "is empty, allowed is 1 service or more");
    }
    for (at, service) in form.services.iter().enumerate() {
        inspect_service(form, at, service, validator);
    }
    for (at, team) in form.teams.iter().enumerate() {
        name(validator, &format!("teams[{at}].name"), &team.name);
        validator.check_range(&format!("teams[{at}].cores"), team.cores.into(), 1, 1_000_000);
    }
    unique(
        validator,
        "services",
        "name",
        form.services.iter().map(|service| service.name.as_str()),
    );
    unique(
        validator,
        "services",
        "pool",
        form.services.iter().map(|service| service.pool.as_str()),
    );
    unique(validator, "teams", "name", form.teams.iter().map(|team| team.name.as_str()));
}

fn inspect_service(
    form: &ContractFile,
    at: usize,
    service: &ServiceFile,
    validator: &mut Validator<'_>,
) {
    let path = |field: &str| format!("services[{at}].{field}");
    name(validator, &path("name"), &service.name);
    name(validator, &path("pool"), &service.pool);
    validator.check_range(&path("held"), service.held.into(), 1, MAX_HELD);
    // A budget above the customer's own could never be used.
    validator.check_range(&path("down"), service.down.into(), 1, form.down.max(1).into());
    choice::<Urgency>(validator, &path("urgency"), &service.urgency);
    choice::<Repeat>(validator, &path("repeat"), &service.repeat);
    validator.check_range(&path("deadline_ms"), service.deadline_ms, 1, MAX_DEADLINE_MS);
    validator.check_range(&path("in_flight"), service.in_flight.into(), 1, MAX_FLIGHT);
    validator.check_range(&path("body_kib"), service.body_kib, 1, MAX_BODY_KIB);
}

fn name(validator: &mut Validator<'_>, path: &str, value: &str) {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if value.is_empty() || value.len() > MAX_NAME || !value.chars().all(allowed) {
        validator
            .report(path, format!("is '{value}', allowed is 1 to {MAX_NAME} of a-z, 0-9 and -"));
    }
}

fn choice<T: VariantNames>(validator: &mut Validator<'_>, path: &str, value: &str) {
    if !T::VARIANTS.contains(&value) {
        validator.report(path, format!("is '{value}', allowed is {}", T::VARIANTS.join(", ")));
    }
}

fn unique<'a>(
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

fn convert(form: ContractFile) -> Contract {
    let weights = form.weights;
    Contract {
        customer: form.customer,
        weights: Weights { rollout: weights.rollout, buffer: weights.buffer, moves: weights.moves },
        survive: form.survive.parse().unwrap_or(Domain::Instance),
        max_down: form.down,
        services: form.services.into_iter().map(Service::from).collect(),
        teams: form.teams.into_iter().map(Team::from).collect(),
    }
}

impl From<ServiceFile> for Service {
    fn from(form: ServiceFile) -> Self {
        Self {
            name: form.name,
            pool: form.pool,
            held: form.held,
            max_down: form.down,
            urgency: form.urgency.parse().unwrap_or(Urgency::Waiting),
            repeat: form.repeat.parse().unwrap_or(Repeat::Never),
            default_deadline: Duration::from_millis(form.deadline_ms),
            max_in_flight: form.in_flight,
            max_body: usize::try_from(form.body_kib * 1_024).unwrap_or(usize::MAX),
        }
    }
}

impl From<TeamFile> for Team {
    fn from(form: TeamFile) -> Self {
        Self { name: form.name, cores: form.cores, accelerators: form.accelerators }
    }
}
