//! The commands `accord` and `explore`. `accord` runs the cluster protocol on a virtual clock;
//! `explore` runs the lease protocol in all orders of events up to a given depth.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use clap::Args;
use pinefront_cluster::{InjectedFault, leases};

use crate::cluster::{self, Report};
use crate::commands::{Failure, parse_fraction, parse_seed_range, write_json};
use crate::explore::{self as explorer, Findings};

/// The largest number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 10;

#[derive(Args)]
pub struct SimulateCluster {
    /// Seeds to run: FIRST..END, without END
    #[arg(long, default_value = "0..500", value_parser = parse_seed_range)]
    seeds: std::ops::Range<u64>,
    /// Number of members of the simulated fleet
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(2..=600))]
    members: u64,
    /// Use only fault plans of this kind, instead of a kind drawn from each seed
    #[arg(long)]
    kind: Option<cluster::fault_plan::PlanKind>,
    /// Loss rate of all datagrams as a fraction of 1, instead of the rate drawn from each seed
    #[arg(long, value_parser = parse_fraction)]
    loss: Option<f64>,
    /// Number of leases, each held by at most one member at a time; 200 without a value
    #[arg(long = "duties", default_value_t = 0, default_missing_value = "200", num_args = 0..=1)]
    leases: usize,
    /// Inject this fault into every member; requires a build with --features planted
    #[arg(long = "plant", value_parser = membership_fault)]
    injected_fault: Option<InjectedFault>,
    /// Write the report to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Args)]
pub struct Explore {
    /// Depth of the exhaustive search in steps, at most 30
    #[arg(long, default_value_t = 7)]
    depth: u32,
    /// Number of random walks of up to 400 steps each, after the exhaustive search
    #[arg(long, default_value_t = 2_000)]
    walks: u64,
    /// Number of members that can hold the lease
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=3))]
    candidates: u64,
    /// Inject this fault into every member, to print a trace that leads to a violation
    #[arg(long = "plant", value_parser = lease_fault)]
    injected_fault: Option<leases::InjectedFault>,
    /// Write the findings to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

/// The reason why a value of `--plant` is rejected.
#[derive(Debug)]
enum InjectedFaultError {
    /// The build has no code to inject faults into members.
    BuiltWithoutInjection,
    /// No fault has that name.
    UnknownName {
        /// The names of all faults.
        names: Vec<&'static str>,
    },
}

impl fmt::Display for InjectedFaultError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::BuiltWithoutInjection => {
                out.write_str("the testbed was built without --features planted")
            }
            Self::UnknownName { names } => {
                write!(out, "expected one of {}", names.join(", "))
            }
        }
    }
}

impl std::error::Error for InjectedFaultError {}

/// Returns the fault with that name.
fn fault_by_name<F: Copy>(all: &[(&'static str, F)], name: &str) -> Result<F, InjectedFaultError> {
    let entry = all.iter().find(|(known_name, _)| *known_name == name);
    entry
        .map(|(_, fault)| *fault)
        .ok_or_else(|| InjectedFaultError::UnknownName {
            names: all.iter().map(|(name, _)| *name).collect(),
        })
}

fn membership_fault(name: &str) -> Result<InjectedFault, InjectedFaultError> {
    if !cfg!(feature = "planted") {
        return Err(InjectedFaultError::BuiltWithoutInjection);
    }
    fault_by_name(&InjectedFault::ALL, name)
}

fn lease_fault(name: &str) -> Result<leases::InjectedFault, InjectedFaultError> {
    fault_by_name(&leases::InjectedFault::ALL, name)
}

/// Runs the command `explore`.
pub fn explore(options: &Explore, cancelled: &Arc<AtomicBool>) -> Result<(), Failure> {
    let findings = explorer::explore(&explorer::Options {
        depth: options.depth,
        walks: options.walks,
        candidates: options.candidates as usize,
        injected_fault: options.injected_fault,
        cancelled: Arc::clone(cancelled),
    });
    print_findings(&findings);
    write_json(options.json.as_deref(), &findings)?;
    require_no_violation(findings.violations.is_empty())
}

fn print_findings(findings: &Findings) {
    let completeness = if findings.is_complete {
        ""
    } else {
        " (incomplete: cancelled or too many states)"
    };
    let result = if findings.violations.is_empty() {
        "no violation"
    } else {
        "BROKEN"
    };
    println!(
        "{} states to depth {}{completeness}, {} random walks of {} steps in total: {result}",
        findings.states, findings.depth, findings.walks, findings.walk_steps,
    );
    for violation in &findings.violations {
        println!("  {violation}");
    }
}

fn require_no_violation(is_sound: bool) -> Result<(), Failure> {
    if is_sound {
        Ok(())
    } else {
        Err(Failure::Failed("violations were found; see above".into()))
    }
}

/// Runs the command `accord`.
pub fn simulate_cluster(
    options: &SimulateCluster,
    cancelled: &Arc<AtomicBool>,
) -> Result<(), Failure> {
    let simulation_options = cluster::Options {
        seeds: options.seeds.clone(),
        members: options.members as usize,
        injected_fault: options.injected_fault,
        kind: options.kind,
        loss: options.loss,
        leases: options.leases,
        stop_at_first_violation: false,
    };
    let report = cluster::run(&simulation_options, cancelled);
    print_report(&report);
    if options.leases > 0 {
        print_leases(&report);
    }
    write_json(options.json.as_deref(), &report)?;
    require_no_violation(report.violating_seeds == 0)
}

fn print_report(report: &Report) {
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!(
            "seed {}: {}\n  {}",
            violation.seed, violation.description, violation.replay
        );
    }
    println!(
        "{} seeds of {} members, {:.0} virtual seconds: {} with violations",
        report.seeds, report.members, report.virtual_seconds, report.violating_seeds
    );
    println!(
        "a member sends {:.1} datagrams and {:.0} bytes per second, \
         {:.1} and {:.0} in the last ten seconds",
        report.datagrams_per_second,
        report.bytes_per_second,
        report.late_datagrams_per_second,
        report.late_bytes_per_second
    );
    for (label, times) in [
        ("crash detected after", &report.detection_times_ms),
        ("views agree after", &report.views_agree_after_ms),
    ] {
        println!(
            "{label}: median {:.0} ms, p99 {:.0}, worst {:.0} of {}",
            times.p50, times.p99, times.worst, times.count
        );
    }
    println!(
        "wrong suspicions per hour: {:.1}",
        report.wrong_suspicions_per_hour
    );
}

fn print_leases(report: &Report) {
    for (cause, times) in &report.without_holder_ms {
        println!(
            "lease without a holder ({cause}): median {:.0} ms, p99 {:.0}, worst {:.0} of {}",
            times.p50, times.p99, times.worst, times.count
        );
    }
    println!(
        "holder changes per lease: {:.1} per hour, at most {} in one minute; \
         {} leases vacant at the end, {} terms decreased",
        report.lease_changes_per_hour,
        report.max_lease_changes_per_minute,
        report.vacant_leases,
        report.decreased_terms
    );
}
