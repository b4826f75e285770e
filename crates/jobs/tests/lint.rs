//! Findings in configurations, and differences between versions.

use jobs::difference::{self, Change};
use jobs::lint::{self, Finding, Severity};
use jobs::organisation::Fault;
use jobs::{Configuration, Organisation, Organisations, Pool, Queue, Resources};

fn queue(name: &str, prefix: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        pool: "p".to_owned(),
        max_attempts: 3,
        stretch: 1_500,
        objective_base: 200,
        timeout: 1_000,
        ..Queue::default()
    }
}

fn pool(name: &str, standby: bool) -> Pool {
    Pool { name: name.to_owned(), standby, ..Pool::default() }
}

fn organisation(name: &str) -> Organisation {
    Organisation { name: name.to_owned(), weight: 1_000, limit: Resources::default() }
}

/// A configuration without findings, with these queues.
fn config(queues: impl IntoIterator<Item = Queue>) -> Configuration {
    let mut config =
        Configuration { version: 7, max_body_bytes: 1 << 18, ..Configuration::default() };
    for each in queues {
        config.queues.insert(each.name.clone(), each);
    }
    for each in [pool("p", false), pool("off", true)] {
        config.pools.insert(each.name.clone(), each);
    }
    config
}

fn with_organisations(mut config: Configuration, all: Organisations) -> Configuration {
    config.organisations = Some(all);
    config
}

fn rules(config: &Configuration) -> Vec<&'static str> {
    lint::check(config).iter().map(Finding::rule).collect()
}

/// Guards against findings in a sound configuration, at which operators would stop to look.
#[test]
fn a_sound_configuration_has_no_findings() {
    let mut all = Organisations::default();
    let limit = Resources { cpu: 64_000, memory: 1 << 17, gpus: 0 };
    all.add(Organisation { limit, ..organisation("o") }, &["one", "two"]);
    let public = Queue { public: true, ..queue("b", "/b/") };
    let config = with_organisations(config([queue("a", "/a/"), public]), all);
    assert_eq!(lint::check(&config), []);
}

/// Guards against queues that get no request and are not reported; the matching itself decides.
#[test]
fn a_queue_is_shadowed_exactly_if_it_never_matches() {
    let mut upper = queue("c", "/a/");
    upper.host = "A.Example".to_owned();
    let config = config([queue("a", "/a/"), queue("b", "/a/b/"), upper]);
    assert_eq!(
        lint::check(&config),
        [Finding::ShadowedQueue { queue: "a".to_owned(), by: "c".to_owned() }]
    );
    assert_eq!(config.find("a.example", "/a/1").unwrap().name, "c");
    assert_eq!(config.find("a.example", "/a/b/1").unwrap().name, "b");
}

/// Guards against hosts and prefixes that look right and match no request.
#[test]
fn hosts_with_ports_and_relative_prefixes_never_match() {
    let host = Queue { host: "a.example:80".to_owned(), ..queue("a", "/a/") };
    let config = config([host, queue("b", "b/")]);
    assert_eq!(rules(&config), ["unmatchable-host", "unmatchable-prefix"]);
    assert!(config.find("a.example:80", "/a/1").is_none());
    assert!(config.find("a.example", "/b/1").is_none());
}

/// Guards against queues without machines.
#[test]
fn queues_need_a_pool_that_is_switched_on() {
    let missing = Queue { pool: "q".to_owned(), ..queue("a", "/a/") };
    let standby = Queue { pool: "off".to_owned(), ..queue("b", "/b/") };
    assert_eq!(rules(&config([missing, standby])), ["unknown-pool", "standby-pool", "unused-pool"]);
    assert_eq!(rules(&config([])), ["no-queues", "unused-pool"]);
}

/// Guards against bounds with which no job is accepted or in time.
#[test]
fn bounds_of_zero_are_found() {
    let nothing =
        Queue { max_attempts: 0, stretch: 0, objective_base: 0, timeout: 0, ..queue("a", "/a/") };
    let short = Queue { stretch: 900, objective_base: 0, ..queue("b", "/b/") };
    let fixed = Queue { stretch: 0, ..queue("c", "/c/") };
    let config = Configuration { max_body_bytes: 0, ..config([nothing, short, fixed]) };
    assert_eq!(
        rules(&config),
        ["no-body", "no-attempts", "no-objective", "no-timeout", "short-objective"]
    );
}

