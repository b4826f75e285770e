//! The cases.

use std::thread;
use std::time::Duration;

use crate::base::{Json, n, obj, s};
use crate::platform::{DECISION_MS, EXECUTOR_CPU, Options, PERIOD_MS, VALIDITY_MS, lock};
use crate::{World, config, route};

/// Plays a case; returns whether its rule was broken.
pub fn play(case: &str, folder: &str) -> Result<bool, String> {
    match case {
        "large-job" => large_job(folder),
        "dropped-route" => dropped_route(folder),
        "moved-route" => moved_route(folder),
        "same-id" => same_id(folder),
        "advice" => advice(folder),
        _ => Err(format!("no case {case}")),
    }
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// A step of a job.
fn step(count: u64, cpu: u64, memory: u64, estimate: u64, after: &[u64]) -> Json {
    let mut fields = vec![
        ("count", n(count)),
        ("cpu", n(cpu)),
        ("memoryRequestMb", n(memory)),
        ("estimatedMs", n(estimate)),
    ];
    if !after.is_empty() {
        fields.push(("after", Json::Arr(after.iter().map(|a| n(*a)).collect())));
    }
    obj(&fields)
}

fn job(spec: &str, steps: Vec<Json>) -> Json {
    obj(&[("taskSpec", s(spec)), ("steps", Json::Arr(steps))])
}

/// Id of a job, in a fixed sequence.
fn id(number: u64) -> String {
    let mut x = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5c0e_7a21_d94b_36f8;
    x ^= x >> 29;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    format!("{:016x}", x ^ (x >> 32))
}

/// One job with many tasks runs on an executor that fails all that it starts for some seconds. Jobs
/// of others that come afterwards, when all executors are sound and idle, have to run.
fn large_job(folder: &str) -> Result<bool, String> {
    const TASKS: u64 = 10_000;
    let first = config(7, &[route("r-nbanfqa", "/cufi501/", "huvo11a", 4)], &["huvo11a"]);
    let world = World::start(
        folder,
        &[("huvo11a", 12)],
        &first,
        Options { verbose: false, born: false, tickets: false },
    )?;
    let large = format!("/cufi501/{}", id(0));
    let steps = vec![step(TASKS, 1, 1, 10_000, &[])];
    if !world.submit(0, &large, &job("ms=10000 cpu=1", steps)) {
        return Err("the large job is not accepted".to_owned());
    }
    world.record.say(&format!("the large job of {TASKS} tasks is accepted"));
    let started = world.wait(5.0, |w| w.fleet.executors().iter().any(|e| !e.load().1.is_empty()));
    if !started {
        return Err("the large job does not start".to_owned());
    }
    let busy = world.fleet.executors().into_iter().find(|e| !e.load().1.is_empty());
    let busy = busy.ok_or("no executor is busy")?;
    if world.trouble {
        busy.grey.store(true, std::sync::atomic::Ordering::Relaxed);
        world.record.say(&format!("{} fails all that it starts, for 6.5 s", busy.id));
    }
    sleep(6.5);
    busy.grey.store(false, std::sync::atomic::Ordering::Relaxed);
    let runs = |w: &World, how: &str| {
        let history = lock(&w.fleet.history);
        history.runs.iter().filter(|r| matches!(r.ended, Some((_, end)) if end == how)).count()
    };
    let started = lock(&world.fleet.history).runs.len();
    world.record.say(&format!(
        "{} is sound again; runs started {started}, failed so far {}",
        busy.id,
        runs(&world, "failed")
    ));
    // The runs end, and their tasks run elsewhere.
    sleep(27.0);
    world.record.say(&format!(
        "runs failed {}, done {}; ends not taken note of {}",
        runs(&world, "failed"),
        runs(&world, "done"),
        world.fleet.executors().iter().map(|e| e.open_ends()).sum::<usize>()
    ));
    let mut accepted = Vec::new();
    for number in 1..=96 {
        let path = format!("/cufi501/{}", id(number));
        if world.submit(
            number as usize,
            &path,
            &job("ms=300 cpu=500", vec![step(1, 500, 64, 300, &[])]),
        ) {
            accepted.push((path, 1));
        }
        sleep(0.03);
    }
    world.record.say(&format!("{} small jobs are accepted", accepted.len()));
    // finish_s after the end of the traffic.
    sleep(14.0);
    let lost = without_runs(&world, &accepted);
    for path in &lost {
        let state = world.state(0, path).unwrap_or_default();
        world.record.say(&format!("LOST: {path} is {state}, and nothing of it runs"));
    }
    let is_done = |w: &World, path: &str| w.state(2, path).as_deref() == Some("completed");
    let open = accepted.iter().filter(|(path, _)| !is_done(&world, path)).count();
    world.record.say(&format!("of {} small jobs {open} are not completed", accepted.len()));
    let state = world.state(1, &large).unwrap_or_default();
    world.record.say(&format!("the large job is {state}; runs done {}", runs(&world, "done")));
    world.finish();
    Ok(!lost.is_empty())
}

/// Jobs, given with their numbers of tasks, of which a task's turn has come while nothing of them has
/// run for 3 s, with under half of the capacity in use all the while.
///
/// The first step with a task that has not ended `done` has had its turn.
fn without_runs(world: &World, jobs: &[(String, usize)]) -> Vec<String> {
    let mut done: std::collections::BTreeMap<String, std::collections::BTreeSet<String>> =
        std::collections::BTreeMap::new();
    for run in &lock(&world.fleet.history).runs {
        if matches!(run.ended, Some((_, "done"))) {
            let job = run.task.split('.').next().unwrap_or_default();
            done.entry(job.to_owned()).or_default().insert(run.task.clone());
        }
    }
    let has_turn = |(path, tasks): &&(String, usize)| {
        done.get(&path[9..]).map_or(0, std::collections::BTreeSet::len) < *tasks
    };
    let is_open = |path: &String| {
        let state = world.state(0, path);
        !matches!(state.as_deref(), Some("completed" | "failed" | "cancelled"))
    };
    let open = jobs.iter().filter(has_turn).map(|(path, _)| path.clone());
    let mut open: Vec<String> = open.filter(is_open).collect();
    for _ in 0..16 {
        let executors = world.fleet.executors();
        let loads: Vec<(u64, Vec<String>)> = executors.iter().map(|e| e.load()).collect();
        let used: u64 = loads.iter().map(|(used, _)| used).sum();
        if used * 2 >= executors.len() as u64 * EXECUTOR_CPU {
            return Vec::new();
        }
        open.retain(|path| {
            let job = path.rsplit('/').next().unwrap_or_default();
            !loads.iter().flat_map(|(_, tasks)| tasks).any(|task| task.starts_with(job))
        });
        sleep(0.2);
    }
    open.retain(is_open);
    open
}

/// A route is dropped and comes back while a job of it runs, and the machines are stopped and
/// started in turn meanwhile. A task of the job fails once.
fn dropped_route(folder: &str) -> Result<bool, String> {
    let kept = route("r-anu6wsj", "/puxa400/", "huvo11a", 4);
    let dropped = route("r-nbanfqa", "/cufi501/", "huvo11a", 4);
    let first = config(7, &[kept.clone(), dropped.clone()], &["huvo11a"]);
    let world = World::start(
        folder,
        &[("huvo11a", 6)],
        &first,
        Options { verbose: true, born: false, tickets: false },
    )?;
    let path = format!("/cufi501/{}", id(1));
    // The second step's task fails in its first run.
    let steps = vec![step(1, 500, 64, 30_000, &[]), step(1, 500, 64, 400, &[0])];
    let spec = "ms=30000,400 fail=0,1 cpu=500";
    if !world.submit(0, &path, &job(spec, steps)) {
        return Err("the job is not accepted".to_owned());
    }
    sleep(2.0);
    if world.trouble {
        world.put_config(&config(9, &[kept.clone()], &["huvo11a"]));
        sleep(3.0);
        for node in &world.nodes {
            node.stop_and_start(&world.record);
            world.wait(10.0, |_| node.is_ready());
            sleep(1.3);
        }
    }
    let failed = |w: &World| {
        let history = lock(&w.fleet.history);
        history.runs.iter().filter(|r| matches!(r.ended, Some((_, "failed")))).count()
    };
    if !world.wait(45.0, |w| failed(w) > 0) {
        return Err("the task of the second step does not fail".to_owned());
    }
    sleep(2.0);
    if world.trouble {
        world.put_config(&config(12, &[kept, dropped], &["huvo11a"]));
        sleep(4.0);
    }
    let ended = |w: &World| matches!(w.state(0, &path).as_deref(), Some("completed" | "failed"));
    world.wait(20.0, ended);
    let state = world.state(1, &path).unwrap_or_default();
    let failures = failed(&world);
    world.record.say(&format!("the job is {state:?}; runs that failed: {failures} of 4 allowed"));
    world.finish();
    match state.as_str() {
        "failed" if failures < 4 => Ok(true),
        "completed" => Ok(false),
        other => Err(format!("the job is {other:?}")),
    }
}

/// A route goes to another service while its jobs wait at the first one.
fn moved_route(folder: &str) -> Result<bool, String> {
    let to = |service| {
        let mut moved = route("r-nbanfqa", "/cufi501/", service, 4);
        if let Json::Obj(fields) = &mut moved {
            // Long jobs, which may wait.
            fields
                .iter_mut()
                .filter(|(k, _)| k == "targetDurationMs")
                .for_each(|f| f.1 = n(900_000));
        }
        moved
    };
    let other = route("r-anu6wsj", "/puxa400/", "kafi81c", 4);
    let services = ["huvo11a", "kafi81c"];
    let first = config(7, &[other.clone(), to("huvo11a")], &services);
    let world = World::start(
        folder,
        &[("huvo11a", 3), ("kafi81c", 3)],
        &first,
        Options { verbose: true, born: false, tickets: false },
    )?;
    let mut accepted = Vec::new();
    for number in 1..=24 {
        let path = format!("/cufi501/{}", id(number));
        let steps = vec![step(1, 15_000, 1_000, 60_000, &[])];
        if world.submit(number as usize, &path, &job("ms=60000 cpu=15000", steps)) {
            accepted.push(path);
        }
        sleep(0.1);
    }
    world.record.say(&format!("{} jobs are accepted", accepted.len()));
    sleep(6.0);
    if world.trouble {
        world.put_config(&config(9, &[other, to("kafi81c")], &services));
    }
    // configApplyMs, and the age that the count may have.
    sleep(5.0);
    let mut broken = 0;
    for round in 0..9 {
        // All of them were accepted over visible_ms + 2 s before.
        let started: std::collections::BTreeSet<String> = {
            let history = lock(&world.fleet.history);
            history.runs.iter().filter_map(|r| Some(r.task.split('.').next()?.to_owned())).collect()
        };
        let waiting = accepted.iter().filter(|p| !started.contains(&p[9..])).count() as u64;
        let Some((200, body)) = world.request(round, "GET", "/cufi501/", None) else { continue };
        let pending = body.get("pending").number();
        let is_broken = pending * 2 < waiting;
        broken += u32::from(is_broken);
        world.record.say(&format!(
            "pending {pending}, have not begun {waiting}{}",
            if is_broken { ": MIXED" } else { "" }
        ));
        sleep(0.5);
    }
    world.finish();
    Ok(broken > 0)
}

/// Some executors go down and up by turns, under the ids that they had, while a share of the orders
/// gets no answer and is carried out late.
fn same_id(folder: &str) -> Result<bool, String> {
    let only = config(7, &[route("r-nbanfqa", "/cufi501/", "huvo11a", 4)], &["huvo11a"]);
    let world = World::start(
        folder,
        &[("huvo11a", 60)],
        &only,
        Options { verbose: true, born: true, tickets: false },
    )?;
    let executors = world.fleet.executors();
    let mut accepted = Vec::new();
    let submit = |accepted: &mut Vec<String>, number: u64| {
        let path = format!("/cufi501/{}", id(number));
        let steps = vec![step(60, 100, 20, 4_000, &[])];
        if world.submit(number as usize, &path, &job("ms=4000 cpu=100", steps)) {
            accepted.push(path);
        }
    };
    let flapping: Vec<_> = executors.iter().rev().take(6).collect();
    if world.trouble {
        executors.iter().for_each(|e| e.set_late(55));
        world.record.say("from now on 0.055 of the orders get no answer and are carried out late");
    }
    // Lateness lasts 5.5 s; six of sixty executors flap for 6.5 s, from 1.5 s on.
    for tick in 0..80 {
        for n in 0..if tick == 0 { 36 } else { u64::from(tick % 2 == 0) } {
            submit(&mut accepted, 100 * tick + n);
        }
        if world.trouble {
            match tick {
                15 | 43 | 71 => flapping.iter().for_each(|e| e.crash()),
                29 | 57 => flapping.iter().for_each(|e| world.fleet.come_back(e)),
                55 => executors.iter().for_each(|e| e.set_late(0)),
                _ => {}
            }
        }
        sleep(0.1);
    }
    if world.trouble {
        flapping.iter().for_each(|e| world.fleet.come_back(e));
    }
    world.record.say(&format!("{} jobs are accepted", accepted.len()));
    sleep(14.0);
    let broken = overlaps(&world);
    world.finish();
    Ok(broken > 0)
}

/// Records and counts the tasks of which two runs were at work at the same time.
fn overlaps(world: &World) -> usize {
    let now = world.record.now();
    let mut by_task: std::collections::BTreeMap<String, Vec<crate::platform::RunRecord>> =
        std::collections::BTreeMap::new();
    for run in &lock(&world.fleet.history).runs {
        by_task.entry(run.task.clone()).or_default().push(run.clone());
    }
    let mut broken = 0;
    for (task, runs) in &by_task {
        for (n, first) in runs.iter().enumerate() {
            for second in &runs[n + 1..] {
                let end = |r: &crate::platform::RunRecord| r.ended.map_or(now, |(at, _)| at);
                let overlap = end(first).min(end(second)) - first.started.max(second.started);
                if overlap > 0.0 {
                    broken += 1;
                    world.record.say(&format!(
                        "TWICE: {task}: run {} on {} from {:.3} to {:.3}, run {} on {} from {:.3} to \
                         {:.3}; both for {:.0} ms",
                        first.run,
                        first.executor,
                        first.started,
                        end(first),
                        second.run,
                        second.executor,
                        second.started,
                        end(second),
                        overlap * 1_000.0
                    ));
                }
            }
        }
    }
    broken
}

/// A rack is lost for some seconds under tasks that last, of a queue whose policy limits the executors.
/// Afterwards each of the tasks has to run again.
fn advice(folder: &str) -> Result<bool, String> {
    const JOBS: u64 = 30;
    const TASKS: usize = 5;
    let mut advised = route("r-nbanfqa", "/cufi501/", "huvo11a", 4);
    if let Json::Obj(fields) = &mut advised {
        let times = [
            ("decisionMs", n(DECISION_MS)),
            ("periodMs", n(PERIOD_MS)),
            ("validityMs", n(VALIDITY_MS)),
        ];
        fields.push(("recommendation".to_owned(), obj(&times)));
    }
    let options = Options { verbose: true, born: false, tickets: true };
    let world =
        World::start(folder, &[("huvo11a", 12)], &config(7, &[advised], &["huvo11a"]), options)?;
    for number in 0..JOBS {
        let mut steps = step(TASKS as u64, 400, 500, 90_000, &[]);
        if let Json::Obj(fields) = &mut steps {
            fields.push(("longRunning".to_owned(), Json::Bool(true)));
            fields.push(("antiAffinity".to_owned(), n(1)));
        }
        let path = format!("/cufi501/{}", id(number));
        let job = job("lasts=1 ms=900000 cpu=400", vec![steps]);
        if !world.submit(number as usize, &path, &job) {
            return Err("a job is not accepted".to_owned());
        }
        sleep(0.6);
    }
    let all = JOBS as usize * TASKS;
    let running =
        |w: &World| -> usize { w.fleet.executors().iter().map(|e| e.load().1.len()).sum() };
    if !world.wait(15.0, |w| running(w) == all) {
        return Err(format!("{} of {all} tasks run", running(&world)));
    }
    world.record.say(&format!("all {all} tasks run"));
    sleep(5.0);
    if world.trouble {
        world.record.say("the executors of the rack r1-2 crash, for 6.5 s");
        world.fleet.lose_rack("r1-2");
        sleep(6.5);
        world.fleet.replace_rack("r1-2");
        world.record.say("they are back");
    }
    // Calm for more than 7 s, and 6 s after the last runs.
    for _ in 0..7 {
        sleep(5.0);
        world.record.say(&format!("{} of {all} tasks run", running(&world)));
    }
    let now = world.record.now();
    let mut last_end = std::collections::BTreeMap::new();
    for run in &lock(&world.fleet.history).runs {
        let end = run.ended.map_or(now, |(at, _)| at);
        let last = last_end.entry(run.task.clone()).or_insert(end);
        *last = end.max(*last);
    }
    let lost: Vec<_> = last_end.into_iter().filter(|(_, end)| now - end > 9.0).collect();
    for (task, end) in &lost {
        world.record.say(&format!("LOST: {task} has not run for {:.1} s", now - end));
    }
    world.finish();
    Ok(!lost.is_empty())
}
