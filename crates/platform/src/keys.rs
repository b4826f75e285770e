//! Keys of the product's rows in the platform's table.

/// Key of the row with the revision of the latest contract change.
pub const HEAD: &str = "head";
/// Prefix of the contract rows.
pub const CONTRACTS: &str = "contract/";
/// Prefix of the history rows, which hold every revision of each contract.
pub const HISTORY: &str = "history/";
/// Prefix of the instance rows.
pub const INSTANCES: &str = "instance/";
/// Prefix of the rows with the customers' availability budgets.
pub const BUDGETS: &str = "budget/";
/// Key of the fleet row.
///
/// Every change of an instance row writes this row too, so its version shows readers whether any
/// instance row has changed.
pub const FLEET: &str = "fleet";
/// Prefix of the rows with the latest decision about each instance.
pub const DECISIONS: &str = "decision/";
/// Prefix of the member rows.
pub const MEMBERS: &str = "member/";

/// Returns the key of a customer's contract row.
pub fn contract(customer: &str) -> String {
    format!("{CONTRACTS}{customer}")
}

/// Returns the key of the history row of one contract revision.
///
/// The revision is padded with zeros, so that a scan returns the revisions in order.
pub fn history(customer: &str, revision: u64) -> String {
    format!("{HISTORY}{customer}/{revision:012}")
}

/// Returns the key of an instance row.
pub fn instance(id: &str) -> String {
    format!("{INSTANCES}{id}")
}

/// Returns the key of the row with a customer's availability budget.
pub fn budget(customer: &str) -> String {
    format!("{BUDGETS}{customer}")
}

/// Returns the key of the lease row of a shard; the customers are partitioned into shards.
pub fn lease(shard: u64) -> String {
    format!("lease/{shard:02}")
}

/// Returns the key of the epoch row, which fences earlier holders of a shard's lease.
pub fn epoch(shard: u64) -> String {
    format!("epoch/{shard:02}")
}

/// Returns the key of the row with the latest decision about an instance.
pub fn decision(id: &str) -> String {
    format!("{DECISIONS}{id}")
}

/// Returns the key of the member row of a process.
pub fn member(centre: &str, name: &str) -> String {
    format!("{MEMBERS}{centre}/{name}")
}

/// Returns the key of the claim row for an idempotency key that a caller chose.
pub fn claim(customer: &str, key: &str) -> String {
    format!("claim/{customer}/{key}")
}
