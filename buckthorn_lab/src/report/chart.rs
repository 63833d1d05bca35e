//! SVG charts of arrays of JSON objects.

use plotters::prelude::*;
use serde_json::Value;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (720, 360);

/// Factor between the top of the y axis and the highest value.
const HEADROOM: f64 = 1.1;

/// Interpolation between the points of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Interpolation {
    /// Straight lines between points.
    Linear,
    /// Each value holds until the next point.
    Steps,
}

/// Chart of fields in an array of JSON objects.
#[derive(Debug)]
pub(super) struct Chart {
    /// Caption of the chart.
    pub(super) title: &'static str,
    /// JSON pointer to the array of rows.
    pub(super) rows: &'static str,
    /// Fields whose values assign a row to a line.
    pub(super) group: &'static [&'static str],
    /// Field on the x axis.
    pub(super) x: &'static str,
    /// Label of the x axis.
    pub(super) x_label: &'static str,
    /// Fields on the y axis, one line each; a name that starts with a slash is a JSON pointer.
    pub(super) ys: &'static [&'static str],
    /// Label of the y axis.
    pub(super) y_label: &'static str,
    /// Interpolation between the points of each line.
    pub(super) interpolation: Interpolation,
}

/// One line of a chart.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    /// Name in the legend.
    name: String,
    /// Points in the order of the file.
    points: Vec<(f64, f64)>,
}

impl Chart {
    /// Draws the chart as SVG; `None` when `value` has none of its fields.
    ///
    /// # Errors
    ///
    /// Fails when the chart cannot be drawn.
    pub(super) fn draw(&self, value: &Value) -> anyhow::Result<Option<String>> {
        let lines = self.lines(value);
        let points = || lines.iter().flat_map(|line| &line.points);
        let max = |values: Vec<f64>| values.into_iter().fold(0.0, f64::max);
        let (max_x, max_y) = (
            max(points().map(|p| p.0).collect()),
            max(points().map(|p| p.1).collect()),
        );
        if points().count() == 0 {
            return Ok(None);
        }
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            area.fill(&WHITE).map_err(to_error)?;
            let mut chart = ChartBuilder::on(&area)
                .caption(self.title, ("sans-serif", 18))
                .margin(10)
                .x_label_area_size(40)
                .y_label_area_size(60)
                .build_cartesian_2d(
                    0.0..max_x.max(f64::MIN_POSITIVE),
                    0.0..(max_y * HEADROOM).max(0.01),
                )
                .map_err(to_error)?;
            chart
                .configure_mesh()
                .x_desc(self.x_label)
                .y_desc(self.y_label)
                .draw()
                .map_err(to_error)?;
            for (index, line) in lines.iter().enumerate() {
                let color = Palette99::pick(index).to_rgba();
                chart
                    .draw_series(LineSeries::new(line.points.iter().copied(), color))
                    .map_err(to_error)?
                    .label(line.name.as_str())
                    .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
                let dots = line
                    .points
                    .iter()
                    .map(|&p| Circle::new(p, 3, color.filled()));
                chart.draw_series(dots).map_err(to_error)?;
            }
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw()
                .map_err(to_error)?;
            area.present().map_err(to_error)?;
        }
        Ok(Some(svg))
    }

    /// Collects the lines of the chart.
    fn lines(&self, value: &Value) -> Vec<Line> {
        let rows = value.pointer(self.rows).and_then(Value::as_array);
        let mut lines: Vec<Line> = Vec::new();
        for row in rows.into_iter().flatten() {
            let Some(x) = row.get(self.x).and_then(Value::as_f64) else {
                continue;
            };
            for y in self.ys {
                let Some(value) = field(row, y).and_then(Value::as_f64) else {
                    continue;
                };
                let name = self.name(row, y);
                let index = lines.iter().position(|line| line.name == name);
                let index = index.unwrap_or_else(|| {
                    lines.push(Line {
                        name,
                        points: Vec::new(),
                    });
                    lines.len() - 1
                });
                self.push(&mut lines[index].points, (x, value));
            }
        }
        lines
    }

    /// Returns the name of the line for a field of a row.
    fn name(&self, row: &Value, y: &str) -> String {
        let fields = self.group.iter().filter_map(|field| row.get(*field));
        let mut words: Vec<String> = fields
            .map(|value| match value {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            })
            .collect();
        if self.group.is_empty() || self.ys.len() > 1 {
            words.push(y.to_owned());
        }
        words.join(" ")
    }

    /// Adds a point to a line; for steps, also the corner before it.
    fn push(&self, points: &mut Vec<(f64, f64)>, point: (f64, f64)) {
        if let (Interpolation::Steps, Some(&(_, before))) = (self.interpolation, points.last()) {
            points.push((point.0, before));
        }
        points.push(point);
    }
}

/// Returns the value of a field or, when the name starts with a slash, of a JSON pointer.
fn field<'a>(row: &'a Value, name: &str) -> Option<&'a Value> {
    if name.starts_with('/') {
        row.pointer(name)
    } else {
        row.get(name)
    }
}

/// Wraps an error of the drawing library.
fn to_error(error: impl std::fmt::Display) -> anyhow::Error {
    anyhow::anyhow!("the chart could not be drawn: {error}")
}
