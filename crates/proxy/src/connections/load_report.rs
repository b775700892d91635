//! Load reports in the header fields of endpoints' responses.

use httparse::Header;
use pinefront_policy::LoadReport;

use crate::connections::http_message;

#[cfg(test)]
mod tests;

/// The field that holds a load report.
pub const LOAD_REPORT_FIELD: &str = "x-pressure";

/// The first load report among the fields that holds a value. A malformed report is none, not one
/// of no load.
pub fn load_report(fields: &[Header]) -> Option<LoadReport> {
    http_message::texts(fields, LOAD_REPORT_FIELD)
        .map(parse_load_report)
        .find(|report| *report != LoadReport::default())
}

/// Reads the values of a report; those that are missing or malformed are left out.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for part in text.strip_prefix("TEXT").unwrap_or(text).split(',') {
        let Some((name, value)) = part.split_once('=') else {
            continue;
        };
        let value = value.trim().parse().ok();
        let value = value.filter(|value: &f64| value.is_finite());
        match name.trim() {
            "util" | "busy" => report.utilisation = value,
            "queue" | "q" => report.queue = value,
            "inflight" | "rif" => report.in_flight = value,
            _ => {}
        }
    }
    report
}
