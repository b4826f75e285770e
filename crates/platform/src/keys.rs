//! Keys of the rows that the product keeps in the platform's table.

/// Row with the revision of the newest contract change.
pub const HEAD: &str = "head";
/// Prefix of contract rows.
pub const CONTRACTS: &str = "contract/";
/// Prefix of superseded contract texts.
pub const HISTORY: &str = "history/";
/// Prefix of instance rows.
pub const INSTANCES: &str = "instance/";
/// Prefix of customers' budgets.
pub const BUDGETS: &str = "budget/";
/// Row that every step of an instance writes, so that readers see that something changed.
pub const FLEET: &str = "fleet";
/// Prefix of the last decision about each instance.
pub const DECISIONS: &str = "decision/";
/// Prefix of members' rows.
pub const MEMBERS: &str = "member/";

/// Key of a customer's contract.
pub fn contract(customer: &str) -> String {
    format!("{CONTRACTS}{customer}")
}

/// Key of one revision in a contract's history.
pub fn history(customer: &str, revision: u64) -> String {
    format!("{HISTORY}{customer}/{revision:012}")
}

/// Key of an instance's row.
pub fn instance(id: &str) -> String {
    format!("{INSTANCES}{id}")
}

/// Key of a customer's availability budget.
pub fn budget(customer: &str) -> String {
    format!("{BUDGETS}{customer}")
}

/// Key of the lease on a shard of the customers.
pub fn lease(shard: u64) -> String {
    format!("lease/{shard:02}")
}

/// Key of the epoch that fences the holders of a shard's lease.
pub fn epoch(shard: u64) -> String {
    format!("epoch/{shard:02}")
}

/// Key of the last decision about an instance.
pub fn decision(id: &str) -> String {
    format!("{DECISIONS}{id}")
}

/// Key of a member's row.
pub fn member(centre: &str, id: &str) -> String {
    format!("{MEMBERS}{centre}/{id}")
}

/// Key of the claim on a caller's own idempotency key.
pub fn claim(customer: &str, key: &str) -> String {
    format!("claim/{customer}/{key}")
}
