//! The command that measures a balancer under misbehaving clients.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::{Args, ValueEnum};

use crate::balancers::Limits;
use crate::commands::{Failure, binaries_or_default, parse_duration, write_json};
use crate::overload::misbehaving_client::Behaviour;
use crate::overload::{self, Measurement, Options};

#[derive(Args)]
pub struct Overload {
    /// Behaviour of the clients of a run; can be repeated. By default each one has a run of its own
    #[arg(long = "picture", value_enum)]
    pictures: Vec<Behaviour>,
    /// Mix all behaviours of large crowds in one run, instead of a run for each
    #[arg(long)]
    mixed: bool,
    /// Kill and start the process again while the clients go on
    #[arg(long)]
    restarts: bool,
    /// Check the memory, and only measure the service of usual clients
    #[arg(long)]
    memory_only: bool,
    /// Number of misbehaving clients; one for malformed-flood
    #[arg(long, default_value_t = 560)]
    misbehaving: usize,
    /// Number of usual clients
    #[arg(long, default_value_t = 8)]
    usual: usize,
    /// Time with misbehaving clients in each run
    #[arg(long = "for", default_value = "8s", value_parser = parse_duration)]
    duration: Duration,
    /// Memory limit in the balancer's settings, in MB
    #[arg(long, default_value_t = 32)]
    memory_mb: u64,
    /// Descriptor limit in the balancer's settings
    #[arg(long, default_value_t = 1024)]
    sockets: u64,
    /// Seed of the drawn sizes and pauses
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Balancer program, by default the one in the folder of this program; with several, each run
    /// is repeated with each of them
    #[arg(long)]
    binary: Vec<PathBuf>,
    /// Write the figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

/// A run: its name, and the behaviours of its clients.
struct Picture {
    name: String,
    behaviours: Vec<Behaviour>,
}

impl Picture {
    fn of(behaviour: Behaviour) -> Self {
        let value = behaviour.to_possible_value();
        Self {
            name: value.map_or_else(String::new, |value| value.get_name().to_owned()),
            behaviours: vec![behaviour],
        }
    }
}

impl Overload {
    fn pictures(&self) -> Vec<Picture> {
        if self.mixed {
            let drawn = if self.pictures.is_empty() {
                Behaviour::CROWD.to_vec()
            } else {
                self.pictures.clone()
            };
            return vec![Picture {
                name: "mixed".to_owned(),
                behaviours: drawn,
            }];
        }
        let single = if self.pictures.is_empty() {
            Behaviour::value_variants()
        } else {
            &self.pictures
        };
        single.iter().copied().map(Picture::of).collect()
    }

    fn options(&self, binary: PathBuf, picture: &Picture) -> Options {
        let is_flood = picture.behaviours == [Behaviour::MalformedFlood];
        Options {
            binary,
            limits: Limits {
                memory_mb: self.memory_mb,
                sockets: self.sockets,
            },
            misbehaving: if is_flood { 1 } else { self.misbehaving },
            usual: self.usual,
            duration: self.duration,
            seed: self.seed,
            restarts: self.restarts,
            checks_memory_only: self.memory_only,
        }
    }
}

/// Measures each picture with each binary, and prints a row of a table for each.
pub fn measure_overload(options: &Overload, stop: &Arc<AtomicBool>) -> Result<(), Failure> {
    if options.misbehaving == 0 || options.usual == 0 || options.duration.is_zero() {
        let reason = "invalid measurement: expected --misbehaving, --usual and --for above 0";
        return Err(Failure::InvalidInput(reason.into()));
    }
    println!("{}", overload::TABLE_HEAD);
    let mut measurements: Vec<Measurement> = Vec::new();
    for picture in options.pictures() {
        for binary in binaries_or_default(&options.binary) {
            if stop.load(Ordering::Relaxed) {
                continue;
            }
            let run = options.options(binary, &picture);
            let measurement = overload::measure(&picture.name, &picture.behaviours, &run)?;
            println!("{}", measurement.row());
            measurements.push(measurement);
        }
    }
    write_json(options.json.as_deref(), &measurements)?;
    if measurements.iter().all(|run| run.failures.is_empty()) {
        Ok(())
    } else {
        let text = "an expectation did not hold; see the last column";
        Err(Failure::Failed(text.into()))
    }
}
