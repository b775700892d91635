//! The figures of a run as a table of plain text.

use std::fmt::Write as _;

use super::{Figures, Times};
use crate::cluster::distribution;
use crate::fleet::FleetReport;
use crate::fleet::leases::LeaseReport;

/// Lines with a name and a text.
struct Table(String);

impl Table {
    fn line(&mut self, name: &str, text: impl AsRef<str>) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.0, "  {name:<16} {}", text.as_ref());
    }

    /// One line with the name for each text.
    fn lines<'a>(&mut self, name: &str, texts: impl IntoIterator<Item = &'a String>) {
        for text in texts {
            self.line(name, text);
        }
    }
}

impl Figures {
    /// The table, one line for each figure.
    pub fn table(&self) -> String {
        let mut table = Table(String::new());
        self.add_requests(&mut table);
        self.add_costs(&mut table);
        if let Some(cluster) = &self.cluster {
            add_cluster(&mut table, cluster);
        }
        self.add_violations(&mut table);
        table.0
    }

    fn add_requests(&self, table: &mut Table) {
        let counts = &self.counts;
        let text = format!(
            "{} sent, {} succeeded, {} rejected, {} failed",
            counts.sent, counts.succeeded, counts.rejected, counts.failed
        );
        table.line("requests", text);
        if counts.unanswered + counts.disconnected + counts.unreachable > 0 {
            let text = format!(
                "{} unanswered, {} disconnected by their clients, {} reached no balancer",
                counts.unanswered, counts.disconnected, counts.unreachable
            );
            table.line("", text);
        }
        let Times { p50, p90, p99, max } = self.latency_ms;
        let text = format!("p50 {p50:.1} ms, p90 {p90:.1}, p99 {p99:.1}, max {max:.1}");
        table.line("latency", text);
        let parts = &self.service_parts;
        let text = format!(
            "{:.3} (overall {:.3}, worst 10 s {:.3}, worst class {:.3}, tail {:.3})",
            self.service, parts.overall, parts.worst_10s, parts.worst_class, parts.tail
        );
        table.line("service", text);
    }

    fn add_costs(&self, table: &mut Table) {
        if self.cpu_us_per_request > 0.0 {
            let text = format!(
                "{}: {:.0} us of CPU a request, {:.1} MB at most",
                self.balancers, self.cpu_us_per_request, self.memory_mb
            );
            table.line("balancers", text);
        }
        let text = format!("{:.3} a request", self.attempts_per_request);
        table.line("attempts", text);
        let Times { p99, max, .. } = self.lateness_ms;
        table.line("load's lateness", format!("p99 {p99:.2} ms, max {max:.2}"));
        table.line("testbed", format!("{:.0} MB", self.testbed_memory_mb));
    }

    fn add_violations(&self, table: &mut Table) {
        match self.rule_violation_count {
            0 => table.line("rules", "none violated"),
            count => {
                table.line("rules", format!("{count} VIOLATED"));
                table.lines("", &self.rule_violations);
            }
        }
        table.lines("DIED", &self.unexpected_ends);
        table.lines("INVALID", &self.why_invalid);
    }
}

fn add_cluster(table: &mut Table, cluster: &FleetReport) {
    let agreement = cluster
        .views_agree_after_ms
        .map_or("NEVER AGREE".to_owned(), |ms| {
            format!("agree {ms:.0} ms after the last fault")
        });
    table.line(
        "views",
        format!("{agreement}, of {} polls", cluster.checked_views),
    );
    let text = format!("detected after {}", times(&cluster.detection_times_ms));
    table.line("failures", text);
    if !cluster.detection_by_all_times_ms.is_empty() {
        let text = format!("after {}", times(&cluster.detection_by_all_times_ms));
        table.line("detected by all", text);
    }
    let text = format!(
        "{} calls, {:.2} a second",
        cluster.discovery_requests, cluster.discovery_requests_per_second
    );
    table.line("discovery", text);
    if cluster.flood_datagrams > 0 {
        table.line("strangers sent", cluster.flood_datagrams.to_string());
    }
    let text = format!(
        "{} suspicions, also of suspended members",
        cluster.refutations
    );
    table.line("refuted", text);
    let text = format!(
        "{}; considered dead while running: {}",
        cluster.serving_status_errors, cluster.considered_dead_while_running
    );
    table.line("wrongly dead", text);
    if let Some(leases) = &cluster.leases {
        add_duties(table, leases);
    }
    table.lines("", &cluster.details);
}

fn add_duties(table: &mut Table, duties: &LeaseReport) {
    let text = format!(
        "{}: {} OVERLAPS, {} old terms accepted, {} changes ({} of one in a minute at most), {} vacant",
        duties.lease_count,
        duties.overlaps,
        duties.decreased_terms,
        duties.changes,
        duties.max_changes_per_minute,
        duties.vacant_leases
    );
    table.line("duties", text);
    let vacancy = distribution(duties.without_holder_ms.clone());
    let text = format!(
        "{:.0} ms (median), worst {:.0} of {}",
        vacancy.p50, vacancy.worst, vacancy.count
    );
    table.line("without a holder", text);
    for (cause, vacancies_ms) in &duties.without_holder_ms_by_cause {
        table.line("", format!("{cause}: {}", times(vacancies_ms)));
    }
    table.lines("", &duties.details);
}

/// Median, maximum and number of some durations in milliseconds.
fn times(values_ms: &[f64]) -> String {
    let spread = distribution(values_ms.to_vec());
    format!(
        "{:.0} ms, worst {:.0} of {}",
        spread.p50, spread.worst, spread.count
    )
}
