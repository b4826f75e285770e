//! Model check of the stop protocol: all interleavings of two controllers and two instances.
//!
//! In the protocol, a controller commits the permit and the phase of an instance to the table. Only
//! then does it order the drain or the reboot from the platform. A permit allows one instance to be
//! down.
//!
//! Guards against two controllers that together take down more instances than the budget allows.
//! The model covers leases that expire at any moment, paused lease holders, transactions that
//! arrive late, arrive twice or lose their answers, and orders to the platform that arrive late. It
//! does not cover moves, several customers or more than one permit. Two of the tests switch off
//! some of the conditions and expect a violation, which shows that the model can find one.

use pathfinding::directed::bfs::bfs_reach;

/// Number of controllers.
const CONTROLLERS: usize = 2;
/// Number of instances, of which at most one may be down.
const INSTANCES: usize = 2;
/// Highest lease epoch in the model, which bounds the number of states.
const MAX_EPOCH: u8 = 2;
/// Incarnation from which an instance is not stopped again, so that each is stopped once.
const MAX_INCARNATION: u8 = 1;

/// Variant of the protocol, by the conditions that it checks.
#[derive(Clone)]
struct Protocol {
    /// Whether a transaction commits only in the lease epoch of its controller.
    check_epochs: bool,
    /// Whether a transaction commits only at the version of the budget row that was read.
    check_versions: bool,
    /// Whether the platform rejects an order for another incarnation of the instance.
    check_incarnations: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Serving,
    Draining,
    Rebooting,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Table {
    /// Epoch of the lease.
    epoch: u8,
    budget_version: u8,
    /// Instances that have a permit to be down.
    permits: Vec<usize>,
    /// Phase in the row of each instance.
    phases: Vec<Phase>,
    /// Incarnation in the row of each instance.
    incarnations: Vec<u8>,
}

/// Actual state of an instance, as opposed to its row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    incarnation: u8,
    draining: bool,
}

/// Transaction in transit, which may arrive at any moment or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    controller: usize,
    epoch: u8,
    budget_version: u8,
    id: usize,
    phase: Phase,
    incarnation: u8,
}

/// Order of a controller to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Order {
    Drain { id: usize, incarnation: u8 },
    Reboot { id: usize, incarnation: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Controller {
    /// Epoch of the last lease that it took.
    epoch: Option<u8>,
    /// Table as it was last read.
    view: Option<Table>,
    /// Order to send next, set by the answer to a committed write or to repeat an order.
    next_order: Option<Order>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    table: Table,
    instances: Vec<Instance>,
    controllers: Vec<Controller>,
    /// Transactions in transit.
    writes: Vec<Write>,
    /// Orders in transit to the platform.
    orders: Vec<Order>,
}

/// Transition of the model; numbers are indices of controllers, instances, writes or orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// A controller takes the lease, whether or not the last holder noticed its expiry.
    TakeLease(usize),
    /// A controller reads the table.
    ReadTable(usize),
    /// A controller handles an instance.
    Step(usize, usize),
    /// A transaction arrives; the flag says whether its answer reaches the controller.
    DeliverWrite(usize, bool),
    /// A controller sends its next order.
    SendOrder(usize),
    /// An order arrives at the platform.
    DeliverOrder(usize),
}

impl Protocol {
    fn start() -> State {
        let table = Table {
            epoch: 0,
            budget_version: 0,
            permits: Vec::new(),
            phases: vec![Phase::Serving; INSTANCES],
            incarnations: vec![0; INSTANCES],
        };
        let instance = Instance { incarnation: 0, draining: false };
        let controller = Controller { epoch: None, view: None, next_order: None };
        State {
            table,
            instances: vec![instance; INSTANCES],
            controllers: vec![controller; CONTROLLERS],
            writes: Vec::new(),
            orders: Vec::new(),
        }
    }

