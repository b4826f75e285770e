//! Command line of the entry process.

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers' requests. Exit codes: 0 stopped, 1 failed to start, 2 invalid settings.
    cmd jtally-entry {
        /// Path of the settings file (YAML).
        required settings: PathBuf
    }
}

/// Parsed command line.
pub type Flags = JtallyEntry;
