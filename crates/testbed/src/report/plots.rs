//! The plots of a report, drawn as SVG.

use pinefront_model::SECOND;
use pinefront_model::scenario::Scenario;
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use crate::error::Error;
use crate::figures::{Figures, SecondFigures};

const WIDTH_PX: u32 = 860;
/// Height of a plot over time, in pixels.
const CURVES_HEIGHT_PX: u32 = 230;
/// Height of a bar chart, in pixels.
const BARS_HEIGHT_PX: u32 = 200;
/// Colours of the runs, by number of the run; repeated from the start for further runs.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(70, 70, 70),
];
const FAULT_COLOUR: RGBColor = RGBColor(240, 200, 90);
/// The minimum width of the band that marks a fault, as a fraction of the scenario's length.
const MIN_BAND_FRACTION: f64 = 1.0 / 400.0;

type DrawingSurface<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

fn plot_error(error: impl std::fmt::Display) -> Error {
    Error::new(format!("cannot draw a plot: {error}"))
}

/// The colour of a run.
pub(super) fn run_colour(run: usize) -> &'static RGBColor {
    &COLOURS[run % COLOURS.len()]
}

/// A curve of a plot over time: a figure of one run for each second.
pub(super) struct Curve {
    name: String,
    /// Pairs of a time in seconds and a value.
    points: Vec<(f64, f64)>,
    colour: &'static RGBColor,
}

impl Curve {
    /// Creates the curve of a figure of a run. `number` is the number of the run.
    pub(super) fn new(
        run: &Figures,
        number: usize,
        suffix: &str,
        figure: impl Fn(&SecondFigures) -> f64,
    ) -> Self {
        let seconds = run.seconds.iter().enumerate();
        let points = seconds.map(|(second, figures)| (second as f64, figure(figures)));
        Self {
            name: format!("{} (seed {}){suffix}", run.subject, run.seed),
            points: points.collect(),
            colour: run_colour(number),
        }
    }

    /// The greatest value, at least 0.
    pub(super) fn max_value(&self) -> f64 {
        self.points.iter().map(|point| point.1).fold(0.0, f64::max)
    }
}

/// The time in which a fault is active, in seconds since the start of the scenario.
struct FaultPeriod {
    from: f64,
    to: f64,
}

/// A plot of curves over the seconds of a scenario, with a shaded band for each fault behind them.
pub(super) struct TimePlot<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) curves: &'a [Curve],
    /// The upper end of the vertical axis.
    pub(super) y_max: f64,
    pub(super) y_label: &'a str,
    pub(super) legend: SeriesLabelPosition,
}

impl TimePlot<'_> {
    /// Draws the plot.
    pub(super) fn draw(self) -> Result<String, Error> {
        let mut svg = String::new();
        let area =
            SVGBackend::with_string(&mut svg, (WIDTH_PX, CURVES_HEIGHT_PX)).into_drawing_area();
        self.draw_on(&area)?;
        drop(area);
        Ok(svg)
    }

    fn draw_on(self, area: &DrawingSurface) -> Result<(), Error> {
        let length = seconds(self.scenario.length.get_ref().0);
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_right(20)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..length, 0.0..self.y_max)
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc(self.y_label)
            .light_line_style(WHITE)
            .draw()
            .map_err(plot_error)?;
        self.draw_fault_bands(&mut chart, length)?;
        self.draw_curves(&mut chart)?;
        chart
            .configure_series_labels()
            .position(self.legend)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(plot_error)?;
        area.present().map_err(plot_error)
    }

    fn draw_fault_bands(&self, chart: &mut Chart, length: f64) -> Result<(), Error> {
        let periods = self.scenario.faults.iter().map(|fault| {
            let fault = fault.get_ref();
            FaultPeriod {
                from: seconds(fault.at.0),
                to: seconds(fault.at.0 + fault.over.0 + fault.duration.0),
            }
        });
        let rectangles = periods.map(|period| {
            let min_to = period.from + length * MIN_BAND_FRACTION;
            let to = period.to.max(min_to).min(length);
            let corners = [(period.from, 0.0), (to, self.y_max)];
            Rectangle::new(corners, FAULT_COLOUR.mix(0.25).filled())
        });
        chart.draw_series(rectangles).map_err(plot_error)?;
        Ok(())
    }

    fn draw_curves(&self, chart: &mut Chart) -> Result<(), Error> {
        for curve in self.curves {
            let style = curve.colour.stroke_width(2);
            chart
                .draw_series(LineSeries::new(curve.points.iter().copied(), style))
                .map_err(plot_error)?
                .label(&curve.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
        }
        Ok(())
    }
}

/// Draws a bar chart of the number of attempts at each server.
pub(super) fn draw_bars(counts: &[u64], colour: RGBColor) -> Result<String, Error> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, BARS_HEIGHT_PX)).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let max = counts.iter().copied().max().unwrap_or(1).max(1) as f64;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..counts.len().max(1) as f64, 0.0..1.05 * max)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("server number")
        .y_desc("attempts")
        .light_line_style(WHITE)
        .draw()
        .map_err(plot_error)?;
    let bars = counts.iter().enumerate().map(|(server, count)| {
        let left = server as f64;
        let corners = [(left + 0.1, 0.0), (left + 0.9, *count as f64)];
        Rectangle::new(corners, colour.filled())
    });
    chart.draw_series(bars).map_err(plot_error)?;
    area.present().map_err(plot_error)?;
    drop(chart);
    drop(area);
    Ok(svg)
}

fn seconds(micros: pinefront_model::Micros) -> f64 {
    micros as f64 / SECOND as f64
}
