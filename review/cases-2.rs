//! Scripts of cases 6 to 10, and `unbegun`, `cancels` and `retired`, which the report names; the arguments are the
//! case and the folder of its record.

#[path = "world-2.rs"]
mod world;

use std::path::Path;

use world::*;

const HOST: &str = "pule25.example";
const PREFIX: &str = "/puxa400/";

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, folder) = (arguments[1].as_str(), Path::new(&arguments[2]));
    let record = Record::new();
    watch(114_000);
    let code = match case {
        "many-ends" => many_ends(&record),
        "many-parts" => many_parts(&record),
        "hopeless" => hopeless(&record),
        "reserved" => reserved(&record),
        "unbegun" => unbegun(&record),
        "retired" => retired(&record),
        "cancels" => cancels(&record),
        "late-job" => late_job(&record),
        _ => 2,
    };
    record.say(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    record.write(&folder.join("record.txt"));
    std::process::exit(code);
}

/// Waits until a condition holds.
fn until(limit_ms: u64, mut condition: impl FnMut() -> bool) -> bool {
    for _ in 0..limit_ms / 20 {
        if condition() {
            return true;
        }
        sleep(20);
    }
    false
}

/// Hands a job in, again after no answer or a 502, 503, 504 or 429, and returns whether it was accepted.
fn submit(record: &Record, nodes: &Nodes, path: &str, body: &str) -> bool {
    for attempt in 0..20 {
        let address = &nodes.addresses[attempt % nodes.addresses.len()];
        let answer = call(address, "POST", HOST, path, body, 3_000);
        record.add(format!(
            "POST {path} to {}: {:?}",
            nodes.names[attempt % nodes.names.len()],
            answer.as_ref().map(|a| a.0)
        ));
        if answer.is_some_and(|(status, _)| status == 200) {
            return true;
        }
        sleep(200);
    }
    false
}

fn state(nodes: &Nodes, n: usize, path: &str) -> String {
    let answer = call(&nodes.addresses[n], "GET", HOST, path, "", 3_000);
    match answer {
        Some((200, body)) => {
            Json::parse(&body).map_or(body, |json| json.get("state").text().to_owned())
        }
        Some((status, _)) => status.to_string(),
        None => "no answer".to_owned(),
    }
}

/// Hands in jobs of one step over eight connections at a time; returns how many were accepted.
fn submit_all(record: &Record, nodes: &Nodes, jobs: u64, spec: &str, step: &str) -> usize {
    let body = format!("{{\"taskSpec\":{},\"steps\":[{{{step}}}]}}", quote(spec));
    std::thread::scope(|scope| {
        let lane = |lane: u64| {
            let body = &body;
            scope.spawn(move || {
                let numbers = (0..jobs).filter(|n| n % 8 == lane);
                numbers
                    .filter(|n| submit(record, nodes, &format!("{PREFIX}{n:016x}"), body))
                    .count()
            })
        };
        let lanes: Vec<_> = (0..8).map(lane).collect();
        lanes.into_iter().map(|lane| lane.join().unwrap_or(0)).sum()
    })
}

