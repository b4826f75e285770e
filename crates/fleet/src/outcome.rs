//! What an answer says of the request it belongs to.

use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// Outcome of a request, as told in the `X-Outcome` header.
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
    /// The backend server's whole answer is here.
    Done,
    /// It ran nowhere, and there is proof of that.
    NotRun,
    /// It may have run.
    Unknown,
}
