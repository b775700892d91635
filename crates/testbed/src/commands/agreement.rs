//! What balancers agree on, on a virtual clock and in every order of events.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use clap::Args;

use crate::commands::{Failure, part, seeds, write_json};
use crate::{cluster, explore as explorer};

#[derive(Args)]
pub struct AccordOf {
    /// From the first seed up to the last, which is left out
    #[arg(long, default_value = "0..500", value_parser = seeds)]
    seeds: std::ops::Range<u64>,
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(2..=600))]
    members: u64,
    /// One kind of scenario only
    #[arg(long)]
    kind: Option<cluster::scenario::Kind>,
    /// Part of all datagrams that is lost, in place of what each seed says
    #[arg(long, value_parser = part)]
    loss: Option<f64>,
    /// Duties that the members hold one at a time: 200 where no number is given
    #[arg(long = "duties", default_value_t = 0, default_missing_value = "200", num_args = 0..=1)]
    leases: usize,
    /// Plant a fault, in a lab built with --features planted
    #[arg(long, value_parser = injected_fault)]
    plant: Option<pinefront_cluster::InjectedFault>,
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Args)]
pub struct Explore {
    /// Moves from the start
    #[arg(long, default_value_t = 7)]
    depth: u32,
    /// Walks by chance of 400 moves each beside that
    #[arg(long, default_value_t = 2_000)]
    walks: u64,
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=3))]
    candidates: u64,
    /// Plant a fault, to see its trace
    #[arg(long, value_parser = planted_duty)]
    plant: Option<pinefront_cluster::leases::InjectedFault>,
    #[arg(long)]
    json: Option<PathBuf>,
}

pub fn injected_fault(text: &str) -> Result<pinefront_cluster::InjectedFault, String> {
    let all = pinefront_cluster::InjectedFault::ALL;
    let known = all.iter().find(|(name, _)| *name == text);
    if !cfg!(feature = "planted") {
        return Err("this lab was built without --features planted".into());
    }
    known.map(|(_, fault)| *fault).ok_or_else(|| {
        format!(
            "is none of {}",
            all.iter()
                .map(|(name, _)| *name)
                .collect::<Vec<_>>()
                .join(", ")
        )
    })
}

pub fn planted_duty(text: &str) -> Result<pinefront_cluster::leases::InjectedFault, String> {
    let all = pinefront_cluster::leases::InjectedFault::ALL;
    all.iter()
        .find(|(name, _)| *name == text)
        .map(|(_, fault)| *fault)
        .ok_or_else(|| {
            format!(
                "is none of {}",
                all.iter()
                    .map(|(name, _)| *name)
                    .collect::<Vec<_>>()
                    .join(", ")
            )
        })
}

pub fn explore(options: &Explore, over: &Arc<AtomicBool>) -> Result<(), Failure> {
    let wish = explorer::Wish {
        depth: options.depth,
        walks: options.walks,
        candidates: options.candidates as usize,
        injected_fault: options.plant,
        over: Arc::clone(over),
    };
    let found = explorer::explore(&wish);
    println!(
        "{} states to depth {}{}, {} walks of {} moves in all: {}",
        found.states,
        found.depth,
        if found.whole {
            ""
        } else {
            " (not all: too many)"
        },
        found.walks,
        found.walk_steps,
        if found.broken.is_empty() {
            "no promise broken"
        } else {
            "BROKEN"
        }
    );
    found
        .broken
        .iter()
        .for_each(|broken| println!("  {broken}"));
    write_json(options.json.as_deref(), &found)?;
    match found.broken.is_empty() {
        true => Ok(()),
        false => Err(Failure::Failed("a promise was broken; see above".into())),
    }
}

pub fn accord_of(options: &AccordOf, over: &Arc<AtomicBool>) -> Result<(), Failure> {
    let wish = cluster::Wish {
        seeds: options.seeds.clone(),
        members: options.members as usize,
        injected_fault: options.plant,
        kind: options.kind,
        loss: options.loss,
        leases: options.leases,
        first_only: false,
    };
    let found = cluster::play(&wish, over);
    for broken in found.broken.iter().take(10) {
        println!("seed {}: {}\n  {}", broken.seed, broken.what, broken.replay);
    }
    println!(
        "{} seeds of {} members, {:.0} virtual seconds: {} broke a promise",
        found.seeds, found.members, found.virtual_seconds, found.broken_count
    );
    println!(
        "a member sends {:.1} datagrams and {:.0} bytes a second, {:.1} and {:.0} in the last ten",
        found.datagrams_a_second,
        found.bytes_a_second,
        found.datagrams_a_second_late,
        found.bytes_a_second_late
    );
    for (what, spread) in [
        ("a death is known", &found.detected_ms),
        ("one view after", &found.one_view_ms),
    ] {
        println!(
            "{what}: median {:.0} ms, p99 {:.0}, worst {:.0} of {}",
            spread.p50, spread.p99, spread.worst, spread.count
        );
    }
    println!("wrong doubts an hour: {:.1}", found.wrong_doubts_an_hour);
    if options.leases > 0 {
        for (how, spread) in &found.without_holder_ms {
            println!(
                "a duty {how}: without a holder for {:.0} ms (median), p99 {:.0}, worst {:.0} of {}",
                spread.p50, spread.p99, spread.worst, spread.count
            );
        }
        println!(
            "a duty changes hands {:.1} times an hour, {} times in a minute at most; {} vacant at an end, {} terms fell",
            found.duty_changes_an_hour,
            found.duty_changes_most_a_minute,
            found.duties_vacant,
            found.terms_fallen
        );
    }
    write_json(options.json.as_deref(), &found)?;
    match found.broken_count {
        0 => Ok(()),
        _ => Err(Failure::Failed("a promise was broken; see above".into())),
    }
}
