//! Contracts: shown, changed and deleted, each change against the revision it was made on.

use actix_web::web::{Data, Path, Query};
use actix_web::{HttpResponse, web};
use base::Event;
use base::admin::ErrorBody;
use base::view::{Accepted, ContractView};
use peer::Facts;
use peer::reader::decode;
use peer::row::{ContractRow, HeadRow, json};
use platform::{CommitError, Http, Row, Table, keys};
use serde::Deserialize;

use crate::api::plans;
use crate::api::writes::{LIMIT, TRIES, txn, unread, unwritten};

/// Query of a change.
#[derive(Debug, Deserialize)]
pub struct Base {
    /// Revision that the change was made on; 0 for a new contract.
    #[serde(default)]
    base: u64,
    /// Whether the contract may be applied ahead of the instances that it needs.
    #[serde(default)]
    ahead: bool,
    /// Name of the file, for the problems found in it.
    #[serde(default)]
    file: String,
}

/// Lists the contracts in force here.
pub async fn list(facts: Data<Facts>) -> HttpResponse {
    HttpResponse::Ok().json(facts.status().contracts)
}

/// Shows a contract as the table has it, or as it is in force here while the table is away.
pub async fn show(
    facts: Data<Facts>,
    platform: Data<Http>,
    customer: Path<String>,
) -> HttpResponse {
    let customer = customer.into_inner();
    if let Ok(rows) = platform.read(&[keys::contract(&customer)]).await {
        return match rows.first().and_then(decode::<ContractRow>) {
            Some(row) if row.text.is_some() => HttpResponse::Ok().json(shown(customer, row)),
            _ => missing(&customer),
        };
    }
    let state = facts.lock();
    let Some(agreed) = state.contracts.find(&customer) else { return missing(&customer) };
    let (revision, text) = (agreed.revision, Some(agreed.text.clone()));
    HttpResponse::Ok().json(ContractView { customer, revision, text, by: String::new(), at_ms: 0 })
}

/// Shows the changes of a contract, newest first.
pub async fn history(platform: Data<Http>, customer: Path<String>) -> HttpResponse {
    let prefix = format!("{}{customer}/", keys::HISTORY);
    match platform.scan(&prefix).await {
        Ok(rows) => {
            let rows = rows.iter().rev().filter_map(decode::<ContractRow>);
            let rows: Vec<ContractView> = rows.map(|row| shown(customer.clone(), row)).collect();
            HttpResponse::Ok().json(rows)
        }
        Err(error) => unread(&error),
    }
}

/// Changes a contract; accepted means committed.
pub async fn apply(
    facts: Data<Facts>,
    platform: Data<Http>,
    customer: Path<String>,
    query: Query<Base>,
    body: web::Bytes,
) -> HttpResponse {
    let text = String::from_utf8_lossy(&body).into_owned();
    let file = if query.file.is_empty() { "contract" } else { &query.file };
    let refusal = match fleet::file::parse(file, &text) {
        Err(problems) => Some(problems.to_string()),
        Ok(contract) if contract.customer != *customer => {
            Some(format!("{file}: customer: is '{}', not '{customer}'", contract.customer))
        }
        Ok(contract) => match overlap(&facts, &contract) {
            Some(refusal) => Some(refusal),
            None if query.ahead => None,
            None => match unmet(&facts, &platform, &contract).await {
                Ok(refusal) => refusal,
                Err(away) => return away,
            },
        },
    };
    if let Some(refusal) = refusal {
        facts.timeline().record(Event::ContractRefused, &[("customer", &customer.as_str())]);
        return HttpResponse::UnprocessableEntity().json(ErrorBody::new(refusal));
    }
    change(&facts, &platform, &customer, query.base, Some(text)).await
}

/// Deletes a contract and leaves a tombstone.
pub async fn delete(
    facts: Data<Facts>,
    platform: Data<Http>,
    customer: Path<String>,
    query: Query<Base>,
) -> HttpResponse {
    change(&facts, &platform, &customer, query.base, None).await
}

/// First known data centre whose list of instances has not been read yet.
fn unlisted(facts: &Facts) -> Option<String> {
    let state = facts.lock();
    let members = state.members.values().map(|known| &known.member.centre);
    let mut centres = std::iter::once(&state.me.centre).chain(members);
    let read = |centre: &String| state.lists.get(centre).is_some_and(|list| list.mark() > 0);
    centres.find(|centre| !read(centre)).cloned()
}

