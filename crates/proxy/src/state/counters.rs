//! The counters of `/stats`, which are also logged at exit.

use std::fmt;

use pinefront_policy::AttemptOutcome;

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// The counters since the start of the process. The operators' guide explains each of them.
        #[derive(Default)]
        pub struct Counters { $(#[doc = concat!("The counter `", stringify!($name), "`.")] pub $name: u64),* }

        impl fmt::Display for Counters {
            /// One line for each counter, as `name value`.
            fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
                $(writeln!(out, "{} {}", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    client_connections_accepted,
    client_connections_closed,
    accepts_failed,
    requests_received,
    requests_succeeded,
    requests_rejected,
    requests_failed,
    requests_disconnected,
    requests_malformed,
    endpoint_connections_opened,
    endpoint_connections_reused,
    endpoint_connections_closed,
    endpoint_connections_exhausted,
    attempts,
    attempts_succeeded,
    attempts_failed,
    attempts_timed_out,
    attempts_connection_lost,
    attempts_cancelled,
    attempts_rejected,
    attempts_unreachable,
    attempts_not_sent,
    attempts_blocked,
    violations,
    load_reports,
    probes,
    probes_answered,
    gossip_sent,
    gossip_send_failures,
    gossip_received,
    gossip_ignored,
    list_polls,
    list_updates,
    list_peer_updates,
    list_updates_partial,
    list_polls_failed,
    list_polls_rejected,
    reloads,
    reloads_failed,
    settings_changed,
    log_lines_dropped,
    longest_loop_iteration_us,
}

impl Counters {
    /// Counts an attempt by its outcome.
    pub fn count_outcome(&mut self, outcome: AttemptOutcome) {
        *match outcome {
            AttemptOutcome::Succeeded => &mut self.attempts_succeeded,
            AttemptOutcome::Failed => &mut self.attempts_failed,
            AttemptOutcome::TimedOut => &mut self.attempts_timed_out,
            AttemptOutcome::ConnectionLost => &mut self.attempts_connection_lost,
            AttemptOutcome::Cancelled => &mut self.attempts_cancelled,
            AttemptOutcome::Rejected => &mut self.attempts_rejected,
            AttemptOutcome::Unreachable => &mut self.attempts_unreachable,
            AttemptOutcome::NotSent => &mut self.attempts_not_sent,
        } += 1;
    }
}
