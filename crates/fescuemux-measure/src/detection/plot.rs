//! SVG plots of a measurement.

use super::options::Method;
use super::report::Report;
use super::trace::Trace;
use anyhow::{Result, anyhow};
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, SeriesLabelPosition, WHITE,
};
use std::path::Path;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (800, 480);

/// Writes one plot for each trace with faults. Each plot shows the share of detected faults over
/// time for each method, aggregated over all pool sizes.
///
/// # Errors
///
/// Fails when a file cannot be written.
pub fn write_plots(report: &Report, dir: &Path) -> Result<()> {
    std::fs::create_dir_all(dir)?;
    let mut traces: Vec<Trace> =
        report.rows.iter().filter(|row| row.detection_p50.is_some()).map(|row| row.trace).collect();
    traces.dedup();
    for trace in traces {
        let path = dir.join(format!("detection-{}.svg", trace.as_str()));
        draw(report, trace, &path).map_err(|e| anyhow!("{}: {e}", path.display()))?;
    }
    Ok(())
}

fn draw(report: &Report, trace: Trace, path: &Path) -> Result<()> {
    let methods: Vec<Method> = Method::MEASURED.to_vec();
    let max_time = trace.length_secs() - 8.0;
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| anyhow!("{e}"))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("Faults detected, trace {}", trace.as_str()), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..max_time.min(15.0), 0.0..1.02)
        .map_err(|e| anyhow!("{e}"))?;
    chart
        .configure_mesh()
        .x_desc("seconds since the fault")
        .y_desc("share of faults")
        .draw()
        .map_err(|e| anyhow!("{e}"))?;
    for (index, method) in methods.into_iter().enumerate() {
        let points = detected_share(report, trace, method);
        let color = Palette99::pick(index).mix(1.0);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|e| anyhow!("{e}"))?
            .label(method.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| anyhow!("{e}"))?;
    root.present().map_err(|e| anyhow!("{e}"))
}

/// Returns points of seconds since the fault and the share of faults detected by then.
fn detected_share(report: &Report, trace: Trace, method: Method) -> Vec<(f64, f64)> {
    let rows = report.rows.iter().filter(|row| row.trace == trace && row.method == method);
    let mut times = Vec::new();
    let mut missed = 0;
    for row in rows {
        times.extend_from_slice(&row.tally.detection_times);
        missed += row.tally.missed as usize;
    }
    times.sort_unstable_by(f64::total_cmp);
    let fault_count = (times.len() + missed).max(1) as f64;
    let mut points = vec![(0.0, 0.0)];
    // More points than pixels would not be visible.
    let step = (times.len() / PLOT_SIZE.0 as usize).max(1);
    for index in (0..times.len()).step_by(step) {
        points.push((times[index], (index + 1) as f64 / fault_count));
    }
    if let Some(last) = times.last() {
        points.push((*last, times.len() as f64 / fault_count));
    }
    points
}
