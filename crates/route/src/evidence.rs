//! Observed state of a backend server, and which of two observations takes precedence.

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerState {
    /// The server accepts new requests.
    Serving,
    /// The server accepts no new requests until it restarts.
    Leaving,
}

/// Observation of one incarnation of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evidence {
    /// Incarnation, which increases with every start of the server.
    pub incarnation: u64,
    /// Observed state.
    pub state: ServerState,
}

impl Evidence {
    /// Returns whether this observation supersedes another.
    ///
    /// A later incarnation supersedes an earlier one. Within an incarnation, `Leaving` is final.
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
