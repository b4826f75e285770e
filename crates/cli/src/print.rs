//! Prints answers as JSON or as a table.

use serde::Serialize;

/// Prints a value as JSON.
pub fn json(value: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints rows under headings, each column as wide as its widest cell.
pub fn table(headings: &[&str], rows: &[Vec<String>]) {
    let width = |at: usize| {
        let cells = rows.iter().map(|row| row[at].len());
        cells.chain([headings[at].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells = cells.zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(&mut headings.iter().copied());
    for row in rows {
        line(&mut row.iter().map(String::as_str));
    }
}
