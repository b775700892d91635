//! A report of one or several runs of a scenario: one self-contained HTML page with plots as SVG.

mod plots;

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use pinefront_model::SECOND;
use pinefront_model::scenario::{Fault, Scenario};
use plots::{Curve, TimePlot, colour, draw_bars};
use plotters::prelude::SeriesLabelPosition;

use crate::error::{Context, Error};
use crate::figures::{Figures, Second};

/// The upper end of the axis of the service score.
const MAX_SERVICE: f64 = 1.02;
/// Space above the greatest value of a plot, as a factor.
const HEADROOM: f64 = 1.05;
const STYLE: &str = "<style>body{font:15px/1.5 sans-serif;max-width:900px;margin:2em auto;padding:0 1em}\
    table{border-collapse:collapse;font-size:13px}td,th{border:1px solid #ccc;padding:2px 6px;text-align:right}\
    td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}\
    pre{white-space:pre-wrap;background:#f6f6f6;padding:.5em}</style>";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// The complete page.
pub fn page(scenario: &Scenario, runs: &[&Figures]) -> Result<String, Error> {
    let sections = [
        head(scenario),
        table(runs),
        service_plot(scenario, runs)?,
        latency_plots(scenario, runs)?,
        faults(scenario),
        attempts(runs)?,
        rules(runs),
        "</body></html>\n".to_owned(),
    ];
    Ok(sections.concat())
}

fn head(scenario: &Scenario) -> String {
    let name = escape(&scenario.name);
    format!(
        "<!doctype html>\n<html lang=en><head><meta charset=utf-8><title>{name}</title>\n\
         {STYLE}</head><body>\n\
         <h1>{name}</h1>\n<p>{about}</p>\n<p>{servers} servers, {balancers} balancers, {rate} requests a second, {length:.0} s. \
         All servers and clients are stand-ins on this machine. Bands are faults.</p>\n",
        about = escape(&scenario.about),
        servers = scenario.fleet.servers.get_ref(),
        balancers = scenario.balancers.get_ref(),
        rate = scenario.traffic.rate.get_ref(),
        length = scenario.length.get_ref().0 as f64 / SECOND as f64,
    )
}

fn table(runs: &[&Figures]) -> String {
    let head = "<table><tr><th>who<th>seed<th>sent<th>succeeded<th>rejected<th>failed<th>no response<th>service<th>p50 ms\
                <th>p99 ms<th>attempts a request<th>CPU us a request<th>MB<th>rules violated<th>valid\n";
    let rows: String = runs.iter().map(|run| row(run)).collect();
    format!("{head}{rows}</table>\n")
}

fn row(run: &Figures) -> String {
    let violations = match run.rule_violation_count {
        0 => "none".to_owned(),
        count => format!("<b>{count}</b>"),
    };
    let counts = &run.counts;
    format!(
        "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.3}<td>{:.1}<td>{:.1}<td>{:.3}<td>{:.0}<td>{:.1}<td>{violations}<td>{}\n",
        escape(&run.who),
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

/// The curves of a figure of all runs.
fn curves(runs: &[&Figures], suffix: &str, figure: impl Fn(&Second) -> f64 + Copy) -> Vec<Curve> {
    let runs = runs.iter().enumerate();
    runs.map(|(number, run)| Curve::new(run, number, suffix, figure))
        .collect()
}

fn service_plot(scenario: &Scenario, runs: &[&Figures]) -> Result<String, Error> {
    let plot = TimePlot {
        scenario,
        curves: &curves(runs, "", |second| second.service),
        max: MAX_SERVICE,
        unit: "service",
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
    figure: impl Fn(&Second) -> f64 + Copy,
) -> Result<String, Error> {
    let curves = curves(runs, &format!(", {name}"), figure);
    let max = curves.iter().map(Curve::max).fold(1.0, f64::max);
    let plot = TimePlot {
        scenario,
        curves: &curves,
        max: HEADROOM * max,
        unit: &format!("{name}, ms"),
        legend: SeriesLabelPosition::UpperLeft,
    };
    plot.draw()
}

fn faults(scenario: &Scenario) -> String {
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
        over => format!(", one after the other over {} s", seconds(over)),
    };
    let kind = fault.kind;
    format!("<li>{kind:?} at {at} s for {duration} s{stagger}\n")
}

fn attempts(runs: &[&Figures]) -> Result<String, Error> {
    let mut section = "<h2>Attempts by server</h2>\n".to_owned();
    for (number, run) in runs.iter().enumerate() {
        let svg = draw_bars(&run.attempts_by_server, *colour(number))?;
        let (who, seed) = (escape(&run.who), run.seed);
        // Writing to a string cannot fail.
        let _ = write!(section, "<p>{who} (seed {seed})</p>\n{svg}\n");
    }
    Ok(section)
}

fn rules(runs: &[&Figures]) -> String {
    let mut section = "<h2>Rules</h2>\n".to_owned();
    for run in runs {
        let problems = run.rule_violations.iter().chain(&run.unexpected_ends);
        let problems: Vec<_> = problems.map(|line| escape(line)).collect();
        let text = if problems.is_empty() {
            "no rule violated, no balancer died".to_owned()
        } else {
            problems.join("\n")
        };
        let (who, seed) = (escape(&run.who), run.seed);
        // Writing to a string cannot fail.
        let _ = writeln!(section, "<p>{who} (seed {seed})</p><pre>{text}</pre>");
    }
    section
}

/// Writes the page into a folder. Returns the path of the file.
pub fn write(folder: &Path, scenario: &Scenario, runs: &[&Figures]) -> Result<PathBuf, Error> {
    std::fs::create_dir_all(folder).context(folder.display())?;
    let path = folder.join("report.html");
    std::fs::write(&path, page(scenario, runs)?).context(folder.display())?;
    Ok(path)
}

#[cfg(test)]
mod tests;