/// The process that holds a pool is killed while its executors run many small tasks.
fn many_ends(record: &Record) -> i32 {
    let store = Store::spawn("127.0.0.1:0");
    let fleet = Fleet::spawn(record, &store, &[("filler", 8)], 32_000, 65_536);
    store.write("op", "config", &config(1, &[route("q1", HOST, PREFIX, "filler", 3)], &["filler"]));
    let Some(mut nodes) = Nodes::spawn(6, &store, &fleet.cloud) else { return 2 };
    if !until(15_000, || nodes.holder(&store, "filler").is_some()) {
        return 2;
    }
    sleep(3_000);
    let step = "\"count\":32,\"cpu\":20,\"memoryRequestMb\":20,\"estimatedMs\":1500";
    let accepted = submit_all(record, &nodes, 100, "ms=1500", step);
    record.say(format!("{accepted} jobs of 32 tasks are accepted"));
    if accepted < 100 || !until(10_000, || fleet.all_runs().len() >= 3_200) {
        record.say(format!("{} starts only", fleet.all_runs().len()));
        return 2;
    }
    record.say("3200 tasks have started");
    if !calm() {
        let Some(holder) = nodes.holder(&store, "filler") else { return 2 };
        record.say(format!("{} holds the pool and is killed", nodes.names[holder]));
        nodes.kill(holder);
        sleep(4_000);
        let _ = nodes.start(holder);
    }
    let states = || {
        (0..100_u64)
            .filter(|n| state(&nodes, 1, &format!("{PREFIX}{n:016x}")) == "completed")
            .count()
    };
    let mut completed = 0;
    until(25_000, || {
        completed = states();
        completed == 100
    });
    sleep(2_000);
    record.say(format!("{completed} jobs are completed"));
    let runs = fleet.all_runs();
    for run in &runs {
        record.add(format!("{run:?}"));
    }
    record.say(format!("{} runs of 3200 tasks", runs.len()));
    let breaks = twice(&runs);
    record.say(format!("TWICE was broken {} times", breaks.len()));
    breaks.iter().take(5).for_each(|text| record.say(text.clone()));
    fleet.stop();
    i32::from(!breaks.is_empty())
}

/// Many jobs are cancelled at once.
fn cancels(record: &Record) -> i32 {
    let store = Store::spawn("127.0.0.1:0");
    let fleet = Fleet::spawn(record, &store, &[("filler", 8)], 32_000, 65_536);
    store.write("op", "config", &config(1, &[route("q1", HOST, PREFIX, "filler", 3)], &["filler"]));
    let Some(nodes) = Nodes::spawn(6, &store, &fleet.cloud) else { return 2 };
    if !until(15_000, || nodes.holder(&store, "filler").is_some()) {
        return 2;
    }
    sleep(3_000);
    let jobs = 100_u64;
    let step = "\"count\":32,\"cpu\":40,\"memoryRequestMb\":40,\"estimatedMs\":60000";
    let accepted = submit_all(record, &nodes, jobs, "ms=60000", step);
    if accepted < 100 || !until(15_000, || fleet.all_runs().len() >= 3_200) {
        record.say(format!("{} starts only", fleet.all_runs().len()));
        return 2;
    }
    record.say("100 jobs are accepted, their 3200 tasks have started");
    sleep(2_000);
    // Without the disruption, the client cancels one job.
    let cancelled = if calm() { 1 } else { jobs };
    let acked: Vec<(u64, Option<u64>)> = std::thread::scope(|scope| {
        let lane = |lane: u64| {
            let nodes = &nodes;
            scope.spawn(move || {
                let numbers = (0..cancelled).filter(|n| n % 8 == lane);
                let cancel = |n: u64| {
                    let address = &nodes.addresses[(n % 6) as usize];
                    let answer =
                        call(address, "DELETE", HOST, &format!("{PREFIX}{n:016x}"), "", 3_000);
                    record.add(format!(
                        "DELETE {PREFIX}{n:016x}: {:?}",
                        answer.as_ref().map(|a| a.0)
                    ));
                    (n, answer.filter(|a| a.0 == 200 || a.0 == 410).map(|_| record.now()))
                };
                numbers.map(cancel).collect::<Vec<_>>()
            })
        };
        let lanes: Vec<_> = (0..8).map(lane).collect();
        lanes.into_iter().flat_map(|lane| lane.join().unwrap_or_default()).collect()
    });
    let last = record.now();
    record.say(format!(
        "{} cancels are acknowledged",
        acked.iter().filter(|a| a.1.is_some()).count()
    ));
    for _ in 0..16 {
        sleep(500);
        let at_work = fleet.all_runs().iter().filter(|r| r.ended.is_none()).count();
        record.say(format!(
            "{} ms after the last answer: {at_work} tasks at work",
            record.now() - last
        ));
    }
    let (runs, now) = (fleet.all_runs(), record.now());
    let mut late = 0;
    for (job, at) in acked {
        let Some(at) = at else { continue };
        let id = format!("{job:016x}.");
        // `cancel_ms` is 3,000 and `stopTimeoutMs` is 900.
        for run in runs.iter().filter(|run| run.task.starts_with(&id)) {
            let until = run.ended.map_or(now, |end| end.0);
            if until > at + 3_900 {
                late += 1;
                record.add(format!(
                    "{} ran on for {} ms after the cancel was acknowledged: {run:?}",
                    run.task,
                    until - at
                ));
            }
        }
    }
    record.say(format!(
        "{late} of 3200 tasks ran on for longer than 3900 ms after their cancel was acknowledged"
    ));
    fleet.stop();
    i32::from(late > 0)
}

