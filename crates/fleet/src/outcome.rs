//! Outcome of a request, as reported to the caller.

use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// Outcome of a request, sent in the `X-Outcome` header of the response.
///
/// # Examples
///
/// ```
/// assert_eq!(fleet::Outcome::NotRun.to_string(), "not-run");
/// assert_eq!("done".parse(), Ok(fleet::Outcome::Done));
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The request ran, and the response holds the backend server's complete answer.
    Done,
    /// The request certainly did not run on any backend server.
    NotRun,
    /// The request may have run.
    Unknown,
}
