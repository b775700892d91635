//! Chooses the wait of each watch. Balancers that open their watches at the same time choose
//! different waits. Otherwise they would all poll at the same time again if the watches timed out.

use nanorand::{Rng, WyRand};
use pinefront_policy::Micros;

use super::settings::PollingSettings;

/// Minimum wait after an update that named endpoints, as a fraction of the maximum wait.
const MIN_FRACTION_AFTER_UPDATE: f64 = 0.5;
/// Minimum wait of the first watch of a process, as a fraction of the maximum wait. First waits are
/// spread because a fleet that is started at one time opens all its watches at nearly the same
/// time.
const MIN_FIRST_FRACTION: f64 = 0.1;
/// Maximum wait of the first watch of a process, as a fraction of the maximum wait.
const MAX_FIRST_FRACTION: f64 = 0.6;
/// Time after the response to a watch within which the next poll continues the watch without being
/// queued, in microseconds. Discovery allows 200 ms.
const CONTINUATION_WINDOW_US: Micros = 150_000;

/// The history of this process's watches.
#[derive(Default)]
pub(super) struct WatchState {
    /// Whether a watch was opened before.
    pub has_watched: bool,
    /// When the last poll for changes got its response, in microseconds; `None` once the next poll
    /// was sent.
    pub answered_at: Option<Micros>,
}

impl WatchState {
    /// Whether a poll that is sent now continues the last watch, on any connection.
    pub fn continues(&self, now: Micros) -> bool {
        self.answered_at
            .is_some_and(|answered| now <= answered + CONTINUATION_WINDOW_US)
    }

    /// Returns the wait of the next watch, in microseconds.
    pub fn next_wait(
        &self,
        last_had_entries: bool,
        settings: PollingSettings,
        random: &mut WyRand,
    ) -> Micros {
        let (min, max) = match (self.has_watched, last_had_entries) {
            (false, _) => (MIN_FIRST_FRACTION, MAX_FIRST_FRACTION),
            (true, true) => (MIN_FRACTION_AFTER_UPDATE, 1.0),
            (true, false) => (1.0, 1.0),
        };
        let fraction = min + (max - min) * random.generate::<f64>();
        (settings.watch_wait() as f64 * fraction) as Micros
    }
}
