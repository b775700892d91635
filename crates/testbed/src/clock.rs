//! The clock of a run: microseconds since its start, and Unix time.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pinefront_model::Micros;

/// When a run started.
struct Start {
    instant: Instant,
    unix_ms: u64,
}

/// Stands at 0 until the run starts.
#[derive(Default)]
pub struct Clock(OnceLock<Start>);

impl Clock {
    /// Starts the clock. A second call changes nothing.
    pub fn begin(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        self.0.get_or_init(|| Start {
            instant: Instant::now(),
            unix_ms: unix.unwrap_or_default().as_millis() as u64,
        });
    }

    pub fn has_begun(&self) -> bool {
        self.0.get().is_some()
    }

    pub fn now(&self) -> Micros {
        let start = self.0.get();
        start.map_or(0, |start| start.instant.elapsed().as_micros() as Micros)
    }

    /// The instant of a time; until the run starts, as if it started now.
    pub fn at(&self, time: Micros) -> Instant {
        let start = self.0.get();
        start.map_or_else(Instant::now, |start| start.instant) + Duration::from_micros(time)
    }

    /// Unix time in milliseconds; 0 until the run starts.
    pub fn unix_ms(&self, time: Micros) -> u64 {
        let start = self.0.get();
        start.map_or(0, |start| start.unix_ms + time / 1000)
    }
}
