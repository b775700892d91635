//! The report on a simulation of several seeds.

use std::collections::BTreeMap;

use clap::ValueEnum;
use pinefront_cluster::InjectedFault;
use serde::Serialize;

use super::simulation::{LATE_SPAN_US, Outcome};
use super::{Options, SeedOutcome};

/// The largest number of violations that are listed. Further violations are only counted.
const MAX_LISTED_VIOLATIONS: usize = 50;
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// A violation found in the run of a seed.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub seed: u64,
    #[serde(rename = "what")]
    pub description: String,
    /// The command that repeats the run of the seed.
    pub replay: String,
}

/// The results of all seeds.
#[derive(Debug, Serialize)]
pub struct Report {
    pub seeds: u64,
    pub members: usize,
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// The number of seeds with a violation.
    #[serde(rename = "broken_count")]
    pub violating_seeds: u64,
    pub virtual_seconds: f64,
    /// Datagrams that a member sends per second, on average.
    #[serde(rename = "datagrams_a_second")]
    pub datagrams_per_second: f64,
    /// Bytes that a member sends per second, on average.
    #[serde(rename = "bytes_a_second")]
    pub bytes_per_second: f64,
    /// Datagrams that a member sends per second in the last ten seconds of each run, on average.
    #[serde(rename = "datagrams_a_second_late")]
    pub late_datagrams_per_second: f64,
    /// Bytes that a member sends per second in the last ten seconds of each run, on average.
    #[serde(rename = "bytes_a_second_late")]
    pub late_bytes_per_second: f64,
    /// Times from the crash of a process until each other member detected it, in milliseconds.
    #[serde(rename = "detected_ms")]
    pub detection_times_ms: Distribution,
    /// Times from the end of the last fault until all views agreed, in milliseconds.
    #[serde(rename = "one_view_ms")]
    pub views_agree_after_ms: Distribution,
    /// Suspicions of members whose process ran and was not paused, per hour of one fleet.
    #[serde(rename = "wrong_doubts_an_hour")]
    pub wrong_suspicions_per_hour: f64,
    /// Times from the loss of a lease to its next acquisition, in milliseconds, by the cause of the
    /// loss.
    pub without_holder_ms: BTreeMap<&'static str, Distribution>,
    /// Changes of the holder of a lease per hour, on average.
    #[serde(rename = "duty_changes_an_hour")]
    pub lease_changes_per_hour: f64,
    /// The largest number of changes of the holder of one lease within a minute.
    #[serde(rename = "duty_changes_most_a_minute")]
    pub max_lease_changes_per_minute: usize,
    /// Lease holdings with an earlier term than the holding before, which are harmless, since their
    /// commands are rejected.
    #[serde(rename = "terms_fallen")]
    pub decreased_terms: usize,
    /// Leases without a holder at the end of a run, over all seeds.
    #[serde(rename = "duties_vacant")]
    pub vacant_leases: usize,
}

/// The number, median, 99th percentile and maximum of a set of values.
#[derive(Debug, Default, Serialize)]
pub struct Distribution {
    pub count: usize,
    pub p50: f64,
    pub p99: f64,
    pub worst: f64,
}

/// Returns the distribution of the given values, all zeros if there are none.
pub fn distribution(mut values: Vec<f64>) -> Distribution {
    values.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| {
        let index = ((values.len() as f64 - 1.0) * fraction).round() as usize;
        values.get(index).copied().unwrap_or(0.0)
    };
    Distribution {
        count: values.len(),
        p50: quantile(0.5),
        p99: quantile(0.99),
        worst: quantile(1.0),
    }
}

