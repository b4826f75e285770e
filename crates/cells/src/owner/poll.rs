//! Looking at executors: renews leases, acknowledges ends, learns what runs.
//!
//! Load pattern: a busy executor ends dozens of tasks a second. A look returns with the first end,
//! so a pause between looks lets several ends share one; an executor without work is looked at
//! only as often as its freshness needs.

use std::rc::Rc;
use std::time::Duration;

use jobs::worker::Phase;
use jobs::{How, Look, watch};

use super::Inner;
use crate::clock;
use crate::context::pause;
use crate::ports::{Ask, OrderError};

/// Longest wait of an executor for an end, in milliseconds; leases are renewed at least as often.
const WAIT: u64 = 900;
/// Pause after a look at an executor whose ends are not acknowledged yet, in milliseconds.
const BUSY: u64 = 100;
/// Pause between looks at an executor without work, in milliseconds.
const IDLE: u64 = 1_400;
/// Pause after a look without answer, in milliseconds.
const RETRY: u64 = 250;
/// Least time between two lists of machines, in milliseconds; as long as between two tries of a
/// silent executor, so that one list serves all of them.
const LIST_PAUSE: u64 = 250;

impl Inner {
    /// Starts the look loops of executors that have none.
    pub(super) fn start_looks(self: &Rc<Self>) {
        let ids: Vec<String> = {
            let cell = self.cell.borrow();
            let looked = self.looked.borrow();
            let alive = cell.workers().iter().filter(|(_, w)| !w.dead);
            alive.map(|(id, _)| id).filter(|id| !looked.contains(*id)).cloned().collect()
        };
        for id in ids {
            self.looked.borrow_mut().insert(id.clone());
            actix::spawn(Rc::clone(self).look_at(id));
        }
    }

    async fn look_at(self: Rc<Self>, id: String) {
        while self.is_active() {
            if !self.may_order() {
                pause(RETRY).await;
                continue;
            }
            let Some(executor) = self.executor(&id) else { break };
            let Some(ask) = self.ask(&id) else { break };
            let sent = clock::now();
            let answer = self.ctx.ports.executors.look(&executor, self.tenure.epoch, &ask).await;
            if !self.is_active() {
                break;
            }
            let now = clock::now();
            let rest = match answer {
                Ok(look) => {
                    let busy = !look.present.is_empty();
                    let ends = !look.ended.is_empty();
                    let mut cell = self.cell.borrow_mut();
                    if let Some(worker) = cell.workers().get(&id)
                        && !worker.joined
                    {
                        self.ctx.timeline.record(
                            base::Event::ExecutorJoined,
                            &[
                                ("cell", &self.tenure.cell),
                                ("executor", &id),
                                ("runs", &look.present.len()),
                                ("ends", &look.ended.len()),
                            ],
                        );
                    }
                    let seen = cell.workers().get(&id).map_or(0, |w| w.seen);
                    cell.looked(&id, &look, sent, now);
                    drop(cell);
                    self.note_ends(&id, &look, seen);
                    if ends {
                        self.wake.notify_one();
                    }
                    if busy || ends { self.busy_rest() } else { self.idle_rest(&id) }
                }
                Err(OrderError::Fenced) => {
                    self.cell.borrow_mut().supersede();
                    break;
                }
                Err(OrderError::Gone) => {
                    self.note_gone(&id, "another incarnation answers");
                    self.cell.borrow_mut().bury(&id, now);
                    self.wake.notify_one();
                    break;
                }
                Err(OrderError::Silent { what }) => {
                    let first = {
                        let mut cell = self.cell.borrow_mut();
                        cell.unheard(&id);
                        cell.workers().get(&id).is_some_and(|w| w.silent == 1)
                    };
                    if first {
                        self.note_gone(&id, &what);
                    }
                    self.ask_for_lives().await;
                    RETRY
                }
            };
            self.rest(&id, rest).await;
        }
        self.looked.borrow_mut().swap_remove(&id);
    }

    /// Asks the platform which executors live, where tasks wait for silent ones.
    ///
    /// The answer comes seconds before the lease of a lost executor has surely ended.
    async fn ask_for_lives(&self) {
        let asked = clock::now();
        let due = asked >= self.listed.get() + LIST_PAUSE;
        if !due || !self.cell.borrow().asks_for_lives() {
            return;
        }
        self.listed.set(asked);
        let machines = match self.ctx.ports.machines.list().await {
            Ok(machines) => machines,
            // The leases tell in the end; the log says since when executors are silent.
            Err(error) => {
                self.ctx.timeline.record(
                    base::Event::DutyDelayed,
                    &[("what", &format!("no list of machines for {}: {error}", self.tenure.cell))],
                );
                return;
            }
        };
        if !self.is_active() {
            return;
        }
        let living = machines.into_iter().map(|machine| machine.executor).collect();
        let ended = self.cell.borrow_mut().bury_unnamed(&living, asked, clock::now());
        for id in &ended {
            self.note_gone(id, "no machine has it any more");
        }
        if !ended.is_empty() {
            self.wake.notify_one();
        }
    }

    fn note_gone(&self, id: &str, what: &str) {
        self.ctx.timeline.record(
            base::Event::ExecutorSilent,
            &[("cell", &self.tenure.cell), ("executor", &id), ("what", &what)],
        );
    }

    /// Logs the new ends other than successes; those show in the end of their job.
    fn note_ends(&self, id: &str, look: &Look, seen: u64) {
        for end in look.ended.iter().filter(|e| e.number > seen && e.how != How::Done) {
            self.ctx.timeline.record(
                base::Event::RunEnded,
                &[
                    ("task", &end.task),
                    ("run", &end.run),
                    ("executor", &id),
                    ("how", &end.how),
                    ("saved", &!end.saved.is_empty()),
                ],
            );
        }
    }

    /// Pause between looks at an executor with work, in milliseconds.
    pub(super) fn busy_rest(&self) -> u64 {
        let cell = self.cell.borrow();
        watch::pause(cell.workers().values().filter(|w| !w.runs.is_empty()).count())
    }

    fn idle_rest(&self, id: &str) -> u64 {
        let cell = self.cell.borrow();
        let busy = cell.workers().get(id).is_some_and(|w| !w.runs.is_empty() || w.seen > w.durable);
        if busy { BUSY } else { IDLE }
    }

    /// Waits until the next look, less long when the executor gets work meanwhile.
    async fn rest(&self, id: &str, ms: u64) {
        let until = clock::now() + ms;
        pause(if ms < IDLE { ms } else { BUSY }).await;
        while self.is_active() && clock::now() < until && self.idle_rest(id) == IDLE {
            pause(BUSY).await;
        }
    }

    fn ask(&self, id: &str) -> Option<Ask> {
        let mut cell = self.cell.borrow_mut();
        let worker = cell.workers().get(id).filter(|w| !w.dead)?;
        let acked = worker.durable;
        let quiet = worker.runs.is_empty() || worker.seen > worker.durable || !worker.joined;
        let hurried =
            worker.runs.values().any(|slot| matches!(slot.phase, Phase::Stopped | Phase::Unsure));
        let wait = if quiet || hurried { 0 } else { WAIT };
        let expires = if worker.runs.is_empty() { None } else { cell.grant(id, clock::now()) };
        Some(Ask { expires, acked, wait: Duration::from_millis(wait) })
    }
}
