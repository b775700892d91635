//! How long watches wait. Balancers that open theirs at one moment choose different waits, or all
//! would poll at one moment again if the watches timed out.

use nanorand::{Rng, WyRand};
use pinefront_policy::Micros;

use super::settings::PollingSettings;

/// The shortest wait after an update, as a fraction of the longest.
const MIN_FRACTION_AFTER_UPDATE: f64 = 0.5;
/// Bounds of the first wait of a process, as fractions of the longest. A fleet that is started at
/// one moment has all its watches open at the next.
const MIN_FIRST_FRACTION: f64 = 0.1;
const MAX_FIRST_FRACTION: f64 = 0.6;
/// A watch continues without queueing when the next poll follows its response this soon; discovery
/// allows 200 ms.
const CONTINUES_WITHIN_US: Micros = 150_000;

/// The watches of this process so far.
#[derive(Default)]
pub(super) struct WatchState {
    /// A watch was opened already.
    pub has_watched: bool,
    /// When a watch was answered that no poll has continued yet.
    pub answered_at: Option<Micros>,
}

impl WatchState {
    /// Whether a poll that is sent now continues the last watch, whatever connection it is sent on.
    pub fn continues(&self, now: Micros) -> bool {
        self.answered_at
            .is_some_and(|answered| now <= answered + CONTINUES_WITHIN_US)
    }

    /// How long the next watch waits, in microseconds.
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
