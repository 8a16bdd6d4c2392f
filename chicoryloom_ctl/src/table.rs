//! Plain-text tables.

use serde_json::Value;

/// Space between two columns.
const COLUMN_GAP: &str = "  ";

/// Renders rows in aligned columns below their titles.
pub(crate) fn render(titles: &[&str], rows: &[Vec<String>]) -> String {
    let titles: Vec<_> = titles.iter().map(|title| (*title).to_owned()).collect();
    let all: Vec<_> = std::iter::once(&titles).chain(rows).collect();
    let width = |column: usize| all.iter().map(|row| row[column].chars().count()).max();
    let widths: Vec<_> = (0..titles.len()).map(|column| width(column).unwrap_or(0)).collect();
    let line = |row: &&Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join(COLUMN_GAP).trim_end().to_owned()
    };
    all.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Returns a value as the text of one cell.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        other => other.to_string(),
    }
}

/// Returns seconds as milliseconds, or `-` for none.
pub(crate) fn millis(value: &Value) -> String {
    value.as_f64().map_or("-".to_owned(), |seconds| format!("{:.1} ms", seconds * 1000.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_are_aligned() {
        let rows = [vec!["a".to_owned(), "bb".to_owned()]];
        assert_eq!(render(&["long", "x"], &rows), "long  x\na     bb");
    }
}
