//! The commands `accord` and `explore`: the cluster protocol on a virtual clock and in every order
//! of events.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use clap::Args;
use pinefront_cluster::{InjectedFault, leases};

use crate::cluster::{self, Report};
use crate::commands::{Failure, parse_fraction, parse_seed_range, write_json};
use crate::explore::{self as explorer, Findings};

/// How many violations are printed.
const MAX_PRINTED_VIOLATIONS: usize = 10;

#[derive(Args)]
pub struct SimulateCluster {
    /// From the first seed up to the last, which is left out
    #[arg(long, default_value = "0..500", value_parser = parse_seed_range)]
    seeds: std::ops::Range<u64>,
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(2..=600))]
    members: u64,
    /// One kind of fault plan only
    #[arg(long)]
    kind: Option<cluster::fault_plan::PlanKind>,
    /// Rate of loss of all datagrams, in place of what each seed says
    #[arg(long, value_parser = parse_fraction)]
    loss: Option<f64>,
    /// Leases that the members hold one at a time: 200 where no number is given
    #[arg(long = "duties", default_value_t = 0, default_missing_value = "200", num_args = 0..=1)]
    leases: usize,
    /// Inject a fault, in a build with --features planted
    #[arg(long = "plant", value_parser = membership_fault)]
    injected_fault: Option<InjectedFault>,
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Args)]
pub struct Explore {
    /// Steps from the start
    #[arg(long, default_value_t = 7)]
    depth: u32,
    /// Random walks of 400 steps each beside that
    #[arg(long, default_value_t = 2_000)]
    walks: u64,
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=3))]
    candidates: u64,
    /// Inject a fault, to see its trace
    #[arg(long = "plant", value_parser = lease_fault)]
    injected_fault: Option<leases::InjectedFault>,
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Finds a fault by its name; fails with the list of all names.
fn fault_by_name<F: Copy>(all: &[(&str, F)], name: &str) -> Result<F, String> {
    let known = all.iter().find(|(known, _)| *known == name);
    known.map(|(_, fault)| *fault).ok_or_else(|| {
        let names: Vec<&str> = all.iter().map(|(name, _)| *name).collect();
        format!("is none of {}", names.join(", "))
    })
}

fn membership_fault(name: &str) -> Result<InjectedFault, String> {
    if !cfg!(feature = "planted") {
        return Err("this lab was built without --features planted".into());
    }
    fault_by_name(&InjectedFault::ALL, name)
}

fn lease_fault(name: &str) -> Result<leases::InjectedFault, String> {
    fault_by_name(&leases::InjectedFault::ALL, name)
}

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
    outcome(findings.violations.is_empty())
}

fn print_findings(findings: &Findings) {
    let completeness = if findings.is_complete {
        ""
    } else {
        " (not all: too many)"
    };
    let result = if findings.violations.is_empty() {
        "no promise broken"
    } else {
        "BROKEN"
    };
    println!(
        "{} states to depth {}{completeness}, {} walks of {} moves in all: {result}",
        findings.states, findings.depth, findings.walks, findings.walk_steps,
    );
    for violation in &findings.violations {
        println!("  {violation}");
    }
}

fn outcome(is_sound: bool) -> Result<(), Failure> {
    if is_sound {
        Ok(())
    } else {
        Err(Failure::Failed("a promise was broken; see above".into()))
    }
}

pub fn simulate_cluster(
    options: &SimulateCluster,
    cancelled: &Arc<AtomicBool>,
) -> Result<(), Failure> {
    let options_of_run = cluster::Options {
        seeds: options.seeds.clone(),
        members: options.members as usize,
        injected_fault: options.injected_fault,
        kind: options.kind,
        loss: options.loss,
        leases: options.leases,
        first_only: false,
    };
    let report = cluster::run(&options_of_run, cancelled);
    print_report(&report);
    if options.leases > 0 {
        print_leases(&report);
    }
    write_json(options.json.as_deref(), &report)?;
    outcome(report.violating_seeds == 0)
}

fn print_report(report: &Report) {
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!(
            "seed {}: {}\n  {}",
            violation.seed, violation.what, violation.replay
        );
    }
    println!(
        "{} seeds of {} members, {:.0} virtual seconds: {} broke a promise",
        report.seeds, report.members, report.virtual_seconds, report.violating_seeds
    );
    println!(
        "a member sends {:.1} datagrams and {:.0} bytes a second, {:.1} and {:.0} in the last ten",
        report.datagrams_per_second,
        report.bytes_per_second,
        report.late_datagrams_per_second,
        report.late_bytes_per_second
    );
    for (what, times) in [
        ("a death is known", &report.detected_ms),
        ("one view after", &report.views_agree_after_ms),
    ] {
        println!(
            "{what}: median {:.0} ms, p99 {:.0}, worst {:.0} of {}",
            times.p50, times.p99, times.worst, times.count
        );
    }
    println!(
        "false suspicions an hour: {:.1}",
        report.wrong_suspicions_per_hour
    );
}

fn print_leases(report: &Report) {
    for (cause, times) in &report.without_holder_ms {
        println!(
            "a lease {cause}: without a holder for {:.0} ms (median), p99 {:.0}, worst {:.0} of {}",
            times.p50, times.p99, times.worst, times.count
        );
    }
    println!(
        "a lease changes hands {:.1} times an hour, {} times in a minute at most; {} vacant at the end, {} terms decreased",
        report.lease_changes_per_hour,
        report.max_lease_changes_per_minute,
        report.vacant_leases,
        report.decreased_terms
    );
}
