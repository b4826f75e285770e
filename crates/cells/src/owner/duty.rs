//! Empties executors whose machines are scheduled for maintenance or a move to another pool.

use std::rc::Rc;

use indexmap::IndexSet;

use super::Inner;
use crate::clock;
use crate::keys;
use crate::ports::{Place, Transaction, TransactionError};
use crate::rows::{self, Duty};

impl Inner {
    /// Marks the executors that have to be emptied, reports those that are empty, and marks those
    /// that have ended as dead.
    pub(super) fn apply_duties(self: &Rc<Self>) {
        let duties = self.ctx.duties.borrow();
        let mut cell = self.cell.borrow_mut();
        let leaving: IndexSet<String> = duties
            .values()
            .filter(|(_, duty)| duty.is_in_progress())
            .map(|(_, duty)| duty.executor.clone())
            .collect();
        for (key, (version, duty)) in duties.iter().filter(|(_, (_, d))| d.is_in_progress()) {
            let in_cell = cell.workers().contains_key(&duty.executor);
            let unreported = self.reported_empty.borrow().get(key) != Some(version);
            if in_cell && unreported && !duty.emptied && cell.is_drained(&duty.executor) {
                self.reported_empty.borrow_mut().insert(key.clone(), *version);
                let report = Rc::clone(self).report_empty(key.clone(), *version, duty.clone());
                actix::spawn(report);
            }
        }
        for (_, duty) in duties.values().filter(|(_, duty)| duty.executor_ended) {
            let alive = cell.workers().get(&duty.executor).is_some_and(|w| !w.dead);
            if alive {
                cell.mark_dead(&duty.executor, clock::now());
            }
        }
        cell.set_leaving(leaving);
    }

    /// Records in a duty's row that its executor is empty.
    async fn report_empty(self: Rc<Self>, key: String, version: u64, duty: Duty) {
        let place = Place::new(keys::DUTY_TABLE, keys::DUTY_PART, &key);
        let machine = duty.machine.clone();
        let executor = duty.executor.clone();
        let row = rows::encode(&Duty { emptied: true, ..duty });
        let transaction = Transaction {
            expect: vec![(place.clone(), version)],
            writes: vec![(place, row)],
            removes: Vec::new(),
        };
        match self.ctx.ports.store.apply(&transaction).await {
            Ok(_) => self.ctx.timeline.record(
                base::Event::ExecutorEmptied,
                &[("machine", &machine), ("executor", &executor)],
            ),
            // The feed delivers the row's new version.
            Err(TransactionError::Conflict { .. }) => {}
            Err(error) => {
                self.ctx.record_table_call(true, &error.to_string());
                self.reported_empty.borrow_mut().swap_remove(&key);
            }
        }
    }
}
