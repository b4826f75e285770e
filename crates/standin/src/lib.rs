//! Stand-ins of the platform and of backend servers, for tests and the demo only.

pub mod backend;
pub mod faults;
pub mod instances;
pub mod objects;
pub mod record;
pub mod table;
