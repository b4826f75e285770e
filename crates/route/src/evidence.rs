//! What was seen of a backend server, and which of two sightings counts.

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerState {
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
    pub state: ServerState,
}

impl Evidence {
    /// Whether this sighting replaces another.
    ///
    /// A later incarnation replaces an earlier; within one, leaving is final.
    ///
    /// # Examples
    ///
    /// ```
    /// use route::{Evidence, ServerState};
    /// let leaving = Evidence { incarnation: 1, state: ServerState::Leaving };
    /// let lagging = Evidence { incarnation: 1, state: ServerState::Serving };
    /// let restarted = Evidence { incarnation: 2, state: ServerState::Serving };
    /// assert!(!lagging.replaces(leaving));
    /// assert!(restarted.replaces(leaving));
    /// ```
    pub fn replaces(self, other: Self) -> bool {
        self > other
    }
}
