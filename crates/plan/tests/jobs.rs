//! Placement of jobs within quotas and free resources, and quarantine of jobs and workers.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use fleet::{Team, Urgency};
use plan::place::{CorrectionFactors, Job, Resources, WaitReason, Worker, place, remove_cancelled};
use plan::quarantine::{RunResult, evaluate};

fn worker(id: &str, cores: u32) -> Worker {
    let free = Resources { accelerators: 0, millicores: cores * 1_000, memory_mib: 65_536 };
    Worker { id: id.to_owned(), free, schedulable: true }
}

fn job(id: &str, cores: u32) -> Job {
    Job {
        id: id.to_owned(),
        team: "t".to_owned(),
        kind: "k".to_owned(),
        urgency: Urgency::Waiting,
        resources: Resources { accelerators: 0, millicores: cores * 1_000, memory_mib: 1_024 },
        run_time: Duration::from_secs(60),
        deadline: None,
        excluded_workers: Vec::new(),
    }
}

fn teams(cores: u32) -> Vec<Team> {
    vec![Team { name: "t".to_owned(), cores, accelerators: 0 }]
}

fn started_jobs(workers: &[Worker], jobs: &[Job], cores: u32) -> Vec<String> {
    let placement = place(workers, jobs, &teams(cores), &HashMap::new(), &HashMap::new());
    placement.assignments.into_iter().map(|assignment| assignment.job).collect()
}

#[test]
fn urgent_jobs_go_first_then_the_nearest_deadline() {
    let late = Job { deadline: Some(Duration::from_secs(900)), ..job("late", 4) };
    let soon = Job { deadline: Some(Duration::from_secs(90)), ..job("soon", 4) };
    let urgent = Job { urgency: Urgency::Urgent, ..job("urgent", 4) };
    let jobs = [job("whenever", 4), late, soon, urgent];
    assert_eq!(started_jobs(&[worker("w", 8)], &jobs, 100), ["urgent", "soon"]);
}

#[test]
fn a_kind_that_runs_longer_than_declared_starts_earlier() {
    let slow =
        Job { kind: "slow".to_owned(), deadline: Some(Duration::from_secs(900)), ..job("slow", 8) };
    let quick = Job { deadline: Some(Duration::from_secs(600)), ..job("quick", 8) };
    let corrections =
        HashMap::from([("slow".to_owned(), CorrectionFactors { resources: 1.0, run_time: 10.0 })]);
    let (workers, jobs) = ([worker("w", 8)], [slow, quick]);
    let placement = place(&workers, &jobs, &teams(100), &HashMap::new(), &corrections);
    assert_eq!(placement.assignments[0].job, "slow");
    assert_eq!(started_jobs(&workers, &jobs, 100), ["quick"]);
}

#[test]
fn a_job_beyond_its_quota_or_all_workers_waits_with_the_reason() {
    let jobs = [job("a", 4), job("b", 4), job("c", 40)];
    let workers = [worker("w1", 4), worker("w2", 16)];
    let placement = place(&workers, &jobs, &teams(6), &HashMap::new(), &HashMap::new());
    assert_eq!(placement.assignments.len(), 1);
    assert_eq!(
        placement.assignments[0].worker, "w1",
        "the worker with the least free resources that fits"
    );
    let reasons: HashMap<_, _> = placement.waiting.into_iter().collect();
    assert_eq!((reasons["b"], reasons["c"]), (WaitReason::Quota, WaitReason::Quota));
    let placement = place(&workers, &jobs, &teams(100), &HashMap::new(), &HashMap::new());
    assert_eq!(placement.waiting, [("c".to_owned(), WaitReason::TooLarge)]);
}

#[test]
fn a_job_is_not_placed_on_an_excluded_worker() {
    let failed = Job { excluded_workers: vec!["w1".to_owned()], ..job("a", 4) };
    let workers = [worker("w1", 4), worker("w2", 16)];
    let placement = place(&workers, &[failed], &teams(100), &HashMap::new(), &HashMap::new());
    assert_eq!(placement.assignments[0].worker, "w2");
}

#[test]
fn many_cancelled_jobs_are_removed_at_once() {
    let mut queue: Vec<Job> = (0..10_000).map(|at| job(&at.to_string(), 1)).collect();
    let cancelled: HashSet<String> = (0..20_000).step_by(2).map(|at| at.to_string()).collect();
    assert_eq!(remove_cancelled(&mut queue, &cancelled), 5_000);
    assert!(queue.iter().all(|job| !cancelled.contains(&job.id)));
}

#[test]
fn a_failing_worker_and_a_failing_job_are_distinguished() {
    let run = |job: &str, worker: &str, succeeded| {
        let (job, worker) = (job.to_owned(), worker.to_owned());
        RunResult { job, worker, succeeded }
    };
    let mut runs = Vec::new();
    for job in ["a", "b", "c", "d"] {
        runs.push(run(job, "broken", false));
        runs.push(run(job, "w1", true));
    }
    for worker in ["w1", "w2", "w3", "broken"] {
        runs.push(run("hopeless", worker, false));
    }
    runs.push(run("e", "w2", true));
    runs.push(run("f", "w3", true));
    let quarantine = evaluate(&runs);
    assert_eq!(quarantine.workers, HashSet::from(["broken".to_owned()]));
    assert_eq!(quarantine.jobs, HashSet::from(["hopeless".to_owned()]));
}