impl Report {
    /// Summarizes the outcomes of all seeds.
    pub(super) fn new(options: &Options, outcomes: &[SeedOutcome]) -> Self {
        let outcomes_only = || outcomes.iter().map(|seed| &seed.outcome);
        let total = |value: &dyn Fn(&Outcome) -> f64| outcomes_only().map(value).sum::<f64>();
        let collect = |values: &dyn Fn(&Outcome) -> Vec<f64>| {
            distribution(outcomes_only().flat_map(values).collect())
        };
        let seconds = total(&|outcome| outcome.seconds).max(1e-9);
        let member_seconds = total(&|outcome| outcome.member_seconds).max(1e-9);
        let late_seconds = LATE_SPAN_US as f64 / 1e6;
        let late_member_seconds =
            outcomes.len().max(1) as f64 * options.members as f64 * late_seconds;
        let changes = total(&|outcome| outcome.leases.changes as f64);
        let lease_seconds = options.leases.max(1) as f64 * seconds;
        Self {
            seeds: outcomes.len() as u64,
            members: options.members,
            violations: violations(options, outcomes),
            violating_seeds: outcomes_only()
                .filter(|outcome| !outcome.violations.is_empty())
                .count() as u64,
            virtual_seconds: seconds,
            datagrams_per_second: total(&|outcome| outcome.sent.datagrams as f64) / member_seconds,
            bytes_per_second: total(&|outcome| outcome.sent.bytes as f64) / member_seconds,
            late_datagrams_per_second: total(&|outcome| outcome.late.datagrams as f64)
                / late_member_seconds,
            late_bytes_per_second: total(&|outcome| outcome.late.bytes as f64)
                / late_member_seconds,
            detection_times_ms: collect(&|outcome| outcome.detection_times_ms.clone()),
            views_agree_after_ms: collect(&|outcome| {
                outcome.views_agree_after_ms.into_iter().collect()
            }),
            wrong_suspicions_per_hour: total(&|outcome| outcome.wrong_suspicions as f64) / seconds
                * SECONDS_PER_HOUR,
            without_holder_ms: without_holder(outcomes),
            lease_changes_per_hour: changes / lease_seconds * SECONDS_PER_HOUR,
            max_lease_changes_per_minute: outcomes_only()
                .map(|outcome| outcome.leases.max_changes_per_minute)
                .max()
                .unwrap_or(0),
            decreased_terms: outcomes_only()
                .map(|outcome| outcome.leases.decreased_terms.len())
                .sum(),
            vacant_leases: outcomes_only().map(|outcome| outcome.vacant_leases).sum(),
        }
    }
}

fn without_holder(outcomes: &[SeedOutcome]) -> BTreeMap<&'static str, Distribution> {
    let mut by_cause: BTreeMap<&'static str, Vec<f64>> = BTreeMap::new();
    let vacancies = outcomes
        .iter()
        .flat_map(|seed| &seed.outcome.leases.vacancies);
    for vacancy in vacancies {
        let milliseconds = vacancy.duration as f64 / 1_000.0;
        by_cause
            .entry(vacancy.cause)
            .or_default()
            .push(milliseconds);
    }
    by_cause
        .into_iter()
        .map(|(cause, values)| (cause, distribution(values)))
        .collect()
}

fn violations(options: &Options, outcomes: &[SeedOutcome]) -> Vec<Violation> {
    outcomes
        .iter()
        .flat_map(|seed| {
            seed.outcome.violations.iter().map(|description| Violation {
                seed: seed.seed,
                description: description.clone(),
                replay: replay_command(options, seed.seed),
            })
        })
        .take(MAX_LISTED_VIOLATIONS)
        .collect()
}

fn replay_command(options: &Options, seed: u64) -> String {
    let mut command = format!(
        "pinefront-testbed accord --seeds {seed}..{} --members {}",
        seed + 1,
        options.members
    );
    if let Some(kind) = options.kind.and_then(|kind| kind.to_possible_value()) {
        command += &format!(" --kind {}", kind.get_name());
    }
    if let Some(loss) = options.loss {
        command += &format!(" --loss {loss}");
    }
    if options.leases > 0 {
        command += &format!(" --duties {}", options.leases);
    }
    if let Some(fault) = options.injected_fault {
        command += &format!(" --plant {}", fault_name(fault));
    }
    command
}

fn fault_name(fault: InjectedFault) -> &'static str {
    InjectedFault::ALL
        .iter()
        .find(|(_, listed)| *listed == fault)
        .map_or("", |(name, _)| name)
}
