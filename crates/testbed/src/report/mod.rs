//! The report of one or several runs of a scenario: a self-contained HTML page with SVG plots.

mod plots;

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use pinefront_model::SECOND;
use pinefront_model::scenario::{Fault, Scenario};
use plots::{Curve, TimePlot, draw_bars, run_colour};
use plotters::prelude::SeriesLabelPosition;

use crate::error::{Context, Error};
use crate::figures::{Figures, SecondFigures};

/// The upper end of the axis of the service score, slightly above the maximum score of 1.
const SERVICE_AXIS_MAX: f64 = 1.02;
/// Ratio of the upper end of an axis to the greatest value of the plot.
const AXIS_HEADROOM: f64 = 1.05;
/// The style sheet of the page.
const STYLE: &str = "<style>\
    body{font:15px/1.5 sans-serif;max-width:900px;margin:2em auto;padding:0 1em}\
    table{border-collapse:collapse;font-size:13px}\
    td,th{border:1px solid #ccc;padding:2px 6px;text-align:right}\
    td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}\
    pre{white-space:pre-wrap;background:#f6f6f6;padding:.5em}</style>";

/// Escapes a text for HTML.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Formats the complete page.
pub fn render_page(scenario: &Scenario, runs: &[&Figures]) -> Result<String, Error> {
    let sections = [
        page_header(scenario),
        figure_table(runs),
        service_plot(scenario, runs)?,
        latency_plots(scenario, runs)?,
        fault_list(scenario),
        attempt_charts(runs)?,
        violation_lists(runs),
        "</body></html>\n".to_owned(),
    ];
    Ok(sections.concat())
}

fn page_header(scenario: &Scenario) -> String {
    let name = escape_html(&scenario.name);
    format!(
        "<!doctype html>\n<html lang=en><head><meta charset=utf-8><title>{name}</title>\n\
         {STYLE}</head><body>\n\
         <h1>{name}</h1>\n<p>{about}</p>\n\
         <p>{servers} servers, {balancers} balancers, {rate} requests per second, {length:.0} s. \
         All servers and clients are stand-ins on this machine. \
         Shaded bands in the plots mark faults.</p>\n",
        about = escape_html(&scenario.about),
        servers = scenario.fleet.servers.get_ref(),
        balancers = scenario.balancers.get_ref(),
        rate = scenario.traffic.rate.get_ref(),
        length = scenario.length.get_ref().0 as f64 / SECOND as f64,
    )
}

fn figure_table(runs: &[&Figures]) -> String {
    let head = "<table><tr><th>balancer<th>seed<th>sent<th>succeeded<th>rejected<th>failed\
                <th>no response<th>service<th>p50 ms<th>p99 ms<th>attempts per request\
                <th>CPU us per request<th>memory MB<th>rule violations<th>valid\n";
    let rows: String = runs.iter().map(|run| figure_row(run)).collect();
    format!("{head}{rows}</table>\n")
}

fn figure_row(run: &Figures) -> String {
    let violations = match run.rule_violation_count {
        0 => "none".to_owned(),
        count => format!("<b>{count}</b>"),
    };
    let counts = &run.counts;
    format!(
        "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.3}<td>{:.1}<td>{:.1}\
         <td>{:.3}<td>{:.0}<td>{:.1}<td>{violations}<td>{}\n",
        escape_html(&run.subject),
        run.seed,
        counts.sent,
        counts.succeeded,
        counts.rejected,
        counts.failed,
        counts.unanswered + counts.unreachable,
        run.service,
        run.latency_ms.p50,
        run.latency_ms.p99,
        run.attempts_per_request,
        run.cpu_us_per_request,
        run.memory_mb,
        if run.valid { "yes" } else { "<b>no</b>" },
    )
}

/// The curves of one figure, one curve for each run.
fn curves(
    runs: &[&Figures],
    suffix: &str,
    figure: impl Fn(&SecondFigures) -> f64 + Copy,
) -> Vec<Curve> {
    let runs = runs.iter().enumerate();
    runs.map(|(number, run)| Curve::new(run, number, suffix, figure))
        .collect()
}

