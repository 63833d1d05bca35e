//! HTML page with headings, charts and tables for arbitrary JSON.

use serde_json::Value;

/// Maximum rows of one table; a note states how many more the file has.
const MAX_ROWS: usize = 200;

/// CSS of the page.
const STYLE: &str = "body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}\
table{border-collapse:collapse;margin:1em 0;font-size:0.9em}\
td,th{border:1px solid #ccc;padding:0.2em 0.5em;text-align:right}\
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}";

/// Page under construction.
#[derive(Debug)]
pub(super) struct Page {
    /// HTML so far.
    html: String,
}

impl Page {
    /// Creates a page with a title.
    pub(super) fn new(title: &str) -> Self {
        let title = escape(title);
        let html = format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}\
             </title><style>{STYLE}</style></head><body><h1>{title}</h1>\n"
        );
        Self { html }
    }

    /// Adds a heading.
    pub(super) fn heading(&mut self, text: &str) {
        self.html.push_str(&format!("<h2>{}</h2>\n", escape(text)));
    }

    /// Adds a paragraph.
    pub(super) fn text(&mut self, text: &str) {
        self.html.push_str(&format!("<p>{}</p>\n", escape(text)));
    }

    /// Adds a chart.
    pub(super) fn svg(&mut self, svg: &str) {
        self.html.push_str(svg);
        self.html.push('\n');
    }

    /// Adds a table for each array of objects in a value, and one for its scalar fields.
    pub(super) fn tables(&mut self, value: &Value) {
        let map = match value {
            Value::Object(map) => map,
            Value::Array(rows) => return self.rows("rows", rows),
            _ => return,
        };
        let scalars: Vec<(&String, &Value)> = map.iter().filter(|(_, v)| is_scalar(v)).collect();
        if !scalars.is_empty() {
            let rows = scalars
                .into_iter()
                .map(|(name, v)| vec![name.clone(), format_value(v)]);
            self.table(&["figure".to_owned(), "value".to_owned()], rows);
        }
        for (name, value) in map {
            match value {
                Value::Array(rows) if rows.iter().all(Value::is_object) && !rows.is_empty() => {
                    self.rows(name, rows);
                }
                Value::Object(fields) => {
                    self.rows(name, &[Value::Object(fields.clone())]);
                }
                _ => {}
            }
        }
    }

    /// Adds a table with one row for each object.
    fn rows(&mut self, name: &str, rows: &[Value]) {
        self.html.push_str(&format!("<h3>{}</h3>\n", escape(name)));
        let mut columns: Vec<String> = Vec::new();
        for row in rows.iter().filter_map(Value::as_object) {
            for (column, value) in row {
                if (is_scalar(value) || value.is_array()) && !columns.contains(column) {
                    columns.push(column.clone());
                }
            }
        }
        let cells = rows.iter().take(MAX_ROWS).map(|row| {
            columns
                .iter()
                .map(|column| row.get(column).map(format_value).unwrap_or_default())
                .collect()
        });
        self.table(&columns, cells);
        if rows.len() > MAX_ROWS {
            self.text(&format!("{} more rows in the file.", rows.len() - MAX_ROWS));
        }
    }

    /// Adds a table with a header row.
    fn table(&mut self, columns: &[String], rows: impl Iterator<Item = Vec<String>>) {
        self.html.push_str("<table><tr>");
        for column in columns {
            self.html.push_str(&format!("<th>{}</th>", escape(column)));
        }
        self.html.push_str("</tr>\n");
        for row in rows {
            self.html.push_str("<tr>");
            for cell in row {
                self.html.push_str(&format!("<td>{}</td>", escape(&cell)));
            }
            self.html.push_str("</tr>\n");
        }
        self.html.push_str("</table>\n");
    }

    /// Completes the page and returns its HTML.
    pub(super) fn finish(mut self) -> String {
        self.html.push_str("</body></html>\n");
        self.html
    }
}

/// Whether a value is neither an array nor an object.
fn is_scalar(value: &Value) -> bool {
    !value.is_array() && !value.is_object()
}

/// Formats a value as the text of a cell.
fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(float) if number.is_f64() => format!("{float:.4}"),
            _ => number.to_string(),
        },
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// Escapes the characters that have a meaning in HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
