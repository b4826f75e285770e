//! What was seen of a backend server, and which of two sightings counts.

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It takes new work.
    Serving,
    /// It takes none until it starts again.
    Leaving,
}

/// One sighting of one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evidence {
    /// Count of the server's starts.
    pub incarnation: u64,
    /// What was seen.
    pub standing: Standing,
}

impl Evidence {
    /// Whether this sighting replaces another.
    ///
    /// A later incarnation replaces an earlier; within one, leaving is final.
    ///
    /// # Examples
    ///
    /// ```
    /// use route::{Evidence, Standing};
    /// let leaving = Evidence { incarnation: 1, standing: Standing::Leaving };
    /// let lagging = Evidence { incarnation: 1, standing: Standing::Serving };
    /// let restarted = Evidence { incarnation: 2, standing: Standing::Serving };
    /// assert!(!lagging.replaces(leaving));
    /// assert!(restarted.replaces(leaving));
    /// ```
    pub fn replaces(self, other: Self) -> bool {
        self > other
    }
}
