//! Plot of response over ideal by percentile.

use std::path::Path;

use geraniumrelay_testkit::load::{LoadReport, RATIO_SCALE};
use hdrhistogram::Histogram;
use plotters::prelude::*;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (800, 480);

/// Plotted percentiles, in tenths of a percent.
const TENTHS: std::ops::RangeInclusive<u32> = 0..=999;

/// Writes an SVG file with one line for urgent jobs and one for all jobs.
pub fn percentiles(path: &Path, report: &LoadReport) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let [urgent, all] = [points(&report.urgent), points(&report.all)];
    let max_ratio = urgent
        .iter()
        .chain(&all)
        .map(|(_, y)| *y)
        .fold(1.1, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption("response over ideal by percentile", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..100.0, 1.0..max_ratio)?;
    chart
        .configure_mesh()
        .x_desc("percentile of complete jobs")
        .y_desc("response / ideal")
        .draw()?;
    chart
        .draw_series(LineSeries::new(urgent, &RED))?
        .label("urgent")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 15, y)], RED));
    chart
        .draw_series(LineSeries::new(all, &BLUE))?
        .label("all")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 15, y)], BLUE));
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    root.present()?;
    Ok(())
}

fn points(ratios: &Histogram<u64>) -> Vec<(f64, f64)> {
    let at = |tenths: u32| {
        let percentile = f64::from(tenths) / 10.0;
        (percentile, ratio_at(ratios, percentile))
    };
    TENTHS.map(at).collect()
}

#[expect(clippy::cast_precision_loss, reason = "thousandths far below 2^52")]
fn ratio_at(ratios: &Histogram<u64>, percentile: f64) -> f64 {
    ratios.value_at_percentile(percentile) as f64 / RATIO_SCALE
}
