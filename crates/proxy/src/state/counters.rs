//! The counters shown on `/stats` and logged at exit.

use std::fmt;

use pinefront_policy::AttemptOutcome;

/// Defines [`Counters`] with the names shown on `/stats`.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts since the start of the process.
        #[derive(Default)]
        pub struct Counters {
            $(
                $(#[$doc])*
                pub $name: u64,
            )*
        }

        impl fmt::Display for Counters {
            /// Writes one line for each counter, as `name value`.
            fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
                $(writeln!(out, "{} {}", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Connections accepted from clients.
    client_connections_accepted,
    /// Client connections closed by either side.
    client_connections_closed,
    /// Connections that could not be accepted or registered.
    accepts_failed,
    /// Valid requests that were passed to the policy.
    requests_received,
    /// Requests answered with an endpoint's response.
    requests_succeeded,
    /// Requests that the policy rejected (503).
    requests_rejected,
    /// Requests that the policy failed (502).
    requests_failed,
    /// Requests that came again and were not run a second time.
    requests_returned,
    /// Requests whose client disconnected before the response.
    requests_disconnected,
    /// Messages that were not valid requests.
    requests_malformed,
    /// Rejections that were delayed because there were too many.
    rejections_delayed,
    /// Messages of clients that had to wait for memory.
    requests_paused,
    /// Incomplete messages of clients whose memory was given to others.
    requests_evicted_for_memory,
    /// Responses of endpoints that had to wait for memory.
    responses_paused,
    /// Unread responses whose memory was given to others.
    responses_evicted_for_memory,
    /// Connections opened to endpoints.
    endpoint_connections_opened,
    /// Attempts started on an idle connection that is reused.
    endpoint_connections_reused,
    /// Connections to endpoints closed by either side.
    endpoint_connections_closed,
    /// Attempts and health checks for which no file descriptor was available.
    endpoint_connections_exhausted,
    /// Attempts started by the policy.
    attempts,
    /// Attempts with a successful response.
    attempts_succeeded,
    /// Attempts with an error or a malformed response.
    attempts_failed,
    /// Attempts without a response in time.
    attempts_timed_out,
    /// Attempts whose connection was lost after they were sent.
    attempts_connection_lost,
    /// Attempts that the policy cancelled.
    attempts_cancelled,
    /// Attempts that the endpoint rejected without running them.
    attempts_rejected,
    /// Attempts whose endpoint could not be reached.
    attempts_unreachable,
    /// Attempts that were not sent for local reasons.
    attempts_not_sent,
    /// Attempts that the send guard refused.
    attempts_blocked,
    /// Refusals of the send guard that show a wrong decision of the policy.
    violations,
    /// Load reports in endpoints' responses.
    load_reports,
    /// Health checks started by the policy.
    probes,
    /// Health checks that were answered with success.
    probes_answered,
    /// Gossip messages sent.
    gossip_sent,
    /// Gossip messages that the socket did not accept.
    gossip_send_failures,
    /// Gossip messages received from other balancers.
    gossip_received,
    /// Datagrams that were not gossip messages of another balancer.
    gossip_ignored,
    /// Polls of discovery for the endpoint list.
    list_polls,
    /// Full and incremental endpoint lists that were applied.
    list_updates,
    /// Endpoint lists received from another balancer of the zone.
    list_peer_updates,
    /// Endpoints whose address a list stated for another endpoint.
    endpoints_replaced,
    /// Incomplete endpoint lists whose removals were applied.
    list_updates_partial,
    /// Polls of discovery that failed.
    list_polls_failed,
    /// Polls that discovery answered with an error status.
    list_polls_rejected,
    /// Reloads of the configuration.
    reloads,
    /// Reloads without effect, because the configuration could not be read or used.
    reloads_failed,
    /// Reloads that changed the settings of the policy.
    settings_changed,
    /// Log lines dropped because standard error was not read.
    log_lines_dropped,
    /// The longest time spent on the events of one loop iteration, in microseconds.
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
