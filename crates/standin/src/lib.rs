//! Stand-ins for the platform and for backend servers, used only by tests and the demo.
//!
//! The binaries `standin-platform` and `standin-backend` serve these modules over HTTP.

pub mod backend;
pub mod faults;
pub mod instances;
pub mod objects;
pub mod record;
pub mod table;
