//! A report of one or several runs of a day: one HTML page that needs nothing beside it, with plots as SVG.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use pinefront_model::scenario::Scenario;
use plotters::prelude::*;

use crate::figures::{Figures, Second};

const SIZE: (u32, u32) = (860, 230);
const BARS: (u32, u32) = (860, 200);
/// One for each run, in turn; told apart also without colour by the legend's order.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(70, 70, 70),
];
const FAULT: RGBColor = RGBColor(240, 200, 90);

/// A line of a plot.
struct Curve<'a> {
    name: String,
    points: Vec<(f64, f64)>,
    colour: &'a RGBColor,
}

fn text(value: &str) -> String {
    value
        .replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Curves over the seconds of a day, with faults as bands behind them.
fn plot(
    curves: &[Curve],
    length: f64,
    faults: &[(f64, f64)],
    most: f64,
    unit: &str,
    legend: SeriesLabelPosition,
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let failed = |problem: &dyn std::fmt::Display| format!("cannot draw a plot: {problem}");
        area.fill(&WHITE).map_err(|problem| failed(&problem))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .margin_right(20)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..length, 0.0..most)
            .map_err(|problem| failed(&problem))?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc(unit)
            .light_line_style(WHITE)
            .draw()
            .map_err(|problem| failed(&problem))?;
        let bands = faults.iter().map(|(from, to)| {
            Rectangle::new(
                [
                    (*from, 0.0),
                    (to.max(from + length / 400.0).min(length), most),
                ],
                FAULT.mix(0.25).filled(),
            )
        });
        chart
            .draw_series(bands)
            .map_err(|problem| failed(&problem))?;
        for curve in curves {
            let style = curve.colour.stroke_width(2);
            chart
                .draw_series(LineSeries::new(curve.points.iter().copied(), style))
                .map_err(|problem| failed(&problem))?
                .label(&curve.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
        }
        chart
            .configure_series_labels()
            .position(legend)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(|problem| failed(&problem))?;
        area.present().map_err(|problem| failed(&problem))?;
    }
    Ok(svg)
}

/// A bar for each server.
fn bars(sends: &[u64], colour: &RGBColor) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, BARS).into_drawing_area();
        let failed = |problem: &dyn std::fmt::Display| format!("cannot draw a plot: {problem}");
        area.fill(&WHITE).map_err(|problem| failed(&problem))?;
        let most = sends.iter().copied().max().unwrap_or(1).max(1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..sends.len().max(1) as f64, 0.0..1.05 * most)
            .map_err(|problem| failed(&problem))?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("server, by number")
            .y_desc("dispatches")
            .light_line_style(WHITE)
            .draw()
            .map_err(|problem| failed(&problem))?;
        let bars = sends.iter().enumerate().map(|(place, count)| {
            let left = place as f64;
            Rectangle::new(
                [(left + 0.1, 0.0), (left + 0.9, *count as f64)],
                colour.filled(),
            )
        });
        chart
            .draw_series(bars)
            .map_err(|problem| failed(&problem))?;
        area.present().map_err(|problem| failed(&problem))?;
    }
    Ok(svg)
}

fn curve<'a>(run: &Figures, number: usize, name: &str, of: impl Fn(&Second) -> f64) -> Curve<'a> {
    let points = run
        .seconds
        .iter()
        .enumerate()
        .map(|(second, figures)| (second as f64, of(figures)));
    let idempotency_key = format!("{} (seed {}){name}", run.who, run.seed);
    Curve {
        name: idempotency_key,
        points: points.collect(),
        colour: &COLOURS[number % COLOURS.len()],
    }
}

fn row(run: &Figures) -> String {
    let rules = match run.rules_broken_count {
        0 => "none".to_owned(),
        count => format!("<b>{count}</b>"),
    };
    format!(
        "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.3}<td>{:.1}<td>{:.1}<td>{:.3}<td>{:.0}<td>{:.1}<td>{rules}<td>{}\n",
        text(&run.who),
        run.seed,
        run.requests.asked,
        run.requests.succeeded,
        run.requests.rejected,
        run.requests.failed,
        run.requests.unanswered + run.requests.unreached,
        run.service,
        run.latency_ms.p50,
        run.latency_ms.p99,
        run.dispatches_per_ticket,
        run.cpu_us_per_ticket,
        run.memory_mb,
        if run.valid { "yes" } else { "<b>no</b>" },
    )
}

