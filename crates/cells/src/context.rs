//! What the parts of a process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::Timeline;
use indexmap::IndexMap;
use jobs::wave::Wave;
use jobs::{Configuration, Registration};
use tokio::sync::Notify;

use crate::clock;
use crate::metrics::{MeasuredStore, Metrics};
use crate::ports::{Adviser, Dialect, Executors, Machines, Page, Row, Store};
use crate::rows::{self, Duty, Load};

/// Bounds that the platform states, all in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease of an executor.
    pub lease: u64,
    /// Time between the orders of two holders of the fleet's duties.
    pub handover: u64,
    /// Longest time from a stop to the end of the run.
    pub stop: u64,
    /// How long before its due time an occurrence may start.
    pub early: u64,
    /// Time from SIGTERM to SIGKILL.
    pub grace: u64,
}

/// Settings of a process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the process's machine.
    pub name: String,
    /// Data centre.
    pub centre: String,
    /// Processor that the process may use, in thousandths of a core.
    pub cpu: u64,
    /// Orders for machines that the platform takes a second; 0 where it is not known.
    pub order_rate: u64,
    /// Bounds of the platform.
    pub bounds: Bounds,
}

/// The outside, as traits.
#[expect(missing_debug_implementations, reason = "trait objects have no common form")]
#[derive(Clone)]
pub struct Ports {
    /// The platform's table.
    pub store: Rc<dyn Store>,
    /// Orders to executors.
    pub executors: Rc<dyn Executors>,
    /// Orders for machines.
    pub machines: Rc<dyn Machines>,
    /// Permissions for the executors of a step.
    pub adviser: Rc<dyn Adviser>,
    /// Forms of the operator's rows and the registry.
    pub dialect: Rc<dyn Dialect>,
}

/// State that lives as long as the process.
pub(crate) struct Context {
    pub settings: Settings,
    pub ports: Ports,
    pub timeline: Timeline,
    pub metrics: Metrics,
    /// Tells this start of the process from others of the same machine.
    pub start_time: u64,
    config: RefCell<Option<Rc<Configuration>>>,
    pub waves: RefCell<IndexMap<u64, Wave>>,
    pub registry: RefCell<IndexMap<String, Registration>>,
    /// Rises with each change of the registry.
    pub registry_version: Cell<u64>,
    /// Whether the registry has been read since this process began to follow it.
    pub registry_read: Cell<bool>,
    pub loads: RefCell<IndexMap<String, Load>>,
    /// What is going on with machines: versions and rows by key.
    pub duties: RefCell<IndexMap<String, (u64, Duty)>>,
    /// Whether the duties have been read since this process began to follow them.
    pub duties_read: Cell<bool>,
    /// The table's clock and when it was read.
    table_clock: Cell<(u64, u64)>,
    pub stopping: Cell<bool>,
    /// Whether this process holds a cell or the fleet's duties, and so needs the registry and the
    /// duties.
    pub is_holder: Cell<bool>,
    away: Cell<bool>,
    /// When the table last answered, in milliseconds.
    answered: Cell<u64>,
    /// When the table last came back after it was away, in milliseconds; 0 before.
    pub recovered_at: Cell<u64>,
    back: Notify,
}

impl Context {
    pub fn new(settings: Settings, ports: Ports, timeline: Timeline, metrics: Metrics) -> Rc<Self> {
        let store = Rc::new(MeasuredStore::new(Rc::clone(&ports.store), metrics.clone()));
        let ports = Ports { store, ..ports };
        Rc::new(Self {
            metrics,
            settings,
            ports,
            timeline,
            start_time: clock::wall(),
            config: RefCell::default(),
            waves: RefCell::default(),
            registry: RefCell::default(),
            registry_version: Cell::new(0),
            registry_read: Cell::new(false),
            loads: RefCell::default(),
            duties: RefCell::default(),
            duties_read: Cell::new(false),
            table_clock: Cell::new((0, 0)),
            stopping: Cell::new(false),
            is_holder: Cell::new(false),
            away: Cell::new(false),
            answered: Cell::new(0),
            recovered_at: Cell::new(0),
            back: Notify::new(),
        })
    }

