//! Emptying executors whose machines are due for maintenance or a move.

use std::rc::Rc;

use jobs::wave::Stage;

use super::Inner;
use crate::context::pause;
use crate::follow::read_all;
use crate::keys;
use crate::ports::{Change, ChangeError};
use crate::rows::{self, Duty};

/// Time between reads of the duties while there are any, in milliseconds.
const ROUND: u64 = 250;
/// Time between reads of the duties without any, in milliseconds.
const IDLE: u64 = 1_000;

impl Inner {
    /// Marks and unmarks executors that have to be emptied, and reports those that are empty.
    pub(super) async fn follow_duties(self: Rc<Self>) {
        while self.is_active() {
            let busy = match read_all(&self.ctx, keys::duty("")).await {
                Ok((rows, _)) => {
                    let mut busy = false;
                    for row in rows {
                        let value = row.value.as_deref().unwrap_or_default();
                        // The holder of the duties reports rows that can't be read.
                        let Ok(duty) = rows::decode::<Duty>(value) else { continue };
                        busy |= self.take_duty(&row.place.key, row.version, duty).await;
                    }
                    busy
                }
                Err(error) => {
                    self.ctx.set_away(true, &error.to_string());
                    true
                }
            };
            pause(if busy { ROUND } else { IDLE }).await;
        }
    }

    /// Takes in one duty; true while it concerns this cell.
    async fn take_duty(&self, machine: &str, version: u64, duty: Duty) -> bool {
        let due =
            duty.stage == Stage::Emptying.to_string() || duty.stage == Stage::Down.to_string();
        let known = self.cell.borrow().workers().contains_key(&duty.executor);
        if !known {
            return due;
        }
        self.cell.borrow_mut().set_leaving(&duty.executor, due);
        let emptied = due && !duty.empty && self.cell.borrow().is_emptied(&duty.executor);
        if emptied {
            let place = keys::duty(machine);
            let executor = duty.executor.clone();
            let row = rows::encode(&Duty { empty: true, ..duty });
            let change = Change {
                expect: vec![(place.clone(), version)],
                writes: vec![(place, row)],
                removes: Vec::new(),
            };
            match self.ctx.ports.store.apply(&change).await {
                Ok(_) => self.ctx.timeline.record(
                    base::Event::ExecutorEmptied,
                    &[("machine", &machine), ("executor", &executor)],
                ),
                // The next round sees what the row has become.
                Err(ChangeError::Conflict { .. }) => {}
                Err(error) => self.ctx.set_away(true, &error.to_string()),
            }
        }
        due
    }
}
