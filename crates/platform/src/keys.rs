//! Keys of the rows that the product keeps in the platform's table.

/// Row with the revision of the newest contract change.
pub const HEAD: &str = "head";
/// Prefix of contract rows.
pub const CONTRACTS: &str = "contract/";
/// Prefix of superseded contract texts.
pub const HISTORY: &str = "history/";
/// Prefix of instance rows.
pub const INSTANCES: &str = "instance/";
/// Prefix of operators' drain orders.
pub const ORDERS: &str = "order/";
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
    format!("budget/{customer}")
}

/// Key of the lease on a customer's pools.
pub fn lease(customer: &str) -> String {
    format!("lease/{customer}")
}

/// Key of the epoch that fences the lease's holders.
pub fn epoch(customer: &str) -> String {
    format!("epoch/{customer}")
}

/// Key of an operator's order about an instance.
pub fn order(id: &str) -> String {
    format!("{ORDERS}{id}")
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