    /// Name of this incarnation among the holders of leases.
    pub fn holder(&self) -> String {
        holder(&self.settings.name, self.start_time)
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Rc<Configuration>> {
        self.config.borrow().clone()
    }

    /// Takes a configuration unless a newer one is in force.
    pub fn set_config(&self, config: Configuration) {
        let newer = self.config.borrow().as_ref().is_none_or(|c| c.version < config.version);
        if !newer {
            return;
        }
        self.timeline.record(
            base::Event::ConfigurationInForce,
            &[("version", &config.version), ("queues", &config.queues.len())],
        );
        self.metrics.configuration_version.set(i64::try_from(config.version).unwrap_or(i64::MAX));
        *self.config.borrow_mut() = Some(Rc::new(config));
    }

    /// Takes in a duty's row unless a newer one is known; a row of version 0 is not there.
    ///
    /// The holder of the duties knows its own writes before the feed does, so that the feed may
    /// bring an older change after a newer one.
    pub fn apply_duty(&self, row: &Row, fresh: bool) {
        let key = &row.place.key;
        let mut duties = self.duties.borrow_mut();
        let newer = duties.get(key).is_none_or(|(version, _)| *version < row.version);
        if !newer && !fresh {
            return;
        }
        match row.value.as_deref().map(rows::decode::<Duty>) {
            Some(Ok(duty)) => {
                duties.insert(key.clone(), (row.version, duty));
            }
            None => {
                duties.swap_remove(key);
            }
            Some(Err(error)) => {
                self.timeline
                    .record(base::Event::RowUnreadable, &[("row", key), ("error", &error)]);
            }
        }
    }

    /// Notes the table's clock.
    pub fn record_table_clock(&self, table: u64) {
        self.table_clock.set((table, clock::now()));
    }

    /// The table's clock now; 0 before it was ever read.
    pub fn table_now(&self) -> u64 {
        match self.table_clock.get() {
            (0, _) => 0,
            (table, at) => table + clock::now().saturating_sub(at),
        }
    }

    /// Milliseconds since the table was last heard.
    pub fn table_clock_age(&self) -> u64 {
        clock::now().saturating_sub(self.table_clock.get().1)
    }

    /// Notes a page's clock.
    pub fn record_page_clock(&self, page: &Page) {
        self.record_table_clock(page.clock);
    }

    /// Notes whether a call to the table was answered, with a line on each change.
    ///
    /// Single calls without an answer are common; the table counts as away when none was answered
    /// for a while.
    pub fn record_table_call(&self, failed: bool, what: &str) {
        let now = clock::now();
        if !failed {
            self.answered.set(now);
        }
        let away = failed && now > self.answered.get() + AWAY;
        if failed && !away {
            return;
        }
        if self.away.replace(away) != away {
            if !away {
                self.recovered_at.set(now);
                self.back.notify_waiters();
            }
            let event = if away { base::Event::PlatformAway } else { base::Event::PlatformBack };
            self.timeline.record(event, &[("what", &what)]);
        }
    }

    /// Completes when the table answers again after it was away.
    pub async fn table_recovered(&self) {
        self.back.notified().await;
    }

    /// Whether the table has not answered for a while.
    pub fn is_table_unavailable(&self) -> bool {
        self.away.get()
    }

    /// Lease that executors get, in milliseconds: what the platform allows, less what its
    /// rounding and a slow clock may take.
    pub fn executor_lease(&self) -> u64 {
        (self.settings.bounds.lease * 95 / 100).min(MAX_LEASE)
    }
}

/// Longest lease given to executors, in milliseconds; covers the loss of a holder, which takes up
/// to half of it, and keeps tasks of unreachable executors waiting no longer than needed.
const MAX_LEASE: u64 = 4_500;

/// Time without any answer after which the table counts as away, in milliseconds; the limit of one
/// call.
const AWAY: u64 = 1_200;

/// Name of a process's incarnation.
pub(crate) fn holder(name: &str, start: u64) -> String {
    format!("{name}~{start}")
}

/// Sleeps.
pub(crate) async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