    fn actions(state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        for at in 0..CONTROLLERS {
            if state.table.epoch < MAX_EPOCH {
                actions.push(Action::TakeLease(at));
            }
            let controller = &state.controllers[at];
            if controller.epoch.is_some() && controller.view.is_none() {
                actions.push(Action::ReadTable(at));
            }
            if controller.view.is_some() && !state.writes.iter().any(|write| write.controller == at)
            {
                actions.extend((0..INSTANCES).map(|id| Action::Step(at, id)));
            }
            if controller.next_order.is_some()
                && !state.writes.iter().any(|write| write.controller == at)
            {
                actions.push(Action::SendOrder(at));
            }
        }
        for at in 0..state.writes.len() {
            actions.extend([Action::DeliverWrite(at, true), Action::DeliverWrite(at, false)]);
        }
        actions.extend((0..state.orders.len()).map(Action::DeliverOrder));
        actions
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::TakeLease(at) => {
                state.table.epoch += 1;
                state.controllers[at] =
                    Controller { epoch: Some(state.table.epoch), view: None, next_order: None };
            }
            Action::ReadTable(at) => state.controllers[at].view = Some(state.table.clone()),
            Action::Step(at, id) => self.step(&mut state, at, id)?,
            Action::DeliverWrite(at, answered) => self.deliver_write(&mut state, at, answered),
            Action::SendOrder(at) => {
                let order = state.controllers[at].next_order.take()?;
                if !state.orders.contains(&order) {
                    state.orders.push(order);
                }
            }
            Action::DeliverOrder(at) => self.deliver_order(&mut state, at),
        }
        Some(state)
    }

    /// Advances an instance by one step, as `control::customer::step` does.
    ///
    /// Returns `None` when the instance is not due for a step.
    fn step(&self, state: &mut State, at: usize, id: usize) -> Option<()> {
        let controller = &mut state.controllers[at];
        let (view, epoch) = (controller.view.take()?, controller.epoch?);
        let instance = &state.instances[id];
        let row_incarnation = view.incarnations[id];
        let (phase, incarnation) = match view.phases[id] {
            Phase::Serving if view.permits.is_empty() && instance.incarnation < MAX_INCARNATION => {
                (Phase::Draining, instance.incarnation)
            }
            Phase::Serving => return None,
            Phase::Draining if instance.draining => (Phase::Rebooting, row_incarnation),
            Phase::Draining => {
                controller.next_order = Some(Order::Drain { id, incarnation: row_incarnation });
                return Some(());
            }
            Phase::Rebooting if instance.incarnation > row_incarnation => {
                (Phase::Serving, instance.incarnation)
            }
            Phase::Rebooting => {
                controller.next_order = Some(Order::Reboot { id, incarnation: row_incarnation });
                return Some(());
            }
        };
        let budget_version = view.budget_version;
        state.writes.push(Write { controller: at, epoch, budget_version, id, phase, incarnation });
        Some(())
    }

    fn deliver_write(&self, state: &mut State, at: usize, answered: bool) {
        let write = state.writes.remove(at);
        let Write { controller, epoch, budget_version, id, phase, incarnation } = write;
        let table = &mut state.table;
        let epoch_matches = !self.check_epochs || table.epoch == epoch;
        let version_matches = !self.check_versions || table.budget_version == budget_version;
        let committed = epoch_matches && version_matches;
        if committed {
            table.budget_version += 1;
            table.incarnations[id] = incarnation;
            match phase {
                Phase::Draining if !table.permits.contains(&id) => table.permits.push(id),
                Phase::Serving => table.permits.retain(|permit| *permit != id),
                _ => {}
            }
            table.phases[id] = phase.clone();
        }
        let controller = &mut state.controllers[controller];
        if committed && answered && controller.epoch == Some(epoch) {
            controller.next_order = match phase {
                Phase::Draining => Some(Order::Drain { id, incarnation }),
                Phase::Rebooting => Some(Order::Reboot { id, incarnation }),
                Phase::Serving => None,
            };
        }
    }

    fn deliver_order(&self, state: &mut State, at: usize) {
        let order = state.orders.remove(at);
        let (Order::Drain { id, incarnation } | Order::Reboot { id, incarnation }) = order;
        let instance = &mut state.instances[id];
        if self.check_incarnations && instance.incarnation != incarnation {
            return;
        }
        match order {
            Order::Drain { .. } => instance.draining = true,
            Order::Reboot { .. } => {
                instance.incarnation += 1;
                instance.draining = false;
            }
        }
    }
}

/// All reachable states, each once.
fn reachable_states(protocol: &Protocol) -> impl Iterator<Item = State> {
    bfs_reach(Protocol::start(), |state: &State| {
        let actions = Protocol::actions(state).into_iter();
        let states = actions.filter_map(|action| protocol.next_state(state, action));
        states.collect::<Vec<_>>()
    })
}

/// Whether more than one instance is down.
fn exceeds_budget(state: &State) -> bool {
    state.instances.iter().filter(|instance| instance.draining).count() > 1
}

/// Whether an instance is down without a permit.
fn drains_without_permit(state: &State) -> bool {
    let mut instances = state.instances.iter().enumerate();
    instances.any(|(id, instance)| instance.draining && !state.table.permits.contains(&id))
}

/// Whether every instance was stopped and every permit was returned.
fn is_finished(state: &State) -> bool {
    let stopped = state.instances.iter().all(|instance| instance.incarnation > 0);
    stopped && state.table.permits.is_empty()
}

#[test]
fn the_protocol_keeps_the_budget_in_all_interleavings() {
    let mut finished = false;
    for state in reachable_states(&Protocol {
        check_epochs: true,
        check_versions: true,
        check_incarnations: true,
    }) {
        assert!(!exceeds_budget(&state), "{state:?}");
        assert!(!drains_without_permit(&state), "{state:?}");
        finished |= is_finished(&state);
    }
    assert!(finished, "no interleaving finishes");
}

#[test]
fn without_incarnations_a_late_order_drains_without_a_permit() {
    let protocol = Protocol { check_epochs: true, check_versions: true, check_incarnations: false };
    assert!(reachable_states(&protocol).any(|state| drains_without_permit(&state)));
}

#[test]
fn without_conditions_two_controllers_break_the_budget() {
    let protocol =
        Protocol { check_epochs: false, check_versions: false, check_incarnations: true };
    assert!(reachable_states(&protocol).any(|state| exceeds_budget(&state)));
}
