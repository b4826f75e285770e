//! What lives as long as one version of the contracts.

pub mod rules;

pub use rules::{Rule, Rules};
