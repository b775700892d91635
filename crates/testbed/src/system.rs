//! The system that balancers run on, as a library that is preloaded into them makes it (`lab/shim/shim.c`): calls that
//! fail for a moment, short reads and writes, a wall clock that steps, a process that is held up.

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
const MILLION: f64 = 1e6;
/// How often the library is told what holds now.
const TOLD_EVERY: Duration = Duration::from_millis(20);
/// Names the file that the library reads.
pub const CONTROL: &str = "PINEFRONT_SHIM";

/// The library and its control file, in the folder of a run.
#[derive(Clone, Debug)]
pub struct System {
    pub library: PathBuf,
    pub control: PathBuf,
}

/// What the library is told, in the order of `struct control` in its source.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Control {
    pub fails: i64,
    pub is_short: i64,
    pub interrupted: i64,
    pub held_up: i64,
    pub held_up_us: i64,
    pub clock_offset_us: i64,
    pub violations: i64,
}

impl Control {
    /// What the day says of that moment.
    pub fn at(line: &Timeline, now: Micros) -> Self {
        let part = |kind| {
            line.global_fault(kind, now)
                .map_or(0, |strength| (strength.factor * MILLION) as i64)
        };
        let clock = line.global_fault(FaultKind::ClockSteps, now);
        Self {
            fails: part(FaultKind::SystemFails),
            is_short: part(FaultKind::CallsShort),
            interrupted: part(FaultKind::CallsShort),
            held_up: part(FaultKind::HeldUp),
            held_up_us: line
                .global_fault(FaultKind::HeldUp, now)
                .map_or(0, |strength| strength.by as i64),
            clock_offset_us: clock.map_or(0, |strength| {
                (strength.by as f64 * strength.factor.signum()) as i64
            }),
            violations: part(FaultKind::ConnectionsBreak),
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let fields = [
            self.fails,
            self.is_short,
            self.interrupted,
            self.held_up,
            self.held_up_us,
            self.clock_offset_us,
            self.violations,
        ];
        fields
            .iter()
            .flat_map(|field| field.to_ne_bytes())
            .collect()
    }
}

impl System {
    /// Whether a day needs the library.
    pub fn is_wanted(scenario: &Scenario) -> bool {
        scenario
            .faults
            .iter()
            .any(|fault| fault.get_ref().kind.is_of_system())
    }

    /// Builds the library with the machine's C compiler.
    pub fn build(folder: &Path) -> io::Result<Self> {
        let (source, library) = (folder.join("shim.c"), folder.join("libshim.so"));
        std::fs::write(&source, SOURCE)?;
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O2", "-o"])
            .arg(&library)
            .arg(&source)
            .arg("-ldl")
            .output()?;
        if !built.status.success() {
            return Err(io::Error::other(
                String::from_utf8_lossy(&built.stderr).into_owned(),
            ));
        }
        let system = Self {
            library,
            control: folder.join("control"),
        };
        system.tell(&Control::default())?;
        Ok(system)
    }

    /// In place: balancers have the file mapped.
    pub fn tell(&self, control: &Control) -> io::Result<()> {
        use std::os::unix::fs::FileExt;
        let file = std::fs::OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(false)
            .open(&self.control)?;
        file.write_all_at(&control.bytes(), 0)
    }
}

/// Keeps the library told until the runtime ends.
pub async fn drive(world: Arc<World>, system: System) {
    let mut told = Control::default();
    loop {
        tokio::time::sleep(TOLD_EVERY).await;
        let control = Control::at(&world.timeline(), world.now());
        if control != told && system.tell(&control).is_ok() {
            told = control;
        }
    }
}