/// What the instances can't meet; an error answer when that can't be told now.
async fn unmet(
    facts: &Facts,
    platform: &Http,
    contract: &fleet::Contract,
) -> Result<Option<String>, HttpResponse> {
    if let Some(centre) = unlisted(facts) {
        let refusal =
            format!("the instance list of data centre '{centre}' is not known here yet, try again");
        return Err(HttpResponse::ServiceUnavailable().json(ErrorBody::new(refusal)));
    }
    let short = plans::short(facts, contract);
    if short.is_empty() {
        return Ok(None);
    }
    // The lists are copies, which may be out of date while the platform is away.
    platform.read(&[keys::HEAD.to_owned()]).await.map_err(|error| unread(&error))?;
    let hint = "apply it with --ahead when the instances are still to come";
    Ok(Some(format!("{}\n{hint}", short.join("\n"))))
}

/// A pool belongs to one customer.
fn overlap(facts: &Facts, contract: &fleet::Contract) -> Option<String> {
    let state = facts.lock();
    for (customer, _, agreed) in state.contracts.live() {
        if customer == contract.customer {
            continue;
        }
        for service in &contract.services {
            if agreed.contract.service_of_pool(&service.pool).is_some() {
                let pool = &service.pool;
                return Some(format!("pool '{pool}' belongs to customer '{customer}'"));
            }
        }
    }
    None
}

async fn change(
    facts: &Facts,
    platform: &Http,
    customer: &str,
    base: u64,
    text: Option<String>,
) -> HttpResponse {
    for _ in 0..TRIES {
        let asked = [keys::HEAD.to_owned(), keys::contract(customer)];
        let rows = match platform.read(&asked).await {
            Ok(rows) => rows,
            Err(error) => return unread(&error),
        };
        let held: ContractRow = decode(&rows[1]).unwrap_or_default();
        if held.revision != base {
            return stale(facts, customer, base, held.revision);
        }
        match commit(facts, platform, customer, &rows, text.clone()).await {
            Ok(revision) => return accepted(facts, customer, revision),
            // Another customer's change took the revision: read the head again.
            Err(CommitError::Conflict { .. }) => {}
            Err(error) => return unwritten(&error),
        }
    }
    HttpResponse::ServiceUnavailable().json(ErrorBody::new("too many changes at once, try again"))
}

async fn commit(
    facts: &Facts,
    platform: &Http,
    customer: &str,
    rows: &[Row],
    text: Option<String>,
) -> Result<u64, CommitError> {
    let head: HeadRow = decode(&rows[0]).unwrap_or_default();
    let revision = head.revision + 1;
    let (by, at_ms) = (facts.lock().me.name.clone(), base::timeline::wall_ms());
    let row = json(&ContractRow { revision, text, by, at_ms });
    let txn = txn(facts, "contract")
        .expect(keys::HEAD, rows[0].version)
        .expect(keys::contract(customer), rows[1].version)
        .put(keys::HEAD, json(&HeadRow { revision }))
        .put(keys::contract(customer), row.clone())
        .put(keys::history(customer, revision), row);
    platform.commit(&txn, LIMIT).await.map(|_| revision)
}

fn accepted(facts: &Facts, customer: &str, revision: u64) -> HttpResponse {
    let fields: [(&str, &dyn std::fmt::Display); 2] =
        [("customer", &customer), ("revision", &revision)];
    facts.timeline().record(Event::ContractCommitted, &fields);
    HttpResponse::Ok().json(Accepted { customer: customer.to_owned(), revision })
}

fn stale(facts: &Facts, customer: &str, base: u64, revision: u64) -> HttpResponse {
    facts.timeline().record(Event::ContractRefused, &[("customer", &customer)]);
    let error = format!("the change was made on revision {base}, the newest is {revision}");
    HttpResponse::Conflict().json(ErrorBody { error, revision: Some(revision) })
}

fn missing(customer: &str) -> HttpResponse {
    HttpResponse::NotFound().json(ErrorBody::new(format!("no contract of customer '{customer}'")))
}

fn shown(customer: String, row: ContractRow) -> ContractView {
    ContractView { customer, revision: row.revision, text: row.text, by: row.by, at_ms: row.at_ms }
}
