//! Decisions about capacity and maintenance, as functions of what is known.
//!
//! Nothing here reads a clock, a file or the network; reasons come back beside decisions.

pub mod blame;
pub mod budget;
pub mod buffer;
pub mod moves;
pub mod place;
pub mod unit;
pub mod wave;

pub use budget::{Reason, Standing, check};
pub use unit::{Fleet, Need, Tally, Unit, Up};
pub use wave::{Choice, next};