/// A process stands still with a job that it has yet to read, and the client cancels the job elsewhere.
fn late_job(record: &Record) -> i32 {
    let store = Store::spawn("127.0.0.1:0");
    let fleet = Fleet::spawn(record, &store, &[("filler", 8)], 32_000, 65_536);
    store.write(
        "op",
        "config",
        &config(1, &[route("q1", HOST, "/puxa400/", "filler", 3)], &["filler"]),
    );
    let Some(nodes) = Nodes::spawn(6, &store, &fleet.cloud) else { return 2 };
    let holders =
        |nodes: &Nodes| Some((nodes.holder(&store, "filler")?, nodes.holder(&store, "!fleet")?));
    if !until(15_000, || holders(&nodes).is_some()) {
        return 2;
    }
    sleep(4_000);
    let Some((holder, duties)) = holders(&nodes) else { return 2 };
    let free: Vec<usize> = (0..6).filter(|n| *n != holder && *n != duties).collect();
    let (frozen, other) = (free[0], free[1]);
    let Some(pid) = nodes.pid(frozen) else { return 2 };
    let signal = |name: &str| {
        let _ = std::process::Command::new("kill").args([name, &pid.to_string()]).status();
        record.say(format!("{name} to {}, which holds no lease", nodes.names[frozen]));
    };
    let path = "/puxa400/5c0e7a21d94b36f8";
    let body = "{\"taskSpec\":\"ms=500\",\"steps\":[{\"count\":4,\"cpu\":2300,\"memoryRequestMb\":600,\"estimatedMs\":500}]}";
    if !calm() {
        signal("-STOP");
    }
    let stopped = record.now();
    let answer = call(&nodes.addresses[frozen], "POST", HOST, path, body, 300);
    record.say(format!(
        "POST to {}: {:?}, then the client leaves",
        nodes.names[frozen],
        answer.map(|a| a.0)
    ));
    let answer = call(&nodes.addresses[other], "DELETE", HOST, path, "", 3_000);
    let acked = record.now();
    record.say(format!("DELETE to {}: {:?}", nodes.names[other], answer.as_ref().map(|a| a.0)));
    if !answer.is_some_and(|a| a.0 == 200 || a.0 == 410) {
        return 2;
    }
    sleep((stopped + 4_000).saturating_sub(record.now()));
    if !calm() {
        signal("-CONT");
    }
    sleep(5_000);
    let runs = fleet.all_runs();
    for run in &runs {
        record.say(format!(
            "{} started {} ms after the cancel was answered: {run:?}",
            run.task,
            run.started as i64 - acked as i64
        ));
    }
    record.say(format!("GET from {}: {}", nodes.names[other], state(&nodes, other, path)));
    fleet.stop();
    i32::from(runs.iter().any(|run| run.started > acked + 3_000))
}

