//! Command line of the control process.

use std::path::PathBuf;

xflags::xflags! {
    /// Manages pools under contracts. Exit codes: 0 stopped, 1 failed to run, 2 invalid settings.
    cmd jtally-control {
        /// Settings file in YAML.
        required settings: PathBuf
    }
}

/// Parsed command line.
pub type Flags = JtallyControl;
