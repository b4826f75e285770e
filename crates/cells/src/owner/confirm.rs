//! Confirmations that this process still holds the lease of its cell.
//!
//! Load pattern: an executor at a queue's peak crashes, and dozens of its tasks wait for the next
//! confirmation to start again. The lease is then read at once, rather than with the next heartbeat.

use std::rc::Rc;

use super::{Inner, Tenure};
use crate::clock;
use crate::context::pause;
use crate::guard;
use crate::keys;

/// Time for which a holder sends orders after its lease was last confirmed, in milliseconds.
///
/// Together with the executors' lease it keeps tasks running while the table is unavailable for
/// eight seconds. A successor waits no longer than that for executors that it can't reach.
pub(super) const ORDER_VALIDITY_MS: u64 = 3_500;
/// Least time between two reads of the lease for runs that wait to be released, in milliseconds.
const CONFIRMATION_INTERVAL_MS: u64 = 100;

impl Inner {
    /// Records a time at which no later holder could send orders.
    pub fn confirm(&self, at: u64) {
        self.confirmed_at.set(self.confirmed_at.get().max(at));
        let mut cell = self.cell.borrow_mut();
        cell.confirm_ownership(at);
        if cell.awaits_confirmation() {
            self.wake.notify_one();
        }
    }

    /// Whether orders may be sent: the lease was confirmed recently enough, and no executor has seen
    /// orders of a later holder.
    pub fn may_order(&self) -> bool {
        self.is_active()
            && !self.cell.borrow().is_superseded()
            && clock::now() < self.confirmed_at.get() + ORDER_VALIDITY_MS
    }

    /// Time since the lease was last confirmed, in milliseconds.
    pub fn confirmation_age(&self) -> u64 {
        clock::now().saturating_sub(self.confirmed_at.get())
    }

    /// Reads the lease if runs wait for its confirmation to be released.
    pub(super) fn confirm_for_releases(self: &Rc<Self>) {
        if self.cell.borrow().awaits_confirmation() && !self.confirming.replace(true) {
            actix::spawn(Rc::clone(self).read_lease());
        }
    }

    /// Reads the lease, or the guard rows while it can't be read, and confirms the lease if its row
    /// has not changed.
    async fn read_lease(self: Rc<Self>) {
        let read_at = clock::now();
        let Tenure { cell, epoch, .. } = &self.tenure;
        let place = keys::lease(cell);
        let is_mine = match self.ctx.ports.store.read(&place, 1).await {
            Ok(page) => {
                let version = page.rows.iter().find(|row| row.place == place).map(|r| r.version);
                if version.is_some_and(|version| version > *epoch) {
                    self.mark_lost("another process has written the lease");
                }
                version == Some(*epoch)
            }
            Err(_) => guard::holds(&self.ctx, cell, *epoch).await,
        };
        if is_mine {
            self.confirm(read_at);
        }
        pause(CONFIRMATION_INTERVAL_MS).await;
        self.confirming.set(false);
    }
}
