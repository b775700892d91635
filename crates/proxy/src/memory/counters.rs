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
    clients_accepted,
    clients_ended,
    accepts_failed,
    tickets_taken,
    tickets_succeeded,
    tickets_dismissed,
    tickets_abandoned,
    tickets_left,
    malformed,
    links_opened,
    links_reused,
    links_ended,
    links_short,
    dispatches,
    dispatches_succeeded,
    dispatches_failed,
    dispatches_silent,
    dispatches_broken,
    dispatches_called_off,
    dispatches_turned_away,
    dispatches_unreachable,
    dispatches_never_sent,
    attempts_refused,
    violations,
    loads_told,
    probes,
    probes_answered,
    words_told,
    words_untold,
    words_heard,
    words_passed_over,
    lists_asked,
    lists_taken,
    lists_told,
    lists_taken_early,
    lists_failed,
    lists_refused,
    rereads,
    rereads_failed,
    settings_changed,
    log_lines_dropped,
    longest_turn_us,
}
