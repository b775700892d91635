//! The clock of a run, which counts microseconds since the start, and its Unix time.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pinefront_model::Micros;

/// The start of a run, on the monotonic and on the wall clock.
struct Start {
    instant: Instant,
    unix_ms: u64,
}

/// The clock of a run; its time is 0 until the run starts.
#[derive(Default)]
pub struct Clock(OnceLock<Start>);

impl Clock {
    /// Starts the clock. Further calls have no effect.
    pub fn start(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        self.0.get_or_init(|| Start {
            instant: Instant::now(),
            unix_ms: unix.unwrap_or_default().as_millis() as u64,
        });
    }

    pub fn has_started(&self) -> bool {
        self.0.get().is_some()
    }

    /// Microseconds since the start; 0 until the run starts.
    pub fn now(&self) -> Micros {
        let start = self.0.get();
        start.map_or(0, |start| start.instant.elapsed().as_micros() as Micros)
    }

    /// The instant of a time of the run. Before the start, the result assumes that the run starts
    /// now.
    pub fn instant_at(&self, time: Micros) -> Instant {
        let start = self.0.get();
        start.map_or_else(Instant::now, |start| start.instant) + Duration::from_micros(time)
    }

    /// The Unix time of a time of the run, in milliseconds; 0 until the run starts.
    pub fn unix_ms(&self, time: Micros) -> u64 {
        let start = self.0.get();
        start.map_or(0, |start| start.unix_ms + time / 1000)
    }
}
