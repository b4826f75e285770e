//! Commands about contracts.

use std::path::Path;

use base::view::{Accepted, ContractView};
use snafu::ResultExt;

use crate::call::{ControlClient, encode};
use crate::error::{Error, ReadFileSnafu};
use crate::print;

/// Applies a contract file.
pub async fn apply(
    client: &ControlClient,
    file: &Path,
    base: Option<u64>,
    ahead: bool,
    json: bool,
) -> Result<(), Error> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).context(ReadFileSnafu { file: name.as_str() })?;
    let path = format!(
        "/contracts/{}?base={}&ahead={ahead}&file={}",
        encode(&customer_in(&text)),
        base.unwrap_or(0),
        encode(&name)
    );
    let accepted: Accepted = client.put(&path, text).await?;
    if json {
        print::json(&accepted);
    } else {
        println!("contract of {} is accepted as revision {}", accepted.customer, accepted.revision);
    }
    Ok(())
}

/// Returns the customer named in the text of a contract.
///
/// The text is not validated here; the control process does that.
fn customer_in(text: &str) -> String {
    let mut lines = text.lines().filter_map(|line| line.strip_prefix("customer:"));
    let name = lines.next().unwrap_or("unnamed").split('#').next().unwrap_or_default();
    name.trim().trim_matches(['"', '\'']).to_owned()
}

/// Shows a contract and its revision.
pub async fn show(client: &ControlClient, customer: &str, json: bool) -> Result<(), Error> {
    let view: ContractView = client.get(&format!("/contracts/{}", encode(customer))).await?;
    if json {
        print::json(&view);
    } else {
        println!("# revision {}", view.revision);
        print!("{}", view.text.unwrap_or_default());
    }
    Ok(())
}

/// Shows all changes of a contract, newest first.
pub async fn history(client: &ControlClient, customer: &str, json: bool) -> Result<(), Error> {
    let path = format!("/contracts/{}/history", encode(customer));
    let changes: Vec<ContractView> = client.get(&path).await?;
    if json {
        print::json(&changes);
        return Ok(());
    }
    let rows: Vec<Vec<String>> = changes
        .iter()
        .map(|change| {
            let kind = if change.text.is_some() { "applied" } else { "deleted" };
            let (revision, at) = (change.revision.to_string(), change.at_ms.to_string());
            vec![revision, kind.to_owned(), at, change.by.clone()]
        })
        .collect();
    print::table(&["REVISION", "CHANGE", "AT (ms since 1970)", "BY"], &rows);
    Ok(())
}

/// Deletes a contract.
pub async fn delete(
    client: &ControlClient,
    customer: &str,
    base: u64,
    json: bool,
) -> Result<(), Error> {
    let path = format!("/contracts/{}?base={base}", encode(customer));
    let accepted: Accepted = client.delete(&path).await?;
    if json {
        print::json(&accepted);
    } else {
        println!("contract of {} is deleted as revision {}", accepted.customer, accepted.revision);
    }
    Ok(())
}
