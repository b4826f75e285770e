//! Command line of the control process.

use std::path::PathBuf;

xflags::xflags! {
    /// Controls pools under contracts. Exit codes: 0 stopped, 1 could not run, 2 wrong settings.
    cmd jtally-control {
        /// Settings file, YAML.
        required settings: PathBuf
    }
}

/// What the command line names.
pub type Flags = JtallyControl;