/// The whole page.
pub fn page(scenario: &Scenario, runs: &[&Figures]) -> Result<String, String> {
    let length = scenario.length.get_ref().0 as f64 / 1e6;
    let faults: Vec<(f64, f64)> = scenario
        .faults
        .iter()
        .map(|fault| fault.get_ref())
        .map(|fault| {
            (
                fault.at.0 as f64 / 1e6,
                (fault.at.0 + fault.over.0 + fault.duration.0) as f64 / 1e6,
            )
        })
        .collect();
    let each = |name: &str, of: &dyn Fn(&Second) -> f64| -> Vec<Curve> {
        runs.iter()
            .enumerate()
            .map(|(number, run)| curve(run, number, name, of))
            .collect()
    };
    let service = plot(
        &each("", &|second| second.service),
        length,
        &faults,
        1.02,
        "service",
        SeriesLabelPosition::LowerLeft,
    )?;
    let mut times = String::new();
    for (heading, of) in [
        (
            "p50",
            &(|second: &Second| second.p50_ms) as &dyn Fn(&Second) -> f64,
        ),
        ("p90", &|second: &Second| second.p90_ms),
        ("p99", &|second: &Second| second.p99_ms),
    ] {
        let curves = each(&format!(", {heading}"), of);
        let most = curves
            .iter()
            .flat_map(|curve| &curve.points)
            .map(|point| point.1)
            .fold(1.0, f64::max);
        times.push_str(&plot(
            &curves,
            length,
            &faults,
            1.05 * most,
            &format!("{heading}, ms"),
            SeriesLabelPosition::UpperLeft,
        )?);
    }
    let mut out = format!(
        "<!doctype html>\n<html lang=en><head><meta charset=utf-8><title>{name}</title>\n\
         <style>body{{font:15px/1.5 sans-serif;max-width:900px;margin:2em auto;padding:0 1em}}\
         table{{border-collapse:collapse;font-size:13px}}td,th{{border:1px solid #ccc;padding:2px 6px;text-align:right}}\
         td:first-child,th:first-child{{text-align:left}}svg{{max-width:100%;height:auto}}\
         pre{{white-space:pre-wrap;background:#f6f6f6;padding:.5em}}</style></head><body>\n\
         <h1>{name}</h1>\n<p>{about}</p>\n<p>{servers} servers, {balancers} balancers, {rate} tickets a second, {length:.0} s. \
         All servers and clients are stand-ins on this machine. Bands are faults.</p>\n",
        name = text(&scenario.name),
        about = text(&scenario.about),
        servers = scenario.fleet.servers.get_ref(),
        balancers = scenario.balancers.get_ref(),
        rate = scenario.traffic.rate.get_ref(),
    );
    out.push_str(
        "<table><tr><th>who<th>seed<th>asked<th>succeeded<th>dismissed<th>abandoned<th>no answer<th>service<th>p50 ms\
         <th>p99 ms<th>dispatches a ticket<th>CPU us a ticket<th>MB<th>rules broken<th>valid\n",
    );
    runs.iter().for_each(|run| out.push_str(&row(run)));
    // Writing to a text cannot fail.
    let _ = write!(
        out,
        "</table>\n<h2>Service by second</h2>\n{service}\n<h2>Answer times by second</h2>\n{times}\n"
    );
    if !scenario.faults.is_empty() {
        out.push_str("<h2>Faults</h2>\n<ul>\n");
        for fault in scenario.faults.iter().map(|fault| fault.get_ref()) {
            let (at, lasts) = (fault.at.0 as f64 / 1e6, fault.duration.0 as f64 / 1e6);
            let over = if fault.over.0 > 0 {
                format!(", one after the other over {} s", fault.over.0 as f64 / 1e6)
            } else {
                String::new()
            };
            let _ = writeln!(out, "<li>{:?} at {at} s for {lasts} s{over}", fault.kind);
        }
        out.push_str("</ul>\n");
    }
    out.push_str("<h2>Dispatches by server</h2>\n");
    for (number, run) in runs.iter().enumerate() {
        let plot = bars(&run.sends, &COLOURS[number % COLOURS.len()])?;
        let _ = write!(
            out,
            "<p>{} (seed {})</p>\n{plot}\n",
            text(&run.who),
            run.seed
        );
    }
    out.push_str("<h2>Rules</h2>\n");
    for run in runs {
        let record_violation = run
            .rules_broken
            .iter()
            .chain(&run.deaths)
            .map(|line| text(line))
            .collect::<Vec<_>>();
        let said = if record_violation.is_empty() {
            "no rule broken, no balancer died".to_owned()
        } else {
            record_violation.join("\n")
        };
        let _ = writeln!(
            out,
            "<p>{} (seed {})</p><pre>{said}</pre>",
            text(&run.who),
            run.seed
        );
    }
    out.push_str("</body></html>\n");
    Ok(out)
}

/// Writes the page into a folder and says where.
pub fn write(folder: &Path, scenario: &Scenario, runs: &[&Figures]) -> Result<PathBuf, String> {
    let failed = |problem: std::io::Error| format!("{}: {problem}", folder.display());
    std::fs::create_dir_all(folder).map_err(failed)?;
    let path = folder.join("report.html");
    std::fs::write(&path, page(scenario, runs)?).map_err(failed)?;
    Ok(path)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_run_says_cannot_break_the_page() {
        let scenario = pinefront_model::validation::read(
            "name = 'd'\nlength = '2s'\nabout = '<b>&'",
            "d.toml",
        )
        .unwrap();
        let run = Figures {
            who: "a<script>".into(),
            seconds: vec![
                Second {
                    service: 0.5,
                    p50_ms: 1.0,
                    p90_ms: 2.0,
                    p99_ms: 3.0
                };
                2
            ],
            sends: vec![3, 0, 9],
            rules_broken: vec!["rule 1 <i>".into()],
            rules_broken_count: 1,
            ..Figures::default()
        };
        let page = page(&scenario, &[&run]).unwrap();
        assert!(page.contains("&lt;b&gt;&amp;") && page.contains("rule 1 &lt;i&gt;"));
        assert!(!page.contains("<script>") && page.matches("<svg").count() == 5);
    }

    #[test]
    fn an_empty_run_has_a_page_too() {
        let scenario =
            pinefront_model::validation::read("name = 'd'\nlength = '2s'", "d.toml").unwrap();
        assert!(page(&scenario, &[&Figures::default()]).is_ok());
    }
}
