//! Output as JSON or as a table.

use serde::Serialize;

/// Prints a value as JSON.
pub fn json(value: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints a table whose columns are as wide as their widest cells.
pub fn table(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([headings[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let print_line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells = cells.zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    };
    print_line(&mut headings.iter().copied());
    for row in rows {
        print_line(&mut row.iter().map(String::as_str));
    }
}