/// Jobs wait for the only executor with room, which refuses their starts.
fn unbegun(record: &Record) -> i32 {
    let store = Store::spawn("127.0.0.1:0");
    let fleet = Fleet::spawn(record, &store, &[("filler", 12)], 32_000, 65_536);
    store.write("op", "config", &config(1, &[route("q1", HOST, PREFIX, "filler", 3)], &["filler"]));
    let Some(nodes) = Nodes::spawn(6, &store, &fleet.cloud) else { return 2 };
    if !until(15_000, || nodes.holder(&store, "filler").is_some()) {
        return 2;
    }
    sleep(3_000);
    let lasting = "{\"taskSpec\":\"lasting\",\"steps\":[{\"count\":11,\"cpu\":32000,\"memoryRequestMb\":1024,\"estimatedMs\":1000,\"longRunning\":true}]}";
    if !submit(record, &nodes, &format!("{PREFIX}00000000000000ff"), lasting)
        || !until(5_000, || fleet.all_runs().len() == 11)
    {
        return 2;
    }
    sleep(1_000);
    let busy: Vec<String> = fleet.all_runs().iter().map(|run| run.executor.clone()).collect();
    let Some(free) = fleet.machines.iter().find(|m| !busy.contains(&m.executor())) else {
        return 2;
    };
    let short = "\"count\":1,\"cpu\":32000,\"memoryRequestMb\":600,\"estimatedMs\":3000";
    if submit_all(record, &nodes, 1, "ms=3000", short) != 1
        || !until(2_000, || fleet.all_runs().len() == 12)
    {
        return 2;
    }
    let full = record.now();
    record.say(format!(
        "tasks that last take 11 of 12 executors, and a task of three seconds takes {}",
        free.name
    ));
    let step = "\"count\":1,\"cpu\":1000,\"memoryRequestMb\":600,\"estimatedMs\":60000";
    let accepted = submit_all(record, &nodes, 25, "ms=60000", step);
    let last = record.now();
    record.say(format!("{accepted} jobs are accepted, the first of them before"));
    sleep((full + 2_500).saturating_sub(record.now()));
    let began = record.now();
    if !calm() {
        fleet.set_unhealthy(free, true);
    }
    sleep((last + 5_300).saturating_sub(record.now()));
    let mut broken = false;
    for n in 0..nodes.names.len() {
        let runs = fleet.all_runs();
        let unbegun = (1..25)
            .filter(|job| !runs.iter().any(|r| r.task.starts_with(&format!("{job:016x}."))))
            .count();
        let answer = call(&nodes.addresses[n], "GET", HOST, PREFIX, "", 3_000);
        let pending = answer
            .as_ref()
            .filter(|a| a.0 == 200)
            .and_then(|a| Json::parse(&a.1))
            .map(|json| json.get("pending").number());
        record.say(format!("{}: {answer:?}; {unbegun} jobs that were accepted over five seconds before have not begun", nodes.names[n]));
        broken |= pending.is_some_and(|pending| (pending as usize) * 2 < unbegun);
    }
    record.say(format!("job 1 is shown as {}", state(&nodes, 0, &format!("{PREFIX}{:016x}", 1))));
    sleep((began + 6_400).saturating_sub(record.now()));
    if !calm() {
        fleet.set_unhealthy(free, false);
    }
    fleet.stop();
    i32::from(broken)
}

