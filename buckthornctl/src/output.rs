//! Text for people and JSON for scripts.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::Exit;

/// Where a command writes.
pub struct Output<'a> {
    /// Whether results are JSON.
    is_json: bool,
    /// Results.
    out: Box<dyn Write + 'a>,
    /// Errors and notes in text.
    err: Box<dyn Write + 'a>,
}

impl<'a> Output<'a> {
    /// Output to the given writers.
    pub fn new(is_json: bool, out: impl Write + 'a, err: impl Write + 'a) -> Self {
        Self {
            is_json,
            out: Box::new(out),
            err: Box::new(err),
        }
    }

    /// Writes a result: one line of JSON, or the text.
    pub fn result(&mut self, json: &impl Serialize, text: impl Display) {
        // A reader that has gone ends the output and not the command.
        let _ = if self.is_json {
            let line = serde_json::to_string(json).expect("results encode as JSON");
            writeln!(self.out, "{line}")
        } else {
            writeln!(self.out, "{text}")
        };
        let _ = self.out.flush();
    }

    /// Writes a note on progress.
    pub fn note(&mut self, text: impl Display) {
        let _ = writeln!(self.err, "buckthornctl: {text}");
    }

    /// Writes an error that ends the command.
    pub fn fail(&mut self, exit: Exit, error: impl Display) -> Exit {
        let error = format!("{error:#}");
        if self.is_json {
            self.result(&json!({ "error": error, "exit": exit.code() }), "");
        } else {
            self.note(error);
        }
        exit
    }

    /// Writes what is wrong with the input.
    pub fn bad_input(&mut self, error: &anyhow::Error) -> Exit {
        self.fail(Exit::BadInput, format!("{error:#}"))
    }
}

/// Rows with aligned columns, two spaces between them.
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
