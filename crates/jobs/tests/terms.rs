//! Replays configurations that lack the queues of accepted jobs, or are older than the jobs.

use jobs::cell::{Arrival, Order, Refusal, StartOutcome};
use jobs::worker::EndedRun;
use jobs::{
    AdviceCost, Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources,
    RunOutcome, Step, TaskId, Terms,
};

const JOB: &str = "00000000000000aa";

fn queue(attempts: u32) -> Queue {
    Queue {
        name: "q".to_owned(),
        max_attempts: attempts,
        stretch: 1_600,
        objective_base: 600,
        ..Queue::default()
    }
}

fn job() -> Job {
    let resources = Resources { cpu: 1_000, memory: 10, gpus: 0 };
    let step = Step { count: 1, resources, estimate: 500, ..Step::default() };
    Job { payload: "x".to_owned(), steps: vec![step], schedule: None }
}

fn arrival(id: &str) -> Arrival {
    Arrival {
        id: id.to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        job: job(),
        progress: Progress::default(),
        requested_at: 0,
        inherited: false,
        start_blocked: false,
        organisation: None,
    }
}

/// A cell with one executor, and the number of the executor's last end.
struct Replay {
    cell: Cell,
    now: u64,
    ends: u64,
}

impl Replay {
    /// A cell whose holder has read a version of the configuration with these queues.
    fn new(version: u64, queues: &[Queue]) -> Self {
        let config = CellConfig {
            lease: 6_000,
            inherited_lease: 16_000,
            stop_timeout: 900,
            early_start: 0,
            term: 1,
        };
        let mut cell = Cell::new(config, 0);
        cell.replace_configuration(version, queues.iter(), 0);
        cell.register(Registration {
            id: "e".to_owned(),
            pool: "p".to_owned(),
            ready: true,
            capacity: Resources { cpu: 4_000, memory: 4_000, gpus: 0 },
            ..Registration::default()
        });
        let mut replay = Self { cell, now: 100, ends: 0 };
        replay.poll(Vec::new());
        replay
    }

    fn poll(&mut self, ended: Vec<EndedRun>) {
        let report = ExecutorReport { clock: self.now, ended, ..ExecutorReport::default() };
        self.cell.handle_poll("e", &report, self.now - 1, self.now);
    }

    /// Advances the time by a second; returns the starts.
    fn start(&mut self) -> Vec<(TaskId, u64)> {
        self.now += 1_000;
        self.poll(Vec::new());
        let starts = self.cell.tick(self.now, 0).into_iter().filter_map(|order| match order {
            Order::Start { task, run, .. } => Some((task, run)),
            _ => None,
        });
        let starts: Vec<(TaskId, u64)> = starts.collect();
        for (task, run) in &starts {
            let outcome = StartOutcome::Running(self.now);
            self.cell.handle_start_outcome("e", task, *run, outcome, self.now);
        }
        starts
    }

    /// Starts the job's task and lets it fail; returns whether it was started.
    fn fail(&mut self) -> bool {
        let Some((task, run)) = self.start().pop() else { return false };
        self.ends += 1;
        let (sequence, outcome) = (self.ends, RunOutcome::Failed);
        self.poll(vec![EndedRun { sequence, task, run, outcome, checkpoint: String::new() }]);
        true
    }

    /// State that is to be written.
    fn state(&mut self) -> String {
        self.cell.take_changes().0.pop().map(|change| change.state.to_string()).unwrap_or_default()
    }
}

/// Guards against a job that is given up after its first failure, and that goes before all others,
/// because the holder has never read a configuration with its queue.
#[test]
fn a_job_of_a_removed_queue_has_the_terms_of_its_acceptance() {
    let mut replay = Replay::new(9, &[]);
    let terms = Terms::of(&queue(3), 7);
    replay.cell.admit_under(Some(terms), arrival(JOB));
    assert!(replay.fail() && replay.fail());
    let (changes, flush) = replay.cell.take_changes();
    assert_eq!((changes[0].state.to_string(), changes[0].objective), ("running".to_owned(), 1_400));
    replay.cell.flush_done(&flush);
    assert!(replay.fail());
    assert_eq!(replay.state(), "failed", "the third failure is the last");
}

/// Guards against a job that is given up by a configuration that is older than the job.
#[test]
fn a_configuration_older_than_a_job_does_not_decide_about_it() {
    let mut replay = Replay::new(7, &[queue(1)]);
    replay.cell.admit_under(Some(Terms::of(&queue(4), 9)), arrival(JOB));
    assert!(replay.fail());
    assert_eq!(replay.state(), "running");
    replay.cell.replace_configuration(9, [queue(2)].iter(), replay.now);
    assert!(replay.fail());
    assert_eq!(replay.state(), "failed", "the configuration in force decides");
}

/// Guards against a holder that decides by the last configuration with a queue that was removed, for
/// a job that was accepted when the queue was back.
#[test]
fn terms_of_a_removed_queue_do_not_outlast_those_of_a_job() {
    let mut replay = Replay::new(7, &[queue(1)]);
    replay.cell.replace_configuration(9, [].iter(), 100);
    replay.cell.admit_under(Some(Terms::of(&queue(2), 8)), arrival(JOB));
    replay.cell.admit(arrival("00000000000000bb"));
    assert_eq!(replay.cell.max_attempts(JOB), Some(2));
    assert_eq!(replay.cell.max_attempts("00000000000000bb"), Some(1), "nothing else is known");
}

/// Guards against a default in place of terms that are not known: a job that an earlier version has
/// accepted is given up, or its task starts more often than its queue allows.
#[test]
fn a_task_without_known_terms_waits_after_a_failure() {
    for (attempts, expected) in [(2, "running"), (1, "failed")] {
        let mut replay = Replay::new(9, &[]);
        replay.cell.admit(arrival(JOB));
        assert_eq!(replay.cell.max_attempts(JOB), None);
        assert!(replay.fail(), "every queue allows a first attempt");
        assert_eq!(replay.start(), [], "the task waits for the terms");
        replay.cell.take_changes();
        replay.cell.replace_configuration(12, [queue(attempts)].iter(), replay.now);
        let started = replay.start().len();
        assert_eq!(started, usize::from(attempts == 2));
        let state = if started == 1 { "running".to_owned() } else { replay.state() };
        assert_eq!(state, expected);
    }
}

/// Guards against starts without tickets, for good, of a job whose terms are older than its queue's
/// need for them, or not known.
#[test]
fn a_refused_ticket_leads_to_a_query() {
    let cost = AdviceCost { decision: 200, period: 10 };
    let advised = Queue { advice: Some(cost), ..queue(3) };
    for accepted in [None, Some(Terms::of(&queue(3), 7)), Some(Terms::of(&advised, 7))] {
        let mut replay = Replay::new(9, &[]);
        replay.cell.admit_under(accepted, arrival(JOB));
        replay.cell.permit_query(true);
        let first = replay.cell.tick(200, 0).pop();
        if let Some(Order::Start { task, run, ticket, .. }) = &first {
            assert_eq!(ticket, "");
            let refused = StartOutcome::Refused(Refusal::Ticket);
            replay.cell.handle_start_outcome("e", task, *run, refused, 210);
            replay.now = 2_000;
            replay.poll(Vec::new());
            let orders = replay.cell.tick(2_000, 0);
            assert!(matches!(orders[..], [Order::Advise { .. }]), "{accepted:?}: {orders:?}");
        } else {
            assert!(matches!(&first, Some(Order::Advise { cost: 210, .. })), "{first:?}");
            assert!(accepted.is_some_and(|terms| terms.advice.is_some()));
        }
    }
}
