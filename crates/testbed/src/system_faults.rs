//! Faults of the operating system, injected by a library that is preloaded into the balancers
//! (`shim/shim.c`): calls that fail temporarily, short reads and writes, broken connections, steps
//! of the wall clock, and delayed writes.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use pinefront_model::Micros;
use pinefront_model::scenario::{FaultKind, Scenario};
use pinefront_model::timeline::Timeline;

use crate::world::World;

/// The source code of the preloaded library.
const LIBRARY_SOURCE: &str = include_str!("../shim/shim.c");
/// Converts a probability from a fraction of 1 to millionths, the unit of the control file.
const MILLIONTHS: f64 = 1e6;
/// Interval at which the control file is compared with the active faults.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// The environment variable in which the library finds the path of the control file.
pub const CONTROL_FILE_VARIABLE: &str = "PINEFRONT_SHIM";

/// The paths of the compiled library and of the control file that it reads.
#[derive(Clone, Debug)]
pub struct PreloadedLibrary {
    pub library: PathBuf,
    pub control_file: PathBuf,
}

/// The content of the control file. The fields have the order of `struct control` in the library's
/// source; probabilities are in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Control {
    /// Probability that `accept4`, `socket` or `connect` fails.
    pub failing_calls: i64,
    /// Probability that a read or write is short.
    pub short_calls: i64,
    /// Probability that a read or write is interrupted.
    pub interrupted_calls: i64,
    /// Probability that a write is delayed.
    pub delayed_writes: i64,
    /// The longest delay of a write, in microseconds.
    pub write_delay_us: i64,
    /// Offset that is added to the wall clock, in microseconds.
    pub clock_offset_us: i64,
    /// Probability that a read or write breaks its connection.
    pub broken_connections: i64,
}

impl Control {
    /// The control block for the faults that are active at `now`.
    pub fn active_at(timeline: &Timeline, now: Micros) -> Self {
        let probability = |kind| {
            let strength = timeline.active_global_fault(kind, now);
            strength.map_or(0, |strength| (strength.factor * MILLIONTHS) as i64)
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

    /// The bytes of the control file, with each field in native byte order.
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
    /// Whether a scenario has faults that the library injects.
    pub fn is_needed(scenario: &Scenario) -> bool {
        let mut faults = scenario.faults.iter();
        faults.any(|fault| fault.get_ref().kind.affects_operating_system())
    }

    /// Compiles the library in a folder with the C compiler `cc`, and creates its control file.
    pub fn build(folder: &Path) -> io::Result<Self> {
        let (source, library) = (folder.join("shim.c"), folder.join("libshim.so"));
        std::fs::write(&source, LIBRARY_SOURCE)?;
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

    /// Overwrites the control file in place, since the balancers have mapped it into their memory.
    fn write_control(&self, control: Control) -> io::Result<()> {
        use std::os::unix::fs::FileExt;
        let file = std::fs::OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(false)
            .open(&self.control_file)?;
        file.write_all_at(&control.to_bytes(), 0)
    }

    /// Keeps the control file up to date with the active faults until the runtime shuts down.
    pub async fn follow_timeline(self, world: Arc<World>) {
        let mut written = Control::default();
        loop {
            tokio::time::sleep(UPDATE_INTERVAL).await;
            let control = Control::active_at(&world.timeline(), world.now());
            if control != written && self.write_control(control).is_ok() {
                written = control;
            }
        }
    }
}
