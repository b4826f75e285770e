//! Next action for a machine that is to move to another pool.
//!
//! Load pattern: at the start of a peak hundreds of machines are emptied and ordered into its pool,
//! while orders are lost, answered late or carried out seconds later, and holders of the fleet's
//! duties change. An order is sent again only once it has timed out, however long ago the move was
//! decided: two orders under way for one machine could end a run that began between them.

/// Longest time that emptying a machine may take, in milliseconds.
const EMPTYING_TIMEOUT_MS: u64 = 3_000;
/// Time after which an order without a response is sent again, in milliseconds; longer than the
/// timeout of an order.
const ORDER_RETRY_MS: u64 = 1_600;

/// A move in progress, as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Relocation {
    /// Whether this holder began the move.
    pub is_own: bool,
    /// Whether the executor that is to be emptied has ended.
    pub executor_ended: bool,
    /// Whether that executor is empty.
    pub emptied: bool,
    /// Time since the decision to move the machine, in milliseconds.
    pub age: u64,
    /// Time since the order was recorded, just before it was sent, in milliseconds; `None` before.
    pub order_age: Option<u64>,
    /// Whether an order of a former holder for the machine may still be on its way.
    pub recently_ordered: bool,
}

/// Next action for a [`Relocation`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Do nothing yet.
    Wait,
    /// Send the order.
    Order,
    /// Give the move up; the machine stays in its pool, or has left it already.
    GiveUp,
}

impl Relocation {
    /// Decides the next action.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::relocate::{Action, Relocation};
    /// let emptying = Relocation {
    ///     is_own: true,
    ///     executor_ended: false,
    ///     emptied: false,
    ///     age: 100,
    ///     order_age: None,
    ///     recently_ordered: false,
    /// };
    /// assert_eq!(emptying.next_action(), Action::Wait);
    /// assert_eq!(Relocation { emptied: true, ..emptying }.next_action(), Action::Order);
    /// assert_eq!(Relocation { age: 3_001, ..emptying }.next_action(), Action::GiveUp);
    /// ```
    pub fn next_action(self) -> Action {
        let too_slow = self.age > EMPTYING_TIMEOUT_MS && !self.emptied;
        // Tasks that an executor gets before the order is carried out would end with it.
        let inherited_order = !self.is_own && self.recently_ordered && self.order_age.is_some();
        if inherited_order && !self.executor_ended {
            return Action::Wait;
        }
        if self.executor_ended || !self.is_own || too_slow {
            return Action::GiveUp;
        }
        match self.order_age {
            // If the order was accepted, the list of machines normally shows the move by then.
            Some(age) if age > ORDER_RETRY_MS => Action::Order,
            None if self.emptied => Action::Order,
            _ => Action::Wait,
        }
    }
}
