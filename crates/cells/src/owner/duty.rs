//! Empties executors whose machines are scheduled for maintenance or a move to another pool.

use std::rc::Rc;

use indexmap::IndexSet;
use jobs::incarnation;

use super::Inner;
use crate::clock;
use crate::context::pause;
use crate::duties::DutyChange;
use crate::keys;
use crate::rows::Duty;

/// Pause between two reports of empty executors, in milliseconds, so that executors that become
/// empty one after the other share a transaction; a fraction of the time that a move takes.
const REPORT_INTERVAL_MS: u64 = 40;

impl Inner {
    /// Marks the executors that have to be emptied, reports those that are empty, and marks those
    /// that have ended as dead.
    pub(super) fn apply_duties(self: &Rc<Self>) {
        let may_report = self.may_order();
        let duties = self.ctx.duties.borrow();
        let mut cell = self.cell.borrow_mut();
        let revision = (duties.revision(), self.synced_registry.get());
        if self.applied_duties.replace(revision) != revision {
            let mut leaving: IndexSet<String> =
                duties.in_progress().map(|(.., duty)| duty.executor.clone()).collect();
            // The order for a machine may still come if its executor has restarted meanwhile.
            let registry = self.ctx.registry.borrow();
            for (.., duty) in duties.in_progress().filter(|(.., duty)| !duty.executor_ended) {
                let current = registry.current(incarnation::name(&duty.executor));
                leaving.extend(current.map(ToOwned::to_owned));
            }
            cell.set_leaving(leaving);
            for duty in duties.values().filter(|duty| duty.executor_ended) {
                let alive = cell.workers().get(&duty.executor).is_some_and(|w| !w.dead);
                if alive {
                    cell.mark_ended(&duty.executor, clock::now());
                }
            }
        }
        // A later holder may have started runs that this one does not know.
        if self.reporting_empty.get() || !may_report {
            return;
        }
        let mut emptied = Vec::new();
        for (_, version, duty) in duties.in_progress().filter(|(.., duty)| !duty.emptied) {
            let in_cell = cell.workers().contains_key(&duty.executor);
            if in_cell && cell.is_drained(&duty.executor) {
                let place = match duty.wave {
                    0 => keys::pool_move(&duty.machine),
                    wave => keys::maintenance(wave, &duty.machine),
                };
                let next = Duty { emptied: true, ..duty.clone() };
                emptied.push(DutyChange { place, version, duty: Some(next) });
            }
        }
        if !emptied.is_empty() {
            self.reporting_empty.set(true);
            actix::spawn(Rc::clone(self).report_empty(emptied));
        }
    }

    /// Records in the duties' rows that their executors are empty.
    async fn report_empty(self: Rc<Self>, emptied: Vec<DutyChange>) {
        let reported: Vec<(String, Duty)> =
            emptied.iter().filter_map(|c| Some((c.place.key.clone(), c.duty.clone()?))).collect();
        let written = self.ctx.write_duties(emptied).await;
        for (_, duty) in reported.iter().filter(|(key, _)| written.contains(key)) {
            self.ctx.timeline.record(
                base::Event::ExecutorEmptied,
                &[("machine", &duty.machine), ("executor", &duty.executor)],
            );
        }
        pause(REPORT_INTERVAL_MS).await;
        self.reporting_empty.set(false);
    }
}