/// Guards against a queue that is open to everybody in part, or to nobody.
#[test]
fn access_that_is_hardly_meant_is_found() {
    let public = Queue { public: true, ..queue("open", "/a/open/") };
    let mut config = config([queue("a", "/a/"), public]);
    assert_eq!(lint::check(&config), [], "without organisations no queue needs a key");
    config.organisations = Some(Organisations::default());
    assert_eq!(rules(&config), ["closed-queue", "hidden-by-public"]);
}

/// Guards against organisations whose keys, weight or limits do not work as written.
#[test]
fn faults_of_organisations_are_found() {
    let mut all = Organisations::default();
    all.add(organisation("first"), &["shared"]);
    let limit = Resources { cpu: 64, memory: 16, gpus: 1 };
    all.add(Organisation { weight: 0, limit, ..organisation("second") }, &["shared", ""]);
    let findings = lint::check(&with_organisations(config([queue("a", "/a/")]), all));
    let rules: Vec<&str> = findings.iter().map(Finding::rule).collect();
    assert_eq!(
        rules,
        ["organisation", "organisation", "no-keys", "no-weight", "tiny-limit", "tiny-limit"]
    );
    assert_eq!(findings[1], Finding::Organisation(Fault::EmptyKey("second".to_owned())));
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert!(texts.iter().all(|text| !text.contains("shared")), "a key is shown: {texts:?}");
    let warnings = findings.iter().filter(|f| f.severity() == Severity::Warning).count();
    assert_eq!(warnings, 3);
}

/// Guards against changes that an operator does not see before they take effect.
#[test]
fn all_differences_between_two_versions_are_listed() {
    let mut before = Organisations::default();
    before.add(organisation("kept"), &["stays", "leaves"]);
    before.add(organisation("gone"), &["moves"]);
    let mut after = Organisations::default();
    after.add(Organisation { weight: 2_000, ..organisation("kept") }, &["stays", "moves", "new"]);
    after.add(organisation("more"), &["more"]);
    let old = with_organisations(config([queue("a", "/a/"), queue("b", "/b/")]), before);
    let slower = Queue { timeout: 2_000, public: true, ..queue("a", "/a/") };
    let mut new = with_organisations(config([slower, queue("c", "/c/")]), after);
    new.pools.insert("extra".to_owned(), pool("extra", false));
    let lines: Vec<String> =
        difference::compare(&old, &new).iter().map(ToString::to_string).collect();
    let digest = |key: &str| jobs::organisation::KeyDigest::of(key);
    assert_eq!(
        lines,
        [
            "changed queue a: timeout in ms 1000 -> 2000, public false -> true".to_owned(),
            "added queue c".to_owned(),
            "removed queue b".to_owned(),
            "added pool extra".to_owned(),
            "changed organisation kept: weight in thousandths of a job per second 1000 -> 2000"
                .to_owned(),
            "added organisation more".to_owned(),
            "removed organisation gone".to_owned(),
            format!("changed keys gone: 1 withdrawn ({})", digest("moves")),
            format!(
                "changed keys kept: 2 added ({} {}), 1 withdrawn ({})",
                digest("moves"),
                digest("new"),
                digest("leaves")
            ),
            format!("changed keys more: 1 added ({})", digest("more")),
        ]
    );
    assert_eq!(difference::compare(&old, &old), []);
}

/// Guards against a configuration that turns the need for keys on or off unseen.
#[test]
fn the_need_for_keys_is_a_difference() {
    let old = config([queue("a", "/a/")]);
    let new = with_organisations(old.clone(), Organisations::default());
    let all = difference::compare(&old, &new);
    assert_eq!(all.len(), 1);
    assert_eq!(all[0].change, Change::Changed);
    assert_eq!(all[0].details, ["keys needed no -> yes"]);
}
