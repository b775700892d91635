//! Days drawn from seeds.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use clap::Args;

use crate::commands::{Failure, seeds, span, write_json};
use crate::play::Who;
use crate::{balancers, soak as soaks};

#[derive(Args)]
pub struct Soak {
    /// From the first seed up to the last, which is left out
    #[arg(long, default_value = "0..10", value_parser = seeds)]
    seeds: std::ops::Range<u64>,
    /// How long each day is
    #[arg(long = "for", default_value = "20s", value_parser = span)]
    lasts: Duration,
    /// Days that are played side by side
    #[arg(long, default_value_t = 3)]
    parallel: usize,
    /// How many balancers, in place of a drawn number
    #[arg(long)]
    balancers: Option<usize>,
    /// Requests a second
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// A trouble that every day has beside the drawn ones
    #[arg(long)]
    with: Vec<String>,
    /// Where the schedules of failing seeds are kept
    #[arg(long, default_value = "target/soak")]
    save: PathBuf,
    /// Leave out what a failing schedule does not need
    #[arg(long)]
    shrink: bool,
    /// The balancer's program; the one beside this program where none is named
    #[arg(long)]
    binary: Option<PathBuf>,
    #[arg(long)]
    json: Option<PathBuf>,
}

pub fn soak(options: &Soak, over: &Arc<AtomicBool>) -> Result<(), Failure> {
    let shape = soaks::schedule::Shape {
        seconds: options.lasts.as_secs().max(8),
        balancers: options.balancers,
        rate: options.rate,
        with: options.with.clone(),
    };
    let wish = soaks::Wish {
        seeds: options.seeds.clone(),
        shape,
        parallel: options.parallel,
        save: options.save.clone(),
        shrinks: options.shrink,
        who: Who::Binary(options.binary.clone().unwrap_or_else(balancers::own_binary)),
    };
    let found = soaks::soak(&wish, over);
    println!(
        "{} days played, {} broke a rule, {} more on a machine that was late (as it was on {}), {} not played; {} pairs of troubles met",
        found.played.len(),
        found.failed,
        found.doubtful,
        found.invalid,
        found.not_played.len(),
        found.pairs.len()
    );
    write_json(options.json.as_deref(), &found)?;
    if found.failed + found.not_played.len() > 0 {
        return Err(Failure::Failed(
            "a rule was broken or a day not played; see above".into(),
        ));
    }
    if found.invalid == found.played.len() {
        return Err(Failure::Failed(
            "the machine was late on every day: nothing was found out".into(),
        ));
    }
    Ok(())
}
