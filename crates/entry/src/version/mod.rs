//! Data built from one version of the contracts in force and replaced with the next.

pub mod rules;

pub use rules::{Rule, Rules};
