//! Reports as aligned tables and as JSON.

use serde::Serialize;

/// Prints rows as an aligned table, then the same rows as one line of JSON.
///
/// # Errors
///
/// Fails when a row does not serialize to a JSON object.
pub fn print<T: Serialize>(title: &str, rows: &[T]) -> anyhow::Result<()> {
    println!("{}", table(title, rows)?);
    println!("{}", serde_json::to_string(rows)?);
    Ok(())
}

/// Formats rows as an aligned table with a column for each field.
///
/// # Errors
///
/// Fails when a row does not serialize to a JSON object.
pub fn table<T: Serialize>(title: &str, rows: &[T]) -> anyhow::Result<String> {
    let mut lines: Vec<Vec<String>> = vec![];
    for row in rows {
        let value = serde_json::to_value(row)?;
        let Some(fields) = value.as_object() else {
            anyhow::bail!("a row is not an object");
        };
        if lines.is_empty() {
            lines.push(fields.keys().cloned().collect());
        }
        lines.push(fields.values().map(format_cell).collect());
    }
    let columns = lines.first().map_or(0, Vec::len);
    let column_width =
        |column: usize| lines.iter().map(|line| line[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(column_width).collect();
    let mut out = title.to_owned();
    for line in &lines {
        out.push('\n');
        for (text, width) in line.iter().zip(&widths) {
            out.push_str(&format!("{text:<width$}  "));
        }
    }
    Ok(out)
}

fn format_cell(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Null => "never".to_owned(),
        serde_json::Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
