//! The HTML page: headings, plots and tables of whatever the files hold.

use serde_json::Value;

/// Rows of one table; a longer one is cut and says so.
const MAX_ROWS: usize = 200;

/// Style of the page.
const STYLE: &str = "body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}\
table{border-collapse:collapse;margin:1em 0;font-size:0.9em}\
td,th{border:1px solid #ccc;padding:0.2em 0.5em;text-align:right}\
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}";

/// Page that is being written.
#[derive(Debug)]
pub(super) struct Page {
    /// HTML so far.
    html: String,
}

impl Page {
    /// Page with a title.
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

    /// Adds a plot.
    pub(super) fn svg(&mut self, svg: &str) {
        self.html.push_str(svg);
        self.html.push('\n');
    }

    /// Adds a table for each array of objects that a value holds, and one for its plain fields.
    pub(super) fn tables(&mut self, value: &Value) {
        let map = match value {
            Value::Object(map) => map,
            Value::Array(rows) => return self.rows("rows", rows),
            _ => return,
        };
        let plain: Vec<(&String, &Value)> = map.iter().filter(|(_, v)| is_plain(v)).collect();
        if !plain.is_empty() {
            let rows = plain
                .into_iter()
                .map(|(name, v)| vec![name.clone(), shown(v)]);
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

    /// Adds a table of objects.
    fn rows(&mut self, name: &str, rows: &[Value]) {
        self.html.push_str(&format!("<h3>{}</h3>\n", escape(name)));
        let mut columns: Vec<String> = Vec::new();
        for row in rows.iter().filter_map(Value::as_object) {
            for (column, value) in row {
                if (is_plain(value) || value.is_array()) && !columns.contains(column) {
                    columns.push(column.clone());
                }
            }
        }
        let cells = rows.iter().take(MAX_ROWS).map(|row| {
            columns
                .iter()
                .map(|column| row.get(column).map(shown).unwrap_or_default())
                .collect()
        });
        self.table(&columns, cells);
        if rows.len() > MAX_ROWS {
            self.text(&format!("{} more rows in the file.", rows.len() - MAX_ROWS));
        }
    }

    /// Adds a table.
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

    /// Whole page.
    pub(super) fn finish(mut self) -> String {
        self.html.push_str("</body></html>\n");
        self.html
    }
}

/// Whether a value is shown in one cell.
fn is_plain(value: &Value) -> bool {
    !value.is_array() && !value.is_object()
}

/// Value in a cell.
fn shown(value: &Value) -> String {
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

/// Text with the characters that HTML gives a meaning replaced.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
