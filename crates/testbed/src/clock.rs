//! The lab's clock: microseconds since the day began, and Unix time for what speaks of it.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pinefront_model::Micros;

/// Stands at 0 until the day begins.
#[derive(Default)]
pub struct Clock(OnceLock<(Instant, u64)>);

impl Clock {
    /// The day begins now; a second call changes nothing.
    pub fn begin(&self) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.0
            .get_or_init(|| (Instant::now(), unix.as_millis() as u64));
    }

    pub fn has_begun(&self) -> bool {
        self.0.get().is_some()
    }

    pub fn now(&self) -> Micros {
        self.0
            .get()
            .map_or(0, |(began, _)| began.elapsed().as_micros() as Micros)
    }

    /// The instant of a moment; before the day begins, as if it began now.
    pub fn at(&self, moment: Micros) -> Instant {
        self.0.get().map_or_else(Instant::now, |(began, _)| *began) + Duration::from_micros(moment)
    }

    /// Unix time of a moment, in milliseconds.
    pub fn unix_ms(&self, moment: Micros) -> u64 {
        self.0.get().map_or(0, |(_, unix)| unix + moment / 1000)
    }
}