fn service_plot(scenario: &Scenario, runs: &[&Figures]) -> Result<String, Error> {
    let plot = TimePlot {
        scenario,
        curves: &curves(runs, "", |second| second.service),
        y_max: SERVICE_AXIS_MAX,
        y_label: "service",
        legend: SeriesLabelPosition::LowerLeft,
    };
    let svg = plot.draw()?;
    Ok(format!("<h2>Service by second</h2>\n{svg}\n"))
}

fn latency_plots(scenario: &Scenario, runs: &[&Figures]) -> Result<String, Error> {
    let plots = [
        latency_plot(scenario, runs, "p50", |second| second.p50_ms)?,
        latency_plot(scenario, runs, "p90", |second| second.p90_ms)?,
        latency_plot(scenario, runs, "p99", |second| second.p99_ms)?,
    ];
    Ok(format!("<h2>Latency by second</h2>\n{}\n", plots.concat()))
}

fn latency_plot(
    scenario: &Scenario,
    runs: &[&Figures],
    name: &str,
    figure: impl Fn(&SecondFigures) -> f64 + Copy,
) -> Result<String, Error> {
    let curves = curves(runs, &format!(", {name}"), figure);
    let max = curves.iter().map(Curve::max_value).fold(1.0, f64::max);
    let plot = TimePlot {
        scenario,
        curves: &curves,
        y_max: AXIS_HEADROOM * max,
        y_label: &format!("{name}, ms"),
        legend: SeriesLabelPosition::UpperLeft,
    };
    plot.draw()
}

fn fault_list(scenario: &Scenario) -> String {
    if scenario.faults.is_empty() {
        return String::new();
    }
    let faults = scenario.faults.iter();
    let items: String = faults.map(|fault| fault_item(fault.get_ref())).collect();
    format!("<h2>Faults</h2>\n<ul>\n{items}</ul>\n")
}

fn fault_item(fault: &Fault) -> String {
    let seconds = |micros: u64| micros as f64 / SECOND as f64;
    let (at, duration) = (seconds(fault.at.0), seconds(fault.duration.0));
    let stagger = match fault.over.0 {
        0 => String::new(),
        over => format!(
            ", targets affected one after the other over {} s",
            seconds(over)
        ),
    };
    let kind = fault.kind;
    format!("<li>{kind:?} at {at} s for {duration} s{stagger}\n")
}

fn attempt_charts(runs: &[&Figures]) -> Result<String, Error> {
    let mut section = "<h2>Attempts by server</h2>\n".to_owned();
    for (number, run) in runs.iter().enumerate() {
        let svg = draw_bars(&run.attempts_by_server, *run_colour(number))?;
        let (subject, seed) = (escape_html(&run.subject), run.seed);
        // Writing to a string cannot fail.
        let _ = write!(section, "<p>{subject} (seed {seed})</p>\n{svg}\n");
    }
    Ok(section)
}

fn violation_lists(runs: &[&Figures]) -> String {
    let mut section = "<h2>Rules</h2>\n".to_owned();
    for run in runs {
        let violations = run.rule_violations.iter().chain(&run.unexpected_ends);
        let violations: Vec<_> = violations.map(|line| escape_html(line)).collect();
        let text = if violations.is_empty() {
            "no rule was violated, and no balancer ended unexpectedly".to_owned()
        } else {
            violations.join("\n")
        };
        let (subject, seed) = (escape_html(&run.subject), run.seed);
        // Writing to a string cannot fail.
        let _ = writeln!(section, "<p>{subject} (seed {seed})</p><pre>{text}</pre>");
    }
    section
}

/// Writes the page into a folder, which is created if necessary. Returns the path of the file.
pub fn write_page(folder: &Path, scenario: &Scenario, runs: &[&Figures]) -> Result<PathBuf, Error> {
    std::fs::create_dir_all(folder)
        .context(format!("cannot create folder {}", folder.display()))?;
    let path = folder.join("report.html");
    std::fs::write(&path, render_page(scenario, runs)?)
        .context(format!("cannot write {}", path.display()))?;
    Ok(path)
}

#[cfg(test)]
mod tests;
