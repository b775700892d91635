//! Faults of the operating system that balancers run on, by a library that is preloaded into them
//! (`shim/shim.c`): calls that fail temporarily, short reads and writes, steps of the wall clock,
//! and delays.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::Micros;
use pinefront_model::scenario::{FaultKind, Scenario};
use pinefront_model::timeline::Timeline;

use crate::world::World;

const SOURCE: &str = include_str!("../shim/shim.c");
/// Probabilities are passed to the library in millionths.
const PROBABILITY_UNIT: f64 = 1e6;
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// The environment variable that names the control file to the library.
pub const CONTROL_VARIABLE: &str = "PINEFRONT_SHIM";

/// The library and the file that controls it.
#[derive(Clone, Debug)]
pub struct PreloadedLibrary {
    pub library: PathBuf,
    pub control_file: PathBuf,
}

/// The control block, in the order of `struct control` in the library's source. Probabilities are
/// in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Control {
    /// Probability that a call fails.
    pub failing_calls: i64,
    /// Probability that a read or write is short.
    pub short_calls: i64,
    /// Probability that a read or write is interrupted.
    pub interrupted_calls: i64,
    /// Probability that a write is delayed.
    pub delayed_writes: i64,
    /// The longest delay of a write.
    pub write_delay_us: i64,
    /// Offset of the wall clock.
    pub clock_offset_us: i64,
    /// Probability that a write breaks its connection.
    pub broken_connections: i64,
}

impl Control {
    /// The faults that are active at that time.
    pub fn at(timeline: &Timeline, now: Micros) -> Self {
        let probability = |kind| {
            let strength = timeline.active_global_fault(kind, now);
            strength.map_or(0, |strength| (strength.factor * PROBABILITY_UNIT) as i64)
        };
        let delay = timeline.active_global_fault(FaultKind::HeldUp, now);
        let clock = timeline.active_global_fault(FaultKind::ClockSteps, now);
        let clock_offset_us = clock.map_or(0, |strength| {
            (strength.by as f64 * strength.factor.signum()) as i64
        });
        Self {
            failing_calls: probability(FaultKind::SystemFails),
            short_calls: probability(FaultKind::CallsShort),
            interrupted_calls: probability(FaultKind::CallsShort),
            delayed_writes: probability(FaultKind::HeldUp),
            write_delay_us: delay.map_or(0, |strength| strength.by as i64),
            clock_offset_us,
            broken_connections: probability(FaultKind::ConnectionsBreak),
        }
    }

    /// The bytes of the control file.
    pub fn to_bytes(self) -> Vec<u8> {
        let fields = [
            self.failing_calls,
            self.short_calls,
            self.interrupted_calls,
            self.delayed_writes,
            self.write_delay_us,
            self.clock_offset_us,
            self.broken_connections,
        ];
        let bytes = fields.iter().flat_map(|field| field.to_ne_bytes());
        bytes.collect()
    }
}

impl PreloadedLibrary {
    /// Whether a scenario needs the library.
    pub fn is_needed(scenario: &Scenario) -> bool {
        let mut faults = scenario.faults.iter();
        faults.any(|fault| fault.get_ref().kind.affects_operating_system())
    }

    /// Builds the library with the C compiler `cc`.
    pub fn build(folder: &Path) -> io::Result<Self> {
        let (source, library) = (folder.join("shim.c"), folder.join("libshim.so"));
        std::fs::write(&source, SOURCE)?;
        let output = Command::new("cc")
            .args(["-shared", "-fPIC", "-O2", "-o"])
            .arg(&library)
            .arg(&source)
            .arg("-ldl")
            .output()?;
        if !output.status.success() {
            let messages = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(io::Error::other(messages));
        }
        let built = Self {
            library,
            control_file: folder.join("control"),
        };
        built.write_control(Control::default())?;
        Ok(built)
    }

    /// Overwrites the control file in place, since balancers have it mapped.
    fn write_control(&self, control: Control) -> io::Result<()> {
        use std::os::unix::fs::FileExt;
        let file = std::fs::OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(false)
            .open(&self.control_file)?;
        file.write_all_at(&control.to_bytes(), 0)
    }

    /// Keeps the control file up to date until the runtime ends.
    pub async fn follow_timeline(self, world: Arc<World>) {
        let mut written = Control::default();
        loop {
            tokio::time::sleep(UPDATE_INTERVAL).await;
            let control = Control::at(&world.timeline(), world.now());
            if control != written && self.write_control(control).is_ok() {
                written = control;
            }
        }
    }
}
