//! Command line of the control process.

use std::path::PathBuf;

xflags::xflags! {
    /// Manages pools under contracts. Exit codes: 0 stopped, 1 failed to start, 2 invalid settings.
    cmd jtally-control {
        /// Path of the settings file (YAML).
        required settings: PathBuf
    }
}

/// Parsed command line.
pub type Flags = JtallyControl;