/// One of twenty jobs of a queue can never be done.
fn hopeless(record: &Record) -> i32 {
    let store = Store::spawn("127.0.0.1:0");
    let pools = [("filler", 8), ("cip", 9), ("label", 11), ("changeover", 12), ("misc", 8)];
    let fleet = Fleet::spawn(record, &store, &pools, 32_000, 65_536);
    let names = pools.map(|pool| pool.0);
    let prefix = |n: usize| if n == 0 { PREFIX.to_owned() } else { format!("/dewu52{n}/") };
    let routes: Vec<String> =
        (0..5).map(|n| route(&format!("q{n}"), HOST, &prefix(n), names[n], 3)).collect();
    store.write("op", "config", &config(1, &routes, &names));
    let Some(nodes) = Nodes::spawn(6, &store, &fleet.cloud) else { return 2 };
    if !until(15_000, || names.iter().all(|name| nodes.holder(&store, name).is_some())) {
        return 2;
    }
    sleep(3_000);
    // A sound job has two steps of four tasks; a hopeless one is as wide as the site's widest.
    let job = |spec: &str, width: u64| {
        let step = "\"cpu\":1000,\"memoryRequestMb\":600,\"estimatedMs\":500";
        format!(
            "{{\"taskSpec\":\"{spec}\",\"steps\":[{{\"count\":{width},{step}}},{{\"count\":4,{step},\"after\":[0]}}]}}"
        )
    };
    let (mut sound, mut bad) = (Vec::new(), 0);
    let start = record.now();
    for n in 0..800_u64 {
        sleep((start + n * 25).saturating_sub(record.now()));
        let path = format!("{PREFIX}{n:016x}");
        let is_hopeless = !calm() && n % 20 == 7;
        let body = if is_hopeless { job("ms=500 fail=1000", 24) } else { job("ms=500", 4) };
        let answer = call(&nodes.addresses[(n % 6) as usize], "POST", HOST, &path, &body, 3_000);
        let kind = if is_hopeless { "hopeless" } else { "sound" };
        record.add(format!("POST {path}, {kind}: {:?}", answer.as_ref().map(|a| a.0)));
        if answer.is_some_and(|a| a.0 == 200) {
            if is_hopeless { bad += 1 } else { sound.push(path) }
        }
    }
    let over = record.now();
    record.say(format!(
        "{} sound jobs and {bad} hopeless ones are accepted; the traffic has ended",
        sound.len()
    ));
    // Since when a sound job has had nothing running, with room for it and over half of the pool free.
    let mut idle_since: std::collections::HashMap<&str, u64> = std::collections::HashMap::new();
    let mut broken = std::collections::BTreeMap::new();
    let mut next = over;
    while record.now() < over + 20_000 {
        sleep(100);
        let now = record.now();
        let runs = fleet.all_runs();
        let at_work = runs.iter().filter(|r| r.ended.is_none()).count();
        let cores = 32 * fleet.size("filler");
        let mut waiting = 0;
        for path in &sound {
            let id = path.rsplit('/').next().unwrap_or_default();
            let of_job: Vec<&Run> = runs.iter().filter(|r| r.task.starts_with(id)).collect();
            let done = of_job.iter().filter(|r| r.ended.is_some_and(|e| e.1 == "done")).count();
            let working = of_job.iter().any(|r| r.ended.is_none());
            if done >= 8 || working || at_work * 2 >= cores || cores < at_work + 8 {
                idle_since.remove(path.as_str());
                continue;
            }
            waiting += 1;
            let since = *idle_since.entry(path).or_insert(now);
            // `finish_s` is 14.
            if now >= over + 14_000 && now >= since + 3_000 && !broken.contains_key(path) {
                broken.insert(
                    path.clone(),
                    format!(
                        "{path} has had nothing running for {} ms, {done} of its 8 tasks are done",
                        now - since
                    ),
                );
            }
        }
        if now >= next {
            next += 1_000;
            record.say(format!("{} ms after the traffic: {at_work} tasks at work on {cores} cores, {waiting} sound jobs have nothing running", now - over));
        }
    }
    broken.values().take(5).for_each(|text| record.say(text.clone()));
    record.say(format!("LOST was broken for {} of {} sound jobs", broken.len(), sound.len()));
    fleet.stop();
    i32::from(!broken.is_empty())
}

