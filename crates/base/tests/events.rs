//! Fails if docs/EVENTS.md and the enum differ in an event, its number or its name.

use base::Event;
use strum::IntoEnumIterator;

#[test]
fn docs_list_each_event_once_under_its_number() {
    let docs = include_str!("../../../docs/EVENTS.md");
    let listed: Vec<(String, String)> = docs
        .lines()
        .filter_map(|line| line.strip_prefix("| E"))
        .filter_map(|line| {
            let mut cells = line.split('|').map(str::trim);
            Some((cells.next()?.to_owned(), cells.next()?.to_owned()))
        })
        .collect();
    let defined: Vec<(String, String)> =
        Event::iter().map(|event| (event.number().to_string(), event.to_string())).collect();
    assert_eq!(listed, defined);
}
