//! Interface through which a [`Balancer`](crate::Balancer) performs its actions.

use crate::Micros;

/// The actions of a balancer. Each takes effect at the time of the event that the balancer is
/// handling.
pub trait Host {
    /// Sends the request to the endpoint. The host times out the attempt at `expire_at`, in
    /// microseconds.
    fn start_attempt(&mut self, request: &str, endpoint: &str, expire_at: Micros);
    /// Cancels one attempt of the request; attempts are counted from 0.
    fn cancel_attempt(&mut self, request: &str, attempt: usize);
    /// Answers that the request was not served. A retry by the client after `retry_after`
    /// microseconds is safe.
    fn reject(&mut self, request: &str, retry_after: Micros);
    /// Answers that the request failed. The request may have run, so a retry by the client may not
    /// be safe.
    fn fail(&mut self, request: &str);
    /// Calls [`Balancer::timer_expired`](crate::Balancer::timer_expired) with `timer` after `after`
    /// microseconds.
    fn set_timer(&mut self, after: Micros, timer: u64);
    /// Polls the endpoint list, or subscribes to its changes.
    fn poll_endpoint_list(&mut self);
    /// Requests the load of an endpoint. The host passes the result to
    /// [`Balancer::probe_completed`](crate::Balancer::probe_completed).
    fn probe(&mut self, endpoint: &str);
    /// Closes the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: &str);
    /// Sends a gossip message to one balancer, or to all others if `balancer` is `None`. The
    /// message may be lost.
    fn send_gossip(&mut self, balancer: Option<usize>, message: &str);
}
