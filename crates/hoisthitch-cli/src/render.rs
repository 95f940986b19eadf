//! Output of values as JSON and of rows as aligned text.

use eyre::Result;
use serde::Serialize;
use serde_json::Value;

/// Prints a value as JSON.
///
/// # Errors
///
/// Fails when the value has no JSON form.
pub fn print_json<T: Serialize>(value: &T) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Prints rows as a table; the names of their fields are the header.
///
/// # Errors
///
/// Fails when a row has no JSON form.
pub fn print_rows<T: Serialize>(rows: &[T]) -> Result<()> {
    let mut lines: Vec<Vec<String>> = Vec::new();
    for row in rows {
        let Value::Object(cells) = serde_json::to_value(row)? else {
            continue;
        };
        if lines.is_empty() {
            lines.push(cells.keys().cloned().collect());
        }
        lines.push(cells.values().map(cell_text).collect());
    }
    let widths = column_widths(&lines);
    for line in lines {
        println!("{}", padded(&line, &widths));
    }
    Ok(())
}

fn cell_text(cell: &Value) -> String {
    match cell {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn column_widths(lines: &[Vec<String>]) -> Vec<usize> {
    let columns = lines.first().map_or(0, Vec::len);
    (0..columns)
        .map(|column| {
            let cells = lines.iter().filter_map(|line| line.get(column));
            cells.map(String::len).max().unwrap_or(0)
        })
        .collect()
}

fn padded(line: &[String], widths: &[usize]) -> String {
    let cells = line.iter().zip(widths);
    let text: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    text.join("  ").trim_end().to_owned()
}
