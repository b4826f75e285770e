//! Validation of contracts: invalid ones are rejected with the line and range of each problem.

use fleet::{Domain, Repeat, Urgency, file};

#[test]
fn the_sample_contracts_are_accepted() {
    for text in [
        include_str!("../../../config/stcn.yaml"),
        include_str!("../../../config/vasconcelos.yaml"),
    ] {
        let contract = file::parse("sample", text).unwrap();
        assert_eq!((contract.services.len(), contract.survive), (5, Domain::Rack));
    }
}

#[test]
fn every_violated_rule_is_reported_with_its_line() {
    let text = "customer: Acme
survive: planet
down: 1
services:
  - name: a
    pool: p
    held: 0
    down: 3
    urgency: soon
    deadline_ms: 0
  - name: a
    pool: p
    held: 2
    down: 1
    repeat: sometimes
    body_kib: 99999999
";
    let problems = file::parse("acme.yaml", text).unwrap_err();
    insta::assert_snapshot!(problems, @r"
    acme.yaml:1: customer: is 'Acme', allowed is 1 to 64 of a-z, 0-9 and -
    acme.yaml:2: survive: is 'planet', allowed is none, instance, rack, data-centre
    acme.yaml:7: services[0].held: is 0, allowed is 1 to 10000
    acme.yaml:8: services[0].down: is 3, allowed is 1 to 1
    acme.yaml:9: services[0].urgency: is 'soon', allowed is urgent, waiting, monitor
    acme.yaml:10: services[0].deadline_ms: is 0, allowed is 1 to 3600000
    acme.yaml:15: services[1].repeat: is 'sometimes', allowed is allowed, never
    acme.yaml:16: services[1].body_kib: is 99999999, allowed is 1 to 65536
    acme.yaml:11: services[1].name: 'a' stands twice
    acme.yaml:12: services[1].pool: 'p' stands twice
    ");
}

#[test]
fn a_syntax_error_is_reported_with_its_line() {
    let problems = file::parse("x.yaml", "customer: a\ndown: many\nservices: []\n").unwrap_err();
    insta::assert_snapshot!(problems, @r#"x.yaml:2: (file): down: invalid type: string "many", expected u32 at line 2 column 7"#);
    let problems = file::parse("x.yaml", "customer: a\ndowm: 1\n").unwrap_err();
    assert!(
        problems.to_string().contains("unknown field `downm`")
            || problems.to_string().contains("dowm")
    );
}

#[test]
fn defaults_are_the_safe_choice() {
    let text = "customer: a\ndown: 1\nservices:\n  - {name: s, pool: p, held: 1, down: 1}\n";
    let contract = file::parse("a.yaml", text).unwrap();
    let service = &contract.services[0];
    assert_eq!((service.repeat, service.urgency), (Repeat::Never, Urgency::Waiting));
}
