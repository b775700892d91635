//! Counts of what is taken in, sent and answered, for whoever asks and for the log at exit.

use std::fmt;

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        #[derive(Default)]
        pub struct Counters { $(pub $name: u64),* }

        impl fmt::Display for Counters {
            /// A line for each, as `name value`.
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
