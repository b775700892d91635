//! Load reports in the header fields of endpoint responses.

use httparse::Header;
use pinefront_policy::LoadReport;

use crate::connections::http_message;

#[cfg(test)]
mod tests;

/// Header field that holds a load report.
pub const LOAD_REPORT_FIELD: &str = "x-pressure";

/// Returns the first load report that contains a valid value. A malformed report counts as no
/// report, not as a report of zero load.
pub fn load_report(fields: &[Header]) -> Option<LoadReport> {
    http_message::field_values(fields, LOAD_REPORT_FIELD)
        .map(parse_load_report)
        .find(|report| *report != LoadReport::default())
}

/// Parses the values of a report; missing and malformed values are left out.
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
