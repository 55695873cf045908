//! The report as an SVG bar chart: one group of bars per objective, one bar per window.

use plotters::prelude::*;

use crate::burn::{BurnReport, ObjectiveBurn};

const SIZE_PX: (u32, u32) = (900, 420);
const COLORS: [RGBColor; 3] = [
    RGBColor(200, 60, 40),
    RGBColor(230, 150, 40),
    RGBColor(60, 110, 180),
];
/// Labels of the windows in `burn::WINDOWS_S`.
const WINDOW_LABELS: [&str; 3] = ["5 min", "1 h", "24 h"];
/// Maximum number of objectives in the chart.
const MAX_OBJECTIVES: usize = 8;
/// Lower bound of the upper end of the y axis, so that the budget line at 1 is always visible.
const MIN_AXIS_MAX: f64 = 2.0;

/// Renders the objectives with the highest burn as an SVG chart.
///
/// # Errors
/// The error of the plotting library.
pub fn svg(report: &BurnReport) -> Result<String, String> {
    let lines: Vec<&ObjectiveBurn> = report.lines.iter().take(MAX_OBJECTIVES).collect();
    let mut out = String::new();
    draw(&mut out, &lines).map_err(|e| e.to_string())?;
    Ok(out)
}

#[allow(clippy::cast_precision_loss)]
fn draw(out: &mut String, lines: &[&ObjectiveBurn]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(out, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let axis_max = lines
        .iter()
        .flat_map(|l| l.burn)
        .fold(MIN_AXIS_MAX, f64::max)
        * 1.1;
    let count = lines.len().max(1);
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Burn of objectives (1 uses the budget up)",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..count as f64, 0.0..axis_max)?;
    let axis_label = |x: &f64| {
        let line = lines
            .iter()
            .enumerate()
            .find(|(i, _)| (*i as f64 + 0.5 - x).abs() < 0.01);
        line.map_or_else(String::new, |(_, l)| {
            format!("{} {}", l.institution, l.objective)
        })
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(count * 2 + 1)
        .x_label_formatter(&axis_label)
        .y_desc("burn")
        .draw()?;
    for (w, (color, label)) in COLORS.iter().zip(WINDOW_LABELS).enumerate() {
        let bar = |(i, l): (usize, &&ObjectiveBurn)| {
            let left = i as f64 + 0.15 + 0.24 * w as f64;
            Rectangle::new([(left, 0.0), (left + 0.2, l.burn[w])], color.filled())
        };
        let bars: Vec<_> = lines.iter().enumerate().map(bar).collect();
        let color = *color;
        chart
            .draw_series(bars)?
            .label(label)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled()));
    }
    let budget = [(0.0, 1.0), (count as f64, 1.0)];
    chart
        .draw_series(LineSeries::new(budget, BLACK.stroke_width(1)))?
        .label("budget")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 12, y)], BLACK));
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
