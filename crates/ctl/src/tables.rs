// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Prints tables for people.

use serde_json::Value;

/// Prints rows under a header, each column as wide as its widest cell.
pub fn print(header: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| cell.to_string()).collect();
    print_row(&header, &widths);
    for row in rows {
        print_row(row, &widths);
    }
}

fn print_row(row: &[String], widths: &[usize]) {
    let mut line = String::new();
    for (cell, width) in row.iter().zip(widths) {
        line.push_str(&format!("{cell:<width$}  "));
    }
    println!("{}", line.trim_end());
}

/// Returns the text that a table cell shows for a JSON value.
pub fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(float) if !number.is_u64() && !number.is_i64() => format!("{float:.3}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}

/// Returns the texts that table cells show for the named fields of a JSON object.
pub fn cell_texts(value: &Value, fields: &[&str]) -> Vec<String> {
    fields.iter().map(|field| cell_text(&value[*field])).collect()
}
