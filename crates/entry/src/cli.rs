//! Command line of the entry process.

use std::path::PathBuf;

xflags::xflags! {
    /// Takes callers' requests. Exit codes: 0 stopped, 1 could not run, 2 wrong settings.
    cmd jtally-entry {
        /// Settings file, YAML.
        required settings: PathBuf
    }
}

/// What the command line names.
pub type Flags = JtallyEntry;