/// Tasks that last wait for room on executors that have room for small jobs.
fn reserved(record: &Record) -> i32 {
    let store = Store::spawn("127.0.0.1:0");
    let fleet = Fleet::spawn(record, &store, &[("filler", 8)], 32_000, 65_536);
    store.write("op", "config", &config(1, &[route("q1", HOST, PREFIX, "filler", 3)], &["filler"]));
    let Some(nodes) = Nodes::spawn(6, &store, &fleet.cloud) else { return 2 };
    if !until(15_000, || nodes.holder(&store, "filler").is_some()) {
        return 2;
    }
    sleep(3_000);
    let job = |id: u64, spec: &str, step: &str| {
        let body = format!("{{\"taskSpec\":\"{spec}\",\"steps\":[{{{step}}}]}}");
        submit(record, &nodes, &format!("{PREFIX}{id:016x}"), &body)
    };
    // Two tasks on each executor take 14 of 32 cores and 32,000 of 65,536 MB.
    let wide = "\"count\":16,\"cpu\":7000,\"memoryRequestMb\":16000,\"estimatedMs\":40000,\"antiAffinity\":2";
    if !job(1, "ms=40000", wide) || !until(3_000, || fleet.all_runs().len() == 16) {
        return 2;
    }
    record.say("16 tasks take under half of each of the 8 executors");
    let large = "\"count\":8,\"cpu\":4000,\"memoryRequestMb\":34000,\"estimatedMs\":1000,\"longRunning\":true,\"antiAffinity\":1";
    if !calm() && !job(2, "lasting", large) {
        return 2;
    }
    sleep(500);
    let small = "\"count\":2,\"cpu\":1000,\"memoryRequestMb\":600,\"estimatedMs\":500";
    let ids: Vec<u64> = (16..26).filter(|id| job(*id, "ms=500", small)).collect();
    let over = record.now();
    record.say(format!("{} small jobs are accepted; the traffic has ended", ids.len()));
    let mut seen = 0;
    while record.now() < over + 18_000 {
        sleep(500);
        let runs = fleet.all_runs();
        let begun = |id: &u64| runs.iter().any(|r| r.task.starts_with(&format!("{id:016x}.")));
        seen = ids.iter().filter(|id| begun(id)).count();
        let at_work = runs.iter().filter(|r| r.ended.is_none()).count();
        if (record.now() - over) % 2_000 < 500 {
            record.say(format!(
                "{} ms after the traffic: {at_work} tasks at work, {seen} small jobs have begun",
                record.now() - over
            ));
        }
    }
    for run in fleet.all_runs() {
        record.add(format!("{run:?}"));
    }
    let shown = state(&nodes, 0, &format!("{PREFIX}{:016x}", 16));
    record.say(format!(
        "{} of {} small jobs have had nothing running all the while; the first is shown as {shown}",
        ids.len() - seen,
        ids.len()
    ));
    fleet.stop();
    i32::from(seen < ids.len())
}

/// A service is taken out of the configuration, and its queue goes to another, while its cell has no holder.
fn retired(record: &Record) -> i32 {
    let store = Store::spawn("127.0.0.1:0");
    let fleet = Fleet::spawn(record, &store, &[("filler", 8), ("cip", 8)], 32_000, 65_536);
    let routes = |service: &str| {
        [route("q1", HOST, PREFIX, service, 3), route("q2", HOST, "/dewu524/", "cip", 3)]
    };
    store.write("op", "config", &config(4, &routes("filler"), &["filler", "cip"]));
    let Some(mut nodes) = Nodes::spawn(6, &store, &fleet.cloud) else { return 2 };
    if !until(15_000, || {
        nodes.holder(&store, "filler").is_some() && nodes.holder(&store, "cip").is_some()
    }) {
        return 2;
    }
    sleep(4_000);
    let Some(holder) = nodes.holder(&store, "filler") else { return 2 };
    if !calm() {
        record.say(format!("{} holds the pool and is killed", nodes.names[holder]));
        nodes.kill(holder);
    }
    let other = usize::from(holder == 0);
    let body = "{\"taskSpec\":\"ms=500\",\"steps\":[{\"count\":4,\"cpu\":1000,\"memoryRequestMb\":600,\"estimatedMs\":500}]}";
    let path = |n: &u64| format!("{PREFIX}{n:016x}");
    let accepted = |n: &u64| {
        let answer = call(&nodes.addresses[other], "POST", HOST, &path(n), body, 3_000);
        answer.is_some_and(|answer| answer.0 == 200)
    };
    let ids: Vec<u64> = (0..10).filter(accepted).collect();
    store.write("op", "config", &config(9, &routes("cip"), &["cip"]));
    record.say(format!(
        "{} jobs are accepted, then the service is taken out of the configuration",
        ids.len()
    ));
    sleep(2_000);
    if !calm() {
        let _ = nodes.start(holder);
    }
    sleep(20_000);
    let shown: Vec<String> = ids.iter().map(|n| state(&nodes, other, &path(n))).collect();
    record.say(format!("the jobs are shown as {shown:?}; {} runs in all", fleet.all_runs().len()));
    fleet.stop();
    i32::from(shown.iter().any(|state| state != "completed"))
}

