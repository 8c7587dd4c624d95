//! Plots of latency distributions in SVG.

use std::path::Path;

use plotters::prelude::*;

/// The sorted latencies of a run, in milliseconds, with the label of their curve.
pub(crate) struct LatencyCurve {
    pub(crate) name: String,
    pub(crate) sorted_ms: Vec<f64>,
}

/// Draws for each curve the share of answers that took longer than each latency, on logarithmic
/// axes.
pub(crate) fn draw(
    path: &Path,
    title: &str,
    curves: &[LatencyCurve],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (960, 600)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((1.0..2000.0).log_scale(), (0.0005..1.0).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("latency, ms")
        .y_desc("share of answers slower")
        .draw()?;
    for (index, curve) in curves.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let count = curve.sorted_ms.len() as f64;
        let points = curve
            .sorted_ms
            .iter()
            .enumerate()
            .map(|(rank, ms)| (ms.max(1.0), 1.0 - (rank as f64) / count));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(&curve.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
