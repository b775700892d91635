//! The figures of a run as a plain-text table.

use std::fmt::Write as _;

use super::{Figures, PercentilesMs};
use crate::cluster::distribution;
use crate::fleet::FleetReport;
use crate::fleet::leases::LeaseReport;

/// A text of lines that each have a name column and a text column.
struct Table(String);

impl Table {
    fn add_line(&mut self, name: &str, text: impl AsRef<str>) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.0, "  {name:<16} {}", text.as_ref());
    }

    /// Adds a line for each text, all with the same name.
    fn add_lines<'a>(&mut self, name: &str, texts: impl IntoIterator<Item = &'a String>) {
        for text in texts {
            self.add_line(name, text);
        }
    }
}

impl Figures {
    /// Formats the figures as a table for people.
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
        table.add_line("requests", text);
        if counts.unanswered + counts.disconnected + counts.unreachable > 0 {
            let text = format!(
                "{} unanswered, {} disconnected by their clients, {} could not reach a balancer",
                counts.unanswered, counts.disconnected, counts.unreachable
            );
            table.add_line("", text);
        }
        let PercentilesMs { p50, p90, p99, max } = self.latency_ms;
        let text = format!("p50 {p50:.1} ms, p90 {p90:.1}, p99 {p99:.1}, max {max:.1}");
        table.add_line("latency", text);
        let parts = &self.service_parts;
        let text = format!(
            "{:.3} (overall {:.3}, worst 10 s {:.3}, worst class {:.3}, tail {:.3})",
            self.service, parts.overall, parts.worst_10s, parts.worst_class, parts.tail
        );
        table.add_line("service", text);
    }

    fn add_costs(&self, table: &mut Table) {
        if self.cpu_us_per_request > 0.0 {
            let text = format!(
                "{}, CPU time per request {:.0} us, largest memory {:.1} MB",
                self.balancers, self.cpu_us_per_request, self.memory_mb
            );
            table.add_line("balancers", text);
        }
        let text = format!("{:.3} per request", self.attempts_per_request);
        table.add_line("attempts", text);
        let PercentilesMs { p99, max, .. } = self.lateness_ms;
        table.add_line("load lateness", format!("p99 {p99:.2} ms, max {max:.2}"));
        table.add_line("testbed", format!("{:.0} MB", self.testbed_memory_mb));
    }

    fn add_violations(&self, table: &mut Table) {
        match self.rule_violation_count {
            0 => table.add_line("rules", "none violated"),
            count => {
                table.add_line("rules", format!("{count} VIOLATED"));
                table.add_lines("", &self.rule_violations);
            }
        }
        table.add_lines("DIED", &self.unexpected_ends);
        table.add_lines("INVALID", &self.why_invalid);
    }
}

fn add_cluster(table: &mut Table, cluster: &FleetReport) {
    let agreement = cluster
        .views_agree_after_ms
        .map_or("NEVER AGREED".to_owned(), |ms| {
            format!("agreed {ms:.0} ms after the last fault")
        });
    let text = format!("{agreement}; {} views checked", cluster.checked_views);
    table.add_line("views", text);
    let text = format!(
        "detected after {}",
        format_distribution(&cluster.detection_times_ms)
    );
    table.add_line("failures", text);
    if !cluster.detection_by_all_times_ms.is_empty() {
        let text = format!(
            "after {}",
            format_distribution(&cluster.detection_by_all_times_ms)
        );
        table.add_line("detected by all", text);
    }
    let text = format!(
        "{} calls, {:.2} per second",
        cluster.discovery_requests, cluster.discovery_requests_per_second
    );
    table.add_line("discovery", text);
    let flood = cluster.flood_datagrams;
    if flood > 0 {
        let text = format!("{flood} datagrams from outside the cluster");
        table.add_line("flood", text);
    }
    let text = format!(
        "{} suspicions, including those of suspended members",
        cluster.refutations
    );
    table.add_line("refuted", text);
    let text = format!(
        "{} times; considered dead while running: {} balancers",
        cluster.serving_status_errors, cluster.considered_dead_while_running
    );
    table.add_line("wrongly dead", text);
    if let Some(leases) = &cluster.leases {
        add_leases(table, leases);
    }
    table.add_lines("", &cluster.details);
}

fn add_leases(table: &mut Table, leases: &LeaseReport) {
    let text = format!(
        "{}: {} OVERLAPS, {} decreased terms, {} changes of holder \
         (at most {} of one lease in a minute), {} without a holder at the end",
        leases.lease_count,
        leases.overlaps,
        leases.decreased_terms,
        leases.changes,
        leases.max_changes_per_minute,
        leases.vacant_leases
    );
    table.add_line("leases", text);
    let vacancy = distribution(leases.without_holder_ms.clone());
    let text = format!(
        "median {:.0} ms, longest {:.0} ms of {}",
        vacancy.p50, vacancy.worst, vacancy.count
    );
    table.add_line("without a holder", text);
    for (cause, vacancies_ms) in &leases.without_holder_ms_by_cause {
        table.add_line(
            "",
            format!("{cause}: {}", format_distribution(vacancies_ms)),
        );
    }
    table.add_lines("", &leases.details);
}

/// Formats the median, the maximum and the number of durations in milliseconds.
fn format_distribution(values_ms: &[f64]) -> String {
    let distribution = distribution(values_ms.to_vec());
    format!(
        "median {:.0} ms, longest {:.0} ms of {}",
        distribution.p50, distribution.worst, distribution.count
    )
}