/// The process that holds a pool is killed while the pool has jobs of many queues.
fn many_parts(record: &Record) -> i32 {
    const QUEUES: u64 = 60;
    const JOBS: u64 = 2_400;
    let store = Store::spawn("127.0.0.1:0");
    store.limit_rates();
    let fleet = Fleet::spawn(record, &store, &[("filler", 8)], 32_000, 65_536);
    let prefix = |queue: u64| format!("/puxa{queue:03}/");
    let routes: Vec<String> =
        (0..QUEUES).map(|q| route(&format!("r-{q}"), HOST, &prefix(q), "filler", 3)).collect();
    store.write("op", "config", &config(1, &routes, &["filler"]));
    let Some(mut nodes) = Nodes::spawn(6, &store, &fleet.cloud) else { return 2 };
    if !until(15_000, || nodes.holder(&store, "filler").is_some()) {
        return 2;
    }
    sleep(3_000);
    let step =
        "\"count\":1,\"cpu\":20,\"memoryRequestMb\":20,\"estimatedMs\":1000,\"longRunning\":true";
    let body = format!("{{\"taskSpec\":\"lasting\",\"steps\":[{{{step}}}]}}");
    let accepted: usize = std::thread::scope(|scope| {
        let lane = |lane: u64| {
            let (nodes, body) = (&nodes, &body);
            scope.spawn(move || {
                let hand_in = |n: u64| {
                    sleep(25);
                    submit(record, nodes, &format!("{}{n:016x}", prefix(n % QUEUES)), body)
                };
                (0..JOBS).filter(|n| n % 8 == lane).filter(|n| hand_in(*n)).count()
            })
        };
        let lanes: Vec<_> = (0..8).map(lane).collect();
        lanes.into_iter().map(|lane| lane.join().unwrap_or(0)).sum()
    });
    let at_work = || fleet.all_runs().iter().filter(|r| r.ended.is_none()).count();
    if accepted < 2_400 || !until(10_000, || at_work() == 2_400) {
        record.say(format!("{accepted} jobs accepted, {} tasks at work", at_work()));
        return 2;
    }
    let parts = store.parts("jobs.filler");
    record.say(format!(
        "2400 jobs of 60 queues run, one task that lasts each; their rows are in {parts} parts"
    ));
    let Some(holder) = nodes.holder(&store, "filler") else { return 2 };
    if !calm() {
        record.say(format!("{} holds the pool and is killed", nodes.names[holder]));
        nodes.kill(holder);
        sleep(3_500);
        let _ = nodes.start(holder);
    }
    let start = record.now();
    let refused = store.refused();
    while record.now() < start + 30_000 {
        sleep(3_000);
        let holder = nodes.holder(&store, "filler").map_or("nobody", |n| nodes.names[n].as_str());
        record.say(format!(
            "{} ms later: {} tasks at work, {holder} holds the pool, {} calls of the store refused",
            record.now() - start,
            at_work(),
            store.refused() - refused
        ));
    }
    let now = record.now();
    let mut last: std::collections::HashMap<String, u64> = std::collections::HashMap::new();
    for run in fleet.all_runs() {
        let ended = run.ended.map_or(u64::MAX, |end| end.0);
        let latest = last.entry(run.task).or_default();
        *latest = ended.max(*latest);
    }
    // Six seconds after its last run, and three more.
    let lost = last.values().filter(|ended| **ended < now - 9_000).count();
    record.say(format!("{lost} of 2400 tasks that last have not run for 9 s and more"));
    let path = "/puxa000/00000000000ffff0";
    let answer = call(&nodes.addresses[usize::from(holder == 0)], "POST", HOST, path, &body, 3_000);
    record.say(format!("POST of one more job: {:?}", answer.map(|a| a.0)));
    fleet.stop();
    i32::from(lost > 0)
}
