//! Command output, as text for people or JSON for scripts.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::Exit;

/// Destination of a command's results, errors and notes.
pub struct Output<'a> {
    /// Whether results and errors are written as JSON.
    is_json: bool,
    /// Writer for results, and for errors in JSON mode.
    out: Box<dyn Write + 'a>,
    /// Writer for notes, and for errors in text mode.
    err: Box<dyn Write + 'a>,
}

impl<'a> Output<'a> {
    /// Creates an output that writes results to `out` and notes to `err`.
    pub fn new(is_json: bool, out: impl Write + 'a, err: impl Write + 'a) -> Self {
        Self {
            is_json,
            out: Box::new(out),
            err: Box::new(err),
        }
    }

    /// Writes a result: `json` on one line in JSON mode, `text` otherwise.
    pub fn result(&mut self, json: &impl Serialize, text: impl Display) {
        // Write errors are ignored: a closed pipe must not abort the command.
        let _ = if self.is_json {
            let line = serde_json::to_string(json).expect("results encode as JSON");
            writeln!(self.out, "{line}")
        } else {
            writeln!(self.out, "{text}")
        };
        let _ = self.out.flush();
    }

    /// Writes a progress note to the error writer.
    pub fn note(&mut self, text: impl Display) {
        let _ = writeln!(self.err, "buckthornctl: {text}");
    }

    /// Writes the error that ends the command and returns its exit code.
    pub fn fail(&mut self, exit: Exit, error: impl Display) -> Exit {
        let error = format!("{error:#}");
        if self.is_json {
            self.result(&json!({ "error": error, "exit": exit.code() }), "");
        } else {
            self.note(error);
        }
        exit
    }

    /// Writes an error about invalid input and returns [`Exit::BadInput`].
    pub fn bad_input(&mut self, error: &anyhow::Error) -> Exit {
        self.fail(Exit::BadInput, format!("{error:#}"))
    }
}

/// Renders rows with aligned columns, indented and separated by two spaces.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns)
        .map(|column| {
            rows.iter()
                .filter_map(|row| row.get(column))
                .map(|cell| cell.chars().count())
                .max()
                .unwrap_or(0)
        })
        .collect();
    let lines: Vec<String> = rows
        .iter()
        .map(|row| {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            format!("  {}", cells.join("  ")).trim_end().to_owned()
        })
        .collect();
    lines.join("\n")
}
