//! Placement keeps quotas and room, and tells bad jobs from bad workers.

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

fn started(workers: &[Worker], jobs: &[Job], cores: u32) -> Vec<String> {
    let placement = place(workers, jobs, &teams(cores), &HashMap::new(), &HashMap::new());
    placement.assignments.into_iter().map(|start| start.job).collect()
}

#[test]
fn urgent_jobs_go_first_then_the_nearest_deadline() {
    let late = Job { deadline: Some(Duration::from_secs(900)), ..job("late", 4) };
    let soon = Job { deadline: Some(Duration::from_secs(90)), ..job("soon", 4) };
    let urgent = Job { urgency: Urgency::Urgent, ..job("urgent", 4) };
    let jobs = [job("whenever", 4), late, soon, urgent];
    assert_eq!(started(&[worker("w", 8)], &jobs, 100), ["urgent", "soon"]);
}

#[test]
fn a_job_that_runs_longer_than_declared_starts_earlier() {
    let slow =
        Job { kind: "slow".to_owned(), deadline: Some(Duration::from_secs(900)), ..job("slow", 8) };
    let quick = Job { deadline: Some(Duration::from_secs(600)), ..job("quick", 8) };
    let known =
        HashMap::from([("slow".to_owned(), CorrectionFactors { resources: 1.0, run_time: 10.0 })]);
    let (workers, jobs) = ([worker("w", 8)], [slow, quick]);
    let placement = place(&workers, &jobs, &teams(100), &HashMap::new(), &known);
    assert_eq!(placement.assignments[0].job, "slow");
    assert_eq!(started(&workers, &jobs, 100), ["quick"]);
}

#[test]
fn quotas_and_room_are_kept_and_the_reason_is_told() {
    let jobs = [job("a", 4), job("b", 4), job("c", 40)];
    let workers = [worker("w1", 4), worker("w2", 16)];
    let placement = place(&workers, &jobs, &teams(6), &HashMap::new(), &HashMap::new());
    assert_eq!(placement.assignments.len(), 1);
    assert_eq!(placement.assignments[0].worker, "w1", "the fullest worker that fits");
    let waits: HashMap<_, _> = placement.waiting.into_iter().collect();
    assert_eq!((waits["b"], waits["c"]), (WaitReason::Quota, WaitReason::Quota));
    let placement = place(&workers, &jobs, &teams(100), &HashMap::new(), &HashMap::new());
    assert_eq!(placement.waiting, [("c".to_owned(), WaitReason::TooLarge)]);
}

#[test]
fn a_job_avoids_the_workers_that_it_failed_on() {
    let again = Job { excluded_workers: vec!["w1".to_owned()], ..job("a", 4) };
    let workers = [worker("w1", 4), worker("w2", 16)];
    let placement = place(&workers, &[again], &teams(100), &HashMap::new(), &HashMap::new());
    assert_eq!(placement.assignments[0].worker, "w2");
}

#[test]
fn a_flood_of_cancellations_takes_one_pass() {
    let mut queue: Vec<Job> = (0..10_000).map(|at| job(&at.to_string(), 1)).collect();
    let cancelled: HashSet<String> = (0..20_000).step_by(2).map(|at| at.to_string()).collect();
    assert_eq!(remove_cancelled(&mut queue, &cancelled), 5_000);
    assert!(queue.iter().all(|job| !cancelled.contains(&job.id)));
}

#[test]
fn a_worker_that_fails_everything_is_told_from_a_job_that_fails_everywhere() {
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
