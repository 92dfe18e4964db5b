//! SVG plot of a report: latency by quantile, and latency over time.

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
const SIZE_PIXELS: (u32, u32) = (900, 900);
/// Smallest latency on the logarithmic axes, in milliseconds.
const MIN_LATENCY_MS: f64 = 0.01;
const FONT: &str = "sans-serif";
/// Palette of Okabe and Ito, whose colors are distinguishable with color blindness.
const COLORS: [RGBColor; 5] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
];

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A line of a chart.
struct ChartLine {
    label: String,
    style: ShapeStyle,
    points: Vec<(f64, f64)>,
}

/// Returns the plot as the text of an SVG file.
///
/// # Errors
///
/// Fails when the drawing library fails.
pub(crate) fn render(report: &Report) -> anyhow::Result<String> {
    let mut svg = String::new();
    let root = SVGBackend::with_string(&mut svg, SIZE_PIXELS).into_drawing_area();
    draw(&root, report).map_err(|error| anyhow!("cannot draw the plot: {error}"))?;
    drop(root);
    Ok(svg)
}

fn draw(root: &PlotArea<'_>, report: &Report) -> Result<(), String> {
    root.fill(&WHITE).map_err(to_text)?;
    let (upper, lower) = root.split_vertically(SIZE_PIXELS.1 / 2);
    draw_quantiles(&upper, report)?;
    draw_over_time(&lower, report)?;
    root.present().map_err(to_text)
}

/// Draws latency by quantile q. The logarithmic axis shows 1/(1-q), so each decade adds a nine to
/// the percentage.
fn draw_quantiles(area: &PlotArea<'_>, report: &Report) -> Result<(), String> {
    let to_line = |(index, target): (usize, &TargetReport)| ChartLine {
        label: target.name.clone(),
        style: target_color(index).stroke_width(2),
        points: target
            .curve
            .iter()
            .map(|(inverse_tail, us)| (*inverse_tail, millis(*us)))
            .collect(),
    };
    let lines: Vec<ChartLine> = report.targets.iter().enumerate().map(to_line).collect();
    let title = format!("Latency by quantile, {} requests/s to each target", report.rate);
    let end = max_of(&lines, |point| point.0).max(10.0);
    let x = (1.0..end).log_scale();
    // Latency grows with the quantile, so the lower right corner is free.
    let legend = SeriesLabelPosition::LowerRight;
    draw_chart(area, &title, x, "quantile", &|x| quantile_label(*x), &lines, legend)
}

/// Draws the median as a thin line and the 99th percentile as a thick line.
fn draw_over_time(area: &PlotArea<'_>, report: &Report) -> Result<(), String> {
    let mut lines = Vec::new();
    for (index, target) in report.targets.iter().enumerate() {
        let points = |value: fn(&super::quantiles::Quantiles) -> u64| {
            target
                .over_time
                .iter()
                .map(|window| (window.at_s, millis(value(&window.times))))
                .collect()
        };
        let median = format!("{} p50", target.name);
        let tail = format!("{} p99", target.name);
        let (thin, thick) =
            (target_color(index).stroke_width(1), target_color(index).stroke_width(3));
        lines.push(ChartLine { label: median, style: thin, points: points(|times| times.p50_us) });
        lines.push(ChartLine { label: tail, style: thick, points: points(|times| times.p99_us) });
    }
    let end = max_of(&lines, |point| point.0).max(0.1);
    let seconds = |x: &f64| format!("{x:.1}");
    let legend = SeriesLabelPosition::UpperLeft;
    draw_chart(area, "Latency over time", 0.0..end, "s", &seconds, &lines, legend)
}

fn draw_chart<X>(
    area: &PlotArea<'_>,
    title: &str,
    x: X,
    x_title: &str,
    x_label: &dyn Fn(&f64) -> String,
    lines: &[ChartLine],
    legend: SeriesLabelPosition,
) -> Result<(), String>
where
    X: AsRangedCoord<Value = f64>,
    X::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    let top = max_of(lines, |point| point.1).max(MIN_LATENCY_MS) * 1.5;
    let bottom = lines.iter().flat_map(|line| &line.points).map(|point| point.1);
    let bottom = bottom.fold(top, f64::min) / 1.5;
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, 20))
        .margin(12)
        .set_label_area_size(LabelAreaPosition::Left, 64)
        .set_label_area_size(LabelAreaPosition::Bottom, 44)
        .build_cartesian_2d(x, (bottom..top).log_scale())
        .map_err(to_text)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc(x_title)
        .y_desc("latency, ms")
        .x_label_formatter(x_label)
        .y_label_formatter(&|ms| format_ms(*ms))
        .label_style((FONT, 14))
        .draw()
        .map_err(to_text)?;
    lines.iter().try_for_each(|line| draw_line(&mut chart, line))?;
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .label_font((FONT, 14))
        .position(legend)
        .draw()
        .map_err(to_text)
}

fn draw_line<'a, X>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, LogCoord>>,
    line: &ChartLine,
) -> Result<(), String>
where
    X: Ranged<ValueType = f64>,
{
    let style = line.style;
    chart
        .draw_series(LineSeries::new(line.points.iter().copied(), style))
        .map_err(to_text)?
        .label(&line.label)
        .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], style));
    Ok(())
}

type LogCoord = plotters::coord::combinators::LogCoord<f64>;

fn target_color(index: usize) -> RGBColor {
    COLORS[index % COLORS.len()]
}

fn millis(micros: u64) -> f64 {
    (micros as f64 / 1000.0).max(MIN_LATENCY_MS)
}

fn max_of(lines: &[ChartLine], value: fn(&(f64, f64)) -> f64) -> f64 {
    lines.iter().flat_map(|line| &line.points).map(value).fold(0.0, f64::max)
}

/// Formats the quantile q of 1/(1-q) as a percentage with the necessary number of decimals.
fn quantile_label(inverse_tail: f64) -> String {
    let decimals = (inverse_tail.log10().floor() as usize).saturating_sub(1);
    format!("{:.decimals$}%", 100.0 * (1.0 - 1.0 / inverse_tail))
}

fn format_ms(ms: f64) -> String {
    if ms >= 10.0 { format!("{ms:.0}") } else { format!("{ms:.2}") }
}

fn to_text(error: impl Display) -> String {
    error.to_string()
}
