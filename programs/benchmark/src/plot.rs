//! Lines in an SVG file.

use std::path::Path;

use plotters::prelude::*;

/// One line: its name, and its points from left to right.
pub type Line = (String, Vec<(f64, f64)>);

/// What a figure says.
pub struct Figure<'a> {
    pub title: &'a str,
    pub x: &'a str,
    pub y: &'a str,
}

/// Shares of all values that are no larger, as points of a line; at most so many, so that the file stays small.
pub fn shares(mut values: Vec<f64>, points: usize) -> Vec<(f64, f64)> {
    values.sort_by(f64::total_cmp);
    let (count, step) = (
        values.len() as f64,
        values.len().div_ceil(points.max(1)).max(1),
    );
    let last = values.last().map(|v| (*v, 1.0));
    let some = values
        .iter()
        .enumerate()
        .step_by(step)
        .map(|(i, v)| (*v, (i + 1) as f64 / count));
    some.chain(last).collect()
}

/// Draws the lines, each in a colour of its own, with a legend.
///
/// # Errors
/// Where there is nothing to draw, or the file cannot be written.
pub fn draw(path: &Path, figure: &Figure, lines: &[Line]) -> Result<(), String> {
    let all = || lines.iter().flat_map(|(_, points)| points);
    let most = |of: fn(&(f64, f64)) -> f64| all().map(of).fold(f64::NEG_INFINITY, f64::max);
    let (x, y) = (most(|p| p.0), most(|p| p.1));
    if !x.is_finite() || !y.is_finite() {
        return Err(format!("{}: nothing to draw", path.display()));
    }
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(figure.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..x * 1.02, 0.0..y * 1.02)
        .map_err(|e| failed(&e))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(figure.x)
        .y_desc(figure.y)
        .light_line_style(WHITE)
        .draw()
        .map_err(|e| failed(&e))?;
    for (i, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
        let drawn = chart.draw_series(line).map_err(|e| failed(&e))?;
        drawn
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    let legend = &mut chart.configure_series_labels();
    legend
        .position(SeriesLabelPosition::LowerRight)
        .border_style(BLACK)
        .background_style(WHITE);
    legend.draw().map_err(|e| failed(&e))?;
    area.present().map_err(|e| failed(&e))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_rise_to_one_and_a_figure_holds_its_lines() {
        let points = shares((0..1000).map(f64::from).collect(), 50);
        assert!(points.len() <= 52 && points.last() == Some(&(999.0, 1.0)));
        assert!(points.windows(2).all(|w| w[0].1 <= w[1].1));
        let path =
            std::env::temp_dir().join(format!("bitternlatch-plot-{}.svg", std::process::id()));
        let figure = Figure {
            title: "a title",
            x: "seconds",
            y: "share",
        };
        draw(&path, &figure, &[("ten members".into(), points)]).expect("drawn");
        let text = std::fs::read_to_string(&path).expect("a file");
        assert!(
            text.contains("ten members") && text.contains("<polyline"),
            "{text}"
        );
        assert!(draw(&path, &figure, &[]).is_err());
        std::fs::remove_file(&path).expect("removed");
    }
}
