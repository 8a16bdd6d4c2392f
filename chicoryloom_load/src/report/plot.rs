//! Line plots as SVG.

use std::fmt::Write;

/// Width of a plot, in pixels.
const WIDTH: f64 = 820.0;
/// Height of a plot, in pixels.
const HEIGHT: f64 = 240.0;
/// Space for labels at each side, in pixels.
const MARGIN: f64 = 48.0;
/// Colours of the lines, in turn.
const COLOURS: [&str; 10] = [
    "#1b6ca8", "#d1495b", "#2e933c", "#8e5ea2", "#e08e0b", "#3cb4a5", "#7a4e2d", "#555555",
    "#b5179e", "#90a100",
];

/// One line of a plot.
#[derive(Clone, Debug)]
pub(super) struct Line {
    pub(super) name: String,
    /// Points as time in seconds and value.
    pub(super) points: Vec<(f64, f64)>,
    pub(super) dashed: bool,
}

/// A plot over time.
#[derive(Clone, Debug)]
pub(super) struct Plot {
    pub(super) title: String,
    pub(super) unit: &'static str,
    pub(super) end_s: f64,
    pub(super) lines: Vec<Line>,
    /// Times of events, in seconds.
    pub(super) marks: Vec<f64>,
}

impl Plot {
    /// Returns the plot as an SVG element.
    pub(super) fn svg(&self) -> String {
        let values = self.lines.iter().flat_map(|line| &line.points).map(|point| point.1);
        let top = values.fold(0.0, f64::max).max(1e-9);
        let x = |at_s: f64| MARGIN + at_s / self.end_s * (WIDTH - 2.0 * MARGIN);
        let y = |value: f64| HEIGHT - MARGIN + value / top * (2.0 * MARGIN - HEIGHT);
        let mut svg = format!(
            "<figure><figcaption>{} ({})</figcaption>\
             <svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" width=\"{WIDTH}\" font-size=\"11\">",
            escape(&self.title),
            self.unit,
        );
        for step in 0..=4 {
            let share = f64::from(step) / 4.0;
            let (value, at_s) = (top * share, self.end_s * share);
            let _ = write!(
                svg,
                "<line x1=\"{MARGIN}\" x2=\"{}\" y1=\"{1:.1}\" y2=\"{1:.1}\" stroke=\"#ddd\"/>\
                 <text x=\"2\" y=\"{1:.1}\">{value:.1}</text>\
                 <text x=\"{2:.1}\" y=\"{3}\">{at_s:.0} s</text>",
                WIDTH - MARGIN,
                y(value),
                x(at_s),
                HEIGHT - MARGIN + 16.0,
            );
        }
        for mark in &self.marks {
            let _ = write!(
                svg,
                "<line x1=\"{0:.1}\" x2=\"{0:.1}\" y1=\"{MARGIN}\" y2=\"{1}\" stroke=\"#999\" \
                 stroke-dasharray=\"2 3\"/>",
                x(*mark),
                HEIGHT - MARGIN,
            );
        }
        for (number, line) in self.lines.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            let points: Vec<_> = line
                .points
                .iter()
                .map(|(at_s, value)| format!("{:.1},{:.1}", x(*at_s), y(*value)))
                .collect();
            let dash = if line.dashed { " stroke-dasharray=\"6 4\"" } else { "" };
            let _ = write!(
                svg,
                "<polyline fill=\"none\" stroke=\"{colour}\"{dash} points=\"{}\"/>\
                 <text x=\"{}\" y=\"14\" fill=\"{colour}\">{}</text>",
                points.join(" "),
                MARGIN + number as f64 * 92.0,
                escape(&line.name),
            );
        }
        svg.push_str("</svg></figure>");
        svg
    }
}

/// Escapes a text for HTML.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
