//! The report as an SVG plot: latency quantiles, and latency over time.

use super::report::{Report, TargetReport};
use anyhow::anyhow;
use plotters::chart::{ChartBuilder, ChartContext, LabelAreaPosition, SeriesLabelPosition};
use plotters::coord::Shift;
use plotters::coord::combinators::IntoLogRange;
use plotters::coord::ranged1d::{AsRangedCoord, Ranged, ValueFormatter};
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::element::PathElement;
use plotters::prelude::{Cartesian2d, SVGBackend};
use plotters::series::LineSeries;
use plotters::style::{BLACK, Color, RGBColor, ShapeStyle, WHITE};
use std::fmt::Display;

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (900, 900);
/// Smallest latency on the logarithmic axes, in ms.
const FLOOR_MS: f64 = 0.01;
const FONT: &str = "sans-serif";
/// Colors that stay distinguishable with color blindness (Okabe and Ito).
const COLORS: [RGBColor; 5] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// One line of a chart.
struct Line {
    label: String,
    style: ShapeStyle,
    points: Vec<(f64, f64)>,
}

/// Returns the plot as the text of an SVG file.
///
/// # Errors
///
/// Fails when the drawing library does.
pub(crate) fn render(report: &Report) -> anyhow::Result<String> {
    let mut text = String::new();
    let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
    draw(&root, report).map_err(|error| anyhow!("draw the plot: {error}"))?;
    drop(root);
    Ok(text)
}

fn draw(root: &Area<'_>, report: &Report) -> Result<(), String> {
    root.fill(&WHITE).map_err(text)?;
    let (upper, lower) = root.split_vertically(SIZE.1 / 2);
    quantiles(&upper, report)?;
    over_time(&lower, report)?;
    root.present().map_err(text)
}

/// Draws latency by quantile. The axis shows 1/(1-q), so each decade adds a nine.
fn quantiles(area: &Area<'_>, report: &Report) -> Result<(), String> {
    let line = |(index, target): (usize, &TargetReport)| Line {
        label: target.name.clone(),
        style: color(index).stroke_width(2),
        points: target.curve.iter().map(|(inverse, us)| (*inverse, millis(*us))).collect(),
    };
    let lines: Vec<Line> = report.targets.iter().enumerate().map(line).collect();
    let title = format!("Latency by quantile, {} requests/s to each target", report.rate);
    let end = largest(&lines, |point| point.0).max(10.0);
    let x = (1.0..end).log_scale();
    // Latency grows with the quantile, so the lower right corner is free.
    let legend = SeriesLabelPosition::LowerRight;
    chart(area, &title, x, "quantile", &|x| quantile(*x), &lines, legend)
}

/// Draws the median as a thin line and the 99th percentile as a thick one.
fn over_time(area: &Area<'_>, report: &Report) -> Result<(), String> {
    let mut lines = Vec::new();
    for (index, target) in report.targets.iter().enumerate() {
        let points = |value: fn(&super::quantiles::Quantiles) -> u64| {
            target.over_time.iter().map(|p| (p.at_s, millis(value(&p.times)))).collect()
        };
        let median = format!("{} p50", target.name);
        let tail = format!("{} p99", target.name);
        let (thin, thick) = (color(index).stroke_width(1), color(index).stroke_width(3));
        lines.push(Line { label: median, style: thin, points: points(|t| t.p50_us) });
        lines.push(Line { label: tail, style: thick, points: points(|t| t.p99_us) });
    }
    let end = largest(&lines, |point| point.0).max(0.1);
    let seconds = |x: &f64| format!("{x:.1}");
    let legend = SeriesLabelPosition::UpperLeft;
    chart(area, "Latency over time", 0.0..end, "s", &seconds, &lines, legend)
}

fn chart<X>(
    area: &Area<'_>,
    title: &str,
    x: X,
    x_title: &str,
    x_label: &dyn Fn(&f64) -> String,
    lines: &[Line],
    legend: SeriesLabelPosition,
) -> Result<(), String>
where
    X: AsRangedCoord<Value = f64>,
    X::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    let top = largest(lines, |point| point.1).max(FLOOR_MS) * 1.5;
    let bottom = lines.iter().flat_map(|line| &line.points).map(|point| point.1);
    let bottom = bottom.fold(top, f64::min) / 1.5;
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, 20))
        .margin(12)
        .set_label_area_size(LabelAreaPosition::Left, 64)
        .set_label_area_size(LabelAreaPosition::Bottom, 44)
        .build_cartesian_2d(x, (bottom..top).log_scale())
        .map_err(text)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc(x_title)
        .y_desc("latency, ms")
        .x_label_formatter(x_label)
        .y_label_formatter(&|ms| number(*ms))
        .label_style((FONT, 14))
        .draw()
        .map_err(text)?;
    lines.iter().try_for_each(|line| series(&mut chart, line))?;
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .label_font((FONT, 14))
        .position(legend)
        .draw()
        .map_err(text)
}

fn series<'a, X>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, LogCoord>>,
    line: &Line,
) -> Result<(), String>
where
    X: Ranged<ValueType = f64>,
{
    let style = line.style;
    chart
        .draw_series(LineSeries::new(line.points.iter().copied(), style))
        .map_err(text)?
        .label(&line.label)
        .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], style));
    Ok(())
}

type LogCoord = plotters::coord::combinators::LogCoord<f64>;

fn color(index: usize) -> RGBColor {
    COLORS[index % COLORS.len()]
}

fn millis(micros: u64) -> f64 {
    (micros as f64 / 1000.0).max(FLOOR_MS)
}

fn largest(lines: &[Line], value: fn(&(f64, f64)) -> f64) -> f64 {
    lines.iter().flat_map(|line| &line.points).map(value).fold(0.0, f64::max)
}

/// Names the quantile q of 1/(1-q) with as many digits as it needs.
fn quantile(inverse: f64) -> String {
    let decimals = (inverse.log10().floor() as usize).saturating_sub(1);
    format!("{:.decimals$}%", 100.0 * (1.0 - 1.0 / inverse))
}

fn number(ms: f64) -> String {
    if ms >= 10.0 { format!("{ms:.0}") } else { format!("{ms:.2}") }
}

fn text(error: impl Display) -> String {
    error.to_string()
}
